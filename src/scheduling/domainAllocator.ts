/** Allocates the accelerators of one failure domain to jobs, under guarantees or as borrowed capacity. */
import { assert } from '../common/assertions.js'
import type { Guarantee } from '../rules/ruleSet.js'
import { createBlockIndex, getLevelOf, maxLevel } from './blockIndex.js'
import { createGuaranteeCells } from './guaranteeCells.js'
import type { GuaranteeCell, GuaranteeShortage } from './guaranteeCells.js'
import { Adjacency } from './jobTypes.js'
import type { JobSpec } from './jobTypes.js'
import { createPlacementSearch, FitStrategy, getGangLevel } from './placementSearch.js'
import type { PreemptionCost } from './placementSearch.js'
import { createProcessorPool, sharedFraction } from './processorPool.js'
import { createTopology } from './topology.js'
import type { WorkerLeaves } from './topology.js'
import type { WorkerInfo } from './workerTypes.js'

/** The placement of one member: a worker, and the numbers of the accelerators on it. */
export interface MemberPlacement {
  readonly workerId: string
  readonly accelerators: readonly number[]
}

/** The placement of a job. A job without a guarantee id runs on borrowed accelerators and can be preempted. */
export interface Placement {
  readonly jobId: string
  readonly guaranteeId?: string
  readonly members: readonly MemberPlacement[]
  /** Jobs that still hold some of these accelerators and have to be preempted first. */
  readonly victims: readonly string[]
}

/** The allocator of the accelerators of one failure domain. */
export interface DomainAllocator {
  addWorkers (workers: readonly WorkerInfo[]): void
  setUsable (workerId: string, isUsable: boolean): void
  isUsable (workerId: string): boolean
  /** Marks a worker as removed from the domain, or as back in it. */
  setRemoved (workerId: string, isRemoved: boolean): void
  /** Replaces the guarantees. Returns the jobs that lost their guarantee and are now preemptible. */
  setGuarantees (guarantees: readonly Guarantee[]): readonly string[]
  /** Returns the reason why a job could not run here even if the domain were empty, or undefined if it could. */
  getImpossibleReason (spec: JobSpec): string | undefined
  /** Places a job under its organisation's guarantees, preempting jobs on borrowed accelerators. */
  tryPlaceGuaranteed (spec: JobSpec, cost: PreemptionCost, avoid?: ReadonlySet<string>): Placement | undefined
  /** Places a job on accelerators that are free or, if `cost` is given, held by jobs that it allows to be preempted. */
  tryPlaceBorrowed (spec: JobSpec, cost?: PreemptionCost, avoid?: ReadonlySet<string>): Placement | undefined
  /** Adds a job that is already running. Returns whether it could be placed under a guarantee. */
  adopt (spec: JobSpec, members: readonly MemberPlacement[], guaranteeId: string | undefined): boolean
  /** Adds a member to a job that was added by `adopt`. */
  addMember (jobId: string, member: MemberPlacement): void
  /** Moves a running job under a guarantee of its organisation without moving its members. Returns the guarantee's id if it fits. */
  tryPromote (jobId: string): string | undefined
  /** Frees the accelerators, processors and memory of a job. */
  release (jobId: string): void
  isGuaranteed (jobId: string): boolean
  getShortages (): readonly GuaranteeShortage[]
  getUsage (): DomainUsage
  getCellsOf (organisation: string): readonly GuaranteeCell[]
  /** Checks the allocations and indexes against each other, for tests and randomised runs. */
  verify (): void
}

/** The use of a domain's accelerators. */
export interface DomainUsage {
  readonly accelerators: number
  readonly usable: number
  readonly inUse: number
  readonly guaranteedInUse: number
  readonly borrowed: number
  /** Number of maximal free blocks (those that lie in no larger free block), by size. */
  readonly freeBlocks: Readonly<Record<number, number>>
}

interface Allocation {
  readonly spec: JobSpec
  readonly leaves: readonly number[]
  readonly members: readonly MemberPlacement[]
}

/** Cost of binding a cell, per leaf of the free block around it: splitting a large free block makes it unusable for large gangs. */
const splitCostPerLeaf = 0.25
const noWorkers: ReadonlySet<string> = new Set()

