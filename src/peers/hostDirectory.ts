/** Which hosts of the system there are: each writes its own entry under a lease of the platform's store, and reads all now and then. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { readAll } from '../store/metadataStore.js'
import type { MetadataStore } from '../store/metadataStore.js'

/** A host as its peers know it; `address` is where it takes calls of peers (`host:port`). */
export interface KnownHost {
  readonly hostId: string
  readonly address: string
  readonly domain: string
}

/** What the directory needs from outside. */
export interface HostDirectoryHost {
  readonly store: MetadataStore
  readonly logger: Logger
  readonly own: KnownHost
  readonly signal: AbortSignal
}

/** The directory of one host. */
export interface HostDirectory {
  /** The other hosts, as last read; those of the own domain first. */
  getPeers (): readonly KnownHost[]
}

const hostsPrefix = 'hosts/'
/** An entry outlives its host by so much, in ms; calls to a host that is gone fail at once. */
const entryTtlMs = 15_000
/** Renewal period, in ms: three renewals in a row may be lost. */
const renewPeriodMs = 4_000
/** The entries are read so often, in ms: hosts come and go by the minute. */
const readPeriodMs = 12_000
/** The first reading after the own entry, in ms: hosts that start together find each other. */
const firstReadMs = 1_000
/** Pause after a failed call, in ms. */
const retryPauseMs = 500

/** Keeps the own entry and follows those of others until the signal. */
export function createHostDirectory (host: HostDirectoryHost): HostDirectory {
  const { store, logger, own } = host
  let peers: readonly KnownHost[] = []
  void keepEntry()
  void follow()

  return { getPeers: () => peers }

  async function keepEntry (): Promise<void> {
    let leaseId: number | undefined
    while (!host.signal.aborted) {
      try {
        if (leaseId === undefined) leaseId = await register()
        else await store.keepLease(leaseId)
        await delay(renewPeriodMs, host.signal)
      } catch (error) {
        if (isErrorOfKind(error, ErrorKind.NotFound)) leaseId = undefined
        logger.info('the entry of this host cannot be kept', { error: String(error) })
        await delay(retryPauseMs, host.signal)
      }
    }
    if (leaseId !== undefined) await store.endLease(leaseId).catch(error => { logger.info('the entry of this host is left to its lease', { error: String(error) }) })
  }

  async function register (): Promise<number> {
    const { leaseId } = await store.grantLease(entryTtlMs)
    await store.transact({ expected: [], writes: [{ key: hostsPrefix + own.hostId, value: JSON.stringify(own), leaseId }] })
    return leaseId
  }

  async function follow (): Promise<void> {
    await delay(firstReadMs, host.signal)
    while (!host.signal.aborted) {
      try {
        const { items } = await readAll(store, hostsPrefix)
        const others = items.map(item => JSON.parse(item.value) as KnownHost).filter(({ hostId }) => hostId !== own.hostId)
        const near = others.filter(({ domain }) => domain === own.domain)
        peers = [...near, ...others.filter(peer => !near.includes(peer))]
        await delay(readPeriodMs, host.signal)
      } catch (error) {
        logger.info('the entries of the hosts cannot be read', { error: String(error) })
        await delay(retryPauseMs, host.signal)
      }
    }
  }
}
