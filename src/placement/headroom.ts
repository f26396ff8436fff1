/**
 * Capacity that patient work leaves to more urgent work. Load: urgent gangs that arrive in bursts over many small tasks. Where the small tasks fill
 * whatever a burst leaves, the next one stops them all, again and again; they lose nothing by waiting while their slack lasts. Does no I/O.
 */

/** The demand of each priority in the recent past, in accelerators. */
export interface Headroom {
  /** Records the accelerators in use, by priority. Times are by the monotonic clock. */
  record (usedByPriority: ReadonlyMap<number, number>, nowMs: number): void
  /** The accelerators that work of a priority leaves free: by so much the use by more urgent work has lately exceeded its present use. */
  getReserved (priority: number): number
}

/** How far back the highest demand counts, in ms: a few runs of urgent work, so that the gaps within a burst do not count as its end. */
const windowMs = 8_000
/** Samples are merged into periods of this length, in ms, to bound their number. */
const periodMs = 400

interface Period {
  readonly startedAtMs: number
  readonly highestByPriority: Map<number, number>
}

/** Creates the record of one term, without any demand. */
export function createHeadroom (): Headroom {
  let periods: Period[] = []
  let current: ReadonlyMap<number, number> = new Map()
  return { record, getReserved }

  function record (usedByPriority: ReadonlyMap<number, number>, nowMs: number): void {
    current = usedByPriority
    periods = periods.filter(({ startedAtMs }) => nowMs - startedAtMs < windowMs)
    let period = periods.at(-1)
    if (period === undefined || nowMs - period.startedAtMs >= periodMs) periods.push(period = { startedAtMs: nowMs, highestByPriority: new Map() })
    for (const priority of usedByPriority.keys()) {
      const used = sumMoreUrgent(usedByPriority, priority + 1)
      period.highestByPriority.set(priority + 1, Math.max(used, period.highestByPriority.get(priority + 1) ?? 0))
    }
  }

  function getReserved (priority: number): number {
    const highest = Math.max(0, ...periods.map(({ highestByPriority }) => getHighest(highestByPriority, priority)))
    return Math.max(0, highest - sumMoreUrgent(current, priority))
  }
}

/** The highest demand of the priorities above `priority`; the entry of a number covers all lower numbers. */
function getHighest (highestByPriority: ReadonlyMap<number, number>, priority: number): number {
  let highest = 0
  for (const [limit, used] of highestByPriority) if (limit <= priority) highest = Math.max(highest, used)
  return highest
}

function sumMoreUrgent (usedByPriority: ReadonlyMap<number, number>, priority: number): number {
  let sum = 0
  for (const [other, used] of usedByPriority) if (other < priority) sum += used
  return sum
}
