/** When a unit has to start for its job's objective. */
import { expect, test } from '@jest/globals'
import { createTrackedJob } from '../jobs/trackedJob.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { getStartLimits } from './objective.js'
import { createRunTimes } from './runTimes.js'

test('the remaining path is the longest chain of steps that begins with the unit\'s step', () => {
  const steps = [{ estimateMs: 100 }, { estimateMs: 200, after: [0] }, { estimateMs: 900, after: [0] }, { estimateMs: 50, after: [1, 2] }, { estimateMs: 5_000 }]
  const job = createTrackedJob(makeJob('chain', 'batch', steps.map(makeStep)), 0)
  const limits = (job.occurrences.get(0) ?? []).map(([unit]) => unit === undefined ? undefined : getStartLimits(unit, undefined, createRunTimes()).latestStartMs)
  expect(limits).toEqual([3_950, 4_750, 4_050, 4_950, 0])
})

// A pass computes the limits of each step: with looks at every pair of steps for each of them, a job of 1,000 steps held the event loop for 44 s.
test('the limits of a unit take as many looks at steps as the job has, not as it has pairs of them', () => {
  let looks = 0
  const steps = Array.from({ length: 200 }, (_, step) => Object.defineProperty(makeStep(), 'after', {
    get: () => {
      looks++
      return step === 0 ? [] : [step - 1]
    }
  }))
  const job = createTrackedJob(makeJob('long', 'batch', steps), 0)
  const [unit] = job.occurrences.get(0)?.[0] ?? []
  if (unit === undefined) throw new Error('the job has no unit')
  getStartLimits(unit, undefined, createRunTimes())
  expect(looks).toBeLessThanOrEqual(2 * steps.length)
})
