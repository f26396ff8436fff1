/** Polls the platform's worker list. Only the scheduling host does so. */
import type { Logger } from '../common/logger.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { createPolledPrefix } from '../store/polledPrefix.js'
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

/** The list of workers, as one host last read it. */
export interface WorkerList {
  /** Returns the latest list, or undefined until the first read has succeeded. */
  get (): readonly ListedWorker[] | undefined
  /** Tells whether the latest list was read so recently that every drain announced longer ago than is permitted is in it. */
  isCurrent (): boolean
  /** The number of entries that the latest read has left out because they describe no worker. */
  countIgnored (): number
}

/** Starts polling the list. */
export function createWorkerList (host: WorkerListHost): WorkerList {
  return createPolledPrefix({
    store: host.store,
    logger: host.logger,
    description: 'the worker list',
    prefix: host.prefix,
    decode: ({ key, value }) => host.decode(key, value),
    onRead: host.onChanged,
    maxAgeMs: host.maxAgeMs,
    signal: host.signal,
    readInitial: host.readInitial
  })
}
