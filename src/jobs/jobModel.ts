/** The model of a job: a graph of steps, each with a number of tasks, optionally recurring. */

/** Resources that one task takes on a worker. */
export interface Resources {
  readonly cpuMilli: number
  readonly memoryMb: number
  readonly accelerators: number
}

/** One step of a job. */
export interface StepSpec {
  readonly count: number
  readonly request: Resources
  /** The caller's rough estimate of a task's run time. */
  readonly estimateMs: number
  /** Indices of the steps whose tasks must all have succeeded first. */
  readonly after: readonly number[]
  /** The tasks make progress only while all of them run (gang scheduling). */
  readonly isGang: boolean
  /** The tasks run several times slower if they are spread over more than one rack. */
  readonly isSameRack: boolean
  readonly requiredLabel?: string
  /** The rack that holds the data; the tasks run several times slower elsewhere. */
  readonly dataRack?: string
  /** Maximum number of tasks of the step (within one occurrence) on one worker. */
  readonly spreadLimit?: number
  /** Duplicate attempts of a task may run in parallel. */
  readonly isSpeculative: boolean
  readonly hasCheckpoints: boolean
  /** The tasks run until the job is cancelled. */
  readonly isService: boolean
  readonly image?: string
  /** Upper bound for the tail latency of a service's tasks. */
  readonly tailGoalMs?: number
  /** Best-effort step: uses the processor time that other tasks leave idle. */
  readonly isFill: boolean
  /** Maximum number of tasks that the scheduler may make unavailable at the same time. */
  readonly allowedUnavailable?: number
}

/** Recurrence of a job: the steps run `times` times, occurrence K due at `firstAtMs` + K x `intervalMs` (Unix time). */
export interface Recurrence {
  readonly times: number
  readonly firstAtMs: number
  readonly intervalMs: number
}

/** An accepted job. */
export interface JobSpec {
  readonly jobId: string
  /** The queue that the job was submitted to. */
  readonly queue: string
  /** The pool of workers to which the queue sent it at acceptance. The queue's current setting takes precedence (`TrackedJob.service`). */
  readonly service: string
  /** The version of the configuration by which it was accepted; earlier versions of the product did not store it. */
  readonly configurationVersion?: number
  readonly organisation: string
  /** Passed to the workers: what to run. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly recurrence?: Recurrence
  /** Number of failed runs of one task after which the job fails, as configured at acceptance. The queue's current setting takes precedence. */
  readonly attemptLimit: number
  /** Time of acceptance, by the accepting host's clock. */
  readonly acceptedAtMs: number
}

/** The states of a job. */
export enum JobState {
  Queued = 'queued',
  Active = 'active',
  Complete = 'complete',
  Failed = 'failed',
  Cancelled = 'cancelled'
}

/** How a run of a task ended on its worker. */
export enum EndKind {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  LeaseExpired = 'lapsed',
  /** Another member of the gang ended. */
  GangBroken = 'broken',
  /** The other members of the gang did not start. */
  GangIncomplete = 'alone'
}

/** Tells whether the state is final. */
export function isTerminal (state: JobState): boolean {
  return state === JobState.Complete || state === JobState.Failed || state === JobState.Cancelled
}

/** One task of one occurrence of a job. */
export interface TaskName {
  readonly jobId: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

/** Formats a task's name as it is sent to workers. */
export function formatTaskName (name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`
}

/** Parses a task's name; undefined if the text is not a task name. */
export function tryParseTaskName (text: string): TaskName | undefined {
  const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(text)
  if (match === null) return undefined
  return { jobId: match[1] as string, occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}
