/**
 * Decides which waiting units start, and on which workers. In order of priority, each unit is placed on free workers; if none
 * fit, running work is preempted for it, or workers are reserved for it. Works on the state as it is and does no I/O itself.
 */
import type { Logger } from '../common/logger.js'
import type { Resources } from '../jobs/jobModel.js'
import type { OrganisationSettings, QueueSettings } from '../configuration/configuration.js'
import { getUnits, isReadyToPlace, MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { addResources, isUsable } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { getDelayCost, getStopCost } from './delayCost.js'
import type { CostSettings, StartLimits } from './delayCost.js'
import { getStartLimits } from './objective.js'
import { createHeadroom } from './headroom.js'
import { countKeptApart, isKeptApart, isSuspect } from './isolation.js'
import { allocateCapacity, isAvoided, isEligible, placeTasks, tryPlace } from './placeUnit.js'
import type { PlacementRules, FreeCapacity } from './placeUnit.js'
import { indexVictims, tryPreempt } from './preemption.js'
import type { FirstNeeds, PreemptionPlan, Victim, VictimsByWorker } from './preemption.js'
import { describeObstacles } from './obstacles.js'
import type { PlacementObstacles } from './obstacles.js'
import { createPoolRoom, getPlacementKey } from './poolRoom.js'
import type { PoolRoom } from './poolRoom.js'
import { createPoolUse } from './poolUse.js'
import type { PoolUse } from './poolUse.js'
import { createRackHolds, isBoundToRack } from './rackHold.js'
import { createReclaim } from './reclaim.js'
import type { RelocationPlan } from './relocation.js'
import { createRelocationHolds } from './relocationHolds.js'
import { tryReserve } from './reservation.js'
import type { RunTimes } from './runTimes.js'
import { compareRanks, getPriority, getStepKey, getVictims, groupAlike, maxPreemptions } from './unitOrder.js'
import type { UnitRank } from './unitOrder.js'
import { createWorkerUse } from './workerUse.js'

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
  /** Tells whether a worker may be gone, so that a start there may cost the wait for a lease. It gets work that has no room elsewhere. */
  readonly isInDoubt?: (workerId: string) => boolean
  /** Urgent jobs within their organisation's guarantee start within this time, in ms. */
  readonly reclaimMs: number
  /** The longest time that a worker takes to stop a run, in ms. */
  readonly stopMs: number
  /** How what callers lose by a delay is weighed. */
  readonly costSettings: CostSettings
  /** The workers that may run the unit by its queue's policy; undefined while none is known. */
  readonly getPermittedWorkers: (unit: Unit, workerIds: readonly string[]) => ReadonlySet<string> | 'all' | undefined
  /** Called in each planning pass for the first unit of a step that has no place on the permitted workers, in the order in which units get workers. */
  readonly onNotPlaced?: (unit: Unit, workerIds: readonly string[]) => void
  /** Allocates resources on the workers and starts the unit there as soon as these resources are free. */
  readonly startAttempt: (unit: Unit, workerIds: readonly string[]) => void
  /** Stops an attempt to make room for other work. */
  readonly preemptAttempt: (attempt: Attempt, reason: string) => void
}

/** The planner of one scheduler term. */
export interface Planner {
  /** Places all waiting units that can be placed now. */
  plan (): void
  /** What stands against placing a unit that is ready to be placed, as of now and of the last planning pass. */
  describeWait (unit: Unit): PlacementObstacles
}

/** How long a unit that has been preempted waits for each run that was preempted since a run ended in another way, in ms: about as long as a burst's urgent job runs. */
const restartDelayMs = 1_000
/**
 * How long units are held back for the sake of other work while most of their service's pool is idle, in ms. By the platform's rules a job must not wait for
 * 3 s in such a pool; noticing the end of its last run, a pause between passes, storing the plan and the start need the rest.
 */
const maxIdleHoldMs = 1_000
/** The most units for which workers are reserved at once: more cost planning time and would leave many workers idle. */
const maxReservedUnits = 3

