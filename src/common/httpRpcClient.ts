/** JSON-RPC 2.0 client over HTTP, for calls between the system's processes and to the stand-ins. */
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { Agent } from 'undici'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createTransportRpcClient } from './rpcClient.js'
import type { RpcClient } from './rpcClient.js'
import { callerHeader } from './rpcServer.js'

/** Number of calls and body bytes of one process, for capacity measurements. */
export interface RpcTraffic {
  calls: number
  bytesOut: number
  bytesIn: number
}

const defaultTimeoutMs = 2_000
const maxConnectionsPerPeer = 16

/** Total traffic of all clients in this process. */
export const rpcTraffic: RpcTraffic = { calls: 0, bytesOut: 0, bytesIn: 0 }

let sharedAgent: Agent | undefined

/** Options of an RPC client. */
export interface RpcClientOptions {
  readonly token?: string
  /** Name of this process, sent to the server in a header. */
  readonly from?: string
  readonly timeoutMs?: number
  /** Returns whether the network path to the address is interrupted. Used in tests to simulate a network partition. */
  readonly isPartitionedFrom?: (address: string) => boolean
}

/** Creates a client for the process at `address` (`host:port`). */
export function createHttpRpcClient (address: string, options: RpcClientOptions = {}): RpcClient {
  return createTransportRpcClient(post, options.timeoutMs ?? defaultTimeoutMs)

  async function post (request: object, method: string, timeoutMs: number): Promise<JSONRPCResponse> {
    const body = JSON.stringify(request)
    if (options.isPartitionedFrom?.(address) === true) throw createError(ErrorKind.AnswerLost, `the network path to ${address} is interrupted`)
    rpcTraffic.calls++
    rpcTraffic.bytesOut += body.length
    try {
      const response = await getAgent().request({
        origin: `http://${address}`,
        path: '/rpc',
        method: 'POST',
        headers: {
          'Content-Type': 'application/json',
          [callerHeader]: options.from ?? '',
          ...(options.token === undefined ? {} : { Authorization: `Bearer ${options.token}` })
        },
        body,
        signal: AbortSignal.timeout(timeoutMs)
      })
      const text = await response.body.text()
      rpcTraffic.bytesIn += text.length
      return JSON.parse(text) as JSONRPCResponse
    } catch (error) {
      throw toTransportError(error, address, method)
    }
  }
}

/** Closes the connection pool shared by all clients of this process. */
export async function closeRpcConnections (): Promise<void> {
  const agent = sharedAgent
  sharedAgent = undefined
  await agent?.destroy()
}

/** Only a failure to connect proves that the call did not reach the server. */
function toTransportError (error: unknown, address: string, method: string): Error {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : ''
  const isUnsent = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH'
  if (isUnsent) return createError(ErrorKind.PeerUnreachable, `cannot connect to ${address} to call ${method}`)
  return createError(ErrorKind.AnswerLost, `no response from ${address} to ${method}`)
}

function getAgent (): Agent {
  sharedAgent ??= new Agent({ connections: maxConnectionsPerPeer, connect: { timeout: 1_000 }, keepAliveTimeout: 30_000 })
  return sharedAgent
}
