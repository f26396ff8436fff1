/**
 * Claims of urgent jobs on their organisations' guarantees: which are due, which runs make room for them, and why one is not met. Load: an organisation that
 * takes back what others have borrowed. Does no I/O.
 */
import type { OrganisationSettings } from '../configuration/configuration.js'
import { getUnits, MemberState } from '../jobs/trackedJob.js'
import type { Attempt, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { getGuaranteeClaims } from './guarantees.js'
import type { GuaranteeClaim } from './guarantees.js'
import { isSuspect } from './isolation.js'
import type { Victim } from './preemption.js'
import { tryRelocate } from './relocation.js'
import type { RelocationPlan, RelocationResult, RelocationSearch } from './relocation.js'
import { hasBeenPreempted, maxPreemptionsByUrgent } from './unitOrder.js'
import type { GetQueue } from './unitOrder.js'

/** Dependencies of the claims. */
export interface ReclaimHost {
  readonly getUnfinishedJobs: () => Iterable<TrackedJob>
  readonly getOrganisations: () => readonly OrganisationSettings[]
  readonly getQueue: GetQueue
  /** Urgent jobs within their organisation's guarantee start within this time, in ms. */
  readonly reclaimMs: number
  /** The longest time that a worker takes to stop a run, in ms. */
  readonly stopMs: number
}

/** The claims of one scheduler term, as of the last update. */
export interface Reclaim {
  /** Must be called at the start of each planning pass. */
  update (): void
  isGuaranteed (job: TrackedJob): boolean
  /** Tells whether a guaranteed job has waited so long that it must preempt other work to start in time. */
  isDue (unit: Unit): boolean
  /** Tells whether a guaranteed job must preempt now wherever it can: the bound on its start comes before one rack, without which it only runs more slowly. */
  isPressing (unit: Unit): boolean
  /**
   * Finds a plan that moves runs of other guaranteed jobs for a unit whose guarantee is due; undefined if there is none, or if the last search in vain was a short time ago.
   * `getSearch` is called only if there is a search.
   */
  tryMoveOthers (unit: Unit, getCost: (attempt: Attempt) => number, getSearch: () => Omit<RelocationSearch, 'movable'>): RelocationPlan | undefined
  /** Tells whether the unit could have used its organisation's guarantee by now and has no workers, and this has not been logged for its latest run. */
  isUnmetAndNew (unit: Unit): boolean
  /** Fields for the log that describe the claim of a unit. */
  describe (unit: Unit): object
}

/** How long before its start is due a guaranteed job may begin to preempt at any cost, in ms, besides the time of two stops. */
const reclaimLeadMs = 800
/** The pause after a search for runs to move has found none, in ms: it costs several times as much as a search for runs to preempt. */
const searchPauseMs = 250
/** The most of these searches in one planning pass; other claims are served in the next passes. */
const maxSearchesPerPass = 8

/** Creates the claims of one scheduler term. */
export function createReclaim (host: ReclaimHost): Reclaim {
  let claims: ReadonlyMap<TrackedJob, GuaranteeClaim> = new Map()
  /** Units whose claim has been logged as due and not met, each once for each run, by the number of their last run. */
  const loggedRuns = new WeakMap<Unit, number>()
  /** The last search for runs to move for a unit. */
  const searches = new WeakMap<Unit, { readonly result: RelocationResult, readonly atMs: number }>()
  let passSearches = 0
  return { update, isGuaranteed, isDue, isPressing, tryMoveOthers, isUnmetAndNew, describe }

  function update (): void {
    passSearches = 0
    claims = getGuaranteeClaims(host.getUnfinishedJobs(), host.getOrganisations(), host.getQueue)
  }

  function isGuaranteed (job: TrackedJob): boolean {
    return claims.get(job)?.isGuaranteed === true
  }

  function isDue (unit: Unit): boolean {
    return isGuaranteed(unit.job) && isOldEnough(unit)
  }

  function isOldEnough (unit: Unit): boolean {
    return getLeftMs(unit) < 2 * host.stopMs
  }

  function isPressing (unit: Unit): boolean {
    return isDue(unit) && getLeftMs(unit) < host.stopMs
  }

  /** The time until a guaranteed job has to start, less the time that storing the plan and the start need. */
  function getLeftMs ({ job }: Unit): number {
    return host.reclaimMs - reclaimLeadMs - (performance.now() - job.acceptedAtMs)
  }

  function tryMoveOthers (unit: Unit, getCost: (attempt: Attempt) => number, getSearch: () => Omit<RelocationSearch, 'movable'>): RelocationPlan | undefined {
    const nowMs = performance.now()
    const last = searches.get(unit)
    const isPaused = last !== undefined && last.result.plan === undefined && nowMs - last.atMs < searchPauseMs
    if (isPaused || passSearches === maxSearchesPerPass || !isDue(unit)) return undefined
    passSearches++
    const result = tryRelocate(unit, { ...getSearch(), movable: getMovable(unit, getCost) })
    searches.set(unit, { result, atMs: nowMs })
    return result.plan
  }

  /** The runs of other guaranteed jobs that may be moved to another worker for the unit, cheapest first. */
  function getMovable (unit: Unit, getCost: (attempt: Attempt) => number): readonly Victim[] {
    const movable: Victim[] = []
    for (const job of host.getUnfinishedJobs()) {
      if (job === unit.job || !isGuaranteed(job)) continue
      for (const other of getUnits(job)) {
        if (!isMovable(other)) continue
        for (const attempt of other.attempts) if (isAtWork(attempt)) movable.push({ attempt, cost: getCost(attempt) })
      }
    }
    return movable.sort((left, right) => left.cost - right.cost)
  }

  function isUnmetAndNew (unit: Unit): boolean {
    const claim = claims.get(unit.job)
    const isUnmet = claim !== undefined && claim.ownAccelerators <= claim.guaranteedAccelerators && unit.attempts.length === 0 && isOldEnough(unit)
    if (!isUnmet || loggedRuns.get(unit) === unit.run) return false
    loggedRuns.set(unit, unit.run)
    return true
  }

  function describe (unit: Unit): object {
    const { job: { spec: { jobId, organisation }, acceptedAtMs }, step, index, run, suspicion } = unit
    const search = searches.get(unit)?.result
    const moves = search === undefined ? undefined : { movableRuns: search.movableRuns, candidates: search.candidates, unplacedJobId: search.unplaced?.job.spec.jobId }
    return { jobId, step, index, run, suspicion, organisation, ageMs: Math.round(performance.now() - acceptedAtMs), ...claims.get(unit.job), moves }
  }
}

/** A unit that has been started anew often is left where it is, so that a sequence of claims does not move it again and again; a lasting task serves its users where it is. */
function isMovable (unit: Unit): boolean {
  return !unit.isDone && !unit.spec.isService && !unit.spec.isSpeculative && !isSuspect(unit) && !hasBeenPreempted(unit, maxPreemptionsByUrgent)
}

/** A run that has not begun may be due itself. */
function isAtWork ({ stopReason, members }: Attempt): boolean {
  return stopReason === undefined && members.every(({ state }) => state === MemberState.Running)
}
