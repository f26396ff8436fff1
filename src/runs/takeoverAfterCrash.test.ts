/** Runs whose workers crashed, and whose machines report later lives under other ids. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)
const maxLeaseMs = 6_000

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

// All hosts lost power, and workers crashed meanwhile. The next scheduler saw their machines' new lives, but took the runs for running for a whole lease.
test('a job does not wait for the lease of a worker whose machine reports a later life to a new scheduler', async () => {
  harness = createPoolHarness({ workers: 3, maxLeaseMs, crash: { awayMs: 1_000, keepsId: false }, getRun: (_task, number) => ({ workMs: number === 1 ? 20_000 : 300, how: EndKind.Done }) })
  harness.addHost('host-0')
  await run(500)
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(500)
  const [location] = harness.poolState.running.get('a.0.0.0') ?? []
  harness.hosts.get('host-0')?.crash()
  harness.crashWorker(location?.workerId ?? '')
  await run(4_000)
  harness.addHost('host-1')
  await waitForState('a', JobState.Complete, 3_500)
  expect(harness.poolState.violations).toEqual([])
})

// The new life of a machine has another address, so that nothing answers at the old one: the runs of the life before were waited for during a whole lease.
test('a job does not wait for the lease of a worker whose machine reports a later life in the same term', async () => {
  harness = createPoolHarness({ workers: 3, maxLeaseMs, crash: { awayMs: 1_000, keepsId: false }, getRun: (_task, number) => ({ workMs: number === 1 ? 20_000 : 300, how: EndKind.Done }) })
  harness.addHost('host-0')
  await run(500)
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(500)
  const [location] = harness.poolState.running.get('a.0.0.0') ?? []
  harness.crashWorker(location?.workerId ?? '')
  await waitForState('a', JobState.Complete, 3_500)
  expect(harness.poolState.violations).toEqual([])
})
