/** The scenarios in which the ways to read ends are compared. Each limits the disturbances so that all orders of events can be explored. */
import type { EndScenario } from './endModel.js'

/** A scenario for any policy, and its bound. */
export interface NamedEndScenario extends Omit<EndScenario, 'policy'> {
  readonly name: string
  /** The depth explored by `npm run model`, in steps. */
  readonly maxDepth: number
}

const none = { lostRequests: 0, lateRequests: 0, slowAnswers: 0, lostWrites: 0, cuts: 0, termEnds: 0, deaths: 0, restarts: 0 }
/** Late requests are carried out after 2 to 3 s; the bench does so after 2 to 12 s, which reaches the same states with more steps between. */
const base = { lateSteps: [8, 12] as const, areEndsUnforeseen: false, isProgressWrong: false, areOthersLosing: false }

/** A request that is lost, and no other disturbance. */
export const lostRequestScenario: NamedEndScenario = { ...base, name: 'lost request', disturbances: { ...none, lostRequests: 1 }, maxDepth: 16 }

/** Writes that are lost, done without an answer or done late. */
export const lostWriteScenario: NamedEndScenario = { ...base, name: 'lost writes', disturbances: { ...none, lostWrites: 4 }, maxDepth: 14 }

/** An end that the progress has not shown, and a lost request. */
export const unforeseenScenario: NamedEndScenario = { ...lostRequestScenario, name: 'unforeseen end', areEndsUnforeseen: true, maxDepth: 14 }

/** The same while answers of other workers are being lost. */
export const unforeseenDuringLossesScenario: NamedEndScenario = { ...unforeseenScenario, name: 'unforeseen end during losses', areOthersLosing: true }

/** A worker that restarts under its id, and a poll that is carried out late. */
export const lateRequestScenario: NamedEndScenario = { ...base, name: 'late request', disturbances: { ...none, lateRequests: 1, deaths: 1, restarts: 1 }, maxDepth: 14 }

/** Answers that newer ones overtake, and a lost request. */
export const slowAnswerScenario: NamedEndScenario = { ...base, name: 'slow answers', disturbances: { ...none, lostRequests: 1, slowAnswers: 2 }, maxDepth: 13 }

/** A term that ends, a lost request and a write without an answer. */
export const takeoverScenario: NamedEndScenario = { ...base, name: 'takeover', disturbances: { ...none, lostRequests: 1, lostWrites: 1, termEnds: 1 }, maxDepth: 12 }

/** All scenarios. */
export const endScenarios: readonly NamedEndScenario[] = [
  lostRequestScenario,
  { ...base, name: 'lost requests', disturbances: { ...none, lostRequests: 3 }, maxDepth: 16 },
  unforeseenScenario,
  unforeseenDuringLossesScenario,
  { ...unforeseenDuringLossesScenario, name: 'unforeseen end during losses, lost requests', disturbances: { ...none, lostRequests: 3 }, maxDepth: 12 },
  lostWriteScenario,
  { ...base, name: 'lost request and write', disturbances: { ...none, lostRequests: 1, lostWrites: 1 }, maxDepth: 14 },
  slowAnswerScenario,
  { ...base, name: 'cut', disturbances: { ...none, lostRequests: 1, cuts: 1 }, maxDepth: 12 },
  takeoverScenario,
  { ...base, name: 'takeover and restart', disturbances: { ...none, lostWrites: 1, termEnds: 1, deaths: 1, restarts: 1 }, maxDepth: 11 },
  lateRequestScenario,
  { ...base, name: 'late request and takeover', disturbances: { ...none, lateRequests: 1, termEnds: 1 }, maxDepth: 15 },
  { ...base, name: 'late request, takeover and restart', disturbances: { ...none, lateRequests: 1, termEnds: 1, deaths: 1, restarts: 1 }, maxDepth: 13 },
  { ...base, name: 'restart', disturbances: { ...none, slowAnswers: 1, lostRequests: 1, deaths: 1, restarts: 1 }, maxDepth: 11 }
]
