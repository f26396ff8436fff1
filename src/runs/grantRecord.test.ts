/** What a term may grant by its record, and what it concludes from those of earlier terms. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { createSilentWorkers } from '../testing/grants.js'
import { createGrantRecord } from './grantRecord.js'
import { grantPrefix } from './grantRecordFormat.js'
import type { GrantRecord } from './grantRecord.js'
import { getLongestDurationMs } from './workerLease.js'

const maxLeaseMs = 6_000
/** After this time, in ms, the record of a term that has ended is gone. */
const recordGoneMs = 7_500
/** How long a term polls workers before its record is stored, in ms. */
const pollMs = 30
const leaderKey = 'leader'

let memoryStore: MemoryStore
let epochs: number[]
let terms: { readonly ending: AbortController, readonly resignations: string[] }[]

beforeEach(() => {
  jest.useFakeTimers()
  memoryStore = createMemoryStore()
  terms = []
  epochs = []
})

afterEach(async () => {
  for (const { ending } of terms) ending.abort()
  await run(1_000)
  jest.useRealTimers()
})

async function run (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
}

/** Begins a term that these workers do not answer; the one before does not notice. */
async function startTerm (hostId: string, { unansweredIds = [], wrap = client => client }: { readonly unansweredIds?: readonly string[], readonly wrap?: (client: MetadataStore) => MetadataStore } = {}): Promise<{ readonly record: GrantRecord, readonly ending: AbortController, readonly resignations: string[] }> {
  const client = memoryStore.connect(hostId)
  memoryStore.write(leaderKey, hostId)
  const epoch = (await client.get(leaderKey))?.revision ?? 0
  epochs.push(epoch)
  const ending = new AbortController()
  const resignations: string[] = []
  const term: Term = { epoch, leaderKey, leaderRevision: epoch, isValid: () => !ending.signal.aborted, resign: reason => { resignations.push(reason) }, signal: ending.signal }
  const record = createGrantRecord({ store: wrap(client), term, logger: silentLogger, maxLeaseMs, minTtlMs: 500, onEarlierChanged: () => {} })
  setTimeout(() => { void record.open(() => unansweredIds) }, pollMs)
  const started = { record, ending, resignations }
  terms.push(started)
  return started
}

// A later term could not know of a lease that was granted before the record was stored.
test('no lease is granted before the record is stored', async () => {
  const { record } = await startTerm('host-1')
  expect(record.getMaxGrantMs('w')).toBe(0)
  await run(100)
  expect(record.getMaxGrantMs('w')).toBe(maxLeaseMs)
})

// The reference that a term creates says nothing about the records of the terms before it.
test('a term that finds no reference concludes nothing and excludes no worker', async () => {
  const { record } = await startTerm('host-0', { unansweredIds: ['w'] })
  await run(100)
  expect(record.areEarlierLeasesOver('w')).toBe(false)
  expect(record.isExcluded('w')).toBe(false)
  expect(record.getMaxGrantMs('w')).toBe(maxLeaseMs)
})

test('the leases of an earlier term count as over when its record has gone away, or at once if it excludes the worker', async () => {
  const first = await startTerm('host-0')
  await run(100)
  first.ending.abort()
  const second = await startTerm('host-1', { unansweredIds: ['w'] })
  await run(100)
  expect(second.record.areEarlierLeasesOver('w')).toBe(false)
  expect(second.record.getMaxGrantMs('w')).toBe(0)
  await run(recordGoneMs)
  expect(second.record.areEarlierLeasesOver('w')).toBe(true)
  second.ending.abort()
  const third = await startTerm('host-2')
  await run(100)
  expect(third.record.areEarlierLeasesOver('w')).toBe(true)
  expect(third.record.areEarlierLeasesOver('other')).toBe(false)
  await run(recordGoneMs)
  expect(third.record.areEarlierLeasesOver('other')).toBe(true)
})

// The scheduler that polled the worker knew when its lease ends; its successor waited for the life of the whole record.
test('the leases of a silent worker count as over when their time has passed, also in the next term, and not before', async () => {
  const first = await startTerm('host-0')
  await run(100)
  first.record.excludeSilent(createSilentWorkers('w', 'v'), 3_000)
  expect(first.record.getMaxGrantMs('w')).toBe(0)
  await run(500)
  first.ending.abort()
  const second = await startTerm('host-1')
  await run(2_400)
  expect(second.record.areEarlierLeasesOver('w')).toBe(false)
  await run(500)
  expect(second.record.areEarlierLeasesOver('w')).toBe(true)
  expect(second.record.areEarlierLeasesOver('other')).toBe(false)
})

