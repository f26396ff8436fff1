/** The stand-in for the store service. */
import { expect, test } from '@jest/globals'
import { createMemoryStore } from './store.js'

test('a key that is written with another lease leaves its former lease', async () => {
  const store = createMemoryStore()
  const [first, second] = [await store.grantLease(60_000), await store.grantLease(60_000)]
  await store.put({ key: 'a', value: '1', expectedRevision: 0, leaseId: first })
  const { revision = 0 } = await store.get('a') ?? {}
  await store.put({ key: 'a', value: '2', expectedRevision: revision, leaseId: second })
  await store.revokeLease(first)
  expect((await store.get('a'))?.value).toBe('2')
  await store.revokeLease(second)
  expect(await store.get('a')).toBeUndefined()
})

test('a key that is written without a lease outlives its former lease', async () => {
  const store = createMemoryStore()
  const leaseId = await store.grantLease(60_000)
  await store.put({ key: 'a', value: '1', expectedRevision: 0, leaseId })
  const { revision = 0 } = await store.get('a') ?? {}
  await store.put({ key: 'a', value: '2', expectedRevision: revision })
  await store.revokeLease(leaseId)
  expect((await store.get('a'))?.value).toBe('2')
})
