/** The state of the end model: one worker with two runs, one term, and what is under way between them and the store. */
import { ageLimit, FailedWatch } from './readingPolicies.js'

/** How often each disturbance may happen. */
export interface EndDisturbances {
  /** Requests to the worker that are not carried out, or whose answers are lost. */
  readonly lostRequests: number
  /** Requests that get no answer and may be carried out late. */
  readonly lateRequests: number
  /** Answers that arrive late, so that answers to newer requests overtake them. */
  readonly slowAnswers: number
  /** Writes that get no answer: not done, done, or done late. */
  readonly lostWrites: number
  /** Times for which the worker is cut off from the host that schedules, and from no other. */
  readonly cuts: number
  readonly termEnds: number
  /** Lives of the worker that end. */
  readonly deaths: number
  /** Lives that begin under the same id; their ends are numbered anew. */
  readonly restarts: number
}

/** What becomes of a run. */
export enum Work { None, AtWork, Ended, Gone }
/** What the present term knows of a run. */
export enum Known { Nothing, Running, Read, Stored, Lost }
/** A poll of the host, a second request beside it, a request through another host, or a request that waits beside the poll, by either way. */
export enum RequestKind { Poll = 'poll', Look = 'look', Relay = 'relayed poll', Watch = 'waiting request', RelayedWatch = 'relayed waiting request', Standing = 'standing request', RelayedStanding = 'relayed standing request' }
/** Where a request is. */
export enum Phase { AtWorker, NoAnswer, AnswerUnderWay }
/** One run, as it is and as the present term knows it. */
export interface RunModel {
  work: Work
  /** The life that runs it, and the sequence number of its end there; 0 if it has none. */
  life: number
  sequence: number
  /** Its end is listed by its life. */
  isListed: boolean
  /** It has ended by its progress. */
  isForeseen: boolean
  isStored: boolean
  known: Known
  /** The present term has read a report that lists its end. */
  isSeen: boolean
  /** Steps since its start was answered. */
  startedAge: number
  unreadSteps: number
  unstoredSteps: number
}

/** What an answer says. Runs are bits. */
export interface ReportModel {
  readonly life: number
  readonly listed: number
  readonly running: number
}

/** A request of the present term under way. */
export interface RequestModel {
  phase: Phase
  age: number
  readonly wait: number
  /** Steps after which the host gives up. */
  readonly timeout: number
  readonly acknowledged: number
  readonly kind: RequestKind
  /** The answer is lost as soon as the worker sends it. */
  readonly isAnswerLost: boolean
  /** The answer that is under way, and its age. */
  report: ReportModel | undefined
  reportAge: number
}

/** A request that gets no answer and may be carried out late. */
export interface LateRequest {
  readonly acknowledged: number
  readonly term: number
  readonly life: number
  age: number
}

/** A write of the present term that has got no answer. */
export interface WriteModel {
  readonly runs: number
  age: number
}

/** A write that may be applied late. */
export interface LateWrite {
  readonly runs: number
  readonly term: number
  age: number
}

/** The present term. */
export interface TermModel {
  readonly index: number
  knownLife: number
  hasAnswered: boolean
  failedPolls: number
  reportAge: number
  lookSentAge: number
  relaySentAge: number
  /** Steps since a request of the host itself got no answer. */
  lossAge: number
  failedWatch: FailedWatch
  areEndsListed: boolean
  /** The life that has reported over the connection of the polls; 0 if none. */
  connectionLife: number
  poll: RequestModel | undefined
  look: RequestModel | undefined
  relay: RequestModel | undefined
  watch: RequestModel | undefined
  /** The requests that wait at all times, by their place in the policy. */
  standing: Array<RequestModel | undefined>
  write: WriteModel | undefined
}

/** The state of the model. */
export interface EndState {
  life: number
  isAlive: boolean
  isCut: boolean
  /** The highest sequence number of the present life. */
  sequence: number
  /** The highest term that the life has seen. */
  fence: number
  runs: RunModel[]
  lateRequests: LateRequest[]
  lateWrites: LateWrite[]
  term: TermModel | undefined
  termCount: number
  /** What has happened, as bits by `causes`. */
  happened: number
  left: { -readonly [Key in keyof EndDisturbances]: number }
}

