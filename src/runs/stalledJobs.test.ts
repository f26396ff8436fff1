/** What an operator sees of a job that waits: a job of which nothing ran could not be told from one that was at work. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import type { Logger } from '../common/logger.js'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import type { SchedulerStatus } from './schedulerStatus.js'
import { WaitCause } from './stalledJobs.js'

let harness: PoolHarness
let lines: { readonly message: string, readonly fields: Readonly<Record<string, unknown>> }[]
const { run, submit, waitForState } = createPoolSteps(() => harness)
const stalledMessage = 'a job has nothing running although most of the pool is idle'

const logger: Logger = {
  debug: write,
  info: write,
  warn: write,
  error: write,
  withPrefix: () => logger
}

function write (message: string, fields: object = {}): void {
  lines.push({ message, fields: { ...fields } })
}

beforeEach(() => {
  jest.useFakeTimers()
  lines = []
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

async function startHarness (options: PoolHarnessOptions): Promise<void> {
  harness = createPoolHarness({ ...options, logger })
  harness.addHost('host-0')
  await run(500)
}

function getStatus (): SchedulerStatus {
  const status = harness.hosts.get('host-0')?.getScheduler()?.getStatus()
  if (status === undefined) throw new Error('the host schedules')
  return status
}

test('a job without a suitable worker is named with what stands against placing it', async () => {
  await startHarness({ workers: 2 })
  await submit(makeJob('a', 'batch', [makeStep({ requiredLabel: 'none' })]))
  await run(3_000)
  expect(getStatus().longestStalled).toMatchObject([{ jobId: 'a', task: 'a.0.0.0', cause: WaitCause.NotPlaced, obstacles: { usableWorkers: 0, workersWithRoom: 0 } }])
  expect(lines.filter(({ message }) => message === stalledMessage)).toHaveLength(1)
})

test('a run on a worker that does not answer is named as unreported, and logged once until it goes on', async () => {
  await startHarness({ workers: 5, maxLeaseMs: 6_000, getRun: () => ({ workMs: 12_000, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(500)
  // The host reaches the other workers, so that it keeps its term.
  const [location] = harness.poolState.running.get('a.0.0.0') ?? []
  harness.workers.get(location?.workerId ?? '')?.setUnreachable(true)
  await run(5_600)
  expect(getStatus().longestStalled).toMatchObject([{ jobId: 'a', task: 'a.0.0.0', cause: WaitCause.Unreported, run: 1 }])
  for (const worker of harness.workers.values()) worker.setUnreachable(false)
  await run(1_500)
  expect(getStatus().stalledJobs).toBe(0)
  await waitForState('a', JobState.Complete, 20_000)
})

// The record named an unanswered start request where nothing had been sent, and neither the lease that was waited for nor its end.
test('a run of an earlier term whose worker does not answer is named with what is left of the lease', async () => {
  const maxLeaseMs = 6_000
  await startHarness({ workers: 5, maxLeaseMs, getRun: () => ({ workMs: 30_000, how: EndKind.Done }) })
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(500)
  const [location] = harness.poolState.running.get('a.0.0.0') ?? []
  harness.workers.get(location?.workerId ?? '')?.setUnreachable(true)
  harness.hosts.get('host-0')?.crash()
  harness.addHost('host-0')
  await run(4_500)
  expect(lines.filter(({ message }) => message === 'takeover finished').at(-1)?.fields).toMatchObject({ unansweredWorkers: 1 })
  const [stalled] = lines.filter(({ message }) => message === stalledMessage)
  expect(stalled?.fields).toMatchObject({ jobId: 'a', cause: WaitCause.Restored, run: 1, workerId: location?.workerId })
  expect(stalled?.fields.leaseLeftMs).toBeGreaterThan(0)
  expect(stalled?.fields.leaseLeftMs).toBeLessThan(maxLeaseMs)
})

test('a job that is at work, and one that waits for a full pool, are not logged as stalled', async () => {
  await startHarness({ workers: 1, getRun: () => ({ workMs: 4_000, how: EndKind.Done }) })
  const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  await submit(makeJob('a', 'batch', [makeStep({ request: wholeWorker })]), makeJob('b', 'batch', [makeStep({ request: wholeWorker })]))
  await run(3_500)
  expect(getStatus().longestStalled).toMatchObject([{ cause: WaitCause.NotPlaced, obstacles: { workersWithRoom: 0 } }])
  expect(lines.filter(({ message }) => message === stalledMessage)).toEqual([])
})
