/**
 * Routes service requests to endpoints: claims the idempotency key, waits for a slot, sends the request and forwards the response.
 * Each request ends as answered, not run, or unknown. It counts as sent as soon as a byte may have left this host.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import type { Claims } from '../claims/claims.js'
import { readBody } from '../common/http.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, errorResponses, ErrorKind, isNotRun, Outcome, toAppError } from '../errors/errorKinds.js'
import type { RequestKind, RuleSet } from '../rules/ruleSet.js'
import { tryFindRequestKind } from '../rules/ruleSet.js'
import { createAdmission } from './admission.js'
import { SlotOutcome } from './endpointPool.js'
import type { EndpointPool, Slot } from './endpointPool.js'
import { answeredOutcome } from './requestMetrics.js'
import type { RequestMetrics } from './requestMetrics.js'
import { createRetryBudget } from './retryBudget.js'
import { sendError } from './sendError.js'

/** Dependencies of the router. */
export interface RequestRouterHost {
  readonly pool: EndpointPool
  readonly claims: Claims
  readonly metrics: RequestMetrics
  readonly logger: Logger
  readonly getRules: () => RuleSet
}

/** Routes the service requests that one host receives. */
export interface RequestRouter {
  handle (request: IncomingMessage, response: ServerResponse): Promise<void>
  getInFlight (): number
  countWaiting (): number
  /** Resolves when no request is in flight. */
  whenIdle (): Promise<void>
  close (): Promise<void>
}

/** Header by which an endpoint guarantees that it did not run a request, and by which a host reports the outcome to the caller. */
export const outcomeHeader = 'sassafrasford-outcome'

/** Header by which an endpoint announces that it is leaving. */
export const leavingHeader = 'sassafrasford-leaving'

const idempotencyHeader = 'idempotency-key'
const maxKeyLength = 200
const maxBufferedRequestBytes = 256 * 1024
const maxBufferedResponseBytes = 64 * 1024
const connectionsPerEndpoint = 8
const connectTimeoutMs = 1_000
const idlePollMs = 20
const allTriedDelayMs = 20
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'host'])

/** A request in progress. */
interface Exchange {
  readonly kind: RequestKind
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly deadlineMs: number
  readonly tried: Set<string>
  readonly callerAbort: AbortController
  /** The complete body, or undefined when it is too large to buffer, or of unknown size, and is streamed. */
  readonly body: Buffer | undefined
  /** True once an endpoint may have received part of the request without guaranteeing that it did not run it. */
  mayHaveRun: boolean
}

/** Status, headers and body stream of the response of an endpoint. */
interface EndpointResponse {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Dispatcher.ResponseData['body']
}

