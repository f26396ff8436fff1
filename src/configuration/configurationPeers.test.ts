/** Hosts keep a configuration that is in force and know its age, whichever way they follow it. */
import { deflateSync } from 'node:zlib'
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { advanceClock, createConfigurationHarness, harnessConfigurationKey, harnessMaxAgeMs } from '../testing/configurationHarness.js'
import type { ConfigurationHarness } from '../testing/configurationHarness.js'

let harness: ConfigurationHarness

beforeEach(() => {
  jest.useFakeTimers()
  harness = createConfigurationHarness()
  writeVersion(1)
})
afterEach(async () => {
  harness.stop()
  await advanceClock(1_500)
  jest.useRealTimers()
})

function writeVersion (version: number, length = 0): void {
  harness.store.write(harnessConfigurationKey, String(version).padEnd(length, ' '))
}

/** Counts the values that a client receives from the store. */
function countValues (): { wrapStore: (store: MetadataStore) => MetadataStore, getValues: () => number } {
  let values = 0
  const wrapStore = (store: MetadataStore): MetadataStore => ({
    ...store,
    range: async (...request) => {
      const page = await store.range(...request)
      values += page.items.length
      return page
    },
    watch: async (...request) => {
      const result = await store.watch(...request)
      values += result.changes.length
      return result
    }
  })
  return { wrapStore, getValues: () => values }
}

test('a host that the store rejects still receives configuration changes', async () => {
  harness.addHost('host-1')
  const replica = harness.addHost('host-0', { peers: ['host-1'] })
  await advanceClock(300)
  harness.store.setUnavailable(true, 'host-0')
  await advanceClock(1_500)
  writeVersion(2)
  await advanceClock(2_000)
  expect(replica.get()?.version).toBe(2)
  expect(replica.isStoreReached()).toBe(true)
})

test('a host on a slow link receives changes from a peer at once and reads no value from the store', async () => {
  harness.addHost('fast')
  const { wrapStore, getValues } = countValues()
  const replica = harness.addHost('slow', { prefersPeers: true, peers: ['fast'], wrapStore })
  await advanceClock(3_000)
  const valuesAtFirst = getValues()
  for (let version = 2; version <= 10; version++) {
    writeVersion(version, 200_000)
    await advanceClock(100)
    expect(replica.get()?.version).toBe(version)
  }
  expect(getValues()).toBe(valuesAtFirst)
})

test('a host on a slow link follows the store while its peers are unreachable', async () => {
  harness.addHost('fast')
  const replica = harness.addHost('slow', { prefersPeers: true, peers: ['fast'] })
  await advanceClock(2_000)
  harness.setUnreachable('fast', true)
  await advanceClock(1_000)
  writeVersion(2)
  await advanceClock(100)
  expect(replica.get()?.version).toBe(2)
  harness.setUnreachable('fast', false)
  await advanceClock(6_000)
  writeVersion(3)
  await advanceClock(100)
  expect(replica.get()?.version).toBe(3)
})

test('the age of a copy includes the time for which the followed peer has not been confirmed', async () => {
  harness.addHost('fast')
  const replica = harness.addHost('slow', { prefersPeers: true, peers: ['fast'] })
  await advanceClock(3_000)
  expect(replica.getAgeMs()).toBeLessThan(2_000)
  harness.store.setUnavailable(true)
  await advanceClock(5_000)
  expect(replica.getAgeMs()).toBeGreaterThanOrEqual(5_000)
  harness.store.setUnavailable(false)
  await advanceClock(1_500)
  expect(replica.getAgeMs()).toBeLessThan(2_000)
})

test('a peer that has lost the store is not followed', async () => {
  harness.addHost('lost')
  harness.addHost('fast')
  const replica = harness.addHost('slow', { prefersPeers: true, peers: ['lost', 'fast'] })
  await advanceClock(1_000)
  harness.store.setUnavailable(true, 'lost')
  await advanceClock(5_000)
  writeVersion(2)
  await advanceClock(100)
  expect(replica.get()?.version).toBe(2)
  expect(replica.getAgeMs()).toBeLessThan(2_000)
})

test('malformed and older answers of a peer confirm nothing', async () => {
  harness.addHost('fast')
  const replica = harness.addHost('slow', { prefersPeers: true, peers: ['fast'] })
  await advanceClock(1_000)
  harness.store.setUnavailable(true, 'slow')
  const answers = [undefined, { version: 'x' }, { version: 0, revision: 1, storeRevision: 1, confirmedAfterArrivalMs: 0 }, { version: 2, revision: 9, storeRevision: 9, confirmedAfterArrivalMs: 0, compressedValue: 'not compressed' }]
  for (const answer of answers) {
    harness.setAnswer('fast', () => answer)
    await advanceClock(6_000)
    expect(replica.get()?.version).toBe(1)
    expect(replica.getAgeMs()).toBeGreaterThan(5_000)
  }
})

