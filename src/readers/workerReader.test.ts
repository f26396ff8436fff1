/** Which workers a reader asks in the course of one time of reading, and how many at once. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { LeaseRenewal, ListedWorker, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'
import { createWorkerReader } from './workerReader.js'
import type { WorkerReader } from './workerReader.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

const idle: WorkerStatusReport = { clockMs: 1, bornAtMs: 1, running: [], ended: [] }

function makeWorker (index: number): ListedWorker {
  return { workerId: `w-${index}`, address: `w-${index}:1`, service: 's', domain: 'a', bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity: { cpuMilli: 1, memoryMb: 1, accelerators: 1 }, labels: [], rack: '' }
}

/** Creates a reader without peers; `sent` are the epochs of its requests by worker. */
function createReader (readWorkers: () => readonly ListedWorker[], answer: (workerId: string, renewal: LeaseRenewal) => Promise<WorkerStatusReport>): { readonly reader: WorkerReader, readonly sent: Map<string, number[]> } {
  const sent = new Map<string, number[]>()
  const reader = createWorkerReader({
    logger: silentLogger,
    hostId: 'host',
    domain: 'a',
    readPeers: async () => ({ peers: [], isAlone: false }),
    readWorkers: async () => readWorkers(),
    connect: ({ workerId }) => ({
      renewLease: async (renewal: LeaseRenewal) => {
        sent.set(workerId, [...sent.get(workerId) ?? [], renewal.epoch])
        return await answer(workerId, renewal)
      },
      close: () => {}
    }) as unknown as WorkerPort,
    onReport: () => {},
    count: () => {}
  })
  return { reader, sent }
}

// A term that has asked the worker ends while this host reads on: an end that the worker lists afterwards would be read by nobody.
test('a worker that has refused an epoch is asked with the next one', async () => {
  let seenEpoch = 6
  const { reader, sent } = createReader(() => [makeWorker(0)], async (_workerId, { epoch }) => {
    if (epoch < seenEpoch) throw createError(ErrorKind.StaleEpoch, 'a higher epoch has been seen')
    seenEpoch = epoch
    return idle
  })
  reader.begin(5)
  await jest.advanceTimersByTimeAsync(500)
  expect(sent.get('w-0')).toEqual([5])
  reader.begin(7)
  await jest.advanceTimersByTimeAsync(2_000)
  expect(sent.get('w-0')).toContain(7)
  reader.end()
})

// A scheduler that this host cannot reach starts a run on the worker, and is lost: this host still reads, and the run's end would be read by nobody.
test('a worker that was idle under one epoch is asked again under the next one', async () => {
  const { reader, sent } = createReader(() => [makeWorker(0)], async () => idle)
  reader.begin(5)
  await jest.advanceTimersByTimeAsync(500)
  expect(sent.get('w-0')).toEqual([5])
  reader.begin(7)
  await jest.advanceTimersByTimeAsync(2_000)
  expect(sent.get('w-0')).toContain(7)
  reader.end()
})

// Entries that expired while the store was down are back up to two seconds after its return, and the scheduler's lease may have ended with them.
test('a worker whose entry returns to the list while this host reads is asked', async () => {
  let list: readonly ListedWorker[] = [makeWorker(0)]
  const { reader, sent } = createReader(() => list, async () => idle)
  reader.begin(5)
  await jest.advanceTimersByTimeAsync(500)
  list = [makeWorker(0), makeWorker(1)]
  await jest.advanceTimersByTimeAsync(2_000)
  expect([...sent.keys()]).toEqual(['w-0', 'w-1'])
  reader.end()
})

// Guards against a burst of connections and requests when a host begins to read a large domain.
test('at most 48 requests are under way from the start', async () => {
  let active = 0
  let most = 0
  const { reader } = createReader(() => Array.from({ length: 200 }, (_, index) => makeWorker(index)), async () => {
    most = Math.max(most, ++active)
    await new Promise(resolve => { setTimeout(resolve, 100) })
    active--
    return idle
  })
  reader.begin(5)
  await jest.advanceTimersByTimeAsync(3_000)
  expect(most).toBeLessThanOrEqual(48)
  reader.end()
})
