/** What the scheduler stores: never over another term's head, and no end of a job that was cancelled before. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { getCancelKey, getProgressKey } from '../jobs/jobKeys.js'
import { JobState } from '../jobs/jobModel.js'
import { createTrackedJob, decodeState } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { makeJob, makeStep } from '../testing/poolRig.js'
import { createProgressWriter } from './progressWriter.js'
import type { ProgressWriter } from './progressWriter.js'

const leaderKey = 'leader'

let store: MemoryStore
let ending: AbortController
let writer: ProgressWriter
let job: TrackedJob

beforeEach(async () => {
  jest.useFakeTimers()
  store = createMemoryStore()
  ending = new AbortController()
  store.write(leaderKey, 'host-0')
  const leaderRevision = (await store.connect('host-0').get(leaderKey))?.revision ?? 0
  const term: Term = { epoch: 1, leaderKey, leaderRevision, isValid: () => !ending.signal.aborted, resign: () => { ending.abort() }, signal: ending.signal }
  writer = createProgressWriter({
    store: store.connect('host-0'),
    term,
    logger: silentLogger,
    onCancelFound: found => { found.state = JobState.Cancelled },
    takePendingCounts: () => undefined
  })
  job = createTrackedJob(makeJob('job', 'batch', [makeStep()]), 0)
})
afterEach(() => { jest.useRealTimers() })

test('a job whose cancel is stored first is not stored as complete', async () => {
  store.write(getCancelKey('job'), '{}')
  job.state = JobState.Complete
  void writer.commit(job)
  await jest.advanceTimersByTimeAsync(500)
  expect(decodeState(store.peek(getProgressKey('job')) ?? '')).toBe(JobState.Cancelled)
})

test('nothing is stored once another host holds the leader key, and the term ends', async () => {
  store.write(leaderKey, 'host-1')
  void writer.commit(job)
  await jest.advanceTimersByTimeAsync(500)
  expect(store.peek(getProgressKey('job'))).toBeUndefined()
  expect(ending.signal.aborted).toBe(true)
})
