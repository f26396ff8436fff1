/**
 * The copy of the scheduler's records that a host keeps while it is likely to be the next scheduler. At the start of its term it reads
 * only what has changed since, instead of all records.
 */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { readAll } from '../store/metadataStore.js'
import type { MetadataStore, StoredItem } from '../store/metadataStore.js'
import { createPrefixReplica } from '../store/prefixReplica.js'
import type { PrefixReplica, PrefixSnapshot } from '../store/prefixReplica.js'

/** Dependencies of the standby. */
export interface WarmStandbyHost {
  readonly store: MetadataStore
  readonly logger: Logger
  /** The prefixes that a scheduler reads at the start of its term. */
  readonly prefixes: readonly string[]
  /** Tells whether this host should follow the records now: not while it is the scheduler itself. */
  readonly isStandby: () => boolean
  readonly signal: AbortSignal
}

/** The records that a host follows, or none if it is not a standby. */
export interface WarmStandby {
  /**
   * Reads all items under a prefix as of a revision of at least `minRevision`, for which a term passes its epoch: the read then contains every write
   * of earlier terms, since these were conditional on a leader key that no longer existed. Uses up the copy of the prefix.
   */
  read (prefix: string, minRevision: number): Promise<PrefixSnapshot>
  /** Tells whether the records of all prefixes have been read and are being followed. */
  isWarm (): boolean
  /** The copy of a prefix, which may be behind the store; undefined if there is none. */
  peek (prefix: string): readonly StoredItem[] | undefined
}

/** A host is a standby if fewer hosts than this are closer to the store: if the nearest is the scheduler, or dies with it, others remain. */
export const maxStandbys = 3
/** Interval in ms at which it is checked whether the host should be a standby. */
const checkPeriodMs = 1_000
/** If the latest changes have not been read after this, in ms, everything is read in parallel: longer than a slow answer of the store. */
const hedgeDelayMs = 350

/** Creates the standby of a host. */
export function createWarmStandby (host: WarmStandbyHost): WarmStandby {
  const { store, logger, prefixes } = host
  let replicas = new Map<string, PrefixReplica>()
  void follow()

  return { read, isWarm: () => prefixes.every(prefix => replicas.get(prefix)?.getRevision() !== undefined), peek: prefix => replicas.get(prefix)?.peek() }

  async function follow (): Promise<void> {
    while (!host.signal.aborted) {
      const isStandby = host.isStandby()
      if (isStandby && replicas.size === 0) {
        logger.info('this host follows the records of the scheduler')
        replicas = new Map(prefixes.map(prefix => [prefix, createPrefixReplica({ store, logger, prefix })]))
      } else if (!isStandby && replicas.size > 0) {
        stopReplicas()
      }
      await delay(checkPeriodMs, host.signal)
    }
    stopReplicas()
  }

  function stopReplicas (): void {
    for (const replica of replicas.values()) replica.stop()
    replicas = new Map()
  }

  async function read (prefix: string, minRevision: number): Promise<PrefixSnapshot> {
    const startedAtMs = performance.now()
    const replica = replicas.get(prefix)
    // A copy is used by one term only: its successor would have to know which changes that term has seen.
    replicas.delete(prefix)
    const followedRevision = replica?.getRevision()
    const caughtUp = replica?.catchUp(minRevision)
    const fromCopy = caughtUp === undefined ? undefined : await Promise.race([caughtUp, delay(hedgeDelayMs)])
    const snapshot = fromCopy ?? await readInFull(prefix, minRevision, caughtUp)
    logger.info('records read for the term', { prefix, followedRevision, revision: snapshot.revision, items: snapshot.items.length, isFromCopy: fromCopy !== undefined, tookMs: Math.round(performance.now() - startedAtMs) })
    return snapshot
  }

  async function readInFull (prefix: string, minRevision: number, caughtUp: Promise<PrefixSnapshot | undefined> | undefined): Promise<PrefixSnapshot> {
    const full = readAll(store, prefix).then(snapshot => {
      if (snapshot.revision >= minRevision) return snapshot
      throw createError(ErrorKind.StoreUnavailable, `the store answered from revision ${snapshot.revision}, older than ${minRevision}`)
    })
    if (caughtUp === undefined) return await full
    const late = caughtUp.then(snapshot => snapshot ?? full)
    return await Promise.any([full, late]).catch(async () => await full)
  }
}
