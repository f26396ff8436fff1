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

/** Cuts the scheduling host, and it alone, off from the worker of the second step. Returns that worker. */
async function cutOffSecondStep (): Promise<string> {
  await startJob(3)
  await run(1_500)
  const workerId = harness.poolState.running.get('a.0.1.0')?.[0]?.workerId ?? ''
  cutFrom(['host-0'], [workerId])
  return workerId
}

// A cut between the scheduling host and a worker that lasted longer than the lease ended all runs there, though other hosts reached the worker.
test('a run on a worker that other hosts reach goes on for longer than its lease', async () => {
  await cutOffSecondStep()
  await run(15_000)
  expect(harness.poolState.starts.get('a.0.1.0')).toBe(1)
  expect(harness.poolState.running.get('a.0.1.0')).toHaveLength(1)
  expect(harness.poolState.violations).toEqual([])
})

// Guards against two runs at once: the lease that another host has extended last is waited for, also by the next term.
test.each([false, true])('a run whose lease other hosts have extended is replaced only after it, with a takeover: %s', async hasTakeover => {
  const workerId = await cutOffSecondStep()
  await run(8_000)
  cutFrom(['host-0', 'host-1', 'host-2'], [workerId])
  if (hasTakeover) harness.hosts.get('host-0')?.crash()
  await run(12_000)
  expect(harness.poolState.starts.get('a.0.1.0')).toBe(2)
  expect(harness.poolState.running.get('a.0.1.0')).toHaveLength(1)
  expect(harness.poolState.violations).toEqual([])
})

// Guards against a run that nobody can stop: the scheduling host does not reach the worker, and the others kept it alive.
test('what is to be stopped on a worker that only other hosts reach ends with its lease', async () => {
  await cutOffSecondStep()
  await run(3_000)
  const cancelled = harness.hosts.get('host-1')?.intake.cancel('a', performance.now() + 2_000)
  await run(8_000)
  await cancelled
  expect(harness.poolState.running.get('a.0.1.0')).toEqual([])
  await waitForState('a', JobState.Cancelled, 1_000)
})

test('nothing is acknowledged through another host', async () => {
  const workerId = await startJob(2)
  cutFrom(['host-0'], [workerId])
  await run(4_500)
  expect(harness.poolState.running.get('a.0.1.0')).toHaveLength(1)
  expect(harness.poolState.acknowledgedDone.has('a.0.0.0')).toBe(false)
})
