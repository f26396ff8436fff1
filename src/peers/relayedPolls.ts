/** Polls of workers through other hosts, for a scheduler that gets no answers from them: a cut, or lost answers, may concern only some hosts. */
import * as z from 'zod/mini'
import type { RpcClient } from '../common/rpcClient.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { EndKind } from '../jobs/jobModel.js'
import type { ListedWorker, RelayedPoll, WorkerStatusReport } from '../workers/workerPort.js'
import type { KnownHost } from './hostDirectory.js'
import { peerWorkerMethods, relayedAnswerTimeoutMs } from './peerWorkerMethods.js'
import { peerCallTimeoutMs } from './relayedStore.js'

/** Dependencies of the relayed polls. */
export interface RelayedPollsHost {
  readonly getPeers: () => readonly KnownHost[]
  readonly connect: (address: string) => RpcClient
  /** Returns a client for calls that wait, so that they do not hold up the others; the usual one by default. */
  readonly connectWaiting?: (address: string) => RpcClient
}

/** Polls workers through other hosts. */
export interface RelayedPolls {
  /**
   * Asks several hosts at once, others each time, and returns the first report that arrives. Errors: `stale-epoch` if the worker has had a request with a higher
   * epoch; `overloaded` if this host, or the one that reached the worker last, has too many polls under way: that shows nothing about the worker; `answer-lost` if
   * no host has got an answer in time.
   */
  poll (worker: Pick<ListedWorker, 'workerId' | 'address'>, poll: RelayedPoll): Promise<WorkerStatusReport>
}

/** The hosts that one poll asks: a cut may concern nine hosts in ten, and the worker may soon be gone. */
const hostsPerPoll = 3
/** The same for a poll that waits at the worker: it is sent for as long as answers are being lost, and one of two answers suffices. */
const hostsPerWaitingPoll = 2
/**
 * The most polls under way of workers that no host has reached, and of those besides that one has. Load: a loss of a region, of which some 60 workers held runs,
 * costs 70 calls to other hosts a second, and the polls of these workers do not hold up those that extend leases. Nor do
 * those that wait, at most 16 of which cost some 30 calls a second, or those that wait where an end decides whether other work may start.
 */
const maxActivePolls = { unreached: 16, reached: 16, waiting: 16, decisive: 24 } as const
/** The most workers that are remembered; beyond it, all are forgotten, and the next polls ask the hosts from the start of the list. */
const maxRoutes = 1_000

/** The way to one worker. */
interface Route {
  /** Where on the list of hosts the next poll begins. */
  nextPeer: number
  /** The same for polls that wait. */
  nextWaitingPeer: number
  /** The host through which the worker was reached by its latest poll. */
  reachedThrough?: string | undefined
}

const runningSchema = z.object({ task: z.string(), run: z.int(), checkpoint: z.string(), progressPercent: z.number(), usage: z.optional(z.number()) })
const endedSchema = z.object({ sequence: z.int(), task: z.string(), run: z.int(), how: z.enum(EndKind), checkpoint: z.string() })
const reportSchema = z.object({ clockMs: z.number(), bornAtMs: z.optional(z.number()), running: z.array(runningSchema), ended: z.array(endedSchema) })

/** Creates the relayed polls of one host. */
export function createRelayedPolls ({ getPeers, connect, connectWaiting = connect }: RelayedPollsHost): RelayedPolls {
  const routes = new Map<string, Route>()
  const activePolls = { unreached: 0, reached: 0, waiting: 0, decisive: 0 }

  return { poll }

  async function poll (worker: Pick<ListedWorker, 'workerId' | 'address'>, request: RelayedPoll): Promise<WorkerStatusReport> {
    const route = getRoute(worker.workerId)
    const isWaiting = (request.waitMs ?? 0) > 0
    const kind = isWaiting ? (request.isDecisive === true ? 'decisive' : 'waiting') : route.reachedThrough === undefined ? 'unreached' : 'reached'
    if (activePolls[kind] >= maxActivePolls[kind]) throw createError(ErrorKind.Overloaded, 'the maximum number of relayed polls is under way')
    activePolls[kind]++
    try {
      const { address, report } = await Promise.any(selectPeers(route, isWaiting).map(async address => ({ address, report: await pollThrough(address, worker, request) })))
      if (!isWaiting) route.reachedThrough = address
      return report
    } catch (error) {
      const selected = selectError(error)
      // What becomes of a poll that waits does not change the way of those that extend the lease.
      if (!isWaiting && !isErrorOfKind(selected, ErrorKind.Overloaded)) route.reachedThrough = undefined
      throw selected
    } finally {
      activePolls[kind]--
    }
  }

  async function pollThrough (address: string, { workerId, address: workerAddress }: Pick<ListedWorker, 'workerId' | 'address'>, request: RelayedPoll): Promise<WorkerStatusReport> {
    const { epoch, lease, waitMs = 0 } = request
    const client = waitMs > 0 ? connectWaiting(address) : connect(address)
    const answer = await client.call(peerWorkerMethods.poll, { workerId, address: workerAddress, epoch, lease, waitMs: request.waitMs }, waitMs + relayedAnswerTimeoutMs + peerCallTimeoutMs)
    const report = reportSchema.safeParse(answer)
    if (!report.success) throw createError(ErrorKind.AnswerLost, `the peer's answer is malformed: ${report.error.message}`)
    return { ...report.data, bornAtMs: report.data.bornAtMs }
  }

  function getRoute (workerId: string): Route {
    let route = routes.get(workerId)
    if (route === undefined) {
      if (routes.size >= maxRoutes) routes.clear()
      routes.set(workerId, route = { nextPeer: routes.size, nextWaitingPeer: routes.size })
    }
    return route
  }

  /** Selects peers that are far apart on the list, which begins with those of the own domain; others each time, but for the one that has reached the worker. */
  function selectPeers (route: Route, isWaiting: boolean): readonly string[] {
    const hosts = isWaiting ? hostsPerWaitingPoll : hostsPerPoll
    const first = isWaiting ? route.nextWaitingPeer : route.nextPeer
    const addresses = getPeers().map(({ address }) => address)
    const count = Math.min(hosts, addresses.length)
    const selected = new Set<string>(route.reachedThrough !== undefined && addresses.includes(route.reachedThrough) ? [route.reachedThrough] : [])
    const stride = Math.max(1, Math.floor(addresses.length / hosts))
    for (let index = 0; selected.size < count; index++) {
      // Where the stride leads to a host that is selected already, its neighbour is taken.
      const address = addresses[(first + index * stride + Math.floor(index / hosts)) % addresses.length]
      if (address !== undefined) selected.add(address)
    }
    if (isWaiting) route.nextWaitingPeer++
    else route.nextPeer++
    return [...selected]
  }
}

/** The first of several errors is that of the host that reached the worker last, if there is one. */
function selectError (error: unknown): unknown {
  if (!(error instanceof AggregateError)) return error
  const errors: readonly unknown[] = error.errors
  return errors.find(candidate => isErrorOfKind(candidate, ErrorKind.StaleEpoch)) ?? errors[0] ?? createError(ErrorKind.PeerUnreachable, 'no other host is known')
}