test('an answer of the store from an older revision than one seen before is not a confirmation', async () => {
  let isBehind = false
  const wrapStore = (store: MetadataStore): MetadataStore => ({
    ...store,
    watch: (...request) => isBehind ? Promise.reject(createError(ErrorKind.HistoryGone, 'compacted')) : store.watch(...request),
    range: async (...request) => ({ ...await store.range(...request), ...(isBehind ? { items: [], revision: 1 } : {}) })
  })
  const replica = harness.addHost('host', { wrapStore })
  await advanceClock(2_000)
  expect(replica.getAgeMs()).toBeLessThan(1_500)
  isBehind = true
  await advanceClock(4_000)
  expect(replica.getAgeMs()).toBeGreaterThan(3_000)
  expect(replica.isStoreReached()).toBe(false)
})

test('a watch without events confirms the copy at the time when it was sent, not when it was answered', async () => {
  const replica = harness.addHost('host')
  await advanceClock(590)
  const ages: number[] = []
  for (let sample = 0; sample < 200; sample++) {
    await advanceClock(10)
    ages.push(replica.getAgeMs())
  }
  expect(Math.min(...ages)).toBeGreaterThanOrEqual(590)
})

test('the age counts the time for which the host was suspended', async () => {
  const replica = harness.addHost('host')
  await advanceClock(500)
  jest.setSystemTime(Date.now() + 7_000)
  expect(replica.getAgeMs()).toBeGreaterThanOrEqual(7_000)
})

test('a backlog of large versions is not transferred version by version', async () => {
  const { wrapStore, getValues } = countValues()
  let isSlow = false
  const slowStore = (store: MetadataStore): MetadataStore => {
    const counted = wrapStore(store)
    return {
      ...counted,
      watch: async (...request) => {
        const result = await counted.watch(...request)
        if (isSlow && result.changes.length > 0) await new Promise(resolve => { setTimeout(resolve, 1_000) })
        return result
      }
    }
  }
  const replica = harness.addHost('host', { wrapStore: slowStore })
  await advanceClock(500)
  const valuesAtFirst = getValues()
  isSlow = true
  for (let version = 2; version <= 21; version++) {
    writeVersion(version, 150_000)
    await advanceClock(90)
  }
  await advanceClock(1_500)
  expect(replica.get()?.version).toBe(21)
  expect(getValues() - valuesAtFirst).toBeLessThanOrEqual(8)
})

test('a copy is current only as long as an acknowledged change could not have been missed for the permitted time', async () => {
  const replica = harness.addHost('host')
  await advanceClock(1_000)
  expect(replica.isCurrent()).toBe(true)
  harness.store.setUnavailable(true)
  await advanceClock(harnessMaxAgeMs)
  expect(replica.isCurrent()).toBe(false)
  const isCurrentSoon = replica.waitUntilCurrent(1_000)
  await advanceClock(1_010)
  expect(await isCurrentSoon).toBe(false)
  const isCurrentAgain = replica.waitUntilCurrent(1_000)
  harness.store.setUnavailable(false)
  writeVersion(2)
  await advanceClock(400)
  expect(await isCurrentAgain).toBe(true)
  expect(replica.get()?.version).toBe(2)
})

test('a host that was suspended does not decide by a copy that it has not confirmed since', async () => {
  const replica = harness.addHost('host')
  await advanceClock(500)
  jest.setSystemTime(Date.now() + harnessMaxAgeMs)
  expect(replica.isCurrent()).toBe(false)
  await advanceClock(1_300)
  expect(replica.isCurrent()).toBe(true)
})

test('a peer whose newest version cannot be decoded is not asked in a busy loop', async () => {
  harness.addHost('fast')
  const replica = harness.addHost('slow', { prefersPeers: true, peers: ['fast'] })
  await advanceClock(1_000)
  let calls = 0
  const compressedValue = deflateSync('not a version').toString('base64')
  // After many calls the answers are malformed, which ends a busy loop.
  harness.setAnswer('fast', () => ++calls > 1_000 ? undefined : { version: 2, revision: 9, storeRevision: 9, confirmedAfterArrivalMs: 0, compressedValue })
  await advanceClock(1_000)
  expect(calls).toBeLessThanOrEqual(10)
  expect(replica.get()?.version).toBe(1)
})

test('a peer that answers at once without a newer version is not asked in a busy loop', async () => {
  harness.addHost('fast')
  const replica = harness.addHost('slow', { prefersPeers: true, peers: ['fast'] })
  await advanceClock(1_000)
  let calls = 0
  // After many calls the answers are malformed, which ends a busy loop.
  harness.setAnswer('fast', () => ++calls > 1_000 ? undefined : { version: 1, revision: 1, storeRevision: 1, confirmedAfterArrivalMs: 0 })
  await advanceClock(1_000)
  expect(calls).toBeLessThanOrEqual(10)
  expect(replica.get()?.version).toBe(1)
})
