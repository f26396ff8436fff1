/** Cancellations of jobs that are not stored, while a submission of the job may still be on its way to the store. */
import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { createRelayedStore } from '../peers/relayedStore.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { createConfirmedWrites } from '../store/confirmedWrites.js'
import type { MetadataStore, Transaction } from '../store/metadataStore.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { createJobIntake } from './jobIntake.js'
import type { JobIntake } from './jobIntake.js'
import { encodeAccepted, getAcceptedKey, getCancelKey } from './jobKeys.js'

const callerTimeoutMs = 2_000
const jobId = 'a'
let store: MemoryStore

beforeEach(() => {
  jest.useFakeTimers()
  store = createMemoryStore()
})
afterEach(() => { jest.useRealTimers() })

function createIntake (hostId: string, wrap: (client: MetadataStore) => MetadataStore = client => createConfirmedWrites({ store: client })): JobIntake {
  return createJobIntake({ store: wrap(store.connect(hostId)), logger: silentLogger })
}

/** Resolves to the kind of the call's error, or undefined if it succeeds. */
async function submit (intake: JobIntake, id = jobId): Promise<ErrorKind | undefined> {
  let kind: ErrorKind | undefined
  const submitted = intake.submit(makeJob(id, 'batch', [makeStep()]), performance.now() + callerTimeoutMs).catch(error => {
    kind = Object.values(ErrorKind).find(candidate => isErrorOfKind(error, candidate))
  })
  await jest.advanceTimersByTimeAsync(callerTimeoutMs + 100)
  await submitted
  return kind
}

async function cancel (intake: JobIntake, id = jobId): Promise<boolean | ErrorKind | undefined> {
  const result = intake.cancel(id, performance.now() + callerTimeoutMs).catch(error => Object.values(ErrorKind).find(candidate => isErrorOfKind(error, candidate)))
  await jest.advanceTimersByTimeAsync(callerTimeoutMs + 100)
  return await result
}

function isAccepted (id = jobId): boolean {
  return store.peek(getAcceptedKey(id)) !== undefined
}

// UNASKED: a job ran to its end although its cancellation had been answered 410, because a write of its acceptance was applied late.
test.each([3_000, 6_000])('a job whose acceptance is applied %i ms late is not stored once its cancellation has been answered', async lateMs => {
  store.delayWrites('host-a', 100, lateMs)
  expect(await submit(createIntake('host-a'))).toBe(ErrorKind.AnswerLost)
  expect(await cancel(createIntake('host-b'))).toBe(false)
  await jest.advanceTimersByTimeAsync(2 * lateMs)
  expect(isAccepted()).toBe(false)
})

// UNASKED: a host that had been suspended read the submission after the cancellation had been answered by another host.
test('a submission that a host reads after the cancellation is rejected for good, and nothing is stored', async () => {
  expect(await cancel(createIntake('host-b'))).toBe(false)
  const suspended = createIntake('host-a')
  expect(await submit(suspended)).toBe(ErrorKind.JobCancelled)
  expect(isAccepted()).toBe(false)
})

test('a job that is stored between the look-up and the cancellation is cancelled', async () => {
  const intake = createIntake('host-b', client => ({
    ...client,
    get: async key => {
      const item = await client.get(key)
      store.write(getAcceptedKey(jobId), encodeAccepted(makeJob(jobId, 'batch', [makeStep()])))
      return item
    }
  }))
  expect(await cancel(intake)).toBe(true)
  expect(store.peek(getCancelKey(jobId))).toBeDefined()
})

test('a repeated submission of a job that was cancelled after it was stored is answered as the first one', async () => {
  const intake = createIntake('host-a')
  expect(await submit(intake)).toBeUndefined()
  expect(await cancel(intake)).toBe(true)
  expect(await submit(intake)).toBeUndefined()
})

// MIXED: a job that nobody submitted must not be shown.
test('a job that was cancelled before it was stored does not exist, and cancelling it again says so too', async () => {
  const intake = createIntake('host-b')
  expect(await cancel(intake)).toBe(false)
  expect(await intake.getState(jobId, performance.now() + callerTimeoutMs)).toBeUndefined()
  expect(await cancel(intake)).toBe(false)
})

test('a host that reaches the store only through a peer cancels a job that is not stored', async () => {
  store.setUnavailable(true, 'host-b')
  const peer = { call: async <T>(method: string, parameters: unknown) => await (method === 'store.get' ? store.connect('peer').get((parameters as { key: string }).key).then(item => item ?? null) : store.connect('peer').transact(parameters as Transaction)) as T }
  const peers = [{ hostId: 'peer', address: 'peer', domain: 'a', hasFastLink: true }]
  const intake = createIntake('host-b', client => createRelayedStore({ direct: client, logger: silentLogger, getPeers: () => peers, connect: () => peer }))
  expect(await cancel(intake)).toBe(false)
  expect(await submit(createIntake('host-a'))).toBe(ErrorKind.JobCancelled)
})

