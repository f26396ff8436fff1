/** Late starts that a later life of a worker carries out and lists, before the worker is cut off again. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import type { PoolWorker } from '../standins/poolWorker.js'
import type { WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'

/** The longest lease, in ms, that workers grant. */
const maxLeaseMs = 10_000
/** The clocks of the first lives are further on than any lease of a later life lasts, in ms. */
const oldLifeMs = 40_000
/** When the late start is carried out, by the later life. */
const lateMs = 9_000
let harness: PoolHarness
let firstBornAtMs: number | undefined
const { run, submit } = createPoolSteps(() => harness)

beforeEach(async () => {
  jest.useFakeTimers()
  const interceptWorker = (_hostId: string, workerId: string, port: WorkerPort): WorkerPort => ({ ...port, renewLease: async renewal => cutAfterRestart(workerId, await port.renewLease(renewal)) })
  harness = createPoolHarness({ workers: 2, storeRoundTripMs: 200, maxLeaseMs, interceptWorker, getRun: () => ({ workMs: 60_000, how: EndKind.Done }) })
  harness.setListed('worker-1', false)
  harness.addHost('host-0')
  await run(oldLifeMs)
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** Cuts a worker off again after the first answer of its later life. */
function cutAfterRestart (workerId: string, report: WorkerStatusReport): WorkerStatusReport {
  if (firstBornAtMs !== undefined && report.bornAtMs !== firstBornAtMs) harness.workers.get(workerId)?.setUnreachable(true)
  return report
}

async function awaitRun (): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < lateMs + 1_000 && harness.poolState.running.get('a.0.0.0')?.length !== 1; elapsedMs += 10) await run(10)
}

// Guards against two runs at once: the lease of the later life counts from when it carries out the start, and not from when the start was sent.
test('a run that a later life has started late and listed is not taken for ended before the lease that the start gave is over', async () => {
  const worker = harness.workers.get('worker-0') as PoolWorker
  firstBornAtMs = worker.info.bornAtMs
  // With a settled run on the worker, the record excludes it while it is silent, and its lease is extended only when a record without it is stored.
  const submittedB = submit(makeJob('b', 'batch', [makeStep()]))
  await run(2_000)
  await submittedB
  worker.delayStarts(1, lateMs, true)
  const submittedA = submit(makeJob('a', 'batch', [makeStep()]))
  await awaitRun()
  worker.setUnreachable(true)
  worker.restart()
  await submittedA
  harness.setListed('worker-1', true)
  await awaitRun()
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([{ workerId: 'worker-0', run: 1 }])
  worker.setUnreachable(false)
  await run(4_500)
  expect(harness.poolState.violations).toEqual([])
})
