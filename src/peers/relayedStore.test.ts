/** A host that the store rejects keeps working through its peers, and reports "not run" only when that is certain. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { RpcClient } from '../common/rpcClient.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { getAcceptedKey } from '../jobs/jobKeys.js'
import { createJobIntake } from '../jobs/jobIntake.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { createHostDirectory } from './hostDirectory.js'
import { createPeerStoreMethods } from './peerStoreMethods.js'
import { createRelayedStore } from './relayedStore.js'
import type { RelayedStore } from './relayedStore.js'

const hostIds = ['host-0', 'host-1', 'host-2']

let store: MemoryStore
let relayedStores: Map<string, RelayedStore>
let stopping: AbortController
let answersToLose: number
/** The versions of which a peer's methods were told. */
let versionsTold: number[]
/** What every peer answers instead of its result, if it is given. */
let oddAnswer: unknown

beforeEach(async () => {
  jest.useFakeTimers()
  store = createMemoryStore()
  relayedStores = new Map()
  stopping = new AbortController()
  answersToLose = 0
  oddAnswer = undefined
  versionsTold = []
  for (const hostId of hostIds) relayedStores.set(hostId, createHostStore(hostId))
  await advanceTime(1_500)
})
afterEach(async () => {
  stopping.abort()
  await advanceTime(1_500)
  jest.useRealTimers()
})

async function advanceTime (ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 10) await jest.advanceTimersByTimeAsync(10)
}

function createHostStore (hostId: string): RelayedStore {
  const direct = store.connect(hostId)
  const directory = createHostDirectory({ store: direct, logger: silentLogger, ownHost: { hostId, address: `${hostId}:7015`, domain: 'a', hasFastLink: true }, signal: stopping.signal })
  return createRelayedStore({ direct, logger: silentLogger, getPeers: directory.getPeers, connect, getConfigurationVersion: () => 8 })
}

function connect (address: string): RpcClient {
  const [hostId = ''] = address.split(':')
  const isUnavailable = (): boolean => relayedStores.get(hostId)?.isDirectUnavailable() ?? true
  const methods = createPeerStoreMethods({ direct: store.connect(hostId), isDirectUnavailable: isUnavailable, onConfigurationVersion: version => { versionsTold.push(version) } })
  return {
    call: async <T>(name: string, params: unknown) => {
      const result = await methods.find(method => method.name === name)?.handle(params, { from: '', identity: '' })
      if (oddAnswer !== undefined) return oddAnswer as T
      if (answersToLose-- > 0) throw createError(ErrorKind.AnswerLost, 'the response was lost')
      return result as T
    }
  }
}

async function waitForResult<T> (promise: Promise<T>): Promise<T | string> {
  const settled = promise.catch(error => String((error as { kind?: string }).kind))
  await advanceTime(4_000)
  return await settled
}

function submit (): Promise<void> {
  const intake = createJobIntake({ store: relayedStores.get('host-0') as RelayedStore, logger: silentLogger })
  return intake.submit(makeJob('job', 'batch', [makeStep()]), performance.now() + 2_750)
}

test('a job submitted to a host that the store rejects is stored through a peer', async () => {
  store.setUnavailable(true, 'host-0')
  expect(await waitForResult(submit())).toBeUndefined()
  expect(store.peek(getAcceptedKey('job'))).toContain('run job')
})

test('a call is relayed through another peer when the store rejects the first peer too', async () => {
  store.setUnavailable(true, 'host-0')
  store.setUnavailable(true, 'host-1')
  expect(await waitForResult(submit())).toBeUndefined()
  expect(store.peek(getAcceptedKey('job'))).toContain('run job')
})

test('a lost answer of a peer is not reported as "not run" when the job is stored', async () => {
  store.setUnavailable(true, 'host-0')
  answersToLose = 1_000
  expect(await waitForResult(submit())).toBe(ErrorKind.AnswerLost)
  expect(store.peek(getAcceptedKey('job'))).toContain('run job')
})

