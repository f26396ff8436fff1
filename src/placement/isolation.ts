/**
 * Keeps units under which workers have crashed apart, so that the next crash shows which of them causes it, and so that it takes little else with it.
 * How strong the suspicion is, is decided by runs/crashEvidence.ts. Does no I/O.
 */
import { Suspicion } from '../jobs/trackedJob.js'
import type { Member, Unit } from '../jobs/trackedJob.js'

/** How long an isolated unit waits for an empty worker, in ms; then it shares one. */
const maxExclusiveWaitMs = 2_000

/** Tells whether a unit is under suspicion. */
export function isSuspect (unit: Unit): boolean {
  return unit.suspicion !== Suspicion.None
}

/** Tells whether a unit may not share a worker with the members that are there or planned there. */
export function isKeptApart (unit: Unit, members: ReadonlySet<Member>, nowMs: number): boolean {
  for (const { attempt } of members) if (attempt.unit !== unit && areKeptApart(unit, attempt.unit, nowMs)) return true
  return false
}

/**
 * The number of units on a worker from which the unit is kept apart if there is room for both. A unit that has to share a worker all the same takes the one with
 * the fewest, so that as little as possible is lost with the next crash, and as few units come into question for it.
 */
export function countKeptApart (unit: Unit, members: ReadonlySet<Member>): number {
  const others = new Set([...members].map(({ attempt }) => attempt.unit))
  return [...others].filter(other => other !== unit && (isIsolated(unit) || isIsolated(other) || (isSuspect(unit) && isSuspect(other)))).length
}

function areKeptApart (unit: Unit, other: Unit, nowMs: number): boolean {
  if (isSuspect(unit) && isSuspect(other)) return true
  const isWaitOver = nowMs - unit.waitingSinceMs > maxExclusiveWaitMs
  return isIsolated(other) || (isIsolated(unit) && !isWaitOver)
}

function isIsolated (unit: Unit): boolean {
  return unit.suspicion === Suspicion.Isolated
}
