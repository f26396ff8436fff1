/** In-memory stand-in for one worker of a pool: leases, epochs, gangs, checkpoints, and ended runs that are retained until acknowledged. */
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { EndKind, tryParseTaskName } from '../jobs/jobModel.js'
import type { JobSpec, Resources, StepSpec } from '../jobs/jobModel.js'
import { StartResult } from '../workers/workerPort.js'
import type { TimestampedResponse, EndedRun, LeaseRenewal, ListedWorker, RunningRun, StartRequest, WorkerStatusReport, WorkerPort } from '../workers/workerPort.js'

/** State shared by all workers of a stand-in pool: the simulated behaviour of tasks, the gangs, and the invariant violations that were found. */
export interface PoolState {
  readonly getRun: (task: string, run: number) => RunBehaviour
  /** Called when a worker begins a run; `receivedAtMs` is when its start request arrived, by the monotonic clock. */
  readonly onStart?: (start: ReceivedStart) => void
  /** Called when a worker lists an end. */
  readonly onEnd?: (end: Pick<EndedRun, 'task' | 'run' | 'how'> & { readonly workerId: string }) => void
  /** Called when a request arrives at a worker while requests may be lost there. */
  readonly onRequestDuringLoss?: (request: LossyRequest) => void
  /** The number of members of the task's gang; 1 for a task without a gang. */
  readonly getGangSize: (task: string) => number
  readonly getRequest: (task: string) => Resources
  readonly maxLeaseMs: number
  readonly gangStartTimeoutMs: number
  readonly stopDelayMs: number
  /** Runs progress with the time that has passed rather than by ticks, which are late on a busy machine. */
  readonly isRealTime?: boolean
  /** Runs in progress by task, on all workers. */
  readonly running: Map<string, { readonly workerId: string, readonly run: number }[]>
  /** Descriptions of violated invariants. */
  readonly violations: string[]
  /** The gangs; one runs as fast as the slowest of its members' workers. */
  readonly gangs: Map<string, { present: number, startedAtMs?: number, isOver: boolean, readonly getSpeeds: (() => number)[] }>
  /** Gang members that ended because the others did not start in time; without injected faults, each is a violation. */
  readonly incompleteGangEnds: string[]
  /** Tasks that have ended as done and whose end has been acknowledged. */
  readonly acknowledgedDone: Set<string>
  /** The workers that retain an end as done that has not been acknowledged, by task. */
  readonly retainedDone: Map<string, Set<string>>
  /** What last happened to a run of each task on a worker, for reports. */
  readonly lastEvents: Map<string, string>
  /** When a task last crashed its worker, by the monotonic clock. */
  lastCrashMs: number
  readonly starts: Map<string, number>
  /** The number of workers that have crashed under a task, and the number of its starts since the third. */
  readonly crashes: Map<string, number>
  readonly startsAfterCrashes: Map<string, number>
  /** The runs that have ended as failed, by task or, for a gang, by `JOB.OCCURRENCE.STEP`. */
  readonly failedRuns: Map<string, Set<number>>
  /** The time that runs have worked, in ms, by task, and of it that of runs that did not end as done. */
  readonly workedMs: Map<string, number>
  readonly wastedMs: Map<string, number>
}

/** How a run behaves: its duration, in ms, and how it ends; or its worker crashes `crashAfterMs` after the start. */
export interface RunBehaviour {
  readonly workMs: number
  readonly how: EndKind
  /** The run of a service: it is at work, with full progress, after `workMs`, and does not end by itself. */
  readonly isLasting?: boolean
  readonly crashAfterMs?: number
}

/** A request that arrives at a worker while requests may be lost there; `waitMs` is how long a request for a report waits for an end. */
export interface LossyRequest {
  readonly workerId: string
  readonly isLost: boolean
  readonly waitMs?: number
}

/** A start that a worker of the stand-in has carried out. */
export interface ReceivedStart {
  readonly task: string
  readonly run: number
  readonly workerId: string
  readonly receivedAtMs: number
}

/** How the workers of a stand-in pool behave. */
export interface PoolBehaviour extends Pick<PoolState, 'getRun' | 'onStart' | 'onEnd' | 'onRequestDuringLoss' | 'maxLeaseMs' | 'gangStartTimeoutMs' | 'stopDelayMs' | 'isRealTime'> {
  /** The jobs whose tasks may be started: the workers' protocol passes only a job's payload. */
  readonly jobs: ReadonlyMap<string, JobSpec>
  /** The request of a task of no known job. */
  readonly defaultRequest: Resources
}