/** A worker's reservation for a unit that does not fit yet: the unit's expected start by the monotonic clock, and its priority. */
interface WorkerReservation {
  readonly startAtMs: number
  readonly priority: number
  /** Also work of the unit's own priority has to leave the worker to it; work of lower priority has to in any case. */
  readonly bindsEqualPriority: boolean
}

/** What searches for preemptions on the same free capacity and victims have found. */
interface PreemptionSearches {
  /** What each worker needs first, by the request. */
  readonly needs: Map<string, FirstNeeds>
  /** The greatest loss for which a search has failed, by what the unit requires. */
  readonly failedLosses: Map<string, number>
}

/** Creates the planner of one scheduler term. */
export function createPlanner (host: PlannerHost): Planner {
  const { logger, workers, getMembers, getQueue } = host
  /** Workers that are reserved for units that do not fit yet. */
  const reservations = new Map<WorkerState, WorkerReservation>()
  let reservedUnits = 0
  const headroom = createHeadroom()
  /** Accelerators that are free, and that patient work of a priority may take in the pass. */
  let freeAccelerators = 0
  const limitsByStep = new Map<string, StartLimits>()
  /** Workers have crashed under a unit that is not finished; determined at the start of each planning pass. */
  let hasSuspects = false
  const workerUse = createWorkerUse(getMembers)
  const { countStepTasks, getOccupancy, getAttainable } = workerUse
  const reclaim = createReclaim(host)
  const { isGuaranteed } = reclaim
  const relocationHolds = createRelocationHolds()
  const rackHolds = createRackHolds()
  /** Victims by worker for each kind of unit, and the resources that stopping work will free; until the next preemption of the pass. */
  const victimsByKind = new Map<string, VictimsByWorker>()
  let stoppingByWorker: Map<WorkerState, Resources> | undefined
  /** The free capacity of all usable workers after everything that is being stopped has ended, and what searches for preemptions have found on it. */
  let capacityAfterStops: FreeCapacity | undefined
  const searchesByVictims = new Map<VictimsByWorker, PreemptionSearches>()
  /** Requirements for which no workers can be reserved, until something starts or stops or is reserved. */
  const unreservable = new Set<string>()
  /** The use of the services' pools; computed at the start of each planning pass. */
  let poolUse: PoolUse = createPoolUse(new Map())
  /** What fits into the free capacity at all; created at the start of each planning pass. */
  let poolRoom: PoolRoom = createPoolRoom(new Map())
  /** The units of the last planning pass in the order of placement. */
  let lastOrder: readonly Unit[] = []
  /** The ids of the usable workers; determined at the start of each planning pass. */
  let usableIds: readonly string[] = []
  /** The usable workers that may be gone; determined at the start of each planning pass. */
  let doubtful: ReadonlySet<WorkerState> = new Set()
  const rules: PlacementRules = { countStepTasks, getOccupancy, isReservedForOther, getSpeed: host.getSpeed, getSlackShare, getAttainable }
  /** For a unit that has been held back for long enough: other units on a worker only count against it, and reservations bind it only while its job progresses. */
  const idlePoolRules: PlacementRules = { ...rules, isReservedForOther: (unit, worker) => isJobRunning(unit) && hasBindingReservation(unit, worker), countConflicts }

  return { plan, describeWait }

  function describeWait (unit: Unit): PlacementObstacles {
    return describeObstacles(unit, {
      workers: workers.values(),
      getPermittedWorkers: host.getPermittedWorkers,
      isHeldBack,
      isKeptApart: isApartFromWorker,
      isReserved: hasBindingReservation,
      isInDoubt: worker => host.isInDoubt?.(worker.info.workerId) === true,
      countStepTasks,
      getAttainable,
      countWithinHeadroom: countPermitted,
      headroomAccelerators: isPatient(unit) ? headroom.getReserved(getPriority(unit.job, getQueue)) : 0,
      unitsBefore: Math.max(0, lastOrder.filter(other => other === unit || isReadyToPlace(other)).indexOf(unit))
    })
  }

  function plan (): void {
    limitsByStep.clear()
    const ready: Unit[] = []
    let isAnySuspect = false
    for (const job of host.getUnfinishedJobs()) {
      for (const unit of getUnits(job)) {
        if (isReadyToPlace(unit)) ready.push(unit)
        isAnySuspect ||= isSuspect(unit)
      }
    }
    reclaim.update()
    if (ready.length === 0) return
    relocationHolds.update(isPlaceUsable, performance.now())
    const freeCapacity: FreeCapacity = new Map([...workers.values()].filter(isUsable).map(worker => [worker, relocationHolds.getFree(worker)]))
    // Units that were moved start on the places that were held for them, before anything else is placed.
    const relocated = new Map(ready.flatMap(unit => {
      const places = relocationHolds.take(unit)
      return places === undefined ? [] : [[unit, places]]
    }))
    poolUse = createPoolUse(freeCapacity)
    rackHolds.update(ready, freeCapacity, poolUse.isMostlyIdle, performance.now())
    const waiting = ready.filter(unit => !relocated.has(unit) && !isHeldBack(unit))
    if (waiting.length === 0 && relocated.size === 0) return
    hasSuspects = isAnySuspect
    const ordered = lastOrder = order(waiting)
    recordDemand(freeCapacity)
    poolRoom = createPoolRoom(freeCapacity, getAttainable)
    usableIds = [...freeCapacity.keys()].map(worker => worker.info.workerId)
    doubtful = new Set([...freeCapacity.keys()].filter(worker => host.isInDoubt?.(worker.info.workerId) === true))
    reservations.clear()
    reservedUnits = 0
    workerUse.clear()
    forgetVictims()
    for (const [unit, places] of relocated) startAttempt(unit, places)
    const blockedSteps = new Set<string>()
    for (const units of groupAlike(ordered)) {
      const stepKey = getStepKey(units[0] as Unit)
      if (!blockedSteps.has(stepKey) && !tryStart(units, freeCapacity)) blockedSteps.add(stepKey)
    }
    for (const unit of waiting) if (reclaim.isUnmetAndNew(unit)) logUnmetClaim(unit)
  }

  function logUnmetClaim (unit: Unit): void {
    logger.info('a claim on a guarantee is due and not met', { ...reclaim.describe(unit), ...describeWait(unit), workersWithVictims: getVictimsByWorker(unit).size, stoppingWorkers: sumStopping().size })
  }

  /** Starts the units, which are alike, in order, until one cannot be started: the others have the same requirements. Returns whether all have started. */
  function tryStart (units: readonly Unit[], freeCapacity: FreeCapacity): boolean {
    const remaining = [...units]
    for (let unit = remaining[0]; unit !== undefined; unit = remaining[0]) {
      const permitted = getPermittedCapacity(unit, freeCapacity)
      if (permitted === undefined) return reportNotPlaced(unit)
      const hasRoom = permitted !== freeCapacity || poolRoom.hasRoom(unit)
      const placed = hasRoom ? startWhereSure(remaining, permitted, freeCapacity) : 0
      remaining.splice(0, placed)
      if (placed > 0) continue
      const spansRacks = rackHolds.isOver(unit, permitted)
      const overdue = (hasRoom || spansRacks) && poolUse.isMostlyIdle(unit.job.service) ? remaining.findIndex(isHoldOver) : -1
      if (overdue >= 0 && tryStartInIdlePool(remaining[overdue] as Unit, permitted, freeCapacity, spansRacks)) remaining.splice(overdue, 1)
      else if (tryPreemptOrReserve(unit, permitted, freeCapacity)) remaining.shift()
      else return reportNotPlaced(unit)
    }
    return true
  }

  function reportNotPlaced (unit: Unit): false {
    host.onNotPlaced?.(unit, usableIds)
    return false
  }

  /** Tells whether the unit has waited for so long, in a pool of which most is idle, that it is no longer held back for other work. */
  function isHoldOver (unit: Unit): boolean {
    return poolUse.isMostlyIdle(unit.job.service) && performance.now() - unit.waitingSinceMs >= maxIdleHoldMs
  }

  /** Tells whether the unit's job progresses while the unit waits. Each task of a service serves its own users, so another one is no substitute. */
  function isJobRunning ({ job, spec }: Unit): boolean {
    return !spec.isService && getUnits(job).some(({ attempts }) => attempts.length > 0)
  }

  /** Starts a unit whose hold is over on workers that it would otherwise leave to others; across racks only if no rack has room. */
  function tryStartInIdlePool (unit: Unit, permitted: FreeCapacity, freeCapacity: FreeCapacity, mayGoAcrossRacks: boolean): boolean {
    const isWithinHeadroom = countPermitted(unit) >= unit.size
    if (!isWithinHeadroom && isJobRunning(unit)) return false
    const placesOnRack = tryPlace(unit, permitted, idlePoolRules)
    const places = placesOnRack ?? (mayGoAcrossRacks ? tryPlace(unit, permitted, { ...idlePoolRules, spansRacks: true }) : undefined)
    if (places === undefined) return false
    logger.info('starting a unit in an idle pool although it is held back', { jobId: unit.job.spec.jobId, step: unit.step, index: unit.index, waitedMs: Math.round(performance.now() - unit.waitingSinceMs), suspicion: unit.suspicion, isWithinHeadroom, spansRacks: placesOnRack === undefined })
    startPlaced(unit, places, permitted, freeCapacity)
    return true
  }

  /** Starts the first of the units, and others like it if they are single tasks, on workers that may be gone only if there is no room elsewhere. Returns how many have started. */
  function startWhereSure (units: readonly Unit[], permitted: FreeCapacity, freeCapacity: FreeCapacity): number {
    const start = units[0]?.size === 1 ? startTasks : startGang
    const sure = doubtful.size === 0 ? permitted : new Map([...permitted].filter(([worker]) => !doubtful.has(worker)))
    const started = start(units, sure, freeCapacity)
    return started > 0 || sure.size === permitted.size ? started : start(units, permitted, freeCapacity)
  }

  /** Starts as many of the tasks as there is room for, and returns their number. */
  function startTasks (units: readonly Unit[], permitted: FreeCapacity, freeCapacity: FreeCapacity): number {
    const [first] = units as [Unit]
    const places = placeTasks(first, Math.min(units.length, countPermitted(first)), permitted, rules)
    places.forEach((worker, index) => { startPlaced(units[index] as Unit, [worker], permitted, freeCapacity) })
    return places.length
  }

  /** Returns 1 if the gang has started, otherwise 0. */
  function startGang (units: readonly Unit[], permitted: FreeCapacity, freeCapacity: FreeCapacity): number {
    const [unit] = units as [Unit]
    const places = countPermitted(unit) < unit.size ? undefined : tryPlace(unit, permitted, rules)
    if (places === undefined) return 0
    startPlaced(unit, places, permitted, freeCapacity)
    return 1
  }

  function startPlaced (unit: Unit, places: readonly WorkerState[], permitted: FreeCapacity, freeCapacity: FreeCapacity): void {
    if (permitted !== freeCapacity) allocateCapacity(freeCapacity, places, unit.spec.request)
    startAttempt(unit, places)
  }

  /** The number of tasks of the unit's step that may start: patient work leaves the headroom of more urgent work free. */
  function countPermitted (unit: Unit): number {
    const { accelerators } = unit.spec.request
    if (accelerators === 0 || !isPatient(unit)) return Infinity
    return Math.max(0, Math.floor((freeAccelerators - headroom.getReserved(getPriority(unit.job, getQueue))) / accelerators))
  }

  /**
   * Tells whether a unit could still meet its objective after being stopped as often as it may be: it leaves capacity to others and preempts nothing.
   * Urgent work is never patient: estimates are too inaccurate to rely on running work to end in time.
   */
  function isPatient (unit: Unit): boolean {
    if (getPriority(unit.job, getQueue) === 0 || isGuaranteed(unit.job)) return false
    const { latestStartMs, expectedMs } = getLimits(unit)
    return latestStartMs - performance.now() > maxPreemptions * expectedMs
  }

  function recordDemand (freeCapacity: FreeCapacity): void {
    freeAccelerators = 0
    for (const { accelerators } of freeCapacity.values()) freeAccelerators += accelerators
    const usedByPriority = new Map<number, number>()
    for (const worker of workers.values()) {
      for (const { attempt: { unit, stopReason } } of getMembers(worker.info.workerId)) {
        if (stopReason !== undefined) continue
        const priority = getPriority(unit.job, getQueue)
        usedByPriority.set(priority, (usedByPriority.get(priority) ?? 0) + unit.spec.request.accelerators)
      }
    }
    headroom.record(usedByPriority, performance.now())
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
      isLate: getLimits(unit).latestStartMs < nowMs,
      acceptedAtMs: job.acceptedAtMs
    }
  }

  function startAttempt (unit: Unit, places: readonly WorkerState[]): void {
    places.forEach(workerUse.forget)
    forgetSearches()
    freeAccelerators -= unit.size * unit.spec.request.accelerators
    poolUse.add(unit.job.service, unit.size, unit.spec.request)
    host.startAttempt(unit, places.map(worker => worker.info.workerId))
  }

  /** The free capacity of the workers that may run the unit; undefined while none is known. */
  function getPermittedCapacity (unit: Unit, freeCapacity: FreeCapacity): FreeCapacity | undefined {
    const permitted = host.getPermittedWorkers(unit, usableIds)
    if (permitted === 'all') return freeCapacity
    return permitted === undefined ? undefined : new Map([...freeCapacity].filter(([worker]) => permitted.has(worker.info.workerId)))
  }

  /** Preempts running work for a unit that does not fit if callers lose less by that than by the unit's wait, or else reserves workers for it. */
  function tryPreemptOrReserve (unit: Unit, permitted: FreeCapacity, freeCapacity: FreeCapacity): boolean {
    if (tryPreemptFor(unit, permitted, freeCapacity)) {
      for (const worker of freeCapacity.keys()) freeCapacity.set(worker, relocationHolds.getFree(worker))
      poolRoom.clear()
      return true
    }
    if (!isSuspect(unit) && reservedUnits < maxReservedUnits) reserve(unit, permitted)
    return false
  }

  /**
   * Keeps workers for the unit. Only the first unit of a pass keeps them from work of its own priority, which otherwise would leave too many
   * workers idle; from work of lower priority, each does, so that a waiting gang is not overtaken by small tasks that fit at once.
   */
  function reserve (unit: Unit, permitted: FreeCapacity): void {
    const key = permitted.size < usableIds.length ? undefined : getPlacementKey(unit)
    if (key !== undefined && unreservable.has(key)) return
    const unreserved = reservations.size === 0 ? permitted : new Map([...permitted].filter(([worker]) => !reservations.has(worker)))
    const reservation = tryReserve(unit, unreserved, { getMembers, nowMs: performance.now(), getAttainable })
    if (reservation === undefined) {
      if (key !== undefined) unreservable.add(key)
      return
    }
    unreservable.clear()
    const priority = getPriority(unit.job, getQueue)
    for (const worker of reservation.workers) reservations.set(worker, { startAtMs: reservation.startAtMs, priority, bindsEqualPriority: reservedUnits === 0 })
    reservedUnits++
  }

  /** Preempts work for the unit if the unit then fits and its wait would cost callers more. Work whose guarantee is due preempts at any cost, and moves guaranteed work if need be. */
  function tryPreemptFor (unit: Unit, permitted: FreeCapacity, freeCapacity: FreeCapacity): boolean {
    const nowMs = performance.now()
    if (isPatient(unit)) return false
    const delayCost = reclaim.isDue(unit) ? Infinity : getDelayCost(unit, getPriority(unit.job, getQueue), getLimits(unit), nowMs, host.costSettings)
    const victims = delayCost > 0 ? getVictimsByWorker(unit) : undefined
    const mayGoAcrossRacks = isBoundToRack(unit) && reclaim.isPressing(unit)
    if (victims === undefined || (victims.size === 0 && !reclaim.isDue(unit))) return false
    const onRack = findPreemption(unit, permitted, victims, delayCost)
    const plan = onRack ?? (mayGoAcrossRacks ? findPreemptionAcrossRacks(unit, permitted, victims, delayCost) : undefined)
    const preemption = plan ?? findRelocation(unit, permitted, freeCapacity, { ...rules, spansRacks: mayGoAcrossRacks })
    if (preemption === undefined) return false
    const { relocations = [] }: Partial<RelocationPlan> = preemption
    logger.info('preempting running work to start a job', {
      jobId: unit.job.spec.jobId,
      victims: preemption.victims.map(attempt => attempt.unit.job.spec.jobId),
      stopCost: preemption.cost,
      delayCost: Number.isFinite(delayCost) ? delayCost : 'guaranteed',
      slackMs: Math.round(getLimits(unit).latestStartMs - nowMs),
      spansRacks: onRack === undefined && mayGoAcrossRacks,
      moved: relocations.map(({ attempt: { unit: { job, step, index }, run }, places }) => ({ jobId: job.spec.jobId, step, index, run, workers: places.map(worker => worker.info.workerId) }))
    })
    startAttempt(unit, preemption.places)
    for (const attempt of preemption.victims) host.preemptAttempt(attempt, `preempted for ${unit.job.spec.jobId}`)
    for (const { attempt, places } of relocations) {
      relocationHolds.add(attempt.unit, places, nowMs)
      host.preemptAttempt(attempt, `moved for ${unit.job.spec.jobId}`)
    }
    forgetVictims()
    return true
  }

  /**
   * A search on all usable workers isn't repeated for a unit with the same requirements that may cost no more, while nothing has started or stopped. With
   * a spread limit the search depends on the unit's own step.
   */
  function findPreemption (unit: Unit, freeCapacity: FreeCapacity, victims: VictimsByWorker, maxLoss: number): PreemptionPlan | undefined {
    const getWorker = (workerId: string): WorkerState | undefined => workers.get(workerId)
    if (freeCapacity.size < usableIds.length) return tryPreempt(unit, getCapacityAfterStops(freeCapacity), victims, rules, getWorker, maxLoss)
    capacityAfterStops ??= getCapacityAfterStops(freeCapacity)
    let searches = searchesByVictims.get(victims)
    if (searches === undefined) searchesByVictims.set(victims, searches = { needs: new Map(), failedLosses: new Map() })
    const key = getPlacementKey(unit)
    if (unit.spec.spreadLimit === undefined && (searches.failedLosses.get(key) ?? -Infinity) >= maxLoss) return undefined
    const { cpuMilli, memoryMb, accelerators } = unit.spec.request
    const needsKey = `${cpuMilli}.${memoryMb}.${accelerators}`
    let needs = searches.needs.get(needsKey)
    if (needs === undefined) searches.needs.set(needsKey, needs = new Map())
    const preemption = tryPreempt(unit, capacityAfterStops, victims, rules, getWorker, maxLoss, needs)
    if (preemption === undefined) searches.failedLosses.set(key, maxLoss)
    return preemption
  }

  /** Moves guaranteed runs for a unit whose guarantee is due, as preemption alone does not make room. */
  function findRelocation (unit: Unit, permitted: FreeCapacity, freeCapacity: FreeCapacity, placementRules: PlacementRules): RelocationPlan | undefined {
    return reclaim.tryMoveOthers(unit, getCostOfStop, () => ({
      permitted: getCapacityAfterStops(permitted),
      freeCapacity: getCapacityAfterStops(freeCapacity),
      preemptible: getPreemptible(unit),
      rules: placementRules,
      getWorker: workerId => workers.get(workerId),
      getMayStart
    }))
  }

  /** Tells of each worker whether a run of the unit that is moved may start there, by the conditions of any other start. */
  function getMayStart (unit: Unit): (worker: WorkerState) => boolean {
    const permitted = host.getPermittedWorkers(unit, usableIds)
    return worker => (permitted === 'all' || permitted?.has(worker.info.workerId) === true) && !isReservedForOther(unit, worker) && !doubtful.has(worker) && !isAvoided(unit, worker)
  }

  function isPlaceUsable (unit: Unit, worker: WorkerState): boolean {
    const { workerId } = worker.info
    if (workers.get(workerId) !== worker || !isUsable(worker) || !isEligible(unit, worker)) return false
    const permitted = host.getPermittedWorkers(unit, [workerId])
    return permitted === 'all' || permitted?.has(workerId) === true
  }

  function findPreemptionAcrossRacks (unit: Unit, freeCapacity: FreeCapacity, victims: VictimsByWorker, maxLoss: number): PreemptionPlan | undefined {
    return tryPreempt(unit, getCapacityAfterStops(freeCapacity), victims, { ...rules, spansRacks: true }, workerId => workers.get(workerId), maxLoss)
  }

  /** Units of one step of an occurrence have the same limits, and a pass needs those of all victims. */
  function getLimits (unit: Unit): StartLimits {
    const key = `${unit.job.spec.jobId}.${unit.occurrence}.${unit.step}`
    let limits = limitsByStep.get(key)
    if (limits === undefined) limitsByStep.set(key, limits = getStartLimits(unit, getQueue(unit.job), host.runTimes))
    return limits
  }

  function getSlackShare (unit: Unit): number {
    const { latestStartMs, expectedMs } = getLimits(unit)
    return (latestStartMs - performance.now()) / Math.max(1, expectedMs)
  }

  function getCostOfStop (attempt: Attempt): number {
    return getStopCost(attempt, getPriority(attempt.unit.job, getQueue), getLimits(attempt.unit), performance.now(), host.costSettings)
  }

  /** Units of the same priority have the same victims. Work that the pass itself has started is not among them. */
  function getVictimsByWorker (unit: Unit): VictimsByWorker {
    const kind = `${getPriority(unit.job, getQueue)}.${String(reclaim.isDue(unit))}`
    let victims = victimsByKind.get(kind)
    if (victims === undefined) victimsByKind.set(kind, victims = indexVictims(getPreemptible(unit)))
    return victims
  }

  function getPreemptible (unit: Unit): readonly Victim[] {
    return getVictims(unit, host.getUnfinishedJobs(), getQueue, isGuaranteed, reclaim.isDue(unit), getCostOfStop)
  }

  function forgetVictims (): void {
    victimsByKind.clear()
    stoppingByWorker = undefined
    forgetSearches()
  }

  function forgetSearches (): void {
    capacityAfterStops = undefined
    searchesByVictims.clear()
    unreservable.clear()
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

  /**
   * Tells whether a unit that was preempted waits before it starts again: longer after each preemption, but only while it could be preempted once more
   * and still meet its objective, and not for long in an idle pool. Load: a burst of urgent gangs, each of which would stop the same small tasks that have just started anew.
   */
  function isHeldBack (unit: Unit): boolean {
    if (unit.preemptedRuns === 0 || !isPatient(unit)) return false
    return performance.now() - unit.waitingSinceMs < restartDelayMs * unit.preemptedRuns && !isHoldOver(unit)
  }

  function isReservedForOther (unit: Unit, worker: WorkerState): boolean {
    return isApartFromWorker(unit, worker) || hasBindingReservation(unit, worker)
  }

  function isApartFromWorker (unit: Unit, worker: WorkerState): boolean {
    return hasSuspects && isKeptApart(unit, getMembers(worker.info.workerId), performance.now())
  }

  function countConflicts (unit: Unit, worker: WorkerState): number {
    return hasSuspects ? countKeptApart(unit, getMembers(worker.info.workerId)) : 0
  }

  function hasBindingReservation (unit: Unit, worker: WorkerState): boolean {
    const reservation = reservations.get(worker)
    if (reservation === undefined) return false
    if (!reservation.bindsEqualPriority && getPriority(unit.job, getQueue) <= reservation.priority) return false
    return performance.now() + unit.spec.estimateMs > reservation.startAtMs
  }
}
