/** Takeovers by a standby that follows the records, and cases in which its copy must not be relied on. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { leaderKey } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { getProgressKey, progressPrefix } from '../jobs/jobKeys.js'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { decodeState } from '../jobs/trackedJob.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore, StoredItem } from '../store/metadataStore.js'
import { createPrefixReplica } from '../store/prefixReplica.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { HarnessOrder, PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { grantPrefix } from './grantRecordFormat.js'
import { createWarmStandby } from './warmStandby.js'

type Calls = Partial<Pick<MetadataStore, 'range' | 'watch' | 'keepLeaseAlive' | 'revokeLease'>>

const prefix = 'progress/'

let harness: PoolHarness | undefined

beforeEach(() => {
  jest.useFakeTimers()
  harness = undefined
})

afterEach(async () => {
  const stopped = harness?.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

async function run (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
}

async function settle<T> (promise: Promise<T>, ms = 100): Promise<T> {
  await run(ms)
  return await promise
}

async function startHarness (options: Partial<PoolHarnessOptions> = {}, hosts = 2): Promise<PoolHarness> {
  const started = createPoolHarness({ workers: 4, getRun: () => ({ workMs: 4_000, how: EndKind.Done }), maxLeaseMs: 6_000, isListStored: true, hasStandbys: true, ...options })
  harness = started
  for (let index = 0; index < hosts; index++) {
    started.addHost(`host-${index}`)
    await run(500)
  }
  await run(1_500)
  return started
}

async function submit (started: PoolHarness, ...names: string[]): Promise<void> {
  for (const name of names) await settle(started.submit(makeJob(name, 'batch', [makeStep({ count: 4, estimateMs: 4_000 })])), 150)
}

function getState (started: PoolHarness, jobId: string): JobState {
  const value = started.store.peek(getProgressKey(jobId))
  return value === undefined ? JobState.Queued : decodeState(value)
}

async function expectWholeRuns (started: PoolHarness, names: readonly string[], tasks = names.length * 4): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < 15_000 && names.some(name => getState(started, name) !== JobState.Complete); elapsedMs += 100) await run(100)
  expect(names.map(name => getState(started, name))).toEqual(names.map(() => JobState.Complete))
  expect([...started.poolState.starts.values()]).toEqual(Array.from({ length: tasks }, () => 1))
  expect(started.poolState.violations).toEqual([])
  expectNoStartAfterSuccessor(started)
}

/** No start was sent by an earlier scheduler after the first one of a later one. */
function expectNoStartAfterSuccessor (started: PoolHarness): void {
  let latestEpoch = 0
  for (const { epoch } of started.orders) {
    expect(epoch).toBeGreaterThanOrEqual(latestEpoch)
    latestEpoch = epoch
  }
}

function override (client: MetadataStore, calls: (client: MetadataStore) => Calls): MetadataStore {
  const replaced = calls(client)
  return new Proxy(client, { get: (target, name: keyof MetadataStore) => (replaced as Partial<MetadataStore>)[name] ?? target[name] })
}

test('a takeover by a standby reads no records in full and starts waiting work within 1.5 s after a kill', async () => {
  const fullReads: { readonly hostId: string, readonly prefix: string, readonly atMs: number, readonly items: readonly StoredItem[] }[] = []
  const started = await startHarness({
    workers: 33,
    storeRoundTripMs: 6,
    workerRoundTripMs: 30,
    interceptStore: (hostId, client) => override(client, ({ range }) => ({
      range: async (read, after) => {
        const atMs = performance.now()
        const page = await range(read, after)
        fullReads.push({ hostId, prefix: read, atMs, items: page.items })
        return page
      }
    }))
  })
  await submit(started, 'a', 'b')
  await run(500)
  started.hosts.get('host-0')?.crash()
  const killedAtMs = performance.now()
  await submit(started, 'c')
  while (started.orders.at(-1)?.hostId !== 'host-1' && performance.now() - killedAtMs < 5_000) await run(10)
  const startedAtMs = started.orders.find(order => order.hostId === 'host-1')?.atMs ?? Infinity
  expect(startedAtMs - killedAtMs).toBeLessThan(1_500)
  // The list of workers is polled during a term; its first read comes from the copy.
  const reads = fullReads.filter(({ hostId, atMs }) => hostId === 'host-1' && atMs >= killedAtMs && atMs <= startedAtMs)
  // The leader key and the records of granted leases have to be read as of the term; they are a few keys whatever the number of jobs and workers.
  const isSmall = ({ prefix }: { readonly prefix: string }): boolean => [leaderKey, grantPrefix].includes(prefix)
  expect(reads.filter(read => !isSmall(read))).toEqual([])
  const isTimer = ({ key }: StoredItem): boolean => /^\d+\/./.test(key.slice(grantPrefix.length)) && key.startsWith(grantPrefix)
  expect(Math.max(0, ...reads.filter(isSmall).map(({ items }) => items.filter(item => !isTimer(item)).length))).toBeLessThanOrEqual(3)
  // The record names workers under the keys of at most two leases of the store for each of its writes: the first one, and one renewal in the time before the kill.
  for (const { items } of reads) {
    const timers = items.filter(isTimer)
    expect(timers.length).toBeLessThanOrEqual(4)
    expect(timers.map(({ value }) => value).join('')).toBe('')
  }
  await expectWholeRuns(started, ['a', 'b', 'c'])
})

