/**
 * Draws disturbances close to events of the life cycle of runs, for randomised tests on the pool harness: the events of a play are recorded, and a
 * later play of the same series is disturbed shortly before or after one of them.
 */
import { delay } from '../common/time.js'
import { leaderKey } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { progressPrefix } from '../jobs/jobKeys.js'
import { grantPrefix, isRenewedTimerKey } from '../runs/grantRecordFormat.js'
import type { MetadataStore, Transaction } from '../store/metadataStore.js'
import type { WorkerPort } from '../workers/workerPort.js'
import type { PoolHarness } from './poolHarness.js'
import { getLeader } from './termDisturbances.js'
import type { TermDisturbanceHost } from './termDisturbances.js'

/** Returns an integer from 0 to below the limit. */
export type RandomInteger = (limit: number) => number

/** The events near which a disturbance is drawn. */
export enum RunEvent {
  ProgressWritten = 'progress-written',
  GrantsWritten = 'grants-written',
  SilenceWritten = 'silence-written',
  ElectionWritten = 'election-written',
  StartSent = 'start-sent',
  PollSent = 'poll-sent',
  EndListed = 'end-listed',
  EndRead = 'end-read'
}

/** An event of a play, the worker that it concerns, if it concerns a single one, and the task that is started or ends. */
export interface RecordedEvent {
  readonly kind: RunEvent
  readonly atMs: number
  readonly workerId?: string
  readonly task?: string
}

/** What is absent. */
export enum AbsenceTarget {
  Worker = 'worker',
  HostOrStore = 'host-or-store',
  /** A worker, for good. */
  WorkerForGood = 'worker-for-good',
  /** Answers of all workers. */
  Requests = 'requests',
  /** A worker, for good or until it starts a new life. */
  WorkerLife = 'worker-life',
  /** Answers to writes of all hosts. */
  Writes = 'writes',
  /** All hosts at once. */
  Power = 'power'
}

/** A disturbance of a play. */
export interface Moment {
  readonly atMs: number
  readonly event: RecordedEvent
  /** An index into the absences of the target. */
  readonly absence: number
  readonly target: AbsenceTarget
  /** The seed of what the disturbance draws when it begins. */
  readonly seed: number
}

/** What the absences need of a test. */
export interface AbsenceHost extends TermDisturbanceHost {
  readonly faults: StoreFaults
  /** Notes that a single worker is disturbed until `forMs` from now, in ms. */
  readonly disturbWorker: (workerId: string, what: string, forMs: number) => void
}

/** The longest time between an event and the disturbance, in ms, in either direction. */
const maxOffsetMs = 500
/** For a worker that does not come back within a play, in ms. */
const goneMs = 3_600_000
/** Six in ten requests are lost, and carried out after these times, in ms. Source: the users' days (`applied_late`). */
const lossTenths = 6
const minLossMs = 3_000
const maxLossMs = 6_000
const minLateMs = 2_000
const maxLateMs = 12_000
/** How long all hosts are without power, and how long they then take to start, in ms. */
const powerLossMs = 600
const hostStartMs = 150
/** Starts that are sent within this time are carried out late, in ms. */
const lateStartWindowMs = 1_000

/** Draws a disturbance near one of the events from `fromMs` to `toMs`; undefined if there are none. */
export function drawMoment (events: readonly RecordedEvent[], target: AbsenceTarget, fromMs: number, toMs: number, random: RandomInteger): Moment | undefined {
  const found = events.filter(({ atMs }) => atMs >= fromMs && atMs <= toMs)
  const kinds = Object.values(RunEvent).filter(kind => found.some(event => event.kind === kind))
  const kind = kinds[random(Math.max(1, kinds.length))]
  const ofKind = found.filter(event => event.kind === kind)
  const event = ofKind[random(Math.max(1, ofKind.length))]
  const offsetMs = random(2 * maxOffsetMs + 1) - maxOffsetMs
  const moment = { target, absence: random(absences[target].length), seed: random(1_000_000) }
  return event === undefined ? undefined : { ...moment, event, atMs: Math.max(fromMs, Math.round(event.atMs) + offsetMs) }
}

/** Begins the disturbance of a moment. */
export function beginAbsence (host: AbsenceHost, { target, absence, event }: Moment): void {
  const { harness, random } = host
  const busy = [...new Set([...harness.poolState.running.values()].flat().map(({ workerId }) => workerId))].sort()
  const workerId = event.workerId ?? busy[random(Math.max(1, busy.length))] ?? 'worker-0'
  absences[target][absence]?.(host, workerId, busy)
}

type Absence = (host: AbsenceHost, workerId: string, busy: readonly string[]) => void

