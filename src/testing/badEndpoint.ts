/** An endpoint that breaks at a chosen point of the exchange. It counts the requests that it ran. */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** Where the endpoint breaks. */
export enum BreakPoint {
  /** Nothing listens. */
  BeforeConnect = 'before connect',
  AfterConnect = 'after connect',
  MidRequest = 'mid-request',
  /** It ran the request and ends before its answer. */
  AfterRequest = 'after request',
  MidHead = 'mid-head',
  MidAnswer = 'mid-answer',
  /** In the middle of an answer that is larger than what is buffered. */
  MidLargeAnswer = 'mid large answer',
  Never = 'never'
}

/** An endpoint that breaks. */
export interface BadEndpoint {
  readonly address: string
  getRunCount (): number
  close (): Promise<void>
}

const largeBytes = 300_000

/** Starts an endpoint that breaks at a point of every exchange. */
export async function startBadEndpoint (breakPoint: BreakPoint): Promise<BadEndpoint> {
  let runCount = 0
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => sockets.delete(socket))
    if (breakPoint === BreakPoint.AfterConnect) socket.destroy()
    let received = ''
    socket.on('data', chunk => {
      received += chunk.toString()
      if (breakPoint === BreakPoint.MidRequest) socket.destroy()
      else if (isWhole(received)) {
        received = ''
        runCount++
        answer(socket, breakPoint)
      }
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const close = (): Promise<void> => new Promise(resolve => {
    server.close(() => resolve())
    for (const socket of sockets) socket.destroy()
  })
  if (breakPoint === BreakPoint.BeforeConnect) await close()
  return { address: `127.0.0.1:${port}`, getRunCount: () => runCount, close: breakPoint === BreakPoint.BeforeConnect ? async () => {} : close }
}

function isWhole (received: string): boolean {
  const headEnd = received.indexOf('\r\n\r\n')
  if (headEnd < 0) return false
  const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0)
  return received.length >= headEnd + 4 + length
}

function answer (socket: Socket, breakPoint: BreakPoint): void {
  switch (breakPoint) {
    case BreakPoint.AfterRequest:
      socket.destroy()
      return
    case BreakPoint.MidHead:
      socket.end('HTTP/1.1 200 OK\r\nContent-Le')
      return
    case BreakPoint.MidAnswer:
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf')
      return
    case BreakPoint.MidLargeAnswer:
      socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${largeBytes}\r\n\r\n${'x'.repeat(largeBytes / 2)}`)
      return
    default:
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull')
  }
}
