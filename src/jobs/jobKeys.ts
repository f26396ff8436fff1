/** Keys of jobs in the metadata store, and the encoding of accepted jobs. */
import * as z from 'zod/mini'
import { tryParseJson } from '../common/boundedJson.js'
import type { JobSpec } from './jobModel.js'

/** Accepted jobs and their cancellation markers; the scheduler watches this prefix. */
export const acceptedPrefix = 'jobs/'

/** The jobs' progress records, written by the scheduler. */
export const progressPrefix = 'progress/'

/** The scheduler's counts, by queue, of jobs that have not started. */
export const pendingCountsKey = 'counts/pending'

const cancelSuffix = '/cancel'

/** The key of an accepted job. */
export function getAcceptedKey (jobId: string): string {
  return acceptedPrefix + jobId
}

/** The key of a job's cancellation marker: the job is cancelled if this key exists. */
export function getCancelKey (jobId: string): string {
  return acceptedPrefix + jobId + cancelSuffix
}

/** The key of a job's progress record. */
export function getProgressKey (jobId: string): string {
  return progressPrefix + jobId
}

/** Parses a key under `acceptedPrefix`: its job, and whether it is the job's cancellation marker. */
export function parseAcceptedKey (key: string): { readonly jobId: string, readonly isCancel: boolean } {
  const rest = key.slice(acceptedPrefix.length)
  const isCancel = rest.endsWith(cancelSuffix)
  return { jobId: isCancel ? rest.slice(0, -cancelSuffix.length) : rest, isCancel }
}

/** Encodes an accepted job for the store. */
export function encodeAccepted (job: JobSpec): string {
  return JSON.stringify(job)
}

const amountSchema = z.number().check(z.nonnegative())
const indexSchema = z.int().check(z.nonnegative())
const flagSchema = z.optional(z.boolean())
const stepSchema = z.object({
  count: z.int().check(z.minimum(1)),
  request: z.object({ cpuMilli: amountSchema, memoryMb: amountSchema, accelerators: amountSchema }),
  estimateMs: z.number(),
  after: z.array(indexSchema),
  isGang: flagSchema,
  isSameRack: flagSchema,
  requiredLabel: z.optional(z.string()),
  dataRack: z.optional(z.string()),
  spreadLimit: z.optional(indexSchema),
  isSpeculative: flagSchema,
  hasCheckpoints: flagSchema,
  isService: flagSchema,
  image: z.optional(z.string()),
  tailGoalMs: z.optional(z.number()),
  isFill: flagSchema,
  allowedUnavailable: z.optional(indexSchema)
})
const jobSchema = z.object({
  jobId: z.string().check(z.minLength(1)),
  queue: z.string(),
  service: z.string(),
  configurationVersion: z.optional(z.number()),
  organisation: z.string(),
  payload: z.string(),
  steps: z.array(stepSchema).check(z.minLength(1)),
  recurrence: z.optional(z.object({ times: indexSchema, firstAtMs: z.number(), intervalMs: z.number() })),
  attemptLimit: z.number(),
  acceptedAtMs: z.number()
})

/** Decodes an accepted job; undefined if no host can have accepted it, since other writers may leave anything under the prefix. Never throws. */
export function tryDecodeAccepted (key: string, value: string): JobSpec | undefined {
  const parsed = tryParseJson(value)
  const job = jobSchema.safeParse(parsed)
  if (!job.success || getAcceptedKey(job.data.jobId) !== key) return undefined
  const areStepsOrdered = job.data.steps.every(({ after }, step) => after.every(before => before < step))
  return areStepsOrdered ? parsed as JobSpec : undefined
}
