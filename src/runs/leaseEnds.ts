/** When the leases of one worker end that this term and earlier ones may have granted. Does no I/O. */
import { RunScope } from './endEvidence.js'
import { getLongestDurationMs, maxRequestDelayMs } from './workerLease.js'

/** Dependencies of the lease ends. */
export interface LeaseEndsHost {
  /** The longest lease that a worker grants, in ms. Schedulers of other versions may ask for it. */
  readonly maxLeaseMs: number
  /** The longest lease that this term asks for, in ms. */
  readonly requestedLeaseMs: number
  /** When this term began to schedule, by the monotonic clock: earlier ones have granted no lease since. */
  readonly termStartedAtMs: number
  /** The orders of this term under the worker's id before these lease ends were created; undefined if there were none. */
  readonly earlierOrders: EarlierOrders | undefined
  /** Tells whether orders of earlier terms for another incarnation may still be carried out. */
  readonly hasOrdersOfEarlierTerms: boolean
  /** Tells whether the orders of earlier terms have been carried out, and the leases that counted from then are over. */
  readonly areEarlierOrdersOver: () => boolean
  /** Tells whether an earlier term has recorded that no order for an earlier incarnation can count for the leases of the present one. */
  readonly isIncarnationKnown: () => boolean
  /** Tells whether a start request may still be carried out, also by an incarnation of which nothing is known. */
  readonly hasUncertainRuns: () => boolean
  /** Tells whether the leases of these runs that earlier terms have granted have certainly ended; false if that is not known. */
  readonly areEarlierLeasesOver: (scope: RunScope) => boolean
}

/** Orders of this term that were sent through an earlier link to a worker of the same id. */
export interface EarlierOrders {
  /**
   * When an incarnation was first seen to which orders of this term for an earlier one may be delivered, by the monotonic clock; -Infinity if all were sent to the present
   * incarnation.
   */
  readonly laterIncarnationSeenAtMs: number
}

/** Why a lease may still last; the log shows it as `awaitedLease`. */
export enum LeaseReason {
  /** This term has asked for it. */
  Requested = 'requested',
  /** A start request may still be carried out, perhaps by a later incarnation of the worker. */
  UncertainStart = 'uncertain-start',
  /** This term has seen another incarnation: an order for the one before may be carried out by the later one, whose clock starts anew. */
  LaterIncarnation = 'later-incarnation',
  /** The same, by orders of earlier terms. */
  YoungIncarnation = 'young-incarnation',
  /** Earlier terms may have granted it. */
  EarlierTerms = 'earlier-terms'
}

/** The end of a lease, by the monotonic clock, and why it may last until then. */
export interface LeaseEnd {
  readonly endMs: number
  readonly reason: LeaseReason
}

/** When the leases of one worker end. All times are by the monotonic clock. */
export interface LeaseEnds {
  /** Must be called when a request is sent that may extend the lease to `leaseMs` from now. */
  onExtension (leaseMs: number): void
  /** Must be called when a start is sent. */
  onStart (): void
  /** Must be called when another incarnation of the worker is seen. */
  onIncarnation (): void
  /** Must be called when an answer shows that an incarnation has answered which has not been seen yet. */
  onUnknownIncarnation (): void
  /** Must be called when the present incarnation has answered a request of this term: it refuses the orders of earlier terms from then on. */
  onAnswer (): void
  /** When the lease may last have been extended in this term, or the link was created. */
  getExtendedAtMs (): number
  /** The orders of this term that may have extended a lease under the worker's id; undefined if there are none. */
  getOrders (): EarlierOrders | undefined
  /**
   * Tells whether orders for another incarnation may still reach the present one and count for its lease: the clock of an incarnation starts anew, so that an order for an
   * earlier one that it carries out late asks for the longest lease that it grants. Those of earlier terms may until it has answered this term.
   */
  mayFollowEarlierOrders (): boolean
  /** Tells whether no lease of the present incarnation, which has answered, lasts longer than the one that this term asks for. */
  areAsRequested (): boolean
  /** The last lease of these runs that ends, and why it may be there. */
  getLatest (scope: RunScope): LeaseEnd
}

