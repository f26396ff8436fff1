/** An in-memory stand-in for the metadata store, with fault injection: outages, range timeouts, late writes without a response, expired leases. */
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { maxTransactionEntries } from '../store/metadataStore.js'
import type { MetadataStore, StoreChange, StoredItem, Transaction, TransactionResult } from '../store/metadataStore.js'

/** The stand-in; `connect` creates a client for one host. */
export interface MemoryStore {
  connect (hostId: string): MetadataStore
  /** While set, rejects every call of a host, or of all hosts if `hostId` is not given, without executing it. */
  setUnavailable (isUnavailable: boolean, hostId?: string): void
  /** While set, executes every call of a host and sends it no response. */
  setAnswersLost (hostId: string, areAnswersLost: boolean): void
  /** While set, range requests of a host time out if their prefix ends with `/`, as large responses do on a slow link. */
  setListsUnavailable (hostId: string, isUnavailable: boolean): void
  /** Pauses or resumes the store. While paused, it rejects all calls, and the remaining time of every lease does not elapse. */
  pause (isPaused: boolean): void
  /**
   * Applies the next `count` transactions of a host that write a key under `prefix` `lateMs` later, and sends the host no response to them. Adds to
   * earlier calls; a count of 0 ends all of them.
   */
  delayWrites (hostId: string, count: number, lateMs: number, prefix?: string): void
  /**
   * The keys that hosts have written without a condition on the same key. A write without a response can replace a newer value of such a key when it is
   * applied late.
   */
  getUnguardedKeys (): readonly string[]
  /** Holds back the lease renewals of a host for `forMs`, and executes them at the end of that time. The host gets no response to them. */
  holdRenewals (hostId: string, forMs: number): void
  /** Expires all leases immediately and removes their keys. */
  expireLeases (): void
  /** Discards the change history up to the current revision. */
  compact (): void
  /** Reads the value of a key, unaffected by the injected faults. */
  peek (key: string): string | undefined
  /** Writes a key, or removes it if `value` is undefined, as an operator or a worker would; unaffected by the injected faults. */
  write (key: string, value: string | undefined): void
}

interface Lease {
  readonly ttlMs: number
  endsAtMs: number
}

interface WriteFault {
  readonly lateMs: number
  readonly prefix: string
  left: number
}

interface Change extends StoreChange {
  readonly revision: number
}

const pollMs = 5
/** After this time, in ms, a host gives up a call whose response does not arrive. */
const answerTimeoutMs = 900
const maxItemsPerPage = 500

