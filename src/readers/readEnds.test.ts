/** What a host keeps of the ends that it has read, and which workers it reads. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { EndKind } from '../jobs/jobModel.js'
import type { EndedRun, ListedWorker } from '../workers/workerPort.js'
import { selectReaders } from './readerSelection.js'
import { createReadEnds } from './readEnds.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

function makeEnd (sequence: number, fields: Partial<EndedRun> = {}): EndedRun {
  return { sequence, task: `a.0.0.${sequence}`, run: 1, how: EndKind.Done, checkpoint: '', ...fields }
}

function makeReport (ended: readonly EndedRun[], bornAtMs: number | undefined = 1): { clockMs: number, bornAtMs: number | undefined, running: [], ended: readonly EndedRun[] } {
  return { clockMs: 1, bornAtMs, running: [], ended }
}

test('an end is kept once for each life that lists it', () => {
  const ends = createReadEnds()
  expect(ends.add('w', makeReport([makeEnd(1), makeEnd(2)]), 5, 0)).toBe(2)
  expect(ends.add('w', makeReport([makeEnd(1), makeEnd(2)]), 6, 0)).toBe(0)
  expect(ends.add('w', makeReport([makeEnd(1)], 2), 6, 0)).toBe(1)
  expect(ends.add('v', makeReport([makeEnd(1)]), 6, 0)).toBe(1)
})

// A term that has accepted ends may be over before it has stored them.
test('ends are delivered to each term that is not older than their requests', () => {
  const ends = createReadEnds()
  ends.add('w', makeReport([makeEnd(1)]), 5, 0)
  expect(ends.getUndelivered(4)).toEqual([])
  const found = ends.getUndelivered(5)
  expect(found).toHaveLength(1)
  ends.setDelivered(found, 5)
  expect(ends.getUndelivered(5)).toEqual([])
  expect(ends.getUndelivered(6)).toHaveLength(1)
})

test('the number of ends and their age are bounded', () => {
  const ends = createReadEnds()
  for (let worker = 0; worker < 10; worker++) ends.add(`w${worker}`, makeReport(Array.from({ length: 500 }, (_, index) => makeEnd(index + 1))), 5, performance.now())
  const kept = ends.getUndelivered(5)
  expect(kept).toHaveLength(2_000)
  expect(kept.at(-1)?.workerId).toBe('w9')
  jest.advanceTimersByTime(30_001)
  expect(ends.getUndelivered(5)).toEqual([])
})

// One such end would have made its peer refuse each delivery.
test('an end that cannot be delivered is not kept', () => {
  const ends = createReadEnds()
  const odd = [makeEnd(1, { task: '' }), makeEnd(2, { task: 'x'.repeat(201) }), makeEnd(3, { run: 0 }), makeEnd(4, { run: 1.5 }), makeEnd(5, { checkpoint: 'x'.repeat(1_001) }), makeEnd(-1)]
  expect(ends.add('w', makeReport([...odd, makeEnd(6)]), 5, 0)).toBe(1)
  expect(ends.add('w', { ...makeReport([makeEnd(7)]), bornAtMs: undefined }, 5, 0)).toBe(0)
  expect(ends.add('w', makeReport([makeEnd(8)], -1), 5, 0)).toBe(0)
})

function makeWorkers (count: number, domain: string): readonly ListedWorker[] {
  return Array.from({ length: count }, (_, index) => ({ workerId: `${domain}-${index}`, address: `${domain}-${index}:1`, service: 's', domain, bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity: { cpuMilli: 1, memoryMb: 1, accelerators: 1 }, labels: [], rack: '' }))
}

const hosts = Array.from({ length: 7 }, (_, index) => ({ hostId: `edge-${index}`, domain: 'a' }))

function countReaders (workers: readonly ListedWorker[], alive: readonly { readonly hostId: string, readonly domain: string }[]): readonly number[] {
  const assigned = alive.flatMap(own => selectReaders(own, alive.filter(host => host !== own), workers, false))
  return workers.map(({ workerId }) => assigned.filter(worker => worker.workerId === workerId).length)
}

test('each worker is read by two hosts of its domain, and the share of each host is bounded', () => {
  const workers = makeWorkers(41, 'a')
  expect(countReaders(workers, hosts)).toEqual(workers.map(() => 2))
  for (const own of hosts) expect(selectReaders(own, hosts.filter(host => host !== own), workers, false).length).toBeLessThan(24)
})

test('workers of a domain without a host are divided among all hosts, and others are left to the hosts of their domain', () => {
  expect(countReaders(makeWorkers(10, 'b'), hosts)).toEqual(Array.from({ length: 10 }, () => 2))
  expect(selectReaders({ hostId: 'other', domain: 'b' }, hosts, makeWorkers(10, 'a'), false)).toEqual([])
})

test('a host that cannot know which peers are alive reads its whole domain, its own share first', () => {
  const [own = { hostId: '', domain: '' }, ...peers] = hosts
  const workers = makeWorkers(41, 'a')
  const share = selectReaders(own, peers, workers, false)
  const all = selectReaders(own, peers, workers, true)
  expect(all).toHaveLength(41)
  expect(all.slice(0, share.length)).toEqual(share)
  expect(selectReaders(own, [...peers, { hostId: 'other', domain: 'b' }], makeWorkers(10, 'b'), true)).toEqual([])
})
