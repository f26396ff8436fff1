/** Ends that workers list while no host schedules: other hosts read them, and the next term applies them, although the worker is gone by then. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { progressPrefix } from '../jobs/jobKeys.js'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'
import type { WorkerPort } from '../workers/workerPort.js'

const workMs = 1_500
const longWorkMs = 30_000
const goneMs = 3_600_000
const startMs = 60
let harness: PoolHarness
const { run, submit, waitForState } = createPoolSteps(() => harness)

beforeEach(() => { jest.useFakeTimers() })

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

/** Creates a pool and its hosts, of which host-0 schedules. The first step of a job takes `workMs`, the second one does not end. */
async function createPool (hosts: number, options: Partial<PoolHarnessOptions> = {}): Promise<void> {
  harness = createPoolHarness({
    workers: 6,
    workersPerRack: 1,
    maxLeaseMs: 6_000,
    isListStored: true,
    hasStandbys: true,
    hasRelayedPolls: true,
    hasEndReaders: true,
    getRun: task => ({ workMs: task.includes('.0.0.') ? workMs : longWorkMs, how: EndKind.Done }),
    ...options
  })
  for (let index = 0; index < hosts; index++) {
    harness.addHost(`host-${index}`)
    await run(500)
  }
  await run(1_500)
}

async function submitTwoSteps (): Promise<string> {
  await submit(makeJob('a', 'batch', [makeStep(), makeStep({ after: [0] })]))
  await run(startMs)
  for (let elapsedMs = 0; elapsedMs < 1_000 && harness.poolState.running.get('a.0.0.0') === undefined; elapsedMs += 10) await run(10)
  const workerId = harness.poolState.running.get('a.0.0.0')?.[0]?.workerId
  if (workerId === undefined) throw new Error('the task has not started')
  return workerId
}

function getScheduling (): string[] {
  return [...harness.hosts.values()].filter(host => host.getTerm()?.isValid() === true).map(({ hostId }) => hostId)
}

function lose (workerId: string): void {
  harness.crashWorker(workerId, { awayMs: goneMs, keepsId: false })
}

function countStarts (task: string): number {
  return harness.poolState.starts.get(task) ?? 0
}

async function waitForStart (task: string, limitMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < limitMs && countStarts(task) === 0; elapsedMs += 50) await run(50)
  expect(countStarts(task)).toBe(1)
}

