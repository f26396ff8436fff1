/** RPC method through which a host polls workers for a peer that gets no answers from them. */
import * as z from 'zod/mini'
import { isAddress } from '../common/address.js'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { ListedWorker, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'

/** Names of the RPC methods. */
export const peerWorkerMethods = { poll: 'worker.poll' } as const

/** Dependencies of the methods. */
export interface PeerWorkerHost {
  readonly connect: (worker: Pick<ListedWorker, 'workerId' | 'address'>) => WorkerPort
  /** Called with each report, which was requested with this epoch: the term that asked may be over when the answer arrives. */
  readonly onReport?: ((workerId: string, report: WorkerStatusReport, epoch: number, sentAtMs: number) => void) | undefined
}

/** Maximum number of concurrent polls for peers, so that a small host keeps capacity for its own callers. */
const maxConcurrentPolls = 16
/** The same for those that wait at the worker, which do not count as the others do: they extend no lease. */
export const maxWaitingPolls = 8
/** The longest wait at a worker, in ms: as long as that of a scheduler's own polls. */
const maxWaitMs = 1_500
/** Time allowed for the worker's answer, in ms: two round trips between the most distant regions, one of them to connect, and a slow worker. */
export const relayedAnswerTimeoutMs = 300
/** Connections that have not been used for this long, in ms, are closed. */
const idleConnectionMs = 5_000

const pollSchema = z.object({
  workerId: z.string().check(z.minLength(1), z.maxLength(200)),
  address: z.string().check(z.refine(isAddress)),
  epoch: z.int().check(z.nonnegative()),
  lease: z.optional(z.object({ untilMs: z.int(), incarnationMs: z.int() })),
  waitMs: z.optional(z.int().check(z.minimum(0), z.maximum(maxWaitMs)))
})

/**
 * Creates the methods. A relayed poll does no harm however late it is carried out: it raises the epoch that the worker has seen to that of the term, which a later
 * term has raised further; it acknowledges nothing; and the lease ends at a fixed time on the clock of the incarnation for which it is meant.
 */
export function createPeerWorkerMethods (host: PeerWorkerHost): readonly RpcMethod[] {
  const connections = new Map<string, { readonly port: WorkerPort, idleTimer?: NodeJS.Timeout }>()
  const activePolls = { prompt: 0, waiting: 0 }

  return [defineMethod(peerWorkerMethods.poll, pollSchema, poll)]

  async function poll ({ workerId, address, epoch, lease, waitMs = 0 }: z.infer<typeof pollSchema>): Promise<WorkerStatusReport> {
    const isWaiting = waitMs > 0
    const kind = isWaiting ? 'waiting' : 'prompt'
    if (activePolls[kind] >= (isWaiting ? maxWaitingPolls : maxConcurrentPolls)) throw createError(ErrorKind.Overloaded, 'this host already serves the maximum number of concurrent polls for peers')
    activePolls[kind]++
    const sentAtMs = performance.now()
    try {
      const report = await getConnection(workerId, address).renewLease({
        epoch,
        acknowledgedSequence: 0,
        ...(lease === undefined || isWaiting ? {} : { leaseUntilMs: lease.untilMs, leaseIncarnationMs: lease.incarnationMs }),
        waitMs,
        answerTimeoutMs: relayedAnswerTimeoutMs,
        ...(isWaiting ? { isConcurrent: true } : {})
      })
      host.onReport?.(workerId, report, epoch, sentAtMs)
      return report
    } finally {
      activePolls[kind]--
    }
  }

  function getConnection (workerId: string, address: string): WorkerPort {
    const key = `${workerId} ${address}`
    let connection = connections.get(key)
    if (connection === undefined) connections.set(key, connection = { port: host.connect({ workerId, address }) })
    const { port } = connection
    // Not `refresh`: it leaves the timers of the fake clock of the tests in the wrong order, so that others fire late or never.
    clearTimeout(connection.idleTimer)
    connection.idleTimer = setTimeout(() => {
      connections.delete(key)
      port.close()
    }, idleConnectionMs)
    connection.idleTimer.unref()
    return port
  }
}
