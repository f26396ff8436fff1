/**
 * Guards a key that one writer at a time keeps up to date. A write without a response may be applied seconds later; the condition on the key's own
 * revision prevents it from replacing a newer value.
 */
import type { ExpectedRevision, TransactionResult } from './metadataStore.js'

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

function findRevision (items: readonly { readonly key: string, readonly revision: number }[], key: string): number {
  return items.find(item => item.key === key)?.revision ?? 0
}
