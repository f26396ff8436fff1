/** A queue that operators send to another service: accepted work that waits must follow it, what runs must stay, and no run may begin by an older configuration than the one that accepted the job. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { delay } from '../common/time.js'
import type { Configuration } from '../configuration/configuration.js'
import { EndKind, JobState } from '../jobs/jobModel.js'
import { createPoolHarness, harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'
import type { PoolHarness, PoolHarnessOptions } from '../testing/poolHarness.js'
import { createPoolSteps } from '../testing/poolSteps.js'

let harness: PoolHarness
let configuration: Configuration
/** The tasks that each worker has started, by service. */
let startsByService: Record<string, string[]>
/** How long stop requests are under way, in ms. */
let stopDelayMs: number
const { run, submit, getState, waitForState } = createPoolSteps(() => harness)

beforeEach(() => {
  jest.useFakeTimers()
  stopDelayMs = 0
})

afterEach(async () => {
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  jest.useRealTimers()
})

const wholeWorker = { cpuMilli: 4_000, memoryMb: 8_000, accelerators: 8 }

function sendQueuesTo (service: string, version: number, names: readonly string[] = ['urgent', 'batch']): Configuration {
  return { ...harnessConfiguration, version, queues: harnessConfiguration.queues.map(queue => names.includes(queue.name) ? { ...queue, service } : queue) }
}

/** Workers 0 and 1 belong to the service `pool`, workers 2 and 3, of another rack, to `new`. */
async function startHarness (options: Partial<PoolHarnessOptions> = {}, hosts = 1): Promise<void> {
  configuration = harnessConfiguration
  startsByService = { pool: [], new: [] }
  const getService = (index: number): string => index < 2 ? 'pool' : 'new'
  harness = createPoolHarness({
    workers: 4,
    workersPerRack: 2,
    getService,
    getConfiguration: () => configuration,
    interceptWorker: (_hostId, workerId, port) => ({
      ...port,
      start: async request => {
        startsByService[getService(Number(workerId.split('-')[1]))]?.push(request.task)
        return await port.start(request)
      },
      stop: async request => {
        if (stopDelayMs > 0) await delay(stopDelayMs)
        await port.stop(request)
      }
    }),
    ...options
  })
  for (let index = 0; index < hosts; index++) {
    harness.addHost(`host-${index}`)
    await run(300)
  }
}

test('a job that waits for room follows its queue to another service, although the rack of its data is not there', async () => {
  await startHarness({ getRun: task => ({ workMs: task.startsWith('filler') ? 60_000 : 500, how: EndKind.Done }) })
  await submit(makeJob('filler', 'urgent', [makeStep({ count: 2, request: wholeWorker, estimateMs: 60_000 })]))
  await submit(makeJob('a', 'batch', [makeStep({ count: 3, request: wholeWorker, dataRack: 'rack-0' }), makeStep({ isGang: true, isSameRack: true, count: 2, request: wholeWorker, after: [0] })]))
  await run(3_000)
  expect(getState('a')).toBe(JobState.Queued)
  configuration = sendQueuesTo('new', 2, ['batch'])
  await waitForState('a', JobState.Complete, 6_000)
  expect(startsByService.pool?.every(task => task.startsWith('filler'))).toBe(true)
})

test('what runs stays where it is, and the next run and the next step begin at the service that the queue names then', async () => {
  await startHarness({ getRun: (task, attempt) => task.endsWith('.0.0') && attempt === 1 ? { workMs: 2_000, how: EndKind.Failed } : { workMs: 2_000, how: EndKind.Done } })
  await submit(makeJob('a', 'batch', [makeStep({ count: 2, hasCheckpoints: true, estimateMs: 2_000 }), makeStep({ after: [0] })]))
  await run(500)
  expect(startsByService.pool).toHaveLength(2)
  configuration = sendQueuesTo('new', 2)
  await waitForState('a', JobState.Complete, 12_000)
  expect(startsByService).toEqual({ pool: ['a.0.0.0', 'a.0.0.1'], new: ['a.0.0.0', 'a.0.1.0'] })
})

test('an attempt that waits for the stop of other work is given up when its queue is sent to another service', async () => {
  stopDelayMs = 1_200
  await startHarness({ getRun: task => ({ workMs: task.startsWith('filler') ? 60_000 : 500, how: EndKind.Done }) })
  await submit(makeJob('filler', 'batch', [makeStep({ count: 2, request: wholeWorker, estimateMs: 60_000 })]))
  await run(500)
  await submit(makeJob('a', 'urgent', [makeStep({ request: wholeWorker })]))
  await run(200)
  expect(getState('a')).toBe(JobState.Active)
  configuration = sendQueuesTo('new', 2, ['urgent'])
  await run(500)
  expect(startsByService.new).toEqual(['a.0.0.0'])
  await waitForState('a', JobState.Complete, 2_000)
  expect(startsByService.pool).not.toContain('a.0.0.0')
})

test('a job whose label the new service lacks waits, and runs where its queue is sent next', async () => {
  await startHarness()
  configuration = sendQueuesTo('new', 2)
  await submit(makeJob('a', 'batch', [makeStep({ requiredLabel: 'rack-0' })]))
  await run(4_000)
  expect(getState('a')).toBe(JobState.Queued)
  configuration = sendQueuesTo('pool', 3)
  await waitForState('a', JobState.Complete, 3_000)
  expect(startsByService).toEqual({ pool: ['a.0.0.0'], new: [] })
})

test('a scheduler that has not read the configuration by which a job was accepted starts it where the accepting host sent it', async () => {
  await startHarness()
  await submit(makeJob('a', 'batch', [makeStep()], { service: 'new', configurationVersion: 2 }))
  await waitForState('a', JobState.Complete, 3_000)
  expect(startsByService).toEqual({ pool: [], new: ['a.0.0.0'] })
})

test('work of a queue that has been removed goes to the service that the queue named last', async () => {
  await startHarness({ getRun: task => ({ workMs: task.startsWith('filler') ? 60_000 : 500, how: EndKind.Done }) })
  await submit(makeJob('filler', 'urgent', [makeStep({ count: 2, request: wholeWorker, estimateMs: 60_000 })]))
  await submit(makeJob('b', 'batch', [makeStep({ request: wholeWorker })]))
  configuration = sendQueuesTo('new', 2, ['batch'])
  harness.setListed('worker-2', false)
  harness.setListed('worker-3', false)
  await run(200)
  configuration = { ...configuration, version: 3, queues: [] }
  await run(200)
  harness.setListed('worker-2', true)
  harness.setListed('worker-3', true)
  await waitForState('b', JobState.Complete, 6_000)
  expect(startsByService.new).toContain('b.0.0.0')
})

test('after a takeover, work that waits is started where its queue is sent', async () => {
  await startHarness({ getRun: task => ({ workMs: task.startsWith('filler') ? 60_000 : 500, how: EndKind.Done }), maxLeaseMs: 6_000 }, 2)
  await submit(makeJob('filler', 'urgent', [makeStep({ count: 2, request: wholeWorker, estimateMs: 60_000 })]))
  await submit(makeJob('a', 'batch', [makeStep({ request: wholeWorker })]))
  await run(500)
  harness.hosts.get(harness.store.peek('leader/scheduler') ?? '')?.crash()
  configuration = sendQueuesTo('new', 2, ['batch'])
  await waitForState('a', JobState.Complete, 8_000)
  expect(startsByService.new).toEqual(['a.0.0.0'])
})
