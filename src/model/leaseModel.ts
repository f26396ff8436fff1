/**
 * A model of the leases of one worker: terms that grant them, their records in the store, lives under one id, and orders that are lost or carried out late. What
 * is modelled, and what is not, is described in docs/design/lease-model.md.
 */
import type { EarlierRecord, EndPolicy, LeaseTimes, RunEvidence, SilentEntry, TermEvidence } from './endPolicies.js'
import type { Choose, Finding, Model } from './explorer.js'

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

/** A scenario to explore. */
export interface LeaseScenario {
  readonly policy: EndPolicy
  readonly times: LeaseTimes
  readonly disturbances: Disturbances
  /** Late orders that happen are carried out in fewer steps than this; the policies assume `times.maxRequestDelay`. */
  readonly maxDelay: number
  /** Whether the first life is so young that orders for an earlier one may have reached it. */
  readonly isFirstLifeYoung: boolean
  /** A life that can reach the store is listed in fewer steps after its start than this, or in the step of its start if this is 0. */
  readonly listDelay: number
  /** Whether the worker is idle at first, so that it is not polled; otherwise run 0 is at work. */
  readonly isIdle: boolean
}

/** Rules that a policy can break. */
export enum Invariant {
  /** Two runs of a task at work at the same time: a run is at work although it counts as ended, so that the next one may have begun elsewhere. */
  Twice = 'TWICE',
  /** A run that cannot be at work any more does not count as ended although the lease that was last asked for is over. */
  Lost = 'LOST'
}

enum Cut { None, Hosts, All }
enum RunState { None, StartSent, Running, Ended }

/** The outcome of an order at a worker that can be reached. */
enum Outcome { Answered, Refused, NotExecuted, Executed, Late }

/** How work under way has begun. */
enum Begin { OnTime, OnTimeUnknownLife, LateSameLife, LateListedLife, LateHiddenLife }

const beginNames: Readonly<Record<Begin, string>> = {
  [Begin.OnTime]: 'a start on time',
  [Begin.OnTimeUnknownLife]: 'a start on time in a later life that its term did not know',
  [Begin.LateSameLife]: 'a late start in the life to which it was sent',
  [Begin.LateListedLife]: 'a late start in a listed later life',
  [Begin.LateHiddenLife]: 'a late start in a hidden later life'
}

interface LateOrder {
  /** The run to start, or `poll`. */
  readonly run: number
  readonly term: number
  /** The life to which it was sent. */
  readonly life: number
  age: number
}

interface RunModel {
  state: RunState
  plannedLife: number
  /** The life that the present term believes to run it; 0 if none. */
  runningLife: number
  unansweredAge: number
  isRestored: boolean
  /** Not part of what a term knows: a start of any term has got no answer. */
  hadUnanswered: boolean
  /** The latest life whose report to the present term lists it; 0 if there is none. */
  reportedLife: number
  /** Not part of what a term knows: how the work that is under way has begun. */
  begun: Begin
  /** By what the run counts as ended. */
  endedBy: string
  /** Steps for which the run has not counted as ended although it should. */
  overdueSteps: number
}

interface TermModel {
  readonly index: number
  age: number
  knownLife: number
  isReachable: boolean
  hasClock: boolean
  silentSteps: number
  extendedAge: number
  laterLifeAge: number
  hasGranted: boolean
}

interface RecordModel {
  readonly term: number
  ttl: number
  isExcluded: boolean
  silent: SilentEntry | undefined
}

