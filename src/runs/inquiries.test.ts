/** Inquiries beside the polls of one worker: what their answers, and their failures, mean for acknowledgements, leases and the polls themselves. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { EndKind } from '../jobs/jobModel.js'
import type { EndedRun, LeaseRenewal, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'
import { createWorkerLink } from './workerLink.js'
import type { WorkerLink, WorkerLinkHost } from './workerLink.js'

/** The time allowed for an answer if the request does not say another, in ms. */
const usualAnswerTimeoutMs = 500
const leaseMs = 6_000
const capacity = { cpuMilli: 8_000, memoryMb: 16_000, accelerators: 8 }
const end: EndedRun = { sequence: 1, task: 'a.0.0.0', run: 1, how: EndKind.Done, checkpoint: '' }
let leaving: AbortController
let link: WorkerLink

beforeEach(() => {
  jest.useFakeTimers()
  leaving = new AbortController()
})

afterEach(async () => {
  leaving.abort()
  link.close()
  await run(3_000)
  jest.useRealTimers()
})

async function run (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
}

/** Creates the link to a worker that holds runs and answers as `renewLease` does. */
function createLink (renewLease: WorkerPort['renewLease'], fields: Partial<WorkerLinkHost> = {}): void {
  const term = { signal: leaving.signal, epoch: 1, isValid: () => true, resign: () => {} } as unknown as Term
  link = createWorkerLink({
    term,
    logger: silentLogger,
    port: { start: async () => await loseAnswer(0), stop: async () => {}, pace: async () => {}, close: () => {}, renewLease },
    info: { workerId: 'worker-0', address: 'worker-0', service: 'pool', domain: 'a', bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity, labels: [], rack: 'rack-0' },
    maxLeaseMs: leaseMs,
    requestedLeaseMs: leaseMs,
    termStartedAtMs: performance.now(),
    earlierOrders: undefined,
    hasOrdersOfEarlierTerms: false,
    areEarlierOrdersOver: () => true,
    hasUncertainRuns: () => false,
    getMaxGrantMs: () => leaseMs,
    getMaxRenewalMs: () => leaseMs,
    areEarlierLeasesOver: () => true,
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

function createReport (ended: readonly EndedRun[], bornAtMs = 1): WorkerStatusReport {
  return { clockMs: Math.floor(performance.now()), bornAtMs, running: [], ended }
}

async function loseAnswer (afterMs: number): Promise<never> {
  await delay(afterMs)
  throw createError(ErrorKind.AnswerLost, 'the request got no response')
}

// Guards against two runs of a task: a poll answer that an inquiry has overtaken counted as stored at once, so that the next poll acknowledged an end whose write
// was under way. A host that fails then leaves neither the worker's entry nor the record.
test('an end is not acknowledged before it is stored although an inquiry overtakes a poll that lists it', async () => {
  const acknowledged: number[] = []
  let polls = 0
  createLink(async ({ acknowledgedSequence, isConcurrent = false }: LeaseRenewal) => {
    const isSlow = !isConcurrent && polls++ === 1
    if (!isConcurrent) acknowledged.push(acknowledgedSequence)
    await delay(5)
    const report = createReport([end])
    // The answer is on its way for longer: its packet is sent anew.
    if (isSlow) await delay(300)
    return report
  }, { onReport: async () => { await new Promise<void>(() => {}) } })
  while (polls < 2) await run(10)
  // A start has got no answer for a while.
  await run(50)
  link.inquire()
  await run(3_000)
  expect(acknowledged.length).toBeGreaterThan(3)
  expect(acknowledged.filter(sequence => sequence > 0)).toEqual([])
})

// Guards against a job that stands for longer than the lease of its worker: the answer to an inquiry let a poll pass as answered that failed seconds later, so that
// the lease of a worker that was gone was extended once more, and the wait for it began anew.
test('the lease of a worker is not extended after a poll without an answer beside which an inquiry was answered', async () => {
  let goneAtMs = Infinity
  let latestExtensionAtMs = -Infinity
  createLink(async ({ waitMs, answerTimeoutMs = usualAnswerTimeoutMs, leaseUntilMs }: LeaseRenewal) => {
    if (leaseUntilMs !== undefined) latestExtensionAtMs = performance.now()
    await delay(5 + waitMs)
    if (performance.now() > goneAtMs) return await loseAnswer(answerTimeoutMs - 5)
    return createReport([])
  })
  await run(2_000)
  const pollAtMs = latestExtensionAtMs
  while (latestExtensionAtMs === pollAtMs) await run(10)
  await run(100)
  // A start has got no answer for a while; the inquiry is answered, and the worker is gone just after.
  link.inquire()
  await run(20)
  goneAtMs = performance.now()
  await run(6_000)
  expect(Math.round(latestExtensionAtMs - goneAtMs)).toBeLessThanOrEqual(0)
})

// Guards against a restart that stays unknown: a later life answers a poll that waits for an end after 1.5 s, and the inquiry beside each such poll gave it up
// before, again and again, for as long as the list did not show that life.
test('a restart under the same id is noted, with few requests, although an inquiry shows it first', async () => {
  let requests = 0
  let restartedAtMs = Infinity
  let notedAtMs = Infinity
  createLink(async ({ waitMs, answerTimeoutMs = usualAnswerTimeoutMs, isConcurrent = false, signal }: LeaseRenewal) => {
    requests++
    const sentAtMs = performance.now()
    await delay(5)
    const isLater = sentAtMs >= restartedAtMs
    const isCut = !isLater && sentAtMs + waitMs >= restartedAtMs
    if (isCut) return await loseAnswer(waitMs + answerTimeoutMs - 5)
    if (!isConcurrent) await delay(waitMs, signal)
    return createReport([], isLater ? 2 : 1)
  }, {
    onRestarted: () => { notedAtMs = performance.now() },
    // The run of the earlier life should have ended by now.
    getExpectedEndMs: afterMs => restartedAtMs > afterMs ? restartedAtMs : Infinity
  })
  await run(2_000)
  // It crashes and starts anew within the poll, and the closed connection is not noticed.
  restartedAtMs = performance.now() + 500
  await run(600)
  requests = 0
  await run(5_000)
  expect(requests).toBeLessThan(50)
  expect(notedAtMs - restartedAtMs).toBeLessThan(3_000)
})

// Guards against more calls on quiet days: a fill task that is paced down, or a run that has slowed down, should have ended at each poll anew, and is asked for four
// times beside each.
test('a run that makes no progress costs at most as many inquiries as polls', async () => {
  let polls = 0
  let inquiries = 0
  createLink(async ({ waitMs, isConcurrent = false }: LeaseRenewal) => {
    if (isConcurrent) inquiries++
    else polls++
    await delay(5 + waitMs)
    return createReport([])
  }, { getExpectedEndMs: afterMs => afterMs < 1_000 ? 1_000 : Infinity })
  await run(60_000)
  expect(polls).toBeGreaterThan(30)
  expect(inquiries).toBeLessThanOrEqual(polls)
})

// Guards against an end that a host has received and does not read: the answer to an inquiry was dropped when the poll beside it had failed meanwhile.
test('the answer to an inquiry is applied although its poll has failed meanwhile', async () => {
  const read: EndedRun[] = []
  let polls = 0
  let lostAtMs = Infinity
  let inquiries = 0
  createLink(async ({ waitMs, answerTimeoutMs = usualAnswerTimeoutMs, isConcurrent = false }: LeaseRenewal) => {
    const isLost = !isConcurrent && polls++ >= 2
    if (isLost) lostAtMs = Math.min(lostAtMs, performance.now())
    if (isLost || (isConcurrent && inquiries++ > 0)) return await loseAnswer(waitMs + answerTimeoutMs)
    await delay(isConcurrent ? 100 : 5 + waitMs)
    return createReport(isConcurrent ? [end] : [])
  }, { onReport: async ({ ended }) => { read.push(...ended) } })
  while (lostAtMs === Infinity) await run(10)
  await run(1_940)
  // The answer comes after 2,000 ms, when the time of the poll is over.
  link.inquire()
  await run(3_000)
  expect(inquiries).toBeGreaterThan(0)
  expect(read).not.toEqual([])
})

/** Requests over one set of connections: a request without an answer in time closes them, and the next one opens a connection first. */
function createConnections (roundTripMs: number): (timeoutMs: number, waitMs: number, signal?: AbortSignal) => Promise<void> {
  let isOpen = true
  return async (timeoutMs, waitMs, signal) => {
    const neededMs = (isOpen ? 1 : 2) * roundTripMs + waitMs
    const isAnswered = neededMs <= timeoutMs
    await delay(Math.min(neededMs, timeoutMs), signal)
    isOpen = isAnswered && signal?.aborted !== true
    if (!isOpen) throw createError(ErrorKind.AnswerLost, 'the request got no response')
  }
}

async function checkLateRun (roundTripMs: number): Promise<void> {
  const silences: number[] = []
  const expired: number[] = []
  const sendPoll = createConnections(roundTripMs)
  const sendInquiry = createConnections(roundTripMs)
  createLink(async ({ waitMs, answerTimeoutMs = usualAnswerTimeoutMs, isConcurrent = false, signal }: LeaseRenewal) => {
    await (isConcurrent ? sendInquiry : sendPoll)(waitMs + answerTimeoutMs, waitMs, signal)
    return createReport([])
  }, {
    getExpectedEndMs: afterMs => afterMs < 5_000 ? 5_000 : Infinity,
    onReachable: isReachable => { if (!isReachable) silences.push(Math.round(performance.now())) },
    onLeaseExpired: () => { expired.push(Math.round(performance.now())) }
  })
  for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 100) {
    await run(100)
    link.reviewLease()
  }
  expect({ silences, expired }).toEqual({ silences: [], expired: [] })
}

// Guards against a worker that is taken for silent on a slow link because a run there is late: the inquiries, each over a new connection after the first, could not
// be answered in their times, and their failure closed the connection of a poll that would have been answered.
test.each([100, 200])('a worker whose run is late is not taken for silent at a round trip of %i ms', checkLateRun)
test.each([260, 310, 400])('a worker whose run is late is not taken for silent at a round trip of %i ms', checkLateRun)
