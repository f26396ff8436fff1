/** The state of the lease model: a worker with two runs, terms and their records, and orders that are carried out late. */
import type { SilentEntry } from './endPolicies.js'

/** How often each disturbance may happen. */
export interface Disturbances {
  /** Lives of the worker that end. */
  readonly deaths: number
  /** Lives that begin under the same id. */
  readonly restarts: number
  /** Cuts of the worker. */
  readonly cuts: number
  /** Orders that get no answer although the worker could be reached. */
  readonly lostAnswers: number
  /** Of those, orders that are carried out late. */
  readonly lateOrders: number
  readonly termEnds: number
  /** Writes to the store that are not done. */
  readonly lostWrites: number
}

/** From whom the worker is cut off. */
export enum Cut { None, Hosts, All }
/** What the present term knows of a run. */
export enum RunState { None, StartSent, Running, Ended }

/** The outcome of an order at a worker that can be reached. */
export enum Outcome { Answered, Refused, NotExecuted, Executed, Late }

/** How work under way has begun. */
export enum Begin { OnTime, OnTimeUnknownLife, LateSameLife, LateListedLife, LateHiddenLife }

/** The descriptions of `Begin`. */
export const beginNames: Readonly<Record<Begin, string>> = {
  [Begin.OnTime]: 'a start on time',
  [Begin.OnTimeUnknownLife]: 'a start on time in a later life that its term did not know',
  [Begin.LateSameLife]: 'a late start in the life to which it was sent',
  [Begin.LateListedLife]: 'a late start in a listed later life',
  [Begin.LateHiddenLife]: 'a late start in a hidden later life'
}

/** Whether a start of a run has got no answer, and whether a report has listed the run since. */
export enum UnansweredStart { None, Unlisted, Listed }

/** An order that may be carried out late. */
export interface LateOrder {
  /** The run to start, or `poll`. */
  readonly run: number
  readonly term: number
  /** The life to which it was sent. */
  readonly life: number
  /** Steps between the end of the lease that it asks for and that of one that is requested when it is sent. */
  readonly leaseSpent: number
  age: number
}

/** One run on the worker. */
export interface RunModel {
  state: RunState
  plannedLife: number
  /** The life that the present term believes to run it; 0 if none. */
  runningLife: number
  unansweredAge: number
  isRestored: boolean
  /** Not part of what a term knows: for the starts of all terms. */
  unansweredStart: UnansweredStart
  /** The latest life whose report to the present term lists it; 0 if there is none. */
  reportedLife: number
  /** A report of that life that was requested after the latest start without an answer lists it. */
  isListedSinceStart: boolean
  /** Start requests of the present term that have got no answer, and whether one has been answered. */
  unansweredStarts: number
  isStartAnswered: boolean
  /** Not part of what a term knows: how the work that is under way has begun. */
  begun: Begin
  /** By what the run counts as ended. */
  endedBy: string
  /** Steps for which the run has not counted as ended although it should. */
  overdueSteps: number
}

/** The present term. */
export interface TermModel {
  readonly index: number
  age: number
  knownLife: number
  isReachable: boolean
  hasClock: boolean
  silentSteps: number
  extendedAge: number
  /** Steps since the latest start was sent; Infinity if there is none. */
  startAge: number
  laterLifeAge: number
  hasGranted: boolean
  /** The poll before has not extended the lease because the stored record mentioned the worker. */
  wasPutOff: boolean
}

/** The stored record of a term. */
export interface RecordModel {
  readonly term: number
  ttl: number
  isExcluded: boolean
  silent: SilentEntry | undefined
  /** What the latest renewal says of the worker; its lease is not extended before a record without it is stored. */
  renewal: SilentEntry | undefined
}

/** The state of the model. */
export interface LeaseState {
  life: number
  isAlive: boolean
  /** By life; the first element stands for no life. */
  lifeAges: number[]
  cut: Cut
  leaseLeft: number
  /** Not part of what a term knows: the life has carried out a late poll that was sent to an earlier one. */
  isExtendedLate: boolean
  /** The highest term that the life has seen. */
  fence: number
  /** Runs, as bits, that are at work, and that the life refuses. */
  atWork: number
  refused: number
  listedLife: number
  lateOrders: LateOrder[]
  runs: RunModel[]
  records: RecordModel[]
  term: TermModel | undefined
  termCount: number
  left: { -readonly [Key in keyof Disturbances]: number }
  /** Steps since any term last sent an order that may extend the lease. Not part of what a term knows. */
  sentAge: number
  /** A term has ended within the steps that it takes to notice and record that a worker is silent. */
  wasLossUnnoticed: boolean
}

