/** Keys of jobs in the metadata store, and the encoding of accepted jobs. */
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

/** Decodes an accepted job without validation, since only this program writes these keys. */
export function decodeAccepted (value: string): JobSpec {
  return JSON.parse(value) as JobSpec
}
