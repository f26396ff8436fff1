/** Accepts jobs: checks them, and records them before the answer, or has them running when the store is out. */
import type { Signal } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { RuleSet } from '../rules/ruleSet.js'
import type { Decider } from './decider.js'
import type { DomainCells } from './domainCells.js'
import type { GangRun } from './gangRun.js'
import type { JobRecords } from './jobRecords.js'
import { getAcceleratorCount, JobResult, JobState } from './jobTypes.js'
import type { JobRecord, JobSpec } from './jobTypes.js'
import type { JobView } from './jobViews.js'

/** What the submission needs of its scheduler. */
export interface SubmissionHost {
  readonly domain: string
  readonly records: JobRecords
  readonly decider: Decider
  readonly cells: DomainCells
  readonly runs: ReadonlyMap<string, GangRun>
  readonly changed: Signal
  readonly getRules: () => RuleSet
  readonly countWorkers: () => number
  readonly scheduleDecision: () => void
  readonly reconcileRecords: () => void
  /** Reads the records again: one may have been written without this scheduler's knowledge. */
  readonly reloadRecords: () => void
  readonly isStopped: () => boolean
  readonly toView: (record: JobRecord) => JobView
}

const unrecordedStartMs = 4_000
const startPollMs = 50

/** Creates the acceptance of jobs. The same job id again returns the job. */
export function createSubmission (host: SubmissionHost): (spec: JobSpec) => Promise<JobView> {
  const { records, decider, cells, runs, changed, toView } = host

  return submit

  async function submit (spec: JobSpec): Promise<JobView> {
    const known = records.get(spec.jobId)
    if (known !== undefined) return toView(known)
    assertAcceptable(spec)
    try {
      await records.create(spec)
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.Conflict)) return await readExisting(spec, error)
      if (isErrorOfKind(error, ErrorKind.StoreUnavailable)) return await submitUnrecorded(spec)
      if (isErrorOfKind(error, ErrorKind.AnswerLost)) host.reloadRecords()
      throw error
    }
    if (host.isStopped()) throw createError(ErrorKind.AnswerLost, 'the scheduler has changed; ask for the job by its id')
    if (decider.get(spec.jobId) === undefined && !runs.has(spec.jobId)) decider.addWaiting(spec, { waitingSinceMs: spec.submittedAtMs })
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

  /** With the store out, a job is accepted only if it starts now: the workers then hold its descriptor. */
  async function submitUnrecorded (spec: JobSpec): Promise<JobView> {
    records.keepPending(spec)
    decider.addWaiting(spec, { waitingSinceMs: spec.submittedAtMs })
    host.scheduleDecision()
    const deadlineMs = Date.now() + unrecordedStartMs
    while (Date.now() < deadlineMs && !host.isStopped()) {
      if (hasStarted(spec.jobId)) return await acceptStarted(spec.jobId)
      await changed.wait(startPollMs)
    }
    await withdraw(spec.jobId)
    throw createError(ErrorKind.StoreUnavailable, 'the store is out and the job cannot start now; it was not run')
  }

  function hasStarted (jobId: string): boolean {
    return runs.get(jobId)?.isReleased() === true || records.get(jobId)?.state === JobState.Ended
  }

  async function acceptStarted (jobId: string): Promise<JobView> {
    records.accept(jobId)
    await records.share()
    return toView(records.get(jobId) as JobRecord)
  }

  /** Returns only when the job has surely not run and never will. */
  async function withdraw (jobId: string): Promise<void> {
    const run = runs.get(jobId)
    records.writeLater(jobId, { isCancelRequested: true })
    run?.cancel()
    while (!host.isStopped() && runs.get(jobId) === run && run !== undefined && !run.isReleased()) await changed.wait(startPollMs)
    if (host.isStopped() || run?.isReleased() === true) throw createError(ErrorKind.AnswerLost, 'the job was being started while it was withdrawn')
    decider.remove(jobId)
    const ending = { state: JobState.Ended, result: JobResult.NotRun, reason: 'the store was out', endedAtMs: Date.now() }
    if (!records.mayBeStored(jobId)) records.forget(jobId)
    else await records.write(jobId, ending).catch(() => { throw createError(ErrorKind.AnswerLost, 'it is unknown whether the job was recorded') })
  }

  function assertAcceptable (spec: JobSpec): void {
    const rules = host.getRules()
    if (!rules.organisations.has(spec.organisation)) throw createError(ErrorKind.Forbidden, `there is no rule for the organisation "${spec.organisation}"`)
    if (host.countWorkers() === 0) throw createError(ErrorKind.NoScheduler, `no worker of the domain ${host.domain} is known yet`)
    const quota = rules.quotas.get(spec.organisation)
    if (quota !== undefined && getAcceleratorCount(spec) > quota.accelerators) {
      throw createError(ErrorKind.JobImpossible, `the job needs ${getAcceleratorCount(spec)} accelerators, more than the quota of ${quota.accelerators}`)
    }
    if (quota?.jobs !== undefined && countJobsOf(spec.organisation) >= quota.jobs) {
      throw createError(ErrorKind.QuotaExceeded, `the organisation has ${quota.jobs} jobs already, its quota`)
    }
    const reason = cells.getImpossibleReason(spec)
    if (reason !== undefined) throw createError(ErrorKind.JobImpossible, reason)
    if (decider.countWaiting() >= rules.getLimit('queue-jobs')) throw createError(ErrorKind.Overloaded, 'too many jobs wait already')
  }

  function countJobsOf (organisation: string): number {
    let count = 0
    for (const job of decider.getJobs()) if (job.spec.organisation === organisation) count++
    return count
  }
}
