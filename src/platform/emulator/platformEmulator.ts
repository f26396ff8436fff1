/** Emulates the platform on loopback for the real daemon: the store, a pool of workers and their entries in the store. */
import { assert } from '../../common/assertions.js'
import { createSignal } from '../../common/time.js'
import type { JobSpec, Resources } from '../../jobs/jobModel.js'
import { createMemoryStore } from '../../standins/memoryStore.js'
import type { MemoryStore } from '../../standins/memoryStore.js'
import { createPoolState, createPoolWorker } from '../../standins/poolWorker.js'
import type { PoolWorker, PoolState } from '../../standins/poolWorker.js'
import { createWorkerSilence, SilenceCause } from '../../standins/workerSilence.js'
import { evacuationPrefix } from '../evacuationKeys.js'
import { configurationKey } from '../platformConfiguration.js'
import { workerListPrefix } from '../workerEntries.js'
import { createAnswerFaults } from './answerFaults.js'
import type { AnswerFaults } from './answerFaults.js'
import { listenEmulated } from './emulatedHttp.js'
import type { EmulatedServer } from './emulatedHttp.js'
import { createEmulatedStore } from './emulatedStore.js'
import { createEmulatedWorker } from './emulatedWorker.js'

/** The pool of the emulator and how its workers behave. */
export interface PlatformEmulatorOptions {
  readonly workers: number
  readonly workersPerRack: number
  readonly capacity: Resources
  readonly maxLeaseMs: number
  /** The failure domain of a worker; `a` by default. */
  readonly getDomain?: (workerIndex: number) => string
  readonly onStart?: PoolState['onStart']
  readonly onEnd?: PoolState['onEnd']
  /** How a run of the task behaves. */
  readonly getRun: PoolState['getRun']
}

/** The running emulator. */
export interface PlatformEmulator {
  readonly store: MemoryStore
  readonly storeAddress: string
  readonly poolState: PoolState
  readonly workers: readonly PoolWorker[]
  /** Registers a job's steps: the protocol passes only its payload to the workers. */
  addJob (job: JobSpec): void
  setDraining (worker: PoolWorker, isDraining: boolean): void
  /** Issues the operators' request to evacuate a failure domain, or withdraws it. */
  setEvacuated (domain: string, isEvacuated: boolean): void
  /** Crashes the worker and starts a new incarnation. */
  restart (worker: PoolWorker): void
  /** Crashes the worker: its connections drop, and after `awayMs` it starts again under its id and address. */
  crash (worker: PoolWorker, awayMs: number): void
  /** Ends the worker for good: its connections drop, new ones are refused, and its entry expires. */
  leave (worker: PoolWorker): void
  /** Adds a worker under a new id and address. */
  addWorker (): Promise<void>
  /** Removes the worker's entry from the store for `forMs` although the worker lives. */
  hideEntry (worker: PoolWorker, forMs: number): void
  getAnswerFaults (worker: PoolWorker): AnswerFaults
  /** Tells whether the scheduler can and may start something on the worker: it is up, listed, not draining and not in an evacuated domain. */
  isUsable (worker: PoolWorker): boolean
  isUp (worker: PoolWorker): boolean
  /** Partitions the worker from the store: its entry does not change, and expires. */
  setCutFromStore (worker: PoolWorker, isCut: boolean): void
  configure (configuration: object): void
  /** While set, reads and watches of the configuration get no answer; all else of the store is served. */
  holdConfiguration (isHeld: boolean): void
  stop (): void
}

/** The client id that all hosts share in the emulated store; faults of single hosts are injected in their proxies. */
export const storeClientId = 'any'

const emulatedService = 'pool'

