/**
 * The order of jobs beyond their guarantees, and who may preempt whom.
 *
 * Declared run times are far off, so a job is ranked by its estimated remaining work only until it has
 * had that much service, and by its attained service from then on: an underestimated job then sinks
 * behind those that came later. Waiting raises a job again, large gangs faster where fragmentation counts.
 */
import type { PolicyWeights } from '../rules/ruleSet.js'
import { getAcceleratorCount } from './jobTypes.js'
import type { JobSpec } from './jobTypes.js'

/** What the policy knows of a job. */
export interface PolicyJob {
  readonly spec: JobSpec
  /** Rank of the agreed priority; a lower rank goes first. */
  readonly rank: number
  /** Since when the job waits, in ms since the epoch. */
  readonly waitingSinceMs: number
  /** Accelerator time of earlier attempts that counts as progress, in ms. */
  readonly attainedMs: number
  /** When the job was started, in ms since the epoch; undefined while it waits. */
  readonly startedAtMs: number | undefined
  /** How often the job was preempted. */
  readonly preemptions: number
  /** The job lost its work at an earlier preemption, because it ignored the checkpoint request. */
  readonly isCheckpointIgnored: boolean
}

/** The policy of a failure domain. */
export interface Policy {
  /** A lower value goes first. */
  getValue (job: PolicyJob, nowMs: number): number
  /** What it costs to preempt `running` for `waiting`; undefined forbids it. */
  getPreemptionCost (waiting: PolicyJob, running: PolicyJob, nowMs: number): number | undefined
  /** Whether a job may start although `blocked`, which goes before it, finds no room. */
  mayOvertake (job: PolicyJob, blocked: PolicyJob, nowMs: number): boolean
  /** Learns from a job that has ended by itself. */
  learn (spec: JobSpec, ranMs: number): void
}

const baseWorkMs = 60_000
const ranksPerDoubling = 10
const ageUnitMs = 1_800_000
const largeGangAccelerators = 32
const largeGangAgeing = 3
const minRunMs = 300_000
const minPreemptionMargin = 0.8
const fragmentationMargin = 1.5
const maxPreemptions = 12
const learningRate = 0.1

/** Creates the policy. The weights are read at each decision, so that an edited rule counts at once. */
export function createPolicy (getWeights: () => PolicyWeights): Policy {
  /** Mean logarithm of actual over declared run time, by organisation. */
  const bias = new Map<string, number>()

  return { getValue, getPreemptionCost, mayOvertake: () => true, learn }

  function getValue (job: PolicyJob, nowMs: number): number {
    const work = Math.log2(1 + getServiceValueMs(job, nowMs) / baseWorkMs)
    return work + job.rank / ranksPerDoubling - getAgeBonus(job, nowMs)
  }

  /** Estimated remaining work, or the attained service once the estimate has been passed. In accelerator ms. */
  function getServiceValueMs (job: PolicyJob, nowMs: number): number {
    const accelerators = Math.max(1, getAcceleratorCount(job.spec))
    const running = job.startedAtMs === undefined ? 0 : Math.max(0, nowMs - job.startedAtMs)
    const attained = job.attainedMs + running * accelerators
    const estimate = job.spec.declaredRunMs * 2 ** (bias.get(job.spec.organisation) ?? 0) * accelerators
    return Math.max(estimate - attained, attained)
  }

  function getAgeBonus (job: PolicyJob, nowMs: number): number {
    const { fragmentation } = getWeights()
    const end = job.startedAtMs ?? nowMs
    const waited = Math.log2(1 + Math.max(0, end - job.waitingSinceMs) / ageUnitMs)
    const isLarge = getAcceleratorCount(job.spec) >= largeGangAccelerators
    return waited * (isLarge ? 1 + largeGangAgeing * fragmentation : 1)
  }

  function getPreemptionCost (waiting: PolicyJob, running: PolicyJob, nowMs: number): number | undefined {
    if (!running.spec.repeatable || running.isCheckpointIgnored || running.preemptions >= maxPreemptions) return undefined
    if (running.startedAtMs === undefined || nowMs - running.startedAtMs < minRunMs) return undefined
    const gain = getValue(running, nowMs) - getValue(waiting, nowMs)
    if (gain < minPreemptionMargin + fragmentationMargin * getWeights().fragmentation) return undefined
    return getAcceleratorCount(running.spec) / gain
  }

  function learn (spec: JobSpec, ranMs: number): void {
    const error = Math.log2(Math.max(1, ranMs) / spec.declaredRunMs)
    const previous = bias.get(spec.organisation) ?? 0
    bias.set(spec.organisation, previous + learningRate * (error - previous))
  }
}
