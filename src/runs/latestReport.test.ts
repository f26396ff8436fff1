/** Which of two reports of one worker counts as outdated. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind } from '../jobs/jobModel.js'
import type { WorkerStatusReport } from '../workers/workerPort.js'
import { createLatestReport } from './latestReport.js'

beforeEach(() => { jest.useFakeTimers({ now: 1_000 }) })
afterEach(() => { jest.useRealTimers() })

function makeReport (clockMs: number, sequence?: number): WorkerStatusReport {
  return { clockMs, bornAtMs: 1, running: [], ended: sequence === undefined ? [] : [{ sequence, task: 'a.0.0.0', run: 1, how: EndKind.Done, checkpoint: '' }] }
}

// Guards against a poll through another host that brings back what a later answer has replaced: only those that waited there were compared.
test('a report that was written before one that came another way is outdated', async () => {
  const latest = createLatestReport(1)
  const requestedAtMs = performance.now()
  await jest.advanceTimersByTimeAsync(10)
  expect(latest.record(makeReport(500))).toBe(true)
  expect(latest.record(makeReport(499))).toBe(false)
  expect(latest.record(makeReport(499), requestedAtMs)).toBe(false)
})

// Two reports of one reading of the clock may have been written in either order: an end that only one of them lists has to be applied.
test('a report of the same millisecond is applied, and one of a later request in any case', async () => {
  const latest = createLatestReport(1)
  expect(latest.record(makeReport(500, 1))).toBe(true)
  expect(latest.hasNewEnds(makeReport(500, 2))).toBe(true)
  expect(latest.record(makeReport(500, 2), performance.now() - 5)).toBe(true)
  expect(latest.hasNewEnds(makeReport(500, 2))).toBe(false)
  await jest.advanceTimersByTimeAsync(10)
  expect(latest.record(makeReport(100), performance.now())).toBe(true)
})

test('another incarnation starts its clock and the numbers of its ends anew', () => {
  const latest = createLatestReport(1)
  latest.record(makeReport(500, 7))
  latest.begin(2)
  expect(latest.hasNewEnds(makeReport(3, 1))).toBe(true)
  expect(latest.record(makeReport(3, 1))).toBe(true)
})
