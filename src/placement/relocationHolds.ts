/**
 * Holds the new places of runs that are being moved until they start again, since other units could take the room while the runs are being stopped. Does no I/O.
 */
import { isTerminal } from '../jobs/jobModel.js'
import type { Resources } from '../jobs/jobModel.js'
import type { Unit } from '../jobs/trackedJob.js'
import { getFreeCapacity, subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'

/** The holds of one scheduler term. */
export interface RelocationHolds {
  add (unit: Unit, places: readonly WorkerState[], nowMs: number): void
  /** Drops the holds that are not needed any more, and those of units that can no longer start on their places. Must be called at the start of each pass. */
  update (isPlaceUsable: (unit: Unit, worker: WorkerState) => boolean, nowMs: number): void
  /** Ends the hold of a unit, and returns its places; undefined if it has none. */
  take (unit: Unit): readonly WorkerState[] | undefined
  /** The free capacity of a worker without what is held there. */
  getFree (worker: WorkerState): Resources
}

interface Hold {
  readonly places: readonly WorkerState[]
  readonly heldSinceMs: number
}

/** How long places are held, in ms: a stop takes less than a second, unless the worker does not answer. Then the room is of more use to others. */
const maxHoldMs = 3_000

/** Creates the holds of one term. */
export function createRelocationHolds (): RelocationHolds {
  const holds = new Map<Unit, Hold>()
  return { add, update, take, getFree }

  function add (unit: Unit, places: readonly WorkerState[], nowMs: number): void {
    holds.set(unit, { places, heldSinceMs: nowMs })
  }

  function update (isPlaceUsable: (unit: Unit, worker: WorkerState) => boolean, nowMs: number): void {
    for (const [unit, { places, heldSinceMs }] of holds) {
      const isNeeded = !unit.isDone && !isTerminal(unit.job.state) && nowMs - heldSinceMs < maxHoldMs
      if (!isNeeded || !places.every(worker => isPlaceUsable(unit, worker))) holds.delete(unit)
    }
  }

  function take (unit: Unit): readonly WorkerState[] | undefined {
    const hold = holds.get(unit)
    holds.delete(unit)
    return hold?.places
  }

  function getFree (worker: WorkerState): Resources {
    let free = getFreeCapacity(worker)
    for (const [{ spec: { request } }, { places }] of holds) {
      for (const place of places) if (place === worker) free = subtractResources(free, request)
    }
    return free
  }
}
