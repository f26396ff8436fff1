/** The published backlog under failures: hosts must never refuse by a summary of a dead, replaced or cut-off scheduler, and the store must not be loaded. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { Term } from '../election/leaderElection.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore, TransactionResult } from '../store/metadataStore.js'
import { backlogKey, encodeBacklog, tryDecodeBacklog } from './backlogCodec.js'
import { createBacklogPublisher, isWriteDue } from './backlogPublisher.js'
import { createBacklogReader } from './backlogReader.js'
import type { AgedSummary, BacklogReader } from './backlogReader.js'
import type { BacklogSummary } from './backlogSummary.js'

const leaderKey = 'leader/scheduler'

interface TestTerm extends Term {
  end (): void
}

let store: MemoryStore
let terms: TestTerm[]
/** Writes of the backlog that were sent, and reads of it. */
let writes: number
let reads: number
/** The wait that the schedulers compute, in ms. */
let waitMs: number

beforeEach(() => {
  jest.useFakeTimers()
  store = createMemoryStore()
  terms = []
  writes = 0
  reads = 0
  waitMs = 60_000
})
afterEach(async () => {
  for (const term of terms) term.end()
  await advance(2_000)
  jest.useRealTimers()
})

async function advance (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
}

/** Makes a host the leader; its writes are conditional on the leader key, as in the election. */
async function elect (hostId: string): Promise<TestTerm> {
  store.write(leaderKey, hostId)
  const revision = (await store.connect('reader').get(leaderKey))?.revision ?? 0
  const ending = new AbortController()
  const term: TestTerm = { epoch: revision, leaderKey, leaderRevision: revision, isValid: () => !ending.signal.aborted, resign: () => { ending.abort() }, signal: ending.signal, end: () => { ending.abort() } }
  terms.push(term)
  return term
}

function makeSummary (epoch: number, atMs = Date.now(), levelWaitMs = waitMs): BacklogSummary {
  const level = { priority: 1, acceleratorS: levelWaitMs, coreS: 0, acceleratorWaitMs: levelWaitMs, coreWaitMs: 0 }
  return { epoch, atMs, services: [{ service: 'pool', accelerators: 8, cores: 8, levels: [level] }], urgentAccelerators: new Map(), meanRunMs: new Map() }
}

function publish (term: Term, client: MetadataStore): void {
  const transact = async (transaction: Parameters<MetadataStore['transact']>[0]): Promise<TransactionResult> => {
    writes++
    return await client.transact(transaction)
  }
  createBacklogPublisher({ store: { ...client, transact }, term, logger: silentLogger, summarize: () => makeSummary(term.epoch) })
}

function createReader (hostId = 'reader'): BacklogReader {
  const client = store.connect(hostId)
  const get: MetadataStore['get'] = async key => {
    reads++
    return await client.get(key)
  }
  return createBacklogReader({ store: { get }, logger: silentLogger })
}

async function readOnce (reader: BacklogReader): Promise<AgedSummary | undefined> {
  const result = reader.read(performance.now() + 2_000)
  await advance(300)
  return await result
}

function peek (): BacklogSummary | undefined {
  return tryDecodeBacklog(store.peek(backlogKey) ?? '')
}

test('a backlog that changes all the time is written at most once a second, an unchanged one every two seconds, and none only once', async () => {
  publish(await elect('a'), store.connect('a'))
  const changing = setInterval(() => { waitMs += 10_000 }, 100)
  await advance(10_000)
  clearInterval(changing)
  expect(writes).toBeGreaterThanOrEqual(9)
  expect(writes).toBeLessThanOrEqual(11)
  const draining = setInterval(() => { waitMs -= 100 }, 100)
  writes = 0
  await advance(10_000)
  clearInterval(draining)
  expect(writes).toBeLessThanOrEqual(6)
  waitMs = 0
  await advance(2_000)
  writes = 0
  await advance(10_000)
  expect(writes).toBe(0)
})

test('a change counts as material only against what hosts conclude from the published summary', () => {
  const published = makeSummary(1, 0, 10_000)
  expect(isWriteDue(undefined, published)).toBe(true)
  expect(isWriteDue(published, makeSummary(1, 1_000, 9_000))).toBe(false)
  expect(isWriteDue(published, makeSummary(1, 1_000, 12_000))).toBe(true)
  expect(isWriteDue(published, makeSummary(1, 1_000, 0))).toBe(true)
  expect(isWriteDue(published, makeSummary(1, 2_000, 8_000))).toBe(true)
  expect(isWriteDue(makeSummary(1, 0, 0), makeSummary(1, 60_000, 0))).toBe(false)
  expect(isWriteDue(published, { ...makeSummary(1, 1_000, 9_000), urgentAccelerators: new Map([['mill', 1]]) })).toBe(true)
  // The time of day was set back: the age of the published summary is not known.
  expect(isWriteDue(published, makeSummary(1, -5_000, 10_000))).toBe(true)
})

test('the writer dies: the summary is used for at most 3 s', async () => {
  const term = await elect('a')
  publish(term, store.connect('a'))
  const reader = createReader()
  await advance(1_500)
  expect((await readOnce(reader))?.ageMs).toBeLessThan(3_000)
  term.end()
  await advance(3_000)
  expect((await readOnce(reader))?.ageMs).toBeGreaterThan(3_000)
  // Also for a host that reads it for the first time.
  expect((await readOnce(createReader('other')))?.ageMs).toBeGreaterThan(3_000)
})

