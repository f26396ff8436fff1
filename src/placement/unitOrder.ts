/** The order in which waiting units get workers, and the order in which running work is preempted. Does no I/O. */
import type { QueueSettings } from '../configuration/configuration.js'
import { isTerminal } from '../jobs/jobModel.js'
import { getUnits } from '../jobs/trackedJob.js'
import type { Attempt, TrackedJob, Unit } from '../jobs/trackedJob.js'
import type { Victim } from './preemption.js'

/** Looks up the settings of a job's queue. */
export type GetQueue = (job: TrackedJob) => QueueSettings | undefined

/** Value of one accelerator in cores. Source: the users' price list. */
const coresPerAccelerator = 8
/**
 * The most work that preemption for a unit may discard, as a multiple of the unit's work plus `baseValueCoreS`.
 * Source: the users' price list, by which an urgent job that meets its objective is worth the loss of about five times its work in
 * core-seconds, and other jobs about half.
 */
const maxLossFactorOfUrgent = 4.5
const maxLossFactorOfOthers = 0.5
/** Value of a job in addition to its work, in core-seconds, so that small jobs count for more than their work. */
const baseValueCoreS = 100
/** Run time lost by every stop and restart, in s. */
const restartCostS = 0.4
/** The priority of jobs whose queue is unknown; lower numbers come first. */
const lowestPriority = 1_000

/** What decides the order of a unit; computed once for each step in a planning pass. */
export interface UnitRank {
  readonly isGuaranteed: boolean
  readonly priority: number
  /** Its latest start has passed: even if it starts now, its job misses its objective. */
  readonly isLate: boolean
  readonly acceptedAtMs: number
}

/**
 * Guaranteed jobs first, then by priority, then those that can still meet their objective, then by the time of acceptance. Load: more
 * work than there is room for. In the order of acceptance alone every job of a queue would wait until it is late, and each that starts
 * would make the next one late too.
 */
export function compareRanks (left: UnitRank, right: UnitRank): number {
  if (left.isGuaranteed !== right.isGuaranteed) return left.isGuaranteed ? -1 : 1
  if (left.priority !== right.priority) return left.priority - right.priority
  if (left.isLate !== right.isLate) return left.isLate ? 1 : -1
  return left.acceptedAtMs - right.acceptedAtMs
}

/**
 * The attempts that may be preempted for a unit, cheapest first: those of lower priority and, if the unit's guarantee is due, also
 * those of the same priority. Guaranteed work and services are never preempted.
 */
export function getVictims (unit: Unit, jobs: Iterable<TrackedJob>, getQueue: GetQueue, isGuaranteed: (job: TrackedJob) => boolean, isReclaimDue: boolean): readonly Victim[] {
  const priority = getPriority(unit.job, getQueue)
  const protectedPriority = isReclaimDue ? priority - 1 : priority
  const victims: Victim[] = []
  for (const job of jobs) {
    if (isTerminal(job.state) || getPriority(job, getQueue) <= protectedPriority || isGuaranteed(job)) continue
    for (const other of getUnits(job)) {
      if (other.isDone || other.spec.isService) continue
      for (const attempt of other.attempts) if (attempt.stopReason === undefined) victims.push({ attempt, cost: getLoss(attempt) })
    }
  }
  return victims.sort((left, right) => left.cost - right.cost)
}

/** The most work that preemption for the unit may discard, in core-seconds. */
export function getMaxLoss (unit: Unit, expectedMs: number, isUrgent: boolean): number {
  const workCoreS = unit.size * getCores(unit) * expectedMs / 1_000
  return (isUrgent ? maxLossFactorOfUrgent : maxLossFactorOfOthers) * (baseValueCoreS + workCoreS)
}

function getCores ({ spec }: Unit): number {
  return spec.request.cpuMilli / 1_000 + spec.request.accelerators * coresPerAccelerator
}

/** The core-seconds that are lost when the attempt is stopped; with checkpoints, only the restart. */
function getLoss (attempt: Attempt): number {
  const { spec, size } = attempt.unit
  // After a takeover `plannedAtMs` is too late, and only the progress tells how long the attempt has run.
  const progressShare = Math.max(0, ...attempt.members.map(member => member.progressPercent)) / 100
  const elapsedS = Math.max(performance.now() - attempt.plannedAtMs, progressShare * spec.estimateMs) / 1_000
  // Stopping saves a checkpoint, so no run time is lost beyond the restart.
  const lostRunS = spec.hasCheckpoints ? 0 : elapsedS
  // The cost grows with the run number, so that the same work is not preempted again and again.
  return size * getCores(attempt.unit) * (restartCostS + lostRunS) * Math.max(1, attempt.run)
}

/** The priority of a job's queue; lower numbers come first. */
export function getPriority (job: TrackedJob, getQueue: GetQueue): number {
  return getQueue(job)?.priority ?? lowestPriority
}
