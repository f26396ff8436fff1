/** Polls the platform's worker list. Only the scheduling host does so. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { readAll } from '../store/metadataStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import type { ListedWorker } from './workerPort.js'

/** What the polling of the list needs from outside. */
export interface WorkerListHost {
  readonly store: MetadataStore
  readonly logger: Logger
  readonly prefix: string
  /** Decodes an entry; returns undefined if it does not describe a worker. */
  readonly decode: (key: string, value: string) => ListedWorker | undefined
  readonly onChanged: () => void
  readonly signal: AbortSignal
}

/** Interval between reads, in ms: a draining worker must get no more work after 2.5 s, even if one read fails. */
const pollPeriodMs = 800
/** Pause after a failed read, in ms. */
const retryPauseMs = 250

/** Starts polling the list. The returned function gives the latest list, or undefined until the first read has succeeded. */
export function createWorkerList (host: WorkerListHost): () => readonly ListedWorker[] | undefined {
  let workers: readonly ListedWorker[] | undefined
  void poll()
  return () => workers

  async function poll (): Promise<void> {
    while (!host.signal.aborted) {
      const hasRead = await readOnce()
      await delay(hasRead ? pollPeriodMs : retryPauseMs, host.signal)
    }
  }

  async function readOnce (): Promise<boolean> {
    try {
      const { items } = await readAll(host.store, host.prefix)
      const decoded = items.map(item => host.decode(item.key, item.value))
      workers = decoded.filter(worker => worker !== undefined)
      const malformed = decoded.length - workers.length
      if (malformed > 0) host.logger.info('invalid entries in the worker list were ignored', { malformed })
      host.onChanged()
      return true
    } catch (error) {
      host.logger.warn('the worker list could not be read', { error: String(error) })
      return false
    }
  }
}
