/**
 * The cancellation markers of jobs that are not stored. They cancel a job that a host stores all the same, as a host of an earlier version does, and are removed
 * after a retention period.
 */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { getAcceptedKey, getCancelKey } from '../jobs/jobKeys.js'
import { maxTransactionEntries } from '../store/metadataStore.js'
import type { ExpectedRevision, MetadataStore, StoredItem } from '../store/metadataStore.js'
import { areConditionsMet } from '../store/revisionGuard.js'

/** Dependencies of the markers. */
export interface EarlyCancelMarkersHost {
  readonly store: Pick<MetadataStore, 'transact'>
  readonly term: Term
  readonly logger: Logger
}

/** The markers of one term. */
export interface EarlyCancelMarkers {
  add (jobId: string, revision: number): void
  /** Drops the marker of a job, and returns whether there was one. */
  remove (jobId: string): boolean
  /** Drops the markers that a full read does not show. */
  retain (items: readonly StoredItem[]): void
  /** Removes old markers from the store until the term ends. */
  expire (): Promise<void>
}

interface Marker {
  readonly jobId: string
  readonly revision: number
  /** By the monotonic clock, in ms. */
  readonly expiresAtMs: number
}

/**
 * How long a marker is kept, in ms. It has to outlast every submission that was sent before the cancellation: suspensions of hosts, relays through peers and writes that
 * are applied late take seconds each.
 */
const retentionMs = 60_000
/** Interval at which expired markers are removed, in ms. */
const removalPeriodMs = 10_000
/** Entries of the removal of a marker: the conditions that the job is still not stored and the marker unchanged, and the marker's key. */
const entriesPerMarker = 3
/** Maximum number of markers that are removed in one transaction, beside the condition on the leader key. */
const maxMarkersPerRemoval = Math.floor((maxTransactionEntries - 1) / entriesPerMarker)

/** Creates the markers of a term, without any marker. */
export function createEarlyCancelMarkers (host: EarlyCancelMarkersHost): EarlyCancelMarkers {
  const { store, term, logger } = host
  const markers = new Map<string, Marker>()
  return { add, remove: jobId => markers.delete(jobId), retain, expire }

  function add (jobId: string, revision: number): void {
    markers.set(jobId, { jobId, revision, expiresAtMs: markers.get(jobId)?.expiresAtMs ?? performance.now() + retentionMs })
  }

  function retain (items: readonly StoredItem[]): void {
    const keys = new Set(items.map(({ key }) => key))
    for (const jobId of markers.keys()) if (!keys.has(getCancelKey(jobId))) markers.delete(jobId)
  }

  async function expire (): Promise<void> {
    while (!term.signal.aborted) {
      await delay(removalPeriodMs, term.signal)
      const expired = [...markers.values()].filter(({ expiresAtMs }) => expiresAtMs <= performance.now())
      for (let start = 0; start < expired.length && !term.signal.aborted; start += maxMarkersPerRemoval) await removeStored(expired.slice(start, start + maxMarkersPerRemoval))
    }
  }

  async function removeStored (expired: readonly Marker[]): Promise<void> {
    const leaderCondition = { key: term.leaderKey, revision: term.leaderRevision }
    try {
      const result = await store.transact({ expected: [leaderCondition, ...expired.flatMap(getConditions)], writes: [], removes: expired.map(({ jobId }) => getCancelKey(jobId)) })
      for (const marker of expired) {
        if (markers.get(marker.jobId) !== marker) continue
        if (result.isCommitted) markers.delete(marker.jobId)
        // The job has been stored or the marker has changed, and the watch has yet to show it. Until then the marker must cancel the job.
        else if (!areConditionsMet(getConditions(marker), result)) markers.set(marker.jobId, { ...marker, expiresAtMs: performance.now() + retentionMs })
      }
    } catch (error) {
      logger.info('failed to remove expired cancellation markers', { markers: expired.length, error: String(error) })
    }
  }
}

function getConditions ({ jobId, revision }: Marker): readonly ExpectedRevision[] {
  return [{ key: getAcceptedKey(jobId), revision: 0 }, { key: getCancelKey(jobId), revision }]
}
