/**
 * One attempt to run a job, written straight down: make room, hold every member, decide, release every
 * member, follow. No member is released before all are held and the decision is on record:
 *
 * - A crash before the decision leaves held members only; they end with their leases or are stopped.
 * - A crash after it leaves a record (or, without the store, every worker's commit mark) by which the
 *   successor releases the rest.
 */
import type { Logger } from '../common/logger.js'
import { createSignal, delay } from '../common/time.js'
import { assert } from '../common/debug.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { Placement } from './domainCells.js'
import type { JobRecords } from './jobRecords.js'
import { getAcceleratorCount, JobState } from './jobTypes.js'
import type { JobSpec } from './jobTypes.js'
import type { WorkerLinks } from './workerLinks.js'
import { getTaskId, TaskEnd, TaskState } from './workerTypes.js'
import type { TaskDescriptor, TaskReport, WorkerPort } from './workerTypes.js'

/** How an attempt ended. */
export enum GangOutcome {
  Succeeded = 'succeeded',
  /** A member failed by itself. */
  Failed = 'failed',
  Cancelled = 'cancelled',
  /** It made room for other work. */
  Preempted = 'preempted',
  /** No member was released. */
  NotStarted = 'not-started',
  /** A member was lost after the release; all others were stopped. */
  Broken = 'broken',
  /** Another scheduler has taken over; nothing more is done here. */
  Deposed = 'deposed'
}

/** The end of an attempt. */
export interface GangEnd {
  readonly outcome: GangOutcome
  /** The worker whose member failed, could not be held, or was lost. */
  readonly workerId?: string
  /** Run time that checkpoints have saved, in ms. */
  readonly progressMs: number
  /** Accelerator time that this attempt had, in ms. */
  readonly attainedMs: number
  readonly wasReleased: boolean
  readonly isCheckpointIgnored: boolean
}

/** One member of the attempt, as its worker reports it. */
export interface MemberRun {
  readonly member: number
  readonly workerId: string
  readonly taskId: string
  state: TaskState | undefined
  end: TaskEnd | undefined
  ranMs: number
  progressMs: number
  isLost: boolean
  /** When the worker is known to have held the task, in ms since the epoch. */
  heldAtMs: number
}

/** What an attempt starts from. */
export interface GangStart {
  readonly spec: JobSpec
  readonly attempt: number
  readonly progressMs: number
  readonly attainedMs: number
}

/** What an attempt needs from outside. */
export interface GangRunHost {
  readonly links: WorkerLinks
  readonly records: JobRecords
  readonly logger: Logger
  readonly getEpoch: () => number
  readonly getLeaseMs: () => number
  readonly getCheckpointMs: () => number
  /** Makes a job leave the given workers; resolves when its members there have ended. */
  readonly evict: (jobId: string, workerIds: ReadonlySet<string>) => Promise<void>
  readonly onStarted: (jobId: string) => void
  /** Tells whether every worker of the domain has reported, or is lost. */
  readonly areWorkersSettled: () => boolean
}

/** One attempt to run a job. */
export interface GangRun {
  readonly start: GangStart
  readonly members: readonly MemberRun[]
  run (placement: Placement): Promise<GangEnd>
  /** Goes on with an attempt that an earlier scheduler began. */
  resume (): Promise<GangEnd>
  addMember (workerId: string, taskId: string, member: number): void
  onReport (report: TaskReport): void
  onWorkerLost (workerId: string): void
  /** The worker has no other tasks than these: members that it had before are lost. */
  onFullReport (workerId: string, taskIds: ReadonlySet<string>, sentAtMs: number): void
  /** Looks at the workers again, after one of them has settled. */
  poke (): void
  cancel (): void
  /** Makes the job leave; resolves when its members on the given workers have ended. */
  evict (workerIds: ReadonlySet<string>): Promise<void>
  depose (): void
  isReleased (): boolean
}

const stopRetryMs = 200
const releaseRetryMs = 100
const prepareAttempts = 2

