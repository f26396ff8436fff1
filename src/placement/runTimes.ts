/**
 * Learns how long the runs of each queue take. Callers' estimates are off by half and more, so the expectation lies
 * between the corrected estimate and the queue's mean. Pure bookkeeping.
 */
import type { JobSpec, StepSpec } from '../jobs/jobModel.js'

/** What has been learned in one term. */
export interface RunTimes {
  /** Takes the time of a whole run. */
  learn (queue: string, estimateMs: number, runMs: number): void
  /** The expected time of one run of a step, in ms. */
  getExpectedMs (queue: string, step: StepSpec): number
  /** The mean time of the queue's runs, in ms; undefined while too few have ended, since the shortest end first. */
  getMeanMs (queue: string): number | undefined
  /** The expected time of the job's longest chain of steps, in ms. */
  getChainMs (job: JobSpec): number
}

/** Weight of a new run in a queue's means. */
const learningRate = 0.12

/** So many runs tell the usual time of a queue. */
const minRuns = 12

interface QueueTimes {
  count: number
  meanMs: number
  /** Mean of the logarithm of run time against estimate. */
  logRatio: number
}

/** Creates the memory of one term. */
export function createRunTimes (): RunTimes {
  const times = new Map<string, QueueTimes>()
  return { learn, getExpectedMs, getMeanMs, getChainMs }

  function learn (queue: string, estimateMs: number, runMs: number): void {
    if (!Number.isFinite(runMs) || runMs <= 0) return
    const logRatio = Math.log(runMs / Math.max(1, estimateMs))
    const known = times.get(queue)
    if (known === undefined) {
      times.set(queue, { count: 1, meanMs: runMs, logRatio })
      return
    }
    known.count++
    known.meanMs += learningRate * (runMs - known.meanMs)
    known.logRatio += learningRate * (logRatio - known.logRatio)
  }

  function getMeanMs (queue: string): number | undefined {
    const known = times.get(queue)
    return known === undefined || known.count < minRuns ? undefined : known.meanMs
  }

  function getExpectedMs (queue: string, step: StepSpec): number {
    const known = times.get(queue)
    if (known === undefined) return step.estimateMs
    const corrected = Math.max(1, step.estimateMs) * Math.exp(known.logRatio)
    return Math.sqrt(corrected * known.meanMs)
  }

  function getChainMs (job: JobSpec): number {
    const endsMs: number[] = []
    for (const step of job.steps) {
      const startMs = Math.max(0, ...step.after.map(before => endsMs[before] ?? 0))
      endsMs.push(startMs + getExpectedMs(job.queue, step))
    }
    return Math.max(0, ...endsMs)
  }
}
