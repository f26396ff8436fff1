/** Host discovery: each host keeps an entry under a lease in the platform's store and periodically reads the entries of all hosts. */
import * as z from 'zod/mini'
import { isAddress } from '../common/address.js'
import { tryParseJson } from '../common/boundedJson.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { createIgnoredEntries } from '../store/ignoredEntries.js'
import { readAll } from '../store/metadataStore.js'
import type { MetadataStore, StoredItem } from '../store/metadataStore.js'
import { createRevisionGuard, transactGuarded } from '../store/revisionGuard.js'

/** A host as its peers know it; `address` (`host:port`) is where it accepts calls from peers. */
export interface KnownHost {
  readonly hostId: string
  readonly address: string
  readonly domain: string
  /** Peers on slow links may follow the copies of this host. */
  readonly hasFastLink: boolean
  /** Hosts with few resources are not preferred as schedulers. */
  readonly isSmall?: boolean
  /** The round trip to the store that the host has measured, in ms. */
  readonly roundTripMs?: number
}

/** Dependencies of the directory. */
export interface HostDirectoryHost {
  readonly store: MetadataStore
  readonly logger: Logger
  readonly ownHost: KnownHost
  /** The round trip of this host to the store, in ms; undefined while it is unknown. */
  readonly getRoundTripMs?: () => number | undefined
  readonly signal: AbortSignal
}

/** The directory of hosts, as one host sees it. */
export interface HostDirectory {
  /** The other hosts as of the last read, those of the own domain first. */
  getPeers (): readonly KnownHost[]
  /** The number of hosts that are closer to the store than this one and not small. Undefined if this host is small, or not compared yet. */
  getRank (): number | undefined
}

/** Key prefix of the entries. */
export const hostsPrefix = 'hosts/'
/** Lease time of an entry. The entry of a host that has stopped remains until then; calls to that host fail at once. */
const entryTtlMs = 15_000
/** Period of lease renewal; the lease survives three lost renewals in a row. */
const renewPeriodMs = 4_000
/** Period of reading all entries; the set of hosts changes within minutes. */
const readPeriodMs = 12_000
/** Delay of the first read, so that hosts that start at the same time find each other's entries. */
const firstReadDelayMs = 1_000
/** The entry is written again when the round trip differs from the written one by more than this, in ms, and this factor. */
const roundTripToleranceMs = 4
const roundTripToleranceFactor = 1.5
/** Delay after a failed call. */
const retryDelayMs = 500

/** Entries take about 200 characters and one level; the rest allows for fields of later versions. */
const entryBounds = { maxLength: 4_096, maxDepth: 4 }
const maxNameLength = 200

const nameSchema = z.string().check(z.maxLength(maxNameLength))
const entrySchema = z.object({
  hostId: nameSchema,
  address: z.string().check(z.refine(isAddress)),
  domain: nameSchema,
  hasFastLink: z.boolean(),
  isSmall: z.optional(z.boolean()),
  roundTripMs: z.optional(z.number().check(z.nonnegative()))
})

