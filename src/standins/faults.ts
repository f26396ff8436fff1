/** Faults that a stand-in takes by settings and by its control call. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'
import { readBody, sendJson } from '../common/http.js'
import type { HttpHandler } from '../common/http.js'
import { delay } from '../common/time.js'

/** The faults of a stand-in. Names in `cutOffFrom` are those that processes send of themselves. */
export const faultSchema = z.strictObject({
  isDown: z.boolean().default(false),
  slowMs: z.number().min(0).default(0),
  loseAnswers: z.number().int().min(0).default(0),
  failEverything: z.boolean().default(false),
  cutOffFrom: z.array(z.string()).default([])
})

/** The faults of a stand-in. */
export type Faults = z.infer<typeof faultSchema>

/** The faults in force, which a control call may change. */
export interface FaultControl {
  get (): Faults
  set (changes: Partial<Faults>): void
  /** Puts the faults in front of a handler. */
  wrap (handler: HttpHandler): HttpHandler
}

const controlPath = '/control'
const maxControlBytes = 64 * 1024

/** Creates the control of a stand-in's faults. `onLapse` serves the control call `lapseLeases`. */
export function createFaultControl (initial: Partial<Faults> = {}, onLapse: () => void = () => {}): FaultControl {
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
        loseAnswer(response)
      }
      await handler(request, response)
    }
  }

  async function handleControl (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const body: unknown = JSON.parse((await readBody(request, maxControlBytes)).toString() || '{}')
      const changes = z.strictObject({ ...faultSchema.partial().shape, lapseLeases: z.boolean().optional() }).parse(body)
      if (changes.lapseLeases === true) onLapse()
      const { lapseLeases, ...rest } = changes
      const present = Object.fromEntries(Object.keys(body as object).filter(key => key in rest).map(key => [key, rest[key as keyof Faults]]))
      set(present)
      sendJson(response, 200, faults)
    } catch (error) {
      sendJson(response, 400, { message: error instanceof Error ? error.message : String(error) })
    }
  }
}

/** The method runs, but its answer never leaves. */
function loseAnswer (response: ServerResponse): void {
  response.end = () => response.destroy()
}
