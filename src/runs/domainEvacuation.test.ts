/** Evacuations of failure domains: no start in the domain later than the bound after the request, whatever happens in between. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { getProgressKey } from '../jobs/jobKeys.js'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { decodeState } from '../jobs/trackedJob.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'

let harness: PoolHarness

/** The copy's greatest age by default settings, in ms: the bound of 5,000 less 300 for a start request to arrive. */
const evacuationMaxAgeMs = 4_700
/** A request is known after one poll of the prefix, in ms, when the store answers. */
const pollMs = 900
const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

async function run (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
}

/** Starts two hosts; the even workers are in domain `a`, the odd ones in domain `b`. */
async function startHarness (options: PoolHarnessOptions): Promise<void> {
  harness = createPoolHarness({ evacuationMaxAgeMs, getDomain: index => index % 2 === 0 ? 'a' : 'b', ...options })
  for (let index = 0; index < 2; index++) {
    harness.addHost(`host-${index}`)
    await run(300)
  }
}

async function submit (...jobs: Parameters<PoolHarness['submit']>[0][]): Promise<void> {
  for (const job of jobs) {
    const submitted = harness.submit(job)
    await run(20)
    await submitted
  }
}

function getState (jobId: string): JobState {
  const value = harness.store.peek(getProgressKey(jobId))
  return value === undefined ? JobState.Queued : decodeState(value)
}

async function waitForState (jobId: string, state: JobState, limitMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < limitMs && getState(jobId) !== state; elapsedMs += 50) await run(50)
  expect(getState(jobId)).toBe(state)
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
