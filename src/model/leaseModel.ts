/**
 * A model of the leases of one worker: terms that grant them, their records in the store, lives under one id, and orders that are lost or carried out late. What
 * is modelled, and what is not, is described in docs/design/lease-model.md.
 */
import type { EarlierRecord, EndPolicy, LeaseTimes, RunEvidence, SilentEntry, TermEvidence } from './endPolicies.js'
import type { Choose, Finding, Model } from './explorer.js'
import { ageLimit, Begin, beginNames, clone, countDown, createRun, createTerm, Cut, getKey, getRecord, getRun, isNamed, isReachable, Outcome, RunState, UnansweredStart } from './leaseModelState.js'
import type { Disturbances, LateOrder, LeaseState, RecordModel, RunModel, TermModel } from './leaseModelState.js'

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
  /** How many times a start without an answer is sent. */
  readonly maxTries: number
}

/** Rules that a policy can break. */
export enum Invariant {
  /** Two runs of a task at work at the same time: a run is at work although it counts as ended, so that the next one may have begun elsewhere. */
  Twice = 'TWICE',
  /** A run that cannot be at work any more does not count as ended although the lease that was last asked for is over. */
  Lost = 'LOST'
}

/** Steps after the start of a term in which it reads the records and polls the worker. */
const takeoverSteps = 2
/** Failed polls after which a worker is recorded as silent. */
const silenceSteps = 2
const runCount = 2
const poll = -1
/** Creates the model of a scenario. */
export function createLeaseModel ({ policy, times, disturbances, maxDelay, isFirstLifeYoung, listDelay, isIdle, maxTries }: LeaseScenario): Model<LeaseState> {
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
      records: [{ term: 1, ttl: times.recordTtl, isExcluded: false, silent: undefined, renewal: undefined }],
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
      record.silent = countDown(record.silent)
      record.renewal = countDown(record.renewal)
    }
    state.records = state.records.filter(({ ttl }) => ttl > 0)
    state.sentAge = Math.min(times.requestedLease, state.sentAge + 1)
    for (const run of state.runs) if (run.unansweredAge < Infinity && ++run.unansweredAge >= times.maxRequestDelay + times.maxLease) run.unansweredAge = Infinity
    const { term } = state
    if (term === undefined) return
    term.age = Math.min(times.maxRequestDelay + times.maxLease + 1, term.age + 1)
    if (term.laterLifeAge < Infinity && ++term.laterLifeAge > times.maxRequestDelay + 2 * times.maxLease) term.laterLifeAge = Infinity
    // What matters is whether the lease is over and, of a later life that was seen, how long before the extension that was.
    if (term.startAge < Infinity && ++term.startAge > times.maxLease) term.startAge = Infinity
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
  function execute (state: LeaseState, { run, term, life, leaseSpent, age }: LateOrder, isExtension: boolean, isLate: boolean): boolean {
    if (term < state.fence) return false
    state.fence = term
    // The deadline is a time on the clock of the life that the term knew. The clock of a later life starts anew, so that the longest lease is granted.
    const lease = !isExtension ? 0 : life === state.life ? times.requestedLease - leaseSpent - age : times.maxLease
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
    state.records.push({ term: state.termCount, ttl: times.recordTtl, isExcluded: false, silent: undefined, renewal: undefined })
    for (const run of state.runs) {
      if (run.state !== RunState.Running && run.state !== RunState.StartSent) continue
      run.state = RunState.StartSent
      run.runningLife = 0
      run.reportedLife = 0
      forgetStarts(run)
      run.isRestored = true
      run.unansweredAge = Infinity
    }
  }

  function endTerm (state: LeaseState, term: TermModel): void {
    const { silent, renewal } = getRecord(state, term)
    if (term.hasGranted && (silent ?? renewal) === undefined && term.silentSteps < silenceSteps) state.wasLossUnnoticed = true
    state.term = undefined
    for (const run of state.runs) run.unansweredAge = Infinity
  }

  function act (state: LeaseState, term: TermModel, choose: Choose): void {
    getRecord(state, term).ttl = times.recordTtl
    if (state.listedLife > term.knownLife) learnLife(term, state.listedLife)
    prepareExtension(state, term, choose)
    if (state.term === undefined) return
    if (isNeeded(state) || !term.hasClock) pollWorker(state, term, choose)
    if (state.term === undefined) return
    const isWrittenLater = policy.describeRenewal !== undefined && choose([['', false], ['the record is written after the starts', true]])
    if (!isWrittenLater) writeRenewal(state, term, choose)
    for (const [index, run] of state.runs.entries()) if (run.state === RunState.None && canStart(state, term) && choose([['', false], [`run ${index} is started`, true]])) sendStarts(state, term, index, choose)
    if (state.term === undefined) return
    if (isWrittenLater) writeRenewal(state, term, choose)
    if (!term.isReachable) {
      recordSilence(state, term, choose)
      endRuns(state, term)
    }
  }

  /** Stores a record that does not mention the worker, or under a timer that lasts for longer, so that its lease may be extended. */
  function prepareExtension (state: LeaseState, term: TermModel, choose: Choose): void {
    const record = getRecord(state, term)
    if (mayExtend(record) || !term.isReachable) return
    // The lease is longer than the time between two renewals.
    if (!term.wasPutOff && choose([['', false], ['the extension is put off', true]])) {
      term.wasPutOff = true
      return
    }
    if (!tryWrite(state, choose)) return
    term.wasPutOff = false
    record.renewal = describeExtensible(state, term)
    if (state.left.termEnds === 0 || !choose([['', false], ['the term ends before the poll', true]])) return
    state.left.termEnds--
    endTerm(state, term)
  }

  function writeRenewal (state: LeaseState, term: TermModel, choose: Choose): void {
    const record = getRecord(state, term)
    if (policy.describeRenewal === undefined || isNamed(record) || !term.hasGranted || !isNeeded(state) || !tryWrite(state, choose)) return
    const extensible = describeExtensible(state, term)
    const isExtensible = extensible !== undefined && choose([['', false], ['the lease may be extended before the next renewal', true]])
    record.renewal = isExtensible ? extensible : exceptLaterRuns(state, policy.describeRenewal(getEvidence(state, term)))
  }

  function describeExtensible (state: LeaseState, term: TermModel): SilentEntry | undefined {
    const entry = policy.describeExtensible?.(getEvidence(state, term))
    return entry && exceptLaterRuns(state, entry)
  }

  function exceptLaterRuns ({ runs }: LeaseState, entry: SilentEntry): SilentEntry {
    const later = policy.coversLaterRuns === true ? [] : runs.flatMap(({ state }, index) => state === RunState.None ? index : [])
    return { ...entry, exceptions: [...entry.exceptions, ...later] }
  }

  function mayExtend ({ renewal }: RecordModel): boolean {
    return renewal === undefined || policy.mayExtend?.(renewal, times) === true
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
    const isExtension = canStart(state, term) && mayExtend(getRecord(state, term))
    if (isExtension) recordExtension(state, term)
    const order = { run: poll, term: term.index, life: term.knownLife, leaseSpent: 0, age: 0 }
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
    if (isNamed(record)) {
      if (!tryWrite(state, choose)) return
      record.renewal = undefined
    }
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
        if (run.unansweredStart === UnansweredStart.Unlisted) run.unansweredStart = UnansweredStart.Listed
        run.isListedSinceStart = policy.usesListedRuns === true && run.unansweredStarts > 0
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
    // A repeated start may be answered while the one before is under way.
    for (let tries = 0; tries < maxTries; tries++) {
      const isExtension = mayExtend(getRecord(state, term))
      if (isExtension) recordExtension(state, term)
      term.startAge = 0
      const order = { run: index, term: term.index, life: term.knownLife, leaseSpent: isExtension ? 0 : term.extendedAge, age: 0 }
      const outcome = isReachable(state) ? send(state, order, true, `the start of run ${index}`, choose) : Outcome.NotExecuted
      if (outcome === Outcome.Answered) {
        run.state = RunState.Running
        run.runningLife = term.knownLife
        run.isStartAnswered = policy.usesListedRuns === true
        if (policy.readsStartClock && state.life > term.knownLife) learnLife(term, state.life)
        return
      }
      if (outcome === Outcome.Refused) {
        if (term.index < state.fence) endTerm(state, term)
        return
      }
      run.unansweredAge = 0
      run.unansweredStart = UnansweredStart.Unlisted
      if (policy.usesListedRuns === true) run.unansweredStarts++
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
    forgetStarts(run)
  }

  function forgetStarts (run: RunModel): void {
    run.isListedSinceStart = false
    run.unansweredStarts = 0
    run.isStartAnswered = false
  }

  function getEvidence (state: LeaseState, term: TermModel): TermEvidence {
    const runs: RunEvidence[] = []
    for (const [index, run] of state.runs.entries()) {
      if (run.state === RunState.None) continue
      runs.push({ index, hasEnded: run.state === RunState.Ended, plannedLife: run.plannedLife, reportedLife: run.reportedLife, isRestored: run.isRestored, unansweredAge: run.unansweredAge, isConfirmed: run.state === RunState.Running, isListedSinceStart: run.isListedSinceStart, unansweredStarts: run.unansweredStarts, isStartAnswered: run.isStartAnswered })
    }
    const earlierRecords: EarlierRecord[] = state.records.flatMap(({ term: index, isExcluded, silent, renewal }) => index === term.index ? [] : { isExcluded, silent: silent ?? renewal })
    return {
      times,
      termAge: term.age,
      hasGranted: term.hasGranted,
      extendedAge: term.extendedAge,
      startAge: term.startAge,
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
    const { left, runs, life, records } = state
    const causes = [
      ...records.some(({ term, silent, renewal }) => term < state.termCount && silent === undefined && renewal?.exceptions.includes(index) === true) ? ['start after the last renewal of an earlier record'] : [],
      ...getOwnStartCause(getRun(state, index)),
      ...runs.some((run, other) => other !== index && run.unansweredStart !== UnansweredStart.None) ? ['start of another run without an answer'] : [],
      ...state.wasLossUnnoticed ? ['end of a term before the silence was recorded'] : [],
      ...left.lostWrites < disturbances.lostWrites ? ['write lost'] : [],
      ...life > 1 ? ['later life'] : [],
      ...isFirstLifeYoung ? ['young life'] : []
    ]
    return causes.length === 0 ? 'no cause' : causes.join(' + ')
  }

  function getOwnStartCause ({ unansweredStart }: RunModel): string[] {
    if (unansweredStart === UnansweredStart.None) return []
    return [unansweredStart === UnansweredStart.Listed ? 'own start without an answer, listed since' : 'own start without an answer']
  }
}
