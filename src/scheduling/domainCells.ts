/** The accelerators of one failure domain: who holds which, what is lent out, and where work can go. */
import { assert } from '../common/debug.js'
import type { Guarantee } from '../rules/ruleSet.js'
import { createBlockIndex, getLevelOf, maxLevel } from './blockIndex.js'
import { createGuaranteeCells } from './guaranteeCells.js'
import type { GuaranteeCell, GuaranteeShortage } from './guaranteeCells.js'
import { Adjacency } from './jobTypes.js'
import type { JobSpec } from './jobTypes.js'
import { createPlacementSearch, FitChoice, getGangLevel } from './placementSearch.js'
import type { PreemptionCost } from './placementSearch.js'
import { createProcessorPool, sharedPart } from './processorPool.js'
import { createTopology } from './topology.js'
import type { WorkerLeaves } from './topology.js'
import type { WorkerInfo } from './workerTypes.js'

/** The place of one member: a worker, and the numbers of its accelerators. */
export interface MemberPlacement {
  readonly workerId: string
  readonly accelerators: readonly number[]
}

/** The place of a job. A job without a guarantee id holds borrowed accelerators and can be preempted. */
export interface Placement {
  readonly jobId: string
  readonly guaranteeId?: string
  readonly members: readonly MemberPlacement[]
  /** Jobs that still hold some of these accelerators and have to leave first. */
  readonly victims: readonly string[]
}

/** The accelerators of one failure domain. */
export interface DomainCells {
  addWorkers (workers: readonly WorkerInfo[]): void
  setUsable (workerId: string, isUsable: boolean): void
  isUsable (workerId: string): boolean
  /** Tells the domain that a worker has left for good, or is back. */
  setGone (workerId: string, isGone: boolean): void
  setGuarantees (guarantees: readonly Guarantee[]): readonly string[]
  /** Says why a job could never run here, even with nothing else running. */
  getImpossibleReason (spec: JobSpec): string | undefined
  /** Places a job under its organisation's guarantee, preempting borrowed work. */
  tryPlaceGuaranteed (spec: JobSpec, cost: PreemptionCost, avoid?: ReadonlySet<string>): Placement | undefined
  /** Places a job on accelerators that are free or, where `cost` allows it, held by others that can be preempted. */
  tryPlaceBorrowed (spec: JobSpec, cost?: PreemptionCost, avoid?: ReadonlySet<string>): Placement | undefined
  /** Takes over a job that runs already. Returns whether it could be put under its guarantee. */
  adopt (spec: JobSpec, members: readonly MemberPlacement[], guaranteeId: string | undefined): boolean
  /** Notes one more member of a job that was taken over. */
  extend (jobId: string, member: MemberPlacement): void
  /** Puts a running job under its organisation's guarantee where it stands, if that fits. */
  tryPromote (jobId: string): string | undefined
  vacate (jobId: string): void
  isGuaranteed (jobId: string): boolean
  getShortages (): readonly GuaranteeShortage[]
  getUsage (): DomainUsage
  getCellsOf (organisation: string): readonly GuaranteeCell[]
  /** Checks the reserve from scratch, for tests and randomised runs. */
  verify (): void
}

/** How a domain's accelerators are used. */
export interface DomainUsage {
  readonly accelerators: number
  readonly usable: number
  readonly inUse: number
  readonly guaranteedInUse: number
  readonly borrowed: number
  /** Free blocks of each size that lie in no larger free block. */
  readonly freeBlocks: Readonly<Record<number, number>>
}

interface Allocation {
  readonly spec: JobSpec
  readonly leaves: readonly number[]
  readonly members: readonly MemberPlacement[]
}

/** Binding a cell inside a large free block spoils that block for large gangs. */
const splitCostPerLeaf = 0.25
const noWorkers: ReadonlySet<string> = new Set()

