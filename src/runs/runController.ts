/**
 * The life of attempts: stored before anything is sent, started when there is room for all members, stopped,
 * and ended by what the workers list.
 */
import { assert } from '../common/debug.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { EndKind, isTerminal, JobState, tryParseTaskName } from '../jobs/jobModel.js'
import { createAttempt, findUnit, getTaskName, getUnits, hasBegun, isAttemptOver, isWholeJobDone, MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { fits, getBookingKey, getRoomNow, isUsable } from '../workers/workerBook.js'
import type { WorkerBook } from '../workers/workerBook.js'
import { StartAnswer } from '../workers/workerPort.js'
import type { EndedRow, RunningRow, WorkerLook } from '../workers/workerPort.js'
import { isUnsent } from './workerErrors.js'
import type { WorkerLink } from './workerLink.js'

/** What the control needs from outside. */
export interface RunControllerHost {
  readonly term: Term
  readonly logger: Logger
  readonly getJob: (jobId: string) => TrackedJob | undefined
  readonly getBook: (workerId: string) => WorkerBook | undefined
  readonly getLink: (workerId: string) => WorkerLink | undefined
  /** Runs that may fail before the job has failed. */
  readonly getAttemptLimit: (job: TrackedJob) => number
  readonly getTicket: (member: Member) => string | undefined
  readonly onBadTicket: (member: Member) => void
  /** Resolves when the progress of the job is stored. */
  readonly commit: (job: TrackedJob) => Promise<void>
  /** Rooms, units or jobs have changed; a new plan may be possible. */
  readonly onChanged: () => void
  readonly onMemberEnded: (member: Member, how: MemberEnd) => void
  /** A worker has refused a start as unhealthy. */
  readonly onRefusal: (workerId: string) => void
}

/** How a member ended: as its worker says, or without having run. */
export type MemberEnd = EndKind | 'not-started' | 'lost'

/** The control of all attempts of one term. */
export interface RunController {
  /** Books room for an attempt of the unit, stores it, and starts it as soon as its room is free. */
  planAttempt (unit: Unit, places: readonly string[]): Attempt
  /** Starts the planned attempts whose room has become free. */
  releasePlanned (): void
  stopAttempt (attempt: Attempt, reason: string): void
  cancelJob (job: TrackedJob): void
  /** Takes over the attempts of a job that a scheduler before this one has stored. */
  restoreAttempts (job: TrackedJob): void
  /** Books and ends what the worker lists. Resolves when every end is stored. */
  onReport (book: WorkerBook, look: WorkerLook, sentAtMs: number, isWhole: boolean): Promise<void>
  /** Whatever ran on the worker has ended. */
  onWorkerLost (book: WorkerBook): void
  getMembers (workerId: string): ReadonlySet<Member>
}

/** A start without an answer is sent again so often; the worker takes the second as the first. */
const maxStartTries = 3
/** A stop is sent again when the end has not been listed, in ms: longer than any stop takes. */
const stopRepeatMs = 1_200
/** Pause after a stop that failed, in ms. */
const stopRetryPauseMs = 200

/** Creates the control of one term. */
export function createRunController (host: RunControllerHost): RunController {
  const { term, logger } = host
  const membersOf = new Map<string, Set<Member>>()
  const planned = new Set<Attempt>()

  return { planAttempt, releasePlanned, stopAttempt, cancelJob, restoreAttempts, onReport, onWorkerLost, getMembers }

  function getMembers (workerId: string): Set<Member> {
    let members = membersOf.get(workerId)
    if (members === undefined) membersOf.set(workerId, members = new Set())
    return members
  }

  // Starting

  function planAttempt (unit: Unit, places: readonly string[]): Attempt {
    assert(unit.attempts.length === 0 || unit.spec.isSpeculative, 'a unit has one attempt at a time')
    assert(!unit.isDone && !isTerminal(unit.job.state), 'only unfinished work is started')
    const bornPlaces = places.map(workerId => ({ workerId, bornAtMs: host.getBook(workerId)?.info.bornAtMs ?? 0 }))
    const attempt = createAttempt(unit, unit.run + 1, bornPlaces, performance.now())
    for (const member of attempt.members) {
      getMembers(member.workerId).add(member)
      host.getBook(member.workerId)?.bookings.set(getBookingKey(getTaskName(member), attempt.run), { resources: unit.spec.request, isPlanned: true })
    }
    if (unit.job.state === JobState.Queued) unit.job.state = JobState.Active
    logger.info('an attempt is planned', {
      jobId: unit.job.spec.jobId,
      occurrence: unit.occurrence,
      step: unit.step,
      index: unit.index,
      run: attempt.run,
      workers: places,
      waitedMs: Math.round(performance.now() - unit.waitingSinceMs),
      failedRuns: unit.failedRuns.size
    })
    void host.commit(unit.job).then(() => {
      if (attempt.stopReason !== undefined) return
      planned.add(attempt)
      releasePlanned()
    })
    return attempt
  }

  function releasePlanned (): void {
    if (!term.isValid()) return
    for (const attempt of planned) {
      if (!attempt.members.every(({ workerId }) => isUsableWorker(workerId))) stopAttempt(attempt, 'a planned worker can not be used any more')
      else if (hasRoom(attempt)) release(attempt)
    }
  }

  function isUsableWorker (workerId: string): boolean {
    const book = host.getBook(workerId)
    return book !== undefined && isUsable(book)
  }

  /** Several members may share a worker, so their requests are added up. */
  function hasRoom (attempt: Attempt): boolean {
    const { request } = attempt.unit.spec
    const counts = new Map<string, number>()
    for (const { workerId } of attempt.members) counts.set(workerId, (counts.get(workerId) ?? 0) + 1)
    return [...counts].every(([workerId, count]) => {
      const book = host.getBook(workerId)
      const needed = { cpuMilli: request.cpuMilli * count, memoryMb: request.memoryMb * count, accelerators: request.accelerators * count }
      return book !== undefined && fits(needed, getRoomNow(book))
    })
  }

  function release (attempt: Attempt): void {
    planned.delete(attempt)
    attempt.isReleased = true
    for (const member of attempt.members) {
      const book = host.getBook(member.workerId)
      const booking = book?.bookings.get(getBookingKey(getTaskName(member), attempt.run))
      if (booking !== undefined) booking.isPlanned = false
    }
    for (const member of attempt.members) {
      assertNotOverbooked(member.workerId)
      void startMember(member)
    }
  }

  function assertNotOverbooked (workerId: string): void {
    const book = host.getBook(workerId)
    if (book === undefined) return
    const room = getRoomNow(book)
    assert(room.cpuMilli >= 0 && room.memoryMb >= 0 && room.accelerators >= 0, 'no worker is booked over its capacity')
  }

  async function startMember (member: Member): Promise<void> {
    let hasLostTry = false
    for (let tries = 1; ; tries++) {
      if (member.attempt.stopReason !== undefined && member.state === MemberState.Planned) {
        endMember(member, 'not-started', '')
        return
      }
      if (member.state === MemberState.Ended || term.signal.aborted) return
      const answer = await sendStart(member)
      if (answer === 'lost') hasLostTry = true
      else if (answer !== 'unsent') {
        handleStartAnswer(member, answer, hasLostTry)
        return
      }
      if (member.state === MemberState.Running || member.attempt.stopReason !== undefined) return
      if (tries < maxStartTries) continue
      if (hasLostTry) stopAttempt(member.attempt, 'a start has no answer')
      else failStart(member, 'the worker cannot be reached')
      return
    }
  }

  async function sendStart (member: Member): Promise<StartAnswer | 'lost' | 'unsent'> {
    const { attempt } = member
    const link = host.getLink(member.workerId)
    const leaseUntilMs = link?.getLeaseUntilMs()
    if (link === undefined || leaseUntilMs === undefined || !term.isValid()) return 'unsent'
    member.state = MemberState.Ordered
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
      logger.info('a start has no answer', { task: getTaskName(member), run: attempt.run, workerId: member.workerId, error: String(error) })
      return isUnsent(error) ? 'unsent' : 'lost'
    }
  }

  function handleStartAnswer (member: Member, answer: StartAnswer, hasLostTry: boolean): void {
    if (member.state === MemberState.Ended) return
    switch (answer) {
      case StartAnswer.Started:
        member.state = MemberState.Running
        member.presentSinceMs = performance.now()
        member.progressedAtMs = member.presentSinceMs
        return
      case StartAnswer.OldRun:
        // The run can not start any more; the next look says whether it has been there.
        member.stopTakenAtMs ??= performance.now()
        host.getLink(member.workerId)?.wake()
        return
      case StartAnswer.StaleEpoch:
        term.resign(`worker ${member.workerId} has seen a higher epoch`)
        return
      default:
        if (answer === StartAnswer.BadTicket) host.onBadTicket(member)
        if (answer === StartAnswer.Unhealthy) host.onRefusal(member.workerId)
        logger.info('a start was rejected', { task: getTaskName(member), run: member.attempt.run, workerId: member.workerId, answer })
        if (hasLostTry) stopAttempt(member.attempt, `a start was rejected: ${answer}`)
        else failStart(member, answer)
    }
  }

  function failStart (member: Member, reason: string): void {
    member.attempt.unit.avoidedWorkers.add(member.workerId)
    endMember(member, 'not-started', '')
    if (!isAttemptOver(member.attempt)) stopAttempt(member.attempt, `a member was not started: ${reason}`)
    void host.commit(member.attempt.unit.job)
  }

  // Stopping

  function stopAttempt (attempt: Attempt, reason: string): void {
    if (attempt.stopReason !== undefined) return
    attempt.stopReason = reason
    planned.delete(attempt)
    logger.info('an attempt is stopped', { jobId: attempt.unit.job.spec.jobId, step: attempt.unit.step, run: attempt.run, reason })
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
        if (link === undefined || !term.isValid()) throw new Error('the worker is not linked')
        await link.port.stop({ task: getTaskName(member), run: member.attempt.run, epoch: term.epoch })
        member.stopTakenAtMs ??= performance.now()
        link.wake()
        await delay(stopRepeatMs, term.signal)
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
    logger.info('a job has ended', { jobId: job.spec.jobId, state, tookMs: job.endedAtMs - job.spec.acceptedAtMs, queue: job.spec.queue })
    for (const unit of getUnits(job)) {
      // The other members of a gang that is done end by themselves.
      if (!unit.isDone) for (const attempt of [...unit.attempts]) stopAttempt(attempt, `the job is ${state}`)
    }
    void host.commit(job)
    host.onChanged()
  }

  // What workers list

  function restoreAttempts (job: TrackedJob): void {
    for (const unit of getUnits(job)) {
      for (const attempt of [...unit.attempts]) {
        for (const member of attempt.members) {
          // The worker's look raises its epoch, so an order of the scheduler before can not be carried out after it.
          member.stopTakenAtMs = -Infinity
          getMembers(member.workerId).add(member)
          host.getBook(member.workerId)?.bookings.set(getBookingKey(getTaskName(member), attempt.run), { resources: unit.spec.request, isPlanned: false })
        }
        if (isAttemptOver(attempt)) unit.attempts.splice(unit.attempts.indexOf(attempt), 1)
      }
    }
  }

  async function onReport (book: WorkerBook, look: WorkerLook, sentAtMs: number, isWhole: boolean): Promise<void> {
    const { workerId } = book.info
    const members = new Map([...getMembers(workerId)].map(member => [getBookingKey(getTaskName(member), member.attempt.run), member]))
    const dirty = new Set<TrackedJob>()
    const listed = new Set<string>()
    for (const row of look.running) {
      const key = getBookingKey(row.task, row.run)
      listed.add(key)
      const member = members.get(key)
      if (member === undefined) stopOrphan(book, row)
      else applyRunning(member, row, sentAtMs)
    }
    for (const row of look.ended) {
      const key = getBookingKey(row.task, row.run)
      listed.add(key)
      book.bookings.delete(key)
      const job = applyEnded(members.get(key), row)
      if (job !== undefined) dirty.add(job)
    }
    if (isWhole) {
      for (const [key, member] of members) if (!listed.has(key)) applyAbsent(member, sentAtMs, dirty)
      for (const key of book.bookings.keys()) if (!listed.has(key) && !members.has(key)) book.bookings.delete(key)
    }
    host.onChanged()
    await Promise.all([...dirty].map(host.commit))
  }

  function applyRunning (member: Member, row: RunningRow, sentAtMs: number): void {
    if (member.state === MemberState.Ended) return
    member.presentSinceMs = Math.min(member.presentSinceMs, sentAtMs)
    if (member.state !== MemberState.Running) {
      member.state = MemberState.Running
      if (member.attempt.stopReason === undefined) member.stopTakenAtMs = undefined
    }
    if (row.checkpoint !== '') member.attempt.unit.checkpoint = row.checkpoint
    if (row.progressPercent > member.progressPercent) member.progressedAtMs = performance.now()
    member.progressPercent = row.progressPercent
  }

  /** Returns the job whose progress has to be stored before the worker may forget the end. */
  function applyEnded (member: Member | undefined, row: EndedRow): TrackedJob | undefined {
    if (member !== undefined) {
      if (member.state !== MemberState.Ended) endMember(member, row.how, row.checkpoint)
      return member.attempt.unit.job
    }
    // The run was given up when the worker's lease had ended; only a failure still counts.
    const name = tryParseTaskName(row.task)
    const job = name === undefined ? undefined : host.getJob(name.jobId)
    const unit = job === undefined || name === undefined ? undefined : findUnit(job, name.occurrence, name.step, name.index)
    if (unit === undefined || row.how !== EndKind.Failed || unit.failedRuns.has(row.run)) return undefined
    unit.failedRuns.add(row.run)
    updateJobState(unit.job)
    return unit.job
  }

  function applyAbsent (member: Member, sentAtMs: number, dirty: Set<TrackedJob>): void {
    const hasVanished = member.state === MemberState.Running && member.presentSinceMs < sentAtMs
    const isRuledOut = member.stopTakenAtMs !== undefined && member.stopTakenAtMs < sentAtMs
    if (member.state === MemberState.Ended || member.state === MemberState.Planned) return
    if (!hasVanished && !isRuledOut) return
    dirty.add(member.attempt.unit.job)
    endMember(member, hasVanished ? 'lost' : 'not-started', '')
  }

  /** A run that this scheduler does not want: of a job that is over, or of an attempt that was given up. */
  function stopOrphan (book: WorkerBook, row: RunningRow): void {
    const key = getBookingKey(row.task, row.run)
    if (!book.bookings.has(key)) {
      const name = tryParseTaskName(row.task)
      const job = name === undefined ? undefined : host.getJob(name.jobId)
      const request = name === undefined ? undefined : job?.spec.steps[name.step]?.request
      book.bookings.set(key, { resources: request ?? book.info.capacity, isPlanned: false })
      logger.warn('a run is stopped that nobody wants', { task: row.task, run: row.run, workerId: book.info.workerId, jobState: job?.state })
    }
    const link = host.getLink(book.info.workerId)
    link?.port.stop({ task: row.task, run: row.run, epoch: term.epoch }).catch(error => {
      logger.info('a stop has no answer', { task: row.task, run: row.run, error: String(error) })
    })
  }

  function onWorkerLost (book: WorkerBook): void {
    logger.warn('whatever ran on a worker is lost', { workerId: book.info.workerId, members: getMembers(book.info.workerId).size })
    for (const member of [...getMembers(book.info.workerId)]) {
      if (member.state === MemberState.Planned) stopAttempt(member.attempt, 'the worker is lost')
      else endMember(member, 'lost', '')
      void host.commit(member.attempt.unit.job)
    }
    book.bookings.clear()
    host.onChanged()
  }

  // Ends

  function endMember (member: Member, how: MemberEnd, checkpoint: string): void {
    const { attempt } = member
    const { unit } = attempt
    if (member.state === MemberState.Ended) return
    member.state = MemberState.Ended
    getMembers(member.workerId).delete(member)
    host.getBook(member.workerId)?.bookings.delete(getBookingKey(getTaskName(member), attempt.run))
    if (checkpoint !== '') unit.checkpoint = checkpoint
    logger.info('a run has ended', { task: getTaskName(member), run: attempt.run, workerId: member.workerId, how, reason: attempt.stopReason })
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
    else if (isWholeJobDone(job)) endJob(job, JobState.Complete)
    else if (job.state === JobState.Queued && hasBegun(job)) job.state = JobState.Active
  }
}
