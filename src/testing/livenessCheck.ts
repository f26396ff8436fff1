/**
 * Checks that no job of a pool harness stands still while it could run. Judges by the workers' runs and ends and by the store, not by the state of
 * the scheduler. Source of the bound: the platform's rules (LOST).
 */
import { createTrackedJob, findUnit, getUnits, tryRestoreProgress } from '../jobs/trackedJob.js'
import type { TrackedJob, Unit } from '../jobs/trackedJob.js'
import { formatTaskName, isTerminal } from '../jobs/jobModel.js'
import type { JobSpec, Resources } from '../jobs/jobModel.js'
import { getAcceptedKey, getCancelKey, getProgressKey } from '../jobs/jobKeys.js'
import { fits, subtractResources } from '../workers/workerState.js'
import type { ListedWorker } from '../workers/workerPort.js'
import type { PoolHarness } from './poolHarness.js'

/** The check of one harness. */
export interface LivenessCheck {
  /** Looks at the accepted jobs. Returns a description of each job that has stood still for `standstillLimitMs`, once for each standstill. */
  look (jobs: readonly JobSpec[]): readonly string[]
}

/** What could run and does not. */
interface Standstill {
  readonly task: string
  readonly sinceMs: number
  isReported: boolean
}

/** How long a job may have nothing running while it could run, in ms. Source: the platform's rules. */
export const standstillLimitMs = 3_000

/** Creates the check. A unit does not count as able to run while `isAwaited` returns true, which it does for none by default. */
export function createLivenessCheck (harness: PoolHarness, isAwaited: (unit: Unit) => boolean = () => false): LivenessCheck {
  const standstills = new Map<string, Standstill>()
  const { poolState: pool, store } = harness
  return { look }

  function look (jobs: readonly JobSpec[]): readonly string[] {
    const nowMs = performance.now()
    const free = getFree()
    const isBusy = isHalfInUse(free)
    return jobs.flatMap(spec => {
      const unit = isBusy ? undefined : findStandingUnit(spec, free)
      if (unit === undefined) {
        standstills.delete(spec.jobId)
        return []
      }
      const known = standstills.get(spec.jobId)
      const standstill = known ?? { task: getFirstTask(unit), sinceMs: nowMs, isReported: false }
      standstills.set(spec.jobId, standstill)
      if (standstill.isReported || nowMs - standstill.sinceMs < standstillLimitMs) return []
      standstill.isReported = true
      return [describe(unit, standstill)]
    })
  }

  /** Returns a unit of the job whose turn has come and for which there is room twice over, if nothing of the job runs. */
  function findStandingUnit (spec: JobSpec, free: ReadonlyMap<ListedWorker, Resources>): Unit | undefined {
    const { jobId } = spec
    if (store.peek(getAcceptedKey(jobId)) === undefined || store.peek(getCancelKey(jobId)) !== undefined) return undefined
    const job = readJob(spec)
    if (isTerminal(job.state)) return undefined
    const units = getUnits(job)
    if (units.flatMap(getTasks).some(task => (pool.running.get(task)?.length ?? 0) > 0)) return undefined
    return units.find(unit => !isDone(unit) && !isAwaited(unit) && hasTurn(job, unit) && countPlaces(unit, free) >= 2)
  }

  function readJob (spec: JobSpec): TrackedJob {
    const job = createTrackedJob(spec, performance.now())
    const progress = store.peek(getProgressKey(spec.jobId))
    if (progress !== undefined) tryRestoreProgress(job, progress, 1, performance.now(), Date.now())
    return job
  }

  /** An end that no host has acknowledged counts while its worker retains it. Nobody can know of one that was lost with its worker. */
  function isDone (unit: Unit): boolean {
    const tasks = getTasks(unit)
    return unit.isDone || tasks.some(task => pool.acknowledgedDone.has(task) || (pool.retainedDone.get(task)?.size ?? 0) > 0)
  }

  function hasTurn (job: TrackedJob, unit: Unit): boolean {
    return unit.spec.after.every(step => job.occurrences.get(unit.occurrence)?.[step]?.every(isDone) === true)
  }

  /** What the runs on each listed worker leave free. */
  function getFree (): ReadonlyMap<ListedWorker, Resources> {
    const free = new Map([...harness.workers.values()].map(({ info }) => [info.workerId, { info, resources: info.capacity }]))
    for (const [task, locations] of pool.running) {
      for (const { workerId } of locations) {
        const worker = free.get(workerId)
        if (worker !== undefined) worker.resources = subtractResources(worker.resources, pool.getRequest(task))
      }
    }
    return new Map([...free.values()].map(({ info, resources }) => [info, resources]))
  }

  function isHalfInUse (free: ReadonlyMap<ListedWorker, Resources>): boolean {
    const kinds: readonly (keyof Resources)[] = ['cpuMilli', 'memoryMb', 'accelerators']
    return kinds.some(kind => {
      let capacity = 0
      let unused = 0
      for (const [info, resources] of free) {
        capacity += info.capacity[kind]
        unused += resources[kind]
      }
      return unused <= capacity / 2
    })
  }

  /** How many times the unit fits into what is free: a gang of one rack into each rack by itself. */
  function countPlaces ({ spec, size }: Unit, free: ReadonlyMap<ListedWorker, Resources>): number {
    const slotsByScope = new Map<string, number>()
    for (const [{ labels, rack }, resources] of free) {
      if (spec.requiredLabel !== undefined && !labels.includes(spec.requiredLabel)) continue
      const scope = spec.isSameRack ? rack : ''
      slotsByScope.set(scope, (slotsByScope.get(scope) ?? 0) + countSlots(spec.request, resources))
    }
    return [...slotsByScope.values()].reduce((sum, slots) => sum + Math.floor(slots / size), 0)
  }

  function describe (unit: Unit, { task, sinceMs }: Standstill): string {
    const jobId = unit.job.spec.jobId
    const orders = harness.orders.filter(order => findUnitOf(unit.job, order.task) === unit)
    const last = orders.at(-1)
    const events = getTasks(unit).flatMap(name => pool.lastEvents.get(name) ?? [])
    const attempts = unit.attempts.map(attempt => `run ${attempt.run} on ${attempt.members.map(({ workerId }) => workerId).join(' ')}`)
    return `${jobId} stands still: ${getFirstTask(unit)} could run since ${Math.round(sinceMs)} ms (first seen for ${task}); on the workers: ${events.join('; ') || 'never started'}; ` +
      `last start request: ${last === undefined ? 'none' : `run ${last.run} by ${last.hostId} in term ${last.epoch} at ${Math.round(last.atMs)} ms`}; in the store: ${unit.run} runs planned, attempts ${attempts.join(', ') || 'none'}, ${unit.crashes.length} crashes`
  }
}

function getTasks ({ job, occurrence, step, index, size }: Unit): readonly string[] {
  return Array.from({ length: size }, (_, offset) => formatTaskName({ jobId: job.spec.jobId, occurrence, step, index: index + offset }))
}

function getFirstTask (unit: Unit): string {
  return getTasks(unit)[0] as string
}

function findUnitOf (job: TrackedJob, task: string): Unit | undefined {
  const [jobId, occurrence, step, index] = task.split('.')
  return jobId === job.spec.jobId ? findUnit(job, Number(occurrence), Number(step), Number(index)) : undefined
}

function countSlots (request: Resources, free: Resources): number {
  let slots = 0
  for (let left = subtractResources(free, request); fits({ cpuMilli: 0, memoryMb: 0, accelerators: 0 }, left); left = subtractResources(left, request)) slots++
  return slots
}
