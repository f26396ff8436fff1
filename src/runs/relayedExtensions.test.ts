/** Leases that are extended through other hosts while the record of granted leases names their workers under timers. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { EndKind } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
const { run, submit } = createPoolSteps(() => harness)
const cutMs = 60_000

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

interface Case {
  readonly maxLeaseMs: number
  /** How long the answer of another host takes beyond that of the worker, in ms. */
  readonly relayMs: number
}

/** Cuts the scheduling host, and it alone, off from the worker of a long run for a minute. */
async function expectToGoOn ({ maxLeaseMs, relayMs }: Case): Promise<void> {
  harness = createPoolHarness({
    workers: 6,
    maxLeaseMs,
    hasRelayedPolls: true,
    getRun: () => ({ workMs: 2 * cutMs, how: EndKind.Done }),
    interceptPeers: async (_address, call) => {
      await delay(relayMs)
      return await call()
    }
  })
  for (let index = 0; index < 3; index++) {
    harness.addHost(`host-${index}`)
    await run(500)
  }
  await submit(makeJob('a', 'batch', [makeStep({ estimateMs: 2 * cutMs })]))
  await run(15_000)
  const workerId = harness.poolState.running.get('a.0.0.0')?.[0]?.workerId ?? ''
  harness.hosts.get('host-0')?.setCutFromWorkers(new Set([workerId]))
  await run(cutMs)
  expect(harness.poolState.violations).toEqual([])
  expect(harness.poolState.starts.get('a.0.0.0')).toBe(1)
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([{ workerId, run: 1 }])
}

// Guards against work that is thrown away although another host reaches the worker all the time.
test.each<Case>([{ maxLeaseMs: 6_000, relayMs: 0 }, { maxLeaseMs: 10_000, relayMs: 0 }])('a run on a worker that only other hosts reach goes on for a minute: %j', expectToGoOn)

// Guards against a lease that runs out although relayed polls extend it: the record named the worker under a timer that each renewal moved by half a second, and where answers take
// a while relayed polls come less often than renewals.
test.each<Case>([
  { maxLeaseMs: 6_000, relayMs: 200 }, { maxLeaseMs: 6_000, relayMs: 400 }, { maxLeaseMs: 10_000, relayMs: 200 }, { maxLeaseMs: 10_000, relayMs: 400 }
])('a run on a worker that only other hosts reach, whose answers take a while, goes on for a minute: %j', expectToGoOn)
