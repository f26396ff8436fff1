/** Stand-in for a worker of the platform: holds leases and simulates each task with a timer. */
import { randomUUID } from 'node:crypto'
import { z } from 'zod'
import { listenHttp } from '../common/http.js'
import type { ListenAddress } from '../common/http.js'
import { createRpcHandler, defineMethod } from '../common/rpcServer.js'
import { createSignal, delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { TaskEndReason, TaskState, WorkerMethod } from '../scheduling/workerTypes.js'
import type { RenewRequest, TaskDescriptor, TaskReport, WorkerPort, WorkerReport } from '../scheduling/workerTypes.js'
import { createFaultControl } from './faults.js'
import type { FaultControl, Faults } from './faults.js'

/** An in-memory worker. */
export interface MemoryWorker extends WorkerPort {
  /** Number of times each gang member was started here, by job id and member; tests check it for repeated starts. */
  readonly releases: ReadonlyMap<string, number>
  getTasks (): readonly TaskReport[]
  /** Drops all tasks and changes the instance id, as a restart of the worker does. */
  restart (): void
  setFailEverything (isFailing: boolean): void
}

/** Behaviour of the stand-in. */
export interface MemoryWorkerOptions {
  readonly accelerators: number
  readonly checkpointMs?: number
  readonly reportLagMs?: number
  readonly failEverything?: boolean
}

interface Task {
  readonly descriptor: TaskDescriptor
  state: TaskState
  end: TaskEndReason | undefined
  sequence: number
  changedAtMs: number
  startedAtMs: number
  ranMs: number
  progressMs: number
  expiresAtMs: number
  timer: NodeJS.Timeout | undefined
}

const defaultCheckpointMs = 200
const leaseCheckMs = 250

/** Creates an in-memory worker. */
export function createMemoryWorker (options: MemoryWorkerOptions): MemoryWorker {
  const tasks = new Map<string, Task>()
  const releases = new Map<string, number>()
  const epochs = new Map<string, number>()
  const changed = createSignal()
  let instanceId = randomUUID()
  let sequence = 0
  let failEverything = options.failEverything ?? false
  let leaseTimer: NodeJS.Timeout | undefined

  return {
    releases,
    prepare,
    commit,
    release,
    stop,
    checkpoint,
    renew,
    getTasks: () => [...tasks.values()].map(task => toReport(task, true)),
    restart,
    setFailEverything: isFailing => { failEverything = isFailing }
  }

  async function prepare (epoch: number, descriptor: TaskDescriptor, leaseMs: number): Promise<void> {
    acceptEpoch(descriptor.spec.domain, epoch)
    expireLeases()
    const known = tasks.get(descriptor.taskId)
    if (known !== undefined) {
      if (known.state === TaskState.Ended) throw createError(ErrorKind.Conflict, `task ${descriptor.taskId} has already ended`)
      return
    }
    const unavailable = descriptor.accelerators.find(isAcceleratorUnavailable)
    if (unavailable !== undefined) throw createError(ErrorKind.Conflict, `accelerator ${unavailable} is in use or does not exist`)
    const task: Task = {
      descriptor,
      state: TaskState.Held,
      end: undefined,
      sequence: 0,
      changedAtMs: 0,
      startedAtMs: 0,
      ranMs: 0,
      progressMs: descriptor.progressMs,
      expiresAtMs: Date.now() + leaseMs,
      timer: undefined
    }
    tasks.set(descriptor.taskId, task)
    recordChange(task)
    startLeaseTimer()
  }

  async function commit (epoch: number, taskIds: readonly string[]): Promise<void> {
    for (const task of getLiveTasks(epoch, taskIds)) {
      if (task.state !== TaskState.Held) continue
      task.state = TaskState.Committed
      recordChange(task)
    }
  }

  async function release (epoch: number, taskIds: readonly string[]): Promise<void> {
    for (const task of getLiveTasks(epoch, taskIds)) {
      if (task.state === TaskState.Running) continue
      startTask(task)
    }
  }

  async function stop (epoch: number, taskIds: readonly string[]): Promise<readonly TaskReport[]> {
    const found = findTasks(epoch, taskIds)
    for (const task of found) endTask(task, TaskEndReason.Stopped)
    return found.map(task => toReport(task, false))
  }

  async function checkpoint (epoch: number, taskIds: readonly string[]): Promise<readonly TaskReport[]> {
    const found = findTasks(epoch, taskIds)
    await Promise.all(found.map(checkpointTask))
    return found.map(task => toReport(task, false))
  }

  async function checkpointTask (task: Task): Promise<void> {
    const ignoresCheckpoint = task.descriptor.spec.command.includes('ignore-checkpoint')
    if (!ignoresCheckpoint) {
      await delay(options.checkpointMs ?? defaultCheckpointMs)
      if (task.state === TaskState.Running) task.progressMs += Date.now() - task.startedAtMs
      endTask(task, TaskEndReason.Checkpointed)
      return
    }
    while (task.state !== TaskState.Ended) await changed.wait()
  }

  async function renew (request: RenewRequest): Promise<WorkerReport> {
    acceptEpoch(request.domain, request.epoch)
    expireLeases()
    discardAcknowledged(request.ackedSequence)
    const visibleBeforeMs = Date.now() - (options.reportLagMs ?? 0)
    const reports: TaskReport[] = []
    let visibleSequence = Math.min(request.seenSequence, sequence)
    for (const task of tasks.values()) {
      if (task.state === TaskState.Running) task.expiresAtMs = Math.max(task.expiresAtMs, request.leaseUntilMs)
      if (!request.isFull && (task.sequence <= request.seenSequence || task.changedAtMs > visibleBeforeMs)) continue
      visibleSequence = Math.max(visibleSequence, task.sequence)
      reports.push(toReport(task, request.isFull))
    }
    return { instanceId, sequence: visibleSequence, clockMs: Date.now(), tasks: reports }
  }

  function restart (): void {
    for (const task of tasks.values()) clearTimeout(task.timer)
    tasks.clear()
    instanceId = randomUUID()
    sequence = 0
    changed.notify()
  }

  function acceptEpoch (domain: string, epoch: number): void {
    const seen = epochs.get(domain) ?? 0
    if (epoch < seen) throw createError(ErrorKind.StaleEpoch, `epoch ${epoch} is lower than epoch ${seen}, seen earlier`, { seenEpoch: seen })
    epochs.set(domain, epoch)
  }

  function findTasks (epoch: number, taskIds: readonly string[]): Task[] {
    expireLeases()
    const found = taskIds.map(taskId => tasks.get(taskId)).filter(task => task !== undefined)
    for (const task of found) acceptEpoch(task.descriptor.spec.domain, epoch)
    return found
  }

  function getLiveTasks (epoch: number, taskIds: readonly string[]): Task[] {
    const found = findTasks(epoch, taskIds)
    const areAllLive = found.length === taskIds.length && found.every(task => task.state !== TaskState.Ended)
    if (!areAllLive) throw createError(ErrorKind.Conflict, 'a task is not known to this worker or has ended')
    return found
  }

  function isAcceleratorUnavailable (accelerator: number): boolean {
    if (accelerator >= options.accelerators) return true
    return [...tasks.values()].some(task => task.state !== TaskState.Ended && task.descriptor.accelerators.includes(accelerator))
  }

  function startTask (task: Task): void {
    const { jobId } = task.descriptor.spec
    const memberKey = `${jobId}.${task.descriptor.member}`
    releases.set(memberKey, (releases.get(memberKey) ?? 0) + 1)
    task.state = TaskState.Running
    task.startedAtMs = Date.now()
    const { runMs, isFailing } = parseCommand(task.descriptor.spec.command)
    const end = isFailing || failEverything ? TaskEndReason.Failed : TaskEndReason.Succeeded
    const remainingMs = failEverything ? 0 : Math.max(0, runMs - task.descriptor.progressMs)
    task.timer = setTimeout(() => endTask(task, end), remainingMs)
    recordChange(task)
  }

  function endTask (task: Task, end: TaskEndReason): void {
    if (task.state === TaskState.Ended) return
    if (task.state === TaskState.Running) task.ranMs = Date.now() - task.startedAtMs
    clearTimeout(task.timer)
    task.state = TaskState.Ended
    task.end = end
    recordChange(task)
  }

  function expireLeases (): void {
    const nowMs = Date.now()
    for (const task of tasks.values()) {
      if (task.state !== TaskState.Ended && task.expiresAtMs <= nowMs) endTask(task, TaskEndReason.LeaseExpired)
    }
  }

  function startLeaseTimer (): void {
    leaseTimer ??= setInterval(() => {
      expireLeases()
      const isIdle = [...tasks.values()].every(task => task.state === TaskState.Ended)
      if (!isIdle) return
      clearInterval(leaseTimer)
      leaseTimer = undefined
    }, leaseCheckMs)
  }

  function discardAcknowledged (ackedSequence: number): void {
    for (const [taskId, task] of tasks) {
      if (task.state === TaskState.Ended && task.sequence <= ackedSequence) tasks.delete(taskId)
    }
  }

  function recordChange (task: Task): void {
    task.sequence = ++sequence
    task.changedAtMs = Date.now()
    changed.notify()
  }
}

function toReport (task: Task, isFull: boolean): TaskReport {
  const ranMs = task.state === TaskState.Running ? Date.now() - task.startedAtMs : task.ranMs
  const { descriptor, state, end, progressMs, sequence } = task
  const wasReleased = task.startedAtMs > 0
  return { taskId: descriptor.taskId, sequence, state, end, wasReleased, ranMs, progressMs, descriptor: isFull ? descriptor : undefined }
}

/** Parses `run MS` and `fail MS`; any other command runs for 1 s. */
function parseCommand (command: readonly string[]): { readonly runMs: number, readonly isFailing: boolean } {
  const runMs = Number(command[1])
  return { runMs: Number.isFinite(runMs) ? runMs : 1_000, isFailing: command[0] === 'fail' }
}

/** A stand-in for a worker, listening on TCP. */
export interface WorkerStandin {
  readonly address: string
  readonly worker: MemoryWorker
  readonly faults: FaultControl
  close (): Promise<void>
}

/** Starts the stand-in for a worker. */
export async function startWorkerStandin (listen: ListenAddress, options: MemoryWorkerOptions, faults: Partial<Faults> = {}): Promise<WorkerStandin> {
  const worker = createMemoryWorker({ ...options, failEverything: faults.failEverything })
  const control = createFaultControl(faults)
  const handler = createRpcHandler(createWorkerMethods(worker))
  const listener = await listenHttp(listen, control.wrap(async (request, response) => {
    worker.setFailEverything(control.get().failEverything)
    await handler(request, response)
  }))
  return {
    address: listener.address,
    worker,
    faults: control,
    close: async () => {
      worker.restart()
      await listener.destroy()
    }
  }
}

function createWorkerMethods (worker: MemoryWorker): Parameters<typeof createRpcHandler>[0] {
  const epoch = z.number().int()
  const taskIds = z.array(z.string())
  const batch = z.strictObject({ epoch, taskIds })
  const descriptor = z.custom<TaskDescriptor>(value => typeof value === 'object' && value !== null && 'taskId' in value && 'spec' in value)
  const renewSchema = z.strictObject({
    domain: z.string(),
    epoch,
    leaseUntilMs: z.number().min(0),
    seenSequence: z.number(),
    ackedSequence: z.number(),
    isFull: z.boolean()
  })
  return [
    defineMethod(WorkerMethod.Prepare, z.strictObject({ epoch, task: descriptor, leaseMs: z.number().positive() }), async params => {
      await worker.prepare(params.epoch, params.task, params.leaseMs)
      return true
    }),
    defineMethod(WorkerMethod.Commit, batch, async params => {
      await worker.commit(params.epoch, params.taskIds)
      return true
    }),
    defineMethod(WorkerMethod.Release, batch, async params => {
      await worker.release(params.epoch, params.taskIds)
      return true
    }),
    defineMethod(WorkerMethod.Stop, batch, params => worker.stop(params.epoch, params.taskIds)),
    defineMethod(WorkerMethod.Checkpoint, batch, params => worker.checkpoint(params.epoch, params.taskIds)),
    defineMethod(WorkerMethod.Renew, renewSchema, params => worker.renew(params))
  ]
}
