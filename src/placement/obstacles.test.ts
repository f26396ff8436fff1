/** The log line of a unit that is not placed must name the rule that stands against it: in issue 74 it named none, with room on ten workers. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createTrackedJob, getUnits, Suspicion } from '../jobs/trackedJob.js'
import type { TrackedJob, Unit } from '../jobs/trackedJob.js'
import type { StepSpec } from '../jobs/jobModel.js'
import { createPlannerHarness } from '../testing/plannerHarness.js'
import type { PlannerHarness } from '../testing/plannerHarness.js'
import { harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'
import { PlacementRule } from './obstacles.js'

const small = { cpuMilli: 1_000, memoryMb: 1_000, accelerators: 0 }
const wholeWorker = { cpuMilli: 8_000, memoryMb: 8_000, accelerators: 8 }

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

function createHarness (workers: number, workersPerRack: number): PlannerHarness {
  return createPlannerHarness({ workers, workersPerRack, configuration: { ...harnessConfiguration, organisations: [] }, getLabels: index => index % workersPerRack === 0 ? ['first-of-rack'] : [] })
}

function add (harness: PlannerHarness, jobId: string, queue: string, step: Partial<StepSpec>, suspicion = Suspicion.None): TrackedJob {
  const job = createTrackedJob(makeJob(jobId, queue, [makeStep({ estimateMs: 4_000, ...step })]), performance.now())
  for (const unit of getUnits(job)) unit.suspicion = suspicion
  harness.jobs.push(job)
  return job
}

function getUnit (job: TrackedJob): Unit {
  const [unit] = getUnits(job)
  if (unit === undefined) throw new Error('the job has no unit')
  return unit
}

test('a gang bound to one rack is shown with the room of each rack', () => {
  const harness = createHarness(9, 3)
  add(harness, 'load', 'urgent', { count: 3, request: wholeWorker, requiredLabel: 'first-of-rack' })
  harness.plan()
  const gang = add(harness, 'gang', 'urgent', { count: 3, isGang: true, isSameRack: true, request: wholeWorker })
  harness.plan()
  expect(harness.describeWait(getUnit(gang))).toMatchObject({
    size: 3,
    usableWorkers: 9,
    workersWithRoom: 6,
    decisiveRule: PlacementRule.OneRack,
    tasksWithRoomByRack: { 'rack-0': 2, 'rack-1': 2, 'rack-2': 2 },
    rules: [{ rule: PlacementRule.FreeCapacity, excludedWorkers: 3, tasksWithRoom: 6 }, { rule: PlacementRule.OneRack, excludedWorkers: 4, tasksWithRoom: 2 }, { rule: PlacementRule.Headroom }]
  })
})

test('a full pool, a reservation and suspicion are each named, with the number of workers they exclude', () => {
  const full = createHarness(2, 8)
  add(full, 'load', 'urgent', { count: 2, request: wholeWorker })
  full.plan()
  const waiting = add(full, 'waiting', 'urgent', { request: wholeWorker })
  full.plan()
  expect(full.describeWait(getUnit(waiting))).toMatchObject({ decisiveRule: PlacementRule.FreeCapacity, rules: [{ excludedWorkers: 2, tasksWithRoom: 0 }, {}, {}, {}, {}, {}] })

  const reserved = createHarness(4, 8)
  add(reserved, 'load', 'urgent', { request: wholeWorker, estimateMs: 60_000 })
  reserved.plan()
  add(reserved, 'gang', 'urgent', { count: 4, isGang: true, request: wholeWorker })
  const later = add(reserved, 'later', 'batch', { request: wholeWorker, estimateMs: 70_000 })
  reserved.plan()
  expect(reserved.describeWait(getUnit(later))).toMatchObject({ decisiveRule: PlacementRule.Reservation, unitsBefore: 1, rules: [{ excludedWorkers: 1 }, { rule: PlacementRule.Reservation, excludedWorkers: 3 }, {}, {}] })

  const apart = createHarness(2, 8)
  add(apart, 'suspects', 'batch', { count: 2, request: small }, Suspicion.Suspect)
  apart.plan()
  const suspect = add(apart, 'suspect', 'batch', { request: small }, Suspicion.Suspect)
  apart.plan()
  expect(apart.describeWait(getUnit(suspect))).toMatchObject({ decisiveRule: PlacementRule.Isolation, rules: [{ rule: PlacementRule.Isolation, excludedWorkers: 2, tasksWithRoom: 0 }, {}, {}, {}] })
})
