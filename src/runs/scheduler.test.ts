/** The scheduler under failures: each test reproduces a fault that was found on the users' platform. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, harnessCapacity, makeJob, makeStep, harnessConfiguration } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
const { run, submit, getState, waitForState } = createPoolSteps(() => harness)

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

async function startHarness (options: PoolHarnessOptions, hosts = 2): Promise<void> {
  harness = createPoolHarness(options)
  for (let index = 0; index < hosts; index++) {
    harness.addHost(`host-${index}`)
    await run(300)
  }
}

function getLeader (): string {
  return harness.store.peek('leader/scheduler') ?? ''
}

test('the steps of a job run in order, and each task runs once', async () => {
  await startHarness({ workers: 2 })
  await submit(makeJob('a', 'batch', [makeStep({ count: 3 }), makeStep({ count: 2, after: [0] })]))
  await waitForState('a', JobState.Complete, 5_000)
  expect([...harness.poolState.starts.values()]).toEqual([1, 1, 1, 1, 1])
  expect(harness.poolState.violations).toEqual([])
  expect(harness.poolState.incompleteGangEnds).toEqual([])
})

test('ended runs that a dead scheduler has not stored are found by its successor before it starts anything', async () => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 700, how: EndKind.Done }), maxLeaseMs: 6_000 })
  await submit(makeJob('a', 'batch', [makeStep({ count: 6 })]))
  await run(400)
  harness.hosts.get(getLeader())?.crash()
  await waitForState('a', JobState.Complete, 8_000)
  expect([...harness.poolState.starts.values()].every(starts => starts === 1)).toBe(true)
  expect(harness.poolState.violations).toEqual([])
})

test('workers that are missing from the list during a takeover are connected when they are listed again', async () => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 4_000, how: EndKind.Done }), maxLeaseMs: 6_000 })
  await submit(makeJob('a', 'batch', [makeStep({ count: 4 })]))
  await run(300)
  for (const workerId of harness.workers.keys()) harness.setListed(workerId, false)
  harness.hosts.get(getLeader())?.crash()
  await run(3_000)
  for (const workerId of harness.workers.keys()) harness.setListed(workerId, true)
  await waitForState('a', JobState.Complete, 8_000)
  expect([...harness.poolState.starts.values()]).toEqual([1, 1, 1, 1])
  await submit(makeJob('b', 'batch', [makeStep({ count: 4 })]))
  await waitForState('b', JobState.Complete, 8_000)
})

test('a planned attempt that waits for free capacity is not started on a worker that has begun to drain', async () => {
  await startHarness({ workers: 1, getRun: task => ({ workMs: task.startsWith('a') ? 5_000 : 300, how: EndKind.Done }) })
  const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  await submit(makeJob('a', 'batch', [makeStep({ request: wholeWorker, estimateMs: 5_000 })]))
  await run(200)
  // The worker begins to drain while the stop of the batch task is still pending.
  harness.workers.get('worker-0')?.setUnreachable(true)
  await submit(makeJob('b', 'urgent', [makeStep({ request: wholeWorker, estimateMs: 300 })]))
  harness.setDraining('worker-0', true)
  harness.workers.get('worker-0')?.setUnreachable(false)
  await run(2_000)
  expect(harness.poolState.starts.get('b.0.0.0')).toBeUndefined()
  harness.setDraining('worker-0', false)
  await waitForState('b', JobState.Complete, 5_000)
})

test('a gang that fits only on one whole rack is placed although small jobs keep arriving', async () => {
  await startHarness({ workers: 4, getRun: task => ({ workMs: task.startsWith('s') ? 900 : 500, how: EndKind.Done }) })
  for (let index = 0; index < 12; index++) await submit(makeJob(`s${index}`, 'batch', [makeStep({ count: 2, estimateMs: 900 })]))
  await submit(makeJob('gang', 'batch', [makeStep({ count: 4, isGang: true, isSameRack: true, request: { cpuMilli: 8_000, memoryMb: 8_000, accelerators: 8 } })]))
  for (let index = 12; index < 30; index++) {
    await submit(makeJob(`s${index}`, 'batch', [makeStep({ count: 2, estimateMs: 900 })]))
    await run(150)
  }
  await waitForState('gang', JobState.Complete, 4_000)
  expect(harness.poolState.violations).toEqual([])
  expect(harness.poolState.incompleteGangEnds).toEqual([])
})

test('a start that a worker executes late does not use capacity that other tasks have been given', async () => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 400, how: EndKind.Done }) })
  const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  for (const worker of harness.workers.values()) worker.delayStarts(4, 2_500)
  await submit(...['a', 'b', 'c', 'd'].map(jobId => makeJob(jobId, 'batch', [makeStep({ request: wholeWorker })])))
  for (const jobId of ['a', 'b', 'c', 'd']) await waitForState(jobId, JobState.Complete, 10_000)
  expect(harness.poolState.violations).toEqual([])
})

test('tasks of an unreachable worker are not started elsewhere before its lease has certainly expired', async () => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 2_500, how: EndKind.Done }), maxLeaseMs: 3_000 })
  await submit(makeJob('a', 'batch', [makeStep({ count: 4 })]))
  await run(300)
  harness.workers.get('worker-0')?.setUnreachable(true)
  await waitForState('a', JobState.Complete, 12_000)
  expect(harness.poolState.violations).toEqual([])
})

test('a cancelled job is stopped, and its state is cancelled', async () => {
  await startHarness({ workers: 1, getRun: () => ({ workMs: 5_000, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep({ count: 3 })]))
  const [host] = harness.hosts.values()
  const cancelled = host?.intake.cancel('a', performance.now() + 3_000)
  await run(50)
  expect(await cancelled).toBe(true)
  await run(1_000)
  expect(getState('a')).toBe(JobState.Cancelled)
  expect([...harness.poolState.running.values()].flat()).toEqual([])
})

test('a task that reaches the attempt limit of its queue fails its job and is not started again', async () => {
  await startHarness({ workers: 3, getRun: () => ({ workMs: 100, how: EndKind.Failed }) })
  await submit(makeJob('a', 'batch', [makeStep()]))
  await waitForState('a', JobState.Failed, 20_000)
  expect(harness.poolState.starts.get('a.0.0.0')).toBe(3)
})

test('tasks on a stalled worker are moved', async () => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 1_500, how: EndKind.Done }) })
  harness.workers.get('worker-0')?.setStalled(true)
  harness.workers.get('worker-1')?.setStalled(false)
  await submit(makeJob('a', 'batch', [makeStep({ count: 10, estimateMs: 1_500 })]))
  await waitForState('a', JobState.Complete, 12_000)
  expect(harness.poolState.violations).toEqual([])
})

test('a scheduler that cannot reach most workers resigns, and another host takes over', async () => {
  await startHarness({ workers: 4, getRun: () => ({ workMs: 20_000, how: EndKind.Done }) })
  const firstLeader = getLeader()
  const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  await submit(makeJob('long', 'batch', [makeStep({ count: 4, request: wholeWorker, estimateMs: 20_000 })]))
  await run(500)
  for (const worker of harness.workers.values()) worker.setUnreachable(true)
  const leaders = new Set<string>()
  for (let elapsedMs = 0; elapsedMs < 7_000; elapsedMs += 100) {
    await run(100)
    leaders.add(getLeader())
  }
  for (const worker of harness.workers.values()) worker.setUnreachable(false)
  leaders.delete(firstLeader)
  leaders.delete('')
  expect(leaders.size).toBe(1)
  await waitForState('long', JobState.Complete, 40_000)
  expect(harness.poolState.violations).toEqual([])
})

test('a scheduler without a configuration does not fail jobs by an unknown attempt limit', async () => {
  const configured = new Set(['host-0'])
  await startHarness({
    workers: 2,
    maxLeaseMs: 6_000,
    getConfiguration: hostId => configured.has(hostId) ? harnessConfiguration : undefined,
    getRun: (_task, run) => ({ workMs: 800, how: run === 1 ? EndKind.Failed : EndKind.Done })
  })
  await submit(makeJob('a', 'batch', [makeStep({ count: 2 })], { attemptLimit: 1 }))
  await run(400)
  expect(getLeader()).toBe('host-0')
  harness.hosts.get('host-0')?.crash()
  await run(4_000)
  expect(getState('a')).toBe(JobState.Active)
  configured.add('host-1')
  await waitForState('a', JobState.Complete, 8_000)
})

test('an urgent job within its organisation\'s guarantee starts in time although urgent jobs of another organisation use all workers', async () => {
  const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  await startHarness({ workers: 4, getRun: task => ({ workMs: task.startsWith('wide') ? 20_000 : 500, how: EndKind.Done }) })
  await submit(makeJob('wide', 'urgent', [makeStep({ count: 4, request: wholeWorker, estimateMs: 20_000 })], { organisation: 'yard' }))
  await run(1_000)
  await submit(makeJob('reclaims', 'urgent', [makeStep({ count: 2, isGang: true, request: wholeWorker })]))
  await run(2_900)
  expect(harness.poolState.starts.get('reclaims.0.0.1')).toBe(1)
  // Beyond its own guarantee, an organisation does not preempt work of the same priority.
  await submit(makeJob('more', 'urgent', [makeStep({ count: 3, isGang: true, request: wholeWorker })]))
  await run(300)
  expect(harness.poolState.starts.get('more.0.0.0')).toBeUndefined()
  expect(harness.poolState.violations).toEqual([])
})

test.each([5_000, -5_000])('a guarantee is reclaimed in time although the clock of the accepting host is %i ms ahead', async aheadMs => {
  const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  await startHarness({ workers: 4, getRun: task => ({ workMs: task.startsWith('wide') ? 20_000 : 500, how: EndKind.Done }) })
  await submit(makeJob('wide', 'urgent', [makeStep({ count: 4, request: wholeWorker, estimateMs: 20_000 })], { organisation: 'yard' }))
  await run(1_000)
  await submit(makeJob('reclaims', 'urgent', [makeStep({ count: 2, isGang: true, request: wholeWorker })], { acceptedAtMs: Date.now() + aheadMs }))
  await run(2_900)
  expect(harness.poolState.starts.get('reclaims.0.0.1')).toBe(1)
})

test('a jump of the scheduling host\'s time of day makes no job look late or early', async () => {
  const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  await startHarness({ workers: 1, getRun: () => ({ workMs: 3_000, how: EndKind.Done }) })
  await submit(makeJob('first', 'batch', [makeStep({ request: wholeWorker, estimateMs: 3_000 })]))
  await submit(makeJob('second', 'batch', [makeStep({ request: wholeWorker, estimateMs: 3_000 })]))
  await run(500)
  jest.setSystemTime(Date.now() - 7_000)
  await submit(makeJob('third', 'batch', [makeStep({ request: wholeWorker, estimateMs: 3_000 })]))
  await waitForState('first', JobState.Complete, 6_000)
  await run(500)
  expect([...harness.poolState.starts.keys()]).toEqual(['first.0.0.0', 'second.0.0.0'])
  await waitForState('third', JobState.Complete, 9_000)
})

test('a job that can still meet its objective starts before an older one of its queue that is late', async () => {
  const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  // The objective of the batch queue is three times the run time and 3 s.
  await startHarness({ workers: 1, getRun: () => ({ workMs: 2_000, how: EndKind.Done }) })
  for (let index = 0; index < 6; index++) await submit(makeJob(`old${index}`, 'batch', [makeStep({ request: wholeWorker, estimateMs: 2_000 })]))
  await run(7_500)
  await submit(makeJob('new', 'batch', [makeStep({ request: wholeWorker, estimateMs: 2_000 })]))
  await waitForState('new', JobState.Complete, 9_000)
  expect(harness.poolState.starts.get('old5.0.0.0')).toBeUndefined()
  await waitForState('old5', JobState.Complete, 6_000)
})

test('a job waits when preempting for it would discard far more work than it needs', async () => {
  const wholeWorker = { cpuMilli: 64_000, memoryMb: 8_000, accelerators: 8 }
  await startHarness({ workers: 1, getRun: task => ({ workMs: task.startsWith('long') ? 14_000 : 300, how: EndKind.Done }) })
  await submit(makeJob('long', 'batch', [makeStep({ request: wholeWorker, estimateMs: 14_000 })]))
  await run(11_000)
  await submit(makeJob('small', 'urgent', [makeStep({ estimateMs: 300 })], { organisation: 'yard' }))
  await waitForState('long', JobState.Complete, 5_000)
  expect(harness.poolState.starts.get('long.0.0.0')).toBe(1)
  await waitForState('small', JobState.Complete, 2_000)
})

test('a gang whose start requests are lost on an idle worker that stays unreachable runs elsewhere', async () => {
  await startHarness({ workers: 3 })
  await submit(makeJob('before', 'batch', [makeStep({ count: 3, request: { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 } })]))
  await waitForState('before', JobState.Complete, 3_000)
  await run(2_000)
  harness.workers.get('worker-0')?.setUnreachable(true)
  await submit(makeJob('gang', 'batch', [makeStep({ count: 2, isGang: true, request: { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 } })]))
  await run(1_000)
  harness.setListed('worker-0', false)
  await waitForState('gang', JobState.Complete, 10_000)
  expect(harness.poolState.violations).toEqual([])
})

test('a run that starts on a worker which has restarted since it was planned is not started elsewhere', async () => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 2_000, how: EndKind.Done }) })
  await run(1_000)
  // The list still shows the old incarnations; their links are idle, so no poll has failed.
  for (const worker of harness.workers.values()) worker.restart()
  await submit(makeJob('a', 'batch', [makeStep({ count: 4, estimateMs: 2_000 })]))
  await run(500)
  for (const workerId of harness.workers.keys()) harness.setListed(workerId, true)
  await waitForState('a', JobState.Complete, 4_000)
  expect([...harness.poolState.starts.values()]).toEqual([1, 1, 1, 1])
  expect(harness.poolState.violations).toEqual([])
})

test('the list of workers alone does not end a run that has reached the new incarnation', async () => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 2_000, how: EndKind.Done }) })
  await run(1_000)
  for (const worker of harness.workers.values()) worker.restart()
  const submitted = harness.submit(makeJob('a', 'batch', [makeStep({ count: 4, estimateMs: 2_000 })]))
  for (let elapsedMs = 0; elapsedMs < 500 && harness.poolState.starts.size < 4; elapsedMs += 1) await jest.advanceTimersByTimeAsync(1)
  for (const workerId of harness.workers.keys()) harness.setListed(workerId, true)
  await submitted
  await waitForState('a', JobState.Complete, 4_000)
  expect([...harness.poolState.starts.values()]).toEqual([1, 1, 1, 1])
  expect(harness.poolState.violations).toEqual([])
})

test('runs of a worker that restarts under its id run again, also while the list shows its old incarnation', async () => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 2_000, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep({ count: 2, request: { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }, estimateMs: 2_000 })]))
  await run(1_000)
  const before = harness.poolState.starts.size
  harness.workers.get('worker-0')?.restart()
  await run(1_000)
  harness.setListed('worker-0', true)
  await waitForState('a', JobState.Complete, 6_000)
  expect(before).toBe(2)
  expect([...harness.poolState.starts.values()].sort()).toEqual([1, 2])
  expect(harness.poolState.violations).toEqual([])
})

test('ends of a new incarnation are not acknowledged before they have been read', async () => {
  await startHarness({ workers: 1, getRun: () => ({ workMs: 100, how: EndKind.Done }) })
  for (const jobId of ['a', 'b', 'c']) {
    await submit(makeJob(jobId, 'batch', [makeStep({ estimateMs: 100 })]))
    await waitForState(jobId, JobState.Complete, 2_000)
  }
  await run(2_000)
  harness.workers.get('worker-0')?.restart()
  harness.workers.get('worker-0')?.losePolls(400)
  await submit(makeJob('d', 'batch', [makeStep({ estimateMs: 100 })]))
  await waitForState('d', JobState.Complete, 3_000)
  expect(harness.poolState.starts.get('d.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

test('the status shows the term, the workers, waiting units and lent guarantees', async () => {
  const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  await startHarness({ workers: 3, getRun: () => ({ workMs: 4_000, how: EndKind.Done }) })
  harness.setDraining('worker-2', true)
  await submit(makeJob('mill-urgent', 'urgent', [makeStep({ request: wholeWorker, estimateMs: 4_000 })]))
  await submit(makeJob('long', 'batch', [makeStep({ count: 3, request: wholeWorker, estimateMs: 4_000 })]))
  await run(1_000)
  const status = harness.hosts.get(getLeader())?.getScheduler()?.getStatus()
  expect(status?.epoch).toBe(harness.hosts.get(getLeader())?.getTerm()?.epoch)
  expect(status?.workers).toEqual({ listed: 3, reachable: 3, draining: 1, heldBack: [] })
  expect(status?.waiting).toEqual([{ queue: 'batch', units: 2, oldestWaitMs: expect.any(Number) }])
  expect(status?.waiting[0]?.oldestWaitMs).toBeGreaterThan(900)
  expect(status?.guarantees).toEqual([{ organisation: 'mill', guaranteed: 16, usedByUrgentWork: 8, lentOut: 8 }])
})

test('a host that cannot read the stored jobs resigns, and a host that can read them takes over', async () => {
  await startHarness({ workers: 2 }, 3)
  const leader = getLeader()
  const [slow, ...others] = [...harness.hosts.keys()].filter(hostId => hostId !== leader)
  harness.store.setListsUnavailable(slow ?? '', true)
  harness.hosts.get(leader)?.crash()
  for (const hostId of others) harness.store.setUnavailable(true, hostId)
  await run(3_500)
  expect(getLeader()).toBe(slow)
  for (const hostId of others) harness.store.setUnavailable(false, hostId)
  await submit(makeJob('a', 'batch', [makeStep()]))
  await waitForState('a', JobState.Complete, 12_000)
  expect(others).toContain(getLeader())
})

test('a worker whose capacity shrinks gets no work beyond it, and all of it again when it grows', async () => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 1_500, how: EndKind.Done }) })
  const request = { cpuMilli: 16_000, memoryMb: 8_000, accelerators: 1 }
  await submit(makeJob('before', 'batch', [makeStep({ count: 8, request })]))
  await run(300)
  for (const workerId of ['worker-0', 'worker-1']) harness.setCapacity(workerId, { ...harnessCapacity, cpuMilli: 20_000 })
  await run(600)
  await submit(makeJob('small', 'batch', [makeStep({ count: 8, request })]), makeJob('large', 'batch', [makeStep({ request: { ...request, cpuMilli: 60_000 } })]))
  await waitForState('small', JobState.Complete, 12_000)
  expect(getState('large')).toBe(JobState.Queued)
  harness.setCapacity('worker-0', harnessCapacity)
  await waitForState('large', JobState.Complete, 4_000)
  expect(harness.poolState.violations).toEqual([])
})

test('an attempt planned on a worker that has shrunk since is placed on another one', async () => {
  const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  await startHarness({ workers: 2, getRun: task => ({ workMs: task.startsWith('batch') ? 8_000 : 1_500, how: EndKind.Done }) })
  await submit(makeJob('first', 'urgent', [makeStep({ request: wholeWorker, estimateMs: 1_500 })]))
  await submit(makeJob('batch', 'batch', [makeStep({ request: wholeWorker, estimateMs: 8_000, hasCheckpoints: true })]))
  await run(300)
  const batchWorker = harness.poolState.running.get('batch.0.0.0')?.[0]?.workerId ?? ''
  const submitted = harness.submit(makeJob('second', 'urgent', [makeStep({ request: wholeWorker, estimateMs: 1_500 })]))
  await run(30)
  await submitted
  harness.setCapacity(batchWorker, { ...harnessCapacity, accelerators: 4 })
  await waitForState('second', JobState.Complete, 6_000)
  expect(harness.poolState.violations).toEqual([])
})

test('nothing starts by a list of workers that cannot be read any more', async () => {
  await startHarness({ workers: 2 })
  harness.setListStale(true)
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(3_000)
  expect(harness.poolState.starts.size).toBe(0)
  harness.setListStale(false)
  await waitForState('a', JobState.Complete, 2_000)
})

// The limit counted the workers of all services: each worker of a small service was quarantined at once, and accepted work waited although they were free.
test('work of a small service is placed while some of its workers are quarantined', async () => {
  const getRun = (task: string, number: number): { workMs: number, how: EndKind } => ({ workMs: 300, how: task.startsWith('small') && number === 1 ? EndKind.Failed : EndKind.Done })
  const configuration = { ...harnessConfiguration, queues: harnessConfiguration.queues.map(queue => queue.name === 'batch' ? { ...queue, service: 'few' } : queue) }
  await startHarness({ workers: 12, getService: index => index < 9 ? 'pool' : 'few', getRun, getConfiguration: () => configuration }, 1)
  const request = { ...harnessCapacity, accelerators: 4, cpuMilli: 4_000, memoryMb: 4_000 }
  const jobIds = Array.from({ length: 6 }, (_, index) => `small${index}`)
  await submit(...jobIds.map(jobId => makeJob(jobId, 'batch', [makeStep({ request })], { service: 'few' })))
  let mostQuarantined = 0
  for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += 100) {
    await run(100)
    mostQuarantined = Math.max(mostQuarantined, harness.hosts.get('host-0')?.getScheduler()?.getStatus().workers.heldBack.length ?? 0)
  }
  expect(mostQuarantined).toBe(1)
  for (const jobId of jobIds) expect(getState(jobId)).toBe(JobState.Complete)
})

// The limit counted the workers of the whole service: each worker with a required label was quarantined at once, and work that requires it waited.
test('work that requires a label is placed while some of the workers with the label are quarantined', async () => {
  const getRun = (task: string, number: number): { workMs: number, how: EndKind } => ({ workMs: 300, how: task.startsWith('labelled') && number === 1 ? EndKind.Failed : EndKind.Done })
  await startHarness({ workers: 12, getRun }, 1)
  const request = { ...harnessCapacity, accelerators: 4, cpuMilli: 4_000, memoryMb: 4_000 }
  const jobIds = Array.from({ length: 8 }, (_, index) => `labelled${index}`)
  await submit(...jobIds.map(jobId => makeJob(jobId, 'batch', [makeStep({ request, requiredLabel: 'rack-2' })])))
  let mostQuarantined = 0
  for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += 100) {
    await run(100)
    mostQuarantined = Math.max(mostQuarantined, harness.hosts.get('host-0')?.getScheduler()?.getStatus().workers.heldBack.length ?? 0)
  }
  expect(mostQuarantined).toBe(1)
  for (const jobId of jobIds) expect(getState(jobId)).toBe(JobState.Complete)
})

// Guards against work that requires a label and waits because it arrives after all workers with the label have been quarantined.
test('work that requires a label is placed although work without labels has had all workers with the label quarantined', async () => {
  const getRun = (task: string, number: number): { workMs: number, how: EndKind } => ({ workMs: 300, how: task.startsWith('open') && number === 1 ? EndKind.Failed : EndKind.Done })
  await startHarness({ workers: 12, getRun }, 1)
  const request = { ...harnessCapacity, accelerators: 4, cpuMilli: 4_000, memoryMb: 4_000 }
  await submit(...Array.from({ length: 8 }, (_, index) => makeJob(`open${index}`, 'batch', [makeStep({ request, dataRack: 'rack-2' })])))
  const getQuarantinedIds = (): readonly string[] => harness.hosts.get('host-0')?.getScheduler()?.getStatus().workers.heldBack.map(({ workerId }) => workerId) ?? []
  for (let elapsedMs = 0; elapsedMs < 1_500 && getQuarantinedIds().length < 4; elapsedMs += 50) await run(50)
  expect([...getQuarantinedIds()].sort()).toEqual(['worker-10', 'worker-11', 'worker-8', 'worker-9'])
  await submit(makeJob('labelled', 'batch', [makeStep({ request, requiredLabel: 'rack-2' })]))
  await waitForState('labelled', JobState.Complete, 1_000)
  expect(getQuarantinedIds()).toHaveLength(1)
})

// Guards against a same-rack gang that waits until the quarantine of its racks ends.
test('a same-rack gang is placed across racks while the only rack that can hold it is quarantined', async () => {
  const getRun = (task: string, number: number): { workMs: number, how: EndKind } => ({ workMs: 300, how: task.startsWith('open') && number === 1 ? EndKind.Failed : EndKind.Done })
  await startHarness({ workers: 11, workersPerRack: 3, getRun }, 1)
  const request = { ...harnessCapacity, accelerators: 4, cpuMilli: 4_000, memoryMb: 4_000 }
  await submit(...Array.from({ length: 6 }, (_, index) => makeJob(`open${index}`, 'batch', [makeStep({ request, dataRack: 'rack-0' })])))
  for (const index of [3, 6, 9]) harness.setCapacity(`worker-${index}`, { ...harnessCapacity, accelerators: 4 })
  const countQuarantined = (): number => harness.hosts.get('host-0')?.getScheduler()?.getStatus().workers.heldBack.length ?? 0
  for (let elapsedMs = 0; elapsedMs < 1_500 && countQuarantined() < 3; elapsedMs += 50) await run(50)
  expect(countQuarantined()).toBe(3)
  await submit(makeJob('gang', 'batch', [makeStep({ count: 6, isGang: true, isSameRack: true, request })]))
  await waitForState('gang', JobState.Complete, 2_000)
})