test('after a planned stop the successor starts waiting work within 0.3 s', async () => {
  const started = await startHarness({ workers: 33, storeRoundTripMs: 6, workerRoundTripMs: 30 })
  await submit(started, 'a')
  await run(300)
  const stoppedAtMs = performance.now()
  const stopped = started.hosts.get('host-0')?.stop()
  await submit(started, 'b')
  await run(1_000)
  await stopped
  const first = started.orders.find(order => order.hostId === 'host-1')
  expect((first?.atMs ?? Infinity) - stoppedAtMs).toBeLessThan(300)
  await expectWholeRuns(started, ['a', 'b'])
})

// Guards against waits that depend on when the host stops: between two renewals, watches, planning passes and writes, or while it takes over itself.
test.each([0, 1, 2, 3])('after planned stops at many moments the successor starts work within 0.3 s, part %i', async part => {
  const started = await startHarness({ workers: 12, storeRoundTripMs: 6, workerRoundTripMs: 30, getRun: () => ({ workMs: 1_500, how: EndKind.Done }) }, 3)
  let jobs = 0
  const arrivals = setInterval(() => { void started.submit(makeJob(`job-${jobs++}`, 'urgent', [makeStep({ estimateMs: 1_500 })])) }, 50)
  await run(500)
  const waitsMs: number[] = []
  for (let stop = 0; stop < 12; stop++) {
    const hostId = started.store.peek(leaderKey) ?? ''
    const epoch = started.hosts.get(hostId)?.getTerm()?.epoch ?? Infinity
    const stoppedAtMs = performance.now()
    void started.hosts.get(hostId)?.stop()
    started.addHost(`later-${stop}`)
    const getFirst = (): HarnessOrder | undefined => started.orders.find(order => order.epoch > epoch)
    while (getFirst() === undefined && performance.now() - stoppedAtMs < 10_000) await run(10)
    waitsMs.push((getFirst()?.atMs ?? Infinity) - stoppedAtMs)
    // A host that has just been added is a standby after 1 s at the latest. Every fourth stop follows at once, within the takeover's last steps.
    await run(stop % 4 === 3 ? 20 : 1_300 + 41 * (4 * stop + part))
  }
  clearInterval(arrivals)
  expect(Math.max(...waitsMs)).toBeLessThan(300)
  expect(started.poolState.violations).toEqual([])
  expectNoStartAfterSuccessor(started)
})

// Guards against a successor that waits longer than the lease of the leader lasts, which is 1 s here.
test.each([
  ['is refused for good', async () => { throw createError(ErrorKind.StoreUnavailable, 'the store answered with status 503') }, 1_300],
  ['is refused once', undefined, 700],
  ['gets no response and is not executed', async () => {
    await delay(900)
    throw createError(ErrorKind.AnswerLost, 'the store did not respond')
  }, 1_300]
])('after a planned stop whose release of the lease %s the successor starts work in time', async (_case, revokeLease, limitMs) => {
  for (const ageMs of [0, 50, 100, 150, 200, 250]) {
    let refusals = 0
    const started = await startHarness({
      workers: 4,
      storeRoundTripMs: 6,
      workerRoundTripMs: 30,
      interceptStore: (hostId, client) => override(client, original => ({
        revokeLease: async leaseId => {
          if (hostId === 'host-0' && revokeLease !== undefined) await revokeLease()
          if (hostId === 'host-0' && refusals++ === 0) throw createError(ErrorKind.StoreUnavailable, 'the store answered with status 503')
          await original.revokeLease(leaseId)
        }
      }))
    })
    await run(ageMs)
    const stoppedAtMs = performance.now()
    const stopped = started.hosts.get('host-0')?.stop()
    await submit(started, 'a')
    await run(3_000)
    await stopped
    const first = started.orders.find(order => order.hostId === 'host-1')
    expect((first?.atMs ?? Infinity) - stoppedAtMs).toBeLessThan(limitMs)
    await settle(started.stop(), 3_000)
  }
})

