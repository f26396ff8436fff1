/** The scheduler's state of a job: its scheduling units, their attempts, and the compact encoding of its progress record. */
import { assert } from '../common/assertions.js'
import { tryParseJson } from '../common/boundedJson.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { formatTaskName, isTerminal, JobState } from './jobModel.js'
import type { JobSpec, StepSpec } from './jobModel.js'

/** The state of one member of an attempt. */
export enum MemberState {
  /** A worker has been chosen; no start request has been sent. */
  Planned = 'planned',
  /** A start request may have been sent; whether the worker executed it is unknown. */
  StartSent = 'ordered',
  Running = 'running',
  /** It has ended, or it is certain never to run. */
  Ended = 'ended'
}

/** One task of an attempt, assigned to a worker. */
export interface Member {
  readonly attempt: Attempt
  readonly index: number
  readonly workerId: string
  /** The life of the worker that was listed when the attempt was planned. The start may have reached a later one. */
  readonly bornAtMs: number
  /** The worker's machine; the worker itself if its machine is not known. */
  readonly machine: string
  state: MemberState
  /** Earliest time at which a response of the worker confirmed it as running, by the monotonic clock. */
  runningSinceMs: number
  /** When the worker confirmed its start request, by the monotonic clock; undefined if that response was lost. */
  startedAtMs?: number
  /** The incarnation of the worker that last confirmed it as running, by its start as Unix time in ms. */
  runningIncarnationMs?: number
  /** When the latest report that lists it as running was requested, by the monotonic clock, and the incarnation that sent the report. */
  reportedAtMs?: number
  reportedBornAtMs?: number | undefined
  /** The number of start requests that have got no answer: each may still be carried out, also by a later incarnation of the worker. */
  unansweredStarts: number
  /** The number of start requests that this term has sent, answered or not. */
  startsSent: number
  startExclusion?: StartExclusion
  isStopLoopRunning: boolean
  progressPercent: number
  /** When `progressPercent` last increased, by the monotonic clock. */
  progressedAtMs: number
  /** The progress that the first report in this term showed, and its time: a run may resume from a checkpoint, or be older than the term. */
  firstProgress?: { readonly percent: number, readonly atMs: number }
}

/** Evidence that a worker will not carry out a start request any more, for example because it has accepted a stop request. */
export interface StartExclusion {
  /** When it was obtained, by the monotonic clock. A report that is requested later shows whether the run was started before. */
  readonly atMs: number
  /**
   * The incarnation for which it holds, by its start as Unix time in ms: the next one knows of no stop and of no epoch. Undefined if it holds for the
   * one that reports first.
   */
  readonly incarnationMs: number | undefined
}

/** One attempt to run a unit. All members share its run number. */
export interface Attempt {
  readonly unit: Unit
  readonly run: number
  readonly members: Member[]
  /** When it was planned or, if `isRestored`, when this term restored it; by the monotonic clock. */
  readonly plannedAtMs: number
  /** A scheduler of an earlier term has planned it. */
  readonly isRestored: boolean
  /** The start requests may be sent: the plan is stored, and the workers have free capacity for all members. */
  isDispatched: boolean
  stopReason?: string
  /** It is being stopped to make room for other work. */
  isPreempted: boolean
}

/** How strongly crashes of workers speak against a unit. */
export enum Suspicion {
  None = 'none',
  /** It shares no worker with other units under suspicion, so that the next crash shows which of them causes it. */
  Suspect = 'suspect',
  /** It shares no worker with any other unit. */
  Isolated = 'isolated'
}

/** What ended a run that is on record under its unit. */
export enum EndCause {
  /** The life of its worker has ended without a drain. */
  Crash = 'crash',
  /** The life of its worker has ended while it was draining: as planned, unless the task crashed it all the same. */
  Drain = 'drain',
  /** It ended while its worker went on: it was stopped, evicted or preempted, or has failed. */
  WithoutCrash = 'without-crash',
  /** Its worker was lost, and the machine has not shown yet whether it has crashed. */
  Unknown = 'unknown'
}

