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

/** Finds the cheapest preemption that lets the unit start, of those found for each group of workers. Does not modify `freeCapacity`. */
export function tryPreempt (unit: Unit, freeCapacity: FreeCapacity, victims: VictimsByWorker, rules: PlacementRules, getWorker: (workerId: string) => WorkerState | undefined): PreemptionPlan | undefined {
  let best: PreemptionPlan | undefined
  for (const group of getGroups(unit, freeCapacity)) {
    const plan = tryPreemptInGroup(unit, group, new Map(freeCapacity), victims, rules, getWorker)
    if (plan !== undefined && plan.cost < (best?.cost ?? Infinity)) best = plan
  }
  return best
}

function tryPreemptInGroup (unit: Unit, group: readonly WorkerState[], freeCapacity: FreeCapacity, victims: VictimsByWorker, rules: PlacementRules, getWorker: (workerId: string) => WorkerState | undefined): PreemptionPlan | undefined {
  const { request, spreadLimit = Infinity } = unit.spec
  const places: WorkerState[] = []
  const chosen = new Set<Attempt>()
  const counts = new Map(group.map(worker => [worker, rules.countStepTasks(unit, worker.info.workerId)]))
  let cost = 0
  while (places.length < unit.size) {
    let best: { readonly worker: WorkerState, readonly victims: readonly Victim[], readonly cost: number } | undefined
    for (const worker of group) {
      if ((counts.get(worker) ?? 0) >= spreadLimit) continue
      const needed = getVictimsFor(request, freeCapacity.get(worker) as Resources, victims.get(worker.info.workerId) ?? [], chosen)
      const neededCost = needed?.reduce((sum, victim) => sum + victim.cost, 0) ?? Infinity
      if (needed !== undefined && neededCost < (best?.cost ?? Infinity)) best = { worker, victims: needed, cost: neededCost }
    }
    if (best === undefined) return undefined
    for (const { attempt } of best.victims) {
      chosen.add(attempt)
      releaseAttempt(attempt, freeCapacity, getWorker)
    }
    cost += best.cost
    places.push(best.worker)
    counts.set(best.worker, (counts.get(best.worker) ?? 0) + 1)
    allocateCapacity(freeCapacity, [best.worker], request)
  }
  return { places, victims: [...chosen], cost }
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

function releaseAttempt (attempt: Attempt, freeCapacity: FreeCapacity, getWorker: (workerId: string) => WorkerState | undefined): void {
  for (const member of attempt.members) {
    const worker = getWorker(member.workerId)
    if (worker !== undefined && member.state !== MemberState.Ended) releaseCapacity(freeCapacity, worker, attempt.unit.spec.request)
  }
}

function scale (resources: Resources, factor: number): Resources {
  return { cpuMilli: resources.cpuMilli * factor, memoryMb: resources.memoryMb * factor, accelerators: resources.accelerators * factor }
}
