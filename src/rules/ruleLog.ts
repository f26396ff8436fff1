/**
 * Stores the rules in the platform's store: a log with one key per edit, a snapshot of all rules, and archived
 * audit segments. An edit is accepted by creating the key of its revision, so no two edits have the same revision.
 */
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { putConfirmed } from '../store/confirmedWrite.js'
import type { KeyValueStore } from '../store/store.js'
import type { RuleEntry } from './ruleEdit.js'
import type { RuleSnapshot, RuleUpdate } from './ruleReplica.js'

/** The rule log in the store. */
export interface RuleLog {
  /** Reads the entries after a revision, and the snapshot if those entries are no longer all in the log. */
  readSince (revision: number): Promise<RuleUpdate>
  /** Appends an entry. Errors: `conflict` when another edit was accepted with the same revision. */
  append (entry: RuleEntry): Promise<void>
  /** Waits up to `waitMs` for changes of the log after `storeRevision`. Returns the store's revision to continue from. */
  waitForChange (storeRevision: number, waitMs: number): Promise<{ readonly isChanged: boolean, readonly storeRevision: number }>
  /** Writes the snapshot and moves old entries to audit segments. Idempotent, and safe to run concurrently. */
  compact (snapshot: RuleSnapshot): Promise<void>
  /** Reads the audit trail, oldest entry first. */
  readHistory (): Promise<readonly RuleEntry[]>
}

const logPrefix = 'rules/log/'
const auditPrefix = 'rules/audit/'
const snapshotKey = 'rules/snapshot'
const revisionDigits = 12
const readBatchSize = 500

/** Number of entries in an audit segment. */
export const segmentSize = 200

/** Creates a rule log that uses the given store. */
export function createRuleLog (store: KeyValueStore): RuleLog {
  return { readSince, append, waitForChange, compact, readHistory }

  async function readSince (revision: number): Promise<RuleUpdate> {
    const entries = await readLog(revision)
    const isContiguous = entries.length === 0 || entries[0]?.revision === revision + 1
    if (isContiguous && revision > 0) return { entries }
    const snapshot = await readSnapshot()
    if (snapshot === undefined || snapshot.revision <= revision) return { entries }
    return { snapshot, entries: entries.filter(entry => entry.revision > snapshot.revision) }
  }

  async function append (entry: RuleEntry): Promise<void> {
    await putConfirmed(store, { key: getLogKey(entry.revision), value: JSON.stringify(entry), expectedRevision: 0 })
  }

  async function waitForChange (storeRevision: number, waitMs: number): Promise<{ isChanged: boolean, storeRevision: number }> {
    const result = await store.watch(logPrefix, storeRevision, waitMs)
    return { isChanged: result.events.length > 0, storeRevision: result.revision }
  }

  async function compact (snapshot: RuleSnapshot): Promise<void> {
    await writeSnapshot(snapshot)
    const entries = await readLog(0)
    const lastSegmentEnd = Math.floor((snapshot.revision - segmentSize) / segmentSize) * segmentSize
    for (let end = segmentSize; end <= lastSegmentEnd; end += segmentSize) {
      const segment = entries.filter(entry => entry.revision > end - segmentSize && entry.revision <= end)
      if (segment.length > 0) await moveToAudit(segment, end)
    }
  }

  async function readHistory (): Promise<readonly RuleEntry[]> {
    const segments = await store.range(auditPrefix)
    const archived = segments.flatMap(segment => JSON.parse(segment.value) as RuleEntry[])
    const lastArchived = archived.at(-1)?.revision ?? 0
    return [...archived, ...await readLog(lastArchived)]
  }

  async function readLog (afterRevision: number): Promise<RuleEntry[]> {
    const entries: RuleEntry[] = []
    let after = getLogKey(afterRevision)
    while (true) {
      const batch = await store.range(logPrefix, { after, limit: readBatchSize })
      entries.push(...batch.map(entry => JSON.parse(entry.value) as RuleEntry))
      if (batch.length < readBatchSize) return entries
      after = batch.at(-1)?.key ?? after
    }
  }

  async function readSnapshot (): Promise<RuleSnapshot | undefined> {
    const entry = await store.get(snapshotKey)
    return entry && JSON.parse(entry.value) as RuleSnapshot
  }

  async function writeSnapshot (snapshot: RuleSnapshot): Promise<void> {
    const current = await store.get(snapshotKey)
    const currentRevision = current === undefined ? 0 : (JSON.parse(current.value) as RuleSnapshot).revision
    if (currentRevision >= snapshot.revision) return
    await putIgnoringConflict(snapshotKey, JSON.stringify(snapshot), current?.revision ?? 0)
  }

  /** Writes the whole segment before it removes the first of its entries from the log, so that a crash loses no entry. */
  async function moveToAudit (segment: readonly RuleEntry[], end: number): Promise<void> {
    const key = `${auditPrefix}${padRevision(end)}`
    const isComplete = segment.length === segmentSize
    if (isComplete) await putIgnoringConflict(key, JSON.stringify(segment), 0)
    else if (await store.get(key) === undefined) throw createError(ErrorKind.Internal, `the rule log is missing entries up to revision ${end}`)
    for (const entry of segment) {
      const logged = await store.get(getLogKey(entry.revision))
      if (logged !== undefined) await store.remove(logged.key, logged.revision)
    }
  }

  async function putIgnoringConflict (key: string, value: string, expectedRevision: number): Promise<void> {
    try {
      await putConfirmed(store, { key, value, expectedRevision })
    } catch (error) {
      if (!isErrorOfKind(error, ErrorKind.Conflict)) throw error
    }
  }
}

function getLogKey (revision: number): string {
  return logPrefix + padRevision(revision)
}

function padRevision (revision: number): string {
  return String(revision).padStart(revisionDigits, '0')
}
