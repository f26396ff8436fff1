/** Writes whose answers are lost, late or refused: what the caller is told, and how many calls it costs. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { createImpairedStore } from '../testing/impairedStore.js'
import type { Impairment } from '../testing/impairedStore.js'
import { createConfirmedWrites, LateWriteOutcome } from './confirmedWrites.js'
import type { MetadataStore, Transaction } from './metadataStore.js'

const key = 'key'
const transaction: Transaction = { expected: [{ key, revision: 0 }], writes: [{ key, value: 'value' }] }

let memoryStore: MemoryStore
let impairment: Impairment
let calls: Record<'get' | 'transact' | 'grantLease', number>
let aborted: number
let outcomes: LateWriteOutcome[]
/** Replaces the transactions, if set. */
let transact: ((transaction: Transaction, execute: MetadataStore['transact']) => ReturnType<MetadataStore['transact']>) | undefined
let store: MetadataStore

beforeEach(async () => {
  jest.useFakeTimers()
  memoryStore = createMemoryStore()
  impairment = { roundTripMs: 4, lostAnswers: 0, lostPackets: 0, lostWrites: 0 }
  aborted = 0
  outcomes = []
  transact = undefined
  const client = createImpairedStore(memoryStore.connect('host-0'), impairment, () => 0.5)
  store = createConfirmedWrites({
    store: {
      ...client,
      range: client.range,
      watch: client.watch,
      keepLeaseAlive: client.keepLeaseAlive,
      revokeLease: client.revokeLease,
      get: async requested => {
        calls.get++
        return await client.get(requested)
      },
      transact: async (requested, signal) => {
        calls.transact++
        signal?.addEventListener('abort', () => { aborted++ })
        return await (transact === undefined ? client.transact(requested) : transact(requested, client.transact))
      },
      grantLease: async ttlMs => {
        calls.grantLease++
        return await client.grantLease(ttlMs)
      }
    },
    onLateWrite: outcome => { outcomes.push(outcome) }
  })
  calls = { get: 0, transact: 0, grantLease: 0 }
  await settle(store.get(key))
  calls = { get: 0, transact: 0, grantLease: 0 }
})

afterEach(() => { jest.useRealTimers() })

/** Returns the result of a call, or its error, and how long it took in ms. */
async function settle<T> (call: Promise<T>): Promise<{ readonly value?: T, readonly error?: unknown, readonly tookMs: number }> {
  const startedAtMs = performance.now()
  let outcome: { readonly value?: T, readonly error?: unknown, readonly tookMs: number } | undefined
  call.then(value => { outcome = { value, tookMs: performance.now() - startedAtMs } }, (error: unknown) => { outcome = { error, tookMs: performance.now() - startedAtMs } })
  while (outcome === undefined) await jest.advanceTimersByTimeAsync(1)
  return outcome
}

async function neverAnswer (): Promise<never> {
  return await new Promise(() => {})
}

function writeByOther (value: string): void {
  memoryStore.write(key, value)
}

test('a write that is answered in time costs no other call', async () => {
  expect((await settle(store.transact(transaction))).value).toEqual({ isCommitted: true, revision: 2 })
  expect((await settle(store.transact(transaction))).value?.isCommitted).toBe(false)
  expect((await settle(store.grantLease(1_000))).value?.ttlMs).toBe(1_000)
  expect(calls).toEqual({ get: 0, transact: 2, grantLease: 1 })
  expect(outcomes).toEqual([])
})

test('a write that was applied without an answer is reported as committed after one read', async () => {
  impairment.lostWrites = 1
  const { value, tookMs } = await settle(store.transact(transaction))
  expect(value).toEqual({ isCommitted: true, revision: 2, hasUnansweredCopy: true })
  expect(tookMs).toBeLessThan(120)
  expect(calls).toEqual({ get: 1, transact: 1, grantLease: 0 })
  expect(outcomes).toEqual([LateWriteOutcome.Read])
})

// Guards against connections that stay occupied until the time-out of each lost answer.
test('copies whose answers are not needed any more are aborted', async () => {
  let sent = 0
  transact = async (requested, execute) => ++sent < 3 ? await neverAnswer() : await execute(requested)
  expect((await settle(store.transact(transaction))).value?.isCommitted).toBe(true)
  expect(calls.transact).toBe(3)
  expect(aborted).toBe(3)
  expect(outcomes).toEqual([LateWriteOutcome.Answered])
})

// Guards against a caller that takes its own write for that of another host, and ends its term.
test('a conflict with an earlier copy of the same write is reported as committed', async () => {
  let sent = 0
  transact = async (requested, execute) => {
    if (++sent > 1) return await execute(requested)
    // The first copy is applied between the read and the second copy.
    await delay(105)
    await execute(requested)
    return await neverAnswer()
  }
  expect((await settle(store.transact(transaction))).value).toEqual({ isCommitted: true, revision: 2, hasUnansweredCopy: true })
})

test('a conflict with another writer is reported as such, also after lost answers', async () => {
  let sent = 0
  transact = async (requested, execute) => ++sent < 2 ? await neverAnswer() : await execute(requested)
  writeByOther('other')
  const { value } = await settle(store.transact(transaction))
  expect(value).toEqual({ isCommitted: false, items: [expect.objectContaining({ key, value: 'other' })], hasUnansweredCopy: true })
})