const absences: Readonly<Record<AbsenceTarget, readonly Absence[]>> = {
  [AbsenceTarget.Worker]: [leave, leave, leave, leave, crash, cutWorkerOff, loseAnswers, delayStarts],
  [AbsenceTarget.HostOrStore]: [killHost, freezeHost, cutHostOff, refuseCalls, loseWrites, loseWrites, loseWrites, pauseStore],
  [AbsenceTarget.WorkerForGood]: [leave],
  [AbsenceTarget.Requests]: [loseRequests],
  [AbsenceTarget.WorkerLife]: [leave, crash],
  [AbsenceTarget.Writes]: [loseWrites],
  [AbsenceTarget.Power]: [losePower]
}

function leave ({ harness, random, disturb }: AbsenceHost, workerId: string, busy: readonly string[]): void {
  const others = busy.filter(other => other !== workerId && random(3) === 0)
  for (const leaving of [workerId, ...others.slice(0, random(3))]) {
    disturb(`${leaving} leaves`)
    harness.crashWorker(leaving, { awayMs: goneMs, keepsId: false })
  }
}

function crash ({ harness, random, disturbWorker }: AbsenceHost, workerId: string): void {
  const awayMs = 500 + 100 * random(40)
  const keepsId = random(2) === 0
  disturbWorker(workerId, `crash${keepsId ? ' and keeps its id' : ''}`, awayMs)
  harness.crashWorker(workerId, { awayMs, keepsId })
}

function cutWorkerOff ({ harness, random, disturbWorker }: AbsenceHost, workerId: string): void {
  const forMs = 500 + 100 * random(80)
  const scope = random(3)
  const setCut = (isCut: boolean): void => {
    if (scope > 0) harness.workers.get(workerId)?.setUnreachable(isCut)
    if (scope < 2) harness.setCutFromStore(workerId, isCut)
  }
  disturbWorker(workerId, `cut off from ${['the store', 'all', 'the hosts'][scope] ?? ''}`, forMs)
  setCut(true)
  setTimeout(() => { setCut(false) }, forMs)
}

function loseAnswers ({ harness, random, disturbWorker }: AbsenceHost, workerId: string): void {
  const forMs = 500 + 100 * random(60)
  const worker = harness.workers.get(workerId)
  disturbWorker(workerId, 'answers lost', forMs)
  worker?.setAnswersLost(true)
  setTimeout(() => { worker?.setAnswersLost(false) }, forMs)
}

function delayStarts ({ harness, random, disturbWorker }: AbsenceHost, workerId: string): void {
  const lateMs = 500 + 100 * random(60)
  const worker = harness.workers.get(workerId)
  disturbWorker(workerId, 'late starts', lateStartWindowMs + lateMs)
  worker?.delayStarts(1 + random(3), lateMs)
  setTimeout(() => { worker?.delayStarts(0, 0) }, lateStartWindowMs)
}

/** Six in ten requests to all workers get no answer before the caller's time-out, and are carried out late. */
function loseRequests ({ harness, random, disturb }: AbsenceHost): void {
  const forMs = minLossMs + 100 * random((maxLossMs - minLossMs) / 100 + 1)
  const workers = [...harness.workers.values()]
  disturb('most requests to workers are lost', forMs)
  for (const worker of workers) worker.setRequestLoss(() => random(10) < lossTenths ? minLateMs + random(maxLateMs - minLateMs) : undefined)
  setTimeout(() => { for (const worker of workers) worker.setRequestLoss() }, forMs)
}

function killHost ({ harness, addHosts, random, disturb }: AbsenceHost): void {
  const forMs = 100 * random(30)
  disturb('the host is killed', forMs, true)
  getLeader(harness)?.crash()
  setTimeout(addHosts, forMs)
}

/** All hosts are killed, and start again when the power is back. */
function losePower ({ harness, addHosts, disturb }: AbsenceHost): void {
  disturb('all hosts lose power', powerLossMs + hostStartMs)
  for (const host of [...harness.hosts.values()]) host.crash()
  setTimeout(addHosts, powerLossMs + hostStartMs)
}

function freezeHost ({ harness, faults, random, disturb }: AbsenceHost): void {
  const forMs = 200 + 100 * random(40)
  disturb('the host is frozen', forMs, true)
  faults.note(forMs)
  getLeader(harness)?.freeze(forMs)
}

function cutHostOff ({ harness, random, disturb }: AbsenceHost): void {
  const forMs = 200 + 100 * random(40)
  const host = getLeader(harness)
  disturb('the host is cut off from workers', forMs)
  host?.setCutFromWorkers(new Set([...harness.workers.keys()].filter(() => random(2) === 0)))
  setTimeout(() => { host?.setCutFromWorkers(new Set()) }, forMs)
}

function refuseCalls ({ harness, faults, random, disturb }: AbsenceHost): void {
  const forMs = 200 + 100 * random(40)
  const hostId = random(2) === 0 ? undefined : getLeader(harness)?.hostId
  disturb('the store refuses calls', forMs)
  faults.note(forMs)
  harness.store.setUnavailable(true, hostId)
  setTimeout(() => { harness.store.setUnavailable(false, hostId) }, forMs)
}

