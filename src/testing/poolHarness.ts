/** A test harness: hosts with leader election and a scheduler, and in-memory stand-ins for the store and the workers, all on one clock. */
import { silentLogger } from '../common/logger.js'
import type { Logger } from '../common/logger.js'
import type { RpcClient } from '../common/rpcClient.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { delay } from '../common/time.js'
import type { Configuration } from '../configuration/configuration.js'
import { createLeaderElection } from '../election/leaderElection.js'
import type { LeaderElection, Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createJobIntake } from '../jobs/jobIntake.js'
import type { JobIntake } from '../jobs/jobIntake.js'
import { createDomainEvacuations } from '../evacuation/domainEvacuations.js'
import type { DomainEvacuations } from '../evacuation/domainEvacuations.js'
import { acceptedPrefix, progressPrefix } from '../jobs/jobKeys.js'
import { EndKind } from '../jobs/jobModel.js'
import type { JobSpec, Resources, StepSpec } from '../jobs/jobModel.js'
import type { KnownHost } from '../peers/hostDirectory.js'
import { createPeerWorkerMethods } from '../peers/peerWorkerMethods.js'
import { createRelayedPolls } from '../peers/relayedPolls.js'
import { createEndReaders, observeReports } from '../readers/endReaders.js'
import type { EndReaders } from '../readers/endReaders.js'
import type { AdvicePort } from '../runs/adviceCache.js'
import { grantPrefix } from '../runs/grantRecordFormat.js'
import { createScheduler } from '../runs/scheduler.js'
import type { Scheduler } from '../runs/scheduler.js'
import { createWarmStandby } from '../runs/warmStandby.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import { createConfirmedWrites } from '../store/confirmedWrites.js'
import { createStoreContact } from '../store/storeContact.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { createPoolState, createPoolWorker } from '../standins/poolWorker.js'
import type { PoolWorker, PoolState, RunBehaviour } from '../standins/poolWorker.js'
import { createWorkerSilence, SilenceCause } from '../standins/workerSilence.js'
import { readAll } from '../store/metadataStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { createWorkerList } from '../workers/workerList.js'
import type { ListedWorker, WorkerPort } from '../workers/workerPort.js'
import { createImpairedStore } from './impairedStore.js'

/** One host of the harness. */
export interface HarnessHost {
  readonly hostId: string
  readonly intake: JobIntake
  /** Simulates a crash: the host no longer reaches the store or the workers, and nobody is notified. */
  crash (): void
  stop (): Promise<void>
  /**
   * Freezes the host for `forMs`: what it sends and what is sent to it arrives after that. With `atRenewal`, from the moment at which the store has
   * executed its next lease renewal and the answer is on its way.
   */
  freeze (forMs: number, atRenewal?: boolean): void
  /** Cuts the host off from these workers, and from no others: calls are not executed and get no response. */
  setCutFromWorkers (workerIds: ReadonlySet<string>): void
  /** Tells whether the host runs and is not cut off from the worker. */
  canCall (workerId: string): boolean
  getTerm (): Term | undefined
  /** The scheduler of the host's latest term as leader. */
  getScheduler (): Scheduler | undefined
}

/** A start request, when it was sent. */
export interface HarnessOrder {
  readonly atMs: number
  readonly hostId: string
  readonly epoch: number
  readonly task: string
  readonly run: number
}

