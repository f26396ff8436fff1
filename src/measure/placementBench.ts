/**
 * `npm run measure:placement`: the time that one planning pass takes, by the number of workers, on the load of the overload pattern:
 * all workers are in use, and jobs of all queues wait. Then the mean time of further passes while a third of the workers is cut off and gangs wait
 * that no longer fit; nothing can start or be stopped.
 */
import { createTrackedJob, getUnits } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { createOverloadDay, overloadConfiguration, overloadWorkersPerRack, overloadWorkers } from '../testing/overloadDay.js'
import { createPlannerHarness } from '../testing/plannerHarness.js'
import type { PlannerHarness } from '../testing/plannerHarness.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import type { WorkerState } from '../workers/workerState.js'

interface Measurement {
  readonly workers: number
  readonly waitingUnits: number
  readonly runningMembers: number
  /** The pass that fills the empty pool. */
  readonly firstPassMs: number
  /** A pass on the full pool in which urgent gangs preempt work. */
  readonly preemptingPassMs: number
  /** A pass on the full pool that changes nothing. */
  readonly idlePassMs: number
  /** The mean pass on a pool of which a third is cut off, with work that can't be placed. */
  readonly cutPassMs: number
}

const workerCounts = [33, 246, 378, 3_000]
const seed = 1
/** The load per worker, as a multiple of that of the pattern, so that the pool is full and work waits. */
const loadFactor = 2
/** The jobs of so many ms of the pattern arrive at once. */
const windowMs = 10_000
/** The share of the urgent jobs that arrive when the pool is full. */
const lateUrgentShare = 0.1
/** The share of the workers that are cut off, and the number of passes that are timed then. */
const cutShare = 1 / 3
const cutPasses = 20
/** So many gangs wait that need this multiple of the workers that are left. */
const oversizedGangs = 20
const oversizedFactor = 1.1

for (const workers of workerCounts) console.log(JSON.stringify(measure(workers)))

function measure (workerCount: number): Measurement {
  const harness = createPlannerHarness({ workers: workerCount, workersPerRack: overloadWorkersPerRack, configuration: overloadConfiguration })
  const { arrivals } = createOverloadDay(seed, windowMs, loadFactor * workerCount / overloadWorkers)
  const jobs: readonly TrackedJob[] = arrivals.map(({ job }) => createTrackedJob(job, performance.now()))
  const urgent = jobs.filter(job => job.spec.queue === 'urgent')
  const lateUrgent = new Set(urgent.slice(0, Math.ceil(urgent.length * lateUrgentShare)))
  harness.jobs.push(...jobs.filter(job => !lateUrgent.has(job)))
  const firstPassMs = time(harness.plan)
  harness.jobs.push(...lateUrgent)
  const preemptingPassMs = time(harness.plan)
  const idlePassMs = time(harness.plan)
  const reachableWorkers = cutWorkers(harness)
  harness.jobs.push(...createOversizedJobs(reachableWorkers))
  // The first of these passes may still preempt work.
  harness.plan()
  const cutPassMs = time(() => { for (let pass = 0; pass < cutPasses; pass++) harness.plan() }) / cutPasses
  return {
    workers: workerCount,
    waitingUnits: jobs.flatMap(getUnits).filter(unit => unit.attempts.length === 0).length,
    runningMembers: [...harness.workers.keys()].reduce((sum, workerId) => sum + harness.getMembers(workerId).size, 0),
    firstPassMs,
    preemptingPassMs,
    idlePassMs,
    cutPassMs: Math.round(100 * cutPassMs) / 100
  }
}

/** Cuts workers off, with their runs, and returns the number of the others. */
function cutWorkers ({ workers }: PlannerHarness): number {
  const ids = [...workers.keys()]
  const cut = ids.slice(0, Math.floor(cutShare * ids.length))
  for (const workerId of cut) (workers.get(workerId) as WorkerState).isReachable = false
  return ids.length - cut.length
}

function createOversizedJobs (reachableWorkers: number): readonly TrackedJob[] {
  const step = makeStep({ count: Math.ceil(oversizedFactor * reachableWorkers), request: { cpuMilli: 26_000, memoryMb: 53_000, accelerators: 8 }, estimateMs: 5_000, isGang: true })
  return Array.from({ length: oversizedGangs }, (_unused, index) => createTrackedJob(makeJob(`oversized${index}`, index % 2 === 0 ? 'urgent' : 'wide', [step]), performance.now()))
}

function time (run: () => void): number {
  const startedAtMs = performance.now()
  run()
  return Math.round(10 * (performance.now() - startedAtMs)) / 10
}
