/**
 * Weighs whether the crashes of workers speak against the tasks that ran there. Does no I/O and reads no clock. See docs/design/crash-evidence.md.
 */
import { EndCause, Suspicion } from '../jobs/trackedJob.js'
import type { CrashRecord } from '../jobs/trackedJob.js'

/** What is known of a run on a worker whose life has ended. */
export enum Presence {
  /** An answer or a report of that life confirmed the run as running. */
  Confirmed = 'confirmed',
  /** An earlier scheduler has planned it; what its worker answered is not known. */
  Restored = 'restored',
  /** The start may have been sent; nothing shows that it was carried out. */
  Unconfirmed = 'unconfirmed',
  /** Confirmed or planned by an earlier scheduler; the life has accepted its stop, and has not reported its end: a stop takes time, in which the run may still crash its worker. */
  Stopping = 'stopping',
  /** An answer that came after the birth of the new life confirmed it, so that the new life has probably started it. Its report shows whether it has. */
  InNewLife = 'in-new-life',
  /** The run cannot have ended with that life. */
  None = 'none'
}

/** What is known of a run when a new life of its worker is found. Times are by the monotonic clock, but for the births, which are on the worker's clock. */
export interface RunOnLife {
  /** The life that was listed when the run was planned. */
  readonly plannedBornAtMs: number
  /** The life whose report has listed the run. */
  readonly reportedBornAtMs: number | undefined
  readonly startedAtMs: number | undefined
  /** When the worker accepted a stop request, or restored by a takeover: -Infinity. */
  readonly startExcludedAtMs: number | undefined
  readonly isRestored: boolean
}

/** Tells whether a run was on the life that ended before the birth of the new one. `newBirthMs` is that birth by the monotonic clock. */
export function getPresence (run: RunOnLife, newBornAtMs: number, newBirthMs: number): Presence {
  if (run.reportedBornAtMs !== undefined && run.reportedBornAtMs >= newBornAtMs) return Presence.None
  if (run.plannedBornAtMs >= newBornAtMs) return Presence.None
  const stoppedAtMs = run.startExcludedAtMs ?? Infinity
  // A stop that the new life has accepted says nothing about the life before.
  if (stoppedAtMs > -Infinity && stoppedAtMs < newBirthMs) {
    const wasThere = run.reportedBornAtMs !== undefined || run.isRestored || (run.startedAtMs !== undefined && run.startedAtMs <= newBirthMs)
    return wasThere ? Presence.Stopping : Presence.Unconfirmed
  }
  if (run.reportedBornAtMs !== undefined) return Presence.Confirmed
  if (run.startedAtMs !== undefined) return run.startedAtMs > newBirthMs ? Presence.InNewLife : Presence.Confirmed
  return run.isRestored ? Presence.Restored : Presence.Unconfirmed
}

/** The place of a worker in the pool. */
export interface WorkerLocation {
  readonly machine: string
  readonly service: string
  readonly domain: string
  readonly rack: string
  /** The birth of its latest life, on the worker's clock. */
  readonly bornAtMs: number
}

/** How many workers a rack, a failure domain and a pool have, and how many of them started anew within the same seconds. */
export interface Coincidence {
  readonly rack: string
  readonly domain: string
  readonly pool: string
  /** The share of other workers that crashed, of the scope in which it is the largest. */
  readonly share: number
}

/** Restarts of workers that crashed at the same moment end within this, in ms: they take several seconds, and cuts delay some of them. */
const sameMomentMs = 3_000

/** The part of a rack or failure domain that has to crash, in workers and as a share, before it counts by itself: two unrelated crashes may share a rack. */
const minScopeCrashes = 2
const minScopeShare = 0.5

/** The births of the latest lives of all workers, by rack, failure domain and pool. */
export interface BirthIndex {
  /** Counts the workers that started anew within the same seconds as a crashed one, except those in `ownMachines`, whose crash the same unit may have caused. */
  measure (crashed: WorkerLocation, ownMachines: ReadonlySet<string>): Coincidence
}

