/** The records of a domain's jobs in the platform's store. One scheduler writes them, by compare-and-swap. */
import { randomUUID } from 'node:crypto'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { putConfirmed } from '../store/confirmedWrite.js'
import type { Store } from '../store/store.js'
import { JobState } from './jobTypes.js'
import type { JobRecord, JobSpec } from './jobTypes.js'

/** What changes in a record. */
export type JobPatch = Partial<Omit<JobRecord, 'spec' | 'writeId' | 'epoch'>>

/** The records of one domain. */
export interface JobRecords {
  /** Reads all records of the domain. */
  load (): Promise<readonly JobRecord[]>
  get (jobId: string): JobRecord | undefined
  getAll (): Iterable<JobRecord>
  /** Records a new job. Errors: `conflict`, `store-unavailable`, `answer-lost`. */
  create (spec: JobSpec): Promise<JobRecord>
  /** Keeps a job that the store does not know yet; it is written when the store answers. */
  keepUnrecorded (spec: JobSpec, patch: JobPatch): JobRecord
  /** Keeps a job that is not accepted yet. It is neither written nor shared until then. */
  keepPending (spec: JobSpec): JobRecord
  accept (jobId: string): void
  /** Tells whether a record of the job may have reached the store. */
  mayBeStored (jobId: string): boolean
  /** Writes a change now. Errors: as for `create`, and `stale-epoch` when another scheduler wrote a newer state. */
  write (jobId: string, patch: JobPatch): Promise<JobRecord>
  /** Changes the record here at once, and writes it as soon as the store answers. */
  writeLater (jobId: string, patch: JobPatch): void
  /** Takes a record out of memory that was never accepted. */
  forget (jobId: string): void
  /** Resolves when every change so far is in the store. */
  flush (): Promise<void>
  /** Calls back when a change has reached the store. */
  onWritten (listener: (jobId: string) => void): void
  countUnwritten (): number
  /** Gives the changes that the store does not have to other hosts of the domain, for a successor. */
  share (): Promise<void>
  /** Changes that the store does not have yet. */
  getUnwritten (): readonly JobRecord[]
  /** Takes over a change that an earlier scheduler on this host could not write. */
  carryOver (record: JobRecord): void
  /** Tells whether the store has never held a record of the job. */
  isUnrecorded (jobId: string): boolean
  /** Removes records of jobs that ended before the given time. */
  prune (endedBeforeMs: number): Promise<void>
  stop (): void
}

/** Gives the changes that the store does not have to other hosts of the domain; an empty list takes them back. */
export type ShareUnwritten = (records: readonly JobRecord[]) => Promise<void>

interface Held {
  record: JobRecord
  revision: number
  isDirty: boolean
  isWriting: boolean
  isPending: boolean
  mayBeStored: boolean
}

const retryMs = 500
const maxWritesAtOnce = 16
const maxShared = 2_000
const stateRanks: Readonly<Record<JobState, number>> = { [JobState.Queued]: 0, [JobState.Released]: 1, [JobState.Ended]: 2 }

