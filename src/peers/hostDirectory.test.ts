/** The rank of a host among those that may become the scheduler: too many or small standbys would burden the store and their links. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import fc from 'fast-check'
import { isAddress } from '../common/address.js'
import { silentLogger } from '../common/logger.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { mutateEntry } from '../testing/oddValues.js'
import { createHostDirectory } from './hostDirectory.js'
import type { HostDirectory, KnownHost } from './hostDirectory.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

test('hosts are ranked by their round trips; small hosts have no rank, and a changed round trip changes the ranks', async () => {
  const store = createMemoryStore()
  const stopping = new AbortController()
  const roundTripsMs = new Map([['a', 30], ['b', 3], ['c', 1], ['d', 30]])
  const add = (hostId: string): HostDirectory => createHostDirectory({
    store: store.connect(hostId),
    logger: silentLogger,
    ownHost: { hostId, address: `${hostId}:1`, domain: 'a', hasFastLink: true, isSmall: hostId === 'c' },
    getRoundTripMs: () => roundTripsMs.get(hostId),
    signal: stopping.signal
  })
  const directories = ['a', 'b', 'c', 'd'].map(add)
  expect(directories.map(directory => directory.getRank())).toEqual([undefined, undefined, undefined, undefined])
  await jest.advanceTimersByTimeAsync(2_000)
  expect(directories.map(directory => directory.getRank())).toEqual([1, 0, undefined, 2])
  roundTripsMs.set('b', 80)
  await jest.advanceTimersByTimeAsync(30_000)
  expect(directories.map(directory => directory.getRank())).toEqual([0, 2, undefined, 1])
  stopping.abort()
  await jest.advanceTimersByTimeAsync(1_000)
})

function startDirectory (store: MemoryStore, hostId: string, signal: AbortSignal, getRoundTripMs: () => number | undefined = () => 3): HostDirectory {
  const ownHost = { hostId, address: `${hostId}:1`, domain: 'a', hasFastLink: true, isSmall: false }
  return createHostDirectory({ store: store.connect(hostId), logger: silentLogger, ownHost, getRoundTripMs, signal })
}

function getEntry (store: MemoryStore, hostId: string): Partial<KnownHost> {
  return JSON.parse(store.peek(`hosts/${hostId}`) ?? '{}') as Partial<KnownHost>
}

// Guards against a host that its peers lose for good: it renews a lease that its entry is no longer attached to.
test('an entry that is written late stays as long as its host lives', async () => {
  const store = createMemoryStore()
  const stopping = new AbortController()
  store.delayWrites('a', 1, 5_000)
  startDirectory(store, 'a', stopping.signal)
  for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += 1_000) {
    await jest.advanceTimersByTimeAsync(1_000)
    if (elapsedMs > 1_000) expect(getEntry(store, 'a').hostId).toBe('a')
  }
  stopping.abort()
  await jest.advanceTimersByTimeAsync(1_000)
  expect(getEntry(store, 'a').hostId).toBeUndefined()
})

// Guards against ranks by an outdated round trip.
test('an entry that is written late does not replace a newer one', async () => {
  const store = createMemoryStore()
  const stopping = new AbortController()
  let roundTripMs = 3
  startDirectory(store, 'a', stopping.signal, () => roundTripMs)
  await jest.advanceTimersByTimeAsync(2_000)
  roundTripMs = 30
  store.delayWrites('a', 1, 12_000)
  await jest.advanceTimersByTimeAsync(4_000)
  roundTripMs = 90
  await jest.advanceTimersByTimeAsync(6_000)
  expect(getEntry(store, 'a').roundTripMs).toBe(90)
  await jest.advanceTimersByTimeAsync(10_000)
  expect(getEntry(store, 'a').roundTripMs).toBe(90)
  stopping.abort()
  await jest.advanceTimersByTimeAsync(1_000)
})

// Guards against a host that stays missing because it remembers what it has written and not what the store holds.
test.each([['removed', undefined], ['replaced', '{"hostId":"a","address":"b:1","domain":"a","hasFastLink":true}']])('an entry that another writer has %s is restored within 17 s', async (_what, value) => {
  const store = createMemoryStore()
  const stopping = new AbortController()
  startDirectory(store, 'a', stopping.signal)
  await jest.advanceTimersByTimeAsync(20_000)
  store.write('hosts/a', value)
  await jest.advanceTimersByTimeAsync(17_000)
  expect(getEntry(store, 'a').address).toBe('a:1')
  stopping.abort()
  await jest.advanceTimersByTimeAsync(1_000)
})

// Guards against one odd entry that keeps every host from reading the directory.
test('the sound entries beside odd ones are read', async () => {
  const soundEntry = { hostId: 'odd0', address: '10.1.0.7:7015', domain: 'a', hasFastLink: true, isSmall: false, roundTripMs: 1.4 }
  await fc.assert(fc.asyncProperty(fc.array(mutateEntry(soundEntry), { minLength: 1, maxLength: 5 }), async values => {
    const store = createMemoryStore()
    const stopping = new AbortController()
    values.forEach((value, index) => { store.write(`hosts/odd${index}`, value) })
    const directory = startDirectory(store, 'a', stopping.signal)
    startDirectory(store, 'b', stopping.signal)
    await jest.advanceTimersByTimeAsync(2_000)
    const peers = directory.getPeers()
    expect(peers.map(({ hostId }) => hostId)).toContain('b')
    expect(peers.every(({ address, hostId }) => isAddress(address) && (hostId === 'b' || hostId.startsWith('odd')))).toBe(true)
    stopping.abort()
    await jest.advanceTimersByTimeAsync(1_000)
  }), { numRuns: 200, seed: 1 })
})
