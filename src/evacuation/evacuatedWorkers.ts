/** Marks the workers of evacuated failure domains and logs each change of the set of evacuated domains. */
import type { Logger } from '../common/logger.js'
import type { Member } from '../jobs/trackedJob.js'
import type { WorkerState } from '../workers/workerState.js'
import type { DomainEvacuations, EvacuationRequest } from './domainEvacuations.js'

/** Dependencies of the marking. */
export interface EvacuatedWorkersHost {
  readonly logger: Logger
  /** The copy of the requests; undefined if the deployment has no evacuations. */
  readonly evacuations: DomainEvacuations | undefined
  readonly workers: ReadonlyMap<string, WorkerState>
  readonly getMembers: (workerId: string) => ReadonlySet<Member>
}

/** An evacuated failure domain, for the status. */
export interface EvacuatedDomain {
  readonly domain: string
  /** The store revision of the request. */
  readonly revision: number
  /** Time since this scheduler first read the request, in ms. */
  readonly seenForMs: number
  readonly workers: number
  /** Tasks on the workers of the domain that have not ended. */
  readonly runningTasks: number
  /** The jobs of these tasks, at most `maxListedJobs`. */
  readonly jobIds: readonly string[]
}

/** The workers of evacuated failure domains. */
export interface EvacuatedWorkers {
  /** Must be called when the requests or the list of workers have changed, before anything is planned or sent. */
  refresh (): void
  /** False while the copy of the requests is too old to start anything by it. */
  areRequestsCurrent (): boolean
  /** The fields for the log line of a start that was prevented on the worker. */
  describeRequest (workerId: string): { readonly domain?: string, readonly revision?: number, readonly ageMs?: number }
  /** The evacuated failure domains; undefined if the deployment has no evacuations. */
  describe (): readonly EvacuatedDomain[] | undefined
}

/** Enough to find what holds up an evacuation; a domain may run thousands of jobs, and the status is read often. */
const maxListedJobs = 20

/** Creates the marking of one term. */
export function createEvacuatedWorkers (host: EvacuatedWorkersHost): EvacuatedWorkers {
  const { evacuations, logger, workers } = host
  let applied: ReadonlyMap<string, EvacuationRequest> = new Map()
  let wasCurrent = false
  return { refresh, areRequestsCurrent, describeRequest, describe }

  function refresh (): void {
    if (evacuations === undefined) return
    const requests = evacuations.getRequests()
    for (const worker of workers.values()) worker.isDomainEvacuated = requests.has(worker.info.domain)
    if (requests === applied) return
    for (const request of requests.values()) if (applied.get(request.domain)?.revision !== request.revision) logChange('evacuation of a failure domain requested', request)
    for (const request of applied.values()) if (!requests.has(request.domain)) logChange('evacuation of a failure domain withdrawn', request)
    applied = requests
  }

  function areRequestsCurrent (): boolean {
    if (evacuations === undefined) return true
    const isCurrent = evacuations.isCurrent()
    if (wasCurrent && !isCurrent) logger.warn('the list of evacuation requests is too old; nothing is started', { ageMs: getAgeMs() })
    wasCurrent = isCurrent
    return isCurrent
  }

  function logChange (message: string, { domain, revision }: EvacuationRequest): void {
    logger.info(message, { domain, revision, ageMs: getAgeMs(), workers: getWorkersOf(domain).length, runningTasks: getTasksOf(domain).length })
  }

  function describeRequest (workerId: string): ReturnType<EvacuatedWorkers['describeRequest']> {
    const domain = workers.get(workerId)?.info.domain
    return { domain, revision: applied.get(domain ?? '')?.revision, ageMs: getAgeMs() }
  }

  function describe (): readonly EvacuatedDomain[] | undefined {
    if (evacuations === undefined) return undefined
    return [...evacuations.getRequests().values()].map(({ domain, revision, seenAtMs }) => ({
      domain,
      revision,
      seenForMs: Math.round(performance.now() - seenAtMs),
      workers: getWorkersOf(domain).length,
      runningTasks: getTasksOf(domain).length,
      jobIds: [...new Set(getTasksOf(domain).map(({ attempt }) => attempt.unit.job.spec.jobId))].slice(0, maxListedJobs)
    }))
  }

  function getAgeMs (): number | undefined {
    return evacuations === undefined ? undefined : Math.round(evacuations.getAgeMs())
  }

  function getWorkersOf (domain: string): readonly WorkerState[] {
    return [...workers.values()].filter(({ info }) => info.domain === domain)
  }

  function getTasksOf (domain: string): readonly Member[] {
    return getWorkersOf(domain).flatMap(({ info }) => [...host.getMembers(info.workerId)])
  }
}
