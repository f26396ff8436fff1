/**
 * One attempt to run a job, as a sequence of steps: preempt other jobs, hold every member on its worker, record
 * the decision to release, release every member, monitor the members. No member is released before all are held
 * and the decision is recorded:
 *
 * - A crash before the decision leaves only held members; they end when their leases expire, or are stopped.
 * - A crash after the decision leaves a record of it (or, without the store, the `committed` state of every member)
 *   from which the next scheduler releases the remaining members.
 */
import type { Logger } from '../common/logger.js'
import { createSignal, delay } from '../common/time.js'
import { assert } from '../common/assertions.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { Placement } from './domainAllocator.js'
import type { JobRecords } from './jobRecords.js'
import { getAcceleratorCount, JobState } from './jobTypes.js'
import type { JobSpec } from './jobTypes.js'
import type { WorkerLinks } from './workerLinks.js'
import { getTaskId, TaskEndReason, TaskState } from './workerTypes.js'
import type { TaskDescriptor, TaskReport, WorkerPort } from './workerTypes.js'

/** How an attempt ended. */
export enum GangOutcome {
  Succeeded = 'succeeded',
  /** A member's own process failed. */
  Failed = 'failed',
  Cancelled = 'cancelled',
  /** Stopped to free its accelerators for another job. */
  Preempted = 'preempted',
  /** No member was released. */
  NotStarted = 'not-started',
  /** A member was lost after the release; all other members were stopped. */
  Broken = 'broken',
  /** Another scheduler has taken over; this one takes no further action. */
  Superseded = 'deposed'
}

/** The result of an attempt. */
export interface GangEnd {
  readonly outcome: GangOutcome
  /** The worker whose member failed, could not be held, or was lost. */
  readonly workerId?: string
  /** Run time that is saved in checkpoints, in ms. */
  readonly progressMs: number
  /** Accelerator time that this attempt used, in ms. */
  readonly attainedMs: number
  readonly wasReleased: boolean
  readonly isCheckpointIgnored: boolean
}

/** The state of one member of the attempt, as its worker reports it. */
export interface MemberRun {
  readonly member: number
  readonly workerId: string
  readonly taskId: string
  state: TaskState | undefined
  end: TaskEndReason | undefined
  ranMs: number
  progressMs: number
  isLost: boolean
  /** Earliest time at which the worker is known to have held the task, in ms since the Unix epoch. */
  heldAtMs: number
}

/** The job and its state before the attempt. */
export interface GangRunInput {
  readonly spec: JobSpec
  readonly attempt: number
  readonly progressMs: number
  readonly attainedMs: number
}

/** Dependencies of an attempt. */
export interface GangRunHost {
  readonly links: WorkerLinks
  readonly records: JobRecords
  readonly logger: Logger
  readonly getEpoch: () => number
  readonly getLeaseMs: () => number
  readonly getCheckpointMs: () => number
  /** Preempts a job; resolves when its members on the given workers have ended. */
  readonly preempt: (jobId: string, workerIds: ReadonlySet<string>) => Promise<void>
  readonly onStarted: (jobId: string) => void
  /** Returns whether every worker of the domain has reported or is lost. */
  readonly areWorkersSettled: () => boolean
}

/** One attempt to run a job. */
export interface GangRun {
  readonly input: GangRunInput
  readonly members: readonly MemberRun[]
  run (placement: Placement): Promise<GangEnd>
  /** Continues an attempt that an earlier scheduler started. */
  resume (): Promise<GangEnd>
  addMember (workerId: string, taskId: string, member: number): void
  onReport (report: TaskReport): void
  onWorkerLost (workerId: string): void
  /** Handles the worker's complete list of tasks, requested at `sentAtMs`: members that it held before then and does not list are lost. */
  onFullReport (workerId: string, taskIds: ReadonlySet<string>, sentAtMs: number): void
  /** Checks again whether all workers have reported or are lost; if so, members that none of them has reported are lost. */
  recheckWorkers (): void
  cancel (): void
  /** Preempts the job; resolves when its members on the given workers have ended. */
  preempt (workerIds: ReadonlySet<string>): Promise<void>
  abandon (): void
  isReleased (): boolean
}

