import { describe, expect, test } from '@jest/globals'
import { getUnreadShares } from './endLosses.js'
import { countRequests, createEndModel, EndInvariant } from './endModel.js'
import type { EndModelFaults } from './endModel.js'
import { endScenarios, lateRequestScenario, lostRequestScenario, lostWriteScenario, slowAnswerScenario, takeoverScenario, unforeseenDuringLossesScenario, unforeseenScenario } from './endScenarios.js'
import type { NamedEndScenario } from './endScenarios.js'
import { explore } from './explorer.js'
import type { Exploration } from './explorer.js'
import { getWorstSteps } from './findings.js'
import { acknowledgeOncePolicy, decisivePolicy, nearDecisivePolicy, onePollPolicy, plainWritesPolicy, pollAtOncePolicy, relayedWatchPolicy, secondPollPolicy, shortWaitPolicy, twoPollsPolicy } from './readingPolicies.js'
import type { ReadingPolicy } from './readingPolicies.js'

const forgottenByLatePoll = 'KEPT: an end that was never read is forgotten by a late request to an earlier life'
const safetyRules: readonly string[] = [EndInvariant.Kept, EndInvariant.Once, EndInvariant.Twice]

/** Smaller bounds than those of `npm run model`. */
const lostRequest = { ...lostRequestScenario, maxDepth: 11 }
const unforeseen = { ...unforeseenScenario, maxDepth: 11 }
const unforeseenDuringLosses = { ...unforeseenDuringLossesScenario, maxDepth: 11 }
const lostWrites = { ...lostWriteScenario, disturbances: { ...lostWriteScenario.disturbances, lostWrites: 3 }, maxDepth: 8 }
const maxSafetyDepth = 6

function check (scenario: NamedEndScenario, policy: ReadingPolicy, faults: EndModelFaults = {}): Exploration {
  return explore(createEndModel({ ...scenario, policy, faults }), { maxDepth: scenario.maxDepth, maxStates: 500_000 })
}

function getUnsafe ({ findings }: Exploration): string[] {
  return [...findings.keys()].filter(name => safetyRules.includes(name.slice(0, name.indexOf(':')))).sort()
}

function getWorst (scenario: NamedEndScenario, policy: ReadingPolicy, invariant = EndInvariant.Read): number {
  return getWorstSteps(check(scenario, policy).findings, invariant)
}

