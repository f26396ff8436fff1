/** The scheduler's jobs: loaded at the start of the term, then updated by watching the accept and cancel records that hosts write. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { acceptedPrefix, getAcceptedKey, getCancelKey, getProgressKey, parseAcceptedKey, progressPrefix, tryDecodeAccepted } from '../jobs/jobKeys.js'
import { isTerminal, JobState } from '../jobs/jobModel.js'
import type { JobSpec } from '../jobs/jobModel.js'
import { describeExcess, maxScheduledTasks } from '../jobs/jobSize.js'
import { addOccurrence, createOversizedJob, createTrackedJob, getOverdueMs, tryRestoreProgress, tryRestoreState } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { maxTransactionEntries, readAll } from '../store/metadataStore.js'
import type { MetadataStore, StoreChange, StoredItem } from '../store/metadataStore.js'
import type { PrefixSnapshot } from '../store/prefixReplica.js'
import { areConditionsMet } from '../store/revisionGuard.js'
import { createEarlyCancelMarkers } from './earlyCancelMarkers.js'

/** Dependencies of the job table. */
export interface JobTableHost {
  readonly store: MetadataStore
  readonly term: Term
  readonly logger: Logger
  readonly onJobAdded: (job: TrackedJob) => void
  readonly onCancel: (job: TrackedJob) => void
  /** Called when a stored job has failed because it is too large to be scheduled; its state has to be stored. */
  readonly onTooLarge: (job: TrackedJob) => void
  /** Called when an occurrence has become due. */
  readonly onOccurrenceDue: () => void
  /** How long the state of an ended job can be read, in ms. */
  readonly retentionMs: number
  /** Reads all items under a prefix as of the start of the term or later. Reads them from the store if it is not given. */
  readonly readInitial?: ((prefix: string) => Promise<PrefixSnapshot>) | undefined
}

/** The jobs of one term. */
export interface JobTable {
  /** Reads all jobs and their progress. Retries until it succeeds or the term ends. */
  load (): Promise<void>
  get (jobId: string): TrackedJob | undefined
  getAll (): Iterable<TrackedJob>
  /** Jobs that have not ended. */
  getUnfinished (): Iterable<TrackedJob>
  /** Adds the occurrences of recurring jobs that are due. */
  addDueOccurrences (nowMs: number): void
  /** The number of jobs that are not scheduled, because their records cannot be decoded. */
  countUnreadable (): number
}

type StoredProgress = Pick<StoredItem, 'value' | 'revision'>

/** How long one watch call waits for changes, in ms: a dead connection is detected within this plus the call's time-out. */
const watchWaitMs = 1_000
/** A job that the watch shows was accepted at most this long ago, in ms; an older time of acceptance is due to a difference between clocks. */
const maxWatchDelayMs = 2_000
/** Interval between full reads, in ms, in case a watch misses changes. */
const rereadPeriodMs = 10_000
/** Pause after a failed call, in ms. */
const retryPauseMs = 150
/** Entries of a removal for each job: the condition on its accept record, and its three keys. */
const entriesPerRemovedJob = 4
/** Maximum number of jobs whose records are removed in one transaction, beside the condition on the leader key. */
const maxJobsPerRemoval = Math.floor((maxTransactionEntries - 1) / entriesPerRemovedJob)
/** Added to the retention period of ended jobs, in ms, to allow for clock skew. */
const retentionMarginMs = 30_000

