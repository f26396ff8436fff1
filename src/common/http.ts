/** Helpers for Node's HTTP server. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { collectBody, createGuardedServer } from './guardedServer.js'

/** The address that a server binds to; port 0 selects any free port. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** A running HTTP server. */
export interface HttpListener {
  /** The `host:port` that clients connect to. */
  readonly address: string
  /** Stops accepting connections and resolves when all open requests have finished. */
  close (): Promise<void>
  /** Closes every connection immediately, as a crash would. */
  destroy (): Promise<void>
}

/** Handles one request. A rejection produces a response with status 500. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

const maxHeaderBytes = 16 * 1024
/** The most that all clients of one listener hold. Its connections take up to 320 MB if all have sent what is not read yet; bodies and requests that wait take 64 MB. */
const listenerLimits = { maxConnections: 4_096, maxBytes: 64 * 1_024 * 1_024 }
const idleCheckMs = 50

/** Starts an HTTP server and resolves when it is listening. */
export async function listenHttp (listen: ListenAddress, handler: HttpHandler): Promise<HttpListener> {
  let isClosing = false
  const { server } = createGuardedServer({
    limits: listenerLimits,
    handle: async (request, response) => {
      if (isClosing) response.setHeader('Connection', 'close')
      await handler(request, response)
    },
    options: { maxHeaderSize: maxHeaderBytes }
  })
  await startListening(server, listen)
  const { port } = server.address() as AddressInfo
  return {
    address: `${listen.host}:${port}`,
    close: () => {
      isClosing = true
      return closeServer(server, false)
    },
    destroy: () => closeServer(server, true)
  }
}

/** Reads the whole body. Throws `too-large` when it exceeds `limitBytes`, and `overloaded` when its port has no memory for it and has closed the connection. */
export async function readBody (message: IncomingMessage, limitBytes: number): Promise<Buffer> {
  const body = await collectBody(message, limitBytes).whole
  if (body.length > limitBytes) throw createError(ErrorKind.TooLarge, `the body exceeds the limit of ${limitBytes} bytes`)
  return body
}

/** Sends a JSON response. */
export function sendJson (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void {
  const text = JSON.stringify(body) + '\n'
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), ...headers })
  response.end(text)
}

function startListening (server: Server, listen: ListenAddress): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.host, () => resolve())
  })
}

function closeServer (server: Server, isForced: boolean): Promise<void> {
  return new Promise(resolve => {
    // Connections with a request in progress are closed once they become idle.
    const timer = setInterval(() => server.closeIdleConnections(), idleCheckMs)
    server.close(() => {
      clearInterval(timer)
      resolve()
    })
    if (isForced) server.closeAllConnections()
    else server.closeIdleConnections()
  })
}
