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
/** What every stop and restart costs, in s. */
const restartS = 0.4
/** The queue's priority where it is not known. */
const lowestPriority = 1_000

/** Higher priorities first; within one, the job that was accepted first. */
export function compareUnits (left: Unit, right: Unit, getQueue: GetQueue): number {
  const byPriority = getPriority(left.job, getQueue) - getPriority(right.job, getQueue)
  if (byPriority !== 0) return byPriority
  return left.job.spec.acceptedAtMs - right.job.spec.acceptedAtMs
}

/** The attempts that may give way to a unit, cheapest first. */
export function getVictims (unit: Unit, jobs: Iterable<TrackedJob>, getQueue: GetQueue): readonly Victim[] {
  const priority = getPriority(unit.job, getQueue)
  const victims: Victim[] = []
  for (const job of jobs) {
    if (isTerminal(job.state) || getPriority(job, getQueue) <= priority) continue
    for (const other of getUnits(job)) {
      if (other.isDone || other.spec.isService) continue
      for (const attempt of other.attempts) if (attempt.stopReason === undefined) victims.push({ attempt, cost: getLoss(attempt) })
    }
  }
  return victims.sort((left, right) => left.cost - right.cost)
}

/** Core-seconds that are thrown away when the attempt is stopped; a checkpoint saves most of them. */
function getLoss (attempt: Attempt): number {
  const { spec, size } = attempt.unit
  const cores = spec.request.cpuMilli / 1_000 + spec.request.accelerators * coresPerAccelerator
  // After a takeover only the progress says how long the attempt has run.
  const progressShare = Math.max(0, ...attempt.members.map(member => member.progressPercent)) / 100
  const elapsedS = Math.max(performance.now() - attempt.plannedAtMs, progressShare * spec.estimateMs) / 1_000
  // A stop saves a checkpoint, so only the restart is lost.
  const lostS = spec.hasCheckpoints ? 0 : elapsedS
  // Work that has been stopped before is spared, so that none is stopped again and again.
  return size * cores * (restartS + lostS) * Math.max(1, attempt.run)
}

function getPriority (job: TrackedJob, getQueue: GetQueue): number {
  return getQueue(job)?.priority ?? lowestPriority
}
