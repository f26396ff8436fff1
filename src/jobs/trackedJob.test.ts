/** The stored progress of a job. */
import { expect, test } from '@jest/globals'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { createAttempt, createTrackedJob, encodeProgress, getUnits, tryRestoreProgress } from './trackedJob.js'
import type { CrashRecord, TrackedJob, Unit } from './trackedJob.js'

const getUnit = (job: TrackedJob): Unit => getUnits(job)[0] as Unit

test('crashes and the machines of attempts are the same after a takeover', () => {
  const job = createTrackedJob(makeJob('job', 'batch', [makeStep()]), 0)
  const unit = getUnit(job)
  createAttempt(unit, 3, [{ workerId: 'w', bornAtMs: 7, machine: 'm' }], 0)
  const crash: CrashRecord = { run: 1, indices: [0], machine: 'm1', bornAtMs: 5, likelihoodRatio: 2.5, ranMs: 40, isCounted: true }
  const lost: CrashRecord = { run: 2, indices: [0], machine: 'm2', bornAtMs: 6, likelihoodRatio: 1, ranMs: 0, isCounted: false, pendingSinceMs: 20 }
  unit.crashes = [crash, lost]
  const restored = createTrackedJob(job.spec, 100)
  tryRestoreProgress(restored, encodeProgress(job), 1, 100, 100)
  expect(getUnit(restored).crashes).toEqual([crash, { ...lost, pendingSinceMs: 100 }])
  expect(getUnit(restored).attempts[0]?.members[0]).toMatchObject({ workerId: 'w', bornAtMs: 7, machine: 'm' })
})

test('records of the version that stored only the numbers of crashes are read', () => {
  const job = createTrackedJob(makeJob('job', 'batch', [makeStep()]), 0)
  tryRestoreProgress(job, '{"state":"active","done":{},"units":[[0,0,0,3,[],"",[[3,[[0,"w",7]]]],[[0,2]]]]}', 1, 0, 0)
  expect(getUnit(job).crashes.map(({ indices, isCounted }) => ({ indices, isCounted }))).toEqual([{ indices: [0], isCounted: true }, { indices: [0], isCounted: true }])
  expect(getUnit(job).attempts[0]?.members[0]).toMatchObject({ workerId: 'w', bornAtMs: 7, machine: 'w' })
})

// Guards against a record that creates more tasks than the job has: a record of 1 MB can name 80,000 occurrences.
test.each([
  ['its bitmaps', '{"state":"active","done":{"0.0":"1","2.0":"1"},"units":[]}'],
  ['its units', '{"state":"active","done":{},"units":[[2,0,0,1,[],"",[]]]}']
])('a record that names an occurrence beyond the last one in %s is malformed, and creates no units', (_name, record) => {
  const job = createTrackedJob(makeJob('job', 'batch', [makeStep()], { recurrence: { times: 2, firstAtMs: 0, intervalMs: 1_000 } }), 0)
  expect(tryRestoreProgress(job, record, 1, 0, 0)).toBe(false)
  expect(getUnits(job)).toEqual([])
  expect(tryRestoreProgress(job, record.replaceAll('2,', '1,').replace('"2.0"', '"1.0"'), 1, 0, 0)).toBe(true)
})