/** A running harness. */
export interface PoolHarness {
  /** The start requests of all hosts, in the order in which they were sent. */
  readonly orders: readonly HarnessOrder[]
  readonly store: MemoryStore
  readonly poolState: PoolState
  readonly workers: Map<string, PoolWorker>
  readonly hosts: Map<string, HarnessHost>
  /** Issues the request to evacuate a failure domain, or withdraws it. */
  setEvacuated (domain: string, isEvacuated: boolean): void
  addHost (hostId: string): HarnessHost
  /** Adds a worker to the list of workers, or removes it. */
  setListed (workerId: string, isListed: boolean): void
  setDraining (workerId: string, isDraining: boolean): void
  /** While set, the hosts cannot read the list of workers. */
  setListStale (isStale: boolean): void
  restartWorker (workerId: string): void
  /** Crashes a worker: it is away and comes back as a new life of its machine. Its entry leaves the list after a while unless the new life replaces it. */
  crashWorker (workerId: string, crash?: HarnessCrash): void
  /** Cuts a worker off from the store and the hosts for `cutMs`; behind the cut it crashes and starts anew, at its address, under its id or another one. */
  restartBehindCut (workerId: string, cutMs: number, keepsId: boolean): void
  /** Partitions a worker from the store: the list does not show what becomes of it, and its entry expires. */
  setCutFromStore (workerId: string, isCut: boolean): void
  setCapacity (workerId: string, capacity: Resources): void
  submit (job: JobSpec): Promise<void>
  stop (): Promise<void>
}

/** How long a worker that has crashed stays away, in ms, and whether it comes back under the id that it had. */
export interface HarnessCrash {
  readonly awayMs: number
  readonly keepsId: boolean
}

/** Options of the harness. */
export interface PoolHarnessOptions {
  readonly workers: number
  readonly workersPerRack?: number
  readonly getRun?: (task: string, run: number) => RunBehaviour
  readonly onStart?: PoolState['onStart']
  /** The crashes of workers for which none is given. */
  readonly crash?: HarnessCrash
  readonly logger?: Logger
  /** The random part of the delay with which a host runs for leader; always 0.5 by default. */
  readonly random?: () => number
  readonly maxLeaseMs?: number
  /** The age up to which a copy of the evacuation requests is current, in ms; without it the hosts know no evacuations. */
  readonly evacuationMaxAgeMs?: number
  /** How long the answer to a read of the evacuation requests takes, in ms; 0 by default. */
  readonly getEvacuationReadMs?: () => number
  /** The service of a worker; `pool` by default. */
  readonly getService?: (workerIndex: number) => string
  /** The failure domain of a worker; `a` by default. */
  readonly getDomain?: (workerIndex: number) => string
  /** Round trips between hosts and the store and the workers, in ms; 0 by default. */
  readonly storeRoundTripMs?: number
  readonly workerRoundTripMs?: number
  /** The list of workers is kept in the store, and every host polls it during its term. By default the hosts have it without a read. */
  readonly isListStored?: boolean
  /** The hosts are standbys in the order in which they were added. */
  readonly hasStandbys?: boolean
  /** A host that gets no answers from a worker polls it through the others. */
  readonly hasRelayedPolls?: boolean
  /** The hosts read ends while none of them schedules. */
  readonly hasEndReaders?: boolean
  /** The hosts know the others only from the store. */
  readonly hasEmptyDirectories?: boolean
  /** Tells whether calls between hosts are lost. */
  readonly isPeerCut?: () => boolean
  /** Wraps the store client of a host. */
  readonly interceptStore?: (hostId: string, client: MetadataStore) => MetadataStore
  /** Wraps the port of a host to a worker. */
  readonly interceptWorker?: (hostId: string, workerId: string, port: WorkerPort) => WorkerPort
  /** The shortest time to live of the leader's lease, in ms; 1 s by default. */
  readonly leaderTtlMs?: number
  /** Wraps the calls of hosts to a peer. */
  readonly interceptPeers?: (address: string, call: () => Promise<unknown>) => Promise<unknown>
  /** Wraps the port of a host to a worker for requests while no host schedules. */
  readonly interceptReader?: (hostId: string, port: WorkerPort) => WorkerPort
  readonly onEnd?: PoolState['onEnd']
  readonly onRequestDuringLoss?: PoolState['onRequestDuringLoss']
  /** The advice service; the stand-in workers do not check tickets. */
  readonly advice?: AdvicePort
  /** Returns the configuration of a host; undefined until the host has received one. */
  readonly getConfiguration?: (hostId: string) => Configuration | undefined
}

/** The capacity of each worker of the harness. */
export const harnessCapacity = { cpuMilli: 64_000, memoryMb: 256_000, accelerators: 8 }