// Guards against two runs at once: a start without an answer may be carried out after the leases of the worker's other runs have ended.
test.each([0, 4_000])('the runs of a silent worker that are uncertain are not covered by its timer, also after %i ms in the term that recorded it', async laterMs => {
  const first = await startTerm('host-0')
  await run(100)
  first.record.excludeSilent([{ workerId: 'w', uncertainRuns: ['t#2'], isLifeKnown: true }], 3_000)
  await run(500 + laterMs)
  first.ending.abort()
  const second = await startTerm('host-1', { unansweredIds: ['w'] })
  await run(3_000)
  expect(second.record.getEndedLeases('w')).toEqual({ uncertainRuns: new Set(['t#2']), isLifeKnown: true })
  expect(second.record.areEarlierLeasesOver('w')).toBe(false)
  // The one after it, too, although it has granted the worker nothing.
  second.ending.abort()
  const third = await startTerm('host-2')
  await run(100)
  expect(third.record.getEndedLeases('w')).toEqual({ uncertainRuns: new Set(['t#2']), isLifeKnown: true })
  await run(recordGoneMs)
  expect(third.record.areEarlierLeasesOver('w')).toBe(true)
})

// Guards against a life that only the first of two terms knew.
test('the life of a worker counts as known only if every term that has granted it a lease knows it', async () => {
  const first = await startTerm('host-0')
  await run(100)
  first.record.excludeSilent([{ workerId: 'w', uncertainRuns: [], isLifeKnown: true }], 500)
  await run(1_000)
  first.ending.abort()
  const second = await startTerm('host-1')
  await run(100)
  second.record.excludeSilent([{ workerId: 'w', uncertainRuns: [], isLifeKnown: false }], 500)
  await run(1_000)
  second.ending.abort()
  const third = await startTerm('host-2')
  await run(100)
  expect(third.record.getEndedLeases('w')).toEqual({ uncertainRuns: new Set(), isLifeKnown: false })
})

test.each([
  ['{"excluded":[],"silent":{"grants/1/1":["w"]}}', { uncertainRuns: new Set(), isLifeKnown: false }],
  ['{"excluded":["w"]}', { uncertainRuns: new Set(), isLifeKnown: false }],
  ['{"excluded":[],"silentWorkers":{"grants/1/1":{"w":{"uncertainRuns":["t#1"]}}}}', undefined],
  ['{"excluded":[],"silentWorkers":{"grants/2/1":{"w":{"uncertainRuns":[],"isLifeKnown":true}}}}', undefined]
])('a record of an earlier version or another writer, %s, says no more than it names', async (value, expected) => {
  const first = await startTerm('host-0')
  await run(100)
  first.ending.abort()
  await run(recordGoneMs)
  memoryStore.write(`${grantPrefix}1`, value)
  const second = await startTerm('host-1')
  await run(100)
  expect(second.record.getEndedLeases('w')).toEqual(expected)
})

// Guards against a timer of one group that ends the wait for another.
test('the leases of silent workers that were excluded one after the other end one after the other', async () => {
  const first = await startTerm('host-0')
  await run(100)
  first.record.excludeSilent(createSilentWorkers('w'), 1_000)
  first.record.excludeSilent(createSilentWorkers('v'), 4_000)
  await run(300)
  first.record.excludeSilent(createSilentWorkers('u'), 5_000)
  await run(200)
  first.ending.abort()
  const second = await startTerm('host-1')
  await run(1_200)
  expect(['w', 'v', 'u'].map(second.record.areEarlierLeasesOver)).toEqual([true, false, false])
  await run(2_600)
  expect(['w', 'v', 'u'].map(second.record.areEarlierLeasesOver)).toEqual([true, true, false])
})

