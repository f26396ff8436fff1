/** What the readers of a host ask the store and peers for. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import type { RpcClient } from '../common/rpcClient.js'
import { silentLogger } from '../common/logger.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { LeaderView } from '../election/leaderElection.js'
import { createEndReaders } from './endReaders.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

/** Runs the readers of a host for 3 s. Returns how often they have read the record of granted leases and the list of hosts. */
async function countReads (view: LeaderView, hasGrants: boolean): Promise<{ readonly grants: number, readonly hosts: number }> {
  const reads = { grants: 0, hosts: 0 }
  const stopping = new AbortController()
  createEndReaders({
    logger: silentLogger,
    hostId: 'host',
    domain: 'a',
    getPeers: () => [],
    readPeers: async () => {
      reads.hosts++
      return []
    },
    connect: () => ({ call: async () => { throw createError(ErrorKind.PeerUnreachable, 'down') } }) as unknown as RpcClient,
    connectWorker: () => { throw new Error('there are no workers') },
    readWorkers: async () => [],
    hasGrantRecord: async () => {
      reads.grants++
      return hasGrants
    },
    getLeaderView: () => view,
    getOwnTerm: () => ({ isPolling: false }),
    applyEnds: () => {},
    signal: stopping.signal
  })
  await jest.advanceTimersByTimeAsync(3_000)
  stopping.abort()
  await jest.advanceTimersByTimeAsync(1_000)
  return reads
}

// All hosts share the rate of reads of the store, and start at the same time on a quiet day: with 40 hosts, five reads a second of each are 200 a second.
test('a host that waits for the first scheduler reads the record of granted leases once a second at most', async () => {
  const { grants } = await countReads({ hostId: undefined, epoch: 5 }, false)
  expect(grants).toBeLessThanOrEqual(4)
})

test('a host that does not know the address of the scheduler reads the list of hosts once a second at most', async () => {
  const { hosts } = await countReads({ hostId: 'gone', epoch: 5 }, true)
  expect(hosts).toBeLessThanOrEqual(4)
})
