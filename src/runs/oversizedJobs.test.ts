/** Jobs in the store that are too large to be scheduled: they must not take the scheduler's memory, nor keep other jobs from running. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { encodeAccepted, getAcceptedKey, getCancelKey, getProgressKey } from '../jobs/jobKeys.js'
import { JobState } from '../jobs/jobModel.js'
import type { JobSpec } from '../jobs/jobModel.js'
import { maxScheduledTasks, maxSteps } from '../jobs/jobSize.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
const { run, submit, getState, waitForState } = createPoolSteps(() => harness)

const tooMany = makeJob('huge', 'batch', [makeStep({ count: maxScheduledTasks + 1 })])
const firstAtMs = 1_000

beforeEach(() => {
  jest.useFakeTimers()
  harness = createPoolHarness({ workers: 2 })
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** Stores a job as an earlier version of a host has accepted it. */
function accept (job: JobSpec): void {
  harness.store.write(getAcceptedKey(job.jobId), encodeAccepted(job))
}

function getStartedTasks (): readonly string[] {
  return [...harness.poolState.starts.keys()].sort()
}

test.each([
  ['too many tasks', tooMany],
  ['too many occurrences', makeJob('huge', 'batch', [makeStep()], { recurrence: { times: maxScheduledTasks + 1, firstAtMs, intervalMs: 0 } })],
  ['too many steps', makeJob('huge', 'batch', Array.from({ length: maxSteps + 1 }, () => makeStep()))]
])('a stored job with %s fails without a start, and other jobs run', async (_name, job) => {
  accept(job)
  harness.addHost('host-0')
  await run(500)
  await submit(makeJob('small', 'batch', [makeStep()]))
  await waitForState('small', JobState.Complete, 3_000)
  expect(getState('huge')).toBe(JobState.Failed)
  expect(getStartedTasks()).toEqual(['small.0.0.0'])
  // The units would show in the progress record.
  expect(JSON.parse(harness.store.peek(getProgressKey('huge')) ?? '')).toEqual({ state: 'failed', endedAtMs: expect.any(Number), done: {}, units: [] })
})

test('a job that is too large and arrives during the term fails', async () => {
  harness.addHost('host-0')
  await run(500)
  accept(tooMany)
  await waitForState('huge', JobState.Failed, 2_000)
  expect(getStartedTasks()).toEqual([])
})

test('a job that is too large and has been cancelled is shown as cancelled', async () => {
  accept(tooMany)
  harness.store.write(getCancelKey('huge'), '{}')
  harness.addHost('host-0')
  await waitForState('huge', JobState.Cancelled, 2_000)
})

// Its state must not change either, and a job that an earlier version has scheduled has progress.
test.each([['complete', JobState.Complete], ['active', JobState.Failed]])('a job that is too large and was %s in an earlier term is shown as %s', async (state, shown) => {
  accept(tooMany)
  harness.store.write(getProgressKey('huge'), JSON.stringify({ state, endedAtMs: Date.now(), done: {}, units: [[0, 0, 3, 1, [], '', [[1, [[3, 'worker-0', 1_000]]]]]] }))
  harness.addHost('host-0')
  await run(1_500)
  expect(getState('huge')).toBe(shown)
  expect(getStartedTasks()).toEqual([])
})

test('a job of the largest size is scheduled', async () => {
  accept({ ...tooMany, steps: [makeStep({ count: maxScheduledTasks, request: { cpuMilli: 65_000, memoryMb: 1, accelerators: 0 } })] })
  harness.addHost('host-0')
  await run(500)
  expect(harness.store.peek(getProgressKey('huge'))).toBeUndefined()
})
