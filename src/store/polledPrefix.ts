/** A copy of everything under a key prefix of the store, read at intervals, and its age. */
import { getElapsedMs, readClocks } from '../common/elapsedTime.js'
import type { ClockReading } from '../common/elapsedTime.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createIgnoredEntries } from './ignoredEntries.js'
import { readAll } from './metadataStore.js'
import type { MetadataStore, StoredItem } from './metadataStore.js'
import type { PrefixSnapshot } from './prefixReplica.js'

/** Dependencies of a polled prefix. */
export interface PolledPrefixHost<T> {
  readonly store: MetadataStore
  readonly logger: Logger
  /** What is read, for the log, for example "the worker list". */
  readonly description: string
  readonly prefix: string
  /** Decodes an item; returns undefined if it is malformed. Malformed items are left out of the copy. Must not throw. */
  readonly decode: (item: StoredItem) => T | undefined
  /** Called after each successful read. */
  readonly onRead: () => void
  /** Age up to which the copy is current, in ms. */
  readonly maxAgeMs: number
  /** The least revision of the store from which a read is accepted; 0 by default. */
  readonly minRevision?: number
  readonly signal: AbortSignal
  /** Makes the first read, as of the start of the term or later. Read from the store if it is not given. */
  readonly readInitial?: ((prefix: string) => Promise<PrefixSnapshot>) | undefined
}

/** The copy of a polled prefix. */
export interface PolledPrefix<T> {
  /** Returns the entries that the latest read found, or undefined until the first read has succeeded. */
  get (): readonly T[] | undefined
  /** Tells whether the copy is at most `maxAgeMs` old. */
  isCurrent (): boolean
  /** The time since the latest successful read was sent, or since the polling began if there was none, in ms. */
  getAgeMs (): number
  /** The number of malformed items that the latest read has found. */
  countIgnored (): number
}

/** Interval between reads, in ms: the tightest bound, 2.5 s for a draining worker, holds even if one read fails. */
const pollPeriodMs = 800
/** Pause after a failed read, in ms. */
const retryPauseMs = 250

/** Starts polling the prefix. */
export function createPolledPrefix<T> (host: PolledPrefixHost<T>): PolledPrefix<T> {
  const beganAt = readClocks()
  const ignored = createIgnoredEntries(host.logger, host.description)
  let entries: readonly T[] | undefined
  let readAt: ClockReading | undefined
  let revision = host.minRevision ?? 0
  void poll()
  return { get: () => entries, isCurrent, getAgeMs, countIgnored: ignored.count }

  function isCurrent (): boolean {
    return readAt !== undefined && getElapsedMs(readAt) <= host.maxAgeMs
  }

  function getAgeMs (): number {
    return getElapsedMs(readAt ?? beganAt)
  }

  async function poll (): Promise<void> {
    while (!host.signal.aborted) {
      const hasRead = await readOnce()
      await delay(hasRead ? pollPeriodMs : retryPauseMs, host.signal)
    }
  }

  async function readOnce (): Promise<boolean> {
    const sentAt = readClocks()
    try {
      const { items, revision: readRevision } = await (readAt === undefined && host.readInitial !== undefined ? host.readInitial(host.prefix) : readAll(host.store, host.prefix))
      if (readRevision < revision) throw createError(ErrorKind.StoreUnavailable, `the store answered from revision ${readRevision}, older than ${revision}`)
      revision = readRevision
      const decoded = items.map(item => ({ key: item.key, entry: host.decode(item) }))
      entries = decoded.flatMap(({ entry }) => entry ?? [])
      ignored.update(decoded.filter(({ entry }) => entry === undefined).map(({ key }) => key))
      readAt = sentAt
      host.onRead()
      return true
    } catch (error) {
      host.logger.warn(`${host.description} could not be read`, { error: String(error), ageMs: readAt === undefined ? undefined : Math.round(getAgeMs()), isCurrent: isCurrent() })
      return false
    }
  }
}
