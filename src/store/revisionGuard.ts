/**
 * Guards a key that one writer at a time keeps up to date. A write without a response may be applied seconds later; the condition on the key's own
 * revision prevents it from replacing a newer value.
 */
import type { ExpectedRevision, MetadataStore, Transaction, TransactionResult } from './metadataStore.js'

/** The revision of a key as its writer last knew it; 0 if the key does not exist. */
export interface RevisionGuard {
  /** The condition that every transaction that writes the key must contain. */
  getCondition (): ExpectedRevision
  /** Must be called with the result of every such transaction. */
  update (result: TransactionResult): void
}

/** Creates the guard of a key whose revision is not known yet: the first write finds it out. */
export function createRevisionGuard (key: string): RevisionGuard {
  let revision = 0
  return {
    getCondition: () => ({ key, revision }),
    update: result => { revision = result.isCommitted ? result.revision : findRevision(result.items, key) }
  }
}

/**
 * Sends a transaction that writes the guarded key, and those of `otherGuards`, under the guards' conditions and those in `expected`. It is sent again if only conditions
 * of guards failed, which means that an earlier write has been applied after all, or that another writer has changed a key. Errors: those of the store.
 */
export async function transactGuarded (store: Pick<MetadataStore, 'transact'>, guard: RevisionGuard, transaction: Transaction, otherGuards: readonly RevisionGuard[] = []): Promise<TransactionResult> {
  const guards = [guard, ...otherGuards]
  const result = await send()
  return result.isCommitted || !areConditionsMet(transaction.expected, result) ? result : await send()

  async function send (): Promise<TransactionResult> {
    const result = await store.transact({ ...transaction, expected: [...transaction.expected, ...guards.map(({ getCondition }) => getCondition())] })
    for (const { update } of guards) update(result)
    return result
  }
}

/** Tells whether the conditions held when a transaction that contained them was rejected. */
export function areConditionsMet (expected: readonly ExpectedRevision[], result: TransactionResult): boolean {
  return result.isCommitted || expected.every(({ key, revision }) => findRevision(result.items, key) === revision)
}

function findRevision (items: readonly { readonly key: string, readonly revision: number }[], key: string): number {
  return items.find(item => item.key === key)?.revision ?? 0
}
