/** The records of a domain's jobs in the platform's store. Only one scheduler writes them, by compare-and-swap. */
import { randomUUID } from 'node:crypto'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { putConfirmed } from '../store/confirmedWrite.js'
import type { KeyValueStore } from '../store/store.js'
import { isAssumed, JobState } from './jobTypes.js'
import type { JobRecord, JobSpec } from './jobTypes.js'

/** The fields of a record that can change. */
export type JobPatch = Partial<Omit<JobRecord, 'spec' | 'writeId' | 'epoch'>>

/** The records of one domain. */
export interface JobRecords {
  /** Reads all records of the domain. */
  load (): Promise<readonly JobRecord[]>
  get (jobId: string): JobRecord | undefined
  getAll (): Iterable<JobRecord>
  /** Records a new job. Errors: `conflict`, `store-unavailable`, `answer-lost`. */
  create (spec: JobSpec): Promise<JobRecord>
  /** Adds the record of a job that the store does not have yet; it is written when the store is available. */
  addUnwritten (spec: JobSpec, patch: JobPatch): JobRecord
  /** Adds the record of a job that is not accepted yet. It is neither written nor shared before `accept`. */
  addPending (spec: JobSpec): JobRecord
  accept (jobId: string): void
  /** Returns whether a record of the job may have reached the store. */
  mayBeStored (jobId: string): boolean
  /** Writes a change now. Errors: as for `create`, and `stale-epoch` if another scheduler has written a newer state. */
  write (jobId: string, patch: JobPatch): Promise<JobRecord>
  /** Changes the record in memory immediately, and writes it when the store is available. */
  writeLater (jobId: string, patch: JobPatch): void
  /** Removes from memory the record of a job that was never accepted. */
  discard (jobId: string): void
  /** Resolves when every change made so far is in the store. */
  flush (): Promise<void>
  /** Registers a listener that is called when a change has been written to the store. */
  onWritten (listener: (jobId: string) => void): void
  countUnwritten (): number
  /** Returns whether the store does not have the latest state of the job's record. */
  isUnwritten (jobId: string): boolean
  /** Sends the changes that the store does not have to the other hosts of the domain, for the next scheduler. */
  share (): Promise<void>
  /** Returns the records whose changes are not in the store yet. */
  getUnwritten (): readonly JobRecord[]
  /** Applies a change that an earlier scheduler could not write. */
  restoreUnwritten (record: JobRecord): void
  /** Returns whether the store, as far as is known here, has never held a record of the job. */
  wasNeverStored (jobId: string): boolean
  /** Removes the records of jobs that ended before the given time. */
  prune (endedBeforeMs: number): Promise<void>
  stop (): void
}

/** Sends the changes that the store does not have to the other hosts of the domain; an empty list replaces earlier ones. */
export type ShareUnwritten = (records: readonly JobRecord[]) => Promise<void>

interface CachedRecord {
  record: JobRecord
  revision: number
  isDirty: boolean
  isWriting: boolean
  isPending: boolean
  mayBeStored: boolean
  /** The record with a newer state that another scheduler has stored, with its revision; set when a write has been refused for it. */
  newer?: { readonly record: JobRecord, readonly revision: number } | undefined
}

const flushRetryDelayMs = 500
const maxConcurrentWrites = 16
const maxSharedRecords = 2_000
const stateRanks: Readonly<Record<JobState, number>> = { [JobState.Queued]: 0, [JobState.Released]: 1, [JobState.Ended]: 2 }

