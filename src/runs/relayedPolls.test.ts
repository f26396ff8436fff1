/** Ends that the scheduling host cannot read, while other hosts reach the worker. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)
const maxLeaseMs = 6_000

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** Starts `hosts` hosts, of which host-0 schedules, and a job with a step of one task that takes 1.5 s and a second one. Returns the worker of the first. */
async function startJob (hosts: number): Promise<string> {
  harness = createPoolHarness({ workers: 6, maxLeaseMs, hasRelayedPolls: true, getRun: task => ({ workMs: task.startsWith('a.0.0') ? 1_500 : 30_000, how: EndKind.Done }) })
  for (let index = 0; index < hosts; index++) {
    harness.addHost(`host-${index}`)
    await run(500)
  }
  await submit(makeJob('a', 'batch', [makeStep(), makeStep({ after: [0] })]))
  await run(300)
  const workerId = harness.poolState.running.get('a.0.0.0')?.[0]?.workerId
  if (workerId === undefined) throw new Error('the task has not started')
  return workerId
}

function cutFrom (hostIds: readonly string[], workerIds: readonly string[]): void {
  for (const hostId of hostIds) harness.hosts.get(hostId)?.setCutFromWorkers(new Set(workerIds))
}

// The worker was cut off from some hosts, the scheduling one among them, and then lost. The task ran again, and the next step began only after its second run.
test('an end on a worker that only other hosts reach is read before the worker is lost', async () => {
  const workerId = await startJob(4)
  cutFrom(['host-0', 'host-2'], [workerId])
  await run(4_500)
  harness.crashWorker(workerId, { awayMs: 60_000, keepsId: false })
  await run(500)
  expect(harness.poolState.running.get('a.0.1.0')).toHaveLength(1)
  await run(8_000)
  expect(harness.poolState.starts.get('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

// A host that is elected while it is cut off from the worker had not heard of it in its term, and waited for the end of its lease.
test('an end is read through other hosts in a term that the worker has never answered', async () => {
  const workerId = await startJob(4)
  cutFrom(['host-0', 'host-1', 'host-2', 'host-3'], [workerId])
  await run(1_000)
  harness.hosts.get('host-0')?.crash()
  harness.hosts.get('host-3')?.setCutFromWorkers(new Set())
  await run(4_000)
  expect(harness.poolState.running.get('a.0.1.0')).toHaveLength(1)
  expect(harness.poolState.starts.get('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

// Guards against a report through another host that hides the loss of a worker: its lease is not extended, and what runs there ends with it.
test('a run on a worker that only other hosts reach is replaced after its lease, and never runs twice at once', async () => {
  const workerId = await startJob(3)
  await run(1_500)
  const second = harness.poolState.running.get('a.0.1.0')?.[0]?.workerId ?? ''
  cutFrom(['host-0'], [workerId, second])
  await run(10_000)
  expect(harness.poolState.running.get('a.0.1.0')).toHaveLength(1)
  expect(harness.poolState.starts.get('a.0.1.0')).toBe(2)
  expect(harness.poolState.violations).toEqual([])
  await waitForState('a', JobState.Active, 1_000)
})

test('nothing is acknowledged through another host', async () => {
  const workerId = await startJob(2)
  cutFrom(['host-0'], [workerId])
  await run(4_500)
  expect(harness.poolState.running.get('a.0.1.0')).toHaveLength(1)
  expect(harness.poolState.acknowledgedDone.has('a.0.0.0')).toBe(false)
})
