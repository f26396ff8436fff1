/**
 * HTTP servers whose clients share a budget. Requests that are sent ahead on a connection wait until the answers ahead of them have been written out,
 * and the connection is not read in the meantime.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { createClientBudget, RefusalCause } from './clientBudget.js'
import type { BudgetedClient, ClientBudget, ClientLimits } from './clientBudget.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'

/** Settings of a guarded server. */
export interface GuardedServerHost {
  readonly limits: ClientLimits
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>
  /** Called for each client that is refused. */
  readonly onRefused?: (cause: RefusalCause) => void
  /**
   * The most bytes of a body, for ports whose handlers read whole bodies: these are read as soon as they arrive. 0 for a port that takes no bodies;
   * absent for a port whose handlers stream bodies.
   */
  readonly getMaxBodyBytes?: () => number
  readonly options?: ServerOptions
}

/** A server and the budget of its clients. */
export interface GuardedServer {
  readonly server: Server
  readonly budget: Pick<ClientBudget, 'countConnections' | 'getHeldBytes'>
}

/** A body that is read into one buffer. */
export interface CollectedBody {
  /** Rejects with `too-large`, or with `overloaded` if there is no room for it and the connection was closed. */
  readonly whole: Promise<Buffer>
  /** Frees the buffer; the rest of the body is discarded. */
  release (): void
}

interface Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: CollectedBody | undefined
  readonly waitingBytes: number
}

interface Connection {
  readonly client: BudgetedClient
  readonly budget: ClientBudget
  readonly socket: Socket
  current: Exchange | undefined
  isHandled: boolean
  readonly waiting: Exchange[]
  smallChunks: number
  /** The connection is not read for a while because of its small chunks. */
  isThrottled: boolean
  /** Bytes received, and sent without those that wait, when the connection was last looked at. */
  movedBytes: number
}

/** The most requests of a connection that may wait for the answers ahead of them. */
const maxSentAhead = 16
/** Memory of a request that waits, apart from its head. */
const waitingRequestBytes = 4 * 1_024
/** A head has to be whole within this time, in ms. */
const headTimeoutMs = 10_000
/** Bodies and the reading of answers have to make progress within this time, in ms. */
const progressTimeoutMs = 30_000
const sweepMs = 5_000
/** How long an idle connection is kept, in ms. */
const keepAliveTimeoutMs = 60_000
/** Chunks below this size count as small. A read of a socket, 64 KB, has up to 11,000 of them. */
const smallChunkBytes = 64
/** Small chunks of a connection are counted in groups, to keep the count cheap. */
const smallChunkGroup = 64

/** The smallest buffer of a body. */
const minBufferBytes = 1_024

const connections = new WeakMap<object, Connection>()
const bodies = new WeakMap<IncomingMessage, CollectedBody>()

