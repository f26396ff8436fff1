/** The keys under which the record of granted leases names workers that answer: each goes away when its lease of the store is over, and is written once. */
import type { TransactionWrite } from '../store/metadataStore.js'
import { createRevisionGuard } from '../store/revisionGuard.js'
import type { RevisionGuard } from '../store/revisionGuard.js'
import { getRenewedTimerKey } from './grantRecordFormat.js'

/** Timers that a transaction writes. A write without a response may be applied seconds later, so that each key has a condition on its own revision. */
export interface TimerWrites {
  readonly leaseIds: readonly number[]
  readonly writes: readonly TransactionWrite[]
  readonly guards: readonly RevisionGuard[]
}

/** The timers of one record. */
export interface RenewalTimers {
  getKey (leaseId: number): string
  /** The writes of those timers of the leases that are not known to be stored. */
  encodeMissing (leaseIds: Iterable<number>): TimerWrites
  /** Must be called when a transaction with these writes has been committed. */
  onStored (timers: TimerWrites): void
  /** Forgets the timers of all other leases: they are over. */
  retain (leaseIds: readonly number[]): void
}

/** Creates the timers of the record with this key. */
export function createRenewalTimers (recordKey: string): RenewalTimers {
  /** By lease; `isStored` once a write has been confirmed. */
  const timers = new Map<number, { readonly guard: RevisionGuard, isStored: boolean }>()
  const getKey = (leaseId: number): string => getRenewedTimerKey(recordKey, leaseId)
  return { getKey, encodeMissing, onStored, retain }

  function encodeMissing (leaseIds: Iterable<number>): TimerWrites {
    const missing = [...new Set(leaseIds)].filter(leaseId => timers.get(leaseId)?.isStored !== true)
    for (const leaseId of missing) if (!timers.has(leaseId)) timers.set(leaseId, { guard: createRevisionGuard(getKey(leaseId)), isStored: false })
    return { leaseIds: missing, writes: missing.map(leaseId => ({ key: getKey(leaseId), value: '', leaseId })), guards: missing.flatMap(leaseId => timers.get(leaseId)?.guard ?? []) }
  }

  function onStored ({ leaseIds }: TimerWrites): void {
    for (const leaseId of leaseIds) {
      const timer = timers.get(leaseId)
      if (timer !== undefined) timer.isStored = true
    }
  }

  function retain (leaseIds: readonly number[]): void {
    for (const leaseId of [...timers.keys()]) if (!leaseIds.includes(leaseId)) timers.delete(leaseId)
  }
}
