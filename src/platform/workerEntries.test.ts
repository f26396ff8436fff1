/** Entries of other writers in the list of workers: they are left out, reported once, and do not affect the sound entries beside them. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import fc from 'fast-check'
import { isAddress } from '../common/address.js'
import { silentLogger } from '../common/logger.js'
import type { Logger } from '../common/logger.js'
import { createWarmStandby } from '../runs/warmStandby.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import { advanceClock } from '../testing/configurationHarness.js'
import { mutateEntry, nestJson } from '../testing/oddValues.js'
import { createWorkerList } from '../workers/workerList.js'
import type { WorkerList } from '../workers/workerList.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { tryDecodeWorker, workerListPrefix } from './workerEntries.js'

const sound = {
  service: 'pool', addr: '10.1.0.7:8531', zone: 'a', version: 'v3', slots: 8, state: 'ready', capacity: { cpu: 64_000, memMb: 262_144, gpu: 8 }, labels: ['a', 'r1-2'], born: 1_796_450_000_000, machine: 'm-0a3f1', coldLeftMs: 0, seq: 7
}
const id = 'i-7f3a91c2'

function encode (fields: object = {}): string {
  return JSON.stringify({ ...sound, ...fields })
}

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => {
  jest.restoreAllMocks()
  jest.useRealTimers()
})

test.each([
  ['the example', encode()],
  ['the greatest port', encode({ addr: '10.1.0.7:65535' })],
  ['a host name', encode({ addr: 'worker-7.pool.example:1' })],
  ['no capacity but processors', encode({ capacity: { cpu: 1 } })],
  ['a drain that is overdue', encode({ state: 'draining', remainingMs: -20 })],
  ['fields that are not known here', encode({ later: { nested: [[[1]]] } })]
])('an entry with %s is decoded', (_what, value) => {
  expect(tryDecodeWorker(workerListPrefix + id, value)?.workerId).toBe(id)
})

// Guards against entries that no worker could have written, which would be polled, or placed on, as workers.
test.each([
  ['port 0', encode({ addr: '10.1.0.7:0' })],
  ['a port out of range', encode({ addr: '10.1.0.7:65536' })],
  ['a port of five nines', encode({ addr: '10.1.0.7:99999' })],
  ['a host that no header takes', encode({ addr: '10.1\u0000.0.7:80' })],
  ['a very long host', encode({ addr: `${'h'.repeat(1_000)}:80` })],
  ['a capacity that overflows', encode().replace('64000', '1e400')],
  ['a capacity that no machine has', encode({ capacity: { cpu: 1e300, memMb: 1, gpu: 1 } })],
  ['a negative capacity', encode({ capacity: { cpu: 1, memMb: 1, gpu: -1 } })],
  ['a start that is no time', encode({ born: 1e300 })],
  ['a start before all time', encode({ born: -1 })],
  ['a cold time without end', encode({ coldLeftMs: 1e300 })],
  ['too many labels', encode({ labels: Array.from({ length: 1_000 }, () => 'a') })],
  ['a text nested too deeply', `${encode().slice(0, -1)},"x":${nestJson(100_000)}}`],
  ['a text nested too deeply that is short', `${encode().slice(0, -1)},"x":${nestJson(50)}}`],
  ['a text that is too long', encode({ x: 'x'.repeat(1_000_000) })],
  ['a state that is not known', encode({ state: 'gone' })],
  ['a missing field', encode({ capacity: undefined })],
  ['bytes that are no text', Buffer.from([0xff, 0xfe, 0x00]).toString()]
])('an entry with %s is left out', (_what, value) => {
  expect(tryDecodeWorker(workerListPrefix + id, value)).toBeUndefined()
})

test.each([['no id', ''], ['an id with a line break', 'i-1\nX: 1'], ['an id that no header takes', 'i-\u6f22'], ['an id with a blank', 'i 1']])('an entry with %s is left out', (_what, oddId) => {
  expect(tryDecodeWorker(workerListPrefix + oddId, encode())).toBeUndefined()
})

test('a text that exceeds the bounds is not parsed', () => {
  const parse = jest.spyOn(JSON, 'parse')
  for (const value of [encode({ x: 'x'.repeat(1_000_000) }), nestJson(1_000), `{"x":${nestJson(100_000)}}`]) expect(tryDecodeWorker(workerListPrefix + id, value)).toBeUndefined()
  expect(parse).not.toHaveBeenCalled()
})

test('whatever another writer leaves, decoding does not throw, and gives only what a worker could have', () => {
  fc.assert(fc.property(fc.oneof(fc.constant(id), fc.string({ unit: 'binary', maxLength: 60 })), mutateEntry(sound), (oddId, value) => {
    const worker = tryDecodeWorker(workerListPrefix + oddId, value)
    if (worker === undefined) return
    expect(isAddress(worker.address)).toBe(true)
    expect(() => new Headers({ 'Expect-Instance': worker.workerId })).not.toThrow()
    expect([worker.bornAtMs, worker.coldLeftMs, ...Object.values(worker.capacity)].every(Number.isFinite)).toBe(true)
    expect(Object.values(worker.capacity).every(amount => amount >= 0)).toBe(true)
  }), { numRuns: 2_000, seed: 1 })
})

function startList (store: MetadataStore, logger: Logger, signal: AbortSignal, readInitial?: Parameters<typeof createWorkerList>[0]['readInitial']): WorkerList {
  return createWorkerList({ store, logger, prefix: workerListPrefix, decode: tryDecodeWorker, onChanged: () => {}, maxAgeMs: 2_200, signal, readInitial })
}

function getIds (list: WorkerList): readonly string[] | undefined {
  return list.get()?.map(({ workerId }) => workerId)
}

test('an odd entry is logged once, counted while it is there, and the list goes on beside it', async () => {
  const store = createMemoryStore()
  const stopping = new AbortController()
  const warned: unknown[] = []
  store.write(workerListPrefix + id, encode())
  store.write(`${workerListPrefix}odd`, nestJson(100_000))
  const list = startList(store.connect('host'), { ...silentLogger, warn: (_message, fields) => { warned.push(fields) } }, stopping.signal)
  await advanceClock(10_000)
  expect(getIds(list)).toEqual([id])
  expect(list.countIgnored()).toBe(1)
  expect(warned).toEqual([{ key: `${workerListPrefix}odd` }])
  store.write(`${workerListPrefix}odd`, 'again')
  store.write(`${workerListPrefix}i-2`, encode())
  await advanceClock(2_000)
  expect(getIds(list)).toEqual(['i-2', id])
  expect(warned.length).toBe(1)
  store.write(`${workerListPrefix}odd`, undefined)
  await advanceClock(2_000)
  expect(list.countIgnored()).toBe(0)
  expect(list.isCurrent()).toBe(true)
  stopping.abort()
  await advanceClock(1_000)
})

test('the sound entries beside odd ones stay, on the first read, through a standby\'s copy, on polls and on watches', async () => {
  await fc.assert(fc.asyncProperty(fc.array(mutateEntry(sound), { minLength: 1, maxLength: 5 }), fc.array(mutateEntry(sound), { maxLength: 5 }), async (first, later) => {
    const store = createMemoryStore()
    const stopping = new AbortController()
    const client = store.connect('host')
    const leave = (values: readonly string[], prefix: string): void => { values.forEach((value, index) => { store.write(`${workerListPrefix}${prefix}${index}`, value) }) }
    store.write(workerListPrefix + id, encode())
    leave(first, 'odd')
    const standby = createWarmStandby({ store: client, logger: silentLogger, prefixes: [workerListPrefix], isStandby: () => true, signal: stopping.signal })
    const polled = startList(client, silentLogger, stopping.signal)
    await advanceClock(1_500)
    leave(later, 'late')
    store.write(`${workerListPrefix}i-2`, encode())
    await advanceClock(1_500)
    const taken = startList(client, silentLogger, stopping.signal, prefix => standby.read(prefix, 0))
    await advanceClock(500)
    for (const list of [polled, taken]) {
      expect(getIds(list)).toEqual(expect.arrayContaining([id, 'i-2']))
      expect(list.isCurrent()).toBe(true)
    }
    stopping.abort()
    await advanceClock(1_000)
  }), { numRuns: 40, seed: 1 })
})
