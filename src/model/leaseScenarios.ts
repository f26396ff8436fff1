/** The scenarios in which the policies are compared. Each limits the disturbances so that all orders of events can be explored. */
import type { LeaseTimes } from './endPolicies.js'
import type { LeaseScenario } from './leaseModel.js'

/** A scenario for any policy, and its bound. */
export interface NamedScenario extends Omit<LeaseScenario, 'policy'> {
  readonly name: string
  /** The depth explored by `npm run model`, in steps. */
  readonly maxDepth: number
}

/** The shortest durations that keep the order of those of the protocol. */
const shortTimes: LeaseTimes = { requestedLease: 2, maxLease: 4, maxRequestDelay: 5, recordTtl: 5, youngLife: 10 }
/** About 2 s a step: 6.3 s, 10.35 s, 15 s, 11.35 s and 35 s, the last of which is shortened. */
const scaledTimes: LeaseTimes = { requestedLease: 3, maxLease: 5, maxRequestDelay: 7, recordTtl: 6, youngLife: 13 }

const none = { deaths: 0, restarts: 0, cuts: 0, lostAnswers: 0, lateOrders: 0, termEnds: 0, lostWrites: 0 }
const base = { times: shortTimes, maxDelay: shortTimes.maxRequestDelay, isFirstLifeYoung: false, listDelay: 2, isIdle: false, maxTries: 2 }

/** A worker that is lost while starts are under way, and a takeover. */
export const lossScenario: NamedScenario = { ...base, name: 'loss', disturbances: { ...none, deaths: 1, lostAnswers: 2, termEnds: 1 }, maxDepth: 40 }

/** A worker that restarts under its id, a cut, one order that may be carried out late, and a takeover. */
export const restartScenario: NamedScenario = {
  ...base,
  name: 'restart',
  disturbances: { ...none, deaths: 1, restarts: 1, cuts: 1, lostAnswers: 1, lateOrders: 1, termEnds: 1 },
  maxDepth: 11
}

/** As `restartScenario`, where a new life is listed at once and late orders arrive soon, so that fewer states are reached. */
export const smallRestartScenario: NamedScenario = { ...restartScenario, name: 'restart, small', listDelay: 0, maxDelay: 3, maxDepth: 6 }

/** A worker that is lost, or cut off and lost, around two ends of terms, with an answer that is lost. */
export const twoTermsScenario: NamedScenario = { ...base, name: 'two ends', disturbances: { ...none, deaths: 1, cuts: 1, lostAnswers: 1, termEnds: 2 }, maxDepth: 9 }

/** As `twoTermsScenario`, with a write of the record that is lost: what the stored record still says bounds the extensions. */
export const lostWriteTermsScenario: NamedScenario = { ...twoTermsScenario, name: 'two ends, lost write', disturbances: { ...twoTermsScenario.disturbances, lostWrites: 1 }, maxDepth: 8 }

/** A worker that restarts while one of two tries of a start is under way. */
export const lateStartScenario: NamedScenario = { ...base, name: 'late start', disturbances: { ...none, deaths: 1, restarts: 1, lostAnswers: 2, lateOrders: 1 }, maxDepth: 6 }

/** A worker that restarts once or is gone for good, one start without an answer, and nothing else that could keep the term from polling the worker. */
export const seenRunScenario: NamedScenario = { ...base, name: 'seen run', disturbances: { ...none, deaths: 1, restarts: 1, lostAnswers: 1, lateOrders: 1 }, maxDepth: 9 }

/** As `seenRunScenario`, but starts are sent once. */
export const seenSingleStartScenario: NamedScenario = { ...seenRunScenario, name: 'seen run, single start', maxTries: 1 }

/** A start of which one try stays under way while two terms end, and a worker that restarts. */
export const retryScenario: NamedScenario = { ...base, name: 'retry', listDelay: 0, disturbances: { ...none, deaths: 1, restarts: 1, lostAnswers: 2, lateOrders: 1, termEnds: 2 }, maxDepth: 6 }

/** An idle worker that restarts before a start is sent, and a cut. */
export const unknownLifeScenario: NamedScenario = { ...base, name: 'unknown life', isIdle: true, disturbances: { ...none, deaths: 1, restarts: 1, cuts: 1 }, maxDepth: 6 }

/** All scenarios. */
export const leaseScenarios: readonly NamedScenario[] = [
  lossScenario,
  { ...lossScenario, name: 'loss, scaled', times: scaledTimes, maxDelay: scaledTimes.maxRequestDelay },
  { ...base, name: 'short terms', times: scaledTimes, disturbances: { ...none, deaths: 1, lostAnswers: 1, termEnds: 3 }, maxDepth: 18 },
  { ...base, name: 'lost writes', times: scaledTimes, disturbances: { ...none, deaths: 1, lostAnswers: 1, termEnds: 1, lostWrites: 2 }, maxDepth: 40 },
  { ...base, name: 'young life', times: scaledTimes, isFirstLifeYoung: true, disturbances: { ...none, deaths: 1, lostAnswers: 1, termEnds: 1 }, maxDepth: 40 },
  { ...base, name: 'silent again', times: scaledTimes, disturbances: { ...none, deaths: 1, cuts: 2, lostAnswers: 1, termEnds: 1 }, maxDepth: 14 },
  twoTermsScenario,
  lostWriteTermsScenario,
  { ...twoTermsScenario, name: 'two ends, scaled', times: scaledTimes, maxDelay: scaledTimes.maxRequestDelay, maxDepth: 10 },
  { ...twoTermsScenario, name: 'two ends, restart', listDelay: 0, disturbances: { ...twoTermsScenario.disturbances, restarts: 1 }, maxDepth: 7 },
  lateStartScenario,
  seenRunScenario,
  { ...seenRunScenario, name: 'seen run, scaled', times: scaledTimes, maxDelay: scaledTimes.maxLease },
  seenSingleStartScenario,
  { ...seenSingleStartScenario, name: 'seen run, single start, scaled', times: scaledTimes, maxDelay: scaledTimes.maxLease },
  { ...seenSingleStartScenario, name: 'seen run, single start, cuts', disturbances: { ...seenRunScenario.disturbances, cuts: 1 } },
  { ...restartScenario, name: 'restart, small, single start', listDelay: 0, maxDelay: 3, maxTries: 1, maxDepth: 6 },
  retryScenario,
  unknownLifeScenario,
  smallRestartScenario,
  restartScenario,
  { ...restartScenario, name: 'restart, no late orders', disturbances: { ...restartScenario.disturbances, lateOrders: 0 }, maxDepth: 12 },
  { ...base, name: 'retries', disturbances: { ...none, deaths: 1, restarts: 1, lostAnswers: 2, lateOrders: 2, termEnds: 2 }, maxDepth: 10 }
]
