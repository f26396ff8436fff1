/** The model of a job: a graph of steps, each of so many tasks, perhaps repeated in time. */

/** What one task takes of a worker. */
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
  /** Steps whose tasks must all have succeeded first. */
  readonly after: readonly number[]
  /** The tasks work only together. */
  readonly isGang: boolean
  /** The tasks take a multiple of their time when they are spread over more than one rack. */
  readonly isSameRack: boolean
  readonly requiredLabel?: string
  /** The rack that holds the data; elsewhere the tasks take a multiple of their time. */
  readonly dataRack?: string
  /** The most tasks of the step (of one occurrence) on one worker. */
  readonly spreadLimit?: number
  /** Copies may run in parallel. */
  readonly isSpeculative: boolean
  readonly hasCheckpoints: boolean
  /** The tasks run until the job is cancelled. */
  readonly isService: boolean
  readonly image?: string
  /** The tail latency that a service's tasks must stay below. */
  readonly tailGoalMs?: number
  /** The step uses the processor time that others leave. */
  readonly isFill: boolean
  /** How many tasks may be unavailable at once because of the scheduler. */
  readonly allowedUnavailable?: number
}

/** Occurrences in time: the steps run `times` times, occurrence K due at `firstAtMs` + K x `intervalMs` (Unix time). */
export interface Recurrence {
  readonly times: number
  readonly firstAtMs: number
  readonly intervalMs: number
}

/** An accepted job. */
export interface JobSpec {
  readonly jobId: string
  /** The queue that took the job. */
  readonly queue: string
  /** The pool of workers that runs it. */
  readonly service: string
  readonly organisation: string
  /** What the workers are told to run. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly recurrence?: Recurrence
  /** Runs of a task that may fail, as the queue said at the acceptance; the queue's newest word goes first. */
  readonly attemptLimit: number
  /** The acceptance, by the accepting host's clock. */
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
  Lapsed = 'lapsed',
  /** Another member of the gang ended. */
  Broken = 'broken',
  /** The other members of the gang did not come. */
  Alone = 'alone'
}

/** Tells whether a job in this state is over. */
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

/** Writes a task's name as workers know it. */
export function formatTaskName (name: TaskName): string {
  return `${name.jobId}.${name.occurrence}.${name.step}.${name.index}`
}

/** Parses a task's name; undefined where it is none. */
export function tryParseTaskName (text: string): TaskName | undefined {
  const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(text)
  if (match === null) return undefined
  return { jobId: match[1] as string, occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}
