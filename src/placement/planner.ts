/**
 * Decides what runs where next: in order of priority, each unit that waits gets places, or others make room for it, or
 * workers are kept for it. Plans on the books as they are; no waiting and no messages.
 */
import type { Logger } from '../common/logger.js'
import type { OrganisationSettings, QueueSettings } from '../configuration/configuration.js'
import { getUnits, isWaiting, MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { getFreeRoom, isUsable } from '../workers/workerBook.js'
import type { WorkerBook } from '../workers/workerBook.js'
import { getOrganisationsWithinGuarantee } from './guarantees.js'
import { getLatestStartMs } from './objective.js'
import { takeRooms, tryPlace } from './placeUnit.js'
import type { Occupancy, PlacementRules, Rooms } from './placeUnit.js'
import { indexVictims, tryPreempt } from './preemption.js'
import { tryReserve } from './reservation.js'
import type { RunTimes } from './runTimes.js'
import { compareUnits, getMaxLoss, getVictims } from './unitOrder.js'

/** What the planner needs from outside. */
export interface PlannerHost {
  readonly logger: Logger
  readonly getUnfinishedJobs: () => Iterable<TrackedJob>
  readonly books: ReadonlyMap<string, WorkerBook>
  readonly getMembers: (workerId: string) => ReadonlySet<Member>
  readonly getQueue: (job: TrackedJob) => QueueSettings | undefined
  readonly getOrganisations: () => readonly OrganisationSettings[]
  readonly runTimes: RunTimes
  /** Urgent jobs within their organisation's guarantee begin within this, in ms. */
  readonly reclaimMs: number
  /** The workers that may run the unit by its queue's policy; undefined while that is being asked. */
  readonly getPermittedWorkers: (unit: Unit, workerIds: readonly string[]) => ReadonlySet<string> | 'all' | undefined
  /** Books the places and starts the unit there as soon as there is room. */
  readonly startAttempt: (unit: Unit, workerIds: readonly string[]) => void
  readonly stopAttempt: (attempt: Attempt, reason: string) => void
}

/** The planner of one term. */
export interface Planner {
  /** Places all waiting units that can be placed now. */
  plan (): void
}

/** Work of lower priority is stopped for a unit when so much time is left before its latest start, in ms: a stop takes half a second. */
const preemptionLeadMs = 1_500
/** A guaranteed job that has not begun stops whatever it takes so long before it must have begun, in ms: two stops and their looks. */
const reclaimLeadMs = 1_600
/** A unit whose latest start has passed by so much stops no other work, in ms: it is late already. */
const latePreemptionMs = 3_000

/** Creates the planner of one term. */
export function createPlanner (host: PlannerHost): Planner {
  const { logger, books, getMembers, getQueue } = host
  /** Workers that are kept for a blocked gang, with the time at which it is expected to start. */
  const keptUntilMs = new Map<WorkerBook, number>()
  /** Accelerators in use by queue on each worker, counted once a plan. */
  let usage = new Map<WorkerBook, Map<string, number>>()
  /** Organisations that ask for no more than their guarantee, found once a plan. */
  let withinGuarantee: ReadonlySet<string> = new Set()
  const rules: PlacementRules = { countOnWorker, getOccupancy, isKeptFromUnit }

  return { plan }

  function plan (): void {
    const waiting = [...host.getUnfinishedJobs()].flatMap(getUnits).filter(isWaiting)
    if (waiting.length === 0) return
    withinGuarantee = getOrganisationsWithinGuarantee(host.getUnfinishedJobs(), host.getOrganisations(), getQueue)
    waiting.sort((left, right) => compareUnits(left, right, getQueue, isGuaranteed))
    const rooms: Rooms = new Map([...books.values()].filter(isUsable).map(book => [book, getFreeRoom(book)]))
    keptUntilMs.clear()
    usage = new Map()
    // The tasks of one step are alike: where one finds no room, the others need not be tried.
    const blocked = new Set<string>()
    for (const unit of waiting) {
      const likeness = `${unit.job.spec.jobId}.${unit.occurrence}.${unit.step}`
      if (!blocked.has(likeness) && !tryStart(unit, rooms)) blocked.add(likeness)
    }
  }

  function tryStart (unit: Unit, rooms: Rooms): boolean {
    const permitted = getPermittedRooms(unit, rooms)
    if (permitted === undefined) return false
    const places = tryPlace(unit, permitted, rules)
    if (places === undefined) return tryMakeRoom(unit, permitted, rooms)
    if (permitted !== rooms) takeRooms(rooms, places, unit.spec.request)
    startAttempt(unit, places)
    return true
  }

  function startAttempt (unit: Unit, places: readonly WorkerBook[]): void {
    for (const book of places) usage.delete(book)
    host.startAttempt(unit, places.map(book => book.info.workerId))
  }

  /** The rooms of the workers that may run the unit; undefined while the advice service is being asked. */
  function getPermittedRooms (unit: Unit, rooms: Rooms): Rooms | undefined {
    const permitted = host.getPermittedWorkers(unit, [...rooms.keys()].map(book => book.info.workerId))
    if (permitted === 'all') return rooms
    return permitted === undefined ? undefined : new Map([...rooms].filter(([book]) => permitted.has(book.info.workerId)))
  }

  /**
   * The urgent queue stops other work at once: estimates are too far off to wait for ends that may not come in time. Where its
   * guarantee is due, it stops whatever is not guaranteed, at any cost. Others wait for work that ends in time, and stop some only when their latest start is near.
   */
  function tryMakeRoom (unit: Unit, permitted: Rooms, rooms: Rooms): boolean {
    const slackMs = getLatestStartMs(unit, getQueue(unit.job), host.runTimes) - Date.now()
    const isUrgent = getQueue(unit.job)?.priority === 0
    const isDue = slackMs > -latePreemptionMs && (isUrgent || slackMs < preemptionLeadMs)
    if ((isDue || isReclaimDue(unit)) && tryPreemptFor(unit, permitted, isUrgent)) {
      for (const book of rooms.keys()) rooms.set(book, getFreeRoom(book))
      return true
    }
    // More than one gang at a time would leave too much idle.
    if (keptUntilMs.size > 0) return false
    const reservation = tryReserve(unit, permitted, { getMembers, nowMs: performance.now() })
    reservation?.workers.forEach(book => keptUntilMs.set(book, reservation.startAtMs))
    return false
  }

  /** Stops work of lower priority if that makes room for the unit and does not throw away more than the unit is worth. */
  function tryPreemptFor (unit: Unit, rooms: Rooms, isUrgent: boolean): boolean {
    const victims = getVictims(unit, host.getUnfinishedJobs(), getQueue, isGuaranteed, isReclaimDue(unit))
    if (victims.length === 0) return false
    const found = tryPreempt(unit, getRoomsAfterStops(rooms), indexVictims(victims), rules, workerId => books.get(workerId))
    const maxLoss = isReclaimDue(unit) ? Infinity : getMaxLoss(unit, host.runTimes.getExpectedMs(unit.job.spec.queue, unit.spec), isUrgent)
    if (found === undefined || found.cost > maxLoss) return false
    logger.info('room is made', { jobId: unit.job.spec.jobId, victims: found.victims.map(attempt => attempt.unit.job.spec.jobId), cost: Math.round(found.cost), maxLoss: Number.isFinite(maxLoss) ? Math.round(maxLoss) : 'guaranteed' })
    startAttempt(unit, found.places)
    for (const attempt of found.victims) host.stopAttempt(attempt, `room for ${unit.job.spec.jobId}`)
    return true
  }

  /** The rooms as they will be when everything that is being stopped has ended. */
  function getRoomsAfterStops (rooms: Rooms): Rooms {
    const later: Rooms = new Map(rooms)
    for (const [book, room] of later) {
      let { cpuMilli, memoryMb, accelerators } = room
      for (const member of getMembers(book.info.workerId)) {
        if (member.attempt.stopReason === undefined || member.state === MemberState.Ended) continue
        const { request } = member.attempt.unit.spec
        cpuMilli += request.cpuMilli
        memoryMb += request.memoryMb
        accelerators += request.accelerators
      }
      later.set(book, { cpuMilli, memoryMb, accelerators })
    }
    return later
  }

  function isGuaranteed (job: TrackedJob): boolean {
    return getQueue(job)?.priority === 0 && withinGuarantee.has(job.spec.organisation)
  }

  /** Tells whether a guaranteed job has waited so long that its start cannot be left to chance. */
  function isReclaimDue ({ job }: Unit): boolean {
    return isGuaranteed(job) && Date.now() - job.spec.acceptedAtMs > host.reclaimMs - reclaimLeadMs
  }

  function isKeptFromUnit (unit: Unit, book: WorkerBook): boolean {
    const untilMs = keptUntilMs.get(book)
    return untilMs !== undefined && performance.now() + unit.spec.estimateMs > untilMs
  }

  function countOnWorker (unit: Unit, workerId: string): number {
    if (unit.spec.spreadLimit === undefined) return 0
    let count = 0
    for (const member of getMembers(workerId)) {
      const other = member.attempt.unit
      if (other.job === unit.job && other.occurrence === unit.occurrence && other.step === unit.step) count++
    }
    return count
  }

  function getOccupancy (unit: Unit, book: WorkerBook): Occupancy {
    let same = 0
    let other = 0
    for (const [queue, accelerators] of getUsage(book)) {
      if (queue === unit.job.spec.queue) same += accelerators
      else other += accelerators
    }
    return { same, other }
  }

  function getUsage (book: WorkerBook): Map<string, number> {
    let byQueue = usage.get(book)
    if (byQueue !== undefined) return byQueue
    usage.set(book, byQueue = new Map())
    for (const { attempt: { unit } } of getMembers(book.info.workerId)) {
      const { queue } = unit.job.spec
      byQueue.set(queue, (byQueue.get(queue) ?? 0) + unit.spec.request.accelerators)
    }
    return byQueue
  }
}
