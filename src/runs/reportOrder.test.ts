/** Property: whatever the order in which reports of one life of a worker arrive, no run that is there, or may still begin, counts as ended, and each that is gone does after the last report. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import fc from 'fast-check'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { EndKind } from '../jobs/jobModel.js'
import { createTrackedJob, getTaskName, getUnits, MemberState } from '../jobs/trackedJob.js'
import type { Attempt } from '../jobs/trackedJob.js'
import { harnessCapacity, makeJob, makeStep } from '../testing/poolHarness.js'
import { StartResult } from '../workers/workerPort.js'
import type { WorkerPort } from '../workers/workerPort.js'
import { createWorkerState } from '../workers/workerState.js'
import { createRunController } from './runController.js'
import type { RunController } from './runController.js'
import type { WorkerLink } from './workerLink.js'

/** The times of a play are in ticks of 1 ms of the host; the worker's clock shows whole multiples of this many, so that reports often share one reading. */
const ticksPerReading = 4
const playTicks = 12
const bornAtMs = 1
/** Starts without an answer are given up after this time, in ticks: the play is over by then, so that the host sends each start once. */
const neverMs = 3_600_000
const runCount = 2

/** What becomes of one run, in ticks from the start of the play. */
interface DrawnRun {
  /** When the worker carries out the start. */
  readonly startTick: number
  /** How long the answer to the start takes; undefined if it is lost. */
  readonly answerTicks: number | undefined
  /** How long the run works; undefined if it is still there at the end. */
  readonly workTicks: number | undefined
  /** False if the worker does not list the end. */
  readonly isEndListed: boolean
  /** When the host stops the run; undefined if it does not. */
  readonly stopTick: number | undefined
  readonly stopTransitTicks: number
}

/** A report: when it is requested, how long it waits at the worker, and how long its answer takes. */
interface DrawnReport {
  readonly requestTick: number
  readonly waitTicks: number
  readonly answerTicks: number
  /** Its place among what happens at the worker in the same tick. */
  readonly isBeforeOthers: boolean
}

const tick = fc.integer({ min: 0, max: playTicks })
const shortTime = fc.integer({ min: 0, max: 12 })
const drawnRun: fc.Arbitrary<DrawnRun> = fc.record({
  startTick: tick,
  answerTicks: fc.option(shortTime, { nil: undefined }),
  workTicks: fc.option(tick, { nil: undefined }),
  isEndListed: fc.boolean(),
  stopTick: fc.option(tick, { nil: undefined }),
  stopTransitTicks: shortTime
})
const drawnReport: fc.Arbitrary<DrawnReport> = fc.record({ requestTick: tick, waitTicks: fc.integer({ min: 0, max: playTicks }), answerTicks: shortTime, isBeforeOthers: fc.boolean() })

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

/** A run at the worker. */
interface WorkerRun {
  readonly drawn: DrawnRun
  readonly task: string
  isThere: boolean
  isOver: boolean
  isStopped: boolean
  sequence: number
}

