/**
 * Manages the life cycle of attempts. An attempt is stored before any request is sent, started when there is free capacity
 * for all members, stopped on request, and ended according to the reports of the workers.
 */
import { assert } from '../common/assertions.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { EndKind, isTerminal, JobState, tryParseTaskName } from '../jobs/jobModel.js'
import type { Resources } from '../jobs/jobModel.js'
import { createAttempt, findUnit, getTaskName, getUnits, hasStarted, isAttemptOver, areAllOccurrencesDone, MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { isEligible } from '../placement/placeUnit.js'
import { fits, getAllocationKey, getUnusedCapacity, isUsable, subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import type { ReadEnd } from '../readers/readEnds.js'
import type { EndedRun, RunningRun, WorkerStatusReport } from '../workers/workerPort.js'
import { createCrashTracking } from './crashTracking.js'
import { checkDisruption } from './disruptionBudget.js'
import { AbsenceVerdict, addSighting, describeEvidence, describeLastReport, EvidenceSource, isWrittenAfter, isWrittenBefore, judgeAbsence, RunScope } from './endEvidence.js'
import type { EndEvidence, ReportOrigin } from './endEvidence.js'
import { createStartRequests } from './startRequests.js'
import type { WorkerLink } from './workerLink.js'

/** Dependencies of the run controller. */
export interface RunControllerHost {
  readonly term: Term
  readonly logger: Logger
  readonly getJob: (jobId: string) => TrackedJob | undefined
  readonly getWorker: (workerId: string) => WorkerState | undefined
  readonly getWorkers: () => Iterable<WorkerState>
  readonly getLink: (workerId: string) => WorkerLink | undefined
  /** The number of failed runs of a unit at which its job fails. */
  readonly getAttemptLimit: (job: TrackedJob) => number
  /** False while it is not known which workers are draining or which failure domains are evacuated. */
  readonly mayStart: () => boolean
  /** The fields that describe the evacuation of a worker's failure domain in the log. */
  readonly describeEvacuation: (workerId: string) => object
  readonly getTicket: (member: Member) => string | undefined
  readonly onBadTicket: (member: Member) => void
  /** Resolves when the progress of the job is stored. */
  readonly commit: (job: TrackedJob) => Promise<void>
  /** The longest time that a worker takes to stop a run, in ms. */
  readonly stopMs: number
  /** A service task counts as unavailable until it has been running at full progress for this long, in ms. */
  readonly noticeMs: number
  /** Called when free capacity, units or jobs have changed, so that new placements may be possible. */
  readonly onChanged: () => void
  /** Called when a worker has begun the first task of a job. */
  readonly onJobBegun: () => void
  readonly onMemberEnded: (member: Member, how: MemberEnd) => void
  /** Called when a worker has refused a start because it is unhealthy. */
  readonly onRefusal: (workerId: string) => void
}

/** How a member ended: as reported by its worker, without having started, or lost (its worker is lost or no longer reports the run). */
export type MemberEnd = EndKind | 'not-started' | 'lost'

/** Manages all attempts of one term. */
export interface RunController {
  /** Allocates resources for an attempt of the unit, stores the attempt, and starts it as soon as these resources are free. */
  planAttempt (unit: Unit, workerIds: readonly string[]): Attempt
  /** Starts the planned attempts whose allocated resources have become free; stops those with a worker that is no longer usable. */
  dispatchPlanned (): void
  /**
   * Stops an attempt by the scheduler's own choice. Returns false, and leaves it running, if it belongs to a service step of which too many tasks are
   * unavailable already.
   */
  stopAttempt (attempt: Attempt, reason: string): boolean
  /** Stops an attempt like `stopAttempt`, to make room for other work: its unit is then held back for a while. */
  preemptAttempt (attempt: Attempt, reason: string): boolean
  cancelJob (job: TrackedJob): void
  /** Takes over the attempts of all jobs that a previous scheduler has stored. Must be called once, when the listed workers are known and before any has reported. */
  restoreAttempts (jobs: Iterable<TrackedJob>): void
  /** Updates members and allocations from a worker's report. Resolves when every reported end is stored. */
  onReport (worker: WorkerState, report: WorkerStatusReport, sentAtMs: number, isComplete: boolean): Promise<void>
  /**
   * Applies ends that other hosts have read, or this one before its term. They prove nothing about runs that they do not name. Must not be called before `restoreAttempts`.
   */
  applyReadEnds (ends: readonly ReadEnd[]): void
  /** Ends the members on a worker whose runs are lost, by this evidence: all but those whose runs, by allocation key, are in `uncertainRuns`. */
  onWorkerLost (worker: WorkerState, source: EvidenceSource, uncertainRuns: ReadonlySet<string>): void
  /** Counts a crash under the runs that the worker had before it started anew at `bornAtMs`. */
  onWorkerCrashed (workerId: string, machine: string, bornAtMs: number, wasDraining: boolean): void
  getMembers (workerId: string): ReadonlySet<Member>
  /** Tells whether a member on the worker has not ended, or a start request without an answer may still be carried out there. */
  needsReports (workerId: string): boolean
  /** The runs, by allocation key, of which a start request to the worker is under way, or has got no answer and may still be carried out. */
  getUncertainRuns (workerId: string): ReadonlySet<string>
  /** Tells whether the worker may be gone: a start request has got no answer, and the worker has answered nothing since. */
  isInDoubt (workerId: string): boolean
}

/** A stop is sent again when the end has not been reported within this, in ms, beyond the time that a stop may take. */
const stopReportMs = 800
const noResources: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }
const evacuatedReason = 'the failure domain of a planned worker is evacuated'
/** Pause after a failed stop request, in ms. */
const stopRetryPauseMs = 200

/** Creates the run controller of one term. */
export function createRunController (host: RunControllerHost): RunController {
  const { term, logger } = host
  const membersByWorker = new Map<string, Set<Member>>()
  const planned = new Set<Attempt>()
  /** The jobs whose ends were read by other hosts, until they are stored. */
  const storingReadEnds = new Map<TrackedJob, Promise<void>>()
  const startRequests = createStartRequests({
    term,
    logger,
    getLink: host.getLink,
    getTicket: host.getTicket,
    mayStart: host.mayStart,
    getObstacle: getStartObstacle,
    onPrevented: preventStart,
    onNotSent: member => { endMember(member, 'not-started', '', { source: EvidenceSource.NotSent }) },
    onStarted: member => { recordBegun(member.attempt.unit.job) },
    onFailed: failStart,
    onUncertain: (member, reason) => { beginStop(member.attempt, reason) },
    onBadTicket: host.onBadTicket,
    onRefusal: host.onRefusal
  })
  const crashTracking = createCrashTracking({
    logger,
    signal: term.signal,
    getMembers,
    getWorkers: host.getWorkers,
    commit: job => { void host.commit(job) },
    onEarlierLifeEnded: workerId => { loseMembers(workerId, EvidenceSource.Replaced) },
    onGivenUp: unit => { endJob(unit.job, JobState.Failed) }
  })

  return { planAttempt, dispatchPlanned, stopAttempt, preemptAttempt, cancelJob, restoreAttempts, onReport, applyReadEnds, onWorkerLost, onWorkerCrashed: crashTracking.onWorkerCrashed, getMembers, needsReports, getUncertainRuns: startRequests.getUncertainRuns, isInDoubt: workerId => startRequests.getDoubtedSinceMs(workerId) !== undefined }

  function getMembers (workerId: string): Set<Member> {
    let members = membersByWorker.get(workerId)
    if (members === undefined) membersByWorker.set(workerId, members = new Set())
    return members
  }

  function needsReports (workerId: string): boolean {
    return getMembers(workerId).size > 0 || startRequests.hasUnanswered(workerId)
  }

  // Starting

  function planAttempt (unit: Unit, workerIds: readonly string[]): Attempt {
    assert(unit.attempts.length === 0 || unit.spec.isSpeculative, 'a unit that is not speculative has at most one attempt')
    assert(!unit.isDone && !isTerminal(unit.job.state), 'only unfinished units are started')
    const places = workerIds.map(workerId => {
      const { bornAtMs = 0, machineId = workerId } = host.getWorker(workerId)?.info ?? {}
      return { workerId, bornAtMs, machine: machineId }
    })
    const attempt = createAttempt(unit, unit.run + 1, places, performance.now())
    for (const member of attempt.members) {
      getMembers(member.workerId).add(member)
      host.getWorker(member.workerId)?.allocations.set(getAllocationKey(getTaskName(member), attempt.run), { resources: unit.spec.request, isPlanned: true })
    }
    if (unit.job.state === JobState.Queued) unit.job.state = JobState.Active
    logger.info('attempt planned', {
      jobId: unit.job.spec.jobId,
      occurrence: unit.occurrence,
      step: unit.step,
      index: unit.index,
      run: attempt.run,
      workers: workerIds,
      waitedMs: Math.round(performance.now() - unit.waitingSinceMs),
      failedRuns: unit.failedRuns.size
    })
    void host.commit(unit.job).then(() => {
      if (attempt.stopReason !== undefined) return
      planned.add(attempt)
      dispatchPlanned()
    })
    return attempt
  }

  function dispatchPlanned (): void {
    if (!term.isValid() || !host.mayStart()) return
    for (const attempt of planned) {
      const evacuated = attempt.members.find(({ workerId }) => isDomainEvacuated(workerId))
      if (evacuated !== undefined) preventStart(evacuated, evacuatedReason)
      else if (!attempt.members.every(({ workerId }) => isUsableWorker(workerId))) beginStop(attempt, 'a planned worker is no longer usable')
      else if (!attempt.members.every(({ workerId }) => isEligibleWorker(attempt.unit, workerId))) beginStop(attempt, 'a planned worker is of another service than the queue names now, or lacks the required label')
      else if (attempt.members.some(({ workerId }) => isDoubtedSince(workerId, attempt.plannedAtMs))) beginStop(attempt, 'a planned worker has left another start without an answer')
      else if (hasCapacity(attempt)) dispatch(attempt)
      else if (attempt.members.some(({ workerId }) => isOvercommitted(workerId))) beginStop(attempt, 'the capacity of a planned worker has shrunk')
    }
  }

  /** Tells whether what runs and is planned on a worker exceeds its capacity even when everything that is being stopped has ended. */
  function isOvercommitted (workerId: string): boolean {
    const worker = host.getWorker(workerId)
    if (worker === undefined) return false
    let free = worker.info.capacity
    for (const { attempt } of getMembers(workerId)) if (attempt.stopReason === undefined) free = subtractResources(free, attempt.unit.spec.request)
    return !fits(noResources, free)
  }

  function isUsableWorker (workerId: string): boolean {
    const worker = host.getWorker(workerId)
    return worker !== undefined && isUsable(worker)
  }

  function isEligibleWorker (unit: Unit, workerId: string): boolean {
    const worker = host.getWorker(workerId)
    return worker !== undefined && isEligible(unit, worker)
  }

  /** An attempt that was planned before the worker was in doubt may have room elsewhere. */
  function isDoubtedSince (workerId: string, sinceMs: number): boolean {
    return (startRequests.getDoubtedSinceMs(workerId) ?? -Infinity) > sinceMs
  }

  function isDomainEvacuated (workerId: string): boolean {
    return host.getWorker(workerId)?.isDomainEvacuated === true
  }

  /** Returns why nothing may be sent to the worker now, if so. */
  function getStartObstacle (workerId: string): string | undefined {
    if (isDomainEvacuated(workerId)) return evacuatedReason
    return host.mayStart() ? undefined : 'the list of workers or of evacuations is too old'
  }

  /** Stops the attempt of a member that must not be sent to its worker; a gang is stopped as a whole, since it cannot run without the member. */
  function preventStart (member: Member, reason: string): void {
    logger.info('a start was prevented', { reason, task: getTaskName(member), run: member.attempt.run, workerId: member.workerId, ...host.describeEvacuation(member.workerId) })
    beginStop(member.attempt, reason)
    void host.commit(member.attempt.unit.job)
  }

  /** Members may share a worker, so their requests are summed per worker. */
  function hasCapacity (attempt: Attempt): boolean {
    const { request } = attempt.unit.spec
    const counts = new Map<string, number>()
    for (const { workerId } of attempt.members) counts.set(workerId, (counts.get(workerId) ?? 0) + 1)
    return [...counts].every(([workerId, count]) => {
      const worker = host.getWorker(workerId)
      const needed = { cpuMilli: request.cpuMilli * count, memoryMb: request.memoryMb * count, accelerators: request.accelerators * count }
      return worker !== undefined && fits(needed, getUnusedCapacity(worker))
    })
  }

  function dispatch (attempt: Attempt): void {
    planned.delete(attempt)
    attempt.isDispatched = true
    for (const member of attempt.members) {
      const worker = host.getWorker(member.workerId)
      const allocation = worker?.allocations.get(getAllocationKey(getTaskName(member), attempt.run))
      if (allocation !== undefined) allocation.isPlanned = false
    }
    for (const member of attempt.members) {
      assertNotOverallocated(member.workerId)
      void startRequests.start(member)
    }
  }

  function assertNotOverallocated (workerId: string): void {
    const worker = host.getWorker(workerId)
    if (worker === undefined) return
    const unused = getUnusedCapacity(worker)
    assert(unused.cpuMilli >= 0 && unused.memoryMb >= 0 && unused.accelerators >= 0, 'the allocations on a worker do not exceed its capacity')
  }

  /** The record of the job follows with its next change. */
  function recordBegun (job: TrackedJob): void {
    if (job.hasBegun) return
    job.hasBegun = true
    host.onJobBegun()
  }

  function failStart (member: Member, reason: string, source: EvidenceSource): void {
    member.attempt.unit.avoidedWorkers.add(member.workerId)
    endMember(member, 'not-started', '', { source })
    if (!isAttemptOver(member.attempt)) beginStop(member.attempt, `a member failed to start: ${reason}`)
    void host.commit(member.attempt.unit.job)
  }

  // Stopping

  function stopAttempt (attempt: Attempt, reason: string): boolean {
    if (attempt.stopReason !== undefined) return true
    const { unit } = attempt
    if (unit.spec.isService) {
      const { isAllowed, ...counts } = checkDisruption(unit, host.noticeMs, performance.now())
      if (!isAllowed) {
        logger.info('a service task is not stopped: too many tasks of its step are unavailable', { jobId: unit.job.spec.jobId, step: unit.step, index: unit.index, run: attempt.run, reason, ...counts })
        return false
      }
    }
    beginStop(attempt, reason)
    return true
  }

  function preemptAttempt (attempt: Attempt, reason: string): boolean {
    if (attempt.stopReason !== undefined) return true
    // The attempt may be over when `stopAttempt` returns.
    attempt.isPreempted = true
    attempt.isPreempted = stopAttempt(attempt, reason)
    return attempt.isPreempted
  }

  /** Stops an attempt whether or not other tasks of its step are unavailable. */
  function beginStop (attempt: Attempt, reason: string): void {
    if (attempt.stopReason !== undefined) return
    attempt.stopReason = reason
    planned.delete(attempt)
    logger.info('stopping an attempt', { jobId: attempt.unit.job.spec.jobId, step: attempt.unit.step, run: attempt.run, reason })
    for (const member of [...attempt.members]) {
      if (member.state === MemberState.Planned) endMember(member, 'not-started', '', { source: EvidenceSource.NotSent })
      else void stopMember(member)
    }
  }

  async function stopMember (member: Member): Promise<void> {
    if (member.isStopLoopRunning) return
    member.isStopLoopRunning = true
    while (member.state !== MemberState.Ended && !term.signal.aborted) {
      const link = host.getLink(member.workerId)
      try {
        if (link === undefined || !term.isValid()) throw new Error('no connection to the worker, or the term is no longer valid')
        // A later incarnation may accept the stop, but not an earlier one.
        const incarnationMs = link.getBornAtMs()
        await link.port.stop({ task: getTaskName(member), run: member.attempt.run, epoch: term.epoch })
        const known = member.startExclusion
        if (known === undefined || (known.incarnationMs ?? incarnationMs) !== incarnationMs) member.startExclusion = { atMs: performance.now(), incarnationMs }
        link.wake()
        await delay(host.stopMs + stopReportMs, term.signal)
      } catch (error) {
        if (isErrorOfKind(error, ErrorKind.StaleEpoch)) term.resign(`worker ${member.workerId} has seen a higher epoch`)
        await delay(stopRetryPauseMs, term.signal)
      }
    }
    member.isStopLoopRunning = false
  }

  function cancelJob (job: TrackedJob): void {
    job.isCancelRequested = true
    if (isTerminal(job.state)) return
    endJob(job, JobState.Cancelled)
  }

  function endJob (job: TrackedJob, state: JobState): void {
    job.state = state
    job.endedAtMs = Date.now()
    logger.info('job ended', { jobId: job.spec.jobId, state, tookMs: job.endedAtMs - job.spec.acceptedAtMs, queue: job.spec.queue })
    for (const unit of getUnits(job)) {
      // The remaining members of a finished gang end without a stop.
      if (!unit.isDone) for (const attempt of [...unit.attempts]) beginStop(attempt, `the job is ${state}`)
    }
    void host.commit(job)
    host.onChanged()
  }

  // Worker reports

  function restoreAttempts (jobs: Iterable<TrackedJob>): void {
    for (const job of jobs) restoreAttemptsOfJob(job)
    crashTracking.onAllRestored()
  }

  function restoreAttemptsOfJob (job: TrackedJob): void {
    for (const unit of getUnits(job)) {
      for (const attempt of [...unit.attempts]) {
        for (const member of attempt.members) {
          // The request for the first report raises the worker's epoch, so no request of the previous scheduler is executed after it.
          member.startExclusion = { atMs: -Infinity, incarnationMs: undefined }
          getMembers(member.workerId).add(member)
          host.getWorker(member.workerId)?.allocations.set(getAllocationKey(getTaskName(member), attempt.run), { resources: unit.spec.request, isPlanned: false })
        }
        if (isAttemptOver(attempt)) unit.attempts.splice(unit.attempts.indexOf(attempt), 1)
        // It may be a later run than the one that has succeeded, as in `applyLateSuccess`. For the remaining members of a gang that has succeeded a stop does no harm.
        else if (unit.isDone) beginStop(attempt, 'an earlier run has succeeded')
      }
      crashTracking.onRestored(unit)
    }
  }

  async function onReport (worker: WorkerState, report: WorkerStatusReport, sentAtMs: number, isComplete: boolean): Promise<void> {
    const { workerId } = worker.info
    crashTracking.onReport(worker.info, report.bornAtMs, sentAtMs)
    const incarnationMs = host.getLink(workerId)?.getBornAtMs() ?? worker.info.bornAtMs
    const origin: ReportOrigin = { requestedAtMs: sentAtMs, incarnationMs, clockMs: report.bornAtMs === incarnationMs ? report.clockMs : undefined }
    startRequests.onReport(workerId, origin.incarnationMs)
    const members = new Map([...getMembers(workerId)].map(member => [getAllocationKey(getTaskName(member), member.attempt.run), member]))
    const dirty = new Set<TrackedJob>()
    const reportedKeys = new Set<string>()
    // An end that a host has read before counts as known, so that it has to be stored for that host's reading before it is for this report.
    const storing = new Set<Promise<void>>()
    for (const reported of report.running) {
      const key = getAllocationKey(reported.task, reported.run)
      reportedKeys.add(key)
      const member = members.get(key)
      if (member === undefined) stopOrphan(worker, reported, origin)
      else {
        crashTracking.onRunReported(member, report.bornAtMs, origin)
        applyRunning(member, reported, origin)
      }
    }
    for (const reported of report.ended) {
      const key = getAllocationKey(reported.task, reported.run)
      reportedKeys.add(key)
      worker.allocations.delete(key)
      const member = members.get(key)
      if (member !== undefined) crashTracking.onRunReported(member, report.bornAtMs, origin, reported.how)
      const job = applyEnded(member, reported, { source: EvidenceSource.ListedAsEnded, ...origin })
      if (job !== undefined) dirty.add(job)
      const stored = getStoringReadEnds(reported.task)
      if (stored !== undefined) storing.add(stored)
    }
    if (isComplete) {
      for (const [key, member] of members) if (!reportedKeys.has(key)) applyAbsent(member, origin, dirty)
      for (const [key, { seen }] of worker.allocations) {
        const isGone = !reportedKeys.has(key) && !members.has(key) && (seen === undefined || isWrittenAfter(origin, seen))
        if (isGone) worker.allocations.delete(key)
      }
    }
    host.onChanged()
    await Promise.all([...[...dirty].map(host.commit), ...storing])
  }

  function applyReadEnds (ends: readonly ReadEnd[]): void {
    const dirty = new Set<TrackedJob>()
    for (const end of ends) {
      const { workerId, task, run, how, bornAtMs, readAtMs } = end
      const member = [...getMembers(workerId)].find(candidate => candidate.attempt.run === run && getTaskName(candidate) === task)
      // A later life may carry out a start late that this life has carried out, so that only its own report shows that the run is over. After a success none is started.
      const isFinal = how === EndKind.Done && member?.attempt.unit.spec.isService !== true
      if (member !== undefined && !isFinal && !isLatestLife(workerId, bornAtMs)) continue
      const origin: ReportOrigin = { requestedAtMs: readAtMs, incarnationMs: bornAtMs }
      if (member !== undefined) crashTracking.onRunReported(member, bornAtMs, origin, how)
      const job = applyEnded(member, end, { source: EvidenceSource.ReadByHost, ...origin })
      if (job !== undefined) dirty.add(job)
    }
    if (ends.length > 0) logger.info('ends read by hosts that do not schedule are applied', { ends: ends.length, jobs: dirty.size, oldestMs: Math.round(Math.max(...ends.map(({ readAtMs }) => performance.now() - readAtMs))) })
    for (const job of dirty) storeReadEnds(job)
    host.onChanged()
  }

  /** Tells whether no later life of the worker is known than the one that began then. */
  function isLatestLife (workerId: string, bornAtMs: number): boolean {
    return host.getWorker(workerId)?.info.bornAtMs === bornAtMs && host.getLink(workerId)?.getBornAtMs() === bornAtMs
  }

  function storeReadEnds (job: TrackedJob): void {
    const stored = host.commit(job).finally(() => { if (storingReadEnds.get(job) === stored) storingReadEnds.delete(job) })
    storingReadEnds.set(job, stored)
  }

  function getStoringReadEnds (task: string): Promise<void> | undefined {
    const job = storingReadEnds.size === 0 ? undefined : host.getJob(tryParseTaskName(task)?.jobId ?? '')
    return job === undefined ? undefined : storingReadEnds.get(job)
  }

  function applyRunning (member: Member, reported: RunningRun, origin: ReportOrigin): void {
    if (member.state === MemberState.Ended) return
    const { requestedAtMs, incarnationMs } = origin
    const nowMs = performance.now()
    // What an earlier report shows of its progress is outdated.
    const isOutdated = member.lastSeen !== undefined && isWrittenBefore(origin, member.lastSeen)
    if (member.firstSeen?.incarnationMs !== incarnationMs || isWrittenBefore(origin, member.firstSeen)) member.firstSeen = addSighting(undefined, origin, nowMs)
    member.lastSeen = addSighting(member.lastSeen, origin, nowMs)
    member.runningSinceMs = Math.min(member.runningSinceMs, requestedAtMs)
    member.runningIncarnationMs = incarnationMs
    if (member.attempt.stopReason === undefined) member.startExclusion = undefined
    else if (member.startExclusion !== undefined) member.startExclusion = { ...member.startExclusion, incarnationMs: member.startExclusion.incarnationMs ?? incarnationMs }
    member.state = MemberState.Running
    recordBegun(member.attempt.unit.job)
    if (isOutdated) return
    if (reported.checkpoint !== '') member.attempt.unit.checkpoint = reported.checkpoint
    member.firstProgress ??= { percent: reported.progressPercent, atMs: nowMs }
    if (reported.progressPercent > member.progressPercent) member.progressedAtMs = nowMs
    member.progressPercent = reported.progressPercent
  }

  /** Returns the job whose progress must be stored before the end is acknowledged to the worker. */
  function applyEnded (member: Member | undefined, reported: EndedRun, evidence: EndEvidence): TrackedJob | undefined {
    if (member !== undefined) {
      if (member.state !== MemberState.Ended) endMember(member, reported.how, reported.checkpoint, evidence)
      return member.attempt.unit.job
    }
    // The run was taken for lost when the lease of its worker had expired, or an earlier term has recorded its end.
    const name = tryParseTaskName(reported.task)
    const job = name === undefined ? undefined : host.getJob(name.jobId)
    const unit = job === undefined || name === undefined ? undefined : findUnit(job, name.occurrence, name.step, name.index)
    if (unit === undefined) return undefined
    recordBegun(unit.job)
    if (reported.how === EndKind.Done) return applyLateSuccess(unit, reported, evidence)
    if (reported.how !== EndKind.Failed || unit.failedRuns.has(reported.run)) return undefined
    unit.failedRuns.add(reported.run)
    updateJobState(unit.job)
    return unit.job
  }

  /** A run that was taken for lost has succeeded: what has been started in its place is not needed. */
  function applyLateSuccess (unit: Unit, { task, run }: EndedRun, evidence: EndEvidence): TrackedJob | undefined {
    if (unit.isDone || unit.spec.isService || isTerminal(unit.job.state) || run > unit.run) return undefined
    logger.warn('a run that was taken for lost has succeeded', { task, run, currentRuns: unit.attempts.map(attempt => attempt.run), ...evidence })
    unit.isDone = true
    for (const attempt of [...unit.attempts]) beginStop(attempt, 'an earlier run has succeeded')
    updateJobState(unit.job)
    host.onChanged()
    return unit.job
  }

  function applyAbsent (member: Member, origin: ReportOrigin, dirty: Set<TrackedJob>): void {
    const verdict = judgeAbsence(member, origin)
    if (verdict === AbsenceVerdict.Undecided) return
    dirty.add(member.attempt.unit.job)
    // A stop that this incarnation accepts excludes the start.
    if (verdict === AbsenceVerdict.MayStart) {
      beginStop(member.attempt, 'its worker has started anew, and a start request has got no answer')
      return
    }
    crashTracking.onRunAbsent(member)
    endMember(member, verdict === AbsenceVerdict.Lost ? 'lost' : 'not-started', '', { source: EvidenceSource.Absent, ...origin })
  }

  /** Stops a run that belongs to no current attempt, since its job or its attempt has ended. */
  function stopOrphan (worker: WorkerState, reported: RunningRun, origin: ReportOrigin): void {
    const key = getAllocationKey(reported.task, reported.run)
    const allocation = worker.allocations.get(key)
    const seen = addSighting(allocation?.seen, origin, performance.now())
    if (allocation !== undefined) allocation.seen = seen
    else {
      const name = tryParseTaskName(reported.task)
      const job = name === undefined ? undefined : host.getJob(name.jobId)
      const request = name === undefined ? undefined : job?.spec.steps[name.step]?.request
      worker.allocations.set(key, { resources: request ?? worker.info.capacity, isPlanned: false, seen })
      logger.warn('stopping an orphaned run', { task: reported.task, run: reported.run, workerId: worker.info.workerId, jobState: job?.state })
    }
    const link = host.getLink(worker.info.workerId)
    link?.port.stop({ task: reported.task, run: reported.run, epoch: term.epoch }).catch(error => {
      logger.info('stop request for an orphaned run failed', { task: reported.task, run: reported.run, error: String(error) })
    })
  }

  function onWorkerLost (worker: WorkerState, source: EvidenceSource, uncertainRuns: ReadonlySet<string>): void {
    const { workerId } = worker.info
    logger.warn('worker lost with its runs', { workerId, evidence: source, members: getMembers(workerId).size, uncertain: uncertainRuns.size, ...host.getLink(workerId)?.describeLease(uncertainRuns.size === 0 ? RunScope.All : RunScope.Settled), ...(source === EvidenceSource.LeaseExpired ? {} : { awaitedLease: undefined }) })
    loseMembers(workerId, source, uncertainRuns)
    if (uncertainRuns.size === 0) worker.allocations.clear()
    host.onChanged()
  }

  function loseMembers (workerId: string, source: EvidenceSource, uncertainRuns: ReadonlySet<string> = new Set()): void {
    for (const member of [...getMembers(workerId)]) {
      if (uncertainRuns.has(getAllocationKey(getTaskName(member), member.attempt.run))) continue
      if (member.state === MemberState.Planned) beginStop(member.attempt, 'a planned worker is lost')
      else endMember(member, 'lost', '', { source })
      void host.commit(member.attempt.unit.job)
    }
  }

  // Ending members

  function endMember (member: Member, how: MemberEnd, checkpoint: string, evidence: EndEvidence): void {
    const { attempt } = member
    const { unit } = attempt
    if (member.state === MemberState.Ended) return
    if (how === 'lost') crashTracking.onRunLost(member)
    else if (how !== 'not-started') recordBegun(unit.job)
    member.state = MemberState.Ended
    getMembers(member.workerId).delete(member)
    host.getWorker(member.workerId)?.allocations.delete(getAllocationKey(getTaskName(member), attempt.run))
    if (checkpoint !== '') unit.checkpoint = checkpoint
    logger.info('run ended', { task: getTaskName(member), run: attempt.run, workerId: member.workerId, how, reason: attempt.stopReason, ...(how === 'lost' ? describeLastReport(member, performance.now()) : {}), ...describeEvidence(member, evidence, performance.now()) })
    host.onMemberEnded(member, how)
    if (how === EndKind.Done && !unit.spec.isService) unit.isDone = true
    if (how === EndKind.Failed) {
      unit.failedRuns.add(attempt.run)
      unit.avoidedWorkers.add(member.workerId)
    }
    if (isAttemptOver(attempt)) closeAttempt(attempt)
    else if (!unit.isDone) beginStop(attempt, `a member ended: ${how}`)
    updateJobState(unit.job)
    host.onChanged()
  }

  function closeAttempt (attempt: Attempt): void {
    const { unit } = attempt
    planned.delete(attempt)
    const position = unit.attempts.indexOf(attempt)
    if (position >= 0) unit.attempts.splice(position, 1)
    unit.waitingSinceMs = performance.now()
    unit.preemptedRuns = attempt.isPreempted ? unit.preemptedRuns + 1 : 0
  }

  function updateJobState (job: TrackedJob): void {
    if (isTerminal(job.state)) return
    const limit = host.getAttemptLimit(job)
    const failed = getUnits(job).find(unit => !unit.isDone && !unit.spec.isService && unit.failedRuns.size >= limit)
    if (failed !== undefined) endJob(job, JobState.Failed)
    else if (areAllOccurrencesDone(job)) endJob(job, JobState.Complete)
    else if (job.state === JobState.Queued && hasStarted(job)) job.state = JobState.Active
  }
}