const stopRetryDelayMs = 200
const releaseRetryDelayMs = 100
const maxPrepareTries = 2

/** Creates an attempt. */
export function createGangRun (host: GangRunHost, input: GangRunInput): GangRun {
  const { spec, attempt } = input
  const members: MemberRun[] = []
  const changed = createSignal()
  let isCancelled = false
  let isPreempted = false
  let isSuperseded = false
  let isReleased = false
  let isFinished = false
  let isCheckpointIgnored = false

  return {
    input,
    members,
    run,
    resume,
    addMember,
    onReport,
    onWorkerLost,
    onFullReport,
    recheckWorkers: changed.notify,
    cancel: () => {
      isCancelled = true
      changed.notify()
    },
    preempt,
    abandon: () => {
      isSuperseded = true
      changed.notify()
    },
    isReleased: () => isReleased
  }

  async function run (placement: Placement): Promise<GangEnd> {
    placement.members.forEach((place, member) => addMember(place.workerId, getTaskId(spec.jobId, attempt, member), member))
    const workerIds = new Set(placement.members.map(place => place.workerId))
    await Promise.all(placement.victims.map(victim => host.preempt(victim, workerIds)))
    if (shouldAbort()) return finish(getAbortOutcome())
    const rejectedBy = await prepareAll(placement)
    if (rejectedBy !== undefined || shouldAbort()) {
      await stopAll()
      return finish(shouldAbort() ? getAbortOutcome() : GangOutcome.NotStarted, rejectedBy)
    }
    const isRecorded = await recordReleaseDecision()
    if (!isRecorded) {
      await stopAll()
      return finish(isSuperseded ? GangOutcome.Superseded : GangOutcome.NotStarted)
    }
    return await releaseAndMonitor()
  }

  async function resume (): Promise<GangEnd> {
    return await releaseAndMonitor()
  }

  async function releaseAndMonitor (): Promise<GangEnd> {
    isReleased = true
    host.onStarted(spec.jobId)
    await releaseAll()
    return await monitor()
  }

  function shouldAbort (): boolean {
    return isCancelled || isPreempted || isSuperseded
  }

  function getAbortOutcome (): GangOutcome {
    if (isSuperseded) return GangOutcome.Superseded
    return isCancelled ? GangOutcome.Cancelled : GangOutcome.NotStarted
  }

  /** Returns the first worker that rejected its member or did not respond, if any. */
  async function prepareAll (placement: Placement): Promise<string | undefined> {
    const results = await Promise.all(members.map(member => prepareMember(member, placement)))
    return results.find(workerId => workerId !== undefined)
  }

  async function prepareMember (member: MemberRun, placement: Placement): Promise<string | undefined> {
    const task: TaskDescriptor = {
      taskId: member.taskId,
      attempt,
      member: member.member,
      accelerators: placement.members[member.member]?.accelerators ?? [],
      guaranteeId: placement.guaranteeId,
      progressMs: input.progressMs,
      attainedMs: input.attainedMs,
      spec
    }
    for (let tries = 0; tries < maxPrepareTries; tries++) {
      try {
        await getPort(member).prepare(host.getEpoch(), task, host.getLeaseMs())
        member.state ??= TaskState.Held
        member.heldAtMs = Date.now()
        return undefined
      } catch (error) {
        detectSuperseded(error)
        if (!isErrorOfKind(error, ErrorKind.AnswerLost)) break
      }
    }
    return member.workerId
  }

  /** Records the decision in the store or, while the store is unavailable, on every worker of the gang. */
  async function recordReleaseDecision (): Promise<boolean> {
    assert(members.every(member => member.state !== undefined), 'every member is held before the release decision')
    const patch = { state: JobState.Released, attempt, startedAtMs: Date.now() }
    const hasRecord = host.records.get(spec.jobId) !== undefined
    if (!hasRecord) return false
    try {
      await host.records.write(spec.jobId, patch)
      return !isSuperseded
    } catch (error) {
      detectSuperseded(error)
      if (!isErrorOfKind(error, ErrorKind.StoreUnavailable) || isSuperseded) return false
    }
    if (!spec.repeatable && !host.records.wasNeverStored(spec.jobId)) return false
    if (!await commitAll()) return false
    host.records.writeLater(spec.jobId, patch)
    await host.records.share()
    return !isSuperseded
  }

  async function commitAll (): Promise<boolean> {
    const results = await Promise.all(members.map(async member => {
      try {
        await getPort(member).commit(host.getEpoch(), [member.taskId])
        return true
      } catch (error) {
        detectSuperseded(error)
        return false
      }
    }))
    return results.every(isCommitted => isCommitted)
  }

  /** Repeats each release until it is acknowledged or the member is known to have ended. */
  async function releaseAll (): Promise<void> {
    await Promise.all(members.map(async member => {
      while (!isSuperseded && !member.isLost && member.state !== TaskState.Running && member.state !== TaskState.Ended) {
        try {
          await getPort(member).release(host.getEpoch(), [member.taskId])
          markRunning(member)
        } catch (error) {
          detectSuperseded(error)
          if (isErrorOfKind(error, ErrorKind.Conflict)) await stopMember(member, TaskEndReason.LeaseExpired)
          else await delay(releaseRetryDelayMs)
        }
      }
    }))
  }

  function markRunning (member: MemberRun): void {
    if (member.state === TaskState.Ended) return
    member.state = TaskState.Running
  }

  async function monitor (): Promise<GangEnd> {
    while (true) {
      if (isSuperseded) return finish(GangOutcome.Superseded)
      const failed = members.find(member => member.end === TaskEndReason.Failed)
      if (failed !== undefined) return await stopAndFinish(GangOutcome.Failed, failed.workerId)
      const lost = members.find(isMemberBroken)
      if (lost !== undefined && !isPreempted) return await stopAndFinish(GangOutcome.Broken, lost.workerId)
      const isComplete = members.length === spec.members
      if (isComplete && members.every(member => member.end === TaskEndReason.Succeeded)) return finish(GangOutcome.Succeeded)
      if (isCancelled) return await stopAndFinish(GangOutcome.Cancelled)
      if (isPreempted) return await checkpointAndFinish()
      if (!isComplete && host.areWorkersSettled()) return await stopAndFinish(GangOutcome.Broken)
      await changed.wait()
    }
  }

  async function stopAndFinish (outcome: GangOutcome, workerId?: string): Promise<GangEnd> {
    await stopAll()
    return finish(isSuperseded ? GangOutcome.Superseded : outcome, workerId)
  }

  async function checkpointAndFinish (): Promise<GangEnd> {
    if (spec.repeatable) {
      const saving = Promise.all(members.map(checkpointMember))
      await Promise.race([saving, delay(host.getCheckpointMs())])
      isCheckpointIgnored = members.some(member => member.state === TaskState.Running)
    }
    await stopAll()
    if (isSuperseded) return finish(GangOutcome.Superseded)
    const hasSucceeded = members.length === spec.members && members.every(member => member.end === TaskEndReason.Succeeded)
    return finish(hasSucceeded ? GangOutcome.Succeeded : GangOutcome.Preempted)
  }

  async function checkpointMember (member: MemberRun): Promise<void> {
    if (member.state !== TaskState.Running || member.isLost) return
    try {
      const reports = await getPort(member).checkpoint(host.getEpoch(), [member.taskId])
      reports.forEach(onReport)
    } catch (error) {
      detectSuperseded(error)
    }
  }

  /** Resolves when every member is known to have ended, or another scheduler has taken over. */
  async function stopAll (): Promise<void> {
    await Promise.all(members.map(async member => {
      while (!isSuperseded && !hasMemberEnded(member)) {
        const isStopped = await stopMember(member, TaskEndReason.Stopped)
        if (!isStopped) await delay(stopRetryDelayMs)
      }
    }))
  }

  /** The worker's response tells how the task ended; `end` applies if the worker does not know the task. */
  async function stopMember (member: MemberRun, end: TaskEndReason): Promise<boolean> {
    try {
      const reports = await getPort(member).stop(host.getEpoch(), [member.taskId])
      reports.forEach(onReport)
      endMember(member, end)
      return true
    } catch (error) {
      detectSuperseded(error)
      return false
    }
  }

  function addMember (workerId: string, taskId: string, member: number): void {
    if (members.some(known => known.taskId === taskId)) return
    members.push({ member, workerId, taskId, state: undefined, end: undefined, ranMs: 0, progressMs: input.progressMs, isLost: false, heldAtMs: Infinity })
    changed.notify()
  }

  function onReport (report: TaskReport): void {
    const member = members.find(known => known.taskId === report.taskId)
    if (member === undefined || member.state === TaskState.Ended) return
    member.ranMs = report.ranMs
    member.heldAtMs = Math.min(member.heldAtMs, Date.now())
    member.progressMs = report.progressMs
    const isStale = member.state === TaskState.Running && report.state !== TaskState.Ended
    if (!isStale) {
      member.state = report.state
      member.end = report.end
    }
    changed.notify()
  }

  function onWorkerLost (workerId: string): void {
    for (const member of members) {
      if (member.workerId === workerId && member.state !== TaskState.Ended) member.isLost = true
    }
    changed.notify()
  }

  function onFullReport (workerId: string, taskIds: ReadonlySet<string>, sentAtMs: number): void {
    for (const member of members) {
      const isGone = member.workerId === workerId && member.heldAtMs < sentAtMs && !taskIds.has(member.taskId)
      if (isGone && member.state !== TaskState.Ended) member.isLost = true
    }
    changed.notify()
  }

  async function preempt (workerIds: ReadonlySet<string>): Promise<void> {
    isPreempted = true
    changed.notify()
    const isStillOnWorkers = (member: MemberRun): boolean => workerIds.has(member.workerId) && !hasMemberEnded(member)
    while (!isFinished && !isSuperseded && members.some(isStillOnWorkers)) await changed.wait()
  }

  function endMember (member: MemberRun, end: TaskEndReason): void {
    if (member.state === TaskState.Ended) return
    member.state = TaskState.Ended
    member.end = end
    changed.notify()
  }

  function finish (outcome: GangOutcome, workerId?: string): GangEnd {
    isFinished = true
    changed.notify()
    const ranMs = members.reduce((longest, member) => Math.max(longest, member.ranMs), 0)
    const progressMs = members.reduce((least, member) => Math.min(least, member.progressMs), Infinity)
    return {
      outcome,
      workerId,
      progressMs: Number.isFinite(progressMs) ? progressMs : input.progressMs,
      attainedMs: ranMs * Math.max(1, getAcceleratorCount(spec)),
      wasReleased: isReleased,
      isCheckpointIgnored
    }
  }

  function getPort (member: MemberRun): WorkerPort {
    const port = host.links.get(member.workerId)
    if (port === undefined) {
      member.isLost = true
      throw new Error('the worker is no longer listed')
    }
    return port
  }

  function detectSuperseded (error: unknown): void {
    if (!isErrorOfKind(error, ErrorKind.StaleEpoch)) return
    host.logger.warn(`job ${spec.jobId} has been taken over by another scheduler`)
    isSuperseded = true
    changed.notify()
  }
}

/** Returns whether the member is known to have ended. A lost member has, since its worker no longer runs it. */
function hasMemberEnded (member: MemberRun): boolean {
  return member.isLost || member.state === TaskState.Ended
}

function isMemberBroken (member: MemberRun): boolean {
  if (member.isLost) return true
  return member.state === TaskState.Ended && member.end !== TaskEndReason.Succeeded && member.end !== TaskEndReason.Failed
}
