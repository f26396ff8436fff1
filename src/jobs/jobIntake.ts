/**
 * Accepts job submissions, cancellations and status queries on any host. It reads and writes the store directly, so that acceptance
 * does not depend on the scheduler being reachable.
 */
import * as z from 'zod/mini'
import { tryParseJson } from '../common/boundedJson.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind, isNotRun } from '../errors/errorKinds.js'
import type { MetadataStore, Transaction, TransactionResult } from '../store/metadataStore.js'
import { createOutageTracker, knownOutageMs, tryGetOutageRetryS } from '../store/outageTracker.js'
import { createEarlyCancels, EarlyCancelResult } from './earlyCancels.js'
import { encodeAccepted, getAcceptedKey, getCancelKey, getProgressKey, pendingCountsKey } from './jobKeys.js'
import { JobState } from './jobModel.js'
import type { JobSpec } from './jobModel.js'
import { decodeState } from './trackedJob.js'

/** Dependencies of the intake. */
export interface JobIntakeHost {
  readonly store: MetadataStore
  readonly logger: Logger
  /** How long the store is known from other calls to be unavailable on every way, in ms; 0 if it is not. */
  readonly getKnownOutageMs?: () => number
  /** The least time between two transactions of this host that cancel jobs that are not stored, in ms; 0 if it is not given. */
  readonly getMinCancelIntervalMs?: () => number
}

/** Deadlines are by the monotonic clock, in ms. A call that fails rejects with `store-unavailable` if it certainly had no effect, and with `answer-lost` if that is unknown. */
export interface JobIntake {
  /** Resolves when the job is stored. Idempotent by job id. Rejects with `job-cancelled` if the job was cancelled before it was stored. */
  submit (job: JobSpec, deadlineMs: number): Promise<void>
  /**
   * Resolves to true if the job is certainly not stored, and no write of it by an earlier submission can still be applied as far as this
   * host knows. Never rejects: without an answer of the store it is false.
   */
  isCertainlyNew (jobId: string, deadlineMs: number): Promise<boolean>
  /** Resolves to false if the job does not exist; then no submission that is still on its way can store it either. */
  cancel (jobId: string, deadlineMs: number): Promise<boolean>
  getState (jobId: string, deadlineMs: number): Promise<JobState | undefined>
  /** Counts the jobs of a queue that have not started. The count may be up to `pendingCountsMaxAgeMs` old. */
  countPending (queue: string, deadlineMs: number): Promise<number>
}

/** Outcome of an attempt to create a key. */
enum CreateResult {
  /** The key exists, from this write or an earlier one. */
  Stored = 'stored',
  /** A key that must not exist exists. */
  Prevented = 'prevented',
  NotStored = 'not-stored',
  Unknown = 'unknown'
}

interface CreateOptions {
  readonly preventedBy?: string
  readonly isAnsweredInOutage?: boolean
}

/** Delay between the attempts of a store call, in ms: allows several attempts within a caller's deadline. */
const retryDelayMs = 150
/**
 * How long a failed read or a refused write is retried, in ms. Callers retry as well, so that all attempts together span an outage of
 * several seconds; this limit is short enough that the error reaches a caller in time to try another host.
 */
const refusalRetryMs = 1_000
/** Minimum time for a call, in ms, even if the caller's deadline is earlier: enough for one attempt, as the store answers in far less. */
const minAttemptMs = 100
/** Maximum age of the cached counts of pending jobs, in ms. Counts shown to callers may be at most 2 s old. */
const pendingCountsMaxAgeMs = 700
/**
 * For how long a write without a response may still be applied, in ms, and hence for how long after a failed call, or a write of which a copy had no answer, no job
 * counts as certainly new: the same failure may have hit another host that wrote the job. The store's stand-in delays writes by up to 6 s in tests.
 */
const lateWriteMs = 8_000
/** Time limit of the look-up before a refusal, in ms, after which the job is accepted: with the summary's read, a submission is delayed by less than a second. */
const lookupTimeoutMs = 400

const countsSchema = z.record(z.string(), z.int().check(z.nonnegative()))