/** Creates the state of a pool in which nothing has run. */
export function createPoolState ({ jobs, defaultRequest, ...timing }: PoolBehaviour): PoolState {
  return {
    ...timing,
    getGangSize: task => getStep(task)?.isGang === true ? getStep(task)?.count ?? 1 : 1,
    getRequest: task => getStep(task)?.request ?? defaultRequest,
    running: new Map(),
    violations: [],
    incompleteGangEnds: [],
    gangs: new Map(),
    acknowledgedDone: new Set(),
    retainedDone: new Map(),
    lastEvents: new Map(),
    lastCrashMs: -Infinity,
    starts: new Map(),
    crashes: new Map(),
    startsAfterCrashes: new Map(),
    failedRuns: new Map(),
    workedMs: new Map(),
    wastedMs: new Map()
  }

  function getStep (task: string): StepSpec | undefined {
    const name = tryParseTaskName(task)
    return name === undefined ? undefined : jobs.get(name.jobId)?.steps[name.step]
  }
}

/** The stand-in, with fault injection. */
export interface PoolWorker {
  readonly info: ListedWorker
  connect (): WorkerPort
  /** The worker's steady clock. */
  getClockMs (): number
  /** Sets how fast the steady clock runs, from its start. Leases last longer on a slow clock. */
  setClockRate (rate: number): void
  /** Changes what the worker may hold; what runs there goes on. */
  setCapacity (capacity: Resources): ListedWorker
  /** Cuts the worker off from the network: calls get no response, and its runs continue. */
  setUnreachable (isUnreachable: boolean): void
  /**
   * Executes the next `count` requests of any kind `lateMs` later, and sends no response to them. A restart discards those that wait. Adds to earlier
   * calls; a count of 0 ends them.
   */
  delayRequests (count: number, lateMs: number): void
  /**
   * Until it is called without a function, requests of any kind for which the function returns a time are executed that much later, in ms, and get no response: the
   * caller waits until its own time-out. A restart discards those that wait.
   */
  setRequestLoss (drawLateMs?: () => number | undefined): void
  /** Cuts the way back: calls are executed, and get no response. */
  setAnswersLost (areAnswersLost: boolean): void
  /** While set, the worker refuses all starts as unhealthy. */
  setRefusing (isRefusing: boolean): void
  /** Another worker answers at the address from now on. */
  setReplaced (): void
  /** Executes the next `count` start requests `lateMs` later, and sends no response to them. By default a restart discards those that wait. */
  delayStarts (count: number, lateMs: number, surviveRestart?: boolean): void
  /**
   * Drops all runs and state, as a restart does; the worker continues with a clock that starts anew, and with a `bornAtMs` that is the present time or, if
   * `bornShiftMs` is given, differs from the previous one by it.
   */
  restart (bornShiftMs?: number): ListedWorker
  /** Drops all runs and state; calls get no response until `restart`. */
  crash (): void
  /** Polls get no response for `forMs` and are not executed; other calls are. */
  losePolls (forMs: number): void
  /** Suspends the progress of all runs. */
  setStalled (isStalled: boolean): void
  /** Sets the speed of all runs, as a share of the usual speed. */
  setSpeed (speed: number): void
  stop (): void
}

interface Run {
  readonly task: string
  readonly run: number
  readonly gang: string | undefined
  readonly workMs: number
  readonly how: EndKind
  readonly isLasting: boolean
  readonly crashAfterMs: number
  workedMs: number
  readonly begunAtMs: number
  stopAtMs?: number
}

const tickMs = 10
/** After this time, in ms, a caller gives up a start or a stop, and a poll beyond its wait if the poll says nothing else. */
const runRequestTimeoutMs = 450
const renewalGraceMs = 500
/** A capacity that has shrunk counts after this time, in ms: until then, start requests sent by the larger one may arrive. */
const shrinkGraceMs = 500

/** Starts of a task after this many crashes under it are limited. Source: the platform's rules. */
const maxCrashes = 3
const maxStartsAfterCrashes = 2

