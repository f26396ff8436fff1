/** Which workers are quarantined: slow ones, but not those whose jobs simply take long. */
import { expect, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { EndKind } from '../jobs/jobModel.js'
import { createAttempt, createTrackedJob, getUnits, MemberState } from '../jobs/trackedJob.js'
import type { Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { makeJob, makeStep } from '../testing/poolHarness.js'
import { createWorkerHealth } from './workerHealth.js'
import type { WorkerHealth } from './workerHealth.js'

const usualRunMs = 2_500
const reportPeriodMs = 1_000

/** Starts a job with one task on each of the given workers. */
function startJob (jobId: string, workerIds: readonly string[], isGang = false): readonly Member[] {
  const job: TrackedJob = createTrackedJob(makeJob(jobId, 'batch', [makeStep({ count: workerIds.length, estimateMs: usualRunMs, isGang })]), 0)
  const units = getUnits(job)
  const places = workerIds.map(workerId => ({ workerId, bornAtMs: 1 }))
  const attempts = isGang ? units.map(unit => createAttempt(unit, 1, places, 0)) : units.map((unit, index) => createAttempt(unit, 1, places.slice(index, index + 1), 0))
  const members = attempts.flatMap(attempt => attempt.members)
  members.forEach(member => { member.state = MemberState.Running })
  return members
}

function createHealth (): WorkerHealth {
  return createWorkerHealth({ logger: silentLogger, getService: () => 'pool', countWorkers: () => 10, getMeanRunMs: () => usualRunMs })
}

/** Feeds in a report of every worker each second, in which each member progresses at its rate, in percent per second. */
function reportProgress (health: WorkerHealth, progressRates: ReadonlyMap<Member, number>, reports: number): void {
  const workerIds = new Set([...progressRates.keys()].map(member => member.workerId))
  for (let number = 0; number < reports; number++) {
    for (const [member, progressRate] of progressRates) member.progressPercent = progressRate * number
    for (const workerId of workerIds) health.onReport(workerId, [...progressRates.keys()].filter(member => member.workerId === workerId), number * reportPeriodMs)
  }
}

function getQuarantinedIds (health: WorkerHealth, atMs: number): readonly string[] {
  return health.getQuarantined(atMs).map(({ workerId }) => workerId)
}

test('workers that run one long gang are not quarantined, however much longer than usual it takes', () => {
  const health = createHealth()
  reportProgress(health, new Map(startJob('long', ['a', 'b', 'c'], true).map(member => [member, 4])), 4)
  expect(getQuarantinedIds(health, 3_000)).toEqual([])
})

test('workers are not quarantined for tasks of a long step whose peers are just as slow', () => {
  const health = createHealth()
  reportProgress(health, new Map(startJob('long', ['a', 'b', 'c', 'd']).map(member => [member, 5])), 4)
  expect(getQuarantinedIds(health, 3_000)).toEqual([])
})

test('a worker whose task is slower than its peers on other workers is quarantined', () => {
  const health = createHealth()
  reportProgress(health, new Map(startJob('job', ['a', 'b', 'c', 'd']).map(member => [member, member.workerId === 'a' ? 6 : 38])), 4)
  expect(getQuarantinedIds(health, 3_000)).toEqual(['a'])
})

test('a worker on which the gangs of two jobs are slow is quarantined; the other workers of these gangs are not', () => {
  const health = createHealth()
  const gangs = [...startJob('one', ['a', 'b'], true), ...startJob('two', ['a', 'c'], true)]
  const usual = [...startJob('three', ['b']), ...startJob('four', ['c'])]
  reportProgress(health, new Map([...gangs.map(member => [member, 6] as const), ...usual.map(member => [member, 40] as const)]), 3)
  expect(getQuarantinedIds(health, 2_000)).toEqual(['a'])
})

test.each([
  { percent: 60, isMoved: true },
  { percent: 90, isMoved: false }
])('a run that has become slow at $percent percent is moved only if it ends earlier elsewhere', ({ percent, isMoved }) => {
  const health = createHealth()
  const slow = [...startJob('one', ['a']), ...startJob('two', ['a'])]
  const moved = [percent - 40, percent, percent + 5].flatMap((progressPercent, report) => {
    for (const member of slow) member.progressPercent = progressPercent
    return health.onReport('a', slow, 4_000 + report * reportPeriodMs)
  })
  expect(getQuarantinedIds(health, 6_000)).toEqual(['a'])
  expect(moved.length > 0).toBe(isMoved)
})

test('a gang that turns slow is moved off its suspects, but none of them is quarantined while they cannot be told apart', () => {
  const health = createHealth()
  const gang = startJob('gang', ['a', 'b', 'c'], true)
  const moved = [0, 40, 44].flatMap((percent, report) => {
    for (const member of gang) member.progressPercent = percent
    return ['a', 'b', 'c'].flatMap(workerId => health.onReport(workerId, gang.filter(member => member.workerId === workerId), 4_000 + report * reportPeriodMs))
  })
  const unit = gang[0]?.attempt.unit as Unit
  expect(moved.length).toBeGreaterThan(0)
  expect(getQuarantinedIds(health, 6_000)).toEqual([])
  expect(['a', 'b', 'c'].map(workerId => health.isLeft(unit, workerId, 6_500))).toEqual([true, true, true])
  expect(['a', 'b', 'c'].map(workerId => health.isLeft(unit, workerId, 9_000))).toEqual([false, false, false])
})

test('of a slow gang the worker is quarantined that no other run shows to be usual', () => {
  const health = createHealth()
  const gang = startJob('gang', ['a', 'b', 'c'], true)
  const usual = [...startJob('two', ['b']), ...startJob('three', ['c'])]
  const others = new Map(usual.map(member => [member, 30]))
  for (const [report, percent] of [0, 40, 44].entries()) {
    for (const member of gang) member.progressPercent = percent
    for (const [member, rate] of others) member.progressPercent = rate * report
    for (const workerId of ['a', 'b', 'c']) health.onReport(workerId, [...gang, ...usual].filter(member => member.workerId === workerId), 4_000 + report * reportPeriodMs)
  }
  expect(getQuarantinedIds(health, 6_000)).toEqual(['a'])
})

test('a cold worker is not quarantined for slow runs, nor are the other workers of its gangs', () => {
  const health = createWorkerHealth({ logger: silentLogger, getService: () => 'pool', countWorkers: () => 10, getMeanRunMs: () => usualRunMs, isCold: workerId => workerId === 'a' })
  const gangs = [...startJob('one', ['a', 'b'], true), ...startJob('two', ['a', 'c'], true), ...startJob('three', ['a'])]
  reportProgress(health, new Map(gangs.map(member => [member, 6])), 4)
  expect(getQuarantinedIds(health, 3_000)).toEqual([])
})

// Guards against accepted work of a small service that waits although its workers are free, because all of them are quarantined at once.
test('the limit of quarantined workers holds for each service by itself', () => {
  const sizes: Readonly<Record<string, number>> = { large: 30, small: 3 }
  const health = createWorkerHealth({ logger: silentLogger, getService: workerId => workerId.split('-')[0], countWorkers: service => sizes[service ?? ''] ?? 0, getMeanRunMs: () => usualRunMs })
  for (const index of [0, 1, 2]) health.onRefusal(`small-${index}`, 0)
  expect(getQuarantinedIds(health, 0)).toEqual(['small-0'])
  for (let index = 0; index < 30; index++) health.onRefusal(`large-${index}`, 10)
  expect(getQuarantinedIds(health, 10).filter(workerId => workerId.startsWith('large'))).toHaveLength(10)
})

// Guards against a slow or faulty worker of a small service that is kept in use because workers of another service are quarantined.
test('quarantined workers of one service do not use up the limit of another', () => {
  const health = createWorkerHealth({ logger: silentLogger, getService: workerId => workerId.split('-')[0], countWorkers: () => 3, getMeanRunMs: () => usualRunMs })
  health.onRefusal('one-0', 0)
  health.onRefusal('other-0', 0)
  expect(getQuarantinedIds(health, 0)).toEqual(['one-0', 'other-0'])
})

function createLabelledHealth (getConfinedSets: () => readonly ReadonlySet<string>[], workers = 30): WorkerHealth {
  return createWorkerHealth({ logger: silentLogger, getService: () => 'pool', countWorkers: () => workers, getConfinedSets, getMeanRunMs: () => usualRunMs })
}

// Guards against work that requires a label and waits because all workers with the label are quarantined at once.
test('the limit of quarantined workers holds for each set of workers to which a label confines work', () => {
  const health = createLabelledHealth(() => [new Set(['a', 'b', 'c']), new Set(['d', 'e', 'f', 'g', 'h', 'i'])])
  for (const workerId of ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'other-0', 'other-1']) health.onRefusal(workerId, 0)
  expect(getQuarantinedIds(health, 0)).toEqual(['a', 'd', 'e', 'other-0', 'other-1'])
})

// Guards against a pool that keeps faulty workers in use because they have labels that no work requires.
test('labels that no work requires do not change the limit of quarantined workers', () => {
  const health = createLabelledHealth(() => [], 9)
  for (const workerId of ['a', 'b', 'c', 'd']) health.onRefusal(workerId, 0)
  expect(getQuarantinedIds(health, 0)).toEqual(['a', 'b', 'c'])
})

// Guards against work that arrives when all workers with its label are quarantined, or that loses the usable ones to another cause.
test('workers are released when work is confined to too many quarantined ones, those first whose quarantine ends first', () => {
  let confinedSets: readonly ReadonlySet<string>[] = []
  const health = createLabelledHealth(() => confinedSets)
  for (const [index, workerId] of ['a', 'b', 'c', 'other'].entries()) health.onRefusal(workerId, index)
  confinedSets = [new Set(['a', 'b', 'c'])]
  health.releaseConfined(10)
  expect(getQuarantinedIds(health, 10)).toEqual(['c', 'other'])
})

// Guards against work that waits for the quarantine of the only worker that can do it, and against starts there without a pause while it refuses them.
test('the only worker with a required label is quarantined only after it has refused a start', () => {
  const fail = (health: WorkerHealth, atMs: number): void => {
    for (const jobId of ['one', 'two']) for (const member of startJob(jobId, ['a'])) health.onEnd(member, EndKind.Failed, atMs)
  }
  const unlabelled = createLabelledHealth(() => [])
  fail(unlabelled, 0)
  expect(getQuarantinedIds(unlabelled, 0)).toEqual(['a'])
  const health = createLabelledHealth(() => [new Set(['a'])])
  fail(health, 0)
  expect(getQuarantinedIds(health, 0)).toEqual([])
  health.onRefusal('a', 0)
  health.releaseConfined(0)
  expect(getQuarantinedIds(health, 0)).toEqual(['a'])
  // A failure of a run that was still at work there extends the quarantine.
  fail(health, 100)
  health.releaseConfined(100)
  expect(getQuarantinedIds(health, 100)).toEqual([])
})
