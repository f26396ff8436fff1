/** Detects that answers of workers are being lost, from the requests of one term that got no answer although their workers are there. */
import type { Logger } from '../common/logger.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'

/** Dependencies of the detector. */
export interface AnswerLossesHost {
  readonly logger: Logger
  /** The number of workers that hold runs. */
  readonly countBusyWorkers: () => number
  /** Called when a worker has left a request unanswered. */
  readonly onUnanswered: (workerId: string) => void
  /** Called when answers begin to be lost. */
  readonly onBegun: () => void
}

/** The detector of one term. */
export interface AnswerLosses {
  /** Wraps the port of a worker so that its answers, and requests without one, are observed. */
  observe (workerId: string, port: WorkerPort): WorkerPort
  /** Must be called when another host has read a report of the worker. */
  onRelayed (workerId: string): void
  /** Must be called regularly: the losses end when none has shown for a while. */
  review (): void
  /** Tells whether the answer to a request to the worker may be lost: those of several workers are, or the worker has left one unanswered lately. A worker that is gone has no answers to lose. */
  isLossLikely (workerId: string): boolean
  /** Tells whether the worker has left a request unanswered lately. */
  hasLeftUnanswered (workerId: string): boolean
  /** Tells whether the worker has answered no request of this host since it left one unanswered. */
  isSilent (workerId: string): boolean
}

/** A request counts as unanswered if the worker has had this long for the answer, in ms, beyond its wait: shorter time-outs are missed on slow links. */
const minUnansweredMs = 300
/** A loss counts for this long, in ms: polls show one after 1 to 2 s, and the pauses between series of losses are of that order. */
const lossWindowMs = 4_000
/** A worker that has answered nothing for this long, in ms, is gone: a worker that loses six answers in ten answers one of several requests within it. */
const goneAfterMs = 4_000
/** Answers are being lost if those of this many workers are, and of this share of those that hold runs: with many workers some are slow at any time. */
const minLosingWorkers = 2
const minLosingShare = 0.02
/** The most workers that a log line names. */
const maxLoggedWorkers = 20

/** What is known of one worker. */
interface WorkerRecord {
  /** When the latest request without an answer was sent, and when its time was over, by the monotonic clock. */
  unansweredSentAtMs: number
  unansweredAtMs: number
  /** Whether no answer has shown yet that the worker was there. */
  isUnconfirmed: boolean
  /** When the first request without an answer since the latest answer was given up; undefined if there is none. */
  silentSinceMs: number | undefined
  /** When the latest request that was answered was sent, and the life that answered it. */
  answeredSentAtMs: number
  bornAtMs: number | undefined
  /** When a loss was last confirmed. */
  lostAtMs: number
}

/** Creates the detector of one term. */
export function createAnswerLosses (host: AnswerLossesHost): AnswerLosses {
  const { logger } = host
  const records = new Map<string, WorkerRecord>()
  let isLosing = false

  return { observe, onRelayed, review, isLossLikely, hasLeftUnanswered, isSilent: workerId => records.get(workerId)?.silentSinceMs !== undefined }

  function observe (workerId: string, port: WorkerPort): WorkerPort {
    return {
      start: async request => await call(async () => await port.start(request)),
      stop: async request => { await call(async () => { await port.stop(request) }) },
      pace: async request => { await call(async () => { await port.pace(request) }) },
      renewLease: async request => {
        const sentAtMs = performance.now()
        const report = await call(async () => await port.renewLease(request), request.waitMs, request.signal)
        onReport(workerId, report, sentAtMs)
        return report
      },
      close: () => { port.close() }
    }

    async function call<T> (send: () => Promise<T>, waitMs = 0, signal?: AbortSignal): Promise<T> {
      const sentAtMs = performance.now()
      try {
        return await send()
      } catch (error) {
        // A closed connection, or one that cannot be opened, shows that the worker is gone or starts anew.
        const isUnanswered = isErrorOfKind(error, ErrorKind.AnswerLost) && performance.now() - sentAtMs - waitMs >= minUnansweredMs
        if (isUnanswered && signal?.aborted !== true) onUnanswered(workerId, sentAtMs)
        throw error
      }
    }
  }

  function getRecord (workerId: string): WorkerRecord {
    let record = records.get(workerId)
    if (record === undefined) records.set(workerId, record = { unansweredSentAtMs: -Infinity, unansweredAtMs: -Infinity, isUnconfirmed: false, silentSinceMs: undefined, answeredSentAtMs: -Infinity, bornAtMs: undefined, lostAtMs: -Infinity })
    return record
  }

  function onUnanswered (workerId: string, sentAtMs: number): void {
    const record = getRecord(workerId)
    record.unansweredAtMs = performance.now()
    record.unansweredSentAtMs = Math.max(record.unansweredSentAtMs, sentAtMs)
    if (record.answeredSentAtMs > sentAtMs) {
      confirm(record)
    } else {
      record.isUnconfirmed = true
      record.silentSinceMs ??= record.unansweredAtMs
    }
    host.onUnanswered(workerId)
  }

  function onReport (workerId: string, { bornAtMs }: WorkerStatusReport, sentAtMs: number): void {
    const record = getRecord(workerId)
    const isLaterLife = record.bornAtMs !== undefined && bornAtMs !== record.bornAtMs
    record.bornAtMs = bornAtMs
    record.answeredSentAtMs = Math.max(record.answeredSentAtMs, sentAtMs)
    record.silentSinceMs = undefined
    if (!record.isUnconfirmed || sentAtMs <= record.unansweredSentAtMs) return
    record.isUnconfirmed = false
    // The life before was gone.
    if (!isLaterLife) confirm(record)
  }

  function confirm (record: WorkerRecord): void {
    record.lostAtMs = performance.now()
    review()
  }

  function onRelayed (workerId: string): void {
    const record = records.get(workerId)
    if (record?.silentSinceMs !== undefined) record.silentSinceMs = performance.now()
  }

  function review (): void {
    const nowMs = performance.now()
    const losing = [...records].filter(([, { lostAtMs }]) => nowMs - lostAtMs < lossWindowMs).map(([workerId]) => workerId)
    if (!isLosing && losing.length === 0) return
    const busyWorkers = host.countBusyWorkers()
    const threshold = Math.max(minLosingWorkers, Math.ceil(minLosingShare * busyWorkers))
    const wasLosing = isLosing
    // They end at half of the threshold, so that the state does not alternate.
    isLosing = isLosing ? 2 * losing.length >= threshold : losing.length >= threshold
    if (isLosing === wasLosing) return
    logger.info(isLosing ? 'answers of workers are being lost: a second request waits at each worker with runs' : 'answers of workers are no longer being lost', { workers: losing.length, workerIds: losing.slice(0, maxLoggedWorkers), busyWorkers, threshold, windowMs: lossWindowMs })
    if (isLosing) host.onBegun()
  }

  function isLossLikely (workerId: string): boolean {
    const silentSinceMs = records.get(workerId)?.silentSinceMs ?? Infinity
    return performance.now() - silentSinceMs < goneAfterMs && (isLosing || hasLeftUnanswered(workerId))
  }

  function hasLeftUnanswered (workerId: string): boolean {
    return performance.now() - (records.get(workerId)?.unansweredAtMs ?? -Infinity) < lossWindowMs
  }
}
