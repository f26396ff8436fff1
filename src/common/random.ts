/** Random numbers by seed, so that a run can be repeated. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { assert } from './debug.js'

/** Returns a number from 0 up to, but not including, 1. */
export type Random = () => number

/** Creates a source of random numbers from a seed. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** Returns one of the items at random. */
export function pickRandom<T> (items: readonly T[], random: Random): T | undefined {
  return items[Math.floor(random() * items.length)]
}

/** Returns one of the items at random; there must be one. */
export function pickOne<T> (items: readonly T[], random: Random): T {
  const item = pickRandom(items, random)
  assert(item !== undefined, 'there is something to pick from')
  return item
}
