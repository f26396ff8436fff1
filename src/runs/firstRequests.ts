/** Records the requests for reports that a term sends to each worker in its first second, for the log: an end that a worker lists then may be gone soon after. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'

/** Dependencies of the record. */
export interface FirstRequestsHost {
  readonly term: Pick<Term, 'epoch' | 'signal'>
  readonly logger: Logger
  /** The workers, by id, that hold members and have not answered this term. */
  readonly getUnanswered: () => readonly string[]
}

/** How a request for a report is sent. */
export enum RequestWay {
  Poll = 'poll',
  /** A request beside a poll. */
  Inquiry = 'inquiry',
  /** A request through other hosts. */
  Relayed = 'relayed'
}

/** The requests of one term. */
export interface FirstRequests {
  /** Sends a request and records when it was sent and what came of it. Rejects like `send`. */
  record<T> (workerId: string, way: RequestWay, send: () => Promise<T>): Promise<T>
}

/** A request, with times in ms since the start of the term. */
interface RecordedRequest {
  readonly way: RequestWay
  readonly sentAtMs: number
  answeredAtMs?: number
  failedAtMs?: number
}

/** How long requests are recorded, in ms. */
const recordedMs = 1_000
/** The most workers that the log names; each line takes some 500 characters. */
const maxLoggedWorkers = 10
/** The most requests that are recorded for each worker. */
const maxRequestsPerWorker = 12

/** Creates the record at the start of a term. Logs it once. */
export function createFirstRequests (host: FirstRequestsHost): FirstRequests {
  const startedAtMs = performance.now()
  const requests = new Map<string, RecordedRequest[]>()
  let isOver = false
  void logUnanswered()

  return { record }

  async function record<T> (workerId: string, way: RequestWay, send: () => Promise<T>): Promise<T> {
    if (isOver) return await send()
    const request: RecordedRequest = { way, sentAtMs: getTermMs() }
    const recorded = requests.get(workerId) ?? []
    if (recorded.length < maxRequestsPerWorker) requests.set(workerId, [...recorded, request])
    try {
      const result = await send()
      request.answeredAtMs = getTermMs()
      return result
    } catch (error) {
      request.failedAtMs = getTermMs()
      throw error
    }
  }

  async function logUnanswered (): Promise<void> {
    await delay(recordedMs, host.term.signal)
    isOver = true
    const unanswered = host.getUnanswered()
    for (const workerId of unanswered.slice(0, maxLoggedWorkers)) {
      host.logger.info('a worker with runs has not answered in the first second of the term', { epoch: host.term.epoch, workerId, unanswered: unanswered.length, requests: requests.get(workerId) ?? [] })
    }
    requests.clear()
  }

  function getTermMs (): number {
    return Math.round(performance.now() - startedAtMs)
  }
}