/** One crash of a worker under a run of a unit, or an end of a run that may count beside crashes. */
export interface CrashRecord {
  /** The run and the indices of its tasks on the worker. */
  readonly run: number
  readonly indices: readonly number[]
  readonly machine: string
  /** The life that ended was born at this time or before it, on the worker's clock. */
  readonly bornAtMs: number
  readonly cause: EndCause
  /** When the worker was lost, by the monotonic clock, if `cause` is `Unknown`. Of a loss of an earlier term: the latest time that fits what that term has stored. */
  readonly pendingSinceMs?: number
  /** When this term took over the pending record of an earlier one, by the monotonic clock. */
  restoredAtMs?: number
  /** How much likelier the crash is if the task causes it than if it does not. */
  likelihoodRatio: number
  /** The longest time from the start of the run to the crash, in ms. A run that works for clearly longer contradicts the record. */
  readonly ranMs: number
  /** It may count towards the limit of runs under which workers crash, as far as `cause` allows. */
  isCounted: boolean
}

/** The unit of scheduling, started and ended as a whole: a gang, or a single task. */
export interface Unit {
  readonly job: TrackedJob
  readonly occurrence: number
  readonly step: number
  /** Index of the first task. */
  readonly index: number
  readonly size: number
  readonly spec: StepSpec
  isDone: boolean
  /** The highest run number assigned so far. */
  run: number
  readonly failedRuns: Set<number>
  checkpoint: string
  readonly attempts: Attempt[]
  /** Workers and machines, by id, on which the unit starts only if there is room nowhere else. */
  readonly avoidedWorkers: Set<string>
  /** The crashes of workers under its runs, oldest first. */
  crashes: CrashRecord[]
  suspicion: Suspicion
  /** How many of its latest runs in this term were preempted one after the other. */
  preemptedRuns: number
  /** It is not started, because workers have crashed under it and what is known of them is not complete yet. */
  isWithheld: boolean
  waitingSinceMs: number
  /** The time from which the objective is measured, by the monotonic clock: when the job was accepted or, if it recurs, when the occurrence was due. */
  readonly dueAtMs: number
}

/** A job that the scheduler manages. */
export interface TrackedJob {
  readonly spec: JobSpec
  /** When the job was accepted, by this host's monotonic clock: the hosts' clocks differ and may jump. */
  readonly acceptedAtMs: number
  state: JobState
  /** A worker has begun one of its tasks: a start that was planned, and then refused or never sent, begins nothing. */
  hasBegun: boolean
  isCancelRequested: boolean
  endedAtMs?: number
  /** Units by occurrence and step. An occurrence is added when it is due. */
  readonly occurrences: Map<number, readonly (readonly Unit[])[]>
  /** The revision of its stored progress record; 0 if there is none. */
  progressRevision: number
  /** The revision of the progress record from which this term has restored it; 0 if there was none. */
  restoredRevision: number
}

/** Creates the state of a job that was accepted `ageMs` ago and has not started. */
export function createTrackedJob (spec: JobSpec, nowMs: number, ageMs = 0): TrackedJob {
  const job: TrackedJob = { spec, acceptedAtMs: nowMs - ageMs, state: JobState.Queued, hasBegun: false, isCancelRequested: false, occurrences: new Map(), progressRevision: 0, restoredRevision: 0 }
  if (spec.recurrence === undefined) addOccurrence(job, 0, nowMs)
  return job
}

/** Creates the state of a job whose units are never created, because it is too large to be scheduled. */
export function createOversizedJob (spec: JobSpec, nowMs: number): TrackedJob {
  return { spec, acceptedAtMs: nowMs, state: JobState.Queued, hasBegun: false, isCancelRequested: false, occurrences: new Map(), progressRevision: 0, restoredRevision: 0 }
}

/** Adds the units of an occurrence, unless they exist already. If the job recurs, the occurrence was due `overdueMs` ago. */
export function addOccurrence (job: TrackedJob, occurrence: number, nowMs: number, overdueMs = 0): void {
  if (job.occurrences.has(occurrence)) return
  const dueAtMs = job.spec.recurrence === undefined ? job.acceptedAtMs : nowMs - overdueMs
  job.occurrences.set(occurrence, job.spec.steps.map((spec, step) => createUnits(job, occurrence, step, spec, nowMs, dueAtMs)))
}

