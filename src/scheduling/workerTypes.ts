/** The platform's workers, as this product uses them. */
import type { JobSpec } from './jobTypes.js'

/** A worker as the platform's host list describes it. */
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
  /** Admitted, throttled to zero; ends with its lease. */
  Held = 'held',
  /** Held, and told that every member is held. */
  Committed = 'committed',
  Running = 'running',
  Ended = 'ended'
}

/** Why a task ended. */
export enum TaskEnd {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Stopped = 'stopped',
  Checkpointed = 'checkpointed',
  LeaseLapsed = 'lease-lapsed'
}

/** A task: one member of one attempt of a job. It carries the job, for a later scheduler. */
export interface TaskDescriptor {
  readonly taskId: string
  readonly attempt: number
  readonly member: number
  readonly accelerators: readonly number[]
  /** The guarantee that the job runs under; undefined for borrowed accelerators. */
  readonly guaranteeId?: string
  readonly progressMs: number
  readonly attainedMs: number
  readonly spec: JobSpec
}

/** Names one task: one member of one attempt. */
export function getTaskId (jobId: string, attempt: number, member: number): string {
  return `${jobId}.${attempt}.${member}`
}

/** A worker's report of one task. Usage lags behind. */
export interface TaskReport {
  readonly taskId: string
  readonly sequence: number
  readonly state: TaskState
  readonly end?: TaskEnd
  /** The task has been released, so it may have had effects. */
  readonly wasReleased: boolean
  /** Run time since the release of the task, in ms. */
  readonly ranMs: number
  /** Run time that checkpoints have saved, in ms. */
  readonly progressMs: number
  /** Present in a full report. */
  readonly descriptor?: TaskDescriptor
}

/** What a renewal returns: the tasks that changed since the acknowledged sequence number. */
export interface WorkerReport {
  /** Changes when the worker restarts; a restarted worker has no tasks. */
  readonly instanceId: string
  readonly sequence: number
  /** The worker's clock, in ms. */
  readonly clockMs: number
  readonly tasks: readonly TaskReport[]
}

/** What a renewal says. It renews the leases of all running tasks of the domain on the worker. */
export interface RenewRequest {
  readonly domain: string
  readonly epoch: number
  /**
   * When the leases end, by the worker's own clock in ms, or 0 to leave them. An absolute time keeps a renewal
   * that was delayed on its way from prolonging a lease that its sender has given up.
   */
  readonly leaseUntilMs: number
  /** Changes up to this number are known to the scheduler and are left out. */
  readonly seenSequence: number
  /** Ended tasks up to this number are recorded, and can be forgotten by the worker. */
  readonly ackedSequence: number
  readonly isFull: boolean
}

/** The calls of one worker. A worker refuses an epoch lower than it has seen, with `stale-epoch`. */
export interface WorkerPort {
  prepare (epoch: number, task: TaskDescriptor, leaseMs: number): Promise<void>
  commit (epoch: number, taskIds: readonly string[]): Promise<void>
  release (epoch: number, taskIds: readonly string[]): Promise<void>
  stop (epoch: number, taskIds: readonly string[]): Promise<readonly TaskReport[]>
  /** Asks the tasks to save their progress and end; resolves when they have. A task can ignore this. */
  checkpoint (epoch: number, taskIds: readonly string[]): Promise<readonly TaskReport[]>
  renew (request: RenewRequest): Promise<WorkerReport>
}

/** Every method of a worker, for servers and clients alike. */
export enum WorkerMethod {
  Prepare = 'worker.prepare',
  Commit = 'worker.commit',
  Release = 'worker.release',
  Stop = 'worker.stop',
  Checkpoint = 'worker.checkpoint',
  Renew = 'worker.renew'
}
