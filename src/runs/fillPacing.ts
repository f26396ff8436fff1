/**
 * Paces fill tasks, which use the capacity that other tasks leave free, so that service tasks on the same worker meet their
 * tail latency goal. The pace, a percentage, falls quickly and rises slowly; between `speedUpShare` and `slowDownShare` it stays the same.
 */
import type { Logger } from '../common/logger.js'
import { getTaskName, MemberState } from '../jobs/trackedJob.js'
import type { Member } from '../jobs/trackedJob.js'
import type { RunningRun } from '../workers/workerPort.js'

/** Dependencies of the pacing. */
export interface FillPacingHost {
  readonly logger: Logger
  readonly sendPace: (member: Member, percent: number) => Promise<void>
}

/** Adjusts the pace of the fill tasks on a worker after each of its reports. */
export type AdjustPace = (members: Iterable<Member>, reportedRuns: readonly RunningRun[], nowMs: number) => void

/** From this share of the latency goal on, fill tasks slow down: reports come every 1.5 s, and a missed goal counts after some seconds. */
const slowDownShare = 0.75
/** From this share of the latency goal on, fill tasks are paused. */
const pauseShare = 0.95
/** Up to this share of the latency goal, fill tasks are sped up. */
const speedUpShare = 0.5
/** The pace is multiplied by this at each decrease. */
const slowDownFactor = 0.4
/** Percentage points added per increase. */
const speedUpStep = 10
/** Minimum time between a change and the next increase, in ms. */
const speedUpDelayMs = 2_000

/** Creates the pacing of one term. */
export function createFillPacing (host: FillPacingHost): AdjustPace {
  const lastChanges = new WeakMap<Member, { readonly percent: number, readonly changedAtMs: number }>()
  return adjust

  function adjust (members: Iterable<Member>, reportedRuns: readonly RunningRun[], nowMs: number): void {
    const running = [...members].filter(member => member.state === MemberState.Running)
    const fillMembers = running.filter(member => member.attempt.unit.spec.isFill)
    if (fillMembers.length === 0) return
    const pressure = getPressure(running, reportedRuns)
    for (const member of fillMembers) {
      const previous = lastChanges.get(member) ?? { percent: 100, changedAtMs: -Infinity }
      const percent = getNextPercent(previous.percent, pressure, nowMs - previous.changedAtMs)
      if (percent === previous.percent) continue
      lastChanges.set(member, { percent, changedAtMs: nowMs })
      host.logger.info('changing the pace of a fill task', { task: getTaskName(member), percent, before: previous.percent, pressure: Number(pressure.toFixed(2)) })
      host.sendPace(member, percent).catch(error => {
        // The next report retries from the pace that is known to be in effect.
        lastChanges.set(member, previous)
        host.logger.info('pace request failed', { task: getTaskName(member), error: String(error) })
      })
    }
  }
}

/** The highest ratio of tail latency to its goal among the running service tasks. */
function getPressure (running: readonly Member[], reportedRuns: readonly RunningRun[]): number {
  const usageByTask = new Map(reportedRuns.map(reported => [reported.task, reported.usage]))
  const shares = running.map(member => {
    const { tailGoalMs } = member.attempt.unit.spec
    const usage = usageByTask.get(getTaskName(member))
    return tailGoalMs === undefined || usage === undefined ? 0 : usage / tailGoalMs
  })
  return Math.max(0, ...shares)
}

/** The next pace in percent, given the current one and the ratio of tail latency to its goal. */
export function getNextPercent (percent: number, pressure: number, sinceChangeMs: number): number {
  if (pressure >= pauseShare) return 0
  if (pressure >= slowDownShare) return Math.floor(percent * slowDownFactor)
  if (pressure <= speedUpShare && sinceChangeMs >= speedUpDelayMs) return Math.min(100, percent + speedUpStep)
  return percent
}
