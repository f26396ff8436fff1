/** Drains workers whose machines go down for planned maintenance, within each service step's limit of unavailable tasks. */
import { MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member, Unit } from '../jobs/trackedJob.js'
import type { WorkerState } from '../workers/workerState.js'

/** Dependencies of the drain. */
export interface MaintenanceDrainHost {
  readonly getWorker: (workerId: string) => WorkerState | undefined
  readonly getMembers: (workerId: string) => ReadonlySet<Member>
  readonly stopAttempt: (attempt: Attempt, reason: string) => void
  /** A service task counts as unavailable until it has been running at full progress for this long, in ms. */
  readonly noticeMs: number
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
    for (const member of host.getMembers(workerId)) {
      const { attempt } = member
      const { spec } = attempt.unit
      if (attempt.stopReason !== undefined) continue
      if (spec.isService ? canInterrupt(attempt.unit) : spec.hasCheckpoints || isUrgent) host.stopAttempt(attempt, 'the machine goes down for maintenance')
    }
    return host.getMembers(workerId).size === 0
  }

  /** Tells whether one more task of a service step may be unavailable. */
  function canInterrupt (unit: Unit): boolean {
    const others = unit.job.occurrences.get(unit.occurrence)?.[unit.step]?.filter(other => other !== unit) ?? []
    const unavailableCount = others.filter(other => !other.attempts.some(attempt => attempt.members.every(isAvailable))).length
    return unavailableCount < (unit.spec.allowedUnavailable ?? 0)
  }

  function isAvailable (member: Member): boolean {
    return member.state === MemberState.Running && member.progressPercent >= 100 && performance.now() - member.progressedAtMs >= host.noticeMs
  }

  function returnToService (workerId: string): void {
    const worker = host.getWorker(workerId)
    if (worker !== undefined) worker.isInMaintenance = false
  }
}
