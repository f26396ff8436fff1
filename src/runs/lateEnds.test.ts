/** Ends that are read only after their runs were taken for lost. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)
const maxLeaseMs = 3_000

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

async function startHarness (options: Omit<PoolHarnessOptions, 'workers' | 'maxLeaseMs'>): Promise<void> {
  harness = createPoolHarness({ workers: 3, maxLeaseMs, ...options })
  harness.addHost('host-0')
  await run(500)
}

/** Cuts off the workers that have runs for longer than their lease, so that their runs are taken for lost and start elsewhere. */
async function cutOffBusyWorkers (): Promise<void> {
  const busy = new Set([...harness.poolState.running.values()].flat().map(({ workerId }) => workerId))
  for (const workerId of busy) harness.workers.get(workerId)?.setUnreachable(true)
  await run(maxLeaseMs + 1_500)
  for (const workerId of busy) harness.workers.get(workerId)?.setUnreachable(false)
}

// Workers were cut off for longer than their lease; what had succeeded there in time ran again, and the next step began only after that.
test('a task that succeeded on a worker that was cut off is not run to its end again', async () => {
  await startHarness({ getRun: (_task, number) => ({ workMs: number === 1 ? 1_500 : 30_000, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep(), makeStep({ after: [0] })]))
  await run(300)
  await cutOffBusyWorkers()
  expect(harness.poolState.starts.get('a.0.0.0')).toBe(2)
  await waitForState('a', JobState.Complete, 6_000)
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([])
  expect(harness.poolState.violations).toEqual([])
})

test('a gang that succeeded on workers that were cut off is not run to its end again', async () => {
  await startHarness({ getRun: (_task, number) => ({ workMs: number === 1 ? 1_500 : 30_000, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep({ count: 2, isGang: true })]))
  await run(300)
  await cutOffBusyWorkers()
  await waitForState('a', JobState.Complete, 6_000)
  await run(2_000)
  expect([...harness.poolState.running.values()].flat()).toEqual([])
  expect(harness.poolState.violations).toEqual([])
})

test('a successor goes on with a second run whose task has succeeded meanwhile only until it is stopped', async () => {
  await startHarness({ getRun: (_task, number) => ({ workMs: number === 1 ? 1_500 : 30_000, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep(), makeStep({ after: [0] })]))
  await run(300)
  await cutOffBusyWorkers()
  harness.addHost('host-1')
  await run(30)
  harness.hosts.get('host-0')?.crash()
  await waitForState('a', JobState.Complete, 12_000)
  await run(2_000)
  expect([...harness.poolState.running.values()].flat()).toEqual([])
  expect(harness.poolState.violations).toEqual([])
})

test('a late success does not revive a job that has been cancelled', async () => {
  await startHarness({ getRun: (_task, number) => ({ workMs: number === 1 ? 1_500 : 30_000, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(300)
  const cut = cutOffBusyWorkers()
  void harness.hosts.get('host-0')?.intake.cancel('a', performance.now() + 2_000)
  await cut
  await run(1_000)
  await waitForState('a', JobState.Cancelled, 2_000)
})
