/** The platform's key-value service, as this product uses it. */

/** A stored value. Revisions grow with every write to the service. */
export interface StoreEntry {
  readonly key: string
  readonly value: string
  readonly revision: number
}

/** A change seen by a watch; no value means that the key is gone. */
export interface StoreEvent {
  readonly key: string
  readonly value?: string
  readonly revision: number
}

/** A write. `expectedRevision` 0 means that the key must not exist. */
export interface StoreWrite {
  readonly key: string
  readonly value: string
  readonly expectedRevision: number
  readonly leaseId?: string
}

/** What a watch returns: events after the given revision, and the revision to go on from. */
export interface WatchResult {
  readonly events: readonly StoreEvent[]
  readonly revision: number
}

/**
 * The calls of the service. Errors: `conflict` when a compare failed; `store-unavailable` when nothing
 * was written; `answer-lost` when the write may have taken effect.
 */
export interface Store {
  get (key: string): Promise<StoreEntry | undefined>
  /** Entries whose keys start with the prefix, in key order, after the key `after`. */
  range (prefix: string, options?: { readonly after?: string, readonly limit?: number }): Promise<readonly StoreEntry[]>
  /** Compare-and-swap of one key. Returns the new revision. */
  put (write: StoreWrite): Promise<number>
  remove (key: string, expectedRevision: number): Promise<void>
  grantLease (ttlMs: number): Promise<string>
  keepLease (leaseId: string): Promise<void>
  revokeLease (leaseId: string): Promise<void>
  /** Waits for changes under a prefix after `afterRevision`, for at most `waitMs`. */
  watch (prefix: string, afterRevision: number, waitMs: number): Promise<WatchResult>
}

/** The largest value that the service holds. */
export const maxValueBytes = 1_000_000

/** Every method of the service, for servers and clients alike. */
export enum StoreMethod {
  Get = 'store.get',
  Range = 'store.range',
  Put = 'store.put',
  Remove = 'store.remove',
  GrantLease = 'store.grantLease',
  KeepLease = 'store.keepLease',
  RevokeLease = 'store.revokeLease',
  Watch = 'store.watch'
}
