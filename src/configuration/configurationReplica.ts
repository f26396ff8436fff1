/** This host's copy of the operators' configuration. A version never goes back within the life of the process. */
import { assert } from '../common/debug.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { MetadataStore } from '../store/metadataStore.js'
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

/** The store is asked so often, in ms: two reads in a row may fail before a change is due (2.5 s). */
const pollPeriodMs = 750
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
  void poll()

  return {
    get: () => current,
    getAgeMs: () => performance.now() - confirmedAtMs,
    isStoreReached: () => failures < maxFailures && confirmedAtMs > -Infinity
  }

  async function poll (): Promise<void> {
    while (!host.signal.aborted) {
      const isRead = await readOnce()
      await delay(isRead ? pollPeriodMs : retryPauseMs, host.signal)
    }
  }

  async function readOnce (): Promise<boolean> {
    const sentAtMs = performance.now()
    try {
      const item = await host.store.get(host.key)
      if (failures >= maxFailures) host.logger.info('the store is reached again', { failures })
      failures = 0
      confirmedAtMs = sentAtMs
      if (item !== undefined && item.revision > revision) adopt(item.value, item.revision)
      return true
    } catch (error) {
      failures++
      if (failures === maxFailures) host.logger.warn('the store is out of reach', { error: String(error), configurationAgeMs: Math.round(sentAtMs - confirmedAtMs) })
      return false
    }
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
