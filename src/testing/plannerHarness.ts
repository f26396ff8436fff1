/** A planner with workers and running work, but without anything that moves by itself: starts and stops are only recorded. */
import { silentLogger } from '../common/logger.js'
import type { Configuration } from '../configuration/configuration.js'
import { createAttempt, getTaskName, MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { defaultCostSettings } from '../placement/delayCost.js'
import { createPlanner } from '../placement/planner.js'
import type { Planner } from '../placement/planner.js'
import { createRunTimes } from '../placement/runTimes.js'
import { createWorkerState, getAllocationKey } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { harnessCapacity } from './poolHarness.js'

/** What the planner has done so far, and the state on which it works. */
export interface PlannerHarness {
  readonly jobs: TrackedJob[]
  readonly workers: ReadonlyMap<string, WorkerState>
  readonly started: readonly Attempt[]
  readonly stopped: readonly Attempt[]
  plan (): void
  readonly describeWait: Planner['describeWait']
  getMembers (workerId: string): ReadonlySet<Member>
}

/** The size of the pool, and the queues. */
export interface PlannerHarnessOptions {
  readonly workers: number
  readonly workersPerRack: number
  readonly configuration: Configuration
  /** Labels of a worker besides its rack. */
  readonly getLabels?: (index: number) => readonly string[]
}

/** Creates a pool of empty workers. */
export function createPlannerHarness (options: PlannerHarnessOptions): PlannerHarness {
  const jobs: TrackedJob[] = []
  const workers = new Map<string, WorkerState>()
  const members = new Map<string, Set<Member>>()
  const started: Attempt[] = []
  const stopped: Attempt[] = []
  for (let index = 0; index < options.workers; index++) addWorker(index)
  const planner = createPlanner({
    logger: silentLogger,
    getUnfinishedJobs: () => jobs,
    workers,
    getMembers,
    getQueue: job => options.configuration.queues.find(queue => queue.name === job.spec.queue),
    getOrganisations: () => options.configuration.organisations,
    runTimes: createRunTimes(),
    reclaimMs: 2_900,
    stopMs: 400,
    costSettings: defaultCostSettings,
    getPermittedWorkers: () => 'all',
    startAttempt,
    preemptAttempt: attempt => {
      attempt.stopReason = 'preempted'
      stopped.push(attempt)
    }
  })
  return { jobs, workers, started, stopped, plan: planner.plan, describeWait: planner.describeWait, getMembers }

  function getMembers (workerId: string): Set<Member> {
    return members.get(workerId) ?? new Set()
  }

  function addWorker (index: number): void {
    const rack = `rack-${Math.floor(index / options.workersPerRack)}`
    const workerId = `worker-${index}`
    const labels = [rack, ...options.getLabels?.(index) ?? []]
    const worker = createWorkerState({ workerId, address: workerId, service: 'pool', domain: 'a', bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity: harnessCapacity, labels, rack })
    worker.isReachable = true
    workers.set(workerId, worker)
    members.set(workerId, new Set())
  }

  /** The attempt counts as running at once. */
  function startAttempt (unit: Unit, workerIds: readonly string[]): void {
    const attempt = createAttempt(unit, unit.run + 1, workerIds.map(workerId => ({ workerId, bornAtMs: 1 })), performance.now())
    for (const member of attempt.members) {
      member.state = MemberState.Running
      getMembers(member.workerId).add(member)
      workers.get(member.workerId)?.allocations.set(getAllocationKey(getTaskName(member), attempt.run), { resources: unit.spec.request, isPlanned: false })
    }
    started.push(attempt)
  }
}
