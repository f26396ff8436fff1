/** An entry host: all functions of the system in one process. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createClaims } from '../claims/claims.js'
import { getAssertionFailureCount, getLastAssertionFailure } from '../common/assertions.js'
import { listenHttp } from '../common/http.js'
import type { HttpHandler } from '../common/http.js'
import type { Logger } from '../common/logger.js'
import { createRpcHandler } from '../common/rpcServer.js'
import type { RpcClient } from '../common/rpcClient.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createJobGateway } from '../jobs/jobGateway.js'
import { createHostList, HostKind } from '../membership/hostList.js'
import type { ListedHost } from '../membership/hostList.js'
import { createMembership } from '../membership/membership.js'
import type { PeerState } from '../membership/membership.js'
import { explainChanges } from '../operators/explain.js'
import { createOperatorMethods } from '../operators/operatorInterface.js'
import { createEndpointPool } from '../routing/endpointPool.js'
import { createRequestMetrics } from '../routing/requestMetrics.js'
import { createRequestRouter } from '../routing/requestRouter.js'
import { createRuleDistribution } from '../rules/ruleDistribution.js'
import { createRuleEditor } from '../rules/ruleEditor.js'
import { createRuleLog } from '../rules/ruleLog.js'
import { createRuleReplica } from '../rules/ruleReplica.js'
import { DrainTarget } from '../rules/ruleSet.js'
import { createDomainLease } from '../scheduling/domainLease.js'
import type { DomainLease } from '../scheduling/domainLease.js'
import { checkGuarantees } from '../scheduling/guaranteeCheck.js'
import { createRecordHints } from '../scheduling/recordHints.js'
import { createScheduler } from '../scheduling/scheduler.js'
import type { Scheduler } from '../scheduling/scheduler.js'
import { createWorkerClient } from '../scheduling/workerClient.js'
import { getWorkerTiming } from '../scheduling/workerTiming.js'
import type { EntrySettings } from '../settings/settings.js'
import { createStoreClient } from '../store/storeClient.js'
import { createCallersInterface } from './callersInterface.js'
import type { HostStatus } from './hostStatus.js'
import { createAuthenticator, Role } from './identity.js'
import type { Authenticate } from './identity.js'

/** A running entry host. */
export interface EntryHost {
  readonly hostId: string
  readonly callersAddress: string
  readonly peersAddress: string
  getScheduler (): Scheduler | undefined
  countPeers (): number
  getRulesRevision (): number
  /** Shuts down gracefully: announces it, hands over scheduling, and serves until the load balancer has noticed and no request is in flight. */
  stop (): Promise<void>
  /** Stops immediately, as a crash would. */
  crash (): Promise<void>
}

const refreshPollMs = 1_000
const flushTimeoutMs = 2_000

