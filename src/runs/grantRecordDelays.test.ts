/** Records of granted leases whose leases the store grants or extends much earlier or later than the host learns of it. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { createSilentWorkers } from '../testing/grants.js'
import { createGrantRecord } from './grantRecord.js'
import { grantPrefix } from './grantRecordFormat.js'
import type { GrantRecord } from './grantRecord.js'
import { getLongestDurationMs } from './workerLease.js'

const maxLeaseMs = 6_000
/** After this time, in ms, the record of a term that has ended is gone. */
const recordGoneMs = 7_500
const leaderKey = 'leader'

let memoryStore: MemoryStore
let endings: AbortController[]

beforeEach(() => {
  jest.useFakeTimers()
  memoryStore = createMemoryStore()
  endings = []
})

afterEach(async () => {
  for (const ending of endings) ending.abort()
  await run(1_000)
  jest.useRealTimers()
})

async function run (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
}

async function wait (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}

interface StartedTerm {
  readonly record: GrantRecord
  readonly epoch: number
  readonly ending: AbortController
  readonly resignations: readonly string[]
}

async function startTerm (hostId: string, unansweredIds: readonly string[] = [], wrap: (client: MetadataStore) => MetadataStore = client => client, isValid = (): boolean => true): Promise<StartedTerm> {
  const client = memoryStore.connect(hostId)
  memoryStore.write(leaderKey, hostId)
  const epoch = (await client.get(leaderKey))?.revision ?? 0
  const ending = new AbortController()
  endings.push(ending)
  const resignations: string[] = []
  const term: Term = { epoch, leaderKey, leaderRevision: epoch, isValid: () => !ending.signal.aborted && isValid(), resign: reason => { resignations.push(reason) }, signal: ending.signal }
  const record = createGrantRecord({ store: wrap(client), term, logger: silentLogger, maxLeaseMs, minTtlMs: 500, onEarlierChanged: () => {} })
  void record.open(() => unansweredIds)
  return { record, epoch, ending, resignations }
}

/** Reads the record as another host does, so that the store has removed what has expired. */
async function hasRecord (epoch: number): Promise<boolean> {
  return await memoryStore.connect('reader').get(`${grantPrefix}${epoch}`) !== undefined
}

// Guards against two runs at once: a record that is moved to a lease which the store granted before the latest extension of the one before goes away too early.
test.each([600, 1_000, 1_400])('a record does not go away before the leases of its workers if the store grants its next lease and answers %i ms late', async lateMs => { await expectRecordOutlastsLeases(lateMs) })

async function expectRecordOutlastsLeases (lateMs: number): Promise<void> {
  let failedGrants = 0
  let areAnswersLate = false
  const { record, epoch, ending } = await startTerm('host-0', [], client => ({
    ...client,
    grantLease: async ttlMs => {
      if (!areAnswersLate) return await client.grantLease(ttlMs)
      if (failedGrants++ === 0) {
        await wait(1_300)
        throw createError(ErrorKind.AnswerLost, 'no response')
      }
      const granted = await client.grantLease(ttlMs)
      await wait(lateMs)
      return granted
    }
  }))
  await run(1_000)
  areAnswersLate = true
  let latestEndMs = 0
  for (let elapsedMs = 0; elapsedMs < 8_000 && failedGrants < 3; elapsedMs += 10) {
    latestEndMs = Math.max(latestEndMs, performance.now() + getLongestDurationMs(record.getMaxGrantMs('w')))
    await run(10)
  }
  ending.abort()
  while (performance.now() < latestEndMs - 10) {
    expect({ leasesLeftMs: Math.round(latestEndMs - performance.now()), isThere: await hasRecord(epoch) }).toEqual(expect.objectContaining({ isThere: true }))
    await run(10)
  }
}

// Guards against extensions by a host whose connection is cut: terms of the usual length are valid for 1.85 s without an answer of the store, and with a slow store for 2.85 s.
test.each([1_000, 1_800, 2_800])('a record goes away in time if its term stays valid for %i ms without an answer, and its requests are executed later', async validMs => { await expectRecordGoesAway(validMs) })

async function expectRecordGoesAway (validMs: number): Promise<void> {
  let heldUntilMs = -Infinity
  const hold = async <T>(call: () => Promise<T>): Promise<T> => {
    if (performance.now() < heldUntilMs) await wait(heldUntilMs - performance.now())
    return await call()
  }
  const first = await startTerm('host-0', [], client => ({
    ...client,
    grantLease: async ttlMs => await hold(async () => await client.grantLease(ttlMs)),
    transact: async transaction => await hold(async () => await client.transact(transaction)),
    keepLeaseAlive: async leaseId => { await hold(async () => { await client.keepLeaseAlive(leaseId) }) }
  }))
  await run(2_000)
  const cutAtMs = performance.now()
  heldUntilMs = cutAtMs + 5_000
  await run(validMs)
  first.ending.abort()
  memoryStore.write(leaderKey, 'host-1')
  await run(recordGoneMs - validMs)
  expect(await hasRecord(first.epoch)).toBe(false)
}

