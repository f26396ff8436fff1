/**
 * The scheduler writes nothing after another host has taken the leader key, and stores a job that was cancelled first as cancelled. A write whose answer is
 * late delays only the jobs that it contains.
 */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { getCancelKey, getProgressKey, pendingCountsKey } from '../jobs/jobKeys.js'
import { JobState } from '../jobs/jobModel.js'
import { createTrackedJob, decodeState } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore, TransactionResult } from '../store/metadataStore.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { createProgressWriter } from './progressWriter.js'
import type { ProgressWriter } from './progressWriter.js'

const leaderKey = 'leader'

let store: MemoryStore
let termController: AbortController
let writer: ProgressWriter
let job: TrackedJob
let pendingCounts: string | undefined

beforeEach(async () => {
  jest.useFakeTimers()
  store = createMemoryStore()
  pendingCounts = undefined
  termController = new AbortController()
  store.write(leaderKey, 'host-0')
  const leaderRevision = (await store.connect('host-0').get(leaderKey))?.revision ?? 0
  const term: Term = { epoch: 1, leaderKey, leaderRevision, isValid: () => !termController.signal.aborted, resign: () => { termController.abort() }, signal: termController.signal }
  writer = createProgressWriter({
    store: store.connect('host-0'),
    term,
    logger: silentLogger,
    onCancelFound: found => { found.state = JobState.Cancelled },
    getPendingCounts: () => pendingCounts
  })
  job = createTrackedJob(makeJob('job', 'batch', [makeStep()]), 0)
})
afterEach(() => { jest.useRealTimers() })

test('a job whose cancel request is stored first is stored as cancelled, not as complete', async () => {
  store.write(getCancelKey('job'), '{}')
  job.state = JobState.Complete
  void writer.commit(job)
  await jest.advanceTimersByTimeAsync(500)
  expect(decodeState(store.peek(getProgressKey('job')) ?? '')).toBe(JobState.Cancelled)
})

test('once another host holds the leader key, nothing is written and the term ends', async () => {
  store.write(leaderKey, 'host-1')
  void writer.commit(job)
  await jest.advanceTimersByTimeAsync(500)
  expect(store.peek(getProgressKey('job'))).toBeUndefined()
  expect(termController.signal.aborted).toBe(true)
})

test('a record of an earlier term that was not read is not overwritten, and the term ends', async () => {
  store.write(getProgressKey('job'), 'of an earlier term')
  store.write(leaderKey, 'host-1')
  const epoch = (await store.connect('host-1').get(leaderKey))?.revision ?? 0
  const ending = new AbortController()
  const term: Term = { epoch, leaderKey, leaderRevision: epoch, isValid: () => !ending.signal.aborted, resign: () => { ending.abort() }, signal: ending.signal }
  const successor = createProgressWriter({ store: store.connect('host-1'), term, logger: silentLogger, onCancelFound: () => {}, getPendingCounts: () => undefined })
  let isStored = false
  void successor.commit(job).then(() => { isStored = true })
  await jest.advanceTimersByTimeAsync(500)
  expect(ending.signal.aborted).toBe(true)
  expect(isStored).toBe(false)
  expect(store.peek(getProgressKey('job'))).toBe('of an earlier term')
})

// Guards against a `pending` that stays too low: nothing writes the counts again until they change.
test('a write of the pending counts that is applied late does not replace newer counts', async () => {
  store.delayWrites('host-0', 1, 6_000)
  pendingCounts = '{"batch":8}'
  writer.scheduleCounts()
  await jest.advanceTimersByTimeAsync(1_000)
  pendingCounts = '{"batch":32}'
  writer.scheduleCounts()
  await jest.advanceTimersByTimeAsync(1_000)
  expect(store.peek(pendingCountsKey)).toBe('{"batch":32}')
  await jest.advanceTimersByTimeAsync(6_000)
  expect(store.peek(pendingCountsKey)).toBe('{"batch":32}')
})

test('counts that an earlier term left are replaced, also together with the progress of a job', async () => {
  store.write(pendingCountsKey, '{"batch":5}')
  pendingCounts = '{"batch":1}'
  let isStored = false
  void writer.commit(job).then(() => { isStored = true })
  await jest.advanceTimersByTimeAsync(500)
  expect(isStored).toBe(true)
  expect(store.peek(pendingCountsKey)).toBe('{"batch":1}')
})

test('the largest batch of ended jobs and the counts fit into one transaction', async () => {
  pendingCounts = '{"batch":1}'
  const jobs = Array.from({ length: 40 }, (_, index) => createTrackedJob(makeJob(`job-${index}`, 'batch', [makeStep()]), 0))
  for (const ended of jobs) {
    ended.state = JobState.Complete
    void writer.commit(ended)
  }
  await jest.advanceTimersByTimeAsync(500)
  expect(jobs.map(({ spec }) => decodeState(store.peek(getProgressKey(spec.jobId)) ?? ''))).toEqual(jobs.map(() => JobState.Complete))
  expect(store.peek(pendingCountsKey)).toBe('{"batch":1}')
})

