/** Jobs: what callers ask for, and the record that lasts in the store. */
import { z } from 'zod'

/** Where the members of a gang must lie. */
export enum Adjacency {
  /** One block of neighbouring accelerators: a worker, a rack, neighbouring racks. */
  Adjacent = 'adjacent',
  /** Anywhere in the failure domain. */
  Anywhere = 'anywhere'
}

const maxMembers = 1_024
const maxNameLength = 120
const maxCommandWords = 32

/** What a caller submits. */
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

/** What a caller submits. */
export type JobRequest = z.infer<typeof jobRequestSchema>

/** An accepted job. Workers keep it with each task, so that a new scheduler can read it from there. */
export interface JobSpec extends Omit<JobRequest, 'organisation' | 'domain'> {
  readonly jobId: string
  readonly organisation: string
  readonly domain: string
  readonly submittedAtMs: number
}

/** The states of a job. Within one attempt they only move forward. */
export enum JobState {
  Queued = 'queued',
  /** Every member was held and may have been released. */
  Released = 'released',
  Ended = 'ended'
}

/** How a job ended. */
export enum JobResult {
  Succeeded = 'succeeded',
  Failed = 'failed',
  Cancelled = 'cancelled',
  /** Refused after acceptance, because it became impossible; it never ran. */
  NotRun = 'not-run',
  /** It was stopped after its release, and is not started again: not repeatable, or impossible by now. */
  Interrupted = 'interrupted',
  /** A non-repeatable job was lost after its release; it may have finished. */
  Unknown = 'unknown'
}

/** A job as it is recorded in the store under its domain. */
export interface JobRecord {
  readonly spec: JobSpec
  readonly state: JobState
  /** Counts the starts of the job; grows with every release. */
  readonly attempt: number
  /** The fencing epoch of the scheduler that wrote the record. */
  readonly epoch: number
  /** Run time that checkpoints have saved, in ms. */
  readonly progressMs: number
  /** Accelerator time that the job has had so far, all attempts together, in ms. */
  readonly attainedMs: number
  readonly isCancelRequested: boolean
  readonly result?: JobResult
  readonly reason?: string
  readonly endedAtMs?: number
  readonly startedAtMs?: number
  /** Names the write, so that a lost answer can be recognised. */
  readonly writeId: string
}

/** Returns the accelerators of a whole gang. */
export function getAcceleratorCount (spec: Pick<JobSpec, 'members' | 'acceleratorsPerMember'>): number {
  return spec.members * spec.acceleratorsPerMember
}
