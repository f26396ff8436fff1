/** Schedules all jobs while its host holds the term: follows workers, plans, preempts. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { EndKind, JobState } from '../jobs/jobModel.js'
import type { Configuration, QueueSettings } from '../configuration/configuration.js'
import { getUnits, hasBegun, getTaskName, isWaiting, MemberState } from '../jobs/trackedJob.js'
import type { Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { getLatestStartMs } from '../placement/objective.js'
import { takeRooms, tryPlace } from '../placement/placeUnit.js'
import type { Occupancy, PlacementRules, Rooms } from '../placement/placeUnit.js'
import { tryPreempt } from '../placement/preemption.js'
import { tryReserve } from '../placement/reservation.js'
import { createRunTimes } from '../placement/runTimes.js'
import { compareUnits, getVictims } from '../placement/unitOrder.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { createWorkerBook, getFreeRoom, isUsable } from '../workers/workerBook.js'
import type { WorkerBook } from '../workers/workerBook.js'
import { createWorkerHealth } from '../workers/workerHealth.js'
import type { ListedWorker, WorkerPort } from '../workers/workerPort.js'
import { createAdviceBook } from './adviceBook.js'
import type { AdvicePort } from './adviceBook.js'
import { createFillPacing } from './fillPacing.js'
import { countPending, createJobTable } from './jobTable.js'
import { createProgressWriter } from './progressWriter.js'
import { createRunControl } from './runControl.js'
import { createWorkerLink } from './workerLink.js'
import type { WorkerLink } from './workerLink.js'

/** The figures of the deployment that the scheduler keeps to. */
export interface SchedulerBounds {
  /** The longest lease that a worker grants, in ms. */
  readonly maxLeaseMs: number
  /** How long the state of an ended job can be read, in ms. */
  readonly retentionMs: number
  /** Jobs of priority 0 within their guarantee begin within this, in ms. */
  readonly reclaimMs: number
  /** A lasting task counts as away until it has been at work for so long, in ms. */
  readonly noticeMs: number
}

/** What the scheduler needs from outside. */
export interface SchedulerHost {
  readonly term: Term
  readonly store: MetadataStore
  readonly logger: Logger
  readonly bounds: SchedulerBounds
  /** The platform's list of workers; undefined until it has been read. */
  readonly getWorkers: () => readonly ListedWorker[] | undefined
  readonly connect: (info: ListedWorker) => WorkerPort
  readonly getConfiguration: () => Configuration | undefined
  /** The advice service, where there is one. */
  readonly advice?: AdvicePort
}

/** The scheduler of one term. */
export interface Scheduler {
  /** The list of workers or the configuration has changed. */
  refresh (): void
  /** Takes no new work on a worker and stops what may be moved; true when nothing runs there. */
  tryEmpty (workerId: string, isUrgent: boolean): boolean
  /** The worker may be used again. */
  giveBack (workerId: string): void
}

/** The plan is looked at this often even when nothing happened, in ms; waits and occurrences are counted in it. */
const tickMs = 100
/** Work of lower priority is stopped for a unit when so much time is left before its latest start, in ms: a stop takes half a second. */
const preemptionLeadMs = 1_500
/** A unit whose latest start has passed by so much stops no other work, in ms: it is late already. */
const latePreemptionMs = 3_000
/** A scheduler that reaches fewer than two in five workers for `unreachedLimitMs` gives up its term. */
const maxUnreachedShare = 0.6
/** Longer than the time in which a restarted pool answers again, in ms. */
const unreachedLimitMs = 2_500
/** It does not stand again for so long, in ms: others have been elected by then. */
const asideMs = 4_000
/** Planning starts when so much time has passed since the term's start, in ms, also if some workers have not answered. */
const settleLimitMs = 700

