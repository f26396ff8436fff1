/** The baselines that the policy is compared with, and a lower bound of the mean completion time. */
import { JobPhase } from '../scheduling/placementPlanner.js'
import type { PlannedJob } from '../scheduling/placementPlanner.js'
import { FitStrategy } from '../scheduling/placementSearch.js'
import { getAcceleratorCount } from '../scheduling/jobTypes.js'
import type { Policy, PolicyJob } from '../scheduling/policy.js'
import type { TraceJob } from './policyWorkload.js'

/** A scheduling policy with its placement strategy, for comparison. */
export interface Baseline {
  readonly name: string
  readonly fit: FitStrategy
  createPolicy (getJobs: () => Iterable<PlannedJob>): Policy
}

/** The baselines. They preempt only to honour guarantees. */
export const baselines: readonly Baseline[] = [
  { name: 'FIFO, first fit', fit: FitStrategy.First, createPolicy: () => createArrivalPolicy(() => false) },
  { name: 'first fit, backfill by declared run times', fit: FitStrategy.First, createPolicy: createBackfillPolicy },
  { name: 'best fit, no ageing', fit: FitStrategy.Best, createPolicy: () => createArrivalPolicy(() => true) }
]

function createArrivalPolicy (mayOvertake: Policy['mayOvertake']): Policy {
  return {
    getSortValue: job => job.waitingSinceMs,
    getPreemptionCost: () => undefined,
    mayOvertake,
    recordRunTime: () => {}
  }
}

/** Backfill: a later job may start if, by the declared run times, it ends before the first blocked job could start. */
function createBackfillPolicy (getJobs: () => Iterable<PlannedJob>): Policy {
  return createArrivalPolicy((job, blocked, nowMs) => nowMs + job.spec.declaredRunMs <= getDeclaredStartMs(blocked, getJobs(), nowMs))
}

function getDeclaredStartMs (blocked: PolicyJob, jobs: Iterable<PlannedJob>, nowMs: number): number {
  const running = [...jobs].filter(job => job.phase === JobPhase.Placed)
    .map(job => ({ endsAtMs: Math.max(nowMs, (job.startedAtMs ?? nowMs) + job.spec.declaredRunMs), size: getAcceleratorCount(job.spec) }))
    .sort((left, right) => left.endsAtMs - right.endsAtMs)
  let free = 0
  for (const job of running) {
    free += job.size
    if (free >= getAcceleratorCount(blocked.spec)) return job.endsAtMs
  }
  return nowMs
}

/**
 * Returns a lower bound of the mean completion time, in ms: no job completes in less than its run time, and no order
 * beats shortest-remaining-work-first with perfect knowledge on a single machine that divides all work without loss.
 */
export function getLowerBoundMs (trace: readonly TraceJob[], accelerators: number): number {
  const jobs = trace.filter(job => job.cancelAtMs === undefined)
  const meanRunMs = jobs.reduce((sum, job) => sum + job.runMs, 0) / jobs.length
  return Math.max(meanRunMs, getSingleMachineMeanMs(jobs, accelerators))
}

function getSingleMachineMeanMs (jobs: readonly TraceJob[], accelerators: number): number {
  const unfinished: { remaining: number, arrivedAtMs: number }[] = []
  let nowMs = 0
  let sum = 0
  const runUntil = (untilMs: number): void => {
    while (unfinished.length > 0 && nowMs < untilMs) {
      let shortest = 0
      unfinished.forEach((job, index) => { if (job.remaining < (unfinished[shortest]?.remaining ?? 0)) shortest = index })
      const job = unfinished[shortest] as { remaining: number, arrivedAtMs: number }
      const endsAtMs = nowMs + job.remaining / accelerators
      if (endsAtMs > untilMs) {
        job.remaining -= (untilMs - nowMs) * accelerators
        nowMs = untilMs
        return
      }
      nowMs = endsAtMs
      sum += nowMs - job.arrivedAtMs
      unfinished.splice(shortest, 1)
    }
    if (Number.isFinite(untilMs)) nowMs = untilMs
  }
  for (const job of jobs) {
    runUntil(job.spec.submittedAtMs)
    unfinished.push({ remaining: job.runMs * getAcceleratorCount(job.spec), arrivedAtMs: job.spec.submittedAtMs })
  }
  runUntil(Infinity)
  return sum / jobs.length
}