test('a cancellation that the store refuses, or does not answer, is not reported as done', async () => {
  const refused = createIntake('host-b', client => ({ ...client, transact: async () => { throw createError(ErrorKind.StoreUnavailable, 'the store is unavailable') } }))
  expect(await cancel(refused)).toBe(ErrorKind.StoreUnavailable)
  store.delayWrites('host-b', 1_000, 6_000)
  expect(await cancel(createIntake('host-b'))).toBe(ErrorKind.AnswerLost)
})

test('a cancellation of which one write is not answered is answered in time', async () => {
  store.delayWrites('host-b', 1, 6_000)
  expect(await cancel(createIntake('host-b'))).toBe(false)
  await jest.advanceTimersByTimeAsync(10_000)
  expect(await submit(createIntake('host-a'))).toBe(ErrorKind.JobCancelled)
})

test('of cancellations that share a transaction, those of stored jobs do not hold up the others', async () => {
  const stored = ['3', '11', '12']
  const intake = createIntake('host-b', client => ({
    ...client,
    get: async () => undefined
  }))
  for (const id of stored) store.write(getAcceptedKey(id), encodeAccepted(makeJob(id, 'batch', [makeStep()])))
  const ids = Array.from({ length: 25 }, (_, index) => String(index))
  const results = Promise.all(ids.map(id => intake.cancel(id, performance.now() + callerTimeoutMs)))
  await jest.advanceTimersByTimeAsync(100)
  expect(await results).toEqual(ids.map(id => stored.includes(id)))
  for (const id of ids) expect(store.peek(getCancelKey(id))).toBeDefined()
})

describe('a client cancels 3,000 ids that nobody has submitted, 50 at a time', () => {
  const minIntervalMs = 70

  // The load is bounded by the interval between transactions, and the delay of a cancellation by that and the markers in one of them.
  test('each is answered within 1.1 s, and other writers keep nearly all of the store\'s writes', async () => {
    const sentAtMs: number[] = []
    const intake = createJobIntake({
      store: withRoundTrip(store.connect('host-b'), () => { sentAtMs.push(performance.now()) }),
      logger: silentLogger,
      getMinCancelIntervalMs: () => minIntervalMs
    })
    let next = 0
    let longestMs = 0
    const client = async (): Promise<void> => {
      while (next < 3_000) {
        const startedAtMs = performance.now()
        expect(await intake.cancel(`id-${next++}`, startedAtMs + callerTimeoutMs)).toBe(false)
        longestMs = Math.max(longestMs, performance.now() - startedAtMs)
      }
    }
    let isDone = false
    void Promise.all(Array.from({ length: 50 }, client)).then(() => { isDone = true })
    for (let elapsedMs = 0; elapsedMs < 60_000 && !isDone; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
    expect(isDone).toBe(true)
    expect(longestMs).toBeLessThan(1_100)
    expect(sentAtMs.length).toBeLessThanOrEqual(330)
    sentAtMs.slice(1).forEach((atMs, index) => { expect(atMs - (sentAtMs[index] as number)).toBeGreaterThanOrEqual(minIntervalMs - 1) })
  })

  test('cancellations that cannot be stored before their deadline are refused at once, with a time to return', async () => {
    const intake = createJobIntake({ store: store.connect('host-b'), logger: silentLogger, getMinCancelIntervalMs: () => 500 })
    const errors: unknown[] = []
    for (let index = 0; index < 200; index++) void intake.cancel(`id-${index}`, performance.now() + callerTimeoutMs).catch(error => { errors.push(error) })
    await jest.advanceTimersByTimeAsync(10)
    expect(errors.length).toBeGreaterThan(100)
    for (const error of errors) expect(isErrorOfKind(error, ErrorKind.Overloaded) && error.details.retryAfterS).toBe(2)
    const refusedAtOnce = errors.length
    await jest.advanceTimersByTimeAsync(5_000)
    expect(errors).toHaveLength(refusedAtOnce)
  })
})

function withRoundTrip (client: MetadataStore, onTransact: () => void): MetadataStore {
  return {
    ...client,
    get: async key => {
      await delay(3)
      return await client.get(key)
    },
    transact: async transaction => {
      onTransact()
      await delay(5)
      return await client.transact(transaction)
    }
  }
}
