/** When the detector of lost answers is on: it must stay off while workers are merely gone, slow or starting anew, and go off again. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { WorkerPort } from '../workers/workerPort.js'
import { createAnswerLosses } from './answerLosses.js'
import type { AnswerLosses } from './answerLosses.js'

const answerTimeoutMs = 500
/** Losses count for this long, in ms. */
const windowMs = 4_000
let losses: AnswerLosses
let busyWorkers = 10
let lines: { readonly message: string, readonly fields: object | undefined }[] = []

beforeEach(() => {
  jest.useFakeTimers()
  busyWorkers = 10
  lines = []
  const logger: Logger = { ...silentLogger, info: (message, fields) => { lines.push({ message, fields }) } }
  losses = createAnswerLosses({ logger, countBusyWorkers: () => busyWorkers, onUnanswered: () => {}, onBegun: () => {} })
})

afterEach(() => { jest.useRealTimers() })

/** What becomes of a request: its answer comes from a life, is lost, or the connection fails at once. */
type Outcome = { readonly bornAtMs: number } | 'lost' | 'reset'

/** Sends polls to a worker, one after the other. */
async function poll (workerId: string, ...outcomes: readonly Outcome[]): Promise<void> {
  for (const outcome of outcomes) {
    const port = losses.observe(workerId, {
      renewLease: async () => {
        if (typeof outcome === 'object') return { clockMs: 1, bornAtMs: outcome.bornAtMs, running: [], ended: [] }
        if (outcome === 'lost') await delay(answerTimeoutMs)
        throw createError(ErrorKind.AnswerLost, 'the request got no response')
      }
    } as unknown as WorkerPort)
    const sent = port.renewLease({ epoch: 1, acknowledgedSequence: 0, waitMs: 0 }).catch(() => {})
    await jest.advanceTimersByTimeAsync(outcome === 'lost' ? answerTimeoutMs : 1)
    await sent
  }
}

const answered: Outcome = { bornAtMs: 1 }

test('losses at several workers count for all of them, and for some seconds only', async () => {
  for (const workerId of ['a', 'b']) await poll(workerId, answered, 'lost', answered)
  expect(losses.isLossLikely('other')).toBe(true)
  await jest.advanceTimersByTimeAsync(windowMs + answerTimeoutMs)
  losses.review()
  expect(losses.isLossLikely('other')).toBe(false)
  expect(lines).toHaveLength(2)
  expect(lines[0]?.fields).toMatchObject({ workers: 2, workerIds: ['a', 'b'], busyWorkers: 10, threshold: 2 })
})

test('a loss at one worker counts for that worker only', async () => {
  await poll('a', answered, 'lost', answered)
  expect([losses.isLossLikely('a'), losses.isLossLikely('other')]).toEqual([true, false])
})

// Guards against more requests on a day on which workers leave: none of their answers is lost.
test('workers that are gone, that start anew or that refuse connections count for no other, and soon not for themselves', async () => {
  for (const workerId of ['a', 'b', 'c', 'd']) await poll(workerId, answered, 'lost')
  for (const workerId of ['e', 'f', 'g']) await poll(workerId, answered, 'lost', { bornAtMs: 2 })
  for (const workerId of ['h', 'i', 'j']) await poll(workerId, answered, 'reset', answered)
  expect([losses.isLossLikely('other'), losses.isLossLikely('h')]).toEqual([false, false])
  expect(losses.isLossLikely('d')).toBe(true)
  for (let tries = 0; tries < 10; tries++) await poll('d', 'lost')
  expect(losses.isLossLikely('d')).toBe(false)
})

test('with many workers, answers of one in fifty have to be lost', async () => {
  busyWorkers = 200
  for (const workerId of ['a', 'b', 'c']) await poll(workerId, answered, 'lost', answered)
  expect(losses.isLossLikely('other')).toBe(false)
  await poll('d', answered, 'lost', answered)
  expect(losses.isLossLikely('other')).toBe(true)
})

// Guards against losses that show late: the answer to a later request may come before the time of the lost one is over.
test('a loss is confirmed by an answer that came while the lost one was waited for', async () => {
  for (const workerId of ['a', 'b']) {
    const lost = poll(workerId, answered, 'lost')
    await jest.advanceTimersByTimeAsync(10)
    await poll(workerId, answered)
    await jest.advanceTimersByTimeAsync(answerTimeoutMs)
    await lost
  }
  expect(losses.isLossLikely('other')).toBe(true)
})
