/** Emulates the platform on loopback for the real daemon: the store, a pool of workers and their entries in the store. */
import type { EndKind, JobSpec, Resources } from '../../jobs/jobModel.js'
import { createMemoryStore } from '../../standins/memoryStore.js'
import type { MemoryStore } from '../../standins/memoryStore.js'
import { createPoolState, createPoolWorker } from '../../standins/poolWorker.js'
import type { PoolWorker, PoolState } from '../../standins/poolWorker.js'
import { createWorkerSilence, SilenceCause } from '../../standins/workerSilence.js'
import { evacuationPrefix } from '../evacuationKeys.js'
import { configurationKey } from '../platformConfiguration.js'
import { workerListPrefix } from '../workerEntries.js'
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
  /** How long a run of the task takes, in ms, and how it ends. */
  readonly getRun: (task: string, run: number) => { readonly workMs: number, readonly how: EndKind }
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
  /** Partitions the worker from the store: its entry does not change, and expires. */
  setCutFromStore (worker: PoolWorker, isCut: boolean): void
  configure (configuration: object): void
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
  const workerServers = new Map<PoolWorker, EmulatedServer>()
  const silence = createWorkerSilence({
    onReport: workerId => { workers.filter(({ info }) => info.workerId === workerId).forEach(writeEntry) },
    onExpired: workerId => { store.write(workerListPrefix + workerId, undefined) }
  })
  const poolState = createPoolState({
    jobs,
    defaultRequest: capacity,
    getRun: options.getRun,
    ...(options.onStart === undefined ? {} : { onStart: options.onStart }),
    maxLeaseMs: options.maxLeaseMs,
    gangStartTimeoutMs: 2_000,
    stopDelayMs: 100
  })
  const storeServer = await listenEmulated(createEmulatedStore(store.connect(storeClientId)))
  const workers: PoolWorker[] = []
  const servers = [storeServer]
  for (let index = 0; index < options.workers; index++) await addWorker(index)

  return { store, storeAddress: storeServer.address, poolState, workers, addJob: job => { jobs.set(job.jobId, job) }, setDraining, setEvacuated, restart, crash, setCutFromStore, configure, stop }

  async function addWorker (index: number): Promise<void> {
    const rack = `rack-${Math.floor(index / options.workersPerRack)}`
    const info = { workerId: `i-${index}`, service: emulatedService, domain: options.getDomain?.(index) ?? 'a', bornAtMs: Date.now(), isDraining: false, coldLeftMs: 0, capacity, labels: ['a', rack], rack }
    const worker: PoolWorker = createPoolWorker(poolState, { ...info, address: '' })
    const server = await listenEmulated(createEmulatedWorker(worker))
    servers.push(server)
    workers.push(worker)
    workerServers.set(worker, server)
    writeEntry(worker)
  }

  function writeEntry (worker: PoolWorker): void {
    const { workerId, service, domain, bornAtMs, labels } = worker.info
    if (silence.has(workerId)) return
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

  function setCutFromStore ({ info }: PoolWorker, isCut: boolean): void {
    silence.set(info.workerId, SilenceCause.CutFromStore, isCut)
  }

  function configure (configuration: object): void {
    store.write(configurationKey, JSON.stringify(configuration))
  }

  function stop (): void {
    for (const worker of workers) worker.stop()
    for (const server of servers) server.close()
  }
}
