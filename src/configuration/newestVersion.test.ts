/** A host does not decide calls by its copy while it knows of a newer value: one that it cannot decode, has passed over, or has seen the effect of. */
import { deflateSync } from 'node:zlib'
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { readClocks } from '../common/elapsedTime.js'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { MetadataStore, StoreChange } from '../store/metadataStore.js'
import { advanceClock, createConfigurationHarness, harnessConfigurationKey } from '../testing/configurationHarness.js'
import type { ConfigurationHarness } from '../testing/configurationHarness.js'
import { createConfigurationFollower, createFollowMethod, EvidenceSource } from './configurationPeers.js'

let harness: ConfigurationHarness

beforeEach(() => {
  jest.useFakeTimers()
  harness = createConfigurationHarness()
  harness.store.write(harnessConfigurationKey, '1')
})
afterEach(async () => {
  harness.stop()
  await advanceClock(1_500)
  jest.useRealTimers()
})

/** A client of the store whose reads and watches of the configuration get no answer while `isHanging`. */
function createHangingStore (): { readonly wrapStore: (store: MetadataStore) => MetadataStore, setHanging (isHanging: boolean): void } {
  let isHanging = false
  const answer = async <T>(call: Promise<T>, signal?: AbortSignal): Promise<T> => {
    const answered = call.then(result => isHanging ? new Promise<never>((_resolve, reject) => { setTimeout(() => { reject(new Error('no response')) }, 900) }) : result)
    if (signal === undefined) return await answered
    return await Promise.race([answered, new Promise<never>((_resolve, reject) => { signal.addEventListener('abort', () => { reject(new Error('aborted')) }) })])
  }
  const wrapStore = (store: MetadataStore): MetadataStore => ({ ...store, range: (...request) => answer(store.range(...request)), watch: (...request) => answer(store.watch(...request), request[3]) })
  return { wrapStore, setHanging: value => { isHanging = value } }
}

test('a copy is not current while a newer value cannot be decoded, whether it was read, watched or received from a peer', async () => {
  const fast = harness.addHost('fast')
  const slow = harness.addHost('slow', { prefersPeers: true, peers: ['fast'] })
  const late = harness.addHost('late', { prefersPeers: true, peers: ['other'] })
  harness.addHost('other')
  await advanceClock(1_500)
  harness.setAnswer('other', () => ({ version: 2, revision: 9, storeRevision: 9, confirmedAfterArrivalMs: 0, compressedValue: deflateSync('not a version').toString('base64') }))
  harness.store.write(harnessConfigurationKey, 'not a version')
  await advanceClock(1_500)
  expect([fast, slow, late].map(replica => replica.isCurrent())).toEqual([false, false, false])
  expect(fast.getCopy()).toBeUndefined()
  harness.store.write(harnessConfigurationKey, '3')
  await advanceClock(6_500)
  expect([fast, slow].map(replica => replica.isCurrent() && replica.get()?.version)).toEqual([3, 3])
})

test('a host that starts a job of a newer version does not decide calls by its older one', async () => {
  const { wrapStore, setHanging } = createHangingStore()
  const replica = harness.addHost('host', { wrapStore })
  await advanceClock(1_000)
  setHanging(true)
  harness.store.write(harnessConfigurationKey, '2')
  replica.noteVersion(2, EvidenceSource.AcceptedJob)
  expect(replica.isCurrent()).toBe(false)
  await advanceClock(1_000)
  expect(replica.isCurrent()).toBe(false)
  setHanging(false)
  await advanceClock(2_500)
  expect(replica.isCurrent() && replica.get()?.version).toBe(2)
})

test('a host that knows of a newer version gets it from a peer although its own watch hangs', async () => {
  const { wrapStore, setHanging } = createHangingStore()
  harness.addHost('peer')
  const replica = harness.addHost('host', { wrapStore, peers: ['peer'] })
  await advanceClock(1_000)
  setHanging(true)
  harness.store.write(harnessConfigurationKey, '2')
  await advanceClock(20)
  replica.noteVersion(2, EvidenceSource.AcceptedJob)
  await advanceClock(300)
  expect(replica.isCurrent() && replica.get()?.version).toBe(2)
})

test('a version that does not exist keeps a host from deciding calls only until the store has been read again', async () => {
  const replica = harness.addHost('host')
  await advanceClock(1_000)
  replica.noteVersion(1_000_000, EvidenceSource.AcceptedJob)
  await advanceClock(700)
  expect(replica.isCurrent()).toBe(true)
  harness.store.write(harnessConfigurationKey, '2')
  await advanceClock(100)
  expect(replica.get()?.version).toBe(2)
})

