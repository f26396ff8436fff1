/** Computes the timing of lease renewals, within a limit on the rate of control traffic. */
import type { WorkerTiming } from './workerLinks.js'

const minRenewMs = 1_000
const maxRenewMs = 15_000
const bytesPerRenewal = 700
const maxControlBytesPerSecond = 10_000
const renewalsPerLease = 4
/** Longer than a takeover, so that tasks keep running when their scheduler fails. */
const minLeaseMs = 15_000
const renewalsBeforeSuspect = 2
const minSuspectMs = 3_000
const lossMarginMs = 500

/** Returns the timing for a domain with the given number of workers. */
export function getWorkerTiming (workerCount: number): WorkerTiming {
  const renewMs = Math.min(maxRenewMs, Math.max(minRenewMs, workerCount * bytesPerRenewal / maxControlBytesPerSecond * 1_000))
  return {
    renewIntervalMs: renewMs,
    leaseMs: Math.max(minLeaseMs, renewMs * renewalsPerLease),
    suspectAfterMs: Math.max(minSuspectMs, renewMs * renewalsBeforeSuspect),
    lossMarginMs
  }
}
