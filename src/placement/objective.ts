/** When a unit must start so that its job still meets its objective. Pure decisions. */
import type { QueueSettings } from '../configuration/configuration.js'
import type { Unit } from '../jobs/trackedJob.js'
import type { RunTimes } from './runTimes.js'

/** The latest time for the start of a unit, as Unix time in ms, by what is expected of the work that follows it. */
export function getLatestStartMs (unit: Unit, queue: QueueSettings | undefined, runTimes: RunTimes): number {
  const { spec } = unit.job
  const chainMs = runTimes.getChainMs(spec)
  const objectiveMs = (queue?.objectiveFactor ?? 1) * chainMs + (queue?.objectiveMs ?? 0)
  return getDueFromMs(unit) + objectiveMs - getRemainingChainMs(unit, runTimes)
}

/** The time from which the objective counts: the acceptance, or the occurrence's due time. */
function getDueFromMs (unit: Unit): number {
  const { recurrence, acceptedAtMs } = unit.job.spec
  return recurrence === undefined ? acceptedAtMs : recurrence.firstAtMs + unit.occurrence * recurrence.intervalMs
}

/** The expected time from the unit's start to the end of the longest chain through its step. */
function getRemainingChainMs (unit: Unit, runTimes: RunTimes): number {
  const { steps, queue } = unit.job.spec
  const fromMs = new Array<number>(steps.length).fill(0)
  for (let step = steps.length - 1; step >= unit.step; step--) {
    const spec = steps[step]
    if (spec === undefined) continue
    const followersMs = steps.flatMap((later, index) => later.after.includes(step) ? [fromMs[index] ?? 0] : [])
    fromMs[step] = runTimes.getExpectedMs(queue, spec) + Math.max(0, ...followersMs)
  }
  return fromMs[unit.step] ?? 0
}
