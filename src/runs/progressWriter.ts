/** Stores the progress of jobs: whatever has changed goes into the next transaction (group commit). */
import { assert } from '../common/debug.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { getCancelKey, getProgressKey, pendingCountsKey } from '../jobs/jobKeys.js'
import { encodeProgress } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { JobState } from '../jobs/jobModel.js'
import { maxTransactionEntries } from '../store/metadataStore.js'
import type { ExpectedRevision, MetadataStore, StoredItem, TransactionWrite } from '../store/metadataStore.js'

/** What the writer needs from outside. */
export interface ProgressWriterHost {
  readonly store: MetadataStore
  readonly term: Term
  readonly logger: Logger
  /** A cancel was met that the scheduler has not seen. */
  readonly onCancelFound: (job: TrackedJob) => void
  /** The counts of jobs that have not begun, as they are to be published; undefined where nothing changed. */
  readonly takePendingCounts: () => string | undefined
}

/** The writer of one term. */
export interface ProgressWriter {
  /** Resolves when the job's progress, as it stands now or later, is in the store. Never resolves after the term's end. */
  commit (job: TrackedJob): Promise<void>
  /** Publishes the counts soon. */
  touch (): void
}

/** Pause after a failed write, in ms. */
const retryPauseMs = 100
/** Entries that a job's progress can take: its own condition and write, and the condition that it is not cancelled. */
const entriesPerJob = 3
/** The leader's condition and the counts. */
const fixedEntries = 2
const maxJobsPerWrite = Math.floor((maxTransactionEntries - fixedEntries) / entriesPerJob)
/** The counts of waiting jobs are written so long after a change at the latest, in ms; callers may see them 2 s old. */
const countsDelayMs = 600
/** Most characters of progress in one transaction; the store takes 1 MB a value, and a small link carries this in 0.1 s. */
const maxCharactersPerWrite = 200_000

/** Creates the writer of one term. */
export function createProgressWriter (host: ProgressWriterHost): ProgressWriter {
  const dirty = new Map<TrackedJob, (() => void)[]>()
  let isWriting = false
  let areCountsDue = false
  let countsTimer: NodeJS.Timeout | undefined
  let writtenCounts: string | undefined

  return { commit, touch }

  function commit (job: TrackedJob): Promise<void> {
    return new Promise(resolve => {
      const waiters = dirty.get(job)
      if (waiters === undefined) dirty.set(job, [resolve])
      else waiters.push(resolve)
      startWriting()
    })
  }

  /** Progress that is written meanwhile carries the counts with it. */
  function touch (): void {
    countsTimer ??= setTimeout(() => {
      countsTimer = undefined
      areCountsDue = true
      startWriting()
    }, countsDelayMs)
  }

  function startWriting (): void {
    if (isWriting) return
    isWriting = true
    // Changes that are made in the same turn of the event loop go into one transaction.
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
      characters += encodeProgress(job).length
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
        host.logger.warn('progress cannot be stored', { jobs: batch.size, error: String(error) })
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
      // A job that is cancelled is not shown as ended otherwise.
      const needsNoCancel = (job.state === JobState.Complete || job.state === JobState.Failed) && !job.isCancelRequested
      if (needsNoCancel) expected.push({ key: getCancelKey(job.spec.jobId), revision: 0 })
      writes.push({ key: getProgressKey(job.spec.jobId), value: encodeProgress(job) })
    }
    const counts = host.takePendingCounts()
    if (counts !== undefined && counts !== writtenCounts) writes.push({ key: pendingCountsKey, value: counts })
    if (writes.length === 0) return true
    assert(expected.length + writes.length <= maxTransactionEntries, 'a transaction holds at most 32 entries')
    const result = await host.store.transact({ expected, writes })
    if (result.isCommitted) {
      writtenCounts = counts ?? writtenCounts
      for (const job of jobs) job.progressRevision = result.revision
      return true
    }
    adopt(jobs, result.items)
    return false
  }

  /** A condition failed: an earlier write without an answer has landed, a job was cancelled, or the term is over. */
  function adopt (jobs: readonly TrackedJob[], items: readonly StoredItem[]): void {
    const found = new Map(items.map(item => [item.key, item]))
    if (found.get(host.term.leaderKey)?.revision !== host.term.leaderRevision) {
      host.term.resign('another host holds the leader key')
      return
    }
    for (const job of jobs) {
      job.progressRevision = found.get(getProgressKey(job.spec.jobId))?.revision ?? 0
      if (found.has(getCancelKey(job.spec.jobId))) host.onCancelFound(job)
    }
  }
}
