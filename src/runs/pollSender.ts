/**
 * Sends the polls of one worker, and inquiries beside them: an answer that is lost shows only when the time allowed for it is over, and an end that the worker
 * lists by then is gone if the worker crashes.
 */
import type { Logger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { LeaseRenewal, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'
import { isOtherIncarnation } from './workerErrors.js'

/** What has come of a poll if its own answer has not. */
export enum PollSubstitute {
  /** The worker has answered an inquiry with more than the poll would show, and the poll is not waited for any more. */
  Inquiry = 'inquiry',
  /** The poll has got no answer, or another incarnation has answered an inquiry. The worker has answered since the poll was sent, but may be gone by now. */
  Unconfirmed = 'unconfirmed'
}

/** What follows from the answer to an inquiry for the poll under way. */
export enum InquiryVerdict {
  /** The poll may still show an end. */
  NothingNew = 'nothing-new',
  /** The worker lists what the poll should have shown. */
  News = 'news',
  OtherIncarnation = 'other-incarnation'
}

/** Dependencies of the poll sender. */
export interface PollSenderHost {
  readonly term: Pick<Term, 'epoch' | 'isValid'>
  readonly logger: Logger
  readonly workerId: string
  readonly port: Pick<WorkerPort, 'renewLease'>
  /** When the first run that should end after `afterMs` should do so, by the monotonic clock; Infinity if there is none. */
  readonly getExpectedEndMs: (afterMs: number) => number
  /** Tells whether reports of the worker are needed. */
  readonly isNeeded: () => boolean
  /** Applies the answer to an inquiry, also one that comes when the poll beside it is over. */
  readonly onInquiryAnswered: (report: WorkerStatusReport, sentAtMs: number) => InquiryVerdict
  readonly onInquiryFailed: () => void
}

/** Sends the polls of one worker, one at a time. */
export interface PollSender {
  /** Sends a poll. Rejects like `renewLease`. No inquiry is sent beside a poll that is repeated, because the worker may be down, but for those that are requested. */
  send (renewal: LeaseRenewal, isRepeated: boolean): Promise<WorkerStatusReport | PollSubstitute>
  /** Sends an inquiry beside the poll under way now. Returns false if there is no such poll. */
  tryInquire (): boolean
  /** Must be called when another end may be expected than before. */
  reviewExpectedEnd (): void
  /** Must be called when another request to the worker was answered; `isOwn` if this host sent it. One that shows new ends gives the poll a little time to show them, too. */
  onAnsweredBeside (sentAtMs: number, isOwn: boolean, hasNews: boolean): void
  /** Must be called when another request of this host shows another incarnation, or a higher epoch: the next poll, which does not wait, shows the same. */
  replaceWaitingPoll (): void
  /** How long the poll under way has been waited for, in ms; Infinity if there is none. */
  getPollAgeMs (): number
  /** How many inquiries beside the poll under way have failed since one was answered. */
  countFailedInquiries (): number
}

/** An inquiry is sent this long, in ms, after a run should have ended, or after a poll that does not wait was sent. */
const overdueMs = 50
const promptAnswerMs = 150
/** The times allowed for the answers to the first inquiries beside a poll that fail in a row, in ms, and to further ones: the latter suffices on slow links. */
const firstAnswerTimeoutsMs: readonly number[] = [promptAnswerMs, promptAnswerMs]
const answerTimeoutMs = 500
/** Pause after an inquiry that has shown nothing new, in ms. It doubles, up to the longer one, until one shows an end: a run that has slowed down is overdue for long. */
const minPauseMs = 200
const maxPauseMs = 10_000

/** A poll under way, and the inquiries beside it. */
interface ActivePoll {
  readonly sentAtMs: number
  /** True if the worker may wait before it answers. */
  readonly isWaiting: boolean
  readonly isRepeated: boolean
  /** Ends the wait for the answer. */
  readonly replace: (substitute: PollSubstitute) => void
  isOver: boolean
  isInquiring: boolean
  /** An inquiry is due whether or not a run should have ended. */
  isRequested: boolean
  hasInquiryAnswer: boolean
  failedInquiries: number
  timer?: NodeJS.Timeout | undefined
  replaceTimer?: NodeJS.Timeout | undefined
}

/** Creates the poll sender of one worker. */
export function createPollSender (host: PollSenderHost): PollSender {
  const { term, logger, workerId, port } = host
  let activePoll: ActivePoll | undefined
  /** When the latest inquiry was sent that was answered, by the monotonic clock: it has shown the ends up to then. */
  let inquiredAtMs = -Infinity
  let pauseMs = minPauseMs

  return { send, tryInquire, reviewExpectedEnd, onAnsweredBeside, replaceWaitingPoll, getPollAgeMs: () => performance.now() - (activePoll?.sentAtMs ?? -Infinity), countFailedInquiries: () => activePoll?.failedInquiries ?? 0 }

  async function send (renewal: LeaseRenewal, isRepeated: boolean): Promise<WorkerStatusReport | PollSubstitute> {
    const aborting = new AbortController()
    let active: ActivePoll | undefined
    try {
      return await new Promise<WorkerStatusReport | PollSubstitute>((resolve, reject) => {
        const replace = (substitute: PollSubstitute): void => {
          resolve(substitute)
          aborting.abort()
        }
        active = { sentAtMs: performance.now(), isWaiting: renewal.waitMs > 0, isRepeated, replace, isOver: false, isInquiring: false, isRequested: false, hasInquiryAnswer: false, failedInquiries: 0 }
        activePoll = active
        port.renewLease({ ...renewal, signal: aborting.signal }).then(resolve, reject)
        scheduleInquiry(active)
      })
    } catch (error) {
      if (active?.hasInquiryAnswer !== true || isErrorOfKind(error, ErrorKind.StaleEpoch) || isOtherIncarnation(error)) throw error
      logger.info('a poll got no answer from a worker that has answered another request meanwhile', { workerId, error: String(error) })
      return PollSubstitute.Unconfirmed
    } finally {
      activePoll = undefined
      if (active !== undefined) {
        active.isOver = true
        clearTimeout(active.timer)
        clearTimeout(active.replaceTimer)
      }
    }
  }

  function tryInquire (): boolean {
    if (activePoll === undefined) return false
    activePoll.isRequested = true
    scheduleInquiry(activePoll)
    return true
  }

  function reviewExpectedEnd (): void {
    if (activePoll !== undefined) scheduleInquiry(activePoll)
  }

  function onAnsweredBeside (sentAtMs: number, isOwn: boolean, hasNews: boolean): void {
    const active = activePoll
    if (active === undefined) return
    if (isOwn && sentAtMs >= active.sentAtMs) active.hasInquiryAnswer = true
    // The poll waits at the worker for the same end, so that its answer is lost if it does not come soon.
    if (hasNews && active.isWaiting) active.replaceTimer ??= setTimeout(() => { active.replace(PollSubstitute.Unconfirmed) }, promptAnswerMs)
  }

  function replaceWaitingPoll (): void {
    if (activePoll?.isWaiting === true) activePoll.replace(PollSubstitute.Unconfirmed)
  }

  function scheduleInquiry (active: ActivePoll): void {
    clearTimeout(active.timer)
    if (active.isOver || active.isInquiring) return
    const dueAtMs = getDueMs(active)
    if (dueAtMs === Infinity) return
    active.timer = setTimeout(() => { void inquire(active) }, Math.max(0, dueAtMs - performance.now()))
  }

  function getDueMs ({ sentAtMs, isWaiting, isRepeated, isRequested, failedInquiries }: ActivePoll): number {
    if (isRequested || failedInquiries > 0) return -Infinity
    if (isRepeated) return Infinity
    if (!isWaiting) return sentAtMs + promptAnswerMs
    const askedUntilMs = inquiredAtMs - overdueMs
    const nextDueMs = Math.max(host.getExpectedEndMs(askedUntilMs) + overdueMs, inquiredAtMs + minPauseMs)
    const isOverdue = host.getExpectedEndMs(-Infinity) <= askedUntilMs
    return isOverdue ? Math.min(nextDueMs, inquiredAtMs + pauseMs) : nextDueMs
  }

  async function inquire (active: ActivePoll): Promise<void> {
    if (!term.isValid() || !host.isNeeded()) return
    const sentAtMs = performance.now()
    active.isInquiring = true
    active.isRequested = false
    try {
      const report = await port.renewLease({ epoch: term.epoch, acknowledgedSequence: 0, waitMs: 0, answerTimeoutMs: firstAnswerTimeoutsMs[active.failedInquiries] ?? answerTimeoutMs, isConcurrent: true })
      onAnswer(active, report, sentAtMs)
    } catch (error) {
      if (!active.isOver) onFailure(active, error)
    } finally {
      active.isInquiring = false
      scheduleInquiry(active)
    }
  }

  function onAnswer (active: ActivePoll, report: WorkerStatusReport, sentAtMs: number): void {
    active.failedInquiries = 0
    active.hasInquiryAnswer = true
    inquiredAtMs = sentAtMs
    const verdict = host.onInquiryAnswered(report, sentAtMs)
    pauseMs = verdict === InquiryVerdict.News ? minPauseMs : Math.min(2 * pauseMs, maxPauseMs)
    if (verdict === InquiryVerdict.News) active.replace(PollSubstitute.Inquiry)
    // A poll that does not wait shows the other incarnation by itself.
    else if (verdict === InquiryVerdict.OtherIncarnation && active.isWaiting) active.replace(PollSubstitute.Unconfirmed)
  }

  function onFailure (active: ActivePoll, error: unknown): void {
    active.failedInquiries++
    host.onInquiryFailed()
    // The next poll, which does not wait, gets the same answer.
    if (isErrorOfKind(error, ErrorKind.StaleEpoch) || isOtherIncarnation(error)) active.replace(PollSubstitute.Unconfirmed)
  }
}
