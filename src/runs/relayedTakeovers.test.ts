/** Leases that other hosts have extended, across two ends of a term: the timers under which the record names their workers. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { EndKind } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
const { run, submit } = createPoolSteps(() => harness)
const relayMs = 150

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

const offsetsMs = Array.from({ length: 9 }, (_, index) => 170 * index)

// Guards against two runs at once: a relayed poll that is under way when its term ends, or that a frozen host has sent, extends the lease beyond the timer of the stored record.
test.each([6_000, 10_000].flatMap(maxLeaseMs => offsetsMs.map(offsetMs => [maxLeaseMs, offsetMs] as const)))('a run whose lease was extended through other hosts is not taken for ended after two ends of a term (workers grant %i ms, %i ms)', async (maxLeaseMs, offsetMs) => {
  harness = createPoolHarness({
    workers: 6,
    maxLeaseMs,
    hasRelayedPolls: true,
    workerRoundTripMs: 30,
    getRun: (_task, number) => ({ workMs: number === 1 ? 120_000 : 300, how: EndKind.Done }),
    interceptPeers: async (_address, call) => {
      await delay(relayMs)
      return await call()
    }
  })
  for (const worker of harness.workers.values()) worker.setClockRate(0.98)
  for (let index = 0; index < 4; index++) {
    harness.addHost(`host-${index}`)
    await run(500)
  }
  await submit(makeJob('a', 'batch', [makeStep({ estimateMs: 120_000 })]))
  await run(20_000)
  const workerId = harness.poolState.running.get('a.0.0.0')?.[0]?.workerId ?? ''
  harness.hosts.get('host-0')?.setCutFromWorkers(new Set([workerId]))
  await run(2_500 + offsetMs)
  if (offsetMs % 340 === 0) harness.hosts.get('host-0')?.crash()
  else harness.hosts.get('host-0')?.freeze(6_000)
  await run(relayMs + 60)
  harness.workers.get(workerId)?.setUnreachable(true)
  harness.setCutFromStore(workerId, true)
  await run(1_500 + offsetMs)
  for (const host of harness.hosts.values()) if (host.getTerm()?.isValid() === true) host.crash()
  await run(20_000)
  expect(harness.poolState.violations).toEqual([])
  expect(harness.poolState.starts.get('a.0.0.0')).toBe(2)
})
