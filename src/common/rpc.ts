/** JSON-RPC 2.0 over HTTP between the system's processes and towards the platform. */
import { createHash, timingSafeEqual } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { createJSONRPCErrorResponse, createJSONRPCRequest, JSONRPCErrorException, JSONRPCServer } from 'json-rpc-2.0'
import type { JSONRPCRequest, JSONRPCResponse } from 'json-rpc-2.0'
import { Agent } from 'undici'
import type { z } from 'zod'
import { createError, errorAnswers, ErrorKind, getKindOfRpcCode, toAppError } from '../errors/errorKinds.js'
import type { ErrorDetails } from '../errors/errorKinds.js'
import { readBody, sendJson } from './http.js'

/** One method that a process offers; parameters are checked by its schema. */
export interface RpcMethod {
  readonly name: string
  handle (params: unknown, caller: RpcCaller): Promise<unknown>
}

/** Who calls: the name that the process gives itself, and the identity that its token proves. */
export interface RpcCaller {
  readonly from: string
  readonly identity: string
}

/** Calls methods of another process. */
export interface RpcClient {
  /**
   * Calls a method. Errors: the other side's own kinds; `peer-unreachable` when nothing was sent;
   * `answer-lost` when the call may have taken effect.
   */
  call<T> (method: string, params: unknown, timeoutMs?: number): Promise<T>
}

/** Traffic of one process, in bytes and calls, for the capacity figures. */
export interface RpcTraffic {
  calls: number
  bytesOut: number
  bytesIn: number
}

const maxBodyBytes = 4 * 1024 * 1024
const defaultTimeoutMs = 2_000
const maxConnectionsPerPeer = 16
const callerHeader = 'x-sassafrasford-from'

/** The traffic of all clients in this process. */
export const rpcTraffic: RpcTraffic = { calls: 0, bytesOut: 0, bytesIn: 0 }

let sharedAgent: Agent | undefined

/** Defines a method whose parameters are checked by a schema. */
export function defineMethod<S extends z.ZodType> (
  name: string, schema: S, handle: (params: z.infer<S>, caller: RpcCaller) => Promise<unknown>
): RpcMethod {
  return {
    name,
    handle: (params, caller) => {
      const parsed = schema.safeParse(params ?? {})
      if (parsed.success) return handle(parsed.data, caller)
      const issue = parsed.error.issues[0]
      const path = issue?.path.join('.') ?? ''
      return Promise.reject(createError(ErrorKind.BadRequest, `${name}: parameter "${path}": ${issue?.message}`))
    }
  }
}

/** Creates an HTTP handler that serves the methods. `authorize` returns the caller's identity, or throws when the token may not call the method. */
export function createRpcHandler (
  methods: readonly RpcMethod[], authorize: (token: string, method: string) => string = () => ''
): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  const server = new JSONRPCServer<RpcCaller>({ errorListener: () => {} })
  for (const method of methods) {
    server.addMethod(method.name, (params: unknown, caller: RpcCaller) => method.handle(params, caller))
  }
  server.mapErrorToJSONRPCErrorResponse = (id, error) => {
    const appError = toAppError(error)
    const code = errorAnswers[appError.kind].rpcCode
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
      sendJson(response, 200, createJSONRPCErrorResponse(received.id ?? null, errorAnswers[appError.kind].rpcCode, appError.message))
      return
    }
    const answer = await server.receive(received, { from: String(request.headers[callerHeader] ?? ''), identity })
    if (answer === null) response.writeHead(204).end()
    else sendJson(response, 200, answer)
  }
}

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
  let nextId = 1
  return { call }

  async function call<T> (method: string, params: unknown, timeoutMs = options.timeoutMs ?? defaultTimeoutMs): Promise<T> {
    const body = JSON.stringify(createJSONRPCRequest(nextId++, method, params))
    const answer = await post(body, method, timeoutMs)
    if (answer.error === undefined) return answer.result as T
    throw createError(getKindOfRpcCode(answer.error.code), answer.error.message, toDetails(answer.error.data))
  }

  async function post (body: string, method: string, timeoutMs: number): Promise<JSONRPCResponse> {
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

/** Compares two secrets in constant time. */
export function isSameSecret (left: string, right: string): boolean {
  return timingSafeEqual(digest(left), digest(right))
}

/** Returns the bearer token of a request, or an empty string. */
export function getBearerToken (request: IncomingMessage): string {
  const header = request.headers.authorization ?? ''
  return header.startsWith('Bearer ') ? header.slice('Bearer '.length) : ''
}

async function receiveRequest (request: IncomingMessage): Promise<JSONRPCRequest | JSONRPCErrorException> {
  try {
    const parsed: unknown = JSON.parse((await readBody(request, maxBodyBytes)).toString())
    if (isRequest(parsed)) return parsed
    return new JSONRPCErrorException('not a JSON-RPC 2.0 request', -32600)
  } catch (error) {
    return new JSONRPCErrorException(`not valid JSON: ${toAppError(error).message}`, -32700)
  }
}

function isRequest (value: unknown): value is JSONRPCRequest {
  return typeof value === 'object' && value !== null && 'method' in value && typeof value.method === 'string' &&
    'jsonrpc' in value && value.jsonrpc === '2.0'
}

/** Only a refused connection proves that the call never reached the other process. */
function toTransportError (error: unknown, address: string, method: string): Error {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : ''
  const isUnsent = code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH'
  if (isUnsent) return createError(ErrorKind.PeerUnreachable, `no connection to ${address} for ${method}`)
  return createError(ErrorKind.AnswerLost, `no answer from ${address} for ${method}`)
}

function toDetails (data: unknown): ErrorDetails {
  return typeof data === 'object' && data !== null ? data as ErrorDetails : {}
}

function getAgent (): Agent {
  sharedAgent ??= new Agent({ connections: maxConnectionsPerPeer, connect: { timeout: 1_000 }, keepAliveTimeout: 30_000 })
  return sharedAgent
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
