/** Decides which job starts where, and which jobs leave for it. No waiting and no messages in here. */
import { assert } from '../common/debug.js'
import type { RuleSet } from '../rules/ruleSet.js'
import { defaultPriorityRank } from '../rules/ruleSet.js'
import { getLevelOf } from './blockIndex.js'
import type { DomainCells, MemberPlacement, Placement } from './domainCells.js'
import type { PreemptionCost } from './placementSearch.js'
import { Adjacency, getAcceleratorCount } from './jobTypes.js'
import type { JobSpec } from './jobTypes.js'
import type { Policy, PolicyJob } from './policy.js'

/** A job as the decider knows it. */
export interface DecidedJob extends PolicyJob {
  readonly phase: JobPhase
  readonly guaranteeId: string | undefined
}

/** Where a job is in the decider's eyes. */
export enum JobPhase {
  Waiting = 'waiting',
  /** It has a place: starting or running. */
  Placed = 'placed',
  /** It has been told to leave its place. */
  Leaving = 'leaving'
}

/** Why a job waits, for `job show`. */
export enum WaitReason {
  Order = 'other jobs come first',
  NoRoom = 'no block of adjacent accelerators is free, and none can be preempted for it',
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

/** What the decider needs from outside. */
export interface DeciderHost {
  readonly cells: DomainCells
  readonly policy: Policy
  getRules (): RuleSet
}

/** Decides for one failure domain. */
export interface Decider {
  addWaiting (spec: JobSpec, history?: Partial<JobHistory>): void
  /** Takes over a job that runs already. */
  addRunning (spec: JobSpec, members: readonly MemberPlacement[], guaranteeId: string | undefined, history: Partial<JobHistory>, startedAtMs: number): void
  /** Notes one more member of a job that was taken over. */
  addMember (jobId: string, member: MemberPlacement): void
  markStarted (jobId: string): void
  markLeaving (jobId: string): void
  /** Takes a job out, and frees its place. */
  remove (jobId: string): void
  /** Frees the place of a job and lets it wait again. */
  requeue (jobId: string, history: Partial<JobHistory>): void
  get (jobId: string): DecidedJob | undefined
  getJobs (): Iterable<DecidedJob>
  countWaiting (): number
  /** Starts what can start now. Each placement is taken at once; its victims are marked as leaving. */
  decide (): readonly Placement[]
  /** Tells why a waiting job waits. */
  getWaitReason (jobId: string): WaitReason
  /** Looks at every organisation's guarantee again, after a change of rules or workers. */
  invalidate (): void
}

interface Entry extends DecidedJob {
  phase: JobPhase
  guaranteeId: string | undefined
  startedAtMs: number | undefined
  attainedMs: number
  preemptions: number
  isCheckpointIgnored: boolean
  waitingSinceMs: number
  avoid: ReadonlySet<string>
  /** From then on the job takes any worker again: it may fit nowhere else. */
  avoidUntilMs: number
  /** The policy's value at the last ordering. */
  value: number
}

/** Jobs of one shape: when the first finds no room, neither do the others. */
interface ShapeClass {
  readonly level: number
  readonly jobs: Set<Entry>
  order: Entry[]
  orderedAtMs: number
  /** Before this time nothing is preempted for the shape again, after a search in vain. */
  preemptsFromMs: number
}

const orderLifetimeMs = 5_000
const preemptionPauseMs = 5_000
const maxSkippedPerClass = 64
const avoidMs = 30_000
const noWorkers: ReadonlySet<string> = new Set()
const maxStartsPerDecision = 64
const processorClassLevel = -1
const scatteredClassLevel = -2

/** Creates a decider without jobs. */
export function createDecider (host: DeciderHost): Decider {
  const { cells, policy } = host
  const entries = new Map<string, Entry>()
  const classes = new Map<string, ShapeClass>()
  const waitingByOrganisation = new Map<string, Set<Entry>>()
  /** Placed jobs without a guarantee. */
  const borrowedByOrganisation = new Map<string, Set<Entry>>()
  const acceleratorsInUse = new Map<string, number>()
  const changedOrganisations = new Set<string>()
  let waitingCount = 0

  return {
    addWaiting,
    addRunning,
    addMember,
    markStarted,
    markLeaving,
    remove,
    requeue,
    get: jobId => entries.get(jobId),
    getJobs: () => entries.values(),
    countWaiting: () => waitingCount,
    decide,
    getWaitReason,
    invalidate
  }

  function addWaiting (spec: JobSpec, history: Partial<JobHistory> = {}): void {
    assert(!entries.has(spec.jobId), `job ${spec.jobId} is known once`)
    const entry = createEntry(spec, history, JobPhase.Waiting)
    entries.set(spec.jobId, entry)
    fileWaiting(entry)
  }

  function addRunning (
    spec: JobSpec, members: readonly MemberPlacement[], guaranteeId: string | undefined, history: Partial<JobHistory>, startedAtMs: number
  ): void {
    assert(!entries.has(spec.jobId), `job ${spec.jobId} is known once`)
    const entry = createEntry(spec, history, JobPhase.Placed)
    entry.startedAtMs = startedAtMs
    entry.guaranteeId = cells.adopt(spec, members, guaranteeId) ? guaranteeId : undefined
    entries.set(spec.jobId, entry)
    countUse(entry, 1)
  }

  function createEntry (spec: JobSpec, history: Partial<JobHistory>, phase: JobPhase): Entry {
    return {
      spec,
      phase,
      rank: host.getRules().priorityRanks.get(spec.priority) ?? defaultPriorityRank,
      waitingSinceMs: history.waitingSinceMs ?? Date.now(),
      attainedMs: history.attainedMs ?? 0,
      preemptions: history.preemptions ?? 0,
      isCheckpointIgnored: history.isCheckpointIgnored ?? false,
      avoid: history.avoid ?? noWorkers,
      avoidUntilMs: Date.now() + avoidMs,
      startedAtMs: undefined,
      guaranteeId: undefined,
      value: 0
    }
  }

  function addMember (jobId: string, member: MemberPlacement): void {
    const entry = entries.get(jobId)
    if (entry === undefined || entry.phase === JobPhase.Waiting) return
    cells.extend(jobId, member)
    if (cells.isGuaranteed(jobId) || entry.guaranteeId === undefined) return
    entry.guaranteeId = undefined
    noteBorrowed(entry)
  }

  function markStarted (jobId: string): void {
    const entry = entries.get(jobId)
    if (entry !== undefined) entry.startedAtMs = Date.now()
  }

  function markLeaving (jobId: string): void {
    const entry = entries.get(jobId)
    if (entry?.phase === JobPhase.Placed) entry.phase = JobPhase.Leaving
  }

  function remove (jobId: string): void {
    const entry = entries.get(jobId)
    if (entry === undefined) return
    entries.delete(jobId)
    if (entry.phase === JobPhase.Waiting) unfileWaiting(entry)
    else freePlace(entry)
  }

  function requeue (jobId: string, history: Partial<JobHistory>): void {
    const entry = entries.get(jobId)
    if (entry === undefined || entry.phase === JobPhase.Waiting) return
    freePlace(entry)
    Object.assign(entry, { phase: JobPhase.Waiting, startedAtMs: undefined, guaranteeId: undefined, avoidUntilMs: Date.now() + avoidMs, ...history })
    fileWaiting(entry)
  }

  function freePlace (entry: Entry): void {
    cells.vacate(entry.spec.jobId)
    countUse(entry, -1)
    changedOrganisations.add(entry.spec.organisation)
  }

  function countUse (entry: Entry, sign: 1 | -1): void {
    const { organisation } = entry.spec
    if (sign === 1 && entry.guaranteeId === undefined && entry.spec.acceleratorsPerMember > 0) noteBorrowed(entry)
    else borrowedByOrganisation.get(organisation)?.delete(entry)
    acceleratorsInUse.set(organisation, (acceleratorsInUse.get(organisation) ?? 0) + sign * getAcceleratorCount(entry.spec))
  }

  function noteBorrowed (entry: Entry): void {
    const own = borrowedByOrganisation.get(entry.spec.organisation) ?? new Set()
    own.add(entry)
    borrowedByOrganisation.set(entry.spec.organisation, own)
  }

  function fileWaiting (entry: Entry): void {
    waitingCount++
    const shape = getClass(entry.spec)
    shape.jobs.add(entry)
    entry.value = policy.getValue(entry, Date.now())
    insertSorted(shape.order, entry)
    const own = waitingByOrganisation.get(entry.spec.organisation) ?? new Set()
    own.add(entry)
    waitingByOrganisation.set(entry.spec.organisation, own)
    changedOrganisations.add(entry.spec.organisation)
  }

  function unfileWaiting (entry: Entry): void {
    waitingCount--
    getClass(entry.spec).jobs.delete(entry)
    waitingByOrganisation.get(entry.spec.organisation)?.delete(entry)
  }

  function getClass (spec: JobSpec): ShapeClass {
    const level = getClassLevel(spec)
    const key = level === scatteredClassLevel ? `scattered ${getAcceleratorCount(spec)}` : String(level)
    const known = classes.get(key)
    if (known !== undefined) return known
    const created: ShapeClass = { level, jobs: new Set(), order: [], orderedAtMs: 0, preemptsFromMs: 0 }
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
      if (cells.getCellsOf(organisation).length === 0) continue
      promoteBorrowed(organisation)
      const waiting = [...waitingByOrganisation.get(organisation) ?? []].filter(entry => entry.spec.acceleratorsPerMember > 0)
      waiting.sort(compareForGuarantee)
      let smallestFailed = Infinity
      for (const entry of waiting) {
        const size = getAcceleratorCount(entry.spec)
        if (size >= smallestFailed || isOverQuota(entry)) continue
        const placement = cells.tryPlaceGuaranteed(entry.spec, getReclaimCost, getAvoided(entry))
        if (placement === undefined) smallestFailed = size
        else startEntry(entry, placement, placements)
      }
    }
  }

