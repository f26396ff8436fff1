/**
 * Quarantines workers whose runs show that they are faulty: workers that fail everything they start, that stall, or that become
 * several times slower. Failures and slow runs are compared with those of the same work on other workers, and only a limited
 * share of the workers of each service, and of those to which labels confine work, is quarantined at once. Which worker makes a gang slow is
 * decided in slowWorkers.ts. Does no I/O.
 */
import type { Logger } from '../common/logger.js'
import { EndKind } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member, Unit } from '../jobs/trackedJob.js'
import { createSlowWorkers } from './slowWorkers.js'
import type { SlowRun } from './slowWorkers.js'

/** What the health tracking needs from outside. */
export interface WorkerHealthHost {
  readonly logger: Logger
  /** The service of a worker; undefined if the worker is gone. */
  readonly getService: (workerId: string) => string | undefined
  readonly countWorkers: (service: string | undefined) => number
  /** The sets of workers to which waiting or running work is confined by a required label, without workers that cannot be used for other reasons. */
  readonly getConfinedSets?: () => readonly ReadonlySet<string>[]
  /** The mean duration of a queue's runs, in ms; undefined if it is not known yet. */
  readonly getMeanRunMs: (queue: string) => number | undefined
  /** Tells whether a worker has started so recently that its runs are slower than they will be. */
  readonly isCold?: (workerId: string) => boolean
  /** Called with the pace of a run, as a share of the expected pace; the workers are those on which it depends. */
  readonly onPace?: (workerIds: readonly string[], paceShare: number, nowMs: number) => void
  /** Called when a worker has been found to be slow. */
  readonly onSlowWorker?: (workerId: string, paceShare: number, nowMs: number) => void
}

/** The health of all workers during one scheduler term. Times are by the monotonic clock, in ms. */
export interface WorkerHealth {
  /** Evaluates the progress of a worker's members after a report. Returns the attempts to stop so that they run on other workers. */
  onReport (workerId: string, members: Iterable<Member>, nowMs: number): readonly Attempt[]
  onEnd (member: Member, endKind: EndKind, nowMs: number): void
  /** Records that the worker has refused a start because it is not healthy. */
  onRefusal (workerId: string, nowMs: number): void
  isQuarantined (workerId: string, nowMs: number): boolean
  /** Releases workers until the limit holds for each set to which work is confined: work that requires a label may arrive after the quarantine. */
  releaseConfined (nowMs: number): void
  /** Tells whether the unit was moved off the worker so recently that it should not start there again. */
  isLeft (unit: Unit, workerId: string, nowMs: number): boolean
  /** How long a poll of the worker may wait, in ms, so that a slow run is noticed early; undefined if the usual time will do. */
  getPollWaitMs (workerId: string, members: Iterable<Member>, nowMs: number): number | undefined
  getQuarantined (nowMs: number): readonly { readonly workerId: string, readonly reason: string }[]
}

/** Duration of a quarantine, in ms. A quarantine for stalled runs ends earlier, as soon as they make progress. */
const quarantineMs = 4_000
/** Duration of the quarantine after a refused start, in ms: short, since a refusal only tells that the worker is unhealthy now. */
const refusalQuarantineMs = 1_500
/** Consecutive failures after which a worker is quarantined; on healthy workers, a few runs in a hundred fail. */
const maxFailures = 2
/** Counted for a failure instead of 1 if the same work has failed on other workers too. */
const repeatedFailureWeight = 0.3
/** Minimum time over which a pace is measured, in ms: in this time, a usual run progresses by several percent. */
const minWindowMs = 450
/** Maximum of this time, in ms: about 2 s are allowed to find a slow worker. */
const maxWindowMs = 2_000
/** A pace is measured over the time of so many percent of a usual run: progress is reported in whole percent. */
const minWindowPercent = 8
/** Minimum time without progress, in ms, after which a run may count as stalled: pauses of some hundred ms occur on healthy workers. */
const minStallMs = 900
/** A run without progress counts as stalled if it was expected to progress by at least so many percent. */
const minExpectedPercent = 5
/** Estimates may be too low by this factor. */
const maxEstimateError = 4
/** A run is slow if its peers, the mean run of its queue or its own earlier pace are faster by this factor. Workers' models differ by less than 1.7. */
const slowFactor = 3
/** A run that has at least this share of the expected pace shows that its worker is not slow. */
const usualPaceShare = 0.65
/** Minimum number of peers, tasks of the same step on other workers, for a comparison with them. */
const minPeers = 2
/** While a queue's mean run is unknown, estimates are relied on after so many of its runs have had the pace that their estimate promises. */
const minUsualRuns = 3
/**
 * The largest share of a service's workers that may be quarantined at once; a single worker always may. Other services' workers cannot do their work.
 * The share also holds for the workers to which a required label confines work. The only one of these is quarantined only after it has refused a
 * start: otherwise a slow or faulty worker is better for the work than none.
 */