/** Creates the lease ends of one link. */
export function createLeaseEnds (host: LeaseEndsHost): LeaseEnds {
  // Previous schedulers may have extended the lease until their terms ended, for as long as workers grant.
  const earlierLeasesEndMs = host.termStartedAtMs + getLongestDurationMs(host.maxLeaseMs)
  /**
   * Orders of earlier terms for an earlier incarnation may count for the lease of the present one. It refuses them as soon as it has carried out a request of this term: it has
   * then seen a higher epoch.
   */
  let mayFollowEarlierTerms = host.hasOrdersOfEarlierTerms
  /** When the last lease ends that the present incarnation may have got from such orders. */
  let earlierTermsEndMs = -Infinity
  /** When the settled runs' leases of this term end, unless a later incarnation may have got longer ones. */
  let settledEndMs = performance.now() + getLongestDurationMs(host.requestedLeaseMs)
  let extendedAtMs = performance.now()
  /** When the present incarnation last answered: until then it may have carried out orders for an earlier one. */
  let answeredAtMs = -Infinity
  let hasExtended = host.earlierOrders !== undefined
  /** When the latest start was sent. */
  let startSentAtMs = -Infinity
  /** When an incarnation was first seen to which orders of this term for an earlier one may be delivered. */
  let laterIncarnationSeenAtMs = host.earlierOrders?.laterIncarnationSeenAtMs ?? -Infinity

  return {
    onExtension,
    onStart: () => { startSentAtMs = performance.now() },
    onIncarnation,
    onUnknownIncarnation: () => { laterIncarnationSeenAtMs = performance.now() },
    onAnswer,
    getExtendedAtMs: () => extendedAtMs,
    getOrders: () => hasExtended ? { laterIncarnationSeenAtMs } : undefined,
    mayFollowEarlierOrders: () => mayFollowOrdersOfEarlierTerms() || mayFollowOrdersOfThisTerm(),
    areAsRequested,
    getLatest
  }

  function onExtension (leaseMs: number): void {
    extendedAtMs = performance.now()
    hasExtended = true
    settledEndMs = Math.max(settledEndMs, extendedAtMs + getLongestDurationMs(Math.min(host.requestedLeaseMs, Math.max(0, leaseMs + 1))))
  }

  function onIncarnation (): void {
    if (hasExtended) laterIncarnationSeenAtMs = performance.now()
    mayFollowEarlierTerms = !host.areEarlierOrdersOver()
  }

  function onAnswer (): void {
    answeredAtMs = performance.now()
    if (!mayFollowEarlierTerms) return
    mayFollowEarlierTerms = false
    earlierTermsEndMs = performance.now() + getLongestDurationMs(host.maxLeaseMs)
  }

  function mayFollowOrdersOfEarlierTerms (): boolean {
    return mayFollowEarlierTerms && !host.isIncarnationKnown()
  }

  function mayFollowOrdersOfThisTerm (): boolean {
    return extendedAtMs - laterIncarnationSeenAtMs < maxRequestDelayMs + getLongestDurationMs(host.maxLeaseMs)
  }

  function areAsRequested (): boolean {
    if (mayFollowOrdersOfEarlierTerms() || mayFollowOrdersOfThisTerm()) return false
    return host.isIncarnationKnown() || earlierTermsEndMs <= performance.now() + getLongestDurationMs(host.requestedLeaseMs)
  }

  function getLatest (scope: RunScope): LeaseEnd {
    // An incarnation whose clock starts anew grants the longest lease from when it carries out an order.
    const longestEndMs = Math.max(extendedAtMs, startSentAtMs, answeredAtMs) + getLongestDurationMs(host.maxLeaseMs)
    const ends: LeaseEnd[] = [{ endMs: settledEndMs, reason: LeaseReason.Requested }]
    if (scope === RunScope.All && host.hasUncertainRuns()) ends.push({ endMs: longestEndMs, reason: LeaseReason.UncertainStart })
    if (mayFollowOrdersOfThisTerm()) ends.push({ endMs: longestEndMs, reason: LeaseReason.LaterIncarnation })
    if (mayFollowOrdersOfEarlierTerms()) ends.push({ endMs: longestEndMs, reason: LeaseReason.YoungIncarnation })
    if (!host.isIncarnationKnown()) ends.push({ endMs: earlierTermsEndMs, reason: LeaseReason.YoungIncarnation })
    if (!host.areEarlierLeasesOver(scope)) ends.push({ endMs: earlierLeasesEndMs, reason: LeaseReason.EarlierTerms })
    return ends.reduce((latest, end) => end.endMs > latest.endMs ? end : latest)
  }
}
