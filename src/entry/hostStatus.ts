/** What `status` tells about the system, as one host sees it. */
import type { PeerState } from '../membership/membership.js'
import type { EndpointStatus } from '../routing/endpointPool.js'
import type { RequestTotals } from '../routing/requestMetrics.js'
import type { SchedulerStatus } from '../scheduling/jobViews.js'

/** A host in the status. */
export type HostSummary = Pick<PeerState, 'rulesRevision' | 'isLeaving' | 'schedulerEpoch' | 'isStoreReachable'> & {
  readonly hostId: string
  readonly domain: string
}

/** What `status` tells about the system. */
export interface HostStatus {
  readonly hostId: string
  readonly domain: string
  readonly isReady: boolean
  readonly rulesRevision: number
  readonly storeReachableSinceMs?: number
  readonly requests: RequestTotals & { readonly inFlight: number, readonly waiting: number }
  readonly endpoints: readonly EndpointStatus[]
  readonly hosts: readonly HostSummary[]
  readonly domains: readonly SchedulerStatus[]
  readonly assertionFailures: number
  readonly lastAssertionFailure?: string
}
