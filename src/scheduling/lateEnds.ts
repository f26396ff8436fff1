/**
 * Handles the ends that workers report for tasks of no current attempt. Such an attempt was given up because a worker was taken for lost; its
 * end shows what became of it. An end is acknowledged when what follows from it is stored.
 */
import type { Logger } from '../common/logger.js'
import { addFailure, describeFailures, hasFailedTooOften } from './failedAttempts.js'
import type { FailedAttempts } from './failedAttempts.js'
import type { GangRun } from './gangRun.js'
import type { JobRecords } from './jobRecords.js'
import { isAssumed, JobResult, JobState } from './jobTypes.js'
import type { JobRecord, JobSpec } from './jobTypes.js'
import { parseTaskId, TaskEndReason } from './workerTypes.js'
import type { TaskReport } from './workerTypes.js'

/** Functions and state of the scheduler that the handling of late ends uses. */
export interface LateEndsHost {
  readonly records: JobRecords
  readonly logger: Logger
  readonly runs: ReadonlyMap<string, GangRun>
  /** Returns whether a job without a record is unknown to the store. */
  readonly areRecordsLoaded: () => boolean
  readonly endJob: (jobId: string, result: JobResult, reason?: string) => void
  /** Returns whether these failures show that the job, not the workers, is faulty. */
  readonly isFaulty: (spec: JobSpec, failedAttempts: FailedAttempts) => boolean
  /** Counts the failure of an attempt of a repeatable job, unless the attempt is counted already. */
  readonly recordFailure: (record: JobRecord, attempt: number, workerId: string) => void
  readonly acknowledge: (workerId: string, taskId: string) => void
  /** Acknowledges the end of a task when all changes of the job's record are stored. */
  readonly acknowledgeWhenStored: (jobId: string, end: { readonly workerId: string, readonly taskId: string }) => void
}

/** The late ends of the jobs of one domain. */
export interface LateEnds {
  /** Handles a reported end. It is held while a current attempt of the job has to be stopped, or its record has not been read. */
  onEnd (workerId: string, report: TaskReport): void
  /** Records which members of an attempt that has not succeeded have. Returns whether that ends the job. */
  onRunEnd (run: GangRun): boolean
  /** Handles the held ends, after the end of an attempt or after the records have been read. */
  handleHeld (): void
}

interface LateEnd {
  readonly workerId: string
  readonly taskId: string
  readonly attempt: number
  readonly member: number
  readonly end: TaskEndReason | undefined
}

