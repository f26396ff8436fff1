/** Admission control: a bounded queue of requests that wait for a slot, ordered by priority and deadline, without starvation. */
import { createError, ErrorKind } from '../errors/errorKinds.js'

/** A request that waits for a slot. */
export interface QueuedRequest {
  readonly priorityRank: number
  readonly service: string
  readonly deadlineMs: number
}

/** Dependencies of the queue. */
export interface AdmissionHost<T> {
  readonly getMaxWaiting: () => number
  /** Takes a slot for a request, if there is one. */
  readonly tryTake: (request: QueuedRequest) => T | undefined
  /** Number of slots of a service, used to estimate the waiting time. */
  readonly countSlots: (service: string) => number
}

/** Queue of requests that wait for a slot. */
export interface Admission<T> {
  /**
   * Resolves with a slot. Rejects with an error whose outcome is "not run": `overloaded` when the request is rejected before
   * its deadline, `deadline-passed` when no slot became free in time.
   */
  acquire (request: QueuedRequest, signal: AbortSignal): Promise<T>
  /** Assigns free slots to waiting requests. Call it when a slot may be free; `serviceMs` is how long the last request held it. */
  dispatch (serviceMs?: number): void
  countWaiting (): number
}

interface QueueEntry<T> {
  readonly request: QueuedRequest
  resolve (slot: T): void
  reject (error: unknown): void
}

const pollMs = 10
const oldestFirstInterval = 10
const serviceTimeSmoothing = 0.1
const initialServiceMs = 20

/** Creates an empty queue. */
export function createAdmission<T> (host: AdmissionHost<T>): Admission<T> {
  const entries = new Set<QueueEntry<T>>()
  let meanServiceMs = initialServiceMs
  let grantedCount = 0
  let timer: NodeJS.Timeout | undefined

  return { acquire, dispatch, countWaiting: () => entries.size }

  function acquire (request: QueuedRequest, signal: AbortSignal): Promise<T> {
    if (entries.size === 0) {
      const slot = host.tryTake(request)
      if (slot !== undefined) return Promise.resolve(slot)
    }
    return new Promise((resolve, reject) => {
      const onAbort = (): void => rejectEntry(entry, ErrorKind.Overloaded, 'the caller closed the connection')
      const entry: QueueEntry<T> = {
        request,
        resolve: slot => {
          signal.removeEventListener('abort', onAbort)
          resolve(slot)
        },
        reject: error => {
          signal.removeEventListener('abort', onAbort)
          reject(error)
        }
      }
      entries.add(entry)
      signal.addEventListener('abort', onAbort, { once: true })
      rejectIfUnservable(entry)
      while (entries.size > host.getMaxWaiting()) rejectLowestRanked()
      dispatch()
    })
  }

  function dispatch (serviceMs?: number): void {
    if (serviceMs !== undefined) meanServiceMs += serviceTimeSmoothing * (serviceMs - meanServiceMs)
    while (entries.size > 0) {
      const entry = pickNext()
      if (entry === undefined) break
      if (entry.request.deadlineMs <= Date.now()) {
        rejectEntry(entry, ErrorKind.DeadlinePassed, 'no endpoint had a free slot before the deadline')
        continue
      }
      const slot = host.tryTake(entry.request)
      if (slot === undefined) break
      grantedCount++
      entries.delete(entry)
      entry.resolve(slot)
    }
    clearTimeout(timer)
    timer = entries.size > 0 ? setTimeout(dispatch, pollMs) : undefined
  }

  /** Orders by priority, then by deadline; at a fixed interval the oldest request goes first, so that no priority starves. */
  function pickNext (): QueueEntry<T> | undefined {
    if (grantedCount % oldestFirstInterval === oldestFirstInterval - 1) return entries.values().next().value
    let next: QueueEntry<T> | undefined
    for (const entry of entries) if (next === undefined || compareEntries(entry, next) < 0) next = entry
    return next
  }

  /** Rejects a request that cannot be served before its deadline at once, so that its caller can still send it elsewhere. */
  function rejectIfUnservable (entry: QueueEntry<T>): void {
    let ahead = 0
    for (const other of entries) {
      if (other !== entry && other.request.service === entry.request.service && compareEntries(other, entry) <= 0) ahead++
    }
    const slots = Math.max(1, host.countSlots(entry.request.service))
    const estimatedWaitMs = (ahead + 1) * meanServiceMs / slots
    const remainingMs = entry.request.deadlineMs - Date.now()
    if (estimatedWaitMs + meanServiceMs > remainingMs) rejectEntry(entry, ErrorKind.Overloaded, 'the request could not be served before its deadline')
  }

  function rejectLowestRanked (): void {
    let last: QueueEntry<T> | undefined
    for (const entry of entries) if (last === undefined || compareEntries(entry, last) >= 0) last = entry
    if (last !== undefined) rejectEntry(last, ErrorKind.Overloaded, 'the request queue is full')
  }

  function rejectEntry (entry: QueueEntry<T>, kind: ErrorKind, message: string): void {
    if (!entries.delete(entry)) return
    entry.reject(createError(kind, message))
  }
}

function compareEntries<T> (left: QueueEntry<T>, right: QueueEntry<T>): number {
  return left.request.priorityRank - right.request.priorityRank || left.request.deadlineMs - right.request.deadlineMs
}
