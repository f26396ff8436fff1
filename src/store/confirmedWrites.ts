/**
 * Finds out within a few round trips whether a write without an answer was applied, and repeats it if it was not. A caller of the store itself would
 * learn nothing before the time-out of the call. See docs/design/store-writes.md.
 */
import { setMaxListeners } from 'node:events'
import { createSignal } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { MetadataStore, StoredItem, Transaction, TransactionResult } from './metadataStore.js'

/** How the outcome of a write was found that had no answer in time. */
export enum LateWriteOutcome {
  /** One of its copies was answered. */
  Answered = 'answered',
  /** A read showed that it had been applied. */
  Read = 'read',
  /** The caller was told an error, in most cases that the outcome is unknown. */
  Failed = 'failed'
}

/** Dependencies of confirmed writes. */
export interface ConfirmedWritesHost {
  readonly store: MetadataStore
  /** Called at the end of each write that had no answer in time. `copies` counts all of its copies. */
  readonly onLateWrite?: (outcome: LateWriteOutcome, copies: number) => void
}

/** A write that may be sent several times. */
interface RepeatableWrite<T> {
  send (signal: AbortSignal): Promise<T>
  /** Interprets the answer to one of several copies, of which an earlier one may have been applied. */
  interpret (answer: T): T
  /** Adds to the outcome that a copy that was sent earlier had no answer. */
  markUnanswered (outcome: T): T
  /** Reads whether the write has been applied; returns undefined if the read does not show it. */
  read (signal: AbortSignal): Promise<T | undefined>
}

/** The outcome of a write is reported within this time, in ms: the time-out of a call, and a margin in which the first copy ends by itself. */
const writeLimitMs = 910
/** A write counts as late after this multiple of the longest of the latest round trips, within these bounds, in ms. Answers from another region take 45 ms. */
const lateRoundTrips = 2
const minLateMs = 100
const maxLateMs = 900
/** The same before the first answer. */
const defaultLateMs = 300
/** The least time between a copy and the check of it, in ms, once a read has shown that the store answers and has not applied the write. */
const minRepeatMs = 50
/** The most copies of one write. If six in ten are lost, one of eight arrives in 98 of 100 cases. */
const maxCopies = 8
/** Range reads of at most this many items count as round trips; the transfer of larger ones takes longer. */
const maxMeasuredItems = 16
/** The number of the latest answers, to writes and to other calls, whose round trips are taken into account. */
const maxRoundTrips = 8
/** A key that is read only to see whether the store answers. It need not exist. */
const probeKey = 'probe'

/**
 * Creates a store whose `transact` and `grantLease` confirm their outcome. Copies of a transaction that are executed late are rejected by its conditions. A
 * transaction that writes no key of its conditions is sent once.
 */