test('a standby that is behind catches up before it starts anything', async () => {
  let isFollowingStopped = false
  const started = await startHarness({
    interceptStore: (hostId, client) => override(client, ({ watch }) => ({
      watch: async (watched, revision, waitMs, signal) => {
        // Its watches of the progress hang, except the short ones by which it catches up.
        if (hostId === 'host-1' && isFollowingStopped && watched === progressPrefix && waitMs > 10) return await new Promise(() => {})
        return await watch(watched, revision, waitMs, signal)
      }
    }))
  })
  isFollowingStopped = true
  await submit(started, 'a', 'b')
  await run(500)
  started.hosts.get('host-0')?.crash()
  await expectWholeRuns(started, ['a', 'b'])
})

test('a standby that has missed a change of a record does not start its tasks again', async () => {
  let missed = 0
  const started = await startHarness({
    interceptStore: (hostId, client) => override(client, ({ watch }) => ({
      watch: async (watched, revision, waitMs, signal) => {
        const result = await watch(watched, revision, waitMs, signal)
        if (hostId !== 'host-1' || watched !== progressPrefix) return result
        missed += result.changes.length
        return { changes: [], revision: result.revision }
      }
    }))
  })
  await submit(started, 'a')
  await run(500)
  started.hosts.get('host-0')?.crash()
  await run(5_000)
  expect(missed).toBeGreaterThan(0)
  expect([...started.poolState.starts.keys()]).toHaveLength(4)
  // The runs that the incomplete records do not name are stopped, but none is started beside them.
  expect(started.poolState.violations).toEqual([])
  for (let elapsedMs = 0; elapsedMs < 20_000 && getState(started, 'a') !== JobState.Complete; elapsedMs += 100) await run(100)
  expect(getState(started, 'a')).toBe(JobState.Complete)
  expect(started.poolState.violations).toEqual([])
  expectNoStartAfterSuccessor(started)
})

test('answers from before the start of the term are not taken for the latest changes', async () => {
  const store = createMemoryStore()
  const client = store.connect('host')
  store.write(`${prefix}a`, '1')
  const stale: { revision?: number } = {}
  const standby = createStandby(override(client, ({ watch }) => ({
    watch: async (watched, revision, waitMs, signal) => {
      const result = await watch(watched, revision, waitMs, signal)
      return stale.revision === undefined ? result : { changes: [], revision: stale.revision }
    }
  })))
  await run(1_500)
  expect(standby.isWarm()).toBe(true)
  stale.revision = (await settle(client.range(prefix))).revision
  store.write(`${prefix}a`, '2')
  store.write('leader', 'host')
  const epoch = (await settle(client.range(prefix))).revision
  const read = await settle(standby.read(prefix, epoch))
  expect(read.items.map(({ value }) => value)).toEqual(['2'])
  expect(read.revision).toBeGreaterThanOrEqual(epoch)
})

test('a copy is used by one term only', async () => {
  const store = createMemoryStore()
  store.write(`${prefix}a`, '1')
  const standby = createStandby(store.connect('host'))
  await run(1_500)
  await settle(standby.read(prefix, 1))
  expect(standby.isWarm()).toBe(false)
  store.write(`${prefix}a`, '2')
  expect((await settle(standby.read(prefix, 1))).items.map(({ value }) => value)).toEqual(['2'])
})

test('a catch-up that is not answered is overtaken by a full read', async () => {
  const store = createMemoryStore()
  store.write(`${prefix}a`, '1')
  let isHanging = false
  const standby = createStandby(override(store.connect('host'), ({ watch }) => ({
    watch: async (watched, revision, waitMs, signal) => isHanging ? await new Promise(() => {}) : await watch(watched, revision, waitMs, signal)
  })))
  await run(1_500)
  isHanging = true
  store.write(`${prefix}b`, '1')
  expect((await settle(standby.read(prefix, 3), 500)).items).toHaveLength(2)
})

test('an outage of the store during the first read of a term is reported as an error, so that the read is repeated', async () => {
  const store = createMemoryStore()
  const standby = createStandby(store.connect('host'))
  await run(1_500)
  store.setUnavailable(true)
  const read = standby.read(prefix, 1).catch((error: unknown) => String(error))
  expect(await settle(read, 1_000)).toContain('the store is unavailable')
  store.setUnavailable(false)
  store.write(`${prefix}a`, '1')
  expect((await settle(standby.read(prefix, 1))).items).toHaveLength(1)
})

