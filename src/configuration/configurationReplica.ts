/**
 * This host's copy of the operators' configuration. Its version never decreases during the lifetime of the process. The copy is followed in the store
 * or, on a slow link or while the store rejects this host, in the copy of a peer.
 */
import { assert } from '../common/assertions.js'
import { getElapsedMs, readClocks } from '../common/elapsedTime.js'
import type { ClockReading } from '../common/elapsedTime.js'
import type { Logger } from '../common/logger.js'
import { createSignal, delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { MetadataStore, StoredItem, WatchResult } from '../store/metadataStore.js'
import type { Configuration, ConfigurationIssue, DecodedConfiguration } from './configuration.js'
import type { ConfigurationFollower, EvidenceSource, SharedConfiguration } from './configurationPeers.js'

/** Dependencies of the replica. */
export interface ConfigurationReplicaHost {
  readonly store: MetadataStore
  readonly follower: ConfigurationFollower
  /** Peers are followed rather than the store, which is used if no peer can be followed. */
  readonly prefersPeers: boolean
  /** Age up to which the copy may decide calls, in ms. */
  readonly maxAgeMs: number
  readonly logger: Logger
  readonly key: string
  readonly decode: (value: string) => DecodedConfiguration
  readonly onChanged: () => void
  readonly signal: AbortSignal
}

/** The configuration replica of one host. */
export interface ConfigurationReplica extends SharedConfiguration {
  get (): Configuration | undefined
  /** Returns the time since the copy was last known to be the newest, in ms; infinite before the first confirmation. */
  getAgeMs (): number
  /**
   * Tells whether the copy may decide calls: a version that was confirmed to an operator longer ago than its age is in it, and so is each version that this host has seen
   * in use.
   */
  isCurrent (): boolean
  /** Waits until the copy may decide calls, for at most `timeoutMs`. Resolves to `isCurrent`. */
  waitUntilCurrent (timeoutMs: number): Promise<boolean>
  /** Tells whether the store counts as reached, itself or through a peer: it has been before, and the most recent attempts did not all fail. */
  isStoreReached (): boolean
  describe (): ConfigurationState
}

/** What an operator is shown of the copy. */
export interface ConfigurationState {
  readonly version: number | undefined
  readonly ageMs: number
  /** The newest version that is known to exist. */
  readonly newestKnownVersion: number | undefined
  /** A stored value, newer than the copy, that cannot be decoded. */
  readonly undecoded: UndecodedValue | undefined
  /** Entries of the copy that cannot be decoded and are left out. */
  readonly undecodedEntries: number
}

/** A value that cannot be decoded. */
export interface UndecodedValue {
  readonly revision: number
  readonly version: number | undefined
  readonly issues: readonly string[]
  readonly issueCount: number
}

/** Where a version came from. */
enum Source {
  Read = 'read',
  Watch = 'watch',
  Peer = 'peer'
}

/**
 * How long one watch call waits for a change, in ms. An empty answer confirms the copy as of when the watch was sent, so that the age of a copy
 * reaches twice this time.
 */
const watchWaitMs = 600
/** The watch brings a version that has been seen in use within this time, in ms: a round trip to any region. After it, the watch counts as hanging. */
const watchedVersionMs = 100
/** How long a peer is waited for that does not have the awaited version yet either, in ms. */
const catchUpWaitMs = 50
/** A peer without a newer version that answers sooner does not wait as it was asked to; it is not asked again at once. */
const minPeerWaitMs = 25
/** How long a watch waits that only has to confirm the copy after another source has failed, in ms. */
const confirmingWatchWaitMs = 50
/** Delay after a failed attempt, in ms. */
const retryDelayMs = 250
/** Number of consecutive failed attempts after which the store counts as unreachable. */
const unreachableAfterFailures = 2
/** A watch transfers every version since the revision it starts from; after a value of this length, the newest alone is read instead. */
const largeValueLength = 100_000
/** The number of entries that a log line names of those that cannot be decoded. */
const maxLoggedIssues = 5

/** Creates a replica and starts to follow the configuration. */
export function createConfigurationReplica (host: ConfigurationReplicaHost): ConfigurationReplica {
  let current: { readonly configuration: Configuration, readonly value: string, readonly revision: number } | undefined
  let confirmedAt: ClockReading | undefined
  /** Revision of the store at the latest confirmation, and where the next watch starts; undefined if a read has to find it. */
  let storeRevision = 0
  let watchedRevision: number | undefined
  let failures = 0
  let lastError: unknown
  /** While it is set, the copy is not the newest version. */
  let undecoded: UndecodedValue | undefined
  let newestKnownVersion: number | undefined
  /** A version that another host has acted by and this one does not have. Calls wait for it, or for a confirmation that is later than `sinceMs`. */
  let awaited: { readonly version: number, readonly sinceMs: number } | undefined
  let interruptWatch: (() => void) | undefined
  const changed = createSignal()
  void follow()

  return {
    get: () => current?.configuration,
    getAgeMs,
    isCurrent,
    waitUntilCurrent,
    isStoreReached: () => failures < unreachableAfterFailures && confirmedAt !== undefined,
    getCopy: () => current === undefined || confirmedAt === undefined || undecoded !== undefined ? undefined : { version: current.configuration.version, revision: current.revision, storeRevision, confirmedAt, value: current.value },
    waitForVersionAfter,
    noteVersion,
    describe: () => ({ version: current?.configuration.version, ageMs: getAgeMs(), newestKnownVersion, undecoded, undecodedEntries: countUndecoded(current?.configuration) })
  }

  function getAgeMs (): number {
    return confirmedAt === undefined ? Infinity : getElapsedMs(confirmedAt)
  }

  function isCurrent (): boolean {
    return undecoded === undefined && awaited === undefined && getAgeMs() <= host.maxAgeMs
  }

  async function waitUntilCurrent (timeoutMs: number): Promise<boolean> {
    // No later attempt decodes the value; a newer one may be long in coming.
    await waitFor(() => undecoded !== undefined || isCurrent(), timeoutMs)
    return isCurrent()
  }

  function waitForVersionAfter (version: number | undefined, timeoutMs: number): Promise<void> {
    return waitFor(() => current !== undefined && (version === undefined || current.configuration.version > version), timeoutMs)
  }

  async function waitFor (isMet: () => boolean, timeoutMs: number): Promise<void> {
    const startedAtMs = performance.now()
    while (!isMet()) {
      const leftMs = startedAtMs + timeoutMs - performance.now()
      if (leftMs <= 0) return
      await changed.wait(leftMs)
    }
  }

  function noteVersion (version: number, source: EvidenceSource): void {
    if (version <= (newestKnownVersion ?? -Infinity)) return
    newestKnownVersion = version
    awaited = { version, sinceMs: performance.now() }
    setTimeout(() => { if (awaited !== undefined) interruptWatch?.() }, watchedVersionMs)
    host.logger.info('a newer configuration than this host has is in use', { version, ownVersion: current?.configuration.version, configurationAgeMs: Math.round(getAgeMs()), source })
  }

  async function follow (): Promise<void> {
    while (!host.signal.aborted) {
      if (await tryFollow()) continue
      recordFailure()
      await delay(retryDelayMs, host.signal)
    }
  }

  async function tryFollow (): Promise<boolean> {
    if (awaited !== undefined) return await tryCatchUp()
    if (host.prefersPeers && host.follower.hasPeer()) return await tryFollowPeer() || await tryFollowStore(confirmingWatchWaitMs)
    return await tryFollowStore(watchWaitMs) || await tryFollowPeer()
  }

  /** Gets the awaited version: from a peer if that has it, as the store has not sent it, and otherwise by a read of the store, which also tells if there is no such version. */
  async function tryCatchUp (): Promise<boolean> {
    watchedRevision = undefined
    if (host.follower.hasPeer()) await tryFollowPeer(catchUpWaitMs)
    return awaited === undefined || await tryFollowStore(watchWaitMs)
  }

  async function tryFollowPeer (waitMs?: number): Promise<boolean> {
    const sentAtMs = performance.now()
    const copy = await host.follower.tryFollow(current?.configuration.version, waitMs)
    if (copy === undefined) return false
    if (copy.value !== undefined) applyValue(copy.value, copy.revision, sentAtMs, Source.Peer)
    if (current?.configuration.version !== copy.version) {
      // Its version cannot be decoded here. A read of the store tells whether there is such a version. The peer would answer again at once.
      if (copy.revision !== undecoded?.revision) watchedRevision = undefined
      await delay(retryDelayMs, host.signal)
      return false
    }
    recordConfirmation(copy.confirmedAt, copy.storeRevision)
    if (copy.value === undefined && performance.now() - sentAtMs < minPeerWaitMs) await delay(retryDelayMs, host.signal)
    return true
  }

  /** A failed watch does not mean that the store is unreachable; the read that follows decides. */
  async function tryFollowStore (waitMs: number): Promise<boolean> {
    try {
      if (watchedRevision !== undefined) {
        await watchChanges(watchedRevision, waitMs)
        return true
      }
    } catch (error) {
      lastError = error
      watchedRevision = undefined
      if (awaited !== undefined) return true
    }
    try {
      await readCurrent()
      return true
    } catch (error) {
      lastError = error
      return false
    }
  }

  /** The next watch starts from the store's revision; that of the value may be too old, since the store compacts its history. */
  async function readCurrent (): Promise<void> {
    const sentAt = readClocks()
    const { items, revision } = await host.store.range(host.key)
    checkRevision(revision)
    for (const item of items) handleItem(item, sentAt, Source.Read)
    recordConfirmation(sentAt, revision)
  }

  function checkRevision (revision: number): void {
    if (revision < storeRevision) throw createError(ErrorKind.StoreUnavailable, `the store answered from revision ${revision}, older than ${storeRevision}`)
  }

  async function watchChanges (fromRevision: number, waitMs: number): Promise<void> {
    const sentAt = readClocks()
    const { changes, revision } = await watchInterruptibly(fromRevision, waitMs)
    checkRevision(revision)
    const newest = changes.findLast(({ key }) => key === host.key)?.item
    if (newest !== undefined) handleItem(newest, sentAt, Source.Watch)
    recordConfirmation(sentAt, revision)
    if (changes.length > 0 && (current?.value.length ?? 0) > largeValueLength) watchedRevision = undefined
  }

  async function watchInterruptibly (fromRevision: number, waitMs: number): Promise<WatchResult> {
    const controller = new AbortController()
    const abort = (): void => { controller.abort() }
    host.signal.addEventListener('abort', abort, { once: true })
    interruptWatch = abort
    try {
      return await host.store.watch(host.key, fromRevision, waitMs, controller.signal)
    } finally {
      interruptWatch = undefined
      host.signal.removeEventListener('abort', abort)
    }
  }

  function recordConfirmation (at: ClockReading, revision: number): void {
    if (failures >= unreachableAfterFailures) host.logger.info('the store is reachable again', { failures })
    failures = 0
    if (undecoded === undefined && (confirmedAt === undefined || getElapsedMs(at) < getElapsedMs(confirmedAt))) confirmedAt = at
    storeRevision = Math.max(storeRevision, revision)
    watchedRevision = storeRevision
    if (awaited !== undefined && at.monotonicMs >= awaited.sinceMs) endWait()
    changed.notify()
  }

  /** The store has answered a call that was sent after the version had been seen in use: there is no such version, or it is the one that cannot be decoded. */
  function endWait (): void {
    if (undecoded === undefined) {
      host.logger.error('the store does not have the version that was seen in use', { version: awaited?.version, ownVersion: current?.configuration.version })
      newestKnownVersion = current?.configuration.version
    }
    awaited = undefined
  }

  function recordFailure (): void {
    failures++
    if (failures === unreachableAfterFailures) host.logger.warn('the store is unreachable; the configuration cannot be refreshed', { error: String(lastError), configurationAgeMs: Math.round(getAgeMs()) })
  }

  function handleItem (item: StoredItem, sentAt: ClockReading, source: Source): void {
    if (item.key === host.key && item.revision > (current?.revision ?? 0)) applyValue(item.value, item.revision, sentAt.monotonicMs, source)
  }

  function applyValue (value: string, revision: number, sentAtMs: number, source: Source): void {
    if (revision === undecoded?.revision) return
    const receivedAtMs = performance.now()
    const { configuration: next, version, issues } = host.decode(value)
    const described = { revision, version, issues: issues.slice(0, maxLoggedIssues).map(formatIssue), issueCount: issues.length }
    if (next === undefined) {
      if (source !== Source.Peer) undecoded = described
      host.logger.error('the stored configuration cannot be decoded and is not applied', { ...described, ownVersion: current?.configuration.version, source })
      return
    }
    const before = current?.configuration.version
    if (before !== undefined && next.version <= before) {
      host.logger.warn('a configuration is not applied, as its version is not higher', { version: next.version, ownVersion: before, revision, source })
      return
    }
    assert(next.version > (before ?? -Infinity), 'the configuration version must not decrease')
    host.logger.info('a new configuration was applied', { version: next.version, before, revision, queues: next.queues.length, source, characters: value.length, waitedMs: Math.round(receivedAtMs - sentAtMs), decodedMs: Math.round(performance.now() - receivedAtMs) })
    current = { configuration: next, value, revision }
    undecoded = undefined
    newestKnownVersion = Math.max(newestKnownVersion ?? -Infinity, next.version)
    if (awaited !== undefined && next.version >= awaited.version) awaited = undefined
    if (issues.length > 0) host.logger.error('entries of the configuration cannot be decoded and are left out', described)
    changed.notify()
    host.onChanged()
  }
}

function formatIssue ({ path, expected }: ConfigurationIssue): string {
  return `${path.join('.') || '(top level)'}: ${expected}`
}

function countUndecoded (configuration: Configuration | undefined): number {
  return (configuration?.undecoded?.queues.length ?? 0) + (configuration?.undecoded?.organisations.length ?? 0)
}