interface LeaseState {
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

/** Steps after the start of a term in which it reads the records and polls the worker. */
const takeoverSteps = 2
/** Failed polls after which a worker is recorded as silent. */
const silenceSteps = 2
const runCount = 2
const poll = -1
/** Longer than all durations of the model, in steps. */
const ageLimit = 200

/** Creates the model of a scenario. */
export function createLeaseModel ({ policy, times, disturbances, maxDelay, isFirstLifeYoung, listDelay, isIdle }: LeaseScenario): Model<LeaseState> {
  const maxAge = times.youngLife + 1
  return { initial: createInitial(), clone, getKey, advance }

  function createInitial (): LeaseState {
    return {
      life: 1,
      isAlive: true,
      lifeAges: [0, isFirstLifeYoung ? 0 : maxAge],
      cut: Cut.None,
      leaseLeft: isIdle ? 0 : times.requestedLease,
      isExtendedLate: false,
      fence: 1,
      atWork: isIdle ? 0 : 1,
      refused: 0,
      listedLife: 1,
      lateOrders: [],
      runs: Array.from({ length: runCount }, (_, index) => index === 0 && !isIdle ? { ...createRun(), state: RunState.Running, plannedLife: 1, runningLife: 1, reportedLife: 1 } : createRun()),
      records: [{ term: 1, ttl: times.recordTtl, isExcluded: false, silent: undefined }],
      term: { ...createTerm(1, 1), isReachable: true, hasClock: true, hasGranted: !isIdle },
      termCount: 1,
      left: { ...disturbances },
      sentAge: 0,
      wasLossUnnoticed: false
    }
  }

  function advance (state: LeaseState, choose: Choose, report: (finding: Finding) => void): boolean {
    passTime(state)
    disturbWorker(state, choose)
    listWorker(state, choose)
    carryOutLate(state, choose)
    if (reportTwice(state, report)) return false
    if (state.term === undefined) beginTerm(state, choose)
    if (state.term !== undefined) act(state, state.term, choose)
    if (reportTwice(state, report)) return false
    if (state.term !== undefined) reportOverdue(state, state.term, report)
    if (state.term !== undefined && state.left.termEnds > 0 && choose([['', false], ['the term ends', true]])) {
      state.left.termEnds--
      endTerm(state, state.term)
    }
    return canBreakRules(state)
  }

  function canBreakRules ({ runs, atWork, lateOrders }: LeaseState): boolean {
    return atWork !== 0 || runs.some(({ state }, index) => state !== RunState.Ended || lateOrders.some(({ run }) => run === index))
  }

  function passTime (state: LeaseState): void {
    const firstKnownLife = Math.min(state.listedLife, state.term?.knownLife ?? state.listedLife)
    for (let life = 1; life <= state.life; life++) state.lifeAges[life] = life < firstKnownLife ? 0 : Math.min(maxAge, state.lifeAges[life] as number + 1)
    for (const order of state.lateOrders) order.age++
    state.lateOrders = state.lateOrders.filter(({ age }) => age < maxDelay)
    if (state.leaseLeft > 0 && --state.leaseLeft === 0) {
      state.refused |= state.atWork
      state.atWork = 0
    }
    for (const record of state.records) {
      record.ttl--
      if (record.silent !== undefined && record.silent.timerSteps > 0) record.silent = { ...record.silent, timerSteps: record.silent.timerSteps - 1 }
    }
    state.records = state.records.filter(({ ttl }) => ttl > 0)
    state.sentAge = Math.min(times.requestedLease, state.sentAge + 1)
    for (const run of state.runs) if (run.unansweredAge < Infinity && ++run.unansweredAge >= times.maxRequestDelay + times.maxLease) run.unansweredAge = Infinity
    const { term } = state
    if (term === undefined) return
    term.age = Math.min(times.maxRequestDelay + times.maxLease + 1, term.age + 1)
    if (term.laterLifeAge < Infinity && ++term.laterLifeAge > times.maxRequestDelay + 2 * times.maxLease) term.laterLifeAge = Infinity
    // What matters is whether the lease is over and, of a later life that was seen, how long before the extension that was.
    term.extendedAge = Math.min(term.laterLifeAge === Infinity ? times.maxLease : ageLimit, term.extendedAge + 1)
  }

  // Worker

  function disturbWorker (state: LeaseState, choose: Choose): void {
    const { left } = state
    if (state.cut !== Cut.None && choose([['', false], ['the cut ends', true]])) state.cut = Cut.None
    if (state.isAlive && left.deaths > 0 && choose([['', false], ['the life ends', true]])) {
      left.deaths--
      state.isAlive = false
      state.atWork = 0
      state.refused = 0
      state.fence = 0
      state.leaseLeft = 0
      state.isExtendedLate = false
    }
    if (!state.isAlive && left.restarts > 0 && choose([['', false], ['another life begins', true]])) {
      left.restarts--
      state.isAlive = true
      state.life++
      state.lifeAges.push(0)
    }
    if (state.cut === Cut.None && left.cuts > 0) {
      const cut = choose([['', Cut.None], ['the worker is cut off from the hosts', Cut.Hosts], ['the worker is cut off from all', Cut.All]])
      if (cut !== Cut.None) left.cuts--
      state.cut = cut
    }
  }

  function listWorker (state: LeaseState, choose: Choose): void {
    if (!state.isAlive || state.cut === Cut.All || state.listedLife === state.life) return
    const mayLag = state.lifeAges[state.life] as number < listDelay
    if (!mayLag || choose([['', true], [`the list does not show life ${state.life} yet`, false]])) state.listedLife = state.life
  }

  function carryOutLate (state: LeaseState, choose: Choose): void {
    if (!state.isAlive) return
    for (const order of [...state.lateOrders]) {
      const what = order.run === poll ? 'a poll' : `a start of run ${order.run}`
      if (!choose([['', false], [`${what} of term ${order.term} is carried out late by life ${state.life}`, true]])) continue
      state.lateOrders = state.lateOrders.filter(other => other !== order)
      execute(state, order, true, true)
    }
  }

  /** Carries out an order. Returns false if the worker refuses it. */
  function execute (state: LeaseState, { run, term, life, age }: LateOrder, isExtension: boolean, isLate: boolean): boolean {
    if (term < state.fence) return false
    state.fence = term
    // The deadline is a time on the clock of the life that the term knew. The clock of a later life starts anew, so that the longest lease is granted.
    const lease = !isExtension ? 0 : life === state.life ? times.requestedLease - age : times.maxLease
    if (run !== poll) {
      if (lease <= 0 || (state.refused & 1 << run) !== 0) return false
      if ((state.atWork & 1 << run) === 0) getRun(state, run).begun = getBegin(state, life, isLate)
      state.atWork |= 1 << run
    }
    if (run === poll && isLate && life !== state.life) state.isExtendedLate = true
    state.leaseLeft = Math.max(state.leaseLeft, lease)
    return true
  }

  function getBegin ({ life, listedLife }: LeaseState, sentTo: number, isLate: boolean): Begin {
    if (!isLate) return sentTo === life ? Begin.OnTime : Begin.OnTimeUnknownLife
    if (sentTo === life) return Begin.LateSameLife
    return listedLife === life ? Begin.LateListedLife : Begin.LateHiddenLife
  }

  // Scheduler

  function beginTerm (state: LeaseState, choose: Choose): void {
    if (choose([['the next term has not begun', true], ['the next term begins', false]])) return
    state.term = createTerm(++state.termCount, state.listedLife)
    state.records.push({ term: state.termCount, ttl: times.recordTtl, isExcluded: false, silent: undefined })
    for (const run of state.runs) {
      if (run.state !== RunState.Running && run.state !== RunState.StartSent) continue
      run.state = RunState.StartSent
      run.runningLife = 0
      run.reportedLife = 0
      run.isRestored = true
      run.unansweredAge = Infinity
    }
  }

  function endTerm (state: LeaseState, term: TermModel): void {
    if (term.hasGranted && getRecord(state, term).silent === undefined && term.silentSteps < silenceSteps) state.wasLossUnnoticed = true
    state.term = undefined
    for (const run of state.runs) run.unansweredAge = Infinity
  }

  function act (state: LeaseState, term: TermModel, choose: Choose): void {
    getRecord(state, term).ttl = times.recordTtl
    if (state.listedLife > term.knownLife) learnLife(term, state.listedLife)
    if (isNeeded(state) || !term.hasClock) pollWorker(state, term, choose)
    if (state.term === undefined) return
    for (const [index, run] of state.runs.entries()) if (run.state === RunState.None && canStart(state, term) && choose([['', false], [`run ${index} is started`, true]])) sendStarts(state, term, index, choose)
    if (state.term === undefined) return
    if (!term.isReachable) {
      recordSilence(state, term, choose)
      endRuns(state, term)
    }
  }

  function learnLife (term: TermModel, life: number): void {
    term.knownLife = life
    term.laterLifeAge = 0
    term.hasClock = false
  }

  function isNeeded ({ runs }: LeaseState): boolean {
    return runs.some(({ state, unansweredAge }) => state === RunState.StartSent || state === RunState.Running || unansweredAge < times.maxRequestDelay)
  }

  function canStart (state: LeaseState, term: TermModel): boolean {
    return term.isReachable && term.hasClock && !isNamed(getRecord(state, term))
  }

  function pollWorker (state: LeaseState, term: TermModel, choose: Choose): void {
    const isExtension = canStart(state, term)
    if (isExtension) recordExtension(state, term)
    const order = { run: poll, term: term.index, life: term.knownLife, age: 0 }
    const outcome = isReachable(state) ? send(state, order, isExtension, 'the poll', choose) : Outcome.NotExecuted
    if (outcome === Outcome.Refused) {
      endTerm(state, term)
      return
    }
    if (outcome !== Outcome.Answered) {
      term.isReachable = false
      term.silentSteps = Math.min(silenceSteps, term.silentSteps + 1)
      // A term that has granted the worker nothing says so in its first record.
      if (term.age === 0) getRecord(state, term).isExcluded = true
      return
    }
    if (state.life > term.knownLife) learnLife(term, state.life)
    term.hasClock = true
    term.silentSteps = 0
    applyReport(state)
    const record = getRecord(state, term)
    if (isNamed(record) && !tryWrite(state, choose)) return
    record.isExcluded = false
    record.silent = undefined
    term.isReachable = true
  }

  /** The report of a life decides about the runs that it does not list: a stop that it accepts excludes those that it might still start. */
  function applyReport (state: LeaseState): void {
    for (const [index, run] of state.runs.entries()) {
      if (run.state !== RunState.StartSent && run.state !== RunState.Running) continue
      if ((state.atWork & 1 << index) !== 0) {
        run.state = RunState.Running
        run.runningLife = state.life
        run.reportedLife = state.life
        continue
      }
      const isLost = run.state === RunState.Running && (run.unansweredAge === Infinity || run.runningLife === state.life)
      const isExcluded = run.state === RunState.StartSent && run.isRestored
      if (!isLost && !isExcluded) state.refused |= 1 << index
      endRun(run, 'absent-from-report')
    }
  }

  function sendStarts (state: LeaseState, term: TermModel, index: number, choose: Choose): void {
    const run = getRun(state, index)
    run.state = RunState.StartSent
    run.plannedLife = term.knownLife
    // A start without an answer is repeated once: that one may be answered while the first is under way.
    for (let tries = 0; tries < 2; tries++) {
      recordExtension(state, term)
      const order = { run: index, term: term.index, life: term.knownLife, age: 0 }
      const outcome = isReachable(state) ? send(state, order, true, `the start of run ${index}`, choose) : Outcome.NotExecuted
      if (outcome === Outcome.Answered) {
        run.state = RunState.Running
        run.runningLife = term.knownLife
        if (policy.readsStartClock && state.life > term.knownLife) learnLife(term, state.life)
        return
      }
      if (outcome === Outcome.Refused) {
        if (term.index < state.fence) endTerm(state, term)
        return
      }
      run.unansweredAge = 0
      run.hadUnanswered = true
    }
  }

  function send (state: LeaseState, order: LateOrder, isExtension: boolean, what: string, choose: Choose): Outcome {
    const options: Array<readonly [string, Outcome]> = [['', Outcome.Answered]]
    if (state.left.lostAnswers > 0) options.push([`${what} is lost`, Outcome.NotExecuted], [`${what} is carried out, its answer is lost`, Outcome.Executed])
    if (state.left.lostAnswers > 0 && state.left.lateOrders > 0 && isExtension) options.push([`${what} gets no answer and stays under way`, Outcome.Late])
    const outcome = options.length === 1 ? Outcome.Answered : choose(options)
    if (outcome !== Outcome.Answered) state.left.lostAnswers--
    if (outcome === Outcome.Late) {
      state.left.lateOrders--
      state.lateOrders.push(order)
    }
    if (outcome === Outcome.Executed) execute(state, order, isExtension, false)
    if (outcome === Outcome.Answered && !execute(state, order, isExtension, false)) return Outcome.Refused
    return outcome
  }

  function recordExtension (state: LeaseState, term: TermModel): void {
    term.extendedAge = 0
    term.hasGranted = true
    state.sentAge = 0
  }

  function recordSilence (state: LeaseState, term: TermModel, choose: Choose): void {
    const record = getRecord(state, term)
    if (term.silentSteps < silenceSteps || isNamed(record) || !isNeeded(state)) return
    const entry = policy.describeSilence(getEvidence(state, term))
    if (entry !== undefined && tryWrite(state, choose)) record.silent = entry
  }

  function tryWrite (state: LeaseState, choose: Choose): boolean {
    if (state.left.lostWrites === 0) return true
    const isDone = choose([['', true], ['a write of the record is lost', false]])
    if (!isDone) state.left.lostWrites--
    return isDone
  }

  function endRuns (state: LeaseState, term: TermModel): void {
    const evidence = getEvidence(state, term)
    for (const known of evidence.runs) {
      const run = getRun(state, known.index)
      if (run.state !== RunState.StartSent && run.state !== RunState.Running) continue
      const source = policy.getEnd(evidence, known)
      if (source !== undefined) endRun(run, source)
    }
  }

  function endRun (run: RunModel, source: string): void {
    run.state = RunState.Ended
    run.endedBy = source
    run.runningLife = 0
    run.reportedLife = 0
    run.plannedLife = 0
    run.isRestored = false
  }

  function getEvidence (state: LeaseState, term: TermModel): TermEvidence {
    const runs: RunEvidence[] = []
    for (const [index, run] of state.runs.entries()) {
      if (run.state === RunState.None) continue
      runs.push({ index, hasEnded: run.state === RunState.Ended, plannedLife: run.plannedLife, reportedLife: run.reportedLife, isRestored: run.isRestored, unansweredAge: run.unansweredAge })
    }
    const earlierRecords: EarlierRecord[] = state.records.filter(record => record.term !== term.index)
    return {
      times,
      termAge: term.age,
      hasGranted: term.hasGranted,
      extendedAge: term.extendedAge,
      laterLifeAge: term.laterLifeAge,
      listedLife: state.listedLife,
      listedLifeAge: state.lifeAges[state.listedLife] as number,
      knownLife: term.knownLife,
      knownLifeAge: state.lifeAges[term.knownLife] as number,
      runs,
      earlierRecords
    }
  }

  // Invariants

  function reportTwice (state: LeaseState, report: (finding: Finding) => void): boolean {
    const index = state.runs.findIndex((run, index) => run.state === RunState.Ended && (state.atWork & 1 << index) !== 0)
    const run = state.runs[index]
    if (run === undefined) return false
    report({ class: `${Invariant.Twice}: ended by ${run.endedBy}, at work by ${beginNames[run.begun]}${state.isExtendedLate ? ', lease lengthened by a late poll' : ''}`, steps: 0 })
    return true
  }

  function reportOverdue (state: LeaseState, term: TermModel, report: (finding: Finding) => void): void {
    for (const [index, run] of state.runs.entries()) {
      const isOverdue = (run.state === RunState.StartSent || run.state === RunState.Running) && (state.atWork & 1 << index) === 0 &&
        !term.isReachable && term.age >= takeoverSteps && state.sentAge >= times.requestedLease
      run.overdueSteps = isOverdue ? run.overdueSteps + 1 : 0
      if (isOverdue) report({ class: `${Invariant.Lost}: ${describeCause(state, index)}`, steps: run.overdueSteps })
    }
  }

  /** What happened that may make a run be waited for. */
  function describeCause (state: LeaseState, index: number): string {
    const { left, runs, life } = state
    const causes = [
      ...getRun(state, index).hadUnanswered ? ['own start without an answer'] : [],
      ...runs.some((run, other) => other !== index && run.hadUnanswered) ? ['start of another run without an answer'] : [],
      ...state.wasLossUnnoticed ? ['end of a term before the silence was recorded'] : [],
      ...left.lostWrites < disturbances.lostWrites ? ['write lost'] : [],
      ...life > 1 ? ['later life'] : [],
      ...isFirstLifeYoung ? ['young life'] : []
    ]
    return causes.length === 0 ? 'no cause' : causes.join(' + ')
  }
}

function createRun (): RunModel {
  return { state: RunState.None, plannedLife: 0, runningLife: 0, unansweredAge: Infinity, isRestored: false, hadUnanswered: false, reportedLife: 0, begun: Begin.OnTime, endedBy: '', overdueSteps: 0 }
}

function createTerm (index: number, knownLife: number): TermModel {
  return { index, age: 0, knownLife, isReachable: false, hasClock: false, silentSteps: 0, extendedAge: 0, laterLifeAge: Infinity, hasGranted: false }
}

function isReachable ({ isAlive, cut }: LeaseState): boolean {
  return isAlive && cut === Cut.None
}

function isNamed ({ isExcluded, silent }: RecordModel): boolean {
  return isExcluded || silent !== undefined
}

function getRun ({ runs }: LeaseState, index: number): RunModel {
  return runs[index] as RunModel
}

function getRecord ({ records }: LeaseState, { index }: TermModel): RecordModel {
  return records.find(({ term }) => term === index) as RecordModel
}

function clone (state: LeaseState): LeaseState {
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

function getKey (state: LeaseState): string {
  const { term, left } = state
  let length = 0
  add(state.life, Number(state.isAlive), state.cut, state.leaseLeft, state.fence, state.atWork, state.refused, state.listedLife, state.termCount, state.sentAge, Number(state.wasLossUnnoticed), Number(state.isExtendedLate))
  add(left.deaths, left.restarts, left.cuts, left.lostAnswers, left.lateOrders, left.termEnds, left.lostWrites)
  for (const age of state.lifeAges) add(age)
  for (const run of state.runs) {
    add(run.state, run.plannedLife, run.runningLife, run.reportedLife, run.begun, Math.min(ageLimit, run.unansweredAge), run.overdueSteps, Number(run.isRestored), Number(run.hadUnanswered), run.endedBy.length)
  }
  for (const { term, ttl, isExcluded, silent } of state.records) {
    add(term, ttl, Number(isExcluded), silent?.timerSteps ?? ageLimit)
    if (silent !== undefined) add(silent.vouchedLife, ...silent.exceptions)
  }
  add(ageLimit)
  for (const { run, term, life, age } of state.lateOrders) add(run + 1, term, life, age)
  add(ageLimit)
  if (term !== undefined) {
    add(term.age, term.knownLife, Number(term.isReachable), Number(term.hasClock), Number(term.hasGranted), term.silentSteps, term.extendedAge, Math.min(ageLimit, term.laterLifeAge))
  }
  return String.fromCharCode(...keyBuffer.subarray(0, length))

  function add (...numbers: readonly number[]): void {
    for (const number of numbers) keyBuffer[length++] = number
  }
}
