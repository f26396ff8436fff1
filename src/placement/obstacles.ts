/** Describes what stands against placing a unit: the room that each rule of placement leaves to it. Does no I/O. */
import type { Unit } from '../jobs/trackedJob.js'
import { countFitting, fits, getFreeCapacity, isUsable } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { canHold, groupByRack, isEligible } from './placeUnit.js'
import type { GetAttainable } from './placeUnit.js'
import { isBoundToRack } from './rackHold.js'

/** A rule that may keep a unit off workers, in the order in which the rules are applied. */
export enum PlacementRule {
  /** A worker needs room for one task, and the workers room for the whole unit. */
  FreeCapacity = 'free-capacity',
  /** The policy of the unit's queue permits only some workers. */
  QueuePolicy = 'queue-policy',
  /** Units under which workers have crashed run apart from others. */
  Isolation = 'isolation',
  /** Workers are reserved for other units. */
  Reservation = 'reservation',
  /** A worker runs only so many tasks of one step. */
  SpreadLimit = 'spread-limit',
  /** The tasks run on one rack, as some rack could hold all of them. */
  OneRack = 'one-rack',
  /** Patient work leaves accelerators to more urgent work. */
  Headroom = 'headroom'
}

/** What one rule takes from a unit, after the rules before it. */
export interface RuleEffect {
  readonly rule: PlacementRule
  /** Workers that the rule excludes. */
  readonly excludedWorkers: number
  /** Tasks of the unit for which the rule and those before it leave room, at most twice the unit's size. */
  readonly tasksWithRoom: number
}

/** What stands against placing a unit. */
export interface PlacementObstacles {
  /** It has been preempted and is not placed again yet. */
  readonly isHeldBack: boolean
  /** The number of tasks that start together. */
  readonly size: number
  /** Usable workers of its job's service with the label that it requires, and the workers that are not usable. */
  readonly usableWorkers: number
  readonly unusableWorkers: number
  /** Usable workers with room for one task of the unit. */
  readonly workersWithRoom: number
  /** Of these, the workers that are reserved for other units, or from which it is kept apart. */
  readonly reservedForOthers: number
  /** Of those with room, the workers that the policy of its queue permits; undefined while none is known. */
  readonly permittedWorkers: number | undefined
  /** Of those with room, the workers that may be gone; they get work that has no room elsewhere. */
  readonly workersInDoubt: number
  /** The accelerators that its priority leaves to more urgent work, if its slack is long. */
  readonly headroomAccelerators: number
  /** Units before it in the order of placement that wait too. */
  readonly unitsBefore: number
  /** The rules that exclude workers or leave too little room, and the first of them that leaves too little; undefined if the unit fits as of now. */
  readonly rules: readonly RuleEffect[]
  readonly decisiveRule: PlacementRule | undefined
  /** For a gang that runs on one rack, the tasks for which each rack has room; only racks with room. */
  readonly tasksWithRoomByRack?: Readonly<Record<string, number>>
}

/** The state of the planner that the description is based on. */
export interface ObstacleHost {
  readonly workers: Iterable<WorkerState>
  readonly getPermittedWorkers: (unit: Unit, workerIds: readonly string[]) => ReadonlySet<string> | 'all' | undefined
  readonly isHeldBack: (unit: Unit) => boolean
  readonly isKeptApart: (unit: Unit, worker: WorkerState) => boolean
  readonly isReserved: (unit: Unit, worker: WorkerState) => boolean
  readonly isInDoubt: (worker: WorkerState) => boolean
  readonly countStepTasks: (unit: Unit, workerId: string) => number
  readonly getAttainable: GetAttainable
  /** The tasks of the unit that may start beside the accelerators that its priority leaves to more urgent work. */
  readonly countWithinHeadroom: (unit: Unit) => number
  readonly headroomAccelerators: number
  readonly unitsBefore: number
}