function createUnits (job: TrackedJob, occurrence: number, step: number, spec: StepSpec, nowMs: number, dueAtMs: number): readonly Unit[] {
  const unitCount = spec.isGang ? 1 : spec.count
  return Array.from({ length: unitCount }, (_, index) => ({
    job,
    occurrence,
    step,
    index,
    size: spec.isGang ? spec.count : 1,
    spec,
    isDone: false,
    run: 0,
    failedRuns: new Set<number>(),
    checkpoint: '',
    attempts: [],
    avoidedWorkers: new Set<string>(),
    crashes: [],
    suspicion: Suspicion.None,
    preemptedRuns: 0,
    isWithheld: false,
    waitingSinceMs: nowMs,
    dueAtMs
  }))
}

/** Returns all units of the occurrences that are due. */
export function getUnits (job: TrackedJob): readonly Unit[] {
  const units: Unit[] = []
  for (const steps of job.occurrences.values()) {
    for (const ofStep of steps) for (const unit of ofStep) units.push(unit)
  }
  return units
}

/** Tells whether all steps that the unit's step depends on have succeeded in its occurrence. */
export function areDependenciesDone (unit: Unit): boolean {
  const steps = unit.job.occurrences.get(unit.occurrence)
  return unit.spec.after.every(step => steps?.[step]?.every(dependency => dependency.isDone) === true)
}

/** Tells whether the unit is ready to be placed on workers. */
export function isReadyToPlace (unit: Unit): boolean {
  const { job } = unit
  return !unit.isDone && !unit.isWithheld && unit.attempts.length === 0 && !job.isCancelRequested && !isTerminal(job.state) && areDependenciesDone(unit)
}

/** Finds the unit that contains a task; undefined if the job has no such task. */
export function findUnit (job: TrackedJob, occurrence: number, step: number, index: number): Unit | undefined {
  const units = job.occurrences.get(occurrence)?.[step]
  if (units === undefined) return undefined
  const isGang = job.spec.steps[step]?.isGang === true
  return isGang ? (index < (units[0]?.size ?? 0) ? units[0] : undefined) : units[index]
}

/** Where a member starts. */
export interface Place {
  readonly workerId: string
  readonly bornAtMs: number
  /** The worker itself if it is not given. */
  readonly machine?: string
}

/** Creates an attempt with the given run number, which must exceed all earlier ones. */
export function createAttempt (unit: Unit, run: number, places: readonly Place[], nowMs: number): Attempt {
  assert(places.length === unit.size, 'an attempt must have a worker for every member of its unit')
  assert(run > unit.run, 'run numbers must increase')
  unit.run = run
  const attempt: Attempt = { unit, run, members: [], plannedAtMs: nowMs, isRestored: false, isDispatched: false, isPreempted: false }
  places.forEach((place, offset) => {
    attempt.members.push(createMember(attempt, unit.index + offset, place, MemberState.Planned, nowMs))
  })
  unit.attempts.push(attempt)
  return attempt
}

function createMember (attempt: Attempt, index: number, { workerId, bornAtMs, machine = workerId }: Place, state: MemberState, nowMs: number): Member {
  return { attempt, index, workerId, bornAtMs, machine, state, runningSinceMs: Infinity, unansweredStarts: 0, startsSent: 0, isStopLoopRunning: false, progressPercent: 0, progressedAtMs: nowMs }
}

/** Returns the name of a member's task. */
export function getTaskName (member: Member): string {
  const { unit } = member.attempt
  return formatTaskName({ jobId: unit.job.spec.jobId, occurrence: unit.occurrence, step: unit.step, index: member.index })
}

/** Tells whether no member of the attempt is running or can still start. */
export function isAttemptOver (attempt: Attempt): boolean {
  return attempt.members.every(member => member.state === MemberState.Ended)
}

/** Tells whether all occurrences have succeeded. */
export function areAllOccurrencesDone (job: TrackedJob): boolean {
  const occurrenceCount = job.spec.recurrence?.times ?? 1
  return job.occurrences.size === occurrenceCount && getUnits(job).every(unit => unit.isDone)
}

/** Tells whether any task has been started. */
export function hasStarted (job: TrackedJob): boolean {
  return getUnits(job).some(unit => unit.run > 0)
}

// Stored format: one compact value per job.

