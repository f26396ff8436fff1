import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createPoolHarness } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import type { PoolWorker } from './poolWorker.js'

const lateMs = 3_000
const requestedLease = { epoch: 5, task: 'job.0.0.0', run: 1, payload: '', checkpoint: '', leaseUntilMs: 60_000 }

let harness: PoolHarness
let worker: PoolWorker

beforeEach(() => {
  jest.useFakeTimers()
  harness = createPoolHarness({ workers: 1 })
  worker = harness.workers.get('worker-0') as PoolWorker
})

afterEach(async () => {
  await harness.stop()
  jest.useRealTimers()
})

/** Returns how long the caller of a request waits until it fails, in ms. */
async function measureFailureMs (request: Promise<unknown>): Promise<number> {
  const sentAtMs = performance.now()
  let failedAtMs = NaN
  void request.catch(() => { failedAtMs = performance.now() })
  await jest.advanceTimersByTimeAsync(2_500)
  return Math.round(failedAtMs - sentAtMs)
}

// Guards against a disturbance in which callers learn of a lost request sooner than on the platform.
test('callers of lost requests wait until their own time-outs', async () => {
  worker.setRequestLoss(() => lateMs)
  const port = worker.connect()
  expect(await measureFailureMs(port.renewLease({ epoch: 5, acknowledgedSequence: 0, waitMs: 1_500 }))).toBe(2_001)
  expect(await measureFailureMs(port.renewLease({ epoch: 5, acknowledgedSequence: 0, waitMs: 0, answerTimeoutMs: 150 }))).toBe(151)
  expect(await measureFailureMs(port.start(requestedLease))).toBe(451)
  expect(await measureFailureMs(port.stop(requestedLease))).toBe(451)
})

test('a lost request is carried out late, unless its worker has restarted', async () => {
  worker.setRequestLoss(() => lateMs)
  const port = worker.connect()
  void port.start(requestedLease).catch(() => {})
  await jest.advanceTimersByTimeAsync(lateMs - 100)
  expect(harness.poolState.running.size).toBe(0)
  await jest.advanceTimersByTimeAsync(200)
  expect(harness.poolState.running.size).toBe(1)
  void port.start({ ...requestedLease, task: 'job.0.0.1' }).catch(() => {})
  await jest.advanceTimersByTimeAsync(100)
  worker.restart()
  await jest.advanceTimersByTimeAsync(lateMs)
  expect(harness.poolState.running.has('job.0.0.1')).toBe(false)
})

test('requests of which none is lost are answered', async () => {
  worker.setRequestLoss(() => undefined)
  const response = worker.connect().start(requestedLease)
  await jest.advanceTimersByTimeAsync(10)
  expect((await response).answer).toBe('started')
})
