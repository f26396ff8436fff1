/** Follows the platform's list of workers; only the scheduling host reads it. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { readAll } from '../store/metadataStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import type { ListedWorker } from './workerPort.js'

/** What the list needs from outside. */
export interface WorkerListHost {
  readonly store: MetadataStore
  readonly logger: Logger
  readonly prefix: string
  /** Undefined for an entry that names no worker. */
  readonly decode: (key: string, value: string) => ListedWorker | undefined
  readonly onChanged: () => void
  readonly signal: AbortSignal
}

/** The list is read so often, in ms: a worker that drains gets no work 2.5 s later, also when one read fails. */
const pollPeriodMs = 800
/** Pause after a failed read, in ms. */
const retryPauseMs = 250

/** Starts to follow the list; the result returns undefined until it has been read. */
export function createWorkerList (host: WorkerListHost): () => readonly ListedWorker[] | undefined {
  let workers: readonly ListedWorker[] | undefined
  void poll()
  return () => workers

  async function poll (): Promise<void> {
    while (!host.signal.aborted) {
      const isRead = await readOnce()
      await delay(isRead ? pollPeriodMs : retryPauseMs, host.signal)
    }
  }

  async function readOnce (): Promise<boolean> {
    try {
      const { items } = await readAll(host.store, host.prefix)
      const decoded = items.map(item => host.decode(item.key, item.value))
      workers = decoded.filter(worker => worker !== undefined)
      const malformed = decoded.length - workers.length
      if (malformed > 0) host.logger.info('entries of the list name no worker', { malformed })
      host.onChanged()
      return true
    } catch (error) {
      host.logger.warn('the list of workers cannot be read', { error: String(error) })
      return false
    }
  }
}
