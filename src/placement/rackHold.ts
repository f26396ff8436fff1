/**
 * Bounds how long a gang that belongs on one rack waits for a rack while most of the pool is idle. Load: few wide gangs after the loss of many workers, of which
 * each rack keeps too few for the gang at once. Does no I/O.
 */
import { getUnits } from '../jobs/trackedJob.js'
import type { Unit } from '../jobs/trackedJob.js'
import { countFitting } from '../workers/workerState.js'
import { isEligible } from './placeUnit.js'
import type { FreeCapacity } from './placeUnit.js'
import { getPlacementKey } from './poolRoom.js'
import type { PoolUse } from './poolUse.js'

/** The waits of one term's gangs. */
export interface RackHolds {
  /** Counts the time since the last pass for the gangs that have room. Must be called at the start of each pass with all units that are ready. */
  update (ready: readonly Unit[], freeCapacity: FreeCapacity, isMostlyIdle: PoolUse['isMostlyIdle'], nowMs: number): void
  /** Tells whether a gang has waited for long enough and there is room for it twice over on the permitted workers, so that it may start across racks. */
  isOver (unit: Unit, permitted: FreeCapacity): boolean
}

/**
 * How long a gang waits for one rack beside room for it twice over in a pool of which most is idle, in ms. It runs more slowly across racks, but by the
 * platform's rules a job must not wait there for 3 s; a pause between passes, storing the plan and the start need the rest.
 */
const maxRackHoldMs = 2_000

interface RackHold {
  /** Since when the unit has waited for its present run: a later run waits anew. */
  readonly waitingSinceMs: number
  countedAtMs: number
  /** The time with room so far. It is not reset when others take the room, so that later work cannot prolong the wait again and again. */
  besideRoomMs: number
}

/** Creates the record of one term. */
export function createRackHolds (): RackHolds {
  const holds = new WeakMap<Unit, RackHold>()
  return { update, isOver }

  function update (ready: readonly Unit[], freeCapacity: FreeCapacity, isMostlyIdle: PoolUse['isMostlyIdle'], nowMs: number): void {
    const roomByKey = new Map<string, boolean>()
    for (const unit of ready) {
      if (!isBoundToRack(unit)) continue
      const { waitingSinceMs } = unit
      let hold = holds.get(unit)
      if (hold?.waitingSinceMs !== waitingSinceMs) holds.set(unit, hold = { waitingSinceMs, countedAtMs: nowMs, besideRoomMs: 0 })
      if (isMostlyIdle(unit.job.service) && hasRoom(unit)) hold.besideRoomMs += nowMs - hold.countedAtMs
      hold.countedAtMs = nowMs
    }

    function hasRoom (unit: Unit): boolean {
      const key = getPlacementKey(unit)
      let result = roomByKey.get(key)
      if (result === undefined) roomByKey.set(key, result = hasRoomTwiceOver(unit, freeCapacity))
      return result
    }
  }

  function isOver (unit: Unit, permitted: FreeCapacity): boolean {
    return (holds.get(unit)?.besideRoomMs ?? 0) >= maxRackHoldMs && isBoundToRack(unit) && !isOtherWorkRunning(unit) && hasRoomTwiceOver(unit, permitted)
  }
}

/** Tells whether the unit is a gang that is placed on one rack. */
export function isBoundToRack (unit: Unit): boolean {
  return unit.spec.isSameRack && unit.size > 1
}

/** Other work of the job that ends by itself: while it runs, the job progresses, and the rack may become free. */
function isOtherWorkRunning ({ job }: Unit): boolean {
  return getUnits(job).some(({ spec, attempts }) => !spec.isService && attempts.length > 0)
}

function hasRoomTwiceOver (unit: Unit, freeCapacity: FreeCapacity): boolean {
  const { size, spec: { request, spreadLimit = Infinity } } = unit
  const limit = Math.min(2 * size, spreadLimit)
  let room = 0
  for (const [worker, free] of freeCapacity) {
    if (!isEligible(unit, worker)) continue
    room += countFitting(request, free, limit)
    if (room >= 2 * size) return true
  }
  return false
}
