/** Chooses workers for one unit. Pure decisions on the rooms that the caller gives; no waiting, no messages. */
import type { Resources } from '../jobs/jobModel.js'
import type { Unit } from '../jobs/trackedJob.js'
import { addResources, fits, subtractResources } from '../workers/workerBook.js'
import type { WorkerBook } from '../workers/workerBook.js'

/** The rooms of all usable workers during one plan; places that are taken are subtracted. */
export type Rooms = Map<WorkerBook, Resources>

/** What the search has to know about where other tasks of the unit's step are. */
export interface PlacementRules {
  /** Tasks of the unit's step and occurrence on a worker. */
  readonly countOnWorker: (unit: Unit, workerId: string) => number
  /** Accelerators on a worker that work of the unit's queue uses, and that other work uses. */
  readonly getOccupancy: (unit: Unit, book: WorkerBook) => Occupancy
  /** Tells whether a worker is kept for another unit that would have to wait for this one. */
  readonly isKeptFromUnit: (unit: Unit, book: WorkerBook) => boolean
}

/** Who uses a worker, in accelerators. */
export interface Occupancy {
  readonly same: number
  readonly other: number
}

/** Finds places for all members of a unit, or none. Takes them off the rooms. */
export function tryPlace (unit: Unit, rooms: Rooms, rules: PlacementRules): readonly WorkerBook[] | undefined {
  for (const group of getGroups(unit, rooms)) {
    const places = tryPlaceInGroup(unit, group, rooms, rules)
    if (places !== undefined) {
      takeRooms(rooms, places, unit.spec.request)
      return places
    }
  }
  return undefined
}

/** Takes one request for each place off the rooms. */
export function takeRooms (rooms: Rooms, places: readonly WorkerBook[], request: Resources): void {
  for (const book of places) rooms.set(book, subtractResources(rooms.get(book) ?? book.info.capacity, request))
}

/** Gives room back, for work that is to be stopped. */
export function giveRoom (rooms: Rooms, book: WorkerBook, resources: Resources): void {
  const room = rooms.get(book)
  if (room !== undefined) rooms.set(book, addResources(room, resources))
}

/** The groups of workers that are tried in turn: the data's rack, then each rack by itself, or all workers. */
export function getGroups (unit: Unit, rooms: Rooms): readonly (readonly WorkerBook[])[] {
  const candidates = [...rooms.keys()].filter(book => isAllowed(unit, book))
  const { dataRack, isSameRack } = unit.spec
  const near = dataRack === undefined ? [] : candidates.filter(book => book.info.rack === dataRack)
  if (!isSameRack || unit.size === 1) return near.length > 0 ? [near, candidates] : [candidates]
  const racks = [...groupByRack(candidates).values()].filter(rack => canEverHold(unit, rack))
  // A gang that no rack can hold works slowly, which is better than never.
  if (racks.length === 0) return [candidates]
  // The rack with the least room that still fits keeps the others whole for larger gangs.
  const byRoom = racks.sort((left, right) => sumAccelerators(left, rooms) - sumAccelerators(right, rooms))
  return near.length > 0 ? [near, ...byRoom] : byRoom
}

/** Tells whether a worker may run the unit at all. */
export function isAllowed (unit: Unit, book: WorkerBook): boolean {
  const { requiredLabel } = unit.spec
  if (book.info.service !== unit.job.spec.service) return false
  return requiredLabel === undefined || book.info.labels.includes(requiredLabel)
}

/** Tells whether the workers could hold the whole unit if nothing else ran on them. */
function canEverHold (unit: Unit, books: readonly WorkerBook[]): boolean {
  const { request, spreadLimit = Infinity } = unit.spec
  let count = 0
  for (const book of books) {
    let room = book.info.capacity
    for (let onWorker = 0; onWorker < spreadLimit && count < unit.size && fits(request, room); onWorker++) {
      room = subtractResources(room, request)
      count++
    }
  }
  return count >= unit.size
}

function groupByRack (books: readonly WorkerBook[]): Map<string, WorkerBook[]> {
  const racks = new Map<string, WorkerBook[]>()
  for (const book of books) {
    const rack = racks.get(book.info.rack)
    if (rack === undefined) racks.set(book.info.rack, [book])
    else rack.push(book)
  }
  return racks
}

function sumAccelerators (books: readonly WorkerBook[], rooms: Rooms): number {
  return books.reduce((sum, book) => sum + (rooms.get(book)?.accelerators ?? 0), 0)
}

function tryPlaceInGroup (unit: Unit, group: readonly WorkerBook[], rooms: Rooms, rules: PlacementRules): readonly WorkerBook[] | undefined {
  const { request, spreadLimit = Infinity } = unit.spec
  const places: WorkerBook[] = []
  const fitting = group.filter(book => fits(request, rooms.get(book) as Resources) && !rules.isKeptFromUnit(unit, book))
  for (const book of sortByFit(unit, fitting, rooms, rules)) {
    let room = rooms.get(book) as Resources
    let count = rules.countOnWorker(unit, book.info.workerId)
    while (places.length < unit.size && count < spreadLimit && fits(request, room)) {
      places.push(book)
      room = subtractResources(room, request)
      count++
    }
    if (places.length === unit.size) return places
  }
  return undefined
}

/**
 * Workers that failed the unit come last. Otherwise a worker that is shared with the unit's own queue is best: when one
 * queue's short work ends, whole workers become free, and long work of another does not stand in their middle.
 */
function sortByFit (unit: Unit, books: readonly WorkerBook[], rooms: Rooms, rules: PlacementRules): readonly WorkerBook[] {
  const ranked = books.map(book => {
    const { same, other } = rules.getOccupancy(unit, book)
    return { book, isAvoided: Number(unit.avoidedWorkers.has(book.info.workerId)), mix: Math.sign(other) - Math.sign(same), slack: getSlack(book, rooms) }
  })
  ranked.sort((left, right) => left.isAvoided - right.isAvoided || left.mix - right.mix || left.slack - right.slack)
  return ranked.map(({ book }) => book)
}

/** The share of the worker that is left, by the resource of which most is left. */
function getSlack (book: WorkerBook, rooms: Rooms): number {
  const room = rooms.get(book) as Resources
  const { capacity } = book.info
  const accelerators = capacity.accelerators === 0 ? 0 : room.accelerators / capacity.accelerators
  return accelerators + room.cpuMilli / Math.max(1, capacity.cpuMilli)
}
