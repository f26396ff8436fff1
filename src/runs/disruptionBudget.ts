/**
 * Limits how many tasks of a service step the scheduler makes unavailable at the same time. Every stop that the scheduler chooses (maintenance, moves,
 * preemption) is checked here. Stops that it has no choice about, for example of a cancelled job, are not.
 */
import { MemberState } from '../jobs/trackedJob.js'
import type { Member, Unit } from '../jobs/trackedJob.js'

/**
 * A task whose worker has not listed it for this long, in ms, is not known to be at work: the worker may have crashed. Polls wait up to 2 s; the time after which a
 * task that is away counts (`noticeMs`, 5.5 s by default) is longer.
 */
const maxReportAgeMs = 3_000

/** The answer for one unit of a service step. */
export interface DisruptionDecision {
  readonly isAllowed: boolean
  /** The tasks of the step, beside the unit's own, that are unavailable. */
  readonly unavailableTasks: number
  readonly allowedUnavailable: number
}

/**
 * Decides whether the unit may be stopped now. `noticeMs`: a task counts as unavailable until it has been running at full progress for this long. Times are by
 * the monotonic clock, in ms.
 */
export function checkDisruption (unit: Unit, noticeMs: number, nowMs: number): DisruptionDecision {
  const { allowedUnavailable = 0 } = unit.spec
  let unavailableTasks = 0
  for (const other of unit.job.occurrences.get(unit.occurrence)?.[unit.step] ?? []) {
    if (other !== unit && !isUnitAvailable(other, noticeMs, nowMs)) unavailableTasks++
  }
  return { isAllowed: unavailableTasks < allowedUnavailable, unavailableTasks, allowedUnavailable }
}

/** An attempt that is being stopped is unavailable from the moment of the order: its worker lists it as running until the stop has been carried out. */
function isUnitAvailable (unit: Unit, noticeMs: number, nowMs: number): boolean {
  return unit.attempts.some(attempt => attempt.stopReason === undefined && attempt.members.every(member => isAvailable(member, noticeMs, nowMs)))
}

function isAvailable ({ state, progressPercent, progressedAtMs, reportedAtMs = -Infinity }: Member, noticeMs: number, nowMs: number): boolean {
  return state === MemberState.Running && progressPercent >= 100 && nowMs - progressedAtMs >= noticeMs && nowMs - reportedAtMs < maxReportAgeMs
}
