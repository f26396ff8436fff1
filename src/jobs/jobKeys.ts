/** Where jobs lie in the metadata store, and how an accepted job is written. */
import type { JobSpec } from './jobModel.js'

/** Accepted jobs and their cancels; the scheduler watches this prefix. */
export const acceptedPrefix = 'jobs/'

/** What the scheduler has stored of the jobs' progress. */
export const progressPrefix = 'progress/'

/** The scheduler's counts of jobs that have not begun, by queue. */
export const pendingCountsKey = 'counts/pending'

const cancelSuffix = '/cancel'

/** The key of an accepted job. */
export function getAcceptedKey (jobId: string): string {
  return acceptedPrefix + jobId
}

/** The key whose existence says that the job is cancelled. */
export function getCancelKey (jobId: string): string {
  return acceptedPrefix + jobId + cancelSuffix
}

/** The key of a job's progress. */
export function getProgressKey (jobId: string): string {
  return progressPrefix + jobId
}

/** Tells which job a key under `acceptedPrefix` is about, and whether it is its cancel. */
export function parseAcceptedKey (key: string): { readonly jobId: string, readonly isCancel: boolean } {
  const rest = key.slice(acceptedPrefix.length)
  const isCancel = rest.endsWith(cancelSuffix)
  return { jobId: isCancel ? rest.slice(0, -cancelSuffix.length) : rest, isCancel }
}

/** Writes an accepted job as the store keeps it. */
export function encodeAccepted (job: JobSpec): string {
  return JSON.stringify(job)
}

/** Reads an accepted job; the keys are written by this product only. */
export function decodeAccepted (value: string): JobSpec {
  return JSON.parse(value) as JobSpec
}