test('a replica follows writes and removals, also after the history has been compacted and after an outage', async () => {
  const store = createMemoryStore()
  store.write(`${prefix}a`, '1')
  store.write(`${prefix}b`, '1')
  const replica = createPrefixReplica({ store: store.connect('host'), logger: silentLogger, prefix })
  await run(100)
  store.write(`${prefix}a`, undefined)
  await run(500)
  store.setUnavailable(true)
  await run(1_000)
  store.write(`${prefix}c`, '1')
  store.write('other', '1')
  store.compact()
  store.setUnavailable(false)
  await run(2_000)
  store.write(`${prefix}b`, '2')
  const revision = (await settle(store.connect('host').range(prefix), 10)).revision
  const snapshot = await settle(replica.catchUp(revision))
  expect(snapshot?.items.map(({ key, value }) => [key, value])).toEqual([[`${prefix}b`, '2'], [`${prefix}c`, '1']])
})

test('a history that is compacted right before the takeover is replaced by a full read', async () => {
  const store = createMemoryStore()
  store.write(`${prefix}a`, '1')
  let isHanging = false
  const standby = createStandby(override(store.connect('host'), ({ watch }) => ({
    watch: async (watched, revision, waitMs, signal) => {
      if (isHanging && waitMs > 10) throw createError(ErrorKind.AnswerLost, 'the answer was lost')
      return await watch(watched, revision, waitMs, signal)
    }
  })))
  await run(1_500)
  isHanging = true
  await run(100)
  store.write(`${prefix}a`, '2')
  store.write('other', '1')
  store.compact()
  expect((await settle(standby.read(prefix, 4))).items.map(({ value }) => value)).toEqual(['2'])
})

test('when the standby dies together with the scheduler, a third host takes over', async () => {
  const started = await startHarness({}, 3)
  await submit(started, 'a', 'b')
  await run(500)
  started.hosts.get('host-0')?.crash()
  started.hosts.get('host-1')?.crash()
  await run(3_000)
  expect(started.store.peek('leader/scheduler')).toBe('host-2')
  await expectWholeRuns(started, ['a', 'b'])
})

test('a standby that dies during its takeover is succeeded, and no task runs twice', async () => {
  const started = await startHarness({ storeRoundTripMs: 40 }, 3)
  await submit(started, 'a', 'b')
  await run(500)
  const leader = started.store.peek('leader/scheduler') ?? ''
  started.hosts.get(leader)?.crash()
  let successor = leader
  for (let elapsedMs = 0; elapsedMs < 4_000 && (successor === leader || successor === ''); elapsedMs += 10) {
    await run(10)
    successor = started.store.peek('leader/scheduler') ?? ''
  }
  expect(successor).not.toBe(leader)
  await run(50)
  started.hosts.get(successor)?.crash()
  await expectWholeRuns(started, ['a', 'b'])
})

test('a scheduler that is cut off from the store only sends no start after its successor', async () => {
  const started = await startHarness()
  const leader = started.store.peek('leader/scheduler') ?? ''
  // More work than the workers hold, so that the old scheduler has something to start whenever a task ends.
  const waiting = ['b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j', 'k']
  await submit(started, 'a', ...waiting)
  await run(300)
  started.store.setUnavailable(true, leader)
  await run(6_000)
  started.store.setUnavailable(false, leader)
  await expectWholeRuns(started, ['a', ...waiting])
  expect(new Set(started.orders.map(({ hostId }) => hostId)).size).toBeGreaterThan(1)
})

test('after an outage of the store work goes on, and no task runs twice', async () => {
  const started = await startHarness({ getRun: () => ({ workMs: 9_000, how: EndKind.Done }), maxLeaseMs: 6_000 })
  await submit(started, 'a')
  await run(300)
  started.store.pause(true)
  await run(3_500)
  started.store.pause(false)
  await run(1_000)
  expect(started.store.peek('leader/scheduler')).toBeDefined()
  await submit(started, 'b')
  await expectWholeRuns(started, ['a', 'b'])
})

test('a host that is no standby, or no longer, follows nothing', async () => {
  const store = createMemoryStore()
  let isStandby = false
  let watches = 0
  const client = override(store.connect('host'), ({ watch }) => ({
    watch: async (...parameters) => {
      watches++
      return await watch(...parameters)
    }
  }))
  const standby = createWarmStandby({ store: client, logger: silentLogger, prefixes: [prefix], isStandby: () => isStandby, signal: new AbortController().signal })
  await run(3_000)
  expect(watches).toBe(0)
  isStandby = true
  await run(2_000)
  expect(standby.isWarm()).toBe(true)
  isStandby = false
  await run(6_000)
  const watchesBefore = watches
  await run(6_000)
  expect(watches).toBe(watchesBefore)
  expect(standby.isWarm()).toBe(false)
})

function createStandby (client: MetadataStore): ReturnType<typeof createWarmStandby> {
  return createWarmStandby({ store: client, logger: silentLogger, prefixes: [prefix], isStandby: () => true, signal: new AbortController().signal })
}
