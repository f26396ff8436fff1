/**
 * `npm run measure:placement`: the time that one planning pass takes, by the number of workers, on the load of the overload pattern:
 * all workers are in use, and jobs of all queues wait.
 */
import { createOverloadDay, overloadConfiguration, overloadWorkersPerRack, overloadWorkers } from '../testing/overloadDay.js'
import { harnessCapacity } from '../testing/poolHarness.js'
import { silentLogger } from '../common/logger.js'
import { createAttempt, createTrackedJob, getTaskName, getUnits, MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member, TrackedJob } from '../jobs/trackedJob.js'
import { createPlanner } from '../placement/planner.js'
import { createRunTimes } from '../placement/runTimes.js'
import { createWorkerState, getAllocationKey } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'

interface Measurement {
  readonly workers: number
  readonly waitingUnits: number
  readonly runningMembers: number
  /** The pass that fills the empty pool. */
  readonly firstPassMs: number
  /** A pass on the full pool in which an urgent gang preempts work. */
  readonly preemptingPassMs: number
  /** A pass on the full pool that changes nothing. */
  readonly idlePassMs: number
}

const workerCounts = [33, 246, 378, 3_000]
const seed = 1
/** The load per worker, as a multiple of that of the pattern, so that the pool is full and work waits. */
const loadFactor = 2
/** The jobs of so many ms of the pattern arrive at once. */
const windowMs = 10_000

for (const workers of workerCounts) console.log(JSON.stringify(measure(workers)))

function measure (workerCount: number): Measurement {
  const scale = workerCount / overloadWorkers
  const jobs: TrackedJob[] = createOverloadDay(seed, windowMs, loadFactor * scale).arrivals.map(({ job }) => createTrackedJob(job, performance.now()))
  const workers = new Map<string, WorkerState>()
  const members = new Map<string, Set<Member>>()
  for (let index = 0; index < workerCount; index++) addWorker(index)
  const planner = createPlanner({
    logger: silentLogger,
    getUnfinishedJobs: () => jobs,
    workers,
    getMembers: workerId => members.get(workerId) as Set<Member>,
    getQueue: job => overloadConfiguration.queues.find(queue => queue.name === job.spec.queue),
    getOrganisations: () => [],
    runTimes: createRunTimes(),
    reclaimMs: 2_900,
    stopMs: 400,
    getPermittedWorkers: () => 'all',
    startAttempt: (unit, workerIds) => { start(createAttempt(unit, unit.run + 1, workerIds.map(workerId => ({ workerId, bornAtMs: 1 })), performance.now())) },
    stopAttempt: stop
  })
  const urgent = jobs.filter(job => job.spec.queue === 'urgent')
  const late = urgent.splice(0, Math.ceil(urgent.length / 10))
  for (const job of late) jobs.splice(jobs.indexOf(job), 1)
  const firstPassMs = time(planner.plan)
  jobs.push(...late)
  const preemptingPassMs = time(planner.plan)
  return {
    workers: workerCount,
    waitingUnits: jobs.flatMap(getUnits).filter(unit => unit.attempts.length === 0).length,
    runningMembers: [...members.values()].reduce((sum, onWorker) => sum + onWorker.size, 0),
    firstPassMs,
    preemptingPassMs,
    idlePassMs: time(planner.plan)
  }

  function addWorker (index: number): void {
    const rack = `rack-${Math.floor(index / overloadWorkersPerRack)}`
    const workerId = `worker-${index}`
    const worker = createWorkerState({ workerId, address: workerId, service: 'pool', domain: 'a', bornAtMs: 1, isDraining: false, capacity: harnessCapacity, labels: [rack], rack })
    worker.isReachable = true
    workers.set(workerId, worker)
    members.set(workerId, new Set())
  }

  function start (attempt: Attempt): void {
    for (const member of attempt.members) {
      member.state = MemberState.Running
      members.get(member.workerId)?.add(member)
      workers.get(member.workerId)?.allocations.set(getAllocationKey(getTaskName(member), attempt.run), { resources: attempt.unit.spec.request, isPlanned: false })
    }
  }

  function stop (attempt: Attempt): void {
    attempt.stopReason = 'preempted'
  }
}

function time (run: () => void): number {
  const startedAtMs = performance.now()
  run()
  return Math.round(10 * (performance.now() - startedAtMs)) / 10
}
