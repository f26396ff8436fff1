/** The remaining time of a run, also when it is older than the scheduler's term or resumes from a checkpoint. */
import { expect, test } from '@jest/globals'
import { createAttempt, createTrackedJob, getUnits, MemberState } from '../jobs/trackedJob.js'
import type { Member, Unit } from '../jobs/trackedJob.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { getRemainingMs } from './reservation.js'

const estimateMs = 8_000

/** A run that was planned at 0 and whose reports showed the given progress, as [time in ms, percent]. */
function createRun (reports: readonly (readonly [number, number])[]): Member {
  const unit = getUnits(createTrackedJob(makeJob('a', 'batch', [makeStep({ estimateMs })]), 0))[0] as Unit
  const member = createAttempt(unit, 1, [{ workerId: 'w', bornAtMs: 1 }], 0).members[0] as Member
  member.state = MemberState.Running
  for (const [atMs, percent] of reports) {
    member.firstProgress ??= { percent, atMs }
    member.progressPercent = percent
    member.progressedAtMs = atMs
  }
  return member
}

test('a run without a report is expected to take its estimate', () => {
  expect(getRemainingMs(createRun([]), 2_000)).toBe(6_000)
})

test('a run that the term has found at 50 percent is not expected to end at once', () => {
  expect(getRemainingMs(createRun([[100, 50]]), 100)).toBe(4_000)
  expect(getRemainingMs(createRun([[100, 50], [1_100, 60]]), 1_100)).toBe(4_000)
})

test('a run that resumes from a checkpoint is measured from its first report', () => {
  expect(getRemainingMs(createRun([[500, 60], [2_500, 80]]), 2_500)).toBe(2_000)
})

test('the rate of progress counts, not the estimate, and time passes between reports', () => {
  const run = createRun([[1_000, 0], [5_000, 20]])
  expect(getRemainingMs(run, 5_000)).toBe(16_000)
  expect(getRemainingMs(run, 6_000)).toBe(15_000)
  expect(getRemainingMs(run, 60_000)).toBe(0)
})
