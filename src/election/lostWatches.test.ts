/** The watch of the leader's key when its answer is lost. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createPoolHarness } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import { leaderKey } from './leaderElection.js'

/** The time allowed for the answer to a watch beyond its wait, in ms. */
const watchGraceMs = 600
/** A host whose watch is answered is elected within this, in ms: the rest of the lease of the host that failed, and the delay of the candidate. */
const electedWithinMs = 3_000
let harness: PoolHarness
const { run } = createPoolSteps(() => harness)

beforeEach(() => {
  jest.useFakeTimers()
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(6_000)
  await stopped
  jest.useRealTimers()
})

async function measureElection (isAnswerLost: boolean): Promise<number> {
  let isCrashed = false
  let lost = 0
  harness = createPoolHarness({
    workers: 2,
    interceptStore: (hostId, client) => ({
      ...client,
      watch: async (prefix, afterRevision, waitMs, signal) => {
        const sentAtMs = performance.now()
        const result = await client.watch(prefix, afterRevision, waitMs, signal)
        if (!isAnswerLost || !isCrashed || hostId !== 'host-1' || prefix !== leaderKey || result.changes.length === 0 || lost++ > 0) return result
        await delay(waitMs + watchGraceMs - (performance.now() - sentAtMs))
        throw createError(ErrorKind.AnswerLost, 'the watch got no response')
      }
    })
  })
  harness.addHost('host-0')
  await run(3_000)
  const successor = harness.addHost('host-1')
  await run(4_200)
  isCrashed = true
  harness.hosts.get('host-0')?.crash()
  const crashedAtMs = performance.now()
  for (let elapsedMs = 0; elapsedMs < 15_000 && successor.getTerm() === undefined; elapsedMs += 10) await run(10)
  return performance.now() - crashedAtMs
}

test('a host is elected in time when the leader fails', async () => {
  expect(await measureElection(false)).toBeLessThan(electedWithinMs)
})

// Guards against a pool without a scheduler: the only other host watches the leader's key with one call for 4 s, and learns nothing before that call has timed out if
// its answer is lost.
test('a host is elected in time when the leader fails although the answer to its watch is lost', async () => {
  expect(await measureElection(true)).toBeLessThan(electedWithinMs)
})
