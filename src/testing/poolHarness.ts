/** A test harness: hosts with leader election and a scheduler, and in-memory stand-ins for the store and the workers, all on one clock. */
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Logger } from '../common/logger.js'
import type { Configuration } from '../configuration/configuration.js'
import { createLeaderElection } from '../election/leaderElection.js'
import type { LeaderElection, Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createJobIntake } from '../jobs/jobIntake.js'
import type { JobIntake } from '../jobs/jobIntake.js'
import { createDomainEvacuations } from '../evacuation/domainEvacuations.js'
import type { DomainEvacuations } from '../evacuation/domainEvacuations.js'
import { EndKind } from '../jobs/jobModel.js'
import type { JobSpec, Resources, StepSpec } from '../jobs/jobModel.js'
import { createScheduler } from '../runs/scheduler.js'
import type { Scheduler } from '../runs/scheduler.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { createPoolState, createPoolWorker } from '../standins/poolWorker.js'
import type { PoolWorker, PoolState, RunBehaviour } from '../standins/poolWorker.js'
import type { MetadataStore } from '../store/metadataStore.js'
import type { ListedWorker, WorkerPort } from '../workers/workerPort.js'

/** One host of the harness. */
export interface HarnessHost {
  readonly hostId: string
  readonly intake: JobIntake
  /** Simulates a crash: the host no longer reaches the store or the workers, and nobody is notified. */
  crash (): void
  stop (): Promise<void>
  getTerm (): Term | undefined
  /** The scheduler of the host's latest term as leader. */
  getScheduler (): Scheduler | undefined
}

/** A running harness. */
export interface PoolHarness {
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
  /** Crashes a worker: it is away, leaves the list after a while and comes back as a new life of its machine. */
  crashWorker (workerId: string): void
  setCapacity (workerId: string, capacity: Resources): void
  submit (job: JobSpec): Promise<void>
  stop (): Promise<void>
}

/** Options of the harness. */
export interface PoolHarnessOptions {
  readonly workers: number
  readonly workersPerRack?: number
  readonly getRun?: (task: string, run: number) => RunBehaviour
  readonly onStart?: PoolState['onStart']
  /** How long a worker that has crashed stays away, in ms, and whether it comes back under the id that it had. */
  readonly crash?: { readonly awayMs: number, readonly keepsId: boolean }
  readonly logger?: Logger
  readonly maxLeaseMs?: number
  /** The age up to which a copy of the evacuation requests is current, in ms; without it the hosts know no evacuations. */
  readonly evacuationMaxAgeMs?: number
  /** How long the answer to a read of the evacuation requests takes, in ms; 0 by default. */
  readonly getEvacuationReadMs?: () => number
  /** The failure domain of a worker; `a` by default. */
  readonly getDomain?: (workerIndex: number) => string
  /** Returns the configuration of a host; undefined until the host has received one. */
  readonly getConfiguration?: (hostId: string) => Configuration | undefined
}

/** The capacity of each worker of the harness. */
export const harnessCapacity = { cpuMilli: 64_000, memoryMb: 256_000, accelerators: 8 }

/** The key prefix of the evacuation requests in the harness. */
export const harnessEvacuationPrefix = 'evacuations/'

