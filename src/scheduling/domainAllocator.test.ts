/** Property tests of placement: the allocations stay consistent, and all guarantees can be reclaimed at the same time. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createJobSpec } from '../testing/schedulerHarness.js'
import { createBlockIndex, maxBlockSize, maxLevel } from './blockIndex.js'
import { createDomainAllocator } from './domainAllocator.js'
import type { DomainAllocator } from './domainAllocator.js'
import { Adjacency } from './jobTypes.js'
import type { JobSpec } from './jobTypes.js'
import type { Guarantee } from '../rules/ruleSet.js'
import type { WorkerInfo } from './workerTypes.js'

const organisations = ['mill', 'haul', 'plan']

function createWorkers (count: number, accelerators: (index: number) => number): WorkerInfo[] {
  return Array.from({ length: count }, (_, index) => ({
    workerId: `w${String(index).padStart(3, '0')}`,
    address: '',
    domain: 'harju',
    rack: `r${Math.floor(index / 8)}`,
    processors: 64,
    memoryBytes: 2 ** 38,
    accelerators: accelerators(index),
    isLeaving: false
  }))
}

const guaranteeArbitrary = fc.record({
  organisation: fc.constantFrom(...organisations),
  acceleratorsPerCell: fc.constantFrom(1, 2, 4, 8, 16, 32, 64),
  cells: fc.integer({ min: 0, max: 3 })
})

const guaranteesArbitrary = fc.array(guaranteeArbitrary, { maxLength: 4 }).map(items =>
  items.map((item, index): Guarantee => ({ ...item, id: `${item.organisation}/${index}`, domain: 'harju' })))

const shapeArbitrary = fc.record({
  organisation: fc.constantFrom(...organisations),
  members: fc.integer({ min: 1, max: 9 }),
  acceleratorsPerMember: fc.constantFrom(1, 2, 3, 4, 8),
  adjacency: fc.constantFrom(Adjacency.Adjacent, Adjacency.Anywhere)
})

enum Step { Guaranteed, Borrowed, Preempting, Release, LoseWorker, ReturnWorker, SetGuarantees }

const stepArbitrary = fc.record({
  step: fc.constantFrom(Step.Guaranteed, Step.Guaranteed, Step.Borrowed, Step.Borrowed, Step.Preempting, Step.Release, Step.Release, Step.LoseWorker, Step.ReturnWorker, Step.SetGuarantees),
  shape: shapeArbitrary,
  selector: fc.nat(),
  guarantees: guaranteesArbitrary
})

interface Model {
  readonly allocator: DomainAllocator
  readonly placed: Map<string, JobSpec>
  nextId: number
}

function place (model: Model, spec: JobSpec, isGuaranteed: boolean, mayPreempt: boolean): boolean {
  const cost = (): number => 1
  const placement = isGuaranteed ? model.allocator.tryPlaceGuaranteed(spec, cost) : model.allocator.tryPlaceBorrowed(spec, mayPreempt ? cost : undefined)
  if (placement === undefined) return false
  expect(placement.members.length).toBe(spec.members)
  for (const victim of placement.victims) {
    expect(model.allocator.isGuaranteed(victim)).toBe(false)
    model.allocator.release(victim)
    model.placed.delete(victim)
  }
  model.placed.set(spec.jobId, spec)
  return true
}

/** Asserts that every organisation can fill all its unbound cells, in addition to the jobs that it has placed. */
function assertAllReclaimable (model: Model): void {
  const shortages = model.allocator.getShortages().reduce((sum, shortage) => sum + shortage.missingCells, 0)
  let unplaced = 0
  for (const organisation of organisations) {
    const unbound = model.allocator.getCellsOf(organisation).filter(cell => cell.block === undefined).map(cell => 1 << cell.level)
    unbound.sort((left, right) => right - left)
    for (const size of unbound) {
      const spec = createJobSpec(`reclaim-${model.nextId++}`, { organisation, members: size, acceleratorsPerMember: 1, processorsPerMember: 0 })
      if (!place(model, spec, true, true)) unplaced++
    }
  }
  expect(unplaced).toBeLessThanOrEqual(shortages)
}