/** Starts to schedule; everything ends with the term. */
export function createScheduler (host: SchedulerHost): Scheduler {
  const { term, logger } = host
  const books = new Map<string, WorkerBook>()
  const links = new Map<string, WorkerLink>()
  // Queues that have been taken away keep their last settings for the jobs that they have accepted.
  const lastQueues = new Map<string, QueueSettings>()
  const startedAtMs = performance.now()
  let isTakenOver = false
  let isLoaded = false
  let isPlanDue = false
  let unreachedSinceMs: number | undefined

  const writer = createProgressWriter({
    store: host.store,
    term,
    logger,
    onCancelFound: job => {
      job.isCancelRequested = true
      job.state = JobState.Cancelled
    },
    takePendingCounts: () => isLoaded ? JSON.stringify(countPending(table.getAll(), hasBegun)) : undefined
  })
  const table = createJobTable({
    store: host.store,
    term,
    logger,
    retentionMs: host.bounds.retentionMs,
    onJobAdded: () => {
      writer.touch()
      schedulePlan()
    },
    onCancel: job => { control.cancelJob(job) },
    onDue: schedulePlan
  })
  const control = createRunControl({
    term,
    logger,
    getJob: table.get,
    getBook: workerId => books.get(workerId),
    getLink: workerId => links.get(workerId),
    getAttemptLimit: job => getQueue(job)?.attempts ?? job.spec.attemptLimit,
    getTicket: member => advice?.getTicket(member.attempt.unit, member.workerId),
    onBadTicket: member => { advice?.forget(member.attempt.unit, member.workerId) },
    commit: writer.commit,
    onChanged: schedulePlan,
    onMemberEnded: (member, how) => {
      if (how === 'lost' || how === 'not-started') return
      health.onEnd(member, how, performance.now())
      if (how === EndKind.Done) learnRunTime(member)
    },
    onRefusal: workerId => { health.onRefusal(workerId, performance.now()) }
  })
  /** Workers that are kept for a blocked gang, with the time at which it is expected to start. */
  const keptUntilMs = new Map<WorkerBook, number>()
  const advice = host.advice === undefined ? undefined : createAdviceBook({ port: host.advice, term, logger, onChanged: schedulePlan })
  const adjustPace = createFillPacing({ logger, sendPace })
  const runTimes = createRunTimes()
  const health = createWorkerHealth({ logger, countWorkers: () => books.size, getMeanRunMs: runTimes.getMeanMs })
  const rules: PlacementRules = { countOnWorker, getOccupancy, isKeptFromUnit }
  void start()
  return { refresh, tryEmpty, giveBack }

  async function start (): Promise<void> {
    await table.load()
    // Without the configuration a queue's attempts are not known, and one failure would end its jobs.
    while ((host.getWorkers() === undefined || host.getConfiguration() === undefined) && !term.signal.aborted) await delay(20)
    if (term.signal.aborted) return
    // No worker is looked at before the stored attempts are known: its ends would be taken for strangers' ends.
    isTakenOver = true
    refresh()
    for (const job of table.getAll()) addUnlistedWorkers(job)
    for (const job of table.getAll()) control.adopt(job)
    while (!term.signal.aborted && performance.now() - startedAtMs < settleLimitMs && !areWorkersSettled()) await delay(20)
    isLoaded = true
    logger.info('the scheduler has taken over', { epoch: term.epoch, tookMs: Math.round(performance.now() - startedAtMs), workers: books.size, jobs: [...table.getAll()].length })
    writer.touch()
    while (!term.signal.aborted) {
      table.addDue(Date.now())
      checkReach()
      schedulePlan()
      await delay(tickMs, term.signal)
    }
    for (const link of links.values()) link.close()
  }

  function areWorkersSettled (): boolean {
    return [...links.values()].every(link => link.isSettled())
  }

  /** A host that is cut off from most workers leaves them to one that may reach them. */
  function checkReach (): void {
    const listed = [...books.values()].filter(book => book.isListed)
    const unreached = listed.filter(book => !book.isReachable).length
    if (listed.length === 0 || unreached <= listed.length * maxUnreachedShare) unreachedSinceMs = undefined
    else unreachedSinceMs ??= performance.now()
    if (unreachedSinceMs === undefined || performance.now() - unreachedSinceMs < unreachedLimitMs) return
    term.resign(`${unreached} of ${listed.length} workers cannot be reached`, asideMs)
  }

  // Workers

  function refresh (): void {
    const listed = host.getWorkers()
    if (listed === undefined || !isTakenOver || term.signal.aborted) return
    const listedIds = new Set(listed.map(info => info.workerId))
    for (const info of listed) addOrUpdate(info)
    for (const book of books.values()) if (!listedIds.has(book.info.workerId)) unlist(book)
    schedulePlan()
  }

  function addOrUpdate (info: ListedWorker): void {
    const book = books.get(info.workerId)
    if (book === undefined || book.info.bornAtMs < info.bornAtMs) {
      if (book !== undefined) replaceIncarnation(book)
      addWorker(info)
      return
    }
    if (book.info.bornAtMs > info.bornAtMs) return
    if (book.info.address !== info.address) {
      // The worker was known by its stored attempts only.
      links.get(info.workerId)?.close()
      book.info = info
      book.isReachable = false
      addLink(book)
    }
    if (book.info.isDraining !== info.isDraining) logger.info('a worker drains', { workerId: info.workerId, isDraining: info.isDraining, remainingMs: info.remainingMs })
    book.info = info
    book.isListed = true
  }

  function addWorker (info: ListedWorker): void {
    const book = createWorkerBook(info)
    books.set(info.workerId, book)
    addLink(book)
  }

  function addLink (book: WorkerBook): void {
    const { info } = book
    const link = createWorkerLink({
      term,
      logger,
      info,
      port: host.connect(info),
      maxLeaseMs: host.bounds.maxLeaseMs,
      isNeeded: () => book.bookings.size > 0 || control.getMembers(info.workerId).size > 0,
      onLook: async (look, sentAtMs, isWhole) => {
        const stored = control.onLook(book, look, sentAtMs, isWhole)
        for (const attempt of health.onLook(info.workerId, control.getMembers(info.workerId), performance.now())) control.stopAttempt(attempt, 'it makes no progress on its worker')
        adjustPace(control.getMembers(info.workerId), look.running, performance.now())
        await stored
      },
      onReachable: isReachable => {
        book.isReachable = isReachable
        schedulePlan()
      },
      onReborn: () => {
        book.isReachable = false
        control.onWorkerLost(book)
      },
      onLapsed: () => {
        control.onWorkerLost(book)
        if (!book.isListed) removeWorker(book)
      }
    })
    links.set(info.workerId, link)
  }

  function replaceIncarnation (book: WorkerBook): void {
    logger.info('a worker is listed as restarted', { workerId: book.info.workerId })
    control.onWorkerLost(book)
    removeWorker(book)
  }

  function removeWorker (book: WorkerBook): void {
    links.get(book.info.workerId)?.close()
    links.delete(book.info.workerId)
    books.delete(book.info.workerId)
  }

  /** A worker that is not listed may still run what it has been told to. */
  function unlist (book: WorkerBook): void {
    if (book.isListed) logger.info('a worker has left the list', { workerId: book.info.workerId })
    book.isListed = false
    if (book.bookings.size === 0 && control.getMembers(book.info.workerId).size === 0) removeWorker(book)
  }

  /** Workers of stored attempts that the list does not name: their tasks may run until their leases end. */
  function addUnlistedWorkers (job: TrackedJob): void {
    const listedIds = new Set(host.getWorkers()?.map(info => info.workerId))
    for (const unit of getUnits(job)) {
      for (const member of unit.attempts.flatMap(attempt => attempt.members)) {
        if (listedIds.has(member.workerId) || books.has(member.workerId)) continue
        const none = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }
        addWorker({ workerId: member.workerId, address: '', service: '', domain: '', bornAtMs: member.bornAtMs, isDraining: true, capacity: none, labels: [], rack: '' })
      }
    }
  }

  // Planning

  function schedulePlan (): void {
    if (isPlanDue || !isLoaded || term.signal.aborted) return
    isPlanDue = true
    setImmediate(() => {
      isPlanDue = false
      if (term.isValid()) plan()
    })
  }

  function plan (): void {
    const nowMs = performance.now()
    for (const book of books.values()) book.isQuarantined = health.isQuarantined(book.info.workerId, nowMs)
    control.releasePlanned()
    const rooms: Rooms = new Map([...books.values()].filter(isUsable).map(book => [book, getFreeRoom(book)]))
    const waiting = [...table.getAll()].flatMap(getUnits).filter(isWaiting)
    waiting.sort((left, right) => compareUnits(left, right, getQueue))
    keptUntilMs.clear()
    // The tasks of one step are alike: where one finds no room, the others need not be tried.
    const blocked = new Set<string>()
    for (const unit of waiting) {
      const likeness = `${unit.job.spec.jobId}.${unit.occurrence}.${unit.step}`
      if (blocked.has(likeness)) continue
      const permitted = getPermittedRooms(unit, rooms)
      const places = permitted === undefined ? undefined : tryPlace(unit, permitted, rules)
      if (places !== undefined) {
        if (permitted !== rooms) takeRooms(rooms, places, unit.spec.request)
        control.plan(unit, places.map(book => book.info.workerId))
      } else if (permitted === undefined || !tryMakeRoom(unit, permitted)) blocked.add(likeness)
      else if (permitted !== rooms) refreshRooms(rooms)
    }
  }

  /**
   * The urgent queue stops other work at once: estimates are too far off to wait for ends that may not come in time.
   * Others wait for work that ends in time, and stop some only when their latest start is near.
   */
  function tryMakeRoom (unit: Unit, rooms: Rooms): boolean {
    const slackMs = getLatestStartMs(unit, getQueue(unit.job), runTimes) - Date.now()
    const isUrgent = getQueue(unit.job)?.priority === 0
    const isDue = slackMs > -latePreemptionMs && (isUrgent || slackMs < preemptionLeadMs)
    if (isDue && tryPreemptFor(unit, rooms)) return true
    // More than one gang at a time would leave too much idle.
    if (keptUntilMs.size > 0) return false
    const reservation = tryReserve(unit, rooms, { getMembers: control.getMembers, nowMs: performance.now() })
    reservation?.workers.forEach(book => keptUntilMs.set(book, reservation.startAtMs))
    return false
  }

  function learnRunTime (member: Member): void {
    const { unit } = member.attempt
    if (unit.checkpoint === '') runTimes.learn(unit.job.spec.queue, unit.spec.estimateMs, performance.now() - member.presentSinceMs)
  }

  function isKeptFromUnit (unit: Unit, book: WorkerBook): boolean {
    const untilMs = keptUntilMs.get(book)
    return untilMs !== undefined && performance.now() + unit.spec.estimateMs > untilMs
  }

  /** Stops work of lower priority if that makes room for the unit. */
  function tryPreemptFor (unit: Unit, rooms: Rooms): boolean {
    const victims = getVictims(unit, [...table.getAll()], getQueue)
    if (victims.length === 0) return false
    const found = tryPreempt(unit, getRoomsAfterStops(rooms), victims, rules, workerId => books.get(workerId))
    if (found === undefined) return false
    logger.info('room is made', { jobId: unit.job.spec.jobId, victims: found.victims.map(attempt => attempt.unit.job.spec.jobId), cost: Math.round(found.cost) })
    control.plan(unit, found.places.map(book => book.info.workerId))
    for (const attempt of found.victims) control.stopAttempt(attempt, `room for ${unit.job.spec.jobId}`)
    refreshRooms(rooms)
    return true
  }

  function refreshRooms (rooms: Rooms): void {
    for (const book of rooms.keys()) rooms.set(book, getFreeRoom(book))
  }

  /** The rooms of the workers that may run the unit by its queue's policy; undefined while the advice service is being asked. */
  function getPermittedRooms (unit: Unit, rooms: Rooms): Rooms | undefined {
    const settings = getQueue(unit.job)?.advice
    if (settings === undefined || advice === undefined) return rooms
    const permitted = advice.getPermitted(unit, settings, [...rooms.keys()].map(book => book.info.workerId))
    return permitted === undefined ? undefined : new Map([...rooms].filter(([book]) => permitted.has(book.info.workerId)))
  }

  async function sendPace (member: Member, percent: number): Promise<void> {
    const link = links.get(member.workerId)
    if (link === undefined || !term.isValid()) return
    await link.port.pace({ task: getTaskName(member), run: member.attempt.run, percent, epoch: term.epoch })
  }

  // Upkeep

  function tryEmpty (workerId: string, isUrgent: boolean): boolean {
    const book = books.get(workerId)
    if (book === undefined) return true
    book.isInUpkeep = true
    for (const member of control.getMembers(workerId)) {
      const { attempt } = member
      const { spec } = attempt.unit
      if (attempt.stopReason !== undefined) continue
      if (spec.isService ? canMiss(attempt.unit) : spec.hasCheckpoints || isUrgent) control.stopAttempt(attempt, 'its machine goes down for upkeep')
    }
    return control.getMembers(workerId).size === 0
  }

  /** Tells whether one more task of a lasting step may be away. */
  function canMiss (unit: Unit): boolean {
    const others = unit.job.occurrences.get(unit.occurrence)?.[unit.step]?.filter(other => other !== unit) ?? []
    const away = others.filter(other => !other.attempts.some(attempt => attempt.members.every(isAtWork))).length
    return away < (unit.spec.allowedUnavailable ?? 0)
  }

  function isAtWork (member: Member): boolean {
    return member.state === MemberState.Running && member.progressPercent >= 100 && performance.now() - member.progressedAtMs >= host.bounds.noticeMs
  }

  function giveBack (workerId: string): void {
    const book = books.get(workerId)
    if (book !== undefined) book.isInUpkeep = false
  }

  /** The rooms as they will be when everything that is being stopped has ended. */
  function getRoomsAfterStops (rooms: Rooms): Rooms {
    const later: Rooms = new Map(rooms)
    for (const [book, room] of later) {
      let { cpuMilli, memoryMb, accelerators } = room
      for (const member of control.getMembers(book.info.workerId)) {
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

  function countOnWorker (unit: Unit, workerId: string): number {
    if (unit.spec.spreadLimit === undefined) return 0
    let count = 0
    for (const member of control.getMembers(workerId)) {
      const other = member.attempt.unit
      if (other.job === unit.job && other.occurrence === unit.occurrence && other.step === unit.step) count++
    }
    return count
  }

  function getOccupancy (unit: Unit, book: WorkerBook): Occupancy {
    let same = 0
    let other = 0
    for (const { attempt } of control.getMembers(book.info.workerId)) {
      const { job, spec } = attempt.unit
      if (job.spec.queue === unit.job.spec.queue) same += spec.request.accelerators
      else other += spec.request.accelerators
    }
    return { same, other }
  }

  function getQueue (job: TrackedJob): QueueSettings | undefined {
    const queue = host.getConfiguration()?.queues.find(candidate => candidate.name === job.spec.queue)
    if (queue !== undefined) lastQueues.set(job.spec.queue, queue)
    return queue ?? lastQueues.get(job.spec.queue)
  }
}
