/** Claims: at most one owner a key, over a store that loses answers, with few writes. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/store.js'
import { createBadStore } from '../testing/badStore.js'
import { createClaims } from './claims.js'

const retentionMs = 60_000

test('of all hosts that claim a key at once, one at most owns it', async () => {
  await fc.assert(fc.asyncProperty(fc.integer(), fc.array(fc.tuple(fc.nat({ max: 7 }), fc.nat({ max: 5 })), { minLength: 1, maxLength: 40 }), async (seed, repeats) => {
    const store = createMemoryStore()
    const hosts = Array.from({ length: 8 }, (_, index) => createClaims(createBadStore(store, seed + index), () => retentionMs))
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

test('a released claim can be taken again, a completed one tells its status', async () => {
  const store = createMemoryStore()
  const one = createClaims(store, () => retentionMs)
  const two = createClaims(store, () => retentionMs)
  expect((await one.claim('k', 'a')).isOwn).toBe(true)
  expect((await two.claim('k', 'b')).isOwn).toBe(false)
  await one.release('k', 'a')
  expect((await two.claim('k', 'c')).isOwn).toBe(true)
  two.complete('k', 'c', 200)
  await two.release('k', 'not-the-owner')
  expect((await one.claim('k', 'd')).claim).toMatchObject({ requestId: 'c', status: 200 })
  one.stop()
  two.stop()
})
