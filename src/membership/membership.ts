/**
 * Gossip-based membership of the entry hosts. At every heartbeat, each host exchanges reports with one random host of its
 * domain, and less often with a random host of another domain. The number of exchanges of a host does not grow with the number
 * of domains; only the size of those with other domains does.
 */
import { z } from 'zod'
import type { Logger } from '../common/logger.js'
import { tryPickRandom } from '../common/random.js'
import { createHttpRpcClient } from '../common/httpRpcClient.js'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcClient } from '../common/rpcClient.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { createSignal, jitter } from '../common/time.js'
import type { Signal } from '../common/time.js'

/** Schema of a report about a host. Of two reports, the one with the higher incarnation, then the higher counter, is newer. */
export const peerInfoSchema = z.object({
  hostId: z.string(),
  address: z.string(),
  domain: z.string(),
  region: z.string(),
  incarnation: z.number(),
  counter: z.number(),
  rulesRevision: z.number(),
  isLeaving: z.boolean(),
  /** The epoch in which the host is the scheduler of its domain; 0 if it is not the scheduler. */
  schedulerEpoch: z.number(),
  /** The highest epoch of its domain that the host has seen. */
  highestEpoch: z.number(),
  isStoreReachable: z.boolean(),
  /** Endpoints that have announced to the host that they are leaving. */
  leavingEndpoints: z.array(z.string())
})

/** A report about a host, as hosts exchange it. */
export type PeerInfo = z.infer<typeof peerInfoSchema>

/** The part of a host's report about itself that changes while it runs. */
export type PeerState = Omit<PeerInfo, 'hostId' | 'address' | 'domain' | 'region' | 'incarnation' | 'counter'>

/** Dependencies of the membership service. */
export interface MembershipHost {
  readonly hostId: string
  readonly address: string
  readonly domain: string
  readonly region: string
  readonly peerToken: string
  readonly logger: Logger
  readonly random: () => number
  readonly getState: () => PeerState
  /** Addresses of entry hosts, from the settings and the platform's host list. Those that belong to no live peer are contacted. */
  readonly getSeeds: () => readonly string[]
  readonly onPeerUpdate: (peer: PeerInfo) => void
  readonly isPartitionedFrom?: (address: string) => boolean
}

/** The live entry hosts, as this host knows them. */
export interface Membership {
  readonly changed: Signal
  readonly methods: readonly RpcMethod[]
  /** All live hosts except this one. */
  getPeers (): readonly PeerInfo[]
  getDomainPeers (domain: string): readonly PeerInfo[]
  /** The live host that schedules the domain; of several that claim to, the one with the highest epoch. */
  tryGetScheduler (domain: string): PeerInfo | undefined
  connect (address: string): RpcClient
  /** Immediately exchanges reports with every host of its domain and with one host of each other domain. */
  announce (): Promise<void>
  stop (): void
}

/** Which reports an exchange carries. */
enum ReportScope {
  /** Reports about hosts of the own domain. */
  Domain,
  /** Reports about hosts of the own domain and about the schedulers of the other domains. */
  DomainAndSchedulers,
  All
}

interface KnownPeer {
  info: PeerInfo
  lastSeenMs: number
}

const heartbeatMs = 1_000
const heartbeatJitter = 0.3
const schedulerReportInterval = 2
const minCrossDomainPeriodMs = 2_000
const crossDomainBytesPerSecond = 4_000
const estimatedReportBytes = 250
/** Number of cross-domain periods within which a report reaches every host. */
const crossDomainTimeoutInPeriods = 10
const domainTimeoutMs = 4_000
const minCrossDomainTimeoutMs = 15_000
const peerRetentionMs = 300_000
const exchangeMethod = 'peer.exchange'
const exchangeTimeoutMs = 1_000
const exchangeSchema = z.strictObject({ peers: z.array(peerInfoSchema).max(10_000) })