/** Longer than all durations of the model, in steps. */
export const ageLimit = 200

/** Creates a run that has not been planned. */
export function createRun (): RunModel {
  return { state: RunState.None, plannedLife: 0, runningLife: 0, unansweredAge: Infinity, isRestored: false, unansweredStart: UnansweredStart.None, reportedLife: 0, isListedSinceStart: false, unansweredStarts: 0, isStartAnswered: false, begun: Begin.OnTime, endedBy: '', overdueSteps: 0 }
}

/** Creates a term that begins. */
export function createTerm (index: number, knownLife: number): TermModel {
  return { index, age: 0, knownLife, isReachable: false, hasClock: false, silentSteps: 0, extendedAge: 0, startAge: Infinity, laterLifeAge: Infinity, hasGranted: false, wasPutOff: false }
}

/** Tells whether the worker gets what hosts send. */
export function isReachable ({ isAlive, cut }: LeaseState): boolean {
  return isAlive && cut === Cut.None
}

/** The entry one step later. */
export function countDown (entry: SilentEntry | undefined): SilentEntry | undefined {
  return entry === undefined || entry.timerSteps === 0 ? entry : { ...entry, timerSteps: entry.timerSteps - 1 }
}

/** Tells whether the worker is granted nothing before a record without it is stored. */
export function isNamed ({ isExcluded, silent }: RecordModel): boolean {
  return isExcluded || silent !== undefined
}

/** The run with the index. */
export function getRun ({ runs }: LeaseState, index: number): RunModel {
  return runs[index] as RunModel
}

/** The record of the term. */
export function getRecord ({ records }: LeaseState, { index }: TermModel): RecordModel {
  return records.find(({ term }) => term === index) as RecordModel
}

/** Copies a state. */
export function clone (state: LeaseState): LeaseState {
  return {
    ...state,
    lifeAges: [...state.lifeAges],
    lateOrders: state.lateOrders.map(order => ({ ...order })),
    runs: state.runs.map(run => ({ ...run })),
    records: state.records.map(record => ({ ...record })),
    term: state.term === undefined ? undefined : { ...state.term },
    left: { ...state.left }
  }
}

const keyBuffer = new Uint16Array(256)

/** A key that is the same for equal states. */
export function getKey (state: LeaseState): string {
  const { term, left } = state
  let length = 0
  add(state.life, Number(state.isAlive), state.cut, state.leaseLeft, state.fence, state.atWork, state.refused, state.listedLife, state.termCount, state.sentAge, Number(state.wasLossUnnoticed), Number(state.isExtendedLate))
  add(left.deaths, left.restarts, left.cuts, left.lostAnswers, left.lateOrders, left.termEnds, left.lostWrites)
  for (const age of state.lifeAges) add(age)
  for (const run of state.runs) {
    add(run.state, run.plannedLife, run.runningLife, run.reportedLife, run.begun, Math.min(ageLimit, run.unansweredAge), run.overdueSteps, Number(run.isListedSinceStart), run.unansweredStarts, Number(run.isStartAnswered), Number(run.isRestored), run.unansweredStart, run.endedBy.length)
  }
  for (const { term, ttl, isExcluded, silent, renewal } of state.records) {
    add(term, ttl, Number(isExcluded))
    addEntry(silent)
    addEntry(renewal)
  }
  add(ageLimit)
  for (const { run, term, life, leaseSpent, age } of state.lateOrders) add(run + 1, term, life, leaseSpent, age)
  add(ageLimit)
  if (term !== undefined) {
    add(term.age, term.knownLife, Number(term.isReachable), Number(term.hasClock), Number(term.hasGranted), Number(term.wasPutOff), term.silentSteps, term.extendedAge, Math.min(ageLimit, term.startAge), Math.min(ageLimit, term.laterLifeAge))
  }
  return String.fromCharCode(...keyBuffer.subarray(0, length))

  function addEntry (entry: SilentEntry | undefined): void {
    add(entry?.timerSteps ?? ageLimit)
    if (entry !== undefined) add(entry.vouchedLife, entry.exceptions.length, ...entry.exceptions)
  }

  function add (...numbers: readonly number[]): void {
    for (const number of numbers) keyBuffer[length++] = number
  }
}