/** A worker with the drawn runs, and the controller that it reports to. Violations are collected in `violations`. */
function createPlay (drawnRuns: readonly DrawnRun[], ending: AbortController): { readonly controller: RunController, readonly attempts: readonly Attempt[], readonly violations: string[], report (drawn: DrawnReport): Promise<void>, finish (): Promise<void> } {
  const startMs = performance.now()
  const term: Term = { epoch: 5, leaderKey: 'leader', leaderRevision: 5, isValid: () => true, resign: () => {}, signal: ending.signal }
  const worker = createWorkerState({ workerId: 'a', address: 'a', service: 'pool', domain: 'a', bornAtMs, isDraining: false, coldLeftMs: 0, capacity: harnessCapacity, labels: [], rack: '' })
  worker.isReachable = true
  const violations: string[] = []
  const runs = new Map<string, WorkerRun>()
  const attempts: Attempt[] = []
  let sequence = 0
  const getClockMs = (): number => Math.floor((performance.now() - startMs) / ticksPerReading)

  const port: WorkerPort = {
    pace: async () => {},
    close: () => {},
    renewLease: async () => { throw createError(ErrorKind.AnswerLost, 'not used') },
    start: async ({ task }) => {
      const run = runs.get(task) as WorkerRun
      await delay(run.drawn.startTick)
      if (run.isStopped) return { answer: StartResult.StaleRun, clockMs: getClockMs() }
      run.isThere = true
      const { workTicks, answerTicks } = run.drawn
      if (workTicks !== undefined) setTimeout(() => { end(run) }, workTicks)
      const clockMs = getClockMs()
      await delay(answerTicks ?? neverMs)
      return { answer: StartResult.Started, clockMs }
    },
    stop: async ({ task }) => {
      const run = runs.get(task) as WorkerRun
      await delay(run.drawn.stopTransitTicks)
      run.isStopped = true
      end(run)
      await delay(run.drawn.stopTransitTicks)
    }
  }
  const link = { port, wake: () => {}, inquire: () => {}, grantStartLease: () => 1_000_000, checkClock: () => {}, getBornAtMs: () => bornAtMs, describeLease: () => ({}) } as unknown as WorkerLink
  const controller = createRunController({
    term,
    logger: silentLogger,
    getJob: () => undefined,
    getWorker: () => worker,
    getWorkers: () => [worker],
    getLink: () => link,
    getAttemptLimit: () => 3,
    mayStart: () => true,
    describeEvacuation: () => ({}),
    getTicket: () => undefined,
    onBadTicket: () => {},
    commit: async () => {},
    stopMs: neverMs,
    noticeMs: 1_000,
    onChanged: check,
    onMemberEnded: () => {},
    onJobBegun: () => {},
    onRefusal: () => {}
  })
  drawnRuns.forEach((drawn, index) => {
    const [unit] = getUnits(createTrackedJob(makeJob(`job${index}`, 'batch', [makeStep({ request: { cpuMilli: 1_000, memoryMb: 1_000, accelerators: 0 } })]), performance.now()))
    if (unit === undefined) throw new Error('the job has no unit')
    const attempt = controller.planAttempt(unit, ['a'])
    attempts.push(attempt)
    const task = getTaskName(attempt.members[0] as Attempt['members'][number])
    runs.set(task, { drawn, task, isThere: false, isOver: false, isStopped: false, sequence: 0 })
    if (drawn.stopTick !== undefined) setTimeout(() => { controller.stopAttempt(attempt, 'drawn') }, drawn.stopTick)
  })
  return { controller, attempts, violations, report, finish }

  function end (run: WorkerRun): void {
    if (!run.isThere || run.isOver) return
    run.isThere = false
    run.isOver = true
    if (run.drawn.isEndListed) run.sequence = ++sequence
  }

  /** Notes each member that counts as ended while its run is there or may still begin. */
  function check (): void {
    for (const attempt of attempts) {
      const [member] = attempt.members
      const run = member === undefined ? undefined : runs.get(getTaskName(member))
      if (member?.state === MemberState.Ended && run !== undefined && !run.isOver && !run.isStopped && attempt.isDispatched) violations.push(`${run.task} counts as ended at ${performance.now() - startMs}`)
      if (member?.state === MemberState.Ended && run?.isThere === true) violations.push(`${run.task} is there at ${performance.now() - startMs}`)
    }
  }

  async function report ({ requestTick, waitTicks, answerTicks, isBeforeOthers }: DrawnReport): Promise<void> {
    await delay(requestTick)
    const sentAtMs = performance.now()
    // Timers of one tick fire in the order in which they were set: an extra one puts the report behind what happens in the same tick.
    await delay(waitTicks)
    if (!isBeforeOthers) await delay(0)
    const written = { clockMs: getClockMs(), bornAtMs, running: list(({ isThere }) => isThere), ended: [...runs.values()].filter(run => run.sequence > 0).map(run => ({ sequence: run.sequence, task: run.task, run: 1, how: EndKind.Stopped, checkpoint: '' })) }
    await delay(answerTicks)
    await controller.onReport(worker, written, sentAtMs, true)
    check()
  }

  function list (isListed: (run: WorkerRun) => boolean): { readonly task: string, readonly run: number, readonly checkpoint: string, readonly progressPercent: number }[] {
    return [...runs.values()].filter(isListed).map(({ task }) => ({ task, run: 1, checkpoint: '', progressPercent: 0 }))
  }

  /** Asks once more when everything else has happened. */
  async function finish (): Promise<void> {
    await report({ requestTick: 5 * playTicks, waitTicks: ticksPerReading, answerTicks: 1, isBeforeOthers: true })
    for (const attempt of attempts) {
      const [member] = attempt.members
      const run = member === undefined ? undefined : runs.get(getTaskName(member))
      // A start of which nothing has been seen may still be carried out.
      const isGone = run?.isStopped === true || (run?.isOver === true && (run.sequence > 0 || member?.state !== MemberState.StartSent))
      if (isGone && member?.state !== MemberState.Ended) violations.push(`${run?.task} is over and counts as ${member?.state}`)
    }
  }
}

// Guards against TWICE: a run counted as lost by a report that was written before it began, and its next run began beside it.
test('no run that is there counts as ended, and each that is gone does, in whatever order reports arrive', async () => {
  await fc.assert(fc.asyncProperty(fc.array(drawnRun, { minLength: 1, maxLength: runCount }), fc.array(drawnReport, { minLength: 2, maxLength: 8 }), async (drawnRuns, drawnReports) => {
    const ending = new AbortController()
    const play = createPlay(drawnRuns, ending)
    const reports = [...drawnReports.map(play.report), play.finish()]
    for (let elapsedTicks = 0; elapsedTicks < 7 * playTicks; elapsedTicks++) await jest.advanceTimersByTimeAsync(1)
    await Promise.all(reports)
    ending.abort()
    jest.clearAllTimers()
    expect(play.violations).toEqual([])
  }), { numRuns: Number(process.env.SASSAFRASFORD_REPORT_ORDER_RUNS ?? 600), ...(process.env.SASSAFRASFORD_REPORT_ORDER_SEED === undefined ? {} : { seed: Number(process.env.SASSAFRASFORD_REPORT_ORDER_SEED) }) })
}, 120_000)
