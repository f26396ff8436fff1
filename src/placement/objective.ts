/** Computes when a unit must start so that its job still meets its completion-time objective. Does no I/O. */
import type { QueueSettings } from '../configuration/configuration.js'
import type { Unit } from '../jobs/trackedJob.js'
import type { RunTimes } from './runTimes.js'

/** The latest start of a unit that still meets the objective, by the monotonic clock in ms, computed from expected run times. */
export function getLatestStartMs (unit: Unit, queue: QueueSettings | undefined, runTimes: RunTimes): number {
  const { spec } = unit.job
  const criticalPathMs = runTimes.getCriticalPathMs(spec)
  const objectiveMs = (queue?.objectiveFactor ?? 1) * criticalPathMs + (queue?.objectiveMs ?? 0)
  return unit.dueAtMs + objectiveMs - getRemainingPathMs(unit, runTimes)
}

/** The expected time from the start of the unit's step to the end of the longest chain of steps that begins with it. */
function getRemainingPathMs (unit: Unit, runTimes: RunTimes): number {
  const { steps, queue } = unit.job.spec
  const remainingMs = new Array<number>(steps.length).fill(0)
  for (let step = steps.length - 1; step >= unit.step; step--) {
    const spec = steps[step]
    if (spec === undefined) continue
    const followersMs = steps.flatMap((later, index) => later.after.includes(step) ? [remainingMs[index] ?? 0] : [])
    remainingMs[step] = runTimes.getExpectedMs(queue, spec) + Math.max(0, ...followersMs)
  }
  return remainingMs[unit.step] ?? 0
}
