/** The learned state across a change of scheduler, with a store that lacks it, fails, or holds something that must not be used. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { createRunTimes } from '../placement/runTimes.js'
import type { RunTimes } from '../placement/runTimes.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { createMachineSpeeds } from '../workers/machineSpeed.js'
import type { MachineSpeeds } from '../workers/machineSpeed.js'
import { createLearnedState, encodeLearnedState, learnedStateKey, learnedStatePeriodMs, maxLearnedAgeMs, maxLearnedBytes } from './learnedState.js'

const leaderKey = 'leader/scheduler'
const aborts: AbortController[] = []

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => {
  for (const abort of aborts.splice(0)) abort.abort()
  jest.useRealTimers()
})

interface Learned {
  readonly runTimes: RunTimes
  readonly speeds: MachineSpeeds
}

async function start (store: MemoryStore, epoch: number, leaderRevision: number): Promise<Learned> {
  const abort = new AbortController()
  aborts.push(abort)
  const term: Term = { epoch, leaderKey, leaderRevision, isValid: () => !abort.signal.aborted, resign: () => { abort.abort() }, signal: abort.signal }
  const learned = { runTimes: createRunTimes(), speeds: createMachineSpeeds() }
  createLearnedState({ store: store.connect(`host-${epoch}`), term, logger: silentLogger, ...learned })
  await jest.advanceTimersByTimeAsync(500)
  return learned
}

/** Becomes leader in the store and returns the revision of the leader key. */
async function takeLead (store: MemoryStore, hostId: string): Promise<number> {
  const result = await store.connect(hostId).transact({ expected: [], writes: [{ key: leaderKey, value: hostId }] })
  return result.isCommitted ? result.revision : 0
}

function learn ({ runTimes, speeds }: Learned): void {
  for (let runs = 0; runs < 20; runs++) {
    runTimes.recordRun('urgent', 1_000, 2_000)
    speeds.record(['machine-1'], 0.2, performance.now())
  }
}

function encode (epoch: number, ageMs: number): string {
  return encodeLearnedState({ epoch, atMs: Date.now() - ageMs, runTimes: [['urgent', 20, 2_000, 0.7]], speeds: [['machine-1', -8, 5]] })
}

test('a successor starts with the run times and speeds of its predecessor', async () => {
  const store = createMemoryStore()
  const first = await start(store, 1, await takeLead(store, 'host-1'))
  learn(first)
  await jest.advanceTimersByTimeAsync(learnedStatePeriodMs)
  const second = await start(store, 2, await takeLead(store, 'host-2'))
  expect(second.runTimes.getMeanMs('urgent')).toBeCloseTo(2_000)
  expect(second.speeds.getSpeed('machine-1', performance.now())).toBeLessThan(0.6)
})

test('a term that has been succeeded does not overwrite the record', async () => {
  const store = createMemoryStore()
  const first = await start(store, 1, await takeLead(store, 'host-1'))
  const second = await start(store, 2, await takeLead(store, 'host-2'))
  learn(second)
  await jest.advanceTimersByTimeAsync(learnedStatePeriodMs)
  first.runTimes.recordRun('other', 1_000, 9_000)
  await jest.advanceTimersByTimeAsync(2 * learnedStatePeriodMs)
  expect(JSON.parse(store.peek(learnedStateKey) ?? '{}')).toMatchObject({ epoch: 2, runTimes: [['urgent', 20, 2_000, 0.693]] })
})

test.each([
  ['is missing', () => undefined],
  ['is not valid JSON', () => '{"epoch":1,'],
  ['has another form', () => JSON.stringify({ epoch: 1, atMs: Date.now(), runTimes: [['urgent', 'many']], speeds: 7 })],
  ['is older than 10 minutes', () => encode(1, maxLearnedAgeMs + 1_000)],
  ['is of a later term', () => encode(99, 0)]
])('nothing is learned from a record that %s, and the term writes its own', async (_case, getValue) => {
  const store = createMemoryStore()
  const revision = await takeLead(store, 'host-1')
  const value = getValue()
  if (value !== undefined) await store.connect('host-1').transact({ expected: [], writes: [{ key: learnedStateKey, value }] })
  const learned = await start(store, 5, revision)
  expect(learned.runTimes.export()).toEqual([])
  expect(learned.speeds.export(performance.now(), 10)).toEqual([])
  learn(learned)
  await jest.advanceTimersByTimeAsync(learnedStatePeriodMs)
  expect(JSON.parse(store.peek(learnedStateKey) ?? '{}')).toMatchObject({ epoch: 5 })
})

test('the record is read and written once the store is back', async () => {
  const store = createMemoryStore()
  const revision = await takeLead(store, 'host-1')
  await store.connect('host-1').transact({ expected: [], writes: [{ key: learnedStateKey, value: encode(1, 0) }] })
  store.setUnavailable(true)
  const learned = await start(store, 5, revision)
  expect(learned.runTimes.export()).toEqual([])
  store.setUnavailable(false)
  await jest.advanceTimersByTimeAsync(1_000)
  expect(learned.runTimes.getMeanMs('urgent')).toBe(2_000)
  store.setUnavailable(true)
  learn(learned)
  await jest.advanceTimersByTimeAsync(learnedStatePeriodMs)
  store.setUnavailable(false)
  await jest.advanceTimersByTimeAsync(learnedStatePeriodMs)
  expect(JSON.parse(store.peek(learnedStateKey) ?? '{}')).toMatchObject({ epoch: 5 })
})

test('a record of many queues and machines stays within its limit and keeps the machines that differ most', () => {
  const runTimes = Array.from({ length: 200 }, (_, index) => [`queue-${index}`, 200 - index, 2_000.5, 0.123] as const)
  const speeds = Array.from({ length: 300 }, (_, index) => [`machine-with-a-rather-long-name-${index}`, -8 + index / 100, 5] as const)
  const value = encodeLearnedState({ epoch: 1, atMs: Date.now(), runTimes, speeds })
  expect(Buffer.byteLength(value)).toBeLessThanOrEqual(maxLearnedBytes)
  expect(JSON.parse(value).speeds[0]).toEqual(speeds[0])
})

// Guards against a successor that starts from outdated run times: an unchanged record is not written again.
test('a write that is applied late does not replace a newer record', async () => {
  const store = createMemoryStore()
  const learned = await start(store, 1, await takeLead(store, 'host-1'))
  store.delayWrites('host-1', 1, learnedStatePeriodMs + 1_000)
  learned.runTimes.recordRun('urgent', 1_000, 2_000)
  await jest.advanceTimersByTimeAsync(learnedStatePeriodMs)
  learned.runTimes.recordRun('batch', 1_000, 9_000)
  await jest.advanceTimersByTimeAsync(3 * learnedStatePeriodMs)
  expect(JSON.parse(store.peek(learnedStateKey) ?? '{}')).toMatchObject({ runTimes: learned.runTimes.export() })
})
