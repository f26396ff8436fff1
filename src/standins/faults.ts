/** Fault injection for the stand-ins, configured by their settings and by control requests. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'
import { readBody, sendJson } from '../common/http.js'
import type { HttpHandler } from '../common/http.js'
import { delay } from '../common/time.js'

/** Schema of a stand-in's faults. `cutOffFrom` holds host ids, compared with the header `x-sassafrasford-from`. */
export const faultSchema = z.strictObject({
  isDown: z.boolean().default(false),
  slowMs: z.number().min(0).default(0),
  loseAnswers: z.number().int().min(0).default(0),
  failEverything: z.boolean().default(false),
  cutOffFrom: z.array(z.string()).default([])
})

/** Faults of a stand-in. */
export type Faults = z.infer<typeof faultSchema>

/** The active faults, which a control request can change. */
export interface FaultControl {
  get (): Faults
  set (changes: Partial<Faults>): void
  /** Wraps a handler so that the active faults apply to its requests. */
  wrap (handler: HttpHandler): HttpHandler
}

const controlPath = '/control'
const maxControlBytes = 64 * 1024

/** Creates the fault control of a stand-in. `onExpireLeases` is called when a control request sets `lapseLeases`. */
export function createFaultControl (initial: Partial<Faults> = {}, onExpireLeases: () => void = () => {}): FaultControl {
  let faults: Faults = { isDown: false, slowMs: 0, loseAnswers: 0, failEverything: false, cutOffFrom: [], ...initial }

  return { get: () => faults, set, wrap }

  function set (changes: Partial<Faults>): void {
    faults = { ...faults, ...changes }
  }

  function wrap (handler: HttpHandler): HttpHandler {
    return async (request, response) => {
      if (request.url === controlPath) {
        await handleControl(request, response)
        return
      }
      const from = String(request.headers['x-sassafrasford-from'] ?? '')
      if (faults.isDown || faults.cutOffFrom.includes(from)) {
        request.socket.destroy()
        return
      }
      if (faults.slowMs > 0) await delay(faults.slowMs)
      if (faults.loseAnswers > 0) {
        faults = { ...faults, loseAnswers: faults.loseAnswers - 1 }
        dropResponse(response)
      }
      await handler(request, response)
    }
  }

  async function handleControl (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const body: unknown = JSON.parse((await readBody(request, maxControlBytes)).toString() || '{}')
      const changes = z.strictObject({ ...faultSchema.partial().shape, lapseLeases: z.boolean().optional() }).parse(body)
      if (changes.lapseLeases === true) onExpireLeases()
      const { lapseLeases, ...rest } = changes
      const changedFaults = Object.fromEntries(Object.keys(body as object).filter(key => key in rest).map(key => [key, rest[key as keyof Faults]]))
      set(changedFaults)
      sendJson(response, 200, faults)
    } catch (error) {
      sendJson(response, 400, { message: error instanceof Error ? error.message : String(error) })
    }
  }
}

/** Destroys the connection when the handler ends its response, so that the request is executed but not answered. */
function dropResponse (response: ServerResponse): void {
  response.end = () => response.destroy()
}
