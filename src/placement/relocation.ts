/**
 * Finds room for a unit whose guarantee is due by moving guaranteed runs to other workers. Load: small guaranteed tasks on every worker, each beside work that may be
 * preempted, so that no worker can be emptied by preemption alone. Does no I/O.
 */
import type { Attempt, Unit } from '../jobs/trackedJob.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Resources } from '../jobs/jobModel.js'
import { addResources, fits, subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { getCoreEquivalent } from './delayCost.js'
import type { FreeCapacity, PlacementRules } from './placeUnit.js'
import { indexVictims, tryPreempt } from './preemption.js'
import type { PreemptionPlan, Victim, VictimsByWorker } from './preemption.js'

/** A running attempt that is stopped, and the workers on which its unit starts again. */
export interface Relocation {
  readonly attempt: Attempt
  readonly places: readonly WorkerState[]
}

/** A preemption that moves other runs. `victims` are the attempts that are stopped without a new place; `cost` includes all stops. */
export interface RelocationPlan extends PreemptionPlan {
  readonly relocations: readonly Relocation[]
}

/** The state on which a search works. */
export interface RelocationSearch {
  /** The workers on which the unit may start, with their free capacity after everything that is being stopped has ended. */
  readonly permitted: FreeCapacity
  /** The same for all usable workers. */
  readonly freeCapacity: FreeCapacity
  /** Attempts that may be stopped, and attempts that may be moved; cheapest first. */
  readonly preemptible: readonly Victim[]
  readonly movable: readonly Victim[]
  readonly rules: PlacementRules
  readonly getWorker: (workerId: string) => WorkerState | undefined
  /** Tells whether a unit that is moved may start on a worker. */
  readonly getMayStart: (unit: Unit) => (worker: WorkerState) => boolean
}

/** What a search has found, and how far it has got without a plan. */
export interface RelocationResult {
  readonly plan?: RelocationPlan
  readonly movableRuns: number
  /** How often room for the unit was found by moving others. */
  readonly candidates: number
  /** The last unit for which there was no other place. */
  readonly unplaced?: Unit
}

/** The most candidates that are examined for one unit, and the most plans that are compared: each costs about as much as a search for a preemption. */
const maxCandidates = 8
const maxPlans = 3

/**
 * Finds the cheapest of several plans that let the unit start. Each plan is complete: every run that is moved has a new place, and the stops that make room there are part of
 * the plan. No run is moved to make room for one that is moved.
 */
export function tryRelocate (unit: Unit, search: RelocationSearch): RelocationResult {
  const { permitted, preemptible, movable, rules, getWorker } = search
  const movableAttempts = new Set(movable.map(({ attempt }) => attempt))
  // Preemptible work comes first, so that a run is moved only where that does not suffice.
  const victims = indexVictims([...preemptible, ...movable])
  const preemptibleOnly = indexVictims(preemptible)
  const excluded = new Set<Attempt>()
  let plan: RelocationPlan | undefined
  let unplaced: Unit | undefined
  let candidates = 0
  let plans = 0
  while (candidates < maxCandidates && plans < maxPlans) {
    const candidate = tryPreempt(unit, permitted, without(victims, excluded), rules, getWorker, plan?.cost ?? Infinity)
    if (candidate === undefined) break
    candidates++
    const stopped = selectNeeded(unit, candidate, search)
    const moved = stopped.filter(({ attempt }) => movableAttempts.has(attempt))
    const result = placeMoved(unit, candidate.places, stopped, moved, preemptibleOnly, search)
    if (result.unplaced === undefined) {
      plans++
      if (result.plan.cost < (plan?.cost ?? Infinity)) plan = result.plan
      if (moved.length === 0) break
      // Without these, the next candidate moves other runs.
      moved.forEach(({ attempt }) => excluded.add(attempt))
    } else {
      unplaced = result.unplaced.unit
      excluded.add(result.unplaced)
    }
  }
  return { ...(plan === undefined ? {} : { plan }), movableRuns: movable.length, candidates, ...(unplaced === undefined ? {} : { unplaced }) }
}

/** Leaves out the victims of a candidate without which the unit fits all the same, the most expensive first. */
function selectNeeded (unit: Unit, { places, victims }: PreemptionPlan, search: RelocationSearch): readonly Victim[] {
  const stopped = new Set(victims)
  const needed = [...search.preemptible, ...search.movable].filter(({ attempt }) => stopped.has(attempt)).sort((left, right) => right.cost - left.cost)
  const room = createRoom(search.permitted, search)
  for (const attempt of victims) room.release(attempt)
  room.allocate(places, unit.spec.request)
  for (const victim of [...needed]) {
    room.allocate(room.getWorkers(victim.attempt), victim.attempt.unit.spec.request)
    if (places.every(worker => fits(noResources, room.get(worker)))) needed.splice(needed.indexOf(victim), 1)
    else room.release(victim.attempt)
  }
  return needed
}

type MovedPlacement =
  | { readonly plan: RelocationPlan, readonly unplaced?: undefined }
  | { readonly unplaced: Attempt }

/** Finds new places for the moved runs, the largest first. */
function placeMoved (unit: Unit, places: readonly WorkerState[], stopped: readonly Victim[], moved: readonly Victim[], preemptible: VictimsByWorker, search: RelocationSearch): MovedPlacement {
  const room = createRoom(search.freeCapacity, search)
  for (const { attempt } of stopped) room.release(attempt)
  room.allocate(places, unit.spec.request)
  const unavailable = new Set(stopped.map(({ attempt }) => attempt))
  const preempted = stopped.filter(victim => !moved.includes(victim)).map(({ attempt }) => attempt)
  const relocations: Relocation[] = []
  let cost = stopped.reduce((sum, victim) => sum + victim.cost, 0)
  for (const { attempt } of [...moved].sort((left, right) => getSize(right.attempt.unit) - getSize(left.attempt.unit))) {
    const mayStart = search.getMayStart(attempt.unit)
    const candidates: FreeCapacity = new Map([...search.freeCapacity.keys()].filter(mayStart).map(worker => [worker, room.get(worker)]))
    const placement = tryPreempt(attempt.unit, candidates, without(preemptible, unavailable), { ...search.rules, spansRacks: false }, search.getWorker, Infinity)
    if (placement === undefined) return { unplaced: attempt }
    for (const victim of placement.victims) {
      room.release(victim)
      unavailable.add(victim)
      preempted.push(victim)
    }
    room.allocate(placement.places, attempt.unit.spec.request)
    relocations.push({ attempt, places: placement.places })
    cost += placement.cost
  }
  return { plan: { places, victims: preempted, cost, relocations } }
}

function without (victims: VictimsByWorker, excluded: ReadonlySet<Attempt>): Pick<VictimsByWorker, 'get'> {
  const changedWorkers = new Set([...excluded].flatMap(({ members }) => members.map(({ workerId }) => workerId)))
  return { get: workerId => changedWorkers.has(workerId) ? victims.get(workerId)?.filter(({ victim }) => !excluded.has(victim.attempt)) : victims.get(workerId) }
}

/** The free capacity of workers, with changes that do not modify the original. */
interface Room {
  get (worker: WorkerState): Resources
  allocate (places: readonly WorkerState[], request: Resources): void
  /** Adds what the attempt uses. */
  release (attempt: Attempt): void
  /** The workers of the attempt's members that have not ended, one for each of them. */
  getWorkers (attempt: Attempt): readonly WorkerState[]
}

const noResources: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

function createRoom (freeCapacity: FreeCapacity, { getWorker }: Pick<RelocationSearch, 'getWorker'>): Room {
  const changed: FreeCapacity = new Map()
  return { get, allocate, release, getWorkers }

  function get (worker: WorkerState): Resources {
    return changed.get(worker) ?? freeCapacity.get(worker) ?? noResources
  }

  function allocate (places: readonly WorkerState[], request: Resources): void {
    for (const worker of places) changed.set(worker, subtractResources(get(worker), request))
  }

  function release (attempt: Attempt): void {
    for (const worker of getWorkers(attempt)) changed.set(worker, addResources(get(worker), attempt.unit.spec.request))
  }

  function getWorkers ({ members }: Attempt): readonly WorkerState[] {
    return members.filter(({ state }) => state !== MemberState.Ended).flatMap(({ workerId }) => getWorker(workerId) ?? [])
  }
}

function getSize ({ size, spec: { request } }: Unit): number {
  return size * getCoreEquivalent(request)
}
