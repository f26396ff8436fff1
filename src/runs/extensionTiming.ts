/** When polls extend the leases of workers that the record of granted leases names under timers. See docs/design/lease-evidence.md. */

/** A lease that a poll can extend by less than this is not extended, in ms: the record of granted leases names the worker under a timer, and a later poll can extend it by more. */
export const minExtensionMs = 500
/** The longest time between two extensions, in ms, while the record of granted leases delays them: a poll then waits for less than the usual time. */
const maxExtensionGapMs = 2_000
/** A lease that was extended less than this ago is not extended by a poll that has returned early, in ms. */
export const minExtensionGapMs = 1_200
/** A worker is named under a timer if its lease need not be extended within this time, in ms: the interval of the renewals of the record, and the time that one takes. */
export const renewalLeadMs = 600
/** A poll counts as overdue this long after the worker should have answered it, in ms: the lease is not extended before it is over. */
export const overduePollMs = 150

/** What is known when a poll is about to be sent. */
export interface ExtensionState {
  /** How long ago the lease was last extended, in ms; 0 if the poll extends it. */
  readonly sinceExtensionMs: number
  readonly isExtended: boolean
  /** The worker has answered again and its lease has not been extended since. */
  readonly hasRecovered: boolean
  readonly usualWaitMs: number
}

/**
 * Decides how long a poll may wait, so that the next extension is not late, and whether the record of granted leases delays an extension that is due: then a record
 * is needed that does not name the worker under a timer.
 */
export function planExtension ({ sinceExtensionMs, isExtended, hasRecovered, usualWaitMs }: ExtensionState): { readonly isDelayed: boolean, readonly waitMs: number } {
  const gapLeftMs = maxExtensionGapMs - sinceExtensionMs
  return { isDelayed: !isExtended && (hasRecovered || gapLeftMs <= 0), waitMs: isExtended ? usualWaitMs : Math.max(0, Math.min(usualWaitMs, Math.ceil(gapLeftMs))) }
}
