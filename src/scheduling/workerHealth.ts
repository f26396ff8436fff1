/**
 * Attributes task failures to jobs or to workers. A worker is quarantined when several jobs in a row failed on it
 * and none succeeded; failures of a job that fails on several workers are attributed to the job.
 */

/** A quarantined worker. */
export interface QuarantinedWorker {
  readonly workerId: string
  readonly untilMs: number
  readonly failures: number
}

/** The failure records of workers. */
export interface WorkerHealth {
  recordSuccess (workerId: string): void
  /** Records a failure. Returns true if it puts the worker into quarantine. */
  recordFailure (workerId: string, jobId: string): boolean
  /** Discards the failures of a job that failed on several workers. Returns the workers whose quarantine ends by that. */
  discardFailures (jobId: string): readonly string[]
  /** Ends the quarantines that have expired, and returns their workers, which are then on probation. */
  endExpiredQuarantines (): readonly string[]
  isQuarantined (workerId: string): boolean
  getQuarantined (): readonly QuarantinedWorker[]
}

const quarantineFailedJobs = 3
const initialQuarantineMs = 60_000
const maxQuarantineMs = 3_600_000
const maxQuarantinedFraction = 0.2

interface FailureRecord {
  readonly failedJobs: Set<string>
  quarantineMs: number
  quarantinedUntilMs: number | undefined
  /** Set when a quarantine expires: a single failure then quarantines the worker again. */
  isOnProbation: boolean
}

/**
 * Creates a set of failure records without entries. At most `maxQuarantinedFraction` of the `getWorkerCount()` workers,
 * but at least one, can be in quarantine at a time.
 */
export function createWorkerHealth (getWorkerCount: () => number): WorkerHealth {
  const failureRecords = new Map<string, FailureRecord>()

  return { recordSuccess, recordFailure, discardFailures, endExpiredQuarantines, isQuarantined, getQuarantined }

  function recordSuccess (workerId: string): void {
    const record = failureRecords.get(workerId)
    if (record?.quarantinedUntilMs === undefined) failureRecords.delete(workerId)
  }

  function recordFailure (workerId: string, jobId: string): boolean {
    const record = getFailureRecord(workerId)
    if (record.quarantinedUntilMs !== undefined) return false
    record.failedJobs.add(jobId)
    if (record.failedJobs.size < (record.isOnProbation ? 1 : quarantineFailedJobs)) return false
    if (getQuarantined().length + 1 > Math.max(1, getWorkerCount() * maxQuarantinedFraction)) return false
    record.quarantinedUntilMs = Date.now() + record.quarantineMs
    record.quarantineMs = Math.min(maxQuarantineMs, record.quarantineMs * 2)
    return true
  }

  function discardFailures (jobId: string): readonly string[] {
    const readmitted: string[] = []
    for (const [workerId, record] of failureRecords) {
      if (!record.failedJobs.delete(jobId)) continue
      const isQuarantineUnfounded = record.quarantinedUntilMs !== undefined && !record.isOnProbation && record.failedJobs.size < quarantineFailedJobs
      if (!isQuarantineUnfounded) continue
      record.quarantinedUntilMs = undefined
      record.quarantineMs = initialQuarantineMs
      readmitted.push(workerId)
    }
    return readmitted
  }

  function endExpiredQuarantines (): readonly string[] {
    const readmitted: string[] = []
    for (const [workerId, record] of failureRecords) {
      if (record.quarantinedUntilMs === undefined || record.quarantinedUntilMs > Date.now()) continue
      record.quarantinedUntilMs = undefined
      record.isOnProbation = true
      record.failedJobs.clear()
      readmitted.push(workerId)
    }
    return readmitted
  }

  function isQuarantined (workerId: string): boolean {
    return failureRecords.get(workerId)?.quarantinedUntilMs !== undefined
  }

  function getQuarantined (): readonly QuarantinedWorker[] {
    return [...failureRecords].flatMap(([workerId, record]) => record.quarantinedUntilMs === undefined
      ? []
      : [{ workerId, untilMs: record.quarantinedUntilMs, failures: record.failedJobs.size }])
  }

  function getFailureRecord (workerId: string): FailureRecord {
    const known = failureRecords.get(workerId)
    if (known !== undefined) return known
    const created: FailureRecord = { failedJobs: new Set(), quarantineMs: initialQuarantineMs, quarantinedUntilMs: undefined, isOnProbation: false }
    failureRecords.set(workerId, created)
    return created
  }
}
