/** The daemon of one host on the platform: reads the settings, and creates and connects the components when it is loaded. */
import type { Server } from 'node:http'
import { createAdmissionControl } from '../admission/admissionControl.js'
import type { ClientLimits } from '../common/clientBudget.js'
import { createGuardedServer } from '../common/guardedServer.js'
import type { GuardedServer, GuardedServerHost } from '../common/guardedServer.js'
import { createRateLimitedLogger } from '../common/rateLimitedLogger.js'
import { createHostMetrics } from '../common/hostMetrics.js'
import { createDaemonLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createConfigurationFollower, createFollowMethod, EvidenceSource } from '../configuration/configurationPeers.js'
import { createConfigurationReplica } from '../configuration/configurationReplica.js'
import { createLeaderElection } from '../election/leaderElection.js'
import type { Term } from '../election/leaderElection.js'
import { createJobIntake } from '../jobs/jobIntake.js'
import { acceptedPrefix, progressPrefix } from '../jobs/jobKeys.js'
import { createHostDirectory, readHosts } from '../peers/hostDirectory.js'
import { createPeerStoreMethods } from '../peers/peerStoreMethods.js'
import { createPeerWorkerMethods, maxWaitingPolls } from '../peers/peerWorkerMethods.js'
import { createRelayedPolls } from '../peers/relayedPolls.js'
import { createRelayedStore } from '../peers/relayedStore.js'
import { createRpcHandler, maxRpcBodyBytes } from '../common/rpcServer.js'
import { createDomainEvacuations } from '../evacuation/domainEvacuations.js'
import type { DomainEvacuations } from '../evacuation/domainEvacuations.js'
import { createEndReaders, observeReports } from '../readers/endReaders.js'
import { grantPrefix } from '../runs/grantRecordFormat.js'
import { createScheduler } from '../runs/scheduler.js'
import type { Scheduler } from '../runs/scheduler.js'
import { createWarmStandby, maxStandbys } from '../runs/warmStandby.js'
import { readAll } from '../store/metadataStore.js'
import type { PrefixSnapshot } from '../store/prefixReplica.js'
import { createConfirmedWrites } from '../store/confirmedWrites.js'
import type { LateWriteOutcome } from '../store/confirmedWrites.js'
import { createStoreContact } from '../store/storeContact.js'
import { createMaintenanceWaves } from '../maintenance/maintenanceWaves.js'
import { createWorkerList } from '../workers/workerList.js'
import type { WorkerList } from '../workers/workerList.js'
import { evacuationPrefix, tryDecodeEvacuationKey } from './evacuationKeys.js'
import { createPeerConnections } from './peerConnections.js'
import { createJobApi } from './jobApi.js'
import { configurationKey, decodeConfiguration, defaultMaxBodyBytes } from './platformConfiguration.js'
import { loadPlatformSettings } from './platformSettings.js'
import { getPortLimits } from './portLimits.js'
import { createAdviceClient, createMachineClient, encodeWaveStatus, tryDecodeWave, wavePrefix, waveStatusPrefix } from './serviceClients.js'
import { createHttpStore } from './httpStore.js'
import { createHttpWorker } from './httpWorker.js'
import { tryDecodeWorker, workerListPrefix } from './workerEntries.js'

/** The metrics port of every host; `deploy/system.toml` contains it too. */
const metricsPort = 7_014
/** The host keeps serving this long after it reports not ready: the platform reacts after two failed probes, 1 s apart. */
const leaveNoticeMs = 2_600
/** The process exits this long before the platform would kill it. */
const killMarginMs = 1_200
/** Hosts below these limits count as small: scheduling 246 workers took up to 0.43 of a core, 3 Mbit/s, and reads of 1 MB. */
const smallCpuShare = 0.5
const smallLinkMbps = 50
/** Allowance for the differences between the clocks of hosts, in ms, in the age of a configuration that was confirmed through a peer. */
const clockMarginMs = 100
/** Time for a start request to reach its worker, in ms, within the time in which a drain or an evacuation has to be known. */
const startMarginMs = 300
/** A host does not run for scheduler for this long after an uncaught error, so that another host is elected in the meantime. */
const faultCandidacyPauseMs = 5_000
/** The share of the store's writes that all hosts together may spend on cancellations of jobs that are not stored. */
const earlyCancelWriteShare = 0.25
/** A request has to be whole within this time, in ms. Callers of the platform wait for 3 s. */
const requestTimeoutMs = 60_000

