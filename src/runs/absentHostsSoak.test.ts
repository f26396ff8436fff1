/**
 * Randomised tests by seed of absences of all hosts and of series of short terms, while workers leave for good, are cut off, or keep slow clocks, and the
 * store drops its leases or applies writes late: no task runs twice, and nothing waits for leases that have ended. One test draws the ends of the terms one
 * after the other, and looks for work that stands still at any time of the run.
 */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { createLogger, silentLogger } from '../common/logger.js'
import { leaderKey } from '../election/leaderElection.js'
import { EndKind } from '../jobs/jobModel.js'
import type { JobSpec } from '../jobs/jobModel.js'
import type { Unit } from '../jobs/trackedJob.js'
import { createLivenessCheck } from '../testing/livenessCheck.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import { disturbTerm, getLeader, termDisturbanceCount } from '../testing/termDisturbances.js'
import type { Disturb } from '../testing/termDisturbances.js'
import { grantPrefix } from './grantRecordFormat.js'
import { getLongestDurationMs } from './workerLease.js'

/** Seed 12 guards against a wait for missing entries that begins with the term and not with the host's contact with the store. */
const seeds = (process.env.SASSAFRASFORD_SOAK_SEEDS ?? '1,2,3,12').split(',').map(Number)
/** The time of day at which each test starts, as Unix time in ms: hosts ask the scheduler in turn by it. */
const startAtMs = 1_700_000_000_000
const maxLeaseMs = 6_000
const workerCount = 10
const roundCount = 6
/** At most this many workers leave for good, so that half of the pool is left. */
const maxGone = 4
const goneMs = 3_600_000
/** Every lease has ended this long after its last extension, with the margins of slow clocks and of the record. */
const longAbsenceMs = 8_000
/** The last absence of all hosts is at least this long, in ms: shorter than a lease. */
const minAbsenceMs = 1_000
/** The shortest time, in ms, for which a worker is silent before the last absence; in a shorter one the scheduler can hardly record it. */
const minSilenceMs = 1_500
/** What was done late has been done after this, in ms: requests come up to 12 s late, cuts last up to 16 s. */
const settleMs = 18_000
const lookPeriodMs = 100
/** The run of this job's task lasts beyond the last absence, and its worker leaves for good before it or when it begins. */
const lastJobId = 'last'
const lastWorkMs = 120_000
/** The seeds of the series of terms in CI: short terms (4), all hosts frozen (19), renewals held back (5), and leases of 6 s (3). */
const seriesSeeds = process.env.SASSAFRASFORD_SOAK_SEEDS === undefined ? [3, 4, 5, 19] : seeds
/** Added to a seed for the delays of the hosts that run for leader, so that these do not change the series. */
const electionSeedOffset = 15_485_863
const seriesWorkerCount = 24
const seriesHostCount = 3
const seriesRoundCount = 3
/** The most ends of terms in one series. */
const maxTermEnds = 5
/** Work counts as able to run only when nothing has been disturbed for this long, in ms. Source: the platform's rules (LOST). */
const calmMs = 4_000
/** The longest time, in ms, for which the hosts may be without a new leader after a term has been disturbed. */
const electionLimitMs = 4_000

const logger = process.env.SASSAFRASFORD_SOAK_LOG === undefined ? silentLogger : createLogger({ level: 'info' })
let harness: PoolHarness
let hostNumber = 0
const { run } = createPoolSteps(() => harness)

