/** Small helpers around Node's http server. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createError, ErrorKind } from '../errors/errorKinds.js'

/** A listener's place; port 0 lets the system choose. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** A running HTTP server. */
export interface HttpListener {
  /** `host:port` that clients use. */
  readonly address: string
  /** Stops taking connections, waits for open exchanges, then resolves. */
  close (): Promise<void>
  /** Cuts every connection at once, as a crash would. */
  destroy (): Promise<void>
}

/** Handles one exchange. Rejections answer with status 500. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

const maxHeaderBytes = 16 * 1024
const headersTimeoutMs = 10_000
const idleCheckMs = 50

/** Starts an HTTP server and resolves when it listens. */
export async function listenHttp (listen: ListenAddress, handler: HttpHandler): Promise<HttpListener> {
  let isClosing = false
  const server = createServer({ maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs }, (request, response) => {
    if (isClosing) response.setHeader('Connection', 'close')
    handler(request, response).catch(() => {
      if (!response.headersSent) response.writeHead(500)
      response.end()
    })
  })
  server.keepAliveTimeout = 60_000
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

/** Reads a whole body; refuses one of more than `limitBytes`. */
export async function readBody (message: AsyncIterable<Buffer>, limitBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  for await (const chunk of message) {
    sizeBytes += chunk.length
    if (sizeBytes > limitBytes) throw createError(ErrorKind.TooLarge, `the body is larger than ${limitBytes} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/** Answers with JSON. */
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
    // A connection that was busy at the close is closed when it falls idle.
    const timer = setInterval(() => server.closeIdleConnections(), idleCheckMs)
    server.close(() => {
      clearInterval(timer)
      resolve()
    })
    if (isForced) server.closeAllConnections()
    else server.closeIdleConnections()
  })
}