/** Describes what stands against a unit as of now. */
export function describeObstacles (unit: Unit, host: ObstacleHost): PlacementObstacles {
  const eligible = [...host.workers].filter(worker => isEligible(unit, worker))
  const usable = eligible.filter(isUsable)
  const withRoom = usable.filter(worker => fits(unit.spec.request, getFreeCapacity(worker)))
  const permitted = host.getPermittedWorkers(unit, withRoom.map(worker => worker.info.workerId))
  const rules = getRuleEffects(unit, usable, withRoom, permitted, host)
  return {
    isHeldBack: host.isHeldBack(unit),
    size: unit.size,
    usableWorkers: usable.length,
    unusableWorkers: eligible.length - usable.length,
    workersWithRoom: withRoom.length,
    reservedForOthers: withRoom.filter(worker => host.isKeptApart(unit, worker) || host.isReserved(unit, worker)).length,
    permittedWorkers: permitted === 'all' ? withRoom.length : permitted?.size,
    workersInDoubt: withRoom.filter(host.isInDoubt).length,
    headroomAccelerators: host.headroomAccelerators,
    unitsBefore: host.unitsBefore,
    rules: rules.filter(({ excludedWorkers, tasksWithRoom }) => excludedWorkers > 0 || tasksWithRoom < unit.size),
    decisiveRule: rules.find(({ tasksWithRoom }) => tasksWithRoom < unit.size)?.rule,
    ...(isBoundToRack(unit) ? { tasksWithRoomByRack: countRoomByRack(unit, withRoom) } : {})
  }
}

function getRuleEffects (unit: Unit, usable: readonly WorkerState[], withRoom: readonly WorkerState[], permitted: ReadonlySet<string> | 'all' | undefined, host: ObstacleHost): readonly RuleEffect[] {
  const { spreadLimit = Infinity } = unit.spec
  const limit = 2 * unit.size
  const countTasks = (worker: WorkerState): number => countFitting(unit.spec.request, getFreeCapacity(worker), limit)
  const countSpread = (worker: WorkerState): number => Math.min(countTasks(worker), Math.max(0, spreadLimit - host.countStepTasks(unit, worker.info.workerId)))
  let workers = usable
  const effects: RuleEffect[] = []

  apply(PlacementRule.FreeCapacity, withRoom, countTasks)
  apply(PlacementRule.QueuePolicy, permitted === 'all' ? workers : workers.filter(worker => permitted?.has(worker.info.workerId) === true), countTasks)
  apply(PlacementRule.Isolation, workers.filter(worker => !host.isKeptApart(unit, worker)), countTasks)
  apply(PlacementRule.Reservation, workers.filter(worker => !host.isReserved(unit, worker)), countTasks)
  apply(PlacementRule.SpreadLimit, workers.filter(worker => countSpread(worker) > 0), countSpread)
  if (isBoundToRack(unit)) apply(PlacementRule.OneRack, getRoomiestRack(unit, usable, workers, countSpread, host.getAttainable), countSpread)
  effects.push({ rule: PlacementRule.Headroom, excludedWorkers: 0, tasksWithRoom: Math.max(0, Math.min(host.countWithinHeadroom(unit), effects.at(-1)?.tasksWithRoom ?? limit)) })
  return effects

  function apply (rule: PlacementRule, left: readonly WorkerState[], count: (worker: WorkerState) => number): void {
    effects.push({ rule, excludedWorkers: workers.length - left.length, tasksWithRoom: Math.min(limit, sum(left, count)) })
    workers = left
  }
}

/** The workers on the rack with the most room, of the racks that could hold the gang if only lasting tasks ran there; all workers if none could. */
function getRoomiestRack (unit: Unit, usable: readonly WorkerState[], workers: readonly WorkerState[], count: (worker: WorkerState) => number, getAttainable: GetAttainable): readonly WorkerState[] {
  const racks = [...groupByRack(usable)].filter(([, rack]) => canHold(unit, rack, getAttainable)).map(([name]) => name)
  if (racks.length === 0) return workers
  const groups = racks.map(name => workers.filter(worker => worker.info.rack === name))
  return groups.reduce((best, group) => sum(group, count) > sum(best, count) ? group : best)
}

function countRoomByRack (unit: Unit, withRoom: readonly WorkerState[]): Readonly<Record<string, number>> {
  return Object.fromEntries([...groupByRack(withRoom)].map(([rack, workers]) => [rack, sum(workers, worker => countFitting(unit.spec.request, getFreeCapacity(worker), unit.size))]))
}

function sum (workers: readonly WorkerState[], count: (worker: WorkerState) => number): number {
  return workers.reduce((total, worker) => total + count(worker), 0)
}
