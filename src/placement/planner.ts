/**
 * Decides which waiting units start, and on which workers. In order of priority, each unit is placed on free workers; if none
 * fit, running work is preempted for it, or workers are reserved for it. Works on the state as it is and does no I/O itself.
 */
import type { Logger } from '../common/logger.js'
import type { Resources } from '../jobs/jobModel.js'
import type { OrganisationSettings, QueueSettings } from '../configuration/configuration.js'
import { getUnits, isReadyToPlace, MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { addResources, getFreeCapacity, isUsable } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { getOrganisationsWithinGuarantee } from './guarantees.js'
import { getLatestStartMs } from './objective.js'
import { isKeptApart, isSuspect } from './isolation.js'
import { allocateCapacity, placeTasks, tryPlace } from './placeUnit.js'
import type { Occupancy, PlacementRules, FreeCapacity } from './placeUnit.js'
import { indexVictims, tryPreempt } from './preemption.js'
import type { VictimsByWorker } from './preemption.js'
import { tryReserve } from './reservation.js'
import type { RunTimes } from './runTimes.js'
import { compareRanks, getMaxLoss, getPriority, getVictims } from './unitOrder.js'
import type { UnitRank } from './unitOrder.js'

/** What the planner needs from outside. */
export interface PlannerHost {
  readonly logger: Logger
  readonly getUnfinishedJobs: () => Iterable<TrackedJob>
  readonly workers: ReadonlyMap<string, WorkerState>
  readonly getMembers: (workerId: string) => ReadonlySet<Member>
  readonly getQueue: (job: TrackedJob) => QueueSettings | undefined
  readonly getOrganisations: () => readonly OrganisationSettings[]
  readonly runTimes: RunTimes
  /** The expected speed of runs on a worker, relative to usual. */
  readonly getSpeed?: PlacementRules['getSpeed']
  /** Urgent jobs within their organisation's guarantee start within this time, in ms. */
  readonly reclaimMs: number
  /** The longest time that a worker takes to stop a run, in ms. */
  readonly stopMs: number
  /** The workers that may run the unit by its queue's policy; undefined while none is known. */
  readonly getPermittedWorkers: (unit: Unit, workerIds: readonly string[]) => ReadonlySet<string> | 'all' | undefined
  /** Allocates resources on the workers and starts the unit there as soon as these resources are free. */
  readonly startAttempt: (unit: Unit, workerIds: readonly string[]) => void
  readonly stopAttempt: (attempt: Attempt, reason: string) => void
}

/** The planner of one scheduler term. */
export interface Planner {
  /** Places all waiting units that can be placed now. */
  plan (): void
}

/** How long before its latest start a unit that is not urgent may begin to preempt other work, in ms, besides the time of a stop. */
const preemptionLeadMs = 1_100
/** How long before its start is due a guaranteed job may begin to preempt at any cost, in ms, besides the time of two stops. */
const reclaimLeadMs = 800
/** A unit whose latest start passed longer ago than this, in ms, preempts only for a guarantee: it misses its objective anyway. */
const maxPreemptionDelayMs = 3_000

/** Creates the planner of one scheduler term. */
export function createPlanner (host: PlannerHost): Planner {
  const { logger, workers, getMembers, getQueue } = host
  /** Workers that are reserved for a unit that does not fit yet, with its expected start by the monotonic clock. */
  const reservedUntilMs = new Map<WorkerState, number>()
  /** Workers have crashed under a unit that is not finished; determined at the start of each planning pass. */
  let hasSuspects = false
  /** Accelerators in use on each worker by queue; computed on demand in each planning pass. */
  let usageByWorker = new Map<WorkerState, Map<string, number>>()
  /** Organisations that request no more than their guarantee; computed at the start of each planning pass. */
  let withinGuarantee: ReadonlySet<string> = new Set()
  /** Victims by worker for each kind of unit, and the resources that stopping work will free; until the next preemption of the pass. */
  const victimsByKind = new Map<string, VictimsByWorker>()
  let stoppingByWorker: Map<WorkerState, Resources> | undefined
  const rules: PlacementRules = { countStepTasks, getOccupancy, isReservedForOther, getSpeed: host.getSpeed, getSlackShare: unit => (getLatestStartMs(unit, getQueue(unit.job), host.runTimes) - performance.now()) / Math.max(1, host.runTimes.getExpectedMs(unit.job.spec.queue, unit.spec)) }

  return { plan }

  function plan (): void {
    const unfinished = [...host.getUnfinishedJobs()].flatMap(getUnits)
    const waiting = unfinished.filter(isReadyToPlace)
    if (waiting.length === 0) return
    hasSuspects = unfinished.some(isSuspect)
    withinGuarantee = getOrganisationsWithinGuarantee(host.getUnfinishedJobs(), host.getOrganisations(), getQueue)
    const ordered = order(waiting)
    const freeCapacity: FreeCapacity = new Map([...workers.values()].filter(isUsable).map(worker => [worker, getFreeCapacity(worker)]))
    reservedUntilMs.clear()
    usageByWorker = new Map()
    forgetVictims()
    const blockedSteps = new Set<string>()
    for (const units of groupAlike(ordered)) {
      const stepKey = getStepKey(units[0] as Unit)
      if (!blockedSteps.has(stepKey) && !tryStart(units, freeCapacity)) blockedSteps.add(stepKey)
    }
  }

  /** Starts the units, which are alike, in order, until one cannot be started: the others have the same requirements. Returns whether all have started. */
  function tryStart (units: readonly Unit[], freeCapacity: FreeCapacity): boolean {
    let next = 0
    for (let unit = units[next]; unit !== undefined; unit = units[next]) {
      const permitted = getPermittedCapacity(unit, freeCapacity)
      if (permitted === undefined) return false
      const placed = unit.size === 1 ? startTasks(units.slice(next), permitted, freeCapacity) : startGang(unit, permitted, freeCapacity)
      if (placed === 0 && !tryPreemptOrReserve(unit, permitted, freeCapacity)) return false
      next += Math.max(1, placed)
    }
    return true
  }

  /** Starts as many of the tasks as there is room for, and returns their number. */
  function startTasks (units: readonly Unit[], permitted: FreeCapacity, freeCapacity: FreeCapacity): number {
    const places = placeTasks(units[0] as Unit, units.length, permitted, rules)
    places.forEach((worker, index) => { startPlaced(units[index] as Unit, [worker], permitted, freeCapacity) })
    return places.length
  }

  /** Returns 1 if the gang has started, otherwise 0. */
  function startGang (unit: Unit, permitted: FreeCapacity, freeCapacity: FreeCapacity): number {
    const places = tryPlace(unit, permitted, rules)
    if (places === undefined) return 0
    startPlaced(unit, places, permitted, freeCapacity)
    return 1
  }

  function startPlaced (unit: Unit, places: readonly WorkerState[], permitted: FreeCapacity, freeCapacity: FreeCapacity): void {
    if (permitted !== freeCapacity) allocateCapacity(freeCapacity, places, unit.spec.request)
    startAttempt(unit, places)
  }

  /** The units in the order in which they get workers; the units of one step are alike. */
  function order (waiting: readonly Unit[]): readonly Unit[] {
    const nowMs = performance.now()
    const ranks = new Map<string, UnitRank>()
    const ranked = waiting.map(unit => {
      const stepKey = getStepKey(unit)
      let rank = ranks.get(stepKey)
      if (rank === undefined) ranks.set(stepKey, rank = getRank(unit, nowMs))
      return { unit, rank }
    })
    return ranked.sort((left, right) => compareRanks(left.rank, right.rank)).map(({ unit }) => unit)
  }

  function getRank (unit: Unit, nowMs: number): UnitRank {
    const { job } = unit
    return {
      isGuaranteed: isGuaranteed(job),
      priority: getPriority(job, getQueue),
      isLate: getLatestStartMs(unit, getQueue(job), host.runTimes) < nowMs,
      acceptedAtMs: job.acceptedAtMs
    }
  }

  function startAttempt (unit: Unit, places: readonly WorkerState[]): void {
    for (const worker of places) usageByWorker.delete(worker)
    host.startAttempt(unit, places.map(worker => worker.info.workerId))
  }

  /** The free capacity of the workers that may run the unit; undefined while none is known. */
  function getPermittedCapacity (unit: Unit, freeCapacity: FreeCapacity): FreeCapacity | undefined {
    const permitted = host.getPermittedWorkers(unit, [...freeCapacity.keys()].map(worker => worker.info.workerId))
    if (permitted === 'all') return freeCapacity
    return permitted === undefined ? undefined : new Map([...freeCapacity].filter(([worker]) => permitted.has(worker.info.workerId)))
  }

  /**
   * Preempts running work for a unit that does not fit, or reserves workers for it. Urgent units preempt at once: estimates are too
   * inaccurate to rely on running work to end in time. Urgent units whose guarantee is due preempt any work that is neither guaranteed
   * nor a service, at any cost. Other units wait for running work to end, and preempt only when their latest start is near.
   */
  function tryPreemptOrReserve (unit: Unit, permitted: FreeCapacity, freeCapacity: FreeCapacity): boolean {
    const slackMs = getLatestStartMs(unit, getQueue(unit.job), host.runTimes) - performance.now()
    const isUrgent = getQueue(unit.job)?.priority === 0
    const isPreemptionDue = slackMs > -maxPreemptionDelayMs && (isUrgent || slackMs < preemptionLeadMs + host.stopMs)
    if ((isPreemptionDue || isReclaimDue(unit)) && tryPreemptFor(unit, permitted, isUrgent)) {
      for (const worker of freeCapacity.keys()) freeCapacity.set(worker, getFreeCapacity(worker))
      return true
    }
    // Reserving for more than one unit at a time would leave too many workers idle.
    if (reservedUntilMs.size > 0 || isSuspect(unit)) return false
    const reservation = tryReserve(unit, permitted, { getMembers, nowMs: performance.now() })
    reservation?.workers.forEach(worker => reservedUntilMs.set(worker, reservation.startAtMs))
    return false
  }

  /** Preempts work for the unit if the unit then fits and the work lost does not exceed the limit for it. Returns whether it did. */
  function tryPreemptFor (unit: Unit, freeCapacity: FreeCapacity, isUrgent: boolean): boolean {
    const victims = getVictimsByWorker(unit)
    if (victims.size === 0) return false
    const maxLoss = isReclaimDue(unit) ? Infinity : getMaxLoss(unit, host.runTimes.getExpectedMs(unit.job.spec.queue, unit.spec), isUrgent)
    const preemption = tryPreempt(unit, getCapacityAfterStops(freeCapacity), victims, rules, workerId => workers.get(workerId), maxLoss)
    if (preemption === undefined) return false
    logger.info('preempting running work to start a job', { jobId: unit.job.spec.jobId, victims: preemption.victims.map(attempt => attempt.unit.job.spec.jobId), cost: Math.round(preemption.cost), maxLoss: Number.isFinite(maxLoss) ? Math.round(maxLoss) : 'guaranteed' })
    startAttempt(unit, preemption.places)
    for (const attempt of preemption.victims) host.stopAttempt(attempt, `preempted for ${unit.job.spec.jobId}`)
    forgetVictims()
    return true
  }

  /** Units of the same priority have the same victims. Work that the pass itself has started is not among them. */
  function getVictimsByWorker (unit: Unit): VictimsByWorker {
    const kind = `${getPriority(unit.job, getQueue)}.${String(isReclaimDue(unit))}`
    let victims = victimsByKind.get(kind)
    if (victims === undefined) victimsByKind.set(kind, victims = indexVictims(getVictims(unit, host.getUnfinishedJobs(), getQueue, isGuaranteed, isReclaimDue(unit))))
    return victims
  }

  function forgetVictims (): void {
    victimsByKind.clear()
    stoppingByWorker = undefined
  }

  /** The free capacity after everything that is being stopped has ended. */
  function getCapacityAfterStops (freeCapacity: FreeCapacity): FreeCapacity {
    stoppingByWorker ??= sumStopping()
    const freeLater: FreeCapacity = new Map(freeCapacity)
    for (const [worker, stopping] of stoppingByWorker) {
      const free = freeLater.get(worker)
      if (free !== undefined) freeLater.set(worker, addResources(free, stopping))
    }
    return freeLater
  }

  function sumStopping (): Map<WorkerState, Resources> {
    const sums = new Map<WorkerState, Resources>()
    for (const worker of workers.values()) {
      for (const { attempt, state } of getMembers(worker.info.workerId)) {
        if (attempt.stopReason === undefined || state === MemberState.Ended) continue
        const { request } = attempt.unit.spec
        const sum = sums.get(worker)
        sums.set(worker, sum === undefined ? request : addResources(sum, request))
      }
    }
    return sums
  }

  function isGuaranteed (job: TrackedJob): boolean {
    return getQueue(job)?.priority === 0 && withinGuarantee.has(job.spec.organisation)
  }

  /** Tells whether a guaranteed job has waited so long that it must preempt other work to start in time. */
  function isReclaimDue ({ job }: Unit): boolean {
    return isGuaranteed(job) && performance.now() - job.acceptedAtMs > host.reclaimMs - reclaimLeadMs - 2 * host.stopMs
  }

  function isReservedForOther (unit: Unit, worker: WorkerState): boolean {
    if (hasSuspects && isKeptApart(unit, getMembers(worker.info.workerId), performance.now())) return true
    const reservedStartMs = reservedUntilMs.get(worker)
    return reservedStartMs !== undefined && performance.now() + unit.spec.estimateMs > reservedStartMs
  }

  function countStepTasks (unit: Unit, workerId: string): number {
    if (unit.spec.spreadLimit === undefined) return 0
    let count = 0
    for (const member of getMembers(workerId)) {
      const other = member.attempt.unit
      if (other.job === unit.job && other.occurrence === unit.occurrence && other.step === unit.step) count++
    }
    return count
  }

  function getOccupancy (unit: Unit, worker: WorkerState): Occupancy {
    let sameQueue = 0
    let otherQueues = 0
    for (const [queue, accelerators] of getUsage(worker)) {
      if (queue === unit.job.spec.queue) sameQueue += accelerators
      else otherQueues += accelerators
    }
    return { sameQueue, otherQueues }
  }

  function getUsage (worker: WorkerState): Map<string, number> {
    let byQueue = usageByWorker.get(worker)
    if (byQueue !== undefined) return byQueue
    usageByWorker.set(worker, byQueue = new Map())
    for (const { attempt: { unit } } of getMembers(worker.info.workerId)) {
      const { queue } = unit.job.spec
      byQueue.set(queue, (byQueue.get(queue) ?? 0) + unit.spec.request.accelerators)
    }
    return byQueue
  }
}

/** Splits ordered units into runs of units that are alike: tasks of one step that have not failed on any worker, and under which none has crashed. */
function groupAlike (units: readonly Unit[]): readonly (readonly Unit[])[] {
  const groups: Unit[][] = []
  let lastKey: string | undefined
  for (const unit of units) {
    const key = unit.avoidedWorkers.size === 0 && !isSuspect(unit) ? getStepKey(unit) : undefined
    const last = groups.at(-1)
    if (key !== undefined && key === lastKey && last !== undefined) last.push(unit)
    else groups.push([unit])
    lastKey = key
  }
  return groups
}

/** The key of the units that are ranked and blocked alike. A suspect unit waits by itself, as it may need an empty worker. */
function getStepKey (unit: Unit): string {
  const { job, occurrence, step, index } = unit
  const stepKey = `${job.spec.jobId}.${occurrence}.${step}`
  return isSuspect(unit) ? `${stepKey}.${index}` : stepKey
}
