/** The check before each try of a start request: a domain that is evacuated between planning and sending, or between two tries. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { EndKind } from '../jobs/jobModel.js'
import type { JobSpec, StepSpec } from '../jobs/jobModel.js'
import { createTrackedJob, getUnits, MemberState } from '../jobs/trackedJob.js'
import type { Attempt } from '../jobs/trackedJob.js'
import { createPoolState, createPoolWorker } from '../standins/poolWorker.js'
import type { PoolState, PoolWorker } from '../standins/poolWorker.js'
import { advanceClock } from '../testing/configurationHarness.js'
import { harnessCapacity, makeJob, makeStep } from '../testing/poolHarness.js'
import type { StartRequest, WorkerPort } from '../workers/workerPort.js'
import { createWorkerState } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { createRunController } from './runController.js'
import type { RunController } from './runController.js'

/** What happens to a start request on its way: it arrives; it is not sent; it arrives, and no answer comes back. */
type Fate = 'arrives' | 'unsent' | 'lost'

/** Time after which a request without an answer counts as lost, in ms, as in `platform/httpWorker.ts`. */
const answerTimeoutMs = 450

interface Setting {
  readonly controller: RunController
  readonly workers: ReadonlyMap<string, WorkerState>
  readonly poolWorkers: ReadonlyMap<string, PoolWorker>
  readonly pool: PoolState
  /** The fates of the next start requests to a worker; later ones arrive. */
  readonly fates: Map<string, Fate[]>
  readonly sentTo: string[]
  readonly stoppedOn: string[]
  /** Lets the stored plans be committed. */
  commit (): void
  setCurrent (isCurrent: boolean): void
  plan (step: Partial<StepSpec>, workerIds: readonly string[]): Attempt
}

const stopping: AbortController[] = []

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  for (const controller of stopping.splice(0)) controller.abort()
  await advanceClock(3_000)
  jest.useRealTimers()
})

/** Creates a controller with two workers, `a` and `b`, each in a failure domain of its own. */
function createSetting (): Setting {
  const ending = new AbortController()
  stopping.push(ending)
  const term: Term = { epoch: 5, leaderKey: 'leader', leaderRevision: 5, isValid: () => true, resign: () => {}, signal: ending.signal }
  const jobs = new Map<string, JobSpec>()
  const pool = createPoolState({ jobs, defaultRequest: harnessCapacity, getRun: () => ({ workMs: 60_000, how: EndKind.Done }), maxLeaseMs: 60_000, gangStartTimeoutMs: 60_000, stopDelayMs: 50 })
  const workers = new Map<string, WorkerState>()
  const poolWorkers = new Map<string, PoolWorker>()
  const ports = new Map<string, WorkerPort>()
  const fates = new Map<string, Fate[]>()
  const sentTo: string[] = []
  const stoppedOn: string[] = []
  const waiting: (() => void)[] = []
  let isCurrent = true
  for (const workerId of ['a', 'b']) addWorker(workerId)
  const controller = createRunController({
    term,
    logger: silentLogger,
    getJob: () => undefined,
    getWorker: workerId => workers.get(workerId),
    getWorkers: () => workers.values(),
    getLink: workerId => ({
      port: ports.get(workerId) as WorkerPort,
      wake: () => {},
      check: () => {},
      inquire: () => {},
      reviewWaitingInquiry: () => {},
      reviewDecisiveInquiries: () => {},
      reviewLease: () => {},
      grantStartLease: () => Math.floor(performance.now()) + 30_000,
      checkClock: () => {},
      expectIncarnation: () => {},
      getBornAtMs: () => 0,
      hasReported: () => true,
      isAnswering: () => true,
      isSettled: () => true,
      getSilentForMs: () => 0,
      getLeaseLeftMs: () => undefined,
      getUnextendedLeaseMs: () => undefined,
      areLeasesAsRequested: () => false,
      mayFollowEarlierOrders: () => false,
      getOrders: () => undefined,
      describeLease: () => ({}),
      close: () => {}
    }),
    getAttemptLimit: () => 3,
    mayStart: () => isCurrent,
    describeEvacuation: () => ({}),
    getTicket: () => undefined,
    onBadTicket: () => {},
    commit: async () => { await new Promise<void>(resolve => { waiting.push(resolve) }) },
    stopMs: 400,
    noticeMs: 1_000,
    onChanged: () => {},
    onMemberEnded: () => {},
    onJobBegun: () => {},
    onRefusal: () => {}
  })
  return { controller, workers, poolWorkers, pool, fates, sentTo, stoppedOn, commit: () => { for (const resolve of waiting.splice(0)) resolve() }, setCurrent: isCurrentNow => { isCurrent = isCurrentNow }, plan }

  function addWorker (workerId: string): void {
    const info = { workerId, address: workerId, service: 'pool', domain: workerId, bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity: harnessCapacity, labels: [], rack: '' }
    const worker = createWorkerState(info)
    worker.isReachable = true
    workers.set(workerId, worker)
    const poolWorker = createPoolWorker(pool, info)
    poolWorkers.set(workerId, poolWorker)
    const port = poolWorker.connect()
    ports.set(workerId, {
      ...port,
      start: request => start(workerId, port, request),
      stop: async request => {
        stoppedOn.push(workerId)
        await port.stop(request)
      }
    })
  }

  async function start (workerId: string, port: WorkerPort, request: StartRequest): ReturnType<WorkerPort['start']> {
    const fate = fates.get(workerId)?.shift() ?? 'arrives'
    if (fate === 'unsent') {
      await delay(answerTimeoutMs)
      throw createError(ErrorKind.PeerUnreachable, 'no connection')
    }
    sentTo.push(workerId)
    if (fate === 'arrives') return await port.start(request)
    await port.start(request).catch(() => {})
    await delay(answerTimeoutMs)
    throw createError(ErrorKind.AnswerLost, 'no answer')
  }

  function plan (step: Partial<StepSpec>, workerIds: readonly string[]): Attempt {
    const spec = makeJob('job', 'batch', [makeStep({ count: workerIds.length, ...step })])
    jobs.set(spec.jobId, spec)
    const [unit] = getUnits(createTrackedJob(spec, performance.now()))
    if (unit === undefined) throw new Error('the job has no unit')
    return controller.planAttempt(unit, workerIds)
  }
}

