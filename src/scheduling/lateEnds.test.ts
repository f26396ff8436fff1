/** Ends that workers report after the scheduler has given up the attempt to which they belong. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createSchedulerHarness, createJobSpec } from '../testing/schedulerHarness.js'
import type { SchedulerHarness } from '../testing/schedulerHarness.js'
import { JobResult } from './jobTypes.js'
import type { Scheduler } from './scheduler.js'

const runMs = 5_000
const command = ['run', String(runMs)]
/** A worker that is cut off when a job of this length has begun ends it in time; by then its tasks are taken for lost. */
const cutMs = 10_500

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

async function run (ms: number): Promise<void> { await jest.advanceTimersByTimeAsync(ms) }

async function startScheduler (harness: SchedulerHarness): Promise<Scheduler> {
  const scheduler = harness.startScheduler()
  await run(200)
  return scheduler
}

async function getResult (scheduler: Scheduler, jobId: string): Promise<JobResult | undefined> {
  return (await scheduler.get(jobId, 0))?.result
}

/** Starts a job and cuts off `cutCount` of its workers until their tasks, which succeed there, are taken for lost. Returns these workers. */
async function loseWorkers (harness: SchedulerHarness, scheduler: Scheduler, spec: ReturnType<typeof createJobSpec>, cutCount = spec.members): Promise<readonly string[]> {
  await scheduler.submit(spec)
  for (let step = 0; step < 30 && harness.countRunning(spec.jobId) < spec.members; step++) await run(100)
  expect(harness.countRunning(spec.jobId)).toBe(spec.members)
  const workerIds = ((await scheduler.get(spec.jobId, 0))?.workers ?? []).slice(0, cutCount)
  for (const workerId of workerIds) harness.setCutOff(workerId, true)
  await run(cutMs)
  return workerIds
}

// The end was acknowledged and dropped, so that the job ran a second time to its end.
test('a repeatable job that has succeeded on a worker that was cut off ends, and its later run is stopped', async () => {
  const harness = createSchedulerHarness(4, '')
  const scheduler = await startScheduler(harness)
  const spec = createJobSpec('job', { command })
  const [workerId = ''] = await loseWorkers(harness, scheduler, spec)
  expect(harness.countRunning(spec.jobId)).toBe(1)
  harness.setCutOff(workerId, false)
  await run(1_500)
  expect(await getResult(scheduler, spec.jobId)).toBe(JobResult.Succeeded)
  expect(harness.countLiveTasks()).toBe(0)
  expect(scheduler.getStatus()).toMatchObject({ running: 0, waiting: 0, usage: { inUse: 0 } })
  await run(3_000)
  expect(harness.countEnded(spec.jobId)).toBe(0)
  scheduler.assertInvariants()
  scheduler.stop()
})

// Guards against a lasting result `unknown` although the end is known, on which a caller submits the work again.
test.each([true, false])('a non-repeatable gang whose result was unknown has succeeded once its lost member is reported (after a takeover: %s)', async isTakenOver => {
  const harness = createSchedulerHarness(4, '')
  const first = await startScheduler(harness)
  const spec = createJobSpec('payment', { members: 2, repeatable: false, command })
  const [workerId = ''] = await loseWorkers(harness, first, spec, 1)
  expect(await getResult(first, spec.jobId)).toBe(JobResult.Unknown)
  if (isTakenOver) first.stop()
  const scheduler = isTakenOver ? await startScheduler(harness) : first
  await run(2_000)
  expect(await getResult(scheduler, spec.jobId)).toBe(JobResult.Unknown)
  harness.setCutOff(workerId, false)
  await run(10_000)
  expect(await getResult(scheduler, spec.jobId)).toBe(JobResult.Succeeded)
  expect(harness.getReleases(spec.jobId)).toEqual([1, 1])
  expect(harness.countEnded(spec.jobId)).toBe(0)
  scheduler.stop()
})

