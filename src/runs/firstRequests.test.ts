/** The log of the requests that a term sends to a worker in its first second. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import type { Logger } from '../common/logger.js'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createFirstRequests, RequestWay } from './firstRequests.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

test('requests to a worker that has not answered are logged with their times and outcomes, others are not', async () => {
  const lines: object[] = []
  const logger: Logger = { ...silentLogger, info: (_message, fields) => { lines.push(fields ?? {}) } }
  const ending = new AbortController()
  const requests = createFirstRequests({ term: { epoch: 7, signal: ending.signal }, logger, getUnanswered: () => ['silent'] })
  void requests.record('silent', RequestWay.Poll, async () => await loseAnswer(500)).catch(() => {})
  void requests.record('answering', RequestWay.Poll, async () => {})
  await jest.advanceTimersByTimeAsync(200)
  void requests.record('silent', RequestWay.Relayed, async () => await loseAnswer(2_000)).catch(() => {})
  await jest.advanceTimersByTimeAsync(1_000)
  expect(lines).toEqual([{
    epoch: 7,
    workerId: 'silent',
    unanswered: 1,
    requests: [{ way: 'poll', sentAtMs: 0, failedAtMs: 500 }, { way: 'relayed', sentAtMs: 200 }]
  }])
  ending.abort()
  await jest.advanceTimersByTimeAsync(2_000)
})

async function loseAnswer (afterMs: number): Promise<never> {
  await delay(afterMs)
  throw new Error('no answer')
}