/** Creates the index: a failure domain that fails has thousands of workers, each of which is compared with all others. */
export function createBirthIndex (workers: Iterable<WorkerLocation>): BirthIndex {
  const byMachine = new Map<string, WorkerLocation>()
  for (const worker of workers) {
    const known = byMachine.get(worker.machine)
    if (known === undefined || known.bornAtMs < worker.bornAtMs) byMachine.set(worker.machine, worker)
  }
  const birthsByScope = new Map<string, number[]>()
  for (const worker of byMachine.values()) {
    for (const scope of getScopes(worker)) {
      const births = birthsByScope.get(scope)
      if (births === undefined) birthsByScope.set(scope, [worker.bornAtMs])
      else births.push(worker.bornAtMs)
    }
  }
  for (const births of birthsByScope.values()) births.sort((left, right) => left - right)

  return { measure }

  function measure (crashed: WorkerLocation, ownMachines: ReadonlySet<string>): Coincidence {
    const excluded = [...new Set([...ownMachines, crashed.machine])].flatMap(machine => byMachine.get(machine) ?? [])
    const counts = getScopes(crashed).map(scope => {
      const births = birthsByScope.get(scope) ?? []
      const own = excluded.filter(worker => getScopes(worker).includes(scope))
      const ownCrashed = own.filter(({ bornAtMs }) => Math.abs(bornAtMs - crashed.bornAtMs) <= sameMomentMs).length
      const all = births.length - own.length
      return { all, crashed: countUpTo(births, crashed.bornAtMs + sameMomentMs) - countUpTo(births, crashed.bornAtMs - sameMomentMs - 1) - ownCrashed }
    })
    const shares = counts.map(({ all, crashed: count }, scope) => {
      if (count === 0 || (scope > 0 && (count < minScopeCrashes || count < all * minScopeShare))) return 0
      return (count + 0.5) / (all + 1)
    })
    const [pool = '', domain = '', rack = ''] = counts.map(({ all, crashed: count }) => `${count}/${all}`)
    return { pool, domain, rack, share: Math.max(...shares) }
  }
}

function getScopes ({ service, domain, rack }: WorkerLocation): readonly string[] {
  return [service, `${service}/${domain}`, `${service}/${domain}/${rack}`]
}

/** The number of values up to the limit in an ascending list. */
function countUpTo (values: readonly number[], limit: number): number {
  let low = 0
  let high = values.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((values[middle] as number) <= limit) low = middle + 1
    else high = middle
  }
  return low
}

/** The circumstances of one crash under one task. */
export interface CrashCircumstances {
  readonly presence: Presence
  /** The worker was draining: its life may have ended as planned, so that it is no evidence, but the task may have crashed it all the same. */
  readonly wasDraining?: boolean
  /** The share of other workers that crashed within the same seconds. */
  readonly coincidentShare: number
  /** The shortest time from the start to the crash that fits what is known, in ms; undefined if the start is not known. */
  readonly minRanMs: number | undefined
  /** The machine has crashed before, under other units or in an earlier run of this one. */
  readonly hasMachineCrashedBefore: boolean
  /** The sum of the probabilities that other units on the worker cause crashes. */
  readonly othersProbability: number
}

/** Jobs that crash workers are rare: at most one in a hundred even on bad days; a tenth of that keeps a single crash from convicting anything. */
const priorProbability = 0.001
/** The probability that a worker crashes for reasons of its own during a run. */
const spontaneousCrash = 0.02
/** The same for a machine that has crashed before. */
const spontaneousCrashOfUnsoundMachine = 0.3
/** A worker of an earlier term may have been drained or moved since, which that term's record does not show. */
const unknownEnd = 0.05
/** The probability that a task of the kind that crashes its worker does so in a run. */
const crashIfGuilty: Readonly<Record<Presence, number>> = { [Presence.Confirmed]: 0.95, [Presence.Restored]: 0.7, [Presence.Unconfirmed]: 0.5, [Presence.Stopping]: 0.5, [Presence.InNewLife]: 0, [Presence.None]: 0 }
/** A crash this soon after the start, in ms, fits a task that crashes the workers that start it better than other causes, which do not follow starts. */
const promptMs = 1_000
const promptFactor = 3
/** From this share on, a crash is one of many. */
const massShare = 0.1

