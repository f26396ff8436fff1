/** Searches a domain for blocks that are free, or that can be freed by preemption. */
import { getLevelOf, maxLevel } from './blockIndex.js'
import type { BlockIndex } from './blockIndex.js'
import type { JobSpec } from './jobTypes.js'
import type { Topology } from './topology.js'

/**
 * Returns the cost of preempting a job, or undefined if it must not be preempted.
 */
export type PreemptionCost = (jobId: string) => number | undefined

/** The strategy for choosing among free blocks. */
export enum FitStrategy {
  /** The smallest free block that holds the gang; of several, the one whose neighbourhood is fullest. */
  Best = 'best',
  /** The first free block that holds the gang. */
  First = 'first'
}

/** The state of a domain that a search reads. */
export interface PlacementSearchHost {
  readonly topology: Topology
  readonly occupancy: BlockIndex
  readonly fit: FitStrategy
  getJobsAt (leaf: number): readonly string[]
  /** Returns whether the job that is being placed has failed on the worker of this leaf. */
  isAvoided (leaf: number): boolean
  /** Returns whether the leaf is free or all jobs on it can be preempted. */
  isFreeOrPreemptible (leaf: number, cost: PreemptionCost): boolean
}

/** Searches a domain for the leaves of a job. Results list the first leaf of each member. */
export interface PlacementSearch {
  findFreeGang (spec: JobSpec, size: number): readonly number[] | undefined
  findFreeMembers (members: number, size: number): readonly number[] | undefined
  findPreemptibleGang (spec: JobSpec, size: number, cost: PreemptionCost): readonly number[] | undefined
  /** Finds leaves for up to `maxMembers` members inside one block. If `cost` is given, prefers those that are cheapest to preempt. */
  findMemberBlocks (
    level: number, block: number, size: number, maxMembers: number, isUsableLeaf: (leaf: number) => boolean, cost?: PreemptionCost
  ): number[]
  /** Returns the cost of freeing blocks of `size` leaves by preemption, or Infinity if that is not possible. */
  getPreemptionCost (starts: readonly number[], size: number, cost: PreemptionCost): number
  /** Yields a bounded number of blocks of `level` inside the maximal free blocks of `maximalLevel`. */
  sampleSubBlocks (index: BlockIndex, maximalLevel: number, level: number): Iterable<number>
}

const maxSampledBlocks = 48

/** Creates the placement search of a domain. */
export function createPlacementSearch (host: PlacementSearchHost): PlacementSearch {
  const { topology, occupancy } = host
  let rotationStart = 0

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

  /** Best fit: the smallest free block that holds the gang; of several, the one whose neighbourhood is fullest. */
  function findFreeGang (spec: JobSpec, size: number): readonly number[] | undefined {
    const level = getGangLevel(spec, size)
    if (host.fit === FitStrategy.First) return findFirstFree(spec, size, level)
    for (let maximalLevel = level; maximalLevel <= maxLevel; maximalLevel++) {
      let best: readonly number[] | undefined
      let bestFullness = -1
      for (const block of sampleSubBlocks(occupancy, maximalLevel, level)) {
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

  /** Finds room for a gang that does not fill a block of its level in a block that other jobs partly use. */
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
    for (let maximalLevel = memberLevel; maximalLevel <= maxLevel && starts.length < members; maximalLevel++) {
      for (const block of occupancy.getMaximalBlocks(maximalLevel)) {
        starts.push(...findMemberBlocks(maximalLevel, block, size, members - starts.length, isFreeLeaf))
        if (starts.length === members) return starts
      }
    }
    return undefined
  }

  function findPreemptibleGang (spec: JobSpec, size: number, cost: PreemptionCost): readonly number[] | undefined {
    const level = getGangLevel(spec, size)
    const isFreeOrPreemptible = (leaf: number): boolean => host.isFreeOrPreemptible(leaf, cost)
    let best: readonly number[] | undefined
    let bestCost = Infinity
    for (const block of rotateBlocks(level)) {
      const starts = findMemberBlocks(level, block, size, spec.members, isFreeOrPreemptible, cost)
      if (starts.length < spec.members) continue
      const totalCost = getPreemptionCost(starts, size, cost)
      if (totalCost >= bestCost) continue
      best = starts
      bestCost = totalCost
    }
    return best
  }

  /** Yields a bounded number of blocks of a level, starting at a different block on each call. The bound limits the cost of a decision. */
  function * rotateBlocks (level: number): Generator<number> {
    if (level > maxLevel) return
    const count = topology.getLeafCount() >> level
    rotationStart = (rotationStart + maxSampledBlocks) % Math.max(1, count)
    for (let index = 0; index < Math.min(count, maxSampledBlocks * 4); index++) yield (rotationStart + index) % count
  }

  /** Yields a bounded number of blocks of `level` inside the maximal free blocks of `maximalLevel`. */
  function * sampleSubBlocks (index: BlockIndex, maximalLevel: number, level: number): Generator<number> {
    let count = 0
    const subBlocksPerBlock = 1 << (maximalLevel - level)
    for (const maximalBlock of index.getMaximalBlocks(maximalLevel)) {
      for (let offset = 0; offset < subBlocksPerBlock; offset++) {
        yield maximalBlock * subBlocksPerBlock + offset
        if (++count >= maxSampledBlocks) return
      }
    }
  }

  /** Sums the fractions of blocked leaves in the next three larger blocks that contain a block. */
  function getFullness (level: number, block: number): number {
    let fullness = 0
    for (let outer = level + 1; outer <= Math.min(maxLevel, level + 3); outer++) {
      fullness += occupancy.getBlockedCount(outer, block >> (outer - level)) / (1 << outer)
    }
    return fullness
  }

  /** Finds leaves for up to `maxMembers` members inside one block. If `cost` is given, prefers those that are cheapest to preempt. */
  function findMemberBlocks (
    level: number, block: number, size: number, maxMembers: number, isUsableLeaf: (leaf: number) => boolean, cost?: PreemptionCost
  ): number[] {
    const start = block << level
    const starts: number[] = []
    for (let first = start; first < start + (1 << level); first += size) {
      if ((topology.getAt(first)?.span ?? 0) < size) continue
      let offset = 0
      while (offset < size && isUsableLeaf(first + offset)) offset++
      if (offset === size) starts.push(first)
      if (cost === undefined && starts.length === maxMembers) return starts
    }
    if (cost !== undefined && starts.length > maxMembers) {
      starts.sort((left, right) => getPreemptionCost([left], size, cost) - getPreemptionCost([right], size, cost) || left - right)
    }
    return starts.slice(0, maxMembers)
  }

  function isFreeLeaf (leaf: number): boolean {
    return occupancy.isLeafFree(leaf) && !host.isAvoided(leaf)
  }
}

/** Returns the level of the smallest block that holds a gang whose members take `size` leaves each. */
export function getGangLevel (spec: JobSpec, size: number): number {
  return getLevelOf(spec.members * size)
}
