/** A bounded queue for requests that wait for a slot: by priority, aware of deadlines, without starving any. */
import { createError, ErrorKind } from '../errors/errorKinds.js'

/** A request that waits. */
export interface Waiting {
  readonly priorityRank: number
  readonly service: string
  readonly deadlineMs: number
}

/** What the queue needs from outside. */
export interface AdmissionHost<T> {
  readonly getMaxWaiting: () => number
  /** Takes a slot for a request, if there is one. */
  readonly tryTake: (waiting: Waiting) => T | undefined
  /** Slots of a service, for the estimate of the wait. */
  readonly countSlots: (service: string) => number
}

/** The queue. */
export interface Admission<T> {
  /**
   * Resolves with a slot. Errors, all of them "not run": `overloaded` when the request is refused early,
   * `deadline-passed` when it waited in vain.
   */
  enter (waiting: Waiting, signal: AbortSignal): Promise<T>
  /** To be called when a slot may be free; `serviceMs` is how long the last request held it. */
  wake (serviceMs?: number): void
  countWaiting (): number
}

interface Entry<T> {
  readonly waiting: Waiting
  resolve (slot: T): void
  reject (error: unknown): void
}

const pollMs = 10
const oldestFirstEvery = 10
const smoothing = 0.1
const firstServiceMs = 20

/** Creates an empty queue. */
export function createAdmission<T> (host: AdmissionHost<T>): Admission<T> {
  const entries = new Set<Entry<T>>()
  let meanServiceMs = firstServiceMs
  let served = 0
  let timer: NodeJS.Timeout | undefined

  return { enter, wake, countWaiting: () => entries.size }

  function enter (waiting: Waiting, signal: AbortSignal): Promise<T> {
    if (entries.size === 0) {
      const slot = host.tryTake(waiting)
      if (slot !== undefined) return Promise.resolve(slot)
    }
    return new Promise((resolve, reject) => {
      const leave = (): void => refuse(entry, ErrorKind.Overloaded, 'the caller has gone')
      const entry: Entry<T> = {
        waiting,
        resolve: slot => {
          signal.removeEventListener('abort', leave)
          resolve(slot)
        },
        reject: error => {
          signal.removeEventListener('abort', leave)
          reject(error)
        }
      }
      entries.add(entry)
      signal.addEventListener('abort', leave, { once: true })
      refuseHopeless(entry)
      while (entries.size > host.getMaxWaiting()) refuseLast()
      wake()
    })
  }

  function wake (serviceMs?: number): void {
    if (serviceMs !== undefined) meanServiceMs += smoothing * (serviceMs - meanServiceMs)
    while (entries.size > 0) {
      const entry = pickNext()
      if (entry === undefined) break
      if (entry.waiting.deadlineMs <= Date.now()) {
        refuse(entry, ErrorKind.DeadlinePassed, 'no endpoint was free before the deadline')
        continue
      }
      const slot = host.tryTake(entry.waiting)
      if (slot === undefined) break
      served++
      entries.delete(entry)
      entry.resolve(slot)
    }
    clearTimeout(timer)
    timer = entries.size > 0 ? setTimeout(wake, pollMs) : undefined
  }

  /** By priority, then by deadline; every few times the oldest, so that no priority starves. */
  function pickNext (): Entry<T> | undefined {
    if (served % oldestFirstEvery === oldestFirstEvery - 1) return entries.values().next().value
    let best: Entry<T> | undefined
    for (const entry of entries) if (best === undefined || compareEntries(entry, best) < 0) best = entry
    return best
  }

  /** A request that cannot be served in time is refused while its caller can still go elsewhere. */
  function refuseHopeless (entry: Entry<T>): void {
    let ahead = 0
    for (const other of entries) {
      if (other !== entry && other.waiting.service === entry.waiting.service && compareEntries(other, entry) <= 0) ahead++
    }
    const slots = Math.max(1, host.countSlots(entry.waiting.service))
    const waitMs = (ahead + 1) * meanServiceMs / slots
    const remainingMs = entry.waiting.deadlineMs - Date.now()
    if (waitMs + meanServiceMs > remainingMs) refuse(entry, ErrorKind.Overloaded, 'the request could not be served before its deadline')
  }

  function refuseLast (): void {
    let last: Entry<T> | undefined
    for (const entry of entries) if (last === undefined || compareEntries(entry, last) >= 0) last = entry
    if (last !== undefined) refuse(last, ErrorKind.Overloaded, 'too many requests wait')
  }

  function refuse (entry: Entry<T>, kind: ErrorKind, message: string): void {
    if (!entries.delete(entry)) return
    entry.reject(createError(kind, message))
  }
}

function compareEntries<T> (left: Entry<T>, right: Entry<T>): number {
  return left.waiting.priorityRank - right.waiting.priorityRank || left.waiting.deadlineMs - right.waiting.deadlineMs
}
