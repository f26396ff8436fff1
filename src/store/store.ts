/** Interface of the platform's key-value service. */

/** A stored value. Every write to the service increases the revision. */
export interface StoreEntry {
  readonly key: string
  readonly value: string
  readonly revision: number
}

/** A change reported by a watch. `value` is absent when the key was removed. */
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

/** Result of a watch: the events after the given revision, and the revision to continue from. */
export interface WatchResult {
  readonly events: readonly StoreEvent[]
  readonly revision: number
}

/**
 * The operations of the service. Errors: `conflict` when the key does not have the expected revision; `store-unavailable` when nothing
 * was written; `answer-lost` when the write may have taken effect.
 */
export interface KeyValueStore {
  get (key: string): Promise<StoreEntry | undefined>
  /** Returns the entries whose keys start with the prefix and follow the key `after`, in key order. */
  range (prefix: string, options?: { readonly after?: string, readonly limit?: number }): Promise<readonly StoreEntry[]>
  /** Compare-and-swap of one key. Returns the new revision. */
  put (write: StoreWrite): Promise<number>
  remove (key: string, expectedRevision: number): Promise<void>
  grantLease (ttlMs: number): Promise<string>
  keepLeaseAlive (leaseId: string): Promise<void>
  revokeLease (leaseId: string): Promise<void>
  /** Waits for changes under a prefix after `afterRevision`, for at most `waitMs`. */
  watch (prefix: string, afterRevision: number, waitMs: number): Promise<WatchResult>
}

/** Maximum size of a value that the service accepts. */
export const maxValueBytes = 1_000_000

/** RPC method names of the service, shared by server and client. */
export enum StoreMethod {
  Get = 'store.get',
  Range = 'store.range',
  Put = 'store.put',
  Remove = 'store.remove',
  GrantLease = 'store.grantLease',
  KeepLeaseAlive = 'store.keepLease',
  RevokeLease = 'store.revokeLease',
  Watch = 'store.watch'
}