const maxQuarantinedShare = 0.34
/** An attempt younger than this, in ms, is restarted elsewhere: a stall lasts some seconds, so waiting would cost more than a restart. */
const cheapRestartMs = 3_000
/** A slow attempt is restarted elsewhere if what remains of it takes longer than the run there by this factor. */
const minRestartGain = 1.5
/**
 * A unit doesn't start again on workers that it was moved off for this long, in ms: what it has freed there would otherwise be the first place
 * that fits. An urgent gang has about 1.5 s of slack, after which a slow place is better than none.
 */
const maxLeftMs = 1_500
/** Time lost by a stop and a new start, in ms. */
const restartCostMs = 400
/** Wait of a poll while a pace of the worker is below usual or a short run has not shown its pace yet, in ms. */
const shortPollWaitMs = 500
/** Runs of less than this, in ms, are polled early after their start: at the usual wait they would be late before they are known to be slow. */
const shortRunMs = 4_000
/** How long a worker is polled often after a pace below usual, in ms. */
const closeWatchMs = 1_500

interface Track {
  /** Start of the window over which the pace is measured. */
  percent: number
  atMs: number
  /** Pace in the last complete window, in percent per second; undefined before its end. */
  progressRate?: number
  /** The highest pace of an earlier window. */
  bestRate: number
  /** Progress at the last report, and the time at which it was reached. */
  stallPercent: number
  stallSinceMs: number
}

interface Pace {
  readonly isSlow: boolean
  /** The pace as a share of the expected one; undefined if nothing is known to compare it with. */
  readonly share?: number
  /** Other runs of the step, or an earlier pace of this run, show that the job is not slow by itself. */
  readonly isJobUsual: boolean
}

interface WorkerRecord {
  failures: number
  quarantinedUntilMs: number
  reason: string
}

