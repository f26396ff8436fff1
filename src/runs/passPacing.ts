/** Decides when planning passes run: soon after a change, but with pauses in between, however many changes there are. */

/** The pacing of one term's planning passes. */
export interface PassPacing {
  /** Must be called when something has changed that a pass may act on. */
  schedule (): void
}

/** Pause after a planning pass as a multiple of its duration, so that worker requests and reports are processed in between. */
const pauseFactor = 2
/**
 * Time from the start of one pass to the start of the next at least, in ms. Load: hundreds of workers whose reports each schedule a pass, on a host whose passes
 * measure as short. A start is delayed by this at most, which is little beside the time that storing its plan takes.
 */
export const minPassPeriodMs = 10

/** Creates the pacing. `runPass` returns false if no pass could run. */
export function createPassPacing (runPass: () => boolean): PassPacing {
  let isScheduled = false
  let nextAtMs = -Infinity
  return { schedule }

  function schedule (): void {
    if (isScheduled) return
    isScheduled = true
    const pauseMs = nextAtMs - performance.now()
    if (pauseMs > 0) setTimeout(run, pauseMs)
    else setImmediate(run)
  }

  function run (): void {
    isScheduled = false
    const startedAtMs = performance.now()
    if (!runPass()) return
    const endedAtMs = performance.now()
    nextAtMs = Math.max(startedAtMs + minPassPeriodMs, endedAtMs + pauseFactor * (endedAtMs - startedAtMs))
  }
}
