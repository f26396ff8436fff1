/** Inquiries that wait at a worker where an end decides whether other work may start. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { LeaseRenewal, RelayedPoll, WorkerStatusReport } from '../workers/workerPort.js'
import { createDecisiveInquiries, createDecisiveSlots } from './decisiveInquiries.js'
import type { DecisiveInquiriesHost, DecisiveSlots } from './decisiveInquiries.js'

const report: WorkerStatusReport = { clockMs: 1, bornAtMs: 1, running: [], ended: [] }
const reviewMs = 100

/** What a test has seen: when each inquiry was sent, since the start, and which failed. */
interface Seen {
  readonly own: { readonly atMs: number, readonly renewal: LeaseRenewal }[]
  readonly relayed: { readonly atMs: number, readonly poll: RelayedPoll }[]
  readonly failed: ErrorKind[]
}

interface Setup extends Partial<DecisiveInquiriesHost> {
  readonly endsInMs?: number
  readonly answer?: (waitMs: number) => Promise<WorkerStatusReport>
}

let stopping: AbortController

beforeEach(() => {
  jest.useFakeTimers()
  stopping = new AbortController()
})

afterEach(() => {
  stopping.abort()
  jest.useRealTimers()
})

async function waitThenAnswer (waitMs: number): Promise<WorkerStatusReport> {
  await delay(waitMs)
  return report
}

/** Runs the inquiries of one worker for a time; without `endsInMs` no end is expected. */
async function play (forMs: number, { endsInMs = Infinity, answer = waitThenAnswer, ...fields }: Setup = {}): Promise<Seen> {
  const startedAtMs = performance.now()
  const seen: Seen = { own: [], relayed: [], failed: [] }
  const inquiries = createDecisiveInquiries({
    term: { epoch: 7, isValid: () => !stopping.signal.aborted, signal: stopping.signal },
    port: {
      renewLease: async renewal => {
        seen.own.push({ atMs: Math.round(performance.now() - startedAtMs), renewal })
        return await answer(renewal.waitMs)
      }
    },
    pollThroughPeers: async poll => {
      seen.relayed.push({ atMs: Math.round(performance.now() - startedAtMs), poll })
      return await answer(poll.waitMs ?? 0)
    },
    slots: createDecisiveSlots(),
    isDue: () => true,
    getExpectedEndMs: afterMs => startedAtMs + endsInMs > afterMs ? startedAtMs + endsInMs : Infinity,
    getPollAgeMs: () => Infinity,
    onAnswered: () => false,
    onFailed: error => { seen.failed.push(error instanceof Error && 'kind' in error ? error.kind as ErrorKind : ErrorKind.Internal) },
    ...fields
  })
  for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += reviewMs) {
    inquiries.review()
    await jest.advanceTimersByTimeAsync(reviewMs)
  }
  return seen
}

test('one inquiry of the host waits at all times while no end is expected; it acknowledges nothing and extends no lease', async () => {
  const { own, relayed } = await play(4_500)
  expect(own.map(({ atMs }) => atMs)).toEqual([0, 1_500, 3_000, 4_500].slice(0, own.length))
  expect(own.length).toBeGreaterThanOrEqual(3)
  expect(own[0]?.renewal).toEqual({ epoch: 7, acknowledgedSequence: 0, waitMs: 1_500, isConcurrent: true })
  expect(relayed).toEqual([])
})

test('three more wait before an end that is expected, two of them through other hosts, sent apart in time; they stop when it is overdue', async () => {
  const { own, relayed } = await play(6_000, { endsInMs: 2_000 })
  const near = own.filter(({ renewal }) => renewal.waitMs < 1_500)
  expect(relayed.slice(0, 2).map(({ atMs }) => atMs)).toEqual([1_600, 1_800])
  expect(near[0]?.atMs).toBe(1_700)
  expect(relayed[0]?.poll).toEqual({ epoch: 7, waitMs: 700, isDecisive: true })
  expect(Math.max(...near.map(({ atMs }) => atMs), ...relayed.map(({ atMs }) => atMs))).toBeLessThanOrEqual(2_600)
})

// Guards against one disturbance that concerns the poll and the request beside it.
test('an inquiry of the host is sent 100 ms after the poll under way at least', async () => {
  const { own } = await play(200, { getPollAgeMs: () => performance.now() })
  expect(own[0]?.atMs).toBeGreaterThanOrEqual(0)
  const later = await play(200, { getPollAgeMs: () => 30 })
  expect(later.own[0]?.atMs).toBe(70)
})

test('none is sent where no end decides, nor when the term is not valid', async () => {
  expect((await play(1_000, { isDue: () => false, endsInMs: 500 })).own).toEqual([])
  expect((await play(1_000, { term: { epoch: 7, isValid: () => false, signal: stopping.signal }, endsInMs: 500 })).own).toEqual([])
})

test('a worker that lists ends answers at once and is asked less and less often; one that refuses the epoch is, too', async () => {
  expect((await play(5_000, { answer: async () => report })).own.length).toBeLessThan(10)
  const refused = await play(5_000, { answer: async () => { throw createError(ErrorKind.StaleEpoch, 'the worker has seen a higher epoch') } })
  expect(refused.own.length).toBeLessThan(10)
  expect(refused.failed[0]).toBe(ErrorKind.StaleEpoch)
})

test('an inquiry without an answer is repeated as soon as its time is over', async () => {
  const { own } = await play(2_500, {
    answer: async waitMs => {
      await delay(waitMs + 500)
      throw createError(ErrorKind.AnswerLost, 'no response')
    }
  })
  expect(own.map(({ atMs }) => atMs)).toEqual([0, 2_000])
})

// Guards against a load that grows with the number of steps: each inquiry takes a connection.
test('no inquiry is sent beyond the limits of the term, and those that wait at all times leave room for those near an end', async () => {
  const slots: DecisiveSlots = createDecisiveSlots()
  for (let count = 0; count < 32; count++) expect(slots.tryTake(true)).toBe(true)
  expect(slots.tryTake(true)).toBe(false)
  const { own, relayed } = await play(200, { slots, endsInMs: 100 })
  expect(own.every(({ renewal }) => renewal.waitMs < 1_500)).toBe(true)
  expect(own.length + relayed.length).toBe(3)
  slots.release(true)
  expect(slots.tryTake(true)).toBe(true)
})