/** Creates a writer whose transactions are answered by `answer`, and returns the ids of the jobs of each. */
async function createObservedWriter (answer: (index: number, execute: () => Promise<TransactionResult>) => Promise<TransactionResult>): Promise<{ readonly observed: ProgressWriter, readonly batches: string[][] }> {
  const client = store.connect('host-0')
  const leaderRevision = (await client.get(leaderKey))?.revision ?? 0
  const term: Term = { epoch: 1, leaderKey, leaderRevision, isValid: () => !termController.signal.aborted, resign: () => { termController.abort() }, signal: termController.signal }
  const batches: string[][] = []
  const observedStore: MetadataStore = {
    ...client,
    transact: async transaction => {
      batches.push(transaction.writes.map(({ key }) => key.replace(getProgressKey(''), '')))
      return await answer(batches.length - 1, () => client.transact(transaction))
    }
  }
  return { observed: createProgressWriter({ store: observedStore, term, logger: silentLogger, onCancelFound: () => {}, getPendingCounts: () => pendingCounts }), batches }
}

function createJobs (count: number): readonly TrackedJob[] {
  return Array.from({ length: count }, (_, index) => createTrackedJob(makeJob(`job-${index}`, 'batch', [makeStep()]), 0))
}

async function loseAnswer (): Promise<never> {
  await delay(900)
  throw createError(ErrorKind.AnswerLost, 'no response within 900 ms')
}

// Guards against ends that were read and are lost with the process because the answer to a write for another job was lost.
test('progress of a job is stored within 100 ms while the answer to a write of another job is late', async () => {
  const { observed } = await createObservedWriter(async (index, execute) => index === 0 ? await loseAnswer() : await execute())
  const [first, second] = createJobs(2) as [TrackedJob, TrackedJob]
  void observed.commit(first)
  await jest.advanceTimersByTimeAsync(10)
  void observed.commit(second)
  await jest.advanceTimersByTimeAsync(100)
  expect(store.peek(getProgressKey('job-1'))).toBeDefined()
  expect(store.peek(getProgressKey('job-0'))).toBeUndefined()
  await jest.advanceTimersByTimeAsync(1_000)
  expect(store.peek(getProgressKey('job-0'))).toBeDefined()
})

test('a job has only one write under way, and its later progress is stored last', async () => {
  const { observed, batches } = await createObservedWriter(async (index, execute) => {
    if (index === 0) await delay(500)
    return await execute()
  })
  const [first, second] = createJobs(2) as [TrackedJob, TrackedJob]
  let storedCount = 0
  void observed.commit(first).then(() => { storedCount++ })
  await jest.advanceTimersByTimeAsync(100)
  first.state = JobState.Complete
  void observed.commit(first).then(() => { storedCount++ })
  void observed.commit(second)
  await jest.advanceTimersByTimeAsync(300)
  expect(batches).toEqual([['job-0'], ['job-1']])
  expect(storedCount).toBe(0)
  await jest.advanceTimersByTimeAsync(200)
  expect(batches).toEqual([['job-0'], ['job-1'], ['job-0']])
  expect(storedCount).toBe(2)
  expect(decodeState(store.peek(getProgressKey('job-0')) ?? '')).toBe(JobState.Complete)
})

// Guards against a flood of small transactions to a store that is slow or does not answer.
test('at most three writes are under way, and the changes meanwhile share the next ones', async () => {
  let underWay = 0
  let mostUnderWay = 0
  const { observed, batches } = await createObservedWriter(async (_index, execute) => {
    mostUnderWay = Math.max(mostUnderWay, ++underWay)
    await delay(500)
    underWay--
    return await execute()
  })
  for (const tracked of createJobs(30)) {
    void observed.commit(tracked)
    await jest.advanceTimersByTimeAsync(50)
  }
  await jest.advanceTimersByTimeAsync(1_500)
  expect(mostUnderWay).toBe(3)
  expect(batches.length).toBeLessThanOrEqual(14)
  expect(createJobs(30).every(({ spec }) => store.peek(getProgressKey(spec.jobId)) !== undefined)).toBe(true)
})

// One transaction at a time costs the fewest calls, and these are what it costs.
test('while answers come in time, one write is under way and takes all changes since the one before', async () => {
  let underWay = 0
  let mostUnderWay = 0
  const { observed, batches } = await createObservedWriter(async (_index, execute) => {
    mostUnderWay = Math.max(mostUnderWay, ++underWay)
    await delay(45)
    underWay--
    return await execute()
  })
  pendingCounts = '{"batch":1}'
  observed.scheduleCounts()
  for (const tracked of createJobs(100)) {
    void observed.commit(tracked)
    await jest.advanceTimersByTimeAsync(10)
  }
  await jest.advanceTimersByTimeAsync(500)
  expect(mostUnderWay).toBe(1)
  expect(batches.length).toBeLessThanOrEqual(23)
})

test('the pending counts are in one write at a time, and the latest are stored', async () => {
  const { observed, batches } = await createObservedWriter(async (index, execute) => {
    if (index === 0) await delay(700)
    return await execute()
  })
  const [first, second] = createJobs(2) as [TrackedJob, TrackedJob]
  pendingCounts = '{"batch":1}'
  void observed.commit(first)
  await jest.advanceTimersByTimeAsync(100)
  pendingCounts = '{"batch":2}'
  void observed.commit(second)
  observed.scheduleCounts()
  await jest.advanceTimersByTimeAsync(550)
  expect(batches).toEqual([['job-0', pendingCountsKey], ['job-1']])
  await jest.advanceTimersByTimeAsync(700)
  expect(store.peek(pendingCountsKey)).toBe('{"batch":2}')
})
