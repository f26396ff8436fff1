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

// Guards against two runs at once: the clock of the incarnation starts anew, so that it grants the longest lease, and not the one that the scheduler has counted.
test('the longest lease is waited for if an incarnation that nothing has shown yet answers a start', async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  harness = createPoolHarness({ workers: 6, getRun: (_task, number) => ({ workMs: number === 1 ? 60_000 : 300, how: EndKind.Done }), maxLeaseMs: 10_000 })
  harness.addHost('host-0')
  await run(40_000)
  for (const worker of harness.workers.values()) worker.restart()
  const submitted = harness.submit(makeJob('a', 'batch', [makeStep()]))
  for (let elapsedMs = 0; elapsedMs < 500 && getLocation() === undefined; elapsedMs += 10) await run(10)
  const workerId = getLocation()?.workerId ?? ''
  await run(10)
  harness.workers.get(workerId)?.setUnreachable(true)
  harness.setCutFromStore(workerId, true)
  await submitted
  for (const otherId of harness.workers.keys()) if (otherId !== workerId) harness.setListed(otherId, true)
  await run(15_000)
  expect(harness.poolState.starts.get('a.0.0.0')).toBe(2)
  expect(harness.poolState.violations).toEqual([])

  function getLocation (): { readonly workerId: string } | undefined {
    return harness.poolState.running.get('a.0.0.0')?.[0]
  }
})