/** What findings are grouped by. */
export const causes = ['lost poll', 'late poll', 'lost look', 'late look', 'lost relayed poll', 'slow answer', 'write without an answer', 'cut', 'earlier term', 'later life', 'unforeseen end', 'lost waiting request', 'lost relayed waiting request', 'lost standing request', 'lost relayed standing request'] as const
/** One of them. */
export type Cause = typeof causes[number]

/** A run that has not begun. */
export function createRun (): RunModel {
  return { work: Work.None, life: 0, sequence: 0, isListed: false, isForeseen: false, isStored: false, known: Known.Nothing, isSeen: false, startedAge: 0, unreadSteps: 0, unstoredSteps: 0 }
}

/** A term that begins. */
export function createTerm (index: number): TermModel {
  return { index, knownLife: 0, hasAnswered: false, failedPolls: 0, reportAge: ageLimit, lookSentAge: ageLimit, relaySentAge: ageLimit, lossAge: ageLimit, failedWatch: FailedWatch.None, areEndsListed: false, connectionLife: 0, poll: undefined, look: undefined, relay: undefined, watch: undefined, standing: [], write: undefined }
}

/** Whether the host that schedules reaches the worker. */
export function isReachable ({ isAlive, isCut }: EndState): boolean {
  return isAlive && !isCut
}

/** Notes a cause. */
export function note (state: EndState, cause: Cause): void {
  state.happened |= 1 << causes.indexOf(cause)
}

/** The runs that are included, as bits. */
export function getBits ({ runs }: EndState, isIncluded: (run: RunModel) => boolean): number {
  return runs.reduce((bits, run, index) => isIncluded(run) ? bits | 1 << index : bits, 0)
}

/** Copies a state. */
export function clone (state: EndState): EndState {
  return {
    ...state,
    runs: state.runs.map(run => ({ ...run })),
    lateRequests: state.lateRequests.map(request => ({ ...request })),
    lateWrites: state.lateWrites.map(write => ({ ...write })),
    term: state.term === undefined
      ? undefined
      : { ...state.term, poll: cloneOptional(state.term.poll), look: cloneOptional(state.term.look), relay: cloneOptional(state.term.relay), watch: cloneOptional(state.term.watch), standing: state.term.standing.map(cloneOptional), write: cloneOptional(state.term.write) },
    left: { ...state.left }
  }
}

function cloneOptional<T extends object> (value: T | undefined): T | undefined {
  return value === undefined ? undefined : { ...value }
}

const keyBuffer = new Uint16Array(256)

/** Equal for states from which the same can follow. */
export function getKey (state: EndState): string {
  const { term, left } = state
  const separator = 1_000
  let length = 0
  add(state.life, Number(state.isAlive), Number(state.isCut), state.sequence, state.fence, state.termCount, state.happened)
  add(left.lostRequests, left.lateRequests, left.slowAnswers, left.lostWrites, left.cuts, left.termEnds, left.deaths, left.restarts)
  for (const run of state.runs) {
    add(run.work, run.life, run.sequence, Number(run.isListed), Number(run.isForeseen), Number(run.isStored), run.known, Number(run.isSeen), run.startedAge, run.unreadSteps, run.unstoredSteps)
  }
  for (const { acknowledged, term, life, age } of state.lateRequests) add(acknowledged, term, life, age)
  add(separator)
  for (const { runs, term, age } of state.lateWrites) add(runs, term, age)
  add(separator)
  if (term !== undefined) {
    add(term.index, term.knownLife, Number(term.hasAnswered), term.failedPolls, term.reportAge, term.lookSentAge, term.relaySentAge, term.lossAge, term.failedWatch, Number(term.areEndsListed), term.connectionLife)
    for (const request of [term.poll, term.look, term.relay, term.watch, ...term.standing]) {
      add(separator)
      if (request === undefined) continue
      add(request.phase, request.age, request.wait, request.timeout, request.acknowledged, Number(request.isAnswerLost), Number(request.kind === RequestKind.RelayedWatch))
      if (request.report !== undefined) add(request.report.life, request.report.listed, request.report.running, request.reportAge + 1)
    }
    add(separator)
    if (term.write !== undefined) add(term.write.runs, term.write.age)
  }
  return String.fromCharCode(...keyBuffer.subarray(0, length))

  function add (...numbers: readonly number[]): void {
    for (const number of numbers) keyBuffer[length++] = number
  }
}