test('two writers: the one that no longer holds the leader key cannot overwrite the other, and hosts keep to the higher epoch', async () => {
  const first = await elect('a')
  publish(first, store.connect('a'))
  await advance(1_500)
  const second = await elect('b')
  publish(second, store.connect('b'))
  await advance(5_000)
  expect(peek()?.epoch).toBe(second.epoch)
  const reader = createReader()
  expect((await readOnce(reader))?.summary.epoch).toBe(second.epoch)
  second.end()
  first.end()
  await advance(1_000)
  store.write(backlogKey, encodeBacklog(makeSummary(first.epoch)))
  expect(await readOnce(reader)).toBeUndefined()
})

test('a write whose response was lost and that is applied late does not replace a newer summary', async () => {
  const term = await elect('a')
  publish(term, store.connect('a'))
  await advance(500)
  store.delayWrites('a', 1, 2_500)
  await advance(2_000)
  waitMs = 30_000
  let newestMs = 0
  for (let step = 0; step < 60; step++) {
    await advance(50)
    const atMs = peek()?.atMs ?? 0
    expect(atMs).toBeGreaterThanOrEqual(newestMs)
    newestMs = atMs
  }
  expect(newestMs).toBeGreaterThan(Date.now() - 2_500)
})

test('the store is out: the copy ages and is not used after 3 s, and publishing goes on afterwards', async () => {
  publish(await elect('a'), store.connect('a'))
  const reader = createReader()
  await advance(1_500)
  expect((await readOnce(reader))?.ageMs).toBeLessThan(3_000)
  store.setUnavailable(true)
  await advance(1_200)
  // The copy is still in use, and its age shows how old it is.
  expect((await readOnce(reader))?.ageMs).toBeGreaterThan(1_000)
  await advance(2_500)
  expect((await readOnce(reader))?.ageMs).toBeGreaterThan(3_000)
  store.setUnavailable(false)
  await advance(2_500)
  expect((await readOnce(reader))?.ageMs).toBeLessThan(3_000)
})

test('a store that does not answer delays a submission by at most 0.25 s, and a quarter of the time to its deadline', async () => {
  const reader = createBacklogReader({ store: { get: async () => await new Promise(() => {}) }, logger: silentLogger })
  let answered = 0
  void reader.read(performance.now() + 2_000).then(() => { answered++ })
  await advance(240)
  expect(answered).toBe(0)
  await advance(20)
  expect(answered).toBe(1)
  void reader.read(performance.now() + 200).then(() => { answered++ })
  await advance(60)
  expect(answered).toBe(2)
  void reader.read(performance.now() - 50).then(() => { answered++ })
  await advance(10)
  expect(answered).toBe(3)
})

test('a host reads at most once a second, also if reads fail, and not at all without submissions', async () => {
  publish(await elect('a'), store.connect('a'))
  const reader = createReader()
  await advance(5_000)
  expect(reads).toBe(0)
  for (let step = 0; step < 50; step++) {
    void reader.read(performance.now() + 2_000)
    await advance(100)
  }
  expect(reads).toBeLessThanOrEqual(5)
  store.setUnavailable(true, 'reader')
  reads = 0
  for (let step = 0; step < 50; step++) {
    void reader.read(performance.now() + 2_000)
    await advance(100)
  }
  expect(reads).toBeLessThanOrEqual(6)
})

test('a missing or unreadable value is no summary, and the next readable one is used', async () => {
  const reader = createReader()
  expect(await readOnce(reader)).toBeUndefined()
  for (const value of ['', '{"epoch":', '{"epoch":"x"}', '[]']) {
    store.write(backlogKey, value)
    await advance(1_000)
    expect(await readOnce(reader)).toBeUndefined()
  }
  store.write(backlogKey, encodeBacklog(makeSummary(5)))
  await advance(1_000)
  expect((await readOnce(reader))?.summary.epoch).toBe(5)
  store.write(backlogKey, undefined)
  await advance(1_000)
  expect(await readOnce(reader)).toBeUndefined()
})

test('a first write finds the summary of an earlier term and replaces it at once', async () => {
  store.write(backlogKey, encodeBacklog(makeSummary(1)))
  const term = await elect('a')
  publish(term, store.connect('a'))
  await advance(100)
  expect(peek()?.epoch).toBe(term.epoch)
})

test('clocks that differ: a summary dated ahead has no known age and is not used; one that stays the same ages by the own clock', async () => {
  store.write(backlogKey, encodeBacklog(makeSummary(1, Date.now() + 5_000)))
  expect(await readOnce(createReader())).toBeUndefined()
  store.write(backlogKey, encodeBacklog(makeSummary(1, Date.now() + 400)))
  const reader = createReader()
  expect((await readOnce(reader))?.ageMs).toBeLessThan(1_000)
  // The host's time of day is set back: the age by date alone would be 0 again.
  await advance(2_000)
  jest.setSystemTime(Date.now() - 2_000)
  expect((await readOnce(reader))?.ageMs).toBeGreaterThan(2_000)
})

test('the summary is not computed after the end of the term', async () => {
  const term = await elect('a')
  let computed = 0
  createBacklogPublisher({
    store: store.connect('a'),
    term,
    logger: silentLogger,
    summarize: () => {
      computed++
      throwIfEnded(term)
      return undefined
    }
  })
  await advance(2_500)
  term.end()
  const before = computed
  await advance(5_000)
  expect(computed).toBe(before)
  expect(before).toBeGreaterThan(0)
})

function throwIfEnded (term: Term): void {
  if (term.signal.aborted) throw createError(ErrorKind.Internal, 'the term has ended')
}
