/** Searches a domain for blocks: free ones, and ones that can be cleared. */
import { getLevelOf, maxLevel } from './blockIndex.js'
import type { BlockIndex } from './blockIndex.js'
import type { JobSpec } from './jobTypes.js'
import type { Topology } from './topology.js'

/**
 * What it costs to preempt a job. Undefined forbids it.
 */
export type PreemptionCost = (jobId: string) => number | undefined

/** How free blocks are chosen. */
export enum FitChoice {
  /** The smallest free block that holds the gang, beside the fullest neighbours. */
  Best = 'best',
  /** The first free block. */
  First = 'first'
}

/** What a search needs to know of its domain. */
export interface PlacementSearchHost {
  readonly topology: Topology
  readonly occupancy: BlockIndex
  readonly fit: FitChoice
  getJobsAt (leaf: number): readonly string[]
  /** The job that is being placed has failed on the worker of this leaf. */
  isAvoided (leaf: number): boolean
  /** Whatever holds this leaf can be preempted. */
  isTakeable (leaf: number, cost: PreemptionCost): boolean
}

/** Searches a domain. Places are given by the first leaf of each member. */
export interface PlacementSearch {
  findFreeGang (spec: JobSpec, size: number): readonly number[] | undefined
  findFreeMembers (members: number, size: number): readonly number[] | undefined
  findPreemptibleGang (spec: JobSpec, size: number, cost: PreemptionCost): readonly number[] | undefined
  /** Up to `wanted` members inside one block; cheap places first where a cost is given. */
  findMemberBlocks (
    level: number, block: number, size: number, wanted: number, isUsableLeaf: (leaf: number) => boolean, cost?: PreemptionCost
  ): number[]
  /** What it costs to clear some blocks of `size` leaves; infinite where that is not possible. */
  getPreemptionCost (starts: readonly number[], size: number, cost: PreemptionCost): number
  /** Some blocks of `level` inside the free blocks of `maximalLevel` that lie in no larger one. */
  sampleSubBlocks (index: BlockIndex, maximalLevel: number, level: number): Iterable<number>
}

const maxCandidates = 48

