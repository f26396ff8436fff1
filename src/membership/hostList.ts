/** The platform's list of hosts: a hint that lags. */
import { createRpcClient } from '../common/rpc.js'
import { createSignal, jitter } from '../common/time.js'
import type { Signal } from '../common/time.js'
import type { Logger } from '../common/logger.js'
import type { WorkerInfo } from '../scheduling/workerTypes.js'

/** What a listed host is. */
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

/** The answer of the list; no hosts when nothing changed since the revision asked for. */
export interface HostListAnswer {
  readonly revision: number
  readonly hosts?: readonly ListedHost[]
}

/** The method of the platform's list. */
export const hostListMethod = 'hosts.list'

/** The last answer of the list. An outage of the list leaves it as it was. */
export interface HostList {
  readonly changed: Signal
  /** Grows with each change of the list. */
  getRevision (): number
  get (kind: HostKind): readonly ListedHost[]
  getWorkers (domain: string): readonly WorkerInfo[]
  stop (): void
}

const pollMs = 1_000
const pollJitter = 0.3

/** Starts to poll the list at `address`. */
export function createHostList (address: string, from: string, logger: Logger, random: () => number): HostList {
  const rpc = createRpcClient(address, { from })
  const changed = createSignal()
  const stopped = createSignal()
  let hosts: readonly ListedHost[] = []
  let revision = -1
  let isStopped = false
  let isAnswering = true
  void poll()

  return {
    changed,
    getRevision: () => revision,
    get: kind => hosts.filter(host => host.kind === kind),
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
      const answer = await rpc.call<HostListAnswer>(hostListMethod, { sinceRevision: revision })
      if (!isAnswering) logger.info('the host list answers again')
      isAnswering = true
      if (answer.hosts === undefined) return
      hosts = answer.hosts
      revision = answer.revision
      changed.notify()
    } catch (error) {
      if (isAnswering) logger.warn('the host list does not answer', { error: String(error) })
      isAnswering = false
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
