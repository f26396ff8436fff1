/**
 * A model of how the ends that one worker lists are read, stored and acknowledged: polls and second requests beside them, answers that are lost, late or overtaken,
 * writes without an answer, terms, and lives under one id. What is modelled, and what is not, is described in docs/design/end-model.md.
 */
import type { Choose, Finding, Model } from './explorer.js'
import { causes, clone, createRun, createTerm, getBits, getKey, isReachable, Known, note, Phase, RequestKind, Work } from './endModelState.js'
import type { EndDisturbances, EndState, ReportModel, RequestModel, RunModel, TermModel } from './endModelState.js'
import { ageLimit, answerSteps, areAnswersLost, FailedWatch, fastAnswerSteps, fastRetries } from './readingPolicies.js'
import type { LinkEvidence, Look, ReadingPolicy } from './readingPolicies.js'

/** A scenario to explore. */
export interface EndScenario {
  readonly policy: ReadingPolicy
  readonly disturbances: EndDisturbances
  /** A late request is carried out this many steps after it was sent, at least and at most. */
  readonly lateSteps: readonly [number, number]
  /** Runs may end without having shown it by their progress. */
  readonly areEndsUnforeseen: boolean
  /** All runs should have ended by their progress from the first step on, although they go on. */
  readonly isProgressWrong: boolean
  /** Answers of other workers are being lost all the while, and the host knows it. */
  readonly areOthersLosing: boolean
  /** Assumptions of the model that a test takes away, to show that the model finds what follows. */
  readonly faults?: EndModelFaults
}

/** What the product does not do. */
export interface EndModelFaults {
  /** Ends are acknowledged when they are read. */
  readonly acknowledgesUnstored?: boolean
  /** Acknowledgements are also sent over connections on which the known life has not reported. */
  readonly acknowledgesOverAnyConnection?: boolean
  /** Writes that are applied late are not conditional on the term. */
  readonly areWritesUnguarded?: boolean
  /** A run that a report lacks counts as lost although the request was sent before the run had started. */
  readonly ignoresSendTimes?: boolean
}

/** Rules that a policy can break. */
export enum EndInvariant {
  /** An end that the worker lists is not read in time by the term that could have read it. */
  Read = 'READ',
  /** An end that was read is not stored in time. */
  Stored = 'STORED',
  /** The worker forgets an end that is not stored. */
  Kept = 'KEPT',
  /** A run is started again although its end is stored. */
  Once = 'ONCE',
  /** A run counts as lost although it is at work, or its end is listed. */
  Twice = 'TWICE'
}

/** What becomes of a request that the worker could carry out. */
enum Outcome { Answered, NotExecuted, AnswerLost, Late }
/** What becomes of a write. */
enum WriteOutcome { Confirmed, NotDone, AnswerLost, Late }

const runCount = 2
/** A late write is applied within this many steps. */
const maxWriteDelay = 4
/** A slow answer arrives after this many steps. */
const slowAnswerSteps = 2
/** The age of an answer that arrives in the step in which it is sent. */
const immediate = -1

/** Numbers of requests. */
export interface RequestCounts {
  readonly polls: number
  readonly acknowledging: number
  readonly looks: number
}

/** The model of a scenario, and the requests that the present host has sent to the worker in it. */
export interface EndModel extends Model<EndState> {
  /** The polls, those of them that acknowledge ends, and the requests beside polls of all steps that were run so far. */
  readonly requests: RequestCounts
  /** Steps for which the end of run 0 has been listed and not read. */
  getUnreadSteps (state: EndState): number
}