/** Creates the health tracking of one scheduler term. */
export function createWorkerHealth (host: WorkerHealthHost): WorkerHealth {
  const records = new Map<string, WorkerRecord>()
  const tracks = new WeakMap<Member, Track>()
  const slowWorkers = createSlowWorkers()
  /** The number of runs of each queue that had their usual pace. */
  const usualRuns = new Map<string, number>()
  const usualAttempts = new WeakSet<Attempt>()
  const watchedUntilMs = new Map<string, number>()
  /** Workers that a unit was moved off because it was slow there, with the time; it has not failed on them. */
  const leftAtMs = new WeakMap<Unit, Map<string, number>>()

  return { onReport, onEnd, onRefusal, isQuarantined, releaseConfined, isLeft, getPollWaitMs, getQuarantined }

  function getRecord (workerId: string): WorkerRecord {
    let record = records.get(workerId)
    if (record === undefined) records.set(workerId, record = { failures: 0, quarantinedUntilMs: -Infinity, reason: '' })
    return record
  }

  function isQuarantined (workerId: string, nowMs: number): boolean {
    return (records.get(workerId)?.quarantinedUntilMs ?? -Infinity) > nowMs
  }

  function getQuarantined (nowMs: number): readonly { readonly workerId: string, readonly reason: string }[] {
    return [...records].filter(([workerId]) => isQuarantined(workerId, nowMs)).map(([workerId, { reason }]) => ({ workerId, reason }))
  }

  function quarantine (workerId: string, reason: string, nowMs: number, forMs: number): void {
    const record = getRecord(workerId)
    const isNew = !isQuarantined(workerId, nowMs)
    if (isNew && !mayQuarantineMore(host.getService(workerId), nowMs)) {
      host.logger.warn('worker not quarantined: too many workers of its service are quarantined already', { workerId, reason })
      return
    }
    const isConfining = isNew && getConfinedSets().some(workerIds => workerIds.has(workerId) && !isWithinLimit(workerIds, countQuarantined(workerIds, nowMs) + 1, reason))
    if (isConfining) {
      host.logger.warn('worker not quarantined: too few others have a label that waiting or running work requires', { workerId, reason })
      return
    }
    record.quarantinedUntilMs = nowMs + forMs
    record.reason = reason
    if (isNew) host.logger.warn('worker quarantined', { workerId, reason, forMs })
  }

  function mayQuarantineMore (service: string | undefined, nowMs: number): boolean {
    const quarantined = getQuarantined(nowMs).filter(({ workerId }) => host.getService(workerId) === service).length
    return quarantined + 1 <= getMaxQuarantined(host.countWorkers(service))
  }

  function getConfinedSets (): readonly ReadonlySet<string>[] {
    return host.getConfinedSets?.() ?? []
  }

  function countQuarantined (workerIds: ReadonlySet<string>, nowMs: number): number {
    return [...workerIds].filter(workerId => isQuarantined(workerId, nowMs)).length
  }

  function releaseConfined (nowMs: number): void {
    const quarantined = getQuarantined(nowMs)
    if (quarantined.length === 0) return
    const confinedSets = getConfinedSets()
    const byEnd = [...quarantined].sort((left, right) => getRecord(left.workerId).quarantinedUntilMs - getRecord(right.workerId).quarantinedUntilMs)
    for (const { workerId, reason } of byEnd) {
      const isExcess = confinedSets.some(workerIds => workerIds.has(workerId) && !isWithinLimit(workerIds, countQuarantined(workerIds, nowMs), reason))
      if (isExcess) release(workerId, nowMs)
    }
  }

  function release (workerId: string, nowMs: number): void {
    if (!isQuarantined(workerId, nowMs)) return
    getRecord(workerId).quarantinedUntilMs = nowMs
    host.logger.info('worker released from quarantine', { workerId })
  }

  function onRefusal (workerId: string, nowMs: number): void {
    quarantine(workerId, refusalReason, nowMs, refusalQuarantineMs)
  }

  function onEnd (member: Member, endKind: EndKind, nowMs: number): void {
    const record = getRecord(member.workerId)
    const { unit } = member.attempt
    if (endKind === EndKind.Done) {
      record.failures = 0
      return
    }
    if (endKind !== EndKind.Failed) return
    const hasFailedElsewhere = [...unit.avoidedWorkers].some(workerId => workerId !== member.workerId && leftAtMs.get(unit)?.has(workerId) !== true)
    record.failures += hasFailedElsewhere ? repeatedFailureWeight : 1
    if (record.failures >= maxFailures) {
      quarantine(member.workerId, `${record.failures} failures in a row`, nowMs, quarantineMs)
      // After the quarantine, one more failure quarantines the worker again.
      record.failures = maxFailures - 1
    }
  }

  function isLeft (unit: Unit, workerId: string, nowMs: number): boolean {
    return nowMs - (leftAtMs.get(unit)?.get(workerId) ?? -Infinity) < maxLeftMs
  }

  function getPollWaitMs (workerId: string, members: Iterable<Member>, nowMs: number): number | undefined {
    if ((watchedUntilMs.get(workerId) ?? -Infinity) > nowMs) return shortPollWaitMs
    watchedUntilMs.delete(workerId)
    for (const member of members) {
      const isUnmeasured = member.state !== MemberState.Ended && !member.attempt.unit.spec.isService && tracks.get(member)?.progressRate === undefined
      if (isUnmeasured && getLongUsualMs(member.attempt.unit) < shortRunMs) return shortPollWaitMs
    }
    return undefined
  }

  function onReport (workerId: string, members: Iterable<Member>, nowMs: number): readonly Attempt[] {
    const stalled: Member[] = []
    let hasProgress = false
    let hasPace = false
    for (const member of members) {
      if (member.state !== MemberState.Running || member.attempt.unit.spec.isService) continue
      const track = tracks.get(member)
      if (track === undefined) {
        const created = createTrack(member, nowMs)
        if (created !== undefined) tracks.set(member, created)
        if (created === undefined || nowMs - created.atMs < minWindowMs) continue
      }
      const current = tracks.get(member) as Track
      if (member.progressPercent > current.stallPercent) {
        hasProgress = true
        current.stallPercent = member.progressPercent
        current.stallSinceMs = nowMs
      } else if (shouldHaveProgressed(member, nowMs - current.stallSinceMs)) stalled.push(member)
      if (nowMs - current.atMs < getWindowMs(member)) continue
      hasPace = true
      onPaceMeasured(member, current, nowMs)
    }
    if (stalled.length > 0 && !hasProgress) return onStalled(workerId, stalled, nowMs)
    const moved = hasPace ? quarantineSlow(nowMs) : []
    if (hasProgress && getRecord(workerId).reason === stallReason) release(workerId, nowMs)
    return moved
  }

  /** The first window begins with the run if its start is known, and for a gang with the start of its last member. Undefined until all members have started. */
  function createTrack (member: Member, nowMs: number): Track | undefined {
    const { attempt } = member
    const { percent, atMs } = { percent: member.progressPercent, atMs: nowMs }
    if (attempt.members.some(other => other.state !== MemberState.Running && other.state !== MemberState.Ended)) return undefined
    const startedAtMs = Math.max(...attempt.members.map(other => other.startedAtMs ?? Infinity))
    const isFromStart = !attempt.isRestored && attempt.unit.checkpoint === '' && Number.isFinite(startedAtMs)
    const start = isFromStart ? { percent: 0, atMs: startedAtMs } : { percent, atMs }
    return { ...start, bestRate: 0, stallPercent: start.percent, stallSinceMs: start.atMs }
  }

  function onPaceMeasured (member: Member, track: Track, nowMs: number): void {
    const { attempt, workerId } = member
    const progressRate = 1_000 * (member.progressPercent - track.percent) / (nowMs - track.atMs)
    const window = { fromMs: track.atMs, toMs: nowMs }
    const pace = getPace(member, progressRate, track.bestRate)
    track.percent = member.progressPercent
    track.atMs = nowMs
    track.progressRate = progressRate
    track.bestRate = Math.max(track.bestRate, progressRate)
    // The pace of fill tasks is set by the scheduler, and that of cold workers tells nothing about their later pace.
    const workerIds = getWorkerIds(attempt)
    if (attempt.unit.spec.isFill || workerIds.some(id => host.isCold?.(id) === true)) return
    if (pace.share !== undefined) host.onPace?.(workerIds, pace.share, nowMs)
    if (pace.share !== undefined && pace.share < usualPaceShare) watchedUntilMs.set(workerId, nowMs + closeWatchMs)
    if (pace.isSlow && progressRate > 0) slowWorkers.addSlow(attempt, workerIds, window, pace.share ?? 1 / slowFactor, pace.isJobUsual)
    else if (pace.share !== undefined && pace.share >= usualPaceShare) {
      slowWorkers.addUsual(attempt, workerId, window)
      const { queue } = attempt.unit.job.spec
      if (!usualAttempts.has(attempt)) usualRuns.set(queue, (usualRuns.get(queue) ?? 0) + 1)
      usualAttempts.add(attempt)
    }
  }

  /** Quarantines the workers that explain the slow runs, and returns the attempts that end earlier elsewhere. */
  function quarantineSlow (nowMs: number): readonly Attempt[] {
    const { workers, runs } = slowWorkers.find(nowMs)
    for (const { workerId, paceShare, latestMs } of workers) {
      // Old evidence must not extend a quarantine.
      if (latestMs < nowMs) continue
      quarantine(workerId, 'its runs are several times slower than usual', nowMs, quarantineMs)
      host.onSlowWorker?.(workerId, paceShare, nowMs)
    }
    return runs.filter(run => shouldMove(run, nowMs)).map(run => {
      const { unit } = run.attempt
      const left = leftAtMs.get(unit) ?? new Map<string, number>()
      leftAtMs.set(unit, left)
      for (const workerId of run.suspects) {
        if (left.has(workerId) || !unit.avoidedWorkers.has(workerId)) left.set(workerId, nowMs)
        unit.avoidedWorkers.add(workerId)
      }
      host.logger.info('a slow run is moved', { jobId: unit.job.spec.jobId, step: unit.step, run: run.attempt.run, suspects: run.suspects, paceShare: run.paceShare, workerLikelihood: run.workerLikelihood, isWorkerFound: run.isWorkerFound, remainingMs: Math.round(getRemainingMs(run.attempt)) })
      return run.attempt
    })
  }

  /**
   * A run ends earlier elsewhere if its worker is slow; if its job is slow, what it has done is lost. So where the slow worker has not been
   * found, the gain and the loss are weighed by their likelihoods, and a unit is moved on such grounds once.
   */
  function shouldMove ({ attempt, isWorkerFound, workerLikelihood }: SlowRun, nowMs: number): boolean {
    if (attempt.stopReason !== undefined || attempt.unit.isDone || attempt.members.some(({ state }) => state === MemberState.Ended)) return false
    const { unit } = attempt
    const remainingMs = getRemainingMs(attempt)
    const remainingShare = unit.spec.hasCheckpoints ? 1 - getProgressPercent(attempt) / 100 : 1
    const elsewhereMs = remainingShare * getLongUsualMs(unit)
    if (remainingMs < minRestartGain * elsewhereMs + restartCostMs) return false
    if (isWorkerFound) return true
    if (leftAtMs.has(unit) || attempt.isRestored) return false
    const gainMs = remainingMs - elsewhereMs - restartCostMs
    const lossMs = restartCostMs + (unit.spec.hasCheckpoints ? 0 : nowMs - attempt.plannedAtMs)
    return workerLikelihood * gainMs > (1 - workerLikelihood) * lossMs
  }

  function getWindowMs (member: Member): number {
    return Math.min(maxWindowMs, Math.max(minWindowMs, minWindowPercent / 100 * getLongUsualMs(member.attempt.unit)))
  }

  /** The longer of the estimate and the queue's mean run. */
  function getLongUsualMs ({ spec, job }: Unit): number {
    return Math.max(spec.estimateMs, host.getMeanRunMs(job.spec.queue) ?? spec.estimateMs)
  }

  function shouldHaveProgressed (member: Member, elapsedMs: number): boolean {
    const { spec, job } = member.attempt.unit
    if (member.progressPercent >= 99 || elapsedMs < minStallMs) return false
    const usualMs = Math.max(spec.estimateMs, host.getMeanRunMs(job.spec.queue) ?? spec.estimateMs * maxEstimateError)
    return 100 * elapsedMs / usualMs >= minExpectedPercent
  }

  /** Compares the pace of a run with that of its peers or, with too few peers, with its own earlier pace and the mean run of its queue. */
  function getPace (member: Member, progressRate: number, bestRate: number): Pace {
    const { spec, job } = member.attempt.unit
    const peers = getPeers(member)
    const peerRates = peers.flatMap(peer => tracks.get(peer)?.progressRate ?? [])
    if (peerRates.length >= minPeers) {
      const share = progressRate / Math.max(Number.MIN_VALUE, getMedian(peerRates))
      return { share: Math.min(share, maxPaceShare), isSlow: share * slowFactor < 1, isJobUsual: true }
    }
    // The peers' paces will be known soon.
    if (peers.length >= minPeers) return { isSlow: false, isJobUsual: false }
    const mean = host.getMeanRunMs(job.spec.queue)
    const hasSlowed = progressRate * slowFactor < bestRate
    const shareOfLong = progressRate * Math.max(mean ?? 0, spec.estimateMs) / 100_000
    const shareOfShort = progressRate * Math.min(mean ?? Infinity, spec.estimateMs) / 100_000
    // Estimates alone may be too low for all jobs of a queue, until some runs have had the pace that the estimate promises.
    const isReferenceKnown = mean !== undefined || (usualRuns.get(job.spec.queue) ?? 0) >= minUsualRuns
    if (!isReferenceKnown && !hasSlowed) return { isSlow: false, isJobUsual: false, share: shareOfShort >= usualPaceShare ? Math.min(shareOfShort, maxPaceShare) : undefined }
    const isSlow = shareOfLong * slowFactor < 1 || (hasSlowed && shareOfLong < usualPaceShare)
    return { share: isSlow ? shareOfLong : Math.min(shareOfShort, maxPaceShare), isSlow, isJobUsual: hasSlowed }
  }

  /** Other tasks of the step that run on other workers. Members of one gang progress together and are not peers. */
  function getPeers (member: Member): readonly Member[] {
    const { unit } = member.attempt
    const units = unit.job.occurrences.get(unit.occurrence)?.[unit.step] ?? []
    const peers = units.filter(other => other !== unit).flatMap(other => other.attempts).flatMap(attempt => attempt.members)
    return peers.filter(peer => peer.workerId !== member.workerId && peer.state === MemberState.Running)
  }

  function onStalled (workerId: string, stalled: readonly Member[], nowMs: number): readonly Attempt[] {
    quarantine(workerId, stallReason, nowMs, quarantineMs)
    return getAttempts(stalled).filter(attempt => isCheapToRestart(attempt, nowMs))
  }

  /** The remaining time of the attempt, in ms, at the pace of its slowest member that progresses. */
  function getRemainingMs (attempt: Attempt): number {
    return Math.max(...attempt.members.map(member => {
      const progressRate = tracks.get(member)?.progressRate ?? 0
      return progressRate > 0 ? 1_000 * (100 - member.progressPercent) / progressRate : 0
    }))
  }

  function isCheapToRestart (attempt: Attempt, nowMs: number): boolean {
    if (attempt.unit.spec.hasCheckpoints) return true
    const isYoung = !attempt.isRestored && nowMs - attempt.plannedAtMs < cheapRestartMs
    return isYoung || attempt.members.every(member => member.progressPercent < 50)
  }
}

const stallReason = 'its runs make no progress'
const refusalReason = 'the worker refused a start as unhealthy'
/** A pace may be this many times the expected one; more is an error of the estimate. */
const maxPaceShare = 2

function getWorkerIds (attempt: Attempt): readonly string[] {
  return [...new Set(attempt.members.map(({ workerId }) => workerId))]
}

function getProgressPercent (attempt: Attempt): number {
  return Math.min(...attempt.members.map(({ progressPercent }) => progressPercent))
}

function getMedian (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

function getAttempts (members: readonly Member[]): readonly Attempt[] {
  return [...new Set(members.map(member => member.attempt))].filter(attempt => attempt.stopReason === undefined)
}

/** Tells whether so many workers of a set to which work is confined may be quarantined, the last of them for the given reason. */
function isWithinLimit (workerIds: ReadonlySet<string>, quarantinedCount: number, reason: string): boolean {
  if (workerIds.size === 1) return reason === refusalReason
  return quarantinedCount <= getMaxQuarantined(workerIds.size)
}

function getMaxQuarantined (workerCount: number): number {
  return Math.max(1, workerCount * maxQuarantinedShare)
}
