/** The order in which waiting units get workers, and the order in which running work gives way. Pure decisions. */
import type { QueueSettings } from '../configuration/configuration.js'
import { isTerminal } from '../jobs/jobModel.js'
import { getUnits } from '../jobs/trackedJob.js'
import type { Attempt, TrackedJob, Unit } from '../jobs/trackedJob.js'
import type { Victim } from './preemption.js'

/** Looks up the settings of a job's queue. */
export type GetQueue = (job: TrackedJob) => QueueSettings | undefined

/** An accelerator counts as so many cores, for the value of work. Source: the users' price list. */
const coresPerAccelerator = 8
/**
 * A unit may throw away so many times its own work. Source: the users' price list, by which an urgent job in time is worth
 * about five times its work in core-seconds thrown away, and other work about half.
 */
const maxLossOfUrgent = 4.5
const maxLossOfOthers = 0.5
/** Small jobs have a worth of their own beside their work, in core-seconds. */
const baseWorkCoreS = 100
/** What every stop and restart costs, in s. */
const restartS = 0.4
/** The queue's priority where it is not known. */
const lowestPriority = 1_000

/** What is guaranteed first, then higher priorities; within one, the job that was accepted first. */
export function compareUnits (left: Unit, right: Unit, getQueue: GetQueue, isGuaranteed: (job: TrackedJob) => boolean): number {
  const byGuarantee = Number(isGuaranteed(right.job)) - Number(isGuaranteed(left.job))
  if (byGuarantee !== 0) return byGuarantee
  const byPriority = getPriority(left.job, getQueue) - getPriority(right.job, getQueue)
  if (byPriority !== 0) return byPriority
  return left.job.spec.acceptedAtMs - right.job.spec.acceptedAtMs
}

/**
 * The attempts that may give way to a unit, cheapest first: those of lower priority, and where a guarantee is due also those of
 * the same priority. Guaranteed work never gives way.
 */
export function getVictims (unit: Unit, jobs: Iterable<TrackedJob>, getQueue: GetQueue, isGuaranteed: (job: TrackedJob) => boolean, isReclaimDue: boolean): readonly Victim[] {
  const priority = getPriority(unit.job, getQueue)
  const lowestSpared = isReclaimDue ? priority - 1 : priority
  const victims: Victim[] = []
  for (const job of jobs) {
    if (isTerminal(job.state) || getPriority(job, getQueue) <= lowestSpared || isGuaranteed(job)) continue
    for (const other of getUnits(job)) {
      if (other.isDone || other.spec.isService) continue
      for (const attempt of other.attempts) if (attempt.stopReason === undefined) victims.push({ attempt, cost: getLoss(attempt) })
    }
  }
  return victims.sort((left, right) => left.cost - right.cost)
}

/** The most core-seconds that may be thrown away so that a unit starts at once. */
export function getMaxLoss (unit: Unit, expectedMs: number, isUrgent: boolean): number {
  const workCoreS = unit.size * getCores(unit) * expectedMs / 1_000
  return (isUrgent ? maxLossOfUrgent : maxLossOfOthers) * (baseWorkCoreS + workCoreS)
}

function getCores ({ spec }: Unit): number {
  return spec.request.cpuMilli / 1_000 + spec.request.accelerators * coresPerAccelerator
}

/** Core-seconds that are thrown away when the attempt is stopped; a checkpoint saves most of them. */
function getLoss (attempt: Attempt): number {
  const { spec, size } = attempt.unit
  // After a takeover only the progress says how long the attempt has run.
  const progressShare = Math.max(0, ...attempt.members.map(member => member.progressPercent)) / 100
  const elapsedS = Math.max(performance.now() - attempt.plannedAtMs, progressShare * spec.estimateMs) / 1_000
  // A stop saves a checkpoint, so only the restart is lost.
  const lostS = spec.hasCheckpoints ? 0 : elapsedS
  // Work that has been stopped before is spared, so that none is stopped again and again.
  return size * getCores(attempt.unit) * (restartS + lostS) * Math.max(1, attempt.run)
}

function getPriority (job: TrackedJob, getQueue: GetQueue): number {
  return getQueue(job)?.priority ?? lowestPriority
}
