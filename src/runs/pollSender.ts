/**
 * Sends the polls of one worker, and inquiries beside them: an answer that is lost shows only when the time allowed for it is over, and an end that the worker
 * lists by then is gone if the worker crashes.
 */
import type { Logger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { LeaseRenewal, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'
import { isOtherIncarnation } from './workerErrors.js'

/** Dependencies of the poll sender. */
export interface PollSenderHost {
  readonly term: Pick<Term, 'epoch' | 'isValid'>
  readonly logger: Logger
  readonly workerId: string
  readonly port: Pick<WorkerPort, 'renewLease'>
  /** When the first run on the worker is expected to end, by the monotonic clock; Infinity if that is not known. */
  readonly getExpectedEndMs: () => number
  /** Tells whether reports of the worker are needed. */
  readonly isNeeded: () => boolean
  /** Applies the answer to an inquiry. Returns true if the poll under way need not be waited for any more. */
  readonly onInquiryAnswered: (report: WorkerStatusReport, sentAtMs: number) => boolean
  readonly onInquiryFailed: () => void
}

/** Sends the polls of one worker, one at a time. */
export interface PollSender {
  /**
   * Sends a poll. Resolves with the report, or with undefined if the answers to inquiries have taken its place. Rejects like `renewLease` if neither the poll nor
   * the inquiries beside it are answered. No inquiry is sent beside a poll that is repeated, because the worker may be down.
   */
  send (renewal: LeaseRenewal, isRepeated: boolean): Promise<WorkerStatusReport | undefined>
  /** Sends an inquiry beside the poll under way now. Returns false if there is no such poll. */
  tryInquire (): boolean
  /** How many inquiries beside the poll under way have failed since one was answered. */
  countFailedInquiries (): number
}

/** An inquiry is sent this long, in ms, after a run should have ended, or after a poll that does not wait was sent. */
const overdueMs = 50
const promptAnswerMs = 150
/**
 * The times allowed for the answers to the inquiries beside one poll, in ms; the last one suffices on slow links. When all of them have failed in a row, the poll
 * has failed as well.
 */
const answerTimeoutsMs: readonly number[] = [150, 150, 500]
/** Pause after an inquiry that has shown no end, in ms; it doubles with each beside the same poll, since runs may slow down just before their ends. */
const minPauseMs = 200

/** A poll under way, and the inquiries beside it. */
interface ActivePoll {
  readonly sentAtMs: number
  /** True if the worker may wait before it answers. */
  readonly isWaiting: boolean
  /** Ends the wait for the answer: a newer one has come or, with an error, the worker does not answer. */
  readonly giveUp: (error?: unknown) => void
  isOver: boolean
  isInquiring: boolean
  /** An inquiry is due whether or not a run should have ended. */
  isRequested: boolean
  hasInquiryAnswer: boolean
  failedInquiries: number
  pauseMs: number
  nextInquiryFromMs: number
  timer?: NodeJS.Timeout | undefined
}

/** Creates the poll sender of one worker. */
export function createPollSender (host: PollSenderHost): PollSender {
  const { term, logger, workerId, port } = host
  let activePoll: ActivePoll | undefined

  return { send, tryInquire, countFailedInquiries: () => activePoll?.failedInquiries ?? 0 }

  async function send (renewal: LeaseRenewal, isRepeated: boolean): Promise<WorkerStatusReport | undefined> {
    const aborting = new AbortController()
    let active: ActivePoll | undefined
    try {
      return await new Promise<WorkerStatusReport | undefined>((resolve, reject) => {
        active = createActivePoll(renewal.waitMs > 0, error => {
          if (error === undefined) resolve(undefined)
          else reject(error)
          aborting.abort()
        })
        activePoll = active
        port.renewLease({ ...renewal, signal: aborting.signal }).then(resolve, reject)
        if (!isRepeated) scheduleInquiry(active)
      })
    } catch (error) {
      if (active?.hasInquiryAnswer !== true || isErrorOfKind(error, ErrorKind.StaleEpoch) || isOtherIncarnation(error)) throw error
      logger.info('a poll got no answer from a worker that has answered another request meanwhile', { workerId, error: String(error) })
      return undefined
    } finally {
      activePoll = undefined
      if (active !== undefined) {
        active.isOver = true
        clearTimeout(active.timer)
      }
    }
  }

  function createActivePoll (isWaiting: boolean, giveUp: ActivePoll['giveUp']): ActivePoll {
    return { sentAtMs: performance.now(), isWaiting, giveUp, isOver: false, isInquiring: false, isRequested: false, hasInquiryAnswer: false, failedInquiries: 0, pauseMs: minPauseMs, nextInquiryFromMs: -Infinity }
  }

  function tryInquire (): boolean {
    if (activePoll === undefined) return false
    activePoll.isRequested = true
    scheduleInquiry(activePoll)
    return true
  }

  function scheduleInquiry (active: ActivePoll): void {
    clearTimeout(active.timer)
    if (active.isOver || active.isInquiring) return
    const dueAtMs = Math.max(getDueMs(active), active.nextInquiryFromMs)
    if (dueAtMs === Infinity) return
    active.timer = setTimeout(() => { void inquire(active) }, Math.max(0, dueAtMs - performance.now()))
  }

  function getDueMs ({ sentAtMs, isWaiting, isRequested, failedInquiries }: ActivePoll): number {
    if (isRequested || failedInquiries > 0) return -Infinity
    return isWaiting ? host.getExpectedEndMs() + overdueMs : sentAtMs + promptAnswerMs
  }

  async function inquire (active: ActivePoll): Promise<void> {
    if (!term.isValid() || !host.isNeeded()) return
    const sentAtMs = performance.now()
    active.isInquiring = true
    active.isRequested = false
    try {
      const report = await port.renewLease({ epoch: term.epoch, acknowledgedSequence: 0, waitMs: 0, answerTimeoutMs: answerTimeoutsMs[active.failedInquiries] ?? promptAnswerMs, isConcurrent: true })
      if (!active.isOver) onAnswer(active, report, sentAtMs)
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
    active.nextInquiryFromMs = performance.now() + active.pauseMs
    active.pauseMs *= 2
    if (host.onInquiryAnswered(report, sentAtMs)) active.giveUp()
  }

  function onFailure (active: ActivePoll, error: unknown): void {
    active.failedInquiries++
    host.onInquiryFailed()
    const isCertain = isErrorOfKind(error, ErrorKind.StaleEpoch) || isOtherIncarnation(error)
    if (isCertain || active.failedInquiries >= answerTimeoutsMs.length) active.giveUp(error)
  }
}
