/** What inquiries beside polls do to the jobs of a pool: ends that are acknowledged, jobs that stand still, and ends that nobody asks for. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { getProgressKey } from '../jobs/jobKeys.js'
import { EndKind } from '../jobs/jobModel.js'
import type { WorkerPort } from '../workers/workerPort.js'
import { loseAnswers } from '../testing/lostAnswers.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

/** The times allowed for an answer if the request does not say another, in ms. */
const answerTimeoutMs = 500
const startTimeoutMs = 450
/** Source of the bound: the platform's rules (LOST) count a job that stands for 3 s after 4 s without disturbances. */
const replacementLimitMs = 7_000
/** A worker that lists an end leaves after this time, in ms: the time for which an end was listed on the day of the report. */
const listedForMs = 475
/** The same on the day of issue 67, in ms, from the end to the loss of the worker: a fifth to a third of it. */
const brieflyListedMs = 80
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
test('a task whose end was read is not run again after the host fails with the write under way', async () => {
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

// Guards against LOST: the worker was gone just after it had answered an inquiry, the poll beside it was lost, and the next one extended the lease once more.
test('a run is replaced in time although its worker has answered an inquiry just before it left', async () => {
  let polledAtMs = -Infinity
  let inquiredAtMs = Infinity
  harness = createPoolHarness({
    workers: 4,
    workersPerRack: 1,
    maxLeaseMs: 6_000,
    getRun: () => ({ workMs: 60_000, how: EndKind.Done }),
    interceptWorker: (_hostId, _workerId, port) => {
      const slow = waitForTimeouts(port)
      return {
        ...slow,
        renewLease: async renewal => {
          if (renewal.leaseUntilMs !== undefined) polledAtMs = performance.now()
          const report = await slow.renewLease(renewal)
          if (renewal.isConcurrent === true) inquiredAtMs = Math.min(inquiredAtMs, performance.now())
          return report
        }
      }
    }
  })
  harness.addHost('host-0')
  // The lives of the workers are older than any order that could be under way.
  await run(40_000)
  await submit(makeJob('a', 'batch', [makeStep()]))
  await run(2_000)
  const [location] = harness.poolState.running.get(task) ?? []
  if (location === undefined) throw new Error('the task runs')
  const worker = harness.workers.get(location.workerId)
  const earlierPollAtMs = polledAtMs
  while (polledAtMs === earlierPollAtMs) await run(10)
  worker?.delayStarts(3, 60_000)
  await submit(makeJob('b', 'batch', [makeStep({ requiredLabel: worker?.info.rack ?? '' })]))
  for (let elapsedMs = 0; elapsedMs < 1_000 && inquiredAtMs === Infinity; elapsedMs += 10) await run(10)
  expect(inquiredAtMs).toBeLessThan(Infinity)
  harness.crashWorker(location.workerId, { awayMs: goneMs, keepsId: false })
  await run(replacementLimitMs)
  expect(harness.poolState.running.get(task) ?? []).toHaveLength(1)
  expect(harness.poolState.violations).toEqual([])
})

// The same as on the day of the report, for a run of which the term has seen too little to know its pace: it began in an earlier term.
test.each([17_000, 18_000, 18_500])('an end is read although its poll gets no answer after a takeover at %i ms of 20 s', async takeoverAtMs => {
  harness = createPoolHarness({
    workers: 4,
    workersPerRack: 1,
    maxLeaseMs: 6_000,
    getRun: name => ({ workMs: name === task ? 20_000 : 3_000, how: EndKind.Done }),
    onEnd: end => { if (end.task === task) setTimeout(() => { harness.crashWorker(end.workerId, { awayMs: goneMs, keepsId: false }) }, listedForMs) },
    interceptWorker: (_hostId, _workerId, port) => loseAnswers(port, ({ waitMs }, { ended }) => waitMs > 0 && ended.length > 0)
  })
  harness.addHost('host-0')
  await run(3_000)
  await submit(makeJob('a', 'batch', [makeStep({ estimateMs: 20_000 }), makeStep({ after: [0] })]))
  await run(takeoverAtMs)
  harness.hosts.get('host-0')?.crash()
  harness.addHost('host-1')
  await run(20_000 - takeoverAtMs + listedForMs + 1_000)
  expect(harness.poolState.starts.get('a.0.1.0')).toBe(1)
  expect(harness.poolState.starts.get(task)).toBe(1)
})

// The same for a run that is short: it ends before two reports have shown its pace.
test.each([700, 900, 1_100, 1_300, 1_500, 1_800])('the end of a run of %i ms is read although its poll gets no answer', async workMs => {
  harness = createPoolHarness({
    workers: 4,
    workersPerRack: 1,
    maxLeaseMs: 6_000,
    getRun: () => ({ workMs, how: EndKind.Done }),
    onEnd: end => { if (end.task === task) setTimeout(() => { harness.crashWorker(end.workerId, { awayMs: goneMs, keepsId: false }) }, listedForMs) },
    interceptWorker: (_hostId, _workerId, port) => loseAnswers(port, ({ waitMs }, { ended }) => waitMs > 0 && ended.length > 0)
  })
  harness.addHost('host-0')
  await run(3_000)
  await submit(makeJob('a', 'batch', [makeStep({ estimateMs: workMs }), makeStep({ after: [0] })]))
  await run(workMs + listedForMs + 1_000)
  expect(harness.poolState.starts.get('a.0.1.0')).toBe(1)
})

// Guards against LOST: the end is listed for 80 ms among the first lost answers, so that no request that is sent after it is answered in time.
test.each([4_000, 5_200])('the end of the last task of a step, a run of %i ms, is read although all requests of the scheduling host get no answer from 300 ms before it on', async workMs => {
  let startedAtMs = Infinity
  harness = createPoolHarness({
    workers: 4,
    workersPerRack: 1,
    maxLeaseMs: 6_000,
    hasRelayedPolls: true,
    getRun: () => ({ workMs, how: EndKind.Done }),
    onStart: () => { startedAtMs = Math.min(startedAtMs, performance.now()) },
    onEnd: end => { if (end.task === task) setTimeout(() => { harness.crashWorker(end.workerId, { awayMs: goneMs, keepsId: false }) }, brieflyListedMs) },
    interceptWorker: (hostId, _workerId, port) => loseAnswers(port, () => hostId === 'host-0' && performance.now() - startedAtMs > workMs - 300)
  })
  for (const hostId of ['host-0', 'host-1', 'host-2']) {
    harness.addHost(hostId)
    await run(500)
  }
  await run(2_000)
  await submit(makeJob('a', 'batch', [makeStep({ estimateMs: workMs }), makeStep({ after: [0] })]))
  await run(workMs + 500)
  const job = harness.store.peek(getProgressKey('a')) ?? ''
  expect(job).toContain('"done":{"0.0":')
  expect(harness.poolState.starts.get(task)).toBe(1)
})

// The same at stops: the end of a run that is stopped is due within `stopMs`, and nothing asks for it until the poll that would have shown it has timed out.
test('the capacity of a stopped run is free in time although the poll that lists its end gets no answer', async () => {
  harness = createPoolHarness({
    workers: 1,
    maxLeaseMs: 6_000,
    getRun: () => ({ workMs: 60_000, how: EndKind.Done }),
    interceptWorker: (_hostId, _workerId, port) => loseAnswers(port, ({ waitMs }, { ended }) => waitMs > 0 && ended.length > 0)
  })
  harness.addHost('host-0')
  await run(3_000)
  await submit(makeJob('a', 'batch', [makeStep({ estimateMs: 60_000, request: { cpuMilli: 64_000, memoryMb: 8_000, accelerators: 8 } })]))
  await run(6_000)
  expect(harness.poolState.running.get(task) ?? []).toHaveLength(1)
  let stoppedAtMs = Infinity
  let begunAtMs = Infinity
  await submit(makeJob('b', 'urgent', [makeStep({ request: { cpuMilli: 64_000, memoryMb: 8_000, accelerators: 8 } })]))
  for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += 10) {
    await run(10)
    if ((harness.poolState.running.get(task) ?? []).length === 0) stoppedAtMs = Math.min(stoppedAtMs, performance.now())
    if ((harness.poolState.running.get('b.0.0.0') ?? []).length > 0) begunAtMs = Math.min(begunAtMs, performance.now())
  }
  expect(stoppedAtMs).toBeLessThan(Infinity)
  expect(begunAtMs - stoppedAtMs).toBeLessThan(700)
})

// The same while another run on the worker is late: only the first of the ends that are due is asked for, with longer pauses each time, and it hides the other one.
test.each([5_200, 5_400])('the end of a run of %i ms is read although another run on its worker is late and the poll gets no answer', async workMs => {
  harness = createPoolHarness({
    workers: 4,
    workersPerRack: 1,
    maxLeaseMs: 6_000,
    getRun: name => ({ workMs: name === task ? workMs : 60_000, how: EndKind.Done }),
    onEnd: end => { if (end.task === task) setTimeout(() => { harness.crashWorker(end.workerId, { awayMs: goneMs, keepsId: false }) }, listedForMs) },
    interceptWorker: (_hostId, _workerId, port) => {
      const lossy = loseAnswers(port, ({ waitMs }, { ended }) => waitMs > 0 && ended.length > 0)
      return {
        ...lossy,
        renewLease: async renewal => {
          const report = await lossy.renewLease(renewal)
          // The fill task is paced down shortly before its end.
          return { ...report, running: report.running.map(reported => reported.task === 'z.0.0.0' ? { ...reported, progressPercent: Math.min(95, 40 * reported.progressPercent) } : reported) }
        }
      }
    }
  })
  harness.addHost('host-0')
  await run(3_000)
  await submit(makeJob('z', 'batch', [makeStep({ requiredLabel: 'rack-0', estimateMs: 4_000, isFill: true })]), makeJob('a', 'batch', [makeStep({ requiredLabel: 'rack-0', estimateMs: workMs }), makeStep({ after: [0] })]))
  await run(workMs + listedForMs + 1_000)
  expect(harness.poolState.starts.get('a.0.1.0')).toBe(1)
})
