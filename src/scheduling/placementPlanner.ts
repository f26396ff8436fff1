/** Decides which jobs start where, and which jobs are preempted for them. All functions are synchronous and send no messages. */
import { assert } from '../common/assertions.js'
import type { RuleSet } from '../rules/ruleSet.js'
import { defaultPriorityRank } from '../rules/ruleSet.js'
import { getLevelOf } from './blockIndex.js'
import type { DomainAllocator, MemberPlacement, Placement } from './domainAllocator.js'
import type { PreemptionCost } from './placementSearch.js'
import { Adjacency, getAcceleratorCount } from './jobTypes.js'
import type { JobSpec } from './jobTypes.js'
import type { Policy, PolicyJob } from './policy.js'

/** The scheduling state of a job. */
export interface PlannedJob extends PolicyJob {
  readonly phase: JobPhase
  readonly guaranteeId: string | undefined
}

/** The scheduling phase of a job. */
export enum JobPhase {
  Waiting = 'waiting',
  /** The job has a placement: it is starting or running. */
  Placed = 'placed',
  /** The job is being preempted, and still holds its placement. */
  Preempting = 'leaving'
}

/** Why a job waits, for `job show`. */
export enum WaitReason {
  NotFirst = 'other jobs come first',
  NoFreeBlock = 'no block of adjacent accelerators is free, and none can be preempted for it',
  Quota = 'its organisation is at its quota',
  Shortage = 'workers are missing for its organisation\'s guarantee'
}

/** Facts about a job's earlier attempts. */
export interface JobHistory {
  readonly waitingSinceMs: number
  readonly attainedMs: number
  readonly preemptions: number
  readonly isCheckpointIgnored: boolean
  /** Workers on which the job has failed. */
  readonly avoid: ReadonlySet<string>
}

/** The dependencies of a planner. */
export interface PlacementPlannerHost {
  readonly allocator: DomainAllocator
  readonly policy: Policy
  getRules (): RuleSet
}

/** Decides on the jobs of one failure domain. */
export interface PlacementPlanner {
  addWaiting (spec: JobSpec, history?: Partial<JobHistory>): void
  /** Adds a job that is already running. */
  addRunning (spec: JobSpec, members: readonly MemberPlacement[], guaranteeId: string | undefined, history: Partial<JobHistory>, startedAtMs: number): void
  /** Adds a member to a job that was added by `addRunning`. */
  addMember (jobId: string, member: MemberPlacement): void
  markStarted (jobId: string): void
  markPreempting (jobId: string): void
  /** Removes a job, and frees its placement. */
  remove (jobId: string): void
  /** Frees the placement of a job and lets it wait again. */
  requeue (jobId: string, history: Partial<JobHistory>): void
  get (jobId: string): PlannedJob | undefined
  getJobs (): Iterable<PlannedJob>
  countWaiting (): number
  /** Places the jobs that can start now. The placements are allocated immediately, and the jobs that they preempt are marked as such. */
  decide (): readonly Placement[]
  /** Returns the reason why a waiting job has not been placed. */
  getWaitReason (jobId: string): WaitReason
  /** Makes the next decision try the guarantees of every organisation again. Must be called after a change of rules or workers. */
  retryGuarantees (): void
}

interface JobEntry extends PlannedJob {
  phase: JobPhase
  guaranteeId: string | undefined
  startedAtMs: number | undefined
  attainedMs: number
  preemptions: number
  isCheckpointIgnored: boolean
  waitingSinceMs: number
  avoid: ReadonlySet<string>
  /** Until this time the job avoids the workers on which it failed. The time is limited because the job may fit nowhere else. */
  avoidUntilMs: number
  /** The sort value that the policy last returned for the job. */
  sortValue: number
}

