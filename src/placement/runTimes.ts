/**
 * Predicts run times from the runs of each queue. Callers' estimates are off by half and more, so the prediction is the
 * geometric mean of the corrected estimate and the queue's mean run time. Does no I/O.
 */
import type { JobSpec, StepSpec } from '../jobs/jobModel.js'

/** Run-time statistics of one scheduler term. */
export interface RunTimes {
  /** Records the duration of a whole run. */
  recordRun (queue: string, estimateMs: number, runMs: number): void
  /** The expected duration of one run of a step, in ms. */
  getExpectedMs (queue: string, step: StepSpec): number
  /** The mean duration of the queue's runs, in ms; undefined until enough have ended, since the shortest end first and bias the mean. */
  getMeanMs (queue: string): number | undefined
  /** The expected duration of the job's critical path, its longest chain of steps, in ms. */
  getCriticalPathMs (job: JobSpec): number
  /** The statistics of all queues, those with the most runs first. */
  export (): readonly QueueRunTimes[]
  /** Adds the statistics of an earlier term for the queues of which this term has seen no run yet. */
  import (records: readonly QueueRunTimes[]): void
}

/** A queue's statistics in the form in which they are stored: number of runs, mean run time in ms, and mean logarithm of run time divided by estimate. */
export type QueueRunTimes = readonly [queue: string, count: number, meanMs: number, meanLogRatio: number]

/** Weight of a new run in a queue's moving averages. */
const smoothingFactor = 0.12

/** Number of runs from which a queue's mean is used. */
const minRuns = 12

interface QueueStats {
  count: number
  meanMs: number
  /** Moving average of the logarithm of run time divided by estimate. */
  meanLogRatio: number
}

/** Creates the statistics of one term, without any runs. */
export function createRunTimes (): RunTimes {
  const statsByQueue = new Map<string, QueueStats>()
  return { recordRun, getExpectedMs, getMeanMs, getCriticalPathMs, export: exportRecords, import: importRecords }

  function exportRecords (): readonly QueueRunTimes[] {
    return [...statsByQueue]
      .sort(([, left], [, right]) => right.count - left.count)
      .map(([queue, { count, meanMs, meanLogRatio }]) => [queue, count, Math.round(meanMs * 10) / 10, Math.round(meanLogRatio * 1_000) / 1_000])
  }

  function importRecords (records: readonly QueueRunTimes[]): void {
    for (const [queue, count, meanMs, meanLogRatio] of records) {
      if (!statsByQueue.has(queue) && count >= 1 && meanMs > 0) statsByQueue.set(queue, { count, meanMs, meanLogRatio })
    }
  }

  function recordRun (queue: string, estimateMs: number, runMs: number): void {
    if (!Number.isFinite(runMs) || runMs <= 0) return
    const logRatio = Math.log(runMs / Math.max(1, estimateMs))
    const stats = statsByQueue.get(queue)
    if (stats === undefined) {
      statsByQueue.set(queue, { count: 1, meanMs: runMs, meanLogRatio: logRatio })
      return
    }
    stats.count++
    stats.meanMs += smoothingFactor * (runMs - stats.meanMs)
    stats.meanLogRatio += smoothingFactor * (logRatio - stats.meanLogRatio)
  }

  function getMeanMs (queue: string): number | undefined {
    const stats = statsByQueue.get(queue)
    return stats === undefined || stats.count < minRuns ? undefined : stats.meanMs
  }

  function getExpectedMs (queue: string, step: StepSpec): number {
    const stats = statsByQueue.get(queue)
    if (stats === undefined) return step.estimateMs
    const corrected = Math.max(1, step.estimateMs) * Math.exp(stats.meanLogRatio)
    return Math.sqrt(corrected * stats.meanMs)
  }

  function getCriticalPathMs (job: JobSpec): number {
    const endsMs: number[] = []
    for (const step of job.steps) {
      const startMs = Math.max(0, ...step.after.map(before => endsMs[before] ?? 0))
      endsMs.push(startMs + getExpectedMs(job.queue, step))
    }
    return Math.max(0, ...endsMs)
  }
}
