/** A stand-in of one worker of a pool: leases, epochs, gangs, checkpoints, ends that are kept until they are seen. */
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { EndKind, tryParseTaskName } from '../jobs/jobModel.js'
import type { Resources } from '../jobs/jobModel.js'
import { StartResult } from '../workers/workerPort.js'
import type { TimestampedResponse, EndedRun, LeaseRenewal, ListedWorker, RunningRun, StartRequest, WorkerStatusReport, WorkerPort } from '../workers/workerPort.js'

/** What all workers of a stand-in pool share: the tasks' behaviour, gangs, and the checks that callers rely on. */
export interface PoolWorld {
  /** How long a run of the task takes, in ms, and how it ends. */
  readonly getRun: (task: string, run: number) => { readonly workMs: number, readonly how: EndKind }
  /** The members of the task's gang; 1 where it has none. */
  readonly getGangSize: (task: string) => number
  readonly getRequest: (task: string) => Resources
  readonly maxLeaseMs: number
  readonly gangMs: number
  readonly stopMs: number
  /** Every run that has begun and not ended, on any worker. */
  readonly running: Map<string, { readonly workerId: string, readonly run: number }[]>
  /** Broken promises, in words. */
  readonly violations: string[]
  readonly gangs: Map<string, { present: number, startedAtMs?: number, isOver: boolean }>
  /** Members of gangs that waited for the others in vain; a broken promise where nothing is disturbed. */
  readonly aloneEnds: string[]
  /** Tasks that have ended as done and whose end has been taken note of. */
  readonly doneSeen: Set<string>
  readonly starts: Map<string, number>
}

/** The stand-in and its faults. */
export interface PoolWorker {
  readonly info: ListedWorker
  connect (): WorkerPort
  /** The worker does not answer, and runs on. */
  setCut (isCut: boolean): void
  /** The next so many orders to start get no answer and are carried out `lateMs` later. */
  delayStarts (count: number, lateMs: number): void
  /** Everything is gone; the worker lives again with another time of birth. */
  restart (): ListedWorker
  /** Runs make no progress while it is set. */
  setStalled (isStalled: boolean): void
  stop (): void
}

interface Run {
  readonly task: string
  readonly run: number
  readonly gang: string | undefined
  readonly workMs: number
  readonly how: EndKind
  workedMs: number
  readonly arrivedAtMs: number
  stopAtMs?: number
}

const tickMs = 10

