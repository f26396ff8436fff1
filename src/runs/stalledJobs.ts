/**
 * Finds unfinished jobs of which nothing runs although a unit's turn has come, and names what each of them waits for. Where most of the pool is idle such a
 * job is logged: nothing should wait there for longer than a takeover or a lost answer takes. Does no I/O besides the log.
 */
import type { Logger } from '../common/logger.js'
import { formatTaskName } from '../jobs/jobModel.js'
import { areDependenciesDone, getTaskName, MemberState } from '../jobs/trackedJob.js'
import type { Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import type { PlacementObstacles } from '../placement/obstacles.js'
import { createPoolUse } from '../placement/poolUse.js'
import { getFreeCapacity, isUsable } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'

/** What a unit waits for. */
export enum WaitCause {
  /** The planner has not placed it; `obstacles` say why. */
  NotPlaced = 'not-placed',
  /** Workers have crashed under it, and the evidence is not complete. */
  Withheld = 'withheld',
  /** Its attempt is not stored yet, or its allocated resources are not free yet. */
  NotDispatched = 'not-dispatched',
  /** Its start request has got no answer, and no report has shown it. */
  StartUnanswered = 'start-unanswered',
  /** An earlier term has planned it, and its worker has not answered since the takeover. */
  Restored = 'restored',
  /** Its attempt is being stopped, and the end is not known. */
  Stopping = 'stopping',
  /** It counts as running, but no recent report of its worker shows it. */
  Unreported = 'unreported'
}

/** A job of which nothing runs. Times are in ms. */
export interface StalledJob {
  readonly jobId: string
  readonly task: string
  readonly cause: WaitCause
  /** Why its attempt is being stopped. */
  readonly stopReason?: string
  /** What stands against placing the unit, if it has no attempt. */
  readonly obstacles?: PlacementObstacles
  readonly stalledForMs: number
  /** The run, its worker, and the age of the latest report that lists it; undefined if there is no attempt, or no report lists it. */
  readonly run?: number
  readonly workerId?: string
  readonly reportAgeMs?: number
  /** How long the lease of its worker, which does not answer, may still last: the run counts as lost after that. */
  readonly leaseLeftMs?: number
}

/** Dependencies of the record of stalled jobs. */
export interface StalledJobsHost {
  readonly logger: Logger
  readonly getUnfinishedJobs: () => Iterable<TrackedJob>
  readonly getWorkers: () => Iterable<WorkerState>
  /** Why the planner has not placed a unit that is ready to be placed. */
  readonly describeWait: (unit: Unit) => PlacementObstacles
  /** How long the lease of a run whose worker does not answer may still last, in ms; undefined if it answers, or the lease is over. */
  readonly getLeaseLeftMs: (member: Member) => number | undefined
}

/** The record of one term. */
export interface StalledJobs {
  /** Updates the record and logs what is new. Call it about once a second. Times are by the monotonic clock. */
  update (nowMs: number): void
  /** The number of stalled jobs, and those that have been stalled for longest, at most `limit`: to describe one takes a look at all workers. */
  get (nowMs: number, limit: number): { readonly count: number, readonly longest: readonly StalledJob[] }
}

/** A report that is older does not show that a run is at work, in ms: polls wait up to 1.5 s, and a lost answer costs as much again. */
const maxReportAgeMs = 3_000
/** A job is logged when it has been stalled for this long, in ms: within the 3 s after which the platform counts it as lost. */
const minStallMs = 2_000

interface Stall {
  readonly sinceMs: number
  loggedCause?: WaitCause
}

/** Creates the record of one term. */
export function createStalledJobs (host: StalledJobsHost): StalledJobs {
  const stalls = new Map<TrackedJob, Stall>()

  return { update, get }

  function update (nowMs: number): void {
    const current = new Set<TrackedJob>()
    for (const job of host.getUnfinishedJobs()) {
      if (findWaitingUnit(job, nowMs) === undefined) continue
      current.add(job)
      if (!stalls.has(job)) stalls.set(job, { sinceMs: nowMs })
    }
    for (const [job, { loggedCause, sinceMs }] of stalls) {
      if (current.has(job)) continue
      stalls.delete(job)
      if (loggedCause !== undefined) host.logger.info('a stalled job goes on', { jobId: job.spec.jobId, state: job.state, stalledForMs: Math.round(nowMs - sinceMs) })
    }
    logNew(nowMs)
  }

  function logNew (nowMs: number): void {
    const due = [...stalls].filter(([, { sinceMs }]) => nowMs - sinceMs >= minStallMs)
    if (due.length === 0) return
    const poolUse = createPoolUse(new Map([...host.getWorkers()].filter(isUsable).map(worker => [worker, getFreeCapacity(worker)])))
    for (const [job, stall] of due) {
      if (!poolUse.isMostlyIdle(job.service)) continue
      const stalled = describe(job, stall, nowMs)
      if (stalled === undefined || stalled.cause === stall.loggedCause) continue
      stall.loggedCause = stalled.cause
      host.logger.warn('a job has nothing running although most of the pool is idle', stalled)
    }
  }

  function get (nowMs: number, limit: number): ReturnType<StalledJobs['get']> {
    // Stalls are kept in the order in which they began.
    const longest = [...stalls].slice(0, limit).flatMap(([job, stall]) => describe(job, stall, nowMs) ?? [])
    return { count: stalls.size, longest }
  }

  function describe (job: TrackedJob, { sinceMs }: Stall, nowMs: number): StalledJob | undefined {
    const unit = findWaitingUnit(job, nowMs)
    if (unit === undefined) return undefined
    const { occurrence, step, index } = unit
    const member = unit.attempts.flatMap(({ members }) => members).find(({ state }) => state !== MemberState.Ended)
    const cause = getCause(unit, member)
    const stopReason = member?.attempt.stopReason
    const leaseLeftMs = member === undefined ? undefined : host.getLeaseLeftMs(member)
    return {
      jobId: job.spec.jobId,
      task: member === undefined ? formatTaskName({ jobId: job.spec.jobId, occurrence, step, index }) : getTaskName(member),
      cause,
      ...(stopReason === undefined ? {} : { stopReason }),
      ...(cause === WaitCause.NotPlaced ? { obstacles: host.describeWait(unit) } : {}),
      stalledForMs: Math.round(nowMs - sinceMs),
      ...(member === undefined ? {} : { run: member.attempt.run, workerId: member.workerId }),
      ...(member?.reportedAtMs === undefined ? {} : { reportAgeMs: Math.round(nowMs - member.reportedAtMs) }),
      ...(leaseLeftMs === undefined ? {} : { leaseLeftMs: Math.round(leaseLeftMs) })
    }
  }
}

/** Returns a unit whose turn has come if nothing of the job is at work. */
function findWaitingUnit (job: TrackedJob, nowMs: number): Unit | undefined {
  if (job.isCancelRequested) return undefined
  let waiting: Unit | undefined
  for (const steps of job.occurrences.values()) {
    for (const units of steps) {
      for (const unit of units) {
        if (unit.isDone) continue
        if (unit.attempts.some(({ members }) => members.some(member => isAtWork(member, nowMs)))) return undefined
        if (waiting === undefined && areDependenciesDone(unit)) waiting = unit
      }
    }
  }
  return waiting
}

function isAtWork ({ state, startedAtMs = -Infinity, reportedAtMs = -Infinity }: Member, nowMs: number): boolean {
  return state === MemberState.Running && nowMs - Math.max(startedAtMs, reportedAtMs) < maxReportAgeMs
}

function getCause (unit: Unit, member: Member | undefined): WaitCause {
  if (member === undefined) return unit.isWithheld ? WaitCause.Withheld : WaitCause.NotPlaced
  if (member.attempt.stopReason !== undefined) return WaitCause.Stopping
  if (member.state === MemberState.Planned) return WaitCause.NotDispatched
  if (member.state !== MemberState.StartSent) return WaitCause.Unreported
  return member.attempt.isRestored ? WaitCause.Restored : WaitCause.StartUnanswered
}
