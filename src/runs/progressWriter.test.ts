/** The scheduler writes nothing after another host has taken the leader key, and stores a job that was cancelled first as cancelled. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { getCancelKey, getProgressKey, pendingCountsKey } from '../jobs/jobKeys.js'
import { JobState } from '../jobs/jobModel.js'
import { createTrackedJob, decodeState } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
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
