/** Which jobs are refused by the summary of the backlog. Guards against refusals in error, which cost callers more than a late job. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { JobSpec } from '../jobs/jobModel.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { decideAdmission, getRetryAfterS, maxSummaryAgeMs } from './admissionDecision.js'
import type { AdmissionInput, Refusal } from './admissionDecision.js'
import type { BacklogLevel, BacklogSummary } from './backlogSummary.js'

const queue = { priority: 1, objectiveFactor: 3, objectiveMs: 1_000 }
const job = makeJob('a', 'wide', [makeStep({ estimateMs: 2_000 })])
/** Three times the objective of 7 s, times the margin, less the run. */
const maxWaitMs = 1.25 * 3 * 7_000 - 2_000

function makeLevel (priority: number, acceleratorWaitMs: number, coreWaitMs = 0): BacklogLevel {
  return { priority, acceleratorS: acceleratorWaitMs, coreS: coreWaitMs, acceleratorWaitMs, coreWaitMs }
}

function makeSummary (levels: readonly BacklogLevel[], fields: Partial<BacklogSummary> = {}): BacklogSummary {
  return { epoch: 7, atMs: 0, services: [{ service: 'pool', accelerators: 8, cores: 64, levels }], urgentAccelerators: new Map(), meanRunMs: new Map(), ...fields }
}

function makeInput (fields: Partial<AdmissionInput> = {}): AdmissionInput {
  return { job, queue, guaranteedAccelerators: 0, summary: makeSummary([makeLevel(1, 100_000)]), ageMs: 0, margin: 1.25, ...fields }
}

function isRefused (fields: Partial<AdmissionInput> = {}): boolean {
  return decideAdmission(makeInput(fields)) !== undefined
}

test('a job is refused only if it would complete after three times its objective by the margin', () => {
  expect(isRefused({ summary: makeSummary([makeLevel(1, maxWaitMs)]) })).toBe(false)
  expect(decideAdmission(makeInput({ summary: makeSummary([makeLevel(1, maxWaitMs + 1)]) }))).toEqual({ waitMs: maxWaitMs + 1, expectedRunMs: 2_000, objectiveMs: 7_000, maxWaitMs, ageMs: 0, epoch: 7 })
  expect(isRefused({ margin: 2, summary: makeSummary([makeLevel(1, maxWaitMs + 1)]) })).toBe(false)
})

test('less urgent work does not count, more urgent work does', () => {
  expect(isRefused({ summary: makeSummary([makeLevel(2, 100_000)]) })).toBe(false)
  expect(isRefused({ summary: makeSummary([makeLevel(0, 100_000)]) })).toBe(true)
})

test('a summary of the maximum age is used, an older one or one of unknown age is not', () => {
  expect(isRefused({ ageMs: maxSummaryAgeMs })).toBe(true)
  expect(isRefused({ ageMs: maxSummaryAgeMs + 1 })).toBe(false)
  expect(isRefused({ ageMs: NaN })).toBe(false)
})

test('what has drained since the summary was computed is not waited for', () => {
  const summary = makeSummary([makeLevel(1, maxWaitMs + 1_000)])
  expect(isRefused({ summary, ageMs: 999 })).toBe(true)
  expect(isRefused({ summary, ageMs: 1_000 })).toBe(false)
})

test('a job of priority 0 is not refused while its organisation has unused guarantee; other priorities have no such exemption', () => {
  const urgentQueue = { ...queue, priority: 0 }
  const summary = makeSummary([makeLevel(0, 100_000)], { urgentAccelerators: new Map([['mill', 15]]) })
  expect(isRefused({ queue: urgentQueue, summary, guaranteedAccelerators: 16 })).toBe(false)
  expect(isRefused({ queue: urgentQueue, summary, guaranteedAccelerators: 15 })).toBe(true)
  expect(isRefused({ queue: urgentQueue, summary, guaranteedAccelerators: 0 })).toBe(true)
  expect(isRefused({ queue, summary, guaranteedAccelerators: 16 })).toBe(true)
})

test('recurring jobs, services, jobs of unknown run time and jobs of a service without a backlog are not refused', () => {
  const refused = (fields: Partial<JobSpec>): boolean => isRefused({ job: { ...job, ...fields } })
  expect(refused({})).toBe(true)
  expect(refused({ recurrence: { times: 2, firstAtMs: 0, intervalMs: 1_000 } })).toBe(false)
  expect(refused({ steps: [makeStep({ estimateMs: 2_000 }), makeStep({ estimateMs: 2_000, isService: true })] })).toBe(false)
  expect(refused({ steps: [makeStep({ estimateMs: 0 })] })).toBe(false)
  expect(refused({ service: 'other' })).toBe(false)
})

test('a job that needs no accelerators does not wait for them', () => {
  const coresOnly = { ...job, steps: [makeStep({ estimateMs: 2_000, request: { cpuMilli: 1_000, memoryMb: 1, accelerators: 0 } })] }
  expect(isRefused({ job: coresOnly })).toBe(false)
  expect(isRefused({ job: coresOnly, summary: makeSummary([makeLevel(1, 0, 100_000)]) })).toBe(true)
})

test('a job that could not complete in time on idle workers is not refused, since a retry would not help', () => {
  expect(isRefused({ queue: { priority: 1, objectiveFactor: 0, objectiveMs: 100 } })).toBe(false)
})

