/**
 * Serves one service request after the other: claim, wait for a slot, send, pass the answer on.
 * Each request ends as answered, not run, or unknown. It counts as sent as soon as a byte may have left.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import type { Claims } from '../claims/claims.js'
import { readBody } from '../common/http.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createError, errorAnswers, ErrorKind, isNotRun, Outcome, toAppError } from '../errors/errorKinds.js'
import type { RequestKind, RuleSet } from '../rules/ruleSet.js'
import { tryFindRequestKind } from '../rules/ruleSet.js'
import { createAdmission } from './admission.js'
import { SlotOutcome } from './endpointPool.js'
import type { EndpointPool, Slot } from './endpointPool.js'
import { answeredOutcome } from './requestMetrics.js'
import type { RequestMetrics } from './requestMetrics.js'
import { createRetryBudget } from './retryBudget.js'
import { sendError } from './sendError.js'

/** What the router needs from outside. */
export interface RequestRouterHost {
  readonly pool: EndpointPool
  readonly claims: Claims
  readonly metrics: RequestMetrics
  readonly logger: Logger
  readonly getRules: () => RuleSet
}

/** Serves the service requests of one host. */
export interface RequestRouter {
  handle (request: IncomingMessage, response: ServerResponse): Promise<void>
  getInFlight (): number
  countWaiting (): number
  /** Resolves when no request is in flight. */
  whenIdle (): Promise<void>
  close (): Promise<void>
}

/** The header by which an endpoint promises that it did not run a request, and by which this system tells callers. */
export const outcomeHeader = 'sassafrasford-outcome'

/** The header by which an endpoint tells that it leaves. */
export const leavingHeader = 'sassafrasford-leaving'

const idempotencyHeader = 'idempotency-key'
const maxKeyLength = 200
const maxBufferedRequestBytes = 256 * 1024
const maxBufferedAnswerBytes = 64 * 1024
const connectionsPerEndpoint = 8
const connectTimeoutMs = 1_000
const idlePollMs = 20
const allTriedPauseMs = 20
const hopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'host'])

/** One request on its way. */
interface Exchange {
  readonly kind: RequestKind
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly deadlineMs: number
  readonly tried: Set<string>
  readonly callerGone: AbortController
  /** The whole body, or undefined where it is larger and is passed on as it comes. */
  readonly body: Buffer | undefined
  /** A byte of the request may have reached an endpoint that did not take that back. */
  mayHaveRun: boolean
}

/** The head and the first part of an answer. */
interface Answer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: Dispatcher.ResponseData['body']
}

