/** Asks the advice service which workers may run a step, and keeps its tickets. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import type { AdviceSettings } from '../configuration/configuration.js'
import type { Unit } from '../jobs/trackedJob.js'

/** A worker that may run a step, with the ticket that its starts carry. */
export interface AdvisedWorker {
  readonly workerId: string
  readonly ticket: string
}

/** The advice service as a port; `step` is JOB.OCCURRENCE.STEP. Rejects when it is out or overloaded. */
export interface AdvicePort {
  advise (step: string, workerIds: readonly string[], timeoutMs: number): Promise<readonly AdvisedWorker[]>
}

/** What the book needs from outside. */
export interface AdviceBookHost {
  readonly port: AdvicePort
  readonly term: Term
  readonly logger: Logger
  readonly onChanged: () => void
}

/** The tickets of one term. */
export interface AdviceBook {
  /** The workers with a ticket that is valid long enough for a start; undefined while the service is being asked. */
  getPermitted (unit: Unit, settings: AdviceSettings, workerIds: readonly string[]): ReadonlySet<string> | undefined
  getTicket (unit: Unit, workerId: string): string | undefined
  /** A worker has rejected its ticket. */
  forget (unit: Unit, workerId: string): void
}

/** Most workers that one question names. Source: the service's protocol. */
const maxWorkersAsked = 30
/** A ticket is used only when it is valid for so much longer, in ms: a plan is stored and sent within it. */
const ticketMarginMs = 600
/** Pause after a failed question, in ms. */
const retryPauseMs = 300
/** The answer may come so much later than the service's own time, in ms. */
const answerGraceMs = 1_000

interface StepAdvice {
  readonly tickets: Map<string, { readonly ticket: string, readonly validUntilMs: number }>
  /** Workers that have been asked about; the answer for a worker does not change. */
  readonly asked: Set<string>
  isAsking: boolean
}

/** Creates the book of one term. Questions are asked one at a time, since the service answers each host in turn. */
export function createAdviceBook (host: AdviceBookHost): AdviceBook {
  const steps = new Map<string, StepAdvice>()
  let queue: Promise<void> = Promise.resolve()

  return { getPermitted, getTicket, forget }

  function getAdvice (unit: Unit): StepAdvice {
    const name = getStepName(unit)
    let advice = steps.get(name)
    if (advice === undefined) steps.set(name, advice = { tickets: new Map(), asked: new Set(), isAsking: false })
    return advice
  }

  function getPermitted (unit: Unit, settings: AdviceSettings, workerIds: readonly string[]): ReadonlySet<string> | undefined {
    const advice = getAdvice(unit)
    const nowMs = performance.now()
    const permitted = new Set<string>()
    for (const [workerId, { validUntilMs }] of advice.tickets) if (validUntilMs - ticketMarginMs > nowMs) permitted.add(workerId)
    if (permitted.size >= unit.size) return permitted
    if (!advice.isAsking) ask(unit, settings, advice, workerIds)
    return permitted.size > 0 ? permitted : undefined
  }

  function ask (unit: Unit, settings: AdviceSettings, advice: StepAdvice, workerIds: readonly string[]): void {
    const fresh = workerIds.filter(workerId => !advice.asked.has(workerId)).slice(0, maxWorkersAsked)
    const named = fresh.length > 0 ? fresh : [...advice.tickets.keys()].slice(0, maxWorkersAsked)
    if (named.length === 0) return
    advice.isAsking = true
    queue = queue.then(async () => {
      await askOnce(unit, settings, advice, named)
      advice.isAsking = false
      if (!host.term.signal.aborted) host.onChanged()
    })
  }

  async function askOnce (unit: Unit, settings: AdviceSettings, advice: StepAdvice, named: readonly string[]): Promise<void> {
    const step = getStepName(unit)
    try {
      const good = await host.port.advise(step, named, settings.decideMs + settings.perWorkerMs * named.length + answerGraceMs)
      const validUntilMs = performance.now() + settings.validMs
      named.forEach(workerId => advice.asked.add(workerId))
      for (const { workerId, ticket } of good) advice.tickets.set(workerId, { ticket, validUntilMs })
      host.logger.info('advice is taken', { step, asked: named.length, good: good.length })
    } catch (error) {
      host.logger.warn('the advice service does not answer', { step, error: String(error) })
      await delay(retryPauseMs, host.term.signal)
    }
  }

  function getTicket (unit: Unit, workerId: string): string | undefined {
    return steps.get(getStepName(unit))?.tickets.get(workerId)?.ticket
  }

  function forget (unit: Unit, workerId: string): void {
    const advice = getAdvice(unit)
    advice.tickets.delete(workerId)
    advice.asked.delete(workerId)
  }
}

function getStepName (unit: Unit): string {
  return `${unit.job.spec.jobId}.${unit.occurrence}.${unit.step}`
}