test('a non-repeatable job whose result was unknown has failed once its failure is reported', async () => {
  const harness = createSchedulerHarness(4, '')
  const scheduler = await startScheduler(harness)
  const spec = createJobSpec('payment', { repeatable: false, command: ['fail', String(runMs)] })
  const [workerId = ''] = await loseWorkers(harness, scheduler, spec)
  expect(await getResult(scheduler, spec.jobId)).toBe(JobResult.Unknown)
  harness.setCutOff(workerId, false)
  await run(1_500)
  expect(await getResult(scheduler, spec.jobId)).toBe(JobResult.Failed)
  scheduler.stop()
})

// Guards against a success that is lost because the members are reported one after the other, each beside members that are not known to have ended.
test('a gang has succeeded when its lost members are reported one after the other, also to different schedulers', async () => {
  const harness = createSchedulerHarness(6, '')
  const first = await startScheduler(harness)
  const spec = createJobSpec('gang', { members: 2, repeatable: false, command })
  const [one = '', other = ''] = await loseWorkers(harness, first, spec)
  harness.setCutOff(one, false)
  await run(3_000)
  expect(await getResult(first, spec.jobId)).toBe(JobResult.Unknown)
  expect(harness.countEnded(spec.jobId)).toBe(1)
  first.stop()
  const second = await startScheduler(harness)
  await run(3_000)
  harness.setCutOff(other, false)
  await run(10_000)
  expect(await getResult(second, spec.jobId)).toBe(JobResult.Succeeded)
  expect(harness.getReleases(spec.jobId)).toEqual([1, 1])
  second.stop()
})

// Guards against an acknowledgement before the result is stored: the worker discards the end, and the next scheduler does not learn of it.
test.each([true, false])('a late success that could not be stored is reported again to the next scheduler (repeatable: %s)', async repeatable => {
  const harness = createSchedulerHarness(4, '')
  const first = await startScheduler(harness)
  const spec = createJobSpec('job', { repeatable, command })
  const [workerId = ''] = await loseWorkers(harness, first, spec)
  harness.setStoreDown(true)
  harness.setCutOff(workerId, false)
  await run(3_000)
  expect(await getResult(first, spec.jobId)).toBe(JobResult.Succeeded)
  harness.discardSharedRecords()
  first.stop()
  harness.setStoreDown(false)
  const second = await startScheduler(harness)
  await run(2_500)
  expect(await getResult(second, spec.jobId)).toBe(JobResult.Succeeded)
  expect(harness.getReleases(spec.jobId)).toEqual([repeatable ? 2 : 1])
  expect(harness.countLiveTasks()).toBe(0)
  second.stop()
})

// Guards against an acknowledgement with an earlier change of the record, while the later run is being stopped.
test('the end of a lost task is not acknowledged with the record of the loss', async () => {
  const harness = createSchedulerHarness(4, '')
  const scheduler = await startScheduler(harness)
  const spec = createJobSpec('job', { command })
  await scheduler.submit(spec)
  await run(1_500)
  const [lostWorkerId = ''] = (await scheduler.get(spec.jobId, 0))?.workers ?? []
  harness.setCutOff(lostWorkerId, true)
  await run(2_000)
  harness.setStoreDown(true)
  await run(cutMs - 2_000)
  const [laterWorkerId = ''] = (await scheduler.get(spec.jobId, 0))?.workers ?? []
  expect(harness.countRunning(spec.jobId)).toBe(1)
  // The later run cannot be stopped.
  harness.setCutOff(laterWorkerId, true)
  harness.setCutOff(lostWorkerId, false)
  await run(1_500)
  harness.setStoreDown(false)
  await run(2_500)
  expect(await getResult(scheduler, spec.jobId)).toBeUndefined()
  expect(scheduler.getStatus().unwrittenRecords).toBe(0)
  expect(harness.workers.get(lostWorkerId)?.getTasks().length).toBe(1)
  await run(10_000)
  expect(await getResult(scheduler, spec.jobId)).toBe(JobResult.Succeeded)
  harness.setCutOff(laterWorkerId, false)
  await run(5_000)
  expect(harness.workers.get(lostWorkerId)?.getTasks()).toEqual([])
  scheduler.stop()
})

