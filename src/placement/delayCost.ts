/**
 * What callers lose when a unit is delayed or stopped. One unit of measure for all decisions: the weight of a priority times core-seconds of
 * work, so that a loss of one caller can be compared with the gain of another. Does no I/O.
 */
import type { Resources } from '../jobs/jobModel.js'
import type { Attempt, Unit } from '../jobs/trackedJob.js'

/** How the priorities of queues compare. */
export interface CostSettings {
  /** By how much a core-second at one priority outweighs one at the next lower priority. */
  readonly priorityRatio: number
  /** What a job is worth in addition to its work, in core-seconds: also the caller of a small job waits for it. */
  readonly baseValueCoreS: number
}

/**
 * Weights of a deployment that sets none. An urgent job with its usual slack may discard about four times its own work, and another job at its latest
 * start about 0.7 of it.
 */
export const defaultCostSettings: CostSettings = { priorityRatio: 9, baseValueCoreS: 200 }

/** Processor cores that weigh as much as one accelerator: workers have this many for each accelerator, so that either resource fills them. */
const coresPerAccelerator = 8
/** The share of a job's value that its caller loses when the job misses its objective: late answers are still of some use. */
const missedObjectiveShare = 0.7
/** Run time lost by every stop and restart, in s: the stop, the plan's record and the start. */
const restartCostS = 0.4
/** The priority at whose weight lost work counts, whoever loses it: the capacity is missing to the work that waits, and urgent work seldom waits. */
const ordinaryPriority = 1
/** By how much a stop of a unit that has run before costs more. A larger factor made whole gangs cheaper victims than tasks of less urgent jobs. */
const repeatedStopFactor = 1.5
/** A late job is of no more use to its caller after this multiple of its objective. */
const uselessAfterObjectives = 3

/** The weight of a core-second of work at a priority: 1 at priority 0, less at each lower priority, which has a higher number. */
export function getPriorityWeight (priority: number, settings: CostSettings): number {
  return settings.priorityRatio ** -priority
}

/** The cores that a request takes, with its accelerators counted as cores. */
export function getCoreEquivalent ({ cpuMilli, accelerators }: Resources): number {
  return cpuMilli / 1_000 + accelerators * coresPerAccelerator
}

/** When a unit has to start: for its objective, and for its job to be of any use; with its job's objective and its expected run time, in ms. */
export interface StartLimits {
  readonly latestStartMs: number
  readonly objectiveMs: number
  readonly expectedMs: number
}

/** What the caller would lose in all if the unit did not run, in weighted core-seconds. */
function getValue (unit: Unit, priority: number, expectedMs: number, settings: CostSettings): number {
  const workCoreS = unit.size * getCoreEquivalent(unit.spec.request) * expectedMs / 1_000
  return getPriorityWeight(priority, settings) * (settings.baseValueCoreS + workCoreS)
}

/**
 * The chance that a unit that waits starts too late: certain without slack, and halved by each expected run time of slack, since most
 * running work has ended after one.
 */
function getMissChance (slackMs: number, expectedMs: number): number {
  return slackMs <= 0 ? 1 : 0.5 ** (slackMs / Math.max(1, expectedMs))
}

/**
 * What the caller is expected to lose if the unit waits instead of starting now, in weighted core-seconds. A unit in time risks its objective,
 * a late one the rest of its value, and one that is of no more use nothing.
 */
export function getDelayCost (unit: Unit, priority: number, limits: StartLimits, nowMs: number, settings: CostSettings): number {
  const slackMs = limits.latestStartMs - nowMs
  const value = getValue(unit, priority, limits.expectedMs, settings)
  if (slackMs >= 0) return missedObjectiveShare * value * getMissChance(slackMs, limits.expectedMs)
  const usefulMs = slackMs + (uselessAfterObjectives - 1) * limits.objectiveMs
  return usefulMs < 0 ? 0 : (1 - missedObjectiveShare) * value * getMissChance(usefulMs, limits.expectedMs)
}

/**
 * What callers lose when the attempt is stopped, in weighted core-seconds: the work to be done again and, if its unit started in time, the risk
 * that it misses its objective after all. A unit that has been stopped before costs more, so that stops are spread.
 */
export function getStopCost (attempt: Attempt, priority: number, limits: StartLimits, nowMs: number, settings: CostSettings): number {
  const { unit, run } = attempt
  const lostCoreS = unit.size * getCoreEquivalent(unit.spec.request) * getLostRunS(attempt, nowMs)
  const redoCost = getPriorityWeight(ordinaryPriority, settings) * lostCoreS * (run > 1 ? repeatedStopFactor : 1)
  const wasInTime = attempt.plannedAtMs <= limits.latestStartMs
  const missChance = wasInTime ? getMissChance(limits.latestStartMs - nowMs, limits.expectedMs) : 0
  return redoCost + missedObjectiveShare * missChance * getValue(unit, priority, limits.expectedMs, settings)
}

/** The run time that is lost when the attempt is stopped, in s; with checkpoints, only the restart. */
function getLostRunS (attempt: Attempt, nowMs: number): number {
  const { spec } = attempt.unit
  // After a takeover `plannedAtMs` is too late, and only the progress tells how long the attempt has run.
  const progressShare = Math.max(0, ...attempt.members.map(member => member.progressPercent)) / 100
  const elapsedS = Math.max(nowMs - attempt.plannedAtMs, progressShare * spec.estimateMs) / 1_000
  // Stopping saves a checkpoint, so no run time is lost beyond the restart.
  return restartCostS + (spec.hasCheckpoints ? 0 : elapsedS)
}