interface ProgressRecord {
  readonly state: JobState
  /** False if the job is active, and no worker is known to have begun a task. Earlier versions did not store it. */
  readonly hasBegun?: boolean
  readonly endedAtMs?: number
  /** Bitmaps of finished unit indices by "occurrence.step", in hexadecimal digits, lowest index first. */
  readonly done: Readonly<Record<string, string>>
  readonly units: readonly UnitRecord[]
}

type MemberRecord = readonly [index: number, workerId: string, bornAtMs: number, machine?: string]
type AttemptRecord = readonly [run: number, members: readonly MemberRecord[]]
/**
 * `percent` is the likelihood ratio, in hundredths. The flags: 1 is counted, 2 is pending, 4, 8 and 16 give the cause. `pendingMs`: how long it had been pending when the record was written,
 * a lower bound of its age that needs no clock shared by hosts. Earlier versions stored neither it nor the cause, or only the number of crashes by task.
 */
type StoredCrash = readonly [run: number, indices: readonly number[], machine: string, bornAtMs: number, percent: number, ranMs: number, flags: number, pendingMs?: number] | EarlierCrashes
type EarlierCrashes = readonly [index: number, crashes: number]
type UnitRecord = readonly [occurrence: number, step: number, index: number, run: number, failedRuns: readonly number[], checkpoint: string, attempts: readonly AttemptRecord[], crashes?: readonly StoredCrash[]]

const stateNames: ReadonlySet<string> = new Set(Object.values(JobState))
const bitsPerDigit = 4
const countedFlag = 1
const pendingFlag = 2
const causeFlags: Readonly<Record<EndCause, number>> = { [EndCause.Crash]: 4, [EndCause.Drain]: 8, [EndCause.WithoutCrash]: 16, [EndCause.Unknown]: pendingFlag }
const maxEarlierCrashes = 3
/** What a crash counts that an earlier version stored: as one during which no other worker crashed, and up to the longest restart after the start. */
const earlierCrashRatio = 40
const earlierCrashRanMs = 4_000

/** Encodes the progress of a job for the store. `nowMs` is by the monotonic clock. */
export function encodeProgress (job: TrackedJob, nowMs: number): string {
  const done: Record<string, string> = {}
  const units: UnitRecord[] = []
  for (const [occurrence, steps] of job.occurrences) {
    steps.forEach((stepUnits, step) => {
      if (stepUnits.some(unit => unit.isDone)) done[`${occurrence}.${step}`] = encodeBitmap(stepUnits.map(unit => unit.isDone))
      for (const unit of stepUnits) if (unit.run > 0 && !needsNoRecord(unit)) units.push(toRecord(unit, nowMs))
    })
  }
  const record: ProgressRecord = { state: job.state, ...(job.state === JobState.Active && !job.hasBegun ? { hasBegun: false } : {}), ...(job.endedAtMs === undefined ? {} : { endedAtMs: job.endedAtMs }), done, units: isTerminal(job.state) ? [] : units }
  return JSON.stringify(record)
}

/** Tells whether the unit needs no record of its own: it is finished and has no attempts left. */
function needsNoRecord (unit: Unit): boolean {
  return unit.isDone && unit.attempts.length === 0
}

function toRecord (unit: Unit, nowMs: number): UnitRecord {
  const attempts = unit.attempts.map((attempt): AttemptRecord => [
    attempt.run,
    attempt.members.filter(member => member.state !== MemberState.Ended).map(toMemberRecord)
  ])
  const record = [unit.occurrence, unit.step, unit.index, unit.run, [...unit.failedRuns], unit.checkpoint, attempts] as const
  return unit.crashes.length === 0 ? record : [...record, unit.crashes.map(crash => toStoredCrash(crash, nowMs))]
}

function toMemberRecord ({ index, workerId, bornAtMs, machine }: Member): MemberRecord {
  return machine === workerId ? [index, workerId, bornAtMs] : [index, workerId, bornAtMs, machine]
}

function toStoredCrash ({ run, indices, machine, bornAtMs, cause, likelihoodRatio, ranMs, isCounted, pendingSinceMs }: CrashRecord, nowMs: number): StoredCrash {
  const flags = (isCounted ? countedFlag : 0) + causeFlags[cause]
  const stored = [run, indices, machine, bornAtMs, Math.round(100 * likelihoodRatio), Math.round(ranMs), flags] as const
  return pendingSinceMs === undefined ? stored : [...stored, Math.max(0, Math.floor(nowMs - pendingSinceMs))]
}

