/** Evacuations of failure domains: no start in the domain later than the bound after the request, whatever happens in between. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { ReceivedStart } from '../standins/poolWorker.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)

/** The copy's greatest age by default settings, in ms: the bound of 5,000 less 300 for a start request to arrive. */
const evacuationMaxAgeMs = 4_700
/** A request is known after one poll of the prefix, in ms, when the store answers. */
const pollMs = 900
/** No start request arrives later than this after the store has acknowledged the request, in ms. */
const boundMs = 5_000
const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }

/** All starts, with the time at which the request arrived at the worker. */
let starts: ReceivedStart[] = []

beforeEach(() => {
  jest.useFakeTimers()
  starts = []
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** Starts two hosts; the even workers are in domain `a`, the odd ones in domain `b`. */
async function startHarness (options: PoolHarnessOptions): Promise<void> {
  harness = createPoolHarness({ evacuationMaxAgeMs, getDomain: index => index % 2 === 0 ? 'a' : 'b', onStart: start => { starts.push(start) }, ...options })
  for (let index = 0; index < 2; index++) {
    harness.addHost(`host-${index}`)
    await run(300)
  }
}

function getDomain (workerId: string): string {
  return harness.workers.get(workerId)?.info.domain ?? ''
}

/** Returns the workers on which the job's tasks run now. */
function getWorkersOf (jobId: string): readonly string[] {
  return [...harness.poolState.running].filter(([task]) => task.startsWith(`${jobId}.`)).flatMap(([, places]) => places.map(place => place.workerId)).sort()
}

test('work that arrives after the request starts only in the other domain, and running work goes on', async () => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 4_000, how: EndKind.Done }) })
  await submit(makeJob('before', 'batch', [makeStep({ count: 2 })]))
  await run(300)
  // Without the request, the rest of the worker that is in use is filled first.
  const [inUse = ''] = new Set(getWorkersOf('before'))
  harness.setEvacuated(getDomain(inUse), true)
  await run(pollMs)
  await submit(makeJob('after', 'batch', [makeStep({ count: 4, estimateMs: 4_000 })]))
  await run(300)
  expect(new Set(getWorkersOf('after'))).toEqual(new Set(inUse === 'worker-0' ? ['worker-1'] : ['worker-0']))
  await waitForState('before', JobState.Complete, 6_000)
  expect([...harness.poolState.starts.values()].every(starts => starts === 1)).toBe(true)
})

test('a start that waits for the end of a victim is not sent after a request', async () => {
  await startHarness({ workers: 1, getRun: task => ({ workMs: task.startsWith('low') ? 9_000 : 300, how: EndKind.Done }), maxLeaseMs: 6_000 })
  await submit(makeJob('low', 'batch', [makeStep({ request: wholeWorker, estimateMs: 9_000 })]))
  await run(200)
  // The stop of the victim does not arrive before the request.
  harness.workers.get('worker-0')?.setUnreachable(true)
  await submit(makeJob('high', 'urgent', [makeStep({ request: wholeWorker, estimateMs: 300 })]))
  harness.setEvacuated('a', true)
  await run(pollMs)
  harness.workers.get('worker-0')?.setUnreachable(false)
  await run(3_000)
  expect(getWorkersOf('low')).toEqual([])
  expect(harness.poolState.starts.get('high.0.0.0')).toBeUndefined()
  harness.setEvacuated('a', false)
  await waitForState('high', JobState.Complete, 3_000)
})

test('while the copy is too old nothing is started anywhere, and work starts when the store answers again', async () => {
  await startHarness({ workers: 2 })
  const leader = harness.store.peek('leader/scheduler') ?? ''
  harness.store.setListsUnavailable(leader, true)
  harness.setEvacuated('a', true)
  await run(evacuationMaxAgeMs + 100)
  await submit(makeJob('held', 'batch', [makeStep({ count: 4 })]))
  await run(1_000)
  expect(harness.poolState.starts.size).toBe(0)
  harness.store.setListsUnavailable(leader, false)
  await run(400)
  expect(new Set(getWorkersOf('held'))).toEqual(new Set(['worker-1']))
  await waitForState('held', JobState.Complete, 3_000)
})

