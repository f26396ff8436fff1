/** Which running work gives way to an urgent unit. */
import { expect, test } from '@jest/globals'
import type { QueueSettings } from '../configuration/configuration.js'
import { JobState } from '../jobs/jobModel.js'
import { createAttempt, createTrackedJob, getUnits } from '../jobs/trackedJob.js'
import type { TrackedJob, Unit } from '../jobs/trackedJob.js'
import { makeJob, makeStep, rigConfiguration } from '../testing/poolRig.js'
import { getVictims } from './unitOrder.js'

function start (jobId: string, progressPercent: number, hasCheckpoints = false, queue = 'batch'): TrackedJob {
  const job = createTrackedJob(makeJob(jobId, queue, [makeStep({ estimateMs: 8_000, hasCheckpoints })]), 0)
  const unit = getUnits(job)[0] as Unit
  const attempt = createAttempt(unit, 1, [{ workerId: 'w', bornAtMs: 1 }], performance.now())
  attempt.members.forEach(member => { member.progressPercent = progressPercent })
  job.state = JobState.Active
  return job
}

function getQueue (job: TrackedJob): QueueSettings | undefined {
  return rigConfiguration.queues.find(queue => queue.name === job.spec.queue)
}

test('after a takeover the work that is almost done is spared, and a checkpoint makes a stop cheap', () => {
  const jobs = [start('almost-done', 90), start('begun', 10), start('saved', 95, true)]
  const urgent = getUnits(createTrackedJob(makeJob('urgent', 'urgent', [makeStep()]), 0))[0] as Unit
  const victims = getVictims(urgent, jobs, getQueue, () => false, false)
  expect(victims.map(({ attempt }) => attempt.unit.job.spec.jobId)).toEqual(['saved', 'begun', 'almost-done'])
})

test('where a guarantee is due, equals give way too, but no guaranteed work', () => {
  const jobs = [start('equal', 50, false, 'urgent'), start('guaranteed', 50, false, 'urgent'), start('batch', 50)]
  const urgent = getUnits(createTrackedJob(makeJob('urgent', 'urgent', [makeStep()]), 0))[0] as Unit
  const isGuaranteed = (job: TrackedJob): boolean => job.spec.jobId === 'guaranteed'
  const getNames = (isReclaimDue: boolean): readonly string[] => getVictims(urgent, jobs, getQueue, isGuaranteed, isReclaimDue).map(({ attempt }) => attempt.unit.job.spec.jobId)
  expect([...getNames(true)].sort()).toEqual(['batch', 'equal'])
  expect(getNames(false)).toEqual(['batch'])
})
