/**
 * A buddy tree over the accelerators of a failure domain. A block of level L is 2^L consecutive leaves, aligned to its size;
 * the index tracks which blocks contain no blocked leaf. Each update takes time proportional to the number of levels.
 */
import { assert } from '../common/assertions.js'

/** The level of the largest block, which has 2^maxLevel leaves. */
export const maxLevel = 10

/** Number of leaves in the largest block. The leaf count of an index is a multiple of it. */
export const maxBlockSize = 1 << maxLevel

/** An index of free blocks. Each leaf counts how often it was blocked, and is free while that count is zero. */
export interface BlockIndex {
  block (leaf: number): void
  unblock (leaf: number): void
  isLeafFree (leaf: number): boolean
  /** Number of blocked leaves inside a block. */
  getBlockedCount (level: number, block: number): number
  /** Number of free blocks of a level, including those inside larger free blocks. */
  getFreeCount (level: number): number
  /** The maximal free blocks of a level: those that lie in no larger free block. */
  getMaximalBlocks (level: number): ReadonlySet<number>
  /** Extends the index to `leafCount` leaves. New leaves start blocked once. */
  grow (leafCount: number): void
  getLeafCount (): number
}

/** Creates an index without leaves. */
export function createBlockIndex (): BlockIndex {
  let blockCounts = new Uint16Array(0)
  const blockedCounts: Int32Array[] = Array.from({ length: maxLevel + 1 }, () => new Int32Array(0))
  const freeCounts = new Int32Array(maxLevel + 1)
  const maximalBlocks: Set<number>[] = Array.from({ length: maxLevel + 1 }, () => new Set<number>())

  return {
    block,
    unblock,
    isLeafFree: leaf => blockCounts[leaf] === 0,
    getBlockedCount: (level, block) => getLevelCounts(level)[block] ?? 0,
    getFreeCount: level => freeCounts[level] ?? 0,
    getMaximalBlocks: level => maximalBlocks[level] as Set<number>,
    grow,
    getLeafCount: () => blockCounts.length
  }

  function getLevelCounts (level: number): Int32Array {
    return blockedCounts[level] as Int32Array
  }

  function block (leaf: number): void {
    const count = blockCounts[leaf] as number
    blockCounts[leaf] = count + 1
    if (count > 0) return
    const top = findLargestFreeLevel(leaf)
    for (let level = 0; level <= maxLevel; level++) {
      const counts = getLevelCounts(level)
      const node = leaf >> level
      if (counts[node] === 0) (freeCounts[level] as number)--
      counts[node] = (counts[node] as number) + 1
    }
    maximalBlocks[top]?.delete(leaf >> top)
    for (let level = 0; level < top; level++) maximalBlocks[level]?.add((leaf >> level) ^ 1)
  }

  function unblock (leaf: number): void {
    const count = blockCounts[leaf] as number
    assert(count > 0, `leaf ${leaf} is unblocked no more often than it was blocked`)
    blockCounts[leaf] = count - 1
    if (count > 1) return
    for (let level = 0; level <= maxLevel; level++) {
      const counts = getLevelCounts(level)
      const node = leaf >> level
      counts[node] = (counts[node] as number) - 1
      if (counts[node] === 0) (freeCounts[level] as number)++
    }
    const top = findLargestFreeLevel(leaf)
    for (let level = 0; level < top; level++) maximalBlocks[level]?.delete((leaf >> level) ^ 1)
    maximalBlocks[top]?.add(leaf >> top)
  }

  /** The level of the largest free block that contains a free leaf. */
  function findLargestFreeLevel (leaf: number): number {
    let level = 0
    while (level < maxLevel && getLevelCounts(level + 1)[leaf >> (level + 1)] === 0) level++
    return level
  }

  function grow (leafCount: number): void {
    assert(leafCount % maxBlockSize === 0 && leafCount >= blockCounts.length, 'an index grows to a multiple of the largest block')
    const previous = blockCounts
    blockCounts = new Uint16Array(leafCount).fill(1)
    blockCounts.set(previous)
    for (let level = 0; level <= maxLevel; level++) {
      const counts = new Int32Array(leafCount >> level).fill(1 << level)
      counts.set(getLevelCounts(level))
      blockedCounts[level] = counts
    }
  }
}

/** Returns the level of the smallest block that holds `leafCount` leaves. */
export function getLevelOf (leafCount: number): number {
  return Math.ceil(Math.log2(Math.max(1, leafCount)))
}
