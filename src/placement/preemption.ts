/** Chooses which running work makes room for an urgent unit. Pure decisions. */
import type { Resources } from '../jobs/jobModel.js'
import { MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Unit } from '../jobs/trackedJob.js'
import { fits, subtractResources } from '../workers/workerBook.js'
import type { WorkerBook } from '../workers/workerBook.js'
import { getGroups, giveRoom, takeRooms } from './placeUnit.js'
import type { PlacementRules, Rooms } from './placeUnit.js'

/** Running work that may be stopped, and what stopping it throws away. */
export interface Victim {
  readonly attempt: Attempt
  readonly cost: number
}

/** The victims on one worker, cheapest first, with their members there. */
export type VictimsByWorker = ReadonlyMap<string, readonly { readonly victim: Victim, readonly count: number }[]>

/** Where an urgent unit goes, and what is stopped for it. */
export interface PreemptionPlan {
  readonly places: readonly WorkerBook[]
  readonly victims: readonly Attempt[]
  readonly cost: number
}

/** Sorts victims by worker, so that a search does not go through all of them for each worker. */
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

/** Finds the cheapest way to make room for a unit. Changes no rooms. */
export function tryPreempt (unit: Unit, rooms: Rooms, victims: VictimsByWorker, rules: PlacementRules, getBook: (workerId: string) => WorkerBook | undefined): PreemptionPlan | undefined {
  let best: PreemptionPlan | undefined
  for (const group of getGroups(unit, rooms)) {
    const plan = tryGroup(unit, group, new Map(rooms), victims, rules, getBook)
    if (plan !== undefined && plan.cost < (best?.cost ?? Infinity)) best = plan
  }
  return best
}

function tryGroup (unit: Unit, group: readonly WorkerBook[], rooms: Rooms, victims: VictimsByWorker, rules: PlacementRules, getBook: (workerId: string) => WorkerBook | undefined): PreemptionPlan | undefined {
  const { request, spreadLimit = Infinity } = unit.spec
  const places: WorkerBook[] = []
  const chosen = new Set<Attempt>()
  const counts = new Map(group.map(book => [book, rules.countOnWorker(unit, book.info.workerId)]))
  let cost = 0
  while (places.length < unit.size) {
    let best: { readonly book: WorkerBook, readonly victims: readonly Victim[], readonly cost: number } | undefined
    for (const book of group) {
      if ((counts.get(book) ?? 0) >= spreadLimit) continue
      const needed = getVictimsFor(request, rooms.get(book) as Resources, victims.get(book.info.workerId) ?? [], chosen)
      const neededCost = needed?.reduce((sum, victim) => sum + victim.cost, 0) ?? Infinity
      if (needed !== undefined && neededCost < (best?.cost ?? Infinity)) best = { book, victims: needed, cost: neededCost }
    }
    if (best === undefined) return undefined
    for (const { attempt } of best.victims) {
      chosen.add(attempt)
      giveRoomOf(attempt, rooms, getBook)
    }
    cost += best.cost
    places.push(best.book)
    counts.set(best.book, (counts.get(best.book) ?? 0) + 1)
    takeRooms(rooms, [best.book], request)
  }
  return { places, victims: [...chosen], cost }
}

/** The cheapest victims on one worker whose room, with what is free, fits the request; undefined where none do. */
function getVictimsFor (request: Resources, room: Resources, onWorker: readonly { readonly victim: Victim, readonly count: number }[], chosen: ReadonlySet<Attempt>): readonly Victim[] | undefined {
  const taken: Victim[] = []
  let free = room
  if (fits(request, free)) return taken
  for (const { victim, count } of onWorker) {
    if (chosen.has(victim.attempt)) continue
    free = subtractResources(free, scale(victim.attempt.unit.spec.request, -count))
    taken.push(victim)
    if (fits(request, free)) return taken
  }
  return undefined
}

function giveRoomOf (attempt: Attempt, rooms: Rooms, getBook: (workerId: string) => WorkerBook | undefined): void {
  for (const member of attempt.members) {
    const book = getBook(member.workerId)
    if (book !== undefined && member.state !== MemberState.Ended) giveRoom(rooms, book, attempt.unit.spec.request)
  }
}

function scale (resources: Resources, factor: number): Resources {
  return { cpuMilli: resources.cpuMilli * factor, memoryMb: resources.memoryMb * factor, accelerators: resources.accelerators * factor }
}
