/** The failures that count for a job: the workers on which its attempts have failed. */
import type { JobRecord } from './jobTypes.js'

/** The worker on which each failed attempt has failed first, by attempt. */
export type FailedAttempts = NonNullable<JobRecord['failedAttempts']>

/** A repeatable job that has failed on this many workers is itself taken for faulty. */
export const maxFailedWorkersPerJob = 3

/** Adds the failure of an attempt. Only the latest attempt that has failed on a worker is kept, since the workers are counted. */
export function addFailure (failedAttempts: FailedAttempts | undefined, attempt: number, workerId: string): FailedAttempts {
  const others = Object.entries(failedAttempts ?? {}).filter(([, otherId]) => otherId !== workerId)
  return { ...Object.fromEntries(others), [attempt]: workerId }
}

/** Returns the workers on which attempts have failed. */
export function getFailedWorkers (failedAttempts: FailedAttempts | undefined): ReadonlySet<string> {
  return new Set(Object.values(failedAttempts ?? {}))
}

/** Returns whether a job has failed on so many workers that it is not started again. */
export function hasFailedTooOften ({ spec, failedAttempts }: Pick<JobRecord, 'spec' | 'failedAttempts'>): boolean {
  return spec.repeatable && getFailedWorkers(failedAttempts).size >= maxFailedWorkersPerJob
}

/** Describes the failures of a job for its result. */
export function describeFailures (failedAttempts: FailedAttempts | undefined): string {
  return `the job failed on ${[...getFailedWorkers(failedAttempts)].join(', ')}`
}
