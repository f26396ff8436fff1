/** Properties of planning passes over random pools and jobs. The clock is paused, and what is stopped does not end. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import fc from 'fast-check'
import type { JobSpec, Resources, StepSpec } from '../jobs/jobModel.js'
import { createTrackedJob, getUnits, Suspicion } from '../jobs/trackedJob.js'
import type { Attempt, Unit } from '../jobs/trackedJob.js'
import { createPlannerHarness } from '../testing/plannerHarness.js'
import type { PlannerHarness } from '../testing/plannerHarness.js'
import { harnessCapacity, harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'
import { addResources, fits } from '../workers/workerState.js'
import { getPriority } from './unitOrder.js'

const workersPerRack = 4
const special = 'special'
const none: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }
type PassCheck = (harness: PlannerHarness, started: readonly Attempt[], stopped: readonly Attempt[]) => void

/** Passes on an unchanged state after which nothing more may happen: each may use what an earlier one has begun to free. */
const maxPasses = 20

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

const stepArbitrary: fc.Arbitrary<StepSpec> = fc.record({
  count: fc.integer({ min: 1, max: 12 }),
  accelerators: fc.constantFrom(0, 1, 2, 4, 8),
  cpuMilli: fc.constantFrom(2_000, 7_500, 26_000),
  isGang: fc.boolean(),
  isSameRack: fc.boolean(),
  hasCheckpoints: fc.boolean(),
  spreadLimit: fc.constantFrom(undefined, undefined, 1, 2),
  requiredLabel: fc.constantFrom(undefined, undefined, special)
}).map(({ accelerators, cpuMilli, spreadLimit, requiredLabel, ...fields }) => makeStep({
  ...fields,
  request: { cpuMilli, memoryMb: 8_000, accelerators },
  ...(spreadLimit === undefined ? {} : { spreadLimit }),
  ...(requiredLabel === undefined ? {} : { requiredLabel })
}))
const jobsArbitrary = fc.array(fc.tuple(fc.constantFrom('urgent', 'batch'), stepArbitrary), { minLength: 1, maxLength: 14 })
  .map(rows => rows.map(([queue, step], index) => makeJob(`job${index}`, queue, [step])))

/** Plays passes on the jobs, which arrive in two parts; calls `check` after each pass with what it has started and stopped. */
function play (workerCount: number, specs: readonly JobSpec[], check: PassCheck): PlannerHarness {
  const harness = createPlannerHarness({
    workers: workerCount,
    workersPerRack,
    configuration: { ...harnessConfiguration, organisations: [] },
    getLabels: index => index % 2 === 0 ? [special] : []
  })
  const half = Math.ceil(specs.length / 2)
  for (const part of [specs.slice(0, half), specs.slice(half)]) {
    harness.jobs.push(...part.map(spec => createTrackedJob(spec, performance.now())))
    const [startedBefore, stoppedBefore] = [harness.started.length, harness.stopped.length]
    harness.plan()
    check(harness, harness.started.slice(startedBefore), harness.stopped.slice(stoppedBefore))
  }
  return harness
}

/** Checks random pools and jobs; `checkEnd` is called after the last pass. */
function checkProperty (check: PassCheck, checkEnd: (harness: PlannerHarness) => void = () => {}): void {
  fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), jobsArbitrary, (workerCount, specs) => { checkEnd(play(workerCount, specs, check)) }), { numRuns: 200, seed: 7 })
}

function getPriorityOf (unit: Unit): number {
  return getPriority(unit.job, job => harnessConfiguration.queues.find(queue => queue.name === job.spec.queue))
}

test('work that is not being stopped never exceeds the capacity of a worker', () => {
  checkProperty(harness => {
    for (const workerId of harness.workers.keys()) {
      const kept = [...harness.getMembers(workerId)].filter(member => member.attempt.stopReason === undefined)
      expect(fits(kept.map(member => member.attempt.unit.spec.request).reduce(addResources, none), harnessCapacity)).toBe(true)
    }
  })
})

test('a unit starts whole, on workers with its label, within its spread limit, and on one rack if any rack can hold it', () => {
  checkProperty((harness, started) => {
    for (const { unit, members } of started) {
      expect(members).toHaveLength(unit.size)
      const workers = members.map(({ workerId }) => harness.workers.get(workerId))
      const { requiredLabel, spreadLimit = Infinity, isSameRack } = unit.spec
      if (requiredLabel !== undefined) expect(workers.every(worker => worker?.info.labels.includes(requiredLabel) === true)).toBe(true)
      for (const worker of workers) expect(countStepTasks(harness, unit, worker?.info.workerId ?? '')).toBeLessThanOrEqual(spreadLimit)
      if (isSameRack && unit.size > 1 && canRackHold(harness, unit)) expect(new Set(workers.map(worker => worker?.info.rack)).size).toBe(1)
    }
  })
})

