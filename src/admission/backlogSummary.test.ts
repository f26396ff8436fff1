/** What the summary of the backlog contains, and its encoding. Guards against waits that are reported where there is room, and against values that a host cannot read. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'
import { addOccurrence, createAttempt, createTrackedJob, getUnits } from '../jobs/trackedJob.js'
import type { TrackedJob, Unit } from '../jobs/trackedJob.js'
import { createRunTimes } from '../placement/runTimes.js'
import { createWorkerState } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import { encodeBacklog, maxSummaryBytes, tryDecodeBacklog } from './backlogCodec.js'
import { summarizeBacklog } from './backlogSummary.js'
import type { BacklogSummary } from './backlogSummary.js'

const capacity = { cpuMilli: 16_000, memoryMb: 1_000, accelerators: 8 }

function makeWorker (index: number, fields: Partial<WorkerState> = {}): WorkerState {
  const worker = createWorkerState({ workerId: `w${index}`, address: '', service: 'pool', domain: 'a', bornAtMs: 1, isDraining: false, coldLeftMs: 0, capacity, labels: [], rack: 'r' })
  return { ...worker, isReachable: true, ...fields }
}

function summarize (jobs: readonly TrackedJob[], workers: readonly WorkerState[] = [makeWorker(0)], runTimes = createRunTimes()): BacklogSummary {
  return summarizeBacklog({
    epoch: 3,
    unfinishedJobs: jobs,
    workers,
    getQueue: job => harnessConfiguration.queues.find(queue => queue.name === job.spec.queue),
    guaranteedOrganisations: new Set(['mill']),
    runTimes,
    nowMs: 1_000,
    unixNowMs: 5
  })
}

/** A job of single tasks with one accelerator and one core each, 4 s long. */
function makeTracked (queue: string, count: number, fields: Parameters<typeof makeStep>[0] = {}, jobFields: Parameters<typeof makeJob>[3] = {}): TrackedJob {
  return createTrackedJob(makeJob(`${queue}${count}`, queue, [makeStep({ count, estimateMs: 4_000, request: { cpuMilli: 1_000, memoryMb: 1, accelerators: 1 }, ...fields })], jobFields), 1_000)
}

function start (unit: Unit | undefined, plannedAtMs: number): void {
  const target = unit as Unit
  createAttempt(target, target.run + 1, Array.from({ length: target.size }, () => ({ workerId: 'w0', bornAtMs: 1 })), plannedAtMs)
}

test('the work and the wait of a priority include more urgent work, and not less urgent work', () => {
  const { services, epoch, atMs } = summarize([makeTracked('batch', 16), makeTracked('urgent', 16)])
  expect([epoch, atMs]).toEqual([3, 5])
  expect(services).toEqual([{
    service: 'pool',
    accelerators: 8,
    cores: 16,
    levels: [
      { priority: 0, acceleratorS: 64, coreS: 64, acceleratorWaitMs: 8_000, coreWaitMs: 0 },
      { priority: 2, acceleratorS: 128, coreS: 128, acceleratorWaitMs: 16_000, coreWaitMs: 8_000 }
    ]
  }])
})

test('waiting work counts at the service that its queue names, and work that has a run where it runs', () => {
  const workers = [makeWorker(0), makeWorker(1)].map((worker, index) => index === 0 ? worker : { ...worker, info: { ...worker.info, service: 'new' } })
  const job = makeTracked('batch', 16)
  job.service = 'new'
  for (const unit of getUnits(job).slice(0, 4)) start(unit, 1_000)
  const work = summarize([job], workers).services.map(({ service, levels }) => [service, levels[0]?.acceleratorS])
  expect(work).toEqual([['pool', 16], ['new', 48]])
})

test('there is no wait while all work has room at once', () => {
  expect(summarize([makeTracked('batch', 8)]).services[0]?.levels[0]?.acceleratorWaitMs).toBe(0)
  expect(summarize([makeTracked('batch', 9)]).services[0]?.levels[0]?.acceleratorWaitMs).toBe(4_500)
})

test('a step whose dependencies are not done is work, but needs no room yet', () => {
  const step = makeStep({ count: 8, estimateMs: 4_000, request: { cpuMilli: 1_000, memoryMb: 1, accelerators: 1 } })
  const chain = createTrackedJob(makeJob('chain', 'batch', [step, { ...step, after: [0] }]), 1_000)
  expect(summarize([chain]).services[0]?.levels[0]).toMatchObject({ acceleratorS: 64, acceleratorWaitMs: 0 })
})

test('running work counts with what remains; finished, cancelled and not yet due work does not count', () => {
  const running = makeTracked('batch', 8)
  for (const unit of getUnits(running)) start(unit, 0)
  const half = makeTracked('batch', 2)
  const [done] = getUnits(half)
  if (done !== undefined) done.isDone = true
  const cancelled = makeTracked('batch', 100)
  cancelled.isCancelRequested = true
  const recurring = makeTracked('batch', 5, {}, { recurrence: { times: 3, firstAtMs: 0, intervalMs: 1_000 } })
  expect(summarize([running, half, cancelled, recurring]).services[0]?.levels[0]?.acceleratorS).toBe(8 * 3 + 4)
  addOccurrence(recurring, 0, 1_000)
  expect(summarize([recurring]).services[0]?.levels[0]?.acceleratorS).toBe(20)
})