/** Creates the access to the records of a domain, for the scheduler with this epoch. */
export function createJobRecords (store: Store, domain: string, getEpoch: () => number, logger: Logger, share: ShareUnwritten): JobRecords {
  const prefix = `jobs/${domain}/`
  const held = new Map<string, Held>()
  const dirty = new Set<string>()
  const listeners: ((jobId: string) => void)[] = []
  let isStopped = false
  let isFlushing = false
  let hasShared = false

  return {
    load,
    get: jobId => held.get(jobId)?.record,
    getAll: () => [...held.values()].map(entry => entry.record),
    create,
    keepUnrecorded,
    keepPending,
    accept,
    mayBeStored: jobId => held.get(jobId)?.mayBeStored ?? false,
    write,
    writeLater,
    forget: jobId => {
      held.delete(jobId)
      dirty.delete(jobId)
    },
    flush,
    onWritten: listener => { listeners.push(listener) },
    countUnwritten: () => dirty.size,
    getUnwritten: () => [...dirty].map(jobId => getHeld(jobId).record),
    share: shareUnwritten,
    carryOver,
    isUnrecorded: jobId => held.get(jobId)?.revision === 0,
    prune,
    stop: () => { isStopped = true }
  }

  async function load (): Promise<readonly JobRecord[]> {
    const entries = await store.range(prefix)
    for (const entry of entries) {
      const record = JSON.parse(entry.value) as JobRecord
      const own = held.get(record.spec.jobId)
      if (own === undefined || (!own.isDirty && own.revision < entry.revision)) {
        held.set(record.spec.jobId, createHeld(record, entry.revision))
      }
    }
    return entries.map(entry => JSON.parse(entry.value) as JobRecord)
  }

  async function create (spec: JobSpec): Promise<JobRecord> {
    const record = createRecord(spec, {})
    const revision = await putConfirmed(store, { key: prefix + spec.jobId, value: JSON.stringify(record), expectedRevision: 0 })
    held.set(spec.jobId, createHeld(record, revision))
    return record
  }

  function keepUnrecorded (spec: JobSpec, patch: JobPatch): JobRecord {
    const record = createRecord(spec, patch)
    held.set(spec.jobId, createHeld(record, 0))
    markDirty(spec.jobId)
    return record
  }

  function keepPending (spec: JobSpec): JobRecord {
    const record = createRecord(spec, {})
    held.set(spec.jobId, { ...createHeld(record, 0), isPending: true })
    return record
  }

  function accept (jobId: string): void {
    const own = getHeld(jobId)
    if (!own.isPending) return
    own.isPending = false
    if (own.isDirty || own.revision === 0) markDirty(jobId)
  }

  function markDirty (jobId: string): void {
    const own = getHeld(jobId)
    own.isDirty = true
    if (own.isPending) return
    dirty.add(jobId)
    void flushLoop()
  }

  function carryOver (record: JobRecord): void {
    const { spec, epoch, writeId, ...patch } = record
    const own = held.get(spec.jobId)
    if (own === undefined) keepUnrecorded(spec, patch)
    else if (isNewer({ ...record, epoch: own.record.epoch }, own.record)) writeLater(spec.jobId, patch)
  }

  function createRecord (spec: JobSpec, patch: JobPatch): JobRecord {
    const first = { spec, state: JobState.Queued, attempt: 0, progressMs: 0, attainedMs: 0, isCancelRequested: false }
    return { ...first, ...patch, epoch: getEpoch(), writeId: randomUUID() }
  }

  async function write (jobId: string, patch: JobPatch): Promise<JobRecord> {
    const own = getHeld(jobId)
    while (own.isWriting) await delay(1)
    const next = patchRecord(own.record, patch)
    own.isWriting = true
    try {
      own.revision = await putOver(own, next)
      own.record = next
      markClean(jobId, own)
      return next
    } finally {
      own.isWriting = false
    }
  }

  function writeLater (jobId: string, patch: JobPatch): void {
    const own = getHeld(jobId)
    own.record = patchRecord(own.record, patch)
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
      const batch = [...dirty].slice(0, maxWritesAtOnce)
      const results = await Promise.all(batch.map(writeDirty))
      if (!results.includes(false)) continue
      await shareUnwritten()
      await delay(retryMs)
    }
    if (hasShared && dirty.size === 0) await shareUnwritten()
    isFlushing = false
    if (dirty.size > 0 && !isStopped) void flushLoop()
  }

  /** A job that must not run twice is shared only from its release on, so that no successor starts it again. */
  async function shareUnwritten (): Promise<void> {
    const records = [...dirty].map(jobId => getHeld(jobId).record).filter(record => record.spec.repeatable || record.state !== JobState.Queued)
    hasShared = records.length > 0
    await share(records.slice(0, maxShared)).catch(() => {})
  }

  async function writeDirty (jobId: string): Promise<boolean> {
    const own = held.get(jobId)
    if (own === undefined) return true
    if (own.isWriting) {
      await delay(1)
      return true
    }
    const written = own.record
    own.isWriting = true
    try {
      own.revision = await putOver(own, written)
      if (own.record === written) markClean(jobId, own)
      return true
    } catch (error) {
      if (!isErrorOfKind(error, ErrorKind.StaleEpoch)) return false
      logger.warn(`another scheduler has recorded job ${jobId}`)
      dirty.delete(jobId)
      return true
    } finally {
      own.isWriting = false
    }
  }

  function markClean (jobId: string, own: Held): void {
    own.isDirty = false
    dirty.delete(jobId)
    for (const listener of listeners) listener(jobId)
  }

  /** Writes over an older state of the record only: by epoch, then by attempt and state. */
  async function putOver (own: Held, next: JobRecord): Promise<number> {
    const key = prefix + next.spec.jobId
    const wasStored = own.mayBeStored
    own.mayBeStored = true
    try {
      return await putConfirmed(store, { key, value: JSON.stringify(next), expectedRevision: own.revision })
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.StoreUnavailable)) own.mayBeStored = wasStored
      if (!isErrorOfKind(error, ErrorKind.Conflict)) throw error
    }
    const current = await store.get(key)
    const other = current && JSON.parse(current.value) as JobRecord
    if (other !== undefined && !isNewer(next, other)) {
      throw createError(ErrorKind.StaleEpoch, `the record of job ${next.spec.jobId} holds a newer state`)
    }
    return await putConfirmed(store, { key, value: JSON.stringify(next), expectedRevision: current?.revision ?? 0 })
  }

  function patchRecord (record: JobRecord, patch: JobPatch): JobRecord {
    return { ...record, ...patch, epoch: getEpoch(), writeId: randomUUID() }
  }

  function getHeld (jobId: string): Held {
    const own = held.get(jobId)
    if (own === undefined) throw createError(ErrorKind.NotFound, `there is no job ${jobId}`)
    return own
  }

  async function prune (endedBeforeMs: number): Promise<void> {
    for (const [jobId, own] of held) {
      const isOld = own.record.state === JobState.Ended && !own.isDirty && (own.record.endedAtMs ?? Infinity) < endedBeforeMs
      if (!isOld) continue
      await store.remove(prefix + jobId, own.revision)
      held.delete(jobId)
    }
  }
}

function createHeld (record: JobRecord, revision: number): Held {
  return { record, revision, isDirty: false, isWriting: false, isPending: false, mayBeStored: revision > 0 }
}

/** A job's states only move forward: by attempt, then by state. An older epoch never overwrites a newer one. */
export function isNewer (next: JobRecord, current: JobRecord): boolean {
  if (next.epoch !== current.epoch) return next.epoch > current.epoch && current.state !== JobState.Ended
  if (next.attempt !== current.attempt) return next.attempt > current.attempt
  return stateRanks[next.state] >= stateRanks[current.state]
}
