/**
 * Keeps large gangs from starving: while small work keeps every rack partly busy, the workers where a blocked gang
 * fits first are kept for it, and others use them only for work that ends before. Pure decisions.
 * Answers the load of many small jobs around one large one.
 */
import type { Resources } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Member, Unit } from '../jobs/trackedJob.js'
import { addResources, fits, subtractResources } from '../workers/workerBook.js'
import type { WorkerBook } from '../workers/workerBook.js'
import { getGroups } from './placeUnit.js'
import type { Rooms } from './placeUnit.js'

/** The workers kept for a gang, and when it is expected to start, by the steady clock. */
export interface Reservation {
  readonly workers: readonly WorkerBook[]
  readonly startAtMs: number
}

/** What the estimate needs to know about running work. */
export interface ReservationHost {
  readonly getMembers: (workerId: string) => Iterable<Member>
  readonly nowMs: number
}

/** Progress below this says too little about a run's speed, in percent. */
const minTellingPercent = 10

/** Finds the group of workers where the unit can start first; undefined where running work does not stand in its way. */
export function tryReserve (unit: Unit, rooms: Rooms, host: ReservationHost): Reservation | undefined {
  let best: Reservation | undefined
  for (const group of getGroups(unit, rooms)) {
    const reservation = estimateStart(unit, group, rooms, host)
    if (reservation !== undefined && reservation.startAtMs < (best?.startAtMs ?? Infinity)) best = reservation
  }
  return best
}

/** The time that a run still needs, in ms; its progress says more than its estimate. */
export function getRemainingMs (member: Member, nowMs: number): number {
  const { spec } = member.attempt.unit
  const elapsedMs = nowMs - member.attempt.plannedAtMs
  if (spec.isService) return Infinity
  if (member.progressPercent < minTellingPercent) return Math.max(0, spec.estimateMs - elapsedMs)
  return elapsedMs * (100 - member.progressPercent) / member.progressPercent
}

function estimateStart (unit: Unit, group: readonly WorkerBook[], rooms: Rooms, host: ReservationHost): Reservation | undefined {
  const later = new Map(group.map(book => [book, rooms.get(book) as Resources]))
  const ends = group.flatMap(book => [...host.getMembers(book.info.workerId)]
    .filter(member => member.state !== MemberState.Ended)
    .map(member => ({ book, member, endsAtMs: host.nowMs + getRemainingMs(member, host.nowMs) })))
  ends.sort((left, right) => left.endsAtMs - right.endsAtMs)
  for (const { book, member, endsAtMs } of ends) {
    later.set(book, addResources(later.get(book) as Resources, member.attempt.unit.spec.request))
    const workers = findWorkers(unit, group, later)
    if (workers !== undefined) return { workers, startAtMs: endsAtMs }
  }
  return undefined
}

function findWorkers (unit: Unit, group: readonly WorkerBook[], rooms: ReadonlyMap<WorkerBook, Resources>): readonly WorkerBook[] | undefined {
  const workers: WorkerBook[] = []
  let missing = unit.size
  for (const book of group) {
    let room = rooms.get(book) as Resources
    if (!fits(unit.spec.request, room)) continue
    workers.push(book)
    while (missing > 0 && fits(unit.spec.request, room)) {
      room = subtractResources(room, unit.spec.request)
      missing--
    }
    if (missing === 0) return workers
  }
  return undefined
}
