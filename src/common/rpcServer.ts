/** JSON-RPC 2.0 server over HTTP. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createJSONRPCErrorResponse, JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0'
import type { JSONRPCRequest } from 'json-rpc-2.0'
import { createError, errorResponses, ErrorKind, toAppError } from '../errors/errorKinds.js'
import { readBody, sendJson } from './http.js'

/** An RPC method that a process serves. */
export interface RpcMethod {
  readonly name: string
  handle (params: unknown, caller: RpcCaller): Promise<unknown>
}

/** The caller of a method: the name it claims (`from`) and the identity that its token authenticates (`identity`). */
export interface RpcCaller {
  readonly from: string
  readonly identity: string
}

/** Validates parameters. Satisfied by schemas of both zod and zod/mini. */
export interface ParameterSchema<T> {
  safeParse (value: unknown):
    | { readonly success: true, readonly data: T }
    | { readonly success: false, readonly error: { readonly issues: readonly { readonly path: readonly PropertyKey[], readonly message: string }[] } }
}

/** The header in which a client sends the name of its process. */
export const callerHeader = 'x-sassafrasford-from'

/** The most bytes of a call. */
export const maxRpcBodyBytes = 4 * 1024 * 1024

/** Defines a method whose parameters are validated with a schema. */
export function defineMethod<T> (
  name: string, schema: ParameterSchema<T>, handle: (params: T, caller: RpcCaller) => Promise<unknown>
): RpcMethod {
  return {
    name,
    handle: (params, caller) => {
      const parsed = schema.safeParse(params ?? {})
      if (parsed.success) return handle(parsed.data, caller)
      const issue = parsed.error.issues[0]
      const path = issue?.path.join('.') ?? ''
      return Promise.reject(createError(ErrorKind.BadRequest, `${name}: invalid parameter "${path}": ${issue?.message}`))
    }
  }
}

/** Creates an HTTP handler that serves the methods. `authorize` returns the caller's identity, or throws if the token does not permit the call. */
export function createRpcHandler (
  methods: readonly RpcMethod[], authorize: (token: string, method: string) => string = () => ''
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  const server = new JSONRPCServer<RpcCaller>({ errorListener: () => {} })
  for (const method of methods) {
    server.addMethod(method.name, (params: unknown, caller: RpcCaller) => method.handle(params, caller))
  }
  server.mapErrorToJSONRPCErrorResponse = (id, error) => {
    const appError = toAppError(error)
    const code = errorResponses[appError.kind].rpcCode
    return createJSONRPCErrorResponse(id, code, appError.message, appError.details)
  }
  return async (request, response) => {
    const received = await receiveRequest(request)
    if (received instanceof JSONRPCErrorException) {
      sendJson(response, 200, createJSONRPCErrorResponse(null, received.code, received.message))
      return
    }
    let identity: string
    try {
      identity = authorize(getBearerToken(request), received.method)
    } catch (error) {
      const appError = toAppError(error)
      sendJson(response, 200, createJSONRPCErrorResponse(received.id ?? null, errorResponses[appError.kind].rpcCode, appError.message))
      return
    }
    const rpcResponse = await server.receive(received, { from: String(request.headers[callerHeader] ?? ''), identity })
    if (rpcResponse === null) response.writeHead(204).end()
    else sendJson(response, 200, rpcResponse)
  }
}

/** Compares two secrets in constant time, to prevent timing attacks. */
export function isSameSecret (left: string, right: string): boolean {
  return timingSafeEqual(hashSecret(left), hashSecret(right))
}

/** Returns the bearer token of a request, or an empty string. */
export function getBearerToken (request: IncomingMessage): string {
  const header = request.headers.authorization ?? ''
  return header.startsWith('Bearer ') ? header.slice('Bearer '.length) : ''
}

async function receiveRequest (request: IncomingMessage): Promise<JSONRPCRequest | JSONRPCErrorException> {
  try {
    const parsed: unknown = JSON.parse((await readBody(request, maxRpcBodyBytes)).toString())
    if (isRequest(parsed)) return parsed
    return new JSONRPCErrorException('not a JSON-RPC 2.0 request', -32600)
  } catch (error) {
    return new JSONRPCErrorException(`cannot read the request: ${toAppError(error).message}`, -32700)
  }
}

function isRequest (value: unknown): value is JSONRPCRequest {
  return typeof value === 'object' && value !== null && 'method' in value && typeof value.method === 'string' &&
    'jsonrpc' in value && value.jsonrpc === '2.0'
}

function hashSecret (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
