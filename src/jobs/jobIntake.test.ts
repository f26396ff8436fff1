/** Job acceptance over a store that refuses calls, loses responses or applies writes late: "not accepted" is reported only if it is true. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { createRelayedStore } from '../peers/relayedStore.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { createConfirmedWrites } from '../store/confirmedWrites.js'
import type { Transaction } from '../store/metadataStore.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { createJobIntake } from './jobIntake.js'
import type { JobIntake } from './jobIntake.js'
import { getAcceptedKey, pendingCountsKey } from './jobKeys.js'

const callerTimeoutMs = 2_000
let store: MemoryStore
let intake: JobIntake

beforeEach(() => {
  jest.useFakeTimers()
  store = createMemoryStore()
  intake = createJobIntake({ store: store.connect('host'), logger: silentLogger })
})
afterEach(() => { jest.useRealTimers() })

/** Submits a job; resolves to undefined if it was accepted, otherwise to the kind of error. */
async function submit (jobId: string): Promise<ErrorKind | undefined> {
  let kind: ErrorKind | undefined
  const submitted = intake.submit(makeJob(jobId, 'batch', [makeStep()]), performance.now() + callerTimeoutMs).catch(error => {
    kind = Object.values(ErrorKind).find(candidate => isErrorOfKind(error, candidate))
  })
  await jest.advanceTimersByTimeAsync(callerTimeoutMs + 100)
  await submitted
  return kind
}

function isAccepted (jobId: string): boolean {
  return store.peek(getAcceptedKey(jobId)) !== undefined
}

test('submitting the same job twice succeeds and stores one job', async () => {
  expect(await submit('a')).toBeUndefined()
  expect(await submit('a')).toBeUndefined()
  expect(isAccepted('a')).toBe(true)
})

test('a host whose calls the store refuses does not report a job as not run if the job was accepted earlier', async () => {
  expect(await submit('a')).toBeUndefined()
  store.setUnavailable(true, 'host')
  expect(await submit('a')).toBe(ErrorKind.AnswerLost)
  expect(isAccepted('a')).toBe(true)
})

test('a refused submission is retried for a second, then rejected, and nothing is stored later', async () => {
  store.setUnavailable(true)
  let answeredAtMs = Infinity
  const startedAtMs = Date.now()
  void intake.submit(makeJob('a', 'batch', [makeStep()]), performance.now() + callerTimeoutMs).catch(() => { answeredAtMs = Date.now() })
  await jest.advanceTimersByTimeAsync(callerTimeoutMs)
  expect(answeredAtMs - startedAtMs).toBeLessThan(1_200)
  store.setUnavailable(false)
  await jest.advanceTimersByTimeAsync(10_000)
  expect(isAccepted('a')).toBe(false)
})

test('a submission succeeds if the store recovers within a second', async () => {
  store.setUnavailable(true)
  setTimeout(() => { store.setUnavailable(false) }, 800)
  expect(await submit('a')).toBeUndefined()
  expect(isAccepted('a')).toBe(true)
})

test.each([100, 700, 1_500, 2_500, 6_000])('writes without a response that are applied %i ms later: a job reported as not run is never stored', async lateMs => {
  for (const lost of [1, 2, 5, 100]) {
    const jobId = `job-${lost}`
    store.delayWrites('host', lost, lateMs)
    const kind = await submit(jobId)
    store.delayWrites('host', 0, 0)
    await jest.advanceTimersByTimeAsync(10_000)
    if (kind === undefined) expect(isAccepted(jobId)).toBe(true)
    if (kind === ErrorKind.StoreUnavailable) expect(isAccepted(jobId)).toBe(false)
  }
})

test('calls are rejected by the caller\'s deadline if the store does not respond', async () => {
  const unresponsiveIntake = createJobIntake({ store: { ...store.connect('host'), get: async () => await new Promise(() => {}), transact: async () => await new Promise(() => {}) }, logger: silentLogger })
  const errors: unknown[] = []
  void unresponsiveIntake.submit(makeJob('a', 'batch', [makeStep()]), performance.now() + callerTimeoutMs).catch(error => { errors.push(error) })
  void unresponsiveIntake.getState('a', performance.now() + callerTimeoutMs).catch(error => { errors.push(error) })
  void unresponsiveIntake.countPending('batch', performance.now() + callerTimeoutMs).catch(error => { errors.push(error) })
  await jest.advanceTimersByTimeAsync(callerTimeoutMs + 150)
  expect(errors.every(error => isErrorOfKind(error, ErrorKind.AnswerLost))).toBe(true)
  expect(errors).toHaveLength(3)
})