// Guards against two leaders: a host writes the same value in each of its candidacies, and the key of an earlier one may still exist.
test('the same value under another lease is not taken for the write', async () => {
  const leases = [await settle(store.grantLease(10_000)), await settle(store.grantLease(10_000))].map(({ value }) => value?.leaseId)
  const write = (leaseId: number | undefined): Transaction => ({ expected: [{ key, revision: 0 }], writes: [{ key, value: 'host-0', ...(leaseId === undefined ? {} : { leaseId }) }] })
  await settle(store.transact(write(leases[0])))
  let sent = 0
  transact = async (requested, execute) => ++sent < 2 ? await neverAnswer() : await execute(requested)
  expect((await settle(store.transact(write(leases[1])))).value?.isCommitted).toBe(false)
  sent = 0
  expect((await settle(store.transact(write(undefined)))).value?.isCommitted).toBe(false)
  sent = 0
  expect((await settle(store.transact(write(leases[0])))).value?.isCommitted).toBe(true)
})

// Guards against the write of an earlier call that is executed late and contains only some of the keys.
test('a transaction of several keys counts as committed only if all of them were written at once', async () => {
  const both: Transaction = { expected: [{ key, revision: 0 }, { key: 'second', revision: 0 }], writes: [{ key, value: 'value' }, { key: 'second', value: 'value' }] }
  let sent = 0
  transact = async (requested, execute) => {
    if (++sent > 1) return await execute(requested)
    memoryStore.write(key, 'value')
    return await neverAnswer()
  }
  expect((await settle(store.transact(both))).value?.isCommitted).toBe(false)
  // Two writes of other transactions, which leave the same values.
  memoryStore.write('second', 'value')
  sent = 0
  expect((await settle(store.transact(both))).value?.isCommitted).toBe(false)
  memoryStore.write(key, undefined)
  memoryStore.write('second', undefined)
  transact = undefined
  impairment.lostWrites = 1
  expect((await settle(store.transact(both))).value?.isCommitted).toBe(true)
})

test('a refusal of the only copy is passed on at once, and one after a lost answer leaves the outcome unknown', async () => {
  const refused = createError(ErrorKind.StoreUnavailable, 'the store answered with status 503')
  transact = async () => { throw refused }
  const atOnce = await settle(store.transact(transaction))
  expect(atOnce.error).toBe(refused)
  expect(atOnce.tookMs).toBeLessThan(10)
  let sent = 0
  transact = async () => {
    if (++sent === 1) return await neverAnswer()
    throw refused
  }
  const late = await settle(store.transact(transaction))
  expect(late.error).toEqual(expect.objectContaining({ name: createError(ErrorKind.AnswerLost, '').name }))
  expect(late.tookMs).toBeLessThanOrEqual(911)
  expect(outcomes).toEqual([LateWriteOutcome.Failed])
})

// Guards against a busy loop on connections that are reset.
test('copies that fail at once are repeated at intervals', async () => {
  transact = async () => { throw createError(ErrorKind.AnswerLost, 'socket hang up') }
  const { error, tookMs } = await settle(store.transact(transaction))
  expect(error).toEqual(expect.objectContaining({ name: createError(ErrorKind.AnswerLost, '').name }))
  expect(tookMs).toBeLessThanOrEqual(911)
  expect(calls.transact).toBeLessThanOrEqual(8)
})

test('a transaction that would not fail its own conditions is sent once', async () => {
  transact = async () => {
    await delay(400)
    return { isCommitted: true, revision: 2 }
  }
  expect((await settle(store.transact({ expected: [{ key, revision: 0 }], writes: [], removes: [key] }))).value?.isCommitted).toBe(true)
  expect((await settle(store.transact({ expected: [], writes: [{ key, value: 'value' }] }))).value?.isCommitted).toBe(true)
  expect(calls).toEqual({ get: 0, transact: 2, grantLease: 0 })
})

test('a lease whose grant is not answered is granted by another copy', async () => {
  impairment.lostWrites = 1
  const granted = store.grantLease(1_000)
  await jest.advanceTimersByTimeAsync(50)
  impairment.lostWrites = 0
  const { value, tookMs } = await settle(granted)
  expect(value?.ttlMs).toBe(1_000)
  expect(tookMs).toBeLessThan(120)
  expect(calls.grantLease).toBe(2)
})

// Guards against a flood: each call to a slow store would cause several others.
test.each([240, 500])('a store that begins to answer within %i ms is sent few more writes, and none once that is known', async roundTripMs => {
  impairment.roundTripMs = roundTripMs
  const writeAt = async (index: number): Promise<void> => {
    const written = { key: `key-${index}`, value: 'value' }
    expect((await settle(store.transact({ expected: [{ key: written.key, revision: 0 }], writes: [written] }))).value?.isCommitted).toBe(true)
  }
  await Promise.all([writeAt(0), settle(store.grantLease(1_000))])
  expect(calls.transact + calls.grantLease).toBeLessThanOrEqual(2 + 2)
  expect(calls.get).toBeLessThanOrEqual(4)
  const before = { ...calls }
  for (let index = 1; index <= 20; index++) await writeAt(index)
  expect(calls).toEqual({ ...before, transact: before.transact + 20 })
})

// Reads are answered at once by a replica, writes are not.
test('a store that answers only writes slowly is sent a bounded number of copies', async () => {
  transact = async (requested, execute) => {
    await delay(500)
    return await execute(requested)
  }
  expect((await settle(store.transact(transaction))).value?.isCommitted).toBe(true)
  expect(calls.transact).toBeLessThanOrEqual(8)
})

// Guards against a caller that waits for ever: an aborted call fails, as those of the store do.
test.each(['during', 'before'])('a write that is aborted %s the call fails', async when => {
  transact = neverAnswer
  const ending = new AbortController()
  if (when === 'before') ending.abort()
  const errors: unknown[] = []
  void store.transact(transaction, ending.signal).catch((error: unknown) => { errors.push(error) })
  await jest.advanceTimersByTimeAsync(10)
  ending.abort()
  await jest.advanceTimersByTimeAsync(20)
  expect(errors).toEqual([expect.objectContaining({ kind: ErrorKind.AnswerLost })])
})
