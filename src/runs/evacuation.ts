/** Empties workers whose machines go down for planned upkeep, without taking more from a lasting step than it allows. */
import { MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member, Unit } from '../jobs/trackedJob.js'
import type { WorkerBook } from '../workers/workerBook.js'

/** What the evacuation needs from outside. */
export interface EvacuationHost {
  readonly getBook: (workerId: string) => WorkerBook | undefined
  readonly getMembers: (workerId: string) => ReadonlySet<Member>
  readonly stopAttempt: (attempt: Attempt, reason: string) => void
  /** A lasting task counts as away until it has been at work for so long, in ms. */
  readonly noticeMs: number
}

/** The evacuation of workers. */
export interface Evacuation {
  /** Takes no new work on a worker and stops what may be moved; true when nothing runs there. */
  tryEmpty (workerId: string, isUrgent: boolean): boolean
  /** The worker may be used again. */
  giveBack (workerId: string): void
}

/** Creates the evacuation of one term. */
export function createEvacuation (host: EvacuationHost): Evacuation {
  return { tryEmpty, giveBack }

  function tryEmpty (workerId: string, isUrgent: boolean): boolean {
    const book = host.getBook(workerId)
    if (book === undefined) return true
    book.isInUpkeep = true
    for (const member of host.getMembers(workerId)) {
      const { attempt } = member
      const { spec } = attempt.unit
      if (attempt.stopReason !== undefined) continue
      if (spec.isService ? canMiss(attempt.unit) : spec.hasCheckpoints || isUrgent) host.stopAttempt(attempt, 'its machine goes down for upkeep')
    }
    return host.getMembers(workerId).size === 0
  }

  /** Tells whether one more task of a lasting step may be away. */
  function canMiss (unit: Unit): boolean {
    const others = unit.job.occurrences.get(unit.occurrence)?.[unit.step]?.filter(other => other !== unit) ?? []
    const away = others.filter(other => !other.attempts.some(attempt => attempt.members.every(isAtWork))).length
    return away < (unit.spec.allowedUnavailable ?? 0)
  }

  function isAtWork (member: Member): boolean {
    return member.state === MemberState.Running && member.progressPercent >= 100 && performance.now() - member.progressedAtMs >= host.noticeMs
  }

  function giveBack (workerId: string): void {
    const book = host.getBook(workerId)
    if (book !== undefined) book.isInUpkeep = false
  }
}
