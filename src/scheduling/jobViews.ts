/** Views of jobs and of a domain's scheduler, for callers and operators. */
import type { PlannedJob, PlacementPlanner } from './placementPlanner.js'
import { JobPhase } from './placementPlanner.js'
import type { DomainUsage } from './domainAllocator.js'
import type { GangRun } from './gangRun.js'
import type { GuaranteeShortage } from './guaranteeCells.js'
import { getAcceleratorCount, JobState } from './jobTypes.js'
import type { JobRecord, JobResult } from './jobTypes.js'
import type { QuarantinedWorker } from './workerHealth.js'

/** A job in responses to callers. */
export interface JobView {
  readonly jobId: string
  readonly organisation: string
  readonly name: string
  readonly domain: string
  readonly state: JobViewState
  readonly result?: JobResult
  readonly reason?: string
  readonly members: number
  readonly acceleratorsPerMember: number
  readonly guaranteeId?: string
  readonly attempt: number
  readonly preemptions: number
  readonly submittedAtMs: number
  readonly startedAtMs?: number
  readonly endedAtMs?: number
  readonly workers: readonly string[]
}

/** The states of a job in responses to callers. */
export type JobViewState = 'waiting' | 'starting' | 'running' | 'leaving' | 'ended'

/** A large waiting gang, with the reason why it waits. */
export interface WaitingGang {
  readonly jobId: string
  readonly accelerators: number
  readonly waitedMs: number
  readonly reason: string
}

/** The status of a domain's scheduler. */
export interface SchedulerStatus {
  readonly domain: string
  readonly epoch: number
  readonly isRecovered: boolean
  readonly usage: DomainUsage
  readonly waiting: number
  readonly running: number
  readonly shortages: readonly GuaranteeShortage[]
  readonly quarantined: readonly QuarantinedWorker[]
  readonly unreachableWorkers: readonly string[]
  readonly largestWaiting: readonly WaitingGang[]
  readonly unwrittenRecords: number
}

const maxListedWaitingGangs = 5

/** Combines the record of a job with the state of its scheduling and of its current attempt. */
export function createJobView (
  record: JobRecord, job: PlannedJob | undefined, run: GangRun | undefined, getWaitReason: (jobId: string) => string
): JobView {
  const { spec } = record
  const state = getViewState(record, run, job)
  return {
    jobId: spec.jobId,
    organisation: spec.organisation,
    name: spec.name,
    domain: spec.domain,
    state,
    result: record.result,
    reason: state === 'waiting' ? getWaitReason(spec.jobId) : record.reason,
    members: spec.members,
    acceleratorsPerMember: spec.acceleratorsPerMember,
    guaranteeId: job?.guaranteeId,
    attempt: record.attempt,
    preemptions: job?.preemptions ?? 0,
    submittedAtMs: spec.submittedAtMs,
    startedAtMs: job?.startedAtMs ?? record.startedAtMs,
    endedAtMs: record.endedAtMs,
    workers: [...new Set(run?.members.map(member => member.workerId) ?? [])]
  }
}

/** Returns the largest waiting gangs, the largest first. */
export function getLargestWaitingGangs (planner: PlacementPlanner): WaitingGang[] {
  const waiting = [...planner.getJobs()].filter(job => job.phase === JobPhase.Waiting)
  waiting.sort((left, right) => getAcceleratorCount(right.spec) - getAcceleratorCount(left.spec) || left.waitingSinceMs - right.waitingSinceMs)
  return waiting.slice(0, maxListedWaitingGangs).map(job => ({
    jobId: job.spec.jobId,
    accelerators: getAcceleratorCount(job.spec),
    waitedMs: Date.now() - job.waitingSinceMs,
    reason: planner.getWaitReason(job.spec.jobId)
  }))
}

function getViewState (record: JobRecord, run: GangRun | undefined, job: PlannedJob | undefined): JobViewState {
  if (record.state === JobState.Ended) return 'ended'
  if (run === undefined) return 'waiting'
  if (job?.phase === JobPhase.Preempting) return 'leaving'
  return run.isReleased() ? 'running' : 'starting'
}
