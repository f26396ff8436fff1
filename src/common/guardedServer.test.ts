/** A guarded server over loopback: requests sent ahead, bodies, refusals and answers that Node would make itself. */
import { connect } from 'node:net'
import type { Socket, AddressInfo } from 'node:net'
import type { ServerResponse } from 'node:http'
import { afterEach, expect, jest, test } from '@jest/globals'
import { RefusalCause } from './clientBudget.js'
import { createGuardedServer } from './guardedServer.js'
import type { GuardedServer, GuardedServerHost } from './guardedServer.js'
import { readBody } from './http.js'

let guarded: GuardedServer | undefined
let causes: RefusalCause[] = []
const sockets: Socket[] = []

afterEach(() => {
  jest.useRealTimers()
  for (const socket of sockets.splice(0)) socket.destroy()
  guarded?.server.close()
  guarded?.server.closeAllConnections()
  causes = []
})

async function listen ({ streams, ...host }: Partial<GuardedServerHost> & { readonly streams?: boolean }): Promise<number> {
  const created = guarded = createGuardedServer({
    limits: { maxConnections: 10, maxBytes: 1_000_000 },
    handle: async (_request, response) => { response.end() },
    onRefused: cause => { causes.push(cause) },
    ...(streams === true ? {} : { getMaxBodyBytes: () => 100_000 }),
    ...host
  })
  await new Promise<void>(resolve => { created.server.listen(0, '127.0.0.1', resolve) })
  return (created.server.address() as AddressInfo).port
}

/** Sends a text; resolves with all that was received when the connection is closed. */
function exchange (port: number, text: string): Promise<string> {
  return new Promise(resolve => {
    let received = ''
    const socket = connect(port, '127.0.0.1', () => { socket.write(text) })
    sockets.push(socket)
    socket.on('data', chunk => { received += String(chunk) })
    socket.on('error', () => {})
    socket.once('close', () => { resolve(received) })
  })
}

function get (path: string, headers = ''): string {
  return `GET ${path} HTTP/1.1\r\nHost: host\r\n${headers}\r\n`
}

function post (bytes: number): string {
  return `POST / HTTP/1.1\r\nHost: host\r\nContent-Length: ${bytes}\r\n\r\n${'x'.repeat(bytes)}`
}

function createReader (errors: string[]): GuardedServerHost['handle'] {
  return async (request, response) => {
    await readBody(request, 100_000).then(() => {}, (error: unknown) => { errors.push(String(error)) })
    response.writeHead(200, { Connection: 'close' }).end()
  }
}

function getStatuses (text: string): readonly string[] {
  return text.match(/HTTP\/1\.1 \d+/g)?.map(line => line.slice(-3)) ?? []
}

// Guards against requests that are sent ahead and all handled at once.
test('a request sent ahead is handled after the answer ahead of it was written out', async () => {
  const handled: string[] = []
  const responses: ServerResponse[] = []
  let notify = (): void => {}
  const port = await listen({
    handle: async (request, response) => {
      handled.push(request.url ?? '')
      responses.push(response)
      notify()
    }
  })
  const firstHandled = new Promise<void>(resolve => { notify = resolve })
  const received = exchange(port, get('/1') + get('/2') + get('/3', 'Connection: close\r\n'))
  await firstHandled
  for (let count = 1; count <= 3; count++) {
    expect(handled).toHaveLength(count)
    const nextHandled = new Promise<void>(resolve => { notify = resolve })
    responses[count - 1]?.end()
    if (count < 3) await nextHandled
  }
  expect(getStatuses(await received)).toEqual(['200', '200', '200'])
  expect(handled).toEqual(['/1', '/2', '/3'])
})

test('more than 16 requests sent ahead close the connection, and none of them is handled', async () => {
  let handled = 0
  const port = await listen({ handle: async () => { handled++ } })
  expect(await exchange(port, get('/').repeat(3_000))).toBe('')
  expect([handled, causes]).toEqual([1, [RefusalCause.SentAhead]])
})