test('a host that a peer asks for a version newer than its own does not decide calls by its own', async () => {
  const { wrapStore, setHanging } = createHangingStore()
  const replica = harness.addHost('host', { wrapStore })
  await advanceClock(1_000)
  setHanging(true)
  harness.store.write(harnessConfigurationKey, '2')
  await createFollowMethod(replica).handle({ version: 2, waitMs: 0 }, { from: '', identity: '' })
  expect(replica.isCurrent()).toBe(false)
})

test('a version is not passed over because a key with the same beginning changes after it', async () => {
  let extra: readonly StoreChange[] = []
  const wrapStore = (store: MetadataStore): MetadataStore => ({
    ...store,
    watch: async (...request) => {
      const result = await store.watch(...request)
      return result.changes.length === 0 ? result : { ...result, changes: [...result.changes, ...extra] }
    }
  })
  const replica = harness.addHost('host', { wrapStore })
  await advanceClock(1_000)
  extra = [{ key: `${harnessConfigurationKey}-note`, item: { key: `${harnessConfigurationKey}-note`, value: '{}', revision: 900, createdRevision: 900 } }]
  harness.store.write(harnessConfigurationKey, '2')
  await advanceClock(3_000)
  expect(replica.get()?.version).toBe(2)
})

test('a watch that is answered from an older revision than one seen before confirms nothing', async () => {
  let isBehind = false
  const wrapStore = (store: MetadataStore): MetadataStore => ({
    ...store,
    watch: async (...request) => ({ ...await store.watch(...request), ...(isBehind ? { changes: [], revision: 0 } : {}) }),
    range: async (...request) => ({ ...await store.range(...request), ...(isBehind ? { items: [], revision: 0 } : {}) })
  })
  const replica = harness.addHost('host', { wrapStore })
  await advanceClock(2_000)
  isBehind = true
  await advanceClock(4_000)
  expect(replica.getAgeMs()).toBeGreaterThan(3_000)
})

// The clock is set back between the confirmation and the call, and forward before the answer.
test('a copy does not count as confirmed after a call that it was confirmed before, when the clock is set', async () => {
  const realNow = Date.now
  let offsetMs = 0
  const spy = jest.spyOn(Date, 'now').mockImplementation(() => realNow() + offsetMs)
  const copy = { version: 1, revision: 1, storeRevision: 1, value: '1', confirmedAt: readClocks() }
  const method = createFollowMethod({ getCopy: () => copy, waitForVersionAfter: (_version, timeoutMs) => delay(timeoutMs), noteVersion: () => {} })
  await advanceClock(500)
  offsetMs = -8_000
  const response = method.handle({ waitMs: 100 }, { from: '', identity: '' })
  offsetMs = 0
  await advanceClock(150)
  const { confirmedAfterArrivalMs } = await response as { readonly confirmedAfterArrivalMs: number }
  expect(confirmedAfterArrivalMs).toBeLessThanOrEqual(-500)
  spy.mockRestore()
})

test('an answer of a peer that would be confirmed in the future counts as confirmed by now', async () => {
  const answer = { version: 1, revision: 1, storeRevision: 1, confirmedAfterArrivalMs: 3_600_000 }
  const follower = createConfigurationFollower({
    logger: silentLogger,
    getPeers: () => [{ address: 'peer', isInOwnDomain: true }],
    connect: () => ({ call: <T>() => Promise.resolve(answer as T) }),
    random: () => 0
  })
  const copy = await follower.tryFollow(undefined)
  expect(copy?.confirmedAt.monotonicMs).toBeLessThanOrEqual(performance.now())
})

test('a host that knows of a version whose value it cannot decode does not read the store in a busy loop', async () => {
  let reads = 0
  const wrapStore = (store: MetadataStore): MetadataStore => ({
    ...store,
    range: async (...request) => {
      // After many reads the store fails, which ends a busy loop.
      if (++reads > 1_000) throw new Error('too many reads')
      return await store.range(...request)
    }
  })
  const replica = harness.addHost('host', { wrapStore })
  await advanceClock(1_000)
  harness.store.write(harnessConfigurationKey, 'not a version')
  await advanceClock(100)
  replica.noteVersion(2, EvidenceSource.AcceptedJob)
  await advanceClock(2_000)
  expect(reads).toBeLessThanOrEqual(5)
  expect(replica.isCurrent()).toBe(false)
})