/** Creates the router of a host. */
export function createRequestRouter (host: RequestRouterHost): RequestRouter {
  const agent = new Agent({ connections: connectionsPerEndpoint, pipelining: 1, connect: { timeout: connectTimeoutMs }, keepAliveTimeout: 10_000 })
  const retries = createRetryBudget(() => host.getRules().getLimit('retry-percent'))
  const triedOf = new WeakMap<object, ReadonlySet<string>>()
  const admission = createAdmission<Slot>({
    getMaxWaiting: () => host.getRules().getLimit('queue-requests'),
    tryTake: waiting => host.pool.tryTake(waiting.service, triedOf.get(waiting) ?? new Set()),
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
      outcome = answerError(error, response)
    } finally {
      inFlight--
      host.metrics.noteAnswer(kind?.name ?? 'none', outcome, performance.now() - startedAtMs)
    }
  }

  function getNoKindError (request: IncomingMessage): Error {
    if (host.getRules().revision === 0) return createError(ErrorKind.NoRulesYet, 'this host has no rules yet')
    return createError(ErrorKind.NoRequestKind, `no rule has a request kind for the path ${getPath(request)}`)
  }

  async function serve (kind: RequestKind, request: IncomingMessage, response: ServerResponse): Promise<void> {
    retries.noteRequest()
    const callerGone = new AbortController()
    response.once('close', () => { if (!response.writableFinished) callerGone.abort() })
    const deadlineMs = Date.now() + kind.timeoutMs
    const body = await readSmallBody(request)
    const exchange: Exchange = { kind, request, response, deadlineMs, tried: new Set(), callerGone, body, mayHaveRun: false }
    const key = getIdempotencyKey(request)
    if (kind.isRepeatable || key === undefined) await sendUntilAnswered(exchange)
    else await serveClaimed(exchange, `${kind.name} ${key}`)
  }

  /** The claim stands in the store before the request is sent, so that a repeat on any host finds it. */
  async function serveClaimed (exchange: Exchange, claimKey: string): Promise<void> {
    const requestId = randomUUID()
    const { isOwn, claim } = await host.claims.claim(claimKey, requestId)
    if (!isOwn) {
      const known = claim.status === undefined ? 'its outcome is not known here' : `it was answered with status ${claim.status}`
      throw createError(ErrorKind.DuplicateRequest, `a request with this key was accepted before; ${known}`, { firstStatus: claim.status, firstAtMs: claim.atMs })
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
      admission.wake(error === undefined ? performance.now() - takenAtMs : undefined)
      if (error === undefined) return
      if (!canRetry(exchange, error)) throw error
      host.metrics.noteRetry(exchange.kind.name)
      exchange.tried.add(slot.endpointId)
      if (exchange.tried.size < host.pool.countUsable(exchange.kind.service)) continue
      exchange.tried.clear()
      await delay(allTriedPauseMs)
    }
  }

  async function takeSlot (exchange: Exchange): Promise<Slot> {
    const { kind } = exchange
    if (host.pool.countUsable(kind.service) === 0) throw getFinalError(exchange, createError(ErrorKind.NoEndpoint, `no endpoint of the service "${kind.service}" is usable`))
    const waiting = { priorityRank: kind.priorityRank, service: kind.service, deadlineMs: exchange.deadlineMs }
    triedOf.set(waiting, exchange.tried)
    try {
      return await admission.enter(waiting, exchange.callerGone.signal)
    } catch (error) {
      throw getFinalError(exchange, error)
    }
  }

  /** A refusal is a promise only while no earlier attempt may have run. */
  function getFinalError (exchange: Exchange, error: unknown): unknown {
    if (!exchange.mayHaveRun) return error
    return createError(ErrorKind.EndpointLost, `an earlier attempt may have run, and no other was possible: ${toAppError(error).message}`)
  }

  function canRetry (exchange: Exchange, error: unknown): boolean {
    if (exchange.response.headersSent || exchange.callerGone.signal.aborted) return false
    if (Date.now() >= exchange.deadlineMs || exchange.body === undefined) return false
    if (isNotRun(error)) return true
    return exchange.kind.isRepeatable && retries.tryTake()
  }

  /** Sends once. Returns the error of a failed attempt; "not run" if the endpoint surely did not run it. */
  async function trySend (exchange: Exchange, slot: Slot): Promise<unknown> {
    const timeout = AbortSignal.timeout(Math.max(1, exchange.deadlineMs - Date.now()))
    const signal = AbortSignal.any([timeout, exchange.callerGone.signal])
    let answer: Answer
    try {
      answer = await sendRequest(exchange, slot, signal)
    } catch (error) {
      return concludeSendError(exchange, slot, error)
    }
    if (isEndpointRefusal(answer)) return await concludeRefusal(exchange, slot, answer)
    const error = await passAnswer(exchange, slot, answer)
    return error
  }

  async function sendRequest (exchange: Exchange, slot: Slot, signal: AbortSignal): Promise<Answer> {
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

  function concludeSendError (exchange: Exchange, slot: Slot, error: unknown): unknown {
    const isUnsent = isConnectError(error)
    const isOwnFault = exchange.callerGone.signal.aborted
    slot.finish(isOwnFault ? SlotOutcome.Abandoned : SlotOutcome.Failed, 0)
    if (isUnsent) return getFinalError(exchange, createError(ErrorKind.NoEndpoint, `endpoint ${slot.endpointId} takes no connection`))
    exchange.mayHaveRun = true
    return createError(ErrorKind.EndpointLost, `endpoint ${slot.endpointId} was lost before its answer`)
  }

  async function concludeRefusal (exchange: Exchange, slot: Slot, answer: Answer): Promise<unknown> {
    await answer.body.dump().catch(() => {})
    const isLeaving = answer.headers[leavingHeader] !== undefined
    slot.finish(isLeaving ? SlotOutcome.Leaving : SlotOutcome.Full, 0)
    return getFinalError(exchange, createError(ErrorKind.NoEndpoint, `endpoint ${slot.endpointId} refused the request`))
  }

  /** A small answer is passed on only when it is whole; a larger one breaks the caller's connection when it is cut. */
  async function passAnswer (exchange: Exchange, slot: Slot, answer: Answer): Promise<unknown> {
    const { response } = exchange
    const isFault = answer.status >= 500
    let bytes = 0
    let buffered: Buffer[] | undefined = []
    try {
      for await (const chunk of answer.body as AsyncIterable<Buffer>) {
        bytes += chunk.length
        if (buffered === undefined) {
          await writeChunk(response, chunk)
          continue
        }
        buffered.push(chunk)
        if (bytes <= maxBufferedAnswerBytes) continue
        response.writeHead(answer.status, getAnswerHeaders(answer.headers))
        for (const part of buffered) await writeChunk(response, part)
        buffered = undefined
      }
    } catch {
      return concludeCutAnswer(exchange, slot, bytes)
    }
    if (answer.headers[leavingHeader] !== undefined) slot.finish(SlotOutcome.Leaving, bytes)
    else slot.finish(isFault ? SlotOutcome.Failed : SlotOutcome.Answered, bytes)
    if (buffered !== undefined) sendBuffered(exchange, answer, Buffer.concat(buffered))
    else response.end()
    await waitForEnd(response)
    return undefined
  }

  function concludeCutAnswer (exchange: Exchange, slot: Slot, bytes: number): unknown {
    const isOwnFault = exchange.callerGone.signal.aborted
    slot.finish(isOwnFault ? SlotOutcome.Abandoned : SlotOutcome.Failed, bytes)
    exchange.mayHaveRun = true
    return createError(ErrorKind.EndpointLost, `the answer of endpoint ${slot.endpointId} was cut`)
  }

  function answerError (error: unknown, response: ServerResponse): string {
    const appError = toAppError(error)
    if (appError.kind === ErrorKind.Internal) host.logger.error('a request failed inside', { error: appError.message })
    if (response.headersSent) response.destroy()
    else sendError(response, appError)
    return errorAnswers[appError.kind].outcome === Outcome.NotRun ? Outcome.NotRun : Outcome.Unknown
  }

  async function whenIdle (): Promise<void> {
    while (inFlight > 0) await new Promise(resolve => setTimeout(resolve, idlePollMs))
  }
}

/** Reads a body of known, small size; a larger one is passed on as it comes, and cannot be sent twice. */
async function readSmallBody (request: IncomingMessage): Promise<Buffer | undefined> {
  const length = request.headers['content-length']
  if (length === undefined && request.headers['transfer-encoding'] === undefined) return Buffer.alloc(0)
  if (length === undefined || Number(length) > maxBufferedRequestBytes) return undefined
  try {
    return await readBody(request, maxBufferedRequestBytes)
  } catch {
    throw createError(ErrorKind.BadRequest, 'the body of the request did not arrive whole')
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
    if (value === undefined || hopHeaders.has(name)) continue
    if (name === 'content-length' && body?.length === 0) continue
    forwarded[name] = value
  }
  return forwarded
}

function getAnswerHeaders (headers: IncomingHttpHeaders): Record<string, string | string[]> {
  const passed: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !hopHeaders.has(name)) passed[name] = value
  }
  return passed
}

function sendBuffered (exchange: Exchange, answer: Answer, body: Buffer): void {
  const headers = getAnswerHeaders(answer.headers)
  const hasNoBody = exchange.request.method === 'HEAD' || answer.status === 204 || answer.status === 304
  exchange.response.writeHead(answer.status, hasNoBody ? headers : { ...headers, 'content-length': String(body.length) })
  exchange.response.end(hasNoBody ? undefined : body)
}

function isEndpointRefusal (answer: Answer): boolean {
  return answer.headers[outcomeHeader] === Outcome.NotRun
}

function isConnectError (error: unknown): boolean {
  const code = typeof error === 'object' && error !== null && 'code' in error ? String(error.code) : ''
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT' || code === 'EHOSTUNREACH'
}

function writeChunk (response: ServerResponse, chunk: Buffer): Promise<void> | undefined {
  if (response.destroyed) throw createError(ErrorKind.EndpointLost, 'the caller has gone')
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

function waitForEnd (response: ServerResponse): Promise<void> | undefined {
  if (response.writableFinished || response.destroyed) return undefined
  return new Promise(resolve => response.once('close', () => resolve()))
}
