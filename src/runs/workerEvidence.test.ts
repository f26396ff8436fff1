/** Evidence about workers that are reached through other hosts, start anew, or have had starts without an answer. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { getProgressKey } from '../jobs/jobKeys.js'
import { EndKind } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import type { PoolWorker } from '../standins/poolWorker.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import { grantPrefix } from './grantRecordFormat.js'

const maxLeaseMs = 10_000
let harness: PoolHarness
let worker: PoolWorker
const { run, submit } = createPoolSteps(() => harness)

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** Starts a host and one worker; another worker exists but is not listed. */
async function startHarness (options: Partial<PoolHarnessOptions> = {}): Promise<void> {
  harness = createPoolHarness({ workers: 2, maxLeaseMs, getRun: (_task, number) => ({ workMs: number === 1 ? 60_000 : 300, how: EndKind.Done }), ...options })
  harness.setListed('worker-1', false)
  harness.addHost('host-0')
  await run(500)
  worker = harness.workers.get('worker-0') as PoolWorker
}

// Guards against runs that never end: reports of the new life through other hosts do not show that the old one has a lease.
test('a run is replaced when its worker starts anew while only other hosts reach it and the list does not show it', async () => {
  await startHarness({ hasRelayedPolls: true })
  harness.addHost('host-1')
  harness.addHost('host-2')
  await run(40_000)
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(500)
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([{ workerId: 'worker-0', run: 1 }])
  harness.setListed('worker-1', true)
  harness.hosts.get('host-0')?.setCutFromWorkers(new Set(['worker-0']))
  await run(5_000)
  harness.setCutFromStore('worker-0', true)
  worker.restart()
  await run(12_000)
  expect(harness.orders.filter(({ task }) => task === 'a.0.0.0').map(order => order.run)).toContain(2)
})

// Guards against two runs at once: the next life carries out a start of the previous term, and grants the longest lease from then.
test('a lease that a late start of the previous term gives in the next life of a worker is waited for', async () => {
  await startHarness()
  await run(40_000)
  worker.delayStarts(3, 6_000, true)
  await submit(makeJob('a', 'batch', [makeStep()]))
  worker.losePolls(6_600)
  harness.hosts.get('host-0')?.crash()
  harness.addHost('host-1')
  await run(5_000)
  expect(harness.hosts.get('host-1')?.getTerm()).toBeDefined()
  harness.crashWorker('worker-0', { awayMs: 400, keepsId: true })
  await run(1_800)
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([{ workerId: 'worker-0', run: 1 }])
  harness.setListed('worker-1', true)
  worker.setUnreachable(true)
  await run(12_000)
  expect(harness.poolState.violations).toEqual([])
})

// Guards against a worker that is waited for with the record of the whole term because of a run that has ended.
test('a silent worker is recorded although the first start of a run that has ended there got no answer', async () => {
  await startHarness({ getRun: task => ({ workMs: task.startsWith('a') ? 60_000 : 300, how: EndKind.Done }) })
  await run(1_000)
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(500)
  worker.delayStarts(1, 50)
  await submit(makeJob('b', 'batch', [makeStep()]))
  await run(3_000)
  expect(harness.poolState.running.get('b.0.0.0')).toEqual([])
  worker.setUnreachable(true)
  await run(3_000)
  expect(harness.store.peek(`${grantPrefix}${String(harness.hosts.get('host-0')?.getTerm()?.epoch)}`)).toContain('worker-0')
})

// Guards against two runs at once: the same, in a term that knows no earlier life. Its polls are lost until the start of the previous term has been carried out.
test('a lease that a late start of the previous term gives in a life that has not answered yet is waited for', async () => {
  await startHarness()
  await run(40_000)
  worker.delayStarts(3, 6_000, true)
  await submit(makeJob('a', 'batch', [makeStep()]))
  harness.hosts.get('host-0')?.crash()
  worker.losePolls(6_600)
  harness.restartWorker('worker-0')
  harness.addHost('host-1')
  await run(6_800)
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([{ workerId: 'worker-0', run: 1 }])
  harness.setListed('worker-1', true)
  worker.setUnreachable(true)
  await run(12_000)
  expect(harness.poolState.violations).toEqual([])
})

// Guards against the loss of work on a worker that answers: its polls, which extend the lease of all runs there, wait until an end has been stored.
test('the runs of a worker go on while the end of another run there cannot be stored', async () => {
  let areWritesRefused = false
  await startHarness({
    getRun: task => ({ workMs: task.startsWith('a') ? 60_000 : 1_000, how: EndKind.Done }),
    interceptStore: (_hostId, client) => ({
      ...client,
      transact: async transaction => {
        if (areWritesRefused && transaction.writes.some(({ key }) => key === getProgressKey('b'))) throw createError(ErrorKind.StoreUnavailable, 'the store answered with status 429')
        return await client.transact(transaction)
      }
    })
  })
  await run(1_000)
  await submit(makeJob('a', 'batch', [makeStep()]), makeJob('b', 'batch', [makeStep()]))
  await run(500)
  expect(harness.poolState.running.get('b.0.0.0')).toEqual([{ workerId: 'worker-0', run: 1 }])
  areWritesRefused = true
  await run(8_000)
  areWritesRefused = false
  expect(harness.poolState.running.get('a.0.0.0')).toEqual([{ workerId: 'worker-0', run: 1 }])
})

// Guards against a wait for leases that others have: the timer of workers that fall silent together lasts for the longest of their leases.
test.each([false, true])('a run on a lost worker is replaced in the next term when its lease is over, with a worker lost beside it that had started anew: %s', async isBesideRestarted => {
  harness = createPoolHarness({ workers: 3, maxLeaseMs, getRun: (task, number) => ({ workMs: task.startsWith('x') || number > 1 ? 300 : 60_000, how: EndKind.Done }) })
  for (const workerId of ['worker-1', 'worker-2']) harness.setListed(workerId, false)
  harness.addHost('host-0')
  await run(40_000)
  const request = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }
  await submit(makeJob('x', 'batch', [makeStep({ request })]))
  await run(1_000)
  if (isBesideRestarted) harness.restartWorker('worker-0')
  await run(3_000)
  await submit(makeJob('a', 'batch', [makeStep({ request })]))
  await run(1500)
  harness.setListed('worker-1', true)
  await submit(makeJob('b', 'batch', [makeStep({ request })]))
  await run(12_000)
  expect(harness.poolState.running.get('b.0.0.0')).toEqual([{ workerId: 'worker-1', run: 1 }])
  harness.setListed('worker-2', true)
  for (const workerId of ['worker-0', 'worker-1']) harness.crashWorker(workerId, { awayMs: 120_000, keepsId: false })
  await run(3_000)
  harness.hosts.get('host-0')?.crash()
  harness.addHost('host-1')
  await run(5_000)
  expect(harness.orders.filter(({ task }) => task === 'b.0.0.0').map(order => order.run)).toContain(2)
})