test('the leases of a silent worker count as over in later terms if their time passed in the term that recorded it', async () => {
  const first = await startTerm('host-0')
  await run(100)
  first.record.excludeSilent(createSilentWorkers('w'), 1_000)
  await run(1_500)
  first.record.excludeSilent(createSilentWorkers('v'), 5_000)
  await run(500)
  first.ending.abort()
  const second = await startTerm('host-1')
  await run(100)
  expect(second.record.areEarlierLeasesOver('w')).toBe(true)
  expect(second.record.areEarlierLeasesOver('v')).toBe(false)
})

// Guards against a lease that ends after its timer: the timer is created some time after the lease was extended, and its write may be repeated.
test.each([0, 700, 2_500])('with writes that are applied %i ms late, a silent worker is not taken for one whose leases are over', async lateMs => {
  const first = await startTerm('host-0')
  await run(100)
  if (lateMs > 0) memoryStore.delayWrites('host-0', 3, lateMs, grantPrefix)
  const endsAtMs = performance.now() + 4_000
  first.record.excludeSilent(createSilentWorkers('w'), 4_000)
  await run(1_000)
  first.ending.abort()
  const second = await startTerm('host-1')
  while (performance.now() < endsAtMs) {
    expect(second.record.areEarlierLeasesOver('w')).toBe(false)
    await run(10)
  }
})

test('a silent worker that is included again counts like any other', async () => {
  const first = await startTerm('host-0')
  await run(100)
  first.record.excludeSilent(createSilentWorkers('w', 'v'), 1_000)
  await run(300)
  await Promise.all([first.record.include('w'), run(300)])
  expect(first.record.getMaxGrantMs('w')).toBe(maxLeaseMs)
  expect(first.record.getMaxGrantMs('v')).toBe(0)
  await run(1_000)
  first.ending.abort()
  const second = await startTerm('host-1')
  await run(100)
  expect(second.record.areEarlierLeasesOver('w')).toBe(false)
  expect(second.record.areEarlierLeasesOver('v')).toBe(true)
})

// Guards against a timer that the store removes too early, or grants too short.
test('a silent worker does not count as excluded if the store grants a shorter lease for its timer', async () => {
  const first = await startTerm('host-0', {
    wrap: client => ({ ...client, grantLease: async ttlMs => await client.grantLease(ttlMs < 6_000 ? 1_000 : ttlMs) })
  })
  await run(100)
  first.record.excludeSilent(createSilentWorkers('w'), 5_000)
  await run(1_500)
  first.ending.abort()
  const second = await startTerm('host-1')
  await run(100)
  expect(second.record.areEarlierLeasesOver('w')).toBe(false)
})

// Guards against a lease that the store still denies: the next term would start the work again.
test('an excluded worker is granted no lease before the store has a record without it', async () => {
  const first = await startTerm('host-0')
  await run(100)
  first.ending.abort()
  const { record } = await startTerm('host-1', { unansweredIds: ['w', 'v'] })
  await run(200)
  memoryStore.delayWrites('host-1', 20, 1_000, grantPrefix)
  const included = record.include('w')
  await run(500)
  expect(record.getMaxGrantMs('w')).toBe(0)
  await run(3_000)
  await included
  expect(record.getMaxGrantMs('w')).toBe(maxLeaseMs)
  expect(record.getMaxGrantMs('v')).toBe(0)
})

// Guards against leases that outlast the record: the leader's own lease may be renewed while the record's is not.
test('leases become shorter while the renewals of the record get no answer, and end before it', async () => {
  let isCut = false
  const answer = async <T>(call: () => Promise<T>): Promise<T> => {
    if (isCut) throw new Error('no response')
    return await call()
  }
  const { record, resignations } = await startTerm('host-0', {
    wrap: client => ({
      ...client,
      grantLease: async ttlMs => await answer(async () => await client.grantLease(ttlMs)),
      transact: async transaction => await answer(async () => await client.transact(transaction)),
      keepLeaseAlive: async leaseId => { await answer(async () => { await client.keepLeaseAlive(leaseId) }) }
    })
  })
  await run(1_000)
  isCut = true
  const cutAtMs = performance.now()
  while (memoryStore.peek(`${grantPrefix}${getEpoch()}`) !== undefined && performance.now() - cutAtMs < 2 * recordGoneMs) {
    const grantMs = record.getMaxGrantMs('w')
    if (grantMs > 0) expect(performance.now() + 1.02 * grantMs).toBeLessThan(cutAtMs + recordGoneMs)
    await run(100)
  }
  expect(record.getMaxGrantMs('w')).toBe(0)
  await run(3_000)
  expect(resignations).toHaveLength(1)
})

