/** The polls of one worker when its answers are lost. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { EndKind } from '../jobs/jobModel.js'
import type { EndedRun, LeaseRenewal, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'
import { RunScope } from './endEvidence.js'
import { createWorkerLink } from './workerLink.js'
import type { WorkerLink, WorkerLinkHost } from './workerLink.js'

/** The time allowed for an answer if the poll does not say another, in ms. */
const usualAnswerTimeoutMs = 500
const capacity = { cpuMilli: 8_000, memoryMb: 16_000, accelerators: 8 }

const end: EndedRun = { sequence: 1, task: 'a.0.0.0', run: 1, how: EndKind.Done, checkpoint: '' }

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

type LinkFields = Pick<WorkerLinkHost, 'term' | 'port' | 'requestedLeaseMs' | 'getMaxGrantMs' | 'getMaxRenewalMs' | 'areEarlierLeasesOver'> & Partial<WorkerLinkHost>

/** Creates the link to a worker that holds runs and grants up to 10 s. */
function createLink (fields: LinkFields): WorkerLink {
  return createWorkerLink({
    logger: silentLogger,
    info: { workerId: 'worker-0', address: 'worker-0', service: 'pool', domain: 'a', bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity, labels: [], rack: 'rack-0' },
    maxLeaseMs: 10_000,
    termStartedAtMs: performance.now(),
    earlierOrders: undefined,
    hasOrdersOfEarlierTerms: false,
    areEarlierOrdersOver: () => true,
    hasUncertainRuns: () => false,
    areAllLeasesOver: () => false,
    onGrant: () => {},
    isNeeded: () => true,
    onReport: async () => {},
    onReachable: () => {},
    onRestarted: () => {},
    onReplaced: () => {},
    onLeaseExpired: () => {},
    ...fields
  })
}