/** Starts an entry host. Tests pass `isPartitioned` to simulate a network partition from the peers at some addresses. */
export async function startEntryHost (
  settings: EntrySettings, rootLogger: Logger, random: () => number, isPartitioned?: (address: string) => boolean
): Promise<EntryHost> {
  const logger = rootLogger.withPrefix('entry')
  const authenticate = createAuthenticator(settings)
  const store = createStoreClient(settings.store, settings.hostId)
  const hostList = createHostList(settings.hostList, settings.hostId, rootLogger.withPrefix('host list'), random)
  const replica = createRuleReplica()
  const ruleLog = createRuleLog(store)
  const claims = createClaims(store, () => replica.getRuleSet().getLimit('claim-retention-ms'))
  let scheduler: Scheduler | undefined
  const leaseRef: { lease?: DomainLease } = {}
  let highestEpoch = 0
  let isLeaving = false
  let isStopped = false

  const handlers: { callers?: HttpHandler, peers?: HttpHandler } = {}
  const callersListener = await listenHttp(settings.callersListen, (request, response) => dispatch(handlers.callers, request, response))
  const peersListener = await listenHttp(settings.peersListen, (request, response) => dispatch(handlers.peers, request, response))

  const membership = createMembership({
    hostId: settings.hostId,
    address: peersListener.address,
    domain: settings.domain,
    region: settings.region,
    peerToken: settings.peerToken,
    logger: rootLogger.withPrefix('membership'),
    random,
    getState: getPeerState,
    getSeeds: () => [...settings.peers, ...hostList.getByKind(HostKind.Entry).map(host => host.address)],
    isPartitionedFrom: isPartitioned,
    onPeerUpdate: peer => {
      if (peer.domain === settings.domain) highestEpoch = Math.max(highestEpoch, peer.highestEpoch, peer.schedulerEpoch)
      if (peer.rulesRevision > replica.getRuleSet().revision) distribution.pullFrom(membership.connect(peer.address))
    }
  })
  const distribution = createRuleDistribution({
    log: ruleLog,
    replica,
    logger: rootLogger.withPrefix('rules'),
    random,
    isWatcher: () => scheduler !== undefined,
    getPushTargets
  })
  const editor = createRuleEditor({
    log: ruleLog,
    replica,
    checkGuarantees: (next, lines) => checkGuarantees(next, lines, hostList.getWorkers)
  })
  const pool = createEndpointPool({
    domain: settings.domain,
    region: settings.region,
    random,
    getEndpoints: createEndpointGetter(),
    isDraining: endpoint => isEndpointDraining(endpoint),
    getFarBytesPerSecond: () => replica.getRuleSet().getLimit('far-bytes-per-second'),
    onEndpointLeaving: endpointId => {
      logger.info(`endpoint ${endpointId} is leaving`)
      void membership.announce()
    }
  })
  const metrics = createRequestMetrics(getGauges)
  const router = createRequestRouter({ pool, claims, metrics, logger: rootLogger.withPrefix('requests'), getRules: () => replica.getRuleSet() })
  const jobs = createJobGateway({
    domain: settings.domain,
    getScheduler: () => scheduler,
    tryConnect: domain => {
      const peer = membership.tryGetScheduler(domain)
      return peer && membership.connect(peer.address)
    },
    getDomains: () => [...new Set([settings.domain, ...membership.getPeers().map(peer => peer.domain)])]
  })
  const hints = createRecordHints(() => membership.getDomainPeers(settings.domain).map(peer => membership.connect(peer.address)))
  const operatorMethods = createOperatorMethods({
    hostId: settings.hostId,
    replica,
    editor,
    log: ruleLog,
    getPeers: membership.getPeers,
    push: distribution.push,
    connect: membership.connect,
    explain: (changes, next) => explainChanges(changes, next, { jobs: scheduler?.list(undefined) ?? [], head: replica.getRuleSet() }),
    getStatus
  })

  handlers.callers = createCallersInterface({ authenticate, jobs, router, metrics, isReady, getStatus })
  handlers.peers = createRpcHandler(
    [...membership.methods, ...distribution.methods, ...jobs.methods, ...hints.methods, ...operatorMethods],
    createAuthorizer(authenticate, operatorMethods)
  )
  leaseRef.lease = createDomainLease({
    hostId: settings.hostId,
    domain: settings.domain,
    store,
    logger: rootLogger.withPrefix('lease'),
    random,
    getCandidates,
    tryGetKnownHolder: () => {
      const peer = membership.tryGetScheduler(settings.domain)
      return peer && { hostId: peer.hostId, epoch: peer.schedulerEpoch }
    },
    getHighestEpoch: () => highestEpoch,
    onAcquired: startScheduling,
    onLost: stopScheduling
  })
  void refreshLoop()
  logger.info(`host ${settings.hostId} serves domain ${settings.domain}`, { callers: callersListener.address, peers: peersListener.address })

  return {
    hostId: settings.hostId,
    callersAddress: callersListener.address,
    peersAddress: peersListener.address,
    getScheduler: () => scheduler,
    countPeers: () => membership.getPeers().length,
    getRulesRevision: () => replica.getRuleSet().revision,
    stop,
    crash
  }

  // Scheduling

  function startScheduling (epoch: number): void {
    const unwrittenRecords = [...hints.get(), ...scheduler?.getUnwrittenRecords() ?? []]
    scheduler?.stop()
    highestEpoch = Math.max(highestEpoch, epoch)
    const timing = getWorkerTiming(hostList.getWorkers(settings.domain).length)
    scheduler = createScheduler({
      domain: settings.domain,
      epoch,
      store,
      logger: rootLogger.withPrefix('scheduler'),
      random,
      getRules: () => replica.getRuleSet(),
      getWorkers: () => hostList.getWorkers(settings.domain),
      connect: info => createWorkerClient(info.address, settings.hostId),
      timing,
      inheritedRecords: unwrittenRecords,
      shareUnwritten: records => hints.share(epoch, records),
      onSuperseded: seenEpoch => {
        highestEpoch = Math.max(highestEpoch, seenEpoch)
        scheduler = undefined
        void leaseRef.lease?.resign()
      }
    })
    void membership.announce()
  }

  function stopScheduling (): void {
    scheduler?.stop()
    scheduler = undefined
  }

  async function refreshLoop (): Promise<void> {
    let announcedRevision = 0
    while (!isStopped) {
      await Promise.race([hostList.changed.wait(refreshPollMs), replica.changed.wait(refreshPollMs)])
      if (isStopped) return
      scheduler?.refresh()
      const { revision } = replica.getRuleSet()
      if (revision > announcedRevision) void membership.announce()
      announcedRevision = revision
    }
  }

  /** Ids of the hosts that may schedule the domain, sorted; their order is their rank. */
  function getCandidates (): readonly string[] {
    const peers = membership.getDomainPeers(settings.domain).filter(peer => !peer.isLeaving).map(peer => peer.hostId)
    const own = isHostLeaving() ? [] : [settings.hostId]
    return [...own, ...peers].sort()
  }

  // State reported to peers and callers

  function getPeerState (): PeerState {
    return {
      rulesRevision: replica.getRuleSet().revision,
      isLeaving: isHostLeaving(),
      schedulerEpoch: leaseRef.lease?.getEpoch() ?? 0,
      highestEpoch,
      isStoreReachable: store.isReachable(),
      leavingEndpoints: [...pool.getLeavingEndpoints()]
    }
  }

  function isHostLeaving (): boolean {
    return isLeaving || replica.getRuleSet().isDraining(DrainTarget.Host, settings.hostId)
  }

  function isReady (): boolean {
    return !isHostLeaving() && replica.getRuleSet().revision > 0
  }

  function isEndpointDraining (endpoint: ListedHost): boolean {
    const rules = replica.getRuleSet()
    if (rules.isDraining(DrainTarget.Endpoint, endpoint.id) || rules.isDraining(DrainTarget.Domain, endpoint.domain)) return true
    return membership.getPeers().some(peer => peer.leavingEndpoints.includes(endpoint.id))
  }

  /** Returns a getter for the endpoints, whose array is replaced only when the host list changes. */
  function createEndpointGetter (): () => readonly ListedHost[] {
    let seenRevision = -1
    let endpoints: readonly ListedHost[] = []
    return () => {
      if (hostList.getRevision() === seenRevision) return endpoints
      seenRevision = hostList.getRevision()
      endpoints = hostList.getByKind(HostKind.Endpoint)
      return endpoints
    }
  }

  function getPushTargets (): readonly RpcClient[] {
    const domains = new Set([settings.domain])
    const targets = membership.getPeers().filter(peer => peer.domain === settings.domain || (!domains.has(peer.domain) && domains.add(peer.domain)))
    return targets.map(peer => membership.connect(peer.address))
  }

  function getGauges (): Readonly<Record<string, number>> {
    return {
      in_flight: router.getInFlight(),
      waiting: router.countWaiting(),
      rules_revision: replica.getRuleSet().revision,
      peers: membership.getPeers().length,
      scheduler_epoch: leaseRef.lease?.getEpoch() ?? 0,
      store_reachable: Number(store.isReachable()),
      assertion_failures: getAssertionFailureCount(),
      resident_bytes: process.memoryUsage.rss()
    }
  }

  async function getStatus (): Promise<HostStatus> {
    const peers = membership.getPeers()
    return {
      hostId: settings.hostId,
      domain: settings.domain,
      isReady: isReady(),
      rulesRevision: replica.getRuleSet().revision,
      storeReachableSinceMs: store.getReachableSinceMs(),
      requests: { inFlight: router.getInFlight(), waiting: router.countWaiting(), ...metrics.getTotals() },
      endpoints: pool.getStatus(),
      hosts: [
        { hostId: settings.hostId, domain: settings.domain, ...getPeerState() },
        ...peers.map(({ hostId, domain, rulesRevision, isLeaving, schedulerEpoch, isStoreReachable }) =>
          ({ hostId, domain, rulesRevision, isLeaving, schedulerEpoch, isStoreReachable }))
      ],
      domains: await jobs.getStatuses(),
      assertionFailures: getAssertionFailureCount(),
      lastAssertionFailure: getLastAssertionFailure()
    }
  }

  // Shutdown

  async function stop (): Promise<void> {
    logger.info('this host is shutting down')
    isLeaving = true
    await membership.announce().catch(() => {})
    await Promise.race([scheduler?.flush(), delay(flushTimeoutMs)])
    await leaseRef.lease?.stop()
    await membership.announce().catch(() => {})
    await delay(settings.leaveNoticeMs)
    await router.whenIdle()
    stopBackgroundTasks()
    // Connections from peers are closed at once: their calls are idempotent, and repeated calls would keep a connection open forever.
    await Promise.all([callersListener.close(), peersListener.destroy()])
    await router.close()
    logger.info('this host has shut down')
  }

  async function crash (): Promise<void> {
    stopBackgroundTasks()
    scheduler?.stop()
    leaseRef.lease?.abandon()
    await Promise.all([callersListener.destroy(), peersListener.destroy()])
    await router.close()
  }

  function stopBackgroundTasks (): void {
    isStopped = true
    membership.stop()
    distribution.stop()
    hostList.stop()
    claims.stop()
  }
}

async function dispatch (handler: HttpHandler | undefined, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (handler === undefined) response.writeHead(503).end()
  else await handler(request, response)
}

/** Methods for operators require an operator's token; all others require the token of the peers. */
function createAuthorizer (authenticate: Authenticate, operatorMethods: readonly RpcMethod[]): (token: string, method: string) => string {
  const operatorMethodNames = new Set(operatorMethods.map(method => method.name))
  return (token, method) => {
    const identity = authenticate(token)
    const requiredRole = operatorMethodNames.has(method) ? Role.Operator : Role.Peer
    if (identity.role !== requiredRole) throw createError(ErrorKind.Forbidden, `${method} requires a token with the role ${requiredRole}`)
    return identity.name
  }
}
