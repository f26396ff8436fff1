/** Decides where the end of a run decides whether other work may start: at the last tasks of a step that other steps wait for. Does no I/O. */
import { isTerminal } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Member, TrackedJob, Unit } from '../jobs/trackedJob.js'

/** What is read of a job. */
export interface DecidingJob extends Pick<TrackedJob, 'state' | 'isCancelRequested'> {
  readonly spec: { readonly steps: ReadonlyArray<{ readonly after: readonly number[], readonly isService: boolean, readonly isFill: boolean }> }
  readonly occurrences: ReadonlyMap<number, ReadonlyArray<readonly DecidingUnit[]>>
}

/** What is read of a unit. */
export interface DecidingUnit extends Pick<Unit, 'isDone'> {
  readonly attempts: ReadonlyArray<{ readonly stopReason?: string, readonly members: readonly Member[] }>
}

/** The runs on one worker whose ends decide. */
export interface DecisiveEnd {
  /** The fewest tasks, or gangs, that one of their steps still waits for. */
  readonly tasksLeft: number
  readonly members: readonly Member[]
}

/** The last tasks of a step are at most so many: those of a step often end within some 100 ms of each other, and the next step waits for each of them. */
export const maxTasksLeft = 2
/** The most workers at which ends count as decisive: each of them has requests of its own. */
export const maxDecisiveWorkers = 32
/** The members of a gang end together, and each worker lists the end of its own: two of them suffice. */
const placesPerGang = 2

/** Returns the decisive ends by worker, those with the fewest tasks left first. Workers that are not `isCandidate`, as they may be gone, take no place. */
export function getDecisiveEnds (jobs: Iterable<DecidingJob>, isCandidate: (workerId: string) => boolean = () => true): ReadonlyMap<string, DecisiveEnd> {
  const ends = new Map<string, { tasksLeft: number, readonly members: Member[] }>()
  for (const job of jobs) {
    if (job.isCancelRequested || isTerminal(job.state)) continue
    const awaitedSteps = getAwaitedSteps(job)
    if (awaitedSteps.size === 0) continue
    for (const steps of job.occurrences.values()) {
      for (const step of awaitedSteps) addStep(steps[step] ?? [])
    }
  }
  return new Map([...ends].sort(([, first], [, second]) => first.tasksLeft - second.tasksLeft).slice(0, maxDecisiveWorkers))

  function addStep (units: readonly DecidingUnit[]): void {
    const left = getLastUnits(units)
    for (const { attempts } of left) {
      for (const member of attempts.flatMap(getDecidingMembers).filter(({ workerId }) => isCandidate(workerId))) {
        const end = ends.get(member.workerId)
        if (end === undefined) ends.set(member.workerId, { tasksLeft: left.length, members: [member] })
        else {
          end.tasksLeft = Math.min(end.tasksLeft, left.length)
          end.members.push(member)
        }
      }
    }
  }
}

/** The steps that others wait for. Services end only when their job is cancelled; what is best effort holds up nothing that is urgent. */
function getAwaitedSteps ({ spec: { steps } }: DecidingJob): ReadonlySet<number> {
  const awaited = new Set(steps.flatMap(({ after }) => after))
  return new Set([...awaited].filter(step => steps[step] !== undefined && !steps[step].isService && !steps[step].isFill))
}

/** The units that the step still waits for; none if they are too many. */
function getLastUnits (units: readonly DecidingUnit[]): readonly DecidingUnit[] {
  const left: DecidingUnit[] = []
  for (const unit of units) {
    if (unit.isDone) continue
    if (left.length >= maxTasksLeft) return []
    left.push(unit)
  }
  return left
}

/** A run that is being stopped does not complete its task. */
function getDecidingMembers ({ stopReason, members }: DecidingUnit['attempts'][number]): readonly Member[] {
  if (stopReason !== undefined) return []
  const running = members.filter(({ state }) => state === MemberState.Running || state === MemberState.StartSent)
  const workerIds = [...new Set(running.map(({ workerId }) => workerId))].slice(0, placesPerGang)
  return workerIds.flatMap(workerId => running.find(member => member.workerId === workerId) ?? [])
}
