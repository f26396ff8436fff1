/** What other work leaves of each worker, and which queues use it; computed on demand in each planning pass. Does no I/O. */
import type { Resources } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Member, Unit } from '../jobs/trackedJob.js'
import { subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import type { GetAttainable, Occupancy, PlacementRules } from './placeUnit.js'

/** The use of the workers. */
export interface WorkerUse {
  readonly countStepTasks: PlacementRules['countStepTasks']
  readonly getOccupancy: (unit: Unit, worker: WorkerState) => Occupancy
  readonly getAttainable: GetAttainable
  /** Must be called when something has been started on the worker. */
  forget (worker: WorkerState): void
  /** Must be called at the start of each pass. */
  clear (): void
}

/** Creates the use of the workers of one term. */
export function createWorkerUse (getMembers: (workerId: string) => ReadonlySet<Member>): WorkerUse {
  /** Accelerators in use by queue. */
  const usage = new Map<WorkerState, ReadonlyMap<string, number>>()
  /** The capacity without lasting tasks. */
  const attainable = new Map<WorkerState, Resources>()
  return { countStepTasks, getOccupancy, getAttainable, forget, clear }

  function forget (worker: WorkerState): void {
    usage.delete(worker)
    attainable.delete(worker)
  }

  function clear (): void {
    usage.clear()
    attainable.clear()
  }

  function countStepTasks (unit: Unit, workerId: string): number {
    if (unit.spec.spreadLimit === undefined) return 0
    let count = 0
    for (const member of getMembers(workerId)) {
      const other = member.attempt.unit
      if (other.job === unit.job && other.occurrence === unit.occurrence && other.step === unit.step) count++
    }
    return count
  }

  function getOccupancy (unit: Unit, worker: WorkerState): Occupancy {
    let sameQueue = 0
    let otherQueues = 0
    for (const [queue, accelerators] of getUsage(worker)) {
      if (queue === unit.job.spec.queue) sameQueue += accelerators
      else otherQueues += accelerators
    }
    return { sameQueue, otherQueues }
  }

  function getUsage (worker: WorkerState): ReadonlyMap<string, number> {
    const known = usage.get(worker)
    if (known !== undefined) return known
    const byQueue = new Map<string, number>()
    for (const { attempt: { unit } } of getMembers(worker.info.workerId)) {
      const { queue } = unit.job.spec
      byQueue.set(queue, (byQueue.get(queue) ?? 0) + unit.spec.request.accelerators)
    }
    usage.set(worker, byQueue)
    return byQueue
  }

  function getAttainable (worker: WorkerState): Resources {
    let resources = attainable.get(worker)
    if (resources !== undefined) return resources
    resources = worker.info.capacity
    for (const { attempt: { unit, stopReason }, state } of getMembers(worker.info.workerId)) {
      if (unit.spec.isService && stopReason === undefined && state !== MemberState.Ended) resources = subtractResources(resources, unit.spec.request)
    }
    attainable.set(worker, resources)
    return resources
  }
}