/** Creates a domain without workers. */
export function createDomainCells (fit = FitChoice.Best): DomainCells {
  const topology = createTopology()
  const occupancy = createBlockIndex()
  const reserve = createBlockIndex()
  const cells = createGuaranteeCells(reserve)
  const processors = createProcessorPool()
  const search = createPlacementSearch({
    topology,
    occupancy,
    fit,
    getJobsAt: leaf => jobsAt[leaf] ?? [],
    isAvoided: leaf => avoided.size > 0 && avoided.has(topology.getAt(leaf)?.info.workerId ?? ''),
    isTakeable: isOpenForGuarantee
  })
  const allocations = new Map<string, Allocation>()
  const unusable = new Set<string>()
  const gone = new Set<string>()
  /** The jobs that hold or await each leaf; more than one while victims leave. */
  const jobsAt: (string[] | undefined)[] = []
  let acceleratorCount = 0
  let minProcessorsPerAccelerator = Infinity
  let minMemoryPerAccelerator = Infinity
  /** Workers on which the job that is being placed has failed before. */
  let avoided = noWorkers

  return {
    addWorkers,
    setUsable,
    isUsable: workerId => !unusable.has(workerId),
    setGone,
    setGuarantees,
    getImpossibleReason,
    tryPlaceGuaranteed,
    tryPlaceBorrowed,
    adopt,
    extend,
    tryPromote,
    vacate,
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
      reserve.grow(topology.getLeafCount())
    }
    for (const worker of added) {
      processors.addWorker(worker.info)
      noteShares(worker.info)
      acceleratorCount += worker.info.accelerators
      forEachRealLeaf(worker, leaf => {
        occupancy.unblock(leaf)
        reserve.unblock(leaf)
      })
    }
    cells.refresh()
    cells.assertReclaimable()
  }

  function noteShares (info: WorkerInfo): void {
    if (info.accelerators === 0) return
    minProcessorsPerAccelerator = Math.min(minProcessorsPerAccelerator, info.processors * (1 - sharedPart) / info.accelerators)
    minMemoryPerAccelerator = Math.min(minMemoryPerAccelerator, info.memoryBytes * (1 - sharedPart) / info.accelerators)
  }

  function setUsable (workerId: string, isUsable: boolean): void {
    const worker = topology.get(workerId)
    if (worker === undefined || isUsable === !unusable.has(workerId)) return
    if (isUsable) unusable.delete(workerId)
    else unusable.add(workerId)
    processors.setUsable(workerId, isUsable)
    forEachRealLeaf(worker, leaf => {
      if (isUsable) {
        occupancy.unblock(leaf)
        reserve.unblock(leaf)
      } else {
        occupancy.block(leaf)
        reserve.block(leaf)
      }
    })
    cells.refresh()
    cells.assertReclaimable()
  }

  function setGone (workerId: string, isGone: boolean): void {
    if (isGone) gone.add(workerId)
    else gone.delete(workerId)
  }

  function setGuarantees (guarantees: readonly Guarantee[]): readonly string[] {
    const demoted = cells.setGuarantees(guarantees)
    cells.assertReclaimable()
    return demoted
  }

  function getImpossibleReason (spec: JobSpec): string | undefined {
    if (spec.acceleratorsPerMember === 0) {
      const request = { processors: spec.processorsPerMember, memoryBytes: spec.memoryBytesPerMember }
      return processors.canEverHold(spec.members, request) ? undefined : 'the workers of the domain have too few processors or too little memory'
    }
    const size = getMemberSize(spec)
    if (size === undefined) return 'no worker has so many processors or so much memory beside its accelerators'
    const level = spec.adjacency === Adjacency.Adjacent ? getGangLevel(spec, size) : getLevelOf(size)
    if (level > maxLevel) return `a gang of ${spec.members * size} adjacent accelerators is larger than the largest cell of ${1 << maxLevel}`
    if (spec.adjacency === Adjacency.Anywhere) {
      return countMemberBlocks(size) >= spec.members ? undefined : `the domain has too few accelerators for ${spec.members} members`
    }
    for (let block = 0; block < topology.getLeafCount() >> level; block++) {
      if (search.findMemberBlocks(level, block, size, spec.members, isPresent).length === spec.members) return undefined
    }
    return `the domain has no ${spec.members * spec.acceleratorsPerMember} adjacent accelerators`
  }

  function countMemberBlocks (size: number): number {
    let count = 0
    for (const worker of topology.getWorkers()) {
      if (!gone.has(worker.info.workerId)) count += Math.floor(worker.info.accelerators / size)
    }
    return count
  }

  function tryPlaceGuaranteed (spec: JobSpec, cost: PreemptionCost, avoid: ReadonlySet<string> = noWorkers): Placement | undefined {
    avoided = avoid
    const size = spec.acceleratorsPerMember === 0 ? undefined : getMemberSize(spec)
    if (size === undefined) return undefined
    const leaves: number[] = []
    const used: GuaranteeCell[] = []
    const tied = spec.adjacency === Adjacency.Adjacent
    for (const cell of getCellsToTry(spec.organisation)) {
      const wanted = spec.members - leaves.length / size
      const found = findInCell(cell, spec, size, wanted, tied, cost)
      if (found.length === 0) continue
      cells.addJob(cell, spec.jobId)
      used.push(cell)
      leaves.push(...found)
      if (leaves.length === spec.members * size) return allocate(spec, leaves, size, used[0]?.guaranteeId)
    }
    cells.removeJob(spec.jobId)
    return undefined
  }

  /** Bound cells first, so that a guarantee stays in as few blocks as it can; small cells before large ones. */
  function getCellsToTry (organisation: string): GuaranteeCell[] {
    const own = [...cells.getCellsOf(organisation)]
    own.sort((left, right) =>
      Number(left.block === undefined) - Number(right.block === undefined) || left.level - right.level)
    const firstUnbound = own.findIndex(cell => cell.block === undefined)
    return firstUnbound < 0 ? own : own.filter(cell => !cell.isMissing || cell.block !== undefined)
  }

  /** Leaves for up to `wanted` members in one cell; all or none where the gang must be adjacent. Binds the cell if need be. */
  function findInCell (
    cell: GuaranteeCell, spec: JobSpec, size: number, wanted: number, isWhole: boolean, cost: PreemptionCost
  ): readonly number[] {
    const level = isWhole ? getGangLevel(spec, size) : cell.level
    if (level > cell.level || getLevelOf(size) > cell.level) return []
    if (cell.block === undefined) {
      const block = chooseBlockToBind(cell, cost)
      if (block === undefined) return []
      cells.bind(cell, block)
    }
    const first = (cell.block as number) << (cell.level - level)
    const isTakeable = (leaf: number): boolean => isOpenForGuarantee(leaf, cost)
    let best: readonly number[] = []
    let bestCost = Infinity
    for (let block = first; block < first + (1 << (cell.level - level)); block++) {
      const starts = search.findMemberBlocks(level, block, size, wanted, isTakeable, cost)
      if (starts.length === 0 || (isWhole && starts.length < wanted)) continue
      const price = search.getPreemptionCost(starts, size, cost)
      if (starts.length < best.length || price >= bestCost) continue
      best = starts
      bestCost = price
    }
    const leaves = best.flatMap(start => Array.from({ length: size }, (_, offset) => start + offset))
    if (leaves.length === 0) cells.unbindIfEmpty(cell)
    return leaves
  }

  function isOpenForGuarantee (leaf: number, cost: PreemptionCost): boolean {
    const workerId = topology.getAt(leaf)?.info.workerId ?? ''
    if (!isReal(leaf) || avoided.has(workerId) || unusable.has(workerId)) return false
    return (jobsAt[leaf] ?? []).every(jobId => !cells.isGuaranteed(jobId) && cost(jobId) !== undefined)
  }

  /** The cheapest block for an unbound cell, among those that leave room for all other cells. */
  function chooseBlockToBind (cell: GuaranteeCell, cost: PreemptionCost): number | undefined {
    let best: number | undefined
    let bestCost = Infinity
    for (let level = cell.level; level <= maxLevel; level++) {
      if (reserve.getMaximalBlocks(level).size === 0 || !cells.isBindable(cell, level)) continue
      for (const block of search.sampleSubBlocks(reserve, level, cell.level)) {
        const price = getBlockCost(cell.level, block, cost) + splitCostPerLeaf * (1 << level)
        if (price >= bestCost) continue
        best = block
        bestCost = price
      }
    }
    return best
  }

  function getBlockCost (level: number, block: number, cost: PreemptionCost): number {
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
    if (free !== undefined) return allocate(spec, expand(free, size), size, undefined)
    if (cost === undefined || spec.adjacency === Adjacency.Anywhere) return undefined
    const taken = search.findPreemptibleGang(spec, size, cost)
    return taken && allocate(spec, expand(taken, size), size, undefined)
  }

  function placeOnProcessors (spec: JobSpec): Placement | undefined {
    const request = { processors: spec.processorsPerMember, memoryBytes: spec.memoryBytesPerMember }
    const workerIds = processors.tryTake(spec.members, request)
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
    for (const jobId of victims) assert(!cells.isGuaranteed(jobId), 'guaranteed work is never preempted')
    occupy(spec, leaves, members)
    cells.assertReclaimable()
    return { jobId: spec.jobId, guaranteeId, members, victims: [...victims] }
  }

  function occupy (spec: JobSpec, leaves: readonly number[], members: readonly MemberPlacement[]): void {
    assert(!allocations.has(spec.jobId), `job ${spec.jobId} has one place`)
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
      for (const member of members) processors.take(member.workerId, request)
    }
    const isKept = guaranteeId !== undefined && tryPromote(spec.jobId) !== undefined
    cells.assertReclaimable()
    return isKept
  }

  function extend (jobId: string, member: MemberPlacement): void {
    const allocation = allocations.get(jobId)
    if (allocation === undefined) return
    const isGuaranteed = cells.isGuaranteed(jobId)
    vacate(jobId)
    adopt(allocation.spec, [...allocation.members, member], isGuaranteed ? '' : undefined)
  }

  function getLeavesOf (member: MemberPlacement, size: number): number[] {
    const worker = topology.get(member.workerId)
    const first = member.accelerators[0]
    if (worker === undefined || first === undefined) return []
    return Array.from({ length: size }, (_, offset) => worker.start + first + offset).filter(isReal)
  }

  /** Binds or joins a cell around the leaves that the job already holds. */
  function tryPromote (jobId: string): string | undefined {
    const allocation = allocations.get(jobId)
    const firstLeaf = allocation?.leaves[0]
    if (allocation === undefined || firstLeaf === undefined || cells.isGuaranteed(jobId)) return undefined
    for (const cell of cells.getCellsOf(allocation.spec.organisation)) {
      const block = firstLeaf >> cell.level
      if (!allocation.leaves.every(leaf => leaf >> cell.level === block)) continue
      if (cell.block !== undefined && cell.block !== block) continue
      if (cell.block === undefined) {
        const maximal = findMaximalLevel(cell.level, block)
        if (maximal === undefined || cell.isMissing || !cells.isBindable(cell, maximal)) continue
        cells.bind(cell, block)
      }
      cells.addJob(cell, jobId)
      cells.assertReclaimable()
      return cell.guaranteeId
    }
    return undefined
  }

  /** The level of the free block of the reserve that holds this block. */
  function findMaximalLevel (level: number, block: number): number | undefined {
    if (reserve.getBlockedCount(level, block) > 0) return undefined
    let maximal = level
    while (maximal < maxLevel && reserve.getBlockedCount(maximal + 1, block >> (maximal + 1 - level)) === 0) maximal++
    return maximal
  }

  function vacate (jobId: string): void {
    const allocation = allocations.get(jobId)
    if (allocation === undefined) return
    allocations.delete(jobId)
    for (const leaf of allocation.leaves) {
      occupancy.unblock(leaf)
      jobsAt[leaf] = (jobsAt[leaf] ?? []).filter(other => other !== jobId)
    }
    if (allocation.spec.acceleratorsPerMember === 0) {
      const request = { processors: allocation.spec.processorsPerMember, memoryBytes: allocation.spec.memoryBytesPerMember }
      for (const member of allocation.members) processors.giveBack(member.workerId, request)
    }
    cells.removeJob(jobId)
    cells.assertReclaimable()
  }

  /** Leaves of one member: enough accelerators to bring the processors and memory that it asks for. */
  function getMemberSize (spec: JobSpec): number | undefined {
    const byProcessors = Math.ceil(spec.processorsPerMember / minProcessorsPerAccelerator)
    const byMemory = Math.ceil(spec.memoryBytesPerMember / minMemoryPerAccelerator)
    const size = 1 << getLevelOf(Math.max(1, spec.acceleratorsPerMember, byProcessors, byMemory))
    return size > 8 ? undefined : size
  }

  function isReal (leaf: number): boolean {
    const worker = topology.getAt(leaf)
    return worker !== undefined && leaf - worker.start < worker.info.accelerators
  }

  function isPresent (leaf: number): boolean {
    return isReal(leaf) && !gone.has((topology.getAt(leaf) as WorkerLeaves).info.workerId)
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
        assert(!holders.has(leaf), `leaf ${leaf} is held by one guaranteed job`)
        holders.set(leaf, jobId)
      }
    }
    for (let leaf = 0; leaf < topology.getLeafCount(); leaf++) {
      const isFree = isReal(leaf) && !unusable.has(topology.getAt(leaf)?.info.workerId ?? '') && (jobsAt[leaf] ?? []).length === 0
      assert(occupancy.isLeafFree(leaf) === isFree, `the index of leaf ${leaf} agrees with its jobs`)
    }
    cells.assertReclaimable()
  }
}

function forEachRealLeaf (worker: WorkerLeaves, visit: (leaf: number) => void): void {
  for (let offset = 0; offset < worker.info.accelerators; offset++) visit(worker.start + offset)
}

function expand (starts: readonly number[], size: number): number[] {
  return starts.flatMap(start => Array.from({ length: size }, (_, offset) => start + offset))
}
