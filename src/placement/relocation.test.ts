/**
 * A guarantee that is due is met although small guaranteed tasks lie on every worker: they are moved to where less urgent work can be stopped. The clock is paused. Load: one
 * task of a guaranteed job on each worker, beside work that takes the rest.
 */
import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import fc from 'fast-check'
import type { StepSpec } from '../jobs/jobModel.js'
import { createTrackedJob, getTaskName, getUnits, MemberState, Suspicion } from '../jobs/trackedJob.js'
import type { Attempt, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { createPlannerHarness } from '../testing/plannerHarness.js'
import type { PlannerHarness } from '../testing/plannerHarness.js'
import { harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'
import { getAllocationKey, getFreeCapacity } from '../workers/workerState.js'

const reclaimMs = 2_900
const stopMs = 400
const workersPerRack = 4

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

interface PoolOptions {
  readonly workers?: number
  readonly guarantees?: Readonly<Record<string, number>>
  readonly getLabels?: (index: number) => readonly string[]
}

function createPool ({ workers = 8, guarantees = { mill: 16, weir: 8 }, getLabels }: PoolOptions = {}): PlannerHarness {
  const organisations = Object.entries(guarantees).map(([name, guaranteedAccelerators]) => ({ name, keys: [`key-of-${name}`], guaranteedAccelerators }))
  return createPlannerHarness({ workers, workersPerRack, configuration: { ...harnessConfiguration, organisations }, ...(getLabels === undefined ? {} : { getLabels }) })
}

function accelerators (count: number): StepSpec['request'] {
  return { cpuMilli: count * 1_000, memoryMb: count * 1_000, accelerators: count }
}

function submit (pool: PlannerHarness, jobId: string, queue: string, organisation: string, step: Partial<StepSpec>): TrackedJob {
  const job = createTrackedJob(makeJob(jobId, queue, [makeStep({ estimateMs: 60_000, ...step })], { organisation }), performance.now())
  pool.jobs.push(job)
  return job
}

/** Submits the job and starts it at once. */
function run (pool: PlannerHarness, ...job: [jobId: string, queue: string, organisation: string, step: Partial<StepSpec>]): TrackedJob {
  const submitted = submit(pool, ...job)
  pool.plan()
  expect(countStarted(submitted)).toBe(submitted.spec.steps[0]?.isGang === true ? 1 : submitted.spec.steps[0]?.count)
  return submitted
}

/** One patient task of seven accelerators on each worker, and one small guaranteed task beside each. */
function fillPool (pool: PlannerHarness, small: Partial<StepSpec> = {}, organisation = 'weir'): { readonly patient: TrackedJob, readonly guaranteed: TrackedJob } {
  const count = pool.workers.size
  const patient = run(pool, 'patient', 'batch', 'none', { count, request: accelerators(7) })
  return { patient, guaranteed: run(pool, 'small', 'urgent', organisation, { count, request: accelerators(1), ...small }) }
}

function countStarted (job: TrackedJob): number {
  return getUnits(job).filter(({ attempts }) => attempts.some(({ stopReason }) => stopReason === undefined)).length
}

function end (pool: PlannerHarness, attempt: Attempt): void {
  attempt.unit.attempts.splice(attempt.unit.attempts.indexOf(attempt), 1)
  attempt.unit.waitingSinceMs = performance.now()
  for (const member of attempt.members) {
    member.state = MemberState.Ended
    ;(pool.getMembers(member.workerId) as Set<unknown>).delete(member)
    pool.workers.get(member.workerId)?.allocations.delete(getAllocationKey(getTaskName(member), attempt.run))
  }
}

/** Plays passes of 100 ms until the job has started whole; stopped runs end after `stopMs`. Returns the time; infinite if it has not started in time. */
function play (pool: PlannerHarness, job: TrackedJob, limitMs = reclaimMs): number {
  const stopEndsAtMs = new Map<Attempt, number>()
  for (let waitedMs = 0; waitedMs <= limitMs; waitedMs += 100) {
    pool.plan()
    if (getUnits(job).every(unit => unit.attempts.length > 0)) return waitedMs
    advance(pool, stopEndsAtMs)
  }
  return Infinity
}

function advance (pool: PlannerHarness, stopEndsAtMs: Map<Attempt, number>): void {
  jest.advanceTimersByTime(100)
  for (const attempt of pool.stopped) {
    const endsAtMs = stopEndsAtMs.get(attempt)
    if (endsAtMs === undefined) stopEndsAtMs.set(attempt, performance.now() + stopMs)
    else if (endsAtMs <= performance.now() && attempt.unit.attempts.includes(attempt)) end(pool, attempt)
  }
}

function playFor (pool: PlannerHarness, forMs: number): void {
  const stopEndsAtMs = new Map<Attempt, number>()
  for (let waitedMs = 0; waitedMs < forMs; waitedMs += 100) {
    pool.plan()
    expectNoOvercommitment(pool)
    advance(pool, stopEndsAtMs)
  }
}

/** What runs and is planned on a worker fits once everything that is being stopped has ended. */
function expectNoOvercommitment (pool: PlannerHarness): void {
  for (const worker of pool.workers.values()) {
    let { accelerators: free } = getFreeCapacity(worker)
    for (const { attempt } of pool.getMembers(worker.info.workerId)) if (attempt.stopReason !== undefined) free += attempt.unit.spec.request.accelerators
    expect(free).toBeGreaterThanOrEqual(0)
  }
}

function getStopped (pool: PlannerHarness, job: TrackedJob): readonly Attempt[] {
  return pool.stopped.filter(({ unit }) => unit.job === job)
}

// RECLAIM, review/14: one small guaranteed task on each worker kept another organisation's guarantee from being reclaimed for as long as it ran.
test('a guaranteed job starts on whole workers although a guaranteed task of another organisation lies on each worker', () => {
  const pool = createPool()
  const { patient, guaranteed } = fillPool(pool)
  const claim = submit(pool, 'claim', 'urgent', 'mill', { count: 2, request: accelerators(8) })
  expect(play(pool, claim)).toBeLessThanOrEqual(reclaimMs - 2 * stopMs)
  expect(getStopped(pool, guaranteed)).toHaveLength(2)
  // Two workers for the claim, and one for both tasks that make room for it.
  expect(getStopped(pool, patient)).toHaveLength(3)
  playFor(pool, 1_000)
  expect(countStarted(guaranteed)).toBe(8)
  expect(countStarted(claim)).toBe(2)
})

test('tasks of an earlier job of the same organisation are moved likewise', () => {
  const pool = createPool({ guarantees: { mill: 24 } })
  const { guaranteed } = fillPool(pool, {}, 'mill')
  const claim = submit(pool, 'claim', 'urgent', 'mill', { count: 2, request: accelerators(8) })
  expect(play(pool, claim)).toBeLessThanOrEqual(reclaimMs - 2 * stopMs)
  playFor(pool, 1_000)
  expect(countStarted(guaranteed)).toBe(8)
})

test.each([['on one rack', true], ['anywhere', false]])('a guaranteed gang of whole workers %s starts in time', (_where, isSameRack) => {
  const pool = createPool({ guarantees: { mill: 24, weir: 8 } })
  const { guaranteed } = fillPool(pool)
  const claim = submit(pool, 'claim', 'urgent', 'mill', { count: 3, isGang: true, isSameRack, request: accelerators(8) })
  expect(play(pool, claim)).toBeLessThanOrEqual(reclaimMs - 2 * stopMs)
  const racks = new Set(getUnits(claim).flatMap(({ attempts }) => attempts.flatMap(({ members }) => members.map(({ workerId }) => pool.workers.get(workerId)?.info.rack))))
  if (isSameRack) expect(racks.size).toBe(1)
  playFor(pool, 1_000)
  expect(countStarted(guaranteed)).toBe(8)
})

test('a guaranteed gang is moved as a whole', () => {
  const pool = createPool({ workers: 4, guarantees: { mill: 8, weir: 8 } })
  run(pool, 'patient', 'batch', 'none', { count: 4, request: accelerators(7) })
  const gangs = ['first', 'second'].map(jobId => run(pool, jobId, 'urgent', 'weir', { count: 2, isGang: true, spreadLimit: 1, request: accelerators(1) }))
  const claim = submit(pool, 'claim', 'urgent', 'mill', { request: accelerators(8) })
  expect(play(pool, claim)).toBeLessThanOrEqual(reclaimMs - 2 * stopMs)
  expect(gangs.flatMap(gang => getStopped(pool, gang))).toHaveLength(1)
  playFor(pool, 1_000)
  for (const gang of gangs) expect(new Set(getUnits(gang).flatMap(({ attempts }) => attempts.flatMap(({ members }) => members.map(({ workerId }) => workerId)))).size).toBe(2)
})

describe('nothing is stopped if there is no complete plan', () => {
  function expectUnmet (pool: PlannerHarness, claim: Partial<StepSpec> = { count: 1, request: accelerators(8) }): void {
    expect(play(pool, submit(pool, 'claim', 'urgent', 'mill', claim), 6_000)).toBe(Infinity)
    expect(pool.stopped).toHaveLength(0)
  }

  test('tasks of which only one may be on a worker, on all workers', () => {
    const pool = createPool()
    fillPool(pool, { spreadLimit: 1 })
    expectUnmet(pool)
  })

  test('tasks that require a label of their workers', () => {
    const pool = createPool({ workers: 2, getLabels: index => [`own-${index}`] })
    run(pool, 'patient', 'batch', 'none', { count: 2, request: accelerators(7) })
    run(pool, 'first', 'urgent', 'weir', { request: accelerators(1), requiredLabel: 'own-0' })
    run(pool, 'second', 'urgent', 'weir', { request: accelerators(1), requiredLabel: 'own-1' })
    expectUnmet(pool)
  })

  test('lasting tasks', () => {
    const pool = createPool()
    fillPool(pool, { isService: true })
    expectUnmet(pool)
  })

  test('tasks under suspicion of crashing their workers', () => {
    const pool = createPool()
    const { guaranteed } = fillPool(pool)
    for (const unit of getUnits(guaranteed)) unit.suspicion = Suspicion.Suspect
    expectUnmet(pool)
  })

  test('workers that are full of guaranteed work', () => {
    const pool = createPool({ workers: 2, guarantees: { mill: 8, weir: 16 } })
    run(pool, 'full', 'urgent', 'weir', { count: 16, request: accelerators(1) })
    expectUnmet(pool)
  })
})

test('a run is moved only where stopping less urgent work does not suffice', () => {
  const pool = createPool()
  fillPool(pool)
  const empty = [...pool.workers.values()][5]
  for (const { attempt } of [...pool.getMembers(empty?.info.workerId ?? '')]) if (attempt.unit.job.spec.jobId === 'small') end(pool, attempt)
  pool.jobs.splice(pool.jobs.findIndex(({ spec }) => spec.jobId === 'small'), 1)
  const claim = submit(pool, 'claim', 'urgent', 'mill', { request: accelerators(8) })
  expect(play(pool, claim)).toBeLessThanOrEqual(reclaimMs - 2 * stopMs)
  expect(pool.stopped.map(({ unit }) => unit.job.spec.jobId)).toEqual(['patient'])
})

test('of several plans the cheapest is taken: the run with the least progress is moved, and the younger work is stopped', () => {
  const pool = createPool({ workers: 4, guarantees: { mill: 8, weir: 8 } })
  fillPool(pool)
  for (const workerId of ['worker-0', 'worker-1']) for (const member of pool.getMembers(workerId)) member.progressPercent = 50
  const claim = submit(pool, 'claim', 'urgent', 'mill', { request: accelerators(8) })
  expect(play(pool, claim)).toBeLessThanOrEqual(reclaimMs - 2 * stopMs)
  expect(pool.stopped.map(({ unit }) => unit.job.spec.jobId).sort()).toEqual(['patient', 'patient', 'small'])
  for (const { members } of pool.stopped) expect(['worker-2', 'worker-3']).toContain(members[0]?.workerId)
})

test('a sequence of claims does not move the same task again and again', () => {
  const pool = createPool({ workers: 4, guarantees: { mill: 8, weir: 8 } })
  const { guaranteed } = fillPool(pool)
  for (let round = 0; round < 30; round++) {
    const claim = submit(pool, `claim-${round}`, 'urgent', 'mill', { request: accelerators(8) })
    play(pool, claim, 3_000)
    playFor(pool, 1_000)
    for (const unit of getUnits(claim)) {
      unit.isDone = true
      for (const attempt of [...unit.attempts]) end(pool, attempt)
    }
    pool.jobs.splice(pool.jobs.indexOf(claim), 1)
    playFor(pool, 500)
  }
  for (const { run } of getUnits(guaranteed)) expect(run).toBeLessThanOrEqual(6)
})

test('while a run is being moved, neither its new place nor the claimed worker is given to others', () => {
  const pool = createPool({ workers: 3, guarantees: { mill: 8, weir: 3 } })
  const { guaranteed } = fillPool(pool)
  const claim = submit(pool, 'claim', 'urgent', 'mill', { request: accelerators(8) })
  expect(play(pool, claim)).toBeLessThanOrEqual(reclaimMs - 2 * stopMs)
  const [moved] = getStopped(pool, guaranteed) as [Attempt]
  // The moved run ends first, or last; work that arrives in the meantime would take any room.
  for (const attempt of pool.stopped) if (attempt !== moved) end(pool, attempt)
  const rival = submit(pool, 'rival', 'urgent', 'none', { count: 6, request: accelerators(2) })
  pool.plan()
  expectNoOvercommitment(pool)
  expect(countStarted(rival)).toBeLessThan(6)
  end(pool, moved)
  pool.plan()
  expect(moved.unit.attempts).toHaveLength(1)
  expectNoOvercommitment(pool)
  const [restarted] = moved.unit.attempts
  expect(getUnits(claim).flatMap(({ attempts }) => attempts.flatMap(({ members }) => members.map(({ workerId }) => workerId)))).not.toContain(restarted?.members[0]?.workerId)
})

test('a run whose new worker is gone when it has been stopped starts elsewhere', () => {
  const pool = createPool({ workers: 4, guarantees: { mill: 8, weir: 8 } })
  const { patient, guaranteed } = fillPool(pool)
  const claim = submit(pool, 'claim', 'urgent', 'mill', { request: accelerators(8) })
  expect(play(pool, claim)).toBeLessThanOrEqual(reclaimMs - 2 * stopMs)
  const claimed = getUnits(claim).flatMap(({ attempts }) => attempts.flatMap(({ members }) => members.map(({ workerId }) => workerId)))
  const [held] = getStopped(pool, patient).flatMap(({ members }) => members.map(({ workerId }) => workerId)).filter(workerId => !claimed.includes(workerId))
  const worker = pool.workers.get(held ?? '')
  if (worker === undefined) throw new Error('no place is held')
  worker.isReachable = false
  const [moved] = getStopped(pool, guaranteed) as [Attempt]
  end(pool, moved)
  playFor(pool, 3_000)
  expect(moved.unit.attempts).toHaveLength(1)
  expect(moved.unit.attempts[0]?.members[0]?.workerId).not.toBe(held)
})

/** Any mix of guaranteed and other running work, and a claim that is due. */
test('property: every plan is complete, and nothing is stopped without one', () => {
  const taskArbitrary = fc.record({ size: fc.constantFrom(1, 2, 4), count: fc.integer({ min: 1, max: 4 }), isGuaranteed: fc.boolean(), isGang: fc.boolean(), spreadLimit: fc.constantFrom(undefined, undefined, 1) })
  fc.assert(fc.property(fc.integer({ min: 2, max: 6 }), fc.array(taskArbitrary, { maxLength: 10 }), fc.constantFrom(4, 8), fc.integer({ min: 1, max: 2 }), (workers, tasks, size, count) => {
    const pool = createPool({ workers, guarantees: { mill: size * count, weir: 1_000 } })
    tasks.forEach(({ size, isGuaranteed, spreadLimit, ...task }, index) => {
      submit(pool, `job-${index}`, isGuaranteed ? 'urgent' : 'batch', isGuaranteed ? 'weir' : 'none', { ...task, request: accelerators(size), ...(spreadLimit === undefined ? {} : { spreadLimit }) })
    })
    pool.plan()
    // A guaranteed job that waits is a claim of its own.
    fc.pre(pool.jobs.every(job => job.spec.organisation !== 'weir' || [...getUnits(job)].every(({ attempts }) => attempts.length > 0)))
    const running = pool.jobs.flatMap(job => [...getUnits(job)]).filter(({ attempts }) => attempts.length > 0)
    const claim = submit(pool, 'claim', 'urgent', 'mill', { count, request: accelerators(size) })
    const startedMs = play(pool, claim)
    expectNoOvercommitment(pool)
    const movedUnits = running.filter((unit: Unit) => unit.job.spec.organisation === 'weir' && pool.stopped.some(attempt => attempt.unit === unit))
    if (startedMs === Infinity && getUnits(claim).every(({ attempts }) => attempts.length === 0)) expect(pool.stopped).toHaveLength(0)
    playFor(pool, 1_500)
    for (const unit of movedUnits) expect(unit.attempts).toHaveLength(1)
  }), { numRuns: 300, seed: 14 })
})
