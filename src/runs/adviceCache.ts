/** Asks the advice service which workers may run a step, and caches the tickets that it returns. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import type { AdviceSettings } from '../configuration/configuration.js'
import type { TrackedJob, Unit } from '../jobs/trackedJob.js'

/** A worker that may run a step, with the ticket to send in its start requests. */
export interface AdvisedWorker {
  readonly workerId: string
  readonly ticket: string
}

/** Client of the advice service; `step` is JOB.OCCURRENCE.STEP. Rejects when the service is unavailable or overloaded. */
export interface AdvicePort {
  advise (step: string, workerIds: readonly string[], timeoutMs: number): Promise<readonly AdvisedWorker[]>
}

/** Dependencies of the advice cache. */
export interface AdviceCacheHost {
  readonly port: AdvicePort
  readonly term: Term
  readonly logger: Logger
  readonly onChanged: () => void
}

/** A usable worker of the service of a unit's job that has the label which the unit requires. */
export interface AdviceCandidate {
  readonly workerId: string
  /** It has room for a task of the unit. */
  readonly hasRoom: boolean
}

/** The tickets of one term. */
export interface AdviceCache {
  /** Those of the workers whose ticket stays valid long enough for a start; undefined if there are none. */
  getPermitted (unit: Unit, workerIds: readonly string[]): ReadonlySet<string> | undefined
  /**
   * Must be called in each planning pass in which the permitted workers cannot take the unit, in the order in which units get workers. After the pass, the service is asked about
   * further candidates of one unit: of the first that has candidates with room, or else of the first.
   */
  requestMore (unit: Unit, settings: AdviceSettings, getCandidates: () => readonly AdviceCandidate[]): void
  getTicket (unit: Unit, workerId: string): string | undefined
  /** Discards a ticket that the worker has rejected. */
  invalidate (unit: Unit, workerId: string): void
}

/** Maximum number of workers in one request, as defined by the service's protocol. */
const maxWorkersPerRequest = 30
/** Minimum remaining validity of a ticket that is used, in ms: storing a plan and sending its starts must fit into it. */
const ticketMarginMs = 600
/** Pause after a failed request, in ms. */
const retryPauseMs = 300
/** Time that a request may take in addition to the service's processing time, in ms. */
const answerMarginMs = 1_000

interface Ticket {
  readonly ticket: string
  readonly validUntilMs: number
}

interface StepAdvice {
  readonly tickets: Map<string, Ticket>
  /** Workers that the service has answered for; the answer for a worker does not change. */
  readonly asked: Set<string>
}

/** The order in which candidates are asked about. Those of one request are of the same kind, so that the request is no longer than needed. */
enum CandidateKind {
  /** It has room, and its ticket has expired. */
  PermittedWithRoom,
  /** It has room, and the service has not been asked about it. */
  UnaskedWithRoom,
  /** Running work has to end or be stopped there first. */
  PermittedFull,
  UnaskedFull
}

interface AdviceRequest {
  readonly unit: Unit
  readonly settings: AdviceSettings
  readonly kind: CandidateKind
  readonly workerIds: readonly string[]
}

/**
 * Creates the cache of one term. Requests are sent one at a time, because the service processes those of a host sequentially; each is chosen when the one before has been
 * answered, so that none waits behind requests that are no longer needed.
 */
