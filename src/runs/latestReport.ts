/** The latest report of a worker's present incarnation, whichever way it has come, and the ends that its reports have listed. Answers may overtake each other. */
import type { Sighting } from '../jobs/trackedJob.js'
import type { WorkerStatusReport } from '../workers/workerPort.js'
import { isWrittenBefore } from './endEvidence.js'

/** What is known of the reports of one worker. */
export interface LatestReport {
  /** Must be called when another incarnation is known: its clock and the numbers of its ends start anew. */
  begin (incarnationMs: number): void
  hasNewEnds (report: WorkerStatusReport): boolean
  /**
   * Records a report. Returns false if it was written before the latest one, which lists what it lists. One that was requested at `requestedAtMs`, when that one had
   * arrived, is not: its clock is that of an incarnation that is not known yet.
   */
  record (report: WorkerStatusReport, requestedAtMs?: number): boolean
}

/** Creates the record of an incarnation that has not reported. */
export function createLatestReport (firstIncarnationMs: number): LatestReport {
  let incarnationMs = firstIncarnationMs
  let latest: Sighting | undefined
  let listedSequence = 0

  return { begin, hasNewEnds: ({ ended }) => ended.some(({ sequence }) => sequence > listedSequence), record }

  function begin (newIncarnationMs: number): void {
    incarnationMs = newIncarnationMs
    latest = undefined
    listedSequence = 0
  }

  function record ({ clockMs, ended }: WorkerStatusReport, requestedAtMs = -Infinity): boolean {
    if (latest !== undefined && requestedAtMs < latest.receivedAtMs && isWrittenBefore({ requestedAtMs, incarnationMs, clockMs }, latest)) return false
    latest = { incarnationMs, clockMs, receivedAtMs: performance.now() }
    for (const { sequence } of ended) listedSequence = Math.max(listedSequence, sequence)
    return true
  }
}
