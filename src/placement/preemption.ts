/** Chooses which running work to preempt for a unit. Does no I/O. */
import type { Resources } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Unit } from '../jobs/trackedJob.js'
import { addResources, fits, subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { getGroups } from './placeUnit.js'
import type { PlacementRules, FreeCapacity } from './placeUnit.js'

/** A running attempt that may be preempted, and the work lost if it is, in core-seconds. */
export interface Victim {
  readonly attempt: Attempt
  readonly cost: number
}

/** A victim, with the number of its members on one worker. */
export interface VictimOnWorker {
  readonly victim: Victim
  readonly count: number
}

/** The victims on each worker, in the order in which they are stopped. */
export type VictimsByWorker = ReadonlyMap<string, readonly VictimOnWorker[]>

/** The workers on which a unit starts, and the attempts to stop for it. */
export interface PreemptionPlan {
  readonly places: readonly WorkerState[]
  readonly victims: readonly Attempt[]
  readonly cost: number
}

/** Groups victims by worker, so that the search does not scan all of them for each worker. Keeps their order. */
export function indexVictims (victims: readonly Victim[]): VictimsByWorker {
  const index = new Map<string, { readonly victim: Victim, count: number }[]>()
  for (const victim of victims) {
    for (const { workerId, state } of victim.attempt.members) {
      if (state === MemberState.Ended) continue
      const entries = index.get(workerId)
      const last = entries?.at(-1)
      if (entries === undefined) index.set(workerId, [{ victim, count: 1 }])
      else if (last?.victim === victim) last.count++
      else entries.push({ victim, count: 1 })
    }
  }
  return index
}

/** The victims whose stop makes room for one member on a worker, and the work lost; infinite if no stop makes room. */
export interface WorkerNeed {
  readonly victims: readonly Victim[]
  readonly cost: number
}

/** What each worker needs before anything is chosen, by worker: the same for all units with the same request and victims, while the free capacity is the same. */
export type FirstNeeds = Map<WorkerState, WorkerNeed>

const impossible: WorkerNeed = { victims: [], cost: Infinity }

/**
 * Finds the cheapest preemption that lets the unit start, of those found for each group of workers; undefined if each would discard
 * more than `maxLoss` core-seconds. Does not modify `freeCapacity`; adds to `firstNeeds` what it has computed.
 */
export function tryPreempt (
  unit: Unit, freeCapacity: FreeCapacity, victims: Pick<VictimsByWorker, 'get'>, rules: PlacementRules, getWorker: (workerId: string) => WorkerState | undefined, maxLoss: number, firstNeeds: FirstNeeds = new Map()
): PreemptionPlan | undefined {
  let best: PreemptionPlan | undefined
  for (const group of getGroups(unit, freeCapacity, rules)) {
    const plan = tryPreemptInGroup(unit, group, freeCapacity, victims, rules, getWorker, best?.cost ?? maxLoss, firstNeeds)
    if (plan !== undefined && plan.cost < (best?.cost ?? Infinity)) best = plan
  }
  return best
}

/** Gives up as soon as the cost exceeds `maxCost`. What a worker needs is computed anew only after a choice has changed it. */
function tryPreemptInGroup (
  unit: Unit, group: readonly WorkerState[], freeCapacity: FreeCapacity, victims: Pick<VictimsByWorker, 'get'>, rules: PlacementRules,
  getWorker: (workerId: string) => WorkerState | undefined, maxCost: number, firstNeeds: FirstNeeds
): PreemptionPlan | undefined {
  const { request, spreadLimit = Infinity } = unit.spec
  const places: WorkerState[] = []
  const chosen = new Set<Attempt>()
  /** The workers whose capacity a choice has changed. */
  const changed: FreeCapacity = new Map()
  /** By position in the group; undefined after a choice has changed it. */
  const needs: (WorkerNeed | undefined)[] = group.map(getFirstNeed)
  const counts = group.map(worker => spreadLimit === Infinity ? 0 : rules.countStepTasks(unit, worker.info.workerId))
  let positions: ReadonlyMap<WorkerState, number> | undefined
  let cost = 0
  while (places.length < unit.size) {
    let best = -1
    let bestCost = Infinity
    for (let position = 0; position < needs.length && bestCost !== 0; position++) {
      if ((counts[position] as number) >= spreadLimit) continue
      const need = needs[position] ??= computeNeed(group[position] as WorkerState)
      if (need.cost >= bestCost) continue
      best = position
      bestCost = need.cost
    }
    if (best < 0) return undefined
    cost += bestCost
    if (cost > maxCost) return undefined
    const worker = group[best] as WorkerState
    for (const { attempt } of (needs[best] as WorkerNeed).victims) choose(attempt)
    places.push(worker)
    counts[best] = (counts[best] as number) + 1
    changed.set(worker, subtractResources(getFree(worker), request))
    needs[best] = undefined
  }
  return { places, victims: [...chosen], cost }

  function getFree (worker: WorkerState): Resources {
    return changed.get(worker) ?? freeCapacity.get(worker) as Resources
  }

  function getFirstNeed (worker: WorkerState): WorkerNeed {
    let need = firstNeeds.get(worker)
    if (need === undefined) firstNeeds.set(worker, need = computeNeed(worker))
    return need
  }

  function computeNeed (worker: WorkerState): WorkerNeed {
    const needed = getVictimsFor(request, getFree(worker), victims.get(worker.info.workerId) ?? [], chosen)
    return needed === undefined ? impossible : { victims: needed, cost: needed.reduce((sum, victim) => sum + victim.cost, 0) }
  }

  function choose (attempt: Attempt): void {
    chosen.add(attempt)
    positions ??= new Map(group.map((worker, position) => [worker, position]))
    for (const member of attempt.members) {
      const worker = getWorker(member.workerId)
      const position = worker && positions.get(worker)
      if (worker === undefined || position === undefined || member.state === MemberState.Ended) continue
      changed.set(worker, addResources(getFree(worker), attempt.unit.spec.request))
      needs[position] = undefined
    }
  }
}

/** The cheapest victims on one worker that, once stopped, leave enough free capacity for the request; undefined if there are not enough. */
function getVictimsFor (request: Resources, freeNow: Resources, victimsOnWorker: readonly VictimOnWorker[], chosen: ReadonlySet<Attempt>): readonly Victim[] | undefined {
  const needed: Victim[] = []
  let free = freeNow
  if (fits(request, free)) return needed
  for (const { victim, count } of victimsOnWorker) {
    if (chosen.has(victim.attempt)) continue
    free = subtractResources(free, scale(victim.attempt.unit.spec.request, -count))
    needed.push(victim)
    if (fits(request, free)) return needed
  }
  return undefined
}

function scale (resources: Resources, factor: number): Resources {
  return { cpuMilli: resources.cpuMilli * factor, memoryMb: resources.memoryMb * factor, accelerators: resources.accelerators * factor }
}
