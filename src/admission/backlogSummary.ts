/** Computes the summary of the backlog: for each service and priority, the work ahead of a new job and the wait that follows. Does no I/O. */
import { isTerminal } from '../jobs/jobModel.js'
import type { StepSpec } from '../jobs/jobModel.js'
import { areDependenciesDone } from '../jobs/trackedJob.js'
import type { TrackedJob, Unit } from '../jobs/trackedJob.js'
import { getPriority } from '../placement/unitOrder.js'
import type { GetQueue } from '../placement/unitOrder.js'
import type { RunTimes } from '../placement/runTimes.js'
import { isUsable } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'

/** The work of one priority and all more urgent ones, and the time until a new job of this priority would start. */
export interface BacklogLevel {
  readonly priority: number
  /** Accelerator-seconds and core-seconds that are waiting or running. */
  readonly acceleratorS: number
  readonly coreS: number
  /** The wait for accelerators and for processors, in ms; 0 while there is room for all work of the level. */
  readonly acceleratorWaitMs: number
  readonly coreWaitMs: number
}

/** The backlog of one service. */
export interface ServiceBacklog {
  readonly service: string
  /** Capacity of the usable workers, without what service tasks hold. */
  readonly accelerators: number
  readonly cores: number
  /** In order of priority, the most urgent first. */
  readonly levels: readonly BacklogLevel[]
}

/** The summary that the scheduler publishes. */
export interface BacklogSummary {
  /** The scheduler's term. */
  readonly epoch: number
  /** When it was computed, by the scheduling host's time of day. */
  readonly atMs: number
  readonly services: readonly ServiceBacklog[]
  /** Accelerators that the unfinished jobs of priority 0 need, by organisation; only organisations with a guarantee that have such jobs. */
  readonly urgentAccelerators: ReadonlyMap<string, number>
  /** Mean run time of a task, in ms, by queue; only queues with unfinished jobs of which enough runs have ended. */
  readonly meanRunMs: ReadonlyMap<string, number>
}

/** What the summary is computed from. */
export interface BacklogSource {
  readonly epoch: number
  readonly unfinishedJobs: Iterable<TrackedJob>
  readonly workers: Iterable<WorkerState>
  readonly getQueue: GetQueue
  /** The organisations that have a guarantee. */
  readonly guaranteedOrganisations: ReadonlySet<string>
  readonly runTimes: Pick<RunTimes, 'getExpectedMs' | 'getMeanMs'>
  /** The monotonic clock and the time of day, in ms. */
  readonly nowMs: number
  readonly unixNowMs: number
}

interface Amounts {
  /** Work that remains, in accelerator-seconds and core-seconds. */
  acceleratorS: number
  coreS: number
  /** What the units that run or could run now take at the same time. */
  accelerators: number
  cores: number
}

interface ServiceAmounts {
  accelerators: number
  cores: number
  readonly byPriority: Map<number, Amounts>
}

/** Computes the summary. Services without a usable worker are left out, since nothing is known about their wait. */
export function summarizeBacklog (source: BacklogSource): BacklogSummary {
  const services = new Map<string, ServiceAmounts>()
  const servicesByWorker = new Map<string, string>()
  for (const worker of source.workers) {
    addCapacity(services, worker)
    servicesByWorker.set(worker.info.workerId, worker.info.service)
  }
  /** Work that has a run counts where it runs; its queue may be sent to another service by now. */
  const getService = ({ job, attempts }: Unit): ServiceAmounts | undefined => services.get(servicesByWorker.get(attempts[0]?.members[0]?.workerId ?? '') ?? job.service)
  const urgentAccelerators = new Map<string, number>()
  const meanRunMs = new Map<string, number>()
  for (const job of source.unfinishedJobs) {
    if (isTerminal(job.state) || job.isCancelRequested) continue
    const { organisation, queue } = job.spec
    const priority = getPriority(job, source.getQueue)
    if (priority === 0 && source.guaranteedOrganisations.has(organisation)) {
      urgentAccelerators.set(organisation, (urgentAccelerators.get(organisation) ?? 0) + getLargestStep(job.spec.steps))
    }
    const queueMeanMs = source.runTimes.getMeanMs(queue)
    if (queueMeanMs !== undefined) meanRunMs.set(queue, Math.round(queueMeanMs))
    addWork(getService, job, priority, source)
  }
  return {
    epoch: source.epoch,
    atMs: source.unixNowMs,
    services: [...services].filter(([, { accelerators, cores }]) => accelerators > 0 || cores > 0).map(([service, amounts]) => toServiceBacklog(service, amounts)),
    urgentAccelerators,
    meanRunMs
  }
}

