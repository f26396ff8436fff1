/** Delays and notifications. They use the runtime's timers, so that tests can run them on a fake clock. */

/** Resolves after `delayMs`, or immediately when the signal is aborted. Never rejects. */
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

/** Returns `valueMs` randomly increased or decreased by up to the given fraction. */
export function jitter (valueMs: number, fraction: number, random: () => number): number {
  return valueMs * (1 + fraction * (2 * random() - 1))
}

/** Wakes waiting tasks, like a condition variable. */
export interface Signal {
  /** Wakes every waiting task. */
  notify (): void
  /** Resolves at the next `notify`, or after `timeoutMs` if given. */
  wait (timeoutMs?: number): Promise<void>
}

/** Creates a signal without waiting tasks. */
export function createSignal (): Signal {
  let waiters = new Set<() => void>()

  return { notify, wait }

  function notify (): void {
    const notified = waiters
    waiters = new Set()
    for (const wake of notified) wake()
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
