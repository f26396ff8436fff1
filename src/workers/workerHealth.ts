/**
 * Judges workers by what their runs do: failures, standstill and slowness, each weighed against the run's peers, with
 * a bound on how many workers are held back at once. Pure bookkeeping; no waiting, no messages.
 * Answers workers that fail all they start, that stand still, or that turn several times slower.
 */
import type { Logger } from '../common/logger.js'
import { EndKind } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member } from '../jobs/trackedJob.js'

/** What the judgement needs from outside. */
export interface WorkerHealthHost {
  readonly logger: Logger
  readonly countWorkers: () => number
  /** The usual time of a queue's runs, in ms. */
  readonly getMeanRunMs: (queue: string) => number | undefined
}

/** The health of all workers of one term. Times are of the steady clock, in ms. */
export interface WorkerHealth {
  /** Takes the members of a worker after a look. Returns attempts that would be better off elsewhere. */
  onLook (workerId: string, members: Iterable<Member>, nowMs: number): readonly Attempt[]
  onEnd (member: Member, how: EndKind, nowMs: number): void
  /** The worker has refused a start because it is not healthy. */
  onRefusal (workerId: string, nowMs: number): void
  isQuarantined (workerId: string, nowMs: number): boolean
  getQuarantined (nowMs: number): readonly { readonly workerId: string, readonly reason: string }[]
}

/** A worker is held back for so long, in ms, unless its runs show sooner that it works. */
const quarantineMs = 4_000
/** A refusal says that the worker is unwell now, so it is asked again soon, in ms. */
const refusalMs = 1_500
/** Failures in a row, without a success, that speak against a worker; natural failures are a few in a hundred. */
const maxFailures = 2
/** A failure of work that has failed on other workers too counts so much. */
const repeatedFailureWeight = 0.3
/** Two looks are compared when so much time lies between them, in ms: enough for several percent of a usual run. */
const minSampleMs = 900
/** A run whose progress should have grown by so many percent by its estimate, and has not, stands still. */
const minExpectedPercent = 5
/** Estimates may be so many times too low. */
const estimateSlack = 4
/** A run is slow when its peers, or the usual run of its queue, are so many times faster. */
const slowFactor = 3.5
/** The pace of fewer tasks of the same step on other workers is no measure. */
const minPeers = 2
/** A worker is slow when runs of so many jobs say so: jobs differ by more than workers do. */
const minSlowJobs = 2
/** At most this share of the workers is held back. */
const maxQuarantinedShare = 0.34
/** Work of so much time is given up rather than awaited, in ms; standstills last some seconds. */
const cheapRestartMs = 3_000

interface Sample {
  readonly percent: number
  readonly atMs: number
  /** Percent a second since the sample before; undefined for the first. */
  readonly pace?: number
}

interface WorkerRecord {
  failures: number
  quarantinedUntilMs: number
  reason: string
}

