/** A test endpoint that closes the connection at a chosen point of the HTTP exchange and counts the requests it ran. */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** The point of the HTTP exchange at which the endpoint fails. */
export enum FailurePoint {
  /** Nothing listens on the port. */
  BeforeConnect = 'before connect',
  AfterConnect = 'after connect',
  MidRequest = 'mid-request',
  /** The request ran; the connection closes before any byte of the response. */
  AfterRequest = 'after request',
  MidHeaders = 'mid-head',
  MidResponse = 'mid-answer',
  /** In the middle of a response body that is larger than the buffers. */
  MidLargeResponse = 'mid large answer',
  Never = 'never'
}

/** A running test endpoint that fails at one point of every exchange. */
export interface FaultyEndpoint {
  readonly address: string
  getRunCount (): number
  close (): Promise<void>
}

const largeBodyBytes = 300_000

/** Starts an endpoint that fails at the given point of every exchange. */
export async function startFaultyEndpoint (failurePoint: FailurePoint): Promise<FaultyEndpoint> {
  let runCount = 0
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => sockets.delete(socket))
    if (failurePoint === FailurePoint.AfterConnect) socket.destroy()
    let received = ''
    socket.on('data', chunk => {
      received += chunk.toString()
      if (failurePoint === FailurePoint.MidRequest) socket.destroy()
      else if (isCompleteRequest(received)) {
        received = ''
        runCount++
        respond(socket, failurePoint)
      }
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const close = (): Promise<void> => new Promise(resolve => {
    server.close(() => resolve())
    for (const socket of sockets) socket.destroy()
  })
  if (failurePoint === FailurePoint.BeforeConnect) await close()
  return { address: `127.0.0.1:${port}`, getRunCount: () => runCount, close: failurePoint === FailurePoint.BeforeConnect ? async () => {} : close }
}

function isCompleteRequest (received: string): boolean {
  const headerEnd = received.indexOf('\r\n\r\n')
  if (headerEnd < 0) return false
  const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0)
  return received.length >= headerEnd + 4 + length
}

function respond (socket: Socket, failurePoint: FailurePoint): void {
  switch (failurePoint) {
    case FailurePoint.AfterRequest:
      socket.destroy()
      return
    case FailurePoint.MidHeaders:
      socket.end('HTTP/1.1 200 OK\r\nContent-Le')
      return
    case FailurePoint.MidResponse:
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf')
      return
    case FailurePoint.MidLargeResponse:
      socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${largeBodyBytes}\r\n\r\n${'x'.repeat(largeBodyBytes / 2)}`)
      return
    default:
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull')
  }
}
