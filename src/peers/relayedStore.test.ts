/** A host that the store turns away serves on through its peers, and never says more than it knows. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { RpcClient } from '../common/rpcCall.js'
import { createConfigurationReplica } from '../configuration/configurationReplica.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { getAcceptedKey } from '../jobs/jobKeys.js'
import { createJobIntake } from '../jobs/jobIntake.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { makeJob, makeStep, rigConfiguration } from '../testing/poolRig.js'
import { createHostDirectory } from './hostDirectory.js'
import { createPeerStoreMethods } from './peerStoreMethods.js'
import { createRelayedStore } from './relayedStore.js'
import type { RelayedStore } from './relayedStore.js'

const hostIds = ['host-0', 'host-1', 'host-2']

let store: MemoryStore
let relays: Map<string, RelayedStore>
let stopping: AbortController
let lostAnswers: number

beforeEach(async () => {
  jest.useFakeTimers()
  store = createMemoryStore()
  relays = new Map()
  stopping = new AbortController()
  lostAnswers = 0
  for (const hostId of hostIds) relays.set(hostId, createRelay(hostId))
  await run(1_500)
})
afterEach(async () => {
  stopping.abort()
  await run(1_500)
  jest.useRealTimers()
})

async function run (ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 10) await jest.advanceTimersByTimeAsync(10)
}

function createRelay (hostId: string): RelayedStore {
  const direct = store.connect(hostId)
  const directory = createHostDirectory({ store: direct, logger: silentLogger, own: { hostId, address: hostId, domain: 'a' }, signal: stopping.signal })
  return createRelayedStore({ direct, logger: silentLogger, getPeers: directory.getPeers, connect })
}

function connect (hostId: string): RpcClient {
  const isDirectOut = (): boolean => relays.get(hostId)?.isDirectOut() ?? true
  const methods = createPeerStoreMethods({ direct: store.connect(hostId), isDirectOut })
  return {
    call: async <T>(name: string, params: unknown) => {
      const result = await methods.find(method => method.name === name)?.handle(params, { from: '', identity: '' })
      if (lostAnswers-- > 0) throw createError(ErrorKind.AnswerLost, 'the answer is lost')
      return result as T
    }
  }
}

async function settle<T> (promise: Promise<T>): Promise<T | string> {
  const settled = promise.catch(error => String((error as { kind?: string }).kind))
  await run(4_000)
  return await settled
}

function submit (): Promise<void> {
  const intake = createJobIntake({ store: relays.get('host-0') as RelayedStore, logger: silentLogger })
  return intake.submit(makeJob('job', 'batch', [makeStep()]), Date.now() + 2_750)
}

test('a job handed to a host that the store turns away is stored through a peer, once', async () => {
  store.setOut(true, 'host-0')
  expect(await settle(submit())).toBeUndefined()
  expect(store.peek(getAcceptedKey('job'))).toContain('run job')
})

test('it goes on to another peer when the first one is turned away too', async () => {
  store.setOut(true, 'host-0')
  store.setOut(true, 'host-1')
  expect(await settle(submit())).toBeUndefined()
  expect(store.peek(getAcceptedKey('job'))).toContain('run job')
})

test('an answer of a peer that is lost does not become "not run", although the job is stored', async () => {
  store.setOut(true, 'host-0')
  lostAnswers = 1_000
  expect(await settle(submit())).toBe(ErrorKind.AnswerLost)
  expect(store.peek(getAcceptedKey('job'))).toContain('run job')
})

test('"nothing was done" is only said when every way says so', async () => {
  store.setOut(true, 'host-0')
  lostAnswers = 1_000
  const relay = relays.get('host-0') as RelayedStore
  expect(await settle(relay.transact({ expected: [], writes: [{ key: 'key', value: 'value' }] }))).toBe(ErrorKind.AnswerLost)
  lostAnswers = 0
  store.setOut(true)
  expect(await settle(relay.transact({ expected: [], writes: [{ key: 'key', value: 'value' }] }))).toBe(ErrorKind.StoreUnavailable)
})

test('the configuration reaches a host that the store turns away', async () => {
  store.write('configuration', '1')
  const replica = createConfigurationReplica({
    store: relays.get('host-0') as RelayedStore,
    logger: silentLogger,
    key: 'configuration',
    decode: value => ({ ...rigConfiguration, version: Number(value) }),
    onChanged: () => {},
    signal: stopping.signal
  })
  await run(300)
  store.setOut(true, 'host-0')
  await run(1_500)
  store.write('configuration', '2')
  await run(2_000)
  expect(replica.get()?.version).toBe(2)
  expect(replica.isStoreReached()).toBe(true)
})
