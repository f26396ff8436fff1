/** Stand-in for an endpoint: a service with a fixed number of slots (8 in a local system) that counts the requests it runs. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { listenHttp, readBody, sendJson } from '../common/http.js'
import type { ListenAddress } from '../common/http.js'
import { delay } from '../common/time.js'
import { createFaultControl } from './faults.js'
import type { FaultControl, Faults } from './faults.js'

/** Behaviour of the stand-in. */
export interface EndpointOptions {
  readonly name: string
  readonly slots: number
  readonly serviceMs: number
}

/** A stand-in for an endpoint, listening on TCP. */
export interface EndpointStandin {
  readonly address: string
  readonly faults: FaultControl
  /** Number of runs by request id, which the header `x-request-id` carries. */
  readonly runs: ReadonlyMap<string, number>
  getRunCount (): number
  /** Rejects all further requests, with a header that announces the shutdown. */
  leave (): void
  close (): Promise<void>
}

const maxBodyBytes = 64 * 1024 * 1024

/** Starts the stand-in for an endpoint. */
export async function startEndpointStandin (listen: ListenAddress, options: EndpointOptions, faults: Partial<Faults> = {}): Promise<EndpointStandin> {
  const runs = new Map<string, number>()
  const control = createFaultControl(faults)
  let inFlight = 0
  let runCount = 0
  let isLeaving = false
  const listener = await listenHttp(listen, control.wrap(handle))
  return {
    address: listener.address,
    faults: control,
    runs,
    getRunCount: () => runCount,
    leave: () => { isLeaving = true },
    close: listener.destroy
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (isLeaving || inFlight >= options.slots) {
      reject(response)
      return
    }
    inFlight++
    try {
      await run(request, response)
    } finally {
      inFlight--
    }
  }

  function reject (response: ServerResponse): void {
    const headers: Record<string, string> = { 'Sassafrasford-Outcome': 'not-run' }
    if (isLeaving) headers['Sassafrasford-Leaving'] = 'yes'
    sendJson(response, 503, { message: isLeaving ? 'the endpoint is leaving' : 'all slots are in use' }, headers)
  }

  async function run (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, maxBodyBytes)
    const id = String(request.headers['x-request-id'] ?? '')
    runCount++
    if (id !== '') runs.set(id, (runs.get(id) ?? 0) + 1)
    const serviceMs = Number(request.headers['x-service-ms'] ?? options.serviceMs)
    await delay(serviceMs)
    if (control.get().failEverything) {
      sendJson(response, 500, { message: 'the endpoint is set to fail every request' })
      return
    }
    const responseBytes = Number(request.headers['x-answer-bytes'] ?? 0)
    if (responseBytes > 0) {
      response.writeHead(200, { 'Content-Type': 'application/octet-stream', 'Content-Length': responseBytes })
      response.end(Buffer.alloc(responseBytes, 'a'))
      return
    }
    sendJson(response, 200, { endpoint: options.name, id, path: request.url, bytes: body.length })
  }
}
