/**
 * `npm run measure:placement`: the time that one planning pass takes, by the number of workers, on the load of the overload pattern:
 * all workers are in use, and jobs of all queues wait.
 */
import { createTrackedJob, getUnits } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { createOverloadDay, overloadConfiguration, overloadWorkersPerRack, overloadWorkers } from '../testing/overloadDay.js'
import { createPlannerHarness } from '../testing/plannerHarness.js'

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
}

const workerCounts = [33, 246, 378, 3_000]
const seed = 1
/** The load per worker, as a multiple of that of the pattern, so that the pool is full and work waits. */
const loadFactor = 2
/** The jobs of so many ms of the pattern arrive at once. */
const windowMs = 10_000
/** The share of the urgent jobs that arrive when the pool is full. */
const lateUrgentShare = 0.1

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
  return {
    workers: workerCount,
    waitingUnits: jobs.flatMap(getUnits).filter(unit => unit.attempts.length === 0).length,
    runningMembers: [...harness.workers.keys()].reduce((sum, workerId) => sum + harness.getMembers(workerId).size, 0),
    firstPassMs,
    preemptingPassMs,
    idlePassMs: time(harness.plan)
  }
}

function time (run: () => void): number {
  const startedAtMs = performance.now()
  run()
  return Math.round(10 * (performance.now() - startedAtMs)) / 10
}
