/** Computes when a unit must start so that its job still meets its completion-time objective. Does no I/O. */
import type { QueueSettings } from '../configuration/configuration.js'
import type { Unit } from '../jobs/trackedJob.js'
import type { StartLimits } from './delayCost.js'
import type { RunTimes } from './runTimes.js'

/** When a unit has to start, by the monotonic clock, with its job's objective and its expected run time; all in ms, from expected run times. */
export function getStartLimits (unit: Unit, queue: QueueSettings | undefined, runTimes: RunTimes): StartLimits {
  const { spec } = unit.job
  const objectiveMs = (queue?.objectiveFactor ?? 1) * runTimes.getCriticalPathMs(spec) + (queue?.objectiveMs ?? 0)
  const latestStartMs = unit.dueAtMs + objectiveMs - getRemainingPathMs(unit, runTimes)
  return { latestStartMs, objectiveMs, expectedMs: runTimes.getExpectedMs(spec.queue, unit.spec) }
}

/** The expected time from the start of the unit's step to the end of the longest chain of steps that begins with it. */
function getRemainingPathMs (unit: Unit, runTimes: RunTimes): number {
  const { steps, queue } = unit.job.spec
  /** The longest chain of the steps that depend on a step, by step. */
  const followersMs = new Array<number>(steps.length).fill(0)
  let remainingMs = 0
  // Steps depend on earlier steps only, so all that depend on a step have been seen before it.
  for (let step = steps.length - 1; step >= unit.step; step--) {
    const spec = steps[step]
    if (spec === undefined) continue
    remainingMs = runTimes.getExpectedMs(queue, spec) + (followersMs[step] ?? 0)
    for (const before of spec.after) followersMs[before] = Math.max(followersMs[before] ?? 0, remainingMs)
  }
  return remainingMs
}
