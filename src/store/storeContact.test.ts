/** How long the store counts as having answered without interruption. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore } from './metadataStore.js'
import { createStoreContact } from './storeContact.js'
import type { StoreContact } from './storeContact.js'

let contact: StoreContact
let failure: Error | undefined

beforeEach(() => {
  jest.useFakeTimers()
  failure = undefined
  const client = createMemoryStore().connect('host')
  contact = createStoreContact({ ...client, get: async key => await (failure === undefined ? client.get(key) : Promise.reject(failure)) } satisfies MetadataStore)
})

afterEach(() => { jest.useRealTimers() })

async function callFor (ms: number, periodMs = 400): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += periodMs) {
    await contact.store.get('key').catch(() => {})
    await jest.advanceTimersByTimeAsync(periodMs)
  }
}

test('calls that follow one another, and a watch that waits, keep up the contact', async () => {
  expect(contact.getContactMs()).toBe(0)
  await callFor(2_000)
  expect(contact.getContactMs()).toBe(2_000)
  const { revision } = await contact.store.range('')
  const watched = contact.store.watch('', revision, 4_000)
  await jest.advanceTimersByTimeAsync(4_000)
  await watched
  expect(contact.getContactMs()).toBe(6_000)
})

// The store may have dropped its leases while it was away, and a failed call is all that this host sees of it.
test.each([ErrorKind.StoreUnavailable, ErrorKind.AnswerLost])('a call that fails with %s interrupts the contact', async kind => {
  await callFor(2_000)
  failure = createError(kind, 'test')
  await callFor(400)
  failure = undefined
  await callFor(800)
  expect(contact.getContactMs()).toBe(800)
})

// A host that was suspended does not know what has happened meanwhile.
test('a time without calls interrupts the contact, also one that only the time of day shows', async () => {
  await callFor(2_000)
  await jest.advanceTimersByTimeAsync(1_000)
  await callFor(400)
  expect(contact.getContactMs()).toBe(400)
  await callFor(2_000)
  jest.setSystemTime(Date.now() + 5_000)
  await callFor(400)
  expect(contact.getContactMs()).toBe(400)
})

test('a host whose calls have ended is not in contact', async () => {
  await callFor(2_000)
  await jest.advanceTimersByTimeAsync(10_000)
  expect(contact.getContactMs()).toBe(0)
})
