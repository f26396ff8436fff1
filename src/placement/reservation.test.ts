/** The remaining time of a run, also when it is older than the scheduler's term or resumes from a checkpoint. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { Resources } from '../jobs/jobModel.js'
import { createAttempt, createTrackedJob, getUnits, MemberState } from '../jobs/trackedJob.js'
import type { Member, Unit } from '../jobs/trackedJob.js'
import { harnessCapacity, makeJob, makeStep } from '../testing/poolHarness.js'
import { addResources, createWorkerState, fits, subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { getGroups } from './placeUnit.js'
import type { FreeCapacity } from './placeUnit.js'
import { getRemainingMs, tryReserve } from './reservation.js'
import type { Reservation } from './reservation.js'

const estimateMs = 8_000

/** A run that was planned at 0 and whose reports showed the given progress, as [time in ms, percent]. */
function createRun (reports: readonly (readonly [number, number])[]): Member {
  const unit = getUnits(createTrackedJob(makeJob('a', 'batch', [makeStep({ estimateMs })]), 0))[0] as Unit
  const member = createAttempt(unit, 1, [{ workerId: 'w', bornAtMs: 1 }], 0).members[0] as Member
  member.state = MemberState.Running
  for (const [atMs, percent] of reports) {
    member.firstProgress ??= { percent, atMs }
    member.progressPercent = percent
    member.progressedAtMs = atMs
  }
  return member
}

test('a run without a report is expected to take its estimate', () => {
  expect(getRemainingMs(createRun([]), 2_000)).toBe(6_000)
})

test('a run that the term has found at 50 percent is not expected to end at once', () => {
  expect(getRemainingMs(createRun([[100, 50]]), 100)).toBe(4_000)
  expect(getRemainingMs(createRun([[100, 50], [1_100, 60]]), 1_100)).toBe(4_000)
})

test('a run that resumes from a checkpoint is measured from its first report', () => {
  expect(getRemainingMs(createRun([[500, 60], [2_500, 80]]), 2_500)).toBe(2_000)
})

test('the rate of progress counts, not the estimate, and time passes between reports', () => {
  const run = createRun([[1_000, 0], [5_000, 20]])
  expect(getRemainingMs(run, 5_000)).toBe(16_000)
  expect(getRemainingMs(run, 6_000)).toBe(15_000)
  expect(getRemainingMs(run, 60_000)).toBe(0)
})

test('a gang is given the workers and the start that a search after each end finds, and none if it would never fit', () => {
  const requestArbitrary = fc.record({ cpuMilli: fc.constantFrom(2_000, 7_500, 26_000), memoryMb: fc.constant(8_000), accelerators: fc.constantFrom(0, 1, 2, 4, 8) })
  const runArbitrary = fc.record({ request: requestArbitrary, estimateMs: fc.constantFrom(500, 2_000, 2_000, 8_000), isService: fc.constantFrom(false, false, false, true), isEnded: fc.constantFrom(false, false, false, true) })
  const poolArbitrary = fc.array(fc.array(runArbitrary, { maxLength: 4 }), { minLength: 1, maxLength: 9 })
  fc.assert(fc.property(poolArbitrary, requestArbitrary, fc.integer({ min: 1, max: 12 }), fc.boolean(), (pool, request, count, isSameRack) => {
    const members = new Map<string, Member[]>()
    const freeCapacity: FreeCapacity = new Map()
    pool.forEach((runs, index) => {
      const workerId = `worker-${index}`
      const worker = createWorkerState({ workerId, address: workerId, service: 'pool', domain: 'a', bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity: harnessCapacity, labels: [], rack: `rack-${Math.floor(index / 3)}` })
      members.set(workerId, runs.map(({ isEnded, ...fields }, run) => {
        const [unit] = getUnits(createTrackedJob(makeJob(`run-${index}-${run}`, 'batch', [makeStep(fields)]), 0)) as [Unit]
        const [member] = createAttempt(unit, 1, [{ workerId, bornAtMs: 1 }], 0).members as [Member]
        member.state = isEnded ? MemberState.Ended : MemberState.Running
        return member
      }))
      freeCapacity.set(worker, runs.filter(run => !run.isEnded).reduce((free, run) => subtractResources(free, run.request), harnessCapacity))
    })
    const [gang] = getUnits(createTrackedJob(makeJob('gang', 'batch', [makeStep({ request, count, isGang: true, isSameRack })]), 0)) as [Unit]
    const host = { getMembers: (workerId: string) => members.get(workerId) ?? [], nowMs: 300 }
    expect(tryReserve(gang, freeCapacity, host)).toEqual(searchAfterEachEnd(gang, freeCapacity, host))
  }), { numRuns: 500, seed: 7 })
})

function searchAfterEachEnd (gang: Unit, freeCapacity: FreeCapacity, host: Parameters<typeof tryReserve>[2]): Reservation | undefined {
  let best: Reservation | undefined
  for (const group of getGroups(gang, freeCapacity)) {
    const free = new Map(freeCapacity)
    const ends = group.flatMap(worker => [...host.getMembers(worker.info.workerId)]
      .filter(member => member.state !== MemberState.Ended)
      .map(member => ({ worker, request: member.attempt.unit.spec.request, endsAtMs: host.nowMs + getRemainingMs(member, host.nowMs) })))
    for (const { worker, request, endsAtMs } of ends.sort((left, right) => left.endsAtMs - right.endsAtMs)) {
      free.set(worker, addResources(free.get(worker) as Resources, request))
      const workers = findWorkers(gang, group, free)
      if (workers === undefined) continue
      if (endsAtMs < (best?.startAtMs ?? Infinity)) best = { workers, startAtMs: endsAtMs }
      break
    }
  }
  return best
}

function findWorkers (gang: Unit, group: readonly WorkerState[], freeCapacity: FreeCapacity): readonly WorkerState[] | undefined {
  const workers: WorkerState[] = []
  let missing = gang.size
  for (const worker of group) {
    let free = freeCapacity.get(worker) as Resources
    if (missing > 0 && fits(gang.spec.request, free)) workers.push(worker)
    for (; missing > 0 && fits(gang.spec.request, free); missing--) free = subtractResources(free, gang.spec.request)
  }
  return missing === 0 ? workers : undefined
}
