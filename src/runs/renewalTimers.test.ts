import { expect, test } from '@jest/globals'
import { createMemoryStore } from '../standins/memoryStore.js'
import { createRevisionGuard, transactGuarded } from '../store/revisionGuard.js'
import { createRenewalTimers } from './renewalTimers.js'

// Guards against a late write of a timer that replaces a newer value: each key is written under a condition on its own revision.
test('timers are written once each, under conditions on their own revisions, also after a write without an answer', async () => {
  const store = createMemoryStore()
  const client = store.connect('host-0')
  const guard = createRevisionGuard('grants/7')
  const timers = createRenewalTimers('grants/7')
  const { leaseId } = await client.grantLease(5_000)
  const { leaseId: laterLeaseId } = await client.grantLease(6_000)
  const record = { key: 'grants/7', value: '{}' }

  const first = timers.encodeMissing([leaseId, leaseId])
  expect(first.writes).toEqual([{ key: timers.getKey(leaseId), value: '', leaseId }])
  store.setAnswersLost('host-0', true)
  await expect(transactGuarded(client, guard, { expected: [], writes: [record, ...first.writes] }, first.guards)).rejects.toThrow()
  store.setAnswersLost('host-0', false)

  const second = timers.encodeMissing([leaseId, laterLeaseId])
  expect(second.leaseIds).toEqual([leaseId, laterLeaseId])
  expect((await transactGuarded(client, guard, { expected: [], writes: [record, ...second.writes] }, second.guards)).isCommitted).toBe(true)
  timers.onStored(second)
  expect(timers.encodeMissing([leaseId, laterLeaseId]).writes).toEqual([])
  expect(store.getUnguardedKeys()).toEqual([])

  timers.retain([laterLeaseId])
  expect(timers.encodeMissing([leaseId, laterLeaseId]).leaseIds).toEqual([leaseId])
})
