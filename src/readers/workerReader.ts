/** Reads the ends that workers list while no host schedules. Its requests extend no lease and acknowledge nothing. */
import { setMaxListeners } from 'node:events'
import type { Logger } from '../common/logger.js'
import { createSignal, delay } from '../common/time.js'
import type { Signal } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { ListedWorker, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'
import { selectReaders } from './readerSelection.js'

/** Dependencies of the reader. */
export interface WorkerReaderHost {
  readonly logger: Logger
  readonly hostId: string
  readonly domain: string
  /** The other hosts that may be alive. `isAlone` if that can't be known yet. */
  readonly readPeers: () => Promise<{ readonly peers: readonly { readonly hostId: string, readonly domain: string }[], readonly isAlone: boolean }>
  /** Reads the list of workers. May reject. */
  readonly readWorkers: () => Promise<readonly ListedWorker[]>
  readonly connect: (worker: ListedWorker) => WorkerPort
  readonly onReport: (workerId: string, report: WorkerStatusReport, epoch: number, sentAtMs: number) => void
  /** Counts the outcome of a request. */
  readonly count: (outcome: string) => void
}

/** Reads workers from `begin` to `end`. */
export interface WorkerReader {
  /** Begins to read the workers of this host with requests of this epoch. While it reads, only changes the epoch. */
  begin (epoch: number): void
  /** Must be called when other peers may be alive than before. */
  reviewPeers (): void
  end (): void
}

/** Requests under way. They take little: a hold of a worker without news is about 200 bytes each way. */
const maxActiveRequests = 48
/** How long a request waits at a worker for an end, in ms, and if more workers are to be asked than requests may be under way. */
const waitMs = 1_000
const shortWaitMs = 150
/** Time allowed for an answer beyond the wait, in ms: two round trips between the most distant regions, one of them to connect, and a slow worker. */
const answerTimeoutMs = 300
/** A worker answers at once while it lists ends that are not acknowledged: pause until it is asked again, in ms. */
const listedPauseMs = 150
/**
 * The first requests after one without an answer: the pause before each, and the time allowed for its answer, in ms. The first request is one of them. A few round trips
 * between regions suffice for an answer, and the worker may soon be gone; further requests have the usual time, for slow links.
 */
const fastRequests: readonly { readonly pauseMs: number, readonly answerTimeoutMs: number }[] = [
  { pauseMs: 0, answerTimeoutMs: 150 },
  { pauseMs: 0, answerTimeoutMs: 150 },
  { pauseMs: 50, answerTimeoutMs: 150 }
]
/** Pause after further requests without an answer, in ms; it doubles up to the longer one. */
const minRetryPauseMs = 100
const maxRetryPauseMs = 800
/**
 * A worker without runs and ends is asked again after this time, in ms, and with each new epoch: a scheduler that this host does not reach may start runs there, and may
 * be lost then.
 */
const idlePauseMs = 1_000
/** Pause after a failed read of the list, in ms. */
const listRetryPauseMs = 200
/** Interval of the reads of the list, in ms. Entries that expired while the store was down are back within about 2 s of its return. */
const listPeriodMs = 1_500

/** One time of reading. */
interface Session {
  epoch: number
  readonly ending: AbortController
  readonly startedAtMs: number
  workers: readonly ListedWorker[]
  /** The ids of the workers that are asked, and of those that ran or listed something. */
  readonly begun: Set<string>
  readonly busy: Set<string>
  /** Notified when the epoch changes and when the session ends. */
  readonly changed: Signal
  requests: number
  ends: number
}

/** Creates a reader that does not read yet. */
export function createWorkerReader (host: WorkerReaderHost): WorkerReader {
  const { logger } = host
  let session: Session | undefined
  let activeRequests = 0
  const released = createSignal()

  return { begin, reviewPeers, end }

  function begin (epoch: number): void {
    if (session !== undefined) {
      if (session.epoch !== epoch) {
        session.epoch = epoch
        session.changed.notify()
      }
      return
    }
    const ending = new AbortController()
    // Each worker that is read may wait on it.
    setMaxListeners(0, ending.signal)
    session = { epoch, ending, startedAtMs: performance.now(), workers: [], begun: new Set(), busy: new Set(), changed: createSignal(), requests: 0, ends: 0 }
    void readAssigned(session)
  }

  function end (): void {
    if (session === undefined) return
    session.ending.abort()
    session.changed.notify()
    const { startedAtMs, requests, ends, busy } = session
    logger.info('this host stops reading workers', { tookMs: Math.round(performance.now() - startedAtMs), requests, ends, busy: busy.size })
    session = undefined
  }

  function reviewPeers (): void {
    if (session !== undefined && session.workers.length > 0) void beginAssigned(session)
  }

  async function readAssigned (current: Session): Promise<void> {
    while (!current.ending.signal.aborted) {
      current.workers = await readList(current)
      await beginAssigned(current)
      await delay(listPeriodMs, current.ending.signal)
    }
  }

  async function beginAssigned (current: Session): Promise<void> {
    const { peers, isAlone } = await host.readPeers()
    if (current.ending.signal.aborted) return
    const assigned = selectReaders(host, peers, current.workers, isAlone).filter(({ workerId }) => !current.begun.has(workerId))
    if (assigned.length === 0) return
    logger.info('this host reads workers', { epoch: current.epoch, workers: assigned.length, begun: current.begun.size, listed: current.workers.length, peers: peers.length, isAlone })
    for (const worker of assigned) {
      current.begun.add(worker.workerId)
      void readWorker(worker, current).finally(() => {
        current.begun.delete(worker.workerId)
        current.busy.delete(worker.workerId)
      })
    }
  }

  async function readList ({ ending: { signal } }: Session): Promise<readonly ListedWorker[]> {
    while (!signal.aborted) {
      try {
        return await host.readWorkers()
      } catch (error) {
        logger.info('cannot read the list of workers for reading their ends; retrying', { error: String(error) })
        await delay(listRetryPauseMs, signal)
      }
    }
    return []
  }

  async function readWorker (worker: ListedWorker, current: Session): Promise<void> {
    const { signal } = current.ending
    const port = host.connect(worker)
    let isFirst = true
    let failures = 0
    while (!signal.aborted) {
      if (!await takeTurn(signal)) break
      const { epoch } = current
      try {
        const report = await read(port, worker.workerId, isFirst ? 0 : current.busy.size > maxActiveRequests ? shortWaitMs : waitMs, isFirst ? fastRequests[failures]?.answerTimeoutMs : undefined, current)
        const isIdle = report.running.length === 0 && report.ended.length === 0
        if (isIdle) current.busy.delete(worker.workerId)
        else current.busy.add(worker.workerId)
        failures = 0
        isFirst = isIdle || report.ended.length > 0
        if (isIdle) await current.changed.wait(idlePauseMs)
        else if (isFirst) await delay(listedPauseMs, signal)
      } catch (error) {
        // Another worker has its address.
        if (isErrorOfKind(error, ErrorKind.Conflict)) break
        isFirst = true
        if (isErrorOfKind(error, ErrorKind.StaleEpoch)) {
          // A later term asks this worker. This host reads on if that term ends too.
          while (current.epoch === epoch && !signal.aborted) await current.changed.wait(idlePauseMs)
          continue
        }
        failures++
        await delay(fastRequests[failures]?.pauseMs ?? getRetryPauseMs(failures - fastRequests.length), signal)
      }
    }
    port.close()
  }

  function getRetryPauseMs (retries: number): number {
    return Math.min(minRetryPauseMs * 2 ** retries, maxRetryPauseMs)
  }

  /** Waits until a request may be sent, and counts it as under way. Returns false, and counts none, if the session has ended. */
  async function takeTurn (signal: AbortSignal): Promise<boolean> {
    while (activeRequests >= maxActiveRequests && !signal.aborted) await released.wait(listRetryPauseMs)
    if (signal.aborted) return false
    activeRequests++
    return true
  }

  async function read (port: WorkerPort, workerId: string, requestWaitMs: number, fastAnswerTimeoutMs: number | undefined, current: Session): Promise<WorkerStatusReport> {
    const { epoch } = current
    const sentAtMs = performance.now()
    current.requests++
    try {
      const report = await port.renewLease({ epoch, acknowledgedSequence: 0, waitMs: requestWaitMs, answerTimeoutMs: fastAnswerTimeoutMs ?? answerTimeoutMs })
      host.count('answered')
      current.ends += report.ended.length
      host.onReport(workerId, report, epoch, sentAtMs)
      return report
    } catch (error) {
      host.count(isErrorOfKind(error, ErrorKind.StaleEpoch) ? 'refused' : 'failed')
      throw error
    } finally {
      activeRequests--
      released.notify()
    }
  }
}
