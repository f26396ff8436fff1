/**
 * Keeps tasks under which workers have crashed apart, so that the next crash shows which of them causes it, and so that it takes little else with it.
 * Does no I/O.
 */
import { getCrashCount } from '../jobs/trackedJob.js'
import type { Member, Unit } from '../jobs/trackedJob.js'

/** After this many crashes, a unit shares a worker with no other unit. */
const exclusiveFromCrashes = 2
/** How long such a unit waits for an empty worker, in ms; then it shares one. */
const maxExclusiveWaitMs = 2_000

/** Tells whether workers have crashed under a unit. */
export function isSuspect (unit: Unit): boolean {
  return unit.crashes.size > 0
}

/** Tells whether a unit may not share a worker with the members that are there or planned there. */
export function isKeptApart (unit: Unit, members: ReadonlySet<Member>, nowMs: number): boolean {
  for (const { attempt } of members) if (attempt.unit !== unit && areKeptApart(unit, attempt.unit, nowMs)) return true
  return false
}

function areKeptApart (unit: Unit, other: Unit, nowMs: number): boolean {
  if (isSuspect(unit) && isSuspect(other)) return true
  const isWaitOver = nowMs - unit.waitingSinceMs > maxExclusiveWaitMs
  return isExclusive(other) || (isExclusive(unit) && !isWaitOver)
}

function isExclusive (unit: Unit): boolean {
  return isSuspect(unit) && getCrashCount(unit) >= exclusiveFromCrashes
}
