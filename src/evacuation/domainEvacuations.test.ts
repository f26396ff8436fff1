/** The copy of the evacuation requests: its age counts from when its read was sent, and it never goes back to an older state of the store. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { advanceClock } from '../testing/configurationHarness.js'
import { createDomainEvacuations } from './domainEvacuations.js'
import type { DomainEvacuations } from './domainEvacuations.js'

const prefix = 'evacuations/'
const maxAgeMs = 4_700

let store: MemoryStore
let stopping: AbortController

beforeEach(() => {
  jest.useFakeTimers()
  store = createMemoryStore()
  stopping = new AbortController()
})

afterEach(async () => {
  stopping.abort()
  await advanceClock(5_000)
  jest.useRealTimers()
})

function start (wrapRange: (client: MetadataStore) => MetadataStore['range'] = client => client.range, minRevision = 0): DomainEvacuations {
  const client = store.connect('host')
  return createDomainEvacuations({
    store: { ...client, range: wrapRange(client) },
    logger: silentLogger,
    prefix,
    decodeDomain: key => key.slice(prefix.length) || undefined,
    onRead: () => {},
    maxAgeMs,
    minRevision,
    signal: stopping.signal
  })
}

function getDomains (evacuations: DomainEvacuations): readonly string[] {
  return [...evacuations.getRequests().keys()]
}

test('a request and its withdrawal are known after the next read', async () => {
  const evacuations = start()
  await advanceClock(100)
  store.write(`${prefix}a`, '{}')
  await advanceClock(900)
  expect(getDomains(evacuations)).toEqual(['a'])
  store.write(`${prefix}a`, undefined)
  await advanceClock(900)
  expect(getDomains(evacuations)).toEqual([])
})

test('a request that is withdrawn and issued again between two reads counts as a new one and stays in force', async () => {
  const evacuations = start()
  store.write(`${prefix}a`, '{}')
  await advanceClock(900)
  const first = evacuations.getRequests().get('a')
  await advanceClock(900)
  expect(evacuations.getRequests().get('a')).toBe(first)
  store.write(`${prefix}a`, undefined)
  store.write(`${prefix}a`, '{}')
  await advanceClock(900)
  const second = evacuations.getRequests().get('a')
  expect(second?.revision).toBeGreaterThan(first?.revision ?? Infinity)
  expect(second?.seenAtMs).toBeGreaterThan(first?.seenAtMs ?? Infinity)
})

test('malformed keys are ignored, and a request with a malformed value is in force', async () => {
  store.write(prefix, '{}')
  store.write(`${prefix}a`, '{')
  store.write(`${prefix}b`, '')
  store.write(`${prefix}c/d`, '[1]')
  const evacuations = start()
  await advanceClock(100)
  expect(getDomains(evacuations)).toEqual(['a', 'b', 'c/d'])
  expect(evacuations.isCurrent()).toBe(true)
})

test('with a slow store, the age counts from when the read was sent, not from its answer', async () => {
  // The answer is that of the store when the request arrives, so it lacks every later request.
  const evacuations = start(client => async (...parameters) => {
    const page = await client.range(...parameters)
    await delay(3_000)
    return page
  })
  expect(evacuations.isCurrent()).toBe(false)
  await advanceClock(20)
  store.write(`${prefix}a`, '{}')
  await advanceClock(3_000)
  expect(getDomains(evacuations)).toEqual([])
  expect(evacuations.isCurrent()).toBe(true)
  expect(evacuations.getAgeMs()).toBeGreaterThanOrEqual(3_000)
  // The next read is sent after 3.8 s and answered after 6.8 s; between 4.7 s and then the copy may lack the request.
  await advanceClock(1_800)
  expect(getDomains(evacuations)).toEqual([])
  expect(evacuations.isCurrent()).toBe(false)
  await advanceClock(2_100)
  expect(getDomains(evacuations)).toEqual(['a'])
  expect(evacuations.isCurrent()).toBe(true)
})

test('a read from before the start of the term is not accepted', async () => {
  const evacuations = start(undefined, 10)
  await advanceClock(1_000)
  expect(evacuations.isCurrent()).toBe(false)
  for (let writes = 0; writes < 10; writes++) store.write('other', String(writes))
  await advanceClock(300)
  expect(evacuations.isCurrent()).toBe(true)
})

test('a store that is down, or that compacts its history, changes the age but not the requests', async () => {
  store.write(`${prefix}a`, '{}')
  const evacuations = start()
  await advanceClock(900)
  store.compact()
  store.setUnavailable(true)
  await advanceClock(4_000)
  expect(evacuations.isCurrent()).toBe(true)
  await advanceClock(1_000)
  expect(evacuations.isCurrent()).toBe(false)
  expect(getDomains(evacuations)).toEqual(['a'])
  store.setUnavailable(false)
  await advanceClock(300)
  expect(evacuations.isCurrent()).toBe(true)
  expect(evacuations.getAgeMs()).toBeLessThan(300)
})
