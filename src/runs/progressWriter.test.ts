/** The scheduler writes nothing after another host has taken the leader key, and stores a job that was cancelled first as cancelled. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { getCancelKey, getProgressKey } from '../jobs/jobKeys.js'
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

beforeEach(async () => {
  jest.useFakeTimers()
  store = createMemoryStore()
  termController = new AbortController()
  store.write(leaderKey, 'host-0')
  const leaderRevision = (await store.connect('host-0').get(leaderKey))?.revision ?? 0
  const term: Term = { epoch: 1, leaderKey, leaderRevision, isValid: () => !termController.signal.aborted, resign: () => { termController.abort() }, signal: termController.signal }
  writer = createProgressWriter({
    store: store.connect('host-0'),
    term,
    logger: silentLogger,
    onCancelFound: found => { found.state = JobState.Cancelled },
    getPendingCounts: () => undefined
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