/** Creates an empty store. */
export function createMemoryStore (): MemoryStore {
  const items = new Map<string, StoredItem>()
  const leases = new Map<number, Lease>()
  const history: Change[] = []
  const unavailableHosts = new Set<string>()
  const answerlessHosts = new Set<string>()
  const listTimeoutHosts = new Set<string>()
  const writeFaults = new Map<string, WriteFault[]>()
  /** Until when the renewals of a host are held back, as Unix time in ms. */
  const renewalsHeldUntilMs = new Map<string, number>()
  const unguardedKeys = new Set<string>()
  let isUnavailable = false
  let pausedAtMs = 0
  let revision = 1
  let firstRevision = 1
  let nextLeaseId = 1

  return { connect, setUnavailable, setAnswersLost, setListsUnavailable, pause, delayWrites, holdRenewals, getUnguardedKeys: () => [...unguardedKeys], expireLeases, compact, peek: key => items.get(key)?.value, write }

  function setUnavailable (isUnavailableNow: boolean, hostId?: string): void {
    if (hostId === undefined) isUnavailable = isUnavailableNow
    else if (isUnavailableNow) unavailableHosts.add(hostId)
    else unavailableHosts.delete(hostId)
  }

  function setAnswersLost (hostId: string, areAnswersLost: boolean): void {
    if (areAnswersLost) answerlessHosts.add(hostId)
    else answerlessHosts.delete(hostId)
  }

  function setListsUnavailable (hostId: string, isUnavailableNow: boolean): void {
    if (isUnavailableNow) listTimeoutHosts.add(hostId)
    else listTimeoutHosts.delete(hostId)
  }

  function pause (isPaused: boolean): void {
    if (isPaused) pausedAtMs = Date.now()
    else for (const lease of leases.values()) lease.endsAtMs += Date.now() - pausedAtMs
    isUnavailable = isPaused
  }

  function delayWrites (hostId: string, count: number, lateMs: number, prefix = ''): void {
    writeFaults.set(hostId, count === 0 ? [] : [...writeFaults.get(hostId) ?? [], { left: count, lateMs, prefix }])
  }

  function holdRenewals (hostId: string, forMs: number): void {
    renewalsHeldUntilMs.set(hostId, Date.now() + forMs)
  }

  function expireLeases (): void {
    for (const lease of leases.values()) lease.endsAtMs = 0
    removeExpiredLeases()
  }

  function compact (): void {
    history.length = 0
    firstRevision = revision
  }

  function write (key: string, value: string | undefined): void {
    apply({ expected: [], writes: value === undefined ? [] : [{ key, value }], removes: value === undefined ? [key] : [] })
  }

  function removeExpiredLeases (): void {
    for (const [leaseId, { endsAtMs }] of leases) {
      if (endsAtMs > Date.now()) continue
      leases.delete(leaseId)
      const removes = [...items.values()].filter(item => item.leaseId === leaseId).map(item => item.key)
      if (removes.length > 0) apply({ expected: [], writes: [], removes })
    }
  }

  function areLeasesValid ({ writes }: Transaction): boolean {
    return writes.every(({ leaseId }) => leaseId === undefined || leases.has(leaseId))
  }

  function apply (transaction: Transaction): TransactionResult {
    const isExpectedState = transaction.expected.every(({ key, revision: expected }) => (items.get(key)?.revision ?? 0) === expected)
    if (!isExpectedState) return { isCommitted: false, items: transaction.expected.flatMap(({ key }) => items.get(key) ?? []) }
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
    return {
      get: async key => await answer(get(key)),
      range: async (prefix, after) => await answer(range(prefix, after)),
      watch: async (prefix, afterRevision, waitMs, signal) => await answer(watch(prefix, afterRevision, waitMs, signal)),
      transact: async transaction => await answer(transact(transaction)),
      grantLease: async ttlMs => await answer(grantLease(ttlMs)),
      keepLeaseAlive: async leaseId => { await answer(keepLeaseAlive(leaseId)) },
      revokeLease: async leaseId => { await answer(revokeLease(leaseId)) }
    }

    async function answer<T> (executed: Promise<T>): Promise<T> {
      if (!answerlessHosts.has(hostId)) return await executed
      await executed.catch(() => {})
      await delay(answerTimeoutMs)
      throw createError(ErrorKind.AnswerLost, 'the response of the store did not arrive')
    }

    async function checkAvailable (): Promise<void> {
      await Promise.resolve()
      if (isUnavailable || unavailableHosts.has(hostId)) throw createError(ErrorKind.StoreUnavailable, 'the store is unavailable to this host')
      removeExpiredLeases()
    }

    async function get (key: string): Promise<StoredItem | undefined> {
      await checkAvailable()
      return items.get(key)
    }

    async function range (prefix: string, after = ''): Promise<{ items: readonly StoredItem[], hasMore: boolean, revision: number }> {
      await checkAvailable()
      if (prefix.endsWith('/') && listTimeoutHosts.has(hostId)) throw createError(ErrorKind.AnswerLost, 'the list request timed out')
      const found = [...items.values()].filter(item => item.key.startsWith(prefix) && item.key > after).sort((left, right) => left.key < right.key ? -1 : 1)
      return { items: found.slice(0, maxItemsPerPage), hasMore: found.length > maxItemsPerPage, revision }
    }

    async function watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<{ changes: readonly StoreChange[], revision: number }> {
      const endsAtMs = Date.now() + waitMs
      while (signal?.aborted !== true) {
        await checkAvailable()
        if (afterRevision < firstRevision) throw createError(ErrorKind.HistoryGone, 'the change history after this revision has been discarded')
        const changes = history.filter(change => change.revision > afterRevision && change.key.startsWith(prefix))
        if (changes.length > 0 || Date.now() >= endsAtMs) return { changes, revision }
        await delay(pollMs)
      }
      throw createError(ErrorKind.AnswerLost, 'the watch was cancelled')
    }

    async function transact (transaction: Transaction): Promise<TransactionResult> {
      await checkAvailable()
      const entries = transaction.expected.length + transaction.writes.length + (transaction.removes?.length ?? 0)
      if (entries > maxTransactionEntries) throw createError(ErrorKind.BadRequest, 'the transaction has too many entries')
      if (!areLeasesValid(transaction)) throw createError(ErrorKind.NotFound, 'the lease does not exist or has expired')
      for (const { key } of transaction.writes) if (!transaction.expected.some(condition => condition.key === key)) unguardedKeys.add(key)
      const writeFault = writeFaults.get(hostId)?.find(({ left, prefix }) => left > 0 && (prefix === '' || transaction.writes.some(({ key }) => key.startsWith(prefix))))
      if (writeFault === undefined) return apply(transaction)
      writeFault.left--
      setTimeout(() => {
        removeExpiredLeases()
        if (areLeasesValid(transaction)) apply(transaction)
      }, writeFault.lateMs)
      throw createError(ErrorKind.AnswerLost, 'the response of the transaction was lost')
    }

    async function grantLease (ttlMs: number): Promise<{ leaseId: number, ttlMs: number }> {
      await checkAvailable()
      const leaseId = nextLeaseId++
      leases.set(leaseId, { ttlMs, endsAtMs: Date.now() + ttlMs })
      return { leaseId, ttlMs }
    }

    async function keepLeaseAlive (leaseId: number): Promise<void> {
      await checkAvailable()
      const heldMs = (renewalsHeldUntilMs.get(hostId) ?? -Infinity) - Date.now()
      if (heldMs <= 0) {
        renewLease(leaseId)
        return
      }
      setTimeout(() => {
        removeExpiredLeases()
        if (leases.has(leaseId)) renewLease(leaseId)
      }, heldMs)
      await delay(answerTimeoutMs)
      throw createError(ErrorKind.AnswerLost, 'the response to the renewal did not arrive')
    }

    function renewLease (leaseId: number): void {
      const lease = leases.get(leaseId)
      if (lease === undefined) throw createError(ErrorKind.NotFound, 'the lease does not exist or has expired')
      lease.endsAtMs = Date.now() + lease.ttlMs
    }

    async function revokeLease (leaseId: number): Promise<void> {
      await checkAvailable()
      const lease = leases.get(leaseId)
      if (lease !== undefined) lease.endsAtMs = 0
      removeExpiredLeases()
    }
  }
}
