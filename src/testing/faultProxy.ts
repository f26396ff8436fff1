/** A loopback TCP proxy between two processes that can delay or drop the traffic, or reset connections. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** The fault that the proxy injects into its connections. */
export enum LinkFault {
  None = 'none',
  Delay = 'delay',
  /** Open connections are reset immediately, and new ones as they are accepted. */
  Reset = 'reset',
  /** Bytes are dropped in both directions; no connection is reset. */
  DropAll = 'silent',
  /** Requests are forwarded, responses are dropped. */
  DropResponses = 'one-way'
}

/** A proxy for the connections to one target. */
export interface FaultProxy {
  readonly address: string
  setFault (fault: LinkFault): void
  close (): void
}

const delayMs = 300

/** Listens on a free loopback port and forwards to `target` (`host:port`). */
export async function createFaultProxy (target: string): Promise<FaultProxy> {
  const [host = '', port = ''] = target.split(':')
  const openSockets = new Set<Socket>()
  /** Once bytes from a socket were dropped, all later ones are dropped too, as when a network path is lost. */
  const droppedSockets = new WeakSet<Socket>()
  let fault = LinkFault.None
  const server = createServer(client => {
    if (fault === LinkFault.Reset) {
      client.resetAndDestroy()
      return
    }
    const upstream = connect(Number(port), host)
    forward(client, upstream, true)
    forward(upstream, client, false)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, setFault, close }

  function forward (from: Socket, to: Socket, isRequest: boolean): void {
    openSockets.add(from)
    from.on('error', () => { to.destroy() })
    from.on('close', () => {
      openSockets.delete(from)
      to.destroy()
    })
    from.on('data', chunk => {
      const isDropped = fault === LinkFault.DropAll || (fault === LinkFault.DropResponses && !isRequest)
      if (isDropped) droppedSockets.add(from)
      if (droppedSockets.has(from)) return
      if (fault === LinkFault.Delay) setTimeout(() => { if (!to.destroyed) to.write(chunk) }, delayMs)
      else to.write(chunk)
    })
  }

  function setFault (next: LinkFault): void {
    fault = next
    if (fault === LinkFault.Reset) for (const socket of openSockets) socket.resetAndDestroy()
  }

  function close (): void {
    server.close()
    for (const socket of openSockets) socket.destroy()
  }
}
