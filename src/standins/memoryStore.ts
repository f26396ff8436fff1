/** A stand-in of the metadata store in memory, with its faults: out, turning hosts away, lost and late writes, lapsed leases. */
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { maxTransactionEntries } from '../store/metadataStore.js'
import type { MetadataStore, StoreChange, StoredItem, Transaction, TransactionResult } from '../store/metadataStore.js'

/** The stand-in, and one client of it for each host. */
export interface MemoryStore {
  connect (hostId: string): MetadataStore
  /** Turns every call of a host, or of all, away without doing anything. */
  setOut (isOut: boolean, hostId?: string): void
  /** Lists are never answered in time to a host, as on a slow link. */
  setListsOut (hostId: string, isOut: boolean): void
  /** Turns all calls away; leases stand still meanwhile. */
  pause (isPaused: boolean): void
  /** The next so many writes of a host are done after `lateMs`, and not answered. */
  loseWrites (hostId: string, count: number, lateMs: number): void
  /** Ends all leases at once, with their keys. */
  lapseLeases (): void
  /** Forgets the history before now. */
  compact (): void
  /** What lies at a key, whatever the faults. */
  peek (key: string): string | undefined
  /** Writes as an operator or a worker does. */
  write (key: string, value: string | undefined): void
}

interface Lease {
  readonly ttlMs: number
  endsAtMs: number
}

interface Change extends StoreChange {
  readonly revision: number
}

const pollMs = 5
const maxItemsOfPage = 500

/** Creates an empty store. */
export function createMemoryStore (): MemoryStore {
  const items = new Map<string, StoredItem & { readonly leaseId?: number }>()
  const leases = new Map<number, Lease>()
  const history: Change[] = []
  const outHosts = new Set<string>()
  const listsOutHosts = new Set<string>()
  const lostWrites = new Map<string, { left: number, lateMs: number }>()
  let isOut = false
  let pausedAtMs = 0
  let revision = 1
  let firstRevision = 1
  let nextLease = 1

  return { connect, setOut, setListsOut, pause, loseWrites, lapseLeases, compact, peek: key => items.get(key)?.value, write }

  function setOut (isOutNow: boolean, hostId?: string): void {
    if (hostId === undefined) isOut = isOutNow
    else if (isOutNow) outHosts.add(hostId)
    else outHosts.delete(hostId)
  }

  function setListsOut (hostId: string, isOutNow: boolean): void {
    if (isOutNow) listsOutHosts.add(hostId)
    else listsOutHosts.delete(hostId)
  }

  function pause (isPaused: boolean): void {
    if (isPaused) pausedAtMs = Date.now()
    else for (const lease of leases.values()) lease.endsAtMs += Date.now() - pausedAtMs
    isOut = isPaused
  }

  function loseWrites (hostId: string, count: number, lateMs: number): void {
    lostWrites.set(hostId, { left: count, lateMs })
  }

  function lapseLeases (): void {
    for (const lease of leases.values()) lease.endsAtMs = 0
    endLeases()
  }

  function compact (): void {
    history.length = 0
    firstRevision = revision
  }

  function write (key: string, value: string | undefined): void {
    apply({ expected: [], writes: value === undefined ? [] : [{ key, value }], removes: value === undefined ? [key] : [] })
  }

  function endLeases (): void {
    for (const [leaseId, { endsAtMs }] of leases) {
      if (endsAtMs > Date.now()) continue
      leases.delete(leaseId)
      const removes = [...items.values()].filter(item => item.leaseId === leaseId).map(item => item.key)
      if (removes.length > 0) apply({ expected: [], writes: [], removes })
    }
  }

  function apply (transaction: Transaction): TransactionResult {
    const holds = transaction.expected.every(({ key, revision: expected }) => (items.get(key)?.revision ?? 0) === expected)
    if (!holds) return { isCommitted: false, items: transaction.expected.flatMap(({ key }) => items.get(key) ?? []) }
    revision++
    for (const { key, value, leaseId } of transaction.writes) {
      const item = { key, value, revision, createdRevision: items.get(key)?.createdRevision ?? revision, ...(leaseId === undefined ? {} : { leaseId }) }
      items.set(key, item)
      history.push({ key, item, revision })
    }
    for (const key of transaction.removes ?? []) if (items.delete(key)) history.push({ key, revision })
    return { isCommitted: true, revision }
  }

  function connect (hostId: string): MetadataStore {
    return { get, range, watch, transact, grantLease, keepLease, endLease }

    async function enter (): Promise<void> {
      await Promise.resolve()
      if (isOut || outHosts.has(hostId)) throw createError(ErrorKind.StoreUnavailable, 'the store turns this host away')
      endLeases()
    }

    async function get (key: string): Promise<StoredItem | undefined> {
      await enter()
      return items.get(key)
    }

    async function range (prefix: string, after = ''): Promise<{ items: readonly StoredItem[], hasMore: boolean, revision: number }> {
      await enter()
      if (prefix.endsWith('/') && listsOutHosts.has(hostId)) throw createError(ErrorKind.AnswerLost, 'the list takes too long')
      const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > after).sort((left, right) => left.key < right.key ? -1 : 1)
      return { items: found.slice(0, maxItemsOfPage), hasMore: found.length > maxItemsOfPage, revision }
    }

    async function watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<{ changes: readonly StoreChange[], revision: number }> {
      const endsAtMs = Date.now() + waitMs
      while (signal?.aborted !== true) {
        await enter()
        if (afterRevision < firstRevision) throw createError(ErrorKind.HistoryGone, 'this history is gone')
        const changes = history.filter(change => change.revision > afterRevision && change.key.startsWith(prefix))
        if (changes.length > 0 || Date.now() >= endsAtMs) return { changes, revision }
        await delay(pollMs)
      }
      throw createError(ErrorKind.AnswerLost, 'the watch was given up')
    }

    async function transact (transaction: Transaction): Promise<TransactionResult> {
      await enter()
      const entries = transaction.expected.length + transaction.writes.length + (transaction.removes?.length ?? 0)
      if (entries > maxTransactionEntries) throw createError(ErrorKind.BadRequest, 'too many entries')
      if (transaction.writes.some(({ leaseId }) => leaseId !== undefined && !leases.has(leaseId))) throw createError(ErrorKind.NotFound, 'the lease has ended')
      const lost = lostWrites.get(hostId)
      if (lost === undefined || lost.left === 0) return apply(transaction)
      lost.left--
      setTimeout(() => { apply(transaction) }, lost.lateMs)
      throw createError(ErrorKind.AnswerLost, 'the answer is lost')
    }

    async function grantLease (ttlMs: number): Promise<{ leaseId: number, ttlMs: number }> {
      await enter()
      const leaseId = nextLease++
      leases.set(leaseId, { ttlMs, endsAtMs: Date.now() + ttlMs })
      return { leaseId, ttlMs }
    }

    async function keepLease (leaseId: number): Promise<void> {
      await enter()
      const lease = leases.get(leaseId)
      if (lease === undefined) throw createError(ErrorKind.NotFound, 'the lease has ended')
      lease.endsAtMs = Date.now() + lease.ttlMs
    }

    async function endLease (leaseId: number): Promise<void> {
      await enter()
      const lease = leases.get(leaseId)
      if (lease !== undefined) lease.endsAtMs = 0
      endLeases()
    }
  }
}
