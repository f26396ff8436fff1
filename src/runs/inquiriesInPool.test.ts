/** What inquiries beside polls do to the jobs of a pool: ends that are acknowledged, jobs that stand still, and ends that nobody asks for. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { getProgressKey } from '../jobs/jobKeys.js'
import { EndKind } from '../jobs/jobModel.js'
import type { WorkerPort } from '../workers/workerPort.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

/** The times allowed for an answer if the request does not say another, in ms. */
const answerTimeoutMs = 500
const startTimeoutMs = 450
const goneMs = 3_600_000
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

/** Wraps the port of a worker so that a request without an answer is given up after its whole time. */
function waitForTimeouts (port: WorkerPort): WorkerPort {
  return {
    ...port,
    start: async request => {
      const sentAtMs = performance.now()
      try {
        return await port.start(request)
      } catch (error) {
        await delay(startTimeoutMs - (performance.now() - sentAtMs))
        throw error
      }
    },
    renewLease: async renewal => {
      const sentAtMs = performance.now()
      try {
        return await port.renewLease(renewal)
      } catch (error) {
        await delay(renewal.waitMs + (renewal.answerTimeoutMs ?? answerTimeoutMs) - (performance.now() - sentAtMs))
        throw error
      }
    }
  }
}

// Guards against a task that runs again after its end was acknowledged: an inquiry overtook a poll that listed the end, and the poll's answer counted as stored while
// the write of the end was under way. Then the host failed.
test.failing('a task whose end was read is not run again after the host fails with the write under way', async () => {
  let endedAtMs = Infinity
  harness = createPoolHarness({
    workers: 2,
    workersPerRack: 1,
    maxLeaseMs: 6_000,
    getRun: name => ({ workMs: name === task ? 3_000 : 60_000, how: EndKind.Done }),
    onEnd: end => { if (end.task === task) endedAtMs = performance.now() },
    interceptStore: (hostId, client) => ({
      ...client,
      transact: async transaction => {
        if (hostId === 'host-0' && endedAtMs < Infinity && transaction.writes.some(({ key }) => key === getProgressKey('a'))) await delay(goneMs)
        return await client.transact(transaction)
      }
    }),
    interceptWorker: (hostId, _workerId, port) => waitForTimeouts({
      ...port,
      renewLease: async renewal => {
        const sentAtMs = performance.now()
        const report = await port.renewLease(renewal)
        // The answers to the polls that follow the first report of the end are late: a packet is sent anew.
        if (hostId === 'host-0' && renewal.isConcurrent !== true && sentAtMs > endedAtMs) await delay(300)
        return report
      }
    })
  })
  harness.addHost('host-0')
  await run(3_000)
  await submit(makeJob('a', 'batch', [makeStep({ requiredLabel: 'rack-0' })]))
  await run(2_800)
  harness.workers.get('worker-0')?.delayStarts(100, 60_000)
  for (const jobId of ['b', 'c', 'd', 'e', 'f', 'g', 'h', 'i']) await submit(makeJob(jobId, 'batch', [makeStep({ requiredLabel: 'rack-0', estimateMs: 60_000, request: { cpuMilli: 1_000, memoryMb: 1_000, accelerators: 0 } })]))
  while (endedAtMs === Infinity) await run(10)
  await run(2_500)
  harness.workers.get('worker-0')?.delayStarts(0, 0)
  harness.hosts.get('host-0')?.crash()
  harness.addHost('host-1')
  await run(12_000)
  expect(harness.poolState.violations).toEqual([])
})