test('service tasks take capacity and are no work; draining, unlisted and unreachable workers are no capacity; quarantined ones are', () => {
  const service = makeTracked('batch', 2, { isService: true })
  start(getUnits(service)[0], 0)
  const drainingInfo = { ...makeWorker(1).info, isDraining: true }
  const workers = [makeWorker(0), makeWorker(1, { info: drainingInfo }), makeWorker(2, { isListed: false }), makeWorker(3, { isReachable: false }), makeWorker(4, { isQuarantined: true })]
  const [backlog] = summarize([service], workers).services
  expect([backlog?.accelerators, backlog?.cores]).toEqual([15, 31])
  expect(backlog?.levels[0]?.acceleratorS).toBe(0)
  expect(summarize([makeTracked('batch', 100)], []).services).toEqual([])
})

test('the use of guarantees and the mean run times are included', () => {
  const runTimes = createRunTimes()
  for (let run = 0; run < 20; run++) runTimes.recordRun('urgent', 4_000, 6_000)
  const { urgentAccelerators, meanRunMs } = summarize([makeTracked('urgent', 16), makeTracked('urgent', 3, {}, { organisation: 'none' }), makeTracked('batch', 9)], [makeWorker(0)], runTimes)
  expect(urgentAccelerators).toEqual(new Map([['mill', 16]]))
  expect(meanRunMs).toEqual(new Map([['urgent', 6_000]]))
})

const name = fc.string({ maxLength: 12 })
const wait = fc.nat(1_000_000)
const summaryArbitrary: fc.Arbitrary<BacklogSummary> = fc.record({
  epoch: fc.nat(),
  atMs: fc.nat(),
  services: fc.uniqueArray(fc.record({
    service: name,
    accelerators: wait,
    cores: wait,
    levels: fc.array(fc.record({ priority: fc.nat(50), acceleratorS: wait, coreS: wait, acceleratorWaitMs: wait, coreWaitMs: wait }), { maxLength: 20 })
  }), { selector: ({ service }) => service, maxLength: 40 }),
  urgentAccelerators: fc.array(fc.tuple(name, wait), { maxLength: 300 }).map(entries => new Map(entries)),
  meanRunMs: fc.array(fc.tuple(name, wait), { maxLength: 300 }).map(entries => new Map(entries))
})

test('an encoded summary is at most 4 KB; what it leaves out can only lead to acceptance', () => {
  fc.assert(fc.property(summaryArbitrary, summary => {
    const text = encodeBacklog(summary)
    expect(Buffer.byteLength(text)).toBeLessThanOrEqual(maxSummaryBytes)
    const decoded = tryDecodeBacklog(text) as BacklogSummary
    expect(decoded.epoch).toBe(summary.epoch)
    for (const backlog of decoded.services) expect(summary.services.find(({ service }) => service === backlog.service)?.levels.slice(0, backlog.levels.length)).toEqual(backlog.levels)
    for (const [organisation, used] of decoded.urgentAccelerators) expect(summary.urgentAccelerators.get(organisation)).toBe(used)
    if (decoded.services.length > 0) expect(decoded.meanRunMs).toEqual(summary.meanRunMs)
  }), { numRuns: 200 })
})

test('a summary of the present deployments is encoded without loss', () => {
  const levels = [0, 1, 2].map(priority => ({ priority, acceleratorS: 123_456, coreS: 1_234_567, acceleratorWaitMs: 123_456, coreWaitMs: 12_345 }))
  const summary: BacklogSummary = {
    epoch: 123_456_789,
    atMs: 1_796_400_000_000,
    services: ['train', 'infer', 'render'].map(service => ({ service, accelerators: 1_968, cores: 60_000, levels })),
    urgentAccelerators: new Map(Array.from({ length: 10 }, (_, index) => [`organisation-${index}`, 128])),
    meanRunMs: new Map(Array.from({ length: 30 }, (_, index) => [`r-7whr4v${index}`, 6_543]))
  }
  expect(tryDecodeBacklog(encodeBacklog(summary))).toEqual(summary)
})

test('an unreadable value is not decoded', () => {
  const valid = JSON.parse(encodeBacklog(summarize([]))) as object
  for (const value of ['', 'null', '[]', '{', '{}', JSON.stringify({ ...valid, epoch: -1 }), JSON.stringify({ ...valid, services: [['pool', 1, 1, [[0, 1, 1, null, 1]]]] }), `${JSON.stringify(valid)}${' '.repeat(maxSummaryBytes)}`]) {
    expect(tryDecodeBacklog(value)).toBeUndefined()
  }
  fc.assert(fc.property(fc.string(), value => { tryDecodeBacklog(value) }))
})
