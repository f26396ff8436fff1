/**
 * Stores the progress of jobs. All changes since the last transaction go into the next one (group commit). Jobs that are not in a transaction whose answer is
 * late do not wait for it. See docs/design/store-writes.md.
 */
import { assert } from '../common/assertions.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { getCancelKey, getProgressKey, pendingCountsKey } from '../jobs/jobKeys.js'
import { encodeProgress } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { JobState } from '../jobs/jobModel.js'
import { maxTransactionEntries } from '../store/metadataStore.js'
import type { ExpectedRevision, MetadataStore, StoredItem, Transaction, TransactionResult, TransactionWrite } from '../store/metadataStore.js'
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
  /** The revision of the latest write of progress that the store has confirmed; 0 if there is none. */
  getRevision (): number
}

/** A caller of `commit`. */
interface Waiter {
  readonly resolve: () => void
  readonly sinceMs: number
}

/** Pause after a failed write, in ms. */
const retryPauseMs = 100
/** After this time without an answer, in ms, the next transaction does not wait any more: longer than an answer from another region takes. */
const lateAfterMs = 60
/** The most transactions that are under way. */
const maxWritesUnderWay = 3
/** Progress that was stored later than this, in ms, is reported: longer than a few round trips. */
const reportedWaitMs = 500
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
  const dirty = new Map<TrackedJob, Waiter[]>()
  /** The jobs of the transactions that are under way. The next write of such a job follows when its transaction has ended. */
  const writing = new Set<TrackedJob>()
  let writesUnderWay = 0
  let storedRevision = 0
  /** Transactions under way whose answers are not late yet. */
  let recentWrites = 0
  let isScheduled = false
  let areCountsDue = false
  let areCountsUnderWay = false
  let countsTimer: NodeJS.Timeout | undefined
  let writtenCounts: string | undefined
  const countsGuard = createRevisionGuard(pendingCountsKey)

  return { commit, scheduleCounts, getRevision: () => storedRevision }

  function commit (job: TrackedJob): Promise<void> {
    return new Promise(resolve => {
      addWaiters(job, [{ resolve, sinceMs: performance.now() }])
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

  function addWaiters (job: TrackedJob, added: readonly Waiter[]): void {
    const waiters = dirty.get(job)
    if (waiters === undefined) dirty.set(job, [...added])
    else waiters.push(...added)
  }

  function startWriting (): void {
    if (isScheduled || recentWrites > 0 || writesUnderWay >= maxWritesUnderWay) return
    isScheduled = true
    // Changes made in the same turn of the event loop go into one transaction.
    setImmediate(() => {
      isScheduled = false
      void writeNext()
    })
  }

  async function writeNext (): Promise<void> {
    const isCountsTurn = areCountsDue && !areCountsUnderWay
    const batch = takeBatch()
    if ((batch.size === 0 && !isCountsTurn) || host.term.signal.aborted) return
    if (isCountsTurn) areCountsDue = false
    writesUnderWay++
    recentWrites++
    let isRecent = true
    const onLateOrEnded = (): void => {
      if (isRecent) recentWrites--
      isRecent = false
    }
    const lateTimer = setTimeout(() => {
      onLateOrEnded()
      startWriting()
    }, lateAfterMs)
    for (const job of batch.keys()) writing.add(job)
    const isWritten = await writeBatch(batch)
    clearTimeout(lateTimer)
    onLateOrEnded()
    writesUnderWay--
    for (const [job, waiters] of batch) {
      writing.delete(job)
      if (!isWritten) addWaiters(job, waiters)
    }
    if (!isWritten && isCountsTurn) areCountsDue = true
    startWriting()
  }

  function takeBatch (): Map<TrackedJob, Waiter[]> {
    const batch = new Map<TrackedJob, Waiter[]>()
    let characters = 0
    for (const [job, waiters] of dirty) {
      if (batch.size >= maxJobsPerWrite || characters > maxCharactersPerWrite) break
      if (writing.has(job)) continue
      characters += encodeProgress(job, performance.now()).length
      batch.set(job, waiters)
      dirty.delete(job)
    }
    return batch
  }

  /** Returns false if the jobs, or the counts, have to be written again. */
  async function writeBatch (batch: ReadonlyMap<TrackedJob, readonly Waiter[]>): Promise<boolean> {
    try {
      if (!await tryWrite([...batch.keys()])) return false
    } catch (error) {
      host.logger.warn('failed to store job progress', { jobs: batch.size, error: String(error) })
      await delay(retryPauseMs, host.term.signal)
      return false
    }
    if (host.term.signal.aborted) return true
    const waiters = [...batch.values()].flat()
    const waitMs = performance.now() - Math.min(...waiters.map(({ sinceMs }) => sinceMs))
    if (waitMs > reportedWaitMs) host.logger.warn('job progress was stored late', { jobs: batch.size, waitMs: Math.round(waitMs) })
    for (const { resolve } of waiters) resolve()
    return true
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
    const areCountsWritten = counts !== undefined && counts !== writtenCounts && !areCountsUnderWay
    if (areCountsWritten) {
      // Counts alone have no other condition that a later write would change.
      expected.push(countsGuard.getCondition())
      writes.push({ key: pendingCountsKey, value: counts })
    }
    if (writes.length === 0) return true
    assert(expected.length + writes.length <= maxTransactionEntries, 'a transaction has at most 32 entries')
    const result = await transact({ expected, writes }, areCountsWritten)
    if (result.isCommitted) {
      if (areCountsWritten) writtenCounts = counts
      for (const job of jobs) job.progressRevision = result.revision
      storedRevision = Math.max(storedRevision, result.revision)
      return true
    }
    handleConflict(jobs, result.items)
    return false
  }

  async function transact (transaction: Transaction, areCountsWritten: boolean): Promise<TransactionResult> {
    if (!areCountsWritten) return await host.store.transact(transaction)
    areCountsUnderWay = true
    try {
      const result = await host.store.transact(transaction)
      updateCountsGuard(result)
      return result
    } finally {
      areCountsUnderWay = false
    }
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
