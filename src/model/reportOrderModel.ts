/** A model of requests that wait at a worker around the start of a run, and whose answers overtake each other: which of two reports was written later decides whether the run is lost. */
import { addSighting, isWrittenAfter, isWrittenBefore } from '../runs/endEvidence.js'
import type { ReportOrigin } from '../runs/endEvidence.js'
import type { Sighting } from '../jobs/trackedJob.js'
import type { Choose, Finding, Model } from './explorer.js'

/** What the model checks. */
export enum ReportOrderInvariant {
  /** A run counts as ended while it is there. */
  Twice = 'TWICE',
  /** A run that is over does not count as ended after the last report. */
  Gone = 'GONE'
}

/** What the host knows of the run. Times of the host are the numbers of its steps. */
export interface RunKnowledge {
  /** When the first request was sent whose report lists the run, or when the start was answered. */
  readonly runningSince: number
  readonly startedAt: number
  readonly seen: Sighting | undefined
  /** The latest report, whether or not it lists the run. */
  readonly latest: Sighting | undefined
}

/** How a host orders reports. */
export interface ReportOrderPolicy {
  readonly name: string
  /** Tells whether a report that does not list the run was written after it was there. */
  readonly isLost: (known: RunKnowledge, report: ReportOrigin) => boolean
}

const isOutdated = ({ latest }: RunKnowledge, report: ReportOrigin): boolean => latest !== undefined && report.requestedAtMs < latest.receivedAtMs && isWrittenBefore(report, latest)

/** The policies, by their names. The last one is that of the product; the one before the product's before issue 74. */
export const reportOrderPolicies: readonly ReportOrderPolicy[] = [
  { name: 'request times', isLost: ({ runningSince }, { requestedAtMs }) => runningSince < requestedAtMs },
  { name: 'clock, not strictly', isLost: (known, report) => report.requestedAtMs > known.startedAt && (known.seen === undefined || !isWrittenBefore(report, known.seen)) },
  { name: 'request times, earlier clocks ignored', isLost: (known, report) => !isOutdated(known, report) && known.runningSince < report.requestedAtMs },
  { name: 'clock', isLost: (known, report) => report.requestedAtMs > known.startedAt && (known.seen === undefined || isWrittenAfter(report, known.seen)) }
]

/** The bounds of the model. */
export interface ReportOrderScenario {
  readonly name: string
  readonly requests: number
  /** How often the worker's clock may advance. */
  readonly readings: number
}

/** The scenarios. In the second one, a request follows when the others have been answered. */
export const reportOrderScenarios: readonly ReportOrderScenario[] = [
  { name: 'two requests', requests: 2, readings: 2 },
  { name: 'three requests', requests: 3, readings: 2 }
]

enum RequestState { NotSent, Waiting, Written, Done }
enum StartState { NotSent, UnderWay, CarriedOut, Over }
enum WorkState { NotBegun, There, Over }

interface RequestModel {
  state: RequestState
  sentAt: number
  /** It was sent when the run was over and all other requests had been answered. */
  isLast: boolean
  writtenAt: number
  isListed: boolean
}

interface PlayState {
  /** The steps of the host, and the reading of the worker's clock. */
  hostTime: number
  reading: number
  readonly requests: RequestModel[]
  start: StartState
  work: WorkState
  /** The reading at which the work ended. */
  overAt: number
  isRunning: boolean
  isLost: boolean
  known: RunKnowledge
}

const incarnationMs = 1

