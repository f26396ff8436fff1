/** The room index never keeps a unit from workers on which it could be placed. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createTrackedJob, getUnits } from '../jobs/trackedJob.js'
import type { Unit } from '../jobs/trackedJob.js'
import { harnessCapacity, makeJob, makeStep } from '../testing/poolHarness.js'
import { addResources, createWorkerState, subtractResources } from '../workers/workerState.js'
import { tryPlace } from './placeUnit.js'
import type { FreeCapacity, PlacementRules } from './placeUnit.js'
import { createPoolRoom } from './poolRoom.js'

const special = 'special'
const permissiveRules: PlacementRules = { countStepTasks: () => 0, getOccupancy: () => ({ sameQueue: 0, otherQueues: 0 }), isReservedForOther: () => false }

const requestArbitrary = fc.record({ cpuMilli: fc.constantFrom(2_000, 7_500, 26_000), memoryMb: fc.constant(8_000), accelerators: fc.constantFrom(0, 1, 2, 4, 8) })
const unitArbitrary: fc.Arbitrary<Unit> = fc.record({
  request: requestArbitrary,
  count: fc.integer({ min: 1, max: 10 }),
  isSameRack: fc.boolean(),
  spreadLimit: fc.constantFrom(undefined, undefined, 1, 2),
  requiredLabel: fc.constantFrom(undefined, undefined, special),
  dataRack: fc.constantFrom(undefined, undefined, 'rack-0')
}).map(({ spreadLimit, requiredLabel, dataRack, ...fields }) => {
  const step = makeStep({ ...fields, isGang: true, ...(spreadLimit === undefined ? {} : { spreadLimit }), ...(requiredLabel === undefined ? {} : { requiredLabel }), ...(dataRack === undefined ? {} : { dataRack }) })
  return getUnits(createTrackedJob(makeJob('gang', 'batch', [step]), 0))[0] as Unit
})

test('a unit has room exactly if it can be placed while no rule keeps it off, also after starts and releases', () => {
  fc.assert(fc.property(fc.array(requestArbitrary, { minLength: 1, maxLength: 9 }), fc.array(unitArbitrary, { minLength: 1, maxLength: 12 }), (used, units) => {
    const freeCapacity: FreeCapacity = new Map(used.map((request, index) => {
      const workerId = `worker-${index}`
      const worker = createWorkerState({ workerId, address: workerId, service: 'pool', domain: 'a', bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity: harnessCapacity, labels: index % 2 === 0 ? [special] : [], rack: `rack-${Math.floor(index / 3)}` })
      return [worker, subtractResources(harnessCapacity, request)]
    }))
    const room = createPoolRoom(freeCapacity)
    // The units come twice, so that negative answers are reused after starts.
    for (const unit of [...units, ...units]) expect(room.hasRoom(unit)).toBe(tryPlace(unit, freeCapacity, permissiveRules) !== undefined)
    for (const [worker, free] of freeCapacity) freeCapacity.set(worker, addResources(free, { cpuMilli: 7_500, memoryMb: 8_000, accelerators: 1 }))
    room.clear()
    for (const unit of units) expect(room.hasRoom(unit)).toBe(tryPlace(unit, freeCapacity, permissiveRules) !== undefined)
  }), { numRuns: 500, seed: 7 })
})
