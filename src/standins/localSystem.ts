/** A complete system in one process on the loopback interface: the stand-ins for the platform, and entry hosts. */
import { startEntryHost } from '../entry/entryHost.js'
import type { EntryHost } from '../entry/entryHost.js'
import type { Logger } from '../common/logger.js'
import { createRandom } from '../common/random.js'
import { createHttpRpcClient } from '../common/httpRpcClient.js'
import type { RpcClient } from '../common/rpcClient.js'
import { HostKind } from '../membership/hostList.js'
import type { EntrySettings } from '../settings/settings.js'
import { entrySettingsSchema } from '../settings/settings.js'
import { startEndpointStandin } from './endpoint.js'
import type { EndpointStandin } from './endpoint.js'
import { startHostListStandin } from './hosts.js'
import type { HostListStandin } from './hosts.js'
import { startStoreStandin } from './store.js'
import type { StoreStandin } from './store.js'
import { startWorkerStandin } from './worker.js'
import type { WorkerStandin } from './worker.js'

/** The size of one failure domain. Each domain is in a region of the same name. */
export interface LocalDomain {
  readonly name: string
  readonly workers: number
  readonly workersPerRack: number
  readonly endpoints: number
  readonly hosts: number
}

/** Configuration of the system. */
export interface LocalSystemOptions {
  readonly domains: readonly LocalDomain[]
  readonly organisations: readonly string[]
  readonly serviceMs?: number
  readonly checkpointMs?: number
  readonly listLagMs?: number
  readonly leaveNoticeMs?: number
  readonly seed?: number
  readonly logger: Logger
}

/** A running system. */
export interface LocalSystem {
  readonly store: StoreStandin
  readonly hostList: HostListStandin
  readonly workers: ReadonlyMap<string, WorkerStandin>
  readonly endpoints: ReadonlyMap<string, EndpointStandin>
  readonly hosts: Map<string, EntryHost>
  startHost (hostId: string, domain: string): Promise<EntryHost>
  /** Starts or ends a network partition between a failure domain and all other domains, the store and the host list. */
  setPartitioned (domain: string, isPartitioned: boolean): void
  /** Stops an entry host immediately, as a crash would. */
  crashHost (hostId: string): Promise<void>
  /** Returns the addresses to which the load balancer sends callers' requests, one for each host. */
  getAddresses (): readonly string[]
  connectOperator (): RpcClient
  getToken (organisation: string): string
  stop (): Promise<void>
}

const loopback = '127.0.0.1'
const peerToken = 'peer-token-for-trials'
const operatorToken = 'operator-token-for-trials'
const processorsPerWorker = 64
const memoryBytesPerWorker = 256 * 2 ** 30
const loopbackListen = { host: loopback, port: 0 }

