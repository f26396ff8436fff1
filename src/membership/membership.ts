/**
 * Which entry hosts live. Each host exchanges what it knows with one random host of its domain at every
 * heartbeat, and with one of another domain at every few; the traffic of a host does not grow with the
 * number of domains, but for the size of the far exchanges.
 */
import { z } from 'zod'
import type { Logger } from '../common/logger.js'
import { pickRandom } from '../common/random.js'
import { createRpcClient } from '../common/rpc.js'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcClient } from '../common/rpcCall.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { createSignal, jitter } from '../common/time.js'
import type { Signal } from '../common/time.js'

/** What hosts tell each other about a host. A newer report has a higher incarnation, then counter. */
export const peerInfoSchema = z.object({
  hostId: z.string(),
  address: z.string(),
  domain: z.string(),
  region: z.string(),
  incarnation: z.number(),
  counter: z.number(),
  rulesRevision: z.number(),
  isLeaving: z.boolean(),
  /** The epoch by which the host schedules its domain; 0 if it does not. */
  schedulerEpoch: z.number(),
  /** The highest epoch of its domain that the host has seen. */
  highestEpoch: z.number(),
  isStoreReachable: z.boolean(),
  /** Endpoints that have told the host that they leave. */
  leavingEndpoints: z.array(z.string())
})

/** What hosts tell each other about a host. */
export type PeerInfo = z.infer<typeof peerInfoSchema>

/** The part of a host's own report that changes while it runs. */
export type PeerState = Omit<PeerInfo, 'hostId' | 'address' | 'domain' | 'region' | 'incarnation' | 'counter'>

/** What membership needs from outside. */
export interface MembershipHost {
  readonly hostId: string
  readonly address: string
  readonly domain: string
  readonly region: string
  readonly peerToken: string
  readonly logger: Logger
  readonly random: () => number
  readonly getState: () => PeerState
  /** Addresses of entry hosts to try, from the settings and the platform's list. */
  readonly getSeeds: () => readonly string[]
  readonly onPeer: (peer: PeerInfo) => void
  readonly isCut?: (address: string) => boolean
}

/** The living entry hosts, as this host knows them. */
export interface Membership {
  readonly changed: Signal
  readonly methods: readonly RpcMethod[]
  /** Living hosts without this one. */
  getPeers (): readonly PeerInfo[]
  getDomainPeers (domain: string): readonly PeerInfo[]
  /** The living host that schedules a domain, by the highest epoch. */
  tryGetScheduler (domain: string): PeerInfo | undefined
  connect (address: string): RpcClient
  /** Tells every host of the domain, and one of each other domain, about this host at once. */
  announce (): Promise<void>
  stop (): void
}

/** Whose reports an exchange carries. */
enum Reach {
  /** Those of the own domain. */
  Domain,
  /** The own domain's, and those of the hosts that schedule the others. */
  Wide,
  All
}

interface KnownPeer {
  info: PeerInfo
  lastSeenMs: number
}

const heartbeatMs = 1_000
const heartbeatJitter = 0.3
const wideHeartbeatEvery = 2
const minFarPeriodMs = 2_000
const farBytesPerSecond = 4_000
const reportBytes = 250
/** An exchange takes so many periods to reach every host, at most. */
const farTimeoutPeriods = 10
const domainTimeoutMs = 4_000
const minFarTimeoutMs = 15_000
const forgetMs = 300_000
const exchangeMethod = 'peer.exchange'
const exchangeTimeoutMs = 1_000
const exchangeSchema = z.strictObject({ peers: z.array(peerInfoSchema).max(10_000) })

