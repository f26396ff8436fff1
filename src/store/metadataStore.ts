/** The platform's metadata store as a port: point read, range, watch, transaction, lease. */

/** A stored item. `createdRevision` is the revision of the write that created the key. */
export interface StoredItem {
  readonly key: string
  readonly value: string
  readonly revision: number
  readonly createdRevision: number
}

/** A change seen by a watch; no item means that the key is gone. */
export interface StoreChange {
  readonly key: string
  readonly item?: StoredItem
}

/** One page of a range read, and the store's revision when it was read. */
export interface StorePage {
  readonly items: readonly StoredItem[]
  readonly hasMore: boolean
  readonly revision: number
}

/** A condition of a transaction: the key's revision, 0 where the key must not exist. */
export interface ExpectedRevision {
  readonly key: string
  readonly revision: number
}

/** A write of a transaction; the key is removed when its lease ends. */
export interface TransactionWrite {
  readonly key: string
  readonly value: string
  readonly leaseId?: number
}

/** All or nothing, at most `maxTransactionEntries` entries together. */
export interface Transaction {
  readonly expected: readonly ExpectedRevision[]
  readonly writes: readonly TransactionWrite[]
  readonly removes?: readonly string[]
}

/** A transaction is committed, or a condition failed; then `items` are the expected keys as they stand. */
export type TransactionResult =
  | { readonly isCommitted: true, readonly revision: number }
  | { readonly isCommitted: false, readonly items: readonly StoredItem[] }

/**
 * The calls of the store. Errors: `store-unavailable` when nothing was done, `answer-lost` when the call may
 * take effect, also later; `not-found` for a lease that has ended; `history-gone` for a watch from too old a revision.
 */
export interface MetadataStore {
  get (key: string): Promise<StoredItem | undefined>
  range (prefix: string, after?: string): Promise<StorePage>
  /** Waits up to `waitMs` for changes after a revision. */
  watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<{ readonly changes: readonly StoreChange[], readonly revision: number }>
  transact (transaction: Transaction): Promise<TransactionResult>
  grantLease (ttlMs: number): Promise<{ readonly leaseId: number, readonly ttlMs: number }>
  keepLease (leaseId: number): Promise<void>
  endLease (leaseId: number): Promise<void>
}

/** The most entries that one transaction may hold, conditions included. Source: the store's protocol. */
export const maxTransactionEntries = 32

/** Reads every page under a prefix. The pages are no snapshot; `revision` is that of the first. */
export async function readAll (store: MetadataStore, prefix: string): Promise<{ readonly items: readonly StoredItem[], readonly revision: number }> {
  const items: StoredItem[] = []
  let page = await store.range(prefix)
  const { revision } = page
  items.push(...page.items)
  while (page.hasMore) {
    page = await store.range(prefix, items.at(-1)?.key)
    items.push(...page.items)
  }
  return { items, revision }
}
