/** Decides for how long a host retries the store for a call before it answers 504. Does no I/O. */

/** What the decision is made from. */
export interface RetryBudgetInput {
  /** Time until the caller's deadline when the call arrived, in ms. */
  readonly leftMs: number
  /** How long the store is known to have failed when the call arrived, in ms; 0 if no failure is known. */
  readonly outageMs: number
}

/** For how long a call is retried, in ms from its arrival. */
export interface RetryBudget {
  /** While the store has refused every attempt. 0 means a single attempt. */
  readonly refusedMs: number
  /** While an attempt may have had an effect, and limit of each attempt. */
  readonly unansweredMs: number
}

/**
 * The share of the caller's time for which refusals are retried. Many callers ignore `Retry-After` on a 504 and repeat within 0.1 to 0.4 s, a
 * few times in all. With a third of the rest for each try, five tries reach over the caller's whole time, and another host can be tried before half of it is over.
 */
const refusedShare = 1 / 3
/** The share for a write that may have had an effect: longer, since the job may be stored; half of the time is left for another host. */
const unansweredShare = 1 / 2
/** Minimum time for one attempt, in ms: the store answers in far less. */
export const minAttemptMs = 100
/** Refusals are retried for at least this long, in ms, if the share allows it: it reaches over short faults of the store. */
const minRefusedMs = 1_000
/** The least chance that the outage ends before the caller's deadline for which the store is tried more than once. */
const minChance = 0.1

/**
 * Outages have no typical length: one of age A ends within the time L with a probability of about L / (A + L). So a call is retried for as long as the
 * outage has lasted, within its share of the caller's time, and not at all if the outage is too old to end before the caller's deadline.
 */
export function getRetryBudget ({ leftMs, outageMs }: RetryBudgetInput): RetryBudget {
  const unansweredMs = Math.max(minAttemptMs, leftMs * unansweredShare)
  if (!(getChance(leftMs, outageMs) >= minChance)) return { refusedMs: 0, unansweredMs }
  return { refusedMs: Math.min(leftMs * refusedShare, Math.max(minRefusedMs, outageMs)), unansweredMs }
}

function getChance (leftMs: number, outageMs: number): number {
  return leftMs <= 0 ? 0 : leftMs / (outageMs + leftMs)
}
