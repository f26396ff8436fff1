/** The ends of runs that a host has read from workers without being the scheduler, until they are delivered to a scheduler or too old. */
import type { EndedRun, WorkerStatusReport } from '../workers/workerPort.js'

/** An end that a life of a worker has listed. It stays true of that life's run, whoever has read it. */
export interface ReadEnd extends EndedRun {
  readonly workerId: string
  /** The life that listed the end, by its start as Unix time in ms. */
  readonly bornAtMs: number
  /** The epoch of the request. */
  readonly epoch: number
  /** When the request was sent, by the monotonic clock. */
  readonly readAtMs: number
}

/** The ends that a host keeps. */
export interface ReadEnds {
  /** Keeps the ends of a report that are not known yet. Returns how many these are. */
  add (workerId: string, report: WorkerStatusReport, epoch: number, sentAtMs: number): number
  /** The same for a report that the term of this host has received: only later terms get its ends, which that term may not have stored. */
  addOwn (workerId: string, report: WorkerStatusReport, epoch: number, sentAtMs: number): number
  /** The ends that are to be delivered to the term with this epoch, the oldest first. */
  getUndelivered (epoch: number): readonly ReadEnd[]
  /** Records that the term with this epoch has accepted the ends. Later terms get them again: that term may end before it has stored them. */
  setDelivered (ends: readonly ReadEnd[], epoch: number): void
}

/** The most ends that are kept; beyond it the oldest are dropped. About 0.5 MB. */
const maxEnds = 2_000
/** How long an end is kept, in ms: longer than a series of terms takes, or the longest lease that a run may be waited for. */
const maxAgeMs = 30_000
/** The same for the ends in reports of the own term: longer than it goes on without storing them, and than a host stands still. */
const maxOwnAgeMs = 8_000
/** Longer names and checkpoints are not the system's; such an end is not kept. */
export const maxNameLength = 200
export const maxCheckpointLength = 1_000

interface KeptEnd {
  readonly end: ReadEnd
  readonly maxAgeMs: number
  deliveredEpoch: number
}

/** Creates an empty collection. */
export function createReadEnds (): ReadEnds {
  /** By worker, life and sequence, in the order in which they were read. */
  const kept = new Map<string, KeptEnd>()

  return {
    add: (workerId, report, epoch, sentAtMs) => keep(workerId, report, epoch, sentAtMs, { maxAgeMs, deliveredEpoch: -1 }),
    addOwn: (workerId, report, epoch, sentAtMs) => keep(workerId, report, epoch, sentAtMs, { maxAgeMs: maxOwnAgeMs, deliveredEpoch: epoch }),
    getUndelivered,
    setDelivered
  }

  function keep (workerId: string, { bornAtMs, ended }: WorkerStatusReport, epoch: number, sentAtMs: number, fields: Omit<KeptEnd, 'end'>): number {
    if (bornAtMs === undefined || !Number.isSafeInteger(bornAtMs) || bornAtMs < 0) return 0
    let added = 0
    for (const row of ended.filter(isOwnFormat)) {
      const key = getKey({ workerId, bornAtMs, sequence: row.sequence })
      if (kept.has(key)) continue
      kept.set(key, { end: { ...row, workerId, bornAtMs, epoch, readAtMs: sentAtMs }, ...fields })
      added++
    }
    dropOld()
    return added
  }

  function dropOld (): void {
    const oldestMs = performance.now() - maxAgeMs
    for (const [key, { end }] of kept) {
      if (kept.size <= maxEnds && end.readAtMs >= oldestMs) return
      kept.delete(key)
    }
  }

  function getUndelivered (epoch: number): readonly ReadEnd[] {
    dropOld()
    const nowMs = performance.now()
    return [...kept.values()].flatMap(({ end, maxAgeMs, deliveredEpoch }) => end.epoch <= epoch && deliveredEpoch < epoch && nowMs - end.readAtMs <= maxAgeMs ? end : [])
  }

  function setDelivered (ends: readonly ReadEnd[], epoch: number): void {
    for (const end of ends) {
      const entry = kept.get(getKey(end))
      if (entry !== undefined) entry.deliveredEpoch = Math.max(entry.deliveredEpoch, epoch)
    }
  }
}

function isOwnFormat ({ task, run, sequence, checkpoint }: EndedRun): boolean {
  return task.length > 0 && task.length <= maxNameLength && checkpoint.length <= maxCheckpointLength && Number.isSafeInteger(run) && run > 0 && Number.isSafeInteger(sequence) && sequence >= 0
}

function getKey ({ workerId, bornAtMs, sequence }: Pick<ReadEnd, 'workerId' | 'bornAtMs' | 'sequence'>): string {
  return `${workerId} ${bornAtMs} ${sequence}`
}