/** Starts the emulator. */
export async function startPlatformEmulator (options: PlatformEmulatorOptions): Promise<PlatformEmulator> {
  const { capacity } = options
  const store = createMemoryStore()
  const jobs = new Map<string, JobSpec>()
  const draining = new Set<PoolWorker>()
  const evacuated = new Set<string>()
  const hidden = new Set<PoolWorker>()
  const workerServers = new Map<PoolWorker, EmulatedServer>()
  const answerFaults = new Map<PoolWorker, AnswerFaults>()
  const silence = createWorkerSilence({
    onReport: workerId => { workers.filter(({ info }) => info.workerId === workerId).forEach(writeEntry) },
    onExpired: workerId => { store.write(workerListPrefix + workerId, undefined) }
  })
  const poolState = createPoolState({
    jobs,
    defaultRequest: capacity,
    getRun: options.getRun,
    onStart: options.onStart,
    onEnd: options.onEnd,
    maxLeaseMs: options.maxLeaseMs,
    gangStartTimeoutMs: 2_000,
    stopDelayMs: 100,
    isRealTime: true
  })
  let isConfigurationHeld = false
  const configurationReleased = createSignal()
  const handleStoreCall = createEmulatedStore(store.connect(storeClientId))
  const storeServer = await listenEmulated(async (method, url, body, headers) => {
    const response = await handleStoreCall(method, url, body, headers)
    while (isConfigurationHeld && url.searchParams.get('prefix') === configurationKey) await configurationReleased.wait()
    return response
  })
  const workers: PoolWorker[] = []
  const servers = [storeServer]
  for (let index = 0; index < options.workers; index++) await addWorker()

  return {
    store,
    storeAddress: storeServer.address,
    poolState,
    workers,
    addJob: job => { jobs.set(job.jobId, job) },
    setDraining,
    setEvacuated,
    restart,
    crash,
    leave,
    addWorker,
    hideEntry,
    getAnswerFaults,
    isUsable: worker => isUp(worker) && !silence.has(worker.info.workerId) && !hidden.has(worker) && !draining.has(worker) && !evacuated.has(worker.info.domain),
    isUp,
    setCutFromStore,
    configure,
    holdConfiguration,
    stop
  }

  async function addWorker (): Promise<void> {
    const index = workers.length
    const rack = `rack-${Math.floor(index / options.workersPerRack)}`
    const info = { workerId: `i-${index}`, service: emulatedService, domain: options.getDomain?.(index) ?? 'a', bornAtMs: Date.now(), isDraining: false, coldLeftMs: 0, capacity, labels: ['a', rack], rack }
    const worker: PoolWorker = createPoolWorker(poolState, { ...info, address: '' })
    workers.push(worker)
    const faults = createAnswerFaults(createEmulatedWorker(worker))
    answerFaults.set(worker, faults)
    const server = await listenEmulated(faults.handle)
    servers.push(server)
    workerServers.set(worker, server)
    writeEntry(worker)
  }

  function writeEntry (worker: PoolWorker): void {
    const { workerId, service, domain, bornAtMs, labels } = worker.info
    if (silence.has(workerId) || hidden.has(worker)) return
    store.write(workerListPrefix + workerId, JSON.stringify({
      service,
      addr: workerServers.get(worker)?.address,
      zone: domain,
      version: 'v1',
      slots: 8,
      state: draining.has(worker) ? 'draining' : 'ready',
      capacity: { cpu: capacity.cpuMilli, memMb: capacity.memoryMb, gpu: capacity.accelerators },
      labels,
      born: bornAtMs,
      seq: 1
    }))
  }

  function setDraining (worker: PoolWorker, isDraining: boolean): void {
    if (isDraining) draining.add(worker)
    else draining.delete(worker)
    writeEntry(worker)
  }

  function setEvacuated (domain: string, isEvacuated: boolean): void {
    if (isEvacuated) evacuated.add(domain)
    else evacuated.delete(domain)
    store.write(evacuationPrefix + domain, isEvacuated ? '{}' : undefined)
  }

  function restart (worker: PoolWorker): void {
    if (silence.has(worker.info.workerId, SilenceCause.Down)) return
    worker.restart()
    writeEntry(worker)
  }

  function crash (worker: PoolWorker, awayMs: number): void {
    const { workerId } = worker.info
    if (silence.has(workerId, SilenceCause.Down)) return
    worker.crash()
    workerServers.get(worker)?.setDown(true)
    silence.set(workerId, SilenceCause.Down, true)
    setTimeout(() => {
      worker.restart()
      workerServers.get(worker)?.setDown(false)
      silence.set(workerId, SilenceCause.Down, false)
    }, awayMs).unref()
  }

  function leave (worker: PoolWorker): void {
    worker.crash()
    worker.stop()
    workerServers.get(worker)?.close()
    silence.set(worker.info.workerId, SilenceCause.Down, true)
  }

  function hideEntry (worker: PoolWorker, forMs: number): void {
    hidden.add(worker)
    store.write(workerListPrefix + worker.info.workerId, undefined)
    setTimeout(() => {
      hidden.delete(worker)
      writeEntry(worker)
    }, forMs).unref()
  }

  function getAnswerFaults (worker: PoolWorker): AnswerFaults {
    const faults = answerFaults.get(worker)
    assert(faults !== undefined, 'the worker is one of the emulator')
    return faults
  }

  function isUp ({ info }: PoolWorker): boolean {
    return !silence.has(info.workerId, SilenceCause.Down)
  }

  function setCutFromStore ({ info }: PoolWorker, isCut: boolean): void {
    silence.set(info.workerId, SilenceCause.CutFromStore, isCut)
  }

  function configure (configuration: object): void {
    store.write(configurationKey, JSON.stringify(configuration))
  }

  function holdConfiguration (isHeld: boolean): void {
    isConfigurationHeld = isHeld
    configurationReleased.notify()
  }

  function stop (): void {
    for (const worker of workers) worker.stop()
    for (const server of servers) server.close()
  }
}