/** Creates the judgement of one term. */
export function createWorkerHealth (host: WorkerHealthHost): WorkerHealth {
  const records = new Map<string, WorkerRecord>()
  const samples = new WeakMap<Member, Sample>()

  return { onLook, onEnd, onRefusal, isQuarantined, getQuarantined }

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
      host.logger.warn('a worker is not held back, since too many are', { workerId, reason })
      return
    }
    record.quarantinedUntilMs = nowMs + forMs
    record.reason = reason
    if (isNew) host.logger.warn('a worker is held back', { workerId, reason, forMs })
  }

  function release (workerId: string, nowMs: number): void {
    if (!isQuarantined(workerId, nowMs)) return
    getRecord(workerId).quarantinedUntilMs = nowMs
    host.logger.info('a worker is used again', { workerId })
  }

  function onRefusal (workerId: string, nowMs: number): void {
    quarantine(workerId, 'it refuses starts as unhealthy', nowMs, refusalMs)
  }

  function onEnd (member: Member, how: EndKind, nowMs: number): void {
    const record = getRecord(member.workerId)
    const { unit } = member.attempt
    if (how === EndKind.Done) {
      record.failures = 0
      return
    }
    if (how !== EndKind.Failed) return
    const hasFailedElsewhere = [...unit.avoidedWorkers].some(workerId => workerId !== member.workerId)
    record.failures += hasFailedElsewhere ? repeatedFailureWeight : 1
    if (record.failures >= maxFailures) {
      quarantine(member.workerId, `${record.failures} failures in a row`, nowMs, quarantineMs)
      // One more failure after its time is over holds it back again.
      record.failures = maxFailures - 1
    }
  }

  function onLook (workerId: string, members: Iterable<Member>, nowMs: number): readonly Attempt[] {
    const stalled: Member[] = []
    const slow: Member[] = []
    let hasProgress = false
    let isAnyUsual = false
    for (const member of members) {
      if (member.state !== MemberState.Running || member.attempt.unit.spec.isService) continue
      const before = samples.get(member)
      if (before !== undefined && nowMs - before.atMs < minSampleMs) {
        if (member.progressPercent > before.percent) hasProgress = true
        continue
      }
      const pace = before === undefined ? undefined : 1_000 * (member.progressPercent - before.percent) / (nowMs - before.atMs)
      samples.set(member, { percent: member.progressPercent, atMs: nowMs, pace })
      if (before === undefined || pace === undefined) continue
      if (pace > 0) {
        hasProgress = true
        if (isSlow(member, pace)) slow.push(member)
        else isAnyUsual = true
      } else if (shouldHaveProgressed(member, nowMs - before.atMs)) stalled.push(member)
    }
    if (stalled.length > 0 && !hasProgress) return onStandstill(workerId, stalled, nowMs)
    if (!isAnyUsual && isWorkerSlow(slow)) return onSlow(workerId, slow, nowMs)
    if (hasProgress && getRecord(workerId).reason === standstillReason) release(workerId, nowMs)
    return []
  }

  function shouldHaveProgressed (member: Member, elapsedMs: number): boolean {
    const { spec, job } = member.attempt.unit
    if (member.progressPercent >= 99) return false
    const usualMs = Math.max(spec.estimateMs, host.getMeanRunMs(job.spec.queue) ?? spec.estimateMs * estimateSlack)
    return 100 * elapsedMs / usualMs >= minExpectedPercent
  }

  /** Tells whether a run falls behind its peers, or, where it has none, behind the usual run of its queue. */
  function isSlow (member: Member, pace: number): boolean {
    const { spec, job } = member.attempt.unit
    const peers = getPeerPaces(member)
    if (peers.length >= minPeers) return pace * slowFactor < getMedian(peers)
    const mean = host.getMeanRunMs(job.spec.queue)
    return mean !== undefined && 100_000 / pace > slowFactor * Math.max(mean, spec.estimateMs)
  }

  /** The paces of the other tasks of the step on other workers; a gang's members share one pace and are no peers. */
  function getPeerPaces (member: Member): readonly number[] {
    const { unit } = member.attempt
    const units = unit.job.occurrences.get(unit.occurrence)?.[unit.step] ?? []
    const peers = units.filter(other => other !== unit).flatMap(other => other.attempts).flatMap(attempt => attempt.members)
    return peers.filter(peer => peer.workerId !== member.workerId).flatMap(peer => samples.get(peer)?.pace ?? [])
  }

  /** One slow job may be slow by itself, so it takes several, or one whose peers run faster elsewhere. */
  function isWorkerSlow (slow: readonly Member[]): boolean {
    if (slow.some(member => getPeerPaces(member).length >= minPeers)) return true
    return new Set(slow.map(member => member.attempt.unit.job)).size >= minSlowJobs
  }

  function onStandstill (workerId: string, stalled: readonly Member[], nowMs: number): readonly Attempt[] {
    quarantine(workerId, standstillReason, nowMs, quarantineMs)
    return getAttempts(stalled).filter(attempt => isCheapToRestart(attempt, nowMs))
  }

  function onSlow (workerId: string, slow: readonly Member[], nowMs: number): readonly Attempt[] {
    quarantine(workerId, 'its runs are several times slower than usual', nowMs, quarantineMs)
    return getAttempts(slow).filter(attempt => isCheapToRestart(attempt, nowMs))
  }

  function isCheapToRestart (attempt: Attempt, nowMs: number): boolean {
    if (attempt.unit.spec.hasCheckpoints) return true
    return nowMs - attempt.plannedAtMs < cheapRestartMs || attempt.members.every(member => member.progressPercent < 50)
  }
}

const standstillReason = 'its runs stand still'

function getMedian (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.floor(sorted.length / 2)] ?? 0
}

function getAttempts (members: readonly Member[]): readonly Attempt[] {
  return [...new Set(members.map(member => member.attempt))].filter(attempt => attempt.stopReason === undefined)
}
