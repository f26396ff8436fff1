/** Decides by the summary of the backlog whether a job is refused. Does no I/O. */
import type { QueueSettings } from '../configuration/configuration.js'
import type { JobSpec, StepSpec } from '../jobs/jobModel.js'
import type { BacklogSummary } from './backlogSummary.js'

/** What the decision is made from. */
export interface AdmissionInput {
  readonly job: JobSpec
  readonly queue: Pick<QueueSettings, 'priority' | 'objectiveFactor' | 'objectiveMs'>
  /** The accelerators guaranteed to the job's organisation. */
  readonly guaranteedAccelerators: number
  readonly summary: BacklogSummary
  /** Time since the summary was computed, in ms. */
  readonly ageMs: number
  /** A job is refused only if its estimated completion exceeds the time after which it has no value by this factor; at least 1. */
  readonly margin: number
}

/** A refusal, with the values that decided it. */
export interface Refusal {
  /** The estimated wait, in ms, less what has drained since the summary was computed. */
  readonly waitMs: number
  readonly expectedRunMs: number
  /** The job's completion-time objective, in ms. */
  readonly objectiveMs: number
  /** The longest wait, in ms, with which the job would have been accepted. */
  readonly maxWaitMs: number
  readonly ageMs: number
  readonly epoch: number
}

/** Maximum age of a usable summary, in ms: longer than its refresh interval of 2 s. Source: docs/design/scarcity-and-evacuation.md. */
export const maxSummaryAgeMs = 3_000
/** A completion later than this multiple of the objective has no value to the caller. Source: docs/design/scarcity-and-evacuation.md. */
const lateFactor = 3

/**
 * Returns whether a job may be refused for load at all. Recurring jobs and services run for long or later, so the present backlog
 * says nothing about them.
 */
export function isRefusable ({ steps, recurrence }: JobSpec): boolean {
  return recurrence === undefined && steps.every(step => !step.isService)
}

/**
 * Returns a refusal if the job would complete, even at the estimated wait, so late that it has no value to its caller, otherwise
 * undefined. Each input that is missing or doubtful leads to acceptance: a job accepted in vain costs less than one refused in error.
 */
export function decideAdmission (input: AdmissionInput): Refusal | undefined {
  const { job, queue, summary, ageMs } = input
  if (!isRefusable(job) || !(ageMs <= maxSummaryAgeMs) || hasUnusedGuarantee(input)) return undefined
  const expectedRunMs = getExpectedRunMs(job, summary.meanRunMs.get(job.queue) ?? 0)
  if (expectedRunMs === undefined) return undefined
  const objectiveMs = queue.objectiveFactor * expectedRunMs + queue.objectiveMs
  const maxWaitMs = input.margin * lateFactor * objectiveMs - expectedRunMs
  // A job that could not complete in time on idle workers either would be refused at each retry.
  if (!(maxWaitMs > 0)) return undefined
  // The backlog drains at one second of wait per second.
  const waitMs = getWaitMs(summary, job, queue.priority) - Math.max(0, ageMs)
  return waitMs > maxWaitMs ? { waitMs, expectedRunMs, objectiveMs, maxWaitMs, ageMs, epoch: summary.epoch } : undefined
}

/**
 * The value of `Retry-After`: the time until the wait has fallen to the longest accepted one, spread by `random` (0 to 1) over the
 * time in which the rest drains. Refused callers then don't return together, and the workers can do as much returning work as there is
 * backlog.
 */
export function getRetryAfterS (refusal: Refusal, random: number): number {
  return Math.max(1, Math.ceil((refusal.waitMs - refusal.maxWaitMs + random * refusal.maxWaitMs) / 1_000))
}

function hasUnusedGuarantee ({ job, queue, guaranteedAccelerators, summary }: AdmissionInput): boolean {
  return queue.priority === 0 && (summary.urgentAccelerators.get(job.organisation) ?? 0) < guaranteedAccelerators
}

/** The wait is the longest of this and more urgent priorities, so that it never decreases towards less urgent ones. */
function getWaitMs (summary: BacklogSummary, job: JobSpec, priority: number): number {
  const needsAccelerators = job.steps.some(step => step.request.accelerators > 0)
  const needsCores = job.steps.some(step => step.request.cpuMilli > 0)
  let waitMs = 0
  for (const level of summary.services.find(({ service }) => service === job.service)?.levels ?? []) {
    if (level.priority > priority) continue
    if (needsAccelerators) waitMs = Math.max(waitMs, level.acceleratorWaitMs)
    if (needsCores) waitMs = Math.max(waitMs, level.coreWaitMs)
  }
  return waitMs
}

/**
 * The expected duration of the longest chain of steps, by the caller's estimates or the queue's mean, whichever is longer: an estimate
 * that is too low would make the objective too short. Undefined if the duration of a step is unknown.
 */
function getExpectedRunMs (job: JobSpec, meanRunMs: number): number | undefined {
  const endsMs: number[] = []
  for (const step of job.steps) {
    const runMs = getStepRunMs(step, meanRunMs)
    if (!(runMs > 0)) return undefined
    endsMs.push(Math.max(0, ...step.after.map(before => endsMs[before] ?? 0)) + runMs)
  }
  return Math.max(...endsMs)
}

function getStepRunMs (step: StepSpec, meanRunMs: number): number {
  return Math.max(step.estimateMs, meanRunMs)
}