/** The time between the write and the takeover is not known, and counts as none. */
function restoreCrash (stored: StoredCrash, position: number, nowMs: number): readonly CrashRecord[] {
  if (stored.length === 2) return Array.from({ length: stored[1] }, (_, number) => createEarlierCrash(stored[0], -1 - number - maxEarlierCrashes * position))
  const [run, indices, machine, bornAtMs, percent, ranMs, flags, pendingMs = 0] = stored
  const cause = getCause(flags, percent)
  return [{ run, indices, machine, bornAtMs, cause, likelihoodRatio: percent / 100, ranMs, isCounted: (flags & countedFlag) !== 0, ...(cause === EndCause.Unknown ? { pendingSinceMs: nowMs - pendingMs } : {}) }]
}

/** Earlier versions stored no cause, and the ends of draining workers with the likelihood ratio of no evidence. */
function getCause (flags: number, percent: number): EndCause {
  const cause = Object.values(EndCause).find(value => (flags & causeFlags[value]) !== 0)
  return cause ?? (percent === 100 ? EndCause.Drain : EndCause.Crash)
}

/** Earlier versions gave up at three crashes, and stored neither the machines nor the runs: negative run numbers tell them apart. */
function createEarlierCrash (index: number, run: number): CrashRecord {
  return { run, indices: [index], machine: '', bornAtMs: 0, cause: EndCause.Crash, likelihoodRatio: earlierCrashRatio, ranMs: earlierCrashRanMs, isCounted: true }
}

/** Decodes only the state of a progress record. Errors: `internal` if the record is malformed. */
export function decodeState (value: string): JobState {
  const record = tryParseJson(value)
  if (isObject(record) && isState(record.state)) return record.state
  throw createError(ErrorKind.Internal, 'the stored progress of the job cannot be decoded')
}

/**
 * Restores stored progress into a newly created job. Members are `StartSent` until their workers have reported what is running. Returns false if
 * the record is malformed; the job must not be used then.
 */
export function tryRestoreProgress (job: TrackedJob, value: string, revision: number, nowMs: number, unixNowMs: number): boolean {
  const record = tryParseJson(value)
  if (!isProgressRecord(record) || !namesOnlyOccurrencesOf(job.spec, record)) return false
  restoreState(job, record, revision)
  for (const [stepKey, bitmap] of Object.entries(record.done)) {
    const [occurrence = 0, step = 0] = stepKey.split('.').map(Number)
    addOccurrence(job, occurrence, nowMs, getOverdueMs(job.spec, occurrence, unixNowMs))
    job.occurrences.get(occurrence)?.[step]?.forEach((unit, index) => { unit.isDone = isBitSet(bitmap, index) })
  }
  return record.units.every(unitRecord => {
    addOccurrence(job, unitRecord[0], nowMs, getOverdueMs(job.spec, unitRecord[0], unixNowMs))
    return tryRestoreUnit(job, unitRecord, nowMs)
  })
}

/** Restores only the state of a job, without its units. Returns false if the record is malformed; the job must not be used then. */
export function tryRestoreState (job: TrackedJob, value: string, revision: number): boolean {
  const record = tryParseJson(value)
  if (!isProgressRecord(record)) return false
  restoreState(job, record, revision)
  return true
}

function restoreState (job: TrackedJob, { state, hasBegun, endedAtMs }: ProgressRecord, revision: number): void {
  job.progressRevision = revision
  job.restoredRevision = revision
  job.state = state
  job.hasBegun = hasBegun ?? state !== JobState.Queued
  job.endedAtMs = endedAtMs
}

/** An occurrence that the job does not have would be created with all of its units. */
function namesOnlyOccurrencesOf ({ recurrence }: JobSpec, { done, units }: ProgressRecord): boolean {
  const occurrenceCount = recurrence?.times ?? 1
  return Object.keys(done).every(stepKey => parseInt(stepKey, 10) < occurrenceCount) && units.every(([occurrence]) => occurrence < occurrenceCount)
}

// Written by hand rather than with a schema, since a new scheduler decodes all records before it starts anything.

