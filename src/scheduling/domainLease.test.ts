/** Which host takes over a domain while the store is unavailable. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/store.js'
import type { KeyValueStore } from '../store/store.js'
import { createDomainLease } from './domainLease.js'
import type { DomainLease } from './domainLease.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

/** Starts to compete for a lease of which each call to the store fails with the error that `getError` returns, if any. */
function startLease (getError: () => ErrorKind | undefined): DomainLease {
  const store = createMemoryStore()
  const call = async <T>(run: () => Promise<T>): Promise<T> => {
    const kind = getError()
    if (kind !== undefined) throw createError(kind, 'an injected error')
    return await run()
  }
  const failing: KeyValueStore = {
    ...store,
    get: key => call(() => store.get(key)),
    put: write => call(() => store.put(write)),
    grantLease: ttlMs => call(() => store.grantLease(ttlMs)),
    keepLeaseAlive: leaseId => call(() => store.keepLeaseAlive(leaseId))
  }
  return createDomainLease({
    hostId: 'one',
    domain: 'a',
    store: failing,
    logger: silentLogger,
    random: () => 0.5,
    getCandidates: () => ['one'],
    tryGetKnownHolder: () => undefined,
    getHighestEpoch: () => 1,
    onAcquired: () => {},
    onLost: () => {}
  })
}

// Guards against a takeover at the first failed call of a new outage: the start of an earlier one was kept although the store had answered since.
test.each([ErrorKind.Conflict, ErrorKind.NotFound])('an outage begins anew after the store has answered with %s', async answer => {
  let error: ErrorKind | undefined = ErrorKind.StoreUnavailable
  const lease = startLease(() => error)
  await jest.advanceTimersByTimeAsync(1_500)
  error = answer
  await jest.advanceTimersByTimeAsync(4_000)
  expect(lease.getEpoch()).toBeUndefined()
  error = ErrorKind.StoreUnavailable
  await jest.advanceTimersByTimeAsync(2_000)
  expect(lease.getEpoch()).toBeUndefined()
  await jest.advanceTimersByTimeAsync(4_000)
  expect(lease.getEpoch()).toBe(2)
  lease.abandon()
})

// Guards against a takeover that waits for the outage delay from the second failed call, when the renewal that found the lease gone began the outage.
test('an outage that begins while an expired lease is acquired again begins then', async () => {
  let calls = 0
  let isExpired = false
  let expiredAtMs = 0
  const lease = startLease(() => {
    if (!isExpired) return undefined
    if (calls++ > 0) return ErrorKind.StoreUnavailable
    expiredAtMs = Date.now()
    return ErrorKind.NotFound
  })
  await jest.advanceTimersByTimeAsync(500)
  expect(lease.getEpoch()).toBeDefined()
  isExpired = true
  for (let waitedMs = 0; waitedMs < 3_000 && calls < 2; waitedMs += 50) await jest.advanceTimersByTimeAsync(50)
  await jest.advanceTimersByTimeAsync(50)
  expect(lease.getEpoch()).toBeUndefined()
  await jest.advanceTimersByTimeAsync(expiredAtMs + 3_500 - Date.now())
  expect(lease.getEpoch()).toBe(2)
  lease.abandon()
})
