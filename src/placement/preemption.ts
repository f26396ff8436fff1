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

/** Where an urgent unit goes, and what is stopped for it. */
export interface PreemptionPlan {
  readonly places: readonly WorkerBook[]
  readonly victims: readonly Attempt[]
  readonly cost: number
}

/** Finds the cheapest way to make room for a unit. Changes no rooms. */
export function tryPreempt (unit: Unit, rooms: Rooms, victims: readonly Victim[], rules: PlacementRules, getBook: (workerId: string) => WorkerBook | undefined): PreemptionPlan | undefined {
  let best: PreemptionPlan | undefined
  for (const group of getGroups(unit, rooms)) {
    const plan = tryGroup(unit, group, new Map(rooms), victims, rules, getBook)
    if (plan !== undefined && plan.cost < (best?.cost ?? Infinity)) best = plan
  }
  return best
}

function tryGroup (unit: Unit, group: readonly WorkerBook[], rooms: Rooms, victims: readonly Victim[], rules: PlacementRules, getBook: (workerId: string) => WorkerBook | undefined): PreemptionPlan | undefined {
  const { request, spreadLimit = Infinity } = unit.spec
  const places: WorkerBook[] = []
  const chosen = new Set<Attempt>()
  const counts = new Map(group.map(book => [book, rules.countOnWorker(unit, book.info.workerId)]))
  let cost = 0
  while (places.length < unit.size) {
    let best: { readonly book: WorkerBook, readonly victims: readonly Victim[], readonly cost: number } | undefined
    for (const book of group) {
      if ((counts.get(book) ?? 0) >= spreadLimit) continue
      const needed = getVictimsFor(book, request, rooms.get(book) as Resources, victims, chosen)
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
function getVictimsFor (book: WorkerBook, request: Resources, room: Resources, victims: readonly Victim[], chosen: ReadonlySet<Attempt>): readonly Victim[] | undefined {
  const taken: Victim[] = []
  let free = room
  if (fits(request, free)) return taken
  for (const victim of victims) {
    if (chosen.has(victim.attempt)) continue
    const count = countMembers(victim.attempt, book)
    if (count === 0) continue
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

function countMembers (attempt: Attempt, book: WorkerBook): number {
  return attempt.members.filter(member => member.workerId === book.info.workerId && member.state !== MemberState.Ended).length
}

function scale (resources: Resources, factor: number): Resources {
  return { cpuMilli: resources.cpuMilli * factor, memoryMb: resources.memoryMb * factor, accelerators: resources.accelerators * factor }
}