const settings = loadPlatformSettings()
const logger = createRateLimitedLogger(createDaemonLogger({ host: settings.hostId }))
const metrics = createHostMetrics()
const stopping = new AbortController()
/** The direct store, used by the scheduler and the election. The job API uses `relayedStore`, which may also reach the store through peers. */
const { store, getContactMs: getStoreContactMs } = createStoreContact(createConfirmedWrites({ store: createHttpStore(settings.storeAddress), onLateWrite }))
const peersAddress = `${settings.ipAddress}:${settings.peersPort}`
const hasFastLink = settings.linkMbps >= smallLinkMbps
const isSmall = settings.cpuShare < smallCpuShare || !hasFastLink
const directory = createHostDirectory({
  store,
  logger: logger.withPrefix('peers'),
  ownHost: { hostId: settings.hostId, address: peersAddress, domain: settings.domain, hasFastLink, isSmall },
  getRoundTripMs: () => election.getRoundTripMs(),
  signal: stopping.signal
})
const relayedStore = createRelayedStore({
  direct: store,
  logger: logger.withPrefix('peers'),
  getPeers: directory.getPeers,
  connect: createPeerConnections(),
  getConfigurationVersion: () => configuration.get()?.version
})
let scheduler: Scheduler | undefined
let currentTerm: Term | undefined
let evacuations: DomainEvacuations | undefined
let workerList: WorkerList | undefined

const configuration = createConfigurationReplica({
  store: relayedStore,
  follower: createConfigurationFollower({
    logger: logger.withPrefix('configuration'),
    getPeers: () => directory.getPeers().filter(peer => peer.hasFastLink).map(({ address, domain }) => ({ address, isInOwnDomain: domain === settings.domain })),
    connect: createPeerConnections(),
    random: Math.random
  }),
  prefersPeers: !hasFastLink,
  maxAgeMs: settings.configurationBoundMs - clockMarginMs,
  logger: logger.withPrefix('configuration'),
  key: configurationKey,
  decode: decodeConfiguration,
  onChanged: () => { scheduler?.refresh() },
  signal: stopping.signal
})
const intake = createJobIntake({ store: relayedStore, logger: logger.withPrefix('jobs'), getKnownOutageMs, getMinCancelIntervalMs })
const admission = settings.refusesForLoad ? createAdmissionControl({ store: relayedStore, logger: logger.withPrefix('admission'), random: Math.random, margin: settings.refusalMargin }) : undefined
const election = createLeaderElection({
  store,
  hostId: settings.hostId,
  logger: logger.withPrefix('election'),
  random: Math.random,
  isSmall,
  minTtlMs: settings.storeMinTtlMs,
  getStandbyRank: () => standby.isWarm() ? directory.getRank() : undefined,
  onElected: startTerm,
  onLeaderSeen: () => { endReaders.onLeaderSeen() }
})
const standby = createWarmStandby({
  store,
  logger: logger.withPrefix('standby'),
  prefixes: [acceptedPrefix, progressPrefix, workerListPrefix],
  isStandby: () => (directory.getRank() ?? maxStandbys) < maxStandbys && (currentTerm === undefined || currentTerm.signal.aborted),
  signal: stopping.signal
})
const connectPeer = createPeerConnections()
const endReaders = createEndReaders({
  logger: logger.withPrefix('readers'),
  metrics,
  hostId: settings.hostId,
  domain: settings.domain,
  getPeers: directory.getPeers,
  readPeers: async () => (await readHosts(store)).filter(({ hostId }) => hostId !== settings.hostId),
  connect: connectPeer,
  connectWorker: createHttpWorker,
  readWorkers: async () => (standby.peek(workerListPrefix) ?? (await readAll(store, workerListPrefix)).items).flatMap(({ key, value }) => tryDecodeWorker(key, value) ?? []),
  hasGrantRecord: async () => (await store.range(grantPrefix)).items.length > 0,
  getLeaderView: election.getLeaderView,
  getOwnTerm: () => currentTerm === undefined || currentTerm.signal.aborted ? { isPolling: false } : { epoch: currentTerm.epoch, isPolling: currentTerm.isValid() && scheduler?.isPolling() === true },
  applyEnds: ends => { scheduler?.applyReadEnds(ends) },
  signal: stopping.signal
})
const handleJobCall = createJobApi({ configuration, intake, admission, maxTasksPerJob: settings.maxTasksPerJob, getKnownOutageMs, logger: logger.withPrefix('callers'), metrics, isStopping: () => stopping.signal.aborted })
const portLimits = getPortLimits(settings.memoryMb, settings.maxDescriptors)
const callersPort = createPort('callers', portLimits.callers, handleJobCall, () => configuration.get()?.limits.maxBodyBytes ?? defaultMaxBodyBytes)
const jobApiServer = listen(settings.callersAddress, callersPort.server)
listen(settings.readyAddress, createPort('ready', portLimits.probes, async (_request, response) => {
  const isReady = configuration.isCurrent() && configuration.isStoreReached() && !stopping.signal.aborted
  response.writeHead(isReady ? 200 : 503).end()
}).server)
const relayedPolls = createRelayedPolls({ getPeers: directory.getPeers, connect: connectPeer, connectWaiting: createPeerConnections(maxWaitingPolls) })
const servePeers = createRpcHandler([
  ...createPeerStoreMethods({
    direct: store,
    isDirectUnavailable: relayedStore.isDirectUnavailable,
    onConfigurationVersion: version => { configuration.noteVersion(version, EvidenceSource.Peer) }
  }),
  ...createPeerWorkerMethods({ connect: createHttpWorker, onReport: endReaders.onRelayedReport }),
  ...endReaders.methods,
  createFollowMethod(configuration)
])
const peersPort = createPort('peers', portLimits.peers, servePeers, () => maxRpcBodyBytes)
listen(peersAddress, peersPort.server)
listen(`${settings.ipAddress}:${metricsPort}`, createPort('metrics', portLimits.probes, async (request, response) => {
  if (request.url === '/status') response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify(getStatus()))
  else response.writeHead(200, { 'Content-Type': 'text/plain; version=0.0.4' }).end(getMetrics())
}).server)
process.on('SIGHUP', reloadSettings)
process.on('uncaughtException', onUncaughtError)
process.on('unhandledRejection', onUncaughtError)
logger.info('the host has started', { ...settings, upMs: Math.round(process.uptime() * 1_000) })

