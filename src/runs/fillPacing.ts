/**
 * Paces work that fills what others leave, so that serving tasks beside it keep their tail latency: quickly down, slowly up,
 * with a band between the two thresholds in which nothing changes.
 */
import type { Logger } from '../common/logger.js'
import { getTaskName, MemberState } from '../jobs/trackedJob.js'
import type { Member } from '../jobs/trackedJob.js'
import type { RunningRow } from '../workers/workerPort.js'

/** What the pacing needs from outside. */
export interface FillPacingHost {
  readonly logger: Logger
  readonly sendPace: (member: Member, percent: number) => Promise<void>
}

/** Adjusts the pace after each look at a worker. */
export type AdjustPace = (members: Iterable<Member>, rows: readonly RunningRow[], nowMs: number) => void

/** Above this share of the goal the fill is slowed down; a look comes every 1.5 s, and harm counts after some seconds. */
const slowDownShare = 0.75
/** Above this share of the goal the fill stands still. */
const stopShare = 0.95
/** Below this share of the goal the fill is sped up. */
const speedUpShare = 0.5
const slowDownFactor = 0.4
/** Percent that is added at a time. */
const speedUpStep = 10
/** So long after a change the next step up is taken at the earliest, in ms. */
const speedUpPauseMs = 2_000

/** Creates the pacing of one term. */
export function createFillPacing (host: FillPacingHost): AdjustPace {
  const paces = new WeakMap<Member, { readonly percent: number, readonly changedAtMs: number }>()
  return adjust

  function adjust (members: Iterable<Member>, rows: readonly RunningRow[], nowMs: number): void {
    const running = [...members].filter(member => member.state === MemberState.Running)
    const fills = running.filter(member => member.attempt.unit.spec.isFill)
    if (fills.length === 0) return
    const pressure = getPressure(running, rows)
    for (const member of fills) {
      const before = paces.get(member) ?? { percent: 100, changedAtMs: -Infinity }
      const percent = getNextPercent(before.percent, pressure, nowMs - before.changedAtMs)
      if (percent === before.percent) continue
      paces.set(member, { percent, changedAtMs: nowMs })
      host.logger.info('the pace of a fill changes', { task: getTaskName(member), percent, before: before.percent, pressure: Number(pressure.toFixed(2)) })
      host.sendPace(member, percent).catch(error => {
        // The next look tries again from the pace that is known to be in force.
        paces.set(member, before)
        host.logger.info('a pace has no answer', { task: getTaskName(member), error: String(error) })
      })
    }
  }
}

/** The highest tail latency of the serving tasks as a share of its goal. */
function getPressure (running: readonly Member[], rows: readonly RunningRow[]): number {
  const usageOf = new Map(rows.map(row => [row.task, row.usage]))
  const shares = running.map(member => {
    const { tailGoalMs } = member.attempt.unit.spec
    const usage = usageOf.get(getTaskName(member))
    return tailGoalMs === undefined || usage === undefined ? 0 : usage / tailGoalMs
  })
  return Math.max(0, ...shares)
}

/** The next pace for a pressure, in percent. */
export function getNextPercent (percent: number, pressure: number, sinceChangeMs: number): number {
  if (pressure >= stopShare) return 0
  if (pressure >= slowDownShare) return Math.floor(percent * slowDownFactor)
  if (pressure <= speedUpShare && sinceChangeMs >= speedUpPauseMs) return Math.min(100, percent + speedUpStep)
  return percent
}
