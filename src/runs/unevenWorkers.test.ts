/**
 * The scheduler with workers that turn several times slower, on the load pattern of testing/overloadDay.ts below saturation.
 * `SASSAFRASFORD_UNEVEN_SEEDS=1,2,3 npm run jest -- unevenWorkers` prints the share of the slow workers that was found, the time to find
 * them, the healthy workers that were quarantined, and what callers got.
 */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createRandom } from '../common/random.js'
import { EndKind, isTerminal } from '../jobs/jobModel.js'
import { getProgressKey } from '../jobs/jobKeys.js'
import { decodeState } from '../jobs/trackedJob.js'
import { createOverloadDay, evaluateOverloadDay, overloadConfiguration, overloadStepMs, overloadWorkers, overloadWorkersPerRack } from '../testing/overloadDay.js'
import type { OverloadResult } from '../testing/overloadDay.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'

const seeds = (process.env.SASSAFRASFORD_UNEVEN_SEEDS ?? '1').split(',').map(Number)
const loadFactor = Number(process.env.SASSAFRASFORD_UNEVEN_FACTOR ?? 0.7)
const lengthMs = 24_000
const settleMs = 40_000
const stepMs = 10
const minFoundShare = 0.75
/** The workers turn slow when the queues' mean run times are known, and are slow for as long as on the users' days. */
const slowFromMs = 10_000
const slowToMs = 18_000
const slowShare = 0.1
const slowSpeed = 0.2
/** A slow worker that runs nothing can't be found, and does no harm; one that runs something this long, in ms, should be found. */
const minExposureMs = 2_000

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

async function run (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) await jest.advanceTimersByTimeAsync(stepMs)
}

interface Played {
  readonly result: OverloadResult
  readonly violations: readonly string[]
  readonly openJobs: readonly string[]
  /** The number of slow workers that ran something for `minExposureMs` while they were slow, or were found earlier. */
  readonly exposed: number
  /** The time for which each slow worker that was quarantined had run something while it was slow, in ms. */
  readonly findTimesMs: readonly number[]
  /** Healthy workers that were quarantined. */
  readonly accused: readonly string[]
}

/** Plays a day on which each worker has a speed between 0.8 and 1.3, and some of them turn slow for a while. */
async function play (seed: number, share: number): Promise<Played> {
  const day = createOverloadDay(seed, lengthMs, loadFactor)
  const harness = createPoolHarness({ workers: overloadWorkers, workersPerRack: overloadWorkersPerRack, maxLeaseMs: 6_000, getRun: day.getRun, getConfiguration: () => overloadConfiguration })
  const host = harness.addHost('host-0')
  const random = createRandom(seed + 1_000)
  const speeds = new Map([...harness.workers.keys()].map(workerId => [workerId, 0.8 + 0.5 * random()]))
  const slow = [...speeds.keys()].sort(() => random() - 0.5).slice(0, Math.round(share * overloadWorkers))
  for (const [workerId, worker] of harness.workers) worker.setSpeed(speeds.get(workerId) ?? 1)
  await run(1_000)
  const endedAtMs = new Map<string, number>()
  const open = new Set<string>()
  /** How long each slow worker has run something while it was slow, in ms, and that time when it was found. */
  const exposureMs = new Map<string, number>()
  const foundAfterMs = new Map<string, number>()
  const accused = new Set<string>()
  let next = 0
  for (let elapsedMs = 0; elapsedMs < lengthMs + settleMs && (elapsedMs < lengthMs || open.size > 0); elapsedMs += overloadStepMs) {
    if (elapsedMs === slowFromMs) for (const workerId of slow) harness.workers.get(workerId)?.setSpeed(slowSpeed)
    if (elapsedMs === slowToMs) for (const workerId of slow) harness.workers.get(workerId)?.setSpeed(speeds.get(workerId) ?? 1)
    for (; (day.arrivals[next]?.atMs ?? Infinity) <= elapsedMs; next++) {
      const { job } = day.arrivals[next] as (typeof day.arrivals)[number]
      void harness.submit({ ...job, acceptedAtMs: Date.now() })
      open.add(job.jobId)
    }
    await run(overloadStepMs)
    for (const { workerId } of host.getScheduler()?.getStatus().workers.heldBack ?? []) {
      const isSlow = slow.includes(workerId) && elapsedMs >= slowFromMs && elapsedMs < slowToMs + 4_000
      if (!isSlow) accused.add(workerId)
      else if (!foundAfterMs.has(workerId)) foundAfterMs.set(workerId, exposureMs.get(workerId) ?? 0)
    }
    const busy = new Set([...harness.poolState.running.values()].flat().map(({ workerId }) => workerId))
    if (elapsedMs >= slowFromMs && elapsedMs < slowToMs) for (const workerId of slow) if (busy.has(workerId)) exposureMs.set(workerId, (exposureMs.get(workerId) ?? 0) + overloadStepMs)
    for (const jobId of open) {
      const value = harness.store.peek(getProgressKey(jobId))
      if (value === undefined || !isTerminal(decodeState(value))) continue
      endedAtMs.set(jobId, elapsedMs)
      open.delete(jobId)
    }
  }
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  const { violations } = harness.poolState
  const exposed = slow.filter(workerId => foundAfterMs.has(workerId) || (exposureMs.get(workerId) ?? 0) >= minExposureMs).length
  return { result: evaluateOverloadDay(day, endedAtMs, harness.poolState), violations, openJobs: [...open], exposed, findTimesMs: [...foundAfterMs.values()].sort((left, right) => left - right), accused: [...accused] }
}

