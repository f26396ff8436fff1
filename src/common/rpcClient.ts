/** JSON-RPC 2.0 client over any transport. */
import { createJSONRPCRequest } from 'json-rpc-2.0'
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { createError, getErrorKindByRpcCode } from '../errors/errorKinds.js'
import type { ErrorDetails } from '../errors/errorKinds.js'

/** Calls methods of another process. */
export interface RpcClient {
  /**
   * Calls a method. Errors: the kinds that the server returns; `peer-unreachable` when nothing was sent;
   * `answer-lost` when the call may have taken effect.
   */
  call<T> (method: string, params: unknown, timeoutMs?: number): Promise<T>
}

/** Sends one request and resolves to the response. Errors: `peer-unreachable` when nothing was sent, `answer-lost` otherwise. */
export type RpcTransport = (request: object, method: string, timeoutMs: number) => Promise<JSONRPCResponse>

/** Creates a client that uses the given transport. */
export function createTransportRpcClient (send: RpcTransport, defaultTimeoutMs: number): RpcClient {
  let nextId = 1
  return { call }

  async function call<T> (method: string, params: unknown, timeoutMs = defaultTimeoutMs): Promise<T> {
    const response = await send(createJSONRPCRequest(nextId++, method, params), method, timeoutMs)
    if (response.error === undefined) return response.result as T
    throw createError(getErrorKindByRpcCode(response.error.code), response.error.message, toDetails(response.error.data))
  }
}

function toDetails (data: unknown): ErrorDetails {
  return typeof data === 'object' && data !== null ? data as ErrorDetails : {}
}
