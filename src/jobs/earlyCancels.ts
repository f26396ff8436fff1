/**
 * Cancels jobs that are not stored, so that a submission that is still on its way cannot store them afterwards. Several cancellations share a transaction, and
 * transactions are spaced out. Load: a client that cancels thousands of ids that nobody has submitted.
 */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { maxTransactionEntries } from '../store/metadataStore.js'
import type { MetadataStore, TransactionResult } from '../store/metadataStore.js'
import { getAcceptedKey, getCancelKey } from './jobKeys.js'

/** Dependencies of the early cancellations of one host. */
export interface EarlyCancelsHost {
  readonly store: Pick<MetadataStore, 'transact'>
  readonly logger: Logger
  /** The least time between two transactions of this host, in ms. */
  readonly getMinIntervalMs: () => number
}

/** What a cancellation has found in the store. */
export enum EarlyCancelResult {
  /** The job is not stored and, as long as the marker exists, no host can store it. */
  Marked = 'marked',
  /** The job has been stored in the meantime. */
  JobStored = 'job-stored'
}

/** The cancellations of one host. */
export interface EarlyCancels {
  /**
   * Stores the cancellation marker unless the job is stored. The deadline is by the monotonic clock, in ms. Errors: `overloaded` if there are too many cancellations
   * to store it in time; `store-unavailable` if the store refused it; `answer-lost` if it may be stored later.
   */
  mark (jobId: string, deadlineMs: number): Promise<EarlyCancelResult>
}

interface WaitingCancel {
  readonly jobId: string
  readonly deadlineMs: number
  readonly addedAtMs: number
  readonly resolve: (result: EarlyCancelResult) => void
  readonly reject: (error: unknown) => void
  /** A transaction with it has had no response. */
  isUnknown: boolean
}

/** A marker needs two conditions and a write: the job is not stored, and neither is the marker. */
const entriesPerMarker = 3
const maxMarkersPerTransaction = Math.floor(maxTransactionEntries / entriesPerMarker)
/** A cancellation that the store refuses is sent again for this long, in ms; then the caller still has time to try another host. */
const refusalRetryMs = 1_000
/** Time left for the response when a cancellation that has to wait is sent, in ms. */
const responseTimeMs = 200
/** Pause before the cancellations of a failed transaction are sent again, in ms. */
const retryDelayMs = 150

/** Creates the cancellations of one host. */
export function createEarlyCancels (host: EarlyCancelsHost): EarlyCancels {
  const { store, logger } = host
  let waiting: WaitingCancel[] = []
  let nextSendAtMs = -Infinity
  let isSending = false
  return { mark }

  async function mark (jobId: string, deadlineMs: number): Promise<EarlyCancelResult> {
    const waitMs = getWaitMs(waiting.length)
    if (waitMs > 0 && performance.now() + waitMs + responseTimeMs > deadlineMs) throw createError(ErrorKind.Overloaded, 'too many cancellations of jobs that are not stored', { retryAfterS: Math.ceil(waitMs / 1_000) })
    return await new Promise((resolve, reject) => {
      waiting.push({ jobId, deadlineMs, addedAtMs: performance.now(), resolve, reject, isUnknown: false })
      void sendWaiting()
    })
  }

  /** The time until a cancellation behind `position` others is sent. */
  function getWaitMs (position: number): number {
    return Math.max(0, nextSendAtMs - performance.now()) + Math.floor(position / maxMarkersPerTransaction) * host.getMinIntervalMs()
  }

  /** Sends the waiting cancellations without awaiting the responses, so that a lost one does not hold up the others. */
  async function sendWaiting (): Promise<void> {
    if (isSending) return
    isSending = true
    while (waiting.length > 0) {
      await delay(getWaitMs(0))
      const batch = takeBatch()
      if (batch.length === 0) continue
      nextSendAtMs = performance.now() + host.getMinIntervalMs()
      void send(batch)
    }
    isSending = false
  }

  /** Takes the first cancellations, at most one for each job, and rejects those whose deadline has passed. */
  function takeBatch (): readonly WaitingCancel[] {
    const batch = new Map<string, WaitingCancel>()
    const later: WaitingCancel[] = []
    for (const cancel of waiting) {
      if (cancel.deadlineMs <= performance.now()) reject(cancel)
      else if (batch.size === maxMarkersPerTransaction || batch.has(cancel.jobId)) later.push(cancel)
      else batch.set(cancel.jobId, cancel)
    }
    waiting = later
    return [...batch.values()]
  }

  async function send (batch: readonly WaitingCancel[]): Promise<void> {
    try {
      settle(batch, await store.transact({
        expected: batch.flatMap(({ jobId }) => [{ key: getAcceptedKey(jobId), revision: 0 }, { key: getCancelKey(jobId), revision: 0 }]),
        writes: batch.map(({ jobId }) => ({ key: getCancelKey(jobId), value: '{}' }))
      }))
    } catch (error) {
      logger.info('failed to cancel jobs that are not stored', { jobIds: batch.map(({ jobId }) => jobId), error: String(error) })
      for (const cancel of batch) if (isErrorOfKind(error, ErrorKind.AnswerLost)) cancel.isUnknown = true
      await delay(retryDelayMs)
      const isGivenUp = ({ isUnknown, addedAtMs }: WaitingCancel): boolean => !isUnknown && performance.now() - addedAtMs >= refusalRetryMs
      batch.filter(isGivenUp).forEach(reject)
      sendAgain(batch.filter(cancel => !isGivenUp(cancel)))
    }
  }

  /** The transaction is applied as a whole or not at all, so that cancellations without an obstacle of their own are sent again. */
  function settle (batch: readonly WaitingCancel[], result: TransactionResult): void {
    const found = new Set(result.isCommitted ? [] : result.items.map(({ key }) => key))
    const unsettled: WaitingCancel[] = []
    for (const cancel of batch) {
      if (found.has(getAcceptedKey(cancel.jobId))) cancel.resolve(EarlyCancelResult.JobStored)
      else if (result.isCommitted || found.has(getCancelKey(cancel.jobId))) cancel.resolve(EarlyCancelResult.Marked)
      else unsettled.push(cancel)
    }
    sendAgain(unsettled)
  }

  function sendAgain (cancels: readonly WaitingCancel[]): void {
    if (cancels.length === 0) return
    waiting.unshift(...cancels)
    void sendWaiting()
  }

  function reject ({ isUnknown, reject }: WaitingCancel): void {
    reject(isUnknown ? createError(ErrorKind.AnswerLost, 'it is unknown whether the cancellation was stored') : createError(ErrorKind.StoreUnavailable, 'the store refused the cancellation'))
  }
}
