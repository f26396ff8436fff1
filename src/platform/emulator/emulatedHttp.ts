/** HTTP server of the emulator: JSON bodies on a loopback address, with responses that can be dropped. */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { readBody } from '../../common/http.js'
import { delay } from '../../common/time.js'
import { ErrorKind, isErrorOfKind } from '../../errors/errorKinds.js'

/** A response; without a status the connection is closed, as if the response were lost. */
export interface EmulatedResponse {
  readonly status?: number
  readonly body?: unknown
}

/** Answers one request. A rejection closes the connection unless its kind has a status in the protocol. */
export type EmulatedHandler = (method: string, url: URL, body: Record<string, unknown>, headers: IncomingMessage['headers']) => Promise<EmulatedResponse>

/** A running server. */
export interface EmulatedServer {
  readonly address: string
  /** While down, resets all connections. The port stays in use, so that no other process takes it. */
  setDown (isDown: boolean): void
  close (): void
}

const maxBodyBytes = 2 * 1024 * 1024
/** Interval between two parts of a body that is sent at a limited rate, in ms. */
const partPeriodMs = 20

/** Listens on a free loopback port. If `bytesPerS` is given, each response body is sent at that rate. */
export async function listenEmulated (handle: EmulatedHandler, bytesPerS = Infinity): Promise<EmulatedServer> {
  let isDown = false
  const server = createServer((request, response) => {
    void answer().catch(() => { response.destroy() })

    async function answer (): Promise<void> {
      const text = (await readBody(request, maxBodyBytes)).toString()
      const url = new URL(request.url ?? '/', 'http://emulator')
      const { status, body } = await handle(request.method ?? '', url, text === '' ? {} : JSON.parse(text) as Record<string, unknown>, request.headers).catch(toErrorResponse)
      if (status === undefined) response.destroy()
      else await send(response, status, Buffer.from(body === undefined ? '' : JSON.stringify(body)))
    }
  })
  server.on('connection', socket => { if (isDown) socket.resetAndDestroy() })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setDown: isDownNow => {
      isDown = isDownNow
      if (isDown) server.closeAllConnections()
    },
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }

  async function send (response: ServerResponse, status: number, body: Buffer): Promise<void> {
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': body.length })
    const partBytes = Math.ceil(bytesPerS * partPeriodMs / 1_000)
    let sentBytes = 0
    while (body.length - sentBytes > partBytes && !response.destroyed) {
      response.write(body.subarray(sentBytes, sentBytes + partBytes))
      sentBytes += partBytes
      await delay(partPeriodMs)
    }
    response.end(body.subarray(sentBytes))
  }
}

function toErrorResponse (error: unknown): EmulatedResponse {
  if (isErrorOfKind(error, ErrorKind.StoreUnavailable)) return { status: 503 }
  if (isErrorOfKind(error, ErrorKind.NotFound)) return { status: 404 }
  if (isErrorOfKind(error, ErrorKind.HistoryGone)) return { status: 410 }
  if (isErrorOfKind(error, ErrorKind.Conflict)) return { status: 421 }
  if (isErrorOfKind(error, ErrorKind.BadRequest)) return { status: 400 }
  if (isErrorOfKind(error, ErrorKind.StaleEpoch)) return { status: 409, body: { clockMs: Math.floor(performance.now()), reason: 'fence' } }
  return {}
}