/** Jobs that need blocks of one level, or the same number of scattered accelerators. If one cannot be placed, the decision tries no more of them. */
interface ShapeClass {
  readonly level: number
  readonly jobs: Set<JobEntry>
  order: JobEntry[]
  orderedAtMs: number
  /** Earliest time of the next search for jobs to preempt, set after a search that found none. */
  nextPreemptionMs: number
}

const reorderIntervalMs = 5_000
const preemptionBackoffMs = 5_000
const maxSkippedPerClass = 64
const avoidanceMs = 30_000
const noWorkers: ReadonlySet<string> = new Set()
const maxStartsPerDecision = 64
const processorClassLevel = -1
const scatteredClassLevel = -2

/** Creates a planner without jobs. */
export function createPlacementPlanner (host: PlacementPlannerHost): PlacementPlanner {
  const { allocator, policy } = host
  const entries = new Map<string, JobEntry>()
  const classes = new Map<string, ShapeClass>()
  const waitingByOrganisation = new Map<string, Set<JobEntry>>()
  /** Jobs with accelerators that hold a placement outside a guarantee. */
  const borrowedByOrganisation = new Map<string, Set<JobEntry>>()
  const acceleratorsInUse = new Map<string, number>()
  const changedOrganisations = new Set<string>()
  let waitingCount = 0

  return {
    addWaiting,
    addRunning,
    addMember,
    markStarted,
    markPreempting,
    remove,
    requeue,
    get: jobId => entries.get(jobId),
    getJobs: () => entries.values(),
    countWaiting: () => waitingCount,
    decide,
    getWaitReason,
    retryGuarantees
  }

  function addWaiting (spec: JobSpec, history: Partial<JobHistory> = {}): void {
    assert(!entries.has(spec.jobId), `job ${spec.jobId} is added only once`)
    const entry = createEntry(spec, history, JobPhase.Waiting)
    entries.set(spec.jobId, entry)
    enqueue(entry)
  }

  function addRunning (
    spec: JobSpec, members: readonly MemberPlacement[], guaranteeId: string | undefined, history: Partial<JobHistory>, startedAtMs: number
  ): void {
    assert(!entries.has(spec.jobId), `job ${spec.jobId} is added only once`)
    const entry = createEntry(spec, history, JobPhase.Placed)
    entry.startedAtMs = startedAtMs
    entry.guaranteeId = allocator.adopt(spec, members, guaranteeId) ? guaranteeId : undefined
    entries.set(spec.jobId, entry)
    updateUsage(entry, 1)
  }

  function createEntry (spec: JobSpec, history: Partial<JobHistory>, phase: JobPhase): JobEntry {
    return {
      spec,
      phase,
      rank: host.getRules().priorityRanks.get(spec.priority) ?? defaultPriorityRank,
      waitingSinceMs: history.waitingSinceMs ?? Date.now(),
      attainedMs: history.attainedMs ?? 0,
      preemptions: history.preemptions ?? 0,
      isCheckpointIgnored: history.isCheckpointIgnored ?? false,
      avoid: history.avoid ?? noWorkers,
      avoidUntilMs: Date.now() + avoidanceMs,
      startedAtMs: undefined,
      guaranteeId: undefined,
      sortValue: 0
    }
  }

  function addMember (jobId: string, member: MemberPlacement): void {
    const entry = entries.get(jobId)
    if (entry === undefined || entry.phase === JobPhase.Waiting) return
    allocator.addMember(jobId, member)
    if (allocator.isGuaranteed(jobId) || entry.guaranteeId === undefined) return
    entry.guaranteeId = undefined
    addBorrowed(entry)
  }

  function markStarted (jobId: string): void {
    const entry = entries.get(jobId)
    if (entry !== undefined) entry.startedAtMs = Date.now()
  }

  function markPreempting (jobId: string): void {
    const entry = entries.get(jobId)
    if (entry?.phase === JobPhase.Placed) entry.phase = JobPhase.Preempting
  }

  function remove (jobId: string): void {
    const entry = entries.get(jobId)
    if (entry === undefined) return
    entries.delete(jobId)
    if (entry.phase === JobPhase.Waiting) dequeue(entry)
    else releasePlacement(entry)
  }

  function requeue (jobId: string, history: Partial<JobHistory>): void {
    const entry = entries.get(jobId)
    if (entry === undefined || entry.phase === JobPhase.Waiting) return
    releasePlacement(entry)
    Object.assign(entry, { phase: JobPhase.Waiting, startedAtMs: undefined, guaranteeId: undefined, avoidUntilMs: Date.now() + avoidanceMs, ...history })
    removeFromOrder(entry)
    enqueue(entry)
  }

  /** A job that is placed keeps its place in the order until the class is sorted again; its sort value has changed since. */
  function removeFromOrder (entry: JobEntry): void {
    const { order } = getClass(entry.spec)
    const index = order.indexOf(entry)
    if (index >= 0) order.splice(index, 1)
  }

  function releasePlacement (entry: JobEntry): void {
    allocator.release(entry.spec.jobId)
    updateUsage(entry, -1)
    changedOrganisations.add(entry.spec.organisation)
  }

  function updateUsage (entry: JobEntry, sign: 1 | -1): void {
    const { organisation } = entry.spec
    if (sign === 1 && entry.guaranteeId === undefined && entry.spec.acceleratorsPerMember > 0) addBorrowed(entry)
    else borrowedByOrganisation.get(organisation)?.delete(entry)
    acceleratorsInUse.set(organisation, (acceleratorsInUse.get(organisation) ?? 0) + sign * getAcceleratorCount(entry.spec))
  }

  function addBorrowed (entry: JobEntry): void {
    const borrowed = borrowedByOrganisation.get(entry.spec.organisation) ?? new Set()
    borrowed.add(entry)
    borrowedByOrganisation.set(entry.spec.organisation, borrowed)
  }

  function enqueue (entry: JobEntry): void {
    waitingCount++
    const shapeClass = getClass(entry.spec)
    shapeClass.jobs.add(entry)
    entry.sortValue = policy.getSortValue(entry, Date.now())
    insertSorted(shapeClass.order, entry)
    const waiting = waitingByOrganisation.get(entry.spec.organisation) ?? new Set()
    waiting.add(entry)
    waitingByOrganisation.set(entry.spec.organisation, waiting)
    changedOrganisations.add(entry.spec.organisation)
  }

  function dequeue (entry: JobEntry): void {
    waitingCount--
    getClass(entry.spec).jobs.delete(entry)
    waitingByOrganisation.get(entry.spec.organisation)?.delete(entry)
  }

  function getClass (spec: JobSpec): ShapeClass {
    const level = getClassLevel(spec)
    const key = level === scatteredClassLevel ? `scattered ${getAcceleratorCount(spec)}` : String(level)
    const known = classes.get(key)
    if (known !== undefined) return known
    const created: ShapeClass = { level, jobs: new Set(), order: [], orderedAtMs: 0, nextPreemptionMs: 0 }
    classes.set(key, created)
    return created
  }

  function decide (): readonly Placement[] {
    const placements: Placement[] = []
    placeGuaranteed(placements)
    placeBorrowed(placements)
    return placements
  }

  function placeGuaranteed (placements: Placement[]): void {
    for (const organisation of [...changedOrganisations]) {
      changedOrganisations.delete(organisation)
      if (allocator.getCellsOf(organisation).length === 0) continue
      promoteBorrowed(organisation)
      const waiting = [...waitingByOrganisation.get(organisation) ?? []].filter(entry => entry.spec.acceleratorsPerMember > 0)
      waiting.sort(compareForGuarantee)
      let smallestFailed = Infinity
      for (const entry of waiting) {
        const size = getAcceleratorCount(entry.spec)
        if (size >= smallestFailed || isOverQuota(entry)) continue
        const placement = allocator.tryPlaceGuaranteed(entry.spec, getReclaimCost, getAvoided(entry))
        if (placement === undefined) smallestFailed = size
        else startEntry(entry, placement, placements)
      }
    }
  }

  /** Moves jobs on borrowed accelerators under a guarantee when they fit there, so that they are no longer preempted. */
  function promoteBorrowed (organisation: string): void {
    for (const entry of borrowedByOrganisation.get(organisation) ?? []) {
      if (entry.phase !== JobPhase.Placed) continue
      entry.guaranteeId = allocator.tryPromote(entry.spec.jobId)
      if (entry.guaranteeId !== undefined) borrowedByOrganisation.get(organisation)?.delete(entry)
    }
  }

  /** Any job on borrowed accelerators can be preempted for a guarantee; those that lose the least progress are the cheapest. */
  function getReclaimCost (jobId: string): number | undefined {
    const entry = entries.get(jobId)
    if (entry === undefined) return undefined
    if (entry.phase === JobPhase.Preempting) return 0.01
    const lossFactor = entry.spec.repeatable ? (entry.isCheckpointIgnored ? 10 : 1) : 1_000
    return getAcceleratorCount(entry.spec) * lossFactor
  }

  function placeBorrowed (placements: Placement[]): void {
    const nowMs = Date.now()
    const cursors = [...classes.values()].filter(shapeClass => shapeClass.jobs.size > 0).map(shapeClass => createCursor(shapeClass, nowMs))
    let smallestFailedLevel = Infinity
    let blocked: JobEntry | undefined
    while (placements.length < maxStartsPerDecision) {
      const cursor = pickFirst(cursors)
      if (cursor === undefined) return
      const entry = cursor.current as JobEntry
      const cannotFit = cursor.level >= smallestFailedLevel
      const mustWait = blocked !== undefined && !policy.mayOvertake(entry, blocked, nowMs)
      if (mustWait || isOverQuota(entry)) {
        cursor.skip()
        continue
      }
      const free = cannotFit ? undefined : allocator.tryPlaceBorrowed(entry.spec, undefined, getAvoided(entry))
      if (free === undefined && cursor.level >= 0 && getAvoided(entry).size === 0) smallestFailedLevel = Math.min(smallestFailedLevel, cursor.level)
      const placement = free ?? tryPreempt(entry, nowMs)
      if (placement === undefined) {
        blocked ??= entry
        cursor.close()
        continue
      }
      startEntry(entry, placement, placements)
      cursor.advance()
    }
  }

  function tryPreempt (entry: JobEntry, nowMs: number): Placement | undefined {
    const shapeClass = getClass(entry.spec)
    if (nowMs < shapeClass.nextPreemptionMs) return undefined
    const placement = allocator.tryPlaceBorrowed(entry.spec, createPreemptionCost(entry, nowMs), getAvoided(entry))
    if (placement === undefined) shapeClass.nextPreemptionMs = nowMs + preemptionBackoffMs
    return placement
  }

  function createPreemptionCost (waiting: JobEntry, nowMs: number): PreemptionCost {
    return jobId => {
      const running = entries.get(jobId)
      if (running === undefined || running.phase !== JobPhase.Placed) return undefined
      return policy.getPreemptionCost(waiting, running, nowMs)
    }
  }

  function startEntry (entry: JobEntry, placement: Placement, placements: Placement[]): void {
    dequeue(entry)
    entry.phase = JobPhase.Placed
    entry.guaranteeId = placement.guaranteeId
    updateUsage(entry, 1)
    for (const victim of placement.victims) markPreempting(victim)
    placements.push(placement)
  }

  function isOverQuota (entry: JobEntry): boolean {
    const quota = host.getRules().quotas.get(entry.spec.organisation)
    if (quota === undefined) return false
    return (acceleratorsInUse.get(entry.spec.organisation) ?? 0) + getAcceleratorCount(entry.spec) > quota.accelerators
  }

  function getWaitReason (jobId: string): WaitReason {
    const entry = entries.get(jobId)
    if (entry === undefined) return WaitReason.NotFirst
    if (isOverQuota(entry)) return WaitReason.Quota
    if (allocator.getShortages().some(shortage => shortage.organisation === entry.spec.organisation)) return WaitReason.Shortage
    const first = getClass(entry.spec).order.find(other => other.phase === JobPhase.Waiting)
    return first === entry ? WaitReason.NoFreeBlock : WaitReason.NotFirst
  }

  function retryGuarantees (): void {
    for (const organisation of waitingByOrganisation.keys()) changedOrganisations.add(organisation)
    for (const entry of entries.values()) {
      changedOrganisations.add(entry.spec.organisation)
      if (entry.guaranteeId === undefined || allocator.isGuaranteed(entry.spec.jobId)) continue
      entry.guaranteeId = undefined
      addBorrowed(entry)
    }
  }

  function createCursor (shapeClass: ShapeClass, nowMs: number): Cursor {
    if (nowMs - shapeClass.orderedAtMs > reorderIntervalMs) reorder(shapeClass, nowMs)
    let index = 0
    let skipped = 0
    const cursor: Cursor = { level: shapeClass.level, current: undefined, advance, skip, close }
    moveToWaiting()
    return cursor

    function moveToWaiting (): void {
      while (index < shapeClass.order.length && !isWaitingIn(shapeClass, shapeClass.order[index] as JobEntry)) index++
      cursor.current = shapeClass.order[index]
    }

    function advance (): void {
      index++
      moveToWaiting()
    }

    function skip (): void {
      if (++skipped >= maxSkippedPerClass) close()
      else advance()
    }

    function close (): void {
      cursor.current = undefined
    }
  }

  function reorder (shapeClass: ShapeClass, nowMs: number): void {
    for (const entry of shapeClass.jobs) entry.sortValue = policy.getSortValue(entry, nowMs)
    shapeClass.order = [...shapeClass.jobs].sort(compareByValue)
    shapeClass.orderedAtMs = nowMs
  }
}

