/** Polls the platform's worker list. Only the scheduling host does so. */
import { getElapsedMs, readClocks } from '../common/elapsedTime.js'
import type { ClockReading } from '../common/elapsedTime.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { readAll } from '../store/metadataStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import type { PrefixSnapshot } from '../store/prefixReplica.js'
import type { ListedWorker } from './workerPort.js'

/** What the polling of the list needs from outside. */
export interface WorkerListHost {
  readonly store: MetadataStore
  readonly logger: Logger
  readonly prefix: string
  /** Decodes an entry; returns undefined if it does not describe a worker. */
  readonly decode: (key: string, value: string) => ListedWorker | undefined
  readonly onChanged: () => void
  /** Age up to which work may be started by the list, in ms. */
  readonly maxAgeMs: number
  readonly signal: AbortSignal
  /** Reads the list for the first time, as of the start of the term or later. Reads it from the store if it is not given. */
  readonly readInitial?: ((prefix: string) => Promise<PrefixSnapshot>) | undefined
}

/** Interval between reads, in ms: a draining worker must get no more work after 2.5 s, even if one read fails. */
const pollPeriodMs = 800
/** Pause after a failed read, in ms. */
const retryPauseMs = 250

/** The list of workers, as one host last read it. */
export interface WorkerList {
  /** Returns the latest list, or undefined until the first read has succeeded. */
  get (): readonly ListedWorker[] | undefined
  /** Tells whether the latest list was read so recently that every drain announced longer ago than is permitted is in it. */
  isCurrent (): boolean
}

/** Starts polling the list. */
export function createWorkerList (host: WorkerListHost): WorkerList {
  let workers: readonly ListedWorker[] | undefined
  let readAt: ClockReading | undefined
  let revision = 0
  void poll()
  return { get: () => workers, isCurrent: () => readAt !== undefined && getElapsedMs(readAt) <= host.maxAgeMs }

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
      const decoded = items.map(item => host.decode(item.key, item.value))
      workers = decoded.filter(worker => worker !== undefined)
      readAt = sentAt
      const malformed = decoded.length - workers.length
      if (malformed > 0) host.logger.info('invalid entries in the worker list were ignored', { malformed })
      host.onChanged()
      return true
    } catch (error) {
      host.logger.warn('the worker list could not be read', { error: String(error), ageMs: readAt === undefined ? undefined : Math.round(getElapsedMs(readAt)), isCurrent: readAt !== undefined && getElapsedMs(readAt) <= host.maxAgeMs })
      return false
    }
  }
}