/** Creates the handling of late ends, without held ends. */
export function createLateEnds (host: LateEndsHost): LateEnds {
  const { records, logger } = host
  const heldByJob = new Map<string, Map<string, LateEnd>>()

  return { onEnd, onRunEnd, handleHeld: () => { for (const jobId of [...heldByJob.keys()]) handleJob(jobId) } }

  function onEnd (workerId: string, { taskId, end }: TaskReport): void {
    if (end !== TaskEndReason.Succeeded && end !== TaskEndReason.Failed) {
      host.acknowledge(workerId, taskId)
      return
    }
    const { jobId, attempt, member } = parseTaskId(taskId)
    const record = records.get(jobId)
    const isIrrelevantFailure = end === TaskEndReason.Failed && record?.state === JobState.Ended && record.result !== JobResult.Unknown
    if (isIrrelevantFailure) {
      host.acknowledge(workerId, taskId)
      return
    }
    const held = heldByJob.get(jobId) ?? new Map<string, LateEnd>()
    heldByJob.set(jobId, held.set(taskId, { workerId, taskId, attempt, member, end }))
    handleJob(jobId)
  }

  function onRunEnd ({ input, members }: GangRun): boolean {
    const { jobId } = input.spec
    const record = records.get(jobId)
    if (record === undefined) return false
    const succeeded = members.filter(({ end }) => end === TaskEndReason.Succeeded).map(({ member }) => member)
    // If a member has certainly ended in another way, no later report can show a success of the attempt.
    const isUndecided = members.every(({ end, isLost }) => end === TaskEndReason.Succeeded || (end === undefined && isLost))
    if (isUndecided && succeeded.length > 0) recordSucceeded(record, input.attempt, succeeded)
    return handleJob(jobId)
  }

  /** Returns whether the job has ended by this. */
  function handleJob (jobId: string): boolean {
    const record = records.get(jobId)
    const held = [...heldByJob.get(jobId)?.values() ?? []]
    if (record === undefined) {
      if (host.areRecordsLoaded()) settle(jobId)
      return false
    }
    if (record.isCancelRequested || (record.state === JobState.Ended && !isAssumed(record.result))) {
      settle(jobId)
      return false
    }
    const attempts = new Set([...held.map(({ attempt }) => attempt), ...Object.keys(record.succeededMembers ?? {}).map(Number)])
    const succeededAttempt = [...attempts].find(attempt => getSucceeded(record, held, attempt).length === record.spec.members)
    const run = host.runs.get(jobId)
    if (run !== undefined && succeededAttempt !== undefined) {
      // The job ends when the later attempt has been stopped: until then, its accelerators are in use.
      run.cancel()
      return false
    }
    // The write of the release decision would replace a change of the record that is made meanwhile.
    if (run?.isReleased() === false) {
      // A later attempt that has been released may succeed, and is not stopped for an earlier failure.
      if (record.spec.repeatable && getFailed(held).length > 0 && host.isFaulty(record.spec, addFailures(record, held))) run.cancel()
      return false
    }
    if (succeededAttempt !== undefined) {
      logger.warn('an attempt that was taken for lost has succeeded', { jobId, attempt: succeededAttempt, recordedAttempt: record.attempt, recordedResult: record.result })
      host.endJob(jobId, JobResult.Succeeded)
      settle(jobId)
      return true
    }
    return handleUnfinished(record, held)
  }

  function handleUnfinished (record: JobRecord, held: readonly LateEnd[]): boolean {
    const { jobId } = record.spec
    const reason = record.spec.repeatable ? getFaultyReason(record, held) : getFailureReason(record, held)
    if (reason !== undefined) host.endJob(jobId, JobResult.Failed, reason)
    else for (const attempt of new Set(held.map(late => late.attempt))) recordSucceeded(record, attempt, getSucceeded(record, held, attempt))
    settle(jobId)
    return reason !== undefined
  }

  /** Counts the failures of a repeatable job. Returns why it is not started again; undefined if it may be, or a later attempt has been released. */
  function getFaultyReason (record: JobRecord, held: readonly LateEnd[]): string | undefined {
    if (record.state === JobState.Ended) return undefined
    const { spec } = record
    const failed = getFailed(held)
    for (const { attempt, workerId } of failed) host.recordFailure(records.get(spec.jobId) ?? record, attempt, workerId)
    const { failedAttempts = {} } = records.get(spec.jobId) ?? record
    const isFaulty = hasFailedTooOften({ spec, failedAttempts }) || (failed.length > 0 && host.isFaulty(spec, failedAttempts))
    return isFaulty && !host.runs.has(spec.jobId) ? describeFailures(failedAttempts) : undefined
  }

  /** A failure decides the result of a non-repeatable job if it is unknown, or if no run watches the attempt that was released, after a takeover. */
  function getFailureReason (record: JobRecord, held: readonly LateEnd[]): string | undefined {
    const isUnwatched = record.state === JobState.Released && !host.runs.has(record.spec.jobId)
    const failed = getFailed(held).find(({ attempt }) => record.result === JobResult.Unknown || (isUnwatched && attempt === record.attempt))
    return failed === undefined ? undefined : `the job failed on ${failed.workerId}`
  }

  /** Adds members to those that have succeeded in an attempt. */
  function recordSucceeded ({ spec }: JobRecord, attempt: number, members: readonly number[]): void {
    const known = records.get(spec.jobId)?.succeededMembers ?? {}
    const added = members.filter(member => known[attempt]?.includes(member) !== true)
    if (added.length === 0) return
    records.writeLater(spec.jobId, { succeededMembers: { ...known, [attempt]: [...known[attempt] ?? [], ...added] } })
  }

  /** All held ends of the job have been used. */
  function settle (jobId: string): void {
    for (const end of heldByJob.get(jobId)?.values() ?? []) host.acknowledgeWhenStored(jobId, end)
    heldByJob.delete(jobId)
  }
}

function getSucceeded (record: JobRecord, held: readonly LateEnd[], attempt: number): readonly number[] {
  const reported = held.filter(late => late.attempt === attempt && late.end === TaskEndReason.Succeeded).map(({ member }) => member)
  return [...new Set([...record.succeededMembers?.[attempt] ?? [], ...reported])]
}

function getFailed (held: readonly LateEnd[]): readonly LateEnd[] {
  return held.filter(({ end }) => end === TaskEndReason.Failed)
}

function addFailures (record: JobRecord, held: readonly LateEnd[]): FailedAttempts {
  let { failedAttempts = {} } = record
  for (const { attempt, workerId } of getFailed(held)) {
    if (failedAttempts[attempt] === undefined) failedAttempts = addFailure(failedAttempts, attempt, workerId)
  }
  return failedAttempts
}