/** Starts the periodic exchange of reports. */
export function createMembership (host: MembershipHost): Membership {
  const known = new Map<string, KnownPeer>()
  const clients = new Map<string, RpcClient>()
  const changed = createSignal()
  const stopped = createSignal()
  const incarnation = Date.now()
  let counter = 0
  let lastCrossDomainExchangeMs = 0
  let isStopped = false
  void runHeartbeats()

  const methods = [defineMethod(exchangeMethod, exchangeSchema, async params => {
    params.peers.forEach(merge)
    const isSameDomain = params.peers[0]?.domain === host.domain
    return { peers: getReports(isSameDomain ? ReportScope.DomainAndSchedulers : ReportScope.All) }
  })]

  return { changed, methods, getPeers, getDomainPeers, tryGetScheduler, connect, announce, stop }

  async function runHeartbeats (): Promise<void> {
    for (let round = 0; !isStopped; round++) {
      await stopped.wait(jitter(heartbeatMs, heartbeatJitter, host.random))
      if (isStopped) return
      counter++
      removeExpired()
      const isSchedulerRound = round % schedulerReportInterval === 0
      void exchangeWithRandom(getDomainPeers(host.domain), isSchedulerRound ? ReportScope.DomainAndSchedulers : ReportScope.Domain)
      if (isSchedulerRound) void contactSeed()
      if (Date.now() - lastCrossDomainExchangeMs < getCrossDomainPeriodMs()) continue
      lastCrossDomainExchangeMs = Date.now()
      void exchangeWithRandom(getPeers().filter(peer => peer.domain !== host.domain), ReportScope.All)
    }
  }

  /** Period of the exchanges with other domains. Grows with the number of hosts, since each exchange carries a report about every host. */
  function getCrossDomainPeriodMs (): number {
    return Math.max(minCrossDomainPeriodMs, known.size * estimatedReportBytes * 2 / crossDomainBytesPerSecond * 1_000)
  }

  async function exchangeWithRandom (peers: readonly PeerInfo[], scope: ReportScope): Promise<void> {
    const peer = tryPickRandom(peers, host.random)
    if (peer !== undefined) await exchange(peer.address, scope)
  }

  /** Contacts a random seed address that belongs to no live peer, so that the two sides of a healed network partition merge again. */
  async function contactSeed (): Promise<void> {
    const live = new Set(getPeers().map(peer => peer.address))
    const candidates = host.getSeeds().filter(address => address !== host.address && !live.has(address))
    const address = tryPickRandom(candidates, host.random)
    if (address !== undefined) await exchange(address, ReportScope.All)
  }

  async function exchange (address: string, scope: ReportScope): Promise<void> {
    try {
      const response = await connect(address).call<{ peers: PeerInfo[] }>(exchangeMethod, { peers: getReports(scope) }, exchangeTimeoutMs)
      if (!isStopped) exchangeSchema.parse(response).peers.forEach(merge)
    } catch (error) {
      host.logger.debug(`heartbeat exchange with ${address} failed`, { error: String(error) })
    }
  }

  function getReports (scope: ReportScope): PeerInfo[] {
    const peers = getPeers().filter(peer => peer.domain === host.domain || scope === ReportScope.All || (scope === ReportScope.DomainAndSchedulers && peer.schedulerEpoch > 0))
    return [getSelf(), ...peers]
  }

  function getSelf (): PeerInfo {
    const { hostId, address, domain, region } = host
    return { hostId, address, domain, region, incarnation, counter, ...host.getState() }
  }

  function merge (info: PeerInfo): void {
    if (info.hostId === host.hostId) return
    const peer = known.get(info.hostId)
    if (peer !== undefined && !isNewerReport(info, peer.info)) return
    if (peer === undefined) host.logger.info(`discovered host ${info.hostId} of domain ${info.domain}`)
    known.set(info.hostId, { info, lastSeenMs: Date.now() })
    changed.notify()
    host.onPeerUpdate(info)
  }

  function getPeers (): readonly PeerInfo[] {
    const nowMs = Date.now()
    const crossDomainTimeoutMs = Math.max(minCrossDomainTimeoutMs, getCrossDomainPeriodMs() * crossDomainTimeoutInPeriods)
    const live: PeerInfo[] = []
    for (const peer of known.values()) {
      const timeoutMs = peer.info.domain === host.domain ? domainTimeoutMs : crossDomainTimeoutMs
      if (nowMs - peer.lastSeenMs <= timeoutMs) live.push(peer.info)
    }
    return live
  }

  function getDomainPeers (domain: string): readonly PeerInfo[] {
    return getPeers().filter(peer => peer.domain === domain)
  }

  function tryGetScheduler (domain: string): PeerInfo | undefined {
    let best: PeerInfo | undefined
    for (const peer of getDomainPeers(domain)) {
      if (peer.schedulerEpoch > (best?.schedulerEpoch ?? 0)) best = peer
    }
    return best
  }

  function connect (address: string): RpcClient {
    const existing = clients.get(address)
    if (existing !== undefined) return existing
    const client = createHttpRpcClient(address, { token: host.peerToken, from: host.hostId, isPartitionedFrom: host.isPartitionedFrom })
    clients.set(address, client)
    return client
  }

  async function announce (): Promise<void> {
    counter++
    const domains = new Set<string>()
    const targets = getPeers().filter(peer => peer.domain === host.domain || (!domains.has(peer.domain) && domains.add(peer.domain)))
    await Promise.all(targets.map(peer => exchange(peer.address, peer.domain === host.domain ? ReportScope.DomainAndSchedulers : ReportScope.Domain)))
  }

  function removeExpired (): void {
    for (const [hostId, peer] of known) {
      if (Date.now() - peer.lastSeenMs > peerRetentionMs) known.delete(hostId)
    }
    const addresses = new Set([...host.getSeeds(), ...[...known.values()].map(({ info }) => info.address)])
    // The connections are those of the process, which closes them when they are idle.
    for (const address of clients.keys()) if (!addresses.has(address)) clients.delete(address)
  }

  function stop (): void {
    isStopped = true
    stopped.notify()
  }
}

function isNewerReport (next: PeerInfo, current: PeerInfo): boolean {
  if (next.incarnation !== current.incarnation) return next.incarnation > current.incarnation
  return next.counter > current.counter
}
