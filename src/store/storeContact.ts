/** Measures for how long the store has answered this host without interruption. What the store drops while it is away is back some time after its return. */
import { getElapsedMs, readClocks } from '../common/elapsedTime.js'
import type { ClockReading } from '../common/elapsedTime.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { MetadataStore } from './metadataStore.js'

/** A store, and how long this host has been in contact with it. */
export interface StoreContact {
  /** The store that was given; its calls count. */
  readonly store: MetadataStore
  /** How long the store has answered without interruption, in ms; 0 if it does not answer, or no call shows it. */
  getContactMs (): number
}

/** The longest time between two calls, in ms, in which an absence of the store would show in the errors of other calls. */
const maxGapMs = 500
/** The longest that a call may last, in ms: the longest watch, and its answer. */
const maxCallMs = 6_000

/** Observes the calls of a store. */
export function createStoreContact (store: MetadataStore): StoreContact {
  let contactSinceMs: number | undefined
  let lastAnswer: ClockReading | undefined

  return {
    store: {
      get: async (key, signal) => await observe(store.get(key, signal), signal),
      range: async (prefix, after) => await observe(store.range(prefix, after)),
      watch: async (prefix, afterRevision, waitMs, signal) => await observe(store.watch(prefix, afterRevision, waitMs, signal), signal),
      transact: async (transaction, signal) => await observe(store.transact(transaction, signal), signal),
      grantLease: async (ttlMs, signal) => await observe(store.grantLease(ttlMs, signal), signal),
      keepLeaseAlive: async leaseId => { await observe(store.keepLeaseAlive(leaseId)) },
      revokeLease: async leaseId => { await observe(store.revokeLease(leaseId)) }
    },
    getContactMs
  }

  function getContactMs (): number {
    if (contactSinceMs === undefined || lastAnswer === undefined || getElapsedMs(lastAnswer) > maxCallMs) return 0
    return performance.now() - contactSinceMs
  }

  async function observe<T> (call: Promise<T>, signal?: AbortSignal): Promise<T> {
    const sent = readClocks()
    try {
      const result = await call
      recordAnswer(sent)
      return result
    } catch (error) {
      if (isAnswer(error)) recordAnswer(sent)
      else if (signal?.aborted !== true) contactSinceMs = undefined
      throw error
    }
  }

  function recordAnswer (sent: ClockReading): void {
    const gapMs = lastAnswer === undefined ? Infinity : getElapsedMs(lastAnswer) - getElapsedMs(sent)
    if (gapMs > maxGapMs || getElapsedMs(sent) > maxCallMs) contactSinceMs = undefined
    contactSinceMs ??= performance.now()
    lastAnswer = readClocks()
  }
}

/** Tells whether an error is the store's answer to a call that it has processed. */
function isAnswer (error: unknown): boolean {
  return isErrorOfKind(error, ErrorKind.NotFound) || isErrorOfKind(error, ErrorKind.HistoryGone)
}
