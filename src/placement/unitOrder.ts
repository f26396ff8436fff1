/** The order in which waiting units get workers, and the order in which running work is preempted. Does no I/O. */
import type { QueueSettings } from '../configuration/configuration.js'
import { isTerminal } from '../jobs/jobModel.js'
import { getUnits } from '../jobs/trackedJob.js'
import type { Attempt, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { isSuspect } from './isolation.js'
import type { Victim } from './preemption.js'

/** Looks up the settings of a job's queue. */
export type GetQueue = (job: TrackedJob) => QueueSettings | undefined

/**
 * How often a unit may be preempted; then only a guarantee that is due, or urgent work up to the second bound, stops it. Without a bound, the least
 * urgent queue waits for as long as the others fill the workers; with one bound for all, urgent work waited where every task had been stopped twice.
 */
export const maxPreemptions = 2
export const maxPreemptionsByUrgent = 4
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
export function getVictims (unit: Unit, jobs: Iterable<TrackedJob>, getQueue: GetQueue, isGuaranteed: (job: TrackedJob) => boolean, isReclaimDue: boolean, getCost: (attempt: Attempt) => number): readonly Victim[] {
  const priority = getPriority(unit.job, getQueue)
  const protectedPriority = isReclaimDue ? priority - 1 : priority
  const victims: Victim[] = []
  for (const job of jobs) {
    if (isTerminal(job.state) || getPriority(job, getQueue) <= protectedPriority || isGuaranteed(job)) continue
    for (const other of getUnits(job)) {
      if (other.isDone || other.spec.isService) continue
      if (!isReclaimDue && hasBeenPreempted(other, priority === 0 ? maxPreemptionsByUrgent : maxPreemptions)) continue
      for (const attempt of other.attempts) if (attempt.stopReason === undefined) victims.push({ attempt, cost: getCost(attempt) })
    }
  }
  return victims.sort((left, right) => left.cost - right.cost)
}

/** Tells whether so many runs of the unit have ended without a failure of its own that it is protected. */
export function hasBeenPreempted ({ run, failedRuns }: Unit, limit: number): boolean {
  return run - failedRuns.size > limit
}

/** The priority of a job's queue; lower numbers come first. */
export function getPriority (job: TrackedJob, getQueue: GetQueue): number {
  return getQueue(job)?.priority ?? lowestPriority
}

/** Splits ordered units into runs of units that are alike: tasks of one step that have not failed on any worker, and under which none has crashed. */
export function groupAlike (units: readonly Unit[]): readonly (readonly Unit[])[] {
  const groups: Unit[][] = []
  let lastKey: string | undefined
  for (const unit of units) {
    const key = unit.avoidedWorkers.size === 0 && !isSuspect(unit) ? getStepKey(unit) : undefined
    const last = groups.at(-1)
    if (key !== undefined && key === lastKey && last !== undefined) last.push(unit)
    else groups.push([unit])
    lastKey = key
  }
  return groups
}

/** The key of the units that are ranked and blocked alike. A suspect unit waits by itself, as it may need an empty worker. */
export function getStepKey (unit: Unit): string {
  const { job, occurrence, step, index } = unit
  const stepKey = `${job.spec.jobId}.${occurrence}.${step}`
  return isSuspect(unit) ? `${stepKey}.${index}` : stepKey
}