/** Creates the model. In each step one thing happens: at the host, at the worker, or on the way between them. */
export function createReportOrderModel ({ requests, readings, policy }: ReportOrderScenario & { readonly policy: ReportOrderPolicy }): Model<PlayState> {
  return {
    initial: {
      hostTime: 0,
      reading: 0,
      requests: Array.from({ length: requests }, () => ({ state: RequestState.NotSent, sentAt: 0, isLast: false, writtenAt: 0, isListed: false })),
      start: StartState.NotSent,
      work: WorkState.NotBegun,
      overAt: 0,
      isRunning: false,
      isLost: false,
      known: { runningSince: Infinity, startedAt: -Infinity, seen: undefined, latest: undefined }
    },
    clone: state => ({ ...state, requests: state.requests.map(request => ({ ...request })) }),
    getKey: state => JSON.stringify(state, (_key, value: unknown) => value === Infinity ? 'never' : value === -Infinity ? 'not' : value),
    advance
  }

  function advance (state: PlayState, choose: Choose, report: (finding: Finding) => void): boolean {
    const events = getEvents(state)
    if (events.length === 0) return false
    choose(events.map(([label, event]) => [label, event] as const))()
    if (state.isLost && state.work !== WorkState.Over) report({ class: ReportOrderInvariant.Twice, steps: 0 })
    const last = state.requests.at(-1) as RequestModel
    const isDecided = last.state === RequestState.Done && last.isLast && last.sentAt > state.known.startedAt && last.writtenAt > state.overAt && state.start === StartState.Over
    if (isDecided && state.isRunning && !state.isLost) report({ class: ReportOrderInvariant.Gone, steps: 0 })
    return !state.isLost
  }

  function getEvents (state: PlayState): ReadonlyArray<readonly [label: string, event: () => void]> {
    const events: Array<readonly [string, () => void]> = []
    const isNextSent = state.requests.findIndex(request => request.state === RequestState.NotSent)
    const isLater = isNextSent >= 2 && state.requests.slice(0, isNextSent).some(request => request.state !== RequestState.Done)
    if (isNextSent >= 0 && !isLater) events.push([`request ${isNextSent + 1} is sent`, () => { send(state, state.requests[isNextSent] as RequestModel) }])
    if (state.start === StartState.NotSent) events.push(['the start is sent', () => { state.start = StartState.UnderWay }])
    if (state.start === StartState.UnderWay) events.push(['the run begins', () => { state.start = StartState.CarriedOut; state.work = WorkState.There }])
    if (state.start === StartState.CarriedOut) events.push(['the start is answered', () => { answerStart(state) }], ['the answer to the start is lost', () => { state.start = StartState.Over }])
    // Without a list of its end: an acknowledgement has reached the worker.
    if (state.work === WorkState.There) events.push(['the run is gone', () => { state.work = WorkState.Over; state.overAt = state.reading }])
    if (state.reading < readings) events.push(['the clock advances', () => { state.reading++ }])
    state.requests.forEach((request, index) => {
      if (request.state === RequestState.Waiting) events.push([`report ${index + 1} is written`, () => { Object.assign(request, { state: RequestState.Written, writtenAt: state.reading, isListed: state.work === WorkState.There }) }])
      if (request.state === RequestState.Written) events.push([`report ${index + 1} arrives`, () => { apply(state, request) }])
    })
    return events
  }

  function send (state: PlayState, request: RequestModel): void {
    const isLast = state.work === WorkState.Over && state.requests.every(other => other === request || other.state === RequestState.Done)
    Object.assign(request, { state: RequestState.Waiting, sentAt: ++state.hostTime, isLast })
  }

  function answerStart (state: PlayState): void {
    const startedAt = ++state.hostTime
    state.start = StartState.Over
    state.isRunning = true
    state.known = { ...state.known, startedAt, runningSince: startedAt }
  }

  function apply (state: PlayState, request: RequestModel): void {
    request.state = RequestState.Done
    const receivedAt = ++state.hostTime
    const report: ReportOrigin = { requestedAtMs: request.sentAt, incarnationMs, clockMs: request.writtenAt }
    const { known } = state
    if (request.isListed) {
      state.isRunning = true
      state.known = { ...known, runningSince: Math.min(known.runningSince, request.sentAt), seen: addSighting(known.seen, report, receivedAt) }
    } else if (state.isRunning && policy.isLost(known, report)) state.isLost = true
    state.known = { ...state.known, latest: addSighting(known.latest, report, receivedAt) }
  }
}