/** Submits a job in the background; resolves to the error and the time that the answer took. */
async function submitTimed (jobId: string): Promise<{ readonly error: unknown, readonly tookMs: number }> {
  const startedAtMs = performance.now()
  let outcome: { readonly error: unknown, readonly tookMs: number } | undefined
  void intake.submit(makeJob(jobId, 'batch', [makeStep()]), performance.now() + callerTimeoutMs).then(
    () => { outcome = { error: undefined, tookMs: performance.now() - startedAtMs } },
    error => { outcome = { error, tookMs: performance.now() - startedAtMs } }
  )
  for (let elapsedMs = 0; elapsedMs < callerTimeoutMs + 200 && outcome === undefined; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
  return outcome ?? { error: undefined, tookMs: Infinity }
}

function getRetryAfterS (error: unknown): unknown {
  return isErrorOfKind(error, ErrorKind.AnswerLost) ? error.details.retryAfterS : 'another kind of error'
}

test('in a known outage a refused submission is answered at once, with the same kind of error and a Retry-After of its length', async () => {
  store.setUnavailable(true)
  const first = await submitTimed('a')
  expect(first.tookMs).toBeGreaterThan(800)
  expect(getRetryAfterS(first.error)).toBeUndefined()
  await jest.advanceTimersByTimeAsync(1_500)
  const second = await submitTimed('b')
  expect(second.tookMs).toBeLessThan(50)
  expect(getRetryAfterS(second.error)).toBe(3)
  // The host keeps seeing the outage; the delay grows with it up to 8 s.
  let last = second
  for (let call = 0; call < 10; call++) {
    await jest.advanceTimersByTimeAsync(1_500)
    last = await submitTimed('c')
    expect(last.tookMs).toBeLessThan(50)
  }
  expect(getRetryAfterS(last.error)).toBe(8)
  store.setUnavailable(false)
  expect((await submitTimed('d')).error).toBeUndefined()
  for (const jobId of ['a', 'b', 'c']) expect(isAccepted(jobId)).toBe(false)
})

test('failures far apart are not a known outage, since the store may have been available in between', async () => {
  store.setUnavailable(true)
  await submitTimed('a')
  await jest.advanceTimersByTimeAsync(10_000)
  const later = await submitTimed('b')
  expect(later.tookMs).toBeGreaterThan(800)
  expect(getRetryAfterS(later.error)).toBeUndefined()
})

test('an outage known from other calls is known to a host without submissions too', async () => {
  intake = createJobIntake({ store: store.connect('host'), logger: silentLogger, getKnownOutageMs: () => 5_300 })
  store.setUnavailable(true)
  const { error, tookMs } = await submitTimed('a')
  expect(tookMs).toBeLessThan(50)
  expect(getRetryAfterS(error)).toBe(6)
})

test('in a known outage a submission with a lost response is still tried until its deadline, since it may have been stored', async () => {
  intake = createJobIntake({ store: store.connect('host'), logger: silentLogger, getKnownOutageMs: () => 5_000 })
  store.delayWrites('host', 1, 500)
  setTimeout(() => { store.setUnavailable(true) }, 50)
  setTimeout(() => { store.setUnavailable(false) }, 1_500)
  const { error, tookMs } = await submitTimed('a')
  expect(error).toBeUndefined()
  expect(tookMs).toBeGreaterThan(1_400)
  expect(isAccepted('a')).toBe(true)
})

async function isCertainlyNew (jobId: string): Promise<boolean> {
  const result = intake.isCertainlyNew(jobId, performance.now() + callerTimeoutMs)
  await jest.advanceTimersByTimeAsync(600)
  return await result
}

test('only an id without an accept record counts as new, and none while the record cannot be read', async () => {
  expect(await isCertainlyNew('a')).toBe(true)
  await submit('a')
  expect(await isCertainlyNew('a')).toBe(false)
  store.setUnavailable(true, 'host')
  expect(await isCertainlyNew('b')).toBe(false)
})

test('an id whose write may still be applied late does not count as new', async () => {
  for (const lateMs of [100, 2_500, 6_000]) {
    const jobId = `job-${lateMs}`
    store.delayWrites('host', 100, lateMs)
    const submitted = intake.submit(makeJob(jobId, 'batch', [makeStep()]), performance.now() + 500).catch(() => {})
    await jest.advanceTimersByTimeAsync(10)
    expect(await isCertainlyNew(jobId)).toBe(false)
    await jest.advanceTimersByTimeAsync(1_000)
    await submitted
    store.delayWrites('host', 0, 0)
    for (let elapsedMs = 0; elapsedMs < lateMs; elapsedMs += 700) expect(await isCertainlyNew(jobId)).toBe(false)
    await jest.advanceTimersByTimeAsync(10_000)
    expect(isAccepted(jobId)).toBe(true)
    expect(await isCertainlyNew('other')).toBe(true)
  }
})

// Since writes are repeated until one copy is answered, a lost one did not show: this host refused a job that another host's lost write stored seconds later.
test.each(['confirmed', 'relayed'])('an id does not count as new after a write of which a copy was not answered (%s)', async kind => {
  const client = store.connect('host')
  if (kind === 'confirmed') {
    intake = createJobIntake({ store: createConfirmedWrites({ store: client }), logger: silentLogger })
  } else {
    const peer = { call: async <T>(_method: string, parameters: unknown) => await store.connect('peer').transact(parameters as Transaction) as T }
    const peers = [{ hostId: 'peer', address: 'peer', domain: 'a', hasFastLink: true }]
    intake = createJobIntake({ store: createRelayedStore({ direct: client, logger: silentLogger, getPeers: () => peers, connect: () => peer }), logger: silentLogger })
  }
  store.delayWrites('host', 1, 6_000)
  expect(await submit('a')).toBeUndefined()
  expect(await isCertainlyNew('b')).toBe(false)
  await jest.advanceTimersByTimeAsync(3_000)
  expect(await isCertainlyNew('b')).toBe(false)
  await jest.advanceTimersByTimeAsync(6_000)
  expect(await isCertainlyNew('b')).toBe(true)
})

// Guards against a host that refuses no job for load while the store is only slow.
test('an id counts as new after writes that were answered late', async () => {
  const client = store.connect('host')
  let delayMs = 5
  const transact: typeof client.transact = async transaction => {
    await delay(delayMs)
    return await client.transact(transaction)
  }
  intake = createJobIntake({ store: createConfirmedWrites({ store: { ...client, transact } }), logger: silentLogger })
  expect(await submit('a')).toBeUndefined()
  delayMs = 350
  expect(await submit('b')).toBeUndefined()
  expect(isAccepted('b')).toBe(true)
  expect(await isCertainlyNew('c')).toBe(true)
})

test('a look-up that is not answered takes at most half of the time to the deadline, and no job counts as new', async () => {
  intake = createJobIntake({ store: { ...store.connect('host'), get: async () => await new Promise(() => {}) }, logger: silentLogger })
  const results: boolean[] = []
  void intake.isCertainlyNew('a', performance.now() + 2_000).then(isNew => { results.push(isNew) })
  void intake.isCertainlyNew('a', performance.now() + 300).then(isNew => { results.push(isNew) })
  await jest.advanceTimersByTimeAsync(160)
  expect(results).toEqual([false])
  await jest.advanceTimersByTimeAsync(250)
  expect(results).toEqual([false, false])
})

test('an id that is being submitted at this host does not count as new, also while nothing has failed', async () => {
  intake = createJobIntake({ store: { ...store.connect('host'), transact: async () => await new Promise(() => {}) }, logger: silentLogger })
  void intake.submit(makeJob('a', 'batch', [makeStep()]), performance.now() + callerTimeoutMs).catch(() => {})
  expect(await isCertainlyNew('a')).toBe(false)
  expect(await isCertainlyNew('b')).toBe(true)
})

test('a cancellation is tried for a second also in a known outage', async () => {
  await submit('a')
  const client = store.connect('host')
  let isWriteRefused = true
  const transact: typeof client.transact = async transaction => {
    if (isWriteRefused) throw createError(ErrorKind.StoreUnavailable, 'the store is unavailable')
    return await client.transact(transaction)
  }
  intake = createJobIntake({ store: { ...client, transact }, logger: silentLogger, getKnownOutageMs: () => 5_000 })
  setTimeout(() => { isWriteRefused = false }, 700)
  const cancelled = intake.cancel('a', performance.now() + callerTimeoutMs)
  await jest.advanceTimersByTimeAsync(1_000)
  expect(await cancelled).toBe(true)
})

// Guards against counts of another type in the answers to callers.
test.each(['{', 'null', '[1]', '{"batch":"many"}', '{"batch":-1}', '{"batch":1e400}'])('stored counts %s give an error, and the next sound ones are shown', async value => {
  store.write(pendingCountsKey, value)
  const failed = intake.countPending('batch', performance.now() + callerTimeoutMs).then(String, error => isErrorOfKind(error, ErrorKind.Internal))
  await jest.advanceTimersByTimeAsync(callerTimeoutMs + 100)
  expect(await failed).toBe(true)
  store.write(pendingCountsKey, '{"batch":3}')
  const counted = intake.countPending('batch', performance.now() + callerTimeoutMs)
  await jest.advanceTimersByTimeAsync(callerTimeoutMs + 100)
  expect(await counted).toBe(3)
})