// Guards against a successor that continues the later run of a job of which an earlier one has succeeded.
test.each([false, true])('a scheduler that takes over ends a job whose earlier attempt has succeeded, and stops its later run (store down at the takeover: %s)', async isStoreDown => {
  const harness = createSchedulerHarness(4, '')
  const first = await startScheduler(harness)
  const spec = createJobSpec('job', { command })
  const [workerId = ''] = await loseWorkers(harness, first, spec)
  first.stop()
  harness.setCutOff(workerId, false)
  harness.setStoreDown(isStoreDown)
  const second = await startScheduler(harness)
  await run(1_000)
  harness.setStoreDown(false)
  await run(2_300)
  expect(await getResult(second, spec.jobId)).toBe(JobResult.Succeeded)
  expect(harness.countLiveTasks()).toBe(0)
  await run(3_000)
  expect(harness.countEnded(spec.jobId)).toBe(0)
  second.stop()
})

// Guards against a late success that replaces what a caller has asked for and been told.
test('a job that was cancelled while its workers were lost stays cancelled', async () => {
  const harness = createSchedulerHarness(4, '')
  const scheduler = await startScheduler(harness)
  const spec = createJobSpec('job', { command })
  const [workerId = ''] = await loseWorkers(harness, scheduler, spec)
  await scheduler.cancel(spec.jobId)
  await run(1_000)
  harness.setCutOff(workerId, false)
  await run(5_000)
  expect(await getResult(scheduler, spec.jobId)).toBe(JobResult.Cancelled)
  expect(harness.countEnded(spec.jobId)).toBe(0)
  scheduler.stop()
})

const failingCommand = ['fail', String(runMs)]

/** Runs until the job has ended, at most for `limitMs`, and checks that it has failed. */
async function waitForFailure (scheduler: Scheduler, jobId: string, limitMs = 60_000): Promise<void> {
  for (let waitedMs = 0; waitedMs < limitMs && await getResult(scheduler, jobId) === undefined; waitedMs += 500) await run(500)
  expect(await getResult(scheduler, jobId)).toBe(JobResult.Failed)
}

/** Waits until a job of one member runs on another worker than those that are cut off. */
async function waitForWorker (harness: SchedulerHarness, scheduler: Scheduler, jobId: string, cutOff: readonly string[]): Promise<string> {
  for (let waitedMs = 0; waitedMs < 20_000; waitedMs += 100) {
    await run(100)
    const [workerId = ''] = (await scheduler.get(jobId, 0))?.workers ?? []
    if (workerId !== '' && !cutOff.includes(workerId) && harness.countRunning(jobId) === 1) return workerId
  }
  throw new Error('the job does not run on another worker')
}

// Guards against a repeatable job that runs once more for each failure that is read late. A job fails after failures on three workers.
test.each([1, 2])('a late failure counts once among the failures of a repeatable job (members: %i)', async members => {
  const harness = createSchedulerHarness(8, '')
  const scheduler = await startScheduler(harness)
  const spec = createJobSpec('job', { members, acceleratorsPerMember: 8, command: failingCommand })
  for (const workerId of await loseWorkers(harness, scheduler, spec)) {
    harness.setCutOff(workerId, false)
    await run(1_000)
  }
  await waitForFailure(scheduler, spec.jobId)
  expect(harness.getReleases(spec.jobId)).toEqual(Array.from({ length: members }, () => 3))
  await run(5_000)
  expect(harness.countEnded(spec.jobId)).toBe(0)
  scheduler.stop()
})