describe('end model', () => {
  test('finds that an end is not read until a lost poll has timed out, unless a second request is sent when the end is expected', () => {
    expect(getWorst(lostRequest, onePollPolicy)).toBe(8)
    expect(getWorst(lostRequest, shortWaitPolicy)).toBe(4)
    expect(getWorst(lostRequest, secondPollPolicy)).toBeLessThanOrEqual(1)
  })

  test('finds that no second request is sent for an end that the progress has not shown, and that a second poll which waits reads it', () => {
    expect(getWorst(unforeseen, secondPollPolicy)).toBe(8)
    expect(getWorst(unforeseen, twoPollsPolicy)).toBe(0)
  })

  test('finds that a waiting request beside the poll reads an end that the progress has not shown, if it is known that answers of other workers are being lost', () => {
    expect(getWorst(unforeseenDuringLosses, secondPollPolicy)).toBe(8)
    expect(getWorst(unforeseenDuringLosses, relayedWatchPolicy)).toBe(0)
  })

  test('finds that a second request that waits at all times reads an end that the progress has not shown after the first lost answer', () => {
    expect(getWorst(unforeseen, relayedWatchPolicy)).toBe(8)
    expect(getWorst(unforeseen, decisivePolicy)).toBe(0)
  })

  test('with most requests lost, and none known to be, requests that wait at all times make it rarer that an end which the progress has not shown is not read for half a second', () => {
    const trials = { isForeseen: false, areOthersLosing: false, lostShare: 0.6, trials: 1_000, seed: 1 }
    const [built, two, four] = [relayedWatchPolicy, decisivePolicy, nearDecisivePolicy].map(policy => getUnreadShares(policy, trials, [2])[0])
    expect(built).toBeGreaterThan(0.3)
    expect(two).toBeLessThan(0.25)
    expect(four).toBeLessThan(0.12)
  })

  test('finds that the next end is not read while the write of the last one has no answer, unless the poll goes on when an end is expected', () => {
    expect(getWorst(lostWrites, onePollPolicy)).toBe(2)
    expect(getWorst(lostWrites, secondPollPolicy)).toBe(0)
  })

  test('an end that was read is stored one step after each write without an answer, which takes four steps each without confirmed writes', () => {
    expect(getWorst(lostWrites, secondPollPolicy, EndInvariant.Stored)).toBe(3)
    expect(getWorst(lostWrites, plainWritesPolicy, EndInvariant.Stored)).toBeGreaterThan(6)
  })

  test('no policy forgets an end before it is stored, starts a run again after that, or counts one as lost while it is at work, unless a later life carries out a late poll', () => {
    for (const policy of [onePollPolicy, secondPollPolicy, relayedWatchPolicy, decisivePolicy]) {
      for (const scenario of endScenarios.filter(({ disturbances }) => disturbances.lateRequests === 0)) expect(getUnsafe(check({ ...scenario, maxDepth: maxSafetyDepth }, policy))).toEqual([])
    }
  })

  test('finds under each rule that a late poll to an earlier life makes the next one forget an end that was never read, which is the known open case', () => {
    for (const policy of [onePollPolicy, secondPollPolicy, relayedWatchPolicy, acknowledgeOncePolicy]) expect(getUnsafe(check(lateRequestScenario, policy))).toEqual([forgottenByLatePoll])
  })

  test('finds an end that is acknowledged before it is stored', () => {
    expect(getUnsafe(check(lostWrites, pollAtOncePolicy, { acknowledgesUnstored: true }))).toContain('KEPT: an end that was read and not stored is forgotten by a request on time')
  })

  test('finds an acknowledgement that is sent over a connection to a later life', () => {
    const scenario = { ...lateRequestScenario, disturbances: { ...lateRequestScenario.disturbances, lateRequests: 0 }, maxDepth: 11 }
    // Acknowledgements end with the last report's age, too: either rule suffices.
    const policy: ReadingPolicy = { ...onePollPolicy, getAcknowledgedSequence: ({ storedSequence }) => storedSequence }
    expect(getUnsafe(check(scenario, policy))).toEqual([])
    expect(getUnsafe(check(scenario, onePollPolicy, { acknowledgesOverAnyConnection: true }))).toEqual([])
    expect(getUnsafe(check(scenario, policy, { acknowledgesOverAnyConnection: true }))).toEqual(['KEPT: an end that was never read is forgotten by a request on time'])
  })

  test('finds a write that an ended term has left under way and that is not conditional on the term', () => {
    const scenario = { ...takeoverScenario, disturbances: { ...takeoverScenario.disturbances, lostRequests: 0, deaths: 1, restarts: 1 }, maxDepth: 6 }
    expect(getUnsafe(check(scenario, onePollPolicy))).toEqual([])
    expect(getUnsafe(check(scenario, onePollPolicy, { areWritesUnguarded: true }))).toEqual(['ONCE: a run counts as lost and is started again although its end is stored'])
  })

  test('finds a report that is judged by when it arrives, so that a run which started meanwhile counts as lost', () => {
    expect(getUnsafe(check({ ...slowAnswerScenario, maxDepth: 9 }, onePollPolicy, { ignoresSendTimes: true }))).toContain('TWICE: a run counts as lost although it is at work')
  })

  test('a second poll costs no request while no end is expected, and few polls acknowledge ends if each end is acknowledged once', () => {
    const usual = countRequests({ ...lostRequestScenario, policy: onePollPolicy }, 40)
    expect(countRequests({ ...lostRequestScenario, policy: secondPollPolicy }, 40)).toEqual(usual)
    expect(countRequests({ ...lostRequestScenario, policy: relayedWatchPolicy }, 40)).toEqual(usual)
    expect(countRequests({ ...lostRequestScenario, policy: acknowledgeOncePolicy }, 40)).toEqual({ ...usual, acknowledging: 1 })
  })

  test('with most requests lost, a second request makes it rarer that an end which should be there is not read for a second', () => {
    const trials = { isForeseen: true, areOthersLosing: false, lostShare: 0.6, trials: 1_000, seed: 1 }
    const [one, second] = [onePollPolicy, secondPollPolicy].map(policy => getUnreadShares(policy, trials, [4])[0])
    expect(one).toBeGreaterThan(0.25)
    expect(second).toBeLessThan(0.1)
  })

  test('with most requests lost, a waiting request makes it rarer that an end which the progress has not shown is not read for a second', () => {
    const trials = { isForeseen: false, areOthersLosing: true, lostShare: 0.6, trials: 1_000, seed: 1 }
    const [second, watch] = [secondPollPolicy, relayedWatchPolicy].map(policy => getUnreadShares(policy, trials, [4])[0])
    expect(second).toBeGreaterThan(0.25)
    expect(watch).toBeLessThan(0.05)
  })
})
