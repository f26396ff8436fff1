/** The capacity that is left to more urgent work: it follows recent bursts and is given up when they have ended. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createHeadroom } from './headroom.js'

test('what more urgent work has lately used beyond its present use is reserved, until the burst is long over', () => {
  const headroom = createHeadroom()
  headroom.record(new Map([[0, 40], [2, 100]]), 0)
  headroom.record(new Map([[0, 10], [2, 130]]), 1_000)
  expect(headroom.getReserved(2)).toBe(30)
  expect(headroom.getReserved(1)).toBe(30)
  expect(headroom.getReserved(0)).toBe(0)
  headroom.record(new Map([[0, 10], [2, 130]]), 9_000)
  expect(headroom.getReserved(2)).toBe(0)
})

test('the gap between two priorities counts for the lower one, also if none of it runs', () => {
  const headroom = createHeadroom()
  headroom.record(new Map([[0, 10], [1, 50]]), 0)
  headroom.record(new Map([[0, 20]]), 1_000)
  expect(headroom.getReserved(1)).toBe(0)
  expect(headroom.getReserved(2)).toBe(40)
})

test('without more urgent work nothing is reserved, so that capacity is not left idle', () => {
  const headroom = createHeadroom()
  for (let atMs = 0; atMs < 20_000; atMs += 100) headroom.record(new Map([[2, atMs % 700]]), atMs)
  expect(headroom.getReserved(2)).toBe(0)
})

test('use and reserve never exceed the highest recent use by more urgent work, and lower priorities reserve at least as much', () => {
  const samples = fc.array(fc.tuple(fc.nat(3), fc.nat(200), fc.nat(900)), { minLength: 1, maxLength: 40 })
  fc.assert(fc.property(samples, rows => {
    const headroom = createHeadroom()
    let nowMs = 0
    let highest = 0
    for (const [priority, used, elapsedMs] of rows) {
      nowMs += elapsedMs
      highest = Math.max(highest, used)
      headroom.record(new Map([[priority, used]]), nowMs)
      expect(headroom.getReserved(9) + used).toBeLessThanOrEqual(highest)
    }
  }))
})