function startTerm (term: Term): void {
  currentTerm = term
  const readInitial = (prefix: string): Promise<PrefixSnapshot> => standby.read(prefix, term.epoch)
  const list = createWorkerList({
    store,
    logger: logger.withPrefix('workers'),
    prefix: workerListPrefix,
    decode: tryDecodeWorker,
    onChanged: () => { scheduler?.refresh() },
    maxAgeMs: settings.drainNoticeMs - startMarginMs,
    signal: term.signal,
    readInitial
  })
  workerList = list
  evacuations = createEvacuations(term)
  scheduler = createScheduler({
    term,
    store,
    logger: logger.withPrefix('scheduler'),
    bounds: settings,
    getListedWorkers: list.get,
    isWorkerListCurrent: list.isCurrent,
    getStoreContactMs,
    connect: info => observeReports(createHttpWorker(info), info.workerId, endReaders.onOwnReport),
    pollThroughPeers: relayedPolls.poll,
    getConfiguration: configuration.get,
    onVersionSeen: version => { configuration.noteVersion(version, EvidenceSource.AcceptedJob) },
    ...(evacuations === undefined ? {} : { evacuations }),
    readInitial,
    ...(settings.adviceAddress === undefined ? {} : { advice: createAdviceClient(settings.adviceAddress) })
  })
  if (settings.machinesAddress === undefined) return
  const { tryDrain, returnToService } = scheduler
  createMaintenanceWaves({
    store,
    term,
    logger: logger.withPrefix('upkeep'),
    hostId: settings.hostId,
    machines: createMachineClient(settings.machinesAddress),
    wavePrefix,
    statusPrefix: waveStatusPrefix,
    decodeWave: tryDecodeWave,
    encodeStatus: encodeWaveStatus,
    holderPauseMs: settings.holderPauseMs,
    tryDrain,
    returnToService
  })
}

function createEvacuations (term: Term): DomainEvacuations | undefined {
  if (settings.evacuationBoundMs === undefined) return undefined
  return createDomainEvacuations({
    store,
    logger: logger.withPrefix('evacuation'),
    prefix: evacuationPrefix,
    decodeDomain: tryDecodeEvacuationKey,
    onRead: () => { scheduler?.refresh() },
    maxAgeMs: settings.evacuationBoundMs - startMarginMs,
    minRevision: term.epoch,
    signal: term.signal
  })
}

/** How long the store has been unavailable to this host both directly and through peers, in ms. */
function getKnownOutageMs (): number {
  return configuration.isStoreReached() ? 0 : relayedStore.getDirectOutageMs()
}

function getMinCancelIntervalMs (): number {
  const hosts = directory.getPeers().length + 1
  return 1_000 * hosts / (earlyCancelWriteShare * settings.storeWritesPerS)
}

