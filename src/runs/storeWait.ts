/** How long the next poll of a worker waits for the ends of a report to be stored. */

/** The waits of one worker. */
export interface StoreWait {
  /** How long the next poll may wait for the store, in ms: while another end is expected, no poll that waits at the worker shows it. */
  takeMs (): number
  /** Must be called when the ends of a report are stored. */
  reset (): void
}

/**
 * The next poll waits at most this long, in ms, until the ends of a report are stored: a worker answers at once while it lists ends that are not acknowledged.
 * When another end is expected, the next poll does not wait for it; the pause between such polls doubles from the shorter time.
 */
const storeWaitMs = 1_000
const minStoreWaitMs = 40

/** Creates the waits of a worker; `getExpectedEndMs` tells when the next run there is expected to end, by the monotonic clock. */
export function createStoreWait (getExpectedEndMs: () => number): StoreWait {
  let nextMs = minStoreWaitMs
  return { takeMs, reset: () => { nextMs = minStoreWaitMs } }

  function takeMs (): number {
    const untilExpectedMs = getExpectedEndMs() - performance.now()
    if (untilExpectedMs > nextMs) return Math.min(storeWaitMs, untilExpectedMs)
    const waitMs = nextMs
    nextMs = Math.min(2 * nextMs, storeWaitMs)
    return waitMs
  }
}
