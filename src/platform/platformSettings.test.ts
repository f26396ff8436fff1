/** The optional table `policy` of the settings file: a host starts without it, and an impossible value is reported by name. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { loadPlatformSettings } from './platformSettings.js'
import type { PlatformSettings } from './platformSettings.js'

let folder: string

beforeEach(() => { folder = mkdtempSync(join(tmpdir(), 'sassafrasford-settings-')) })
afterEach(() => { rmSync(folder, { recursive: true, force: true }) })

function load (...policy: readonly string[]): PlatformSettings {
  const file = join(folder, 'node.toml')
  writeFileSync(file, ['node = "edge-1"', 'zone = "a"', '[listen]', '[bounds]', '[platform]', 'addr = "127.0.0.1:1"', ...policy].join('\n'))
  return loadPlatformSettings(file)
}

test('without the table, and with an empty one, the defaults apply', () => {
  expect(load()).toMatchObject({ refusesForLoad: true, refusalMargin: 1.25, maxTasksPerJob: 10_000, costSettings: { priorityRatio: 9, baseValueCoreS: 200 } })
  expect(load('[policy]')).toMatchObject({ refusesForLoad: true, refusalMargin: 1.25, maxTasksPerJob: 10_000 })
})

test('given values apply', () => {
  expect(load('[policy]', 'refuseForLoad = false', 'refusalMargin = 2.0')).toMatchObject({ refusesForLoad: false, refusalMargin: 2 })
  expect(load('[policy]', 'maxTasksPerJob = 25000').maxTasksPerJob).toBe(25_000)
  expect(load('[policy]', 'priorityRatio = 4', 'baseValueCoreS = 0').costSettings).toEqual({ priorityRatio: 4, baseValueCoreS: 0 })
})

test.each(['refusalMargin = 0.99', 'refusalMargin = 11', 'refusalMargin = "2"', 'refusalMargin = nan', 'refuseForLoad = 1', 'priorityRatio = 0.5', 'priorityRatio = 101', 'baseValueCoreS = -1', 'maxTasksPerJob = 0', 'maxTasksPerJob = 25001', 'maxTasksPerJob = 1.5'])('the value %s is rejected and named', line => {
  expect(() => load('[policy]', line)).toThrow(`policy.${line.split(' ')[0] ?? ''}`)
})
