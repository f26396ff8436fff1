/** Chooses workers for one unit. Works only on the free capacity that the caller passes in; does no I/O. */
import type { Resources } from '../jobs/jobModel.js'
import type { Unit } from '../jobs/trackedJob.js'
import { fits, subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'

/** The free capacity of each usable worker during one planning pass; placements of the pass are already subtracted. */
export type FreeCapacity = Map<WorkerState, Resources>

/**
 * What a worker has without the lasting tasks on it, which neither end nor are preempted: a gang never gets their share, however long it waits. The worker's
 * whole capacity where it is not given.
 */
export type GetAttainable = (worker: WorkerState) => Resources

/** What the search needs to know about other work on the workers. */
export interface PlacementRules {
  /** The number of tasks of the unit's step and occurrence on a worker. */
  readonly countStepTasks: (unit: Unit, workerId: string) => number
  /** The accelerators of a worker that are used by the unit's queue and by other queues. */
  readonly getOccupancy: (unit: Unit, worker: WorkerState) => Occupancy
  /** Tells whether a worker is reserved for another unit, whose start this unit would delay. */
  readonly isReservedForOther: (unit: Unit, worker: WorkerState) => boolean
  /** Gangs that belong on one rack are placed across racks, where they run more slowly. */
  readonly spansRacks?: boolean
  readonly getAttainable?: GetAttainable
  /** The number of units on a worker beside which the unit runs only if there is no other room; 0 if it is not given. */
  readonly countConflicts?: (unit: Unit, worker: WorkerState) => number
  /** The expected speed of runs on a worker, relative to usual; 1 if it is not given. */
  readonly getSpeed?: (worker: WorkerState) => number
  /** By how much the unit's slack until its latest start exceeds its run, as a multiple of the run. 0 if it is not given. */
  readonly getSlackShare?: (unit: Unit) => number
}

/** The accelerators of a worker in use, by the unit's own queue and by other queues. */
export interface Occupancy {
  readonly sameQueue: number
  readonly otherQueues: number
}

/** Finds a worker for every member of a unit, or returns undefined. Subtracts the members' requests from the free capacity. */
export function tryPlace (unit: Unit, freeCapacity: FreeCapacity, rules: PlacementRules): readonly WorkerState[] | undefined {
  for (const group of getGroups(unit, freeCapacity, rules)) {
    const places = tryPlaceInGroup(unit, group, freeCapacity, rules)
    if (places !== undefined) {
      allocateCapacity(freeCapacity, places, unit.spec.request)
      return places
    }
  }
  return undefined
}

/**
 * Finds workers for up to `count` single tasks like the unit, as many as fit, and subtracts their requests from the free capacity.
 * Workers are ranked once: one that gets a task stays the best fit for the next until it is full.
 */
export function placeTasks (unit: Unit, count: number, freeCapacity: FreeCapacity, rules: PlacementRules): readonly WorkerState[] {
  const { request, spreadLimit = Infinity } = unit.spec
  const places: WorkerState[] = []
  if (count <= 0) return places
  const placedCounts = new Map<WorkerState, number>()
  for (const group of getGroups(unit, freeCapacity)) {
    for (const worker of getFittingWorkers(unit, group, freeCapacity, rules)) {
      let onWorker = rules.countStepTasks(unit, worker.info.workerId) + (placedCounts.get(worker) ?? 0)
      while (places.length < count && onWorker < spreadLimit && fits(request, freeCapacity.get(worker) as Resources)) {
        places.push(worker)
        allocateCapacity(freeCapacity, [worker], request)
        placedCounts.set(worker, (placedCounts.get(worker) ?? 0) + 1)
        onWorker++
      }
      if (places.length === count) return places
    }
  }
  return places
}

/** Subtracts one request from the free capacity for each place. */
export function allocateCapacity (freeCapacity: FreeCapacity, places: readonly WorkerState[], request: Resources): void {
  for (const worker of places) freeCapacity.set(worker, subtractResources(freeCapacity.get(worker) ?? worker.info.capacity, request))
}

/** The groups of workers to try in turn: the rack that holds the data first, then each rack by itself or all workers together. */
export function getGroups (unit: Unit, freeCapacity: FreeCapacity, { spansRacks = false, getAttainable }: Pick<PlacementRules, 'spansRacks' | 'getAttainable'> = {}): readonly (readonly WorkerState[])[] {
  const candidates = [...freeCapacity.keys()].filter(worker => isEligible(unit, worker))
  const { dataRack, isSameRack } = unit.spec
  const nearData = dataRack === undefined ? [] : candidates.filter(worker => worker.info.rack === dataRack)
  if (!isSameRack || spansRacks || unit.size === 1) return nearData.length > 0 ? [nearData, candidates] : [candidates]
  const racks = [...groupByRack(candidates).values()].filter(rack => canHold(unit, rack, getAttainable))
  // No single rack can hold the gang: it runs slower across racks, but it runs.
  if (racks.length === 0) return [candidates]
  // Best fit: trying the racks with the least free capacity first leaves the others free for larger gangs.
  const byFreeCapacity = racks.sort((left, right) => sumAccelerators(left, freeCapacity) - sumAccelerators(right, freeCapacity))
  return nearData.length > 0 ? [nearData, ...byFreeCapacity] : byFreeCapacity
}

/** Tells whether a worker belongs to the service of the job's queue and has the label that the unit requires. */
export function isEligible (unit: Unit, worker: WorkerState): boolean {
  const { requiredLabel } = unit.spec
  if (worker.info.service !== unit.job.service) return false
  return requiredLabel === undefined || worker.info.labels.includes(requiredLabel)
}

/** Tells whether the workers could hold the whole unit if nothing but lasting tasks ran on them. */
export function canHold (unit: Unit, workers: readonly WorkerState[], getAttainable: GetAttainable = ({ info }) => info.capacity): boolean {
  const { request, spreadLimit = Infinity } = unit.spec
  let count = 0
  for (const worker of workers) {
    let free = getAttainable(worker)
    for (let countOnWorker = 0; countOnWorker < spreadLimit && count < unit.size && fits(request, free); countOnWorker++) {
      free = subtractResources(free, request)
      count++
    }
  }
  return count >= unit.size
}

/** The workers by rack. */
export function groupByRack (workers: readonly WorkerState[]): Map<string, WorkerState[]> {
  const racks = new Map<string, WorkerState[]>()
  for (const worker of workers) {
    const rack = racks.get(worker.info.rack)
    if (rack === undefined) racks.set(worker.info.rack, [worker])
    else rack.push(worker)
  }
  return racks
}

function sumAccelerators (workers: readonly WorkerState[], freeCapacity: FreeCapacity): number {
  return workers.reduce((sum, worker) => sum + (freeCapacity.get(worker)?.accelerators ?? 0), 0)
}

function tryPlaceInGroup (unit: Unit, group: readonly WorkerState[], freeCapacity: FreeCapacity, rules: PlacementRules): readonly WorkerState[] | undefined {
  const { request, spreadLimit = Infinity } = unit.spec
  const places: WorkerState[] = []
  for (const worker of getFittingWorkers(unit, group, freeCapacity, rules)) {
    let free = freeCapacity.get(worker) as Resources
    let count = rules.countStepTasks(unit, worker.info.workerId)
    while (places.length < unit.size && count < spreadLimit && fits(request, free)) {
      places.push(worker)
      free = subtractResources(free, request)
      count++
    }
    if (places.length === unit.size) return places
  }
  return undefined
}

/** The workers of the group that have room for one task of the unit, best fit first. */
function getFittingWorkers (unit: Unit, group: readonly WorkerState[], freeCapacity: FreeCapacity, rules: PlacementRules): readonly WorkerState[] {
  const fitting = group.filter(worker => fits(unit.spec.request, freeCapacity.get(worker) as Resources) && !rules.isReservedForOther(unit, worker))
  return sortByFit(unit, fitting, freeCapacity, rules)
}

/**
 * Workers with the fewest conflicts come first. Workers to avoid, on which the unit has failed or that have crashed under it, come last. Among the others, workers
 * that run only work of the unit's own queue come first: when a queue's short work ends, whole workers become free, rather than stay partly occupied by another queue's long work. Then cold and slow
 * workers come last, in coarse classes, since by small differences of speed work would be spread over more workers.
 */
function sortByFit (unit: Unit, workers: readonly WorkerState[], freeCapacity: FreeCapacity, rules: PlacementRules): readonly WorkerState[] {
  const slackShare = rules.getSlackShare?.(unit) ?? 0
  const ranked = workers.map(worker => {
    const speed = rules.getSpeed?.(worker) ?? 1
    const { sameQueue, otherQueues } = rules.getOccupancy(unit, worker)
    return { worker, conflicts: rules.countConflicts?.(unit, worker) ?? 0, isAvoided: Number(isAvoided(unit, worker)), queueMix: Math.sign(otherQueues) - Math.sign(sameQueue), speedClass: getSpeedClass(worker, speed, slackShare), slack: getSlack(worker, freeCapacity) }
  })
  ranked.sort((left, right) => left.conflicts - right.conflicts || left.isAvoided - right.isAvoided || left.queueMix - right.queueMix || left.speedClass - right.speedClass || left.slack - right.slack)
  return ranked.map(({ worker }) => worker)
}

/** 0 for a usual worker, 1 for a cold and 2 for a slow one. A unit whose slack covers its longer run takes the worker as a usual one, so that usual ones are left for others. */
function getSpeedClass ({ info }: WorkerState, speed: number, slackShare: number): number {
  const isSlow = speed < slowSpeed
  if (!isSlow && info.coldLeftMs <= 0) return 0
  if (slackShare > minTolerantSlackShare && slackShare > 1 / speed - 1) return 0
  return isSlow ? 2 : 1
}

/** Workers below this relative speed count as slow: the models differ by 0.8 to 1.3, and by estimates some less. */
const slowSpeed = 0.6
/** A unit tolerates a slow worker if its slack exceeds its run by this factor. */
const minTolerantSlackShare = 2

/** Tells whether the unit starts on the worker only if there is room nowhere else. */
export function isAvoided ({ avoidedWorkers }: Unit, { info: { workerId, machineId } }: WorkerState): boolean {
  return avoidedWorkers.has(workerId) || (machineId !== undefined && avoidedWorkers.has(machineId))
}

/** The free share of the worker's accelerators plus the free share of its processors. */
function getSlack (worker: WorkerState, freeCapacity: FreeCapacity): number {
  const free = freeCapacity.get(worker) as Resources
  const { capacity } = worker.info
  const accelerators = capacity.accelerators === 0 ? 0 : free.accelerators / capacity.accelerators
  return accelerators + free.cpuMilli / Math.max(1, capacity.cpuMilli)
}
