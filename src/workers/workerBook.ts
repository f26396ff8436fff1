/** One worker as the scheduler sees it: its room, what is booked there, and whether it can be used. */
import type { Resources } from '../jobs/jobModel.js'
import type { ListedWorker } from './workerPort.js'

/** The room that a run takes until its end is listed or ruled out. */
export interface Booking {
  readonly resources: Resources
  /** Room that is kept for a planned start; what was there before may still be ending. */
  isPlanned: boolean
}

/** A worker and its books. */
export interface WorkerBook {
  info: ListedWorker
  /** Bookings by task and run. */
  readonly bookings: Map<string, Booking>
  isListed: boolean
  /** It has been looked at in this term and answers. */
  isReachable: boolean
  /** It is held back because of what its runs did. */
  isQuarantined: boolean
  /** It is being emptied for its upkeep. */
  isInUpkeep: boolean
}

/** Creates the book of a worker that has not been looked at. */
export function createWorkerBook (info: ListedWorker): WorkerBook {
  return { info, bookings: new Map(), isListed: true, isReachable: false, isQuarantined: false, isInUpkeep: false }
}

/** Tells whether new work may be started on a worker. */
export function isUsable (book: WorkerBook): boolean {
  return book.isListed && book.isReachable && !book.isQuarantined && !book.isInUpkeep && !book.info.isDraining
}

/** The key of a run's booking. */
export function getBookingKey (task: string, run: number): string {
  return `${task}#${run}`
}

/** The room that is left when everything booked is counted, planned starts too. */
export function getFreeRoom (book: WorkerBook): Resources {
  return subtractBookings(book, () => true)
}

/** The room that is left when only what may already run is counted. */
export function getRoomNow (book: WorkerBook): Resources {
  return subtractBookings(book, booking => !booking.isPlanned)
}

function subtractBookings (book: WorkerBook, isCounted: (booking: Booking) => boolean): Resources {
  let { cpuMilli, memoryMb, accelerators } = book.info.capacity
  for (const booking of book.bookings.values()) {
    if (!isCounted(booking)) continue
    cpuMilli -= booking.resources.cpuMilli
    memoryMb -= booking.resources.memoryMb
    accelerators -= booking.resources.accelerators
  }
  return { cpuMilli, memoryMb, accelerators }
}

/** Tells whether a request fits into a room. */
export function fits (request: Resources, room: Resources): boolean {
  return request.cpuMilli <= room.cpuMilli && request.memoryMb <= room.memoryMb && request.accelerators <= room.accelerators
}

/** Adds two amounts. */
export function addResources (left: Resources, right: Resources): Resources {
  return { cpuMilli: left.cpuMilli + right.cpuMilli, memoryMb: left.memoryMb + right.memoryMb, accelerators: left.accelerators + right.accelerators }
}

/** Takes an amount off a room. */
export function subtractResources (room: Resources, taken: Resources): Resources {
  return { cpuMilli: room.cpuMilli - taken.cpuMilli, memoryMb: room.memoryMb - taken.memoryMb, accelerators: room.accelerators - taken.accelerators }
}