function print (seed: number, played: Played): void {
  if (process.env.SASSAFRASFORD_UNEVEN_SEEDS !== undefined) process.stdout.write(`${JSON.stringify({ seed, found: `${played.findTimesMs.length} of ${played.exposed}`, findTimesMs: played.findTimesMs, accused: played.accused, ...played.result })}\n`)
}

const playedBySeed = new Map<number, Played>()

test.each(seeds)('seed %i: while a tenth of the workers is 5 times slower, no invariant is violated, every job ends, and no healthy worker is quarantined', async seed => {
  const played = await play(seed, slowShare)
  playedBySeed.set(seed, played)
  print(seed, played)
  expect(played.violations).toEqual([])
  expect(played.openJobs).toEqual([])
  expect(played.accused).toEqual([])
})

// Listed in KNOWN-RED.txt: a gang that fills its workers leaves no other run to tell its members apart.
test.failing.each(seeds)('seed %i: of a tenth of the workers that turn 5 times slower, three quarters of those in use are found', async seed => {
  const played = playedBySeed.get(seed) ?? await play(seed, slowShare)
  expect(played.findTimesMs.length).toBeGreaterThanOrEqual(Math.ceil(minFoundShare * played.exposed))
})

test.each(seeds)('seed %i: on workers whose speeds differ by 0.8 to 1.3 none is quarantined', async seed => {
  const played = await play(seed, 0)
  print(seed, played)
  expect(played.violations).toEqual([])
  expect(played.accused).toEqual([])
})

test('an urgent gang with a worker that is 5 times slower is moved off it and completes before twice its objective', async () => {
  const harness = createPoolHarness({ workers: 24, workersPerRack: 8, maxLeaseMs: 6_000, getRun: () => ({ workMs: 2_500, how: EndKind.Done }) })
  harness.addHost('host-0')
  await run(1_000)
  const request = { cpuMilli: 8_000, memoryMb: 8_000, accelerators: 8 }
  const submitGang = async (jobId: string): Promise<void> => { await harness.submit(makeJob(jobId, 'urgent', [makeStep({ count: 5, isGang: true, request, estimateMs: 2_500 })])) }
  for (let index = 0; index < 3; index++) {
    void submitGang(`before-${index}`)
    await run(3_500)
  }
  void submitGang('hit')
  await run(500)
  const [place] = harness.poolState.running.get('hit.0.0.2') ?? []
  harness.workers.get(place?.workerId ?? '')?.setSpeed(0.2)
  let elapsedMs = 500
  for (; elapsedMs < 20_000; elapsedMs += 50) {
    const value = harness.store.peek(getProgressKey('hit'))
    if (value !== undefined && isTerminal(decodeState(value))) break
    await run(50)
  }
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  if (process.env.SASSAFRASFORD_UNEVEN_SEEDS !== undefined) process.stdout.write(`the gang took ${elapsedMs} ms\n`)
  expect(harness.poolState.violations).toEqual([])
  expect(elapsedMs).toBeLessThan(2 * (1.5 * 2_500 + 500))
})
