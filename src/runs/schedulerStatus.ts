/** The scheduler's status for operators: its term, the quarantined workers and why, waiting work, and lent guarantees. */
import type { OrganisationSettings, QueueSettings } from '../configuration/configuration.js'
import type { EvacuatedDomain } from '../evacuation/evacuatedWorkers.js'
import { getUnits, isReadyToPlace } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import type { WorkerState } from '../workers/workerState.js'
import type { StalledJob, StalledJobs } from './stalledJobs.js'

/** The scheduler's status. Times are in ms. */
export interface SchedulerStatus {
  readonly epoch: number
  readonly scheduledForMs: number
  readonly workers: {
    readonly listed: number
    readonly reachable: number
    readonly draining: number
    readonly heldBack: readonly { readonly workerId: string, readonly reason: string }[]
  }
  /** The evacuated failure domains and what still runs there; undefined if the deployment has no evacuations. */
  readonly evacuations: readonly EvacuatedDomain[] | undefined
  /** The number of jobs that are not scheduled, because their records cannot be decoded. */
  readonly unreadableJobs: number
  /** Unfinished jobs of which nothing runs although a unit's turn has come: how many, and those that have waited longest, with what they wait for. */
  readonly stalledJobs: number
  readonly longestStalled: readonly StalledJob[]
  /** Queues with waiting units. */
  readonly waiting: readonly { readonly queue: string, readonly units: number, readonly oldestWaitMs: number }[]
  /** Accelerators by organisation; guaranteed accelerators that urgent work does not use are lent to others. */
  readonly guarantees: readonly { readonly organisation: string, readonly guaranteed: number, readonly usedByUrgentWork: number, readonly lentOut: number }[]
}

/** The inputs of the status. */
export interface SchedulerStatusHost {
  readonly epoch: number
  readonly startedAtMs: number
  readonly workers: Iterable<WorkerState>
  readonly unfinishedJobs: Iterable<TrackedJob>
  readonly unreadableJobs: number
  readonly getStalled: StalledJobs['get']
  readonly quarantined: SchedulerStatus['workers']['heldBack']
  readonly evacuations: SchedulerStatus['evacuations']
  readonly organisations: readonly OrganisationSettings[]
  readonly getQueue: (job: TrackedJob) => QueueSettings | undefined
}

/** The most stalled jobs that the status lists. */
const maxStalledShown = 20

/** Returns the current status of the scheduler. */
export function describeScheduler (host: SchedulerStatusHost): SchedulerStatus {
  const nowMs = performance.now()
  const workers = [...host.workers]
  const jobs = [...host.unfinishedJobs]
  const stalled = host.getStalled(nowMs, maxStalledShown)
  return {
    epoch: host.epoch,
    scheduledForMs: Math.round(nowMs - host.startedAtMs),
    workers: {
      listed: workers.filter(worker => worker.isListed).length,
      reachable: workers.filter(worker => worker.isReachable).length,
      draining: workers.filter(worker => worker.isListed && worker.info.isDraining).length,
      heldBack: host.quarantined
    },
    evacuations: host.evacuations,
    unreadableJobs: host.unreadableJobs,
    stalledJobs: stalled.count,
    longestStalled: stalled.longest,
    waiting: getWaiting(jobs, nowMs),
    guarantees: host.organisations.filter(({ guaranteedAccelerators }) => guaranteedAccelerators > 0).map(organisation => getGuarantee(organisation, jobs, host))
  }
}

function getWaiting (jobs: readonly TrackedJob[], nowMs: number): SchedulerStatus['waiting'] {
  const byQueue = new Map<string, { units: number, oldestWaitMs: number }>()
  for (const unit of jobs.flatMap(getUnits).filter(isReadyToPlace)) {
    const { queue } = unit.job.spec
    const known = byQueue.get(queue) ?? { units: 0, oldestWaitMs: 0 }
    byQueue.set(queue, { units: known.units + 1, oldestWaitMs: Math.max(known.oldestWaitMs, Math.round(nowMs - unit.waitingSinceMs)) })
  }
  return [...byQueue].map(([queue, counts]) => ({ queue, ...counts }))
}

function getGuarantee ({ name, guaranteedAccelerators }: OrganisationSettings, jobs: readonly TrackedJob[], host: SchedulerStatusHost): SchedulerStatus['guarantees'][number] {
  const urgent = jobs.filter(job => job.spec.organisation === name && host.getQueue(job)?.priority === 0)
  const attempts = urgent.flatMap(getUnits).flatMap(unit => unit.attempts)
  const used = attempts.reduce((sum, { unit }) => sum + unit.size * unit.spec.request.accelerators, 0)
  return { organisation: name, guaranteed: guaranteedAccelerators, usedByUrgentWork: used, lentOut: Math.max(0, guaranteedAccelerators - used) }
}