export function createAdviceCache (host: AdviceCacheHost): AdviceCache {
  const stepsByJob = new WeakMap<TrackedJob, Map<string, StepAdvice>>()
  let next: AdviceRequest | undefined
  let isRequestPending = false

  return { getPermitted, requestMore, getTicket, invalidate }

  function getAdvice (unit: Unit): StepAdvice {
    let steps = stepsByJob.get(unit.job)
    if (steps === undefined) stepsByJob.set(unit.job, steps = new Map())
    const name = getStepName(unit)
    let advice = steps.get(name)
    if (advice === undefined) steps.set(name, advice = { tickets: new Map(), asked: new Set() })
    return advice
  }

  function getPermitted (unit: Unit, workerIds: readonly string[]): ReadonlySet<string> | undefined {
    const { tickets } = getAdvice(unit)
    const nowMs = performance.now()
    const permitted = workerIds.filter(workerId => isValid(tickets.get(workerId), nowMs))
    return permitted.length > 0 ? new Set(permitted) : undefined
  }

  function requestMore (unit: Unit, settings: AdviceSettings, getCandidates: () => readonly AdviceCandidate[]): void {
    if (isRequestPending || (next !== undefined && hasRoom(next.kind))) return
    const request = tryCreateRequest(unit, settings, getCandidates())
    if (request === undefined) return
    // The pass is synchronous, so that the microtask runs at its end.
    if (next === undefined) void Promise.resolve().then(sendNext)
    if (next === undefined || hasRoom(request.kind)) next = request
  }

  function tryCreateRequest (unit: Unit, settings: AdviceSettings, candidates: readonly AdviceCandidate[]): AdviceRequest | undefined {
    const { tickets, asked } = getAdvice(unit)
    const nowMs = performance.now()
    let first: CandidateKind | undefined
    let workerIds: string[] = []
    for (const candidate of candidates) {
      const { workerId } = candidate
      const ticket = tickets.get(workerId)
      if (isValid(ticket, nowMs) || (ticket === undefined && asked.has(workerId))) continue
      const kind = getKind(candidate, ticket !== undefined)
      if (first !== undefined && kind > first) continue
      if (kind !== first) workerIds = []
      first = kind
      workerIds.push(workerId)
    }
    return first === undefined ? undefined : { unit, settings, kind: first, workerIds: workerIds.slice(0, maxWorkersPerRequest) }
  }

  async function sendNext (): Promise<void> {
    if (next === undefined || host.term.signal.aborted) return
    const request = next
    next = undefined
    isRequestPending = true
    await send(request)
    isRequestPending = false
    if (!host.term.signal.aborted) host.onChanged()
  }

  async function send ({ unit, settings, workerIds }: AdviceRequest): Promise<void> {
    const step = getStepName(unit)
    const advice = getAdvice(unit)
    try {
      const advised = await host.port.advise(step, workerIds, settings.decideMs + settings.perWorkerMs * workerIds.length + answerMarginMs)
      const validUntilMs = performance.now() + settings.validMs
      workerIds.forEach(workerId => advice.asked.add(workerId))
      for (const { workerId, ticket } of advised) advice.tickets.set(workerId, { ticket, validUntilMs })
      host.logger.info('advice received', { step, asked: workerIds.length, good: advised.length })
    } catch (error) {
      host.logger.warn('advice request failed', { step, error: String(error) })
      await delay(retryPauseMs, host.term.signal)
    }
  }

  function getTicket (unit: Unit, workerId: string): string | undefined {
    return getAdvice(unit).tickets.get(workerId)?.ticket
  }

  function invalidate (unit: Unit, workerId: string): void {
    const advice = getAdvice(unit)
    advice.tickets.delete(workerId)
    advice.asked.delete(workerId)
  }
}

function isValid (ticket: Ticket | undefined, nowMs: number): boolean {
  return ticket !== undefined && ticket.validUntilMs - ticketMarginMs > nowMs
}

function getKind ({ hasRoom }: AdviceCandidate, isPermitted: boolean): CandidateKind {
  if (hasRoom) return isPermitted ? CandidateKind.PermittedWithRoom : CandidateKind.UnaskedWithRoom
  return isPermitted ? CandidateKind.PermittedFull : CandidateKind.UnaskedFull
}

function hasRoom (kind: CandidateKind): boolean {
  return kind === CandidateKind.PermittedWithRoom || kind === CandidateKind.UnaskedWithRoom
}

function getStepName (unit: Unit): string {
  return `${unit.job.spec.jobId}.${unit.occurrence}.${unit.step}`
}
