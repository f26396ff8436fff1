/** What callers lose by a delay or a stop: the order that every decision on scarce capacity relies on. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createAttempt, createTrackedJob, getUnits } from '../jobs/trackedJob.js'
import type { Attempt, Unit } from '../jobs/trackedJob.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { defaultCostSettings, getDelayCost, getStopCost } from './delayCost.js'
import type { StartLimits } from './delayCost.js'

const estimateMs = 4_000
const limits: StartLimits = { latestStartMs: 10_000, objectiveMs: 12_000, expectedMs: estimateMs }

function createUnit (count = 4, hasCheckpoints = false): Unit {
  return getUnits(createTrackedJob(makeJob('job', 'batch', [makeStep({ count, isGang: true, estimateMs, hasCheckpoints })]), 0))[0] as Unit
}

function start (unit: Unit, run: number, atMs: number): Attempt {
  return createAttempt(unit, run, Array.from({ length: unit.size }, () => ({ workerId: 'w', bornAtMs: 1 })), atMs)
}

function getDelayCostAt (nowMs: number, priority = 1, unit = createUnit()): number {
  return getDelayCost(unit, priority, limits, nowMs, defaultCostSettings)
}

test('a more urgent job of the same size never costs less, and a larger one of the same priority neither', () => {
  fc.assert(fc.property(fc.nat(40_000), fc.nat(4), fc.integer({ min: 1, max: 40 }), (nowMs, priority, count) => {
    const unit = createUnit(count)
    expect(getDelayCostAt(nowMs, priority, unit)).toBeGreaterThanOrEqual(getDelayCostAt(nowMs, priority + 1, unit))
    expect(getDelayCostAt(nowMs, priority, createUnit(count + 1))).toBeGreaterThanOrEqual(getDelayCostAt(nowMs, priority, unit))
  }))
})

test('the cost grows as the slack shrinks until the objective is lost, then as the job becomes useless, and ends with its use', () => {
  fc.assert(fc.property(fc.nat(9_999), fc.nat(9_999), (first, second) => {
    const [early, late] = [Math.min(first, second), Math.max(first, second)]
    expect(getDelayCostAt(late)).toBeGreaterThanOrEqual(getDelayCostAt(early))
    expect(getDelayCostAt(10_001 + late)).toBeGreaterThanOrEqual(getDelayCostAt(10_001 + early))
  }))
  const uselessAtMs = limits.latestStartMs + 2 * limits.objectiveMs
  expect(getDelayCostAt(uselessAtMs - 1)).toBeGreaterThan(0)
  expect(getDelayCostAt(uselessAtMs + 1)).toBe(0)
})

test('a stop costs more the longer the run has lasted, after each earlier run, and without checkpoints', () => {
  const getCost = (attempt: Attempt, nowMs: number): number => getStopCost(attempt, 2, limits, nowMs, defaultCostSettings)
  const attempt = start(createUnit(), 1, 0)
  expect(getCost(attempt, 3_000)).toBeGreaterThan(getCost(attempt, 1_000))
  expect(getCost(start(createUnit(), 3, 0), 1_000)).toBeGreaterThan(getCost(attempt, 1_000))
  expect(getCost(start(createUnit(4, true), 1, 0), 3_000)).toBeLessThan(getCost(attempt, 3_000))
})

test('work that would miss its objective by the stop costs more than work that is late anyway or has time left', () => {
  const getCost = (startedAtMs: number, latestStartMs: number): number => getStopCost(start(createUnit(), 1, startedAtMs), 1, { ...limits, latestStartMs }, startedAtMs + 1_000, defaultCostSettings)
  expect(getCost(5_000, 5_500)).toBeGreaterThan(getCost(5_000, 4_000))
  expect(getCost(5_000, 5_500)).toBeGreaterThan(getCost(5_000, 60_000))
})
