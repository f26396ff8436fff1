/**
 * Prevents starvation of large gangs. Where many small jobs keep every rack partly busy, a large gang would never find
 * enough free workers at once. The workers on which such a gang can start first are therefore reserved for it, and other
 * units may use them only if they end before the gang's expected start (backfilling). Does no I/O.
 */
import type { Resources } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Member, Unit } from '../jobs/trackedJob.js'
import { addResources, countFitting } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { getGroups } from './placeUnit.js'
import type { FreeCapacity, GetAttainable } from './placeUnit.js'

/** The workers reserved for a unit, and its expected start by the monotonic clock. */
export interface Reservation {
  readonly workers: readonly WorkerState[]
  readonly startAtMs: number
}

/** The running work on which the estimate is based, and the time by the monotonic clock. */
export interface ReservationHost {
  readonly getMembers: (workerId: string) => Iterable<Member>
  readonly nowMs: number
  readonly getAttainable?: GetAttainable
}

/** While a run has progressed by less than this since its first report, in percent, its remaining time is taken from its estimate. */
const minReliableProgressPercent = 10

/** Finds the workers on which the unit can start first; undefined if it would not fit even after all work except services has ended. */
export function tryReserve (unit: Unit, freeCapacity: FreeCapacity, host: ReservationHost): Reservation | undefined {
  let best: Reservation | undefined
  for (const group of getGroups(unit, freeCapacity, host)) best = estimateStart(unit, group, freeCapacity, host, best?.startAtMs ?? Infinity) ?? best
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

/** Undefined if the unit does not fit into the group before `limitMs`. Each end changes the room of one worker only, so only that worker is counted anew. */
function estimateStart (unit: Unit, group: readonly WorkerState[], freeCapacity: FreeCapacity, host: ReservationHost, limitMs: number): Reservation | undefined {
  const { request } = unit.spec
  const freeLater = new Map(group.map(worker => [worker, freeCapacity.get(worker) as Resources]))
  const room = new Map(group.map(worker => [worker, countFitting(request, freeCapacity.get(worker) as Resources, unit.size)]))
  let roomInGroup = 0
  for (const count of room.values()) roomInGroup += count
  const ends: { readonly worker: WorkerState, readonly request: Resources, readonly endsAtMs: number }[] = []
  for (const worker of group) {
    for (const member of host.getMembers(worker.info.workerId)) {
      if (member.state === MemberState.Ended) continue
      const endsAtMs = host.nowMs + getRemainingMs(member, host.nowMs)
      if (endsAtMs < limitMs) ends.push({ worker, request: member.attempt.unit.spec.request, endsAtMs })
    }
  }
  ends.sort((left, right) => left.endsAtMs - right.endsAtMs)
  for (const { worker, request: released, endsAtMs } of ends) {
    const free = addResources(freeLater.get(worker) as Resources, released)
    freeLater.set(worker, free)
    const count = countFitting(request, free, unit.size)
    roomInGroup += count - (room.get(worker) ?? 0)
    room.set(worker, count)
    if (roomInGroup >= unit.size) return { workers: takeWorkers(unit.size, room), startAtMs: endsAtMs }
  }
  return undefined
}

/** The first workers that together have room for so many tasks. */
function takeWorkers (size: number, room: ReadonlyMap<WorkerState, number>): readonly WorkerState[] {
  const workers: WorkerState[] = []
  let missing = size
  for (const [worker, count] of room) {
    if (count === 0) continue
    workers.push(worker)
    missing -= count
    if (missing <= 0) break
  }
  return workers
}
