/** The election and the configuration replica with a store that compacts its history: few calls, and no missed change. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { createConfigurationReplica } from '../configuration/configurationReplica.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { decodeHarnessConfiguration, harnessMaxAgeMs, noFollower } from '../testing/configurationHarness.js'
import { createLeaderElection, leaderKey } from './leaderElection.js'
import type { LeaderElection, Term } from './leaderElection.js'

const configurationKey = 'configuration'
const idleMs = 30_000

let store: MemoryStore

beforeEach(() => {
  jest.useFakeTimers()
  store = createMemoryStore()
})
afterEach(() => { jest.useRealTimers() })

async function run (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
}

/** Counts the calls of a host to the store. */
function countCalls (hostId: string): { readonly client: MetadataStore, getCalls (): number } {
  let calls = 0
  const client = new Proxy(store.connect(hostId), {
    get: (target, name: keyof MetadataStore) => {
      calls++
      return target[name]
    }
  })
  return { client, getCalls: () => calls }
}

function startElection (hostId: string, client: MetadataStore, isSmall = false, onElected: (term: Term) => void = () => {}): LeaderElection {
  return createLeaderElection({ store: client, hostId, logger: silentLogger, random: () => 0.5, isSmall, onElected })
}

/** Advances the clock while other keys change every second and the store compacts its history every five seconds. */
async function idle (): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < idleMs; elapsedMs += 1_000) {
    store.write('other', String(elapsedMs))
    if (elapsedMs % 5_000 === 0) store.compact()
    await run(1_000)
  }
}

test('a candidate calls the store only every few seconds while there is a leader, also when the history is compacted', async () => {
  const leader = startElection('host-0', store.connect('host-0'))
  await run(500)
  const { client, getCalls } = countCalls('host-1')
  const candidate = startElection('host-1', client)
  await idle()
  expect(getCalls()).toBeLessThan(idleMs / 1_000)
  const stopped = leader.stop()
  await run(1_500)
  await stopped
  expect(store.peek(leaderKey)).toBe('host-1')
  const candidateStopped = candidate.stop()
  await run(1_500)
  await candidateStopped
})

// Guards against a cost of the store that grows with the hosts: only likely successors watch the leader key with two calls.
test('40 hosts, three of which follow the records, cost the store fewer than 16 calls a second while there is a leader', async () => {
  const leader = startElection('leader', store.connect('leader'))
  await run(500)
  const counted = Array.from({ length: 40 }, (_, index) => ({ index, ...countCalls(`host-${index}`) }))
  const elections = counted.map(({ index, client }) => createLeaderElection({
    store: client,
    hostId: `host-${index}`,
    logger: silentLogger,
    random: () => 0.5,
    isSmall: false,
    getStandbyRank: () => index < 3 ? index : undefined,
    onElected: () => {}
  }))
  await run(idleMs)
  const callsPerS = counted.reduce((sum, { getCalls }) => sum + getCalls(), 0) * 1_000 / idleMs
  expect(callsPerS).toBeLessThan(16)
  const stopped = Promise.all([leader, ...elections].map(async election => { await election.stop() }))
  await run(2_500)
  await stopped
})

test('a new configuration takes effect at once, with about one call per second, also when the history is compacted', async () => {
  const stopping = new AbortController()
  const { client, getCalls } = countCalls('host-1')
  store.write(configurationKey, '1')
  const replica = createConfigurationReplica({
    store: client,
    follower: noFollower,
    prefersPeers: false,
    maxAgeMs: harnessMaxAgeMs,
    logger: silentLogger,
    key: configurationKey,
    decode: decodeHarnessConfiguration,
    onChanged: () => {},
    signal: stopping.signal
  })
  await idle()
  expect(getCalls()).toBeLessThan(2.2 * idleMs / 1_000)
  store.write(configurationKey, '2')
  await run(100)
  expect(replica.get()?.version).toBe(2)
  stopping.abort()
  await run(1_500)
})

test('a large host is elected before a small one that starts at the same time', async () => {
  const elections = [startElection('small', store.connect('small'), true), startElection('large', store.connect('large'))]
  await run(1_000)
  expect(store.peek(leaderKey)).toBe('large')
  const stopped = Promise.all(elections.map(async election => { await election.stop() }))
  await run(2_500)
  await stopped
})

test('a second resignation without a pause does not shorten the pause of the first', async () => {
  const terms: Term[] = []
  const election = startElection('host-0', store.connect('host-0'), false, term => { terms.push(term) })
  await run(500)
  // A small host takes over only while the other one pauses.
  const others: Term[] = []
  const other = startElection('host-1', store.connect('host-1'), true, term => { others.push(term) })
  await run(500)
  terms[0]?.resign('a fault', 5_000)
  terms[0]?.resign('its consequence')
  await run(4_000)
  others[0]?.resign('a fault of the other host')
  await run(800)
  expect(terms).toHaveLength(1)
  expect(others).toHaveLength(2)
  others[1]?.resign('a fault of the other host')
  await run(1_200)
  expect(terms).toHaveLength(2)
  const stopped = Promise.all([election.stop(), other.stop()])
  await run(2_500)
  await stopped
})

// Guards against a time in which nobody schedules: the other hosts may be gone, or may have resigned too.
test('a host that has resigned runs again before its pause is over if no other host takes over', async () => {
  const terms: Term[] = []
  const election = startElection('host-0', store.connect('host-0'), false, term => { terms.push(term) })
  await run(500)
  terms[0]?.resign('a fault of this host', 20_000)
  await run(2_000)
  expect(terms).toHaveLength(2)
  const stopped = election.stop()
  await run(1_500)
  await stopped
})

test('after an outage of the store in which leases do not expire, a leader is elected as soon as the store is back', async () => {
  const elections = ['host-0', 'host-1'].map(hostId => startElection(hostId, store.connect(hostId)))
  await run(1_000)
  const before = store.peek(leaderKey)
  store.pause(true)
  await run(4_000)
  expect(store.peek(leaderKey)).toBe(before)
  store.pause(false)
  await run(900)
  expect(elections.filter(election => election.getLeader() !== undefined).length).toBeGreaterThan(0)
  const revision = (await settle(store.connect('observer').range(leaderKey))).items[0]?.createdRevision
  expect(revision).toBeGreaterThan(3)
  const stopped = Promise.all(elections.map(async election => { await election.stop() }))
  await run(2_500)
  await stopped
})

async function settle<T> (promise: Promise<T>): Promise<T> {
  await run(10)
  return await promise
}
