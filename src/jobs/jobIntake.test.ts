/** Job acceptance over a store that refuses calls, loses responses or applies writes late: "not accepted" is reported only if it is true. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { createJobIntake } from './jobIntake.js'
import type { JobIntake } from './jobIntake.js'
import { getAcceptedKey } from './jobKeys.js'

const callerTimeoutMs = 2_000
let store: MemoryStore
let intake: JobIntake

beforeEach(() => {
  jest.useFakeTimers()
  store = createMemoryStore()
  intake = createJobIntake({ store: store.connect('host'), logger: silentLogger })
})
afterEach(() => { jest.useRealTimers() })

/** Submits a job; resolves to undefined if it was accepted, otherwise to the kind of error. */
async function submit (jobId: string): Promise<ErrorKind | undefined> {
  let kind: ErrorKind | undefined
  const submitted = intake.submit(makeJob(jobId, 'batch', [makeStep()]), performance.now() + callerTimeoutMs).catch(error => {
    kind = Object.values(ErrorKind).find(candidate => isErrorOfKind(error, candidate))
  })
  await jest.advanceTimersByTimeAsync(callerTimeoutMs + 100)
  await submitted
  return kind
}

function isAccepted (jobId: string): boolean {
  return store.peek(getAcceptedKey(jobId)) !== undefined
}

test('submitting the same job twice succeeds and stores one job', async () => {
  expect(await submit('a')).toBeUndefined()
  expect(await submit('a')).toBeUndefined()
  expect(isAccepted('a')).toBe(true)
})

test('a host whose calls the store refuses does not report a job as not run if the job was accepted earlier', async () => {
  expect(await submit('a')).toBeUndefined()
  store.setUnavailable(true, 'host')
  expect(await submit('a')).toBe(ErrorKind.AnswerLost)
  expect(isAccepted('a')).toBe(true)
})

test('a refused submission is retried for a second, then rejected, and nothing is stored later', async () => {
  store.setUnavailable(true)
  let answeredAtMs = Infinity
  const startedAtMs = Date.now()
  void intake.submit(makeJob('a', 'batch', [makeStep()]), performance.now() + callerTimeoutMs).catch(() => { answeredAtMs = Date.now() })
  await jest.advanceTimersByTimeAsync(callerTimeoutMs)
  expect(answeredAtMs - startedAtMs).toBeLessThan(1_200)
  store.setUnavailable(false)
  await jest.advanceTimersByTimeAsync(10_000)
  expect(isAccepted('a')).toBe(false)
})

test('a submission succeeds if the store recovers within a second', async () => {
  store.setUnavailable(true)
  setTimeout(() => { store.setUnavailable(false) }, 800)
  expect(await submit('a')).toBeUndefined()
  expect(isAccepted('a')).toBe(true)
})

test.each([100, 700, 1_500, 2_500, 6_000])('writes without a response that are applied %i ms later: a job reported as not run is never stored', async lateMs => {
  for (const lost of [1, 2, 5, 100]) {
    const jobId = `job-${lost}`
    store.delayWrites('host', lost, lateMs)
    const kind = await submit(jobId)
    store.delayWrites('host', 0, 0)
    await jest.advanceTimersByTimeAsync(10_000)
    if (kind === undefined) expect(isAccepted(jobId)).toBe(true)
    if (kind === ErrorKind.StoreUnavailable) expect(isAccepted(jobId)).toBe(false)
  }
})

test('calls are rejected by the caller\'s deadline if the store does not respond', async () => {
  const unresponsiveIntake = createJobIntake({ store: { ...store.connect('host'), get: async () => await new Promise(() => {}), transact: async () => await new Promise(() => {}) }, logger: silentLogger })
  const errors: unknown[] = []
  void unresponsiveIntake.submit(makeJob('a', 'batch', [makeStep()]), performance.now() + callerTimeoutMs).catch(error => { errors.push(error) })
  void unresponsiveIntake.getState('a', performance.now() + callerTimeoutMs).catch(error => { errors.push(error) })
  void unresponsiveIntake.countPending('batch', performance.now() + callerTimeoutMs).catch(error => { errors.push(error) })
  await jest.advanceTimersByTimeAsync(callerTimeoutMs + 150)
  expect(errors.every(error => isErrorOfKind(error, ErrorKind.AnswerLost))).toBe(true)
  expect(errors).toHaveLength(3)
})
