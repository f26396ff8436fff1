/** Runs whose workers crashed, and whose machines report later lives under other ids. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { Logger } from '../common/logger.js'
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

// A worker that was missing on the list when a term began, as after an absence of the store, and was listed again was in no life of its machine: its crash was not
// seen, so that its runs were waited for during a whole lease and the crash did not count for its tasks.
test('a job does not wait for the lease of a worker that was missing on the list at the start of the term', async () => {
  const crashes: string[] = []
  const logger: Logger = { ...silentLogger, info: message => { if (message === 'a crash counts under a task') crashes.push(message) }, withPrefix: () => logger }
  harness = createPoolHarness({ workers: 3, maxLeaseMs, logger, crash: { awayMs: 1_000, keepsId: false }, getRun: (_task, number) => ({ workMs: number === 1 ? 20_000 : 300, how: EndKind.Done }) })
  harness.addHost('host-0')
  await run(500)
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(500)
  const [location] = harness.poolState.running.get('a.0.0.0') ?? []
  const workerId = location?.workerId ?? ''
  harness.setListed(workerId, false)
  harness.hosts.get('host-0')?.crash()
  harness.addHost('host-1')
  await run(4_000)
  harness.setListed(workerId, true)
  await run(2_000)
  expect(harness.poolState.running.get('a.0.0.0')).toHaveLength(1)
  harness.crashWorker(workerId)
  await waitForState('a', JobState.Complete, 3_500)
  expect(crashes).toHaveLength(1)
  expect(harness.poolState.violations).toEqual([])
})
