/** Faults in the answers of one emulated worker: lost, late, out of order, and requests that arrive twice on separate connections. */
import { delay } from '../../common/time.js'
import type { EmulatedHandler } from './emulatedHttp.js'

/** What happens to one request and its answer. */
export interface AnswerFault {
  /** The answer is sent this much later, in ms, so that answers on separate connections overtake each other. */
  readonly lateMs: number
  /** A copy of the request arrives beside it; its answer does not count. */
  readonly isTwice: boolean
}

/** The faults of one worker. */
export interface AnswerFaults {
  readonly handle: EmulatedHandler
  /** Loses the answers to the next `count` starts that are carried out, and tells which; a count of 0 ends that. */
  loseStarts (count: number, onLost?: (task: string, run: number) => void): void
  /** Draws a fault for each request until it is called without a function. */
  setDisorder (draw?: () => AnswerFault): void
  /** Calls the function once, after the answer to the next poll that returns early with an end. */
  afterEarlyReturn (callback: () => void): void
}

/** A lost answer leaves its caller waiting at least this long, in ms: longer than the time-out of a start. */
const lostAnswerMs = 2_000
/** Time for an answer to leave before the callback, in ms. */
const answerMs = 20

/** Wraps the handler of a worker. */
export function createAnswerFaults (inner: EmulatedHandler): AnswerFaults {
  let startsToLose = 0
  let onStartLost: ((task: string, run: number) => void) | undefined
  let drawFault: (() => AnswerFault) | undefined
  let onEarlyReturn: (() => void) | undefined

  return {
    handle,
    loseStarts: (count, onLost) => {
      startsToLose = count
      onStartLost = onLost
    },
    setDisorder: draw => { drawFault = draw },
    afterEarlyReturn: callback => { onEarlyReturn = callback }
  }

  async function handle (...request: Parameters<EmulatedHandler>): ReturnType<EmulatedHandler> {
    const [, url, body] = request
    const arrivedAtMs = performance.now()
    const fault = drawFault?.()
    if (fault?.isTwice === true) void inner(...request).catch(() => {})
    const response = await inner(...request)
    if (url.pathname.endsWith('/run-start') && response.status === 200 && startsToLose > 0) {
      startsToLose--
      onStartLost?.(String(body['task']), Number(body['run']))
      await delay(lostAnswerMs)
      return {}
    }
    if (url.pathname.endsWith('/hold') && onEarlyReturn !== undefined && performance.now() - arrivedAtMs < Number(body['waitMs'] ?? 0) && hasEnds(response.body)) {
      setTimeout(onEarlyReturn, answerMs)
      onEarlyReturn = undefined
    }
    if (fault !== undefined) await delay(fault.lateMs)
    return response
  }
}

function hasEnds (body: unknown): boolean {
  return (body as { readonly ended?: readonly unknown[] }).ended?.length !== 0
}