interface Cursor {
  readonly level: number
  current: JobEntry | undefined
  advance (): void
  skip (): void
  close (): void
}

function getAvoided (entry: JobEntry): ReadonlySet<string> {
  return Date.now() < entry.avoidUntilMs ? entry.avoid : noWorkers
}

function isWaitingIn (shapeClass: ShapeClass, entry: JobEntry): boolean {
  return entry.phase === JobPhase.Waiting && shapeClass.jobs.has(entry)
}

function pickFirst (cursors: readonly Cursor[]): Cursor | undefined {
  let best: Cursor | undefined
  for (const cursor of cursors) {
    if (cursor.current === undefined) continue
    if (best?.current === undefined || compareByValue(cursor.current, best.current) < 0) best = cursor
  }
  return best
}

function compareByValue (left: JobEntry, right: JobEntry): number {
  return Number(right.spec.urgent) - Number(left.spec.urgent) || left.sortValue - right.sortValue || left.spec.submittedAtMs - right.spec.submittedAtMs
}

function compareForGuarantee (left: JobEntry, right: JobEntry): number {
  return Number(right.spec.urgent) - Number(left.spec.urgent) || left.rank - right.rank || left.spec.submittedAtMs - right.spec.submittedAtMs
}

function insertSorted (order: JobEntry[], entry: JobEntry): void {
  let low = 0
  let high = order.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (compareByValue(order[middle] as JobEntry, entry) <= 0) low = middle + 1
    else high = middle
  }
  order.splice(low, 0, entry)
}

function getClassLevel (spec: JobSpec): number {
  if (spec.acceleratorsPerMember === 0) return processorClassLevel
  if (spec.adjacency === Adjacency.Anywhere) return scatteredClassLevel
  return getLevelOf(getAcceleratorCount(spec))
}
