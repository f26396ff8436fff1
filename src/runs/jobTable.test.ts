/** The scheduler's table of jobs while the records of ended jobs are removed. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { encodeAccepted, getAcceptedKey, getCancelKey, getProgressKey } from '../jobs/jobKeys.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { createJobTable } from './jobTable.js'
import type { JobTable } from './jobTable.js'

const leaderKey = 'leader/scheduler'
const retentionMs = 120_000
/** The table removes old records for the first time after this, in ms. */
const removalMs = retentionMs / 4

let store: MemoryStore
let added: string[]
let cancelled: string[]
let stopping: AbortController

beforeEach(() => {
  jest.useFakeTimers()
  store = createMemoryStore()
  added = []
  cancelled = []
  stopping = new AbortController()
})
afterEach(async () => {
  stopping.abort()
  await advance(2_000)
  jest.useRealTimers()
})

async function advance (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) await jest.advanceTimersByTimeAsync(50)
}

function accept (jobId: string): void {
  store.write(getAcceptedKey(jobId), encodeAccepted(makeJob(jobId, 'batch', [makeStep()])))
}

/** Stores a job that ended so long ago that its records are due to be removed. */
function storeEnded (jobId: string): void {
  accept(jobId)
  store.write(getProgressKey(jobId), JSON.stringify({ state: 'complete', endedAtMs: Date.now() - 2 * retentionMs, done: { '0.0': '1' }, units: [] }))
}

async function startTable (wrap: (client: MetadataStore) => Partial<MetadataStore> = () => ({})): Promise<JobTable> {
  store.write(leaderKey, 'host-0')
  const client = store.connect('host-0')
  const leaderRevision = (await client.get(leaderKey))?.revision ?? 0
  const term: Term = { epoch: leaderRevision, leaderKey, leaderRevision, isValid: () => !stopping.signal.aborted, resign: () => { stopping.abort() }, signal: stopping.signal }
  const table = createJobTable({
    store: { ...client, ...wrap(client) },
    term,
    logger: silentLogger,
    onJobAdded: ({ spec }) => { added.push(spec.jobId) },
    onCancel: job => {
      job.isCancelRequested = true
      cancelled.push(job.spec.jobId)
    },
    onTooLarge: () => {},
    onOccurrenceDue: () => {},
    retentionMs
  })
  await table.load()
  return table
}

/** Answers of range reads arrive that much later than the store has made them. */
function delayRanges (getAnswerMs: () => number): (client: MetadataStore) => Partial<MetadataStore> {
  return client => ({
    range: async (...parameters) => {
      const page = await client.range(...parameters)
      if (getAnswerMs() > 0) await delay(getAnswerMs())
      return page
    }
  })
}

// Guards against jobs that run again after their end: a read that began before their removal shows them without progress.
test('a read that began before the removal of an ended job does not add the job again', async () => {
  storeEnded('ended')
  let answerMs = 0
  const table = await startTable(delayRanges(() => answerMs))
  await advance(removalMs - 10_000)
  answerMs = 12_000
  await advance(25_000)
  expect(store.peek(getAcceptedKey('ended'))).toBeUndefined()
  answerMs = 0
  await advance(30_000)
  expect(added).toEqual(['ended'])
  expect(table.get('ended')).toBeUndefined()
})

test('a watch that began before the removal of an ended job and shows its acceptance afterwards does not add the job again', async () => {
  storeEnded('ended')
  const item = await store.connect('host-0').get(getAcceptedKey('ended'))
  await startTable(client => ({
    watch: async (...parameters) => {
      const hasBegunBefore = store.peek(getAcceptedKey('ended')) !== undefined
      const result = await client.watch(...parameters)
      return item === undefined || !hasBegunBefore ? result : { ...result, changes: [...result.changes, { key: item.key, item }] }
    }
  }))
  await advance(removalMs + 8_000)
  expect(store.peek(getAcceptedKey('ended'))).toBeUndefined()
  expect(added).toEqual(['ended'])
})

test('a job that is accepted under the id of a removed one is added', async () => {
  storeEnded('reused')
  await startTable()
  await advance(removalMs + 1_000)
  accept('reused')
  await advance(2_000)
  expect(added).toEqual(['reused', 'reused'])
})

// Guards against a removal that is repeated because it got no response, and then removes the records of a later job.
test.each([0, 6_000])('a removal without a response that is applied %i ms late does not lose a job that is accepted under the same id afterwards', async lateMs => {
  storeEnded('reused')
  await startTable()
  store.delayWrites('host-0', 1, lateMs)
  await advance(removalMs + lateMs + 500)
  expect(store.peek(getAcceptedKey('reused'))).toBeUndefined()
  accept('reused')
  await advance(2 * removalMs)
  expect(added).toEqual(['reused', 'reused'])
  expect(store.peek(getAcceptedKey('reused'))).toBeDefined()
})

// UNASKED: during a rolling update, a host of the version before stores a job without regard to its cancellation marker.
test.each([['before the term', 0], ['during the term', 1_000]])('a job that is stored after its cancellation marker, written %s, is cancelled', async (_when, markedAfterMs) => {
  if (markedAfterMs === 0) store.write(getCancelKey('early'), '{}')
  await startTable()
  await advance(markedAfterMs)
  store.write(getCancelKey('early'), '{}')
  await advance(30_000)
  accept('early')
  await advance(1_500)
  expect(added).toEqual(['early'])
  expect(cancelled).toEqual(['early'])
})

test('a cancellation marker without a job is kept for a minute, then removed, and a job that is accepted afterwards is not cancelled', async () => {
  await startTable()
  for (let index = 0; index < 25; index++) store.write(getCancelKey(`early-${index}`), '{}')
  await advance(58_000)
  expect(store.peek(getCancelKey('early-0'))).toBeDefined()
  await advance(15_000)
  for (let index = 0; index < 25; index++) expect(store.peek(getCancelKey(`early-${index}`))).toBeUndefined()
  accept('early-0')
  await advance(1_500)
  expect(added).toEqual(['early-0'])
  expect(cancelled).toEqual([])
})

test('the marker of a job that cannot be decoded is kept, and does not hold up the removal of others', async () => {
  store.write(getAcceptedKey('odd'), '{')
  store.write(getCancelKey('odd'), '{}')
  store.write(getCancelKey('early'), '{}')
  await startTable()
  await advance(85_000)
  expect(store.peek(getCancelKey('odd'))).toBeDefined()
  expect(store.peek(getCancelKey('early'))).toBeUndefined()
})

test('a stale read that shows the marker of a removed job does not cancel a job that is accepted under the same id afterwards', async () => {
  storeEnded('reused')
  store.write(getCancelKey('reused'), '{}')
  let answerMs = 0
  await startTable(delayRanges(() => answerMs))
  await advance(removalMs - 10_000)
  answerMs = 12_000
  await advance(22_000)
  answerMs = 0
  expect(store.peek(getAcceptedKey('reused'))).toBeUndefined()
  cancelled.length = 0
  accept('reused')
  await advance(30_000)
  expect(added).toEqual(['reused', 'reused'])
  expect(cancelled).toEqual([])
})

// A removal that is applied without a response must not leave a marker that cancels a later job.
test.each([0, 6_000])('a removal of markers without a response that is applied %i ms late does not cancel a later job', async lateMs => {
  store.write(getCancelKey('early'), '{}')
  await startTable()
  store.delayWrites('host-0', 1, lateMs)
  await advance(85_000)
  expect(store.peek(getCancelKey('early'))).toBeUndefined()
  accept('early')
  await advance(12_000)
  expect(added).toEqual(['early'])
  expect(cancelled).toEqual([])
})
