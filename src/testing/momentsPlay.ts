/** Plays a series of jobs, drawn by a seed, on a pool harness with disturbances at given moments, and judges what became of the jobs. */
import { jest } from '@jest/globals'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { createLogger, silentLogger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { EndKind, tryParseTaskName } from '../jobs/jobModel.js'
import type { JobSpec } from '../jobs/jobModel.js'
import { getUnits } from '../jobs/trackedJob.js'
import { StartResult } from '../workers/workerPort.js'
import type { WorkerPort } from '../workers/workerPort.js'
import { createLivenessCheck } from './livenessCheck.js'
import { beginAbsence, createEventRecorder, createStoreFaults } from './moments.js'
import type { Moment, RandomInteger, RecordedEvent } from './moments.js'
import { createPoolHarness, makeJob, makeStep } from './poolHarness.js'
import type { PoolHarness } from './poolHarness.js'
import { createPoolSteps } from './poolSteps.js'
import { createReadableEnds } from './readableEnds.js'
import { disturbTerm, getLeader } from './termDisturbances.js'
import type { Disturb } from './termDisturbances.js'

/** When a term is to end, in which way, and the seed of what it draws. */
export interface TermEnd {
  readonly atMs: number
  readonly kind: number
  readonly seed: number
}

/** The disturbances of one play. */
export interface Script {
  readonly moments: readonly Moment[]
  readonly termEnds: readonly TermEnd[]
}

/** A job of a series, and how long the runs of each of its steps work. */
interface DrawnJob {
  readonly submitAtMs: number
  readonly spec: JobSpec
  readonly workMs: readonly number[]
}

/** What became of a series. */
export interface Play {
  readonly events: readonly RecordedEvent[]
  readonly violations: readonly string[]
  readonly standing: readonly string[]
  /** Starts of tasks that an earlier scheduler knew to be done. */
  readonly repeated: readonly string[]
  /** Ends that were listed for `fairReadMs` when their worker left, and that no host had read. */
  readonly missed: readonly string[]
  /** Starts of tasks whose end some host could have read. */
  readonly lost: readonly string[]
}

/** An end that a worker lists and no host has read. */
interface UnreadEnd {
  readonly task: string
  readonly run: number
  readonly workerId: string
  readonly atMs: number
  /** The term that could have read it. */
  readonly term: Term | undefined
  /** Requests that have arrived since at the worker. */
  requests: number
}

/** Logs of the plays, if they are asked for. */
export const soakLogger = process.env.SASSAFRASFORD_SOAK_LOG === undefined ? silentLogger : createLogger({ level: 'info' })
/** The time of day at which each play starts, as Unix time in ms. */
const startAtMs = 1_700_000_000_000
const workerCount = 12
const hostCount = 3
const jobCount = 13
/** Work is handed in within this time, in ms. */
const submitMs = 12_000
/** If no host schedules when a term is to end, the first one that does within this time is disturbed, in ms. */
const leaderWaitMs = 4_000
/** When workers restart, in ms: before any work is handed in. */
const restartMs = 500
const lookPeriodMs = 100
/** The state of the hosts is looked at in this period, in ms. */
const hostPeriodMs = 10
/** Work counts as able to run only when nothing has been disturbed for this long, in ms. Source: the platform's rules (LOST). */
const calmMs = 4_000
/** Another host has taken over this long after the one that scheduled has failed, in ms: an election and the first polls. */
const takeoverMs = 2_000
/** How long the play goes on after that, in ms: longer than any lease and the wait for it. */
const watchMs = 12_000
/** An end that has been read is stored within this time, in ms, and if the store loses answers to writes. */
const storeMs = 500
const lossyStoreMs = 1_000
/** A run that ended this long before its end was read, in ms, may have been given up: shorter than the leases of workers. */
const maxReadDelayMs = 2_000
/** An end may be lost if this many requests that have arrived since are lost: a worker that is expected to list one is asked at least twice in `fairReadMs`. */
const fairRequests = 2
/** An end that no host has read in this time, in ms, is missed: at least as long as a few requests to a worker take. */
export const fairReadMs = 600
/** Added to a seed for the delays of the hosts that run for leader, so that these do not change the series. */
const electionSeedOffset = 15_485_863

/** Plays the series of a seed with the disturbances of a script, until `untilMs` or until all has been calm for long enough. */
export async function playSeries (seed: number, { moments, termEnds }: Script, untilMs?: number): Promise<Play> {
  jest.useRealTimers()
  jest.useFakeTimers({ now: startAtMs })
  const random = createRandom(seed)
  const randomDelay = createRandom(seed + electionSeedOffset)
  const jobs = new Map(Array.from({ length: jobCount }, (_, index) => drawJob(`job${index}`, random)).map(job => [job.spec.jobId, job]))
  const submitted: JobSpec[] = []
  let hostNumber = 0
  let calmFromMs = 0
  /** Until when single workers are disturbed: what runs elsewhere need not wait for them. */
  const disturbedUntilMs = new Map<string, number>()
  const disturb: Disturb = (what, forMs = 0, isReplaceable = false) => {
    calmFromMs = Math.max(calmFromMs, performance.now() + (isReplaceable ? takeoverMs - calmMs : forMs))
    if (untilMs === undefined) soakLogger.info('disturbed', { what, atMs: performance.now(), forMs })
  }
  const disturbWorker = (workerId: string, what: string, forMs: number): void => {
    disturb(`${workerId}: ${what}`)
    disturbedUntilMs.set(workerId, Math.max(disturbedUntilMs.get(workerId) ?? 0, performance.now() + forMs))
  }
  const isCalm = (workerId: string): boolean => performance.now() >= (disturbedUntilMs.get(workerId) ?? -Infinity) + calmMs
  const faults = createStoreFaults()
  const recorder = createEventRecorder(() => harness, (hostId, end) => {
    unreadEnds.delete(getRunName(end))
    readableEnds.noteRead(end)
    if (end.how === EndKind.Done) expectStored(hostId, end)
  })
  const endedAtMs = new Map<string, number>()
  /** The tasks and gangs that the elected scheduler knew to be done for long enough to store it. */
  const known = new Set<string>()
  const repeated: string[] = []
  /** Runs that a host knows to be at work: by the answer to their start, or by a report. */
  const seenAtWork = new Set<string>()
  const unreadEnds = new Map<string, UnreadEnd>()
  const readableEnds = createReadableEnds(() => harness)
  const missed: string[] = []
  const harness: PoolHarness = createPoolHarness({
    workers: workerCount,
    maxLeaseMs: random(2) === 0 ? 6_000 : 10_000,
    logger: untilMs === undefined ? soakLogger : silentLogger,
    random: () => randomDelay(1_000) / 1_000,
    storeRoundTripMs: 10,
    workerRoundTripMs: 10,
    isListStored: true,
    hasRelayedPolls: true,
    hasEndReaders: true,
    hasStandbys: random(2) === 0,
    interceptStore: (_hostId, client) => recorder.interceptStore(faults.intercept(client)),
    interceptWorker: (hostId, workerId, port) => recorder.interceptWorker(hostId, workerId, noteRuns(port)),
    onRequestDuringLoss: request => {
      for (const end of unreadEnds.values()) if (end.workerId === request.workerId) end.requests++
      readableEnds.noteRequest(request)
    },
    getRun: task => ({ workMs: getWorkMs(task), how: EndKind.Done }),
    onStart: ({ task, run, workerId }) => {
      if (known.has(getUnitName(task))) repeated.push(`${task} run ${run} starts on ${workerId} at ${performance.now()} ms although it is done`)
      readableEnds.noteStart({ task, run, workerId }, getMembers(task))
    },
    onEnd: end => {
      recorder.onEnd(end)
      readableEnds.noteEnd(end)
      if (end.how === EndKind.Done && seenAtWork.has(getRunName(end))) unreadEnds.set(getRunName(end), { ...end, atMs: performance.now(), term: getLeader(harness)?.getTerm(), requests: 0 })
      endedAtMs.set(`${end.task} ${end.run}`, performance.now())
    }
  })
  const observedHarness: PoolHarness = {
    ...harness,
    crashWorker: (workerId, crash) => {
      noteMissed(workerId)
      readableEnds.noteLoss(workerId)
      harness.crashWorker(workerId, crash)
    }
  }
  const { run } = createPoolSteps(() => harness)
  const check = createLivenessCheck(harness, ({ job }) => performance.now() < calmFromMs + calmMs || getUnits(job).flatMap(unit => unit.attempts).flatMap(attempt => attempt.members).some(({ workerId }) => !isCalm(workerId)))
  const standing: string[] = []
  const addHosts = (): void => { while (harness.hosts.size < hostCount) harness.addHost(`host-${hostNumber++}`) }
  addHosts()
  // The lives of these workers are young when the first disturbance begins.
  const restarting = random(2) === 0 ? [] : [...harness.workers.keys()].filter(() => random(3) === 0)
  setTimeout(() => { for (const workerId of restarting) harness.restartWorker(workerId) }, restartMs)
  for (const job of jobs.values()) setTimeout(() => { submitJob(job) }, job.submitAtMs)
  for (const moment of moments) setTimeout(() => { beginAbsence({ harness: observedHarness, addHosts, faults, random: createRandom(moment.seed), disturb, disturbWorker }, moment) }, moment.atMs)
  for (const termEnd of termEnds) setTimeout(() => { endTerm(termEnd, performance.now() + leaderWaitMs) }, termEnd.atMs)
  const lastMs = Math.max(submitMs, ...[...moments, ...termEnds].map(({ atMs }) => atMs))
  while (performance.now() < (untilMs ?? Math.max(lastMs, calmFromMs, ...disturbedUntilMs.values()) + calmMs + watchMs)) {
    for (let elapsedMs = 0; elapsedMs < lookPeriodMs; elapsedMs += hostPeriodMs) {
      await run(hostPeriodMs)
      readableEnds.look()
    }
    standing.push(...check.look(submitted))
  }
  return { events: recorder.events, violations: harness.poolState.violations, standing, repeated, missed, lost: readableEnds.lost }

  function submitJob ({ spec }: DrawnJob): void {
    submitted.push(spec)
    void harness.submit(spec).catch(() => {})
  }

  function getWorkMs (task: string): number {
    const name = tryParseTaskName(task)
    return jobs.get(name?.jobId ?? '')?.workMs[name?.step ?? 0] ?? 0
  }

  /** The tasks of a gang, or the task itself. */
  function getMembers (task: string): readonly string[] {
    const unit = getUnitName(task)
    if (unit === task) return [task]
    const name = tryParseTaskName(task)
    const count = jobs.get(name?.jobId ?? '')?.spec.steps[name?.step ?? 0]?.count ?? 1
    return Array.from({ length: count }, (_, index) => `${unit}.${index}`)
  }

  /** The ends of a gang are one. */
  function getUnitName (task: string): string {
    const name = tryParseTaskName(task)
    return name !== undefined && jobs.get(name.jobId)?.spec.steps[name.step]?.isGang === true ? task.slice(0, task.lastIndexOf('.')) : task
  }

  function endTerm (termEnd: TermEnd, giveUpAtMs: number): void {
    const leader = getLeader(harness)
    const disturbHost: Disturb = (what, forMs, isReplaceable) => {
      disturb(what, forMs, isReplaceable)
      // The host may live on without answers of the store.
      faults.note(forMs ?? 0)
    }
    if (leader !== undefined) disturbTerm({ harness, addHosts, random: createRandom(termEnd.seed), disturb: disturbHost }, leader, termEnd.kind)
    else if (performance.now() < giveUpAtMs) setTimeout(() => { endTerm(termEnd, giveUpAtMs) }, lookPeriodMs)
  }

  function getRunName ({ task, run: number }: { readonly task: string, readonly run: number }): string {
    return `${task} ${number}`
  }

  function noteRuns (port: WorkerPort): WorkerPort {
    return {
      ...port,
      start: async request => {
        const response = await port.start(request)
        if (response.answer === StartResult.Started) seenAtWork.add(getRunName(request))
        return response
      },
      renewLease: async request => {
        const report = await port.renewLease(request)
        for (const running of report.running) seenAtWork.add(getRunName(running))
        return report
      }
    }
  }

  /** Notes the ends that are lost with a worker although the present term could have read them. */
  function noteMissed (workerId: string): void {
    const term = getLeader(harness)?.getTerm()
    for (const end of unreadEnds.values()) {
      const listedForMs = Math.round(performance.now() - end.atMs)
      if (end.workerId !== workerId || end.term !== term || listedForMs < fairReadMs || end.requests >= fairRequests) continue
      missed.push(`the end of ${end.task} run ${end.run} on ${workerId}, listed at ${Math.round(end.atMs)} ms, was not read in ${listedForMs} ms; requests since: ${end.requests}`)
    }
  }

  /** Notes an end as known for good if its reader is still the scheduler when it has had time to store it. */
  function expectStored (hostId: string, { task, run }: { readonly task: string, readonly run: number }): void {
    const readAtMs = performance.now()
    const host = harness.hosts.get(hostId)
    const term = host?.getTerm()
    if (term === undefined || host !== getLeader(harness) || readAtMs - (endedAtMs.get(`${task} ${run}`) ?? 0) > maxReadDelayMs) return
    setTimeout(() => {
      if (!faults.hasFault(readAtMs) && harness.hosts.get(hostId) === host && host?.getTerm() === term && term.isValid()) known.add(getUnitName(task))
    }, faults.isLosing(readAtMs) ? lossyStoreMs : storeMs)
  }
}

function drawJob (jobId: string, random: RandomInteger): DrawnJob {
  const workMs = Array.from({ length: 1 + random(2) }, () => random(2) === 0 ? 300 + random(2_500) : 5_000 + random(25_000))
  const steps = workMs.map((estimateMs, step) => makeStep({ count: 1 + random(3), isGang: random(3) === 0, estimateMs, after: step === 0 ? [] : [step - 1] }))
  return { submitAtMs: 1_500 + random(submitMs - 1_500), spec: makeJob(jobId, random(2) === 0 ? 'urgent' : 'batch', steps), workMs }
}

/** Creates a generator of integers from a seed. */
export function createRandom (seed: number): RandomInteger {
  const generator = xoroshiro128plus(seed)
  return limit => uniformInt(generator, 0, limit - 1)
}
