/** What the platform's settings, keys and worker entries say about evacuations: a wrong reading would leave a request without effect. */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { tryDecodeEvacuationKey } from './evacuationKeys.js'
import { loadPlatformSettings } from './platformSettings.js'
import type { PlatformSettings } from './platformSettings.js'
import { tryDecodeWorker } from './workerEntries.js'

let folder: string

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'evacuation-settings-')) })
afterEach(() => { rmSync(folder, { recursive: true, force: true }) })

function load (contracts: string, bounds: string): PlatformSettings {
  const file = join(folder, 'node.toml')
  writeFileSync(file, `node = "edge-0"\nzone = "a"\n${contracts}\n[listen]\n[platform]\naddr = "127.0.0.1:1"\n[bounds]\n${bounds}\n`)
  return loadPlatformSettings(file)
}

test('evacuations are in force only where the contracts list places, with a bound of 5 s unless one is given', () => {
  expect(load('', '').evacuationBoundMs).toBeUndefined()
  expect(load('contracts = ["other"]', 'evacMs = 4000').evacuationBoundMs).toBeUndefined()
  expect(load('contracts = ["other", "places"]', '').evacuationBoundMs).toBe(5_000)
  expect(load('contracts = ["places"]', 'evacMs = 4000\ncoldOver = 1.5\ncoldSlack = 5').evacuationBoundMs).toBe(4_000)
})

test.each([
  ['contracts = "places"', '', /setting "contracts"/],
  ['contracts = [1]', '', /setting "contracts\.0"/],
  ['contracts = ["places"]', 'evacMs = "5000"', /setting "bounds\.evacMs"/],
  ['contracts = ["places"]', 'evacMs = 200', /setting "bounds\.evacMs"/]
])('settings that cannot be met are refused with the field: %s %s', (contracts, bounds, message) => {
  expect(() => load(contracts, bounds)).toThrow(message)
})

test('the rest of the key is the failure domain', () => {
  expect(tryDecodeEvacuationKey('op/evacuate/harju-a')).toBe('harju-a')
  expect(tryDecodeEvacuationKey('op/evacuate/harju/a')).toBe('harju/a')
  expect(tryDecodeEvacuationKey('op/evacuate/')).toBeUndefined()
  expect(tryDecodeEvacuationKey('op/wave/1')).toBeUndefined()
})

test('an entry says for how long its worker is cold; without the field it is not', () => {
  const entry = { service: 'pool', addr: '127.0.0.1:1', zone: 'a', state: 'ready', capacity: { gpu: 8 }, labels: ['t', 'r'], born: 1 }
  expect(tryDecodeWorker('servers/i-1', JSON.stringify({ ...entry, coldLeftMs: 1_200 }))?.coldLeftMs).toBe(1_200)
  expect(tryDecodeWorker('servers/i-1', JSON.stringify(entry))?.coldLeftMs).toBe(0)
})
