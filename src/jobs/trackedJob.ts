/** A job as its scheduler tracks it: units of work, their attempts, and the compact record of its progress. */
import { assert } from '../common/debug.js'
import { formatTaskName, isTerminal, JobState } from './jobModel.js'
import type { JobSpec, StepSpec } from './jobModel.js'

/** Where one member of an attempt stands. */
export enum MemberState {
  /** Its worker is chosen; nothing has been sent. */
  Planned = 'planned',
  /** A start has been sent; whether it was carried out is not known. */
  Ordered = 'ordered',
  Running = 'running',
  /** It has ended, or it is sure that it will never run. */
  Ended = 'ended'
}

/** One task of an attempt on its worker. */
export interface Member {
  readonly attempt: Attempt
  readonly index: number
  readonly workerId: string
  readonly bornAtMs: number
  state: MemberState
  /** When the worker's answer showed that it runs, by the steady clock. */
  presentSinceMs: number
  /** When the worker took a stop for it, by the steady clock. */
  stopTakenAtMs?: number
  isStopLoopRunning: boolean
  progressPercent: number
  /** When `progressPercent` last rose, by the steady clock. */
  progressedAtMs: number
}

/** One try to run a unit; all members share its run number. */
export interface Attempt {
  readonly unit: Unit
  readonly run: number
  readonly members: Member[]
  readonly plannedAtMs: number
  /** Starts are sent: the plan is stored and there is room. */
  isReleased: boolean
  stopReason?: string
}

/** What is started and ended as one: a gang, or a single task. */
export interface Unit {
  readonly job: TrackedJob
  readonly occurrence: number
  readonly step: number
  /** Index of the first task. */
  readonly index: number
  readonly size: number
  readonly spec: StepSpec
  isDone: boolean
  /** The highest run number given out. */
  run: number
  readonly failedRuns: Set<number>
  checkpoint: string
  readonly attempts: Attempt[]
  readonly avoidedWorkers: Set<string>
  waitingSinceMs: number
}

/** A job under its scheduler. */
export interface TrackedJob {
  readonly spec: JobSpec
  state: JobState
  isCancelRequested: boolean
  endedAtMs?: number
  /** Units by occurrence and step. Occurrences appear when they are due. */
  readonly occurrences: Map<number, readonly (readonly Unit[])[]>
  /** The revision of its progress record; 0 where there is none. */
  progressRevision: number
}

/** Creates the tracking of a job that has not begun. */
export function createTrackedJob (spec: JobSpec, nowMs: number): TrackedJob {
  const job: TrackedJob = { spec, state: JobState.Queued, isCancelRequested: false, occurrences: new Map(), progressRevision: 0 }
  if (spec.recurrence === undefined) addOccurrence(job, 0, nowMs)
  return job
}

/** Adds the units of one occurrence. */
export function addOccurrence (job: TrackedJob, occurrence: number, nowMs: number): void {
  if (job.occurrences.has(occurrence)) return
  job.occurrences.set(occurrence, job.spec.steps.map((spec, step) => createUnits(job, occurrence, step, spec, nowMs)))
}

function createUnits (job: TrackedJob, occurrence: number, step: number, spec: StepSpec, nowMs: number): readonly Unit[] {
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
    waitingSinceMs: nowMs
  }))
}

/** All units of the occurrences that are due. */
export function getUnits (job: TrackedJob): readonly Unit[] {
  return [...job.occurrences.values()].flat(2)
}

/** Tells whether every step before the unit's has succeeded in its occurrence. */
export function isTurnOf (unit: Unit): boolean {
  const steps = unit.job.occurrences.get(unit.occurrence)
  return unit.spec.after.every(step => steps?.[step]?.every(before => before.isDone) === true)
}

/** Tells whether the unit may be given workers now. */
export function isWaiting (unit: Unit): boolean {
  const { job } = unit
  return !unit.isDone && unit.attempts.length === 0 && !job.isCancelRequested && !isTerminal(job.state) && isTurnOf(unit)
}

/** Finds the unit that holds a task; undefined where the job has no such task. */
export function findUnit (job: TrackedJob, occurrence: number, step: number, index: number): Unit | undefined {
  const units = job.occurrences.get(occurrence)?.[step]
  if (units === undefined) return undefined
  const isGang = job.spec.steps[step]?.isGang === true
  return isGang ? (index < (units[0]?.size ?? 0) ? units[0] : undefined) : units[index]
}

/** Creates an attempt with the next run number. */
export function createAttempt (unit: Unit, run: number, places: readonly { readonly workerId: string, readonly bornAtMs: number }[], nowMs: number): Attempt {
  assert(places.length === unit.size, 'a gang starts with all of its members')
  assert(run > unit.run, 'run numbers rise')
  unit.run = run
  const attempt: Attempt = { unit, run, members: [], plannedAtMs: nowMs, isReleased: false }
  places.forEach((place, offset) => {
    attempt.members.push(createMember(attempt, unit.index + offset, place.workerId, place.bornAtMs, MemberState.Planned, nowMs))
  })
  unit.attempts.push(attempt)
  return attempt
}

