/**
 * Takes jobs, cancels and questions on any host, straight against the store, so that acceptance never depends on
 * the scheduler being reachable.
 */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { encodeAccepted, getAcceptedKey, getCancelKey, getProgressKey, pendingCountsKey } from './jobKeys.js'
import { JobState } from './jobModel.js'
import type { JobSpec } from './jobModel.js'
import { decodeState } from './trackedJob.js'

/** What the intake needs from outside. */
export interface JobIntakeHost {
  readonly store: MetadataStore
  readonly logger: Logger
}

/** Errors of all calls: `store-unavailable` when nothing was done, `answer-lost` when that is not known. */
export interface JobIntake {
  /** Resolves when the job is stored; the same job again is one job. */
  submit (job: JobSpec, deadlineMs: number): Promise<void>
  /** Resolves to false where there is no such job. */
  cancel (jobId: string, deadlineMs: number): Promise<boolean>
  getState (jobId: string, deadlineMs: number): Promise<JobState | undefined>
  /** Jobs of a queue that have not begun; up to `pendingMaxAgeMs` old. */
  countPending (queue: string): Promise<number>
}

/** What is known of a key that was to be created. */
enum Creation {
  /** It stands, by this write or an earlier one. */
  Stored = 'stored',
  NotStored = 'not-stored',
  Unknown = 'unknown'
}

/** Pause between tries at a store that turns the host away, in ms: a few tries fit into a caller's patience. */
const retryPauseMs = 150
/**
 * A call that the store refuses is tried for so long, in ms: a caller has a few tries, which then reach over an outage of some
 * seconds, and it is still told soon enough to go to another host.
 */
const refusalPatienceMs = 1_000
/** Each call is tried once, however little patience its caller has left, for so long, in ms: the store answers in far less. */
const minTryMs = 100
/** How old a count of waiting jobs may be, in ms. Source: callers may see counts that are 2 s old. */
const pendingMaxAgeMs = 700

/** Creates the intake of one host. */
export function createJobIntake (host: JobIntakeHost): JobIntake {
  const { store, logger } = host
  let pending: { readonly counts: Readonly<Record<string, number>>, readonly readAtMs: number } | undefined
  let reading: Promise<Readonly<Record<string, number>>> | undefined

  return { submit, cancel, getState, countPending }

  async function submit (job: JobSpec, callerDeadlineMs: number): Promise<void> {
    const deadlineMs = getDeadline(callerDeadlineMs)
    const created = await createRecord(getAcceptedKey(job.jobId), encodeAccepted(job), deadlineMs)
    if (created === Creation.Stored) return
    // This may be the repeat of a job that another host has accepted; without the store that is not known.
    if (created === Creation.NotStored) throw createError(ErrorKind.AnswerLost, 'the store takes no jobs from this host, and does not say whether it has this one')
    throw createError(ErrorKind.AnswerLost, 'it is not known whether the job is stored')
  }

  /**
   * Creates a key. A write whose answer was lost may land later, so "not stored" is only said when every write was
   * refused by the store itself; otherwise the write is tried until the caller's patience ends.
   */
  async function createRecord (key: string, value: string, deadlineMs: number): Promise<Creation> {
    const refusedUntilMs = Date.now() + refusalPatienceMs
    let refusals = 0
    let isUnknown = false
    while (Date.now() < deadlineMs && (isUnknown || Date.now() < refusedUntilMs)) {
      try {
        // A condition that fails says that the key stands, by an earlier write of this host or of another.
        await withDeadline(store.transact({ expected: [{ key, revision: 0 }], writes: [{ key, value }] }), deadlineMs)
        return Creation.Stored
      } catch (error) {
        if (isErrorOfKind(error, ErrorKind.AnswerLost)) isUnknown = true
        refusals++
        logger.info('a write of a job is tried again', { key, refusals, isUnknown, error: String(error) })
        await delay(Math.min(retryPauseMs, Math.max(0, deadlineMs - Date.now())))
      }
    }
    return isUnknown ? Creation.Unknown : Creation.NotStored
  }

  async function cancel (jobId: string, callerDeadlineMs: number): Promise<boolean> {
    const deadlineMs = getDeadline(callerDeadlineMs)
    const item = await retry(() => store.get(getAcceptedKey(jobId)), deadlineMs)
    if (item === undefined) return false
    const created = await createRecord(getCancelKey(jobId), '{}', deadlineMs)
    if (created === Creation.Stored) return true
    if (created === Creation.NotStored) throw createError(ErrorKind.StoreUnavailable, 'the store takes no cancels from this host')
    throw createError(ErrorKind.AnswerLost, 'it is not known whether the cancel is stored')
  }

  async function getState (jobId: string, callerDeadlineMs: number): Promise<JobState | undefined> {
    const deadlineMs = getDeadline(callerDeadlineMs)
    const progress = await retry(() => store.get(getProgressKey(jobId)), deadlineMs)
    if (progress !== undefined) return decodeState(progress.value)
    const accepted = await retry(() => store.get(getAcceptedKey(jobId)), deadlineMs)
    return accepted === undefined ? undefined : JobState.Queued
  }

  async function countPending (queue: string): Promise<number> {
    if (pending === undefined || Date.now() - pending.readAtMs > pendingMaxAgeMs) {
      reading ??= readPending().finally(() => { reading = undefined })
      return (await reading)[queue] ?? 0
    }
    return pending.counts[queue] ?? 0
  }

  async function readPending (): Promise<Readonly<Record<string, number>>> {
    const readAtMs = Date.now()
    const item = await store.get(pendingCountsKey)
    const counts = item === undefined ? {} : JSON.parse(item.value) as Record<string, number>
    pending = { counts, readAtMs }
    return counts
  }

  /** Repeats a read until it succeeds, the deadline passes or the store has refused it for a while. */
  async function retry<T> (read: () => Promise<T>, deadlineMs: number): Promise<T> {
    const untilMs = Math.min(deadlineMs, Date.now() + refusalPatienceMs) - retryPauseMs
    while (true) {
      try {
        return await withDeadline(read(), deadlineMs)
      } catch (error) {
        if (Date.now() >= untilMs) throw error
        await delay(retryPauseMs)
      }
    }
  }
}

function getDeadline (callerDeadlineMs: number): number {
  return Math.max(callerDeadlineMs, Date.now() + minTryMs)
}

/** Gives a call up when the caller's patience ends; what it does then is not known. */
async function withDeadline<T> (call: Promise<T>, deadlineMs: number): Promise<T> {
  const giveUp = new AbortController()
  const late = delay(Math.max(0, deadlineMs - Date.now()), giveUp.signal).then(() => {
    throw createError(ErrorKind.AnswerLost, 'no answer in the time that the caller waits')
  })
  try {
    return await Promise.race([call, late])
  } finally {
    late.catch(() => {})
    giveUp.abort()
  }
}
