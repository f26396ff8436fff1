/** Runs on workers that have started shortly before, in a term that has begun shortly before. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

/** Source of the bound: the platform's rules (LOST) count a job that stands for 3 s after 4 s without disturbances. */
const replacementLimitMs = 7_000
const task = 'a.0.0.0'
let harness: PoolHarness
const { run, submit } = createPoolSteps(() => harness)

beforeEach(async () => {
  jest.useFakeTimers()
  harness = createPoolHarness({ workers: 6, workersPerRack: 2, maxLeaseMs: 10_000, getRun: () => ({ workMs: 120_000, how: EndKind.Done }) })
  harness.addHost('host-0')
  await run(5_000)
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

function getLocation (): string | undefined {
  return harness.poolState.running.get(task)?.[0]?.workerId
}

// Guards against a job that stands for the longest lease: the run was planned, started and listed after the answer that excluded all orders of earlier terms.
test.failing('a run that began after a young life had answered the term is replaced in time', async () => {
  for (const restartedId of ['worker-0', 'worker-1']) harness.restartWorker(restartedId)
  await run(300)
  await submit(makeJob('a', 'batch', [makeStep({ requiredLabel: 'rack-0' })]))
  await run(700)
  const workerId = getLocation()
  if (workerId === undefined) throw new Error('the task runs')
  harness.crashWorker(workerId, { awayMs: 3_600_000, keepsId: false })
  let elapsedMs = 0
  for (; elapsedMs < 30_000 && getLocation() === undefined; elapsedMs += 10) await run(10)
  expect(elapsedMs).toBeLessThan(replacementLimitMs)
  expect(harness.poolState.violations).toEqual([])
})