/** The key prefix of the evacuation requests in the harness. */
export const harnessEvacuationPrefix = 'evacuations/'

const bornAtMs = 1_000
const listPrefix = 'workers/'

/** The configuration of the harness: a queue for urgent work of priority 0, and one for batch work of priority 2. */
export const harnessConfiguration: Configuration = {
  version: 1,
  limits: { maxBodyBytes: 262_144 },
  organisations: [{ name: 'mill', keys: ['key-of-mill'], guaranteedAccelerators: 16 }],
  queues: [
    { name: 'urgent', hostName: 'host', pathPrefix: '/urgent/', service: 'pool', priority: 0, attempts: 3, objectiveFactor: 1.5, objectiveMs: 500, timeoutMs: 3_000, isPublic: false },
    { name: 'batch', hostName: 'host', pathPrefix: '/batch/', service: 'pool', priority: 2, attempts: 3, objectiveFactor: 3, objectiveMs: 3_000, timeoutMs: 3_000, isPublic: true }
  ]
}

/** Returns a step with the given fields and minimal values for the others. */
export function makeStep (fields: Partial<StepSpec> = {}): StepSpec {
  return {
    count: 1,
    request: { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 1 },
    estimateMs: 500,
    after: [],
    isGang: false,
    isSameRack: false,
    isSpeculative: false,
    hasCheckpoints: false,
    isService: false,
    isFill: false,
    ...fields
  }
}

/** Returns a job for a queue, with the given steps and fields. */
export function makeJob (jobId: string, queue: string, steps: readonly StepSpec[], fields: Partial<JobSpec> = {}): JobSpec {
  return { jobId, queue, service: 'pool', organisation: 'mill', payload: `run ${jobId}`, steps, attemptLimit: 3, acceptedAtMs: Date.now(), ...fields }
}