/** Creates a server; it does not listen yet. */
export function createGuardedServer (host: GuardedServerHost): GuardedServer {
  const budget = createClientBudget({ limits: host.limits, onRefused: cause => { host.onRefused?.(cause) } })
  const open = new Set<Connection>()
  // Without `requireHostHeader: false` Node answers such requests itself, and these answers queue without a bound.
  const server = createServer({ headersTimeout: headTimeoutMs, connectionsCheckingInterval: sweepMs, ...host.options, requireHostHeader: false })
  server.keepAliveTimeout = keepAliveTimeoutMs
  server.on('connection', onConnection)
  server.on('request', onRequest)
  server.on('checkExpectation', onRequest)
  const sweepTimer = setInterval(closeStalled, sweepMs).unref()
  server.once('close', () => { clearInterval(sweepTimer) })
  return { server, budget }

  function onConnection (socket: Socket): void {
    const client = budget.tryAdd({
      isHandling: () => connection.current?.request.complete === true && !connection.isHandled,
      close: () => { closeAndDropRequests(socket) }
    })
    if (client === undefined) {
      socket.destroy()
      return
    }
    const connection: Connection = { client, budget, socket, current: undefined, isHandled: false, waiting: [], smallChunks: 0, isThrottled: false, movedBytes: 0 }
    connections.set(socket, connection)
    open.add(connection)
    socket.once('close', () => {
      client.remove()
      open.delete(connection)
      connection.waiting.length = 0
    })
  }

  function onRequest (request: IncomingMessage, response: ServerResponse): void {
    const connection = connections.get(request.socket)
    // The rest of a read whose connection was refused.
    if (connection === undefined || request.socket.destroyed) return
    const isNext = connection.current === undefined
    if (host.getMaxBodyBytes?.() === 0 && hasBody(request)) {
      connection.client.refuse(RefusalCause.Body)
      return
    }
    const body = host.getMaxBodyBytes === undefined || !hasBody(request) ? undefined : collectBody(request, host.getMaxBodyBytes())
    const exchange: Exchange = { request, response, body, waitingBytes: isNext ? 0 : getWaitingBytes(request) }
    if (isNext) run(connection, exchange)
    else wait(connection, exchange)
  }

  function wait ({ client, socket, waiting }: Connection, exchange: Exchange): void {
    // A stream that nobody reads keeps each of its chunks.
    const isUnreadStream = exchange.body === undefined && exchange.request.headers['transfer-encoding'] !== undefined
    if (waiting.length >= maxSentAhead || isUnreadStream) client.refuse(RefusalCause.SentAhead)
    else if (!client.tryHold(exchange.waitingBytes)) client.refuse(RefusalCause.Bytes)
    else {
      waiting.push(exchange)
      socket.pause()
    }
  }

  function run (connection: Connection, exchange: Exchange): void {
    const { request, response } = exchange
    connection.current = exchange
    connection.isHandled = false
    response.once('close', () => { onAnswered(connection, exchange) })
    if (request.headers.host === undefined && request.httpVersion === '1.1') {
      response.writeHead(400, { Connection: 'close', 'Content-Length': 0 }).end()
      connection.isHandled = true
      return
    }
    if (request.headers.expect !== undefined && request.headers.expect.toLowerCase() !== '100-continue') {
      response.writeHead(417, { Connection: 'close', 'Content-Length': 0 }).end()
      connection.isHandled = true
      return
    }
    void host.handle(request, response).catch(() => {
      if (!response.headersSent) response.writeHead(500)
      response.end()
    }).finally(() => { if (connection.current === exchange) connection.isHandled = true })
  }

  function onAnswered (connection: Connection, { body, waitingBytes }: Exchange): void {
    const { client, socket, waiting } = connection
    connection.current = undefined
    body?.release()
    client.tryHold(-waitingBytes)
    client.noteServed()
    const next = waiting.shift()
    if (next === undefined || socket.destroyed) return
    if (waiting.length === 0 && !connection.isThrottled) socket.resume()
    run(connection, next)
  }

  function closeStalled (): void {
    for (const connection of open) {
      const { client, socket, current } = connection
      const movedBytes = socket.bytesRead + socket.bytesWritten - socket.writableLength
      if (movedBytes !== connection.movedBytes) client.noteProgress()
      connection.movedBytes = movedBytes
      const isUnread = socket.writableLength > 0
      // A streamed body may stand still because its handler does not take more of it.
      const isReading = host.getMaxBodyBytes !== undefined && current !== undefined && !current.request.complete
      if ((isUnread || isReading) && client.getStalledMs() > progressTimeoutMs) client.refuse(RefusalCause.Stalled)
    }
  }
}

