/** Planning passes follow changes soon, but do not follow each of many reports. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createPassPacing, minPassPeriodMs } from './passPacing.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

test('changes in each millisecond cause one pass in each period, also if a pass takes no measurable time', async () => {
  let passes = 0
  const pacing = createPassPacing(() => { passes++; return true })
  for (let elapsedMs = 0; elapsedMs < 100 * minPassPeriodMs; elapsedMs++) {
    pacing.schedule()
    await jest.advanceTimersByTimeAsync(1)
  }
  expect(passes).toBeGreaterThanOrEqual(90)
  expect(passes).toBeLessThanOrEqual(101)
})

test('a change after a quiet time is acted on at once, and one during the pause at its end', async () => {
  const startedAtMs: number[] = []
  const pacing = createPassPacing(() => { startedAtMs.push(performance.now()); return true })
  await jest.advanceTimersByTimeAsync(1_000)
  const firstAtMs = performance.now()
  pacing.schedule()
  await jest.advanceTimersByTimeAsync(1)
  pacing.schedule()
  await jest.advanceTimersByTimeAsync(2 * minPassPeriodMs)
  expect(startedAtMs.map(atMs => Math.round(atMs - firstAtMs))).toEqual([0, minPassPeriodMs])
})

test('a pass that could not run causes no pause', async () => {
  let attempts = 0
  const pacing = createPassPacing(() => { attempts++; return false })
  for (let index = 0; index < 5; index++) {
    pacing.schedule()
    await jest.advanceTimersByTimeAsync(0)
  }
  expect(attempts).toBe(5)
})