test('only work of lower priority is stopped, and only in a pass that starts work of higher priority in its place', () => {
  checkProperty((_harness, started, stopped) => {
    for (const victim of stopped) expect(started.some(({ unit }) => getPriorityOf(unit) < getPriorityOf(victim.unit))).toBe(true)
  })
})

test('passes on an unchanged state come to rest, no task is stopped twice, and work of the highest priority never', () => {
  checkProperty(() => {}, harness => {
    let changes = -1
    for (let passes = 0; passes < maxPasses && changes !== harness.started.length + harness.stopped.length; passes++) {
      changes = harness.started.length + harness.stopped.length
      harness.plan()
    }
    expect(harness.started.length + harness.stopped.length).toBe(changes)
    expect(new Set(harness.stopped.map(attempt => attempt.unit)).size).toBe(harness.stopped.length)
    expect(harness.stopped.every(attempt => getPriorityOf(attempt.unit) > 0)).toBe(true)
  })
})

test('all tasks of a step for which there is room start in one pass', () => {
  const tasksArbitrary = stepArbitrary.map(step => ({ ...step, isGang: false, count: 2 * step.count }))
  fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), tasksArbitrary, (workerCount, step) => {
    const harness = play(workerCount, [makeJob('job', 'batch', [step])], () => {})
    const waiting = harness.jobs.flatMap(getUnits).filter(unit => unit.attempts.length === 0)
    for (const unit of waiting) expect([...harness.workers.keys()].some(workerId => fitsOn(harness, unit, workerId))).toBe(false)
  }), { numRuns: 200, seed: 7 })
})

function fitsOn (harness: PlannerHarness, unit: Unit, workerId: string): boolean {
  const { requiredLabel, spreadLimit = Infinity, request } = unit.spec
  if (requiredLabel !== undefined && harness.workers.get(workerId)?.info.labels.includes(requiredLabel) !== true) return false
  if (countStepTasks(harness, unit, workerId) >= spreadLimit) return false
  const used = [...harness.getMembers(workerId)].map(member => member.attempt.unit.spec.request).reduce(addResources, none)
  return fits(addResources(used, request), harnessCapacity)
}

function countStepTasks (harness: PlannerHarness, unit: Unit, workerId: string): number {
  return [...harness.getMembers(workerId)].filter(({ attempt }) => attempt.unit.job === unit.job && attempt.unit.step === unit.step).length
}

/** Tells whether some rack could hold the gang if nothing else ran there. */
function canRackHold (harness: PlannerHarness, unit: Unit): boolean {
  const { requiredLabel, spreadLimit = Infinity, request } = unit.spec
  const roomByRack = new Map<string, number>()
  for (const { info } of harness.workers.values()) {
    if (requiredLabel !== undefined && !info.labels.includes(requiredLabel)) continue
    let room = 0
    for (let used = request; room < spreadLimit && fits(used, info.capacity); used = addResources(used, request)) room++
    roomByRack.set(info.rack, (roomByRack.get(info.rack) ?? 0) + room)
  }
  return [...roomByRack.values()].some(room => room >= unit.size)
}

test('units under suspicion of crashing workers share no worker, and none with others if they are isolated', () => {
  const configuration = { ...harnessConfiguration, organisations: [] }
  const harness = createPlannerHarness({ workers: 4, workersPerRack, configuration })
  const step = makeStep({ count: 3, request: { cpuMilli: 1_000, memoryMb: 1_000, accelerators: 0 } })
  const [suspects, others] = ['suspects', 'others'].map(jobId => createTrackedJob(makeJob(jobId, 'batch', [step]), performance.now()))
  if (suspects === undefined || others === undefined) throw new Error('two jobs are expected')
  getUnits(suspects).forEach((unit, index) => { unit.suspicion = index === 0 ? Suspicion.Isolated : Suspicion.Suspect })
  harness.jobs.push(suspects, others)
  harness.plan()
  const unitsOf = (workerId: string): readonly string[] => [...harness.getMembers(workerId)].map(({ attempt: { unit }, index }) => `${unit.job.spec.jobId}.${index}`)
  const placed = [...harness.workers.keys()].map(unitsOf).filter(units => units.length > 0)
  expect(harness.started).toHaveLength(6)
  expect(placed.filter(units => units.includes('suspects.0'))).toEqual([['suspects.0']])
  for (const units of placed) expect(units.filter(name => name.startsWith('suspects')).length).toBeLessThanOrEqual(1)
})
