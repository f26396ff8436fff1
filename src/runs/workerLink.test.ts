/** The polls of one worker when its answers are lost. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { EndKind } from '../jobs/jobModel.js'
import type { EndedRun, LeaseRenewal, WorkerPort } from '../workers/workerPort.js'
import { createWorkerLink } from './workerLink.js'

/** The time allowed for an answer if the poll does not say another, in ms. */
const usualAnswerTimeoutMs = 500
const capacity = { cpuMilli: 8_000, memoryMb: 16_000, accelerators: 8 }

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

/** Polls a worker whose polls number `lost` (counted from 0) get no answer, and that another worker replaces at `replacedAtMs`. Returns the ends read. */
async function readEnds (lost: ReadonlySet<number>, endAtMs: number, replacedAtMs: number, roundTripMs = 1): Promise<readonly EndedRun[]> {
  const leaving = new AbortController()
  const term = { signal: leaving.signal, epoch: 1, isValid: () => true, resign: () => {} } as unknown as Term
  const read: EndedRun[] = []
  const end: EndedRun = { sequence: 1, task: 'a.0.0.0', run: 1, how: EndKind.Done, checkpoint: '' }
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
  const link = createWorkerLink({
    term,
    logger: silentLogger,
    info: { workerId: 'worker-0', address: 'worker-0', service: 'pool', domain: 'a', bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity, labels: [], rack: 'rack-0' },
    port,
    maxLeaseMs: 10_000,
    getMaxGrantMs: () => 10_000,
    areAllLeasesOver: () => false,
    onGrant: () => {},
    isNeeded: () => true,
    onReport: async ({ ended }) => { read.push(...ended) },
    onReachable: () => {},
    onRestarted: () => {},
    onReplaced: () => { leaving.abort() },
    onLeaseExpired: () => {}
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