function getMetrics (): string {
  metrics.setGauge('configuration_version', configuration.get()?.version ?? 0)
  const { version = 0, newestKnownVersion = 0, undecoded, undecodedEntries } = configuration.describe()
  metrics.setGauge('configuration_age_ms', Math.round(configuration.getAgeMs()))
  metrics.setGauge('configuration_versions_behind', Math.max(0, newestKnownVersion - version))
  metrics.setGauge('configuration_undecoded', undecoded === undefined ? 0 : 1)
  metrics.setGauge('configuration_undecoded_entries', undecodedEntries)
  metrics.setGauge('is_scheduler', currentTerm?.isValid() === true ? 1 : 0)
  metrics.setGauge('ignored_worker_entries', currentTerm?.isValid() === true ? workerList?.countIgnored() ?? 0 : 0)
  if (settings.evacuationBoundMs !== undefined) {
    const copy = currentTerm?.isValid() === true ? evacuations : undefined
    metrics.setGauge('evacuated_domains', copy?.getRequests().size ?? 0)
    metrics.setGauge('evacuations_age_ms', Math.round(copy?.getAgeMs() ?? 0))
  }
  metrics.setGauge('callers_connections', callersPort.budget.countConnections())
  metrics.setGauge('callers_held_bytes', callersPort.budget.getHeldBytes())
  metrics.setGauge('peers_connections', peersPort.budget.countConnections())
  metrics.setGauge('peers_held_bytes', peersPort.budget.getHeldBytes())
  return metrics.getText()
}

function onLateWrite (outcome: LateWriteOutcome, copies: number): void {
  metrics.count('late_store_writes', outcome)
  for (let copy = 1; copy < copies; copy++) metrics.count('repeated_store_writes')
}

/** The body of `/status`; the host that is the scheduler includes its scheduling state. */
function getStatus (): object {
  const { newestKnownVersion, undecoded, undecodedEntries } = configuration.describe()
  return {
    host: settings.hostId,
    scheduler: election.getLeader(),
    configurationVersion: configuration.get()?.version,
    configurationAgeMs: Math.round(configuration.getAgeMs()),
    newestKnownConfigurationVersion: newestKnownVersion,
    undecodedConfigurationEntries: undecodedEntries,
    ...(undecoded === undefined ? {} : { undecodedConfiguration: undecoded }),
    isStoreReached: configuration.isStoreReached(),
    isStoreReachedThroughPeers: relayedStore.isDirectUnavailable() && configuration.isStoreReached(),
    peers: directory.getPeers().map(({ hostId }) => hostId),
    ...(currentTerm?.isValid() === true ? { scheduling: scheduler?.getStatus() } : {})
  }
}

/**
 * Handles an uncaught error. The scheduler's state may be corrupt, so this host resigns and another one starts from the stored state.
 * The job API keeps serving, since it holds no state between two calls.
 */
function onUncaughtError (error: unknown): void {
  metrics.count('faults')
  logger.error('uncaught error', { error: error instanceof Error ? error.stack : String(error), isScheduler: currentTerm?.isValid() ?? false })
  currentTerm?.resign('uncaught error', faultCandidacyPauseMs)
}

/** Only reports whether the file has changed: addresses and names are fixed for the life of the process, so the settings in use stay. */
function reloadSettings (): void {
  try {
    const changed = JSON.stringify(loadPlatformSettings()) !== JSON.stringify(settings)
    logger.info('the settings file has been read again; changes apply after a restart', { changed })
  } catch (error) {
    logger.error('the settings file cannot be read again', { error: String(error) })
  }
}

function createPort (name: string, limits: ClientLimits, handle: GuardedServerHost['handle'], getMaxBodyBytes = () => 0): GuardedServer {
  return createGuardedServer({
    limits,
    handle,
    getMaxBodyBytes,
    onRefused: cause => {
      metrics.count('refused_clients', `${name} ${cause}`)
      logger.warn('a client is refused', { port: name, cause })
    },
    options: { requestTimeout: requestTimeoutMs }
  })
}

function listen (address: string | undefined, server: Server): Server {
  const [host, port] = (address ?? '').split(':')
  server.on('error', error => { logger.error('cannot listen on the address', { address, error: String(error) }) })
  if (address !== undefined) server.listen(Number(port), host)
  return server
}

/** Stops gracefully: reports not ready, hands over the scheduler term, and serves callers until the platform routes them elsewhere. */
export async function stop (): Promise<void> {
  if (stopping.signal.aborted) return
  logger.info('the host stops')
  stopping.abort()
  await election.stop()
  await delay(leaveNoticeMs)
  const closed = new Promise<void>(resolve => { jobApiServer.close(() => { resolve() }) })
  jobApiServer.closeIdleConnections()
  await Promise.race([closed, delay(settings.graceMs - leaveNoticeMs - killMarginMs)])
  logger.info('the host has stopped')
  process.exit(0)
}
