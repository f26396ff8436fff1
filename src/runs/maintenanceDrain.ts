/** Drains workers whose machines go down for planned maintenance, as far as the disruption budget of service steps allows. */
import type { Attempt, Member } from '../jobs/trackedJob.js'
import type { WorkerState } from '../workers/workerState.js'

/** Dependencies of the drain. */
export interface MaintenanceDrainHost {
  readonly getWorker: (workerId: string) => WorkerState | undefined
  readonly getMembers: (workerId: string) => ReadonlySet<Member>
  /** Leaves an attempt running if it belongs to a service step of which too many tasks are unavailable. */
  readonly stopAttempt: (attempt: Attempt, reason: string) => void
}

/** Drains workers for maintenance. */
export interface MaintenanceDrain {
  /** Stops placing work on a worker and stops the attempts that may be moved; returns true when nothing runs there. */
  tryDrain (workerId: string, isUrgent: boolean): boolean
  /** Makes the worker available for new work again. */
  returnToService (workerId: string): void
}

/** Creates the maintenance drain of one term. */
export function createMaintenanceDrain (host: MaintenanceDrainHost): MaintenanceDrain {
  return { tryDrain, returnToService }

  function tryDrain (workerId: string, isUrgent: boolean): boolean {
    const worker = host.getWorker(workerId)
    if (worker === undefined) return true
    worker.isInMaintenance = true
    for (const { attempt } of host.getMembers(workerId)) {
      const { spec } = attempt.unit
      if (spec.isService || spec.hasCheckpoints || isUrgent) host.stopAttempt(attempt, 'the machine goes down for maintenance')
    }
    return host.getMembers(workerId).size === 0
  }

  function returnToService (workerId: string): void {
    const worker = host.getWorker(workerId)
    if (worker !== undefined) worker.isInMaintenance = false
  }
}
