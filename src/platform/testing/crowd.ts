/** A crowd of clients that do not behave: raw connections that send their bytes as fast as they are taken and do not read the answers. */
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { delay } from '../../common/time.js'

/** What the clients of a crowd do. */
export interface CrowdPlan {
  readonly host: string
  readonly port: number
  readonly connections: number
  /** What each connection sends; it stays open afterwards. */
  readonly payload: Buffer
  /** Whether a connection closes as soon as it has sent its payload. */
  readonly leavesEarly?: (index: number) => boolean
}

/** A crowd whose connections are open. */
export interface Crowd {
  /** Resolves when the host has taken no byte and accepted no connection for a while. */
  settle (): Promise<void>
  /** The number of connections that the host or the client has closed. */
  countClosed (): number
  close (): void
}

const maxWriteBytes = 64 * 1_024
const checkMs = 100
/** The crowd counts as settled after this many checks without progress. */
const quietChecks = 10
/** The most checks: a host that takes the bytes slowly is not waited for any longer. */
const maxChecks = 300
/** Connections are opened this many at a time, so that the queue of new connections does not overflow. */
const openedAtOnce = 100

/** Starts the crowd. */
export function startCrowd (plan: CrowdPlan): Crowd {
  const sockets: Socket[] = []
  let connected = 0
  let closed = 0
  let isClosing = false
  const opened = openAll()
  return { settle, countClosed: () => closed, close }

  async function openAll (): Promise<void> {
    while (sockets.length < plan.connections && !isClosing) {
      for (let count = 0; count < openedAtOnce && sockets.length < plan.connections; count++) open(sockets.length)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }

  function open (index: number): void {
    const socket = connect(plan.port, plan.host)
    sockets.push(socket)
    // Answers are not read.
    socket.pause()
    socket.on('error', () => {})
    socket.once('close', () => { closed++ })
    socket.once('connect', () => {
      connected++
      sendFrom(0)
    })

    function sendFrom (startBytes: number): void {
      if (startBytes >= plan.payload.length) {
        if (plan.leavesEarly?.(index) === true) socket.destroy()
        return
      }
      const endBytes = startBytes + maxWriteBytes
      socket.write(plan.payload.subarray(startBytes, endBytes), error => { if (error == null) sendFrom(endBytes) })
    }
  }

  async function settle (): Promise<void> {
    await opened
    let previous = ''
    for (let checks = 0, quiet = 0; checks < maxChecks && quiet < quietChecks; checks++) {
      await delay(checkMs)
      const sentBytes = sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0)
      const progress = `${connected} ${closed} ${sentBytes}`
      quiet = progress === previous ? quiet + 1 : 0
      previous = progress
    }
  }

  function close (): void {
    isClosing = true
    for (const socket of sockets) socket.destroy()
  }
}