function createMember (attempt: Attempt, index: number, workerId: string, bornAtMs: number, state: MemberState, nowMs: number): Member {
  return { attempt, index, workerId, bornAtMs, state, presentSinceMs: Infinity, isStopLoopRunning: false, progressPercent: 0, progressedAtMs: nowMs }
}

/** The name of a member's task. */
export function getTaskName (member: Member): string {
  const { unit } = member.attempt
  return formatTaskName({ jobId: unit.job.spec.jobId, occurrence: unit.occurrence, step: unit.step, index: member.index })
}

/** Tells whether nothing of the attempt runs or can still start. */
export function isAttemptOver (attempt: Attempt): boolean {
  return attempt.members.every(member => member.state === MemberState.Ended)
}

/** Tells whether all occurrences have succeeded. */
export function isWholeJobDone (job: TrackedJob): boolean {
  const wanted = job.spec.recurrence?.times ?? 1
  return job.occurrences.size === wanted && getUnits(job).every(unit => unit.isDone)
}

/** Tells whether any task has been started. */
export function hasBegun (job: TrackedJob): boolean {
  return getUnits(job).some(unit => unit.run > 0)
}

// The stored form: one compact value a job.

interface ProgressRecord {
  readonly state: JobState
  readonly endedAtMs?: number
  /** Indices of finished units by "occurrence.step", as a bitmap in hexadecimal digits, lowest index first. */
  readonly done: Readonly<Record<string, string>>
  readonly units: readonly UnitRecord[]
}

type AttemptRecord = readonly [run: number, members: readonly (readonly [index: number, workerId: string, bornAtMs: number])[]]
type UnitRecord = readonly [occurrence: number, step: number, index: number, run: number, failedRuns: readonly number[], checkpoint: string, attempts: readonly AttemptRecord[]]

const bitsPerDigit = 4

/** Writes the progress of a job as the store keeps it. */
export function encodeProgress (job: TrackedJob): string {
  const done: Record<string, string> = {}
  const units: UnitRecord[] = []
  for (const [occurrence, steps] of job.occurrences) {
    steps.forEach((stepUnits, step) => {
      if (stepUnits.some(unit => unit.isDone)) done[`${occurrence}.${step}`] = encodeBitmap(stepUnits.map(unit => unit.isDone))
      for (const unit of stepUnits) if (unit.run > 0 && !isSettled(unit)) units.push(toRecord(unit))
    })
  }
  const record: ProgressRecord = { state: job.state, ...(job.endedAtMs === undefined ? {} : { endedAtMs: job.endedAtMs }), done, units: isTerminal(job.state) ? [] : units }
  return JSON.stringify(record)
}

/** A finished unit without attempts needs no record of its own. */
function isSettled (unit: Unit): boolean {
  return unit.isDone && unit.attempts.length === 0
}

function toRecord (unit: Unit): UnitRecord {
  const attempts = unit.attempts.map((attempt): AttemptRecord => [
    attempt.run,
    attempt.members.filter(member => member.state !== MemberState.Ended).map(member => [member.index, member.workerId, member.bornAtMs] as const)
  ])
  return [unit.occurrence, unit.step, unit.index, unit.run, [...unit.failedRuns], unit.checkpoint, attempts]
}

/** Reads only the state of a progress record. */
export function decodeState (value: string): JobState {
  return (JSON.parse(value) as ProgressRecord).state
}

/** Puts a stored progress into a newly tracked job. Members are `Ordered` until their workers have been looked at. */
export function restoreProgress (job: TrackedJob, value: string, revision: number, nowMs: number): void {
  const record = JSON.parse(value) as ProgressRecord
  job.progressRevision = revision
  job.state = record.state
  job.endedAtMs = record.endedAtMs
  for (const [place, bitmap] of Object.entries(record.done)) {
    const [occurrence = 0, step = 0] = place.split('.').map(Number)
    addOccurrence(job, occurrence, nowMs)
    job.occurrences.get(occurrence)?.[step]?.forEach((unit, index) => { unit.isDone = isBitSet(bitmap, index) })
  }
  for (const unitRecord of record.units) restoreUnit(job, unitRecord, nowMs)
}

function restoreUnit (job: TrackedJob, [occurrence, step, index, run, failedRuns, checkpoint, attempts]: UnitRecord, nowMs: number): void {
  addOccurrence(job, occurrence, nowMs)
  const unit = findUnit(job, occurrence, step, index)
  assert(unit !== undefined, 'a progress record names units of its job')
  unit.run = run
  unit.checkpoint = checkpoint
  failedRuns.forEach(failedRun => unit.failedRuns.add(failedRun))
  for (const [attemptRun, members] of attempts) {
    const attempt: Attempt = { unit, run: attemptRun, members: [], plannedAtMs: nowMs, isReleased: true }
    for (const [memberIndex, workerId, bornAtMs] of members) attempt.members.push(createMember(attempt, memberIndex, workerId, bornAtMs, MemberState.Ordered, nowMs))
    unit.attempts.push(attempt)
  }
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
