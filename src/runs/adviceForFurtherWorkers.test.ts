/** Further workers are asked about when those that the policy of a queue is known to permit cannot take a unit: they have left, are full, or may hold no more tasks of its step. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** A ticket lasts longer than any of the tests. */
const validMs = 60_000
const advice = { decideMs: 50, perWorkerMs: 2, validMs }
const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
/** The workers of each request to the advice service, by step. */
let asked: Array<{ readonly step: string, readonly workerIds: readonly string[] }>

async function startHarness (permitted: readonly string[], options: Partial<PoolHarnessOptions> = {}): Promise<void> {
  asked = []
  harness = createPoolHarness({
    workers: 66,
    getConfiguration: () => ({ ...harnessConfiguration, queues: harnessConfiguration.queues.map(queue => queue.name === 'batch' ? { ...queue, advice } : queue) }),
    advice: {
      advise: async (step, workerIds) => {
        asked.push({ step, workerIds })
        await delay(advice.decideMs + advice.perWorkerMs * workerIds.length)
        return workerIds.filter(workerId => permitted.includes(workerId)).map(workerId => ({ workerId, ticket: `${step}-${workerId}` }))
      }
    },
    ...options
  })
  harness.addHost('host-0')
  await run(500)
}

function countAsked (step: string, workerId: string): number {
  return asked.filter(request => request.step === step && request.workerIds.includes(workerId)).length
}

test('a step whose permitted worker has left starts on another permitted worker that was not asked about, while the ticket of the first is valid', async () => {
  await startHarness(['worker-3', 'worker-65'], { getRun: (_task, attempt) => ({ workMs: attempt === 1 ? 20_000 : 500, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(500)
  expect(harness.poolState.starts.get('a.0.0.0')).toBe(1)
  harness.setDraining('worker-3', true)
  harness.workers.get('worker-3')?.crash()
  harness.setListed('worker-3', false)
  await waitForState('a', JobState.Complete, 12_000)
  expect(harness.orders.filter(({ task }) => task === 'a.0.0.0')).toHaveLength(2)
})

test('a step whose permitted worker is full starts on another permitted worker that was not asked about', async () => {
  await startHarness(['worker-3', 'worker-65'], { getRun: task => ({ workMs: task.startsWith('a') ? 20_000 : 500, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep({ request: wholeWorker })]))
  await run(500)
  await submit(makeJob('b', 'batch', [makeStep({ request: wholeWorker })]))
  await waitForState('b', JobState.Complete, 3_000)
})

test('the tasks of a step with a spread limit start on all permitted workers, though the first one asked about has room for them', async () => {
  await startHarness(['worker-3', 'worker-35', 'worker-65'])
  await submit(makeJob('a', 'batch', [makeStep({ count: 3, spreadLimit: 1 })]))
  await waitForState('a', JobState.Complete, 1_500)
})

test('the tasks of a wide step run on as many permitted workers as have room for them', async () => {
  await startHarness(['worker-3', 'worker-35', 'worker-65'], { getRun: () => ({ workMs: 2_000, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep({ count: 3, request: wholeWorker, estimateMs: 2_000 })]))
  await waitForState('a', JobState.Complete, 3_500)
})

test('a worker that the step cannot use is not asked about, and each of the others at most once while the step waits', async () => {
  await startHarness(['worker-3'], { getService: index => index % 2 === 0 ? 'other' : 'pool', getRun: () => ({ workMs: 8_000, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep({ count: 2, request: wholeWorker, estimateMs: 8_000 })]))
  await run(5_000)
  const counts = [...harness.workers.keys()].map((workerId, index) => ({ isOfService: index % 2 === 1, count: countAsked('a.0.0', workerId) }))
  expect(counts.filter(({ isOfService }) => !isOfService).every(({ count }) => count === 0)).toBe(true)
  expect(counts.filter(({ isOfService }) => isOfService).every(({ count }) => count === 1)).toBe(true)
})