/** Creates a write-back cache of a domain's records, for the scheduler with the given epoch. */
export function createJobRecords (store: KeyValueStore, domain: string, getEpoch: () => number, logger: Logger, share: ShareUnwritten): JobRecords {
  const prefix = `jobs/${domain}/`
  const cache = new Map<string, CachedRecord>()
  const dirty = new Set<string>()
  const listeners: ((jobId: string) => void)[] = []
  let isStopped = false
  let isFlushing = false
  let hasShared = false

  return {
    load,
    get: jobId => cache.get(jobId)?.record,
    getAll: () => [...cache.values()].map(entry => entry.record),
    create,
    addUnwritten,
    addPending,
    accept,
    mayBeStored: jobId => cache.get(jobId)?.mayBeStored ?? false,
    write,
    writeLater,
    discard: jobId => {
      cache.delete(jobId)
      dirty.delete(jobId)
    },
    flush,
    onWritten: listener => { listeners.push(listener) },
    countUnwritten: () => dirty.size,
    isUnwritten: jobId => {
      const cached = cache.get(jobId)
      if (cached === undefined) return false
      const isSuperseded = cached.newer !== undefined && cached.newer.record.state !== JobState.Ended
      return cached.isDirty || cached.revision === 0 || isSuperseded
    },
    getUnwritten: () => [...dirty].map(jobId => getCached(jobId).record),
    share: shareUnwritten,
    restoreUnwritten,
    wasNeverStored: jobId => cache.get(jobId)?.revision === 0,
    prune,
    stop: () => { isStopped = true }
  }

  async function load (): Promise<readonly JobRecord[]> {
    const entries = await store.range(prefix)
    for (const entry of entries) {
      const record = JSON.parse(entry.value) as JobRecord
      const cached = cache.get(record.spec.jobId)
      if (cached === undefined || (!cached.isDirty && cached.revision < entry.revision)) {
        cache.set(record.spec.jobId, createCached(record, entry.revision))
      }
    }
    return entries.map(entry => JSON.parse(entry.value) as JobRecord)
  }

  async function create (spec: JobSpec): Promise<JobRecord> {
    const record = createRecord(spec, {})
    const revision = await putConfirmed(store, { key: prefix + spec.jobId, value: JSON.stringify(record), expectedRevision: 0 })
    cache.set(spec.jobId, createCached(record, revision))
    return record
  }

  function addUnwritten (spec: JobSpec, patch: JobPatch): JobRecord {
    const record = createRecord(spec, patch)
    cache.set(spec.jobId, createCached(record, 0))
    markDirty(spec.jobId)
    return record
  }

  function addPending (spec: JobSpec): JobRecord {
    const record = createRecord(spec, {})
    cache.set(spec.jobId, { ...createCached(record, 0), isPending: true })
    return record
  }

  function accept (jobId: string): void {
    const cached = getCached(jobId)
    if (!cached.isPending) return
    cached.isPending = false
    if (cached.isDirty || cached.revision === 0) markDirty(jobId)
  }

  function markDirty (jobId: string): void {
    const cached = getCached(jobId)
    cached.isDirty = true
    if (cached.isPending) return
    dirty.add(jobId)
    void flushLoop()
  }

  function restoreUnwritten (record: JobRecord): void {
    const { spec, epoch, writeId, ...patch } = record
    const cached = cache.get(spec.jobId)
    if (cached === undefined) addUnwritten(spec, patch)
    else if (isNewer({ ...record, epoch: cached.record.epoch }, cached.record)) writeLater(spec.jobId, patch)
  }

  function createRecord (spec: JobSpec, patch: JobPatch): JobRecord {
    const initial = { spec, state: JobState.Queued, attempt: 0, progressMs: 0, attainedMs: 0, isCancelRequested: false }
    return { ...initial, ...patch, epoch: getEpoch(), writeId: randomUUID() }
  }

  async function write (jobId: string, patch: JobPatch): Promise<JobRecord> {
    const cached = getCached(jobId)
    while (cached.isWriting) await delay(1)
    const next = patchRecord(cached.record, patch)
    cached.isWriting = true
    try {
      cached.revision = await putIfNewer(cached, next)
      cached.record = next
      markClean(jobId, cached)
      return next
    } finally {
      cached.isWriting = false
    }
  }

  function writeLater (jobId: string, patch: JobPatch): void {
    const cached = getCached(jobId)
    cached.record = patchRecord(cached.record, patch)
    markDirty(jobId)
  }

  async function flush (): Promise<void> {
    while (dirty.size > 0 && !isStopped) {
      void flushLoop()
      await delay(20)
    }
  }

  async function flushLoop (): Promise<void> {
    if (isFlushing) return
    isFlushing = true
    while (dirty.size > 0 && !isStopped) {
      const batch = [...dirty].slice(0, maxConcurrentWrites)
      const results = await Promise.all(batch.map(writeDirty))
      if (!results.includes(false)) continue
      await shareUnwritten()
      await delay(flushRetryDelayMs)
    }
    if (hasShared && dirty.size === 0) await shareUnwritten()
    isFlushing = false
    if (dirty.size > 0 && !isStopped) void flushLoop()
  }

  /** A non-repeatable job is shared only after its release, so that the next scheduler cannot start it a second time. */
  async function shareUnwritten (): Promise<void> {
    const records = [...dirty].map(jobId => getCached(jobId).record).filter(record => record.spec.repeatable || record.state !== JobState.Queued)
    hasShared = records.length > 0
    await share(records.slice(0, maxSharedRecords)).catch(() => {})
  }

  async function writeDirty (jobId: string): Promise<boolean> {
    const cached = cache.get(jobId)
    if (cached === undefined) return true
    if (cached.isWriting) {
      await delay(1)
      return true
    }
    const written = cached.record
    cached.isWriting = true
    try {
      cached.revision = await putIfNewer(cached, written)
      if (cached.record === written) markClean(jobId, cached)
      return true
    } catch (error) {
      if (!isErrorOfKind(error, ErrorKind.StaleEpoch)) return false
      logger.warn(`another scheduler has written a newer record of job ${jobId}`)
      if (cached.record === written) useNewer(jobId, cached)
      return true
    } finally {
      cached.isWriting = false
    }
  }

  /** Replaces the record by the newer one from the store, whose state later changes of an older state do not overwrite. */
  function useNewer (jobId: string, cached: CachedRecord): void {
    if (cached.newer === undefined) return
    cached.record = cached.newer.record
    cached.revision = cached.newer.revision
    // Unless the job has ended, the scheduler that has written the newer record still needs the ends of its tasks.
    if (cached.record.state === JobState.Ended) markClean(jobId, cached)
    else {
      cached.isDirty = false
      dirty.delete(jobId)
    }
  }

  function markClean (jobId: string, cached: CachedRecord): void {
    cached.isDirty = false
    dirty.delete(jobId)
    for (const listener of listeners) listener(jobId)
  }

  /** Overwrites only an older state of the record: compared by epoch, then by attempt and state. */
  async function putIfNewer (cached: CachedRecord, next: JobRecord): Promise<number> {
    const revision = await tryPut(cached, next)
    cached.newer = undefined
    return revision
  }

  async function tryPut (cached: CachedRecord, next: JobRecord): Promise<number> {
    const key = prefix + next.spec.jobId
    if (cached.newer !== undefined && !isNewer(next, cached.newer.record)) throw createStaleError(next)
    const wasStored = cached.mayBeStored
    cached.mayBeStored = true
    try {
      return await putConfirmed(store, { key, value: JSON.stringify(next), expectedRevision: cached.revision })
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.StoreUnavailable)) cached.mayBeStored = wasStored
      if (!isErrorOfKind(error, ErrorKind.Conflict)) throw error
    }
    const current = await store.get(key)
    const other = current && JSON.parse(current.value) as JobRecord
    if (current !== undefined && other !== undefined && !isNewer(next, other)) {
      cached.newer = { record: other, revision: current.revision }
      throw createStaleError(next)
    }
    return await putConfirmed(store, { key, value: JSON.stringify(next), expectedRevision: current?.revision ?? 0 })
  }

  function patchRecord (record: JobRecord, patch: JobPatch): JobRecord {
    return { ...record, ...patch, epoch: getEpoch(), writeId: randomUUID() }
  }

  function getCached (jobId: string): CachedRecord {
    const cached = cache.get(jobId)
    if (cached === undefined) throw createError(ErrorKind.NotFound, `there is no job ${jobId}`)
    return cached
  }

  async function prune (endedBeforeMs: number): Promise<void> {
    for (const [jobId, cached] of cache) {
      const isOld = cached.record.state === JobState.Ended && !cached.isDirty && (cached.record.endedAtMs ?? Infinity) < endedBeforeMs
      if (!isOld) continue
      await store.remove(prefix + jobId, cached.revision)
      cache.delete(jobId)
    }
  }
}

function createStaleError ({ spec }: JobRecord): Error {
  return createError(ErrorKind.StaleEpoch, `the stored record of job ${spec.jobId} has a newer state`)
}

function createCached (record: JobRecord, revision: number): CachedRecord {
  return { record, revision, isDirty: false, isWriting: false, isPending: false, mayBeStored: revision > 0 }
}

/**
 * Returns whether `next` may overwrite `current`. A record of a newer epoch overwrites any state except `ended`, and an assumed result by a known one;
 * one of an older epoch overwrites nothing. Within an epoch the state of a job only moves forward, by attempt, then by state, then from an assumed result to a known one.
 */
export function isNewer (next: JobRecord, current: JobRecord): boolean {
  const isResultFound = next.state === JobState.Ended && !isAssumed(next.result) && isAssumed(current.result)
  if (next.epoch !== current.epoch) return next.epoch > current.epoch && (current.state !== JobState.Ended || isResultFound)
  if (next.attempt !== current.attempt) return next.attempt > current.attempt
  if (next.state !== current.state) return stateRanks[next.state] > stateRanks[current.state]
  return !isAssumed(next.result) || current.result === undefined || isAssumed(current.result)
}