export function createConfirmedWrites (host: ConfirmedWritesHost): MetadataStore {
  const { store } = host
  let writeRoundTripsMs: readonly number[] = []
  let otherRoundTripsMs: readonly number[] = []

  return {
    get: async (key, signal) => await measure(store.get(key, signal)),
    range: async (prefix, after) => await measure(store.range(prefix, after), ({ items }) => items.length <= maxMeasuredItems),
    watch: async (prefix, afterRevision, waitMs, signal) => await store.watch(prefix, afterRevision, waitMs, signal),
    transact,
    grantLease,
    keepLeaseAlive: async leaseId => { await measure(store.keepLeaseAlive(leaseId)) },
    revokeLease: async leaseId => { await store.revokeLease(leaseId) }
  }

  async function transact (transaction: Transaction, signal?: AbortSignal): Promise<TransactionResult> {
    if (!hasGuardedWrite(transaction)) return await store.transact(transaction, signal)
    return await confirm<TransactionResult>({
      send: copySignal => store.transact(transaction, copySignal),
      interpret: result => {
        const revision = result.isCommitted ? undefined : tryGetAppliedRevision(transaction, result.items)
        return revision === undefined ? result : { isCommitted: true, revision }
      },
      markUnanswered: result => ({ ...result, hasUnansweredCopy: true }),
      read: async readSignal => await readApplied(transaction, readSignal)
    }, signal)
  }

  /** Leases that are granted to further copies end unused. */
  async function grantLease (ttlMs: number, signal?: AbortSignal): Promise<{ readonly leaseId: number, readonly ttlMs: number }> {
    return await confirm({
      send: copySignal => store.grantLease(ttlMs, copySignal),
      interpret: lease => lease,
      markUnanswered: lease => lease,
      read: async readSignal => {
        await measure(store.get(probeKey, readSignal))
        return undefined
      }
    }, signal)
  }

  async function readApplied (transaction: Transaction, signal: AbortSignal): Promise<TransactionResult | undefined> {
    const [first, ...others] = transaction.writes.map(({ key }) => key)
    if (first === undefined) return undefined
    const firstItem = await measure(store.get(first, signal))
    if (firstItem === undefined || !isWrittenBy(transaction, firstItem)) return undefined
    const otherItems = await Promise.all(others.map(async key => await measure(store.get(key, signal))))
    const revision = tryGetAppliedRevision(transaction, [firstItem, ...otherItems.flatMap(item => item ?? [])])
    return revision === undefined ? undefined : { isCommitted: true, revision }
  }

  async function confirm<T> (write: RepeatableWrite<T>, signal?: AbortSignal): Promise<T> {
    const ending = new AbortController()
    // Each copy and each read adds a listener.
    setMaxListeners(0, ending.signal)
    if (signal?.aborted === true) throw createError(ErrorKind.AnswerLost, 'the call was aborted before it was sent')
    let onAbort = (): void => {}
    try {
      return await new Promise<T>((resolve, reject) => {
        onAbort = () => { reject(createError(ErrorKind.AnswerLost, 'the call was aborted')) }
        signal?.addEventListener('abort', onAbort, { once: true })
        void repeatUntilKnown(write, ending, resolve, reject)
      })
    } finally {
      signal?.removeEventListener('abort', onAbort)
      // Copies whose answers are not needed any more hold no connection.
      ending.abort()
    }
  }

  async function repeatUntilKnown<T> (write: RepeatableWrite<T>, ending: AbortController, resolve: (value: T) => void, reject: (error: unknown) => void): Promise<void> {
    const startedAtMs = performance.now()
    const changed = createSignal()
    let sentAtMs = startedAtMs
    let copies = 0
    let unanswered = 0
    /** The copies, by number, of which it is known that they were not carried out. */
    const refused = new Set<number>()
    let isLate = false
    /** The error of a copy that may have been applied. */
    let lostError: unknown
    let lateMs = getLateMs()
    sendCopy()
    while (!ending.signal.aborted) {
      await waitForCopies()
      if (ending.signal.aborted) return
      if (getLeftMs() <= 0) {
        fail(lostError ?? createError(ErrorKind.AnswerLost, `no response within ${writeLimitMs} ms`))
        return
      }
      isLate = true
      const readMs = await readWithin(lateMs)
      if (ending.signal.aborted || getLeftMs() <= 0) continue
      // Without an answer to the read, the store may be slow rather than have lost the write.
      lateMs = readMs === undefined ? 2 * lateMs : Math.max(minRepeatMs, lateRoundTrips * readMs)
      sendCopy()
    }

    function getLeftMs (): number {
      return startedAtMs + writeLimitMs - performance.now()
    }

    function sendCopy (): void {
      copies++
      unanswered++
      sentAtMs = performance.now()
      const copySentAtMs = sentAtMs
      const copy = copies
      write.send(ending.signal).then(answer => {
        recordWrite(copySentAtMs)
        succeed(copies > 1 ? write.interpret(answer) : answer, LateWriteOutcome.Answered, copy - 1)
      }, error => { onCopyFailed(error, copy) })
    }

    function onCopyFailed (error: unknown, copy: number): void {
      unanswered--
      const isRefused = isErrorOfKind(error, ErrorKind.StoreUnavailable, ErrorKind.PeerUnreachable)
      if (isRefused) refused.add(copy)
      if (isErrorOfKind(error, ErrorKind.AnswerLost)) lostError = error
      else if (!isRefused || (unanswered === 0 && lostError === undefined)) fail(error)
      changed.notify()
    }

    /** Waits until the latest copy is late, or all copies have failed and a short time has passed. */
    async function waitForCopies (): Promise<void> {
      while (!ending.signal.aborted) {
        const limitMs = unanswered === 0 ? Math.min(minLateMs, lateMs) : lateMs
        const waitMs = Math.min(getLeftMs(), copies === maxCopies ? Infinity : sentAtMs + limitMs - performance.now())
        if (waitMs <= 0) return
        await changed.wait(waitMs)
      }
    }

    /** Returns the round trip of the read, in ms; undefined if it fails or takes longer than `waitMs`. A later answer counts as well. */
    async function readWithin (waitMs: number): Promise<number | undefined> {
      const readSentAtMs = performance.now()
      const untilMs = readSentAtMs + Math.min(waitMs, getLeftMs())
      let answeredAtMs: number | undefined
      let isOver = false
      const read = async (): Promise<void> => {
        const applied = await write.read(ending.signal)
        answeredAtMs = performance.now()
        if (applied !== undefined) succeed(applied, LateWriteOutcome.Read, copies)
      }
      // The write is repeated without the read if that fails.
      read().catch(() => {}).finally(() => {
        isOver = true
        changed.notify()
      })
      while (!isOver && !ending.signal.aborted && performance.now() < untilMs) await changed.wait(untilMs - performance.now())
      return answeredAtMs === undefined ? undefined : answeredAtMs - readSentAtMs
    }

    /** `earlierCopies` is the number of copies that were sent before the one that was answered. A slow store answers the first one first. */
    function succeed (value: T, outcome: LateWriteOutcome, earlierCopies: number): void {
      if (ending.signal.aborted) return
      finish(outcome)
      const refusedCopies = [...refused].filter(copy => copy <= earlierCopies).length
      resolve(refusedCopies < earlierCopies ? write.markUnanswered(value) : value)
    }

    function fail (error: unknown): void {
      if (ending.signal.aborted) return
      finish(LateWriteOutcome.Failed)
      reject(error)
    }

    function finish (outcome: LateWriteOutcome): void {
      ending.abort()
      changed.notify()
      if (isLate) host.onLateWrite?.(outcome, copies)
    }
  }

  function getLateMs (): number {
    const longestMs = Math.max(...writeRoundTripsMs, ...otherRoundTripsMs)
    return longestMs === -Infinity ? defaultLateMs : Math.min(maxLateMs, Math.max(minLateMs, lateRoundTrips * longestMs))
  }

  async function measure<T> (call: Promise<T>, counts: (answer: T) => boolean = () => true): Promise<T> {
    const sentAtMs = performance.now()
    const answer = await call
    if (counts(answer)) otherRoundTripsMs = [...otherRoundTripsMs, performance.now() - sentAtMs].slice(-maxRoundTrips)
    return answer
  }

  function recordWrite (sentAtMs: number): void {
    writeRoundTripsMs = [...writeRoundTripsMs, performance.now() - sentAtMs].slice(-maxRoundTrips)
  }
}

/** Tells whether the transaction, once applied, fails its own conditions, so that it may be sent again. */
function hasGuardedWrite ({ expected, writes }: Transaction): boolean {
  return writes.some(({ key }) => expected.some(condition => condition.key === key))
}

function isWrittenBy (transaction: Transaction, item: StoredItem): boolean {
  const write = transaction.writes.find(({ key }) => key === item.key)
  const expected = transaction.expected.find(({ key }) => key === item.key)
  return write !== undefined && item.value === write.value && item.leaseId === write.leaseId && item.revision > (expected?.revision ?? 0)
}

/**
 * The revision at which the transaction was applied, if these items show that it was: all of its keys have its values and leases, of one revision after the
 * expected ones. An identical transaction of an earlier call gives the same state.
 */
function tryGetAppliedRevision (transaction: Transaction, items: readonly StoredItem[]): number | undefined {
  const written = transaction.writes.map(({ key }) => items.find(item => item.key === key))
  const revision = written[0]?.revision
  return written.every(item => item !== undefined && item.revision === revision && isWrittenBy(transaction, item)) ? revision : undefined
}
