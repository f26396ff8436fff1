/** This host's copy of the operators' configuration. A version never goes back within the life of the process. */
import { assert } from '../common/debug.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { MetadataStore, StoredItem } from '../store/metadataStore.js'
import type { Configuration } from './configuration.js'

/** What the replica needs from outside. */
export interface ConfigurationReplicaHost {
  readonly store: MetadataStore
  readonly logger: Logger
  readonly key: string
  readonly decode: (value: string) => Configuration | undefined
  readonly onChanged: () => void
  readonly signal: AbortSignal
}

/** The replica of one host. */
export interface ConfigurationReplica {
  get (): Configuration | undefined
  /** How long ago the store last confirmed the copy, in ms. */
  getAgeMs (): number
  /** Tells whether the last read reached the store. */
  isStoreReached (): boolean
}

/** How long one watch waits for a change, in ms: with its time-out and a read, a silent connection costs less than the 2.5 s after which a change is due. */
const watchWaitMs = 1_200
/** Pause after a failed read, in ms. */
const retryPauseMs = 250
/** The store counts as out of reach after so many failed reads in a row. */
const maxFailures = 2

/** Starts to follow the configuration. */
export function createConfigurationReplica (host: ConfigurationReplicaHost): ConfigurationReplica {
  let current: Configuration | undefined
  let revision = 0
  let confirmedAtMs = -Infinity
  let failures = 0
  void follow()

  return {
    get: () => current,
    getAgeMs: () => performance.now() - confirmedAtMs,
    isStoreReached: () => failures < maxFailures && confirmedAtMs > -Infinity
  }

  async function follow (): Promise<void> {
    let watchedRevision: number | undefined
    while (!host.signal.aborted) {
      try {
        watchedRevision = watchedRevision === undefined ? await read() : await watch(watchedRevision)
      } catch (error) {
        // A watch that was cut says little about the store; the read that follows it does.
        if (watchedRevision === undefined) {
          noteFailure(error)
          await delay(retryPauseMs, host.signal)
        }
        watchedRevision = undefined
      }
    }
  }

  /** Returns the store's revision, from which changes are watched: the history since the copy's own is soon gone. */
  async function read (): Promise<number> {
    const sentAtMs = performance.now()
    const { items, revision } = await host.store.range(host.key)
    noteSuccess(sentAtMs)
    for (const item of items) take(item)
    return revision
  }

  async function watch (fromRevision: number): Promise<number> {
    const { changes, revision } = await host.store.watch(host.key, fromRevision, watchWaitMs, host.signal)
    noteSuccess(performance.now())
    for (const { item } of changes) if (item !== undefined) take(item)
    return revision
  }

  function noteSuccess (sentAtMs: number): void {
    if (failures >= maxFailures) host.logger.info('the store is reached again', { failures })
    failures = 0
    confirmedAtMs = sentAtMs
  }

  function noteFailure (error: unknown): void {
    failures++
    if (failures === maxFailures) host.logger.warn('the store is out of reach', { error: String(error), configurationAgeMs: Math.round(performance.now() - confirmedAtMs) })
  }

  function take (item: StoredItem): void {
    if (item.key === host.key && item.revision > revision) adopt(item.value, item.revision)
  }

  function adopt (value: string, newRevision: number): void {
    const next = host.decode(value)
    if (next === undefined) {
      host.logger.error('the configuration is malformed', { revision: newRevision })
      return
    }
    if (current !== undefined && next.version <= current.version) return
    assert(next.version > (current?.version ?? -Infinity), 'a version of the configuration never goes back')
    host.logger.info('a configuration is in force', { version: next.version, before: current?.version, revision: newRevision, queues: next.queues.length })
    current = next
    revision = newRevision
    host.onChanged()
  }
}
