/** The connections to other hosts, over loopback addresses. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Socket, AddressInfo } from 'node:net'
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createPeerConnections } from './peerConnections.js'

beforeEach(() => { jest.useFakeTimers({ doNotFake: ['setImmediate', 'nextTick', 'queueMicrotask'] }) })
afterEach(() => { jest.useRealTimers() })

// The clients of all addresses that were ever contacted were kept, as those of hosts that have moved.
test('a client that is not used for a minute is closed, and another one serves the address', async () => {
  const sockets: Socket[] = []
  const server = createServer((request, response) => {
    request.resume().on('end', () => { response.writeHead(200, { 'Content-Type': 'application/json' }).end('{"jsonrpc":"2.0","id":1,"result":"done"}') })
  })
  // The server does not close idle connections itself.
  server.keepAliveTimeout = 0
  server.on('connection', socket => { sockets.push(socket) })
  await once(server.listen(0, '127.0.0.1'), 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const connect = createPeerConnections()

  const first = connect(address)
  expect(await first.call('method', {})).toBe('done')
  await jest.advanceTimersByTimeAsync(50_000)
  expect(connect(address)).toBe(first)
  await jest.advanceTimersByTimeAsync(50_000)
  expect(connect(address)).toBe(first)
  expect(sockets).toHaveLength(1)
  const closed = once(sockets[0] as Socket, 'close')
  await jest.advanceTimersByTimeAsync(61_000)
  await closed
  const second = connect(address)
  expect(second).not.toBe(first)
  expect(await second.call('method', {})).toBe('done')

  const isServerClosed = once(server, 'close')
  server.close()
  server.closeAllConnections()
  await isServerClosed
})