/** How much likelier the crash is if the task causes such crashes than if it does not. */
export function getLikelihoodRatio (circumstances: CrashCircumstances): number {
  const { presence, coincidentShare, minRanMs, hasMachineCrashedBefore, othersProbability } = circumstances
  if (!isCounted(circumstances) || circumstances.wasDraining === true) return 1
  // Whether the stop had ended the run before the worker crashed is not known, and many crash with stopping runs: the run counts towards the bound only.
  if (presence === Presence.Stopping && coincidentShare >= massShare) return 1
  const ownCrash = hasMachineCrashedBefore ? spontaneousCrashOfUnsoundMachine : spontaneousCrash
  const isEndUnknown = presence === Presence.Restored
  const otherwise = Math.min(1, 1 - (1 - ownCrash) * (1 - coincidentShare) * (1 - (isEndUnknown ? unknownEnd : 0)) + othersProbability)
  const guilty = crashIfGuilty[presence]
  const isPrompt = presence === Presence.Confirmed && minRanMs !== undefined && minRanMs < promptMs
  return guilty * (isPrompt ? promptFactor : 1) / otherwise + 1 - guilty
}

/** A run that nothing confirmed does not count in a crash of many workers: such runs are on many of them. */
export function isCounted ({ presence, coincidentShare }: CrashCircumstances): boolean {
  if (presence === Presence.None || presence === Presence.InNewLife) return false
  return presence !== Presence.Unconfirmed || coincidentShare < massShare
}

/** The longest time from start to crash that fits: a report is at most this old when contact is lost, in ms, as polls wait 1.5 s and a broken connection shows in 0.5 s. */
const maxReportAgeMs = 2_000
/** Assumed where the start is not known, in ms: the longest time in which a worker has started anew. */
const unknownRanMs = 4_000

/** The longest time from the start to the crash, in ms, from the shortest that was seen and from the birth of the next life. */
export function getMaxRanMs (minRanMs: number | undefined, sinceStartMs: number): number {
  return minRanMs === undefined ? unknownRanMs : Math.max(0, Math.min(minRanMs + maxReportAgeMs, sinceStartMs))
}

/** A run contradicts a crash if it worked for longer by this factor and this time, in ms. */
const survivalFactor = 1.5
const survivalMarginMs = 1_000

/** Tells whether a run of a task that has worked for `workedMs` without a crash shows that the task did not cause the recorded one. */
export function isContradicted (record: CrashRecord, index: number, run: number, workedMs: number): boolean {
  return record.run !== run && record.indices.includes(index) && workedMs >= survivalFactor * record.ranMs + survivalMarginMs
}

/**
 * Tells whether a run that ended without a crash uses up one of the starts that remain: after three crashes it does, unless it has worked for longer than the runs that crashed.
 * A task may crash its workers in most runs only.
 */
export function usesUpStart (records: readonly CrashRecord[], index: number, workedMs: number, nowMs: number): boolean {
  const own = records.filter(({ indices }) => indices.includes(index))
  return judge(own, nowMs).runsAtRisk >= isolateFromCrashes && own.every(({ cause, ranMs }) => cause !== EndCause.Crash || workedMs <= ranMs)
}

/** The decision on a unit. */
export enum Verdict {
  Keep = 'keep',
  /** It stays apart from other suspects. */
  Suspect = 'suspect',
  /** It runs alone on its worker. */
  Isolate = 'isolate',
  GiveUp = 'give-up'
}

/** The decision, and what it rests on. */
export interface Judgement {
  readonly verdict: Verdict
  /** The probability that the unit causes the crashes. */
  readonly probability: number
  /** The largest number of counted crashes under one task. */
  readonly crashes: number
  /** The largest number of runs of one task that have ended with a crash or may have done so. */
  readonly runsAtRisk: number
}

