/** How long a call is retried while the store fails: callers keep enough time for another host, and their few tries reach over their whole time. */
import { expect, test } from '@jest/globals'
import { getRetryBudget } from './retryBudget.js'

test.each([300, 1_000, 2_750, 9_750, 60_000])('a caller with %i ms keeps at least half of its time for another host, however old the outage is', leftMs => {
  for (const outageMs of [0, 500, 3_000, 10_000, 600_000]) {
    const { refusedMs, unansweredMs } = getRetryBudget({ leftMs, outageMs })
    expect(refusedMs).toBeLessThanOrEqual(leftMs / 2)
    expect(unansweredMs).toBeLessThanOrEqual(leftMs / 2)
    expect(refusedMs).toBeLessThanOrEqual(unansweredMs)
  }
})

test('five tries of a caller that repeats at once reach over nearly nine tenths of its time', () => {
  let leftMs = 2_750
  for (let attempt = 0; attempt < 5; attempt++) leftMs -= getRetryBudget({ leftMs, outageMs: 2_750 - leftMs }).refusedMs
  expect(leftMs).toBeLessThan(2_750 * 0.14)
})

test('a refused call of a patient caller is retried for as long as the outage has lasted, and for a second at least', () => {
  expect(getRetryBudget({ leftMs: 60_000, outageMs: 0 }).refusedMs).toBe(1_000)
  expect(getRetryBudget({ leftMs: 60_000, outageMs: 4_000 }).refusedMs).toBe(4_000)
  expect(getRetryBudget({ leftMs: 60_000, outageMs: 90_000 }).refusedMs).toBe(20_000)
})

test('a call is tried once if the outage is too old to end before the caller\'s deadline', () => {
  expect(getRetryBudget({ leftMs: 2_750, outageMs: 24_000 }).refusedMs).toBeGreaterThan(0)
  expect(getRetryBudget({ leftMs: 2_750, outageMs: 25_000 }).refusedMs).toBe(0)
  expect(getRetryBudget({ leftMs: 0, outageMs: 0 }).refusedMs).toBe(0)
})

test('a caller with very little time gets one attempt of at least 100 ms', () => {
  expect(getRetryBudget({ leftMs: 120, outageMs: 0 })).toEqual({ refusedMs: 40, unansweredMs: 100 })
})
