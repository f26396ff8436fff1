/** This host's copy of the operators' configuration. Its version never decreases during the lifetime of the process. */
import { assert } from '../common/assertions.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { MetadataStore, StoredItem } from '../store/metadataStore.js'
import type { Configuration } from './configuration.js'

/** Dependencies of the replica. */
export interface ConfigurationReplicaHost {
  readonly store: MetadataStore
  readonly logger: Logger
  readonly key: string
  readonly decode: (value: string) => Configuration | undefined
  readonly onChanged: () => void
  readonly signal: AbortSignal
}

/** The configuration replica of one host. */
export interface ConfigurationReplica {
  get (): Configuration | undefined
  /** Returns the time since the store last confirmed the copy, in ms. */
  getAgeMs (): number
  /** Tells whether the store counts as reachable: it has been reached before, and the most recent reads did not all fail. */
  isStoreReached (): boolean
}

/**
 * How long one watch call waits for a change, in ms. If the connection stops responding, a change is noticed only after the watch
 * has timed out and the configuration has been read again; this must take less than the required 2.5 s.
 */
const watchWaitMs = 1_200
/** Delay after a failed read, in ms. */
const retryDelayMs = 250
/** Number of consecutive failed reads after which the store counts as unreachable. */
const unreachableAfterFailures = 2

/** Creates a replica and starts to watch the configuration. */
export function createConfigurationReplica (host: ConfigurationReplicaHost): ConfigurationReplica {
  let current: Configuration | undefined
  let revision = 0
  let confirmedAtMs = -Infinity
  let failures = 0
  void follow()

  return {
    get: () => current,
    getAgeMs: () => performance.now() - confirmedAtMs,
    isStoreReached: () => failures < unreachableAfterFailures && confirmedAtMs > -Infinity
  }

  async function follow (): Promise<void> {
    let watchedRevision: number | undefined
    while (!host.signal.aborted) {
      try {
        watchedRevision = watchedRevision === undefined ? await readCurrent() : await watchChanges(watchedRevision)
      } catch (error) {
        // A failed watch does not mean that the store is unreachable; the read that follows decides.
        if (watchedRevision === undefined) {
          recordFailure(error)
          await delay(retryDelayMs, host.signal)
        }
        watchedRevision = undefined
      }
    }
  }

  /** Reads the configuration. Returns the store's revision to watch from; the copy's own may be too old, since the store compacts its history. */
  async function readCurrent (): Promise<number> {
    const sentAtMs = performance.now()
    const { items, revision } = await host.store.range(host.key)
    recordSuccess(sentAtMs)
    for (const item of items) handleItem(item, sentAtMs, 'read')
    return revision
  }

  async function watchChanges (fromRevision: number): Promise<number> {
    const sentAtMs = performance.now()
    const { changes, revision } = await host.store.watch(host.key, fromRevision, watchWaitMs, host.signal)
    recordSuccess(performance.now())
    for (const { item } of changes) if (item !== undefined) handleItem(item, sentAtMs, 'watch')
    return revision
  }

  function recordSuccess (sentAtMs: number): void {
    if (failures >= unreachableAfterFailures) host.logger.info('the store is reachable again', { failures })
    failures = 0
    confirmedAtMs = sentAtMs
  }

  function recordFailure (error: unknown): void {
    failures++
    if (failures === unreachableAfterFailures) host.logger.warn('the store is unreachable; the configuration cannot be refreshed', { error: String(error), configurationAgeMs: Math.round(performance.now() - confirmedAtMs) })
  }

  function handleItem (item: StoredItem, sentAtMs: number, source: string): void {
    if (item.key === host.key && item.revision > revision) applyValue(item.value, item.revision, sentAtMs, source)
  }

  function applyValue (value: string, newRevision: number, sentAtMs: number, source: string): void {
    const receivedAtMs = performance.now()
    const next = host.decode(value)
    if (next === undefined) {
      host.logger.error('the stored configuration is malformed and was ignored', { revision: newRevision })
      return
    }
    if (current !== undefined && next.version <= current.version) return
    assert(next.version > (current?.version ?? -Infinity), 'the configuration version must not decrease')
    host.logger.info('a new configuration was applied', { version: next.version, before: current?.version, revision: newRevision, queues: next.queues.length, source, characters: value.length, waitedMs: Math.round(receivedAtMs - sentAtMs), decodedMs: Math.round(performance.now() - receivedAtMs) })
    current = next
    revision = newRevision
    host.onChanged()
  }
}
