/**
 * How a scheduler reads the ends of runs that a worker lists, as pure functions of what its link to the worker knows: when it polls, when it sends a second request
 * beside a poll under way, and what it acknowledges. Used by the end model (docs/design/end-model.md). All durations are in steps of `stepMs`.
 */

/** The length of a step of the end model, in ms. A few round trips between regions fit into it. */
export const stepMs = 250

/** What the link of a term knows when it decides. */
export interface LinkEvidence {
  /** The poll under way: the steps since it was sent, and how long it waits for an end at the worker; undefined if there is none. */
  readonly poll: { readonly age: number, readonly wait: number } | undefined
  /** Steps since the latest second request of the host, and the latest one through another host, were sent; `ageLimit` at most. */
  readonly lookSentAge: number
  readonly relaySentAge: number
  /** Whether a run that is not known to have ended should have ended by its progress. */
  readonly isEndExpected: boolean
  /** Whether all ends that were read are known to be stored. */
  readonly areEndsStored: boolean
  /** Steps since the latest answer to a poll; `ageLimit` at most. */
  readonly reportAge: number
  /** Whether the latest report that was read lists ends. */
  readonly areEndsListed: boolean
  /** Polls that have failed since the last answer. */
  readonly failedPolls: number
  /** Steps since the host learned that a request of its own to the worker got no answer; `ageLimit` at most. */
  readonly lossAge: number
  /** Whether other workers have left requests unanswered and answered later ones. */
  readonly areOthersLosing: boolean
  /** Whether the latest waiting request got no answer, and whether another host had sent it. */
  readonly failedWatch: FailedWatch
  /** The highest sequence number up to which all ends of the known life that were read are stored. */
  readonly storedSequence: number
}

/** How the latest waiting request failed. */
export enum FailedWatch { None, Own, Relayed }

/** A request beside a poll. */
export interface Look {
  /** How long it waits for an end at the worker, and how long its answer may take beyond that. */
  readonly wait: number
  readonly answer: number
}

/** A request beside a poll that waits at the worker. */
export interface Watch extends Look {
  /** Whether another host sends it. */
  readonly isRelayed: boolean
}

/** A waiting request that is sent again whenever it is over. */
export interface StandingRequest {
  readonly wait: number
  /** Whether another host sends it. */
  readonly isRelayed: boolean
}

/** A way to read and to store ends. */
export interface ReadingPolicy {
  readonly name: string
  /** How long a poll waits for an end when the worker has answered the previous one. */
  readonly pollWait: number
  /** The same while answers are being lost. */
  readonly lossyPollWait: number
  /** Tells whether the next poll is sent although the ends of the last report are not stored. */
  isPollDue (evidence: LinkEvidence): boolean
  /** The second request to send now; none is sent while one is under way. It acknowledges nothing. */
  getLook (evidence: LinkEvidence): Look | undefined
  /** Tells whether another host is asked to send a request that does not wait; none is sent while one is under way. It acknowledges nothing. */
  isRelayDue (evidence: LinkEvidence): boolean
  /** The waiting request to send now, beside all others; none is sent while one is under way. It acknowledges nothing. */
  getWatch (evidence: LinkEvidence): Watch | undefined
  /** The waiting requests that are under way at all times, each beside all others; they acknowledge nothing. For a worker where an end decides whether other work may start. */
  readonly standing: readonly StandingRequest[]
  /** What the next poll acknowledges; it is sent only over a connection on which the known life has reported. */
  getAcknowledgedSequence (evidence: LinkEvidence): number
  /** Steps after which a write without an answer is checked and repeated. */
  readonly writeRetry: number
}

/** Ages are not counted beyond this. */
export const ageLimit = 20
/** How long a request may take beyond its wait: 500 ms. */
export const answerSteps = 2
/** How long the first retries may take: 150 ms. */
export const fastAnswerSteps = 1
/** The number of these retries. */
export const fastRetries = 2
/** The next poll waits this long for the store: 1 s. */
const storeWait = 4
/** A report is recent enough for an acknowledgement: 1 s. */
const acknowledgementValidity = 4
/** Failed polls after which a worker is polled through other hosts. */
const failedPollsBeforeRelay = 2
/** The pause between two relayed polls: 400 ms and more. */
const relayPause = 2
const pollWait = 6
const shortPollWait = 2
/** Answers of a worker count as being lost for this long after a request without an answer: 4 s. */
const lossWindow = 16
/** The pause between two second requests for an end that is expected: 500 ms. */
const lookPause = 2