test.each<readonly [string, (leader: string) => void, (leader: string) => void]>([
  ['is down for all', () => { harness.store.setUnavailable(true) }, () => { harness.store.setUnavailable(false) }],
  ['is paused', () => { harness.store.pause(true) }, () => { harness.store.pause(false) }],
  ['rejects the scheduler', leader => { harness.store.setUnavailable(true, leader) }, leader => { harness.store.setUnavailable(false, leader) }],
  ['answers no list to the scheduler', leader => { harness.store.setListsUnavailable(leader, true) }, leader => { harness.store.setListsUnavailable(leader, false) }],
  ['is compacted', () => { harness.store.compact() }, () => { harness.store.compact() }],
  ['loses the leases', () => { harness.store.expireLeases() }, () => { harness.store.expireLeases() }]
])('no start arrives in the domain after the bound while jobs keep arriving and the store %s', async (_fault, begin, end) => {
  await startHarness({ workers: 2, getRun: () => ({ workMs: 300, how: EndKind.Done }) })
  const leader = harness.store.peek('leader/scheduler') ?? ''
  const requestedAtMs = performance.now()
  harness.setEvacuated('a', true)
  begin(leader)
  for (let index = 0; index < 60; index++) {
    // More than one worker can run, so that the evacuated one would be used.
    void harness.submit(makeJob(`j${index}`, 'batch', [makeStep({ count: 6, estimateMs: 300 })])).catch(() => {})
    await run(150)
    if (index === 20) end(leader)
  }
  const inDomain = starts.filter(({ workerId, receivedAtMs }) => getDomain(workerId) === 'a' && receivedAtMs > requestedAtMs + boundMs)
  expect(inDomain).toEqual([])
  // Not everything stands still.
  expect(starts.filter(({ receivedAtMs }) => receivedAtMs > requestedAtMs + boundMs).length).toBeGreaterThan(5)
  expect(harness.poolState.violations).toEqual([])
})

test('a scheduler that takes over right after the request starts nothing before it has read the requests', async () => {
  let readMs = 0
  await startHarness({ workers: 2, getEvacuationReadMs: () => readMs })
  readMs = 1_500
  harness.setEvacuated('a', true)
  harness.hosts.get(harness.store.peek('leader/scheduler') ?? '')?.crash()
  await submit(makeJob('next', 'batch', [makeStep({ count: 12 })]))
  await waitForState('next', JobState.Complete, 9_000)
  expect(new Set(starts.map(({ workerId }) => workerId))).toEqual(new Set(['worker-1']))
})

test('with slow reads of the requests nothing is started by a copy that may lack one', async () => {
  let readMs = 0
  await startHarness({ workers: 2, getEvacuationReadMs: () => readMs })
  readMs = 6_000
  await run(1_000)
  const requestedAtMs = performance.now()
  harness.setEvacuated('a', true)
  for (let index = 0; index < 40; index++) {
    await submit(makeJob(`j${index}`, 'batch', [makeStep({ count: 2, estimateMs: 500 })]))
    await run(200)
  }
  expect(starts.length).toBeGreaterThan(0)
  expect(starts.filter(({ workerId, receivedAtMs }) => workerId === 'worker-0' && receivedAtMs > requestedAtMs + boundMs)).toEqual([])
})

test('a request that is withdrawn and at once issued again stays in force; one that is withdrawn lets work start again', async () => {
  await startHarness({ workers: 1 })
  harness.setEvacuated('a', true)
  await run(pollMs)
  await submit(makeJob('held', 'batch', [makeStep()]))
  for (let times = 0; times < 5; times++) {
    harness.setEvacuated('a', false)
    harness.setEvacuated('a', true)
    await run(470)
  }
  expect(starts).toEqual([])
  harness.setEvacuated('a', false)
  await waitForState('held', JobState.Complete, pollMs + 1_500)
})

