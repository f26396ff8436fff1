/** Follows all items under a prefix of the store, so that they can later be read by their latest changes alone. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { readAll } from './metadataStore.js'
import type { MetadataStore, StoreChange, StoredItem } from './metadataStore.js'

/** Dependencies of a replica. */
export interface PrefixReplicaHost {
  readonly store: MetadataStore
  readonly logger: Logger
  readonly prefix: string
}

/** All items under a prefix, as of a revision of the store. */
export interface PrefixSnapshot {
  readonly items: readonly StoredItem[]
  readonly revision: number
}

/** A copy of the items under one prefix that is kept up to date. */
export interface PrefixReplica {
  /** The revision up to which all changes are in the copy; undefined before the first full read. */
  getRevision (): number | undefined
  /** The items of the copy as far as it has been followed; undefined before the first full read. */
  peek (): readonly StoredItem[] | undefined
  /**
   * Stops following, and returns the items at a revision of at least `minRevision`. Returns undefined if the latest changes cannot
   * be read, so that the items have to be read in full.
   */
  catchUp (minRevision: number): Promise<PrefixSnapshot | undefined>
  stop (): void
}

/** How long one watch call waits for changes, in ms. */
const watchWaitMs = 4_000
/** Pause between two watches with changes, in ms: a busy prefix costs at most three calls per second. */
const batchPauseMs = 350
/** Interval between full reads, in ms, in case a watch misses changes. */
const rereadPeriodMs = 60_000
/** Pause after a failed call or a compacted history, in ms. */
const retryPauseMs = 500
/** Wait of the watch that catches up, in ms: the shortest, but not 0, which a server may take for a missing value. */
const catchUpWaitMs = 1
/** Number of watches after which catching up is given up: an answer may be from a revision before the one that is needed. */
const maxCatchUpCalls = 3

/** Starts to follow a prefix. */
export function createPrefixReplica (host: PrefixReplicaHost): PrefixReplica {
  const { store, logger, prefix } = host
  const stopping = new AbortController()
  let items = new Map<string, StoredItem>()
  let revision: number | undefined
  let readAtMs = -Infinity
  void follow()

  return { getRevision: () => revision, peek: () => revision === undefined ? undefined : [...items.values()], catchUp, stop: () => { stopping.abort() } }

  async function follow (): Promise<void> {
    while (!stopping.signal.aborted) {
      try {
        if (revision === undefined || performance.now() - readAtMs > rereadPeriodMs) await readInFull()
        else await delay(await watchOnce(revision, watchWaitMs, stopping.signal) ? batchPauseMs : 0, stopping.signal)
      } catch (error) {
        if (stopping.signal.aborted) return
        // What was not followed is read again; until then the copy must not be used.
        if (isErrorOfKind(error, ErrorKind.HistoryGone)) revision = undefined
        logger.info('a replica of the store is interrupted', { prefix, revision, error: String(error) })
        await delay(retryPauseMs, stopping.signal)
      }
    }
  }

  async function readInFull (): Promise<void> {
    const startedAtMs = performance.now()
    const read = await readAll(store, prefix)
    if (stopping.signal.aborted) return
    items = new Map(read.items.map(item => [item.key, item]))
    revision = read.revision
    readAtMs = startedAtMs
  }

  /** Applies the changes after a revision; tells whether there were any. */
  async function watchOnce (fromRevision: number, waitMs: number, signal?: AbortSignal): Promise<boolean> {
    const result = await store.watch(prefix, fromRevision, waitMs, signal)
    // Another call has changed the copy in the meantime.
    if (revision !== fromRevision || signal?.aborted === true) return false
    for (const change of result.changes) apply(change)
    revision = Math.max(fromRevision, result.revision)
    return result.changes.length > 0
  }

  function apply ({ key, item }: StoreChange): void {
    if (item === undefined) items.delete(key)
    else items.set(key, item)
  }

  async function catchUp (minRevision: number): Promise<PrefixSnapshot | undefined> {
    stopping.abort()
    for (let calls = 0; calls < maxCatchUpCalls && revision !== undefined; calls++) {
      try {
        await watchOnce(revision, catchUpWaitMs)
        if (revision >= minRevision) return { items: [...items.values()], revision }
      } catch (error) {
        logger.info('a replica of the store cannot catch up', { prefix, revision, minRevision, error: String(error) })
        if (isErrorOfKind(error, ErrorKind.HistoryGone)) return undefined
      }
    }
    return undefined
  }
}
