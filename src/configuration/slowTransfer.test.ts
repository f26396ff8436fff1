/** A configuration takes effect although its transfer takes longer than a call to the store may. */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { createSignal, delay } from '../common/time.js'
import { createEmulatedStore } from '../platform/emulator/emulatedStore.js'
import { listenEmulated } from '../platform/emulator/emulatedHttp.js'
import type { EmulatedServer } from '../platform/emulator/emulatedHttp.js'
import { createHttpStore } from '../platform/httpStore.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { decodeHarnessConfiguration, harnessMaxAgeMs, noFollower } from '../testing/configurationHarness.js'
import { createConfigurationReplica } from './configurationReplica.js'

const key = 'configuration'
const valueBytes = 200_000
/** The transfer takes 2 s; a call to the store other than a list may take 0.9 s, and a watch 1.8 s. */
const bytesPerS = valueBytes * 4 / 3 / 2
/** Number of transfers after which the change counts as never applied. */
const maxTransfers = 4

let store: MemoryStore
let server: EmulatedServer
let stopping: AbortController
let transfers: number

beforeEach(async () => {
  store = createMemoryStore()
  stopping = new AbortController()
  transfers = 0
  const handle = createEmulatedStore(store.connect('host'))
  server = await listenEmulated(async (...request) => {
    const response = await handle(...request)
    if (JSON.stringify(response.body ?? '').length > valueBytes) transfers++
    return response
  }, bytesPerS)
})
afterEach(async () => {
  stopping.abort()
  server.close()
  await delay(10)
})

function encode (version: number): string {
  return String(version).padEnd(valueBytes, ' ')
}

/** Follows the configuration until `version` is applied or as many transfers as allowed have begun. Returns the applied version. */
async function follow (version: number, onApplied: (applied: number | undefined) => void = () => {}): Promise<number | undefined> {
  const changed = createSignal()
  const replica = createConfigurationReplica({
    store: createHttpStore(server.address),
    follower: noFollower,
    prefersPeers: false,
    maxAgeMs: harnessMaxAgeMs,
    logger: silentLogger,
    key,
    decode: decodeHarnessConfiguration,
    onChanged: () => {
      onApplied(replica.get()?.version)
      changed.notify()
    },
    signal: stopping.signal
  })
  while (replica.get()?.version !== version && transfers <= maxTransfers) await changed.wait(20)
  return replica.get()?.version
}

test('a read of a configuration that takes longer than the time limit of a call is finished, not started over', async () => {
  store.write(key, encode(1))
  expect(await follow(1)).toBe(1)
  expect(transfers).toBe(1)
})

test('a watch that reports a configuration for longer than its time limit is finished, not started over', async () => {
  store.write(key, '1')
  const applied = await follow(2, version => { if (version === 1) store.write(key, encode(2)) })
  expect(applied).toBe(2)
})