/** Creates the search of a domain. */
export function createPlacementSearch (host: PlacementSearchHost): PlacementSearch {
  const { topology, occupancy } = host
  let nextCandidate = 0

  return { findFreeGang, findFreeMembers, findPreemptibleGang, findMemberBlocks, getPreemptionCost, sampleSubBlocks }

  function getPreemptionCost (starts: readonly number[], size: number, cost: PreemptionCost): number {
    const seen = new Set<string>()
    let sum = 0
    for (const start of starts) {
      for (let leaf = start; leaf < start + size; leaf++) {
        for (const jobId of host.getJobsAt(leaf)) {
          if (seen.has(jobId)) continue
          seen.add(jobId)
          sum += cost(jobId) ?? Infinity
        }
      }
    }
    return sum
  }

  /** Best fit: the smallest free block that holds the gang, beside the fullest neighbours. */
  function findFreeGang (spec: JobSpec, size: number): readonly number[] | undefined {
    const level = getGangLevel(spec, size)
    if (host.fit === FitChoice.First) return findFirstFree(spec, size, level)
    for (let maximal = level; maximal <= maxLevel; maximal++) {
      let best: readonly number[] | undefined
      let bestFullness = -1
      for (const block of sampleSubBlocks(occupancy, maximal, level)) {
        const fullness = getFullness(level, block)
        if (fullness <= bestFullness) continue
        const starts = findMemberBlocks(level, block, size, spec.members, isFreeLeaf)
        if (starts.length < spec.members) continue
        best = starts
        bestFullness = fullness
      }
      if (best !== undefined) return best
    }
    return findInPartlyFreeBlock(spec, size, level)
  }

  function findFirstFree (spec: JobSpec, size: number, level: number): readonly number[] | undefined {
    for (let block = 0; block < topology.getLeafCount() >> level; block++) {
      const starts = findMemberBlocks(level, block, size, spec.members, isFreeLeaf)
      if (starts.length === spec.members) return starts
    }
    return undefined
  }

  /** A gang that does not fill its block can share the block with others. */
  function findInPartlyFreeBlock (spec: JobSpec, size: number, level: number): readonly number[] | undefined {
    const total = spec.members * size
    if (total === 1 << level || level > maxLevel) return undefined
    for (const block of rotateBlocks(level)) {
      if ((1 << level) - occupancy.getBlockedCount(level, block) < total) continue
      const starts = findMemberBlocks(level, block, size, spec.members, isFreeLeaf)
      if (starts.length === spec.members) return starts
    }
    return undefined
  }

  function findFreeMembers (members: number, size: number): readonly number[] | undefined {
    const starts: number[] = []
    const memberLevel = getLevelOf(size)
    for (let maximal = memberLevel; maximal <= maxLevel && starts.length < members; maximal++) {
      for (const block of occupancy.getMaximalBlocks(maximal)) {
        starts.push(...findMemberBlocks(maximal, block, size, members - starts.length, isFreeLeaf))
        if (starts.length === members) return starts
      }
    }
    return undefined
  }

  function findPreemptibleGang (spec: JobSpec, size: number, cost: PreemptionCost): readonly number[] | undefined {
    const level = getGangLevel(spec, size)
    const isTakeable = (leaf: number): boolean => host.isTakeable(leaf, cost)
    let best: readonly number[] | undefined
    let bestCost = Infinity
    for (const block of rotateBlocks(level)) {
      const starts = findMemberBlocks(level, block, size, spec.members, isTakeable, cost)
      if (starts.length < spec.members) continue
      const price = getPreemptionCost(starts, size, cost)
      if (price >= bestCost) continue
      best = starts
      bestCost = price
    }
    return best
  }

  /** Some blocks of a level, starting elsewhere at each call, so that the cost of a decision is bounded. */
  function * rotateBlocks (level: number): Generator<number> {
    if (level > maxLevel) return
    const count = topology.getLeafCount() >> level
    nextCandidate = (nextCandidate + maxCandidates) % Math.max(1, count)
    for (let index = 0; index < Math.min(count, maxCandidates * 4); index++) yield (nextCandidate + index) % count
  }

  /** Some blocks of `level` inside the maximal free blocks of `maximalLevel`. */
  function * sampleSubBlocks (index: BlockIndex, maximalLevel: number, level: number): Generator<number> {
    let count = 0
    const inner = 1 << (maximalLevel - level)
    for (const maximal of index.getMaximalBlocks(maximalLevel)) {
      for (let offset = 0; offset < inner; offset++) {
        yield maximal * inner + offset
        if (++count >= maxCandidates) return
      }
    }
  }

  function getFullness (level: number, block: number): number {
    let fullness = 0
    for (let outer = level + 1; outer <= Math.min(maxLevel, level + 3); outer++) {
      fullness += occupancy.getBlockedCount(outer, block >> (outer - level)) / (1 << outer)
    }
    return fullness
  }

  /** The first leaves of up to `wanted` members inside a block; cheap places first where a cost is given. */
  function findMemberBlocks (
    level: number, block: number, size: number, wanted: number, isUsableLeaf: (leaf: number) => boolean, cost?: PreemptionCost
  ): number[] {
    const start = block << level
    const starts: number[] = []
    for (let first = start; first < start + (1 << level); first += size) {
      if ((topology.getAt(first)?.span ?? 0) < size) continue
      let offset = 0
      while (offset < size && isUsableLeaf(first + offset)) offset++
      if (offset === size) starts.push(first)
      if (cost === undefined && starts.length === wanted) return starts
    }
    if (cost !== undefined && starts.length > wanted) {
      starts.sort((left, right) => getPreemptionCost([left], size, cost) - getPreemptionCost([right], size, cost) || left - right)
    }
    return starts.slice(0, wanted)
  }

  function isFreeLeaf (leaf: number): boolean {
    return occupancy.isLeafFree(leaf) && !host.isAvoided(leaf)
  }
}

/** The level of the smallest block that holds a gang whose members take `size` leaves each. */
export function getGangLevel (spec: JobSpec, size: number): number {
  return getLevelOf(spec.members * size)
}
