/** An end that a worker lists is read although the answer to one request is lost, or the store is late: the worker may be gone soon after. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { progressPrefix } from '../jobs/jobKeys.js'
import { loseAnswers } from '../testing/lostAnswers.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

const startTimeoutMs = 450
const workMs = 3_000
const lateStoreMs = 1_500
/** A worker that lists an end leaves after this time, in ms: the time for which an end was listed on the day of the report. */
const listedForMs = 475
const goneMs = 3_600_000
let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)

beforeEach(() => {
  jest.useFakeTimers()
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** Creates a pool of which each worker leaves `leavesAfterMs` after it has listed the end of the task. */
function createPool (task: string, leavesAfterMs: number, options: Partial<PoolHarnessOptions> = {}): void {
  harness = createPoolHarness({
    workers: 4,
    workersPerRack: 1,
    maxLeaseMs: 6_000,
    getRun: () => ({ workMs, how: EndKind.Done }),
    onEnd: end => { if (end.task === task) setTimeout(() => { harness.crashWorker(end.workerId, { awayMs: goneMs, keepsId: false }) }, leavesAfterMs) },
    ...options
  })
  harness.addHost('host-0')
}

function countStarts (task: string): number {
  return harness.poolState.starts.get(task) ?? 0
}

// A poll that waited for an end got no answer, and no other request followed until its time was over. The worker left before that.
test('an end is read although the poll that waits for it gets no answer', async () => {
  createPool('a.0.0.0', listedForMs, { interceptWorker: (_hostId, _workerId, port) => loseAnswers(port, ({ waitMs }, { ended }) => waitMs > 0 && ended.length > 0) })
  await run(3_000)
  await submit(makeJob('a', 'batch', [makeStep(), makeStep({ after: [0] })]))
  await run(workMs + listedForMs + 1_000)
  expect(countStarts('a.0.1.0')).toBe(1)
  expect(countStarts('a.0.0.0')).toBe(1)
})

// The same with the first polls of a term, which do not wait.
test('an end is read although the first poll of a term gets no answer', async () => {
  let firstPolls = 0
  createPool('a.0.0.0', goneMs, { interceptWorker: (hostId, _workerId, port) => loseAnswers(port, () => hostId === 'host-1' && firstPolls++ === 0), workers: 1 })
  await run(3_000)
  await submit(makeJob('a', 'batch', [makeStep(), makeStep({ after: [0] })]))
  await run(workMs - 200)
  harness.hosts.get('host-0')?.crash()
  harness.addHost('host-1')
  while (firstPolls === 0) await run(10)
  await run(450)
  harness.crashWorker('worker-0', { awayMs: 1_000, keepsId: true })
  await waitForState('a', JobState.Complete, 5 * workMs)
  expect(countStarts('a.0.0.0')).toBe(1)
})

// The next poll waited for up to a second until the ends of the last one were stored.
test('an end is read although the store is late with an earlier one', async () => {
  let isLate = false
  createPool('b.0.0.0', 150, {
    getRun: task => ({ workMs: task === 'a.0.0.0' ? workMs - 300 : workMs, how: EndKind.Done }),
    interceptStore: (_hostId, client) => ({
      ...client,
      transact: async transaction => {
        if (isLate && transaction.writes.some(({ key }) => key.startsWith(progressPrefix))) await delay(lateStoreMs)
        return await client.transact(transaction)
      }
    })
  })
  await run(3_000)
  await submit(makeJob('a', 'batch', [makeStep({ requiredLabel: 'rack-0' })]), makeJob('b', 'batch', [makeStep({ requiredLabel: 'rack-0' })]))
  await run(workMs - 1_000)
  isLate = true
  await run(1_500)
  isLate = false
  await waitForState('b', JobState.Complete, 2_000)
  expect(countStarts('b.0.0.0')).toBe(1)
})

// The report that would have shown the run waited for an end, and the start was sent up to three times, each of which may be carried out late.
test('a start that got no answer is not repeated when the worker lists the run', async () => {
  let isLosing = false
  createPool('none', 0, {
    interceptWorker: (_hostId, _workerId, port) => ({
      ...port,
      start: async request => {
        const answer = await port.start(request)
        if (!isLosing) return answer
        await delay(startTimeoutMs)
        throw createError(ErrorKind.AnswerLost, 'the start got no response')
      }
    })
  })
  await run(3_000)
  await submit(makeJob('a', 'batch', [makeStep({ requiredLabel: 'rack-0', estimateMs: 60_000 })]))
  await run(700)
  isLosing = true
  await submit(makeJob('b', 'batch', [makeStep({ requiredLabel: 'rack-0' })]))
  await run(1_500)
  expect(harness.orders.filter(({ task }) => task === 'b.0.0.0').length).toBe(1)
})
