/**
 * `npm run measure:takeover`: the time from the last start request before the scheduling host is killed or stopped to the next one of its
 * successor, by the number of workers; and the number of terms that a slow or lossy store ends. All hosts, workers and the store run
 * in this process, on real time, with round trips that are simulated by timers.
 */
import { silentLogger } from '../common/logger.js'
import { createRandom } from '../common/random.js'
import { delay } from '../common/time.js'
import { createLeaderElection } from '../election/leaderElection.js'
import { EndKind } from '../jobs/jobModel.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import { createConfirmedWrites } from '../store/confirmedWrites.js'
import { createImpairedStore } from '../testing/impairedStore.js'
import type { Impairment } from '../testing/impairedStore.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { HarnessOrder, PoolHarness } from '../testing/poolHarness.js'

const workerCounts = [33, 246]
const takeoversPerKind = 6
const hostCount = 3
/** Round trips, in ms: to a store in the own region, and to workers in another one. */
const storeRoundTripMs = 6
const workerRoundTripMs = 30
/** A job of one task arrives at this interval, in ms, so that there is always something to start. */
const arrivalPeriodMs = 20
const taskMs = 1_500
/** Time before each kill, in ms, in which the new host starts to follow the records; a random part spreads the kills over the renewals. */
const warmUpMs = 2_500
const takeoverLimitMs = 10_000
const electionsPerFault = 60
const faultMs = 10_000
const normal: Impairment = { roundTripMs: 4, lostAnswers: 0, lostPackets: 0 }
const faults: Readonly<Record<string, Impairment>> = {
  'answers after 240 ms': { ...normal, roundTripMs: 240 },
  'answers after 500 ms': { ...normal, roundTripMs: 500 },
  'a third of the answers lost': { ...normal, lostAnswers: 1 / 3 },
  'six in ten writes not answered': { ...normal, lostWrites: 0.6 },
  '2.5 % packet loss': { ...normal, roundTripMs: 40, lostPackets: 0.025 }
}

const random = createRandom(1)

for (const workers of workerCounts) {
  console.log(JSON.stringify({ workers, how: 'killed', ...await measureTakeovers(workers, (harness, hostId) => { harness.hosts.get(hostId)?.crash() }) }))
  console.log(JSON.stringify({ workers, how: 'stopped', ...await measureTakeovers(workers, (harness, hostId) => { void harness.hosts.get(hostId)?.stop() }) }))
}
for (const [fault, impairment] of Object.entries(faults)) console.log(JSON.stringify({ fault, forMs: faultMs, elections: electionsPerFault, ...await measureFalseTakeovers(impairment) }))
process.exit(0)

async function measureTakeovers (workers: number, end: (harness: PoolHarness, hostId: string) => void): Promise<object> {
  const harness = createPoolHarness({ workers, getRun: () => ({ workMs: taskMs, how: EndKind.Done }), storeRoundTripMs, workerRoundTripMs, isListStored: true, hasStandbys: true })
  let hosts = 0
  while (hosts < hostCount) harness.addHost(`host-${hosts++}`)
  let jobs = 0
  const arrivals = setInterval(() => { harness.submit(makeJob(`job-${jobs++}`, 'urgent', [makeStep({ estimateMs: taskMs })])).catch(() => {}) }, arrivalPeriodMs)
  const gapsMs: number[] = []
  for (let takeover = 0; takeover < takeoversPerKind; takeover++) {
    await delay(warmUpMs + 500 * random())
    const last = harness.orders.at(-1)
    if (last === undefined) throw new Error('nothing has been started')
    end(harness, last.hostId)
    gapsMs.push(Math.round((await waitForSuccessor(harness, last)).atMs - getLastOrderMs(harness, last.hostId)))
    harness.addHost(`host-${hosts++}`)
  }
  clearInterval(arrivals)
  const stopped = harness.stop()
  await Promise.race([stopped, delay(2_000)])
  const overlapping = harness.orders.filter((order, index) => harness.orders.slice(0, index).some(earlier => earlier.epoch > order.epoch)).length
  gapsMs.sort((left, right) => left - right)
  return { medianMs: gapsMs[Math.floor(gapsMs.length / 2)], maxMs: gapsMs.at(-1), gapsMs, startsAfterASuccessor: overlapping, violations: harness.poolState.violations.length }
}

function getLastOrderMs (harness: PoolHarness, hostId: string): number {
  return Math.max(...harness.orders.filter(order => order.hostId === hostId).map(order => order.atMs))
}

async function waitForSuccessor (harness: PoolHarness, last: HarnessOrder): Promise<HarnessOrder> {
  for (let waitedMs = 0; waitedMs < takeoverLimitMs; waitedMs += 2) {
    const next = harness.orders.find(order => order.epoch > last.epoch)
    if (next !== undefined) return next
    await delay(2)
  }
  throw new Error(`nothing was started within ${takeoverLimitMs} ms`)
}

async function measureFalseTakeovers (fault: Impairment): Promise<object> {
  const results = await Promise.all(Array.from({ length: electionsPerFault }, async (_, index) => await countTerms(index, fault)))
  return {
    falseTakeovers: results.reduce((sum, { terms }) => sum + terms - 1, 0),
    /** The share of the time in which no term was valid, so that nothing could be sent. */
    invalidShare: Math.round(10_000 * results.reduce((sum, { invalidShare }) => sum + invalidShare, 0) / electionsPerFault) / 10_000
  }
}

async function countTerms (seed: number, fault: Impairment): Promise<{ readonly terms: number, readonly invalidShare: number }> {
  const store = createMemoryStore()
  const seeded = createRandom(seed)
  const impairment = { ...normal }
  const terms: { isValid (): boolean }[] = []
  const elections = [0, 1].map(index => createLeaderElection({
    store: createConfirmedWrites({ store: createImpairedStore(store.connect(`host-${index}`), impairment, seeded) }),
    hostId: `host-${index}`,
    logger: silentLogger,
    random: seeded,
    isSmall: false,
    minTtlMs: 1_000,
    onElected: term => { terms.push(term) }
  }))
  await delay(1_000)
  Object.assign(impairment, fault)
  let checks = 0
  let invalid = 0
  const endsAtMs = performance.now() + faultMs
  while (performance.now() < endsAtMs) {
    checks++
    if (!terms.some(term => term.isValid())) invalid++
    await delay(10)
  }
  Object.assign(impairment, normal)
  await delay(1_000)
  const { length } = terms
  await Promise.all(elections.map(async election => { await election.stop() }))
  return { terms: length, invalidShare: invalid / checks }
}