// Guards against failures that a new scheduler counts from the start, so that a faulty job runs again after each takeover.
test('the failures of a repeatable job, also late ones, count after a takeover', async () => {
  const harness = createSchedulerHarness(6, '')
  const first = await startScheduler(harness)
  const spec = createJobSpec('job', { command: failingCommand })
  const [workerId = ''] = await loseWorkers(harness, first, spec)
  harness.setCutOff(workerId, false)
  for (let waitedMs = 0; waitedMs < 10_000 && (harness.getReleases(spec.jobId)[0] ?? 0) < 3; waitedMs += 500) await run(500)
  await run(1_500)
  expect(harness.countEnded(spec.jobId)).toBe(0)
  first.stop()
  const second = await startScheduler(harness)
  await waitForFailure(second, spec.jobId)
  expect(harness.getReleases(spec.jobId)).toEqual([3])
  second.stop()
})

// Guards against an acknowledgement before the failure is stored: the worker discards the end, and the next scheduler does not learn of it.
test('a late failure that could not be stored is reported again to the next scheduler', async () => {
  const harness = createSchedulerHarness(6, '')
  const first = await startScheduler(harness)
  const spec = createJobSpec('job', { command: failingCommand })
  const [workerId = ''] = await loseWorkers(harness, first, spec)
  harness.setStoreDown(true)
  harness.setCutOff(workerId, false)
  await run(2_000)
  expect(harness.workers.get(workerId)?.getTasks().length).toBe(1)
  harness.discardSharedRecords()
  first.stop()
  harness.setStoreDown(false)
  const second = await startScheduler(harness)
  await waitForFailure(second, spec.jobId)
  expect(harness.getReleases(spec.jobId)).toEqual([3])
  expect(harness.workers.get(workerId)?.getTasks()).toEqual([])
  second.stop()
})

// Guards against a faulty job that starts again because its last failures were read while a later attempt was running.
test.each([false, true])('a repeatable job is not started again after late failures on three workers (after a takeover: %s)', async isTakenOver => {
  const harness = createSchedulerHarness(8, '')
  const first = await startScheduler(harness)
  const spec = createJobSpec('job', { command: failingCommand })
  await first.submit(spec)
  const lost: string[] = []
  for (let attempt = 1; attempt <= 3; attempt++) {
    const workerId = await waitForWorker(harness, first, spec.jobId, lost)
    lost.push(workerId)
    harness.setCutOff(workerId, true)
  }
  const laterWorkerId = await waitForWorker(harness, first, spec.jobId, lost)
  for (const workerId of lost) harness.setCutOff(workerId, false)
  await run(1_500)
  // The later attempt may succeed, so it is not stopped.
  expect(harness.countRunning(spec.jobId)).toBe(1)
  harness.setCutOff(laterWorkerId, true)
  if (isTakenOver) first.stop()
  const scheduler = isTakenOver ? await startScheduler(harness) : first
  await waitForFailure(scheduler, spec.jobId)
  await run(2_000)
  expect(harness.getReleases(spec.jobId)).toEqual([4])
  scheduler.stop()
})

// Guards against a lasting result `unknown` of a job whose failure was reported before a new scheduler had heard from all workers.
test('a non-repeatable job has failed if its failure is reported after the takeover, before its worker is taken for lost', async () => {
  const harness = createSchedulerHarness(4, '')
  const first = await startScheduler(harness)
  const spec = createJobSpec('payment', { repeatable: false, command: failingCommand })
  await first.submit(spec)
  await run(1_500)
  const [workerId = ''] = (await first.get(spec.jobId, 0))?.workers ?? []
  harness.setCutOff(workerId, true)
  first.stop()
  const second = harness.startScheduler()
  await run(6_000)
  expect(second.getStatus().isRecovered).toBe(true)
  expect(await getResult(second, spec.jobId)).toBeUndefined()
  harness.setCutOff(workerId, false)
  await run(10_000)
  expect(await getResult(second, spec.jobId)).toBe(JobResult.Failed)
  second.stop()
})