test('requests without a Host header and with an unknown expectation are answered and end the connection', async () => {
  const port = await listen({})
  expect(getStatuses(await exchange(port, 'GET / HTTP/1.1\r\n\r\n'))).toEqual(['400'])
  expect(getStatuses(await exchange(port, get('/', 'Expect: much\r\n')))).toEqual(['417'])
})

test('a body over the limit is rejected, and what it held is free afterwards', async () => {
  const errors: string[] = []
  const port = await listen({ handle: createReader(errors) })
  for (const bytes of [120_000, 40_000]) expect(getStatuses(await exchange(port, post(bytes)))).toEqual(['200'])
  expect(errors).toEqual([expect.stringContaining('exceeds the limit')])
  expect(guarded?.budget.getHeldBytes()).toBe(0)
})

// Guards against an answer 503, which would promise that the job does not run, to a repeat of a job that was accepted.
test('a body without room closes the connection without an answer, and what it held is free afterwards', async () => {
  const errors: string[] = []
  const port = await listen({ limits: { maxConnections: 10, maxBytes: 50_000 }, handle: createReader(errors) })
  expect(getStatuses(await exchange(port, post(90_000)))).toEqual([])
  expect(getStatuses(await exchange(port, post(20_000)))).toEqual(['200'])
  expect([errors, causes]).toEqual([[expect.stringContaining('no memory')], [RefusalCause.Bytes]])
  expect(guarded?.budget.getHeldBytes()).toBe(0)
})

// Guards against bodies that pile up because the handler answers before it reads them.
test('a body that its handler does not read is read and dropped, and the connection goes on', async () => {
  const port = await listen({})
  const unread = `POST / HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(1_000)}0\r\n\r\n`
  expect(getStatuses(await exchange(port, unread + unread + get('/', 'Connection: close\r\n')))).toEqual(['200', '200', '200'])
  expect(guarded?.budget.getHeldBytes()).toBe(0)
})

test('a body sent to a port that takes none closes the connection', async () => {
  const port = await listen({ getMaxBodyBytes: () => 0 })
  expect(await exchange(port, 'POST / HTTP/1.1\r\nHost: host\r\nContent-Length: 1\r\n\r\nx')).toBe('')
  expect(causes).toEqual([RefusalCause.Body])
})

test('a connection beyond the limit closes the one that has sent nothing for longest', async () => {
  const port = await listen({ limits: { maxConnections: 1, maxBytes: 1_000 } })
  const silent = exchange(port, 'GET / HTTP/1.1\r\n')
  await new Promise<void>(resolve => { guarded?.server.once('connection', () => { resolve() }) })
  expect(getStatuses(await exchange(port, get('/', 'Connection: close\r\n')))).toEqual(['200'])
  expect(await silent).toBe('')
  expect(causes).toEqual([RefusalCause.Connections])
})

// Guards against uploads of over 30 s through the router that are taken for stalled.
test.each([
  ['a body that is collected and stands still for 30 s closes the connection', () => 100_000, [RefusalCause.Stalled]],
  ['a body that is streamed may stand still for as long as its handler takes', undefined, []]
])('%s', async (_name, getMaxBodyBytes, expected) => {
  jest.useFakeTimers({ doNotFake: ['nextTick', 'setImmediate', 'queueMicrotask'] })
  let finish = (): void => {}
  const handled = new Promise<void>(resolve => { finish = resolve })
  const handle: GuardedServerHost['handle'] = async () => { finish() }
  const port = await listen(getMaxBodyBytes === undefined ? { streams: true, handle } : { getMaxBodyBytes, handle })
  const received = exchange(port, 'POST / HTTP/1.1\r\nHost: host\r\nContent-Length: 100\r\n\r\nx')
  await handled
  jest.advanceTimersByTime(45_000)
  expect(causes).toEqual(expected)
  if (expected.length > 0) expect(await received).toBe('')
})
