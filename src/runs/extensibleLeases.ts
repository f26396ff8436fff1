/**
 * Leases of the store that end soon after those of workers do that are extended now. The record of granted leases names workers under them whose leases may be extended
 * before its next renewal. See docs/design/lease-evidence.md.
 */
import { readClocks } from '../common/elapsedTime.js'
import type { Logger } from '../common/logger.js'
import { leaseMarginMs } from '../election/leaseRenewal.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { getLeaseValidForMs } from './recordLease.js'
import type { RecordLease } from './recordLease.js'

/** Dependencies of the leases. */
export interface ExtensibleLeasesHost {
  readonly store: Pick<MetadataStore, 'grantLease'>
  readonly logger: Logger
  /** The shortest lease that the store grants, in ms. */
  readonly minTtlMs: number
  /** The time to live of the record of granted leases, in ms. */
  readonly recordTtlMs: number
  /** The longest time for which a worker's lease of the requested length may last, in ms. */
  readonly longestLeaseMs: number
  /** The interval of the renewals of the record, in ms. */
  readonly renewalIntervalMs: number
}

/** The leases under which workers are named whose leases may be extended. */
export interface ExtensibleLeases {
  /** How long such a lease of the store has to last when the record is written, in ms. */
  readonly timerMs: number
  /**
   * Grants such a lease if none of those that were granted for earlier renewals ends at about that time: in the first seconds of a term all of them last for as long as
   * the record. Returns none if it is not needed or not granted.
   */
  grant (granted: readonly RecordLease[]): Promise<readonly RecordLease[]>
}

/** Creates the leases for one record. */
export function createExtensibleLeases ({ store, logger, minTtlMs, recordTtlMs, longestLeaseMs, renewalIntervalMs }: ExtensibleLeasesHost): ExtensibleLeases {
  // Each renewal moves the workers to a later lease. Grants are shortened by what is missing before a renewal; a longer lease makes later terms wait for longer.
  const timerMs = longestLeaseMs + renewalIntervalMs / 2
  return { timerMs, grant }

  async function grant (granted: readonly RecordLease[]): Promise<readonly RecordLease[]> {
    const isFound = granted.map(getLeaseValidForMs).some(validForMs => validForMs >= timerMs && validForMs < timerMs + renewalIntervalMs)
    const ttlMs = Math.ceil(longestLeaseMs + renewalIntervalMs + leaseMarginMs)
    // Where workers grant hardly more than is asked for, the record itself ends as soon.
    if (isFound || ttlMs < minTtlMs || ttlMs + renewalIntervalMs > recordTtlMs) return []
    const confirmedAt = readClocks()
    try {
      return [{ ...await store.grantLease(ttlMs), confirmedAt }]
    } catch (error) {
      logger.info('failed to grant a lease for the timer of workers that answer', { error: String(error) })
      return []
    }
  }
}
