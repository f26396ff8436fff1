/** The scheduler's task for one worker: keeps its lease alive while something runs there, and follows its ends. */
import type { Logger } from '../common/logger.js'
import { createSignal, delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { isOtherIncarnation } from './workerErrors.js'
import { maxEndsInLook } from '../workers/workerPort.js'
import type { ListedWorker, WorkerLook, WorkerPort } from '../workers/workerPort.js'

/** What a link needs from outside. */
export interface WorkerLinkHost {
  readonly term: Term
  readonly logger: Logger
  readonly info: ListedWorker
  readonly port: WorkerPort
  /** The longest lease that a worker grants, in ms. */
  readonly maxLeaseMs: number
  /** Something is booked there, or an order is under way. */
  readonly isNeeded: () => boolean
  /** Resolves when every end of the look is stored. `isWhole` is false where more ends are to come. */
  readonly onReport: (look: WorkerLook, sentAtMs: number, isWhole: boolean) => Promise<void>
  readonly onReachable: (isReachable: boolean) => void
  /** Another incarnation answers: whatever ran is gone. */
  readonly onRestarted: () => void
  /** The worker does not answer, and its lease has ended by any clock. */
  readonly onLeaseExpired: () => void
}

/** The link to one incarnation of a worker. */
export interface WorkerLink {
  readonly port: WorkerPort
  /** Looks again now if the link is idle. */
  wake (): void
  /** The end of a new lease on the worker's clock; undefined while its clock is not known. */
  getLeaseUntilMs (): number | undefined
  /** Notes that an order that extends the lease is being sent. */
  recordLeaseExtension (): void
  /** It has answered, or its lease has ended by any clock. */
  isSettled (): boolean
  close (): void
}

/** How long a look waits for an end, in ms: a quarter of the shortest lease of today's workers, and a cut is seen in under 2 s. */
const pollWaitMs = 1_500
/** Pause after a look that failed, in ms: a cut of a moment is noticed as over within it. */
const retryPauseMs = 300
/** A lease may run so much longer than asked, by a worker's clock that is 2 % slow. Source: the workers' protocol. */
const slowClockFactor = 1.02
/** Added to the end of a lease, in ms, for the estimate of the worker's clock. */
const clockMarginMs = 150

/** Creates the link and starts its task. */
export function createWorkerLink (host: WorkerLinkHost): WorkerLink {
  const { term, port, logger, info } = host
  const changed = createSignal()
  let seenUpTo = 0
  let clock: { readonly workerMs: number, readonly readAtMs: number } | undefined
  let hasAnswered = false
  let isReachable = false
  let isLeaseOver = false
  let isClosed = false
  // Schedulers before this one may have extended the lease until their terms ended.
  let latestLeaseEndMs = getLatestLeaseEndMs()
  void pollUntilClosed()

  return { port, wake: changed.notify, getLeaseUntilMs, recordLeaseExtension, isSettled: () => hasAnswered || isLeaseOver, close }

  function close (): void {
    isClosed = true
    changed.notify()
    port.close()
  }

  function getLatestLeaseEndMs (): number {
    return performance.now() + host.maxLeaseMs * slowClockFactor + clockMarginMs
  }

  function recordLeaseExtension (): void {
    latestLeaseEndMs = getLatestLeaseEndMs()
    isLeaseOver = false
    // From now on only looks tell what became of the order, also when its answer never comes.
    changed.notify()
  }

  function getLeaseUntilMs (): number | undefined {
    if (clock === undefined) return undefined
    return Math.floor(clock.workerMs + (performance.now() - clock.readAtMs) + host.maxLeaseMs)
  }

  async function pollUntilClosed (): Promise<void> {
    while (!isClosed && !term.signal.aborted) {
      if (isReachable && !host.isNeeded()) await changed.wait()
      else await pollOnce()
    }
  }

  async function pollOnce (): Promise<void> {
    if (!term.isValid()) {
      await delay(retryPauseMs, term.signal)
      return
    }
    const sentAtMs = performance.now()
    // A worker that has not answered gets no longer lease: its answer may be lost while the order arrives.
    const leaseUntilMs = isReachable ? getLeaseUntilMs() : undefined
    if (leaseUntilMs !== undefined) recordLeaseExtension()
    try {
      const report = await port.hold({ epoch: term.epoch, seenUpTo, leaseUntilMs, waitMs: isReachable ? pollWaitMs : 0 })
      if (!isClosed) await applyReport(report, sentAtMs)
    } catch (error) {
      if (!isClosed && !term.signal.aborted) await onFailure(error)
    }
  }

  async function applyReport (look: WorkerLook, sentAtMs: number): Promise<void> {
    clock = { workerMs: look.clockMs, readAtMs: performance.now() }
    if (look.bornAtMs !== undefined && look.bornAtMs !== info.bornAtMs) {
      logger.warn('a worker has been restarted', { workerId: info.workerId, bornAtMs: look.bornAtMs, knownBornAtMs: info.bornAtMs })
      isLeaseOver = true
      host.onRestarted()
      await delay(retryPauseMs)
      return
    }
    hasAnswered = true
    isLeaseOver = false
    const isWhole = look.ended.length < maxEndsInLook
    const stored = host.onReport(look, sentAtMs, isWhole)
    if (!isReachable) {
      isReachable = true
      host.onReachable(true)
    }
    await stored
    for (const end of look.ended) seenUpTo = Math.max(seenUpTo, end.sequence)
  }

  async function onFailure (error: unknown): Promise<void> {
    if (isErrorOfKind(error, ErrorKind.StaleEpoch)) {
      term.resign(`worker ${info.workerId} has seen a higher epoch`)
      return
    }
    if (isReachable) {
      logger.warn('a worker does not answer', { workerId: info.workerId, error: String(error) })
      isReachable = false
      host.onReachable(false)
    }
    if (isOtherIncarnation(error) && !isLeaseOver) {
      isLeaseOver = true
      host.onRestarted()
    }
    if (!isLeaseOver && performance.now() > latestLeaseEndMs && term.isValid()) {
      isLeaseOver = true
      host.onLeaseExpired()
    }
    await Promise.race([delay(retryPauseMs, term.signal), changed.wait(retryPauseMs)])
  }
}