/** Creates a worker of the pool that shares the given state. `onCrash` is called when a run crashes it; by then it has dropped all of its runs. */
export function createPoolWorker (pool: PoolState, listed: ListedWorker, onCrash: () => void = () => {}): PoolWorker {
  let info = listed
  let largerCapacity = { capacity: listed.capacity, untilMs: -Infinity }
  let isUnreachable = false
  let isDown = false
  let clockStartMs = 0
  let clockRate = 1
  let isStalled = false
  let speed = 1
  let delayedStarts = { left: 0, lateMs: 0, surviveRestart: false }
  let delayedRequests = { left: 0, lateMs: 0 }
  let drawRequestLateMs: (() => number | undefined) | undefined
  let areAnswersLost = false
  let isRefusing = false
  let isReplaced = false
  let runs = new Map<string, Run>()
  let ended: EndedRun[] = []
  let sequence = 0
  let epoch = 0
  let pollsLostUntilMs = -Infinity
  let leaseUntilMs = 0
  let leaseExpiredAtMs = -Infinity
  let endedAtMs = new Map<number, number>()
  let highestRuns = new Map<string, number>()
  let tickedAtMs = performance.now()
  let elapsedMs = tickMs
  const timer = setInterval(tick, tickMs)
  timer.unref()

  return {
    get info () { return info },
    connect,
    getClockMs,
    setClockRate: rate => { clockRate = rate },
    setCapacity,
    setUnreachable: isUnreachableNow => { isUnreachable = isUnreachableNow },
    delayStarts: (count, lateMs, surviveRestart = false) => { delayedStarts = { left: count, lateMs, surviveRestart } },
    delayRequests: (count, lateMs) => { delayedRequests = { left: count === 0 ? 0 : delayedRequests.left + count, lateMs } },
    setRequestLoss: drawLateMs => { drawRequestLateMs = drawLateMs },
    setAnswersLost: areAnswersLostNow => { areAnswersLost = areAnswersLostNow },
    setRefusing: isRefusingNow => { isRefusing = isRefusingNow },
    setReplaced: () => { isReplaced = true },
    restart,
    crash: () => {
      restart()
      isDown = true
    },
    losePolls: forMs => { pollsLostUntilMs = performance.now() + forMs },
    setStalled: isStalledNow => { isStalled = isStalledNow },
    setSpeed: speedNow => { speed = speedNow },
    stop: () => { clearInterval(timer) }
  }

  function getClockMs (): number {
    return Math.floor((performance.now() - clockStartMs) * clockRate)
  }

  function setCapacity (capacity: Resources): ListedWorker {
    largerCapacity = { capacity: info.capacity, untilMs: performance.now() + shrinkGraceMs }
    info = { ...info, capacity }
    return info
  }

  function restart (bornShiftMs?: number): ListedWorker {
    for (const run of runs.values()) {
      recordWork(run, 'lost')
      removeFromPool(run)
    }
    runs = new Map()
    for (const row of ended) forgetRetained(row)
    ended = []
    sequence = 0
    epoch = 0
    leaseUntilMs = 0
    leaseExpiredAtMs = -Infinity
    endedAtMs = new Map()
    highestRuns = new Map()
    isDown = false
    clockStartMs = performance.now()
    info = { ...info, bornAtMs: bornShiftMs === undefined ? Math.max(info.bornAtMs + 1, Date.now()) : info.bornAtMs + bornShiftMs }
    return info
  }

  function tick (): void {
    const nowMs = getClockMs()
    if (pool.isRealTime === true) elapsedMs = performance.now() - tickedAtMs
    tickedAtMs = performance.now()
    if (nowMs > leaseUntilMs) leaseExpiredAtMs = nowMs
    for (const run of [...runs.values()]) {
      const gang = run.gang === undefined ? undefined : pool.gangs.get(run.gang)
      if (nowMs - run.begunAtMs >= run.crashAfterMs) {
        crashByRun(run)
        return
      }
      if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) endRun(run, EndKind.Stopped)
      else if (nowMs > leaseUntilMs) endRun(run, EndKind.LeaseExpired)
      else if (gang?.isOver === true) endRun(run, run.workedMs >= run.workMs ? run.how : EndKind.GangBroken)
      else if (gang !== undefined && gang.startedAtMs === undefined && nowMs - run.begunAtMs > pool.gangStartTimeoutMs) endRun(run, EndKind.GangIncomplete)
      else advance(run, gang === undefined || gang.startedAtMs !== undefined)
    }
  }

  function crashByRun (cause: Run): void {
    pool.crashes.set(cause.task, (pool.crashes.get(cause.task) ?? 0) + 1)
    pool.lastCrashMs = performance.now()
    restart()
    onCrash()
  }

  function advance (run: Run, canProgress: boolean): void {
    if (!canProgress || isStalled) return
    const gang = run.gang === undefined ? undefined : pool.gangs.get(run.gang)
    run.workedMs += elapsedMs * (gang === undefined ? speed : Math.min(...gang.getSpeeds.map(getSpeed => getSpeed())))
    if (run.workedMs >= run.workMs && !run.isLasting) endRun(run, run.how)
  }

  function endRun (run: Run, how: EndKind): void {
    if (how === EndKind.GangIncomplete) pool.incompleteGangEnds.push(`${run.task} run ${run.run}`)
    if (how === EndKind.Failed) recordFailure(run)
    recordWork(run, how)
    endedAtMs.set(sequence + 1, getClockMs())
    sequence++
    ended.push({ sequence, task: run.task, run: run.run, how, checkpoint: '' })
    if (how === EndKind.Done) pool.retainedDone.set(run.task, (pool.retainedDone.get(run.task) ?? new Set()).add(info.workerId))
    highestRuns.set(run.task, Math.max(highestRuns.get(run.task) ?? 0, run.run))
    runs.delete(run.task)
    removeFromPool(run)
    pool.onEnd?.({ task: run.task, run: run.run, how, workerId: info.workerId })
  }

  /** An end that is lost with the life of its worker, or acknowledged, is not known there any more. */
  function forgetRetained ({ task, how }: EndedRun): void {
    if (how === EndKind.Done) pool.retainedDone.get(task)?.delete(info.workerId)
  }

  function recordFailure ({ task, run, gang }: Run): void {
    const unit = gang === undefined ? task : getGangStep(task)
    pool.failedRuns.set(unit, (pool.failedRuns.get(unit) ?? new Set()).add(run))
  }

  /** Adds the work of a run; of a run that did not end as done, all is thrown away. */
  function recordWork (run: Run, how: EndKind | 'lost'): void {
    pool.lastEvents.set(run.task, `run ${run.run} ${how} on ${info.workerId} at ${Math.round(performance.now())} ms, ${Math.round(run.workedMs)} of ${run.workMs} ms worked`)
    pool.workedMs.set(run.task, (pool.workedMs.get(run.task) ?? 0) + run.workedMs)
    if (how !== EndKind.Done && how !== EndKind.GangBroken) pool.wastedMs.set(run.task, (pool.wastedMs.get(run.task) ?? 0) + run.workedMs)
  }

  function removeFromPool (run: Run): void {
    const locations = pool.running.get(run.task) ?? []
    pool.running.set(run.task, locations.filter(location => location.workerId !== info.workerId || location.run !== run.run))
    if (run.gang === undefined) return
    const gang = pool.gangs.get(run.gang)
    if (gang !== undefined) gang.isOver = true
  }

  function connect (): WorkerPort {
    return { start, stop, renewLease, pace: async () => { await checkReachable(info.bornAtMs) }, close: () => {} }
  }

  async function checkReachable (connectedBornAtMs: number): Promise<void> {
    await delay(1)
    if (isUnreachable || isDown) {
      await delay(20)
      throw createError(ErrorKind.AnswerLost, 'the worker is not reachable')
    }
    if (isReplaced) throw createError(ErrorKind.Conflict, 'another worker answers at the address')
    if (connectedBornAtMs !== info.bornAtMs) throw createError(ErrorKind.AnswerLost, 'the worker has restarted since the call arrived')
  }

  /** Executes a request now, or later if requests are delayed; throws if its answer does not reach the host. */
  async function execute<T> (request: () => T, timeoutMs: number, waitMs?: number): Promise<T> {
    if (delayedRequests.left > 0) {
      delayedRequests.left--
      executeLate(request, delayedRequests.lateMs)
      throw createError(ErrorKind.AnswerLost, 'the request got no response')
    }
    if (drawRequestLateMs !== undefined) {
      const lateMs = drawRequestLateMs()
      pool.onRequestDuringLoss?.({ workerId: info.workerId, isLost: lateMs !== undefined, ...(waitMs === undefined ? {} : { waitMs }) })
      if (lateMs !== undefined) {
        executeLate(request, lateMs)
        await delay(timeoutMs)
        throw createError(ErrorKind.AnswerLost, `no response within ${timeoutMs} ms`)
      }
    }
    const answer = request()
    if (!areAnswersLost) return answer
    await delay(20)
    throw createError(ErrorKind.AnswerLost, 'the response did not arrive')
  }

  function executeLate (request: () => unknown, lateMs: number): void {
    const { bornAtMs } = info
    setTimeout(() => { if (!isDown && info.bornAtMs === bornAtMs) request() }, lateMs)
  }

  async function start (startRequest: StartRequest): Promise<TimestampedResponse<StartResult>> {
    await checkReachable(info.bornAtMs)
    if (isRefusing) return { answer: StartResult.Unhealthy, clockMs: getClockMs() }
    const receivedAtMs = performance.now()
    if (delayedStarts.left > 0) {
      delayedStarts.left--
      const { bornAtMs } = info
      const { lateMs, surviveRestart } = delayedStarts
      setTimeout(() => { if (!isDown && (surviveRestart || info.bornAtMs === bornAtMs)) executeStart(startRequest, receivedAtMs) }, lateMs)
      throw createError(ErrorKind.AnswerLost, 'the start request got no response')
    }
    return await execute(() => ({ answer: executeStart(startRequest, receivedAtMs), clockMs: getClockMs() }), runRequestTimeoutMs)
  }

  function executeStart (startRequest: StartRequest, receivedAtMs: number): StartResult {
    const nowMs = getClockMs()
    if (startRequest.epoch < epoch) return StartResult.StaleEpoch
    epoch = startRequest.epoch
    if (startRequest.leaseUntilMs <= nowMs) return StartResult.LeaseExpired
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(startRequest.leaseUntilMs, nowMs + pool.maxLeaseMs))
    if (runs.get(startRequest.task)?.run === startRequest.run) return StartResult.Started
    if (startRequest.run <= (highestRuns.get(startRequest.task) ?? 0)) return StartResult.StaleRun
    pool.onStart?.({ task: startRequest.task, run: startRequest.run, workerId: info.workerId, receivedAtMs })
    beginRun(startRequest, nowMs)
    return StartResult.Started
  }

  function beginRun (startRequest: StartRequest, nowMs: number): void {
    checkInvariants(startRequest)
    const size = pool.getGangSize(startRequest.task)
    const { workMs, how, isLasting = false, crashAfterMs = Infinity } = pool.getRun(startRequest.task, startRequest.run)
    const gangName = size > 1 ? getGangName(startRequest.task, startRequest.run) : undefined
    runs.set(startRequest.task, { task: startRequest.task, run: startRequest.run, gang: gangName, workMs, how, isLasting, crashAfterMs, workedMs: 0, begunAtMs: nowMs })
    pool.running.set(startRequest.task, [...pool.running.get(startRequest.task) ?? [], { workerId: info.workerId, run: startRequest.run }])
    pool.lastEvents.set(startRequest.task, `run ${startRequest.run} started on ${info.workerId} at ${Math.round(performance.now())} ms`)
    pool.starts.set(startRequest.task, (pool.starts.get(startRequest.task) ?? 0) + 1)
    if (gangName === undefined) return
    const gang = pool.gangs.get(gangName) ?? { present: 0, isOver: false, getSpeeds: [] }
    gang.present++
    gang.getSpeeds.push(() => speed)
    if (gang.present === size) gang.startedAtMs = nowMs
    pool.gangs.set(gangName, gang)
  }

  /** Records each violation of the invariants that a scheduler must keep under all faults. */
  function checkInvariants (startRequest: StartRequest): void {
    const otherRuns = pool.running.get(startRequest.task) ?? []
    if (otherRuns.length > 0) pool.violations.push(`${startRequest.task} run ${startRequest.run} starts on ${info.workerId} while run ${otherRuns[0]?.run} is in progress on ${otherRuns[0]?.workerId}`)
    if ((pool.crashes.get(startRequest.task) ?? 0) >= maxCrashes) {
      const starts = (pool.startsAfterCrashes.get(startRequest.task) ?? 0) + 1
      pool.startsAfterCrashes.set(startRequest.task, starts)
      if (starts > maxStartsAfterCrashes) pool.violations.push(`${startRequest.task} starts ${starts} times after ${maxCrashes} workers have crashed under it`)
    }
    if (pool.acknowledgedDone.has(startRequest.task)) pool.violations.push(`${startRequest.task} run ${startRequest.run} starts after the end of a completed run was acknowledged`)
    const isShrinking = performance.now() < largerCapacity.untilMs
    const free = { ...isShrinking ? maxResources(info.capacity, largerCapacity.capacity) : info.capacity }
    for (const task of [...runs.keys(), startRequest.task]) {
      const request = pool.getRequest(task)
      free.cpuMilli -= request.cpuMilli
      free.memoryMb -= request.memoryMb
      free.accelerators -= request.accelerators
    }
    if (free.cpuMilli < 0 || free.memoryMb < 0 || free.accelerators < 0) pool.violations.push(`worker ${info.workerId} exceeds its capacity`)
  }

  async function stop (stopRequest: { readonly task: string, readonly run: number, readonly epoch: number }): Promise<void> {
    await checkReachable(info.bornAtMs)
    if (await execute(() => executeStop(stopRequest), runRequestTimeoutMs) === 'stale') throw createError(ErrorKind.StaleEpoch, 'a higher epoch has been seen')
  }

  function executeStop (stopRequest: { readonly task: string, readonly run: number, readonly epoch: number }): 'stopping' | 'stale' {
    if (stopRequest.epoch < epoch) return 'stale'
    epoch = stopRequest.epoch
    highestRuns.set(stopRequest.task, Math.max(highestRuns.get(stopRequest.task) ?? 0, stopRequest.run))
    const run = runs.get(stopRequest.task)
    if (run?.run === stopRequest.run) run.stopAtMs ??= getClockMs() + pool.stopDelayMs
    return 'stopping'
  }

  async function renewLease (renewal: LeaseRenewal): Promise<WorkerStatusReport> {
    const connectedBornAtMs = info.bornAtMs
    await checkReachable(connectedBornAtMs)
    if (performance.now() < pollsLostUntilMs) {
      await delay(20)
      throw createError(ErrorKind.AnswerLost, 'the poll got no response')
    }
    if (await execute(() => executeRenewal(renewal), renewal.waitMs + (renewal.answerTimeoutMs ?? renewalGraceMs), renewal.waitMs) === 'stale') throw createError(ErrorKind.StaleEpoch, 'a higher epoch has been seen')
    const endsAtMs = performance.now() + renewal.waitMs
    while (ended.length === 0 && performance.now() < endsAtMs && !isUnreachable) await delay(tickMs)
    await checkReachable(connectedBornAtMs)
    const running = [...runs.values()].map((run): RunningRun => ({ task: run.task, run: run.run, checkpoint: '', progressPercent: Math.min(100, Math.floor(100 * run.workedMs / run.workMs)) }))
    return { clockMs: getClockMs(), bornAtMs: info.bornAtMs, running, ended: [...ended] }
  }

  function executeRenewal (renewal: LeaseRenewal): 'renewed' | 'stale' {
    if (renewal.epoch < epoch) return 'stale'
    epoch = renewal.epoch
    const nowMs = getClockMs()
    if (renewal.leaseUntilMs !== undefined) leaseUntilMs = Math.max(leaseUntilMs, Math.min(renewal.leaseUntilMs, nowMs + pool.maxLeaseMs))
    // An end counts only if the lease did not expire between it and its acknowledgement: otherwise the scheduler treats the run as abandoned.
    for (const row of ended) {
      const isAcknowledgedDone = row.sequence <= renewal.acknowledgedSequence && row.how === EndKind.Done
      if (isAcknowledgedDone && (endedAtMs.get(row.sequence) ?? 0) > leaseExpiredAtMs) pool.acknowledgedDone.add(row.task)
    }
    for (const row of ended) if (row.sequence <= renewal.acknowledgedSequence) forgetRetained(row)
    ended = ended.filter(row => row.sequence > renewal.acknowledgedSequence)
    return 'renewed'
  }
}

function maxResources (left: Resources, right: Resources): Resources {
  return {
    cpuMilli: Math.max(left.cpuMilli, right.cpuMilli),
    memoryMb: Math.max(left.memoryMb, right.memoryMb),
    accelerators: Math.max(left.accelerators, right.accelerators)
  }
}

function getGangName (task: string, run: number): string {
  return `${getGangStep(task)}#${run}`
}

function getGangStep (task: string): string {
  const name = tryParseTaskName(task)
  return name === undefined ? task : `${name.jobId}.${name.occurrence}.${name.step}`
}

/** Tells whether the stand-in knows why a job is shown as failed: one of its tasks, or gangs, has failed `attempts` times, or has crashed a worker. */
export function hasCauseToFail (pool: PoolState, jobId: string, attempts: number): boolean {
  const isOfJob = (name: string): boolean => name.startsWith(`${jobId}.`)
  return [...pool.failedRuns].some(([unit, runs]) => isOfJob(unit) && runs.size >= attempts) || [...pool.crashes.keys()].some(isOfJob)
}