/** Starts to exchange heartbeats. */
export function createMembership (host: MembershipHost): Membership {
  const known = new Map<string, KnownPeer>()
  const clients = new Map<string, RpcClient>()
  const changed = createSignal()
  const stopped = createSignal()
  const incarnation = Date.now()
  let counter = 0
  let lastFarMs = 0
  let isStopped = false
  void beat()

  const methods = [defineMethod(exchangeMethod, exchangeSchema, async params => {
    params.peers.forEach(merge)
    const isNear = params.peers[0]?.domain === host.domain
    return { peers: getReports(isNear ? Reach.Wide : Reach.All) }
  })]

  return { changed, methods, getPeers, getDomainPeers, tryGetScheduler, connect, announce, stop }

  async function beat (): Promise<void> {
    for (let round = 0; !isStopped; round++) {
      await stopped.wait(jitter(heartbeatMs, heartbeatJitter, host.random))
      if (isStopped) return
      counter++
      forgetOld()
      const isWide = round % wideHeartbeatEvery === 0
      void exchangeWithOne(getDomainPeers(host.domain), isWide ? Reach.Wide : Reach.Domain)
      if (isWide) void contactSeed()
      if (Date.now() - lastFarMs < getFarPeriodMs()) continue
      lastFarMs = Date.now()
      void exchangeWithOne(getPeers().filter(peer => peer.domain !== host.domain), Reach.All)
    }
  }

  /** Longer in a larger fleet, since a far exchange carries a report of every host. */
  function getFarPeriodMs (): number {
    return Math.max(minFarPeriodMs, known.size * reportBytes * 2 / farBytesPerSecond * 1_000)
  }

  async function exchangeWithOne (peers: readonly PeerInfo[], reach: Reach): Promise<void> {
    const peer = pickRandom(peers, host.random)
    if (peer !== undefined) await exchange(peer.address, reach)
  }

  /** Hosts that are on the list but silent are tried now and then, so that two halves find each other again. */
  async function contactSeed (): Promise<void> {
    const living = new Set(getPeers().map(peer => peer.address))
    const silent = host.getSeeds().filter(address => address !== host.address && !living.has(address))
    const address = pickRandom(silent, host.random)
    if (address !== undefined) await exchange(address, Reach.All)
  }

  async function exchange (address: string, reach: Reach): Promise<void> {
    try {
      const answer = await connect(address).call<{ peers: PeerInfo[] }>(exchangeMethod, { peers: getReports(reach) }, exchangeTimeoutMs)
      if (!isStopped) exchangeSchema.parse(answer).peers.forEach(merge)
    } catch (error) {
      host.logger.debug(`no heartbeat from ${address}`, { error: String(error) })
    }
  }

  function getReports (reach: Reach): PeerInfo[] {
    const peers = getPeers().filter(peer => peer.domain === host.domain || reach === Reach.All || (reach === Reach.Wide && peer.schedulerEpoch > 0))
    return [getSelf(), ...peers]
  }

  function getSelf (): PeerInfo {
    const { hostId, address, domain, region } = host
    return { hostId, address, domain, region, incarnation, counter, ...host.getState() }
  }

  function merge (info: PeerInfo): void {
    if (info.hostId === host.hostId) return
    const peer = known.get(info.hostId)
    if (peer !== undefined && !isNewerInfo(info, peer.info)) return
    if (peer === undefined) host.logger.info(`host ${info.hostId} of ${info.domain} is up`)
    known.set(info.hostId, { info, lastSeenMs: Date.now() })
    changed.notify()
    host.onPeer(info)
  }

  function getPeers (): readonly PeerInfo[] {
    const nowMs = Date.now()
    const farTimeoutMs = Math.max(minFarTimeoutMs, getFarPeriodMs() * farTimeoutPeriods)
    const living: PeerInfo[] = []
    for (const peer of known.values()) {
      const timeoutMs = peer.info.domain === host.domain ? domainTimeoutMs : farTimeoutMs
      if (nowMs - peer.lastSeenMs <= timeoutMs) living.push(peer.info)
    }
    return living
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
    const client = createRpcClient(address, { token: host.peerToken, from: host.hostId, isCut: host.isCut })
    clients.set(address, client)
    return client
  }

  async function announce (): Promise<void> {
    counter++
    const domains = new Set<string>()
    const targets = getPeers().filter(peer => peer.domain === host.domain || (!domains.has(peer.domain) && domains.add(peer.domain)))
    await Promise.all(targets.map(peer => exchange(peer.address, peer.domain === host.domain ? Reach.Wide : Reach.Domain)))
  }

  function forgetOld (): void {
    for (const [hostId, peer] of known) {
      if (Date.now() - peer.lastSeenMs > forgetMs) known.delete(hostId)
    }
  }

  function stop (): void {
    isStopped = true
    stopped.notify()
  }
}

function isNewerInfo (next: PeerInfo, current: PeerInfo): boolean {
  if (next.incarnation !== current.incarnation) return next.incarnation > current.incarnation
  return next.counter > current.counter
}
