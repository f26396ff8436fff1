/** Which workers are held back: slow ones, and not those whose jobs are long by nature. */
import { expect, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { createAttempt, createTrackedJob, getUnits, MemberState } from '../jobs/trackedJob.js'
import type { Member, TrackedJob } from '../jobs/trackedJob.js'
import { makeJob, makeStep } from '../testing/poolRig.js'
import { createWorkerHealth } from './workerHealth.js'
import type { WorkerHealth } from './workerHealth.js'

const usualRunMs = 2_500
const lookPeriodMs = 1_000

/** A job whose tasks run on the given workers, one each. */
function start (jobId: string, workerIds: readonly string[], isGang = false): readonly Member[] {
  const job: TrackedJob = createTrackedJob(makeJob(jobId, 'batch', [makeStep({ count: workerIds.length, estimateMs: usualRunMs, isGang })]), 0)
  const units = getUnits(job)
  const places = workerIds.map(workerId => ({ workerId, bornAtMs: 1 }))
  const attempts = isGang ? units.map(unit => createAttempt(unit, 1, places, 0)) : units.map((unit, index) => createAttempt(unit, 1, places.slice(index, index + 1), 0))
  const members = attempts.flatMap(attempt => attempt.members)
  members.forEach(member => { member.state = MemberState.Running })
  return members
}

function createHealth (): WorkerHealth {
  return createWorkerHealth({ logger: silentLogger, countWorkers: () => 10, getMeanRunMs: () => usualRunMs })
}

/** Looks at all workers every second while each member makes progress at its pace, in percent a second. */
function look (health: WorkerHealth, paces: ReadonlyMap<Member, number>, looks: number): void {
  const workerIds = new Set([...paces.keys()].map(member => member.workerId))
  for (let number = 0; number < looks; number++) {
    for (const [member, pace] of paces) member.progressPercent = pace * number
    for (const workerId of workerIds) health.onLook(workerId, [...paces.keys()].filter(member => member.workerId === workerId), number * lookPeriodMs)
  }
}

function getHeldBack (health: WorkerHealth, atMs: number): readonly string[] {
  return health.getQuarantined(atMs).map(({ workerId }) => workerId)
}

test('workers that run one long gang are not held back, however much longer than usual it takes', () => {
  const health = createHealth()
  look(health, new Map(start('long', ['a', 'b', 'c'], true).map(member => [member, 4])), 4)
  expect(getHeldBack(health, 3_000)).toEqual([])
})

test('tasks of a long step whose peers are as slow do not speak against their workers', () => {
  const health = createHealth()
  look(health, new Map(start('long', ['a', 'b', 'c', 'd']).map(member => [member, 5])), 4)
  expect(getHeldBack(health, 3_000)).toEqual([])
})

test('a worker whose task falls behind its peers on other workers is held back', () => {
  const health = createHealth()
  look(health, new Map(start('job', ['a', 'b', 'c', 'd']).map(member => [member, member.workerId === 'a' ? 6 : 38])), 4)
  expect(getHeldBack(health, 3_000)).toEqual(['a'])
})

test('a worker on which the gangs of two jobs are slow is held back; the others of the gangs are not', () => {
  const health = createHealth()
  const gangs = [...start('one', ['a', 'b'], true), ...start('two', ['a', 'c'], true)]
  const usual = [...start('three', ['b']), ...start('four', ['c'])]
  look(health, new Map([...gangs.map(member => [member, 6] as const), ...usual.map(member => [member, 40] as const)]), 3)
  expect(getHeldBack(health, 2_000)).toEqual(['a'])
})
