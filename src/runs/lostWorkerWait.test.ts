/** A unit under which four workers have crashed and another was lost waits until it is known whether that one has crashed too; the scheduler changes meanwhile. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { encodeAccepted, getAcceptedKey, getProgressKey } from '../jobs/jobKeys.js'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import { pendingLimitMs } from './crashEvidence.js'

const jobId = 'job'
const task = 'job.0.0.0'
const maxLeaseMs = 3_000
/** The interval at which the age of a loss is stored, in ms. */
const writePeriodMs = 2_000
/** A new term reads its records, and begins with the first answers of its workers, within this, in ms. */
const takeoverMs = 1_000

let harness: PoolHarness
let progressWrites: number
const { run, waitForState } = createPoolSteps(() => harness)

beforeEach(() => {
  jest.useFakeTimers()
  progressWrites = 0
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(6_000)
  await stopped
  jest.useRealTimers()
})

/** Starts a job whose first four runs ended with crashes that count, and whose worker is lost in the fifth run. */
async function loseFifthRun (awayMs: number): Promise<void> {
  harness = createPoolHarness({
    workers: 3,
    maxLeaseMs,
    crash: { awayMs, keepsId: false },
    getRun: (_task, number) => ({ workMs: number === 5 ? 60_000 : 300, how: EndKind.Done }),
    interceptStore: (_hostId, client) => ({
      ...client,
      transact: async transaction => {
        if (transaction.writes?.some(({ key }) => key === getProgressKey(jobId)) === true) progressWrites++
        return await client.transact(transaction)
      }
    })
  })
  const job = makeJob(jobId, 'batch', [makeStep()])
  harness.store.write(getAcceptedKey(jobId), encodeAccepted(job))
  const crashes = [1, 2, 3, 4].map(number => [number, [0], `earlier-${number}`, 0, 100, 4_000, 5])
  harness.store.write(getProgressKey(jobId), JSON.stringify({ state: JobState.Active, done: {}, units: [[0, 0, 0, 4, [], '', [], crashes]] }))
  harness.addHost('host-0')
  for (let elapsedMs = 0; elapsedMs < 5_000 && getLocation() === undefined; elapsedMs += 10) await run(10)
  await run(200)
  const worker = harness.workers.get(getLocation() ?? '')
  harness.crashWorker(getLocation() ?? '')
  if (worker !== undefined) harness.setListed(worker.info.workerId, false)
  for (let elapsedMs = 0; elapsedMs < 8_000 && !isLossStored(); elapsedMs += 10) await run(10)
  expect(isLossStored()).toBe(true)
}

function getLocation (): string | undefined {
  return harness.poolState.running.get(task)?.[0]?.workerId
}

function isLossStored (): boolean {
  const progress = JSON.parse(harness.store.peek(getProgressKey(jobId)) ?? '{}') as { readonly units?: readonly (readonly unknown[])[] }
  return (progress.units?.[0]?.[7] as readonly (readonly unknown[])[]).some(([, , , , , , flags]) => flags === 2)
}

/** Ends the term of a host, and lets another one take over. Returns how long no host scheduled. */
async function replaceScheduler (hostId: string, successorId: string): Promise<number> {
  const successor = harness.addHost(successorId)
  harness.hosts.get(hostId)?.crash()
  const endedAtMs = performance.now()
  for (let elapsedMs = 0; elapsedMs < 8_000 && successor.getTerm() === undefined; elapsedMs += 10) await run(10)
  return performance.now() - endedAtMs
}

test('the wait for a lost worker does not begin anew with each takeover', async () => {
  await loseFifthRun(120_000)
  const lostAtMs = performance.now()
  let limitMs = pendingLimitMs
  for (let number = 0; number < 2; number++) {
    await run(6_000)
    if (number === 0) expect(harness.poolState.starts.get(task)).toBe(1)
    limitMs += writePeriodMs + await replaceScheduler(`host-${number}`, `host-${number + 1}`) + takeoverMs
  }
  await waitForState(jobId, JobState.Complete, 15_000)
  const waitedMs = performance.now() - lostAtMs
  expect(waitedMs).toBeLessThan(limitMs)
  expect(waitedMs).toBeGreaterThan(pendingLimitMs)
  expect(harness.poolState.violations).toEqual([])
})

// Guards against a start after five crashes. Entries are back within 2 s when the store was away.
test('a takeover late in the wait leaves a machine that came back meanwhile the time to show that it has crashed', async () => {
  await loseFifthRun(pendingLimitMs + 4_000)
  await run(pendingLimitMs - 500)
  harness.hosts.get('host-0')?.crash()
  await run(1_500)
  const back = [...harness.workers.keys()].find(workerId => workerId.endsWith('+')) ?? ''
  harness.setListed(back, false)
  const successor = harness.addHost('host-1')
  for (let elapsedMs = 0; elapsedMs < 8_000 && successor.getTerm() === undefined; elapsedMs += 10) await run(10)
  await run(2_000)
  harness.setListed(back, true)
  await waitForState(jobId, JobState.Failed, 10_000)
  expect(harness.poolState.starts.get(task)).toBe(1)
})

test('while a unit waits for a lost worker, its records are written seldom', async () => {
  await loseFifthRun(120_000)
  progressWrites = 0
  await run(pendingLimitMs - 1_000)
  expect(harness.poolState.starts.get(task)).toBe(1)
  expect(progressWrites).toBeGreaterThan(0)
  expect(progressWrites).toBeLessThanOrEqual(pendingLimitMs / writePeriodMs)
})

// Guards against a lost run that is taken for cut off because the list still shows the life it ran on beside the one before: that life may have crashed since.
test('a loss stays pending while the list shows the life of the lost run, until its machine reports', async () => {
  harness = createPoolHarness({ workers: 3, maxLeaseMs, crash: { awayMs: 1_000, keepsId: false }, getRun: () => ({ workMs: 300, how: EndKind.Done }) })
  harness.crashWorker('worker-0')
  await run(1_100)
  const { machineId, bornAtMs } = harness.workers.get('worker-0+')?.info ?? {}
  harness.crashWorker('worker-0+', { awayMs: 2_500, keepsId: false })
  harness.store.write(getAcceptedKey(jobId), encodeAccepted(makeJob(jobId, 'batch', [makeStep()])))
  const crashes = [1, 2, 3, 4].map(number => [number, [0], `earlier-${number}`, 0, 100, 4_000, 5])
  harness.store.write(getProgressKey(jobId), JSON.stringify({ state: JobState.Active, done: {}, units: [[0, 0, 0, 5, [], '', [], [...crashes, [5, [0], machineId, bornAtMs, 100, 0, 2, 0]]]] }))
  harness.addHost('host-0')
  await waitForState(jobId, JobState.Failed, 30_000)
  expect(harness.poolState.starts.get(task)).toBeUndefined()
})