// A term that ends during its takeover has granted no lease to a worker that has not answered, however late the store has shown it the records of earlier terms.
test('a record excludes the workers that have not answered, also if the store answers only after the first polls', async () => {
  const first = await startTerm('host-0')
  await run(100)
  first.ending.abort()
  const second = await startTerm('host-1', {
    unansweredIds: ['w'],
    wrap: client => ({
      ...client,
      range: async (prefix, after) => {
        await new Promise(resolve => { setTimeout(resolve, 10 * pollMs) })
        return await client.range(prefix, after)
      }
    })
  })
  await run(500)
  expect(second.record.isStored()).toBe(true)
  expect(second.record.isExcluded('w')).toBe(true)
  expect(memoryStore.peek(`${grantPrefix}${getEpoch()}`)).toBe('{"excluded":["w"],"silentWorkers":{}}')
})

// Guards against requests of a host whose connection is cut: the store executes them when the cut ends, after the end of the term.
test.each([1_000, 3_000, 6_000])('a record goes away in time although requests of its term that were held back for %i ms are executed', async heldMs => {
  let heldUntilMs = -Infinity
  const hold = async <T>(call: () => Promise<T>): Promise<T> => {
    if (performance.now() < heldUntilMs) await new Promise(resolve => { setTimeout(resolve, heldUntilMs - performance.now()) })
    return await call()
  }
  const first = await startTerm('host-0', {
    wrap: client => ({
      ...client,
      grantLease: async ttlMs => await hold(async () => await client.grantLease(ttlMs)),
      transact: async transaction => await hold(async () => await client.transact(transaction)),
      keepLeaseAlive: async leaseId => { await hold(async () => { await client.keepLeaseAlive(leaseId) }) }
    })
  })
  const epoch = getEpoch()
  await run(2_000)
  heldUntilMs = performance.now() + heldMs
  await run(800)
  const second = await startTerm('host-1', { unansweredIds: ['w'] })
  await run(200)
  first.ending.abort()
  await run(recordGoneMs - 1_000)
  expect(memoryStore.peek(`${grantPrefix}${epoch}`)).toBeUndefined()
  expect(second.record.areEarlierLeasesOver('w')).toBe(true)
})

// The store may refuse writes for longer than a lease while it renews leases.
test('leases are granted for most of their length while the store refuses writes of the record, and end before it', async () => {
  let areWritesRefused = false
  const { record, resignations } = await startTerm('host-0', {
    wrap: client => ({
      ...client,
      transact: async transaction => {
        if (areWritesRefused) throw createError(ErrorKind.StoreUnavailable, 'the store answered with status 429')
        return await client.transact(transaction)
      }
    })
  })
  await run(1_000)
  areWritesRefused = true
  for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 100) {
    await run(100)
    expect(record.getMaxGrantMs('w')).toBeGreaterThan(maxLeaseMs / 2)
  }
  expect(resignations).toEqual([])
  const latestEndMs = performance.now() + getLongestDurationMs(record.getMaxGrantMs('w'))
  terms.at(-1)?.ending.abort()
  await run(latestEndMs - performance.now())
  expect(memoryStore.peek(`${grantPrefix}${getEpoch()}`)).toBeDefined()
})

// Guards against a leader that has lost its term and changes what later terms conclude from its record.
test('a term that has ended without its knowledge writes no exclusions', async () => {
  const first = await startTerm('host-0')
  await run(100)
  first.ending.abort()
  const second = await startTerm('host-1')
  await run(100)
  const epoch = getEpoch()
  memoryStore.write(leaderKey, 'host-2')
  second.record.excludeSilent(createSilentWorkers('w'), 0)
  await run(500)
  expect(memoryStore.peek(`${grantPrefix}${epoch}`)).toBe('{"excluded":[],"silentWorkers":{}}')
  expect(second.resignations).not.toEqual([])
})