/** Creates the table of one term. */
export function createJobTable (host: JobTableHost): JobTable {
  const { store, term, logger, readInitial = prefix => readAll(store, prefix) } = host
  const jobs = new Map<string, TrackedJob>()
  /** The revisions of the accept records of these jobs. */
  const acceptedRevisions = new Map<string, number>()
  /**
   * The revisions of the accept records that this term has removed, by job. A read that began before the removal still shows them. Kept until a full read
   * that began later has been applied.
   */
  const removedRevisions = new Map<string, number>()
  const earlyCancels = createEarlyCancelMarkers({ store, term, logger })
  const unfinished = new Set<TrackedJob>()
  /** The keys of the jobs whose records cannot be decoded. */
  const unreadable = new Set<string>()
  /** Jobs that are too large to be scheduled: their units are never created. */
  const oversized = new Set<TrackedJob>()
  let isLoaded = false

  return { load, get: jobId => jobs.get(jobId), getAll: () => jobs.values(), getUnfinished, addDueOccurrences, countUnreadable: () => unreadable.size }

  async function load (): Promise<void> {
    while (!term.signal.aborted) {
      try {
        const [accepted, progress] = await Promise.all([readInitial(acceptedPrefix), readInitial(progressPrefix)])
        if (Math.min(accepted.revision, progress.revision) < term.epoch) throw createError(ErrorKind.StoreUnavailable, `the store answered from before the term: revisions ${accepted.revision} and ${progress.revision}`)
        const progressByKey = new Map(progress.items.map(item => [item.key, item]))
        for (const item of accepted.items) addJob(item, progressByKey.get(getProgressKey(parseAcceptedKey(item.key).jobId)))
        accepted.items.forEach(applyCancel)
        failOversized()
        isLoaded = true
        void watchAccepted(accepted.revision)
        void removeOldJobs()
        void earlyCancels.expire()
        return
      } catch (error) {
        logger.warn('failed to read the jobs from the store', { error: String(error) })
        await delay(retryPauseMs, term.signal)
      }
    }
  }

  function addJob (accepted: StoredItem, progress?: StoredProgress): void {
    const { key, value, revision } = accepted
    const { jobId, isCancel } = parseAcceptedKey(key)
    if (isCancel || revision <= (removedRevisions.get(jobId) ?? 0)) return
    const known = jobs.get(jobId)
    if (known !== undefined) {
      // A removal of the ended job has been applied without a response, and its id has been accepted again.
      if (revision <= (acceptedRevisions.get(jobId) ?? 0) || !isTerminal(known.state)) return
      forget(jobId)
    }
    const job = tryCreateJob(key, value, progress)
    if (job === undefined) {
      if (!unreadable.has(key)) logger.error('the records of a job cannot be decoded; the job is not scheduled', { key, progressRevision: progress?.revision })
      unreadable.add(key)
      return
    }
    acceptedRevisions.set(jobId, revision)
    const { spec } = job
    jobs.set(jobId, job)
    if (!oversized.has(job)) {
      unfinished.add(job)
      if (isLoaded) logger.info('job added', { jobId, queue: spec.queue, organisation: spec.organisation, steps: spec.steps.length, ageMs: Date.now() - spec.acceptedAtMs })
      host.onJobAdded(job)
    }
    if (earlyCancels.remove(jobId)) requestCancel(job)
  }

  function tryCreateJob (key: string, value: string, progress: StoredProgress | undefined): TrackedJob | undefined {
    const spec = tryDecodeAccepted(key, value)
    if (spec === undefined) return undefined
    if (describeExcess(spec, maxScheduledTasks) !== undefined) return tryCreateOversized(spec, progress)
    const ageMs = Math.max(0, Date.now() - spec.acceptedAtMs)
    const job = createTrackedJob(spec, performance.now(), isLoaded ? Math.min(ageMs, maxWatchDelayMs) : ageMs)
    return progress === undefined || tryRestoreProgress(job, progress.value, progress.revision, performance.now(), Date.now()) ? job : undefined
  }

  function tryCreateOversized (spec: JobSpec, progress: StoredProgress | undefined): TrackedJob | undefined {
    const job = createOversizedJob(spec, performance.now())
    if (progress !== undefined && !tryRestoreState(job, progress.value, progress.revision)) return undefined
    oversized.add(job)
    return job
  }

  /** Fails the jobs that are too large to be scheduled. Must be called after their cancellations have been applied, since a cancelled job must not be shown as failed. */
  function failOversized (): void {
    for (const job of oversized) {
      oversized.delete(job)
      if (isTerminal(job.state)) continue
      job.state = JobState.Failed
      job.endedAtMs = Date.now()
      logger.error('a stored job is too large and fails; its tasks are not created', { jobId: job.spec.jobId, queue: job.spec.queue, organisation: job.spec.organisation, cause: describeExcess(job.spec, maxScheduledTasks) })
      host.onTooLarge(job)
    }
  }

  /** Drops ended jobs from the set, so that planning does not iterate over all the ended jobs that are retained. */
  function getUnfinished (): Iterable<TrackedJob> {
    for (const job of unfinished) if (isTerminal(job.state)) unfinished.delete(job)
    return unfinished
  }

  function applyCancel ({ key, revision }: StoredItem): void {
    const { jobId, isCancel } = parseAcceptedKey(key)
    if (!isCancel) return
    const job = jobs.get(jobId)
    if (job === undefined) earlyCancels.add(jobId, revision)
    else requestCancel(job)
  }

  function requestCancel (job: TrackedJob): void {
    if (job.isCancelRequested) return
    logger.info('cancel request received', { jobId: job.spec.jobId, state: job.state })
    host.onCancel(job)
  }

  async function watchAccepted (fromRevision: number): Promise<void> {
    let revision = fromRevision
    let readAtMs = performance.now()
    while (!term.signal.aborted) {
      try {
        if (performance.now() - readAtMs > rereadPeriodMs) {
          revision = await reread()
          readAtMs = performance.now()
        }
        const result = await store.watch(acceptedPrefix, revision, watchWaitMs, term.signal)
        applyChanges(result.changes)
        revision = result.revision
      } catch (error) {
        if (term.signal.aborted) return
        logger.info('watch of the job records failed', { error: String(error) })
        readAtMs = -Infinity
        if (!isErrorOfKind(error, ErrorKind.HistoryGone)) await delay(retryPauseMs, term.signal)
      }
    }
  }

  async function reread (): Promise<number> {
    const removedBefore = [...removedRevisions]
    const accepted = await readAll(store, acceptedPrefix)
    earlyCancels.retain(accepted.items)
    applyChanges(accepted.items.map(item => ({ key: item.key, item })))
    for (const [jobId, revision] of removedBefore) if (removedRevisions.get(jobId) === revision) removedRevisions.delete(jobId)
    return accepted.revision
  }

  /** Applies the changes in their order: a job that is stored after a marker under the same id was removed is not cancelled by it. */
  function applyChanges (changes: readonly StoreChange[]): void {
    for (const { key, item } of changes) {
      const { jobId, isCancel } = parseAcceptedKey(key)
      if (!isCancel && item !== undefined) addJob(item)
      else if (item !== undefined) applyCancel(item)
      else if (isCancel) earlyCancels.remove(jobId)
    }
    failOversized()
  }

  function addDueOccurrences (nowMs: number): void {
    for (const job of jobs.values()) {
      const { recurrence } = job.spec
      if (recurrence === undefined || isTerminal(job.state) || job.occurrences.size >= recurrence.times) continue
      for (let occurrence = 0; occurrence < recurrence.times; occurrence++) {
        if (recurrence.firstAtMs + occurrence * recurrence.intervalMs > nowMs) break
        if (job.occurrences.has(occurrence)) continue
        addOccurrence(job, occurrence, performance.now(), Math.min(getOverdueMs(job.spec, occurrence, nowMs), maxWatchDelayMs))
        host.onOccurrenceDue()
      }
    }
  }

  /** Removes the records of jobs whose retention period is over. */
  async function removeOldJobs (): Promise<void> {
    while (!term.signal.aborted) {
      await delay(host.retentionMs / 4, term.signal)
      const limitMs = Date.now() - host.retentionMs - retentionMarginMs
      const old = [...jobs.values()].filter(job => isTerminal(job.state) && (job.endedAtMs ?? Infinity) < limitMs)
      for (let start = 0; start < old.length; start += maxJobsPerRemoval) await remove(old.slice(start, start + maxJobsPerRemoval))
    }
  }

  /** The conditions on the accept records keep a removal that is applied late, or repeated, from removing a later job with the same id. */
  async function remove (old: readonly TrackedJob[]): Promise<void> {
    const jobIds = old.map(({ spec }) => spec.jobId)
    const removes = jobIds.flatMap(jobId => [getAcceptedKey(jobId), getProgressKey(jobId), getCancelKey(jobId)])
    const leaderCondition = { key: term.leaderKey, revision: term.leaderRevision }
    const conditions = jobIds.map(jobId => ({ key: getAcceptedKey(jobId), revision: acceptedRevisions.get(jobId) ?? 0 }))
    try {
      const result = await store.transact({ expected: [leaderCondition, ...conditions], writes: [], removes })
      if (!areConditionsMet([leaderCondition], result)) return
      // A condition that failed means that an earlier removal without a response has been applied.
      jobIds.forEach((jobId, index) => { if (result.isCommitted || !areConditionsMet(conditions.slice(index, index + 1), result)) forget(jobId) })
    } catch (error) {
      logger.info('failed to remove the records of old jobs', { error: String(error) })
    }
  }

  /** Drops a job whose records have been removed. */
  function forget (jobId: string): void {
    removedRevisions.set(jobId, acceptedRevisions.get(jobId) ?? 0)
    acceptedRevisions.delete(jobId)
    jobs.delete(jobId)
  }
}

/** Counts the jobs of each queue that have not started. */
export function countPending (unfinishedJobs: Iterable<TrackedJob>): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const job of unfinishedJobs) {
    const isPending = !job.hasBegun && !job.isCancelRequested
    if (isPending) counts[job.spec.queue] = (counts[job.spec.queue] ?? 0) + 1
  }
  return counts
}
