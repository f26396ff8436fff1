/** The HTTP client of a worker, against a server on loopback that starts anew on the same port. */
import { afterEach, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import type { LeaseRenewal, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'
import { createHttpWorker } from './httpWorker.js'

let server: Server
let worker: WorkerPort
/** The ends that each poll acknowledged, in the order of arrival. */
let acknowledged: number[] = []
/** The ends of leases that each poll asked for. */
let leases: (number | undefined)[] = []

afterEach(async () => {
  worker.close()
  await stopServer()
})

async function startServer (port: number, bornAtMs: number): Promise<number> {
  server = createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString()) as { readonly seenUpto: number, readonly deadlineMs?: number }
      acknowledged.push(body.seenUpto)
      leases.push(body.deadlineMs)
      response.end(JSON.stringify({ clockMs: 1, born: bornAtMs, running: [], ended: [[1, '0123456789abcdef.0.0.0', 1, 'done', '']] }))
    })
  })
  server.listen(port, '127.0.0.1')
  await once(server, 'listening')
  return (server.address() as AddressInfo).port
}

async function stopServer (): Promise<void> {
  const closed = once(server, 'close')
  server.close()
  server.closeAllConnections()
  await closed
}

/** Polls until an answer arrives: the first poll after a restart may still use the broken connection. */
async function poll (acknowledgedSequence: number, lease: Pick<LeaseRenewal, 'leaseUntilMs' | 'leaseIncarnationMs'> = {}): Promise<WorkerStatusReport> {
  for (;;) {
    const report = await worker.renewLease({ epoch: 1, acknowledgedSequence, ...lease, waitMs: 0 }).catch(() => undefined)
    if (report !== undefined) return report
  }
}

test('ends are acknowledged only over the connection on which they were reported, never to a later incarnation', async () => {
  acknowledged = []
  const port = await startServer(0, 1_000)
  worker = createHttpWorker({ workerId: 'i-1', address: `127.0.0.1:${port}` })
  await poll(0)
  await poll(1)
  await stopServer()
  await startServer(port, 2_000)
  expect((await poll(1)).bornAtMs).toBe(2_000)
  await poll(1)
  expect(acknowledged).toEqual([0, 1, 0, 1])
})

// A poll for another host may be carried out late. The clock of a later incarnation starts anew, so that the lease would last for as long as workers grant.
test('a lease that is meant for one incarnation is asked for only where it has reported, never of a later one', async () => {
  leases = []
  const port = await startServer(0, 1_000)
  worker = createHttpWorker({ workerId: 'i-1', address: `127.0.0.1:${port}` })
  const lease = { leaseUntilMs: 486_000, leaseIncarnationMs: 1_000 }
  await poll(0, lease)
  await poll(0, lease)
  await poll(0, { ...lease, leaseIncarnationMs: 999 })
  await stopServer()
  await startServer(port, 2_000)
  expect((await poll(0, lease)).bornAtMs).toBe(2_000)
  await poll(0, lease)
  expect(leases).toEqual([undefined, 486_000, undefined, undefined, undefined])
})

// Guards against an inquiry that is not sent: while the answers to starts are lost, these hold all connections that it could use, until they time out.
test('an inquiry is answered while several starts have got no answer', async () => {
  const withheld: ServerResponse[] = []
  server = createServer((request, response) => {
    request.resume()
    if (request.url === '/sassafrasford/run-start') withheld.push(response)
    else response.end(JSON.stringify({ clockMs: 1, born: 1_000 }))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  worker = createHttpWorker({ workerId: 'i-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}` })
  let endedStarts = 0
  const starts = Array.from({ length: 4 }, async (_, index) => {
    const task = `0123456789abcdef.0.0.${index}`
    await worker.start({ task, run: 1, payload: '', checkpoint: '', leaseUntilMs: 1_000, epoch: 1, ticket: undefined }).catch(() => {})
    endedStarts++
  })
  while (withheld.length < starts.length) await nextTurn()
  await worker.renewLease({ epoch: 1, acknowledgedSequence: 0, waitMs: 0, answerTimeoutMs: 30_000, isConcurrent: true })
  const endedBeforeInquiry = endedStarts
  for (const response of withheld) response.end('{}')
  await Promise.all(starts)
  expect(endedBeforeInquiry).toBe(0)
})

// With a connection of its own for each worker that had ever been inquired, 3,000 workers would have taken more descriptors than a host has.
test('an inquiry uses a connection of the starts while one of them is idle', async () => {
  let connections = 0
  server = createServer((request, response) => {
    request.resume()
    response.end(JSON.stringify({ clockMs: 1, born: 1_000 }))
  })
  server.on('connection', () => { connections++ })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  worker = createHttpWorker({ workerId: 'i-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}` })
  await worker.start({ task: '0123456789abcdef.0.0.0', run: 1, payload: '', checkpoint: '', leaseUntilMs: 1_000, epoch: 1, ticket: undefined })
  // The connection counts as idle from the turn after the answer on.
  await nextTurn()
  await worker.renewLease({ epoch: 1, acknowledgedSequence: 0, waitMs: 0, isConcurrent: true })
  expect(connections).toBe(1)
})

// Guards against starts, polls and inquiries that are held up: a request that waits beside the poll is answered only when a run ends.
test('starts, polls and inquiries are sent while a request waits beside the poll', async () => {
  const waiting: ServerResponse[] = []
  const withheld: ServerResponse[] = []
  server = createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => {
      const body = JSON.parse(Buffer.concat(chunks).toString()) as { readonly task?: string, readonly waitMs?: number }
      if (body.waitMs !== undefined) waiting.push(response)
      else if (body.task?.endsWith('.late') === true) withheld.push(response)
      else response.end(JSON.stringify({ clockMs: 1, born: 1_000 }))
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  worker = createHttpWorker({ workerId: 'i-1', address: `127.0.0.1:${(server.address() as AddressInfo).port}` })
  const start = async (task: string): Promise<unknown> => await worker.start({ task, run: 1, payload: '', checkpoint: '', leaseUntilMs: 1_000, epoch: 1, ticket: undefined })
  // A connection of the starts is idle, and is not taken.
  await start('first')
  await nextTurn()
  let isAnswered = false
  const waited = worker.renewLease({ epoch: 1, acknowledgedSequence: 0, waitMs: 30_000, isConcurrent: true }).then(() => { isAnswered = true }, () => {})
  while (waiting.length === 0) await nextTurn()
  // Their answers are late, so that the starts need all of their connections, and the inquiry its own.
  const starts = [1, 2, 3, 4].map(async index => await start(`${index}.late`).catch(() => {}))
  const startedAtMs = performance.now()
  while (withheld.length < starts.length && performance.now() - startedAtMs < 3_000) await nextTurn()
  expect(withheld).toHaveLength(starts.length)
  await worker.renewLease({ epoch: 1, acknowledgedSequence: 0, waitMs: 0, answerTimeoutMs: 2_000, isConcurrent: true })
  await worker.renewLease({ epoch: 1, acknowledgedSequence: 0, waitMs: 0, answerTimeoutMs: 2_000 })
  expect(isAnswered).toBe(false)
  for (const response of [...waiting, ...withheld]) response.end(JSON.stringify({ clockMs: 1, born: 1_000 }))
  await Promise.all([waited, ...starts])
})