function isProgressRecord (value: unknown): value is ProgressRecord {
  return isObject(value) && isState(value.state) && (value.hasBegun === undefined || typeof value.hasBegun === 'boolean') && (value.endedAtMs === undefined || isNumber(value.endedAtMs)) &&
    isObject(value.done) && Object.entries(value.done).every(([key, bitmap]) => /^\d{1,9}\.\d{1,9}$/.test(key) && typeof bitmap === 'string') &&
    Array.isArray(value.units) && value.units.every(isUnitRecord)
}

function isUnitRecord (value: unknown): value is UnitRecord {
  if (!Array.isArray(value)) return false
  const [occurrence, step, index, run, failedRuns, checkpoint, attempts, crashes = []] = value as readonly unknown[]
  return [occurrence, step, index, run].every(isIndex) && isArrayOf(failedRuns, isIndex) && typeof checkpoint === 'string' &&
    isArrayOf(attempts, isAttemptRecord) && isArrayOf(crashes, isStoredCrash)
}

function isAttemptRecord (value: unknown): boolean {
  return Array.isArray(value) && isIndex(value[0]) && isArrayOf(value[1], isMemberRecord)
}

function isMemberRecord (value: unknown): boolean {
  return Array.isArray(value) && isIndex(value[0]) && typeof value[1] === 'string' && isNumber(value[2]) && (value[3] === undefined || typeof value[3] === 'string')
}

function isStoredCrash (value: unknown): boolean {
  if (!Array.isArray(value)) return false
  if (value.length === 2) return isIndex(value[0]) && isIndex(value[1]) && value[1] <= maxEarlierCrashes
  const [run, indices, machine, bornAtMs, percent, ranMs, flags, pendingMs = 0] = value as readonly unknown[]
  return isNumber(run) && isArrayOf(indices, isIndex) && typeof machine === 'string' && isNumber(bornAtMs) && isNumber(flags) && isIndex(pendingMs) &&
    // An infinite value is stored as null.
    [percent, ranMs].every(value => value === null || isNumber(value))
}

function isArrayOf (value: unknown, isElement: (element: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isElement)
}

function isState (value: unknown): value is JobState {
  return typeof value === 'string' && stateNames.has(value)
}

function isIndex (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

function isNumber (value: unknown): value is number {
  return Number.isFinite(value)
}

function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/** How long ago an occurrence was due, in ms, by the time of day; 0 if the job does not recur. */
export function getOverdueMs ({ recurrence }: JobSpec, occurrence: number, unixNowMs: number): number {
  return recurrence === undefined ? 0 : Math.max(0, unixNowMs - recurrence.firstAtMs - occurrence * recurrence.intervalMs)
}

function tryRestoreUnit (job: TrackedJob, [occurrence, step, index, run, failedRuns, checkpoint, attempts, crashes = []]: UnitRecord, nowMs: number): boolean {
  const unit = findUnit(job, occurrence, step, index)
  if (unit === undefined) return false
  unit.run = run
  unit.checkpoint = checkpoint
  failedRuns.forEach(failedRun => unit.failedRuns.add(failedRun))
  unit.crashes = crashes.flatMap((stored, position) => restoreCrash(stored, position, nowMs))
  for (const [attemptRun, members] of attempts) {
    const attempt: Attempt = { unit, run: attemptRun, members: [], plannedAtMs: nowMs, isRestored: true, isDispatched: true, isPreempted: false }
    for (const [memberIndex, workerId, bornAtMs, machine = workerId] of members) attempt.members.push(createMember(attempt, memberIndex, { workerId, bornAtMs, machine }, MemberState.StartSent, nowMs))
    unit.attempts.push(attempt)
  }
  return true
}

function encodeBitmap (bits: readonly boolean[]): string {
  const digits: string[] = []
  for (let start = 0; start < bits.length; start += bitsPerDigit) {
    let digit = 0
    for (let offset = 0; offset < bitsPerDigit; offset++) if (bits[start + offset] === true) digit |= 1 << offset
    digits.push(digit.toString(16))
  }
  return digits.join('')
}

function isBitSet (bitmap: string, index: number): boolean {
  const digit = parseInt(bitmap[Math.floor(index / bitsPerDigit)] ?? '0', 16)
  return (digit >> (index % bitsPerDigit) & 1) === 1
}
