/** Sends the start requests of members, repeats those without an answer, and keeps track of those that may still be carried out. */
import type { Logger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { getTaskName, MemberState } from '../jobs/trackedJob.js'
import type { Member } from '../jobs/trackedJob.js'
import { StartResult } from '../workers/workerPort.js'
import { getAllocationKey } from '../workers/workerState.js'
import { EvidenceSource } from './endEvidence.js'
import { isUnsent } from './workerErrors.js'
import { maxRequestDelayMs } from './workerLease.js'
import type { WorkerLink } from './workerLink.js'

/** Dependencies of the start requests. */
export interface StartRequestsHost {
  readonly term: Term
  readonly logger: Logger
  readonly getLink: (workerId: string) => WorkerLink | undefined
  readonly getTicket: (member: Member) => string | undefined
  readonly mayStart: () => boolean
  /** Returns why nothing may be sent to the worker now, if so. */
  readonly getObstacle: (workerId: string) => string | undefined
  readonly onPrevented: (member: Member, obstacle: string) => void
  /** Called when an attempt was stopped before the request was sent. */
  readonly onNotSent: (member: Member) => void
  readonly onStarted: (member: Member) => void
  /** Called when the member has certainly not started. */
  readonly onFailed: (member: Member, reason: string, source: EvidenceSource) => void
  /** Called when it is unknown whether the member has started. */
  readonly onUncertain: (member: Member, reason: string) => void
  readonly onBadTicket: (member: Member) => void
  /** Called when a worker has refused a start because it is unhealthy. */
  readonly onRefusal: (workerId: string) => void
}

/** The start requests of one term. */
export interface StartRequests {
  /** Sends the start request of a member, up to `maxTries` times, until it is answered or the attempt is stopped. */
  start (member: Member): Promise<void>
  /** Tells whether a start request to the worker has got no answer and may still be carried out. */
  hasUnanswered (workerId: string): boolean
  /** Since when the worker may be gone, by the monotonic clock: the first start request that got no answer since the worker last answered any request; undefined if there is none. */
  getDoubtedSinceMs (workerId: string): number | undefined
  /**
   * The runs, by allocation key, that have not ended, and of which a start request to the worker is under way, or has got no answer and may still be carried out: all but those
   * whose only start request the present incarnation has carried out.
   */
  getUncertainRuns (workerId: string): ReadonlySet<string>
  /** Must be called with each report of a worker. Excludes late starts of runs that have ended, if another incarnation of the worker reports than the one that excluded them. */
  onReport (workerId: string, incarnationMs: number): void
}

/** How many times a start request without an answer is sent: starts are idempotent, so a repeated one does no harm. */
const maxTries = 3
/** A start without an answer for this long, in ms, is looked for in a report of its worker. */
const promptAnswerMs = 150

/** A start request that has been sent. */
interface SentStart {
  readonly member: Member
  /** By the monotonic clock. */
  readonly sentAtMs: number
  /** The incarnation that it was sent to. */
  readonly sentToMs: number
}

interface UnansweredStart extends SentStart {
  readonly untilMs: number
  /** The incarnation that will not carry it out, or that it was sent to. */
  incarnationMs: number
}

/** Creates the start requests of one term. */
export function createStartRequests (host: StartRequestsHost): StartRequests {
  const { term, logger } = host
  const unansweredByWorker = new Map<string, UnansweredStart[]>()
  /** The members of which a start request is under way. */
  const awaitingAnswer = new Map<Member, SentStart>()
  /** When the first start request got no answer, by the workers that have answered nothing since. */
  const doubtedSinceMs = new Map<string, number>()

  return { start, hasUnanswered: workerId => getUnanswered(workerId).length > 0, getDoubtedSinceMs: workerId => doubtedSinceMs.get(workerId), getUncertainRuns, onReport }

  async function start (member: Member): Promise<void> {
    for (let tries = 1; ; tries++) {
      if (member.attempt.stopReason !== undefined && member.state === MemberState.Planned) {
        host.onNotSent(member)
        return
      }
      if (member.state === MemberState.Ended || term.signal.aborted) return
      // Time may have passed since planning and since the previous try.
      const obstacle = host.getObstacle(member.workerId)
      if (obstacle !== undefined) {
        // Without a lost answer, no request has left this host, so there is nothing to stop on the worker.
        if (member.unansweredStarts === 0) member.state = MemberState.Planned
        host.onPrevented(member, obstacle)
        return
      }
      const answer = await send(member)
      if (answer !== 'lost' && answer !== 'unsent') {
        handleAnswer(member, answer)
        return
      }
      if (member.state === MemberState.Running || member.attempt.stopReason !== undefined) return
      if (tries < maxTries) continue
      if (member.unansweredStarts > 0) host.onUncertain(member, 'the answer to a start was lost')
      else host.onFailed(member, 'the worker is unreachable', EvidenceSource.NotSent)
      return
    }
  }

  async function send (member: Member): Promise<StartResult | 'lost' | 'unsent'> {
    const { attempt, workerId } = member
    const link = host.getLink(workerId)
    if (link === undefined || !term.isValid() || !host.mayStart()) return 'unsent'
    const leaseUntilMs = link.grantStartLease()
    if (leaseUntilMs === undefined) return 'unsent'
    // A later incarnation may carry out the request, but not an earlier one.
    const incarnationMs = link.getBornAtMs()
    member.state = MemberState.StartSent
    member.unansweredStarts++
    member.startsSent++
    const sent: SentStart = { member, sentAtMs: performance.now(), sentToMs: incarnationMs }
    awaitingAnswer.set(member, sent)
    const inquiryTimer = setTimeout(link.inquire, promptAnswerMs)
    try {
      const { answer, clockMs } = await link.port.start({
        task: getTaskName(member),
        run: attempt.run,
        payload: attempt.unit.job.spec.payload,
        checkpoint: attempt.unit.checkpoint,
        leaseUntilMs,
        epoch: term.epoch,
        ticket: host.getTicket(member)
      })
      member.unansweredStarts--
      doubtedSinceMs.delete(workerId)
      if (clockMs !== undefined) link.checkClock(clockMs)
      if (answer === StartResult.Started) member.runningIncarnationMs ??= incarnationMs
      // The run cannot start any more in this incarnation; the next report shows whether it has run.
      if (answer === StartResult.StaleRun) member.startExclusion ??= { atMs: performance.now(), incarnationMs }
      link.wake()
      return answer
    } catch (error) {
      logger.info('start request failed', { task: getTaskName(member), run: attempt.run, workerId, error: String(error) })
      if (isUnsent(error)) {
        member.unansweredStarts--
        member.startsSent--
        return 'unsent'
      }
      if (!doubtedSinceMs.has(workerId)) doubtedSinceMs.set(workerId, performance.now())
      for (const otherId of unansweredByWorker.keys()) getUnanswered(otherId)
      unansweredByWorker.set(workerId, [...getUnanswered(workerId), { ...sent, untilMs: performance.now() + maxRequestDelayMs, incarnationMs }])
      return 'lost'
    } finally {
      clearTimeout(inquiryTimer)
      awaitingAnswer.delete(member)
    }
  }

  function handleAnswer (member: Member, answer: StartResult): void {
    if (member.state === MemberState.Ended) return
    switch (answer) {
      case StartResult.Started:
        member.state = MemberState.Running
        member.runningSinceMs = performance.now()
        member.startedAtMs = member.runningSinceMs
        member.progressedAtMs = member.runningSinceMs
        host.onStarted(member)
        return
      case StartResult.StaleRun:
        return
      case StartResult.StaleEpoch:
        term.resign(`worker ${member.workerId} has seen a higher epoch`)
        return
      default:
        if (answer === StartResult.BadTicket) host.onBadTicket(member)
        if (answer === StartResult.Unhealthy) host.onRefusal(member.workerId)
        logger.info('start rejected by the worker', { task: getTaskName(member), run: member.attempt.run, workerId: member.workerId, answer })
        if (member.unansweredStarts > 0) host.onUncertain(member, `start rejected by a worker: ${answer}`)
        else host.onFailed(member, answer, EvidenceSource.Refused)
    }
  }

  /** Returns those that may still be carried out, and forgets the others. */
  function getUnanswered (workerId: string): UnansweredStart[] {
    const unanswered = unansweredByWorker.get(workerId)?.filter(({ untilMs }) => untilMs > performance.now()) ?? []
    if (unanswered.length === 0) unansweredByWorker.delete(workerId)
    else unansweredByWorker.set(workerId, unanswered)
    return unanswered
  }

  function getUncertainRuns (workerId: string): ReadonlySet<string> {
    const awaiting = [...awaitingAnswer.values()].filter(({ member }) => member.workerId === workerId)
    const uncertain = [...awaiting, ...getUnanswered(workerId)].filter(start => start.member.state !== MemberState.Ended && !isCarriedOut(start))
    return new Set(uncertain.map(({ member }) => getAllocationKey(getTaskName(member), member.attempt.run)))
  }

  /**
   * Tells whether a report shows that the only start request of a run has been carried out by the incarnation that it was sent to, which is the present one. A repeated one may
   * be the one that the report shows, and a later incarnation counts the lease that it asks for from when it carries it out.
   */
  function isCarriedOut ({ member: { workerId, startsSent, reportedAtMs, reportedBornAtMs }, sentAtMs, sentToMs }: SentStart): boolean {
    return startsSent === 1 && reportedAtMs !== undefined && reportedAtMs >= sentAtMs && reportedBornAtMs === sentToMs && host.getLink(workerId)?.getBornAtMs() === sentToMs
  }

  function onReport (workerId: string, incarnationMs: number): void {
    doubtedSinceMs.delete(workerId)
    for (const unanswered of getUnanswered(workerId)) {
      if (unanswered.member.state === MemberState.Ended && unanswered.incarnationMs !== incarnationMs) void exclude(unanswered, incarnationMs)
    }
  }

  async function exclude (unanswered: UnansweredStart, incarnationMs: number): Promise<void> {
    const { member } = unanswered
    const task = getTaskName(member)
    const link = host.getLink(member.workerId)
    if (link === undefined || !term.isValid()) return
    const previousMs = unanswered.incarnationMs
    unanswered.incarnationMs = incarnationMs
    logger.info('excluding a late start on a worker that has started anew', { task, run: member.attempt.run, workerId: member.workerId, bornAtMs: incarnationMs })
    try {
      await link.port.stop({ task, run: member.attempt.run, epoch: term.epoch })
    } catch (error) {
      unanswered.incarnationMs = previousMs
      logger.info('a late start could not be excluded', { task, run: member.attempt.run, workerId: member.workerId, error: String(error) })
    }
  }
}