/** Two starts after three crashes are allowed. Source: the platform's rules. */
export const maxCrashRuns = 5
/** To fail a job that could be done costs its caller the whole job; one more start of a guilty unit that runs alone costs one worker some seconds. */
const giveUpProbability = 0.95
const minCrashesToGiveUp = 2
/** An empty worker for the unit costs others room. */
const isolateProbability = 0.2
/** From this number of crashes on, a unit runs alone whatever the probability: two more at most may follow. */
const isolateFromCrashes = 3
/** Ten times the prior. */
const suspectProbability = 0.01
/** How long a worker that was lost with a run is waited for before it counts as cut off, in ms: workers that crash are back after some seconds. */
export const pendingLimitMs = 10_000
/**
 * How long a new term waits at least for the machine of a worker that an earlier term has lost, in ms, however long ago that was: the machine may have come back
 * while no host scheduled. Entries of workers are back within 2 s, and a first poll takes a round trip.
 */
export const restoredPendingMs = 2_500

/**
 * The number of crashes under a task from which on its other ends count beside them, by what ended the run. Planned ends of workers are no evidence against a task:
 * by themselves they never count. Beside three crashes they use up starts, as a task may crash a draining worker too, and may crash its workers in most runs only.
 */
const countsFromCrashes: Readonly<Record<EndCause, number>> = {
  [EndCause.Crash]: 0,
  [EndCause.Drain]: isolateFromCrashes,
  [EndCause.WithoutCrash]: isolateFromCrashes,
  // Only waited for.
  [EndCause.Unknown]: Infinity
}

/** The records of one task. */
interface Tally {
  odds: number
  /** Runs whose worker may still turn out to have crashed. */
  awaited: number
  readonly counted: Record<EndCause, number>
}

/** Decides on a unit by the crashes under it. */
export function judge (records: readonly CrashRecord[], nowMs: number): Judgement {
  const tallies = new Map<number, Tally>()
  for (const record of records) {
    for (const index of record.indices) {
      const tally = tallies.get(index) ?? createTally()
      tallies.set(index, tally)
      if (record.cause === EndCause.Unknown) {
        if (isMachineAwaited(record, nowMs)) tally.awaited++
        continue
      }
      tally.odds *= record.likelihoodRatio
      if (record.isCounted) tally.counted[record.cause]++
    }
  }
  const all = [...tallies.values()]
  const odds = Math.max(priorProbability / (1 - priorProbability), ...all.map(tally => tally.odds))
  const probability = odds / (1 + odds)
  const count = Math.max(0, ...all.map(tally => countEnds(tally, 0)))
  return { verdict: getVerdict(probability, count), probability, crashes: count, runsAtRisk: Math.max(0, ...all.map(tally => countEnds(tally, tally.awaited))) }
}

function createTally (): Tally {
  return { odds: priorProbability / (1 - priorProbability), awaited: 0, counted: { [EndCause.Crash]: 0, [EndCause.Drain]: 0, [EndCause.WithoutCrash]: 0, [EndCause.Unknown]: 0 } }
}

/** The runs that count if `awaited` lost workers have crashed. */
function countEnds ({ counted }: Tally, awaited: number): number {
  const crashes = counted[EndCause.Crash] + awaited
  return awaited + Object.values(EndCause).reduce((sum, cause) => sum + (crashes >= countsFromCrashes[cause] ? counted[cause] : 0), 0)
}

/** Tells whether the machine of a pending record may still come back with a new life. */
function isMachineAwaited ({ pendingSinceMs = -Infinity, restoredAtMs = -Infinity }: CrashRecord, nowMs: number): boolean {
  return nowMs - pendingSinceMs < pendingLimitMs || nowMs - restoredAtMs < restoredPendingMs
}

function getVerdict (probability: number, crashes: number): Verdict {
  if (crashes >= maxCrashRuns || (crashes >= minCrashesToGiveUp && probability >= giveUpProbability)) return Verdict.GiveUp
  if (crashes >= isolateFromCrashes || probability >= isolateProbability) return Verdict.Isolate
  return probability >= suspectProbability ? Verdict.Suspect : Verdict.Keep
}

/** What a verdict means for placement. */
export function getSuspicion (verdict: Verdict): Suspicion {
  if (verdict === Verdict.Keep) return Suspicion.None
  return verdict === Verdict.Suspect ? Suspicion.Suspect : Suspicion.Isolated
}
