/** Reports of a worker that overtake each other around the start of a run: several requests wait at a worker at once, and their answers take different connections. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { EndKind } from '../jobs/jobModel.js'
import type { WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

/** A start request takes this long to its worker, in ms: more than the 150 ms after which an inquiry asks what has become of it. */
const startTransitMs = 160
/** The answer to the inquiry arrives this long after that to the poll, in ms, and the answer to the start later still. */
const inquiryLagMs = 2
const startAnswerMs = 5
const task = 'a.0.0.0'
let harness: PoolHarness
const { run, submit } = createPoolSteps(() => harness)

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/**
 * Wraps the port of a worker on which the first run of the task begins. The poll waits there before the inquiry is sent. The worker answers the inquiry, begins the run, and
 * answers the poll `gapMs` later; the answer to the poll arrives first.
 */
function overtake (port: WorkerPort, gapMs: number): WorkerPort {
  let releasePoll: ((report: WorkerStatusReport) => void) | undefined
  let releaseInquiry: ((report: WorkerStatusReport) => void) | undefined
  let isStarting = false
  return {
    ...port,
    start: async request => {
      if (request.task !== task || request.run !== 1) return await port.start(request)
      isStarting = true
      await delay(startTransitMs)
      const answer = await port.start(request)
      const { clockMs: startedAtMs } = answer
      if (startedAtMs === undefined) throw new Error('the worker shows its clock')
      const report = await port.renewLease({ epoch: request.epoch, acknowledgedSequence: 0, waitMs: 0, isConcurrent: true })
      expect(report.running.map(reported => reported.task)).toContain(task)
      expect([releasePoll, releaseInquiry]).not.toContain(undefined)
      isStarting = false
      releasePoll?.({ ...report, clockMs: startedAtMs + gapMs })
      await delay(inquiryLagMs)
      releaseInquiry?.({ ...report, clockMs: startedAtMs, running: report.running.filter(reported => reported.task !== task) })
      await delay(startAnswerMs)
      return answer
    },
    renewLease: async renewal => {
      if (isStarting && renewal.isConcurrent === true) return await new Promise(resolve => { releaseInquiry = resolve })
      const answered = port.renewLease(renewal)
      if (renewal.isConcurrent === true) return await answered
      return await Promise.race([answered, new Promise<WorkerStatusReport>(resolve => { releasePoll = resolve })])
    }
  }
}

// Guards against TWICE: the run counted as lost by the report that was written before it began, because that report had been requested after the one that lists the run.
test.each([0, 1])('a run is not lost by a report that was written before it began, and arrives after one that was written %i ms later', async gapMs => {
  harness = createPoolHarness({ workers: 1, getRun: () => ({ workMs: 20_000, how: EndKind.Done }), interceptWorker: (_hostId, _workerId, port) => overtake(port, gapMs) })
  harness.addHost('host-0')
  await run(40_000)
  // The poll waits at the worker while something runs there.
  await submit(makeJob('b', 'batch', [makeStep({ request: { cpuMilli: 1_000, memoryMb: 1_000, accelerators: 0 } })]))
  await run(1_000)
  await submit(makeJob('a', 'batch', [makeStep({ request: { cpuMilli: 1_000, memoryMb: 1_000, accelerators: 0 } })]))
  await run(5_000)
  expect(harness.poolState.violations).toEqual([])
  expect(harness.poolState.starts.get(task)).toBe(1)
  expect(harness.poolState.running.get(task)).toEqual([{ workerId: 'worker-0', run: 1 }])
})
