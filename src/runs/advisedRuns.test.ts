/** Steps that only advised workers may run, and the pacing of fill tasks. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import fc from 'fast-check'
import { silentLogger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { createTrackedJob, getUnits } from '../jobs/trackedJob.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { createAdviceCache } from './adviceCache.js'
import { getNextPercent } from './fillPacing.js'

const settings = { decideMs: 20, perWorkerMs: 1, validMs: 2_000 }
const workerIds = ['w1', 'w2', 'w3', 'w4']

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

test('only advised workers are permitted, a ticket is renewed before it expires, and requests are retried after an outage', async () => {
  let isUnavailable = true
  let requestCount = 0
  const termController = new AbortController()
  const term: Term = { epoch: 1, leaderKey: '', leaderRevision: 1, isValid: () => true, resign: () => {}, signal: termController.signal }
  const cache = createAdviceCache({
    term,
    logger: silentLogger,
    onChanged: () => {},
    port: {
      advise: async (step, asked) => {
        requestCount++
        if (isUnavailable) throw new Error('advice service unavailable')
        return asked.filter(workerId => workerId !== 'w2').map(workerId => ({ workerId, ticket: `${step}-${workerId}-${requestCount}` }))
      }
    }
  })
  const unit = getUnits(createTrackedJob(makeJob('a', 'batch', [makeStep()]), 0))[0]
  if (unit === undefined) throw new Error('the job has no unit')
  // As in a planning pass: the workers with valid tickets, and a request for more if there are none.
  const look = (): ReadonlySet<string> | undefined => {
    const permitted = cache.getPermitted(unit, workerIds)
    if (permitted === undefined) cache.requestMore(unit, settings, () => workerIds.map(workerId => ({ workerId, hasRoom: true })))
    return permitted
  }
  expect(look()).toBeUndefined()
  await jest.advanceTimersByTimeAsync(500)
  isUnavailable = false
  expect(look()).toBeUndefined()
  await jest.advanceTimersByTimeAsync(100)
  expect([...look() ?? []]).toEqual(['w1', 'w3', 'w4'])
  const ticket = cache.getTicket(unit, 'w1')
  await jest.advanceTimersByTimeAsync(settings.validMs)
  expect(look()).toBeUndefined()
  await jest.advanceTimersByTimeAsync(100)
  expect(look()?.has('w1')).toBe(true)
  expect(cache.getTicket(unit, 'w1')).not.toBe(ticket)
})

test('the pace of a fill task stays between 0 and 100, does not rise while the latency is above half of its goal, and is 0 near the goal and above', () => {
  fc.assert(fc.property(fc.integer({ min: 0, max: 100 }), fc.double({ min: 0, max: 5, noNaN: true }), fc.integer({ min: 0, max: 10_000 }), (percent, pressure, sinceMs) => {
    const next = getNextPercent(percent, pressure, sinceMs)
    expect(next).toBeGreaterThanOrEqual(0)
    expect(next).toBeLessThanOrEqual(100)
    if (pressure > 0.5) expect(next).toBeLessThanOrEqual(percent)
    if (pressure >= 0.95) expect(next).toBe(0)
  }))
})
