/** The stored progress of a job. */
import { expect, test } from '@jest/globals'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { createAttempt, createTrackedJob, encodeProgress, EndCause, getUnits, tryRestoreProgress } from './trackedJob.js'
import type { CrashRecord, TrackedJob, Unit } from './trackedJob.js'

const getUnit = (job: TrackedJob): Unit => getUnits(job)[0] as Unit

test('crashes and the machines of attempts are the same after a takeover', () => {
  const job = createTrackedJob(makeJob('job', 'batch', [makeStep()]), 0)
  const unit = getUnit(job)
  createAttempt(unit, 3, [{ workerId: 'w', bornAtMs: 7, machine: 'm' }], 0)
  const crash: CrashRecord = { run: 1, indices: [0], machine: 'm1', bornAtMs: 5, cause: EndCause.Crash, likelihoodRatio: 2.5, ranMs: 40, isCounted: true }
  const lost: CrashRecord = { run: 2, indices: [0], machine: 'm2', bornAtMs: 6, cause: EndCause.Unknown, likelihoodRatio: 1, ranMs: 0, isCounted: false, pendingSinceMs: 20 }
  unit.crashes = [crash, lost]
  const restored = createTrackedJob(job.spec, 100)
  tryRestoreProgress(restored, encodeProgress(job, 50), 1, 100, 100)
  expect(getUnit(restored).crashes).toEqual([crash, { ...lost, pendingSinceMs: 70 }])
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

test('a pending loss of the version that did not store its age is pending from the takeover', () => {
  const job = createTrackedJob(makeJob('job', 'batch', [makeStep()]), 0)
  expect(tryRestoreProgress(job, '{"state":"active","done":{},"units":[[0,0,0,3,[],"",[],[[3,[0],"m",7,100,0,2]]]]}', 1, 90, 90)).toBe(true)
  expect(getUnit(job).crashes).toMatchObject([{ run: 3, machine: 'm', pendingSinceMs: 90 }])
})

// Guards against jobs that fail after an upgrade: earlier versions counted the ends of draining workers, with the ratio of no evidence.
test('what ended a run is the same after a takeover, and is inferred from records that do not say it', () => {
  const job = createTrackedJob(makeJob('job', 'batch', [makeStep()]), 0)
  const stored = [[1, [0], 'm', 7, 250, 40, 1], [2, [0], 'm', 8, 100, 40, 1]]
  tryRestoreProgress(job, JSON.stringify({ state: 'active', done: {}, units: [[0, 0, 0, 3, [], '', [], stored]] }), 1, 0, 0)
  expect(getUnit(job).crashes.map(({ cause }) => cause)).toEqual([EndCause.Crash, EndCause.Drain])
  getUnit(job).crashes = Object.values(EndCause).map((cause, number) => ({ run: number, indices: [0], machine: 'm', bornAtMs: 5, cause, likelihoodRatio: 1, ranMs: 40, isCounted: cause !== EndCause.Unknown, ...(cause === EndCause.Unknown ? { pendingSinceMs: 0 } : {}) }))
  const restored = createTrackedJob(job.spec, 0)
  tryRestoreProgress(restored, encodeProgress(job, 0), 1, 0, 0)
  expect(getUnit(restored).crashes).toEqual(getUnit(job).crashes)
})
