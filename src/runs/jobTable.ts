/** The scheduler's jobs: loaded at the term's start, then followed by a watch of what hosts accept and cancel. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { acceptedPrefix, decodeAccepted, getAcceptedKey, getCancelKey, getProgressKey, parseAcceptedKey, progressPrefix } from '../jobs/jobKeys.js'
import { isTerminal, JobState } from '../jobs/jobModel.js'
import { addOccurrence, createTrackedJob, restoreProgress } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { readAll } from '../store/metadataStore.js'
import type { MetadataStore, StoreChange } from '../store/metadataStore.js'

/** What the table needs from outside. */
export interface JobTableHost {
  readonly store: MetadataStore
  readonly term: Term
  readonly logger: Logger
  readonly onJobAdded: (job: TrackedJob) => void
  readonly onCancel: (job: TrackedJob) => void
  /** An occurrence has become due. */
  readonly onDue: () => void
  /** How long an ended job's state can be read, in ms. */
  readonly retentionMs: number
}

/** The jobs of one term. */
export interface JobTable {
  /** Reads everything, with the progress. Repeats until it succeeds or the term ends. */
  load (): Promise<void>
  get (jobId: string): TrackedJob | undefined
  getAll (): Iterable<TrackedJob>
  /** Jobs that are not over. */
  getUnfinished (): Iterable<TrackedJob>
  /** Adds the occurrences that are due. */
  addDue (nowMs: number): void
}

/** How long one watch waits for changes, in ms: a silent connection is found within this and the call's time-out. */
const watchWaitMs = 1_000
/** Everything is read again so often, in ms: a net under watches that miss changes. */
const rereadPeriodMs = 10_000
/** Pause after a failed call, in ms. */
const retryPauseMs = 150
/** Most jobs whose records are removed in one transaction; each takes three entries. */
const maxRemovedTogether = 8
/** Ended jobs are kept so much longer than promised, in ms, for clocks that differ. */
const retentionMarginMs = 30_000

/** Creates the table of one term. */
export function createJobTable (host: JobTableHost): JobTable {
  const { store, term, logger } = host
  const jobs = new Map<string, TrackedJob>()
  const unfinished = new Set<TrackedJob>()
  let isLoaded = false

  return { load, get: jobId => jobs.get(jobId), getAll: () => jobs.values(), getUnfinished, addDue }

  async function load (): Promise<void> {
    while (!term.signal.aborted) {
      try {
        const [accepted, progress] = await Promise.all([readAll(store, acceptedPrefix), readAll(store, progressPrefix)])
        const progressOf = new Map(progress.items.map(item => [item.key, item]))
        for (const { key, value } of accepted.items) take(key, value, progressOf.get(getProgressKey(parseAcceptedKey(key).jobId)))
        for (const { key } of accepted.items) takeCancel(key)
        isLoaded = true
        void follow(accepted.revision)
        void removeOldJobs()
        return
      } catch (error) {
        logger.warn('the jobs cannot be read', { error: String(error) })
        await delay(retryPauseMs, term.signal)
      }
    }
  }

  function take (key: string, value: string, progress?: { readonly value: string, readonly revision: number }): void {
    const { jobId, isCancel } = parseAcceptedKey(key)
    if (isCancel || jobs.has(jobId)) return
    const spec = decodeAccepted(value)
    const job = createTrackedJob(spec, performance.now())
    if (progress !== undefined) restoreProgress(job, progress.value, progress.revision, performance.now())
    jobs.set(jobId, job)
    unfinished.add(job)
    if (isLoaded) logger.info('a job is taken', { jobId, queue: spec.queue, organisation: spec.organisation, steps: spec.steps.length, ageMs: Date.now() - spec.acceptedAtMs })
    host.onJobAdded(job)
  }

  /** Ended jobs are dropped here, so that a plan does not go through all that the retention keeps. */
  function getUnfinished (): Iterable<TrackedJob> {
    for (const job of unfinished) if (isTerminal(job.state)) unfinished.delete(job)
    return unfinished
  }

  function takeCancel (key: string): void {
    const { jobId, isCancel } = parseAcceptedKey(key)
    const job = jobs.get(jobId)
    if (!isCancel || job === undefined || job.isCancelRequested) return
    logger.info('a cancel is taken', { jobId, state: job.state })
    host.onCancel(job)
  }

  async function follow (fromRevision: number): Promise<void> {
    let revision = fromRevision
    let readAtMs = performance.now()
    while (!term.signal.aborted) {
      try {
        if (performance.now() - readAtMs > rereadPeriodMs) {
          revision = await reread()
          readAtMs = performance.now()
        }
        const result = await store.watch(acceptedPrefix, revision, watchWaitMs, term.signal)
        takeChanges(result.changes)
        revision = result.revision
      } catch (error) {
        if (term.signal.aborted) return
        logger.info('the watch of the jobs was cut', { error: String(error) })
        readAtMs = -Infinity
        if (!isErrorOfKind(error, ErrorKind.HistoryGone)) await delay(retryPauseMs, term.signal)
      }
    }
  }

  async function reread (): Promise<number> {
    const accepted = await readAll(store, acceptedPrefix)
    takeChanges(accepted.items.map(item => ({ key: item.key, item })))
    return accepted.revision
  }

  function takeChanges (changes: readonly StoreChange[]): void {
    for (const { key, item } of changes) if (item !== undefined) take(key, item.value)
    for (const { key, item } of changes) if (item !== undefined) takeCancel(key)
  }

  function addDue (nowMs: number): void {
    for (const job of jobs.values()) {
      const { recurrence } = job.spec
      if (recurrence === undefined || isTerminal(job.state) || job.occurrences.size >= recurrence.times) continue
      for (let occurrence = 0; occurrence < recurrence.times; occurrence++) {
        if (recurrence.firstAtMs + occurrence * recurrence.intervalMs > nowMs) break
        if (job.occurrences.has(occurrence)) continue
        addOccurrence(job, occurrence, performance.now())
        host.onDue()
      }
    }
  }

  /** Removes the records of jobs whose end was long enough ago. */
  async function removeOldJobs (): Promise<void> {
    while (!term.signal.aborted) {
      await delay(host.retentionMs / 4, term.signal)
      const limitMs = Date.now() - host.retentionMs - retentionMarginMs
      const old = [...jobs.values()].filter(job => isTerminal(job.state) && (job.endedAtMs ?? Infinity) < limitMs)
      for (let start = 0; start < old.length; start += maxRemovedTogether) await remove(old.slice(start, start + maxRemovedTogether))
    }
  }

  async function remove (old: readonly TrackedJob[]): Promise<void> {
    const removes = old.flatMap(({ spec }) => [getAcceptedKey(spec.jobId), getProgressKey(spec.jobId), getCancelKey(spec.jobId)])
    try {
      const expected = [{ key: term.leaderKey, revision: term.leaderRevision }]
      if ((await store.transact({ expected, writes: [], removes })).isCommitted) for (const { spec } of old) jobs.delete(spec.jobId)
    } catch (error) {
      logger.info('old jobs could not be removed', { error: String(error) })
    }
  }
}

/** Counts the jobs of each queue that have not begun. */
export function countPending (unfinishedJobs: Iterable<TrackedJob>): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const job of unfinishedJobs) {
    const isPending = job.state === JobState.Queued && !job.isCancelRequested
    if (isPending) counts[job.spec.queue] = (counts[job.spec.queue] ?? 0) + 1
  }
  return counts
}
