/**
 * Prevents starvation of large gangs. Where many small jobs keep every rack partly busy, a large gang would never find
 * enough free workers at once. The workers on which such a gang can start first are therefore reserved for it, and other
 * units may use them only if they end before the gang's expected start (backfilling). Does no I/O.
 */
import type { Resources } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Member, Unit } from '../jobs/trackedJob.js'
import { addResources, fits, subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { getGroups } from './placeUnit.js'
import type { FreeCapacity } from './placeUnit.js'

/** The workers reserved for a unit, and its expected start by the monotonic clock. */
export interface Reservation {
  readonly workers: readonly WorkerState[]
  readonly startAtMs: number
}

/** The running work on which the estimate is based, and the time by the monotonic clock. */
export interface ReservationHost {
  readonly getMembers: (workerId: string) => Iterable<Member>
  readonly nowMs: number
}

/** While a run has progressed by less than this since its first report, in percent, its remaining time is taken from its estimate. */
const minReliableProgressPercent = 10

/** Finds the workers on which the unit can start first; undefined if it would not fit even after all work except services has ended. */
export function tryReserve (unit: Unit, freeCapacity: FreeCapacity, host: ReservationHost): Reservation | undefined {
  let best: Reservation | undefined
  for (const group of getGroups(unit, freeCapacity)) {
    const reservation = estimateStart(unit, group, freeCapacity, host)
    if (reservation !== undefined && reservation.startAtMs < (best?.startAtMs ?? Infinity)) best = reservation
  }
  return best
}

/** The remaining time of a run, in ms, by the rate of its progress or, while there is too little, by its estimate, which is less accurate. */
export function getRemainingMs (member: Member, nowMs: number): number {
  const { spec } = member.attempt.unit
  if (spec.isService) return Infinity
  const { firstProgress: first, progressPercent, progressedAtMs } = member
  const progressed = first === undefined ? 0 : progressPercent - first.percent
  const msPerPercent = first !== undefined && progressed >= minReliableProgressPercent ? (progressedAtMs - first.atMs) / progressed : spec.estimateMs / 100
  return Math.max(0, msPerPercent * (100 - progressPercent) - (nowMs - progressedAtMs))
}

function estimateStart (unit: Unit, group: readonly WorkerState[], freeCapacity: FreeCapacity, host: ReservationHost): Reservation | undefined {
  const freeLater = new Map(group.map(worker => [worker, freeCapacity.get(worker) as Resources]))
  const ends = group.flatMap(worker => [...host.getMembers(worker.info.workerId)]
    .filter(member => member.state !== MemberState.Ended)
    .map(member => ({ worker, member, endsAtMs: host.nowMs + getRemainingMs(member, host.nowMs) })))
  ends.sort((left, right) => left.endsAtMs - right.endsAtMs)
  for (const { worker, member, endsAtMs } of ends) {
    freeLater.set(worker, addResources(freeLater.get(worker) as Resources, member.attempt.unit.spec.request))
    const workers = findWorkers(unit, group, freeLater)
    if (workers !== undefined) return { workers, startAtMs: endsAtMs }
  }
  return undefined
}

function findWorkers (unit: Unit, group: readonly WorkerState[], freeCapacity: ReadonlyMap<WorkerState, Resources>): readonly WorkerState[] | undefined {
  const workers: WorkerState[] = []
  let missing = unit.size
  for (const worker of group) {
    let free = freeCapacity.get(worker) as Resources
    if (!fits(unit.spec.request, free)) continue
    workers.push(worker)
    while (missing > 0 && fits(unit.spec.request, free)) {
      free = subtractResources(free, unit.spec.request)
      missing--
    }
    if (missing === 0) return workers
  }
  return undefined
}
