/**
 * Quarantines workers whose runs show that they are faulty: workers that fail everything they start, that stall, or that become
 * several times slower. Failures and slow runs are compared with those of the same work on other workers, and only a limited
 * share of the workers is quarantined at once. Does no I/O.
 */
import type { Logger } from '../common/logger.js'
import { EndKind } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member } from '../jobs/trackedJob.js'

/** What the health tracking needs from outside. */
export interface WorkerHealthHost {
  readonly logger: Logger
  readonly countWorkers: () => number
  /** The mean duration of a queue's runs, in ms; undefined if it is not known yet. */
  readonly getMeanRunMs: (queue: string) => number | undefined
}

/** The health of all workers during one scheduler term. Times are by the monotonic clock, in ms. */
export interface WorkerHealth {
  /** Evaluates the progress of a worker's members after a report. Returns the attempts to stop so that they run on other workers. */
  onReport (workerId: string, members: Iterable<Member>, nowMs: number): readonly Attempt[]
  onEnd (member: Member, endKind: EndKind, nowMs: number): void
  /** Records that the worker has refused a start because it is not healthy. */
  onRefusal (workerId: string, nowMs: number): void
  isQuarantined (workerId: string, nowMs: number): boolean
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
/** Minimum time between two progress samples, in ms: in this time, a usual run progresses by several percent. */
const minSampleIntervalMs = 900
/** A run without progress counts as stalled if it was expected to progress by at least so many percent. */
const minExpectedPercent = 5
/** Estimates may be too low by this factor. */
const maxEstimateError = 4
/** A run is slow if its peers, or the mean run of its queue, are faster by this factor. */
const slowFactor = 3.5
/** Minimum number of peers, tasks of the same step on other workers, for a comparison with them. */
const minPeers = 2
/** Without peers, a worker is slow only if runs of so many jobs are slow on it: run times differ more between jobs than between workers. */
const minSlowJobs = 2
/** The largest share of the workers that may be quarantined at once; a single worker always may. */
const maxQuarantinedShare = 0.34
/** An attempt younger than this, in ms, is restarted elsewhere: a stall lasts some seconds, so waiting would cost more than a restart. */
const cheapRestartMs = 3_000
/** A slow attempt is restarted elsewhere if what remains of it takes longer than a whole run there by this factor. */
const minRestartGain = 1.5

interface Sample {
  readonly percent: number
  readonly atMs: number
  /** Progress since the previous sample, in percent per second; undefined for the first sample. */
  readonly progressRate?: number
}

interface WorkerRecord {
  failures: number
  quarantinedUntilMs: number
  reason: string
}

/** Creates the health tracking of one scheduler term. */
export function createWorkerHealth (host: WorkerHealthHost): WorkerHealth {
  const records = new Map<string, WorkerRecord>()
  const samples = new WeakMap<Member, Sample>()

  return { onReport, onEnd, onRefusal, isQuarantined, getQuarantined }

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
    if (isNew && getQuarantined(nowMs).length + 1 > Math.max(1, host.countWorkers() * maxQuarantinedShare)) {
      host.logger.warn('worker not quarantined: too many workers are quarantined already', { workerId, reason })
      return
    }
    record.quarantinedUntilMs = nowMs + forMs
    record.reason = reason
    if (isNew) host.logger.warn('worker quarantined', { workerId, reason, forMs })
  }

  function release (workerId: string, nowMs: number): void {
    if (!isQuarantined(workerId, nowMs)) return
    getRecord(workerId).quarantinedUntilMs = nowMs
    host.logger.info('worker released from quarantine', { workerId })
  }

  function onRefusal (workerId: string, nowMs: number): void {
    quarantine(workerId, 'the worker refused a start as unhealthy', nowMs, refusalQuarantineMs)
  }

  function onEnd (member: Member, endKind: EndKind, nowMs: number): void {
    const record = getRecord(member.workerId)
    const { unit } = member.attempt
    if (endKind === EndKind.Done) {
      record.failures = 0
      return
    }
    if (endKind !== EndKind.Failed) return
    const hasFailedElsewhere = [...unit.avoidedWorkers].some(workerId => workerId !== member.workerId)
    record.failures += hasFailedElsewhere ? repeatedFailureWeight : 1
    if (record.failures >= maxFailures) {
      quarantine(member.workerId, `${record.failures} failures in a row`, nowMs, quarantineMs)
      // After the quarantine, one more failure quarantines the worker again.
      record.failures = maxFailures - 1
    }
  }