function loseWrites ({ faults, random, disturb }: AbsenceHost): void {
  const forMs = 500 + 100 * random(50)
  disturb('the store loses answers to writes', forMs)
  faults.loseWrites(forMs, random)
}

function pauseStore ({ harness, faults, random, disturb }: AbsenceHost): void {
  const forMs = 200 + 100 * random(40)
  disturb('the store is paused', forMs)
  faults.note(forMs)
  harness.store.pause(true)
  setTimeout(() => { harness.store.pause(false) }, forMs)
}

/** The faults of the store in one play. */
export interface StoreFaults {
  /** Wraps the store client of a host. */
  intercept (client: MetadataStore): MetadataStore
  /** Loses the answers to six in ten writes of all hosts for `forMs`; a quarter of these writes is executed 1 to 6 s late. */
  loseWrites (forMs: number, random: RandomInteger): void
  /** Notes that the store does not answer for `forMs`. */
  note (forMs: number): void
  hasFault (sinceMs: number): boolean
  isLosing (sinceMs: number): boolean
}

/** After this time, in ms, a host gives up a write whose answer does not arrive. */
const answerTimeoutMs = 900

/** Creates the faults of a play. */
export function createStoreFaults (): StoreFaults {
  let lossUntilMs = -Infinity
  let faultUntilMs = -Infinity
  let random: RandomInteger = () => 0
  return {
    intercept: client => ({ ...client, transact: async transaction => await transact(client, transaction) }),
    loseWrites: (forMs, randomInteger) => {
      lossUntilMs = performance.now() + forMs
      random = randomInteger
    },
    note: forMs => { faultUntilMs = Math.max(faultUntilMs, performance.now() + forMs) },
    hasFault: sinceMs => faultUntilMs > sinceMs,
    isLosing: sinceMs => lossUntilMs > sinceMs
  }

  async function transact (client: MetadataStore, transaction: Transaction): ReturnType<MetadataStore['transact']> {
    if (performance.now() >= lossUntilMs || random(10) >= 6) return await client.transact(transaction)
    if (random(4) > 0) await client.transact(transaction)
    else {
      const lateMs = 1_000 + 100 * random(50)
      setTimeout(() => { void client.transact(transaction).catch(() => {}) }, lateMs)
    }
    await delay(answerTimeoutMs)
    throw createError(ErrorKind.AnswerLost, `no response within ${answerTimeoutMs} ms`)
  }
}

/** Records the events of a play, and hands on the ends that hosts read. */
export interface EventRecorder {
  readonly events: readonly RecordedEvent[]
  interceptStore (client: MetadataStore): MetadataStore
  interceptWorker (hostId: string, workerId: string, port: WorkerPort): WorkerPort
  onEnd (end: { readonly workerId: string, readonly task: string }): void
}

/** Creates the recorder; `onRead` is called for each end that a report lists. */
export function createEventRecorder (getHarness: () => PoolHarness, onRead: (hostId: string, end: { readonly task: string, readonly run: number, readonly how: string }) => void): EventRecorder {
  const events: RecordedEvent[] = []
  const readEnds = new Set<string>()
  return { events, interceptStore, interceptWorker, onEnd: ({ workerId, task }) => { add(RunEvent.EndListed, workerId, task) } }

  function add (kind: RunEvent, workerId?: string, task?: string): void {
    events.push({ kind, atMs: performance.now(), ...(workerId === undefined ? {} : { workerId }), ...(task === undefined ? {} : { task }) })
  }

  function interceptStore (client: MetadataStore): MetadataStore {
    return {
      ...client,
      transact: async transaction => {
        for (const { key } of transaction.writes) {
          if (key.startsWith(progressPrefix)) add(RunEvent.ProgressWritten)
          else if (key.startsWith(grantPrefix) && !isRenewedTimerKey(key)) add(key.indexOf('/', grantPrefix.length) >= 0 ? RunEvent.SilenceWritten : RunEvent.GrantsWritten)
          else if (key === leaderKey) add(RunEvent.ElectionWritten)
        }
        return await client.transact(transaction)
      }
    }
  }

  function interceptWorker (hostId: string, workerId: string, port: WorkerPort): WorkerPort {
    return {
      ...port,
      start: async request => {
        add(RunEvent.StartSent, workerId, request.task)
        return await port.start(request)
      },
      renewLease: async request => {
        add(RunEvent.PollSent, workerId)
        const report = await port.renewLease(request)
        if (!getHarness().hosts.has(hostId)) return report
        for (const end of report.ended) {
          const name = `${hostId} ${workerId} ${report.bornAtMs ?? 0} ${end.sequence}`
          if (readEnds.has(name)) continue
          readEnds.add(name)
          add(RunEvent.EndRead, workerId)
          onRead(hostId, end)
        }
        return report
      }
    }
  }
}
