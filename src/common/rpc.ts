/** The calling side of JSON-RPC 2.0 over HTTP, between the system's processes and towards the stand-ins. */
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { Agent } from 'undici'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createRpcCaller } from './rpcCall.js'
import type { RpcClient } from './rpcCall.js'
import { callerHeader } from './rpcServer.js'

/** Traffic of one process, in bytes and calls, for the capacity figures. */
export interface RpcTraffic {
  calls: number
  bytesOut: number
  bytesIn: number
}

const defaultTimeoutMs = 2_000
const maxConnectionsPerPeer = 16

/** The traffic of all clients in this process. */
export const rpcTraffic: RpcTraffic = { calls: 0, bytesOut: 0, bytesIn: 0 }

let sharedAgent: Agent | undefined

/** How a client calls. */
export interface RpcClientOptions {
  readonly token?: string
  /** Names this process to the other. */
  readonly from?: string
  readonly timeoutMs?: number
  /** Tells that the network between the two is cut, in tests. */
  readonly isCut?: (address: string) => boolean
}

/** Creates a client for the process at `address` (`host:port`). */
export function createRpcClient (address: string, options: RpcClientOptions = {}): RpcClient {
  return createRpcCaller(post, options.timeoutMs ?? defaultTimeoutMs)

  async function post (request: object, method: string, timeoutMs: number): Promise<JSONRPCResponse> {
    const body = JSON.stringify(request)
    if (options.isCut?.(address) === true) throw createError(ErrorKind.AnswerLost, `the network to ${address} is cut`)
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

/** Closes the connections that all clients of this process share. */
export async function closeRpcConnections (): Promise<void> {
  const agent = sharedAgent
  sharedAgent = undefined
  await agent?.destroy()
}

/** Only a refused connection proves that the call never reached the other process. */
function toTransportError (error: unknown, address: string, method: string): Error {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : ''
  const isUnsent = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH'
  if (isUnsent) return createError(ErrorKind.PeerUnreachable, `no connection to ${address} for ${method}`)
  return createError(ErrorKind.AnswerLost, `no answer from ${address} for ${method}`)
}

function getAgent (): Agent {
  sharedAgent ??= new Agent({ connections: maxConnectionsPerPeer, connect: { timeout: 1_000 }, keepAliveTimeout: 30_000 })
  return sharedAgent
}
