/** The interface of the platform's workers. */
import type { JobSpec } from './jobTypes.js'

/** A worker as listed by the platform's host list. */
export interface WorkerInfo {
  readonly workerId: string
  readonly address: string
  readonly domain: string
  readonly rack: string
  readonly processors: number
  readonly memoryBytes: number
  readonly accelerators: number
  readonly isLeaving: boolean
}

/** The states of a task on its worker. */
export enum TaskState {
  /** Admitted but throttled to zero; ends when its lease expires. */
  Held = 'held',
  /** Held, and informed that every member of the gang is held. */
  Committed = 'committed',
  Running = 'running',
  Ended = 'ended'
}

/** Why a task ended. */
export enum TaskEndReason {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Stopped = 'stopped',
  Checkpointed = 'checkpointed',
  LeaseExpired = 'lease-lapsed'
}

/** A task: one member of one attempt of a job. Contains the job, so that a later scheduler can recover it. */
export interface TaskDescriptor {
  readonly taskId: string
  readonly attempt: number
  readonly member: number
  readonly accelerators: readonly number[]
  /** The guarantee that the job uses; undefined if it runs on borrowed accelerators. */
  readonly guaranteeId?: string
  readonly progressMs: number
  readonly attainedMs: number
  readonly spec: JobSpec
}

/** Returns the id of a task: one member of one attempt. */
export function getTaskId (jobId: string, attempt: number, member: number): string {
  return `${jobId}.${attempt}.${member}`
}

/** Returns the parts of a task id. */
export function parseTaskId (taskId: string): { readonly jobId: string, readonly attempt: number, readonly member: number } {
  const parts = taskId.split('.')
  const [attempt = NaN, member = NaN] = parts.slice(-2).map(Number)
  return { jobId: parts.slice(0, -2).join('.'), attempt, member }
}

/** A worker's report of one task. Reported run times lag behind. */
export interface TaskReport {
  readonly taskId: string
  readonly sequence: number
  readonly state: TaskState
  readonly end?: TaskEndReason
  /** Whether the task has been released, and so may have had side effects. */
  readonly wasReleased: boolean
  /** Run time since the task was released, in ms. */
  readonly ranMs: number
  /** Run time that is saved in checkpoints, in ms. */
  readonly progressMs: number
  /** Present in a full report. */
  readonly descriptor?: TaskDescriptor
}

/** The response to a renewal: the tasks that changed after `seenSequence`, or all tasks. */
export interface WorkerReport {
  /** Changes when the worker restarts; a restarted worker has no tasks. */
  readonly instanceId: string
  readonly sequence: number
  /** The worker's clock, in ms. */
  readonly clockMs: number
  readonly tasks: readonly TaskReport[]
}

/** A renewal of the leases of all running tasks of the domain on the worker. */
export interface RenewRequest {
  readonly domain: string
  readonly epoch: number
  /**
   * When the leases expire, by the worker's clock in ms, or 0 to leave them unchanged. The time is absolute so that
   * a renewal delayed in the network cannot extend a lease that its sender already considers expired.
   */
  readonly leaseUntilMs: number
  /** Changes up to this sequence number are known to the scheduler and are omitted. */
  readonly seenSequence: number
  /** The ends of tasks up to this sequence number are recorded; the worker can discard these tasks. */
  readonly ackedSequence: number
  readonly isFull: boolean
}

/** The methods of a worker. It rejects an epoch lower than the highest it has seen, with `stale-epoch`. */
export interface WorkerPort {
  prepare (epoch: number, task: TaskDescriptor, leaseMs: number): Promise<void>
  commit (epoch: number, taskIds: readonly string[]): Promise<void>
  release (epoch: number, taskIds: readonly string[]): Promise<void>
  stop (epoch: number, taskIds: readonly string[]): Promise<readonly TaskReport[]>
  /** Asks the tasks to save a checkpoint and end; resolves when they have ended. A task can ignore this. */
  checkpoint (epoch: number, taskIds: readonly string[]): Promise<readonly TaskReport[]>
  renew (request: RenewRequest): Promise<WorkerReport>
}

/** The RPC method names of a worker, for servers and clients. */
export enum WorkerMethod {
  Prepare = 'worker.prepare',
  Commit = 'worker.commit',
  Release = 'worker.release',
  Stop = 'worker.stop',
  Checkpoint = 'worker.checkpoint',
  Renew = 'worker.renew'
}
