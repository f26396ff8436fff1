/** Ends that the progress of their runs does not announce, while answers of workers are being lost: each is listed for some 80 ms before its worker is gone. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind } from '../jobs/jobModel.js'
import type { LeaseRenewal, WorkerPort } from '../workers/workerPort.js'
import { loseAnswers } from '../testing/lostAnswers.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

/** For this long, in ms, the end was listed on the day of the report: it was there 133 ms after the last report, and the worker went dark after 82 ms more. */
const listedForMs = 80
const goneMs = 3_600_000
const estimateMs = 60_000
/** The requests for reports of the quiet pool in 30 s with one poll after another, counted before there were requests that wait beside them. */
const quietRequests = 141
const task = 'a.0.0.0'
let harness: PoolHarness
const { run, submit } = createPoolSteps(() => harness)

beforeEach(() => {
  jest.useFakeTimers()
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** What a test observes of the requests for reports that the scheduling host sends. */
interface PoolObserver {
  readonly onRequest?: (renewal: LeaseRenewal) => void
  /** Called when the host learns that a request got no answer. */
  readonly onLoss?: () => void
}

/** Creates a pool of one worker a rack and three hosts, of which host-0 schedules. The progress of all runs is reported as that of runs of a minute. */
async function createPool (isLost: (workerId: string, renewal: LeaseRenewal) => boolean, { onRequest, onLoss }: PoolObserver = {}): Promise<void> {
  harness = createPoolHarness({
    workers: 6,
    workersPerRack: 1,
    maxLeaseMs: 6_000,
    hasRelayedPolls: true,
    getRun: name => ({ workMs: name === task ? 10 : estimateMs, how: EndKind.Done }),
    interceptWorker: (_hostId, workerId, port) => observe(loseAnswers(reportSlowProgress(port), renewal => isLost(workerId, renewal)))
  })
  for (const hostId of ['host-0', 'host-1', 'host-2']) {
    harness.addHost(hostId)
    await run(500)
  }
  await run(2_000)

  function observe (port: WorkerPort): WorkerPort {
    return {
      ...port,
      renewLease: async renewal => {
        onRequest?.(renewal)
        try {
          return await port.renewLease(renewal)
        } catch (error) {
          onLoss?.()
          throw error
        }
      }
    }
  }
}

function reportSlowProgress (port: WorkerPort): WorkerPort {
  const startedAtMs = performance.now()
  return {
    ...port,
    renewLease: async renewal => {
      const report = await port.renewLease(renewal)
      return { ...report, running: report.running.map(row => ({ ...row, progressPercent: Math.min(90, Math.floor((performance.now() - startedAtMs) / 1_000)) })) }
    }
  }
}

/** The task ends only when the test lets its worker go on. */
async function startTask (): Promise<void> {
  harness.workers.get('worker-0')?.setStalled(true)
  await submit(makeJob('a', 'batch', [makeStep({ requiredLabel: 'rack-0', estimateMs }), makeStep({ after: [0], requiredLabel: 'rack-4', estimateMs })]))
  await run(3_000)
  expect(harness.poolState.running.get(task)).toHaveLength(1)
}

async function endTaskAndLoseWorker (): Promise<void> {
  harness.workers.get('worker-0')?.setStalled(false)
  await run(listedForMs)
  expect(harness.poolState.running.get(task)).toEqual([])
  harness.crashWorker('worker-0', { awayMs: goneMs, keepsId: false })
}

async function expectEndRead (): Promise<void> {
  await run(4_000)
  expect({ first: harness.poolState.starts.get(task), second: harness.poolState.starts.get('a.0.1.0') }).toEqual({ first: 1, second: 1 })
  expect(harness.poolState.violations).toEqual([])
}

// Guards against a task that runs again (LOST): after a lost answer the worker was asked at times for what was true then, and the end was listed between two of them.
test.each([40, 130, 290, 420])('an unforeseen end is read that is listed %i ms after a lost answer showed, although the worker is gone 80 ms later', async afterMs => {
  let isLosing = false
  let shownAtMs = Infinity
  await createPool((workerId, { isConcurrent }) => isLosing && workerId === 'worker-0' && isConcurrent !== true, { onLoss: () => { shownAtMs = Math.min(shownAtMs, performance.now()) } })
  await startTask()
  isLosing = true
  while (shownAtMs === Infinity) await run(10)
  await run(afterMs)
  await endTaskAndLoseWorker()
  await expectEndRead()
})

// Guards against the same for a poll whose answer is lost and that is still waited for: the losses at other workers tell that it may be.
test.each([200, 700, 1_300])('an unforeseen end is read although the poll that waits for it, for %i ms so far, is lost, while answers of other workers are being lost', async afterMs => {
  let isLosing = false
  let isPollLost = false
  let requests = 0
  await createPool((workerId, { isConcurrent = false, waitMs }) => workerId === 'worker-0' ? isPollLost && !isConcurrent && waitMs > 0 : isLosing && requests++ % 2 === 0)
  const others = [1, 2, 3].map(index => makeJob(`b${index}`, 'batch', [makeStep({ requiredLabel: `rack-${index}`, estimateMs })]))
  await submit(...others)
  await startTask()
  isLosing = true
  await run(3_500)
  isPollLost = true
  await run(afterMs)
  await endTaskAndLoseWorker()
  await expectEndRead()
})

// Guards against LOST: the answer to the poll that waited for the last end of a step was among the first that were lost, nothing else waited at the worker, and the losses showed only after it was gone.
test.each([200, 700, 1_300])('the unforeseen end of the last task of a step is read although the poll that waits for it, for %i ms so far, is the first request without an answer', async afterMs => {
  let isPollLost = false
  await createPool((workerId, { isConcurrent = false, waitMs }) => workerId === 'worker-0' && isPollLost && !isConcurrent && waitMs > 0)
  await startTask()
  isPollLost = true
  await run(afterMs)
  await endTaskAndLoseWorker()
  await expectEndRead()
})

// Guards against more calls on quiet days: each look at a worker has a price.
test('a pool in which no answer is lost sends no waiting request beside its polls, and no more requests than one poll after another', async () => {
  let requests = 0
  let waitingBeside = 0
  await createPool(() => false, {
    onRequest: ({ isConcurrent, waitMs }) => {
      requests++
      if (isConcurrent === true && waitMs > 0) waitingBeside++
    }
  })
  await submit(...[1, 2, 3, 4].map(index => makeJob(`b${index}`, 'batch', [makeStep({ requiredLabel: `rack-${index}`, estimateMs })])))
  requests = 0
  await run(30_000)
  expect(waitingBeside).toBe(0)
  expect(requests).toBeLessThanOrEqual(quietRequests)
})
