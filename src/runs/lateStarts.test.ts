/** Start requests without an answer that a worker carries out late, after it has started anew under its id. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import type { PoolWorker } from '../standins/poolWorker.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
/** The worker on which the first run is planned: the other one is not listed at first. */
let worker: PoolWorker
const { run, submit, waitForState } = createPoolSteps(() => harness)

beforeEach(async () => {
  jest.useFakeTimers()
  harness = createPoolHarness({ workers: 2, getRun: () => ({ workMs: 3_000, how: EndKind.Done }), maxLeaseMs: 6_000 })
  harness.setListed('worker-1', false)
  harness.addHost('host-0')
  await run(500)
  worker = harness.workers.get('worker-0') as PoolWorker
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** Submits a job of one task; the worker carries out the next `count` start requests after `lateMs` without an answer, also after a restart. */
async function submitWithLateStarts (count: number, lateMs: number): Promise<void> {
  worker.delayStarts(count, lateMs, true)
  await submit(makeJob('a', 'batch', [makeStep({ estimateMs: 3_000 })]))
}

async function expectOneRunAtATime (): Promise<void> {
  harness.setListed('worker-1', true)
  await waitForState('a', JobState.Complete, 20_000)
  expect(harness.poolState.violations).toEqual([])
}

test('an earlier start request of a run that was lost with its worker is not carried out beside the next run', async () => {
  // The second request is answered while the first is still under way.
  await submitWithLateStarts(1, 2_000)
  await run(200)
  harness.restartWorker('worker-0')
  await expectOneRunAtATime()
})

test('a stop that one incarnation has accepted does not exclude a start in the next', async () => {
  await submitWithLateStarts(3, 1_600)
  worker.losePolls(400)
  await run(200)
  // The stop has been accepted by now, but no report has followed it.
  harness.restartWorker('worker-0')
  await expectOneRunAtATime()
})

test('a late start is excluded in an incarnation that begins after the run was given up', async () => {
  await submitWithLateStarts(3, 4_500)
  harness.setListed('worker-1', true)
  harness.setListed('worker-0', false)
  await run(3_000)
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([{ workerId: 'worker-1', run: 2 }])
  harness.restartWorker('worker-0')
  await expectOneRunAtATime()
})
