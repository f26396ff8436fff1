/** A guarantee that is reclaimed by moving guaranteed tasks, from the acceptance of the job to the starts on the workers, also through a takeover. The clock is paused. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import type { Resources } from '../jobs/jobModel.js'
import { EndKind } from '../jobs/jobModel.js'
import { createPoolHarness, harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

const workers = 8
const reclaimMs = 2_900
/** How long after the crash of the scheduling host its successor may still start the claim, in ms: the leader's lease, the takeover, and the claim's own time. */
const takeoverMs = 3_000
const claimedTasks = ['claim.0.0.0', 'claim.0.0.1']
const smallTasks = Array.from({ length: workers }, (_unused, index) => `small.0.0.${index}`)
const configuration = { ...harnessConfiguration, organisations: [{ name: 'mill', keys: ['key-of-mill'], guaranteedAccelerators: 16 }, { name: 'weir', keys: ['key-of-weir'], guaranteedAccelerators: 8 }] }

let harness: PoolHarness
const { run, submit } = createPoolSteps(() => harness)

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** One patient task of seven accelerators and one small guaranteed task on each worker, and a claim on two whole workers. */
async function submitClaim (): Promise<void> {
  harness = createPoolHarness({ workers, getConfiguration: () => configuration, getRun: () => ({ workMs: 60_000, how: EndKind.Done }) })
  for (const hostId of ['host-0', 'host-1']) {
    harness.addHost(hostId)
    await run(300)
  }
  await submit(makeJob('patient', 'batch', [makeStep({ count: workers, request: accelerators(7), estimateMs: 60_000 })], { organisation: 'none' }))
  await run(1_000)
  await submit(makeJob('small', 'urgent', [makeStep({ count: workers, request: accelerators(1), estimateMs: 60_000 })], { organisation: 'weir' }))
  await run(5_000)
  expect(smallTasks.every(isRunning)).toBe(true)
  await submit(makeJob('claim', 'urgent', [makeStep({ count: 2, request: accelerators(8), estimateMs: 60_000 })]))
}

function accelerators (count: number): Resources {
  return { cpuMilli: count * 1_000, memoryMb: count * 1_000, accelerators: count }
}

function isRunning (task: string): boolean {
  return (harness.poolState.running.get(task) ?? []).length > 0
}

async function runUntil (isOver: () => boolean, limitMs: number): Promise<number> {
  for (let waitedMs = 0; waitedMs < limitMs; waitedMs += 50) {
    if (isOver()) return waitedMs
    await run(50)
  }
  return Infinity
}

// RECLAIM, review/14: nothing was preempted for the claim, and its job waited for as long as the small tasks ran.
test('a claim on whole workers starts in time although a guaranteed task lies on each of them, and these are back at work within a second', async () => {
  await submitClaim()
  expect(await runUntil(() => claimedTasks.every(isRunning), reclaimMs)).toBeLessThan(reclaimMs)
  expect(await runUntil(() => smallTasks.every(isRunning), 1_000)).toBeLessThan(1_000)
  expect([...harness.poolState.starts].filter(([task]) => task.startsWith('small')).reduce((sum, [, starts]) => sum + starts, 0)).toBe(workers + 2)
  expect(harness.poolState.violations).toEqual([])
})

test.each([1_200, 1_300, 1_350, 1_400, 1_450, 1_500, 1_600, 1_800, 2_000])('the scheduling host crashes %i ms after the acceptance of the claim: it starts, and no moved task is lost', async crashMs => {
  await submitClaim()
  await run(crashMs)
  harness.hosts.get(harness.store.peek('leader/scheduler') ?? '')?.crash()
  expect(await runUntil(() => claimedTasks.every(isRunning), reclaimMs + takeoverMs)).toBeLessThan(reclaimMs + takeoverMs)
  expect(await runUntil(() => smallTasks.every(isRunning), 3_000)).toBeLessThan(3_000)
  await run(3_000)
  expect([...claimedTasks, ...smallTasks].every(isRunning)).toBe(true)
  expect(harness.poolState.violations).toEqual([])
})

// Each worker in turn: that of the claim, that of the new places, and others.
test.each([0, 1, 2, 3, 4, 5, 6, 7])('worker %i crashes while runs are moved for the claim: no task runs twice, and all that fits is back at work', async index => {
  await submitClaim()
  await run(1_450)
  harness.crashWorker(`worker-${index}`, { awayMs: 2_000, keepsId: true })
  const isBack = (): boolean => [...claimedTasks, ...smallTasks].every(isRunning)
  expect(await runUntil(isBack, 15_000)).toBeLessThan(15_000)
  expect(harness.poolState.violations).toEqual([])
})

test('the claim is cancelled while runs are moved for it: they are back at work, and nothing of the claim runs', async () => {
  await submitClaim()
  await run(1_400)
  await harness.hosts.get('host-0')?.intake.cancel('claim', performance.now() + 1_000)
  expect(await runUntil(() => smallTasks.every(isRunning), 3_000)).toBeLessThan(3_000)
  await run(2_000)
  expect(claimedTasks.some(isRunning)).toBe(false)
  expect(harness.poolState.violations).toEqual([])
})
