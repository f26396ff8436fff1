/** The age of the worker list counts from when its read was sent, and a list that cannot be read is not current. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import { advanceClock } from '../testing/configurationHarness.js'
import { createWorkerList } from './workerList.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

test('a list is current only as long as a drain that was announced in time could not have been missed', async () => {
  const store = createMemoryStore()
  const stopping = new AbortController()
  const list = createWorkerList({
    store: store.connect('host'),
    logger: silentLogger,
    prefix: 'servers/',
    decode: () => undefined,
    onChanged: () => {},
    maxAgeMs: 2_200,
    signal: stopping.signal
  })
  expect(list.isCurrent()).toBe(false)
  await advanceClock(1_000)
  expect(list.isCurrent()).toBe(true)
  store.setListsUnavailable('host', true)
  await advanceClock(1_200)
  expect(list.isCurrent()).toBe(true)
  await advanceClock(1_100)
  expect(list.isCurrent()).toBe(false)
  store.setListsUnavailable('host', false)
  await advanceClock(300)
  expect(list.isCurrent()).toBe(true)
  stopping.abort()
  await advanceClock(1_000)
})
