/**
 * Attributes crashes of workers to the tasks that ran on them. A worker that does not answer may be cut off; that it has crashed shows when its
 * machine reports a new life without having been drained. By then its runs may already have been treated as lost, and started elsewhere.
 */
import type { Logger } from '../common/logger.js'
import { isTerminal } from '../jobs/jobModel.js'
import { getCrashCount, getTaskName, MemberState } from '../jobs/trackedJob.js'
import type { Member, TrackedJob, Unit } from '../jobs/trackedJob.js'

/** Dependencies of the crash tracking. */
export interface CrashTrackingHost {
  readonly logger: Logger
  readonly getMembers: (workerId: string) => ReadonlySet<Member>
  /** Stores the crash counts of the job. */
  readonly commit: (job: TrackedJob) => void
  /** Called when a unit is not to be started again. */
  readonly onGivenUp: (unit: Unit) => void
}

/** The crash tracking of one term. */
export interface CrashTracking {
  /** Records a run that was lost with its worker. */
  onRunLost (member: Member): void
  /** The worker has reported again: the runs that were lost with this incarnation were lost by a cut, not by a crash. */
  onReport (workerId: string): void
  /** The worker's machine, named by its id if it has one, has started anew: the incarnation before `bornAtMs` has crashed with everything that ran there. */
  onWorkerCrashed (workerId: string, machine: string, bornAtMs: number): void
}

/** A unit is given up after this many crashes if nothing else ran on the last worker that crashed, and that machine has not crashed under other work. */
const maxCrashesAlone = 2
/** A unit is given up after this many crashes in any case. */
const maxCrashes = 3
/** How long a lost run may still be attributed to a crash, in ms: longer than a machine takes to restart. */
const attributionMs = 60_000

interface LostRun {
  readonly member: Member
  readonly lostAtMs: number
}

/** Creates the tracking of one term. */
export function createCrashTracking (host: CrashTrackingHost): CrashTracking {
  const lostRuns = new Map<string, LostRun[]>()
  /** The start of the latest incarnation, by worker, whose predecessor's crash has been attributed. */
  const attributedBornAtMs = new Map<string, number>()
  /** The machines that have crashed in this term, with the units of their crashes. */
  const crashedMachines = new Map<string, Set<Unit>>()

  return { onRunLost, onReport: workerId => { lostRuns.delete(workerId) }, onWorkerCrashed }

  function onRunLost (member: Member): void {
    if (member.bornAtMs < (attributedBornAtMs.get(member.workerId) ?? -Infinity)) return
    const nowMs = performance.now()
    for (const [workerId, runs] of lostRuns) if (runs.every(({ lostAtMs }) => nowMs - lostAtMs > attributionMs)) lostRuns.delete(workerId)
    const runs = lostRuns.get(member.workerId)
    if (runs === undefined) lostRuns.set(member.workerId, [{ member, lostAtMs: nowMs }])
    else runs.push({ member, lostAtMs: nowMs })
  }

  function onWorkerCrashed (workerId: string, machine: string, bornAtMs: number): void {
    if (bornAtMs <= (attributedBornAtMs.get(workerId) ?? -Infinity)) return
    attributedBornAtMs.set(workerId, bornAtMs)
    const current = [...host.getMembers(workerId)].filter(({ state }) => state === MemberState.StartSent || state === MemberState.Running)
    const lost = (lostRuns.get(workerId) ?? []).map(({ member }) => member)
    lostRuns.delete(workerId)
    const members = [...current, ...lost].filter(member => member.bornAtMs < bornAtMs)
    const units = new Set(members.map(({ attempt }) => attempt.unit))
    host.logger.warn('worker crashed', { workerId, machine, bornAtMs, tasks: members.map(getTaskName) })
    for (const { attempt: { unit }, index } of members) {
      unit.crashes.set(index, (unit.crashes.get(index) ?? 0) + 1)
      unit.avoidedWorkers.add(workerId).add(machine)
    }
    const earlierUnits = crashedMachines.get(machine) ?? new Set()
    crashedMachines.set(machine, new Set([...earlierUnits, ...units]))
    for (const unit of units) evaluate(unit, units.size === 1 && [...earlierUnits].every(earlier => earlier === unit))
  }

  function evaluate (unit: Unit, isOnlyCause: boolean): void {
    if (unit.isDone || isTerminal(unit.job.state)) return
    const crashes = getCrashCount(unit)
    if (crashes >= (isOnlyCause ? maxCrashesAlone : maxCrashes)) {
      host.logger.warn('a task is given up, as workers crash under it', { jobId: unit.job.spec.jobId, step: unit.step, index: unit.index, crashes, isOnlyCause })
      host.onGivenUp(unit)
    } else host.commit(unit.job)
  }
}
