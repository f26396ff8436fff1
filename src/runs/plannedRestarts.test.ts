/** Planned restarts of workers are no evidence against the tasks that ran there. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import { maxCrashRuns } from './crashEvidence.js'

const task = 'job.0.0.0'
const workerId = 'worker-0'
const drainMs = 2_500

let harness: PoolHarness
const { run, submit, getState, waitForState } = createPoolSteps(() => harness)

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(6_000)
  await stopped
  jest.useRealTimers()
})

/** Starts one worker, and a scheduler with a successor. */
async function startHarness (options: Partial<PoolHarnessOptions> = {}): Promise<void> {
  harness = createPoolHarness({ workers: 1, crash: { awayMs: 1_000, keepsId: true }, getRun: () => ({ workMs: 5_000, how: EndKind.Done }), ...options })
  for (let index = 0; index < 2; index++) {
    harness.addHost(`host-${index}`)
    await run(300)
  }
}

/** Waits until the task has been running for `forMs`. */
async function waitUntilRunning (forMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < 15_000 && (harness.poolState.running.get(task) ?? []).length === 0; elapsedMs += 10) await run(10)
  await run(forMs)
  expect(harness.poolState.running.get(task)).toHaveLength(1)
}

/** Shuts the worker down as planned, and starts it again. */
async function restartAsPlanned (isUnlisted: boolean): Promise<void> {
  harness.setDraining(workerId, true)
  await run(drainMs + 500)
  harness.crashWorker(workerId)
  if (isUnlisted) harness.setListed(workerId, false)
  await run(1_000)
  harness.setListed(workerId, true)
}

// Guards against lasting jobs that fail because their worker was restarted as planned.
test.each([['is listed until it is back', false], ['is not listed until it is back', true]])('a lasting job is not failed by planned restarts of its worker, which %s', async (_name, isUnlisted) => {
  await startHarness({ getRun: () => ({ workMs: 1_000_000, how: EndKind.Done }) })
  await submit(makeJob('job', 'batch', [makeStep({ isService: true })]))
  for (let restarts = 1; restarts <= maxCrashRuns + 3; restarts++) {
    await waitUntilRunning(1_000)
    await restartAsPlanned(isUnlisted)
  }
  await waitUntilRunning(1_000)
  expect(getState('job')).toBe(JobState.Active)
  expect(harness.poolState.violations).toEqual([])
})

test('planned restarts that an earlier scheduler has seen do not count either', async () => {
  await startHarness({ getRun: () => ({ workMs: 1_000_000, how: EndKind.Done }) })
  await submit(makeJob('job', 'batch', [makeStep({ isService: true })]))
  for (let restarts = 1; restarts <= maxCrashRuns + 1; restarts++) {
    await waitUntilRunning(1_000)
    await restartAsPlanned(false)
    await waitUntilRunning(500)
    const leader = harness.hosts.get(harness.store.peek('leader/scheduler') ?? '')
    harness.addHost(`successor-${restarts}`)
    leader?.crash()
    await run(5_000)
  }
  await waitUntilRunning(500)
  expect(getState('job')).toBe(JobState.Active)
  expect(harness.poolState.violations).toEqual([])
})

// Guards against more starts than allowed: the ends of draining workers are crashes here.
test.each([1, 2])('a task that crashes its workers, %i of them while they drain, is given up within five starts', async drained => {
  await startHarness({ workers: 6, getRun: () => ({ workMs: 5_000, how: EndKind.Done, crashAfterMs: 400 }), crash: { awayMs: 3_000, keepsId: true } })
  await submit(makeJob('job', 'batch', [makeStep()]))
  for (let starts = 1; starts <= drained; starts++) {
    await waitUntilRunning(100)
    const location = harness.poolState.running.get(task)?.[0]?.workerId ?? ''
    harness.setDraining(location, true)
    await run(3_000)
  }
  await waitForState('job', JobState.Failed, 60_000)
  expect(harness.poolState.starts.get(task)).toBeLessThanOrEqual(maxCrashRuns)
  expect(harness.poolState.violations).toEqual([])
})
