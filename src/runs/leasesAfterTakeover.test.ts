/** Runs on workers that are gone for good: whoever takes over waits for their leases, which may have ended long ago. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import { grantPrefix } from './grantRecord.js'

let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)
const maxLeaseMs = 10_000
/** The platform counts a job as lost that has nothing running for 3 s although it could run; a takeover takes a second of that. */
const lostAfterMs = 3_000
/** No worker of a test comes back within this, in ms. */
const goneMs = 600_000

beforeEach(async () => {
  jest.useFakeTimers()
  harness = createPoolHarness({ workers: 6, maxLeaseMs, getRun: (_task, number) => ({ workMs: number === 1 ? 60_000 : 300, how: EndKind.Done }) })
  harness.addHost('host-0')
  await run(500)
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(1_000)
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

function getRunningOn (task: string): string {
  const [location] = harness.poolState.running.get(task) ?? []
  if (location === undefined) throw new Error('the task runs')
  return location.workerId
}

/** The worker goes on without any connection, and its entry leaves the list. */
function cutOff (workerId: string): void {
  harness.workers.get(workerId)?.setUnreachable(true)
  harness.setCutFromStore(workerId, true)
}

// Workers left for good while all hosts had lost power, and no lease could be extended. The next term waited for a whole lease from its own start.
test('a job does not wait for the lease of a worker that is gone if all hosts were away for longer than the lease', async () => {
  harness.hosts.get('host-0')?.crash()
  harness.crashWorker(getRunningOn('a.0.0.0'), { awayMs: goneMs, keepsId: false })
  await run(1.2 * maxLeaseMs)
  harness.addHost('host-1')
  await waitForState('a', JobState.Complete, lostAfterMs + 500)
  expect(harness.poolState.violations).toEqual([])
})

// Terms that were shorter than a lease came one after the other, and each waited anew for a lease that none of them had extended.
test('a series of takeovers does not prolong the wait for the lease of a worker that is gone', async () => {
  harness.crashWorker(getRunningOn('a.0.0.0'), { awayMs: goneMs, keepsId: false })
  for (let term = 0; term < 5; term++) {
    harness.hosts.get(`host-${term}`)?.crash()
    harness.addHost(`host-${term + 1}`)
    await run(0.25 * maxLeaseMs)
  }
  await waitForState('a', JobState.Complete, lostAfterMs)
  expect(harness.poolState.violations).toEqual([])
})

// Guards against two runs at once: the end of a lease is only known by what has outlived all hosts.
test.each([0, 1_000, 4_000, 7_000, 8_500, 9_500, 10_200, 10_600, 11_500, 13_000])('a run that goes on behind a cut is not started again while its lease lasts, on a slow clock, if all hosts were away for %i ms', async awayMs => {
  for (const worker of harness.workers.values()) worker.setClockRate(0.98)
  await run(2_000)
  const workerId = getRunningOn('a.0.0.0')
  harness.hosts.get('host-0')?.crash()
  cutOff(workerId)
  await run(awayMs)
  harness.addHost('host-1')
  await waitForState('a', JobState.Complete, 2 * maxLeaseMs)
  expect(harness.poolState.violations).toEqual([])
})

// The store's leases may run out while it is down, so that a record which is gone proves nothing.
test.each([100, 2_000, 6_000])('a record that the store has dropped with all of its leases after %i ms does not count as the end of the workers\' leases', async awayMs => {
  const workerId = getRunningOn('a.0.0.0')
  harness.hosts.get('host-0')?.crash()
  cutOff(workerId)
  await run(awayMs)
  harness.store.expireLeases()
  harness.addHost('host-1')
  await run(2_000)
  harness.hosts.get('host-1')?.crash()
  harness.addHost('host-2')
  await waitForState('a', JobState.Complete, 2 * maxLeaseMs)
  expect(harness.poolState.violations).toEqual([])
})

// A term recorded that it had not extended the lease of a silent worker. The worker answered, and was cut off again.
test('a lease that a term extends after all counts for the next term', async () => {
  const workerId = getRunningOn('a.0.0.0')
  harness.hosts.get('host-0')?.crash()
  harness.workers.get(workerId)?.setUnreachable(true)
  harness.addHost('host-1')
  await run(5_000)
  harness.workers.get(workerId)?.setUnreachable(false)
  await run(2_000)
  harness.hosts.get('host-1')?.crash()
  cutOff(workerId)
  await run(6_000)
  harness.addHost('host-2')
  await waitForState('a', JobState.Complete, 2 * maxLeaseMs)
  expect(harness.poolState.violations).toEqual([])
})

// Guards against a start that cannot be sent, and a worker that is then avoided, while the record of granted leases is written late.
test.each([0, 1_500])('a worker that answers late is used again, with writes of the record of granted leases that are applied %i ms late', async lateMs => {
  const workerId = getRunningOn('a.0.0.0')
  harness.hosts.get('host-0')?.crash()
  harness.workers.get(workerId)?.setUnreachable(true)
  harness.addHost('host-1')
  await run(3_000)
  if (lateMs > 0) harness.store.delayWrites('host-1', 1, lateMs, grantPrefix)
  harness.workers.get(workerId)?.setUnreachable(false)
  await run(4_000)
  expect(harness.hosts.get('host-1')?.getTerm()?.isValid()).toBe(true)
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([{ workerId, run: 1 }])
  await run(2 * maxLeaseMs)
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([{ workerId, run: 1 }])
  expect(harness.poolState.violations).toEqual([])
})

// A frozen leader goes on granting leases by what it knew, after its record has gone away.
test('a leader that was frozen for longer than its record lasts extends no lease beyond it', async () => {
  harness.hosts.get('host-0')?.freeze(1.3 * maxLeaseMs)
  await run(1.2 * maxLeaseMs)
  harness.addHost('host-1')
  await waitForState('a', JobState.Complete, 2 * maxLeaseMs)
  expect(harness.poolState.violations).toEqual([])
})
