/** Stand-in for the platform's list of live and leaving hosts; readers see its changes after a delay. */
import { z } from 'zod'
import { listenHttp } from '../common/http.js'
import type { ListenAddress } from '../common/http.js'
import { createRpcHandler, defineMethod } from '../common/rpcServer.js'
import { HostKind, hostListMethod } from '../membership/hostList.js'
import type { HostListResponse, ListedHost } from '../membership/hostList.js'
import { createFaultControl } from './faults.js'
import type { FaultControl, Faults } from './faults.js'

/** Schema of a listed host, in settings and in calls. */
export const listedHostSchema = z.strictObject({
  id: z.string().min(1),
  kind: z.enum(HostKind),
  address: z.string(),
  domain: z.string(),
  region: z.string(),
  isLeaving: z.boolean().default(false),
  rack: z.string().optional(),
  processors: z.number().optional(),
  memoryBytes: z.number().optional(),
  accelerators: z.number().int().min(0).max(8).optional(),
  service: z.string().optional(),
  slots: z.number().int().optional()
})

/** A stand-in for the host list, listening on TCP. */
export interface HostListStandin {
  readonly address: string
  readonly faults: FaultControl
  /** Adds or replaces a host; readers see the change after `lagMs`. */
  set (host: ListedHost): void
  remove (id: string): void
  close (): Promise<void>
}

interface Version {
  readonly visibleAtMs: number
  readonly revision: number
  readonly hosts: readonly ListedHost[]
}

/** Starts the stand-in for the host list. */
export async function startHostListStandin (
  listen: ListenAddress, initial: readonly ListedHost[], lagMs: number, faults: Partial<Faults> = {}
): Promise<HostListStandin> {
  const hosts = new Map(initial.map(host => [host.id, host]))
  const control = createFaultControl(faults)
  let versions: Version[] = [{ visibleAtMs: 0, revision: 1, hosts: [...initial] }]
  const methods = [
    defineMethod(hostListMethod, z.strictObject({ sinceRevision: z.number() }), async params => listHosts(params.sinceRevision)),
    defineMethod('hosts.set', listedHostSchema, async host => {
      set(host)
      return true
    }),
    defineMethod('hosts.remove', z.strictObject({ id: z.string() }), async params => {
      remove(params.id)
      return true
    })
  ]
  const listener = await listenHttp(listen, control.wrap(createRpcHandler(methods)))
  return { address: listener.address, faults: control, set, remove, close: listener.destroy }

  function listHosts (sinceRevision: number): HostListResponse {
    const visible = versions.filter(version => version.visibleAtMs <= Date.now())
    const newest = visible.at(-1) as Version
    versions = versions.slice(visible.length - 1)
    return newest.revision === sinceRevision ? { revision: newest.revision } : { revision: newest.revision, hosts: newest.hosts }
  }

  function set (host: ListedHost): void {
    hosts.set(host.id, host)
    appendVersion()
  }

  function remove (id: string): void {
    hosts.delete(id)
    appendVersion()
  }

  function appendVersion (): void {
    const revision = (versions.at(-1)?.revision ?? 0) + 1
    versions.push({ visibleAtMs: Date.now() + lagMs, revision, hosts: [...hosts.values()] })
  }
}
