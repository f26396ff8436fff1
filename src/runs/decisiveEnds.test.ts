/** Where the end of a run decides whether other work may start. */
import { expect, test } from '@jest/globals'
import { createAttempt, createTrackedJob, addOccurrence, findUnit, MemberState } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import type { JobSpec, StepSpec } from '../jobs/jobModel.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { getDecisiveEnds, maxDecisiveWorkers, maxTasksLeft } from './decisiveEnds.js'

const successor = makeStep({ after: [0] })

function createJob (jobId: string, steps: readonly StepSpec[], fields: Partial<JobSpec> = {}): TrackedJob {
  return createTrackedJob(makeJob(jobId, 'batch', steps, fields), 0)
}

/** Runs a task, or a gang, on the given workers. */
function start (job: TrackedJob, [occurrence, step, index]: readonly [number, number, number], ...workerIds: readonly string[]): void {
  const unit = findUnit(job, occurrence, step, index)
  if (unit === undefined) throw new Error('the job has the unit')
  const { members } = createAttempt(unit, unit.run + 1, workerIds.map(workerId => ({ workerId, bornAtMs: 1 })), 0)
  for (const member of members) member.state = MemberState.Running
}

function finish (job: TrackedJob, count: number, step = 0): void {
  for (let index = 0; index < count; index++) {
    const unit = findUnit(job, 0, step, index)
    if (unit !== undefined) unit.isDone = true
  }
}

function getTasksLeft (...jobs: readonly TrackedJob[]): ReadonlyArray<readonly [string, number]> {
  return [...getDecisiveEnds(jobs)].map(([workerId, { tasksLeft }]) => [workerId, tasksLeft])
}

test('the ends of the last tasks of a step decide if another step waits for it, and those of earlier tasks do not', () => {
  const job = createJob('a', [makeStep({ count: 10 }), successor])
  for (let index = 0; index < 10; index++) start(job, [0, 0, index], `worker-${index}`)
  finish(job, 10 - maxTasksLeft - 1)
  expect(getTasksLeft(job)).toEqual([])
  finish(job, 10 - maxTasksLeft)
  expect(getTasksLeft(job).map(([, left]) => left)).toEqual(Array.from({ length: maxTasksLeft }, () => maxTasksLeft))
  finish(job, 9)
  expect(getTasksLeft(job)).toEqual([['worker-9', 1]])
  finish(job, 10)
  expect(getTasksLeft(job)).toEqual([])
})

test('no end decides in a job in which no step waits for another, nor in one that is cancelled', () => {
  const single = createJob('a', [makeStep()])
  start(single, [0, 0, 0], 'worker-0')
  const cancelled = createJob('b', [makeStep(), successor])
  start(cancelled, [0, 0, 0], 'worker-1')
  cancelled.isCancelRequested = true
  expect(getTasksLeft(single, cancelled)).toEqual([])
})

test('a gang counts as one task, whose end two of its workers show', () => {
  const job = createJob('a', [makeStep({ count: 6, isGang: true }), successor])
  start(job, [0, 0, 0], 'worker-0', 'worker-0', 'worker-1', 'worker-2', 'worker-3', 'worker-4')
  expect(getTasksLeft(job)).toEqual([['worker-0', 1], ['worker-1', 1]])
})

test('the tasks of each occurrence are counted for themselves', () => {
  const recurrence = { times: 3, firstAtMs: 0, intervalMs: 1_000 }
  const job = createJob('a', [makeStep({ count: 6 }), successor], { recurrence })
  addOccurrence(job, 0, 0)
  addOccurrence(job, 2, 0)
  start(job, [0, 0, 5], 'worker-0')
  start(job, [2, 0, 5], 'worker-2')
  finish(job, 5)
  expect(getTasksLeft(job)).toEqual([['worker-0', 1]])
})

test('services and steps of best effort never decide', () => {
  const job = createJob('a', [makeStep({ isService: true }), makeStep({ isFill: true }), makeStep({ after: [0, 1] })])
  start(job, [0, 0, 0], 'worker-0')
  start(job, [0, 1, 0], 'worker-1')
  expect(getTasksLeft(job)).toEqual([])
})

test('a run that is being stopped, or was only planned, does not decide', () => {
  const job = createJob('a', [makeStep({ count: 2 }), successor])
  start(job, [0, 0, 0], 'worker-0')
  start(job, [0, 0, 1], 'worker-1')
  const [stopped, planned] = [0, 1].map(index => findUnit(job, 0, 0, index)?.attempts[0])
  if (stopped !== undefined) stopped.stopReason = 'test'
  if (planned?.members[0] !== undefined) planned.members[0].state = MemberState.Planned
  expect(getTasksLeft(job)).toEqual([])
})

test('a worker counts once, by the step that waits for the fewest tasks, and those come first if there are too many', () => {
  const many = Array.from({ length: maxDecisiveWorkers }, (_, index) => {
    const job = createJob(`m${index}`, [makeStep({ count: 2 }), successor])
    start(job, [0, 0, 0], `worker-${index}`)
    return job
  })
  const last = createJob('last', [makeStep(), successor])
  start(last, [0, 0, 0], 'worker-last')
  const shared = createJob('shared', [makeStep(), successor])
  start(shared, [0, 0, 0], 'worker-5')
  const ends = getTasksLeft(...many, last, shared)
  expect(ends).toHaveLength(maxDecisiveWorkers)
  expect(ends.slice(0, 3)).toEqual([['worker-5', 1], ['worker-last', 1], ['worker-0', 2]])
  expect(getDecisiveEnds([...many, last, shared]).get('worker-5')?.members).toHaveLength(2)
})

// Guards against LOST: tasks of equal length end within 100 ms of each other, and each of them is among the first lost answers. All three hold up the next step.
test.failing('the ends of three tasks that a step still waits for decide', () => {
  const job = createJob('a', [makeStep({ count: 10 }), successor])
  for (let index = 7; index < 10; index++) start(job, [0, 0, index], `worker-${index}`)
  finish(job, 7)
  expect(getTasksLeft(job)).toHaveLength(3)
})

// Guards against places that workers which are gone keep until their runs count as lost, while a region is.
test('a worker that is no candidate takes no place', () => {
  const jobs = Array.from({ length: maxDecisiveWorkers + 1 }, (_, index) => {
    const job = createJob(`job-${index}`, [makeStep(), successor])
    start(job, [0, 0, 0], `worker-${index}`)
    return job
  })
  const candidates = getDecisiveEnds(jobs, workerId => workerId === `worker-${maxDecisiveWorkers}`)
  expect([...candidates.keys()]).toEqual([`worker-${maxDecisiveWorkers}`])
})
