/** Tells within one planning pass, without ranking workers, whether a unit could be placed at all. Does no I/O. */
import type { Unit } from '../jobs/trackedJob.js'
import { countFitting } from '../workers/workerState.js'
import { canHold, groupByRack, isEligible } from './placeUnit.js'
import type { FreeCapacity, GetAttainable } from './placeUnit.js'

/** The room of the pool in one planning pass. */
export interface PoolRoom {
  /**
   * Tells whether the free capacity could hold the unit if reservations, conflicts and running tasks of its step kept it off no worker. A negative
   * answer holds for all units with the same requirements until capacity is released, as starts only take capacity.
   */
  hasRoom (unit: Unit): boolean
  /** Must be called when capacity has been released. */
  clear (): void
}

/** Creates the room index of one planning pass; later changes of the free capacity count. */
export function createPoolRoom (freeCapacity: FreeCapacity, getAttainable?: GetAttainable): PoolRoom {
  const lacking = new Set<string>()
  return { hasRoom, clear: () => { lacking.clear() } }

  function hasRoom (unit: Unit): boolean {
    const key = getPlacementKey(unit)
    if (lacking.has(key)) return false
    const isRoom = findRoom(unit, freeCapacity, getAttainable)
    if (!isRoom) lacking.add(key)
    return isRoom
  }
}

/** Identifies what a unit requires of the workers on which it is placed: units with the same key have the same groups of workers. */
export function getPlacementKey ({ job: { service }, size, spec }: Unit): string {
  const { request: { cpuMilli, memoryMb, accelerators }, requiredLabel, spreadLimit, isSameRack, dataRack } = spec
  return JSON.stringify([service, size, cpuMilli, memoryMb, accelerators, requiredLabel, spreadLimit, isSameRack, dataRack])
}

function findRoom (unit: Unit, freeCapacity: FreeCapacity, getAttainable: GetAttainable | undefined): boolean {
  const { request, spreadLimit = Infinity, isSameRack } = unit.spec
  const limit = Math.min(unit.size, spreadLimit)
  const isOneRackEnough = isSameRack && unit.size > 1
  const roomByRack = new Map<string, number>()
  let room = 0
  for (const [worker, free] of freeCapacity) {
    if (!isEligible(unit, worker)) continue
    const count = countFitting(request, free, limit)
    if (count === 0) continue
    room += count
    if (isOneRackEnough) {
      const roomInRack = (roomByRack.get(worker.info.rack) ?? 0) + count
      if (roomInRack >= unit.size) return true
      roomByRack.set(worker.info.rack, roomInRack)
    } else if (room >= unit.size) return true
  }
  // A gang that no rack could hold, even if only lasting tasks ran there, is spread over all workers.
  return isOneRackEnough && room >= unit.size && !canAnyRackHold(unit, freeCapacity, getAttainable)
}

function canAnyRackHold (unit: Unit, freeCapacity: FreeCapacity, getAttainable: GetAttainable | undefined): boolean {
  const racks = groupByRack([...freeCapacity.keys()].filter(worker => isEligible(unit, worker)))
  return [...racks.values()].some(rack => canHold(unit, rack, getAttainable))
}
