/** Chooses which running work to preempt for a unit. Does no I/O. */
import type { Resources } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Unit } from '../jobs/trackedJob.js'
import { fits, subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { getGroups, releaseCapacity, allocateCapacity } from './placeUnit.js'
import type { PlacementRules, FreeCapacity } from './placeUnit.js'

/** A running attempt that may be preempted, and the work lost if it is, in core-seconds. */
export interface Victim {
  readonly attempt: Attempt
  readonly cost: number
}

/** The victims on each worker, cheapest first, with the number of their members there. */
export type VictimsByWorker = ReadonlyMap<string, readonly { readonly victim: Victim, readonly count: number }[]>

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

/** The victims whose stop makes room for one member on a worker, and the work lost. */
interface WorkerNeed {
  readonly victims: readonly Victim[]
  readonly cost: number
}

/**
 * Finds the cheapest preemption that lets the unit start, of those found for each group of workers; undefined if each would discard
 * more than `maxLoss` core-seconds. Does not modify `freeCapacity`.
 */
export function tryPreempt (
  unit: Unit, freeCapacity: FreeCapacity, victims: VictimsByWorker, rules: PlacementRules, getWorker: (workerId: string) => WorkerState | undefined, maxLoss: number
): PreemptionPlan | undefined {
  let best: PreemptionPlan | undefined
  for (const group of getGroups(unit, freeCapacity)) {
    const plan = tryPreemptInGroup(unit, group, freeCapacity, victims, rules, getWorker, best?.cost ?? maxLoss)
    if (plan !== undefined && plan.cost < (best?.cost ?? Infinity)) best = plan
  }
  return best
}

/** Gives up as soon as the cost exceeds `maxCost`. What a worker needs is computed anew only after a choice has changed it. */
function tryPreemptInGroup (
  unit: Unit, group: readonly WorkerState[], freeCapacity: FreeCapacity, victims: VictimsByWorker, rules: PlacementRules,
  getWorker: (workerId: string) => WorkerState | undefined, maxCost: number
): PreemptionPlan | undefined {
  const { request, spreadLimit = Infinity } = unit.spec
  const places: WorkerState[] = []
  const chosen = new Set<Attempt>()
  const freeInGroup: FreeCapacity = new Map(group.map(worker => [worker, freeCapacity.get(worker) as Resources]))
  const counts = new Map(group.map(worker => [worker, rules.countStepTasks(unit, worker.info.workerId)]))
  const needs = new Map<WorkerState, WorkerNeed | undefined>()
  let cost = 0
  while (places.length < unit.size) {
    let best: WorkerState | undefined
    let bestNeed: WorkerNeed | undefined
    for (const worker of group) {
      if ((counts.get(worker) ?? 0) >= spreadLimit) continue
      const need = getNeed(worker)
      if (need === undefined || need.cost >= (bestNeed?.cost ?? Infinity)) continue
      best = worker
      bestNeed = need
      if (need.cost === 0) break
    }
    if (best === undefined || bestNeed === undefined) return undefined
    cost += bestNeed.cost
    if (cost > maxCost) return undefined
    for (const { attempt } of bestNeed.victims) choose(attempt)
    places.push(best)
    counts.set(best, (counts.get(best) ?? 0) + 1)
    allocateCapacity(freeInGroup, [best], request)
    needs.delete(best)
  }
  return { places, victims: [...chosen], cost }

  function getNeed (worker: WorkerState): WorkerNeed | undefined {
    if (!needs.has(worker)) {
      const needed = getVictimsFor(request, freeInGroup.get(worker) as Resources, victims.get(worker.info.workerId) ?? [], chosen)
      needs.set(worker, needed && { victims: needed, cost: needed.reduce((sum, victim) => sum + victim.cost, 0) })
    }
    return needs.get(worker)
  }

  function choose (attempt: Attempt): void {
    chosen.add(attempt)
    for (const member of attempt.members) {
      const worker = getWorker(member.workerId)
      if (worker === undefined || member.state === MemberState.Ended) continue
      releaseCapacity(freeInGroup, worker, attempt.unit.spec.request)
      needs.delete(worker)
    }
  }
}

/** The cheapest victims on one worker that, once stopped, leave enough free capacity for the request; undefined if there are not enough. */
function getVictimsFor (request: Resources, freeNow: Resources, victimsOnWorker: readonly { readonly victim: Victim, readonly count: number }[], chosen: ReadonlySet<Attempt>): readonly Victim[] | undefined {
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