function evacuate (setting: Setting, workerId: string): void {
  const worker = setting.workers.get(workerId)
  if (worker !== undefined) worker.isDomainEvacuated = true
}

test('a request between planning and sending: nothing is sent, and the resources are free again', async () => {
  const setting = createSetting()
  const attempt = setting.plan({ isGang: true }, ['b', 'a'])
  await advanceClock(50)
  evacuate(setting, 'a')
  setting.commit()
  await advanceClock(1_000)
  expect(setting.sentTo).toEqual([])
  expect(attempt.stopReason).toContain('evacuated')
  expect([...setting.workers.values()].map(worker => worker.allocations.size)).toEqual([0, 0])
})

test('a gang partly sent: the member in the evacuated domain is not sent, and the gang is stopped as a whole', async () => {
  const setting = createSetting()
  setting.fates.set('a', ['unsent'])
  const attempt = setting.plan({ isGang: true }, ['b', 'a'])
  setting.commit()
  await advanceClock(200)
  expect(setting.pool.running.get('job.0.0.0')).toHaveLength(1)
  evacuate(setting, 'a')
  await advanceClock(1_000)
  expect(setting.sentTo).toEqual(['b'])
  expect(attempt.stopReason).toContain('evacuated')
  expect(attempt.members[1]?.state).toBe(MemberState.Ended)
  expect(setting.stoppedOn).toContain('b')
  expect(setting.pool.running.get('job.0.0.0')).toEqual([])
  // Nothing was wrong with the workers, so the next attempt may use them again.
  expect([...attempt.unit.avoidedWorkers]).toEqual([])
})

test('a lost response: the start is not sent again, and the worker that would execute it late does not start it', async () => {
  const setting = createSetting()
  setting.fates.set('a', ['lost'])
  setting.poolWorkers.get('a')?.delayStarts(1, 2_000)
  const attempt = setting.plan({}, ['a'])
  setting.commit()
  await advanceClock(100)
  evacuate(setting, 'a')
  await advanceClock(4_000)
  expect(setting.sentTo).toEqual(['a'])
  expect(attempt.stopReason).toContain('evacuated')
  expect(setting.stoppedOn).toContain('a')
  expect(setting.pool.starts.size).toBe(0)
  // The capacity stays allocated until a report shows that the start is excluded.
  expect(setting.workers.get('a')?.allocations.size).toBe(1)
})

test('a gang that has been sent completely runs on', async () => {
  const setting = createSetting()
  const attempt = setting.plan({ isGang: true }, ['b', 'a'])
  setting.commit()
  await advanceClock(200)
  evacuate(setting, 'a')
  setting.controller.dispatchPlanned()
  await advanceClock(1_000)
  expect(attempt.stopReason).toBeUndefined()
  expect(setting.stoppedOn).toEqual([])
})

test('a copy that becomes too old between two tries: the start is not sent again, and the worker is not avoided for it', async () => {
  const setting = createSetting()
  setting.fates.set('a', ['unsent'])
  const attempt = setting.plan({}, ['a'])
  setting.commit()
  await advanceClock(100)
  setting.setCurrent(false)
  await advanceClock(1_000)
  expect(setting.sentTo).toEqual([])
  expect(attempt.stopReason).toContain('too old')
  expect([...attempt.unit.avoidedWorkers]).toEqual([])
})