/** Creates an attempt. */
export function createGangRun (host: GangRunHost, start: GangStart): GangRun {
  const { spec, attempt } = start
  const members: MemberRun[] = []
  const changed = createSignal()
  let isCancelled = false
  let isEvicted = false
  let isDeposed = false
  let isReleased = false
  let isFinished = false
  let isCheckpointIgnored = false

  return {
    start,
    members,
    run,
    resume,
    addMember,
    onReport,
    onWorkerLost,
    onFullReport,
    poke: changed.notify,
    cancel: () => {
      isCancelled = true
      changed.notify()
    },
    evict,
    depose: () => {
      isDeposed = true
      changed.notify()
    },
    isReleased: () => isReleased
  }

  async function run (placement: Placement): Promise<GangEnd> {
    placement.members.forEach((place, member) => addMember(place.workerId, getTaskId(spec.jobId, attempt, member), member))
    const workerIds = new Set(placement.members.map(place => place.workerId))
    await Promise.all(placement.victims.map(victim => host.evict(victim, workerIds)))
    if (shouldGiveUp()) return finish(getGivenUpOutcome())
    const refusedBy = await prepareAll(placement)
    if (refusedBy !== undefined || shouldGiveUp()) {
      await stopAll()
      return finish(shouldGiveUp() ? getGivenUpOutcome() : GangOutcome.NotStarted, refusedBy)
    }
    const isDecided = await decideRelease()
    if (!isDecided) {
      await stopAll()
      return finish(isDeposed ? GangOutcome.Deposed : GangOutcome.NotStarted)
    }
    return await releaseAndFollow()
  }

  async function resume (): Promise<GangEnd> {
    return await releaseAndFollow()
  }

  async function releaseAndFollow (): Promise<GangEnd> {
    isReleased = true
    host.onStarted(spec.jobId)
    await releaseAll()
    return await follow()
  }

  function shouldGiveUp (): boolean {
    return isCancelled || isEvicted || isDeposed
  }

  function getGivenUpOutcome (): GangOutcome {
    if (isDeposed) return GangOutcome.Deposed
    return isCancelled ? GangOutcome.Cancelled : GangOutcome.NotStarted
  }

  /** Returns the worker that refused or did not answer, if any. */
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
      progressMs: start.progressMs,
      attainedMs: start.attainedMs,
      spec
    }
    for (let tries = 0; tries < prepareAttempts; tries++) {
      try {
        await getPort(member).prepare(host.getEpoch(), task, host.getLeaseMs())
        member.state ??= TaskState.Held
        member.heldAtMs = Date.now()
        return undefined
      } catch (error) {
        noteError(error)
        if (!isErrorOfKind(error, ErrorKind.AnswerLost)) break
      }
    }
    return member.workerId
  }

  /** Puts the decision on record: in the store, or while that is out at every worker of the gang. */
  async function decideRelease (): Promise<boolean> {
    assert(members.every(member => member.state !== undefined), 'every member is held before the decision')
    const patch = { state: JobState.Released, attempt, startedAtMs: Date.now() }
    const isKnownToStore = host.records.get(spec.jobId) !== undefined
    if (!isKnownToStore) return false
    try {
      await host.records.write(spec.jobId, patch)
      return !isDeposed
    } catch (error) {
      noteError(error)
      if (!isErrorOfKind(error, ErrorKind.StoreUnavailable) || isDeposed) return false
    }
    if (!spec.repeatable && !host.records.isUnrecorded(spec.jobId)) return false
    if (!await commitAll()) return false
    host.records.writeLater(spec.jobId, patch)
    await host.records.share()
    return !isDeposed
  }

  async function commitAll (): Promise<boolean> {
    const results = await Promise.all(members.map(async member => {
      try {
        await getPort(member).commit(host.getEpoch(), [member.taskId])
        return true
      } catch (error) {
        noteError(error)
        return false
      }
    }))
    return results.every(isDone => isDone)
  }

  /** Repeats each release until it is acknowledged, or the member has surely ended. */
  async function releaseAll (): Promise<void> {
    await Promise.all(members.map(async member => {
      while (!isDeposed && !member.isLost && member.state !== TaskState.Running && member.state !== TaskState.Ended) {
        try {
          await getPort(member).release(host.getEpoch(), [member.taskId])
          markRunning(member)
        } catch (error) {
          noteError(error)
          if (isErrorOfKind(error, ErrorKind.Conflict)) await stopMember(member, TaskEnd.LeaseLapsed)
          else await delay(releaseRetryMs)
        }
      }
    }))
  }

  function markRunning (member: MemberRun): void {
    if (member.state === TaskState.Ended) return
    member.state = TaskState.Running
  }

  async function follow (): Promise<GangEnd> {
    while (true) {
      if (isDeposed) return finish(GangOutcome.Deposed)
      const failed = members.find(member => member.end === TaskEnd.Failed)
      if (failed !== undefined) return await stopAndFinish(GangOutcome.Failed, failed.workerId)
      const lost = members.find(isMemberBroken)
      if (lost !== undefined && !isEvicted) return await stopAndFinish(GangOutcome.Broken, lost.workerId)
      const isWhole = members.length === spec.members
      if (isWhole && members.every(member => member.end === TaskEnd.Succeeded)) return finish(GangOutcome.Succeeded)
      if (isCancelled) return await stopAndFinish(GangOutcome.Cancelled)
      if (isEvicted) return await checkpointAndFinish()
      if (!isWhole && host.areWorkersSettled()) return await stopAndFinish(GangOutcome.Broken)
      await changed.wait()
    }
  }

  async function stopAndFinish (outcome: GangOutcome, workerId?: string): Promise<GangEnd> {
    await stopAll()
    return finish(isDeposed ? GangOutcome.Deposed : outcome, workerId)
  }

  async function checkpointAndFinish (): Promise<GangEnd> {
    if (spec.repeatable) {
      const saving = Promise.all(members.map(checkpointMember))
      await Promise.race([saving, delay(host.getCheckpointMs())])
      isCheckpointIgnored = members.some(member => member.state === TaskState.Running)
    }
    await stopAll()
    if (isDeposed) return finish(GangOutcome.Deposed)
    const isDone = members.length === spec.members && members.every(member => member.end === TaskEnd.Succeeded)
    return finish(isDone ? GangOutcome.Succeeded : GangOutcome.Preempted)
  }

  async function checkpointMember (member: MemberRun): Promise<void> {
    if (member.state !== TaskState.Running || member.isLost) return
    try {
      const reports = await getPort(member).checkpoint(host.getEpoch(), [member.taskId])
      reports.forEach(onReport)
    } catch (error) {
      noteError(error)
    }
  }

  /** Resolves when every member has surely ended, or another scheduler has taken over. */
  async function stopAll (): Promise<void> {
    await Promise.all(members.map(async member => {
      while (!isDeposed && !isMemberGone(member)) {
        const isStopped = await stopMember(member, TaskEnd.Stopped)
        if (!isStopped) await delay(stopRetryMs)
      }
    }))
  }

  /** The worker's answer tells how the task really ended; `end` stands where it knows no such task. */
  async function stopMember (member: MemberRun, end: TaskEnd): Promise<boolean> {
    try {
      const reports = await getPort(member).stop(host.getEpoch(), [member.taskId])
      reports.forEach(onReport)
      endMember(member, end)
      return true
    } catch (error) {
      noteError(error)
      return false
    }
  }

  function addMember (workerId: string, taskId: string, member: number): void {
    if (members.some(known => known.taskId === taskId)) return
    members.push({ member, workerId, taskId, state: undefined, end: undefined, ranMs: 0, progressMs: start.progressMs, isLost: false, heldAtMs: Infinity })
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

  async function evict (workerIds: ReadonlySet<string>): Promise<void> {
    isEvicted = true
    changed.notify()
    const isThere = (member: MemberRun): boolean => workerIds.has(member.workerId) && !isMemberGone(member)
    while (!isFinished && !isDeposed && members.some(isThere)) await changed.wait()
  }

  function endMember (member: MemberRun, end: TaskEnd): void {
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
      progressMs: Number.isFinite(progressMs) ? progressMs : start.progressMs,
      attainedMs: ranMs * Math.max(1, getAcceleratorCount(spec)),
      wasReleased: isReleased,
      isCheckpointIgnored
    }
  }

  function getPort (member: MemberRun): WorkerPort {
    const port = host.links.get(member.workerId)
    if (port === undefined) {
      member.isLost = true
      throw new Error('the worker has left the list')
    }
    return port
  }

  function noteError (error: unknown): void {
    if (!isErrorOfKind(error, ErrorKind.StaleEpoch)) return
    host.logger.warn(`job ${spec.jobId} is now run by another scheduler`)
    isDeposed = true
    changed.notify()
  }
}

/** The member has surely ended. A member that was never held cannot have been released. */
function isMemberGone (member: MemberRun): boolean {
  return member.isLost || member.state === TaskState.Ended
}

function isMemberBroken (member: MemberRun): boolean {
  if (member.isLost) return true
  return member.state === TaskState.Ended && member.end !== TaskEnd.Succeeded && member.end !== TaskEnd.Failed
}