/** Starts a system. */
export async function startLocalSystem (options: LocalSystemOptions): Promise<LocalSystem> {
  const store = await startStoreStandin(loopbackListen)
  const hostList = await startHostListStandin(loopbackListen, [], options.listLagMs ?? 300)
  const workers = new Map<string, WorkerStandin>()
  const endpoints = new Map<string, EndpointStandin>()
  const hosts = new Map<string, EntryHost>()
  const leaving = new Set<string>()
  const domainsByAddress = new Map<string, string>()
  const domainsByHostId = new Map<string, string>()
  const partitionedDomains = new Set<string>()
  let hostCount = 0

  for (const domain of options.domains) await startDomain(domain)

  return {
    store,
    hostList,
    workers,
    endpoints,
    hosts,
    startHost,
    setPartitioned,
    crashHost,
    getAddresses: () => [...hosts.values()].filter(host => !leaving.has(host.hostId)).map(host => host.callersAddress),
    connectOperator: () => {
      const [host] = hosts.values()
      return createHttpRpcClient(host?.peersAddress ?? '', { token: operatorToken, from: 'operator', timeoutMs: 15_000 })
    },
    getToken,
    stop
  }

  async function startDomain (domain: LocalDomain): Promise<void> {
    for (let index = 0; index < domain.workers; index++) await startWorker(domain, index)
    for (let index = 0; index < domain.endpoints; index++) await startEndpoint(domain, index)
    for (let index = 0; index < domain.hosts; index++) await startHost(`${domain.name}-h${index}`, domain.name)
  }

  async function startWorker (domain: LocalDomain, index: number): Promise<void> {
    const id = `${domain.name}-w${String(index).padStart(2, '0')}`
    const worker = await startWorkerStandin(loopbackListen, { accelerators: 8, checkpointMs: options.checkpointMs })
    workers.set(id, worker)
    hostList.set({
      id,
      kind: HostKind.Worker,
      address: worker.address,
      domain: domain.name,
      region: domain.name,
      isLeaving: false,
      rack: `${domain.name}-r${Math.floor(index / domain.workersPerRack)}`,
      processors: processorsPerWorker,
      memoryBytes: memoryBytesPerWorker,
      accelerators: 8
    })
  }

  async function startEndpoint (domain: LocalDomain, index: number): Promise<void> {
    const id = `${domain.name}-e${index}`
    const endpoint = await startEndpointStandin(loopbackListen, { name: id, slots: 8, serviceMs: options.serviceMs ?? 5 })
    endpoints.set(id, endpoint)
    hostList.set({ id, kind: HostKind.Endpoint, address: endpoint.address, domain: domain.name, region: domain.name, isLeaving: false, slots: 8 })
  }

  async function startHost (hostId: string, domain: string): Promise<EntryHost> {
    const host = await startEntryHost(createSettings(hostId, domain), options.logger, createRandom((options.seed ?? 1) * 1_000 + hostCount++), address => isPartitioned(domain, address))
    domainsByAddress.set(host.peersAddress, domain)
    domainsByHostId.set(hostId, domain)
    updatePartitions()
    hosts.set(hostId, host)
    hostList.set({ id: hostId, kind: HostKind.Entry, address: host.peersAddress, domain, region: domain, isLeaving: false })
    return host
  }

  function createSettings (hostId: string, domain: string): EntrySettings {
    return entrySettingsSchema.parse({
      hostId,
      domain,
      region: domain,
      callersListen: loopbackListen,
      peersListen: loopbackListen,
      store: store.address,
      hostList: hostList.address,
      peers: [...hosts.values()].map(host => host.peersAddress),
      peerToken,
      operators: [{ name: 'malee', token: operatorToken }, { name: 'niran', token: operatorToken + '-2' }],
      organisations: options.organisations.map(organisation => ({ organisation, token: getToken(organisation) })),
      leaveNoticeMs: options.leaveNoticeMs ?? 1_000
    })
  }

  function isPartitioned (domain: string, address: string): boolean {
    const other = domainsByAddress.get(address)
    return other !== undefined && other !== domain && (partitionedDomains.has(domain) || partitionedDomains.has(other))
  }

  function setPartitioned (domain: string, isPartitionedNow: boolean): void {
    if (isPartitionedNow) partitionedDomains.add(domain)
    else partitionedDomains.delete(domain)
    updatePartitions()
  }

  function updatePartitions (): void {
    const cutOffFrom = [...domainsByHostId].filter(([, domain]) => partitionedDomains.has(domain)).map(([hostId]) => hostId)
    store.faults.set({ cutOffFrom })
    hostList.faults.set({ cutOffFrom })
  }

  async function crashHost (hostId: string): Promise<void> {
    const host = hosts.get(hostId)
    hosts.delete(hostId)
    hostList.remove(hostId)
    await host?.crash()
  }

  async function stop (): Promise<void> {
    await Promise.all([...hosts.values()].map(host => host.crash()))
    await Promise.all([...workers.values(), ...endpoints.values()].map(standin => standin.close()))
    await Promise.all([store.close(), hostList.close()])
  }
}

function getToken (organisation: string): string {
  return `token-of-${organisation}`
}