// The run was waited for until its worker's lease was over, and started again.
test('an end that is listed after the scheduling host was killed is not lost with its worker', async () => {
  await createPool(3)
  const workerId = await submitTwoSteps()
  await run(workMs - startMs - 200)
  harness.hosts.get('host-0')?.crash()
  await run(800)
  lose(workerId)
  await waitForStart('a.0.1.0', 3_000)
  expect(countStarts('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

// The hosts that start know no earlier scheduler, and the key of one is still there.
test.each([true, false])('an end that is listed while all hosts are down is not lost with its worker, directories empty: %s', async hasEmptyDirectories => {
  await createPool(3, { hasEmptyDirectories })
  const workerId = await submitTwoSteps()
  await run(workMs - startMs - 100)
  for (const host of [...harness.hosts.values()]) host.crash()
  await run(600)
  for (const hostId of ['host-0', 'host-1', 'host-2']) harness.addHost(hostId)
  await run(250)
  harness.crashWorker(workerId, { awayMs: 500, keepsId: true })
  await waitForStart('a.0.1.0', 5_000)
  expect(countStarts('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

test('an end that is listed while the scheduling host is frozen is not lost with its worker', async () => {
  await createPool(3, { leaderTtlMs: 2_000 })
  const workerId = await submitTwoSteps()
  await run(workMs - startMs - 200)
  harness.hosts.get('host-0')?.freeze(6_000)
  await run(1_000)
  lose(workerId)
  await waitForStart('a.0.1.0', 3_500)
  await run(5_000)
  expect(countStarts('a.0.0.0')).toBe(1)
  expect(countStarts('a.0.1.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

// The second term ends before it has read anything: the readers go on, and deliver to the third what they had read for the second.
test('an end is not lost with its worker in two series of terms', async () => {
  await createPool(4)
  const workerId = await submitTwoSteps()
  await run(workMs - startMs - 200)
  harness.hosts.get('host-0')?.crash()
  for (let elapsedMs = 0; elapsedMs < 4_000 && getScheduling().length === 0; elapsedMs += 10) {
    if (elapsedMs === 800) lose(workerId)
    await run(10)
  }
  const [second = ''] = getScheduling()
  harness.hosts.get(second)?.crash()
  await waitForStart('a.0.1.0', 5_000)
  expect(countStarts('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

// The term that asks is over when the answer arrives: only the host that relayed the poll has read the end.
test('a host that has relayed a poll delivers what it has read to the next term', async () => {
  await createPool(3, { workerRoundTripMs: 200 })
  const workerId = await submitTwoSteps()
  await run(workMs - startMs - 1_000)
  // Only host-2 reaches the worker, by polls for the scheduling host.
  for (const hostId of ['host-0', 'host-1']) harness.hosts.get(hostId)?.setCutFromWorkers(new Set([workerId]))
  for (let elapsedMs = 0; elapsedMs < 3_000 && harness.poolState.running.get('a.0.0.0')?.length === 1; elapsedMs += 10) await run(10)
  await run(450)
  harness.hosts.get('host-0')?.crash()
  lose(workerId)
  await waitForStart('a.0.1.0', 3_500)
  expect(countStarts('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

// An end that is not a success proves nothing once a later life may carry out a start late, but a success stays one.
test('an end of an earlier life of a worker is applied when the next life has answered', async () => {
  await createPool(3)
  const workerId = await submitTwoSteps()
  await run(workMs - startMs - 200)
  harness.hosts.get('host-0')?.crash()
  await run(800)
  harness.crashWorker(workerId, { awayMs: 100, keepsId: true })
  await waitForStart('a.0.1.0', 3_000)
  expect(countStarts('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

test('a failed run is started again at once although its worker is gone', async () => {
  await createPool(3, { getRun: (_task, attempt) => ({ workMs: attempt === 1 ? workMs : longWorkMs, how: EndKind.Failed }) })
  const workerId = await submitTwoSteps()
  await run(workMs - startMs - 200)
  harness.hosts.get('host-0')?.crash()
  await run(800)
  lose(workerId)
  for (let elapsedMs = 0; elapsedMs < 3_000 && countStarts('a.0.0.0') < 2; elapsedMs += 50) await run(50)
  expect(countStarts('a.0.0.0')).toBe(2)
  expect(harness.poolState.violations).toEqual([])
})

// A worker whose life is over may carry out the start of the failed run again in its next life, which is cut off here: only its own report ends the run.
test('a failed run of an earlier life is not started elsewhere before the next life has answered', async () => {
  await createPool(3, { getRun: () => ({ workMs, how: EndKind.Failed }) })
  const workerId = await submitTwoSteps()
  await run(workMs - startMs - 200)
  harness.hosts.get('host-0')?.crash()
  await run(500)
  harness.crashWorker(workerId, { awayMs: 100, keepsId: true })
  await run(200)
  harness.workers.get(workerId)?.setUnreachable(true)
  await run(2_500)
  expect(getScheduling()).toHaveLength(1)
  expect(countStarts('a.0.0.0')).toBe(1)
  harness.workers.get(workerId)?.setUnreachable(false)
  await run(1_500)
  expect(countStarts('a.0.0.0')).toBe(2)
  expect(harness.poolState.violations).toEqual([])
})

// The end was known from the reader when the worker listed it to the scheduler, so that it seemed to need no write.
test('an end that a reader has delivered is stored before it is acknowledged to the worker', async () => {
  let areWritesHeld = false
  const acknowledged: number[] = []
  await createPool(3, {
    getRun: task => ({ workMs: task.startsWith('a.0.0.') ? workMs : longWorkMs, how: EndKind.Done }),
    interceptStore: (_hostId, client) => ({
      ...client,
      transact: async transaction => {
        while (areWritesHeld && transaction.writes.some(({ key }) => key.startsWith(progressPrefix))) await delay(10)
        return await client.transact(transaction)
      }
    }),
    interceptWorker: (hostId, _workerId, port) => ({
      ...port,
      renewLease: async renewal => {
        if (hostId !== 'host-0' && areWritesHeld) acknowledged.push(renewal.acknowledgedSequence)
        return await port.renewLease(renewal)
      }
    })
  })
  const workerId = await submitTwoSteps()
  // The worker is polled on, since another run is there.
  await submit(makeJob('b', 'batch', [makeStep({ requiredLabel: workerId.replace('worker', 'rack'), estimateMs: 2 * longWorkMs })]))
  await run(workMs - startMs - 200)
  harness.hosts.get('host-0')?.crash()
  areWritesHeld = true
  await run(4_000)
  expect(getScheduling()).toHaveLength(1)
  expect(acknowledged.length).toBeGreaterThan(0)
  expect(acknowledged.filter(sequence => sequence > 0)).toEqual([])
  areWritesHeld = false
  await waitForStart('a.0.1.0', 2_000)
  expect(countStarts('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

test('hosts that start for the first time do not read workers', async () => {
  const requests: string[] = []
  await createPool(4, { interceptReader: (hostId, port) => ({ ...port, renewLease: async renewal => { requests.push(hostId); return await port.renewLease(renewal) } }) })
  expect(requests).toEqual([])
})

test('a gang of which one member is read as done is not started again', async () => {
  await createPool(3)
  await submit(makeJob('a', 'batch', [makeStep({ count: 3, isGang: true, request: { cpuMilli: 40_000, memoryMb: 8_000, accelerators: 8 } }), makeStep({ after: [0] })]))
  await run(startMs)
  const workerIds = [0, 1, 2].map(index => harness.poolState.running.get(`a.0.0.${index}`)?.[0]?.workerId ?? '')
  await run(workMs - startMs - 200)
  harness.hosts.get('host-0')?.crash()
  await run(800)
  for (const workerId of workerIds) lose(workerId)
  await waitForStart('a.0.1.0', 3_000)
  expect([0, 1, 2].map(index => countStarts(`a.0.0.${index}`))).toEqual([1, 1, 1])
  expect(harness.poolState.violations).toEqual([])
})

// A reader's request that is carried out late must not keep a later term, or the life that carries it out, from anything.
test('a request of a reader that a later life carries out late does not disturb the next term', async () => {
  await createPool(3)
  const workerId = await submitTwoSteps()
  await run(500)
  const readers = harness.hosts.size
  const worker = harness.workers.get(workerId)
  const epoch = harness.hosts.get('host-0')?.getTerm()?.epoch ?? 0
  harness.hosts.get('host-0')?.crash()
  await run(300)
  harness.crashWorker(workerId, { awayMs: 200, keepsId: true })
  await run(300)
  for (let count = 0; count < 20; count++) {
    await Promise.all([run(200), worker?.connect().renewLease({ epoch, acknowledgedSequence: 0, waitMs: 0 }).catch(() => undefined)])
  }
  await waitForState('a', JobState.Active, 100)
  await submit(makeJob('b', 'batch', Array.from({ length: 6 }, (_, index) => makeStep({ requiredLabel: `rack-${index}` }))))
  await run(3_000)
  expect(readers).toBe(3)
  expect(Array.from({ length: 6 }, (_, index) => countStarts(`b.0.${index}.0`))).toEqual([1, 1, 1, 1, 1, 1])
  expect(getScheduling()).toHaveLength(1)
  expect(harness.poolState.violations).toEqual([])
})

// Hosts that do not hear from the scheduler read beside it. It must not be refused anything, and no run may start twice.
test.each([400, 1_400])('a scheduler that is frozen for %i ms keeps its term while others read beside it', async frozenMs => {
  await createPool(3, { getRun: () => ({ workMs: 500, how: EndKind.Done }) })
  const { epoch } = harness.hosts.get('host-0')?.getTerm() ?? {}
  for (let index = 0; index < 6; index++) {
    await submit(makeJob(`j${index}`, 'batch', [makeStep({ count: 3 }), makeStep({ after: [0] })]))
    harness.hosts.get('host-0')?.freeze(frozenMs)
    await run(frozenMs + 300)
  }
  await run(4_000)
  if (frozenMs < 500) expect(harness.hosts.get('host-0')?.getTerm()?.epoch).toBe(epoch)
  expect([...harness.poolState.starts.values()].filter(count => count > 1)).toEqual([])
  expect(harness.poolState.violations).toEqual([])
})

// Each time of reading costs requests to all workers of the domain that run something.
test('a scheduler that is slow again and again is read beside ever less often', async () => {
  let requests = 0
  let isSlow = false
  await createPool(3, {
    interceptReader: (_hostId, port) => ({ ...port, renewLease: async renewal => { requests++; return await port.renewLease(renewal) } }),
    interceptPeers: async (address, call) => {
      if (address === 'host-0') await delay(isSlow ? 700 : 0)
      return await call()
    }
  })
  await submitTwoSteps()
  const counts: number[] = []
  for (let round = 0; round < 5; round++) {
    const before = requests
    isSlow = true
    await run(1_500)
    isSlow = false
    await run(1_500)
    counts.push(requests - before)
  }
  expect(counts[0]).toBeGreaterThan(0)
  expect(counts.slice(2)).toEqual([0, 0, 0])
  expect(getScheduling()).toEqual(['host-0'])
})

// Each look at a worker is priced.
test('workers get no requests from hosts that do not schedule while a scheduler answers', async () => {
  const requests = new Map<string, number>()
  const count = (hostId: string): void => { requests.set(hostId, (requests.get(hostId) ?? 0) + 1) }
  const intercept = (hostId: string, port: WorkerPort): WorkerPort => ({ ...port, renewLease: async renewal => { count(hostId); return await port.renewLease(renewal) } })
  await createPool(3, { interceptReader: intercept })
  await submitTwoSteps()
  await run(10_000)
  expect([...requests.keys()]).toEqual([])
  harness.hosts.get('host-0')?.crash()
  await run(500)
  expect([...requests.keys()].sort()).toEqual(['host-1', 'host-2'])
  await run(2_000)
  const before = [...requests.values()]
  await run(10_000)
  expect([...requests.values()]).toEqual(before)
})

// Only the host that scheduled has read the end, and its term ends before it has stored it; the host itself goes on.
test('an end that a scheduler has read and not stored is delivered to the next term', async () => {
  let isCut = false
  const cut = async <T>(call: () => Promise<T>): Promise<T> => {
    if (isCut) throw createError(ErrorKind.StoreUnavailable, 'cut off')
    return await call()
  }
  const listed: string[] = []
  await createPool(3, {
    onEnd: ({ task }) => { listed.push(task) },
    interceptStore: (hostId, client) => hostId !== 'host-0'
      ? client
      : new Proxy(client, {
        get: (target, name: keyof typeof client) => async (...parameters: never[]) => await cut(async () => await (target[name] as (...values: never[]) => Promise<unknown>)(...parameters))
      })
  })
  const workerId = await submitTwoSteps()
  await run(workMs - startMs - 300)
  isCut = true
  for (let elapsedMs = 0; elapsedMs < 800 && listed.length === 0; elapsedMs += 10) await run(10)
  expect(listed).toEqual(['a.0.0.0'])
  await run(150)
  expect(getScheduling()).toEqual(['host-0'])
  lose(workerId)
  await run(2_500)
  isCut = false
  await waitForStart('a.0.1.0', 2_500)
  expect(countStarts('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

// The hosts that read do not hear from the scheduler for long; it starts runs meanwhile on workers that were idle when they were first asked.
test('an end is not lost with its worker if its run was started while other hosts were reading', async () => {
  let isCut = false
  await createPool(3, { isPeerCut: () => isCut })
  isCut = true
  await run(1_500)
  const workerId = await submitTwoSteps()
  await run(workMs - startMs - 200)
  harness.hosts.get('host-0')?.crash()
  isCut = false
  await run(800)
  lose(workerId)
  await waitForStart('a.0.1.0', 4_000)
  expect(countStarts('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})

// The same with a run that is there when the hosts begin to read.
test('an end is not lost with its worker if other hosts were reading beside the scheduler when it was listed', async () => {
  let isCut = false
  await createPool(3, { isPeerCut: () => isCut })
  const workerId = await submitTwoSteps()
  isCut = true
  await run(workMs - startMs - 200)
  harness.hosts.get('host-0')?.crash()
  isCut = false
  await run(800)
  lose(workerId)
  await waitForStart('a.0.1.0', 4_000)
  expect(countStarts('a.0.0.0')).toBe(1)
  expect(harness.poolState.violations).toEqual([])
})
