/**
 * The order of jobs that run outside a guarantee, and the rules for which job may preempt which.
 *
 * Declared run times are very inaccurate. A job is therefore ordered by its estimated remaining work only while that is
 * more than the service it has attained, and by its attained service from then on, so that a job whose run time was
 * underestimated falls behind jobs that came later. Waiting moves a job forward in the order; for large gangs, waiting
 * time counts more if the weight of fragmentation is higher.
 */
import type { PolicyWeights } from '../rules/ruleSet.js'
import { getAcceleratorCount } from './jobTypes.js'
import type { JobSpec } from './jobTypes.js'

/** The properties of a job that the policy uses. */
export interface PolicyJob {
  readonly spec: JobSpec
  /** Rank of the job's priority; a lower rank goes first. */
  readonly rank: number
  /** Start of the job's waiting time, in ms since the Unix epoch. */
  readonly waitingSinceMs: number
  /** Accelerator time that earlier attempts used, in ms. */
  readonly attainedMs: number
  /** When the job was started, in ms since the Unix epoch; undefined while it waits. */
  readonly startedAtMs: number | undefined
  /** Number of times that the job was preempted. */
  readonly preemptions: number
  /** Set if the job lost its progress at an earlier preemption because it ignored the checkpoint request. */
  readonly isCheckpointIgnored: boolean
}

/** The scheduling policy of a failure domain. */
export interface Policy {
  /** Returns the sort key of a job; a lower value goes first. */
  getSortValue (job: PolicyJob, nowMs: number): number
  /** Returns the cost of preempting `running` for `waiting`, or undefined if that is not allowed. */
  getPreemptionCost (waiting: PolicyJob, running: PolicyJob, nowMs: number): number | undefined
  /** Returns whether a job may start before `blocked`, which comes first in the order but fits nowhere at present. */
  mayOvertake (job: PolicyJob, blocked: PolicyJob, nowMs: number): boolean
  /** Corrects the run time estimates with the run time of a job that ended by itself. */
  recordRunTime (spec: JobSpec, ranMs: number): void
}

const workUnitMs = 60_000
const ranksPerDoubling = 10
const ageUnitMs = 1_800_000
const largeGangAccelerators = 32
const largeGangAgeingFactor = 3
const minRunMs = 300_000
const minPreemptionMargin = 0.8
const fragmentationMargin = 1.5
const maxPreemptions = 12
const biasSmoothingFactor = 0.1

/** Creates the policy. The weights are read at each use, so that a rule change takes effect immediately. */
export function createPolicy (getWeights: () => PolicyWeights): Policy {
  /** Moving average of the binary logarithm of actual over declared run time, by organisation. */
  const runTimeBias = new Map<string, number>()

  return { getSortValue, getPreemptionCost, mayOvertake: () => true, recordRunTime }

  function getSortValue (job: PolicyJob, nowMs: number): number {
    const work = Math.log2(1 + getServiceValueMs(job, nowMs) / workUnitMs)
    return work + job.rank / ranksPerDoubling - getAgeBonus(job, nowMs)
  }

  /** The larger of the estimated remaining work and the attained service, in accelerator ms. */
  function getServiceValueMs (job: PolicyJob, nowMs: number): number {
    const accelerators = Math.max(1, getAcceleratorCount(job.spec))
    const running = job.startedAtMs === undefined ? 0 : Math.max(0, nowMs - job.startedAtMs)
    const attained = job.attainedMs + running * accelerators
    const estimate = job.spec.declaredRunMs * 2 ** (runTimeBias.get(job.spec.organisation) ?? 0) * accelerators
    return Math.max(estimate - attained, attained)
  }

  function getAgeBonus (job: PolicyJob, nowMs: number): number {
    const { fragmentation } = getWeights()
    const end = job.startedAtMs ?? nowMs
    const waited = Math.log2(1 + Math.max(0, end - job.waitingSinceMs) / ageUnitMs)
    const isLarge = getAcceleratorCount(job.spec) >= largeGangAccelerators
    return waited * (isLarge ? 1 + largeGangAgeingFactor * fragmentation : 1)
  }

  function getPreemptionCost (waiting: PolicyJob, running: PolicyJob, nowMs: number): number | undefined {
    if (!running.spec.repeatable || running.isCheckpointIgnored || running.preemptions >= maxPreemptions) return undefined
    if (running.startedAtMs === undefined || nowMs - running.startedAtMs < minRunMs) return undefined
    const gain = getSortValue(running, nowMs) - getSortValue(waiting, nowMs)
    if (gain < minPreemptionMargin + fragmentationMargin * getWeights().fragmentation) return undefined
    return getAcceleratorCount(running.spec) / gain
  }

  function recordRunTime (spec: JobSpec, ranMs: number): void {
    const error = Math.log2(Math.max(1, ranMs) / spec.declaredRunMs)
    const previous = runTimeBias.get(spec.organisation) ?? 0
    runTimeBias.set(spec.organisation, previous + biasSmoothingFactor * (error - previous))
  }
}