/** Maintains the entry of this host and reads those of the others until the signal is aborted. */
export function createHostDirectory (host: HostDirectoryHost): HostDirectory {
  const { store, logger, ownHost } = host
  const ownKey = hostsPrefix + ownHost.hostId
  const guard = createRevisionGuard(ownKey)
  const ignored = createIgnoredEntries(logger, 'the host directory')
  let peers: readonly KnownHost[] = []
  let isEntryDue = true
  /** The round trip in the entry of this host. */
  let writtenRoundTripMs: number | undefined
  void maintainEntry()
  void pollEntries()

  return { getPeers: () => peers, getRank }

  function getRank (): number | undefined {
    if (ownHost.isSmall !== false || writtenRoundTripMs === undefined || peers.length === 0) return undefined
    const ownRoundTripMs = writtenRoundTripMs
    return peers.filter(({ isSmall, roundTripMs, hostId }) => isSmall === false && roundTripMs !== undefined &&
      (roundTripMs < ownRoundTripMs || (roundTripMs === ownRoundTripMs && hostId < ownHost.hostId))).length
  }

  async function maintainEntry (): Promise<void> {
    let leaseId: number | undefined
    while (!host.signal.aborted) {
      try {
        if (leaseId === undefined) {
          leaseId = (await store.grantLease(entryTtlMs)).leaseId
          isEntryDue = true
        } else {
          await store.keepLeaseAlive(leaseId)
        }
        // A write that failed is repeated with the same lease: it may be applied late, and its lease must not end then.
        if (isEntryDue || hasRoundTripChanged()) await writeEntry(leaseId)
        await delay(renewPeriodMs, host.signal)
      } catch (error) {
        if (isErrorOfKind(error, ErrorKind.NotFound)) leaseId = undefined
        logger.info('cannot write or renew the directory entry of this host; retrying', { error: String(error) })
        await delay(retryDelayMs, host.signal)
      }
    }
    if (leaseId !== undefined) await store.revokeLease(leaseId).catch(error => { logger.info('cannot revoke the lease of the directory entry of this host; it will expire', { error: String(error) }) })
  }

  async function writeEntry (leaseId: number): Promise<void> {
    const roundTripMs = getRoundTripMs()
    const value = JSON.stringify({ ...ownHost, roundTripMs })
    const result = await transactGuarded(store, guard, { expected: [], writes: [{ key: ownKey, value, leaseId }] })
    if (!result.isCommitted) throw createError(ErrorKind.Conflict, 'another writer changes the directory entry of this host')
    writtenRoundTripMs = roundTripMs
    isEntryDue = false
  }

  function getRoundTripMs (): number | undefined {
    const roundTripMs = host.getRoundTripMs?.()
    return roundTripMs === undefined ? undefined : Math.round(roundTripMs * 10) / 10
  }

  function hasRoundTripChanged (): boolean {
    const roundTripMs = getRoundTripMs()
    if (roundTripMs === undefined) return false
    if (writtenRoundTripMs === undefined) return true
    const [low, high] = [Math.min(roundTripMs, writtenRoundTripMs), Math.max(roundTripMs, writtenRoundTripMs)]
    return high - low > roundTripToleranceMs && high > low * roundTripToleranceFactor
  }

  /** Has the entry written again if another writer has removed or replaced it. */
  function checkOwnEntry (items: readonly StoredItem[], readRevision: number): void {
    const { revision } = guard.getCondition()
    const foundRevision = items.find(({ key }) => key === ownKey)?.revision
    if (isEntryDue || foundRevision === revision || readRevision < revision) return
    logger.warn('the directory entry of this host is not as written; writing it again', { revision, foundRevision })
    isEntryDue = true
  }

  async function pollEntries (): Promise<void> {
    await delay(firstReadDelayMs, host.signal)
    while (!host.signal.aborted) {
      try {
        const { items, revision } = await readAll(store, hostsPrefix)
        checkOwnEntry(items, revision)
        const decoded = items.map(item => ({ key: item.key, known: tryDecodeHost(item) }))
        ignored.update(decoded.filter(({ known }) => known === undefined).map(({ key }) => key))
        const others = decoded.flatMap(({ known }) => known === undefined || known.hostId === ownHost.hostId ? [] : [known])
        const sameDomain = others.filter(({ domain }) => domain === ownHost.domain)
        peers = [...sameDomain, ...others.filter(peer => !sameDomain.includes(peer))]
        await delay(readPeriodMs, host.signal)
      } catch (error) {
        logger.info('cannot read the host directory; keeping the last known peers', { error: String(error) })
        await delay(retryDelayMs, host.signal)
      }
    }
  }
}

/** Reads the entries of all hosts. Those of hosts that are gone remain until their leases end. */
export async function readHosts (store: MetadataStore): Promise<readonly KnownHost[]> {
  const { items } = await readAll(store, hostsPrefix)
  return items.flatMap(item => tryDecodeHost(item) ?? [])
}

/** Decodes an entry; undefined if no host can have written it. Never throws. */
function tryDecodeHost ({ key, value }: StoredItem): KnownHost | undefined {
  const entry = entrySchema.safeParse(tryParseJson(value, entryBounds))
  return entry.success && hostsPrefix + entry.data.hostId === key ? entry.data : undefined
}
