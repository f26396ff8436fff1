/** Job calls for domains that nobody schedules. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { createJobGateway } from './jobGateway.js'

const retryMs = 10_000
const gateway = createJobGateway({ domain: 'harju', getScheduler: () => undefined, tryConnect: () => undefined, getDomains: () => ['harju', 'tartu'] })

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

/** Returns the error of a call if it has failed after the given time. */
async function getErrorAfter (ms: number, call: () => Promise<unknown>): Promise<unknown> {
  let failure: unknown
  call().catch((error: unknown) => { failure = error })
  await jest.advanceTimersByTimeAsync(ms)
  return failure
}

test.each([
  ['an id that no domain gives', 'nothing', ErrorKind.NotFound],
  ['an id of an unknown domain', 'nowhere:nothing', ErrorKind.NoScheduler]
])('%s is answered at once', async (_, jobId, kind) => {
  for (const call of [() => gateway.get(jobId, undefined, 0), () => gateway.cancel(jobId, undefined)]) {
    expect(isErrorOfKind(await getErrorAfter(0, call), kind)).toBe(true)
  }
})

test('a known domain without a scheduler is asked again, as another host may be elected', async () => {
  const call = (): Promise<unknown> => gateway.get('tartu:job', undefined, 0)
  expect(await getErrorAfter(1_000, call)).toBeUndefined()
  expect(isErrorOfKind(await getErrorAfter(retryMs, call), ErrorKind.NoScheduler)).toBe(true)
})
