/** Client of the platform's host list. The list may be out of date, so it is used only as a hint. */
import { createHttpRpcClient } from '../common/httpRpcClient.js'
import { createSignal, jitter } from '../common/time.js'
import type { Signal } from '../common/time.js'
import type { Logger } from '../common/logger.js'
import type { WorkerInfo } from '../scheduling/workerTypes.js'

/** Role of a listed host. */
export enum HostKind {
  Worker = 'worker',
  Endpoint = 'endpoint',
  Entry = 'entry'
}

/** A host on the list. */
export interface ListedHost {
  readonly id: string
  readonly kind: HostKind
  readonly address: string
  readonly domain: string
  readonly region: string
  readonly isLeaving: boolean
  readonly rack?: string
  readonly processors?: number
  readonly memoryBytes?: number
  readonly accelerators?: number
  readonly service?: string
  readonly slots?: number
}

/** Response of the host list service; `hosts` is absent when the list has not changed since the requested revision. */
export interface HostListResponse {
  readonly revision: number
  readonly hosts?: readonly ListedHost[]
}

/** RPC method of the host list service. */
export const hostListMethod = 'hosts.list'

/** The last known host list. It stays unchanged while the service is unreachable. */
export interface HostList {
  readonly changed: Signal
  /** Increases with each change of the list. */
  getRevision (): number
  getByKind (kind: HostKind): readonly ListedHost[]
  getWorkers (domain: string): readonly WorkerInfo[]
  stop (): void
}

const pollMs = 1_000
const pollJitter = 0.3

/** Starts polling the host list service at `address`. */
export function createHostList (address: string, from: string, logger: Logger, random: () => number): HostList {
  const rpc = createHttpRpcClient(address, { from })
  const changed = createSignal()
  const stopped = createSignal()
  let hosts: readonly ListedHost[] = []
  let revision = -1
  let isStopped = false
  let isReachable = true
  void poll()

  return {
    changed,
    getRevision: () => revision,
    getByKind: kind => hosts.filter(host => host.kind === kind),
    getWorkers: domain => hosts.filter(host => host.kind === HostKind.Worker && host.domain === domain).map(toWorkerInfo),
    stop: () => {
      isStopped = true
      stopped.notify()
    }
  }

  async function poll (): Promise<void> {
    while (!isStopped) {
      await pollOnce()
      await stopped.wait(jitter(pollMs, pollJitter, random))
    }
  }

  async function pollOnce (): Promise<void> {
    try {
      const response = await rpc.call<HostListResponse>(hostListMethod, { sinceRevision: revision })
      if (!isReachable) logger.info('the host list service is reachable again')
      isReachable = true
      if (response.hosts === undefined) return
      hosts = response.hosts
      revision = response.revision
      changed.notify()
    } catch (error) {
      if (isReachable) logger.warn('cannot read the host list; keeping the last known list', { error: String(error) })
      isReachable = false
    }
  }
}

function toWorkerInfo (host: ListedHost): WorkerInfo {
  return {
    workerId: host.id,
    address: host.address,
    domain: host.domain,
    rack: host.rack ?? '',
    processors: host.processors ?? 0,
    memoryBytes: host.memoryBytes ?? 0,
    accelerators: host.accelerators ?? 0,
    isLeaving: host.isLeaving
  }
}