/** Creates the router of a host. */
export function createRequestRouter (host: RequestRouterHost): RequestRouter {
  const agent = new Agent({ connections: connectionsPerEndpoint, pipelining: 1, connect: { timeout: connectTimeoutMs }, keepAliveTimeout: 10_000 })
  const retries = createRetryBudget(() => host.getRules().getLimit('retry-percent'))
  const triedByRequest = new WeakMap<object, ReadonlySet<string>>()
  const admission = createAdmission<Slot>({
    getMaxWaiting: () => host.getRules().getLimit('queue-requests'),
    tryTake: queued => host.pool.tryTake(queued.service, triedByRequest.get(queued) ?? new Set()),
    countSlots: service => host.pool.countSlots(service)
  })
  let inFlight = 0

  return {
    handle,
    getInFlight: () => inFlight,
    countWaiting: admission.countWaiting,
    whenIdle,
    close: () => agent.destroy()
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const startedAtMs = performance.now()
    const kind = tryFindRequestKind(host.getRules(), getPath(request))
    inFlight++
    let outcome: string = answeredOutcome
    try {
      if (kind === undefined) throw getNoKindError(request)
      await serve(kind, request, response)
    } catch (error) {
      outcome = respondWithError(error, response)
    } finally {
      inFlight--
      host.metrics.recordCompletion(kind?.name ?? 'none', outcome, performance.now() - startedAtMs)
    }
  }

  function getNoKindError (request: IncomingMessage): Error {
    if (host.getRules().revision === 0) return createError(ErrorKind.NoRulesYet, 'this host has not received any rules yet')
    return createError(ErrorKind.NoRequestKind, `no request rule matches the path ${getPath(request)}`)
  }

  async function serve (kind: RequestKind, request: IncomingMessage, response: ServerResponse): Promise<void> {
    retries.recordRequest()
    const callerAbort = new AbortController()
    response.once('close', () => { if (!response.writableFinished) callerAbort.abort() })
    const deadlineMs = Date.now() + kind.timeoutMs
    const body = await readSmallBody(request)
    const exchange: Exchange = { kind, request, response, deadlineMs, tried: new Set(), callerAbort, body, mayHaveRun: false }
    const key = getIdempotencyKey(request)
    if (kind.isRepeatable || key === undefined) await sendUntilAnswered(exchange)
    else await serveWithClaim(exchange, `${kind.name} ${key}`)
  }

  /** Writes the claim to the store before the request is sent, so that a duplicate on any host finds it. */
  async function serveWithClaim (exchange: Exchange, claimKey: string): Promise<void> {
    const requestId = randomUUID()
    const { isOwn, claim } = await host.claims.claim(claimKey, requestId)
    if (!isOwn) {
      const outcome = claim.status === undefined ? 'its outcome is not recorded' : `it was answered with status ${claim.status}`
      throw createError(ErrorKind.DuplicateRequest, `a request with this Idempotency-Key was already accepted; ${outcome}`, { firstStatus: claim.status, firstAtMs: claim.atMs })
    }
    try {
      await sendUntilAnswered(exchange)
      host.claims.complete(claimKey, requestId, exchange.response.statusCode)
    } catch (error) {
      if (isNotRun(error)) await host.claims.release(claimKey, requestId).catch(() => {})
      throw error
    }
  }

  async function sendUntilAnswered (exchange: Exchange): Promise<void> {
    while (true) {
      const slot = await takeSlot(exchange)
      const takenAtMs = performance.now()
      const error = await trySend(exchange, slot)
      admission.dispatch(error === undefined ? performance.now() - takenAtMs : undefined)
      if (error === undefined) return
      if (!canRetry(exchange, error)) throw error
      host.metrics.recordRetry(exchange.kind.name)
      exchange.tried.add(slot.endpointId)
      if (exchange.tried.size < host.pool.countUsable(exchange.kind.service)) continue
      exchange.tried.clear()
      await delay(allTriedDelayMs)
    }
  }

  async function takeSlot (exchange: Exchange): Promise<Slot> {
    const { kind } = exchange
    if (host.pool.countUsable(kind.service) === 0) throw getFinalError(exchange, createError(ErrorKind.NoEndpoint, `no endpoint of the service "${kind.service}" is usable`))
    const queued = { priorityRank: kind.priorityRank, service: kind.service, deadlineMs: exchange.deadlineMs }
    triedByRequest.set(queued, exchange.tried)
    try {
      return await admission.acquire(queued, exchange.callerAbort.signal)
    } catch (error) {
      throw getFinalError(exchange, error)
    }
  }

  /** "Not run" may be reported only if no earlier attempt may have run; otherwise the outcome is unknown. */
  function getFinalError (exchange: Exchange, error: unknown): unknown {
    if (!exchange.mayHaveRun) return error
    return createError(ErrorKind.EndpointLost, `an earlier attempt may have run, and no further attempt was possible: ${toAppError(error).message}`)
  }

  function canRetry (exchange: Exchange, error: unknown): boolean {
    if (exchange.response.headersSent || exchange.callerAbort.signal.aborted) return false
    if (Date.now() >= exchange.deadlineMs || exchange.body === undefined) return false
    if (isNotRun(error)) return true
    return exchange.kind.isRepeatable && retries.tryTake()
  }

  /** Makes one attempt and returns the error of a failed one; its outcome is "not run" only if the request certainly did not run. */
  async function trySend (exchange: Exchange, slot: Slot): Promise<unknown> {
    const timeout = AbortSignal.timeout(Math.max(1, exchange.deadlineMs - Date.now()))
    const signal = AbortSignal.any([timeout, exchange.callerAbort.signal])
    let endpointResponse: EndpointResponse
    try {
      endpointResponse = await sendRequest(exchange, slot, signal)
    } catch (error) {
      return handleSendError(exchange, slot, error)
    }
    if (isEndpointRefusal(endpointResponse)) return await handleRefusal(exchange, slot, endpointResponse)
    const error = await forwardResponse(exchange, slot, endpointResponse)
    return error
  }

  async function sendRequest (exchange: Exchange, slot: Slot, signal: AbortSignal): Promise<EndpointResponse> {
    const { request, body } = exchange
    const isBodyless = body?.length === 0
    const response = await agent.request({
      origin: `http://${slot.address}`,
      path: request.url ?? '/',
      method: (request.method ?? 'GET') as Dispatcher.HttpMethod,
      headers: getForwardedHeaders(request.headers, body),
      body: isBodyless ? null : body ?? request,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    return { status: response.statusCode, headers: response.headers, body: response.body }
  }

  function handleSendError (exchange: Exchange, slot: Slot, error: unknown): unknown {
    const isNotSent = isConnectError(error)
    const isAbandoned = exchange.callerAbort.signal.aborted
    slot.release(isAbandoned ? SlotOutcome.Abandoned : SlotOutcome.Failed, 0)
    if (isNotSent) return getFinalError(exchange, createError(ErrorKind.NoEndpoint, `cannot connect to endpoint ${slot.endpointId}`))
    exchange.mayHaveRun = true
    return createError(ErrorKind.EndpointLost, `endpoint ${slot.endpointId} sent no response before the connection failed or the deadline passed`)
  }

  async function handleRefusal (exchange: Exchange, slot: Slot, endpointResponse: EndpointResponse): Promise<unknown> {
    await endpointResponse.body.dump().catch(() => {})
    const isLeaving = endpointResponse.headers[leavingHeader] !== undefined
    slot.release(isLeaving ? SlotOutcome.Leaving : SlotOutcome.Full, 0)
    return getFinalError(exchange, createError(ErrorKind.NoEndpoint, `endpoint ${slot.endpointId} rejected the request`))
  }

  /** Buffers a small response and sends it only when complete; a larger one is streamed, and truncation closes the caller's connection. */
  async function forwardResponse (exchange: Exchange, slot: Slot, endpointResponse: EndpointResponse): Promise<unknown> {
    const { response } = exchange
    const isServerError = endpointResponse.status >= 500
    let bytes = 0
    let buffered: Buffer[] | undefined = []
    try {
      for await (const chunk of endpointResponse.body as AsyncIterable<Buffer>) {
        bytes += chunk.length
        if (buffered === undefined) {
          await writeChunk(response, chunk)
          continue
        }
        buffered.push(chunk)
        if (bytes <= maxBufferedResponseBytes) continue
        response.writeHead(endpointResponse.status, getResponseHeaders(endpointResponse.headers))
        for (const part of buffered) await writeChunk(response, part)
        buffered = undefined
      }
    } catch {
      return handleTruncatedResponse(exchange, slot, bytes)
    }
    if (endpointResponse.headers[leavingHeader] !== undefined) slot.release(SlotOutcome.Leaving, bytes)
    else slot.release(isServerError ? SlotOutcome.Failed : SlotOutcome.Answered, bytes)
    if (buffered !== undefined) sendBuffered(exchange, endpointResponse, Buffer.concat(buffered))
    else response.end()
    await waitForClose(response)
    return undefined
  }

  function handleTruncatedResponse (exchange: Exchange, slot: Slot, bytes: number): unknown {
    const isAbandoned = exchange.callerAbort.signal.aborted
    slot.release(isAbandoned ? SlotOutcome.Abandoned : SlotOutcome.Failed, bytes)
    exchange.mayHaveRun = true
    return createError(ErrorKind.EndpointLost, `the response of endpoint ${slot.endpointId} was truncated`)
  }

  function respondWithError (error: unknown, response: ServerResponse): string {
    const appError = toAppError(error)
    if (appError.kind === ErrorKind.Internal) host.logger.error('a request failed with an internal error', { error: appError.message })
    if (response.headersSent) response.destroy()
    else sendError(response, appError)
    return errorResponses[appError.kind].outcome === Outcome.NotRun ? Outcome.NotRun : Outcome.Unknown
  }

  async function whenIdle (): Promise<void> {
    while (inFlight > 0) await new Promise(resolve => setTimeout(resolve, idlePollMs))
  }
}

/** Buffers a body whose size is known and small; any other is streamed and cannot be sent a second time. */
async function readSmallBody (request: IncomingMessage): Promise<Buffer | undefined> {
  const length = request.headers['content-length']
  if (length === undefined && request.headers['transfer-encoding'] === undefined) return Buffer.alloc(0)
  if (length === undefined || Number(length) > maxBufferedRequestBytes) return undefined
  try {
    return await readBody(request, maxBufferedRequestBytes)
  } catch {
    throw createError(ErrorKind.BadRequest, 'the request body was truncated or could not be read')
  }
}

function getIdempotencyKey (request: IncomingMessage): string | undefined {
  const key = request.headers[idempotencyHeader]
  if (key === undefined) return undefined
  if (typeof key !== 'string' || key.length === 0 || key.length > maxKeyLength) {
    throw createError(ErrorKind.BadRequest, `Idempotency-Key must have 1 to ${maxKeyLength} characters`)
  }
  return key
}

function getPath (request: IncomingMessage): string {
  return (request.url ?? '/').split('?')[0] ?? '/'
}

function getForwardedHeaders (headers: IncomingHttpHeaders, body: Buffer | undefined): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopByHopHeaders.has(name)) continue
    if (name === 'content-length' && body?.length === 0) continue
    forwarded[name] = value
  }
  return forwarded
}

function getResponseHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !hopByHopHeaders.has(name)) forwarded[name] = value
  }
  return forwarded
}

function sendBuffered (exchange: Exchange, endpointResponse: EndpointResponse, body: Buffer): void {
  const headers = getResponseHeaders(endpointResponse.headers)
  const hasNoBody = exchange.request.method === 'HEAD' || endpointResponse.status === 204 || endpointResponse.status === 304
  exchange.response.writeHead(endpointResponse.status, hasNoBody ? headers : { ...headers, 'content-length': String(body.length) })
  exchange.response.end(hasNoBody ? undefined : body)
}

function isEndpointRefusal (endpointResponse: EndpointResponse): boolean {
  return endpointResponse.headers[outcomeHeader] === Outcome.NotRun
}

function isConnectError (error: unknown): boolean {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : ''
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH'
}

function writeChunk (response: ServerResponse, chunk: Buffer): Promise<void> | undefined {
  if (response.destroyed) throw createError(ErrorKind.EndpointLost, 'the caller closed the connection')
  if (response.write(chunk)) return undefined
  return new Promise(resolve => {
    const finish = (): void => {
      response.off('drain', finish)
      response.off('close', finish)
      resolve()
    }
    response.once('drain', finish)
    response.once('close', finish)
  })
}

function waitForClose (response: ServerResponse): Promise<void> | undefined {
  if (response.writableFinished || response.destroyed) return undefined
  return new Promise(resolve => response.once('close', () => resolve()))
}
