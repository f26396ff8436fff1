/** How soon a task whose run has ended early starts again in an idle pool, by the cause of that end. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { Logger } from '../common/logger.js'
import { EndKind } from '../jobs/jobModel.js'
import { createPoolHarness, harnessCapacity, harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

/** A poll that is waiting when its worker starts anew ends within this, in ms. */
const pollMs = 1_500
/** A planning pass follows the end of a run within this, in ms. */
const planMs = 100
const workMs = 60_000

let harness: PoolHarness
/** How long the task of job `a` waited before each of its runs was planned, in ms. */
let waitsMs: number[]
const { run, submit } = createPoolSteps(() => harness)

beforeEach(async () => {
  jest.useFakeTimers()
  waitsMs = []
  const queues = harnessConfiguration.queues.map(queue => ({ ...queue, objectiveFactor: 20 }))
  harness = createPoolHarness({ workers: 2, logger: createRecorder(), getConfiguration: () => ({ ...harnessConfiguration, queues }), getRun: task => ({ workMs: task.startsWith('a') ? workMs : 300, how: EndKind.Done }) })
  harness.addHost('host-0')
  await run(500)
  await submit(makeJob('a', 'batch', [makeStep({ estimateMs: workMs })]))
  await run(1_000)
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

function createRecorder (): Logger {
  const recorder: Logger = {
    ...silentLogger,
    info: (message, fields) => {
      const { jobId, waitedMs } = (fields ?? {}) as { readonly jobId?: string, readonly waitedMs?: number }
      if (message === 'attempt planned' && jobId === 'a' && waitedMs !== undefined) waitsMs.push(waitedMs)
    },
    withPrefix: () => recorder
  }
  return recorder
}

function getRuns (): readonly number[] {
  return (harness.poolState.running.get('a.0.0.0') ?? []).map(location => location.run)
}

function getWorkerId (): string {
  return harness.poolState.running.get('a.0.0.0')?.[0]?.workerId ?? ''
}

// A task that had lost its worker was held back for a second, like one that would be preempted again by the next urgent job.
test('a task that lost its worker is not held back like a preempted one', async () => {
  harness.restartWorker(getWorkerId())
  await run(pollMs + planMs)
  expect(waitsMs).toHaveLength(2)
  expect(waitsMs[1]).toBeLessThan(planMs)
})

// Guards against the loss of the pause itself: a burst would stop the same task again and again.
test('a preempted task is held back, and after the loss of its next worker it is not', async () => {
  await submit(makeJob('urgent', 'urgent', [makeStep({ count: 2, isGang: true, request: harnessCapacity })]))
  for (let elapsedMs = 0; elapsedMs < 3_000 && getRuns().length > 0; elapsedMs += 10) await run(10)
  expect(getRuns()).toEqual([])
  await run(900)
  expect(getRuns()).toEqual([])
  await run(600)
  expect(getRuns()).toEqual([2])
  harness.restartWorker(getWorkerId())
  await run(pollMs + planMs)
  expect(waitsMs).toHaveLength(3)
  expect(waitsMs[2]).toBeLessThan(planMs)
})
