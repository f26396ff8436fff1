/** How often a scheduler renews its workers: seldom enough for the budget of control traffic. */
import type { WorkerTiming } from './workerLinks.js'

const minRenewMs = 1_000
const maxRenewMs = 15_000
const renewBytes = 700
const budgetBytesPerSecond = 10_000
const leaseRenewals = 4
/** Longer than a takeover takes, so that tasks outlive their scheduler. */
const minLeaseMs = 15_000
const suspectRenewals = 2
const minSuspectMs = 3_000
const lossMarginMs = 500

/** Returns the times for a domain of so many workers. */
export function getWorkerTiming (workerCount: number): WorkerTiming {
  const renewMs = Math.min(maxRenewMs, Math.max(minRenewMs, workerCount * renewBytes / budgetBytesPerSecond * 1_000))
  return {
    renewMs,
    leaseMs: Math.max(minLeaseMs, renewMs * leaseRenewals),
    suspectMs: Math.max(minSuspectMs, renewMs * suspectRenewals),
    lossMarginMs
  }
}
