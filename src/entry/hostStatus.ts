/** The result of `status`: the state of the system as seen by one host. */
import type { PeerState } from '../membership/membership.js'
import type { EndpointStatus } from '../routing/endpointPool.js'
import type { RequestTotals } from '../routing/requestMetrics.js'
import type { SchedulerStatus } from '../scheduling/jobViews.js'

/** An entry host in the status. */
export type HostSummary = Pick<PeerState, 'rulesRevision' | 'isLeaving' | 'schedulerEpoch' | 'isStoreReachable'> & {
  readonly hostId: string
  readonly domain: string
}

/** The state of the system as seen by one host. */
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