/** As the code was before issue 61: one poll at a time, which waits for the store; relayed polls after two that have failed. */
export const onePollPolicy: ReadingPolicy = {
  name: 'one poll',
  pollWait,
  isPollDue: ({ areEndsStored, reportAge }) => areEndsStored || reportAge >= storeWait,
  lossyPollWait: pollWait,
  getLook: () => undefined,
  isRelayDue: isRelayDueAfterFailures,
  getWatch: () => undefined,
  standing: [],
  getAcknowledgedSequence: ({ reportAge, storedSequence }) => reportAge < acknowledgementValidity ? storedSequence : 0,
  writeRetry: 1
}

/** As `one poll`, with the writes that were in use before confirmed writes: a lost answer shows at the time-out of the call. */
export const plainWritesPolicy: ReadingPolicy = { ...onePollPolicy, name: 'one poll, plain writes', writeRetry: 4 }

/** As `one poll`, and polls wait for 500 ms. */
export const shortWaitPolicy: ReadingPolicy = { ...onePollPolicy, name: 'shorter waits', pollWait: shortPollWait, lossyPollWait: shortPollWait }

/** As `one poll`, and the next poll is sent at once with what is stored by then. */
export const pollAtOncePolicy: ReadingPolicy = { ...onePollPolicy, name: 'next poll at once', isPollDue: () => true }

/** A second request beside a poll when an end is expected, and beside a poll that does not wait and is late; the next poll does not wait for the store when an end is expected. */
export const secondPollPolicy: ReadingPolicy = {
  ...onePollPolicy,
  name: 'second poll',
  isPollDue: evidence => onePollPolicy.isPollDue(evidence) || evidence.isEndExpected,
  getLook: evidence => isRequestDue(evidence, evidence.lookSentAge, lookPause) ? { wait: 0, answer: answerSteps } : undefined
}

/** As `second poll`, without the change to the poll that waits for the store. */
export const lookOnlyPolicy: ReadingPolicy = { ...secondPollPolicy, name: 'second poll, waits for the store', isPollDue: onePollPolicy.isPollDue }

/** As `second poll`, with 250 ms for the answer and between two second requests. */
export const quickLookPolicy: ReadingPolicy = {
  ...secondPollPolicy,
  name: 'second poll, quick',
  getLook: evidence => isRequestDue(evidence, evidence.lookSentAge, fastAnswerSteps) ? { wait: 0, answer: fastAnswerSteps } : undefined
}

/** As `second poll`, and polls wait for 500 ms. */
export const secondPollShortWaitPolicy: ReadingPolicy = { ...secondPollPolicy, name: 'second poll, shorter waits', pollWait: shortPollWait, lossyPollWait: shortPollWait }

/** As `second poll`, with the second request sent by another host. */
export const relayedLookPolicy: ReadingPolicy = { ...secondPollPolicy, name: 'second poll through other hosts', getLook: () => undefined, isRelayDue: isRelayDueSoon }

/** A second request of the host and one through another host. */
export const bothLooksPolicy: ReadingPolicy = { ...secondPollPolicy, name: 'second poll, also through other hosts', isRelayDue: isRelayDueSoon }

/** As `second poll`, and a poll acknowledges only when the latest report lists ends, so that few polls carry an acknowledgement. */
export const acknowledgeOncePolicy: ReadingPolicy = {
  ...secondPollPolicy,
  name: 'second poll, acknowledges once',
  getAcknowledgedSequence: evidence => evidence.areEndsListed ? onePollPolicy.getAcknowledgedSequence(evidence) : 0
}

/** Two polls at any time, which both wait for an end. The second one acknowledges nothing. */
export const twoPollsPolicy: ReadingPolicy = {
  ...secondPollPolicy,
  name: 'two waiting polls',
  getLook: ({ areEndsListed, failedPolls }) => ({ wait: areEndsListed || failedPolls > 0 ? 0 : pollWait, answer: answerSteps })
}

/** As `two waiting polls`, and requests through another host when an end is expected. */
export const twoPollsRelayPolicy: ReadingPolicy = { ...twoPollsPolicy, name: 'two waiting polls, also through other hosts', isRelayDue: isRelayDueSoon }

