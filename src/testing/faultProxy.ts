/** A loopback proxy between two processes that delays, resets, silences or cuts one way. */
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** What the proxy does with the bytes of a connection. */
export enum LinkFault {
  None = 'none',
  Delay = 'delay',
  /** Connections are reset as they come, and open ones at once. */
  Reset = 'reset',
  /** Bytes disappear in both directions; nothing is reset. */
  Silent = 'silent',
  /** Requests arrive, answers disappear. */
  OneWay = 'one-way'
}

/** The proxy of one link. */
export interface FaultProxy {
  readonly address: string
  setFault (fault: LinkFault): void
  close (): void
}

const delayMs = 300

/** Listens on a free loopback port and forwards to `target` (`host:port`). */
export async function createFaultProxy (target: string): Promise<FaultProxy> {
  const [host = '', port = ''] = target.split(':')
  const open = new Set<Socket>()
  /** Connections that have been silenced once stay so, as when a path is lost. */
  const silenced = new WeakSet<Socket>()
  let fault = LinkFault.None
  const server = createServer(near => {
    if (fault === LinkFault.Reset) {
      near.resetAndDestroy()
      return
    }
    const far = connect(Number(port), host)
    join(near, far, true)
    join(far, near, false)
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, setFault, close }

  function join (from: Socket, to: Socket, isRequest: boolean): void {
    open.add(from)
    from.on('error', () => { to.destroy() })
    from.on('close', () => {
      open.delete(from)
      to.destroy()
    })
    from.on('data', chunk => {
      const isLost = fault === LinkFault.Silent || (fault === LinkFault.OneWay && !isRequest)
      if (isLost) silenced.add(from)
      if (silenced.has(from)) return
      if (fault === LinkFault.Delay) setTimeout(() => { if (!to.destroyed) to.write(chunk) }, delayMs)
      else to.write(chunk)
    })
  }

  function setFault (next: LinkFault): void {
    fault = next
    if (fault === LinkFault.Reset) for (const socket of open) socket.resetAndDestroy()
  }

  function close (): void {
    server.close()
    for (const socket of open) socket.destroy()
  }
}