/** Creates a harness with its workers; the test adds the hosts. */
export function createPoolHarness (options: PoolHarnessOptions): PoolHarness {
  const { logger = silentLogger, maxLeaseMs = 3_000, workersPerRack = 4 } = options
  const store = createMemoryStore()
  const jobs = new Map<string, JobSpec>()
  const workers = new Map<string, PoolWorker>()
  const hosts = new Map<string, HarnessHost>()
  const listedWorkers = new Map<string, ListedWorker>()
  /** The ids of all workers so far, with those that are gone. */
  const knownIds = new Set<string>()
  const refreshCallbacks = new Set<() => void>()
  const silence = createWorkerSilence({ onReport: report, onExpired: workerId => { setListed(workerId, false) } })
  const orders: HarnessOrder[] = []
  const ranks = new Map<string, number>()
  /** The methods that each living host serves for its peers, by its address. */
  const peerMethods = new Map<string, readonly RpcMethod[]>()
  let isListStale = false
  const poolState = createPoolState({
    jobs,
    defaultRequest: harnessCapacity,
    getRun: options.getRun ?? (() => ({ workMs: 500, how: EndKind.Done })),
    ...(options.onStart === undefined ? {} : { onStart: options.onStart }),
    ...(options.onEnd === undefined ? {} : { onEnd: options.onEnd }),
    ...(options.onRequestDuringLoss === undefined ? {} : { onRequestDuringLoss: options.onRequestDuringLoss }),
    maxLeaseMs,
    gangStartTimeoutMs: 1_500,
    stopDelayMs: 50
  })
  for (let workerIndex = 0; workerIndex < options.workers; workerIndex++) addWorker(workerIndex)
  storeList()

  const setCutFromStore = (workerId: string, isCut: boolean): void => { silence.set(workerId, SilenceCause.CutFromStore, isCut) }
  const setEvacuated = (domain: string, isEvacuated: boolean): void => { store.write(harnessEvacuationPrefix + domain, isEvacuated ? '{}' : undefined) }

  return { orders, store, poolState, workers, hosts, setEvacuated, addHost, setListed, setDraining, setListStale: isStale => { isListStale = isStale }, restartWorker, crashWorker, restartBehindCut, setCutFromStore, setCapacity, submit, stop }

  function addWorker (workerIndex: number): void {
    const rack = `rack-${Math.floor(workerIndex / workersPerRack)}`
    const workerId = `worker-${workerIndex}`
    addLife({ workerId, address: `${workerId}:1`, service: options.getService?.(workerIndex) ?? 'pool', domain: options.getDomain?.(workerIndex) ?? 'a', bornAtMs, isDraining: false, coldLeftMs: 0, capacity: harnessCapacity, labels: ['a', rack], rack, machineId: `machine-${workerIndex}` })
  }

  function addLife (info: ListedWorker): void {
    knownIds.add(info.workerId)
    workers.set(info.workerId, createPoolWorker(poolState, info, () => { crashWorker(info.workerId) }))
    listedWorkers.set(info.workerId, info)
  }

  function crashWorker (workerId: string, { awayMs, keepsId }: HarnessCrash = options.crash ?? { awayMs: 5_000, keepsId: false }): void {
    const worker = workers.get(workerId)
    if (worker === undefined || silence.has(workerId, SilenceCause.Down)) return
    worker.crash()
    if (!keepsId) workers.delete(workerId)
    silence.set(workerId, SilenceCause.Down, true)
    setTimeout(() => {
      if (keepsId) {
        worker.restart()
        silence.set(workerId, SilenceCause.Down, false)
        return
      }
      addLife({ ...worker.info, bornAtMs: Math.max(worker.info.bornAtMs + 1, Date.now()), workerId: `${workerId}+`, address: `${workerId}+:1` })
      refreshSchedulers()
    }, awayMs)
  }

  function restartBehindCut (workerId: string, cutMs: number, keepsId: boolean): void {
    const worker = workers.get(workerId)
    if (worker === undefined || silence.has(workerId, SilenceCause.Down)) return
    worker.setUnreachable(true)
    setCutFromStore(workerId, true)
    setTimeout(() => { crashWorker(workerId, { awayMs: keepsId ? cutMs / 4 : cutMs / 2, keepsId }) }, cutMs / 2)
    setTimeout(() => {
      worker.setUnreachable(false)
      setCutFromStore(workerId, false)
      if (workers.get(workerId) !== worker) worker.setReplaced()
    }, cutMs)
  }

  /** Lists what a worker says of itself, if the platform hears it. */
  function report (workerId: string): void {
    const worker = workers.get(workerId)
    if (worker !== undefined && !silence.has(workerId)) listedWorkers.set(workerId, worker.info)
    refreshSchedulers()
  }

  function setCapacity (workerId: string, capacity: Resources): void {
    workers.get(workerId)?.setCapacity(capacity)
    report(workerId)
  }

  function setListed (workerId: string, isListed: boolean): void {
    if (isListed) report(workerId)
    else {
      listedWorkers.delete(workerId)
      refreshSchedulers()
    }
  }

  function setDraining (workerId: string, isDraining: boolean): void {
    const info = listedWorkers.get(workerId)
    if (info !== undefined) listedWorkers.set(workerId, { ...info, isDraining })
    refreshSchedulers()
  }

  function restartWorker (workerId: string): void {
    if (silence.has(workerId, SilenceCause.Down)) return
    workers.get(workerId)?.restart()
    report(workerId)
  }

  function storeList (): void {
    if (options.isListStored !== true) return
    for (const info of listedWorkers.values()) {
      const value = JSON.stringify(info)
      if (store.peek(listPrefix + info.workerId) !== value) store.write(listPrefix + info.workerId, value)
    }
    for (const workerId of knownIds) if (!listedWorkers.has(workerId) && store.peek(listPrefix + workerId) !== undefined) store.write(listPrefix + workerId, undefined)
  }

  function refreshSchedulers (): void {
    storeList()
    for (const refresh of refreshCallbacks) refresh()
  }

  async function submit (job: JobSpec): Promise<void> {
    jobs.set(job.jobId, job)
    const [host] = hosts.values()
    await host?.intake.submit(job, performance.now() + 3_000)
  }

  function addHost (hostId: string): HarnessHost {
    let hasCrashed = false
    const { storeRoundTripMs: roundTripMs } = options
    const direct = store.connect(hostId)
    const connected = roundTripMs === undefined ? direct : createImpairedStore(direct, { roundTripMs, lostAnswers: 0, lostPackets: 0 }, () => 1)
    let frozenUntilMs = -Infinity
    let renewalFreezeMs: number | undefined
    let cutWorkers: ReadonlySet<string> = new Set()
    const awaitThaw = async (): Promise<void> => { while (performance.now() < frozenUntilMs) await delay(frozenUntilMs - performance.now()) }
    const freezeMethod = (method: RpcMethod): RpcMethod => ({
      ...method,
      handle: async (params, caller) => {
        await awaitThaw()
        return await method.handle(params, caller)
      }
    })
    const onStoreAnswer = (name: keyof MetadataStore): void => {
      if (name !== 'keepLeaseAlive' || renewalFreezeMs === undefined) return
      frozenUntilMs = performance.now() + renewalFreezeMs
      renewalFreezeMs = undefined
    }
    const { store: client, getContactMs } = createStoreContact(createConfirmedWrites({ store: freezeStore(failStoreAfterCrash(options.interceptStore?.(hostId, connected) ?? connected, () => hasCrashed), awaitThaw, onStoreAnswer) }))
    let term: Term | undefined
    let scheduler: Scheduler | undefined
    const rank = takeRank(hostId)
    const leaving = new AbortController()
    const standby = options.hasStandbys !== true
      ? undefined
      : createWarmStandby({
        store: client,
        logger: logger.withPrefix(hostId),
        prefixes: [acceptedPrefix, progressPrefix, listPrefix],
        isStandby: () => term === undefined || term.signal.aborted,
        signal: leaving.signal
      })
    const intake = createJobIntake({ store: client, logger })
    const connectWorker = (info: Pick<ListedWorker, 'workerId' | 'address'>): WorkerPort => freezePort(connect(hostId, info, () => hasCrashed || cutWorkers.has(info.workerId)), awaitThaw)
    let endReaders: EndReaders | undefined
    const connectToPeer = (address: string): RpcClient => connectPeer(address, awaitThaw, () => hasCrashed)
    const relayedPolls = options.hasRelayedPolls === true ? createRelayedPolls({ getPeers: () => getPeers(hostId), connect: connectToPeer }) : undefined
    const election: LeaderElection = createLeaderElection({
      store: client,
      hostId,
      logger: logger.withPrefix(hostId),
      random: options.random ?? (() => 0.5),
      isSmall: false,
      minTtlMs: options.leaderTtlMs ?? 1_000,
      ...(standby === undefined ? {} : { getStandbyRank: () => standby.isWarm() ? rank : undefined }),
      onLeaderSeen: () => { endReaders?.onLeaderSeen() },
      onElected: elected => {
        term = elected
        const evacuations = createEvacuations(elected, client, () => { scheduler?.refresh() })
        const readInitial = standby === undefined ? undefined : (prefix: string) => standby.read(prefix, elected.epoch)
        const list = options.isListStored !== true
          ? { get: () => [...listedWorkers.values()], isCurrent: () => !isListStale }
          : createWorkerList({
            store: client,
            logger: logger.withPrefix(hostId),
            prefix: listPrefix,
            decode: (_key, value) => JSON.parse(value) as ListedWorker,
            onChanged: () => { scheduler?.refresh() },
            maxAgeMs: 2_200,
            signal: elected.signal,
            readInitial
          })
        scheduler = createScheduler({
          term: elected,
          store: client,
          logger: logger.withPrefix(hostId),
          bounds: { maxLeaseMs, stopMs: 400, retentionMs: 120_000, reclaimMs: 2_900, noticeMs: 1_000 },
          getListedWorkers: list.get,
          isWorkerListCurrent: list.isCurrent,
          getStoreContactMs: getContactMs,
          readInitial,
          ...(evacuations === undefined ? {} : { evacuations }),
          ...(options.advice === undefined ? {} : { advice: options.advice }),
          connect: info => observeReports(options.interceptWorker?.(hostId, info.workerId, connectWorker(info)) ?? connectWorker(info), info.workerId, (...report) => { endReaders?.onOwnReport(...report) }),
          pollThroughPeers: relayedPolls?.poll,
          getConfiguration: () => options.getConfiguration === undefined ? harnessConfiguration : options.getConfiguration(hostId)
        })
      }
    })
    if (options.hasEndReaders === true) {
      endReaders = createEndReaders({
        logger: logger.withPrefix(hostId),
        hostId,
        domain: 'a',
        getPeers: () => options.hasEmptyDirectories === true ? [] : getPeers(hostId),
        connect: connectToPeer,
        connectWorker: info => options.interceptReader?.(hostId, connectWorker(info)) ?? connectWorker(info),
        readPeers: async () => getPeers(hostId),
        readWorkers: async () => (standby?.peek(listPrefix) ?? (await readAll(client, listPrefix)).items).map(({ value }) => JSON.parse(value) as ListedWorker),
        hasGrantRecord: async () => (await client.range(grantPrefix)).items.length > 0,
        getLeaderView: election.getLeaderView,
        getOwnTerm: () => term === undefined || term.signal.aborted ? { isPolling: false } : { epoch: term.epoch, isPolling: term.isValid() && scheduler?.isPolling() === true },
        applyEnds: ends => { scheduler?.applyReadEnds(ends) },
        signal: leaving.signal
      })
    }
    const methods = [...createPeerWorkerMethods({ connect: connectWorker, onReport: endReaders?.onRelayedReport }), ...(endReaders?.methods ?? []).map(freezeMethod)]
    peerMethods.set(hostId, methods)
    refreshCallbacks.add(() => { scheduler?.refresh() })
    const host: HarnessHost = {
      hostId,
      intake,
      freeze: (forMs, atRenewal = false) => {
        if (atRenewal) renewalFreezeMs = forMs
        else frozenUntilMs = performance.now() + forMs
      },
      setCutFromWorkers: workerIds => { cutWorkers = workerIds },
      canCall: workerId => !hasCrashed && performance.now() >= frozenUntilMs && !cutWorkers.has(workerId),
      getTerm: () => term,
      getScheduler: () => scheduler,
      crash: () => {
        hasCrashed = true
        peerMethods.delete(hostId)
        leaving.abort()
        hosts.delete(hostId)
      },
      stop: async () => {
        hosts.delete(hostId)
        leaving.abort()
        await election.stop()
      }
    }
    hosts.set(hostId, host)
    return host
  }

  function createEvacuations (term: Term, client: MetadataStore, onRead: () => void): DomainEvacuations | undefined {
    if (options.evacuationMaxAgeMs === undefined) return undefined
    return createDomainEvacuations({
      store: { ...client, range: async (...parameters) => await delayAnswer(client.range(...parameters)) },
      logger,
      prefix: harnessEvacuationPrefix,
      decodeDomain: key => key.slice(harnessEvacuationPrefix.length) || undefined,
      onRead,
      maxAgeMs: options.evacuationMaxAgeMs,
      minRevision: term.epoch,
      signal: term.signal
    })
  }

  async function delayAnswer<T> (answer: Promise<T>): Promise<T> {
    const value = await answer
    const delayMs = options.getEvacuationReadMs?.() ?? 0
    if (delayMs > 0) await delay(delayMs)
    return value
  }

  /** Returns the first rank that no living host has. */
  function takeRank (hostId: string): number {
    const taken = new Set([...hosts.keys()].map(name => ranks.get(name)))
    let rank = 0
    while (taken.has(rank)) rank++
    ranks.set(hostId, rank)
    return rank
  }

  function getPeers (ownId: string): readonly KnownHost[] {
    return [...peerMethods.keys()].filter(hostId => hostId !== ownId).map(hostId => ({ hostId, address: hostId, domain: 'a', hasFastLink: true }))
  }

  /** Connects a host to another one; a host that is frozen or has crashed does not call. */
  function connectPeer (address: string, awaitThaw: () => Promise<void>, hasCrashed: () => boolean): RpcClient {
    return {
      call: async <T>(methodName: string, params: unknown, timeoutMs?: number): Promise<T> => {
        const answer = handle(methodName, params) as Promise<T>
        return timeoutMs === undefined ? await answer : await Promise.race([answer, failAfter(timeoutMs)])
      }
    }

    async function handle (methodName: string, params: unknown): Promise<unknown> {
      await awaitThaw()
      if (options.isPeerCut?.() === true) await new Promise<never>(() => {})
      const method = hasCrashed() ? undefined : peerMethods.get(address)?.find(({ name }) => name === methodName)
      if (method === undefined) throw createError(ErrorKind.PeerUnreachable, 'the host is down')
      const serve = async (): Promise<unknown> => await method.handle(params, { from: '', identity: '' })
      const answer = await (options.interceptPeers?.(address, serve) ?? serve())
      await awaitThaw()
      if (hasCrashed()) throw createError(ErrorKind.PeerUnreachable, 'the host is down')
      return answer
    }
  }

  async function failAfter (timeoutMs: number): Promise<never> {
    await delay(timeoutMs)
    throw createError(ErrorKind.AnswerLost, 'the host did not respond')
  }

  function connect (hostId: string, info: Pick<ListedWorker, 'workerId' | 'address'>, isCut: () => boolean): WorkerPort {
    const port = workers.get(info.workerId)?.connect()
    const halfTripMs = (options.workerRoundTripMs ?? 0) / 2
    const failAfterCrash = <A, T>(call: (argument: A) => Promise<T>) => async (argument: A): Promise<T> => {
      if (isCut() || port === undefined || info.address === '') throw createError(ErrorKind.AnswerLost, 'the worker did not respond')
      if (halfTripMs > 0) await delay(halfTripMs)
      const response = await call(argument)
      if (halfTripMs > 0) await delay(halfTripMs)
      if (isCut()) throw createError(ErrorKind.AnswerLost, 'the worker did not respond')
      return response
    }
    return {
      start: async request => {
        if (!isCut()) orders.push({ atMs: performance.now(), hostId, epoch: request.epoch, task: request.task, run: request.run })
        return await failAfterCrash((argument: typeof request) => (port as WorkerPort).start(argument))(request)
      },
      stop: failAfterCrash(request => (port as WorkerPort).stop(request)),
      renewLease: failAfterCrash(request => (port as WorkerPort).renewLease(request)),
      pace: failAfterCrash(request => (port as WorkerPort).pace(request)),
      close: () => {}
    }
  }

  function failStoreAfterCrash (client: MetadataStore, hasCrashed: () => boolean): MetadataStore {
    return new Proxy(client, {
      get: (target, name: keyof MetadataStore) => async (...parameters: never[]) => {
        if (hasCrashed()) throw createError(ErrorKind.AnswerLost, 'the store did not respond')
        return await (target[name] as (...values: never[]) => Promise<unknown>)(...parameters)
      }
    })
  }

  function freezeStore (client: MetadataStore, awaitThaw: () => Promise<void>, onAnswer: (name: keyof MetadataStore) => void): MetadataStore {
    return new Proxy(client, {
      get: (target, name: keyof MetadataStore) => async (...parameters: never[]) => {
        await awaitThaw()
        try {
          return await (target[name] as (...values: never[]) => Promise<unknown>)(...parameters)
        } finally {
          onAnswer(name)
          await awaitThaw()
        }
      }
    })
  }

  function freezePort (port: WorkerPort, awaitThaw: () => Promise<void>): WorkerPort {
    const freeze = <A, T>(call: (argument: A) => Promise<T>) => async (argument: A): Promise<T> => {
      await awaitThaw()
      try {
        return await call(argument)
      } finally {
        await awaitThaw()
      }
    }
    return { start: freeze(port.start), stop: freeze(port.stop), renewLease: freeze(port.renewLease), pace: freeze(port.pace), close: port.close }
  }

  async function stop (): Promise<void> {
    for (const worker of workers.values()) worker.stop()
    await Promise.all([...hosts.values()].map(host => host.stop()))
  }
}