/** As `second poll`, and a waiting request beside the poll while answers are being lost. */
export const watchPolicy: ReadingPolicy = {
  ...secondPollPolicy,
  name: 'waiting request during losses',
  getWatch: evidence => areAnswersLost(evidence) ? { wait: evidence.areEndsListed ? 0 : pollWait, answer: answerSteps, isRelayed: false } : undefined
}

/** The rule of `runs/`: as `waiting request during losses`, through another host after a failure of the host's own requests, and back after a failure there; both requests wait for 500 ms. */
export const relayedWatchPolicy: ReadingPolicy = {
  ...watchPolicy,
  name: 'waiting request during losses, also through other hosts',
  lossyPollWait: shortPollWait,
  getWatch: evidence => areAnswersLost(evidence) ? { wait: evidence.areEndsListed ? 0 : shortPollWait, answer: answerSteps, isRelayed: isWatchRelayed(evidence) } : undefined
}

/** As the last one, and polls wait as usual. */
export const relayedWatchLongPollPolicy: ReadingPolicy = { ...relayedWatchPolicy, name: 'waiting request during losses, also through other hosts, usual polls', lossyPollWait: pollWait }

/** As `relayedWatchPolicy`, and a second request of the host waits at all times. */
export const decisivePolicy: ReadingPolicy = { ...relayedWatchPolicy, name: 'two waiting requests where an end decides', standing: [{ wait: pollWait, isRelayed: false }] }

/** The same through another host. */
export const relayedDecisivePolicy: ReadingPolicy = { ...relayedWatchPolicy, name: 'two waiting requests where an end decides, through another host', standing: [{ wait: pollWait, isRelayed: true }] }

/** Three requests beside the poll, two of them through other hosts: where the progress announces the end as near. */
export const nearDecisivePolicy: ReadingPolicy = { ...relayedWatchPolicy, name: 'four waiting requests where an end decides and is near', standing: [{ wait: pollWait, isRelayed: false }, { wait: pollWait, isRelayed: true }, { wait: pollWait, isRelayed: true }] }

/** The same with shorter waits. */
export const nearShortDecisivePolicy: ReadingPolicy = { ...nearDecisivePolicy, name: 'four waiting requests where an end decides and is near, shorter waits', standing: nearDecisivePolicy.standing.map(request => ({ ...request, wait: shortPollWait })) }

/** All policies to compare. */
export const readingPolicies: readonly ReadingPolicy[] = [
  onePollPolicy,
  plainWritesPolicy,
  shortWaitPolicy,
  pollAtOncePolicy,
  lookOnlyPolicy,
  secondPollPolicy,
  quickLookPolicy,
  secondPollShortWaitPolicy,
  relayedLookPolicy,
  bothLooksPolicy,
  acknowledgeOncePolicy,
  twoPollsPolicy,
  twoPollsRelayPolicy,
  watchPolicy,
  relayedWatchPolicy,
  relayedWatchLongPollPolicy,
  decisivePolicy,
  relayedDecisivePolicy,
  nearDecisivePolicy,
  nearShortDecisivePolicy
]

/** Tells whether a second request beside the poll is due, `sentAge` steps after the last one. */
function isRequestDue ({ poll, isEndExpected }: LinkEvidence, sentAge: number, pause: number): boolean {
  if (poll === undefined) return false
  return (poll.wait === 0 && poll.age > 0) || (isEndExpected && sentAge >= pause)
}

function isRelayDueAfterFailures ({ failedPolls, relaySentAge }: LinkEvidence): boolean {
  return failedPolls >= failedPollsBeforeRelay && relaySentAge >= relayPause
}

function isRelayDueSoon (evidence: LinkEvidence): boolean {
  return isRelayDueAfterFailures(evidence) || isRequestDue(evidence, evidence.relaySentAge, relayPause)
}

/** Tells whether answers of the worker, or of others, are being lost. */
export function areAnswersLost ({ lossAge, areOthersLosing }: LinkEvidence): boolean {
  return areOthersLosing || lossAge < lossWindow
}

function isWatchRelayed ({ failedPolls, failedWatch }: LinkEvidence): boolean {
  return failedWatch === FailedWatch.Own || (failedPolls > 0 && failedWatch !== FailedWatch.Relayed)
}
