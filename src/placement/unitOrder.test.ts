/** Which running work gives way to an urgent unit. */
import { expect, test } from '@jest/globals'
import { JobState } from '../jobs/jobModel.js'
import { createAttempt, createTrackedJob, getUnits } from '../jobs/trackedJob.js'
import type { TrackedJob, Unit } from '../jobs/trackedJob.js'
import { makeJob, makeStep, rigConfiguration } from '../testing/poolRig.js'
import { getVictims } from './unitOrder.js'

function start (jobId: string, progressPercent: number, hasCheckpoints = false): TrackedJob {
  const job = createTrackedJob(makeJob(jobId, 'batch', [makeStep({ estimateMs: 8_000, hasCheckpoints })]), 0)
  const unit = getUnits(job)[0] as Unit
  const attempt = createAttempt(unit, 1, [{ workerId: 'w', bornAtMs: 1 }], performance.now())
  attempt.members.forEach(member => { member.progressPercent = progressPercent })
  job.state = JobState.Active
  return job
}

test('after a takeover the work that is almost done is spared, and a checkpoint makes a stop cheap', () => {
  const jobs = [start('almost-done', 90), start('begun', 10), start('saved', 95, true)]
  const urgent = getUnits(createTrackedJob(makeJob('urgent', 'urgent', [makeStep()]), 0))[0] as Unit
  const victims = getVictims(urgent, jobs, job => rigConfiguration.queues.find(queue => queue.name === job.spec.queue), () => false, false)
  expect(victims.map(({ attempt }) => attempt.unit.job.spec.jobId)).toEqual(['saved', 'begun', 'almost-done'])
})