  function onReport (workerId: string, members: Iterable<Member>, nowMs: number): readonly Attempt[] {
    const stalled: Member[] = []
    const slow: Member[] = []
    let hasProgress = false
    let hasNormalRun = false
    for (const member of members) {
      if (member.state !== MemberState.Running || member.attempt.unit.spec.isService) continue
      const previous = samples.get(member)
      if (previous !== undefined && nowMs - previous.atMs < minSampleIntervalMs) {
        if (member.progressPercent > previous.percent) hasProgress = true
        continue
      }
      const progressRate = previous === undefined ? undefined : 1_000 * (member.progressPercent - previous.percent) / (nowMs - previous.atMs)
      samples.set(member, { percent: member.progressPercent, atMs: nowMs, progressRate })
      if (previous === undefined || progressRate === undefined) continue
      if (progressRate > 0) {
        hasProgress = true
        if (isSlow(member, progressRate)) slow.push(member)
        else hasNormalRun = true
      } else if (shouldHaveProgressed(member, nowMs - previous.atMs)) stalled.push(member)
    }
    if (stalled.length > 0 && !hasProgress) return onStalled(workerId, stalled, nowMs)
    if (!hasNormalRun && isWorkerSlow(slow)) return onSlow(workerId, slow, nowMs)
    if (hasProgress && getRecord(workerId).reason === stallReason) release(workerId, nowMs)
    return []
  }

  function shouldHaveProgressed (member: Member, elapsedMs: number): boolean {
    const { spec, job } = member.attempt.unit
    if (member.progressPercent >= 99) return false
    const usualMs = Math.max(spec.estimateMs, host.getMeanRunMs(job.spec.queue) ?? spec.estimateMs * maxEstimateError)
    return 100 * elapsedMs / usualMs >= minExpectedPercent
  }

  /** Tells whether a run is slower than its peers or, with too few peers, than the mean run of its queue. */
  function isSlow (member: Member, progressRate: number): boolean {
    const { spec, job } = member.attempt.unit
    const peers = getPeerProgressRates(member)
    if (peers.length >= minPeers) return progressRate * slowFactor < getMedian(peers)
    const mean = host.getMeanRunMs(job.spec.queue)
    return mean !== undefined && 100_000 / progressRate > slowFactor * Math.max(mean, spec.estimateMs)
  }

  /** Progress rates of other tasks of the step on other workers. Members of one gang progress together and are not peers. */
  function getPeerProgressRates (member: Member): readonly number[] {
    const { unit } = member.attempt
    const units = unit.job.occurrences.get(unit.occurrence)?.[unit.step] ?? []
    const peers = units.filter(other => other !== unit).flatMap(other => other.attempts).flatMap(attempt => attempt.members)
    return peers.filter(peer => peer.workerId !== member.workerId).flatMap(peer => samples.get(peer)?.progressRate ?? [])
  }

  /** A slow run may be due to its job, so a worker is slow only if runs of several jobs are slow on it, or a run with enough peers is. */
  function isWorkerSlow (slow: readonly Member[]): boolean {
    if (slow.some(member => getPeerProgressRates(member).length >= minPeers)) return true
    return new Set(slow.map(member => member.attempt.unit.job)).size >= minSlowJobs
  }

  function onStalled (workerId: string, stalled: readonly Member[], nowMs: number): readonly Attempt[] {
    quarantine(workerId, stallReason, nowMs, quarantineMs)
    return getAttempts(stalled).filter(attempt => isCheapToRestart(attempt, nowMs))
  }

  function onSlow (workerId: string, slow: readonly Member[], nowMs: number): readonly Attempt[] {
    quarantine(workerId, 'its runs are several times slower than usual', nowMs, quarantineMs)
    return getAttempts(slow).filter(attempt => isCheapToRestart(attempt, nowMs) || isFasterElsewhere(attempt))
  }

  /** Compares the rest of the attempt, at the pace of its slowest member that progresses, with a whole run at the usual pace. */
  function isFasterElsewhere (attempt: Attempt): boolean {
    const { spec, job } = attempt.unit
    const usualMs = Math.max(spec.estimateMs, host.getMeanRunMs(job.spec.queue) ?? spec.estimateMs)
    const remainingMs = attempt.members.map(member => {
      const progressRate = samples.get(member)?.progressRate ?? 0
      return progressRate > 0 ? 1_000 * (100 - member.progressPercent) / progressRate : 0
    })
    return Math.max(...remainingMs) > minRestartGain * usualMs
  }

  function isCheapToRestart (attempt: Attempt, nowMs: number): boolean {
    if (attempt.unit.spec.hasCheckpoints) return true
    const isYoung = !attempt.isRestored && nowMs - attempt.plannedAtMs < cheapRestartMs
    return isYoung || attempt.members.every(member => member.progressPercent < 50)
  }
}

const stallReason = 'its runs make no progress'

function getMedian (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

function getAttempts (members: readonly Member[]): readonly Attempt[] {
  return [...new Set(members.map(member => member.attempt))].filter(attempt => attempt.stopReason === undefined)
}