  /** Borrowed work goes under the guarantee when room comes up there, so that it is no longer preempted. */
  function promoteBorrowed (organisation: string): void {
    for (const entry of borrowedByOrganisation.get(organisation) ?? []) {
      if (entry.phase !== JobPhase.Placed) continue
      entry.guaranteeId = cells.tryPromote(entry.spec.jobId)
      if (entry.guaranteeId !== undefined) borrowedByOrganisation.get(organisation)?.delete(entry)
    }
  }

  /** Any borrowed job can be reclaimed; the cheapest are those with the least work to lose. */
  function getReclaimCost (jobId: string): number | undefined {
    const entry = entries.get(jobId)
    if (entry === undefined) return undefined
    if (entry.phase === JobPhase.Leaving) return 0.01
    const lossFactor = entry.spec.repeatable ? (entry.isCheckpointIgnored ? 10 : 1) : 1_000
    return getAcceleratorCount(entry.spec) * lossFactor
  }

  function placeBorrowed (placements: Placement[]): void {
    const nowMs = Date.now()
    const queues = [...classes.values()].filter(shape => shape.jobs.size > 0).map(shape => createCursor(shape, nowMs))
    let smallestFullLevel = Infinity
    let blocked: Entry | undefined
    while (placements.length < maxStartsPerDecision) {
      const cursor = pickFirst(queues)
      if (cursor === undefined) return
      const entry = cursor.current as Entry
      const isHopeless = cursor.level >= smallestFullLevel
      const mustWait = blocked !== undefined && !policy.mayOvertake(entry, blocked, nowMs)
      if (mustWait || isOverQuota(entry)) {
        cursor.skip()
        continue
      }
      const free = isHopeless ? undefined : cells.tryPlaceBorrowed(entry.spec, undefined, getAvoided(entry))
      if (free === undefined && cursor.level >= 0 && getAvoided(entry).size === 0) smallestFullLevel = Math.min(smallestFullLevel, cursor.level)
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

  function tryPreempt (entry: Entry, nowMs: number): Placement | undefined {
    const shape = getClass(entry.spec)
    if (nowMs < shape.preemptsFromMs) return undefined
    const placement = cells.tryPlaceBorrowed(entry.spec, createCost(entry, nowMs), getAvoided(entry))
    if (placement === undefined) shape.preemptsFromMs = nowMs + preemptionPauseMs
    return placement
  }

  function createCost (waiting: Entry, nowMs: number): PreemptionCost {
    return jobId => {
      const running = entries.get(jobId)
      if (running === undefined || running.phase !== JobPhase.Placed) return undefined
      return policy.getPreemptionCost(waiting, running, nowMs)
    }
  }

  function startEntry (entry: Entry, placement: Placement, placements: Placement[]): void {
    unfileWaiting(entry)
    entry.phase = JobPhase.Placed
    entry.guaranteeId = placement.guaranteeId
    countUse(entry, 1)
    for (const victim of placement.victims) markLeaving(victim)
    placements.push(placement)
  }

  function isOverQuota (entry: Entry): boolean {
    const quota = host.getRules().quotas.get(entry.spec.organisation)
    if (quota === undefined) return false
    return (acceleratorsInUse.get(entry.spec.organisation) ?? 0) + getAcceleratorCount(entry.spec) > quota.accelerators
  }

  function getWaitReason (jobId: string): WaitReason {
    const entry = entries.get(jobId)
    if (entry === undefined) return WaitReason.Order
    if (isOverQuota(entry)) return WaitReason.Quota
    if (cells.getShortages().some(shortage => shortage.organisation === entry.spec.organisation)) return WaitReason.Shortage
    const first = getClass(entry.spec).order.find(other => other.phase === JobPhase.Waiting)
    return first === entry ? WaitReason.NoRoom : WaitReason.Order
  }

  function invalidate (): void {
    for (const organisation of waitingByOrganisation.keys()) changedOrganisations.add(organisation)
    for (const entry of entries.values()) {
      changedOrganisations.add(entry.spec.organisation)
      if (entry.guaranteeId === undefined || cells.isGuaranteed(entry.spec.jobId)) continue
      entry.guaranteeId = undefined
      noteBorrowed(entry)
    }
  }

  function createCursor (shape: ShapeClass, nowMs: number): Cursor {
    if (nowMs - shape.orderedAtMs > orderLifetimeMs) reorder(shape, nowMs)
    let index = 0
    let skipped = 0
    const cursor: Cursor = { level: shape.level, current: undefined, advance, skip, close }
    settle()
    return cursor

    function settle (): void {
      while (index < shape.order.length && !isWaitingIn(shape, shape.order[index] as Entry)) index++
      cursor.current = shape.order[index]
    }

    function advance (): void {
      index++
      settle()
    }

    function skip (): void {
      if (++skipped >= maxSkippedPerClass) close()
      else advance()
    }

    function close (): void {
      cursor.current = undefined
    }
  }

  function reorder (shape: ShapeClass, nowMs: number): void {
    for (const entry of shape.jobs) entry.value = policy.getValue(entry, nowMs)
    shape.order = [...shape.jobs].sort(compareByValue)
    shape.orderedAtMs = nowMs
  }
}

interface Cursor {
  readonly level: number
  current: Entry | undefined
  advance (): void
  skip (): void
  close (): void
}

function getAvoided (entry: Entry): ReadonlySet<string> {
  return Date.now() < entry.avoidUntilMs ? entry.avoid : noWorkers
}

function isWaitingIn (shape: ShapeClass, entry: Entry): boolean {
  return entry.phase === JobPhase.Waiting && shape.jobs.has(entry)
}

function pickFirst (cursors: readonly Cursor[]): Cursor | undefined {
  let best: Cursor | undefined
  for (const cursor of cursors) {
    if (cursor.current === undefined) continue
    if (best?.current === undefined || compareByValue(cursor.current, best.current) < 0) best = cursor
  }
  return best
}

function compareByValue (left: Entry, right: Entry): number {
  return Number(right.spec.urgent) - Number(left.spec.urgent) || left.value - right.value || left.spec.submittedAtMs - right.spec.submittedAtMs
}

function compareForGuarantee (left: Entry, right: Entry): number {
  return Number(right.spec.urgent) - Number(left.spec.urgent) || left.rank - right.rank || left.spec.submittedAtMs - right.spec.submittedAtMs
}

function insertSorted (order: Entry[], entry: Entry): void {
  let low = 0
  let high = order.length
  while (low < high) {
    const middle = (low + high) >> 1
    if (compareByValue(order[middle] as Entry, entry) <= 0) low = middle + 1
    else high = middle
  }
  order.splice(low, 0, entry)
}

function getClassLevel (spec: JobSpec): number {
  if (spec.acceleratorsPerMember === 0) return processorClassLevel
  if (spec.adjacency === Adjacency.Anywhere) return scatteredClassLevel
  return getLevelOf(getAcceleratorCount(spec))
}
