/** Claims: each key has at most one owner, also when the store's answers are lost. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/store.js'
import { createFaultyStore } from '../testing/faultyStore.js'
import { createClaims } from './claims.js'

const retentionMs = 60_000

test('when several hosts claim a key concurrently, at most one owns it', async () => {
  await fc.assert(fc.asyncProperty(fc.integer(), fc.array(fc.tuple(fc.nat({ max: 7 }), fc.nat({ max: 5 })), { minLength: 1, maxLength: 40 }), async (seed, repeats) => {
    const store = createMemoryStore()
    const hosts = Array.from({ length: 8 }, (_, index) => createClaims(createFaultyStore(store, seed + index), () => retentionMs))
    const owners = new Map<number, number>()
    await Promise.all(repeats.map(async ([host, key], index) => {
      try {
        const result = await hosts[host]?.claim(`key-${key}`, `request-${index}`)
        if (result?.isOwn === true) owners.set(key, (owners.get(key) ?? 0) + 1)
      } catch (error) {
        expect([ErrorKind.StoreUnavailable, ErrorKind.AnswerLost]).toContain((error as { kind: ErrorKind }).kind)
      }
    }))
    for (const count of owners.values()) expect(count).toBe(1)
    hosts.forEach(host => host.stop())
  }), { numRuns: 60 })
})

test('a released claim can be claimed again, and a completed one returns its status', async () => {
  const store = createMemoryStore()
  const first = createClaims(store, () => retentionMs)
  const second = createClaims(store, () => retentionMs)
  expect((await first.claim('k', 'a')).isOwn).toBe(true)
  expect((await second.claim('k', 'b')).isOwn).toBe(false)
  await first.release('k', 'a')
  expect((await second.claim('k', 'c')).isOwn).toBe(true)
  second.complete('k', 'c', 200)
  await second.release('k', 'not-the-owner')
  expect((await first.claim('k', 'd')).claim).toMatchObject({ requestId: 'c', status: 200 })
  first.stop()
  second.stop()
})
