/** Takeovers by a host whose writes the store refuses once the term has begun. */
import { afterEach, expect, jest, test } from '@jest/globals'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { leaderKey } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import { grantPrefix } from './grantRecordFormat.js'

const workers = 24
let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)

afterEach(async () => {
  const stopped = harness.stop()
  await run(5_000)
  await stopped
  jest.useRealTimers()
})

function startHarness (options: Partial<PoolHarnessOptions>): void {
  jest.useFakeTimers()
  harness = createPoolHarness({ workers, maxLeaseMs: 6_000, getRun: () => ({ workMs: 20_000, how: EndKind.Done }), ...options })
  harness.addHost('host-0')
}

async function takeOver (vacantMs: number): Promise<void> {
  const [first] = harness.hosts.values()
  harness.addHost('host-1')
  await run(2_000)
  first?.crash()
  while (harness.store.peek(leaderKey) !== 'host-1') await run(10)
  await run(vacantMs)
}

// Workers that the first write of the record excludes each need another write before their leases can be extended.
test.each([60, 160, 300])('a takeover ends no run of workers at %i ms if the store refuses further writes of the record', async workerRoundTripMs => { await expectNoRunEnded(workerRoundTripMs) })

async function expectNoRunEnded (workerRoundTripMs: number): Promise<void> {
  let isRefusing = false
  startHarness({
    workerRoundTripMs,
    interceptStore: (hostId, client) => ({
      ...client,
      transact: async transaction => {
        if (isRefusing && hostId === 'host-1' && transaction.writes.some(({ key }) => key.startsWith(grantPrefix))) throw createError(ErrorKind.StoreUnavailable, 'the store answered with status 429')
        const result = await client.transact(transaction)
        if (hostId === 'host-1' && transaction.writes.some(({ key }) => key.startsWith(grantPrefix))) isRefusing = true
        return result
      }
    })
  })
  await run(1_000)
  await submit(makeJob('a', 'batch', [makeStep({ count: 20, request: { cpuMilli: 64_000, memoryMb: 8_000, accelerators: 8 } })]))
  await run(4_000)
  await takeOver(8_000)
  isRefusing = false
  await waitForState('a', JobState.Complete, 60_000)
  expect(harness.poolState.violations).toEqual([])
  expect(harness.orders.length).toBe(20)
}
