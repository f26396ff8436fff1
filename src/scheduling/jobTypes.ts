/** Jobs: the requests of callers, and the records in the store. */
import { z } from 'zod'

/** Where the members of a gang may be placed. */
export enum Adjacency {
  /** In one block of adjacent accelerators: within a worker, a rack or adjacent racks. */
  Adjacent = 'adjacent',
  /** Anywhere in the failure domain. */
  Anywhere = 'anywhere'
}

const maxMembers = 1_024
const maxNameLength = 120
const maxCommandWords = 32

/** Schema of a submitted job. */
export const jobRequestSchema = z.strictObject({
  name: z.string().min(1).max(maxNameLength).default('job'),
  organisation: z.string().min(1).max(maxNameLength).optional(),
  members: z.number().int().min(1).max(maxMembers).default(1),
  acceleratorsPerMember: z.number().int().min(0).max(8).default(1),
  adjacency: z.enum(Adjacency).default(Adjacency.Adjacent),
  processorsPerMember: z.number().min(0).default(1),
  memoryBytesPerMember: z.number().int().min(0).default(0),
  declaredRunMs: z.number().int().min(1).default(3_600_000),
  priority: z.string().max(maxNameLength).default('normal'),
  repeatable: z.boolean().default(true),
  urgent: z.boolean().default(false),
  domain: z.string().max(maxNameLength).optional(),
  command: z.array(z.string().max(4_000)).min(1).max(maxCommandWords)
})

/** A job as a caller submits it. */
export type JobRequest = z.infer<typeof jobRequestSchema>

/** An accepted job. Workers keep it with each task, so that a new scheduler can recover it from them. */
export interface JobSpec extends Omit<JobRequest, 'organisation' | 'domain'> {
  readonly jobId: string
  readonly organisation: string
  readonly domain: string
  readonly submittedAtMs: number
}

/** The states of a job. Within one attempt they only move forward. */
export enum JobState {
  Queued = 'queued',
  /** Every member has been held, and members may have been released. */
  Released = 'released',
  Ended = 'ended'
}

/** How a job ended. */
export enum JobResult {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Cancelled = 'cancelled',
  /** Rejected after acceptance, because it could no longer be placed; it never ran. */
  NotRun = 'not-run',
  /** Stopped after its release and not started again, because it is not repeatable or can no longer be placed. */
  Interrupted = 'interrupted',
  /** A non-repeatable job whose workers were lost after its release; it may have finished. */
  Unknown = 'unknown'
}

/** Returns whether a result was assumed because workers were lost. It is replaced if they report later that the job has succeeded or failed. */
export function isAssumed (result: JobResult | undefined): boolean {
  return result === JobResult.Unknown || result === JobResult.Interrupted
}

/** The record of a job in the store, under its failure domain. */
export interface JobRecord {
  readonly spec: JobSpec
  readonly state: JobState
  /** Number of the latest attempt to run the job; it never decreases. */
  readonly attempt: number
  /** The fencing epoch of the scheduler that wrote the record. */
  readonly epoch: number
  /** Run time that is saved in checkpoints, in ms. */
  readonly progressMs: number
  /** Accelerator time that the job has used so far in all attempts, in ms. */
  readonly attainedMs: number
  readonly isCancelRequested: boolean
  readonly result?: JobResult
  readonly reason?: string
  readonly endedAtMs?: number
  readonly startedAtMs?: number
  /** The members that have succeeded in attempts that were given up, by attempt: lost members may be reported later. */
  readonly succeededMembers?: Readonly<Record<number, readonly number[]>>
  /** The workers on which attempts have failed, by attempt: the failures count after a takeover, and late ones count once. */
  readonly failedAttempts?: Readonly<Record<number, string>>
  /** Identifies the write, so that a write whose response was lost can be recognised in the store. */
  readonly writeId: string
}

/** Returns the number of accelerators of the whole gang. */
export function getAcceleratorCount (spec: Pick<JobSpec, 'members' | 'acceleratorsPerMember'>): number {
  return spec.members * spec.acceleratorsPerMember
}