test('with two of three domains evacuated, gangs are placed in the third; a domain without workers and malformed keys change nothing', async () => {
  await startHarness({ workers: 6, workersPerRack: 6, getDomain: index => ['a', 'b', 'c'][index % 3] ?? '' })
  for (const domain of ['a', 'b', 'no-such-domain', '']) harness.setEvacuated(domain, true)
  harness.store.write('evacuations/%%\u0000', '{"')
  await run(pollMs)
  await submit(makeJob('gang', 'batch', [makeStep({ count: 2, isGang: true, request: wholeWorker })]), makeJob('single', 'batch', [makeStep({ count: 4 })]))
  await waitForState('gang', JobState.Complete, 4_000)
  await waitForState('single', JobState.Complete, 4_000)
  expect(new Set(starts.map(({ workerId }) => getDomain(workerId)))).toEqual(new Set(['c']))
  const status = harness.hosts.get(harness.store.peek('leader/scheduler') ?? '')?.getScheduler()?.getStatus()
  expect(status?.evacuations?.map(({ domain, workers }) => ({ domain, workers }))).toEqual(expect.arrayContaining([{ domain: 'a', workers: 2 }, { domain: 'b', workers: 2 }, { domain: 'no-such-domain', workers: 0 }]))
})

test('an evacuation, a drain and maintenance of one worker hold independently of each other', async () => {
  await startHarness({ workers: 1 })
  const scheduler = harness.hosts.get(harness.store.peek('leader/scheduler') ?? '')?.getScheduler()
  harness.setEvacuated('a', true)
  await run(pollMs)
  expect(scheduler?.tryDrain('worker-0', false)).toBe(true)
  harness.setDraining('worker-0', true)
  await submit(makeJob('held', 'batch', [makeStep()]))
  await run(500)
  scheduler?.returnToService('worker-0')
  harness.setDraining('worker-0', false)
  await run(1_500)
  expect(starts).toEqual([])
  harness.setDraining('worker-0', true)
  harness.setEvacuated('a', false)
  await run(1_500)
  expect(starts).toEqual([])
  harness.setDraining('worker-0', false)
  await waitForState('held', JobState.Complete, 2_500)
})

test('the status names the domain, the revision of the request, and what still runs there', async () => {
  await startHarness({ workers: 1, getRun: () => ({ workMs: 5_000, how: EndKind.Done }) })
  await submit(makeJob('running', 'batch', [makeStep({ count: 3, estimateMs: 5_000 })]))
  await run(300)
  harness.setEvacuated('a', true)
  await run(pollMs + 500)
  const status = harness.hosts.get(harness.store.peek('leader/scheduler') ?? '')?.getScheduler()?.getStatus()
  expect(status?.evacuations).toEqual([expect.objectContaining({ domain: 'a', workers: 1, runningTasks: 3, jobIds: ['running'] })])
  const [evacuation] = status?.evacuations ?? []
  expect(evacuation?.revision).toBeGreaterThan(1)
  expect(evacuation?.seenForMs).toBeGreaterThanOrEqual(400)
  await waitForState('running', JobState.Complete, 6_000)
})

test('without the contract nothing is polled, and requests have no effect', async () => {
  harness = createPoolHarness({ workers: 1, onStart: start => { starts.push(start) } })
  harness.addHost('host-0')
  await run(300)
  harness.setEvacuated('a', true)
  await run(pollMs)
  await submit(makeJob('a', 'batch', [makeStep()]))
  await waitForState('a', JobState.Complete, 2_500)
  expect(harness.hosts.get('host-0')?.getScheduler()?.getStatus().evacuations).toBeUndefined()
})
