/** The rank of a host among those that may become the scheduler: too many or small standbys would burden the store and their links. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import { createHostDirectory } from './hostDirectory.js'
import type { HostDirectory } from './hostDirectory.js'

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
