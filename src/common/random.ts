/** Seeded random numbers, so that a run can be reproduced. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { assert } from './assertions.js'

/** Returns a number in [0, 1). */
export type Random = () => number

/** Creates a random number generator from a seed. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** Returns a random item, or undefined if there are none. */
export function tryPickRandom<T> (items: readonly T[], random: Random): T | undefined {
  return items[Math.floor(random() * items.length)]
}

/** Returns a random item of a non-empty array. */
export function pickRandom<T> (items: readonly T[], random: Random): T {
  const item = tryPickRandom(items, random)
  assert(item !== undefined, 'the array to pick from is not empty')
  return item
}