// Guards against a needless takeover: the record is attached to another lease by then.
test('a term goes on when the extension of a lease is refused to which its record is not attached any more', async () => {
  let isSlow = false
  let areWritesRefused = false
  const { record, resignations } = await startTerm('host-0', [], client => ({
    ...client,
    transact: async transaction => {
      if (areWritesRefused) throw createError(ErrorKind.StoreUnavailable, 'the store answered with status 429')
      return await client.transact(transaction)
    },
    keepLeaseAlive: async leaseId => {
      if (isSlow) await wait(7_500)
      await client.keepLeaseAlive(leaseId)
    }
  }))
  await run(1_000)
  areWritesRefused = true
  isSlow = true
  await run(3_000)
  areWritesRefused = false
  isSlow = false
  await run(10_000)
  expect(record.getMaxGrantMs('w')).toBeGreaterThan(0)
  expect(resignations).toEqual([])
})

// Guards against leases that outlast the record: it may still be attached to the older of its two leases.
test('leases end before the older lease of a record while the store refuses its writes and extensions', async () => {
  let isRefusing = false
  const refuse = async <T>(call: () => Promise<T>): Promise<T> => {
    if (isRefusing) throw createError(ErrorKind.StoreUnavailable, 'the store answered with status 429')
    return await call()
  }
  const { record, epoch, ending } = await startTerm('host-0', [], client => ({
    ...client,
    transact: async transaction => await refuse(async () => await client.transact(transaction)),
    keepLeaseAlive: async leaseId => { await refuse(async () => { await client.keepLeaseAlive(leaseId) }) }
  }))
  await run(1_000)
  isRefusing = true
  let latestEndMs = 0
  for (let elapsedMs = 0; elapsedMs < 3_000; elapsedMs += 10) {
    latestEndMs = Math.max(latestEndMs, performance.now() + getLongestDurationMs(record.getMaxGrantMs('w')))
    await run(10)
  }
  ending.abort()
  while (performance.now() < latestEndMs - 10) {
    expect(await hasRecord(epoch)).toBe(true)
    await run(10)
  }
})

// Guards against two runs at once: the late write would exclude a worker that has been granted a lease since.
test('a write of the record that is executed after newer ones does not exclude a worker again', async () => {
  const { record, epoch, ending } = await startTerm('host-0')
  await run(100)
  memoryStore.delayWrites('host-0', 1, 2_000, grantPrefix)
  record.excludeSilent(createSilentWorkers('w'), 0)
  await run(500)
  void record.include('w')
  await run(1_400)
  expect(record.getMaxGrantMs('w')).toBe(maxLeaseMs)
  // No renewal replaces what the late write leaves.
  ending.abort()
  await run(300)
  expect(memoryStore.peek(`${grantPrefix}${epoch}`)).toBe('{"excluded":[],"silentWorkers":{}}')
})

// Guards against renewals by a host that has stood still and has not been told yet of the end of its term.
test('a term that is not valid any more neither extends the leases of its record nor grants new ones', async () => {
  let isValid = true
  let calls = 0
  const { record } = await startTerm('host-0', [], client => ({
    ...client,
    grantLease: async ttlMs => {
      calls++
      return await client.grantLease(ttlMs)
    },
    keepLeaseAlive: async leaseId => {
      calls++
      await client.keepLeaseAlive(leaseId)
    }
  }), () => isValid)
  await run(1_000)
  expect(record.isStored()).toBe(true)
  isValid = false
  await run(100)
  const callsBefore = calls
  await run(4_000)
  expect(calls).toBe(callsBefore)
})

// Guards against a term that goes on granting leases which no record stands for.
test('a term ends at once when the lease of its record has ended and writes of the record are refused', async () => {
  let areWritesRefused = false
  const leaseIds: number[] = []
  const { resignations } = await startTerm('host-0', [], client => ({
    ...client,
    grantLease: async ttlMs => {
      const granted = await client.grantLease(ttlMs)
      leaseIds.push(granted.leaseId)
      return granted
    },
    transact: async transaction => {
      if (areWritesRefused) throw createError(ErrorKind.StoreUnavailable, 'the store answered with status 429')
      return await client.transact(transaction)
    }
  }))
  await run(1_000)
  areWritesRefused = true
  for (const leaseId of leaseIds) await memoryStore.connect('operator').revokeLease(leaseId)
  await run(3_000)
  expect(resignations).toContain('the record of granted leases is lost: its lease has ended')
})