test('after any sequence of steps, all guaranteed cells that are not reported missing can be reclaimed at the same time', () => {
  const workerArbitrary = fc.array(fc.constantFrom(8, 8, 8, 8, 4, 2, 1, 0), { minLength: 4, maxLength: 20 })
  fc.assert(fc.property(workerArbitrary, guaranteesArbitrary, fc.array(stepArbitrary, { maxLength: 40 }), (sizes, guarantees, steps) => {
    const model: Model = { allocator: createDomainAllocator(), placed: new Map(), nextId: 0 }
    const workers = createWorkers(sizes.length, index => sizes[index] ?? 8)
    model.allocator.addWorkers(workers)
    model.allocator.setGuarantees(guarantees)
    for (const step of steps) {
      runStep(model, step, workers)
      model.allocator.verify()
    }
    assertAllReclaimable(model)
    model.allocator.verify()
  }), { numRuns: 300 })
})

function runStep (model: Model, { step, shape, selector, guarantees }: { step: Step, shape: Partial<JobSpec>, selector: number, guarantees: Guarantee[] }, workers: readonly WorkerInfo[]): void {
  const spec = createJobSpec(`job-${model.nextId++}`, { ...shape, processorsPerMember: 0 })
  const jobId = [...model.placed.keys()][selector % Math.max(1, model.placed.size)]
  const workerId = workers[selector % workers.length]?.workerId ?? ''
  switch (step) {
    case Step.Guaranteed:
      place(model, spec, true, true)
      return
    case Step.Borrowed:
      place(model, spec, false, false)
      return
    case Step.Preempting:
      place(model, spec, false, true)
      return
    case Step.Release:
      if (jobId !== undefined) model.allocator.release(jobId)
      model.placed.delete(jobId ?? '')
      return
    case Step.LoseWorker:
      model.allocator.setUsable(workerId, false)
      return
    case Step.ReturnWorker:
      model.allocator.setUsable(workerId, true)
      return
    case Step.SetGuarantees:
      model.allocator.setGuarantees(guarantees)
  }
}

test('the block index counts the same free blocks as a linear scan', () => {
  fc.assert(fc.property(fc.array(fc.nat({ max: 2 * maxBlockSize - 1 }), { maxLength: 200 }), leaves => {
    const index = createBlockIndex()
    index.grow(2 * maxBlockSize)
    const blocked = Array<boolean>(2 * maxBlockSize).fill(true)
    for (let leaf = 0; leaf < blocked.length; leaf += 1 + leaf % 3) {
      index.unblock(leaf)
      blocked[leaf] = false
    }
    for (const leaf of leaves) {
      if (blocked[leaf] === true) index.unblock(leaf)
      else index.block(leaf)
      blocked[leaf] = !(blocked[leaf] ?? false)
    }
    for (let level = 0; level <= maxLevel; level++) {
      let free = 0
      for (let block = 0; block < blocked.length >> level; block++) {
        const isFree = blocked.slice(block << level, (block + 1) << level).every(isBlocked => !isBlocked)
        if (isFree) free++
      }
      expect(index.getFreeCount(level)).toBe(free)
    }
  }), { numRuns: 30 })
})

test('a guarantee of a whole rack can be reclaimed after borrowed jobs and jobs of small guarantees filled the domain', () => {
  const allocator = createDomainAllocator()
  allocator.addWorkers(createWorkers(16, () => 8))
  allocator.setGuarantees([
    { id: 'mill/rack', organisation: 'mill', domain: 'harju', acceleratorsPerCell: 64, cells: 1 },
    { id: 'haul/small', organisation: 'haul', domain: 'harju', acceleratorsPerCell: 1, cells: 64 }
  ])
  expect(allocator.getShortages()).toEqual([])
  for (let index = 0; index < 128; index++) {
    const spec = createJobSpec(`borrowed-${index}`, { organisation: 'plan', acceleratorsPerMember: 1, processorsPerMember: 0 })
    expect(allocator.tryPlaceBorrowed(spec)).toBeDefined()
  }
  for (let index = 0; index < 64; index++) {
    const placement = allocator.tryPlaceGuaranteed(createJobSpec(`small-${index}`, { organisation: 'haul', acceleratorsPerMember: 1, processorsPerMember: 0 }), () => 1)
    placement?.victims.forEach(allocator.release)
    expect(placement?.guaranteeId).toBe('haul/small')
  }
  const rack = allocator.tryPlaceGuaranteed(createJobSpec('rack', { members: 8, processorsPerMember: 0 }), () => 1)
  expect(rack?.members.length).toBe(8)
  rack?.victims.forEach(allocator.release)
  allocator.verify()
})
