/** Tracks for how long a store has been unavailable, by the outcome of calls to it. */
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'

/** What the calls so far tell about the store. Times are in ms. */
export interface OutageTracker {
  recordSuccess (): void
  /** Records the error of a call; errors that don't show the store as unavailable are ignored. */
  recordFailure (error: unknown): void
  /** How long all calls have failed, up to now; 0 if the latest one succeeded, or if the latest failure is too old to tell. */
  getOutageMs (): number
  /** Time since the latest failure; infinite if there was none. */
  getMsSinceFailure (): number
}

/** From this outage time on, in ms, the store counts as known to be unavailable: twice the time for which one call retries. */
export const knownOutageMs = 2_000
/** Failures further apart than this, in ms, count as separate outages, since the store may have been available in between. */
const maxFailureGapMs = 3_000
/** The longest delay that callers are asked for during an outage, in s. Source: docs/design/scarcity-and-evacuation.md. */
const maxRetryS = 8

/** Creates a tracker of a store that has not been called. */
export function createOutageTracker (): OutageTracker {
  let sinceMs: number | undefined
  let failedAtMs = -Infinity
  return { recordSuccess, recordFailure, getOutageMs, getMsSinceFailure }

  function recordSuccess (): void {
    sinceMs = undefined
  }

  function recordFailure (error: unknown): void {
    if (!isErrorOfKind(error, ErrorKind.StoreUnavailable, ErrorKind.AnswerLost, ErrorKind.PeerUnreachable)) return
    const nowMs = performance.now()
    if (sinceMs === undefined || nowMs - failedAtMs > maxFailureGapMs) sinceMs = nowMs
    failedAtMs = nowMs
  }

  function getOutageMs (): number {
    return sinceMs === undefined || getMsSinceFailure() > maxFailureGapMs ? 0 : performance.now() - sinceMs
  }

  function getMsSinceFailure (): number {
    return performance.now() - failedAtMs
  }
}

/**
 * The value of `Retry-After` in a known outage: the time for which it has lasted already, so that the few retries of a caller span a
 * long outage as well as a short one. Undefined if no outage is known.
 */
export function tryGetOutageRetryS (outageMs: number): number | undefined {
  return outageMs < knownOutageMs ? undefined : Math.min(maxRetryS, Math.ceil(outageMs / 1_000))
}