test('"store unavailable" is reported only if neither direct access nor any peer may have written', async () => {
  store.setUnavailable(true, 'host-0')
  answersToLose = 1_000
  const relayedStore = relayedStores.get('host-0') as RelayedStore
  expect(await waitForResult(relayedStore.transact({ expected: [], writes: [{ key: 'key', value: 'value' }] }))).toBe(ErrorKind.AnswerLost)
  answersToLose = 0
  oddAnswer = undefined
  store.setUnavailable(true)
  expect(await waitForResult(relayedStore.transact({ expected: [], writes: [{ key: 'key', value: 'value' }] }))).toBe(ErrorKind.StoreUnavailable)
})

test('the length of a direct outage grows while calls fail, and a relayed success does not end it; it is unknown after a time without calls', async () => {
  const relayed = relayedStores.get('host-0') as RelayedStore
  expect(relayed.getDirectOutageMs()).toBe(0)
  store.setUnavailable(true, 'host-0')
  for (let call = 0; call < 5; call++) {
    void relayed.get('key').catch(() => {})
    await advanceTime(1_000)
  }
  expect(relayed.getDirectOutageMs()).toBeGreaterThanOrEqual(4_900)
  await advanceTime(3_100)
  expect(relayed.getDirectOutageMs()).toBe(0)
  void relayed.get('key').catch(() => {})
  await advanceTime(500)
  expect(relayed.getDirectOutageMs()).toBeLessThanOrEqual(500)
  store.setUnavailable(false, 'host-0')
  await waitForResult(relayed.get('key'))
  expect(relayed.getDirectOutageMs()).toBe(0)
})

// Guards against answers that are taken for an absent job or for a stored one, whatever another version sends.
test.each([['a text', 'x'], ['a number', 7], ['another object', { value: 1 }], ['an item without a value', { key: 'k', revision: 1, createdRevision: 1 }], ['a result without a revision', { isCommitted: true }]])('a peer that answers %s gives an unknown outcome', async (_what, answer) => {
  oddAnswer = answer
  store.setUnavailable(true, 'host-0')
  expect(await waitForResult((relayedStores.get('host-0') as RelayedStore).get(getAcceptedKey('job')))).toBe(ErrorKind.AnswerLost)
  expect(await waitForResult(submit())).toBe(ErrorKind.AnswerLost)
})

// A relayed transaction dropped the leases of its writes, so that their keys would have stayed for good.
test('a write under a lease is not made through a peer', async () => {
  const relayed = relayedStores.get('host-0') as RelayedStore
  const { leaseId } = await relayed.grantLease(5_000)
  store.setUnavailable(true, 'host-0')
  expect(await waitForResult(relayed.transact({ expected: [{ key: 'key', revision: 0 }], writes: [{ key: 'key', value: 'value', leaseId }] }))).toBe(ErrorKind.StoreUnavailable)
  expect(store.peek('key')).toBeUndefined()
})

// A relayed read dropped the lease of the item, which says "none" then.
test('a relayed read shows the lease of an item', async () => {
  const relayed = relayedStores.get('host-0') as RelayedStore
  const { leaseId } = await relayed.grantLease(60_000)
  await relayed.transact({ expected: [{ key: 'key', revision: 0 }], writes: [{ key: 'key', value: 'value', leaseId }] })
  store.setUnavailable(true, 'host-0')
  expect(await waitForResult(relayed.get('key'))).toMatchObject({ value: 'value', leaseId })
})

// Guards against a peer that passes on a job of a new queue and answers that the queue does not exist.
test('a peer is told of the version by which a relayed call was decided', async () => {
  store.setUnavailable(true, 'host-0')
  await waitForResult(submit())
  expect(store.peek(getAcceptedKey('job'))).toBeDefined()
  expect(new Set(versionsTold)).toEqual(new Set([8]))
})
