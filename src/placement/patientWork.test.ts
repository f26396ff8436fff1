/** Bursts of urgent gangs over small tasks: the small tasks keep their slack, the gangs that wait are not overtaken, and stops are bounded. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createTrackedJob, getTaskName, getUnits, isAttemptOver, MemberState } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { getAllocationKey } from '../workers/workerState.js'
import { createPlannerHarness } from '../testing/plannerHarness.js'
import type { PlannerHarness } from '../testing/plannerHarness.js'
import { harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'

const wholeWorker = { cpuMilli: 8_000, memoryMb: 8_000, accelerators: 8 }
const oneAccelerator = { cpuMilli: 1_000, memoryMb: 1_000, accelerators: 1 }
const [urgentQueue, batchQueue] = harnessConfiguration.queues
const configuration = {
  ...harnessConfiguration,
  organisations: [],
  queues: [...harnessConfiguration.queues, { ...(batchQueue ?? urgentQueue) as (typeof harnessConfiguration.queues)[number], name: 'plan', priority: 1 }]
}

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

function createHarness (workers: number): PlannerHarness {
  return createPlannerHarness({ workers, workersPerRack: 8, configuration })
}

function add (harness: PlannerHarness, jobId: string, queue: string, count: number, isGang: boolean, estimateMs: number): TrackedJob {
  const job = createTrackedJob(makeJob(jobId, queue, [makeStep({ count, isGang, estimateMs, request: isGang ? wholeWorker : oneAccelerator })]), performance.now())
  harness.jobs.push(job)
  return job
}

/** Ends what has been stopped and, if `isDone`, everything that the job runs. */
function endAttempts (harness: PlannerHarness, job: TrackedJob, isDone: boolean): void {
  for (const unit of getUnits(job)) {
    for (const attempt of [...unit.attempts]) {
      if (!isDone && attempt.stopReason === undefined) continue
      for (const member of attempt.members) {
        member.state = MemberState.Ended
        ;(harness.getMembers(member.workerId) as Set<unknown>).delete(member)
        harness.workers.get(member.workerId)?.allocations.delete(getAllocationKey(getTaskName(member), attempt.run))
      }
      if (isAttemptOver(attempt)) unit.attempts.splice(unit.attempts.indexOf(attempt), 1)
      unit.waitingSinceMs = performance.now()
      if (isDone) unit.isDone = true
    }
  }
}

test('small tasks with slack leave free what a burst has just released, and take it when their slack is used up', () => {
  const harness = createHarness(4)
  const burst = add(harness, 'burst', 'urgent', 3, true, 2_000)
  harness.plan()
  const batch = add(harness, 'batch', 'batch', 32, false, 4_000)
  harness.plan()
  const countStarted = (): number => getUnits(batch).filter(unit => unit.attempts.length > 0).length
  expect(countStarted()).toBe(8)
  jest.advanceTimersByTime(2_000)
  endAttempts(harness, burst, true)
  harness.plan()
  expect(countStarted()).toBe(8)
  // The objective is 3 times 4 s and 3 s, so after 3 s two stops would make the job late.
  jest.advanceTimersByTime(1_500)
  harness.plan()
  expect(countStarted()).toBe(32)
})

test('a series of bursts stops no small task more than twice while it has slack', () => {
  const harness = createHarness(4)
  const batch = add(harness, 'batch', 'batch', 32, false, 4_000)
  harness.plan()
  for (let round = 0; round < 6; round++) {
    const burst = add(harness, `burst-${round}`, 'urgent', 3, true, 1_000)
    harness.plan()
    endAttempts(harness, batch, false)
    jest.advanceTimersByTime(1_000)
    harness.plan()
    endAttempts(harness, burst, true)
    harness.plan()
    // After 3 s, less than two runs of slack are left; from then on the bound on preemptions by urgent work applies.
    expect(Math.max(...getUnits(batch).map(unit => unit.run))).toBeLessThanOrEqual(performance.now() - batch.acceptedAtMs < 3_000 ? 3 : 5)
  }
  expect(harness.stopped.length).toBeGreaterThan(0)
})

test('two gangs that wait keep workers from tasks of lower priority, not only the first', () => {
  const harness = createPlannerHarness({ workers: 8, workersPerRack: 8, configuration, getLabels: index => index % 2 === 0 ? ['special'] : [] })
  const running = Array.from({ length: 8 }, (_, index) => add(harness, `running-${index}`, 'urgent', 1, true, 3_000))
  harness.plan()
  // One worker with the label and one without become free; each gang needs four.
  for (const job of running) if (['worker-0', 'worker-1'].some(workerId => getUnits(job)[0]?.attempts[0]?.members[0]?.workerId === workerId)) endAttempts(harness, job, true)
  const gang = { count: 4, isGang: true, estimateMs: 6_000, request: wholeWorker }
  harness.jobs.push(createTrackedJob(makeJob('labelled', 'plan', [makeStep({ ...gang, requiredLabel: 'special' })]), performance.now()))
  harness.jobs.push(createTrackedJob(makeJob('any', 'plan', [makeStep(gang)]), performance.now()))
  // The tasks have no slack left to leave headroom.
  const batch = createTrackedJob(makeJob('batch', 'batch', [makeStep({ count: 16, estimateMs: 4_000, request: oneAccelerator })]), performance.now(), 9_000)
  harness.jobs.push(batch)
  harness.plan()
  expect(getUnits(batch).filter(unit => unit.attempts.length > 0)).toHaveLength(0)
})

test('a task that has been preempted waits longer after each stop while it has slack, and not without slack', () => {
  const harness = createHarness(2)
  // Half of the accelerators are in use.
  add(harness, 'load', 'urgent', 1, true, 60_000)
  harness.plan()
  const batch = add(harness, 'batch', 'batch', 1, false, 4_000)
  const [unit] = getUnits(batch)
  if (unit === undefined) throw new Error('a unit is expected')
  const startsAtMs: number[] = []
  for (let elapsedMs = 0; elapsedMs < 14_000; elapsedMs += 100) {
    harness.plan()
    if (unit.attempts[0] !== undefined) {
      startsAtMs.push(elapsedMs)
      unit.attempts[0].stopReason = 'preempted'
      endAttempts(harness, batch, false)
      unit.preemptedRuns++
    }
    jest.advanceTimersByTime(100)
  }
  expect(startsAtMs.slice(0, 2)).toEqual([0, 1_000])
  // After 3 s, less than two runs of slack are left.
  expect(startsAtMs.filter(atMs => atMs < 3_000)).toHaveLength(2)
  expect(startsAtMs.filter(atMs => atMs > 3_000).length).toBeGreaterThan(20)
})

test('a task that urgent work has preempted four times is not preempted again, so that the least urgent queue keeps a share under lasting load', () => {
  const harness = createHarness(1)
  const batch = add(harness, 'batch', 'batch', 8, false, 4_000)
  for (let round = 0; round < 8; round++) {
    jest.advanceTimersByTime(4_000)
    harness.plan()
    const urgent = add(harness, `urgent-${round}`, 'urgent', 1, true, 1_000)
    harness.plan()
    endAttempts(harness, batch, false)
    jest.advanceTimersByTime(1_000)
    endAttempts(harness, urgent, true)
  }
  expect(Math.max(...getUnits(batch).map(unit => unit.run))).toBe(5)
  expect(getUnits(batch).every(unit => unit.attempts.length === 1)).toBe(true)
})
