/** HTTP client for the platform's protocols: JSON bodies, keep-alive connections, a time-out for each call. */
import { Agent, request as sendRequest } from 'node:http'
import type { IncomingMessage } from 'node:http'
import { createError, ErrorKind } from '../errors/errorKinds.js'

/**
 * A request. `timeoutMs` covers connecting, sending and receiving the whole response. With `stallTimeoutMs`, it covers the time until the response
 * starts; the body may then take longer, as long as no gap between two parts of it exceeds `stallTimeoutMs`.
 */
export interface HttpCall {
  readonly method: string
  readonly path: string
  readonly body?: unknown
  /** Returns the body, instead of `body`, when the connection is known on which the request is sent. */
  readonly getBody?: (connection: object) => unknown
  readonly headers?: Readonly<Record<string, string>>
  readonly timeoutMs: number
  readonly stallTimeoutMs?: number
  readonly signal?: AbortSignal
}

/** A response; the body is undefined if it is empty or not JSON. */
export interface HttpResponse {
  readonly status: number
  readonly body: unknown
}

/** Sends requests to one address. Errors: `peer-unreachable` if nothing was sent, `answer-lost` otherwise. */
export interface HttpClient {
  call (call: HttpCall): Promise<HttpResponse>
  /** Tells whether a call would be sent over an open connection that no other call uses. */
  hasIdleConnection (): boolean
  close (): void
}

/** Idle time of a connection before its first TCP keep-alive probe: longer than the gap between two requests to a busy worker. */
const probeDelayMs = 30_000

/** Maximum time for a response body whose transfer makes progress, in ms: 1.4 MB, the largest value of the store, at 1.2 Mbit/s. */
const maxTransferMs = 10_000

/** Creates a client for `address` (`host:port`) with at most `maxConnections` connections; those that are idle for `maxIdleMs` are closed, if it is given. */
export function createHttpClient (address: string, maxConnections: number, maxIdleMs?: number): HttpClient {
  const [host = '', port = ''] = address.split(':')
  let agent = createAgent()
  return { call, hasIdleConnection: () => Object.values(agent.freeSockets).some(sockets => (sockets?.length ?? 0) > 0), close: () => { agent.destroy() } }

  function createAgent (): Agent {
    return new Agent({ keepAlive: true, keepAliveMsecs: probeDelayMs, maxSockets: maxConnections, maxFreeSockets: maxConnections, scheduling: 'lifo', ...(maxIdleMs === undefined ? {} : { timeout: maxIdleMs }) })
  }

  function call ({ method, path, body, getBody, headers, timeoutMs, stallTimeoutMs, signal }: HttpCall): Promise<HttpResponse> {
    return new Promise((resolve, reject) => {
      const text = body === undefined ? undefined : JSON.stringify(body)
      let isConnected = false
      let receivedBytes = 0
      let announcedBytes: number | undefined
      const usedAgent = agent
      const request = sendRequest({
        host,
        port: Number(port),
        method,
        path,
        agent: usedAgent,
        headers: { ...headers, ...(text === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }) }
      })
      let limitMs = timeoutMs
      let timer = setTimeout(onTimeout, timeoutMs)
      let transferTimer: NodeJS.Timeout | undefined
      const onAbort = (): void => { fail(createError(ErrorKind.AnswerLost, 'the call was aborted')) }
      signal?.addEventListener('abort', onAbort, { once: true })
      request.on('socket', socket => {
        if (!socket.connecting) isConnected = true
        else socket.once('connect', () => { isConnected = true })
      })
      request.on('error', fail)
      request.on('response', response => {
        announcedBytes = Number(response.headers['content-length'] ?? 0)
        if (stallTimeoutMs !== undefined) allowSlowTransfer(stallTimeoutMs)
        response.on('data', (chunk: Buffer) => {
          receivedBytes += chunk.length
          if (stallTimeoutMs !== undefined) timer.refresh()
        })
        readJson(response).then(answer => {
          finish()
          resolve(answer)
        }, fail)
      })
      if (getBody === undefined) request.end(text)
      else request.once('socket', socket => { endWithBody(JSON.stringify(getBody(socket))) })

      function endWithBody (bodyText: string): void {
        request.setHeader('Content-Type', 'application/json')
        request.setHeader('Content-Length', Buffer.byteLength(bodyText))
        request.end(bodyText)
      }

      function allowSlowTransfer (stallMs: number): void {
        clearTimeout(timer)
        limitMs = stallMs
        timer = setTimeout(onTimeout, stallMs)
        transferTimer = setTimeout(onTimeout, maxTransferMs)
      }

      function onTimeout (): void {
        const limit = `no response from ${address} within ${limitMs} ms`
        fail(createError(ErrorKind.AnswerLost, announcedBytes === undefined ? limit : `${limit}: received ${receivedBytes} of ${announcedBytes} bytes`))
      }

      function finish (): void {
        clearTimeout(timer)
        clearTimeout(transferTimer)
        signal?.removeEventListener('abort', onAbort)
      }

      function fail (error: Error): void {
        finish()
        request.destroy()
        if (signal?.aborted !== true) replaceAgent(usedAgent)
        reject(toCallError(error, isConnected, address))
      }
    })
  }

  /** Stops reusing connections that may be unresponsive: idle ones are closed now, busy ones are not given further calls. */
  function replaceAgent (failed: Agent): void {
    if (agent !== failed) return
    agent = createAgent()
    for (const sockets of Object.values(failed.freeSockets)) for (const socket of sockets ?? []) socket.destroy()
  }
}

async function readJson (response: IncomingMessage): Promise<HttpResponse> {
  const chunks: Buffer[] = []
  for await (const chunk of response) chunks.push(chunk as Buffer)
  const status = response.statusCode ?? 0
  if (chunks.length === 0) return { status, body: undefined }
  try {
    return { status, body: JSON.parse(Buffer.concat(chunks).toString()) }
  } catch {
    return { status, body: undefined }
  }
}

/** Before the connection is established nothing was sent; after that the peer may still carry out the request, even later. */
function toCallError (error: Error, isConnected: boolean, address: string): Error {
  if (!isConnected) return createError(ErrorKind.PeerUnreachable, `no connection to ${address}: ${error.message}`)
  return createError(ErrorKind.AnswerLost, error.message)
}
