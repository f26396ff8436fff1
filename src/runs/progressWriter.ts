/** Stores the progress of jobs. All changes since the last transaction go into the next one (group commit). */
import { assert } from '../common/assertions.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { getCancelKey, getProgressKey, pendingCountsKey } from '../jobs/jobKeys.js'
import { encodeProgress } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { JobState } from '../jobs/jobModel.js'
import { maxTransactionEntries } from '../store/metadataStore.js'
import type { ExpectedRevision, MetadataStore, StoredItem, TransactionResult, TransactionWrite } from '../store/metadataStore.js'
import { createRevisionGuard } from '../store/revisionGuard.js'

/** Dependencies of the progress writer. */
export interface ProgressWriterHost {
  readonly store: MetadataStore
  readonly term: Term
  readonly logger: Logger
  /** Called when the store holds a cancel request that the scheduler has not seen. */
  readonly onCancelFound: (job: TrackedJob) => void
  /** The serialized counts of jobs that have not started; undefined when there is nothing to publish. */
  readonly getPendingCounts: () => string | undefined
}

/** The writer of one term. */
export interface ProgressWriter {
  /** Resolves when the job's current progress, or a later version, is stored. Never resolves after the end of the term. */
  commit (job: TrackedJob): Promise<void>
  /** Schedules publishing of the pending counts. */
  scheduleCounts (): void
}

/** Pause after a failed write, in ms. */
const retryPauseMs = 100
/** Maximum transaction entries per job: the condition on its progress record, its write, and the condition that it is not cancelled. */
const entriesPerJob = 3
/** Transaction entries that don't belong to a job: the condition on the leader key, and the condition and the write of the pending counts. */
const fixedEntries = 3
const maxJobsPerWrite = Math.floor((maxTransactionEntries - fixedEntries) / entriesPerJob)
/** Maximum delay between a change and the write of the pending counts, in ms; callers accept counts that are up to 2 s old. */
const countsDelayMs = 600
/** Limit of progress characters per transaction; the store accepts 1 MB per value, and a slow link transfers this much in 0.1 s. */
const maxCharactersPerWrite = 200_000

/** Creates the writer of one term. */
export function createProgressWriter (host: ProgressWriterHost): ProgressWriter {
  const dirty = new Map<TrackedJob, (() => void)[]>()
  let isWriting = false
  let areCountsDue = false
  let countsTimer: NodeJS.Timeout | undefined
  let writtenCounts: string | undefined
  const countsGuard = createRevisionGuard(pendingCountsKey)

  return { commit, scheduleCounts }

  function commit (job: TrackedJob): Promise<void> {
    return new Promise(resolve => {
      const waiters = dirty.get(job)
      if (waiters === undefined) dirty.set(job, [resolve])
      else waiters.push(resolve)
      startWriting()
    })
  }

  /** If progress is written in the meantime, that transaction includes the counts. */
  function scheduleCounts (): void {
    countsTimer ??= setTimeout(() => {
      countsTimer = undefined
      areCountsDue = true
      startWriting()
    }, countsDelayMs)
  }

  function startWriting (): void {
    if (isWriting) return
    isWriting = true
    // Changes made in the same turn of the event loop go into one transaction.
    setImmediate(() => { void writeAll() })
  }

  async function writeAll (): Promise<void> {
    while ((dirty.size > 0 || areCountsDue) && !host.term.signal.aborted) {
      const batch = takeBatch()
      areCountsDue = false
      await writeBatch(batch)
    }
    isWriting = false
  }

  function takeBatch (): Map<TrackedJob, (() => void)[]> {
    const batch = new Map<TrackedJob, (() => void)[]>()
    let characters = 0
    for (const [job, waiters] of dirty) {
      if (batch.size >= maxJobsPerWrite || characters > maxCharactersPerWrite) break
      characters += encodeProgress(job, performance.now()).length
      batch.set(job, waiters)
      dirty.delete(job)
    }
    return batch
  }

  async function writeBatch (batch: ReadonlyMap<TrackedJob, (() => void)[]>): Promise<void> {
    while (!host.term.signal.aborted) {
      try {
        if (await tryWrite([...batch.keys()])) break
      } catch (error) {
        host.logger.warn('failed to store job progress', { jobs: batch.size, error: String(error) })
        await delay(retryPauseMs, host.term.signal)
      }
    }
    if (host.term.signal.aborted) return
    for (const waiters of batch.values()) for (const resolve of waiters) resolve()
  }

  async function tryWrite (jobs: readonly TrackedJob[]): Promise<boolean> {
    const { term } = host
    const expected: ExpectedRevision[] = [{ key: term.leaderKey, revision: term.leaderRevision }]
    const writes: TransactionWrite[] = []
    for (const job of jobs) {
      expected.push({ key: getProgressKey(job.spec.jobId), revision: job.progressRevision })
      // A cancelled job must not be stored with another final state.
      const mustNotBeCancelled = (job.state === JobState.Complete || job.state === JobState.Failed) && !job.isCancelRequested
      if (mustNotBeCancelled) expected.push({ key: getCancelKey(job.spec.jobId), revision: 0 })
      writes.push({ key: getProgressKey(job.spec.jobId), value: encodeProgress(job, performance.now()) })
    }
    const counts = host.getPendingCounts()
    const areCountsWritten = counts !== undefined && counts !== writtenCounts
    if (areCountsWritten) {
      // Counts alone have no other condition that a later write would change.
      expected.push(countsGuard.getCondition())
      writes.push({ key: pendingCountsKey, value: counts })
    }
    if (writes.length === 0) return true
    assert(expected.length + writes.length <= maxTransactionEntries, 'a transaction has at most 32 entries')
    const result = await host.store.transact({ expected, writes })
    if (areCountsWritten) updateCountsGuard(result)
    if (result.isCommitted) {
      writtenCounts = counts ?? writtenCounts
      for (const job of jobs) job.progressRevision = result.revision
      return true
    }
    handleConflict(jobs, result.items)
    return false
  }

  function updateCountsGuard (result: TransactionResult): void {
    const { revision: expectedRevision } = countsGuard.getCondition()
    countsGuard.update(result)
    const { revision } = countsGuard.getCondition()
    if (!result.isCommitted && revision !== expectedRevision) host.logger.info('the pending counts were not at the expected revision', { expectedRevision, revision })
  }

  /** Handles a failed condition: a write with a lost answer was applied after all, a job was cancelled, or the term has ended. */
  function handleConflict (jobs: readonly TrackedJob[], items: readonly StoredItem[]): void {
    const found = new Map(items.map(item => [item.key, item]))
    if (found.get(host.term.leaderKey)?.revision !== host.term.leaderRevision) {
      host.term.resign('another host holds the leader key')
      return
    }
    for (const job of jobs) {
      // Only this term writes after its start. A record of an earlier term means that what was read at the start was incomplete.
      const foundRevision = found.get(getProgressKey(job.spec.jobId))?.revision ?? 0
      if (foundRevision > 0 && foundRevision < host.term.epoch && foundRevision !== job.progressRevision) {
        host.logger.error('the progress of a job was read incompletely', { jobId: job.spec.jobId, foundRevision, knownRevision: job.progressRevision, epoch: host.term.epoch })
        host.term.resign('the progress of a job was read incompletely')
        return
      }
      job.progressRevision = found.get(getProgressKey(job.spec.jobId))?.revision ?? 0
      if (found.has(getCancelKey(job.spec.jobId))) host.onCancelFound(job)
    }
  }
}