beforeEach(() => {
  jest.useFakeTimers({ now: startAtMs })
  hostNumber = 0
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

test.each(seeds)('seed %i: no task runs twice, and after the last absence nothing stands still', async seed => {
  const random = createRandom(seed)
  harness = createPoolHarness({ hasRelayedPolls: true, hasEndReaders: true, workers: workerCount, maxLeaseMs, logger, getRun: task => ({ workMs: task.startsWith(lastJobId) && !hasLastLeft ? lastWorkMs : 500 + 10 * random(1_000), how: EndKind.Done }) })
  for (const worker of harness.workers.values()) worker.setClockRate(1 - 0.02 * random(11) / 10)
  const gone = new Set<string>()
  let hasLastLeft = false
  const jobs: JobSpec[] = []
  addHosts(2)
  await run(1_000)
  for (let round = 0; round < roundCount; round++) {
    const job = makeJob(`job${round}`, random(2) === 0 ? 'urgent' : 'batch', [makeStep({ count: 2 + random(5), isGang: random(3) === 0 })])
    // A job that the store refuses is not judged: the check looks at accepted ones.
    jobs.push(job)
    void harness.submit(job).catch(() => {})
    await run(500)
    disturbWorkers(gone, random)
    disturbStore(random)
    await run(100 * random(20))
    disturbHosts(random)
    await run(100 * random(80))
    addHosts(2)
    await run(500 + 100 * random(30))
  }
  for (const [workerId, worker] of harness.workers) {
    if (gone.has(workerId)) continue
    worker.setUnreachable(false)
    worker.delayRequests(0, 0)
    harness.setCutFromStore(workerId, false)
  }
  for (const hostId of harness.hosts.keys()) harness.store.delayWrites(hostId, 0, 0)
  await run(settleMs)
  const last = makeJob(lastJobId, 'urgent', [makeStep()])
  jobs.push(last)
  await Promise.all([harness.submit(last), run(longAbsenceMs)])
  const [location] = harness.poolState.running.get(`${lastJobId}.0.0.0`) ?? []
  expect(location).toBeDefined()
  hasLastLeft = true
  harness.crashWorker(location?.workerId ?? '', { awayMs: goneMs, keepsId: true })
  const leftAtMs = performance.now()
  await run(random(3) === 0 ? 0 : minSilenceMs + 100 * random(60))
  const isSilent = performance.now() - leftAtMs >= minSilenceMs
  for (const host of [...harness.hosts.values()]) host.crash()
  const absentAtMs = performance.now()
  await run(minAbsenceMs + 100 * random(110))
  addHosts(2)
  // What the scheduler could not record before the absence is waited for as if its lease had been extended until then.
  const leasesEndAtMs = (isSilent ? leftAtMs : absentAtMs) + getLongestDurationMs(maxLeaseMs)
  await run(Math.max(0, leasesEndAtMs - performance.now()))
  const check = createLivenessCheck(harness)
  const standing: string[] = []
  for (let elapsedMs = 0; elapsedMs < 25_000; elapsedMs += lookPeriodMs) {
    await run(lookPeriodMs)
    standing.push(...check.look(jobs))
  }
  expect(harness.poolState.violations).toEqual([])
  expect(standing).toEqual([])
})

// Guards against waits that begin anew with each term, or with whatever a term does late, for the lease of a worker that has left before.
test.each(seriesSeeds)('seed %i: through a series of terms no task runs twice, and at no time a job stands still', async seed => {
  const random = createRandom(seed)
  const randomDelay = createRandom(seed + electionSeedOffset)
  const leaseMs = seed % 3 === 0 ? 6_000 : 10_000
  harness = createPoolHarness({
    hasRelayedPolls: true,
    hasEndReaders: true,
    workers: seriesWorkerCount,
    maxLeaseMs: leaseMs,
    logger,
    random: () => randomDelay(1_000) / 1_000,
    getRun: () => ({ workMs: 10_000 + 100 * random(600), how: EndKind.Done })
  })
  const leftAtMs = new Map<string, number>()
  let calmFromMs = 0
  const disturb: Disturb = (what, forMs = 0) => {
    calmFromMs = Math.max(calmFromMs, performance.now() + forMs)
    logger.info('disturbed', { what, atMs: performance.now(), forMs })
  }
  const isLeaseLeft = (workerId: string): boolean => performance.now() < (leftAtMs.get(workerId) ?? -Infinity) + getLongestDurationMs(leaseMs)
  const isAwaited = ({ attempts }: Unit): boolean => performance.now() < calmFromMs + calmMs || attempts.some(({ members }) => members.some(({ workerId }) => isLeaseLeft(workerId)))
  const check = createLivenessCheck(harness, isAwaited)
  const jobs: JobSpec[] = []
  const submitJob = (): void => {
    const job = makeJob(`job${jobs.length}`, random(2) === 0 ? 'urgent' : 'batch', [makeStep({ count: 1 + random(3), isGang: random(3) === 0 })])
    jobs.push(job)
    void harness.submit(job).catch(() => {})
  }
  const standing: string[] = []
  const advance = async (ms: number): Promise<void> => {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += lookPeriodMs) {
      await run(lookPeriodMs)
      standing.push(...check.look(jobs))
    }
  }
  addHosts(seriesHostCount)
  await advance(1_000)
  for (let round = 0; round < seriesRoundCount; round++) {
    for (let index = 0; index < 4; index++) submitJob()
    await advance(1_500 + 100 * random(10))
    for (let count = 1 + random(4); count > 0; count--) {
      // Those that leave later do so between the ends of the terms.
      setTimeout(() => {
        const workerId = pickBusyWorker(random)
        if (workerId === undefined) return
        leftAtMs.set(workerId, performance.now())
        disturb(`${workerId} leaves`)
        harness.crashWorker(workerId, { awayMs: goneMs, keepsId: false })
      }, 100 * random(random(3) === 0 ? 60 : 10))
    }
    if (random(3) === 0) cutWorkerOff(pickBusyWorker(random), 1_000 + 100 * random(80), disturb)
    await advance(100 * random(15))
    // Half of the series repeat one kind of disturbance, and a third has only terms that are about as short as a takeover.
    const kind = random(2) === 0 ? random(termDisturbanceCount) : undefined
    const areAllShort = random(3) === 0
    for (let left = 1 + random(maxTermEnds), epoch = 0; left > 0; left--) {
      for (let waitedMs = 0; waitedMs < electionLimitMs && (getLeader(harness)?.getTerm()?.epoch ?? epoch) === epoch; waitedMs += lookPeriodMs) await advance(lookPeriodMs)
      await advance(100 * (areAllShort || random(2) === 0 ? 1 + random(7) : 7 + random(40)))
      if (random(3) === 0) submitJob()
      const leader = getLeader(harness)
      epoch = leader?.getTerm()?.epoch ?? epoch
      if (leader !== undefined) disturbTerm({ harness, addHosts: () => { addHosts(seriesHostCount) }, random, disturb }, leader, kind ?? random(termDisturbanceCount))
    }
    while (performance.now() < calmFromMs) await advance(lookPeriodMs)
    await advance(calmMs + 3_000 + leaseMs)
  }
  expect(harness.poolState.violations).toEqual([])
  expect(standing).toEqual([])
})

function createRandom (seed: number): (limit: number) => number {
  const generator = xoroshiro128plus(seed)
  return limit => uniformInt(generator, 0, limit - 1)
}

function addHosts (count: number): void {
  while (harness.hosts.size < count) harness.addHost(`host-${hostNumber++}`)
}

function pickBusyWorker (random: (limit: number) => number): string | undefined {
  const workerIds = [...new Set([...harness.poolState.running.values()].flat().map(({ workerId }) => workerId))].sort()
  return workerIds[random(Math.max(1, workerIds.length))]
}

function cutWorkerOff (workerId: string | undefined, forMs: number, disturb: Disturb): void {
  if (workerId === undefined) return
  const setCut = (isCut: boolean): void => {
    harness.workers.get(workerId)?.setUnreachable(isCut)
    harness.setCutFromStore(workerId, isCut)
  }
  disturb(`cut off ${workerId}`, forMs)
  setCut(true)
  setTimeout(() => { setCut(false) }, forMs)
}

function pickWorker (random: (limit: number) => number): string {
  return [...harness.workers.keys()][random(harness.workers.size)] as string
}

function leaveForGood (gone: Set<string>, random: (limit: number) => number): void {
  const workerId = pickWorker(random)
  if (gone.size >= maxGone || gone.has(workerId)) return
  gone.add(workerId)
  harness.crashWorker(workerId, { awayMs: goneMs, keepsId: true })
}

function disturbWorkers (gone: Set<string>, random: (limit: number) => number): void {
  for (let count = 0; count < 3; count++) {
    const workerId = pickWorker(random)
    const setCut = (isCut: boolean): void => {
      harness.workers.get(workerId)?.setUnreachable(isCut)
      harness.setCutFromStore(workerId, isCut)
    }
    const disturbances: readonly (() => void)[] = [
      () => { leaveForGood(gone, random) },
      () => {
        setCut(true)
        setTimeout(() => { setCut(false) }, 1_000 + 100 * random(150))
      },
      () => { harness.workers.get(workerId)?.delayRequests(1 + random(4), 2_000 + 100 * random(100)) },
      () => {}
    ]
    disturbances[random(disturbances.length)]?.()
  }
}

function disturbStore (random: (limit: number) => number): void {
  const leader = harness.store.peek(leaderKey) ?? ''
  const disturbances: readonly (() => void)[] = [
    () => { harness.store.expireLeases() },
    () => {
      harness.store.pause(true)
      setTimeout(() => { harness.store.pause(false) }, 500 + 100 * random(60))
    },
    () => { harness.store.delayWrites(leader, 1 + random(2), 1_000 + 100 * random(50), grantPrefix) },
    () => { harness.store.compact() },
    () => {},
    () => {}
  ]
  disturbances[random(disturbances.length)]?.()
}

function disturbHosts (random: (limit: number) => number): void {
  const leader = harness.hosts.get(harness.store.peek(leaderKey) ?? '')
  const disturbances: readonly (() => void)[] = [
    () => { for (const host of [...harness.hosts.values()]) host.crash() },
    () => { leader?.crash() },
    () => { leader?.freeze(1_000 + 100 * random(120)) },
    () => { leader?.freeze(1_000 + 100 * random(120), true) },
    () => { void leader?.stop() }
  ]
  disturbances[random(disturbances.length)]?.()
}
