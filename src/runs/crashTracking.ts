/**
 * Finds out which runs were on a worker when its life ended, and has crashEvidence.ts weigh whether they are the cause. A worker that does not answer may be
 * cut off; that it has crashed shows when its machine reports a new life without having been drained. See docs/design/crash-evidence.md.
 */
import type { Logger } from '../common/logger.js'
import { EndKind, formatTaskName, isTerminal } from '../jobs/jobModel.js'
import { EndCause, getUnits, MemberState } from '../jobs/trackedJob.js'
import type { CrashRecord, Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import type { ListedWorker } from '../workers/workerPort.js'
import type { WorkerState } from '../workers/workerState.js'
import { createBirthIndex, getLikelihoodRatio, getMaxRanMs, getPresence, getSuspicion, isContradicted, isCounted, judge, maxCrashRuns, Presence, usesUpStart, Verdict } from './crashEvidence.js'
import type { BirthIndex, CrashCircumstances, Judgement, RunOnLife, WorkerLocation } from './crashEvidence.js'
import { getLatestRequestMs, getSeenForMs, getWorkedMs } from './endEvidence.js'
import type { ReportOrigin } from './endEvidence.js'

/** Dependencies of the crash tracking. */
export interface CrashTrackingHost {
  readonly logger: Logger
  /** Aborted at the end of the term. */
  readonly signal: AbortSignal
  readonly getMembers: (workerId: string) => ReadonlySet<Member>
  readonly getWorkers: () => Iterable<WorkerState>
  /** Stores the crashes under the units of the job. */
  readonly commit: (job: TrackedJob) => void
  /** Called when the machine of a worker that an earlier term has used reports a later life under another id: nothing of the earlier life runs any more. */
  readonly onEarlierLifeEnded: (workerId: string) => void
  /** Called when a unit is not to be started again. */
  readonly onGivenUp: (unit: Unit) => void
}

/** The crash tracking of one term. */
export interface CrashTracking {
  /** Takes over the crashes that earlier terms have recorded under a unit, and its attempts. */
  onRestored (unit: Unit): void
  /** The stored attempts of all jobs have been taken over: the crashes that the list of workers has shown by then are attributed. */
  onAllRestored (): void
  /** Records a run that was lost with its worker. */
  onRunLost (member: Member): void
  /** A report of its worker does not list the run any more; if it counts as lost, not because its worker is. */
  onRunAbsent (member: Member): void
  /** A report lists the run as running or, if `how` is given, as ended. */
  onRunReported (member: Member, reportBornAtMs: number | undefined, origin: ReportOrigin, how?: EndKind): void
  /** The worker has reported: the runs that were lost with this incarnation were lost by a cut, not by a crash. Must be called before the runs of the report are applied. */
  onReport (info: ListedWorker, reportBornAtMs: number | undefined, sentAtMs: number): void
  /** The worker's machine, named by its id if it has one, has started anew: the incarnation before `bornAtMs` has crashed with everything that ran there, or ended by its drain. */
  onWorkerCrashed (workerId: string, machine: string, bornAtMs: number, wasDraining: boolean): void
}

/** How long a lost run may still be attributed to a crash, in ms: longer than a machine takes to restart. */
const attributionMs = 60_000
/**
 * Nothing is given up earlier than this after the last crash became known, in ms: what shows a crash of many workers is learnt seconds apart. Workers that do not
 * answer are waited for up to the second time.
 */
const minSettleMs = 1_500
const maxSettleMs = 6_000
/** Interval at which open questions are looked at again, in ms. */
const reviewMs = 250
/** While a unit waits for lost workers, how long they have been waited for is stored in this interval, in ms: a takeover makes the wait longer by this at most, and by the time without a scheduler. */
const pendingWriteMs = 2_000
/** The most runs with crashes that are kept for a unit; the latest. */
const maxRecordedRuns = 12

/** How long the index of the workers' births is used, in ms. */
const birthsMaxAgeMs = 100

/** A run that was lost with its worker. */
interface LostRun {
  readonly unit: Unit
  readonly record: CrashRecord
  /** Undefined if an earlier term has lost it. */
  readonly member: Member | undefined
  readonly lostAtMs: number
}

/** A run on a worker that has crashed. */
interface ExposedRun {
  readonly unit: Unit
  readonly run: number
  readonly indices: number[]
  presence: Presence
  minRanMs: number | undefined
  maxRanMs: number
  readonly ownMachines: ReadonlySet<string>
}

/** A crash under one unit that later evidence may still change. */
interface Exposure {
  readonly unit: Unit
  readonly record: CrashRecord
  readonly location: WorkerLocation
  readonly ownMachines: ReadonlySet<string>
  readonly circumstances: CrashCircumstances
  readonly learntAtMs: number
}

/** A crash, as the worker pool reports it. */
interface EarlyCrash {
  readonly workerId: string
  readonly machine: string
  readonly bornAtMs: number
  readonly wasDraining: boolean
}

/** Creates the tracking of one term. */
export function createCrashTracking (host: CrashTrackingHost): CrashTracking {
  const { logger } = host
  /** Lost runs by machine. */
  const lostRuns = new Map<string, LostRun[]>()
  /** Lives of earlier terms that this term has not seen on the list, by machine: worker and birth. The worker pool does not notice their crashes. */
  const earlierLives = new Map<string, Map<string, number>>()
  /** The start of the latest incarnation, by worker, whose predecessor's crash has been attributed. */
  const attributedBornAtMs = new Map<string, number>()
  /** The machines that have crashed in this term, with the units of their crashes. */
  const crashedMachines = new Map<string, Set<Unit>>()
  /** When the latest report of each worker was requested. */
  const reportSentAtMs = new Map<string, number>()
  /** Runs that have probably started in the new life of a crashed worker, with the birth of that life, until a report shows it. */
  const inNewLife = new Map<Member, number>()
  /** Runs whose worker has answered without them. */
  const absent = new WeakSet<Member>()
  let exposures: Exposure[] = []
  /** Units whose decision may change with time alone. */
  const openUnits = new Set<Unit>()
  /** When the crashes under a unit were last given to the store. */
  const storedAtMs = new WeakMap<Unit, number>()
  let births: { readonly index: BirthIndex, readonly byMachine: ReadonlyMap<string, WorkerLocation>, readonly atMs: number } | undefined
  let isReviewScheduled = false
  /** The crashes that the list of workers has shown before the stored attempts were taken over; undefined afterwards. */
  let earlyCrashes: EarlyCrash[] | undefined = []

  return { onRestored, onAllRestored, onRunLost, onRunAbsent, onRunReported, onReport, onWorkerCrashed }

  function onRestored (unit: Unit): void {
    const nowMs = performance.now()
    for (const record of unit.crashes) {
      if (record.pendingSinceMs === undefined) continue
      record.restoredAtMs = nowMs
      addLostRun({ unit, record, member: undefined, lostAtMs: nowMs })
      addEarlierLife(record.machine, record.machine, record.bornAtMs)
    }
    for (const { machine, workerId, bornAtMs } of unit.attempts.flatMap(({ members }) => members)) addEarlierLife(machine, workerId, bornAtMs)
    if (unit.crashes.length > 0) decide(unit)
  }

  function onAllRestored (): void {
    const crashes = earlyCrashes ?? []
    earlyCrashes = undefined
    for (const { workerId, machine, bornAtMs, wasDraining } of crashes) onWorkerCrashed(workerId, machine, bornAtMs, wasDraining)
  }

  function addEarlierLife (machine: string, workerId: string, bornAtMs: number): void {
    const lives = earlierLives.get(machine) ?? new Map<string, number>()
    earlierLives.set(machine, lives.set(workerId, bornAtMs))
  }

  function addLostRun (lost: LostRun): void {
    for (const [machine, runs] of lostRuns) if (runs.every(({ lostAtMs }) => lost.lostAtMs - lostAtMs > attributionMs)) lostRuns.delete(machine)
    const runs = lostRuns.get(lost.record.machine)
    if (runs === undefined) lostRuns.set(lost.record.machine, [lost])
    else runs.push(lost)
  }

  function onRunLost (member: Member): void {
    if (absent.has(member)) return
    const bornAtMs = member.reportedBornAtMs ?? inNewLife.get(member) ?? member.bornAtMs
    inNewLife.delete(member)
    if (bornAtMs < (attributedBornAtMs.get(member.workerId) ?? -Infinity)) return
    const nowMs = performance.now()
    const { unit, run } = member.attempt
    const record = { run, indices: [member.index], machine: member.machine, bornAtMs, cause: EndCause.Unknown, pendingSinceMs: nowMs, likelihoodRatio: 1, ranMs: 0, isCounted: false }
    addLostRun({ unit, record, member, lostAtMs: nowMs })
    addRecord(unit, record)
    decide(unit)
  }

  /** A run that was taken for one of the new life and is not there ended with the life before. */
  function onRunAbsent (member: Member): void {
    absent.add(member)
    const bornAtMs = inNewLife.get(member)
    if (bornAtMs === undefined) return
    inNewLife.delete(member)
    recordCrash(member.workerId, member.machine, bornAtMs, [toExposedRun(member, Presence.Confirmed, member.startedAtMs ?? performance.now())])
  }

  function onRunReported (member: Member, reportBornAtMs: number | undefined, origin: ReportOrigin, how?: EndKind): void {
    const { unit, run } = member.attempt
    inNewLife.delete(member)
    member.reportedAtMs = getLatestRequestMs(member, origin, reportBornAtMs)
    member.reportedBornAtMs = reportBornAtMs
    if (unit.crashes.length === 0) return
    const workedMs = getWorkedMs(member, origin)
    const isRefuted = (record: CrashRecord): boolean => isContradicted(record, member.index, run, workedMs) ||
      (record.run === run && record.machine === member.machine && record.indices.includes(member.index) && reportBornAtMs !== undefined && reportBornAtMs > record.bornAtMs)
    const refuted = unit.crashes.filter(isRefuted)
    if (refuted.length === 0) {
      if (how !== undefined && how !== EndKind.Done) recordUsedStart(member, workedMs)
      return
    }
    const remaining = unit.crashes.flatMap(record => isRefuted(record) ? withoutIndex(record, member.index) : [record])
    unit.crashes = remaining
    logger.info('a crash does not count under a task', { ...describeTask(unit, member.index), runs: refuted.map(record => record.run), reason: refuted.some(record => record.run === run) ? 'the new life of the worker has the run' : 'a later run has worked for longer', workedMs: Math.round(workedMs) })
    decide(unit)
  }

  function recordUsedStart ({ attempt: { unit, run }, index, machine, bornAtMs }: Member, workedMs: number): void {
    if (!usesUpStart(unit.crashes, index, workedMs, performance.now()) || unit.crashes.some(record => record.run === run && record.indices.includes(index))) return
    addRecord(unit, { run, indices: [index], machine, bornAtMs, cause: EndCause.WithoutCrash, likelihoodRatio: 1, ranMs: Math.max(0, workedMs), isCounted: true })
    logger.info('a run without a crash uses up a start after three crashes', { ...describeTask(unit, index), run, workedMs: Math.round(workedMs), ...describeJudgement(decide(unit)) })
  }

  function onReport (info: ListedWorker, reportBornAtMs: number | undefined, sentAtMs: number): void {
    const machine = info.machineId ?? info.workerId
    const bornAtMs = reportBornAtMs ?? info.bornAtMs
    const lives = earlierLives.get(machine)
    if (lives !== undefined) {
      earlierLives.delete(machine)
      for (const [workerId, earlierBornAtMs] of lives) {
        if (earlierBornAtMs >= bornAtMs) continue
        onWorkerCrashed(workerId, machine, bornAtMs, false)
        if (workerId !== info.workerId) host.onEarlierLifeEnded(workerId)
      }
    }
    // Answers to later requests may arrive first.
    reportSentAtMs.set(info.workerId, Math.max(reportSentAtMs.get(info.workerId) ?? -Infinity, sentAtMs))
    const lost = lostRuns.get(machine)
    if (lost === undefined) return
    lostRuns.delete(machine)
    for (const { unit, record } of lost) {
      removeRecord(unit, record)
      decide(unit)
    }
  }

  function onWorkerCrashed (workerId: string, machine: string, bornAtMs: number, wasDraining: boolean): void {
    if (earlyCrashes !== undefined) {
      earlyCrashes.push({ workerId, machine, bornAtMs, wasDraining })
      return
    }
    if (bornAtMs <= (attributedBornAtMs.get(workerId) ?? -Infinity)) return
    attributedBornAtMs.set(workerId, bornAtMs)
    const birthMs = getBirthMs(workerId, bornAtMs)
    // Runs of the new life are waited for until it reports.
    const lostOnMachine = lostRuns.get(machine) ?? []
    const lost = lostOnMachine.filter(({ record }) => record.bornAtMs < bornAtMs)
    const awaited = lostOnMachine.filter(({ record }) => record.bornAtMs >= bornAtMs)
    if (awaited.length > 0) lostRuns.set(machine, awaited)
    else lostRuns.delete(machine)
    const current = [...host.getMembers(workerId)].filter(({ state }) => state === MemberState.StartSent || state === MemberState.Running)
    const exposed: ExposedRun[] = []
    for (const member of [...current, ...lost.flatMap(run => run.member ?? [])]) {
      const presence = getPresence(toRunOnLife(member), bornAtMs, birthMs)
      if (presence === Presence.InNewLife) inNewLife.set(member, bornAtMs)
      else if (presence !== Presence.None) exposed.push(toExposedRun(member, presence, birthMs))
    }
    for (const { unit, record, member } of lost) {
      removeRecord(unit, record)
      if (member !== undefined) continue
      exposed.push({ unit, run: record.run, indices: [...record.indices], presence: Presence.Restored, minRanMs: undefined, maxRanMs: getMaxRanMs(undefined, 0), ownMachines: new Set([machine, ...getJobMachines(unit.job)]) })
    }
    recordCrash(workerId, machine, bornAtMs, exposed, wasDraining)
    for (const { unit } of lost) decide(unit)
  }

  /** The birth of a life by the monotonic clock. The worker's clock may differ from this host's, so the last contact with the life before bounds it. */
  function getBirthMs (workerId: string, bornAtMs: number): number {
    const nowMs = performance.now()
    return Math.min(nowMs, Math.max(reportSentAtMs.get(workerId) ?? -Infinity, nowMs - (Date.now() - bornAtMs)))
  }

  function toExposedRun (member: Member, presence: Presence, birthMs: number): ExposedRun {
    const startMs = member.startedAtMs ?? (member.runningSinceMs < Infinity ? member.runningSinceMs : undefined)
    const minRanMs = startMs === undefined ? undefined : Math.max(0, getSeenForMs(member))
    // The request for the first report may be older than the run, which only makes the longest time longer.
    const reportedForMs = startMs === undefined ? undefined : Math.max(0, getSeenForMs(member), (member.reportedAtMs ?? startMs) - startMs)
    const maxRanMs = getMaxRanMs(reportedForMs, startMs === undefined ? 0 : birthMs - startMs)
    const { unit, run, members } = member.attempt
    return { unit, run, indices: [member.index], presence, minRanMs, maxRanMs, ownMachines: new Set([...getJobMachines(unit.job), ...members.map(({ machine }) => machine)]) }
  }

  /** The machines on which tasks of the job run or have crashed: its tasks have one payload, so what one of them does others may do at the same moment. */
  function getJobMachines (job: TrackedJob): readonly string[] {
    return getUnits(job).flatMap(({ crashes, attempts }) => [...crashes, ...attempts.flatMap(({ members }) => members)].map(({ machine }) => machine))
  }

  function recordCrash (workerId: string, machine: string, bornAtMs: number, runs: readonly ExposedRun[], wasDraining = false): void {
    const exposed = mergeMembers(runs)
    const units = new Set(exposed.map(({ unit }) => unit))
    const location = getLocation(machine, bornAtMs)
    logger.warn(wasDraining ? 'worker has ended while it was draining' : 'worker crashed', { workerId, machine, bornAtMs, ...getBirths().index.measure(location, new Set()), tasks: exposed.flatMap(({ unit, indices }) => indices.map(index => formatTask(unit, index))) })
    const earlierUnits = crashedMachines.get(machine) ?? new Set()
    const probabilities = new Map([...units].map(unit => [unit, judge(unit.crashes, performance.now()).probability]))
    const allProbabilities = [...probabilities.values()].reduce((sum, probability) => sum + probability, 0)
    for (const { unit, run, indices, presence, minRanMs, maxRanMs, ownMachines } of exposed) {
      if (!wasDraining) unit.avoidedWorkers.add(workerId).add(machine)
      const coincidence = getBirths().index.measure(location, ownMachines)
      const circumstances = {
        presence,
        minRanMs,
        wasDraining,
        coincidentShare: coincidence.share,
        // A second crash of one machine under one unit may have the cause of the first in the machine as well as in the unit.
        hasMachineCrashedBefore: [...earlierUnits].some(earlier => earlier !== unit) || unit.crashes.some(earlier => earlier.cause === EndCause.Crash && earlier.machine === machine && earlier.run !== run),
        othersProbability: allProbabilities - (probabilities.get(unit) ?? 0)
      }
      const likelihoodRatio = getLikelihoodRatio(circumstances)
      const known = findEarlierRecord(unit, run, indices, machine, bornAtMs)
      const record = known ?? { run, indices, machine, bornAtMs: bornAtMs - 1, cause: wasDraining ? EndCause.Drain : EndCause.Crash, likelihoodRatio, ranMs: maxRanMs, isCounted: isCounted(circumstances) }
      if (known === undefined) addRecord(unit, record)
      else known.likelihoodRatio = Math.min(known.likelihoodRatio, likelihoodRatio)
      exposures.push({ unit, record, location, ownMachines, circumstances, learntAtMs: performance.now() })
      const judgement = decide(unit)
      logger.info(wasDraining ? 'the end of a draining worker is recorded under a task' : 'a crash counts under a task', { ...describeTask(unit, indices[0]), run, workerId, machine, ...describeRecord(record), presence, ...coincidence, birthAgeMs: Date.now() - bornAtMs, minRanMs: roundMs(minRanMs), wasDraining, machineCrashedBefore: circumstances.hasMachineCrashedBefore, othersProbability: round(circumstances.othersProbability), ...describeJudgement(judgement) })
    }
    if (!wasDraining) crashedMachines.set(machine, new Set([...earlierUnits, ...units]))
  }

  /** An earlier term that has recorded the end of this life knew what the worker had answered and whether it was draining; only later births speak for the unit. */
  function findEarlierRecord (unit: Unit, run: number, indices: readonly number[], machine: string, bornAtMs: number): CrashRecord | undefined {
    return unit.crashes.find(known => known.run === run && known.machine === machine && known.bornAtMs === bornAtMs - 1 &&
      (known.cause === EndCause.Crash || known.cause === EndCause.Drain) && indices.every(index => known.indices.includes(index)))
  }

  function getBirths (): NonNullable<typeof births> {
    const nowMs = performance.now()
    if (births !== undefined && nowMs - births.atMs < birthsMaxAgeMs) return births
    const locations = [...host.getWorkers()].map(({ info: { workerId, machineId = workerId, service, domain, rack, bornAtMs }, reportedBornAtMs }): WorkerLocation => ({ machine: machineId, service, domain, rack, bornAtMs: Math.max(bornAtMs, reportedBornAtMs) }))
    births = { index: createBirthIndex(locations), byMachine: new Map(locations.map(location => [location.machine, location])), atMs: nowMs }
    return births
  }

  function getLocation (machine: string, bornAtMs: number): WorkerLocation {
    if (!getBirths().byMachine.has(machine)) births = undefined
    const { service = '', domain = '', rack = '' } = getBirths().byMachine.get(machine) ?? {}
    return { machine, service, domain, rack, bornAtMs }
  }

  // Deciding

  function decide (unit: Unit, haveRecordsChanged = true): Judgement {
    const nowMs = performance.now()
    const judgement = judge(unit.crashes, nowMs)
    openUnits.delete(unit)
    if (unit.isDone || isTerminal(unit.job.state)) return judgement
    const wasWithheld = unit.isWithheld
    unit.suspicion = getSuspicion(judgement.verdict)
    const isGivenUp = judgement.verdict === Verdict.GiveUp
    unit.isWithheld = isGivenUp || judgement.runsAtRisk >= maxCrashRuns
    if (isGivenUp && isSettled(unit, nowMs)) {
      logger.warn('a task is given up, as workers crash under it', { ...describeTask(unit, undefined), ...describeJudgement(judgement), records: unit.crashes.map(describeRecord) })
      host.onGivenUp(unit)
      return judgement
    }
    if (unit.isWithheld) openUnits.add(unit)
    if (unit.isWithheld && !wasWithheld) logger.info('a unit waits for evidence about crashed workers', { ...describeTask(unit, undefined), ...describeJudgement(judgement) })
    if (haveRecordsChanged || (unit.isWithheld && nowMs - (storedAtMs.get(unit) ?? -Infinity) >= pendingWriteMs)) {
      storedAtMs.set(unit, nowMs)
      host.commit(unit.job)
    }
    scheduleReview()
    return judgement
  }

  /** Tells whether nothing more is expected that could speak for the unit: a worker that does not answer may have crashed too, and a run may go on well. */
  function isSettled (unit: Unit, nowMs: number): boolean {
    const learntAtMs = Math.max(...exposures.filter(exposure => exposure.unit === unit).map(exposure => exposure.learntAtMs), -Infinity)
    if (nowMs - learntAtMs < minSettleMs) return false
    if (nowMs - learntAtMs >= maxSettleMs) return true
    const isRunning = unit.attempts.some(({ members }) => members.some(({ state }) => state === MemberState.Running))
    return !isRunning && [...host.getWorkers()].every(worker => worker.isReachable || !worker.isListed)
  }

  function scheduleReview (): void {
    if (isReviewScheduled || (exposures.length === 0 && openUnits.size === 0)) return
    isReviewScheduled = true
    setTimeout(review, reviewMs)
  }

  /** Crashes of the same moment are learnt seconds apart: the evidence of each is weighed again. It only loses weight, as later lives hide earlier births. */
  function review (): void {
    isReviewScheduled = false
    if (host.signal.aborted) return
    const nowMs = performance.now()
    const revised = new Set<Unit>()
    for (const { unit, record, location, ownMachines, circumstances } of exposures) {
      if (!unit.crashes.includes(record)) continue
      const coincidence = getBirths().index.measure(location, ownMachines)
      const now = { ...circumstances, coincidentShare: coincidence.share }
      const ratio = getLikelihoodRatio(now)
      if (ratio >= record.likelihoodRatio) continue
      record.likelihoodRatio = ratio
      record.isCounted = record.isCounted && isCounted(now)
      revised.add(unit)
      logger.info('a crash under a task is weighed anew', { ...describeTask(unit, record.indices[0]), ...describeRecord(record), ...coincidence, ...describeJudgement(judge(unit.crashes, nowMs)) })
    }
    exposures = exposures.filter(({ learntAtMs }) => nowMs - learntAtMs < maxSettleMs + 2 * reviewMs)
    for (const unit of new Set([...revised, ...openUnits])) decide(unit, revised.has(unit))
    scheduleReview()
  }

  function addRecord (unit: Unit, record: CrashRecord): void {
    const kept = unit.crashes.filter(known => !(known.run === record.run && known.machine === record.machine && known.indices.every(index => record.indices.includes(index))))
    kept.push(record)
    const runs = [...new Set(kept.map(({ run }) => run))].slice(-maxRecordedRuns)
    const oldestPendingMs = performance.now() - attributionMs
    unit.crashes = kept.filter(({ run, pendingSinceMs = Infinity }) => runs.includes(run) && pendingSinceMs > oldestPendingMs)
  }

  function removeRecord (unit: Unit, record: CrashRecord): void {
    unit.crashes = unit.crashes.filter(known => known !== record)
  }
}

function toRunOnLife ({ bornAtMs, reportedBornAtMs, startedAtMs, startExclusion, attempt }: Member): RunOnLife {
  return { plannedBornAtMs: bornAtMs, reportedBornAtMs, startedAtMs, startExcludedAtMs: startExclusion?.atMs, isRestored: attempt.isRestored }
}

/** Merges the members of one unit that were on the same worker. */
function mergeMembers (runs: readonly ExposedRun[]): readonly ExposedRun[] {
  const byUnit = new Map<Unit, ExposedRun>()
  for (const run of runs) {
    const merged = byUnit.get(run.unit)
    if (merged === undefined || merged.run < run.run) byUnit.set(run.unit, run)
    else if (merged.run === run.run) {
      for (const index of run.indices) if (!merged.indices.includes(index)) merged.indices.push(index)
      // The strongest presence of any member is that of the unit.
      if (run.presence === Presence.Confirmed) Object.assign(merged, { presence: run.presence, minRanMs: run.minRanMs, maxRanMs: run.maxRanMs })
    }
  }
  return [...byUnit.values()]
}

function withoutIndex (record: CrashRecord, index: number): readonly CrashRecord[] {
  const indices = record.indices.filter(other => other !== index)
  return indices.length === 0 ? [] : [{ ...record, indices }]
}

function formatTask ({ job, occurrence, step }: Unit, index: number): string {
  return formatTaskName({ jobId: job.spec.jobId, occurrence, step, index })
}

function describeTask ({ job, occurrence, step, index: unitIndex }: Unit, index: number | undefined): object {
  return { jobId: job.spec.jobId, occurrence, step, index: index ?? unitIndex }
}

function describeRecord ({ run, machine, cause, likelihoodRatio, ranMs, isCounted: counts }: CrashRecord): object {
  return { run, machine, cause, likelihoodRatio: round(likelihoodRatio), maxRanMs: Math.round(ranMs), isCounted: counts }
}

function describeJudgement ({ verdict, probability, crashes, runsAtRisk }: Judgement): object {
  return { verdict, probability: round(probability), crashes, runsAtRisk }
}

function round (value: number): number {
  return Math.round(1_000 * value) / 1_000
}

function roundMs (value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value)
}
