/** Cuts between all hosts and most workers: no host is better than the others, so handing over again and again must not keep work from running. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

/** The shortest lease of the platforms that are served. */
const maxLeaseMs = 6_000
let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)

beforeEach(async () => {
  jest.useFakeTimers()
  harness = createPoolHarness({ workers: 10, getRun: task => ({ workMs: task.startsWith('filler') ? 60_000 : 2_000, how: EndKind.Done }), maxLeaseMs })
  for (const hostId of ['host-0', 'host-1', 'host-2']) harness.addHost(hostId)
  await run(1_500)
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

// Guards against terms that are shorter than a worker's lease, in a series: each of them waits anew for the leases of the workers that do not answer.
test('a job whose worker is cut off with most others runs again while the cut lasts', async () => {
  // One task on each worker, so that all of them are polled.
  await submit(makeJob('filler', 'batch', [makeStep({ count: 10, request: { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 5 } })]))
  await run(500)
  await submit(makeJob('a', 'urgent', [makeStep()]))
  await run(200)
  const workerId = harness.poolState.running.get('a.0.0.0')?.[0]?.workerId
  const others = [...harness.workers.keys()].filter(other => other !== workerId).slice(0, 6)
  for (const cutId of [workerId ?? '', ...others]) harness.workers.get(cutId)?.setUnreachable(true)
  await waitForState('a', JobState.Complete, 30_000)
  expect(harness.poolState.violations).toEqual([])
})

// Guards against a lease's wait for each idle worker behind a cut: idle workers are not polled, and a start without an answer may have been carried out.
test('a job whose worker is cut off is not started on one idle worker after the other behind the cut', async () => {
  await submit(makeJob('a', 'urgent', [makeStep()]))
  await run(200)
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([{ workerId: 'worker-0', run: 1 }])
  for (const workerId of ['worker-0', 'worker-1', 'worker-2', 'worker-3']) harness.workers.get(workerId)?.setUnreachable(true)
  await waitForState('a', JobState.Complete, 2 * maxLeaseMs)
  expect(harness.poolState.violations).toEqual([])
})
