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
import { fits, getAllocationKey, getUnusedCapacity, isUsable, subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { StartResult } from '../workers/workerPort.js'
import type { EndedRun, RunningRun, WorkerStatusReport } from '../workers/workerPort.js'
import { createCrashTracking } from './crashTracking.js'
import { isUnsent } from './workerErrors.js'
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
  /** Called when free capacity, units or jobs have changed, so that new placements may be possible. */
  readonly onChanged: () => void
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
  stopAttempt (attempt: Attempt, reason: string): void
  cancelJob (job: TrackedJob): void
  /** Takes over the attempts of a job that a previous scheduler has stored. */
  restoreAttempts (job: TrackedJob): void
  /** Updates members and allocations from a worker's report. Resolves when every reported end is stored. */
  onReport (worker: WorkerState, report: WorkerStatusReport, sentAtMs: number, isComplete: boolean): Promise<void>
  /** Ends all members on a worker whose runs are lost. */
  onWorkerLost (worker: WorkerState): void
  /** Counts a crash under the runs that the worker had before it started anew at `bornAtMs`. */
  onWorkerCrashed (workerId: string, machine: string, bornAtMs: number, wasDraining: boolean): void
  getMembers (workerId: string): ReadonlySet<Member>
}

/** How many times a start request without an answer is sent: starts are idempotent, so a repeated one does no harm. */
const maxStartTries = 3
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
  const crashTracking = createCrashTracking({
    logger,
    signal: term.signal,
    getMembers,
    getWorkers: host.getWorkers,
    commit: job => { void host.commit(job) },
    onGivenUp: unit => { endJob(unit.job, JobState.Failed) }
  })

  return { planAttempt, dispatchPlanned, stopAttempt, cancelJob, restoreAttempts, onReport, onWorkerLost, onWorkerCrashed: crashTracking.onWorkerCrashed, getMembers }

  function getMembers (workerId: string): Set<Member> {
    let members = membersByWorker.get(workerId)
    if (members === undefined) membersByWorker.set(workerId, members = new Set())
    return members
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
      else if (!attempt.members.every(({ workerId }) => isUsableWorker(workerId))) stopAttempt(attempt, 'a planned worker is no longer usable')
      else if (hasCapacity(attempt)) dispatch(attempt)
      else if (attempt.members.some(({ workerId }) => isOvercommitted(workerId))) stopAttempt(attempt, 'the capacity of a planned worker has shrunk')
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
    stopAttempt(member.attempt, reason)
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
      void startMember(member)
    }
  }

  function assertNotOverallocated (workerId: string): void {
    const worker = host.getWorker(workerId)
    if (worker === undefined) return
    const unused = getUnusedCapacity(worker)
    assert(unused.cpuMilli >= 0 && unused.memoryMb >= 0 && unused.accelerators >= 0, 'the allocations on a worker do not exceed its capacity')
  }

  async function startMember (member: Member): Promise<void> {
    let hasLostAnswer = false
    for (let tries = 1; ; tries++) {
      if (member.attempt.stopReason !== undefined && member.state === MemberState.Planned) {
        endMember(member, 'not-started', '')
        return
      }
      if (member.state === MemberState.Ended || term.signal.aborted) return
      // Time may have passed since planning and since the previous try.
      const obstacle = getStartObstacle(member.workerId)
      if (obstacle !== undefined) {
        // Without a lost answer, no request has left this host, so there is nothing to stop on the worker.
        if (!hasLostAnswer) member.state = MemberState.Planned
        preventStart(member, obstacle)
        return
      }
      const answer = await sendStart(member)
      if (answer === 'lost') hasLostAnswer = true
      else if (answer !== 'unsent') {
        handleStartAnswer(member, answer, hasLostAnswer)
        return
      }
      if (member.state === MemberState.Running || member.attempt.stopReason !== undefined) return
      if (tries < maxStartTries) continue
      if (hasLostAnswer) stopAttempt(member.attempt, 'the answer to a start was lost')
      else failStart(member, 'the worker is unreachable')
      return
    }
  }

  async function sendStart (member: Member): Promise<StartResult | 'lost' | 'unsent'> {
    const { attempt } = member
    const link = host.getLink(member.workerId)
    const leaseUntilMs = link?.getLeaseUntilMs()
    if (link === undefined || leaseUntilMs === undefined || !term.isValid() || !host.mayStart()) return 'unsent'
    member.state = MemberState.StartSent
    link.recordLeaseExtension()
    try {
      const { answer } = await link.port.start({
        task: getTaskName(member),
        run: attempt.run,
        payload: attempt.unit.job.spec.payload,
        checkpoint: attempt.unit.checkpoint,
        leaseUntilMs,
        epoch: term.epoch,
        ticket: host.getTicket(member)
      })
      link.wake()
      return answer
    } catch (error) {
      logger.info('start request failed', { task: getTaskName(member), run: attempt.run, workerId: member.workerId, error: String(error) })
      return isUnsent(error) ? 'unsent' : 'lost'
    }
  }

  function handleStartAnswer (member: Member, answer: StartResult, hasLostAnswer: boolean): void {
    if (member.state === MemberState.Ended) return
    switch (answer) {
      case StartResult.Started:
        member.state = MemberState.Running
        member.runningSinceMs = performance.now()
        member.startedAtMs = member.runningSinceMs
        member.progressedAtMs = member.runningSinceMs
        return
      case StartResult.StaleRun:
        // The run cannot start any more; the next report shows whether it has run.
        member.startExcludedAtMs ??= performance.now()
        host.getLink(member.workerId)?.wake()
        return
      case StartResult.StaleEpoch:
        term.resign(`worker ${member.workerId} has seen a higher epoch`)
        return
      default:
        if (answer === StartResult.BadTicket) host.onBadTicket(member)
        if (answer === StartResult.Unhealthy) host.onRefusal(member.workerId)
        logger.info('start rejected by the worker', { task: getTaskName(member), run: member.attempt.run, workerId: member.workerId, answer })
        if (hasLostAnswer) stopAttempt(member.attempt, `start rejected by a worker: ${answer}`)
        else failStart(member, answer)
    }
  }

  function failStart (member: Member, reason: string): void {
    member.attempt.unit.avoidedWorkers.add(member.workerId)
    endMember(member, 'not-started', '')
    if (!isAttemptOver(member.attempt)) stopAttempt(member.attempt, `a member failed to start: ${reason}`)
    void host.commit(member.attempt.unit.job)
  }

  // Stopping

  function stopAttempt (attempt: Attempt, reason: string): void {
    if (attempt.stopReason !== undefined) return
    attempt.stopReason = reason
    planned.delete(attempt)
    logger.info('stopping an attempt', { jobId: attempt.unit.job.spec.jobId, step: attempt.unit.step, run: attempt.run, reason })
    for (const member of [...attempt.members]) {
      if (member.state === MemberState.Planned) endMember(member, 'not-started', '')
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
        await link.port.stop({ task: getTaskName(member), run: member.attempt.run, epoch: term.epoch })
        member.startExcludedAtMs ??= performance.now()
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
      if (!unit.isDone) for (const attempt of [...unit.attempts]) stopAttempt(attempt, `the job is ${state}`)
    }
    void host.commit(job)
    host.onChanged()
  }

  // Worker reports

  function restoreAttempts (job: TrackedJob): void {
    for (const unit of getUnits(job)) {
      for (const attempt of [...unit.attempts]) {
        for (const member of attempt.members) {
          // The request for the first report raises the worker's epoch, so no request of the previous scheduler is executed after it.
          member.startExcludedAtMs = -Infinity
          getMembers(member.workerId).add(member)
          host.getWorker(member.workerId)?.allocations.set(getAllocationKey(getTaskName(member), attempt.run), { resources: unit.spec.request, isPlanned: false })
        }
        if (isAttemptOver(attempt)) unit.attempts.splice(unit.attempts.indexOf(attempt), 1)
      }
      crashTracking.onRestored(unit)
    }
  }

  async function onReport (worker: WorkerState, report: WorkerStatusReport, sentAtMs: number, isComplete: boolean): Promise<void> {
    const { workerId } = worker.info
    crashTracking.onReport(worker.info, report.bornAtMs, sentAtMs)
    const members = new Map([...getMembers(workerId)].map(member => [getAllocationKey(getTaskName(member), member.attempt.run), member]))
    const dirty = new Set<TrackedJob>()
    const reportedKeys = new Set<string>()
    for (const reported of report.running) {
      const key = getAllocationKey(reported.task, reported.run)
      reportedKeys.add(key)
      const member = members.get(key)
      if (member === undefined) stopOrphan(worker, reported)
      else {
        crashTracking.onRunReported(member, report.bornAtMs, sentAtMs)
        applyRunning(member, reported, sentAtMs)
      }
    }
    for (const reported of report.ended) {
      const key = getAllocationKey(reported.task, reported.run)
      reportedKeys.add(key)
      worker.allocations.delete(key)
      const member = members.get(key)
      if (member !== undefined) crashTracking.onRunReported(member, report.bornAtMs, sentAtMs, reported.how)
      const job = applyEnded(member, reported)
      if (job !== undefined) dirty.add(job)
    }
    if (isComplete) {
      for (const [key, member] of members) if (!reportedKeys.has(key)) applyAbsent(member, sentAtMs, dirty)
      for (const key of worker.allocations.keys()) if (!reportedKeys.has(key) && !members.has(key)) worker.allocations.delete(key)
    }
    host.onChanged()
    await Promise.all([...dirty].map(host.commit))
  }

  function applyRunning (member: Member, reported: RunningRun, sentAtMs: number): void {
    if (member.state === MemberState.Ended) return
    member.runningSinceMs = Math.min(member.runningSinceMs, sentAtMs)
    if (member.state !== MemberState.Running) {
      member.state = MemberState.Running
      if (member.attempt.stopReason === undefined) member.startExcludedAtMs = undefined
    }
    if (reported.checkpoint !== '') member.attempt.unit.checkpoint = reported.checkpoint
    member.firstProgress ??= { percent: reported.progressPercent, atMs: performance.now() }
    if (reported.progressPercent > member.progressPercent) member.progressedAtMs = performance.now()
    member.progressPercent = reported.progressPercent
  }

  /** Returns the job whose progress must be stored before the end is acknowledged to the worker. */
  function applyEnded (member: Member | undefined, reported: EndedRun): TrackedJob | undefined {
    if (member !== undefined) {
      if (member.state !== MemberState.Ended) endMember(member, reported.how, reported.checkpoint)
      return member.attempt.unit.job
    }
    // The run was treated as lost when the worker's lease had expired; only a failure still counts.
    const name = tryParseTaskName(reported.task)
    const job = name === undefined ? undefined : host.getJob(name.jobId)
    const unit = job === undefined || name === undefined ? undefined : findUnit(job, name.occurrence, name.step, name.index)
    if (unit === undefined || reported.how !== EndKind.Failed || unit.failedRuns.has(reported.run)) return undefined
    unit.failedRuns.add(reported.run)
    updateJobState(unit.job)
    return unit.job
  }

  function applyAbsent (member: Member, sentAtMs: number, dirty: Set<TrackedJob>): void {
    const hasVanished = member.state === MemberState.Running && member.runningSinceMs < sentAtMs
    const isStartExcluded = member.startExcludedAtMs !== undefined && member.startExcludedAtMs < sentAtMs
    if (member.state === MemberState.Ended || member.state === MemberState.Planned) return
    if (!hasVanished && !isStartExcluded) return
    dirty.add(member.attempt.unit.job)
    crashTracking.onRunAbsent(member)
    endMember(member, hasVanished ? 'lost' : 'not-started', '')
  }

  /** Stops a run that belongs to no current attempt, since its job or its attempt has ended. */
  function stopOrphan (worker: WorkerState, reported: RunningRun): void {
    const key = getAllocationKey(reported.task, reported.run)
    if (!worker.allocations.has(key)) {
      const name = tryParseTaskName(reported.task)
      const job = name === undefined ? undefined : host.getJob(name.jobId)
      const request = name === undefined ? undefined : job?.spec.steps[name.step]?.request
      worker.allocations.set(key, { resources: request ?? worker.info.capacity, isPlanned: false })
      logger.warn('stopping an orphaned run', { task: reported.task, run: reported.run, workerId: worker.info.workerId, jobState: job?.state })
    }
    const link = host.getLink(worker.info.workerId)
    link?.port.stop({ task: reported.task, run: reported.run, epoch: term.epoch }).catch(error => {
      logger.info('stop request for an orphaned run failed', { task: reported.task, run: reported.run, error: String(error) })
    })
  }

  function onWorkerLost (worker: WorkerState): void {
    logger.warn('worker lost with all of its runs', { workerId: worker.info.workerId, members: getMembers(worker.info.workerId).size })
    for (const member of [...getMembers(worker.info.workerId)]) {
      if (member.state === MemberState.Planned) stopAttempt(member.attempt, 'a planned worker is lost')
      else endMember(member, 'lost', '')
      void host.commit(member.attempt.unit.job)
    }
    worker.allocations.clear()
    host.onChanged()
  }

  // Ending members

  function endMember (member: Member, how: MemberEnd, checkpoint: string): void {
    const { attempt } = member
    const { unit } = attempt
    if (member.state === MemberState.Ended) return
    if (how === 'lost') crashTracking.onRunLost(member)
    member.state = MemberState.Ended
    getMembers(member.workerId).delete(member)
    host.getWorker(member.workerId)?.allocations.delete(getAllocationKey(getTaskName(member), attempt.run))
    if (checkpoint !== '') unit.checkpoint = checkpoint
    logger.info('run ended', { task: getTaskName(member), run: attempt.run, workerId: member.workerId, how, reason: attempt.stopReason })
    host.onMemberEnded(member, how)
    if (how === EndKind.Done && !unit.spec.isService) unit.isDone = true
    if (how === EndKind.Failed) {
      unit.failedRuns.add(attempt.run)
      unit.avoidedWorkers.add(member.workerId)
    }
    if (isAttemptOver(attempt)) closeAttempt(attempt)
    else if (!unit.isDone) stopAttempt(attempt, `a member ended: ${how}`)
    updateJobState(unit.job)
    host.onChanged()
  }

  function closeAttempt (attempt: Attempt): void {
    const { unit } = attempt
    planned.delete(attempt)
    const position = unit.attempts.indexOf(attempt)
    if (position >= 0) unit.attempts.splice(position, 1)
    unit.waitingSinceMs = performance.now()
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
