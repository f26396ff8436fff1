/** Which running work is preempted for an urgent unit, and in which order. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { QueueSettings } from '../configuration/configuration.js'
import { JobState } from '../jobs/jobModel.js'
import { createAttempt, createTrackedJob, getUnits } from '../jobs/trackedJob.js'
import type { Attempt, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { makeJob, makeStep, harnessConfiguration } from '../testing/poolHarness.js'
import { defaultCostSettings, getStopCost } from './delayCost.js'
import { getStartLimits } from './objective.js'
import { createRunTimes } from './runTimes.js'
import { compareRanks, getVictims } from './unitOrder.js'
import type { UnitRank } from './unitOrder.js'

function startJob (jobId: string, progressPercent: number, hasCheckpoints = false, queue = 'batch'): TrackedJob {
  const job = createTrackedJob(makeJob(jobId, queue, [makeStep({ estimateMs: 8_000, hasCheckpoints })]), 0)
  const unit = getUnits(job)[0] as Unit
  const attempt = createAttempt(unit, 1, [{ workerId: 'w', bornAtMs: 1 }], performance.now())
  attempt.members.forEach(member => { member.progressPercent = progressPercent })
  job.state = JobState.Active
  return job
}

function getQueue (job: TrackedJob): QueueSettings | undefined {
  return harnessConfiguration.queues.find(queue => queue.name === job.spec.queue)
}

function getCost (attempt: Attempt): number {
  const { job } = attempt.unit
  return getStopCost(attempt, getQueue(job)?.priority ?? 0, getStartLimits(attempt.unit, getQueue(job), createRunTimes()), performance.now(), defaultCostSettings)
}

test('after a takeover, nearly finished work is preempted last, and work with checkpoints first', () => {
  const jobs = [startJob('almost-done', 90), startJob('begun', 10), startJob('saved', 95, true)]
  const urgent = getUnits(createTrackedJob(makeJob('urgent', 'urgent', [makeStep()]), 0))[0] as Unit
  const victims = getVictims(urgent, jobs, getQueue, () => false, false, getCost)
  expect(victims.map(({ attempt }) => attempt.unit.job.spec.jobId)).toEqual(['saved', 'begun', 'almost-done'])
})

test('when a guarantee is due, work of equal priority is preempted too, but guaranteed work is not', () => {
  const jobs = [startJob('equal', 50, false, 'urgent'), startJob('guaranteed', 50, false, 'urgent'), startJob('batch', 50)]
  const urgent = getUnits(createTrackedJob(makeJob('urgent', 'urgent', [makeStep()]), 0))[0] as Unit
  const isGuaranteed = (job: TrackedJob): boolean => job.spec.jobId === 'guaranteed'
  const getNames = (isReclaimDue: boolean): readonly string[] => getVictims(urgent, jobs, getQueue, isGuaranteed, isReclaimDue, getCost).map(({ attempt }) => attempt.unit.job.spec.jobId)
  expect([...getNames(true)].sort()).toEqual(['batch', 'equal'])
  expect(getNames(false)).toEqual(['batch'])
})

const rankArbitrary = fc.record<UnitRank>({ isGuaranteed: fc.boolean(), priority: fc.nat(3), isLate: fc.boolean(), acceptedAtMs: fc.nat(5) })

test('guarantees come first, then priority, then work that is not late, then the oldest; and the order is consistent', () => {
  const rank = { isGuaranteed: false, priority: 1, isLate: false, acceptedAtMs: 10 }
  const expected: readonly UnitRank[] = [
    { ...rank, isGuaranteed: true, isLate: true, acceptedAtMs: 20 },
    { ...rank, priority: 0, isLate: true, acceptedAtMs: 20 },
    rank,
    { ...rank, acceptedAtMs: 11 },
    { ...rank, isLate: true, acceptedAtMs: 5 }
  ]
  expect([...expected].reverse().sort(compareRanks)).toEqual(expected)
  fc.assert(fc.property(rankArbitrary, rankArbitrary, rankArbitrary, (a, b, c) => {
    expect(Math.sign(compareRanks(a, b))).toBe(-Math.sign(compareRanks(b, a)) + 0)
    if (compareRanks(a, b) <= 0 && compareRanks(b, c) <= 0) expect(compareRanks(a, c)).toBeLessThanOrEqual(0)
  }))
})
