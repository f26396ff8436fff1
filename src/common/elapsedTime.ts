/** Time elapsed since a moment, by two clocks: the monotonic one stops while the host is suspended, the wall clock may be set back. */

/** A moment, as both clocks showed it. */
export interface ClockReading {
  readonly monotonicMs: number
  readonly wallMs: number
}

/** Reads both clocks. */
export function readClocks (): ClockReading {
  return { monotonicMs: performance.now(), wallMs: Date.now() }
}

/** Returns the time since `since`, in ms: the larger of what the two clocks show. */
export function getElapsedMs (since: ClockReading): number {
  return Math.max(performance.now() - since.monotonicMs, Date.now() - since.wallMs)
}

/** Returns the time from one moment to another, in ms, negative if `to` is the earlier one: the smaller of what the two clocks show, so that `to` never seems later than it was. */
export function getOffsetMs (from: ClockReading, to: ClockReading): number {
  return Math.min(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs)
}

/** Returns the moment `offsetMs` after `reading`, or before it if the offset is negative. */
export function shiftClocks (reading: ClockReading, offsetMs: number): ClockReading {
  return { monotonicMs: reading.monotonicMs + offsetMs, wallMs: reading.wallMs + offsetMs }
}
