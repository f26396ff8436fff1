/** How long the leases of workers last by other clocks than theirs, and requests to them stay under way. Source: the workers' protocol. */

/** How long after it was sent a request without a response may be carried out, in ms. The protocol says "seconds later". */
export const maxRequestDelayMs = 15_000

/** The workers' clocks may be 2 % slow. */
const slowClockFactor = 1.02
/** Added to the end of a lease, in ms, for the error in the estimate of the worker's clock. */
const clockMarginMs = 150

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