/** Creates a worker of the world. */
export function createPoolWorker (world: PoolWorld, listed: ListedWorker): PoolWorker {
  let info = listed
  let isCut = false
  let isStalled = false
  let late = { left: 0, lateMs: 0 }
  let runs = new Map<string, Run>()
  let ended: EndedRun[] = []
  let sequence = 0
  let epoch = 0
  let leaseUntilMs = 0
  let lapsedAtMs = -Infinity
  const endedAtMs = new Map<number, number>()
  let highest = new Map<string, number>()
  const timer = setInterval(tick, tickMs)
  timer.unref()

  return {
    get info () { return info },
    connect,
    setCut: isCutNow => { isCut = isCutNow },
    delayStarts: (count, lateMs) => { late = { left: count, lateMs } },
    restart,
    setStalled: isStalledNow => { isStalled = isStalledNow },
    stop: () => { clearInterval(timer) }
  }

  function getClockMs (): number {
    return Math.floor(performance.now())
  }

  function restart (): ListedWorker {
    for (const run of runs.values()) noteGone(run)
    runs = new Map()
    ended = []
    sequence = 0
    epoch = 0
    leaseUntilMs = 0
    highest = new Map()
    info = { ...info, bornAtMs: info.bornAtMs + 1 }
    return info
  }

  function tick (): void {
    const nowMs = getClockMs()
    if (nowMs > leaseUntilMs) lapsedAtMs = nowMs
    for (const run of [...runs.values()]) {
      const gang = run.gang === undefined ? undefined : world.gangs.get(run.gang)
      if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) end(run, EndKind.Stopped)
      else if (nowMs > leaseUntilMs) end(run, EndKind.LeaseExpired)
      else if (gang?.isOver === true) end(run, run.workedMs >= run.workMs ? run.how : EndKind.GangBroken)
      else if (gang !== undefined && gang.startedAtMs === undefined && nowMs - run.arrivedAtMs > world.gangMs) end(run, EndKind.GangIncomplete)
      else work(run, gang === undefined || gang.startedAtMs !== undefined)
    }
  }

  function work (run: Run, isAtWork: boolean): void {
    if (!isAtWork || isStalled) return
    run.workedMs += tickMs
    if (run.workedMs >= run.workMs) end(run, run.how)
  }

  function end (run: Run, how: EndKind): void {
    if (how === EndKind.GangIncomplete) world.aloneEnds.push(`${run.task} run ${run.run}`)
    endedAtMs.set(sequence + 1, getClockMs())
    sequence++
    ended.push({ sequence, task: run.task, run: run.run, how, checkpoint: '' })
    highest.set(run.task, Math.max(highest.get(run.task) ?? 0, run.run))
    runs.delete(run.task)
    noteGone(run)
  }

  function noteGone (run: Run): void {
    const places = world.running.get(run.task) ?? []
    world.running.set(run.task, places.filter(place => place.workerId !== info.workerId || place.run !== run.run))
    if (run.gang === undefined) return
    const gang = world.gangs.get(run.gang)
    if (gang !== undefined) gang.isOver = true
  }

  function connect (): WorkerPort {
    const born = info.bornAtMs
    return { start, stop, renewLease: hold, pace: async () => { await enter(born) }, close: () => {} }
  }

  async function enter (born: number): Promise<void> {
    await delay(1)
    if (isCut) {
      await delay(20)
      throw createError(ErrorKind.AnswerLost, 'the worker is cut off')
    }
    if (born !== info.bornAtMs) throw createError(ErrorKind.Conflict, 'another incarnation')
  }

  async function start (order: StartRequest): Promise<TimestampedResponse<StartResult>> {
    await enter(info.bornAtMs)
    if (late.left > 0) {
      late.left--
      const { bornAtMs } = info
      // An order that waits in the worker is gone when the worker restarts.
      setTimeout(() => { if (info.bornAtMs === bornAtMs) carryOut(order) }, late.lateMs)
      throw createError(ErrorKind.AnswerLost, 'no answer')
    }
    return { answer: carryOut(order), clockMs: getClockMs() }
  }

  function carryOut (order: StartRequest): StartResult {
    const nowMs = getClockMs()
    if (order.epoch < epoch) return StartResult.StaleEpoch
    epoch = order.epoch
    if (order.leaseUntilMs <= nowMs) return StartResult.LeaseExpired
    leaseUntilMs = Math.max(leaseUntilMs, Math.min(order.leaseUntilMs, nowMs + world.maxLeaseMs))
    if (runs.get(order.task)?.run === order.run) return StartResult.Started
    if (order.run <= (highest.get(order.task) ?? 0)) return StartResult.StaleRun
    begin(order, nowMs)
    return StartResult.Started
  }

  function begin (order: StartRequest, nowMs: number): void {
    check(order)
    const size = world.getGangSize(order.task)
    const { workMs, how } = world.getRun(order.task, order.run)
    const gangName = size > 1 ? getGangName(order.task, order.run) : undefined
    runs.set(order.task, { task: order.task, run: order.run, gang: gangName, workMs, how, workedMs: 0, arrivedAtMs: nowMs })
    world.running.set(order.task, [...world.running.get(order.task) ?? [], { workerId: info.workerId, run: order.run }])
    world.starts.set(order.task, (world.starts.get(order.task) ?? 0) + 1)
    if (gangName === undefined) return
    const gang = world.gangs.get(gangName) ?? { present: 0, isOver: false }
    gang.present++
    if (gang.present === size) gang.startedAtMs = nowMs
    world.gangs.set(gangName, gang)
  }

  /** What no scheduler may do, whatever fails. */
  function check (order: StartRequest): void {
    const elsewhere = world.running.get(order.task) ?? []
    if (elsewhere.length > 0) world.violations.push(`${order.task} run ${order.run} starts on ${info.workerId} while run ${elsewhere[0]?.run} is on ${elsewhere[0]?.workerId}`)
    if (world.doneSeen.has(order.task)) world.violations.push(`${order.task} run ${order.run} starts after a run was done`)
    const room = { ...info.capacity }
    for (const task of [...runs.keys(), order.task]) {
      const request = world.getRequest(task)
      room.cpuMilli -= request.cpuMilli
      room.memoryMb -= request.memoryMb
      room.accelerators -= request.accelerators
    }
    if (room.cpuMilli < 0 || room.memoryMb < 0 || room.accelerators < 0) world.violations.push(`${info.workerId} is over its capacity`)
  }

  async function stop (order: { readonly task: string, readonly run: number, readonly epoch: number }): Promise<void> {
    await enter(info.bornAtMs)
    if (order.epoch < epoch) throw createError(ErrorKind.StaleEpoch, 'a higher epoch has been seen')
    epoch = order.epoch
    highest.set(order.task, Math.max(highest.get(order.task) ?? 0, order.run))
    const run = runs.get(order.task)
    if (run?.run === order.run) run.stopAtMs ??= getClockMs() + world.stopMs
  }

  async function hold (order: LeaseRenewal): Promise<WorkerStatusReport> {
    const born = info.bornAtMs
    await enter(born)
    if (order.epoch < epoch) throw createError(ErrorKind.StaleEpoch, 'a higher epoch has been seen')
    epoch = order.epoch
    const nowMs = getClockMs()
    if (order.leaseUntilMs !== undefined) leaseUntilMs = Math.max(leaseUntilMs, Math.min(order.leaseUntilMs, nowMs + world.maxLeaseMs))
    // An end does not stand when the lease has lapsed before it is taken note of: the run counts as given up.
    for (const row of ended) {
      const isNoted = row.sequence <= order.acknowledgedSequence && row.how === EndKind.Done
      if (isNoted && (endedAtMs.get(row.sequence) ?? 0) > lapsedAtMs) world.doneSeen.add(row.task)
    }
    ended = ended.filter(row => row.sequence > order.acknowledgedSequence)
    const endsAtMs = nowMs + order.waitMs
    while (ended.length === 0 && getClockMs() < endsAtMs && !isCut) await delay(tickMs)
    await enter(born)
    const running = [...runs.values()].map((run): RunningRun => ({ task: run.task, run: run.run, checkpoint: '', progressPercent: Math.floor(100 * run.workedMs / run.workMs) }))
    return { clockMs: getClockMs(), bornAtMs: info.bornAtMs, running, ended: [...ended] }
  }
}

function getGangName (task: string, run: number): string {
  const name = tryParseTaskName(task)
  return name === undefined ? task : `${name.jobId}.${name.occurrence}.${name.step}#${run}`
}