const bornAtMs = 1_000
/** A worker that is silent leaves the list after this time, in ms. */
const listTimeoutMs = 4_500

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
  const refreshCallbacks = new Set<() => void>()
  /** Workers that have crashed and are not back. */
  const away = new Set<string>()
  let isListStale = false
  const poolState = createPoolState({
    jobs,
    defaultRequest: harnessCapacity,
    getRun: options.getRun ?? (() => ({ workMs: 500, how: EndKind.Done })),
    ...(options.onStart === undefined ? {} : { onStart: options.onStart }),
    maxLeaseMs,
    gangStartTimeoutMs: 1_500,
    stopDelayMs: 50
  })
  for (let workerIndex = 0; workerIndex < options.workers; workerIndex++) addWorker(workerIndex)

  const setEvacuated = (domain: string, isEvacuated: boolean): void => { store.write(harnessEvacuationPrefix + domain, isEvacuated ? '{}' : undefined) }

  return { store, poolState, workers, hosts, setEvacuated, addHost, setListed, setDraining, setListStale: isStale => { isListStale = isStale }, restartWorker, crashWorker, setCapacity, submit, stop }

  function addWorker (workerIndex: number): void {
    const rack = `rack-${Math.floor(workerIndex / workersPerRack)}`
    const workerId = `worker-${workerIndex}`
    addLife({ workerId, address: `${workerId}:1`, service: 'pool', domain: options.getDomain?.(workerIndex) ?? 'a', bornAtMs, isDraining: false, coldLeftMs: 0, capacity: harnessCapacity, labels: ['a', rack], rack, machineId: `machine-${workerIndex}` })
  }

  function addLife (info: ListedWorker): void {
    workers.set(info.workerId, createPoolWorker(poolState, info, () => { crashWorker(info.workerId) }))
    listedWorkers.set(info.workerId, info)
  }

  function crashWorker (workerId: string): void {
    const worker = workers.get(workerId)
    if (worker === undefined || away.has(workerId)) return
    away.add(workerId)
    const { awayMs, keepsId } = options.crash ?? { awayMs: 5_000, keepsId: false }
    worker.restart()
    worker.setUnreachable(true)
    if (!keepsId) workers.delete(workerId)
    setTimeout(() => { setListed(workerId, false) }, Math.min(awayMs, listTimeoutMs))
    setTimeout(() => {
      away.delete(workerId)
      if (keepsId) {
        worker.setUnreachable(false)
        setListed(workerId, true)
        return
      }
      const info = { ...worker.info, workerId: `${workerId}+`, address: `${workerId}+:1` }
      addLife(info)
      refreshSchedulers()
    }, awayMs)
  }

  function setCapacity (workerId: string, capacity: Resources): void {
    const info = workers.get(workerId)?.setCapacity(capacity)
    if (info !== undefined) listedWorkers.set(workerId, info)
    refreshSchedulers()
  }

  function setListed (workerId: string, isListed: boolean): void {
    const worker = workers.get(workerId)
    if (!isListed) listedWorkers.delete(workerId)
    else if (worker !== undefined) listedWorkers.set(workerId, worker.info)
    refreshSchedulers()
  }

  function setDraining (workerId: string, isDraining: boolean): void {
    const info = listedWorkers.get(workerId)
    if (info !== undefined) listedWorkers.set(workerId, { ...info, isDraining })
    refreshSchedulers()
  }

  function restartWorker (workerId: string): void {
    const info = workers.get(workerId)?.restart()
    if (info !== undefined) listedWorkers.set(workerId, info)
    refreshSchedulers()
  }

  function refreshSchedulers (): void {
    for (const refresh of refreshCallbacks) refresh()
  }

  async function submit (job: JobSpec): Promise<void> {
    jobs.set(job.jobId, job)
    const [host] = hosts.values()
    await host?.intake.submit(job, performance.now() + 3_000)
  }

  function addHost (hostId: string): HarnessHost {
    let hasCrashed = false
    const client = failStoreAfterCrash(store.connect(hostId), () => hasCrashed)
    let term: Term | undefined
    let scheduler: Scheduler | undefined
    const intake = createJobIntake({ store: client, logger })
    const election: LeaderElection = createLeaderElection({
      store: client,
      hostId,
      logger: logger.withPrefix(hostId),
      random: () => 0.5,
      isSmall: false,
      minTtlMs: 1_000,
      onElected: elected => {
        term = elected
        const evacuations = createEvacuations(elected, client, () => { scheduler?.refresh() })
        scheduler = createScheduler({
          term: elected,
          store: client,
          logger: logger.withPrefix(hostId),
          bounds: { maxLeaseMs, stopMs: 400, retentionMs: 120_000, reclaimMs: 2_900, noticeMs: 1_000 },
          getListedWorkers: () => [...listedWorkers.values()],
          isWorkerListCurrent: () => !isListStale,
          connect: info => connect(info, () => hasCrashed),
          ...(evacuations === undefined ? {} : { evacuations }),
          getConfiguration: () => options.getConfiguration === undefined ? harnessConfiguration : options.getConfiguration(hostId)
        })
      }
    })
    refreshCallbacks.add(() => { scheduler?.refresh() })
    const host: HarnessHost = {
      hostId,
      intake,
      getTerm: () => term,
      getScheduler: () => scheduler,
      crash: () => {
        hasCrashed = true
        hosts.delete(hostId)
      },
      stop: async () => {
        hosts.delete(hostId)
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

  function connect (info: ListedWorker, hasCrashed: () => boolean): WorkerPort {
    const port = workers.get(info.workerId)?.connect()
    const failAfterCrash = <A, T>(call: (argument: A) => Promise<T>) => async (argument: A): Promise<T> => {
      if (hasCrashed() || port === undefined || info.address === '') throw createError(ErrorKind.AnswerLost, 'the worker did not respond')
      const response = await call(argument)
      if (hasCrashed()) throw createError(ErrorKind.AnswerLost, 'the worker did not respond')
      return response
    }
    return {
      start: failAfterCrash(request => (port as WorkerPort).start(request)),
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

  async function stop (): Promise<void> {
    for (const worker of workers.values()) worker.stop()
    await Promise.all([...hosts.values()].map(host => host.stop()))
  }
}
