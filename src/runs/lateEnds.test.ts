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

async function startHarness (options: Omit<PoolHarnessOptions, 'workers' | 'maxLeaseMs'> & { readonly workers?: number }): Promise<void> {
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

/** Leaves the second runs of both tasks of `a` on workers that do not answer while the successes of the first runs are read, then has another host take over. */
async function takeOverAfterLateSuccess (isGang: boolean): Promise<void> {
  await startHarness({ workers: 6, getRun: (task, number) => ({ workMs: number === 1 && task.startsWith('a.0.0') ? 1_500 : 30_000, how: EndKind.Done }) })
  const request = { cpuMilli: 64_000, memoryMb: 16_000, accelerators: 8 }
  await submit(makeJob('a', 'batch', [makeStep({ count: 2, isGang, request }), makeStep({ after: [0] })]))
  await run(300)
  const first = getWorkersOf('a.0.0.0', 'a.0.0.1')
  for (const workerId of first) harness.workers.get(workerId)?.setUnreachable(true)
  await run(maxLeaseMs + 1_500)
  const second = getWorkersOf('a.0.0.0', 'a.0.0.1')
  expect(second.length).toBe(2)
  harness.addHost('host-1')
  await run(50)
  for (const workerId of second) harness.workers.get(workerId)?.setUnreachable(true)
  for (const workerId of first) harness.workers.get(workerId)?.setUnreachable(false)
  await run(700)
  harness.hosts.get('host-0')?.crash()
  await run(20)
  for (const workerId of second) harness.workers.get(workerId)?.setUnreachable(false)
  await run(8_000)
}

function getWorkersOf (...tasks: readonly string[]): readonly string[] {
  return tasks.flatMap(task => harness.poolState.running.get(task) ?? []).map(({ workerId }) => workerId)
}

// The successor of the scheduler that had read the success let the second run of a gang go on, also after its job was cancelled.
test.each([false, true])('a successor stops later runs of what has succeeded, gang: %s', async isGang => {
  await takeOverAfterLateSuccess(isGang)
  expect(harness.poolState.starts.get('a.0.0.0')).toBe(2)
  expect(getWorkersOf('a.0.0.0', 'a.0.0.1')).toEqual([])
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
