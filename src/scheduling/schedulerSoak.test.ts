/** Randomised runs of the scheduler. SOAK_SEEDS=1,2,3 sets the seeds, SOAK_STEPS the number of steps of each run. */
import { expect, jest, test } from '@jest/globals'
import { formatSoakReport, runSchedulerSoak } from '../testing/schedulerSoak.js'

const seeds = (process.env.SOAK_SEEDS ?? '1,2,3,4,5,6').split(',').map(Number)
const steps = Number(process.env.SOAK_STEPS ?? 400)

test.each(seeds)('no invariant is violated in a randomised run (seed %i)', async seed => {
  jest.useFakeTimers()
  const report = await runSchedulerSoak(seed, steps, async timeMs => { await jest.advanceTimersByTimeAsync(timeMs) })
  jest.useRealTimers()
  if (process.env.SOAK_PRINT !== undefined) console.log(formatSoakReport(report))
  expect(report.violations).toEqual([])
})
