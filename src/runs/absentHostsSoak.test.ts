/**
 * Randomised tests by seed of absences of all hosts and of series of short terms, while workers leave for good, are cut off, or keep slow clocks, and the
 * store drops its leases or applies writes late: no task runs twice, and nothing waits for leases that have ended.
 */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { leaderKey } from '../election/leaderElection.js'
import { EndKind } from '../jobs/jobModel.js'
import type { JobSpec } from '../jobs/jobModel.js'
import { createLivenessCheck } from '../testing/livenessCheck.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import { grantPrefix } from './grantRecord.js'
import { getLongestDurationMs } from './workerLease.js'

const seeds = (process.env.SASSAFRASFORD_SOAK_SEEDS ?? '1,2,3').split(',').map(Number)
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

let harness: PoolHarness
const { run } = createPoolSteps(() => harness)

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

test.each(seeds)('seed %i: no task runs twice, and after the last absence nothing stands still', async seed => {
  const generator = xoroshiro128plus(seed)
  const random = (limit: number): number => uniformInt(generator, 0, limit - 1)
  harness = createPoolHarness({ workers: workerCount, maxLeaseMs, getRun: task => ({ workMs: task.startsWith(lastJobId) && !hasLastLeft ? lastWorkMs : 500 + 10 * random(1_000), how: EndKind.Done }) })
  for (const worker of harness.workers.values()) worker.setClockRate(1 - 0.02 * random(11) / 10)
  let hostNumber = 0
  const addHosts = (): void => { while (harness.hosts.size < 2) harness.addHost(`host-${hostNumber++}`) }
  const gone = new Set<string>()
  let hasLastLeft = false
  const jobs: JobSpec[] = []
  addHosts()
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
    addHosts()
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
  addHosts()
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
