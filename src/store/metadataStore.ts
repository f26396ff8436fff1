/** Interface of the platform's metadata store: point reads, range reads, watches, transactions and leases. */

/**
 * A stored item. `revision` is that of its last write, `createdRevision` that of the write that created the key. `leaseId` is that of the last write, absent
 * if it had none.
 */
export interface StoredItem {
  readonly key: string
  readonly value: string
  readonly revision: number
  readonly createdRevision: number
  readonly leaseId?: number | undefined
}

/** A change reported by a watch. `item` is absent when the key was removed. */
export interface StoreChange {
  readonly key: string
  readonly item?: StoredItem
}

/** One page of a range read, and the store's revision at the time of the read. */
export interface StorePage {
  readonly items: readonly StoredItem[]
  readonly hasMore: boolean
  readonly revision: number
}

/** What a watch brings: the changes of all keys with its prefix, oldest first, and the store's revision up to which there are no others. */
export interface WatchResult {
  readonly changes: readonly StoreChange[]
  readonly revision: number
}

/** A condition of a transaction: the key must have this revision; 0 means that the key must not exist. */
export interface ExpectedRevision {
  readonly key: string
  readonly revision: number
}

/** A write of a transaction. If a lease is given, the key is removed when the lease ends. */
export interface TransactionWrite {
  readonly key: string
  readonly value: string
  readonly leaseId?: number
}

/** An atomic transaction of at most `maxTransactionEntries` entries in total. */
export interface Transaction {
  readonly expected: readonly ExpectedRevision[]
  readonly writes: readonly TransactionWrite[]
  readonly removes?: readonly string[]
}

/**
 * The transaction was committed, or a condition failed; then `items` holds the current items of the expected keys. With `hasUnansweredCopy` the outcome was found
 * although a copy of the transaction that was sent earlier had no answer: writes of other hosts may have none either, and be applied late.
 */
export type TransactionResult = { readonly hasUnansweredCopy?: boolean | undefined } & (
  | { readonly isCommitted: true, readonly revision: number }
  | { readonly isCommitted: false, readonly items: readonly StoredItem[] }
)

/**
 * The operations of the store. Errors: `store-unavailable` when the call had no effect; `answer-lost` when the call may have
 * taken effect or may still do so; `not-found` for a lease that has ended; `history-gone` for a watch from a revision that
 * the store no longer keeps. A call that is aborted by its signal fails with `answer-lost`.
 */
export interface MetadataStore {
  get (key: string, signal?: AbortSignal): Promise<StoredItem | undefined>
  range (prefix: string, after?: string): Promise<StorePage>
  /** Waits up to `waitMs` for changes after `afterRevision`. */
  watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<WatchResult>
  transact (transaction: Transaction, signal?: AbortSignal): Promise<TransactionResult>
  grantLease (ttlMs: number, signal?: AbortSignal): Promise<{ readonly leaseId: number, readonly ttlMs: number }>
  keepLeaseAlive (leaseId: number): Promise<void>
  revokeLease (leaseId: number): Promise<void>
}

/** Maximum number of entries in one transaction, including conditions. Defined by the store's protocol. */
export const maxTransactionEntries = 32

/** Reads all pages under a prefix. The pages are not a consistent snapshot; `revision` is that of the first page. */
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
