/** Waiting on the runtime's clock, so that tests can pause and advance it. */

/** Resolves after `delayMs`, or at once when the signal is aborted. Never rejects. */
export function delay (delayMs: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    if (signal?.aborted) {
      resolve()
      return
    }
    const onAbort = (): void => {
      clearTimeout(timer)
      resolve()
    }
    const timer = setTimeout(() => {
      signal?.removeEventListener('abort', onAbort)
      resolve()
    }, delayMs)
    signal?.addEventListener('abort', onAbort, { once: true })
  })
}

/** Returns `valueMs` changed at random by up to `share` in both directions. */
export function jitter (valueMs: number, share: number, random: () => number): number {
  return valueMs * (1 + share * (2 * random() - 1))
}

/** A value that waiting tasks can be told to look at again. */
export interface Signal {
  /** Wakes every task that waits. */
  notify (): void
  /** Resolves at the next `notify`, or after `timeoutMs`. */
  wait (timeoutMs?: number): Promise<void>
}

/** Creates a signal that wakes all tasks that wait on it. */
export function createSignal (): Signal {
  let waiters = new Set<() => void>()

  return { notify, wait }

  function notify (): void {
    const woken = waiters
    waiters = new Set()
    for (const wake of woken) wake()
  }

  function wait (timeoutMs?: number): Promise<void> {
    return new Promise(resolve => {
      const timer = timeoutMs === undefined ? undefined : setTimeout(wake, timeoutMs)
      waiters.add(wake)
      function wake (): void {
        clearTimeout(timer)
        waiters.delete(wake)
        resolve()
      }
    })
  }
}
