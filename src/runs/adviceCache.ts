/** Asks the advice service which workers may run a step, and caches the tickets that it returns. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import type { AdviceSettings } from '../configuration/configuration.js'
import type { Unit } from '../jobs/trackedJob.js'

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

/** The tickets of one term. */
export interface AdviceCache {
  /** The workers whose ticket stays valid long enough for a start; undefined if there are none. Asks for more if they are too few. */
  getPermitted (unit: Unit, settings: AdviceSettings, workerIds: readonly string[]): ReadonlySet<string> | undefined
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

interface StepAdvice {
  readonly tickets: Map<string, { readonly ticket: string, readonly validUntilMs: number }>
  /** Workers that the service has answered for; the answer for a worker does not change. */
  readonly asked: Set<string>
  isRequestPending: boolean
}

/** Creates the cache of one term. Requests are sent one at a time, because the service processes those of a host sequentially. */
export function createAdviceCache (host: AdviceCacheHost): AdviceCache {
  const steps = new Map<string, StepAdvice>()
  let lastRequest: Promise<void> = Promise.resolve()

  return { getPermitted, getTicket, invalidate }

  function getAdvice (unit: Unit): StepAdvice {
    const name = getStepName(unit)
    let advice = steps.get(name)
    if (advice === undefined) steps.set(name, advice = { tickets: new Map(), asked: new Set(), isRequestPending: false })
    return advice
  }

  function getPermitted (unit: Unit, settings: AdviceSettings, workerIds: readonly string[]): ReadonlySet<string> | undefined {
    const advice = getAdvice(unit)
    const nowMs = performance.now()
    const permitted = new Set<string>()
    for (const [workerId, { validUntilMs }] of advice.tickets) if (validUntilMs - ticketMarginMs > nowMs) permitted.add(workerId)
    if (permitted.size >= unit.size) return permitted
    if (!advice.isRequestPending) requestAdvice(unit, settings, advice, workerIds)
    return permitted.size > 0 ? permitted : undefined
  }

  function requestAdvice (unit: Unit, settings: AdviceSettings, advice: StepAdvice, workerIds: readonly string[]): void {
    const unasked = workerIds.filter(workerId => !advice.asked.has(workerId)).slice(0, maxWorkersPerRequest)
    const requested = unasked.length > 0 ? unasked : [...advice.tickets.keys()].slice(0, maxWorkersPerRequest)
    if (requested.length === 0) return
    advice.isRequestPending = true
    lastRequest = lastRequest.then(async () => {
      await sendRequest(unit, settings, advice, requested)
      advice.isRequestPending = false
      if (!host.term.signal.aborted) host.onChanged()
    })
  }

  async function sendRequest (unit: Unit, settings: AdviceSettings, advice: StepAdvice, requested: readonly string[]): Promise<void> {
    const step = getStepName(unit)
    try {
      const advised = await host.port.advise(step, requested, settings.decideMs + settings.perWorkerMs * requested.length + answerMarginMs)
      const validUntilMs = performance.now() + settings.validMs
      requested.forEach(workerId => advice.asked.add(workerId))
      for (const { workerId, ticket } of advised) advice.tickets.set(workerId, { ticket, validUntilMs })
      host.logger.info('advice received', { step, asked: requested.length, good: advised.length })
    } catch (error) {
      host.logger.warn('advice request failed', { step, error: String(error) })
      await delay(retryPauseMs, host.term.signal)
    }
  }

  function getTicket (unit: Unit, workerId: string): string | undefined {
    return steps.get(getStepName(unit))?.tickets.get(workerId)?.ticket
  }

  function invalidate (unit: Unit, workerId: string): void {
    const advice = getAdvice(unit)
    advice.tickets.delete(workerId)
    advice.asked.delete(workerId)
  }
}

function getStepName (unit: Unit): string {
  return `${unit.job.spec.jobId}.${unit.occurrence}.${unit.step}`
}
