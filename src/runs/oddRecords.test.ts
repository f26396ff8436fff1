/** Records of other writers among those of jobs: one that cannot be decoded must not keep the scheduler from the others. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import fc from 'fast-check'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { encodeAccepted, getAcceptedKey, getProgressKey } from '../jobs/jobKeys.js'
import { isTerminal, JobState } from '../jobs/jobModel.js'
import { createAttempt, createTrackedJob, decodeState, encodeProgress, getUnits } from '../jobs/trackedJob.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { mutateEntry } from '../testing/oddValues.js'

let harness: PoolHarness

beforeEach(() => {
  jest.useFakeTimers()
  harness = createPoolHarness({ workers: 2 })
})
afterEach(() => { jest.useRealTimers() })

async function run (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
}

async function stop (): Promise<void> {
  const stopped = harness.stop()
  await run(2_000)
  await stopped
}

function getState (jobId: string): JobState {
  const value = harness.store.peek(getProgressKey(jobId))
  return value === undefined ? JobState.Queued : decodeState(value)
}

function encodeOddAccepted (fields: object): string {
  return JSON.stringify({ ...makeJob('odd', 'batch', [makeStep()]), ...fields })
}

const oddAccepted: readonly (readonly [string, string])[] = [
  ['is no JSON', '{'],
  ['is null', 'null'],
  ['has no steps', encodeOddAccepted({ steps: undefined })],
  ['has a step without a request', encodeOddAccepted({ steps: [{ ...makeStep(), request: undefined }] })],
  ['has a count of another type', encodeOddAccepted({ steps: [{ ...makeStep(), count: 'many' }] })],
  ['has a step that waits for itself', encodeOddAccepted({ steps: [makeStep({ after: [0] })] })],
  ['names another job', encodeOddAccepted({ jobId: 'other' })]
]

// Guards against a takeover that fails in one host after the other, so that nothing is scheduled.
test.each(oddAccepted)('a scheduler that takes over serves the other jobs beside an accept record that %s', async (_what, value) => {
  harness.store.write(getAcceptedKey('odd'), value)
  harness.store.write(getAcceptedKey('sound'), encodeAccepted(makeJob('sound', 'batch', [makeStep()])))
  harness.addHost('host-0')
  await run(3_000)
  expect(getState('sound')).toBe(JobState.Complete)
  expect(harness.hosts.get('host-0')?.getScheduler()?.getStatus().unreadableJobs).toBe(1)
  await stop()
})

// Guards against a watch that fails at the odd record and never gets to the next ones.
test.each(oddAccepted)('a scheduler goes on beside an accept record that %s and arrives during its term', async (_what, value) => {
  harness.addHost('host-0')
  await run(1_000)
  harness.store.write(getAcceptedKey('odd'), value)
  await run(500)
  await harness.submit(makeJob('later', 'batch', [makeStep()]))
  await run(12_000)
  expect(getState('later')).toBe(JobState.Complete)
  expect(harness.hosts.get('host-0')?.getScheduler()?.getStatus().unreadableJobs).toBe(1)
  await stop()
})

test.each([
  ['is no JSON', '{'],
  ['has no units', '{"state":"active","done":{}}'],
  ['has an unknown state', '{"state":"odd","done":{},"units":[]}'],
  ['names a unit that the job does not have', '{"state":"active","done":{},"units":[[0,0,7,1,[],"",[]]]}'],
  ['has a run that is no number', '{"state":"active","done":{},"units":[[0,0,0,"x",[],"",[]]]}'],
  ['has a member without a worker', '{"state":"active","done":{},"units":[[0,0,0,1,[],"",[[1,[[0]]]]]]}']
])('a job whose progress %s is not run, and the other jobs are served', async (_what, value) => {
  for (const jobId of ['odd', 'sound']) harness.store.write(getAcceptedKey(jobId), encodeAccepted(makeJob(jobId, 'batch', [makeStep()])))
  harness.store.write(getProgressKey('odd'), value)
  harness.addHost('host-0')
  await run(3_000)
  expect(getState('sound')).toBe(JobState.Complete)
  expect(harness.orders.filter(({ task }) => task.startsWith('odd'))).toEqual([])
  expect(harness.store.peek(getProgressKey('odd'))).toBe(value)
  await stop()
})

test('a progress record that cannot be decoded gives a caller an error and not another state', () => {
  for (const value of ['{', 'null', '[]', '{"state":"odd"}', '{"state":1}']) {
    let error: unknown
    try {
      decodeState(value)
    } catch (caught) {
      error = caught
    }
    expect(isErrorOfKind(error, ErrorKind.Internal)).toBe(true)
  }
})

test('whatever another writer leaves, the sound job beside it ends, and the term goes on', async () => {
  const spec = makeJob('odd0', 'batch', [makeStep({ count: 2 })])
  const tracked = createTrackedJob(spec, 0)
  for (const unit of getUnits(tracked)) createAttempt(unit, 1, [{ workerId: 'worker-0', bornAtMs: 1_000 }], 0)
  const accepted = mutateEntry({ ...spec })
  const progress = mutateEntry(JSON.parse(encodeProgress(tracked, 0)) as Record<string, unknown>)
  await fc.assert(fc.asyncProperty(fc.array(accepted, { minLength: 1, maxLength: 3 }), progress, async (values, progressValue) => {
    harness = createPoolHarness({ workers: 2 })
    values.forEach((value, index) => { harness.store.write(getAcceptedKey(`odd${index}`), value) })
    harness.store.write(getAcceptedKey('odd9'), encodeAccepted({ ...spec, jobId: 'odd9' }))
    harness.store.write(getProgressKey('odd9'), progressValue)
    harness.store.write(getAcceptedKey('sound'), encodeAccepted(makeJob('sound', 'urgent', [makeStep()])))
    const host = harness.addHost('host-0')
    await run(4_000)
    expect(isTerminal(getState('sound'))).toBe(true)
    expect(host.getTerm()?.signal.aborted).toBe(false)
    await stop()
  }), { numRuns: 60, seed: 1 })
})