/** Reads a body into one buffer, within the budget of its connection if it has come to a guarded server. */
export function collectBody (message: IncomingMessage, limitBytes: number): CollectedBody {
  const connection = connections.get(message.socket)
  const collected = bodies.get(message)
  if (collected !== undefined) return collected
  let buffer: Buffer | undefined = Buffer.alloc(0)
  let sizeBytes = 0
  const whole = new Promise<Buffer>((resolve, reject) => {
    message.on('data', (chunk: Buffer) => {
      if (connection !== undefined) onChunk(message, connection, chunk.length)
      if (buffer === undefined) return
      const neededBytes = sizeBytes + chunk.length
      if (neededBytes > limitBytes) fail(createError(ErrorKind.TooLarge, `the body exceeds the limit of ${limitBytes} bytes`))
      else if (!tryGrow(neededBytes)) {
        fail(createError(ErrorKind.Overloaded, 'this host has no memory for the body at present'))
        // An answer 503 would promise that the job does not run, but an earlier copy of the request may have been accepted.
        connection?.client.refuse(RefusalCause.Bytes)
      } else {
        chunk.copy(buffer, sizeBytes)
        sizeBytes = neededBytes
      }
    })
    message.once('end', () => { if (buffer !== undefined) resolve(buffer.subarray(0, sizeBytes)) })
    message.once('error', fail)
    message.once('close', () => { if (!message.readableEnded) fail(createError(ErrorKind.Internal, 'the connection ended before the body was whole')) })

    function fail (error: Error): void {
      release()
      reject(error)
    }
  })
  // A body that no handler reads may fail as well.
  whole.catch(() => {})
  const body: CollectedBody = { whole, release }
  bodies.set(message, body)
  return body

  /** Chunks are copied: each is a part of a buffer of up to 64 KB, which it would keep. */
  function tryGrow (neededBytes: number): boolean {
    if (buffer === undefined || neededBytes <= buffer.length) return buffer !== undefined
    const capacityBytes = Math.min(limitBytes, Math.max(neededBytes, 2 * buffer.length, minBufferBytes))
    if (connection?.client.tryHold(capacityBytes - buffer.length) === false) return false
    const larger = Buffer.allocUnsafeSlow(capacityBytes)
    buffer.copy(larger, 0, 0, sizeBytes)
    buffer = larger
    return true
  }

  function release (): void {
    if (buffer === undefined) return
    connection?.client.tryHold(-buffer.length)
    buffer = undefined
  }
}

function onChunk (message: IncomingMessage, connection: Connection, bytes: number): void {
  const { client, budget, socket } = connection
  client.noteProgress()
  if (bytes >= smallChunkBytes || ++connection.smallChunks % smallChunkGroup !== 0) return
  const pauseMs = budget.tryTakeSmallChunks(smallChunkGroup)
  if (pauseMs === undefined) client.refuse(RefusalCause.SmallChunks)
  else if (pauseMs > 0 && !connection.isThrottled) throttle()

  /** Stops reading the socket. The rest of the present read is still taken: as chunks that wait in the message it would need far more memory. */
  function throttle (): void {
    connection.isThrottled = true
    // A message that flows resumes its socket in `_read`.
    message._read = () => {}
    socket.pause()
    setTimeout(() => {
      connection.isThrottled = false
      Reflect.deleteProperty(message, '_read')
      if (connection.waiting.length === 0) socket.resume()
    }, pauseMs)
  }
}

/**
 * Closes a connection. Node's parser works through a whole read of the socket in one turn, up to 3,600 requests, and Node keeps each of them until the
 * close has been processed. There is no public way to end that; without `onIncoming` they are parsed and
 * dropped, and without `incoming` so are the chunks of a body.
 */
function closeAndDropRequests (socket: Socket & { readonly parser?: { onIncoming?: unknown, incoming?: unknown } | null }): void {
  socket.destroy()
  const { parser } = socket
  if (parser?.onIncoming === undefined) return
  parser.onIncoming = () => 0
  parser.incoming = null
}

function getWaitingBytes (request: IncomingMessage): number {
  return request.rawHeaders.reduce((sum, text) => sum + text.length, waitingRequestBytes + (request.url ?? '').length)
}

function hasBody (request: IncomingMessage): boolean {
  return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0
}
