/** The clients that a host keeps for other hosts. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { createMembership } from './membership.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

// The clients of all addresses that were ever contacted were kept, as those of hosts that have moved.
test('the client of an address that no known host and no seed has is forgotten', async () => {
  const membership = createMembership({
    hostId: 'host-0',
    address: 'host-0:1',
    domain: 'a',
    region: 'a',
    peerToken: 'token',
    logger: silentLogger,
    random: () => 0.5,
    getState: () => ({ rulesRevision: 0, isLeaving: false, schedulerEpoch: 0, highestEpoch: 0, isStoreReachable: true, leavingEndpoints: [] }),
    getSeeds: () => ['seed:1'],
    onPeerUpdate: () => {},
    isPartitionedFrom: () => true
  })
  const [ofSeed, ofMoved] = [membership.connect('seed:1'), membership.connect('moved:1')]
  expect(membership.connect('moved:1')).toBe(ofMoved)
  await jest.advanceTimersByTimeAsync(5_000)
  expect(membership.connect('seed:1')).toBe(ofSeed)
  expect(membership.connect('moved:1')).not.toBe(ofMoved)
  membership.stop()
})
