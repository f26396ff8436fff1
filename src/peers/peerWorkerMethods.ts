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
}

/** Maximum number of concurrent polls for peers, so that a small host keeps capacity for its own callers. */
const maxConcurrentPolls = 16
/** Time allowed for the worker's answer, in ms: two round trips between the most distant regions, one of them to connect, and a slow worker. */
export const relayedAnswerTimeoutMs = 300
/** Connections that have not been used for this long, in ms, are closed. */
const idleConnectionMs = 5_000

const pollSchema = z.object({
  workerId: z.string().check(z.minLength(1), z.maxLength(200)),
  address: z.string().check(z.refine(isAddress)),
  epoch: z.int().check(z.nonnegative()),
  lease: z.optional(z.object({ untilMs: z.int(), incarnationMs: z.int() }))
})

/**
 * Creates the methods. A relayed poll does no harm however late it is carried out: it raises the epoch that the worker has seen to that of the term, which a later
 * term has raised further; it acknowledges nothing; and the lease ends at a fixed time on the clock of the incarnation for which it is meant.
 */
export function createPeerWorkerMethods (host: PeerWorkerHost): readonly RpcMethod[] {
  const connections = new Map<string, { readonly port: WorkerPort, readonly idleTimer: NodeJS.Timeout }>()
  let activePolls = 0

  return [defineMethod(peerWorkerMethods.poll, pollSchema, poll)]

  async function poll ({ workerId, address, epoch, lease }: z.infer<typeof pollSchema>): Promise<WorkerStatusReport> {
    if (activePolls >= maxConcurrentPolls) throw createError(ErrorKind.Overloaded, 'this host already serves the maximum number of concurrent polls for peers')
    activePolls++
    try {
      return await getConnection(workerId, address).renewLease({
        epoch,
        acknowledgedSequence: 0,
        ...(lease === undefined ? {} : { leaseUntilMs: lease.untilMs, leaseIncarnationMs: lease.incarnationMs }),
        waitMs: 0,
        answerTimeoutMs: relayedAnswerTimeoutMs
      })
    } finally {
      activePolls--
    }
  }

  function getConnection (workerId: string, address: string): WorkerPort {
    const key = `${workerId} ${address}`
    const known = connections.get(key)
    const port = known?.port ?? host.connect({ workerId, address })
    // Not refreshed: on the fake clock of the tests, `refresh` keeps other timers from firing (@sinonjs/fake-timers 15.5.0).
    clearTimeout(known?.idleTimer)
    const idleTimer = setTimeout(() => {
      connections.delete(key)
      port.close()
    }, idleConnectionMs)
    idleTimer.unref()
    connections.set(key, { port, idleTimer })
    return port
  }
}
