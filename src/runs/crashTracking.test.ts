/** What a new term makes of crashes that an earlier one has recorded. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { createAttempt, createTrackedJob, EndCause, getUnits, MemberState } from '../jobs/trackedJob.js'
import type { CrashRecord, Unit } from '../jobs/trackedJob.js'
import { harnessCapacity, makeJob, makeStep } from '../testing/poolHarness.js'
import type { ListedWorker } from '../workers/workerPort.js'
import { createWorkerState } from '../workers/workerState.js'
import { createCrashTracking } from './crashTracking.js'

const rebirthMs = 100_000

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

function listWorker (index: number, bornAtMs: number): ListedWorker {
  return { workerId: `worker-${index}`, address: `worker-${index}:1`, service: 'pool', domain: 'a', bornAtMs, isDraining: false, coldLeftMs: 0, capacity: harnessCapacity, labels: [], rack: 'rack-0', machineId: `machine-${index}` }
}

/**
 * A term begins with the run of a task on worker-0, whose machine reports another life, and with what an earlier term has recorded of that; `crashedWorkers` others
 * of nine have started anew within the same second. Returns what is recorded then.
 */
async function takeOver (recorded: Partial<CrashRecord> | undefined, crashedWorkers: number): Promise<readonly CrashRecord[]> {
  const [unit] = getUnits(createTrackedJob(makeJob('job', 'batch', [makeStep()]), performance.now())) as [Unit]
  const attempt = createAttempt(unit, 2, [{ workerId: 'worker-0', bornAtMs: 1, machine: 'machine-0' }], performance.now())
  Object.assign(attempt, { isRestored: true })
  for (const member of attempt.members) Object.assign(member, { state: MemberState.StartSent, startExclusion: { atMs: -Infinity, incarnationMs: undefined } })
  const listed = [listWorker(0, rebirthMs), ...Array.from({ length: 9 }, (_, index) => listWorker(index + 1, index < crashedWorkers ? rebirthMs + 100 : 1))]
  if (recorded !== undefined) unit.crashes = [{ run: 2, indices: [0], machine: 'machine-0', bornAtMs: rebirthMs - 1, cause: EndCause.Crash, likelihoodRatio: 1, ranMs: 500, isCounted: true, ...recorded }]
  const ending = new AbortController()
  const tracking = createCrashTracking({
    logger: silentLogger,
    signal: ending.signal,
    getMembers: workerId => new Set(workerId === 'worker-0' ? attempt.members : []),
    getWorkers: () => listed.map(info => createWorkerState(info)),
    commit: () => {},
    onEarlierLifeEnded: () => {},
    onGivenUp: () => {}
  })
  tracking.onRestored(unit)
  tracking.onAllRestored()
  tracking.onReport(listed[0] as ListedWorker, rebirthMs, performance.now())
  ending.abort()
  await jest.advanceTimersByTimeAsync(1_000)
  return unit.crashes
}

// An innocent job was given up with the fifth crash: after a takeover, a crash of many counted that the term before had not counted, as nothing had confirmed the start.
test('a crash that an earlier term has not counted is not counted after a takeover', async () => {
  expect(await takeOver({ likelihoodRatio: 1, isCounted: false }, 9)).toMatchObject([{ likelihoodRatio: 1, isCounted: false, ranMs: 500 }])
})

// A life that had ended by its drain, as the term before knew, counted as crashed after a takeover.
test('a drain that an earlier term has recorded is not taken for a crash after a takeover', async () => {
  expect(await takeOver({ cause: EndCause.Drain }, 0)).toMatchObject([{ cause: EndCause.Drain, likelihoodRatio: 1 }])
})

// Guards against a job that is given up for a crash of many, of which the earlier term had seen only the first.
test('births that show only after a takeover speak for a task', async () => {
  const [record] = await takeOver({ likelihoodRatio: 130 }, 9)
  expect(record?.likelihoodRatio).toBeLessThan(2)
  expect(record?.isCounted).toBe(true)
})

test('a crash that no earlier term has recorded is counted after a takeover', async () => {
  expect(await takeOver(undefined, 0)).toMatchObject([{ run: 2, cause: EndCause.Crash, isCounted: true }])
  // The recorded crash is that of another life.
  expect(await takeOver({ bornAtMs: 50_000, isCounted: false }, 0)).toMatchObject([{ run: 2, cause: EndCause.Crash, isCounted: true }])
})
