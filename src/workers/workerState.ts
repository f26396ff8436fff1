/** The scheduler's record of one worker: its capacity, the resources allocated there, and whether it can be used. */
import type { Resources } from '../jobs/jobModel.js'
import type { Sighting } from '../jobs/trackedJob.js'
import type { ListedWorker } from './workerPort.js'

/** The resources allocated to a run until the worker reports its end, or until it is certain that the run will never start. */
export interface Allocation {
  readonly resources: Resources
  /** Allocated for a start that is planned; the work that used the resources before may still be stopping. */
  isPlanned: boolean
  /** The latest evidence of a run that belongs to no current attempt. */
  seen?: Sighting
}

/** A worker, its allocations and its state. */
export interface WorkerState {
  info: ListedWorker
  /** Allocations by task and run. */
  readonly allocations: Map<string, Allocation>
  isListed: boolean
  /** The incarnation that the latest restart in this term began, by its start as Unix time in ms; -Infinity if reports have shown none. */
  reportedBornAtMs: number
  /** The list describes the incarnation that reports: one that has started anew may have another capacity. */
  isIncarnationListed: boolean
  /** It has reported its state in this term and answers requests. */
  isReachable: boolean
  /** It gets no new work for a time because its runs failed, stalled or were slow, or because it refused a start as unhealthy. */
  isQuarantined: boolean
  /** It is being drained for maintenance. */
  isInMaintenance: boolean
  /** The operators have requested that nothing more is started in its failure domain. */
  isDomainEvacuated: boolean
}

/** Creates the record of a worker that has not yet reported its state. */
export function createWorkerState (info: ListedWorker): WorkerState {
  return { info, allocations: new Map(), isListed: true, reportedBornAtMs: -Infinity, isIncarnationListed: true, isReachable: false, isQuarantined: false, isInMaintenance: false, isDomainEvacuated: false }
}

/** Tells whether new work may be started on a worker. */
export function isUsable (worker: WorkerState): boolean {
  return worker.isListed && worker.isIncarnationListed && worker.isReachable && !worker.isQuarantined && !worker.isInMaintenance && !worker.isDomainEvacuated && !worker.info.isDraining
}

/** The key of a run's allocation. */
export function getAllocationKey (task: string, run: number): string {
  return `${task}#${run}`
}

/** The capacity that is not allocated, with planned starts counted as allocated. */
export function getFreeCapacity (worker: WorkerState): Resources {
  return subtractAllocations(worker, () => true)
}

/** The capacity that no run uses: allocations for planned starts are not counted. */
export function getUnusedCapacity (worker: WorkerState): Resources {
  return subtractAllocations(worker, allocation => !allocation.isPlanned)
}

function subtractAllocations (worker: WorkerState, isCounted: (allocation: Allocation) => boolean): Resources {
  let { cpuMilli, memoryMb, accelerators } = worker.info.capacity
  for (const allocation of worker.allocations.values()) {
    if (!isCounted(allocation)) continue
    cpuMilli -= allocation.resources.cpuMilli
    memoryMb -= allocation.resources.memoryMb
    accelerators -= allocation.resources.accelerators
  }
  return { cpuMilli, memoryMb, accelerators }
}

/** Tells whether a request fits into the free resources. */
export function fits (request: Resources, free: Resources): boolean {
  return request.cpuMilli <= free.cpuMilli && request.memoryMb <= free.memoryMb && request.accelerators <= free.accelerators
}

/** How many times a request fits into the free resources, at most `limit` times. */
export function countFitting (request: Resources, free: Resources, limit: number): number {
  let { cpuMilli, memoryMb, accelerators } = free
  let count = 0
  while (count < limit && request.cpuMilli <= cpuMilli && request.memoryMb <= memoryMb && request.accelerators <= accelerators) {
    cpuMilli -= request.cpuMilli
    memoryMb -= request.memoryMb
    accelerators -= request.accelerators
    count++
  }
  return count
}

/** Adds two amounts. */
export function addResources (left: Resources, right: Resources): Resources {
  return { cpuMilli: left.cpuMilli + right.cpuMilli, memoryMb: left.memoryMb + right.memoryMb, accelerators: left.accelerators + right.accelerators }
}

/** Subtracts the second amount from the first. */
export function subtractResources (left: Resources, right: Resources): Resources {
  return { cpuMilli: left.cpuMilli - right.cpuMilli, memoryMb: left.memoryMb - right.memoryMb, accelerators: left.accelerators - right.accelerators }
}
