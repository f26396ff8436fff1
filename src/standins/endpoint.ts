/** Stand-in of an endpoint: a service with 8 slots that counts what it runs. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { listenHttp, readBody, sendJson } from '../common/http.js'
import type { ListenAddress } from '../common/http.js'
import { delay } from '../common/time.js'
import { createFaultControl } from './faults.js'
import type { FaultControl, Faults } from './faults.js'

/** How the stand-in behaves. */
export interface EndpointOptions {
  readonly name: string
  readonly slots: number
  readonly serviceMs: number
}

/** A stand-in of an endpoint that listens on TCP. */
export interface EndpointStandin {
  readonly address: string
  readonly faults: FaultControl
  /** How often each request id ran; the id is the header `x-request-id`. */
  readonly runs: ReadonlyMap<string, number>
  getRunCount (): number
  /** Refuses new work from now on, and says so. */
  leave (): void
  close (): Promise<void>
}

const maxBodyBytes = 64 * 1024 * 1024

/** Starts the stand-in of an endpoint. */
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
      refuse(response)
      return
    }
    inFlight++
    try {
      await run(request, response)
    } finally {
      inFlight--
    }
  }

  function refuse (response: ServerResponse): void {
    const headers: Record<string, string> = { 'Sassafrasford-Outcome': 'not-run' }
    if (isLeaving) headers['Sassafrasford-Leaving'] = 'yes'
    sendJson(response, 503, { message: isLeaving ? 'leaving' : 'all slots are taken' }, headers)
  }

  async function run (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, maxBodyBytes)
    const id = String(request.headers['x-request-id'] ?? '')
    runCount++
    if (id !== '') runs.set(id, (runs.get(id) ?? 0) + 1)
    const serviceMs = Number(request.headers['x-service-ms'] ?? options.serviceMs)
    await delay(serviceMs)
    if (control.get().failEverything) {
      sendJson(response, 500, { message: 'this endpoint fails everything' })
      return
    }
    const answerBytes = Number(request.headers['x-answer-bytes'] ?? 0)
    if (answerBytes > 0) {
      response.writeHead(200, { 'Content-Type': 'application/octet-stream', 'Content-Length': answerBytes })
      response.end(Buffer.alloc(answerBytes, 'a'))
      return
    }
    sendJson(response, 200, { endpoint: options.name, id, path: request.url, bytes: body.length })
  }
}