/** Polls a worker whose polls number `lost` (counted from 0) get no answer, and that another worker replaces at `replacedAtMs`. Returns the ends read. */
async function readEnds (lost: ReadonlySet<number>, endAtMs: number, replacedAtMs: number, roundTripMs = 1): Promise<readonly EndedRun[]> {
  const leaving = new AbortController()
  const term = { signal: leaving.signal, epoch: 1, isValid: () => true, resign: () => {} } as unknown as Term
  const read: EndedRun[] = []
  let polls = 0
  const startedAtMs = performance.now()
  const port: WorkerPort = {
    start: async () => { throw createError(ErrorKind.AnswerLost, 'not used') },
    stop: async () => {},
    pace: async () => {},
    close: () => {},
    renewLease: async ({ waitMs, answerTimeoutMs = usualAnswerTimeoutMs }: LeaseRenewal) => {
      if (lost.has(polls++)) {
        await delay(waitMs + answerTimeoutMs)
        throw createError(ErrorKind.AnswerLost, 'the poll got no response')
      }
      if (roundTripMs > answerTimeoutMs) {
        await delay(answerTimeoutMs)
        throw createError(ErrorKind.AnswerLost, 'the answer came too late')
      }
      await delay(roundTripMs)
      const nowMs = performance.now() - startedAtMs
      if (nowMs > replacedAtMs) throw createError(ErrorKind.Conflict, 'another worker uses this address')
      if (nowMs < endAtMs) await delay(Math.min(waitMs, endAtMs - nowMs))
      return { clockMs: Math.floor(performance.now()), bornAtMs: 1, running: [], ended: performance.now() - startedAtMs >= endAtMs ? [end] : [] }
    }
  }
  const link = createLink({
    term,
    port,
    requestedLeaseMs: 10_000,
    getMaxGrantMs: () => 10_000,
    getMaxRenewalMs: () => 10_000,
    areEarlierLeasesOver: () => false,
    onReport: async ({ ended }) => { read.push(...ended) },
    onReplaced: () => { leaving.abort() }
  })
  for (let elapsedMs = 0; elapsedMs < replacedAtMs + 2_000; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
  leaving.abort()
  link.close()
  await jest.advanceTimersByTimeAsync(2_000)
  return read
}

// The run ended while answers were lost; the worker was replaced 0.7 s after the first lost answer was noticed. The task ran again, and its job was late.
test('an end that a worker lists for 0.7 s is read although two answers are lost', async () => {
  // Poll 0 is answered at once and poll 1 after 1.5 s; poll 2 waits 1.5 s and has 0.5 s for its answer.
  const noticedAtMs = 3_500
  expect(await readEnds(new Set([2, 3]), noticedAtMs, noticedAtMs + 700)).not.toEqual([])
})

test('polls of a worker that never answers become rare', async () => {
  const lost = new Set(Array.from({ length: 1_000 }, (_, poll) => poll))
  const polls = jest.fn()
  lost.has = poll => {
    polls()
    return poll >= 0
  }
  await readEnds(lost, 0, 20_000)
  // One in 0.8 s, and the faster ones after the first lost answer.
  expect(polls.mock.calls.length).toBeLessThanOrEqual(22_000 / 800 + 4)
})

// The fast polls after a lost answer were too short for slow links, so that ends were read later than without them.
test.each([50, 140, 160, 310, 400])('an end that a worker lists for 1 s after a lost answer is read at a round trip of %i ms', async roundTripMs => {
  expect(await readEnds(new Set([2]), 3_500, 3_500 + 1_000 + 2 * roundTripMs, roundTripMs)).not.toEqual([])
})

/** Options of `measureWaitMs`. */
interface LossOptions {
  readonly lostAtMs: number
  readonly areEarlierLeasesOver: boolean
  readonly hasEarlierOrders?: boolean
  readonly hasOrdersOfEarlierTerms?: boolean
  /** When the list shows another incarnation. */
  readonly listedAnewAtMs?: number
  /** When the worker is first given a lease; at once by default. */
  readonly grantedFromMs?: number
}

/** A worker grants up to 10 s and is asked for 6 s. Returns how long after the loss its lease counts as over; the latest extension was sent at the loss. */
async function measureWaitMs ({ lostAtMs, areEarlierLeasesOver, hasEarlierOrders = false, hasOrdersOfEarlierTerms = false, listedAnewAtMs, grantedFromMs = 0 }: LossOptions): Promise<number> {
  const leaving = new AbortController()
  const term = { signal: leaving.signal, epoch: 1, isValid: () => true, resign: () => {} } as unknown as Term
  const startedAtMs = performance.now()
  let overAtMs = Infinity
  const getMaxGrantMs = (): number => performance.now() - startedAtMs < grantedFromMs ? 0 : 6_000
  const port: WorkerPort = {
    start: async () => { throw createError(ErrorKind.AnswerLost, 'not used') },
    stop: async () => {},
    pace: async () => {},
    close: () => {},
    renewLease: async () => {
      await delay(10)
      if (performance.now() - startedAtMs > lostAtMs) throw createError(ErrorKind.AnswerLost, 'the poll got no response')
      return { clockMs: Math.floor(performance.now()), bornAtMs: 1, running: [], ended: [] }
    }
  }
  const link = createLink({
    term,
    port,
    requestedLeaseMs: 6_000,
    earlierOrders: hasEarlierOrders ? { laterIncarnationSeenAtMs: performance.now() } : undefined,
    hasOrdersOfEarlierTerms,
    getMaxGrantMs,
    getMaxRenewalMs: getMaxGrantMs,
    areEarlierLeasesOver: () => areEarlierLeasesOver,
    onLeaseExpired: () => { overAtMs = performance.now() }
  })
  for (let elapsedMs = 0; elapsedMs < lostAtMs + 15_000; elapsedMs += 10) {
    if (elapsedMs === listedAnewAtMs) link.expectIncarnation(2)
    await jest.advanceTimersByTimeAsync(10)
    link.reviewLease()
  }
  leaving.abort()
  link.close()
  await jest.advanceTimersByTimeAsync(2_000)
  return overAtMs - startedAtMs - lostAtMs
}

test('the lease of a worker is over after the time that was asked for, not after the longest that it grants', async () => {
  const waitMs = await measureWaitMs({ lostAtMs: 2_000, areEarlierLeasesOver: true })
  expect(waitMs).toBeGreaterThan(6_000 * 1.02)
  expect(waitMs).toBeLessThan(6_500)
})

// Guards against two runs at once after an update: the predecessor, an earlier version, had the worker grant its longest lease just before this term began. The
// worker answered this term, and its lease was asked to last for less.
test.each([500, 2_000, 3_800])('a lease that an earlier version may have asked for is waited for although this term asks for less (lost after %i ms)', async lostAtMs => {
  expect(lostAtMs + await measureWaitMs({ lostAtMs, areEarlierLeasesOver: false })).toBeGreaterThan(10_000 * 1.02)
})

test('a lease of an earlier term delays nothing once it has ended by the clock', async () => {
  expect(await measureWaitMs({ lostAtMs: 8_000, areEarlierLeasesOver: false })).toBeLessThan(6_500)
})

// Guards against two runs at once: an order for the earlier incarnation is carried out late by the next one, whose clock starts anew, so that its lease lasts
// for as long as workers grant.
test.each<LossOptions>([
  { lostAtMs: 12_000, areEarlierLeasesOver: true, hasEarlierOrders: true },
  { lostAtMs: 12_000, areEarlierLeasesOver: true, listedAnewAtMs: 8_000 },
  { lostAtMs: 12_000, areEarlierLeasesOver: true, listedAnewAtMs: 14_000 }
])('the longest lease of a worker is waited for while orders for an earlier incarnation may be under way (%j)', async options => {
  expect(await measureWaitMs(options)).toBeGreaterThan(10_000 * 1.02)
})

// Guards against two runs at once: the incarnation carries out an order of an earlier term just before the first request of this one.
test('the longest lease is waited for from the first answer of an incarnation that may have carried out orders of earlier terms', async () => {
  expect(2_000 + await measureWaitMs({ lostAtMs: 2_000, areEarlierLeasesOver: true, hasOrdersOfEarlierTerms: true })).toBeGreaterThan(10_000 * 1.02)
})

// A worker that had restarted shortly before was waited for as long as its longest lease lasts, although it refused the orders of earlier terms.
test('the longest lease is not waited for from a later extension once an incarnation has answered this term', async () => {
  expect(await measureWaitMs({ lostAtMs: 8_000, areEarlierLeasesOver: true, hasOrdersOfEarlierTerms: true })).toBeLessThan(6_500)
})

// Guards against the longest wait where no order of this term can have reached another incarnation than the one that is lost.
test('the longest lease is not waited for after a restart before which the worker was given no lease', async () => {
  expect(await measureWaitMs({ lostAtMs: 12_000, areEarlierLeasesOver: true, listedAnewAtMs: 3_000, grantedFromMs: 5_000 })).toBeLessThan(6_500)
})

// Guards against a task that runs again after its end was acknowledged: the second report of an end had nothing to store, while the first was still being stored.
test('an end is not acknowledged before it is stored for the first report that listed it', async () => {
  const leaving = new AbortController()
  const term = { signal: leaving.signal, epoch: 1, isValid: () => true, resign: () => {} } as unknown as Term
  const acknowledged: number[] = []
  let reports = 0
  let storeFirst = (): void => {}
  const link = createLink({
    term,
    port: {
      start: async () => { throw createError(ErrorKind.AnswerLost, 'not used') },
      stop: async () => {},
      pace: async () => {},
      close: () => {},
      renewLease: async ({ acknowledgedSequence }) => {
        acknowledged.push(acknowledgedSequence)
        await delay(10)
        return { clockMs: Math.floor(performance.now()), bornAtMs: 1, running: [], ended: [end] }
      }
    },
    requestedLeaseMs: 6_000,
    getMaxGrantMs: () => 6_000,
    getMaxRenewalMs: () => 6_000,
    areEarlierLeasesOver: () => true,
    onReport: async () => {
      reports++
      if (reports === 1) await new Promise<void>(resolve => { storeFirst = resolve })
    }
  })
  await jest.advanceTimersByTimeAsync(5_000)
  expect(reports).toBeGreaterThan(2)
  expect(acknowledged.every(sequence => sequence === 0)).toBe(true)
  storeFirst()
  await jest.advanceTimersByTimeAsync(3_000)
  expect(acknowledged.at(-1)).toBe(end.sequence)
  leaving.abort()
  link.close()
  await jest.advanceTimersByTimeAsync(2_000)
})

/** Creates the link to a worker that answers directly at first, for 1 s, and then only through other hosts, as `relay` says; `relay` is given the lease asked for. */
async function createRelayedLink (relay: (hasLease: boolean) => Promise<WorkerStatusReport>, term: Term): Promise<WorkerLink> {
  const startedAtMs = performance.now()
  const link = createLink({
    term,
    port: {
      start: async () => { throw createError(ErrorKind.AnswerLost, 'not used') },
      stop: async () => {},
      pace: async () => {},
      close: () => {},
      renewLease: async () => {
        await delay(10)
        if (performance.now() - startedAtMs > 1_000) throw createError(ErrorKind.AnswerLost, 'the poll got no response')
        return makeReport()
      }
    },
    requestedLeaseMs: 6_000,
    getMaxGrantMs: () => 6_000,
    getMaxRenewalMs: () => 6_000,
    areEarlierLeasesOver: () => true,
    mayExtendThroughPeers: () => true,
    pollThroughPeers: async ({ lease }) => {
      await delay(10)
      return await relay(lease !== undefined)
    }
  })
  await jest.advanceTimersByTimeAsync(3_000)
  return link
}

function createTerm (leaving: AbortController): Term {
  return { signal: leaving.signal, epoch: 1, isValid: () => true, resign: () => {} } as unknown as Term
}

function makeReport (): WorkerStatusReport {
  return { clockMs: Math.floor(performance.now()), bornAtMs: 1, running: [], ended: [] }
}

async function endLink (link: WorkerLink, leaving: AbortController): Promise<void> {
  leaving.abort()
  link.close()
  await jest.advanceTimersByTimeAsync(3_000)
}

// A poll that was not sent because too many were under way counted as one without an answer: the worker was recorded as silent, and was granted no lease until it
// had been recorded as answering again.
test('a worker is not silent because relayed polls of it are turned away', async () => {
  const leaving = new AbortController()
  let polls = 0
  const link = await createRelayedLink(async () => {
    if (polls++ % 3 === 0) return makeReport()
    throw createError(ErrorKind.Overloaded, 'the maximum number of relayed polls is under way')
  }, createTerm(leaving))
  let longestSilenceMs = 0
  for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 50) {
    await jest.advanceTimersByTimeAsync(50)
    longestSilenceMs = Math.max(longestSilenceMs, link.getSilentForMs())
  }
  expect(longestSilenceMs).toBe(0)
  await endLink(link, leaving)
})

// Guards against runs of a lost worker that are waited for without end: polls that are turned away extended its lease again and again in the scheduler's books.
test('a worker whose relayed polls are all turned away is silent after 2 s, and its lease ends', async () => {
  const leaving = new AbortController()
  let areTurnedAway = false
  let leases = 0
  const link = await createRelayedLink(async hasLease => {
    if (!areTurnedAway) return makeReport()
    if (hasLease) leases++
    throw createError(ErrorKind.Overloaded, 'the maximum number of relayed polls is under way')
  }, createTerm(leaving))
  expect(link.getSilentForMs()).toBe(0)
  areTurnedAway = true
  await jest.advanceTimersByTimeAsync(3_000)
  expect(link.getSilentForMs()).toBeGreaterThan(1_000)
  await jest.advanceTimersByTimeAsync(5_000)
  expect(leases).toBe(1)
  expect(link.getLeaseLeftMs(RunScope.All)).toBeUndefined()
  await endLink(link, leaving)
})
