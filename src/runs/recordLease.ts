/** Leases of the store that the record of granted leases uses. */
import { getElapsedMs } from '../common/elapsedTime.js'
import type { ClockReading } from '../common/elapsedTime.js'
import { leaseMarginMs } from '../election/leaseRenewal.js'

/** A lease of the store to which the record is attached, or may be since a write without a response. */
export interface RecordLease {
  readonly leaseId: number
  readonly ttlMs: number
  /** When the latest request was sent with which the store is known to have granted or extended the lease. */
  confirmedAt: ClockReading
}

/** For how long a lease of the store certainly does not expire yet, in ms; 0 or less if it may have. */
export function getLeaseValidForMs ({ ttlMs, confirmedAt }: RecordLease): number {
  return ttlMs - leaseMarginMs - getElapsedMs(confirmedAt)
}
