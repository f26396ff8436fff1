/** Workers that start again under their ids: which of two incarnations is the later one. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)

beforeEach(async () => {
  jest.useFakeTimers()
  harness = createPoolHarness({ workers: 1, getRun: () => ({ workMs: 1_000, how: EndKind.Done }), maxLeaseMs: 6_000 })
  harness.addHost('host-0')
  await run(500)
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

test('the runs of a worker whose clock was set back before it started again are not waited for', async () => {
  await submit(makeJob('a', 'batch', [makeStep({ estimateMs: 1_000 })]))
  await run(300)
  harness.workers.get('worker-0')?.restart(-800)
  harness.setListed('worker-0', true)
  await waitForState('a', JobState.Complete, 15_000)
  expect(harness.poolState.violations).toEqual([])
})

test('a worker whose clock was set back before it started again gets new work', async () => {
  harness.workers.get('worker-0')?.restart(-800)
  harness.setListed('worker-0', true)
  await run(500)
  await submit(makeJob('a', 'batch', [makeStep({ estimateMs: 1_000 })]))
  await waitForState('a', JobState.Complete, 15_000)
  expect(harness.poolState.violations).toEqual([])
})