/** A quarantine ends after some seconds, well within the waits that matter here, so quarantined workers count as capacity. */
function addCapacity (services: Map<string, ServiceAmounts>, worker: WorkerState): void {
  if (!isUsable({ ...worker, isQuarantined: false })) return
  const { service, capacity } = worker.info
  const amounts = services.get(service) ?? { accelerators: 0, cores: 0, byPriority: new Map() }
  amounts.accelerators += capacity.accelerators
  amounts.cores += capacity.cpuMilli / 1_000
  services.set(service, amounts)
}

function addWork (getService: (unit: Unit) => ServiceAmounts | undefined, job: TrackedJob, priority: number, source: BacklogSource): void {
  for (const steps of job.occurrences.values()) {
    for (const units of steps) {
      const [first] = units
      if (first === undefined) continue
      const expectedMs = source.runTimes.getExpectedMs(job.spec.queue, first.spec)
      // The units of one step depend on the same steps.
      const isRunnable = areDependenciesDone(first)
      for (const unit of units) {
        const service = unit.isDone ? undefined : getService(unit)
        if (service !== undefined) addUnit(service, priority, unit, expectedMs, isRunnable, source.nowMs)
      }
    }
  }
}

function addUnit (service: ServiceAmounts, priority: number, unit: Unit, expectedMs: number, isRunnable: boolean, nowMs: number): void {
  const amounts = service.byPriority.get(priority) ?? { acceleratorS: 0, coreS: 0, accelerators: 0, cores: 0 }
  service.byPriority.set(priority, amounts)
  const { request, isService } = unit.spec
  const accelerators = unit.size * request.accelerators
  const cores = unit.size * request.cpuMilli / 1_000
  if (isService) {
    // A service task never ends by itself: what it holds is no capacity for jobs.
    if (unit.attempts.length === 0) return
    service.accelerators -= accelerators
    service.cores -= cores
    return
  }
  const remainingS = getRemainingMs(unit, expectedMs, nowMs) / 1_000
  amounts.acceleratorS += accelerators * remainingS
  amounts.coreS += cores * remainingS
  if (!isRunnable) return
  amounts.accelerators += accelerators
  amounts.cores += cores
}

function getRemainingMs (unit: Unit, expectedMs: number, nowMs: number): number {
  let remainingMs = expectedMs
  for (const attempt of unit.attempts) {
    if (attempt.stopReason !== undefined) continue
    // After a takeover `plannedAtMs` is too late, and only the progress tells how long the attempt has run.
    const progressShare = Math.max(0, ...attempt.members.map(member => member.progressPercent)) / 100
    const elapsedMs = Math.max(nowMs - attempt.plannedAtMs, progressShare * expectedMs)
    remainingMs = Math.min(remainingMs, Math.max(0, expectedMs - elapsedMs))
  }
  return remainingMs
}

function toServiceBacklog (service: string, { accelerators, cores, byPriority }: ServiceAmounts): ServiceBacklog {
  const sum: Amounts = { acceleratorS: 0, coreS: 0, accelerators: 0, cores: 0 }
  const levels: BacklogLevel[] = []
  for (const [priority, amounts] of [...byPriority].sort(([left], [right]) => left - right)) {
    sum.acceleratorS += amounts.acceleratorS
    sum.coreS += amounts.coreS
    sum.accelerators += amounts.accelerators
    sum.cores += amounts.cores
    levels.push({
      priority,
      acceleratorS: sum.acceleratorS,
      coreS: sum.coreS,
      acceleratorWaitMs: getWaitMs(sum.acceleratorS, sum.accelerators, accelerators),
      coreWaitMs: getWaitMs(sum.coreS, sum.cores, cores)
    })
  }
  return { service, accelerators, cores, levels }
}

/**
 * The time in which the capacity does the work; 0 while all of it has room at once, since a new job then need not wait for it. Without
 * capacity nothing is known about the wait, which counts as none.
 */
function getWaitMs (workS: number, demand: number, capacity: number): number {
  return capacity > 0 && demand > capacity ? workS / capacity * 1_000 : 0
}

/** The accelerators of the job's largest step: a step reuses what the steps before it have released. */
function getLargestStep (steps: readonly StepSpec[]): number {
  return Math.max(0, ...steps.map(step => step.count * step.request.accelerators))
}
