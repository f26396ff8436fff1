/** Accepts jobs: checks each job and records it before the response. While the store is unavailable, it starts the job instead. */
import type { Signal } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { RuleSet } from '../rules/ruleSet.js'
import type { PlacementPlanner } from './placementPlanner.js'
import type { DomainAllocator } from './domainAllocator.js'
import type { GangRun } from './gangRun.js'
import type { JobRecords } from './jobRecords.js'
import { getAcceleratorCount, JobResult, JobState } from './jobTypes.js'
import type { JobRecord, JobSpec } from './jobTypes.js'
import type { JobView } from './jobViews.js'

/** Functions and state of the scheduler that the submission uses. */
export interface SubmissionHost {
  readonly domain: string
  readonly records: JobRecords
  readonly planner: PlacementPlanner
  readonly allocator: DomainAllocator
  readonly runs: ReadonlyMap<string, GangRun>
  readonly changed: Signal
  readonly getRules: () => RuleSet
  readonly countWorkers: () => number
  readonly scheduleDecision: () => void
  readonly reconcileRecords: () => void
  /** Reads the records again, since one may have been written although the response was lost. */
  readonly reloadRecords: () => void
  readonly isStopped: () => boolean
  readonly toView: (record: JobRecord) => JobView
}

const startWithoutStoreTimeoutMs = 4_000
const startPollIntervalMs = 50

/** Creates the function that accepts jobs. Submitting a known job id returns the existing job. */
export function createSubmission (host: SubmissionHost): (spec: JobSpec) => Promise<JobView> {
  const { records, planner, allocator, runs, changed, toView } = host

  return submit

  async function submit (spec: JobSpec): Promise<JobView> {
    const known = records.get(spec.jobId)
    if (known !== undefined) return toView(known)
    assertAcceptable(spec)
    try {
      await records.create(spec)
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.Conflict)) return await readExisting(spec, error)
      if (isErrorOfKind(error, ErrorKind.StoreUnavailable)) return await submitWithoutStore(spec)
      if (isErrorOfKind(error, ErrorKind.AnswerLost)) host.reloadRecords()
      throw error
    }
    if (host.isStopped()) throw createError(ErrorKind.AnswerLost, 'the scheduler stopped during the submission; query the job by its id')
    if (planner.get(spec.jobId) === undefined && !runs.has(spec.jobId)) planner.addWaiting(spec, { waitingSinceMs: spec.submittedAtMs })
    host.scheduleDecision()
    return toView(records.get(spec.jobId) as JobRecord)
  }

  async function readExisting (spec: JobSpec, error: unknown): Promise<JobView> {
    await records.load()
    const record = records.get(spec.jobId)
    if (record === undefined) throw error
    host.reconcileRecords()
    return toView(record)
  }

  /** While the store is unavailable, a job is accepted only if it starts now: its workers then hold its descriptor. */
  async function submitWithoutStore (spec: JobSpec): Promise<JobView> {
    records.addPending(spec)
    planner.addWaiting(spec, { waitingSinceMs: spec.submittedAtMs })
    host.scheduleDecision()
    const deadlineMs = Date.now() + startWithoutStoreTimeoutMs
    while (Date.now() < deadlineMs && !host.isStopped()) {
      if (hasStarted(spec.jobId)) return await acceptStarted(spec.jobId)
      await changed.wait(startPollIntervalMs)
    }
    await withdraw(spec.jobId)
    throw createError(ErrorKind.StoreUnavailable, 'the store is unavailable and the job cannot start now; it was not run')
  }

  function hasStarted (jobId: string): boolean {
    return runs.get(jobId)?.isReleased() === true || records.get(jobId)?.state === JobState.Ended
  }

  async function acceptStarted (jobId: string): Promise<JobView> {
    records.accept(jobId)
    await records.share()
    return toView(records.get(jobId) as JobRecord)
  }

  /** Returns only when it is certain that the job has not run and never will; otherwise throws `answer-lost`. */
  async function withdraw (jobId: string): Promise<void> {
    const run = runs.get(jobId)
    records.writeLater(jobId, { isCancelRequested: true })
    run?.cancel()
    while (!host.isStopped() && runs.get(jobId) === run && run !== undefined && !run.isReleased()) await changed.wait(startPollIntervalMs)
    if (host.isStopped() || run?.isReleased() === true) throw createError(ErrorKind.AnswerLost, 'the job may have started while its submission was withdrawn')
    planner.remove(jobId)
    const endPatch = { state: JobState.Ended, result: JobResult.NotRun, reason: 'the store was unavailable', endedAtMs: Date.now() }
    if (!records.mayBeStored(jobId)) records.discard(jobId)
    else await records.write(jobId, endPatch).catch(() => { throw createError(ErrorKind.AnswerLost, 'it is unknown whether the job was recorded') })
  }

  function assertAcceptable (spec: JobSpec): void {
    const rules = host.getRules()
    if (!rules.organisations.has(spec.organisation)) throw createError(ErrorKind.Forbidden, `there is no rule for the organisation "${spec.organisation}"`)
    if (host.countWorkers() === 0) throw createError(ErrorKind.NoScheduler, `no worker of the failure domain ${host.domain} is known yet`)
    const quota = rules.quotas.get(spec.organisation)
    if (quota !== undefined && getAcceleratorCount(spec) > quota.accelerators) {
      throw createError(ErrorKind.JobImpossible, `the job needs ${getAcceleratorCount(spec)} accelerators, which exceeds the organisation's quota of ${quota.accelerators}`)
    }
    if (quota?.jobs !== undefined && countJobsOf(spec.organisation) >= quota.jobs) {
      throw createError(ErrorKind.QuotaExceeded, `the organisation has reached its quota of ${quota.jobs} jobs`)
    }
    const reason = allocator.getImpossibleReason(spec)
    if (reason !== undefined) throw createError(ErrorKind.JobImpossible, reason)
    if (planner.countWaiting() >= rules.getLimit('queue-jobs')) throw createError(ErrorKind.Overloaded, 'the queue of waiting jobs is full')
  }

  function countJobsOf (organisation: string): number {
    let count = 0
    for (const job of planner.getJobs()) if (job.spec.organisation === organisation) count++
    return count
  }
}