/** Creates the allocator of a domain without workers. */
export function createDomainAllocator (fit = FitStrategy.Best): DomainAllocator {
  const topology = createTopology()
  const occupancy = createBlockIndex()
  /** Leaves are blocked while they belong to a bound cell or an unusable worker; unbound cells must fit into the others. */
  const bindableBlocks = createBlockIndex()
  const cells = createGuaranteeCells(bindableBlocks)
  const processors = createProcessorPool()
  const search = createPlacementSearch({
    topology,
    occupancy,
    fit,
    getJobsAt: leaf => jobsAt[leaf] ?? [],
    isAvoided: leaf => avoided.size > 0 && avoided.has(topology.getAt(leaf)?.info.workerId ?? ''),
    isFreeOrPreemptible
  })
  const allocations = new Map<string, Allocation>()
  const unusable = new Set<string>()
  const removed = new Set<string>()
  /** The jobs to which each leaf is allocated; more than one until preempted jobs are released. */
  const jobsAt: (string[] | undefined)[] = []
  let acceleratorCount = 0
  let minProcessorsPerAccelerator = Infinity
  let minMemoryPerAccelerator = Infinity
  /** Workers on which the job that is being placed has failed. */
  let avoided = noWorkers

  return {
    addWorkers,
    setUsable,
    isUsable: workerId => !unusable.has(workerId),
    setRemoved,
    setGuarantees,
    getImpossibleReason,
    tryPlaceGuaranteed,
    tryPlaceBorrowed,
    adopt,
    addMember,
    tryPromote,
    release,
    isGuaranteed: cells.isGuaranteed,
    getShortages: cells.getShortages,
    getUsage,
    getCellsOf: cells.getCellsOf,
    verify
  }

  function addWorkers (workers: readonly WorkerInfo[]): void {
    const added = topology.addWorkers(workers)
    if (topology.getLeafCount() > occupancy.getLeafCount()) {
      occupancy.grow(topology.getLeafCount())
      bindableBlocks.grow(topology.getLeafCount())
    }
    for (const worker of added) {
      processors.addWorker(worker.info)
      updateMinimumShares(worker.info)
      acceleratorCount += worker.info.accelerators
      forEachAcceleratorLeaf(worker, leaf => {
        occupancy.unblock(leaf)
        bindableBlocks.unblock(leaf)
      })
    }
    cells.refresh()
    cells.assertReclaimable()
  }

  function updateMinimumShares (info: WorkerInfo): void {
    if (info.accelerators === 0) return
    minProcessorsPerAccelerator = Math.min(minProcessorsPerAccelerator, info.processors * (1 - sharedFraction) / info.accelerators)
    minMemoryPerAccelerator = Math.min(minMemoryPerAccelerator, info.memoryBytes * (1 - sharedFraction) / info.accelerators)
  }

  function setUsable (workerId: string, isUsable: boolean): void {
    const worker = topology.get(workerId)
    if (worker === undefined || isUsable === !unusable.has(workerId)) return
    if (isUsable) unusable.delete(workerId)
    else unusable.add(workerId)
    processors.setUsable(workerId, isUsable)
    forEachAcceleratorLeaf(worker, leaf => {
      if (isUsable) {
        occupancy.unblock(leaf)
        bindableBlocks.unblock(leaf)
      } else {
        occupancy.block(leaf)
        bindableBlocks.block(leaf)
      }
    })
    cells.refresh()
    cells.assertReclaimable()
  }

  function setRemoved (workerId: string, isRemoved: boolean): void {
    if (isRemoved) removed.add(workerId)
    else removed.delete(workerId)
  }

  function setGuarantees (guarantees: readonly Guarantee[]): readonly string[] {
    const demoted = cells.setGuarantees(guarantees)
    cells.assertReclaimable()
    return demoted
  }

  function getImpossibleReason (spec: JobSpec): string | undefined {
    if (spec.acceleratorsPerMember === 0) {
      const request = { processors: spec.processorsPerMember, memoryBytes: spec.memoryBytesPerMember }
      return processors.canFitWhenEmpty(spec.members, request) ? undefined : 'the workers of the domain have too few processors or too little memory'
    }
    const size = getMemberSize(spec)
    if (size === undefined) return 'no worker has enough processors or memory alongside its accelerators'
    const level = spec.adjacency === Adjacency.Adjacent ? getGangLevel(spec, size) : getLevelOf(size)
    if (level > maxLevel) return `the job needs ${spec.members * size} adjacent accelerators; the maximum is ${1 << maxLevel}`
    if (spec.adjacency === Adjacency.Anywhere) {
      return countMemberBlocks(size) >= spec.members ? undefined : `the domain has too few accelerators for ${spec.members} members`
    }
    for (let block = 0; block < topology.getLeafCount() >> level; block++) {
      if (search.findMemberBlocks(level, block, size, spec.members, isInDomain).length === spec.members) return undefined
    }
    return `the domain does not have ${spec.members * spec.acceleratorsPerMember} adjacent accelerators`
  }

  function countMemberBlocks (size: number): number {
    let count = 0
    for (const worker of topology.getWorkers()) {
      if (!removed.has(worker.info.workerId)) count += Math.floor(worker.info.accelerators / size)
    }
    return count
  }

  function tryPlaceGuaranteed (spec: JobSpec, cost: PreemptionCost, avoid: ReadonlySet<string> = noWorkers): Placement | undefined {
    avoided = avoid
    const size = spec.acceleratorsPerMember === 0 ? undefined : getMemberSize(spec)
    if (size === undefined) return undefined
    const leaves: number[] = []
    const used: GuaranteeCell[] = []
    const isAdjacent = spec.adjacency === Adjacency.Adjacent
    for (const cell of getCellsToTry(spec.organisation)) {
      const remaining = spec.members - leaves.length / size
      const found = findInCell(cell, spec, size, remaining, isAdjacent, cost)
      if (found.length === 0) continue
      cells.addJob(cell, spec.jobId)
      used.push(cell)
      leaves.push(...found)
      if (leaves.length === spec.members * size) return allocate(spec, leaves, size, used[0]?.guaranteeId)
    }
    cells.removeJob(spec.jobId)
    return undefined
  }

  /** Returns bound cells first, so that a guarantee uses as few blocks as possible, and small cells before large ones. */
  function getCellsToTry (organisation: string): GuaranteeCell[] {
    const candidates = [...cells.getCellsOf(organisation)]
    candidates.sort((left, right) =>
      Number(left.block === undefined) - Number(right.block === undefined) || left.level - right.level)
    const firstUnbound = candidates.findIndex(cell => cell.block === undefined)
    return firstUnbound < 0 ? candidates : candidates.filter(cell => !cell.isMissing || cell.block !== undefined)
  }

  /** Finds leaves for up to `maxMembers` members in one cell, for all or none if the gang must be adjacent. Binds the cell if it is unbound. */
  function findInCell (
    cell: GuaranteeCell, spec: JobSpec, size: number, maxMembers: number, isAdjacent: boolean, cost: PreemptionCost
  ): readonly number[] {
    const level = isAdjacent ? getGangLevel(spec, size) : cell.level
    if (level > cell.level || getLevelOf(size) > cell.level) return []
    if (cell.block === undefined) {
      const block = chooseBlockToBind(cell, cost)
      if (block === undefined) return []
      cells.bind(cell, block)
    }
    const first = (cell.block as number) << (cell.level - level)
    const isEligible = (leaf: number): boolean => isFreeOrPreemptible(leaf, cost)
    let best: readonly number[] = []
    let bestCost = Infinity
    for (let block = first; block < first + (1 << (cell.level - level)); block++) {
      const starts = search.findMemberBlocks(level, block, size, maxMembers, isEligible, cost)
      if (starts.length === 0 || (isAdjacent && starts.length < maxMembers)) continue
      const totalCost = search.getPreemptionCost(starts, size, cost)
      if (starts.length < best.length || totalCost >= bestCost) continue
      best = starts
      bestCost = totalCost
    }
    const leaves = best.flatMap(start => Array.from({ length: size }, (_, offset) => start + offset))
    if (leaves.length === 0) cells.unbindIfEmpty(cell)
    return leaves
  }

  function isFreeOrPreemptible (leaf: number, cost: PreemptionCost): boolean {
    const workerId = topology.getAt(leaf)?.info.workerId ?? ''
    if (!hasAccelerator(leaf) || avoided.has(workerId) || unusable.has(workerId)) return false
    return (jobsAt[leaf] ?? []).every(jobId => !cells.isGuaranteed(jobId) && cost(jobId) !== undefined)
  }

  /** Returns the cheapest block for an unbound cell, among those that leave enough blocks for all other cells. */
  function chooseBlockToBind (cell: GuaranteeCell, cost: PreemptionCost): number | undefined {
    let best: number | undefined
    let bestCost = Infinity
    for (let level = cell.level; level <= maxLevel; level++) {
      if (bindableBlocks.getMaximalBlocks(level).size === 0 || !cells.isBindable(cell, level)) continue
      for (const block of search.sampleSubBlocks(bindableBlocks, level, cell.level)) {
        const totalCost = getBlockPreemptionCost(cell.level, block, cost) + splitCostPerLeaf * (1 << level)
        if (totalCost >= bestCost) continue
        best = block
        bestCost = totalCost
      }
    }
    return best
  }

  function getBlockPreemptionCost (level: number, block: number, cost: PreemptionCost): number {
    if (occupancy.getBlockedCount(level, block) === 0) return 0
    const start = block << level
    return search.getPreemptionCost([start], 1 << level, cost)
  }

  function tryPlaceBorrowed (spec: JobSpec, cost?: PreemptionCost, avoid: ReadonlySet<string> = noWorkers): Placement | undefined {
    avoided = avoid
    if (spec.acceleratorsPerMember === 0) return placeOnProcessors(spec)
    const size = getMemberSize(spec)
    if (size === undefined) return undefined
    const free = spec.adjacency === Adjacency.Adjacent ? search.findFreeGang(spec, size) : search.findFreeMembers(spec.members, size)
    if (free !== undefined) return allocate(spec, expandBlocks(free, size), size, undefined)
    if (cost === undefined || spec.adjacency === Adjacency.Anywhere) return undefined
    const preemptible = search.findPreemptibleGang(spec, size, cost)
    return preemptible && allocate(spec, expandBlocks(preemptible, size), size, undefined)
  }

  function placeOnProcessors (spec: JobSpec): Placement | undefined {
    const request = { processors: spec.processorsPerMember, memoryBytes: spec.memoryBytesPerMember }
    const workerIds = processors.tryAllocate(spec.members, request)
    if (workerIds === undefined) return undefined
    const members = workerIds.map(workerId => ({ workerId, accelerators: [] }))
    allocations.set(spec.jobId, { spec, leaves: [], members })
    return { jobId: spec.jobId, members, victims: [] }
  }

  function allocate (spec: JobSpec, leaves: readonly number[], size: number, guaranteeId: string | undefined): Placement {
    const victims = new Set<string>()
    for (const leaf of leaves) {
      for (const jobId of jobsAt[leaf] ?? []) victims.add(jobId)
    }
    const members: MemberPlacement[] = []
    for (let first = 0; first < leaves.length; first += size) {
      const worker = topology.getAt(leaves[first] as number) as WorkerLeaves
      const used = leaves.slice(first, first + Math.min(size, spec.acceleratorsPerMember))
      members.push({ workerId: worker.info.workerId, accelerators: used.map(leaf => leaf - worker.start) })
    }
    for (const jobId of victims) assert(!cells.isGuaranteed(jobId), 'jobs under a guarantee are never preempted')
    occupy(spec, leaves, members)
    cells.assertReclaimable()
    return { jobId: spec.jobId, guaranteeId, members, victims: [...victims] }
  }

  function occupy (spec: JobSpec, leaves: readonly number[], members: readonly MemberPlacement[]): void {
    assert(!allocations.has(spec.jobId), `job ${spec.jobId} has at most one allocation`)
    allocations.set(spec.jobId, { spec, leaves, members })
    for (const leaf of leaves) {
      occupancy.block(leaf)
      const jobs = jobsAt[leaf]
      if (jobs === undefined) jobsAt[leaf] = [spec.jobId]
      else jobs.push(spec.jobId)
    }
  }

  function adopt (spec: JobSpec, members: readonly MemberPlacement[], guaranteeId: string | undefined): boolean {
    const size = getMemberSize(spec) ?? 1
    const leaves = members.flatMap(member => getLeavesOf(member, size))
    occupy(spec, leaves, members)
    const request = { processors: spec.processorsPerMember, memoryBytes: spec.memoryBytesPerMember }
    if (spec.acceleratorsPerMember === 0) {
      for (const member of members) processors.allocate(member.workerId, request)
    }
    const isUnderGuarantee = guaranteeId !== undefined && tryPromote(spec.jobId) !== undefined
    cells.assertReclaimable()
    return isUnderGuarantee
  }

  function addMember (jobId: string, member: MemberPlacement): void {
    const allocation = allocations.get(jobId)
    if (allocation === undefined) return
    const isGuaranteed = cells.isGuaranteed(jobId)
    release(jobId)
    adopt(allocation.spec, [...allocation.members, member], isGuaranteed ? '' : undefined)
  }

  function getLeavesOf (member: MemberPlacement, size: number): number[] {
    const worker = topology.get(member.workerId)
    const first = member.accelerators[0]
    if (worker === undefined || first === undefined) return []
    return Array.from({ length: size }, (_, offset) => worker.start + first + offset).filter(hasAccelerator)
  }

  /** Adds the job to a cell that contains all leaves that it holds, and binds the cell if it is unbound. */
  function tryPromote (jobId: string): string | undefined {
    const allocation = allocations.get(jobId)
    const firstLeaf = allocation?.leaves[0]
    if (allocation === undefined || firstLeaf === undefined || cells.isGuaranteed(jobId)) return undefined
    for (const cell of cells.getCellsOf(allocation.spec.organisation)) {
      const block = firstLeaf >> cell.level
      if (!allocation.leaves.every(leaf => leaf >> cell.level === block)) continue
      if (cell.block !== undefined && cell.block !== block) continue
      if (cell.block === undefined) {
        const maximalLevel = findMaximalLevel(cell.level, block)
        if (maximalLevel === undefined || cell.isMissing || !cells.isBindable(cell, maximalLevel)) continue
        cells.bind(cell, block)
      }
      cells.addJob(cell, jobId)
      cells.assertReclaimable()
      return cell.guaranteeId
    }
    return undefined
  }

  /** Returns the level of the maximal free block of `bindableBlocks` that contains this block, or undefined if this block is not free. */
  function findMaximalLevel (level: number, block: number): number | undefined {
    if (bindableBlocks.getBlockedCount(level, block) > 0) return undefined
    let maximalLevel = level
    while (maximalLevel < maxLevel && bindableBlocks.getBlockedCount(maximalLevel + 1, block >> (maximalLevel + 1 - level)) === 0) maximalLevel++
    return maximalLevel
  }

  function release (jobId: string): void {
    const allocation = allocations.get(jobId)
    if (allocation === undefined) return
    allocations.delete(jobId)
    for (const leaf of allocation.leaves) {
      occupancy.unblock(leaf)
      jobsAt[leaf] = (jobsAt[leaf] ?? []).filter(other => other !== jobId)
    }
    if (allocation.spec.acceleratorsPerMember === 0) {
      const request = { processors: allocation.spec.processorsPerMember, memoryBytes: allocation.spec.memoryBytesPerMember }
      for (const member of allocation.members) processors.release(member.workerId, request)
    }
    cells.removeJob(jobId)
    cells.assertReclaimable()
  }

  /** Returns the number of leaves for one member: its accelerators, or more if its processors and memory need them; undefined if above 8. */
  function getMemberSize (spec: JobSpec): number | undefined {
    const byProcessors = Math.ceil(spec.processorsPerMember / minProcessorsPerAccelerator)
    const byMemory = Math.ceil(spec.memoryBytesPerMember / minMemoryPerAccelerator)
    const size = 1 << getLevelOf(Math.max(1, spec.acceleratorsPerMember, byProcessors, byMemory))
    return size > 8 ? undefined : size
  }

  function hasAccelerator (leaf: number): boolean {
    const worker = topology.getAt(leaf)
    return worker !== undefined && leaf - worker.start < worker.info.accelerators
  }

  function isInDomain (leaf: number): boolean {
    return hasAccelerator(leaf) && !removed.has((topology.getAt(leaf) as WorkerLeaves).info.workerId)
  }

  function getUsage (): DomainUsage {
    let usable = 0
    let inUse = 0
    let guaranteedInUse = 0
    for (const worker of topology.getWorkers()) {
      if (!unusable.has(worker.info.workerId)) usable += worker.info.accelerators
    }
    for (const [jobId, allocation] of allocations) {
      inUse += allocation.leaves.length
      if (cells.isGuaranteed(jobId)) guaranteedInUse += allocation.leaves.length
    }
    const freeBlocks: Record<number, number> = {}
    for (let level = 0; level <= maxLevel; level++) {
      const count = occupancy.getMaximalBlocks(level).size
      if (count > 0) freeBlocks[1 << level] = count
    }
    return { accelerators: acceleratorCount, usable, inUse, guaranteedInUse, borrowed: inUse - guaranteedInUse, freeBlocks }
  }

  function verify (): void {
    const holders = new Map<number, string>()
    for (const [jobId, allocation] of allocations) {
      if (!cells.isGuaranteed(jobId)) continue
      for (const leaf of allocation.leaves) {
        assert(!holders.has(leaf), `leaf ${leaf} is held by at most one job under a guarantee`)
        holders.set(leaf, jobId)
      }
    }
    for (let leaf = 0; leaf < topology.getLeafCount(); leaf++) {
      const isFree = hasAccelerator(leaf) && !unusable.has(topology.getAt(leaf)?.info.workerId ?? '') && (jobsAt[leaf] ?? []).length === 0
      assert(occupancy.isLeafFree(leaf) === isFree, `the index marks leaf ${leaf} as free exactly when it has no job and its worker is usable`)
    }
    cells.assertReclaimable()
  }
}

function forEachAcceleratorLeaf (worker: WorkerLeaves, visit: (leaf: number) => void): void {
  for (let offset = 0; offset < worker.info.accelerators; offset++) visit(worker.start + offset)
}

function expandBlocks (starts: readonly number[], size: number): number[] {
  return starts.flatMap(start => Array.from({ length: size }, (_, offset) => start + offset))
}