/** Creates the intake of one host. */
export function createJobIntake (host: JobIntakeHost): JobIntake {
  const { logger } = host
  const store: Pick<MetadataStore, 'get' | 'transact'> = { get: key => observe(host.store.get(key)), transact: transaction => observe(transact(transaction)) }
  const tracker = createOutageTracker()
  const earlyCancels = createEarlyCancels({ store, logger, getMinIntervalMs: host.getMinCancelIntervalMs ?? (() => 0) })
  /** The number of submissions under way, by job. */
  const submitting = new Map<string, number>()
  let cachedPending: { readonly counts: Readonly<Record<string, number>>, readonly readAtMs: number } | undefined
  let ongoingRead: Promise<Readonly<Record<string, number>>> | undefined

  return { submit, isCertainlyNew, cancel, getState, countPending }

  async function observe<T> (call: Promise<T>): Promise<T> {
    try {
      const result = await call
      tracker.recordSuccess()
      return result
    } catch (error) {
      tracker.recordFailure(error)
      throw error
    }
  }

  async function transact (transaction: Transaction): Promise<TransactionResult> {
    const result = await host.store.transact(transaction)
    // A write of another host may have had no answer either, and no other copy that was applied.
    if (result.hasUnansweredCopy === true) tracker.recordFailure(createError(ErrorKind.AnswerLost, 'a copy of a write was not answered'))
    return result
  }

  function getOutageMs (): number {
    return Math.max(tracker.getOutageMs(), host.getKnownOutageMs?.() ?? 0)
  }

  async function isCertainlyNew (jobId: string, callerDeadlineMs: number): Promise<boolean> {
    if (isWriteOpen(jobId)) return false
    try {
      // Half of the time is left for the write in case the job is not refused.
      const timeoutMs = Math.min(lookupTimeoutMs, (getDeadline(callerDeadlineMs) - performance.now()) / 2)
      const deadlineMs = performance.now() + timeoutMs
      const item = await withDeadline(store.get(getAcceptedKey(jobId)), deadlineMs)
      return item === undefined && !isWriteOpen(jobId)
    } catch (error) {
      logger.info('the accept record could not be looked up', { jobId, error: String(error) })
      return false
    }
  }

  /** Tells whether an earlier submission may still be writing the job. */
  function isWriteOpen (jobId: string): boolean {
    return submitting.has(jobId) || tracker.getMsSinceFailure() < lateWriteMs
  }

  async function submit (job: JobSpec, callerDeadlineMs: number): Promise<void> {
    const deadlineMs = getDeadline(callerDeadlineMs)
    submitting.set(job.jobId, (submitting.get(job.jobId) ?? 0) + 1)
    let result
    try {
      result = await createRecord(getAcceptedKey(job.jobId), encodeAccepted(job), deadlineMs, { preventedBy: getCancelKey(job.jobId), isAnsweredInOutage: true })
    } finally {
      const others = (submitting.get(job.jobId) ?? 1) - 1
      if (others === 0) submitting.delete(job.jobId)
      else submitting.set(job.jobId, others)
    }
    if (result === CreateResult.Stored) return
    if (result === CreateResult.Prevented) {
      logger.info('a submission is rejected, as the job was cancelled before it was stored', { jobId: job.jobId, queue: job.queue, organisation: job.organisation })
      throw createError(ErrorKind.JobCancelled, 'the job was cancelled before it was stored; submit the work under another id')
    }
    // No write of this call was applied, but an earlier request to any host may have stored the job, and the store cannot be asked.
    if (result === CreateResult.NotStored) throw createError(ErrorKind.AnswerLost, 'the store refused the job, and it is unknown whether the job was stored by an earlier request', { retryAfterS: tryGetOutageRetryS(getOutageMs()) })
    // Also a write that is still unanswered at the deadline may be applied late.
    tracker.recordFailure(createError(ErrorKind.AnswerLost, 'the store did not answer before the deadline'))
    throw createError(ErrorKind.AnswerLost, 'it is unknown whether the job was stored')
  }

  /**
   * Creates a key. A write whose response was lost may still be applied later, so the result is `NotStored` only if the store itself
   * refused every write; otherwise the write is retried until the deadline. In a known outage a refused write is not retried if
   * `isAnsweredInOutage`. The key is not created if `preventedBy` exists.
   */
  async function createRecord (key: string, value: string, deadlineMs: number, { preventedBy, isAnsweredInOutage = false }: CreateOptions = {}): Promise<CreateResult> {
    const expected = [key, ...preventedBy === undefined ? [] : [preventedBy]].map(absentKey => ({ key: absentKey, revision: 0 }))
    const retryUntilMs = performance.now() + refusalRetryMs
    let refusals = 0
    let isUnknown = false
    while (performance.now() < deadlineMs && (isUnknown || performance.now() < retryUntilMs)) {
      try {
        const result = await withDeadline(store.transact({ expected, writes: [{ key, value }] }), deadlineMs)
        // The key may exist from an earlier write by this host or another, and whatever prevents it may have been created after that.
        const isPrevented = !result.isCommitted && result.items.every(item => item.key !== key) && result.items.some(item => item.key === preventedBy)
        return isPrevented ? CreateResult.Prevented : CreateResult.Stored
      } catch (error) {
        if (isErrorOfKind(error, ErrorKind.AnswerLost)) isUnknown = true
        refusals++
        logger.info('failed to write a key of a job', { key, refusals, isUnknown, outageMs: Math.round(getOutageMs()), error: String(error) })
        if (isAnsweredInOutage && !isUnknown && isNotRun(error) && getOutageMs() >= knownOutageMs) return CreateResult.NotStored
        await delay(Math.min(retryDelayMs, Math.max(0, deadlineMs - performance.now())))
      }
    }
    return isUnknown ? CreateResult.Unknown : CreateResult.NotStored
  }

  async function cancel (jobId: string, callerDeadlineMs: number): Promise<boolean> {
    const deadlineMs = getDeadline(callerDeadlineMs)
    const item = await retry(() => store.get(getAcceptedKey(jobId)), deadlineMs)
    if (item === undefined && await withDeadline(earlyCancels.mark(jobId, deadlineMs), deadlineMs) === EarlyCancelResult.Marked) {
      logger.info('a job that is not stored is cancelled', { jobId })
      return false
    }
    const result = await createRecord(getCancelKey(jobId), '{}', deadlineMs)
    if (result === CreateResult.Stored) return true
    if (result === CreateResult.NotStored) throw createError(ErrorKind.StoreUnavailable, 'the store refused the cancellation')
    throw createError(ErrorKind.AnswerLost, 'it is unknown whether the cancellation was stored')
  }

  async function getState (jobId: string, callerDeadlineMs: number): Promise<JobState | undefined> {
    const deadlineMs = getDeadline(callerDeadlineMs)
    const progress = await retry(() => store.get(getProgressKey(jobId)), deadlineMs)
    if (progress !== undefined) return decodeState(progress.value)
    const accepted = await retry(() => store.get(getAcceptedKey(jobId)), deadlineMs)
    return accepted === undefined ? undefined : JobState.Queued
  }

  async function countPending (queue: string, callerDeadlineMs: number): Promise<number> {
    if (cachedPending !== undefined && performance.now() - cachedPending.readAtMs <= pendingCountsMaxAgeMs) return cachedPending.counts[queue] ?? 0
    const deadlineMs = getDeadline(callerDeadlineMs)
    const counts = await retry(() => {
      ongoingRead ??= readPending().finally(() => { ongoingRead = undefined })
      return ongoingRead
    }, deadlineMs)
    return counts[queue] ?? 0
  }

  async function readPending (): Promise<Readonly<Record<string, number>>> {
    const readAtMs = performance.now()
    const item = await store.get(pendingCountsKey)
    const counts = item === undefined ? {} : decodeCounts(item.value)
    cachedPending = { counts, readAtMs }
    return counts
  }

  /** Retries a read until it succeeds, the deadline passes or `refusalRetryMs` have passed. */
  async function retry<T> (read: () => Promise<T>, deadlineMs: number): Promise<T> {
    const retryUntilMs = Math.min(deadlineMs, performance.now() + refusalRetryMs) - retryDelayMs
    while (true) {
      try {
        return await withDeadline(read(), deadlineMs)
      } catch (error) {
        if (performance.now() >= retryUntilMs) throw error
        await delay(retryDelayMs)
      }
    }
  }
}

/** Errors: `internal` if the counts are malformed. */
function decodeCounts (value: string): Readonly<Record<string, number>> {
  const counts = countsSchema.safeParse(tryParseJson(value))
  if (counts.success) return counts.data
  throw createError(ErrorKind.Internal, 'the stored counts of waiting jobs cannot be decoded')
}

function getDeadline (callerDeadlineMs: number): number {
  return Math.max(callerDeadlineMs, performance.now() + minAttemptMs)
}

/** Rejects with `answer-lost` at the deadline; the call itself goes on, and its effect is unknown. */
async function withDeadline<T> (call: Promise<T>, deadlineMs: number): Promise<T> {
  const timeoutController = new AbortController()
  const timeout = delay(Math.max(0, deadlineMs - performance.now()), timeoutController.signal).then(() => {
    throw createError(ErrorKind.AnswerLost, 'the store did not answer before the caller\'s deadline')
  })
  try {
    return await Promise.race([call, timeout])
  } finally {
    timeout.catch(() => {})
    timeoutController.abort()
  }
}
