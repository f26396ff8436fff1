/** How long the leases of workers last by other clocks than theirs, which leases are asked for, and how long requests to workers stay under way. Source: the workers' protocol. */

/** How long after it was sent a request without a response may be carried out, in ms. The protocol says "seconds later". */
export const maxRequestDelayMs = 15_000

/** The workers' clocks may be 2 % slow. */
const slowClockFactor = 1.02
/** Added to the end of a lease, in ms, for the error in the estimate of the worker's clock. */
const clockMarginMs = 150

/** A run whose worker is gone for good is replaced within this time, in ms: callers expect no job to stand for 3 s after 4 s without disturbances. */
const replacementLimitMs = 7_000
/** The part of that limit, in ms, for what follows the end of the lease: noticing it, storing the next attempt, a planning pass, and the start in another region. */
const replacementReserveMs = 700

/** The longest lease that the scheduler asks for, in ms, where workers grant up to `maxLeaseMs`. See docs/design/lease-evidence.md. */
export function getRequestedLeaseMs (maxLeaseMs: number): number {
  return Math.min(maxLeaseMs, Math.floor(getLeaseWithinMs(replacementLimitMs - replacementReserveMs)))
}

/** The longest time, in ms by this host's clock, for which a lease of `leaseMs` that is granted now may last. */
export function getLongestDurationMs (leaseMs: number): number {
  return leaseMs * slowClockFactor + clockMarginMs
}

/** The least that a worker's clock shows `elapsedMs` after it showed `clockMs`. */
export function getEarliestClockMs (clockMs: number, elapsedMs: number): number {
  return clockMs + elapsedMs / slowClockFactor
}

/** The longest lease, in ms, that has certainly ended after `durationMs` if it is granted now; 0 if there is none. */
export function getLeaseWithinMs (durationMs: number): number {
  return Math.max(0, (durationMs - clockMarginMs) / slowClockFactor)
}