/** Creates the model of a scenario: run 0 is at work, and run 1 may be started. */
export function createEndModel ({ policy, disturbances, lateSteps: [minLate, maxLate], areEndsUnforeseen, isProgressWrong, areOthersLosing, faults = {} }: EndScenario): EndModel {
  const requests = { polls: 0, acknowledging: 0, looks: 0 }
  let reportFinding: (finding: Finding) => void = () => {}
  let isBroken = false
  return { initial: createInitial(), clone, getKey, advance, requests, getUnreadSteps: ({ runs }) => (runs[0] as RunModel).unreadSteps }

  function createInitial (): EndState {
    return {
      life: 1,
      isAlive: true,
      isCut: false,
      sequence: 0,
      fence: 1,
      runs: Array.from({ length: runCount }, (_, index) => index === 0 ? { ...createRun(), work: Work.AtWork, life: 1, known: Known.Running, startedAge: ageLimit } : createRun()),
      lateRequests: [],
      lateWrites: [],
      term: { ...createTerm(1), knownLife: 1, hasAnswered: true, connectionLife: 1, reportAge: 0 },
      termCount: 1,
      happened: 0,
      left: { ...disturbances }
    }
  }

  function advance (state: EndState, choose: Choose, report: (finding: Finding) => void): boolean {
    reportFinding = report
    isBroken = false
    passTime(state)
    disturbWorker(state, choose)
    endWork(state, choose)
    carryOutLate(state, choose)
    if (state.term === undefined) beginTerm(state, choose)
    if (state.term !== undefined) act(state, state.term, choose)
    if (isBroken) return false
    countSteps(state)
    if (state.term !== undefined && state.left.termEnds > 0 && choose([['', false], ['the term ends', true]])) endTerm(state)
    return canBreakRules(state)
  }

  function canBreakRules ({ isAlive, left, runs }: EndState): boolean {
    return runs.some(({ known, work }) => known === Known.Read || (known !== Known.Stored && known !== Known.Lost && work !== Work.Gone)) && (isAlive || left.restarts > 0 || runs.some(({ known }) => known === Known.Read))
  }

  function passTime (state: EndState): void {
    for (const run of state.runs) run.startedAge = Math.min(ageLimit, run.startedAge + 1)
    for (const request of state.lateRequests) request.age++
    state.lateRequests = state.lateRequests.filter(({ age }) => age <= maxLate)
    for (const write of state.lateWrites) write.age++
    state.lateWrites = state.lateWrites.filter(({ age }) => age <= maxWriteDelay)
    const { term } = state
    if (term === undefined) return
    term.reportAge = Math.min(ageLimit, term.reportAge + 1)
    term.lookSentAge = Math.min(ageLimit, term.lookSentAge + 1)
    term.relaySentAge = Math.min(ageLimit, term.relaySentAge + 1)
    term.lossAge = Math.min(ageLimit, term.lossAge + 1)
    for (const request of [term.poll, term.look, term.relay, term.watch, ...term.standing]) {
      if (request === undefined) continue
      request.age++
      if (request.report !== undefined) request.reportAge++
    }
    if (term.write !== undefined) term.write.age++
  }

  // Worker

  function disturbWorker (state: EndState, choose: Choose): void {
    const { left } = state
    if (state.isCut && choose([['', false], ['the cut ends', true]])) state.isCut = false
    else if (!state.isCut && left.cuts > 0 && choose([['', false], ['the worker is cut off from the host that schedules', true]])) {
      left.cuts--
      state.isCut = true
      note(state, 'cut')
    }
    if (state.isAlive && left.deaths > 0 && choose([['', false], ['the worker leaves', true]])) {
      left.deaths--
      state.isAlive = false
      state.sequence = 0
      state.fence = 0
      for (const run of state.runs) {
        if (run.work === Work.None) continue
        run.work = Work.Gone
        run.isListed = false
      }
      for (const request of [state.term?.poll, state.term?.look, state.term?.relay, state.term?.watch, ...state.term?.standing ?? []]) if (request?.phase === Phase.AtWorker) request.phase = Phase.NoAnswer
    } else if (!state.isAlive && left.restarts > 0 && choose([['', false], ['another life begins under the id', true]])) {
      left.restarts--
      state.isAlive = true
      state.life++
      note(state, 'later life')
    }
  }

  function endWork (state: EndState, choose: Choose): void {
    for (const [index, run] of state.runs.entries()) {
      if (run.work !== Work.AtWork) continue
      const kind = choose([['', 0], [`run ${index} ends`, 1], ...areEndsUnforeseen ? [[`run ${index} ends before its progress shows it`, 2] as const] : []])
      if (kind === 0) continue
      run.work = Work.Ended
      run.isListed = true
      run.isForeseen = kind === 1
      run.sequence = ++state.sequence
      if (kind === 2) note(state, 'unforeseen end')
    }
  }

  function carryOutLate (state: EndState, choose: Choose): void {
    for (const write of [...state.lateWrites]) {
      const isGuarded = faults.areWritesUnguarded !== true
      if ((isGuarded && write.term !== state.termCount) || !choose([['', false], [`a write of term ${write.term} is applied late`, true]])) continue
      state.lateWrites = state.lateWrites.filter(other => other !== write)
      store(state, write.runs)
    }
    if (!state.isAlive) return
    for (const request of [...state.lateRequests]) {
      if (request.age < minLate || !choose([['', false], [`a request of term ${request.term} that acknowledges ${request.acknowledged} is carried out late by life ${state.life}`, true]])) continue
      state.lateRequests = state.lateRequests.filter(other => other !== request)
      execute(state, request.term, request.acknowledged, request.life === state.life ? 'a late request' : 'a late request to an earlier life')
    }
  }

  /** Returns false if the worker refuses the request. */
  function execute (state: EndState, term: number, acknowledged: number, by: string): boolean {
    if (term < state.fence) return false
    state.fence = term
    for (const run of state.runs) {
      if (!run.isListed || run.sequence > acknowledged) continue
      run.isListed = false
      if (!run.isStored && run.known !== Known.Lost) breakRule(EndInvariant.Kept, `an end that was ${run.known === Known.Read ? 'read and not stored' : 'never read'} is forgotten by ${by}`)
    }
    return true
  }

  // Scheduler

  function beginTerm (state: EndState, choose: Choose): void {
    if (choose([['the next term has not begun', true], ['the next term begins', false]])) return
    state.term = createTerm(++state.termCount)
    note(state, 'earlier term')
    for (const run of state.runs) {
      run.isSeen = false
      if (run.known === Known.Nothing || run.known === Known.Lost) continue
      run.known = run.isStored ? Known.Stored : Known.Running
      run.startedAge = ageLimit
    }
  }

  function endTerm (state: EndState): void {
    state.left.termEnds--
    state.term = undefined
  }

  function act (state: EndState, term: TermModel, choose: Choose): void {
    if (term.poll !== undefined) receive(state, term, term.poll, choose)
    if (term.look !== undefined) receive(state, term, term.look, choose)
    if (term.relay !== undefined) receive(state, term, term.relay, choose)
    if (term.watch !== undefined) receive(state, term, term.watch, choose)
    term.standing = policy.standing.map((_, index) => {
      const request = term.standing[index]
      return request === undefined || receive(state, term, request, choose) ? undefined : request
    })
    storeEnds(state, term, choose)
    startRun(state, term, choose)
    // A worker that lists ends answers at once, and a round trip takes far less than a step.
    for (let polls = 0; polls < 2 && term.poll === undefined && policy.isPollDue(getEvidence(state, term)); polls++) {
      sendPoll(state, term, choose)
      storeEnds(state, term, choose)
    }
    const look = term.look === undefined ? policy.getLook(getEvidence(state, term)) : undefined
    if (look !== undefined) {
      term.lookSentAge = 0
      term.look = sendBeside(state, term, RequestKind.Look, look, choose)
    }
    if (term.relay === undefined && policy.isRelayDue(getEvidence(state, term))) {
      term.relaySentAge = 0
      term.relay = sendBeside(state, term, RequestKind.Relay, { wait: 0, answer: answerSteps }, choose)
    }
    const watch = term.watch === undefined ? policy.getWatch(getEvidence(state, term)) : undefined
    if (watch !== undefined) term.watch = sendBeside(state, term, watch.isRelayed ? RequestKind.RelayedWatch : RequestKind.Watch, watch, choose)
    for (const [index, { wait, isRelayed }] of policy.standing.entries()) {
      term.standing[index] ??= sendBeside(state, term, isRelayed ? RequestKind.RelayedStanding : RequestKind.Standing, { wait: term.areEndsListed ? 0 : wait, answer: answerSteps }, choose)
    }
  }

  function startRun (state: EndState, { hasAnswered }: TermModel, choose: Choose): void {
    for (const [index, run] of state.runs.entries()) {
      if (run.work !== Work.None || !hasAnswered || !isReachable(state) || !choose([['', false], [`run ${index} is started`, true]])) continue
      run.work = Work.AtWork
      run.life = state.life
      run.known = Known.Running
      run.startedAge = 0
    }
  }

  function getEvidence (state: EndState, term: TermModel): LinkEvidence {
    const { poll, reportAge, lookSentAge, relaySentAge, failedPolls, areEndsListed, lossAge, failedWatch } = term
    return {
      poll: poll === undefined ? undefined : { age: poll.age, wait: poll.wait },
      lookSentAge,
      relaySentAge,
      isEndExpected: state.runs.some(({ known, work, isForeseen }) => known === Known.Running && (isProgressWrong || (work !== Work.AtWork && isForeseen))),
      areEndsStored: state.runs.every(({ known }) => known !== Known.Read),
      reportAge,
      areEndsListed,
      failedPolls,
      lossAge,
      areOthersLosing,
      failedWatch,
      storedSequence: getStoredSequence(state, term)
    }
  }

  function getStoredSequence ({ runs }: EndState, { knownLife }: TermModel): number {
    const seen = runs.filter(({ life, isSeen }) => life === knownLife && isSeen)
    const isStored = ({ known }: RunModel): boolean => known === Known.Stored || known === Known.Lost || faults.acknowledgesUnstored === true
    const firstUnstored = Math.min(Infinity, ...seen.filter(run => !isStored(run)).map(({ sequence }) => sequence))
    return Math.max(0, ...seen.map(({ sequence }) => sequence).filter(sequence => sequence < firstUnstored))
  }

  function sendPoll (state: EndState, term: TermModel, choose: Choose): void {
    const isAnswering = term.hasAnswered && term.failedPolls === 0
    const wait = !isAnswering ? 0 : areAnswersLost(getEvidence(state, term)) ? policy.lossyPollWait : policy.pollWait
    const isFast = term.hasAnswered && term.failedPolls > 0 && term.failedPolls <= fastRetries
    const isConfirmedConnection = term.connectionLife !== 0 && term.connectionLife === term.knownLife && term.connectionLife === state.life
    const acknowledged = isConfirmedConnection || faults.acknowledgesOverAnyConnection === true ? policy.getAcknowledgedSequence(getEvidence(state, term)) : 0
    requests.polls++
    if (acknowledged > 0) requests.acknowledging++
    term.poll = send(state, { kind: RequestKind.Poll, wait, timeout: wait + (isFast ? fastAnswerSteps : answerSteps), acknowledged }, choose)
    receive(state, term, term.poll, choose)
  }

  /** Sends a request beside the poll. Returns it if it has got no answer. */
  function sendBeside (state: EndState, term: TermModel, kind: RequestKind, { wait, answer }: Look, choose: Choose): RequestModel | undefined {
    requests.looks++
    const request = send(state, { kind, wait, timeout: wait + answer, acknowledged: 0 }, choose)
    const isOver = receive(state, term, request, choose)
    storeEnds(state, term, choose)
    return isOver ? undefined : request
  }

  function send (state: EndState, request: Pick<RequestModel, 'kind' | 'wait' | 'timeout' | 'acknowledged'>, choose: Choose): RequestModel {
    const { kind, acknowledged } = request
    const { left } = state
    const options: Array<readonly [string, Outcome]> = [['', Outcome.Answered]]
    if (left.lostRequests > 0) options.push([`a ${kind} is lost`, Outcome.NotExecuted])
    // What is carried out without an answer differs from a request that is lost only by what it acknowledges.
    if (left.lostRequests > 0 && acknowledged > 0) options.push([`a ${kind} is carried out, its answer is lost`, Outcome.AnswerLost])
    if (left.lateRequests > 0) options.push([`a ${kind} that acknowledges ${acknowledged} gets no answer and stays under way`, Outcome.Late])
    const isPossible = state.isAlive && (isRelayed(kind) || !state.isCut)
    const outcome = isPossible && options.length > 1 ? choose(options) : Outcome.Answered
    if (outcome === Outcome.NotExecuted || outcome === Outcome.AnswerLost) {
      left.lostRequests--
      note(state, `lost ${kind}`)
    }
    if (outcome === Outcome.Late) {
      left.lateRequests--
      note(state, kind === RequestKind.Poll ? 'late poll' : 'late look')
      // Without an acknowledgement it changes nothing when it is carried out.
      if (acknowledged > 0) state.lateRequests.push({ acknowledged, term: state.term?.index ?? 0, life: state.life, age: 0 })
    }
    const isExecuted = isPossible && (outcome === Outcome.Answered || outcome === Outcome.AnswerLost)
    const isRefused = isExecuted && !execute(state, state.term?.index ?? 0, acknowledged, 'a request on time')
    return { ...request, phase: isExecuted && !isRefused ? Phase.AtWorker : Phase.NoAnswer, age: 0, isAnswerLost: outcome === Outcome.AnswerLost, report: undefined, reportAge: 0 }
  }

  /** Advances a request: the worker answers when it lists an end or the wait is over, and the host gives up at the time-out. Returns whether the request is over. */
  function receive (state: EndState, term: TermModel, request: RequestModel, choose: Choose): boolean {
    if (request.phase === Phase.AtWorker && (request.age >= request.wait || state.runs.some(({ isListed }) => isListed))) answer(state, request, choose)
    const report = request.phase === Phase.AnswerUnderWay && (request.reportAge >= slowAnswerSteps || request.reportAge === immediate) ? request.report : undefined
    if (report === undefined && request.age < request.timeout) return false
    if (request.kind === RequestKind.Look) term.look = undefined
    else if (request.kind === RequestKind.Relay) term.relay = undefined
    else if (request.kind === RequestKind.Poll) term.poll = undefined
    else if (request.kind === RequestKind.Watch || request.kind === RequestKind.RelayedWatch) {
      term.watch = undefined
      term.failedWatch = report !== undefined ? FailedWatch.None : request.kind === RequestKind.Watch ? FailedWatch.Own : FailedWatch.Relayed
    }
    if (report !== undefined) applyReport(state, term, report, request)
    else {
      if (!isRelayed(request.kind)) term.lossAge = 0
      if (request.kind === RequestKind.Poll) {
        term.failedPolls = Math.min(fastRetries + 1, term.failedPolls + 1)
        term.connectionLife = 0
      }
    }
    return true
  }

  function answer (state: EndState, request: RequestModel, choose: Choose): void {
    request.phase = Phase.NoAnswer
    if (request.isAnswerLost || (state.isCut && !isRelayed(request.kind))) return
    request.phase = Phase.AnswerUnderWay
    request.report = { life: state.life, listed: getBits(state, run => run.life === state.life && run.isListed), running: getBits(state, run => run.life === state.life && run.work === Work.AtWork) }
    const isSlow = state.left.slowAnswers > 0 && choose([['', false], [`the answer to a ${request.kind} is slow`, true]])
    request.reportAge = isSlow ? 0 : immediate
    if (!isSlow) return
    state.left.slowAnswers--
    note(state, 'slow answer')
  }

  function applyReport (state: EndState, term: TermModel, report: ReportModel, request: RequestModel): void {
    if (report.life < term.knownLife) return
    if (report.life > term.knownLife) {
      term.knownLife = report.life
      for (const run of state.runs) run.isSeen = false
    }
    term.hasAnswered = true
    if (request.kind === RequestKind.Poll) {
      term.failedPolls = 0
      term.reportAge = 0
      term.connectionLife = report.life
    }
    term.areEndsListed = report.listed !== 0
    for (const [index, run] of state.runs.entries()) {
      const isListed = (report.listed & 1 << index) !== 0
      if (isListed) run.isSeen = true
      if (run.known !== Known.Running) continue
      if (isListed) run.known = Known.Read
      else if ((report.running & 1 << index) === 0 && (request.age < run.startedAge || faults.ignoresSendTimes === true)) countAsLost(state, run)
    }
  }

  function countAsLost (state: EndState, run: RunModel): void {
    run.known = Known.Lost
    if (run.isStored) breakRule(EndInvariant.Once, 'a run counts as lost and is started again although its end is stored')
    else if (state.isAlive && run.life === state.life && (run.work === Work.AtWork || run.isListed)) breakRule(EndInvariant.Twice, `a run counts as lost although ${run.isListed ? 'its end is listed' : 'it is at work'}`)
  }

  // Store

  /** Writes of one job follow each other: the next one is sent when the outcome of the last one is known. */
  function storeEnds (state: EndState, term: TermModel, choose: Choose): void {
    if (term.write !== undefined && term.write.age >= policy.writeRetry) {
      if ((term.write.runs & ~getBits(state, ({ isStored }) => isStored)) === 0) confirm(state, term.write.runs)
      term.write = undefined
    }
    const runs = getBits(state, ({ known }) => known === Known.Read)
    if (term.write !== undefined || runs === 0) return
    const outcome = state.left.lostWrites === 0
      ? WriteOutcome.Confirmed
      : choose([['', WriteOutcome.Confirmed], ['a write is lost', WriteOutcome.NotDone], ['a write is done, its answer is lost', WriteOutcome.AnswerLost], ['a write gets no answer and stays under way', WriteOutcome.Late]])
    if (outcome === WriteOutcome.Confirmed || outcome === WriteOutcome.AnswerLost) store(state, runs)
    if (outcome === WriteOutcome.Confirmed) {
      confirm(state, runs)
      return
    }
    state.left.lostWrites--
    note(state, 'write without an answer')
    term.write = { runs, age: 0 }
    if (outcome === WriteOutcome.Late) state.lateWrites.push({ runs, term: term.index, age: 0 })
  }

  function store (state: EndState, runs: number): void {
    for (const [index, run] of state.runs.entries()) if ((runs & 1 << index) !== 0) run.isStored = true
  }

  function confirm (state: EndState, runs: number): void {
    for (const [index, run] of state.runs.entries()) if ((runs & 1 << index) !== 0 && run.known === Known.Read) run.known = Known.Stored
  }

  // Invariants

  function breakRule (invariant: EndInvariant, what: string): void {
    isBroken = true
    reportFinding({ class: `${invariant}: ${what}`, steps: 0 })
  }

  function countSteps (state: EndState): void {
    for (const run of state.runs) {
      const isUnread = state.term !== undefined && run.isListed && run.known === Known.Running
      run.unreadSteps = isUnread ? Math.min(ageLimit, run.unreadSteps + 1) : 0
      if (run.unreadSteps > 0) reportFinding({ class: `${EndInvariant.Read}: ${describe(state)}`, steps: run.unreadSteps })
      const isUnstored = state.term !== undefined && run.known === Known.Read && !run.isStored
      run.unstoredSteps = isUnstored ? Math.min(ageLimit, run.unstoredSteps + 1) : 0
      if (run.unstoredSteps > 0) reportFinding({ class: `${EndInvariant.Stored}: ${describe(state)}`, steps: run.unstoredSteps })
    }
  }

  function describe ({ happened }: EndState): string {
    return causes.filter((_, index) => (happened & 1 << index) !== 0).join(' + ') || 'no cause'
  }
}

function isRelayed (kind: RequestKind): boolean {
  return kind === RequestKind.Relay || kind === RequestKind.RelayedWatch || kind === RequestKind.RelayedStanding
}

/** The requests that a host sends in so many steps if one run ends in the first one and another goes on. */
export function countRequests (scenario: EndScenario, steps: number): RequestCounts {
  const model = createEndModel(scenario)
  const state = model.clone(model.initial)
  for (let step = 0; step < steps; step++) {
    model.advance(state, options => {
      const wanted = step === 0 ? options.find(([label]) => label === 'run 0 ends' || label === 'run 1 is started') : undefined
      return (wanted ?? options[0] as (typeof options)[number])[1]
    }, () => {})
  }
  return model.requests
}
