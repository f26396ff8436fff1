/** The search for a preemption finds what a plain search finds that computes everything anew for each task. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { Resources } from '../jobs/jobModel.js'
import { createAttempt, createTrackedJob, getUnits, MemberState } from '../jobs/trackedJob.js'
import type { Attempt, Unit } from '../jobs/trackedJob.js'
import { harnessCapacity, makeJob, makeStep } from '../testing/poolHarness.js'
import { addResources, createWorkerState, fits, subtractResources } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { getGroups } from './placeUnit.js'
import type { FreeCapacity, PlacementRules } from './placeUnit.js'
import { indexVictims, tryPreempt } from './preemption.js'
import type { FirstNeeds, PreemptionPlan, Victim } from './preemption.js'

const workersPerRack = 3
const rules: PlacementRules = { countStepTasks: () => 0, getOccupancy: () => ({ sameQueue: 0, otherQueues: 0 }), isReservedForOther: () => false }

const requestArbitrary = fc.constantFrom(1, 2, 4, 8).map((accelerators): Resources => ({ cpuMilli: accelerators * 5_000, memoryMb: 8_000, accelerators }))
/** Running gangs: a request, the positions of the workers, the cost of a stop, and whether the first member has ended. */
const runArbitrary = fc.record({ request: requestArbitrary, places: fc.array(fc.nat(), { minLength: 1, maxLength: 4 }), cost: fc.integer({ min: 0, max: 20 }), hasEnded: fc.constantFrom(false, false, true) })
const unitArbitrary = fc.record({ request: requestArbitrary, count: fc.integer({ min: 1, max: 10 }), isSameRack: fc.boolean(), spreadLimit: fc.constantFrom(undefined, undefined, 1, 2) })
  .map(({ spreadLimit, ...fields }) => getUnits(createTrackedJob(makeJob('gang', 'urgent', [makeStep({ ...fields, isGang: true, ...(spreadLimit === undefined ? {} : { spreadLimit }) })]), 0))[0] as Unit)

test('the places, the victims and the cost are those of a plain search, also with needs that another unit has computed', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 9 }), fc.array(runArbitrary, { maxLength: 20 }), fc.array(fc.tuple(unitArbitrary, fc.constantFrom(0, 10, 40, Infinity)), { minLength: 1, maxLength: 4 }), (workerCount, runs, searches) => {
    const workers = Array.from({ length: workerCount }, (_unused, index): WorkerState => {
      const workerId = `worker-${index}`
      return createWorkerState({ workerId, address: workerId, service: 'pool', domain: 'a', bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity: harnessCapacity, labels: [], rack: `rack-${Math.floor(index / workersPerRack)}` })
    })
    const freeCapacity: FreeCapacity = new Map(workers.map(worker => [worker, worker.info.capacity]))
    const victims: Victim[] = []
    runs.forEach(({ request, places, cost, hasEnded }, index) => {
      const on = places.map(place => workers[place % workerCount] as WorkerState)
      const [unit] = getUnits(createTrackedJob(makeJob(`run-${index}`, 'batch', [makeStep({ request, count: on.length, isGang: true })]), 0)) as [Unit]
      const attempt = createAttempt(unit, 1, on.map(({ info: { workerId } }) => ({ workerId, bornAtMs: 1 })), 0)
      attempt.members.forEach((member, position) => {
        member.state = hasEnded && position === 0 ? MemberState.Ended : MemberState.Running
        const worker = on[position] as WorkerState
        if (member.state === MemberState.Running) freeCapacity.set(worker, subtractResources(freeCapacity.get(worker) as Resources, request))
      })
      victims.push({ attempt, cost })
    })
    victims.sort((left, right) => left.cost - right.cost)
    const needsByRequest = new Map<number, FirstNeeds>()
    for (const [unit, maxLoss] of searches) {
      const { accelerators } = unit.spec.request
      const firstNeeds: FirstNeeds = needsByRequest.get(accelerators) ?? new Map()
      needsByRequest.set(accelerators, firstNeeds)
      const found = tryPreempt(unit, freeCapacity, indexVictims(victims), rules, workerId => workers.find(({ info }) => info.workerId === workerId), maxLoss, firstNeeds)
      expect(found).toEqual(searchPlainly(unit, freeCapacity, victims, workers, maxLoss))
    }
  }), { numRuns: 500, seed: 7 })
})

function searchPlainly (unit: Unit, freeCapacity: FreeCapacity, victims: readonly Victim[], workers: readonly WorkerState[], maxLoss: number): PreemptionPlan | undefined {
  let best: PreemptionPlan | undefined
  for (const group of getGroups(unit, freeCapacity)) {
    const plan = searchGroup(unit, group, freeCapacity, victims, workers)
    if (plan !== undefined && plan.cost <= (best?.cost ?? maxLoss) && plan.cost < (best?.cost ?? Infinity)) best = plan
  }
  return best
}

function searchGroup (unit: Unit, group: readonly WorkerState[], freeCapacity: FreeCapacity, victims: readonly Victim[], workers: readonly WorkerState[]): PreemptionPlan | undefined {
  const { request, spreadLimit = Infinity } = unit.spec
  const free = new Map(freeCapacity)
  const places: WorkerState[] = []
  const chosen = new Set<Attempt>()
  let cost = 0
  while (places.length < unit.size) {
    let best: { readonly worker: WorkerState, readonly needed: readonly Victim[], readonly cost: number } | undefined
    for (const worker of group) {
      if (places.filter(place => place === worker).length >= spreadLimit) continue
      const needed = getNeeded(request, worker, free.get(worker) as Resources, victims.filter(({ attempt }) => !chosen.has(attempt)))
      const neededCost = needed?.reduce((sum, victim) => sum + victim.cost, 0) ?? Infinity
      if (needed !== undefined && neededCost < (best?.cost ?? Infinity)) best = { worker, needed, cost: neededCost }
    }
    if (best === undefined) return undefined
    cost += best.cost
    for (const { attempt } of best.needed) {
      chosen.add(attempt)
      for (const { workerId, state } of attempt.members) {
        const worker = workers.find(({ info }) => info.workerId === workerId) as WorkerState
        if (state !== MemberState.Ended) free.set(worker, addResources(free.get(worker) as Resources, attempt.unit.spec.request))
      }
    }
    free.set(best.worker, subtractResources(free.get(best.worker) as Resources, request))
    places.push(best.worker)
  }
  return { places, victims: [...chosen], cost }
}

function getNeeded (request: Resources, worker: WorkerState, freeNow: Resources, victims: readonly Victim[]): readonly Victim[] | undefined {
  const needed: Victim[] = []
  let free = freeNow
  for (const victim of victims) {
    if (fits(request, free)) return needed
    const members = victim.attempt.members.filter(({ workerId, state }) => workerId === worker.info.workerId && state !== MemberState.Ended)
    if (members.length === 0) continue
    needed.push(victim)
    for (const { attempt } of members) free = addResources(free, attempt.unit.spec.request)
  }
  return fits(request, free) ? needed : undefined
}
