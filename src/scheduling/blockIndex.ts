/**
 * A buddy index over accelerators. A block of level L is 2^L neighbouring leaves, aligned to its size;
 * the index knows which blocks hold no blocked leaf. Each change costs a step a level.
 */
import { assert } from '../common/debug.js'

/** The largest block has 2^maxLevel leaves. */
export const maxLevel = 10

/** Leaves in the largest block; the number of leaves is a multiple of it. */
export const maxBlockSize = 1 << maxLevel

/** An index of free blocks. A leaf is free while its number of blockers is zero. */
export interface BlockIndex {
  block (leaf: number): void
  unblock (leaf: number): void
  isLeafFree (leaf: number): boolean
  /** Number of blocked leaves inside a block. */
  getBlockedCount (level: number, block: number): number
  /** Number of aligned free blocks of a level, those inside larger ones included. */
  getFreeCount (level: number): number
  /** The free blocks of a level that lie in no larger free block. */
  getMaximalBlocks (level: number): ReadonlySet<number>
  /** Adds leaves; they start with one blocker each. */
  grow (leafCount: number): void
  getLeafCount (): number
}

/** Creates an index without leaves. */
export function createBlockIndex (): BlockIndex {
  let blockers = new Uint16Array(0)
  const blockedCounts: Int32Array[] = Array.from({ length: maxLevel + 1 }, () => new Int32Array(0))
  const freeCounts = new Int32Array(maxLevel + 1)
  const maximal: Set<number>[] = Array.from({ length: maxLevel + 1 }, () => new Set<number>())

  return {
    block,
    unblock,
    isLeafFree: leaf => blockers[leaf] === 0,
    getBlockedCount: (level, block) => getLevel(level)[block] ?? 0,
    getFreeCount: level => freeCounts[level] ?? 0,
    getMaximalBlocks: level => maximal[level] as Set<number>,
    grow,
    getLeafCount: () => blockers.length
  }

  function getLevel (level: number): Int32Array {
    return blockedCounts[level] as Int32Array
  }

  function block (leaf: number): void {
    const count = blockers[leaf] as number
    blockers[leaf] = count + 1
    if (count > 0) return
    const top = findTopFreeLevel(leaf)
    for (let level = 0; level <= maxLevel; level++) {
      const counts = getLevel(level)
      const node = leaf >> level
      if (counts[node] === 0) (freeCounts[level] as number)--
      counts[node] = (counts[node] as number) + 1
    }
    maximal[top]?.delete(leaf >> top)
    for (let level = 0; level < top; level++) maximal[level]?.add((leaf >> level) ^ 1)
  }

  function unblock (leaf: number): void {
    const count = blockers[leaf] as number
    assert(count > 0, `leaf ${leaf} is unblocked more often than blocked`)
    blockers[leaf] = count - 1
    if (count > 1) return
    for (let level = 0; level <= maxLevel; level++) {
      const counts = getLevel(level)
      const node = leaf >> level
      counts[node] = (counts[node] as number) - 1
      if (counts[node] === 0) (freeCounts[level] as number)++
    }
    const top = findTopFreeLevel(leaf)
    for (let level = 0; level < top; level++) maximal[level]?.delete((leaf >> level) ^ 1)
    maximal[top]?.add(leaf >> top)
  }

  /** The level of the largest free block around a free leaf. */
  function findTopFreeLevel (leaf: number): number {
    let level = 0
    while (level < maxLevel && getLevel(level + 1)[leaf >> (level + 1)] === 0) level++
    return level
  }

  function grow (leafCount: number): void {
    assert(leafCount % maxBlockSize === 0 && leafCount >= blockers.length, 'an index grows by whole blocks')
    const previous = blockers
    blockers = new Uint16Array(leafCount).fill(1)
    blockers.set(previous)
    for (let level = 0; level <= maxLevel; level++) {
      const counts = new Int32Array(leafCount >> level).fill(1 << level)
      counts.set(getLevel(level))
      blockedCounts[level] = counts
    }
  }
}

/** Returns the level of the smallest block that holds so many leaves. */
export function getLevelOf (leafCount: number): number {
  return Math.ceil(Math.log2(Math.max(1, leafCount)))
}
