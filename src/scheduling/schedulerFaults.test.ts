/** The guarantees of the scheduler under failures of workers and of the store, and under mass cancellation. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { ErrorKind } from '../errors/errorKinds.js'
import { createSchedulerHarness, createJobSpec } from '../testing/schedulerHarness.js'
import type { SchedulerHarness } from '../testing/schedulerHarness.js'
import { JobResult } from './jobTypes.js'
import type { JobView } from './jobViews.js'
import type { Scheduler } from './scheduler.js'

const maxUrgentStartMs = 2_900
const guaranteeRule = 'guarantee mill/plan domain=harju accelerators=32 cells=1 # test'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

async function startScheduler (harness: SchedulerHarness): Promise<Scheduler> {
  const scheduler = harness.startScheduler()
  await jest.advanceTimersByTimeAsync(200)
  return scheduler
}

async function getJob (scheduler: Scheduler, jobId: string): Promise<JobView | undefined> {
  return await scheduler.get(jobId, 0)
}

test('no member of a gang is released while another member cannot be held', async () => {
  const harness = createSchedulerHarness(4, guaranteeRule)
  const scheduler = await startScheduler(harness)
  harness.setCutOff('w002', true)
  const spec = createJobSpec('gang', { members: 4 })
  await scheduler.submit(spec)
  for (let step = 0; step < 40; step++) {
    await jest.advanceTimersByTimeAsync(100)
    expect(harness.getReleases(spec.jobId)).toEqual([])
  }
  harness.setCutOff('w002', false)
  await jest.advanceTimersByTimeAsync(40_000)
  expect((await getJob(scheduler, spec.jobId))?.result).toBe(JobResult.Succeeded)
  scheduler.stop()
})

test('a non-repeatable gang is never released again after its workers and its scheduler are lost', async () => {
  const harness = createSchedulerHarness(4, guaranteeRule)
  const first = await startScheduler(harness)
  const spec = createJobSpec('refund-run', { members: 4, repeatable: false })
  await first.submit(spec)
  await jest.advanceTimersByTimeAsync(2_000)
  expect(harness.countRunning(spec.jobId)).toBe(4)
  first.stop()
  for (const worker of harness.workers.values()) worker.restart()
  const second = await startScheduler(harness)
  await jest.advanceTimersByTimeAsync(60_000)
  expect((await getJob(second, spec.jobId))?.result).toBe(JobResult.Unknown)
  expect(harness.getReleases(spec.jobId)).toEqual([1, 1, 1, 1])
  second.stop()
})

test.each([[['run', '60000']], [['run', '60000', 'ignore-checkpoint']]])('an urgent job preempts the jobs on its guaranteed accelerators in time (command of these jobs: %s)', async command => {
  const harness = createSchedulerHarness(8, guaranteeRule)
  const scheduler = await startScheduler(harness)
  const borrowers = Array.from({ length: 16 }, (_, index) => createJobSpec(`b${index}`, { organisation: 'haul', acceleratorsPerMember: 4, command }))
  for (const spec of borrowers) await scheduler.submit(spec)
  await jest.advanceTimersByTimeAsync(3_000)
  expect(scheduler.getStatus().usage.borrowed).toBe(64)
  const urgent = createJobSpec('urgent', { members: 4, urgent: true, command: ['run', '1000'] })
  await scheduler.submit(urgent)
  await jest.advanceTimersByTimeAsync(maxUrgentStartMs)
  expect(harness.countRunning(urgent.jobId) + harness.getReleases(urgent.jobId).length).toBeGreaterThanOrEqual(4)
  const view = await getJob(scheduler, urgent.jobId)
  expect((view?.startedAtMs ?? Infinity) - urgent.submittedAtMs).toBeLessThanOrEqual(maxUrgentStartMs)
  await jest.advanceTimersByTimeAsync(200_000)
  for (const spec of borrowers) expect((await getJob(scheduler, spec.jobId))?.result).toBe(JobResult.Succeeded)
  scheduler.assertInvariants()
  scheduler.stop()
})

test('no task keeps running and no accelerators leak after 2,000 jobs are cancelled', async () => {
  const harness = createSchedulerHarness(16, guaranteeRule)
  const scheduler = await startScheduler(harness)
  const specs = Array.from({ length: 2_000 }, (_, index) => createJobSpec(`c${index}`, {
    organisation: index % 2 === 0 ? 'mill' : 'haul', members: 1 + index % 4, acceleratorsPerMember: 2, command: ['run', '600000']
  }))
  await Promise.all(specs.map(spec => scheduler.submit(spec)))
  for (const spec of specs) void scheduler.cancel(spec.jobId)
  for (const spec of specs) void scheduler.cancel(spec.jobId)
  await jest.advanceTimersByTimeAsync(20_000)
  expect(harness.countLiveTasks()).toBe(0)
  expect(scheduler.getStatus()).toMatchObject({ running: 0, waiting: 0, usage: { inUse: 0 } })
  const results = await Promise.all(specs.map(spec => getJob(scheduler, spec.jobId)))
  expect(results.filter(view => view?.result !== JobResult.Cancelled)).toEqual([])
  scheduler.assertInvariants()
  scheduler.stop()
})

test('with the store unavailable, jobs continue and guarantees are reclaimed; the results are recorded afterwards', async () => {
  const harness = createSchedulerHarness(8, guaranteeRule)
  const scheduler = await startScheduler(harness)
  const borrowers = Array.from({ length: 8 }, (_, index) => createJobSpec(`b${index}`, { organisation: 'haul', command: ['run', '15000'] }))
  for (const spec of borrowers) await scheduler.submit(spec)
  await jest.advanceTimersByTimeAsync(2_000)
  harness.setStoreDown(true)
  const urgent = createJobSpec('urgent', { members: 4, urgent: true, command: ['run', '5000'] })
  const submitted = scheduler.submit(urgent)
  await jest.advanceTimersByTimeAsync(5_000)
  expect((await submitted).state).toBe('running')
  const rejection = scheduler.submit(createJobSpec('too-much', { organisation: 'haul', members: 8 })).catch((error: { kind: ErrorKind }) => error.kind)
  await jest.advanceTimersByTimeAsync(6_000)
  expect(await rejection).toBe(ErrorKind.StoreUnavailable)
  expect(harness.getReleases('harju:too-much')).toEqual([])
  await jest.advanceTimersByTimeAsync(60_000)
  expect((await getJob(scheduler, urgent.jobId))?.result).toBe(JobResult.Succeeded)
  harness.setStoreDown(false)
  await jest.advanceTimersByTimeAsync(5_000)
  expect(scheduler.getStatus().unwrittenRecords).toBe(0)
  scheduler.stop()
  const second = await startScheduler(harness)
  for (const spec of [...borrowers, urgent]) expect((await getJob(second, spec.jobId))?.result).toBe(JobResult.Succeeded)
  expect(harness.countLiveTasks()).toBe(0)
  second.stop()
})

test('a job that is accepted while the store is unavailable survives a failure of its scheduler', async () => {
  const harness = createSchedulerHarness(8, guaranteeRule)
  const first = await startScheduler(harness)
  harness.setStoreDown(true)
  const spec = createJobSpec('outage', { members: 4, command: ['run', '20000'] })
  const submitted = first.submit(spec)
  await jest.advanceTimersByTimeAsync(3_000)
  expect((await submitted).state).toBe('running')
  first.stop()
  const second = await startScheduler(harness)
  await jest.advanceTimersByTimeAsync(3_000)
  expect((await getJob(second, spec.jobId))?.state).toBe('running')
  expect(harness.countRunning(spec.jobId)).toBe(4)
  harness.setStoreDown(false)
  await jest.advanceTimersByTimeAsync(40_000)
  expect((await getJob(second, spec.jobId))?.result).toBe(JobResult.Succeeded)
  expect(harness.getReleases(spec.jobId)).toEqual([1, 1, 1, 1])
  second.stop()
})

test('a worker on which every task fails is quarantined without failing a job, and failing jobs quarantine no other worker', async () => {
  const harness = createSchedulerHarness(8, '')
  const scheduler = await startScheduler(harness)
  harness.workers.get('w003')?.setFailEverything(true)
  const good = Array.from({ length: 24 }, (_, index) => createJobSpec(`g${index}`, { acceleratorsPerMember: 8, command: ['run', '2000'] }))
  for (const spec of good) await scheduler.submit(spec)
  await jest.advanceTimersByTimeAsync(40_000)
  for (const spec of good) expect((await getJob(scheduler, spec.jobId))?.result).toBe(JobResult.Succeeded)
  expect(scheduler.getStatus().quarantined.map(worker => worker.workerId)).toEqual(['w003'])
  const bad = Array.from({ length: 40 }, (_, index) => createJobSpec(`bad${index}`, { acceleratorsPerMember: 2, command: ['fail', '500'] }))
  for (const spec of bad) await scheduler.submit(spec)
  for (let second = 0; second < 40; second++) {
    await jest.advanceTimersByTimeAsync(1_000)
    expect(scheduler.getStatus().quarantined.filter(worker => worker.workerId !== 'w003')).toEqual([])
  }
  for (const spec of bad) expect((await getJob(scheduler, spec.jobId))?.result).toBe(JobResult.Failed)
  harness.workers.get('w003')?.setFailEverything(false)
  await jest.advanceTimersByTimeAsync(120_000)
  expect(scheduler.getStatus().quarantined).toEqual([])
  scheduler.stop()
})

test('a job that can never run is rejected at submission', async () => {
  const harness = createSchedulerHarness(8, 'quota haul accelerators=16 # test')
  const scheduler = await startScheduler(harness)
  const submitRejected = async (changes: Parameters<typeof createJobSpec>[1]): Promise<unknown> =>
    await scheduler.submit(createJobSpec('never', changes)).catch((error: { kind: ErrorKind }) => error.kind)
  expect(await submitRejected({ members: 16 })).toBe(ErrorKind.JobImpossible)
  expect(await submitRejected({ processorsPerMember: 65 })).toBe(ErrorKind.JobImpossible)
  expect(await submitRejected({ memoryBytesPerMember: 2 ** 39 })).toBe(ErrorKind.JobImpossible)
  expect(await submitRejected({ organisation: 'haul', members: 3 })).toBe(ErrorKind.JobImpossible)
  expect(await submitRejected({ organisation: 'nobody' })).toBe(ErrorKind.Forbidden)
  expect(harness.countLiveTasks()).toBe(0)
  scheduler.stop()
})

test('after the loss of a worker, the status shows the guarantee that can no longer be satisfied; other guarantees are not affected', async () => {
  const harness = createSchedulerHarness(8, 'guarantee mill/plan domain=harju accelerators=32 cells=1 # a\nguarantee haul/day domain=harju accelerators=32 cells=1 # b')
  const scheduler = await startScheduler(harness)
  expect(scheduler.getStatus().shortages).toEqual([])
  harness.setCutOff('w001', true)
  await jest.advanceTimersByTimeAsync(12_000)
  expect(scheduler.getStatus().shortages).toEqual([{ guaranteeId: 'haul/day', organisation: 'haul', acceleratorsPerCell: 32, missingCells: 1 }])
  const spec = createJobSpec('plan', { members: 4, urgent: true, command: ['run', '1000'] })
  await scheduler.submit(spec)
  await jest.advanceTimersByTimeAsync(6_000)
  expect((await getJob(scheduler, spec.jobId))?.result).toBe(JobResult.Succeeded)
  harness.setCutOff('w001', false)
  await jest.advanceTimersByTimeAsync(12_000)
  expect(scheduler.getStatus().shortages).toEqual([])
  scheduler.stop()
})

test('the end of a job is reported again to the next scheduler if it could not be recorded', async () => {
  const harness = createSchedulerHarness(4, guaranteeRule)
  const first = await startScheduler(harness)
  const spec = createJobSpec('settlement', { members: 2, repeatable: false, command: ['run', '4000'] })
  await first.submit(spec)
  await jest.advanceTimersByTimeAsync(2_000)
  harness.setStoreDown(true)
  await jest.advanceTimersByTimeAsync(8_000)
  expect((await getJob(first, spec.jobId))?.result).toBe(JobResult.Succeeded)
  harness.discardSharedRecords()
  first.stop()
  harness.setStoreDown(false)
  const second = await startScheduler(harness)
  await jest.advanceTimersByTimeAsync(10_000)
  expect((await getJob(second, spec.jobId))?.result).toBe(JobResult.Succeeded)
  second.stop()
})

test('members on a worker that restarts before its first response to a new scheduler are lost', async () => {
  const harness = createSchedulerHarness(4, guaranteeRule)
  harness.setRenewalsDropped(true)
  const scheduler = harness.startScheduler()
  await jest.advanceTimersByTimeAsync(2_000)
  const spec = createJobSpec('gang', { members: 4, repeatable: false, command: ['run', '3000'] })
  await scheduler.submit(spec)
  await jest.advanceTimersByTimeAsync(200)
  expect(harness.countRunning(spec.jobId)).toBe(4)
  harness.workers.get('w001')?.restart()
  harness.setRenewalsDropped(false)
  await jest.advanceTimersByTimeAsync(20_000)
  expect((await getJob(scheduler, spec.jobId))?.result).toBe(JobResult.Unknown)
  scheduler.stop()
})

test('a job that was rejected while the store was unavailable is not run by the next scheduler', async () => {
  const harness = createSchedulerHarness(4, guaranteeRule)
  const first = await startScheduler(harness)
  const holder = createJobSpec('holder', { members: 4, command: ['run', '20000'] })
  await first.submit(holder)
  await jest.advanceTimersByTimeAsync(1_000)
  harness.setStoreDown(true)
  const spec = createJobSpec('refused', { organisation: 'haul', members: 4 })
  let kind: ErrorKind | undefined
  void first.submit(spec).catch((error: { kind: ErrorKind }) => {
    kind = error.kind
    first.stop()
  })
  await jest.advanceTimersByTimeAsync(6_000)
  expect(kind).toBe(ErrorKind.StoreUnavailable)
  harness.setStoreDown(false)
  const second = await startScheduler(harness)
  await jest.advanceTimersByTimeAsync(60_000)
  expect(harness.getReleases(spec.jobId)).toEqual([])
  expect((await getJob(second, holder.jobId))?.result).toBe(JobResult.Succeeded)
  second.stop()
})

test('members placed on a worker after its restart are not considered lost', async () => {
  const harness = createSchedulerHarness(4, guaranteeRule)
  const scheduler = await startScheduler(harness)
  harness.workers.get('w001')?.restart()
  const spec = createJobSpec('gang', { members: 4, command: ['run', '5000'] })
  await scheduler.submit(spec)
  for (let step = 0; step < 80; step++) {
    await jest.advanceTimersByTimeAsync(100)
    expect(harness.getRunningAttempts(spec.jobId).size).toBeLessThanOrEqual(1)
  }
  expect(harness.getReleases(spec.jobId)).toEqual([1, 1, 1, 1])
  expect((await getJob(scheduler, spec.jobId))?.result).toBe(JobResult.Succeeded)
  scheduler.stop()
})

test('a job that can no longer be placed ends, with the result `not-run` only if it never ran', async () => {
  const harness = createSchedulerHarness(4, 'guarantee mill/plan domain=harju accelerators=32 cells=1 # test')
  const scheduler = await startScheduler(harness)
  const ran = createJobSpec('ran', { members: 4, command: ['run', '60000'] })
  await scheduler.submit(ran)
  await jest.advanceTimersByTimeAsync(2_000)
  const waits = createJobSpec('waits', { members: 4, organisation: 'haul' })
  await scheduler.submit(waits)
  expect(harness.countRunning(ran.jobId)).toBe(4)
  harness.removeWorker('w001')
  for (let second = 0; second < 30; second++) {
    scheduler.refresh()
    await jest.advanceTimersByTimeAsync(1_000)
  }
  expect((await getJob(scheduler, ran.jobId))?.result).toBe(JobResult.Interrupted)
  expect((await getJob(scheduler, waits.jobId))?.result).toBe(JobResult.NotRun)
  expect(harness.getReleases(waits.jobId)).toEqual([])
  scheduler.stop()
})

// The end was acknowledged without being used, so that the job was shown as running for good.
test('a task that ends between the first report of its worker and the end of the takeover is not taken for running', async () => {
  const harness = createSchedulerHarness(4, '')
  const first = await startScheduler(harness)
  const spec = createJobSpec('short', { command: ['run', '2000'] })
  await first.submit(spec)
  await jest.advanceTimersByTimeAsync(2_200)
  first.stop()
  // The takeover waits for a worker that does not answer.
  const [idleWorkerId = ''] = [...harness.workers.keys()].filter(workerId => harness.workers.get(workerId)?.getTasks().length === 0)
  harness.setCutOff(idleWorkerId, true)
  const second = await startScheduler(harness)
  expect(harness.countRunning(spec.jobId)).toBe(1)
  await jest.advanceTimersByTimeAsync(1_000)
  expect(second.getStatus().isRecovered).toBe(false)
  expect(harness.countRunning(spec.jobId)).toBe(0)
  await jest.advanceTimersByTimeAsync(10_000)
  expect((await getJob(second, spec.jobId))?.result).toBe(JobResult.Succeeded)
  expect(harness.countEnded(spec.jobId)).toBe(0)
  second.stop()
})