// Guards against an entry of another writer that is taken for a term which has granted nothing.
test.each(['{', 'null', '{"excluded":"w"}', '{"excluded":["w"],"silent":["w"]}'])('a record that cannot be decoded, %s, excludes no worker', async value => {
  const first = await startTerm('host-0')
  await run(100)
  first.ending.abort()
  await run(recordGoneMs)
  memoryStore.write(`${grantPrefix}7`, value)
  memoryStore.write(`${grantPrefix}odd`, value)
  const { record } = await startTerm('host-1')
  await run(100)
  expect(record.areEarlierLeasesOver('w')).toBe(false)
  memoryStore.write(`${grantPrefix}7`, undefined)
  await run(100)
  expect(record.areEarlierLeasesOver('w')).toBe(true)
})

/** The epoch of the latest term. */
function getEpoch (): number {
  return epochs.at(-1) ?? 0
}

// Guards against two runs at once: what runs on a silent worker is extended beyond the timer by which later terms wait.
test.each([['works', true], ['is refused', false]])('a silent worker that is to be included is extended no longer than its timer lasts, if extending that %s', async (_case, canExtend) => {
  let areWritesRefused = false
  const { record } = await startTerm('host-0', {
    wrap: client => ({
      ...client,
      transact: async transaction => {
        if (areWritesRefused) throw createError(ErrorKind.StoreUnavailable, 'the store answered with status 429')
        return await client.transact(transaction)
      },
      keepLeaseAlive: async leaseId => {
        if (!canExtend && areWritesRefused) throw createError(ErrorKind.StoreUnavailable, 'the store answered with status 429')
        await client.keepLeaseAlive(leaseId)
      }
    })
  })
  await run(100)
  record.excludeSilent([{ workerId: 'w', uncertainRuns: [], isLifeKnown: true }, { workerId: 'v', uncertainRuns: [], isLifeKnown: true }, { workerId: 'u', uncertainRuns: ['a#1'], isLifeKnown: true }], 3_000)
  await run(1_000)
  const timerKey = `${grantPrefix}${epochs[0] ?? 0}/1`
  expect(memoryStore.peek(timerKey)).toBe('')
  expect(record.getMaxRenewalMs('w')).toBe(0)
  areWritesRefused = true
  void record.include('w')
  void record.include('u')
  let latestEndMs = 0
  for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += 10) {
    await run(10)
    // A start could be carried out by another life.
    expect([record.getMaxGrantMs('w'), record.getMaxRenewalMs('v'), record.getMaxRenewalMs('u')]).toEqual([0, 0, 0])
    const renewalMs = record.getMaxRenewalMs('w')
    if (renewalMs > 0) latestEndMs = Math.max(latestEndMs, performance.now() + getLongestDurationMs(renewalMs))
  }
  const leftMs = latestEndMs - performance.now()
  if (canExtend) expect(leftMs).toBeGreaterThan(2_000)
  while (memoryStore.peek(timerKey) !== undefined) {
    memoryStore.write('other', '')
    await memoryStore.connect('reader').get('other')
    await run(10)
  }
  expect(latestEndMs).toBeLessThan(performance.now())
})

// Guards against two runs at once: the record that the store may have says that the worker's leases are over, or names it by no timer that is known to exist.
test.each([['the timer', 0, 300], ['the end of its leases', 300, 2_000]])('a silent worker is not extended before it is included if the write of %s got no answer', async (_case, answersLostAfterMs, includedAfterMs) => {
  let areAnswersLost = false
  const { record } = await startTerm('host-0', {
    wrap: client => ({
      ...client,
      transact: async transaction => {
        const result = await client.transact(transaction)
        if (areAnswersLost) throw createError(ErrorKind.AnswerLost, 'the store did not respond')
        return result
      }
    })
  })
  await run(100)
  record.excludeSilent(createSilentWorkers('w', 'v'), 1_500)
  await run(answersLostAfterMs)
  areAnswersLost = true
  // The timer is extended for the other worker.
  void record.include('v')
  let longestMs = 0
  for (let elapsedMs = 0; elapsedMs < 4_000; elapsedMs += 10) {
    if (elapsedMs === includedAfterMs) void record.include('w')
    record.getMaxRenewalMs('v')
    await run(10)
    longestMs = Math.max(longestMs, record.getMaxRenewalMs('w'))
  }
  expect(record.getMaxRenewalMs('v') > 0).toBe(answersLostAfterMs > 0)
  expect(longestMs).toBe(0)
})
