/**
 * Inquiries that wait at one worker beside its polls while answers are being lost: a lost answer hides the ends that follow until its time is over, and an end that
 * the worker lists by then is gone if the worker crashes. They acknowledge nothing and extend no lease, so that it does no harm if one is carried out late.
 */
import type { Term } from '../election/leaderElection.js'
import { delay } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { RelayedPoll, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'

/** What the link to a worker reads of lost answers. */
export interface LinkLosses {
  /** Tells whether the answer to the next request may be lost. */
  readonly areLikely: () => boolean
  readonly hasLeftUnanswered: () => boolean
  /** Tells whether the worker has answered no request of this host since it left one unanswered. */
  readonly isSilent: () => boolean
  readonly slots: InquirySlots
}

/** Dependencies of the waiting inquiries. */
export interface WaitingInquiryHost {
  readonly term: Pick<Term, 'epoch' | 'isValid' | 'signal'>
  readonly port: Pick<WorkerPort, 'renewLease'>
  readonly pollThroughPeers?: ((poll: RelayedPoll) => Promise<WorkerStatusReport>) | undefined
  readonly losses: LinkLosses | undefined
  /** Tells whether an inquiry is to wait at the worker. */
  readonly isDue: () => boolean
  /** When the first run on the worker that is expected to end after `afterMs` does so, by the monotonic clock; Infinity if there is none. */
  readonly getExpectedEndMs: (afterMs: number) => number
  /** How long the poll under way has been waited for, in ms; Infinity if there is none. */
  readonly getPollAgeMs: () => number
  /** Applies an answer. Returns whether it shows an end that was not known. */
  readonly onAnswered: (report: WorkerStatusReport, sentAtMs: number, isRelayed: boolean) => boolean
  readonly onFailed: (error: unknown, isRelayed: boolean) => void
}

/** The waiting inquiries of one worker, one at a time. */
export interface WaitingInquiry {
  /** Must be called when an inquiry may have become due. */
  review (): void
}

/** Limits the waiting inquiries of one term. */
export interface InquirySlots {
  tryTake (isUrgent: boolean): boolean
  release (): void
  /** How long a request may wait at a worker, in ms, while answers are being lost. */
  getWaitMs (): number
}

/** The most inquiries that wait at once, and how many more may if they are urgent. Each takes a connection. */
const maxWaiting = 64
const maxUrgentWaiting = 32
/**
 * How long they wait, in ms: the shorter, the sooner a lost answer is made up for. With each inquiry under way the wait is longer by `waitPerInquiryMs`, so that
 * inquiries and polls together do not exceed some 70 a second: each takes about 3 ms of the smallest host.
 */
const minWaitMs = 500
const maxWaitMs = 1_500
const waitPerInquiryMs = 30
/** Through other hosts they wait for at least this long, in ms: each is sent by two hosts. */
const minRelayedWaitMs = 1_000
/** An inquiry of this host is sent at least this long after the poll under way, in ms, so that one disturbance does not concern both. */
const minOffsetMs = 100
/** Pause in ms after an answer that came at once with nothing new, or after a second failure in a row; it doubles up to the longer one. A worker that lists ends answers at once. */
const minPauseMs = 100
const maxPauseMs = 800
/** An answer in this time, in ms, came at once. */
const promptMs = 250
/** An end that is expected within this time, in ms, is urgent. */
const nearEndMs = 1_000
/** Pause in ms while the most inquiries wait already. */
const slotPauseMs = 200

/** Creates the limits of one term. */
export function createInquirySlots (): InquirySlots {
  let waiting = 0
  return {
    tryTake: isUrgent => {
      if (waiting >= maxWaiting + (isUrgent ? maxUrgentWaiting : 0)) return false
      waiting++
      return true
    },
    release: () => { waiting-- },
    getWaitMs: () => Math.min(maxWaitMs, Math.max(minWaitMs, waitPerInquiryMs * waiting))
  }
}

/** Creates the waiting inquiries of one worker. */
export function createWaitingInquiry (host: WaitingInquiryHost): WaitingInquiry {
  const { term, port, losses } = host
  let isRunning = false
  let hasRelayFailed = false
  let failures = 0
  let pauseMs = minPauseMs

  return { review }

  function review (): void {
    if (!isRunning && host.isDue()) void sendWhileDue()
  }

  async function sendWhileDue (): Promise<void> {
    isRunning = true
    hasRelayFailed = false
    failures = 0
    pauseMs = minPauseMs
    while (host.isDue()) {
      if (!term.isValid() || losses?.slots.tryTake(isUrgent()) !== true) {
        await delay(slotPauseMs, term.signal)
        continue
      }
      let nextPauseMs: number
      try {
        nextPauseMs = await send()
      } finally {
        losses.slots.release()
      }
      if (nextPauseMs > 0) await delay(nextPauseMs, term.signal)
    }
    isRunning = false
  }

  /** Sends an inquiry. Resolves to the pause before the next one, in ms. */
  async function send (): Promise<number> {
    const isRelayed = host.pollThroughPeers !== undefined && losses?.isSilent() === true && !hasRelayFailed
    const offsetMs = minOffsetMs - host.getPollAgeMs()
    if (!isRelayed && offsetMs > 0) await delay(offsetMs, term.signal)
    if (!host.isDue() || !term.isValid()) return 0
    const sentAtMs = performance.now()
    try {
      const waitMs = losses?.slots.getWaitMs() ?? minWaitMs
      const report = isRelayed
        ? await (host.pollThroughPeers as NonNullable<typeof host.pollThroughPeers>)({ epoch: term.epoch, waitMs: Math.max(minRelayedWaitMs, waitMs) })
        : await port.renewLease({ epoch: term.epoch, acknowledgedSequence: 0, waitMs, isConcurrent: true })
      failures = 0
      hasRelayFailed = false
      if (host.onAnswered(report, sentAtMs, isRelayed)) pauseMs = minPauseMs
      return performance.now() - sentAtMs < promptMs ? takePause() : 0
    } catch (error) {
      failures++
      hasRelayFailed = isRelayed
      host.onFailed(error, isRelayed)
      // The next one takes the other way at once, unless neither is open.
      const isRefused = isErrorOfKind(error, ErrorKind.StaleEpoch) || isErrorOfKind(error, ErrorKind.Conflict)
      return failures > 1 || isRefused ? takePause() : 0
    }
  }

  function isUrgent (): boolean {
    const nowMs = performance.now()
    return losses?.hasLeftUnanswered() === true || host.getExpectedEndMs(nowMs) < nowMs + nearEndMs
  }

  function takePause (): number {
    const takenMs = pauseMs
    pauseMs = Math.min(2 * pauseMs, maxPauseMs)
    return takenMs
  }
}
