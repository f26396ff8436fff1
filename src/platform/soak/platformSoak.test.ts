/** One short seed of the loopback soak: the real daemons, killed, cut off and restarted; more by `npm run soak:platform`. */
import { expect, test } from '@jest/globals'
import { runPlatformSoak } from './platformSoak.js'

test('what callers are told agrees with what workers run, while hosts, store and workers fail', async () => {
  const report = await runPlatformSoak(1, 8)
  expect(report.broken).toEqual([])
  expect(report.complete).toBeGreaterThan(0)
}, 120_000)