test('an estimate below the mean run time of the queue does not shorten the objective', () => {
  const summary = makeSummary([makeLevel(1, maxWaitMs + 1)])
  expect(isRefused({ summary })).toBe(true)
  expect(isRefused({ summary: { ...summary, meanRunMs: new Map([['wide', 4_000]]) } })).toBe(false)
})

const levelArbitrary = fc.record({ priority: fc.nat(3), acceleratorWaitMs: fc.nat(200_000), coreWaitMs: fc.nat(200_000) }).map(({ priority, acceleratorWaitMs, coreWaitMs }) => makeLevel(priority, acceleratorWaitMs, coreWaitMs))
const inputArbitrary = fc.record({
  levels: fc.array(levelArbitrary, { maxLength: 5 }),
  priority: fc.nat(3),
  objectiveFactor: fc.double({ min: 0, max: 4, noNaN: true }),
  objectiveMs: fc.nat(10_000),
  estimatesMs: fc.array(fc.nat(10_000), { minLength: 1, maxLength: 3 }),
  accelerators: fc.nat(1),
  guaranteedAccelerators: fc.nat(4),
  used: fc.nat(4),
  meanRunMs: fc.nat(10_000),
  ageMs: fc.nat(4_000),
  margin: fc.double({ min: 1, max: 3, noNaN: true })
}).map(({ levels, priority, objectiveFactor, objectiveMs, estimatesMs, accelerators, guaranteedAccelerators, used, meanRunMs, ageMs, margin }): AdmissionInput => ({
  job: makeJob('a', 'wide', estimatesMs.map((estimateMs, step) => makeStep({ estimateMs, after: step > 0 ? [step - 1] : [], request: { cpuMilli: 1_000, memoryMb: 1, accelerators } }))),
  queue: { priority, objectiveFactor, objectiveMs },
  guaranteedAccelerators,
  summary: makeSummary(levels, { urgentAccelerators: new Map([['mill', used]]), meanRunMs: new Map([['wide', meanRunMs]]) }),
  ageMs,
  margin
}))

test('a longer wait never turns a refusal into an acceptance', () => {
  fc.assert(fc.property(inputArbitrary, fc.nat(5), fc.nat(100_000), fc.nat(100_000), (input, raised, moreAcceleratorMs, moreCoreMs) => {
    fc.pre(decideAdmission(input) !== undefined)
    const [service] = input.summary.services
    const levels = service?.levels.map((level, index) => index === raised ? { ...level, acceleratorWaitMs: level.acceleratorWaitMs + moreAcceleratorMs, coreWaitMs: level.coreWaitMs + moreCoreMs } : level) ?? []
    expect(decideAdmission({ ...input, summary: { ...input.summary, services: [{ service: 'pool', accelerators: 8, cores: 64, levels }] } })).toBeDefined()
  }))
})

test('a job is never refused in a more urgent queue if it is accepted in a less urgent one of the same objective', () => {
  fc.assert(fc.property(inputArbitrary, fc.integer({ min: 1, max: 3 }), (input, lessUrgentBy) => {
    fc.pre(decideAdmission(input) !== undefined)
    expect(decideAdmission({ ...input, queue: { ...input.queue, priority: input.queue.priority + lessUrgentBy } })).toBeDefined()
  }))
})

test('an older copy, a larger margin and a longer objective never turn an acceptance into a refusal', () => {
  fc.assert(fc.property(inputArbitrary, fc.nat(1_000), fc.double({ min: 0, max: 1, noNaN: true }), fc.nat(1_000), (input, olderByMs, moreMargin, moreObjectiveMs) => {
    // A job that no worker could do in time is accepted, so the objective has to be possible in the first place.
    fc.pre(decideAdmission(input) === undefined && input.queue.objectiveFactor >= 1)
    expect(decideAdmission({ ...input, ageMs: input.ageMs + olderByMs })).toBeUndefined()
    expect(decideAdmission({ ...input, margin: input.margin + moreMargin })).toBeUndefined()
    expect(decideAdmission({ ...input, queue: { ...input.queue, objectiveMs: input.queue.objectiveMs + moreObjectiveMs } })).toBeUndefined()
  }))
})

test('a caller that returns at Retry-After is accepted if no more urgent or equal work arrived; the times are whole seconds, at least 1, and spread', () => {
  fc.assert(fc.property(inputArbitrary, fc.double({ min: 0, max: 1, noNaN: true }), (input, random) => {
    const refusal = decideAdmission({ ...input, ageMs: 0 })
    fc.pre(refusal !== undefined)
    const retryAfterS = getRetryAfterS(refusal as Refusal, random)
    expect(Number.isInteger(retryAfterS) && retryAfterS >= 1).toBe(true)
    const levels = input.summary.services[0]?.levels.map(level => makeLevel(level.priority, Math.max(0, level.acceleratorWaitMs - retryAfterS * 1_000), Math.max(0, level.coreWaitMs - retryAfterS * 1_000))) ?? []
    expect(decideAdmission({ ...input, ageMs: 0, summary: { ...input.summary, services: [{ service: 'pool', accelerators: 8, cores: 64, levels }] } })).toBeUndefined()
    expect(retryAfterS).toBeLessThanOrEqual(Math.ceil((refusal as Refusal).waitMs / 1_000))
  }))
  const refusal = decideAdmission(makeInput()) as Refusal
  expect([0, 0.5, 1].map(random => getRetryAfterS(refusal, random))).toEqual([76, 88, 100])
})
