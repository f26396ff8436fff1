/**
 * `npm run measure:scheduler`: measures the cost of scheduling one failure domain, at several sizes. The real scheduler
 * runs with in-memory workers and store; traffic is the length of the messages plus typical HTTP headers.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { formatTable } from '../cli/formatJob.js'
import { silentLogger } from '../common/logger.js'
import { createRandom } from '../common/random.js'
import { createRuleSet } from '../rules/ruleSet.js'
import { parseRules } from '../rules/ruleSyntax.js'
import { createPlacementPlanner } from '../scheduling/placementPlanner.js'
import { createDomainAllocator } from '../scheduling/domainAllocator.js'
import { Adjacency } from '../scheduling/jobTypes.js'
import type { JobSpec } from '../scheduling/jobTypes.js'
import { createPolicy } from '../scheduling/policy.js'
import { createScheduler } from '../scheduling/scheduler.js'
import type { Scheduler } from '../scheduling/scheduler.js'
import { getWorkerTiming } from '../scheduling/workerTiming.js'
import type { WorkerInfo, WorkerPort } from '../scheduling/workerTypes.js'
import { createMemoryStore } from '../standins/store.js'
import { createMemoryWorker } from '../standins/worker.js'
import type { MemoryWorker } from '../standins/worker.js'

const sizes = (process.env.SIZES ?? '30,300,1125,4500').split(',').map(Number)
const domain = 'site'
const tasksPerWorker = 13_000 / 1_125
const waitingPerWorker = 2_000 / 1_125
/** Accelerators per worker, by rack: of nine racks, one has 8 per worker, three have one, and five have none (22,000 on 18,000 workers). */
const acceleratorsPerWorkerByRack = [8, 1, 0, 0, 1, 0, 0, 1, 0]
const maxGangSizeLog2 = 5
const workersPerRack = 8
const decisionCount = 2_000
const httpHeaderBytes = 420
const observationMs = 20_000
const organisationCount = 260

interface BenchResult {
  readonly workers: number
  readonly tasks: number
  readonly decisionP50Ms: number
  readonly decisionP99Ms: number
  readonly takeoverMs: number
  readonly residentMb: number
  readonly messagesPerSecond: number
  readonly bytesPerSecond: number
  readonly processorShare: number
}

interface Traffic {
  messages: number
  bytes: number
}

function createWorkers (count: number): WorkerInfo[] {
  return Array.from({ length: count }, (_, index) => ({
    workerId: `w${String(index).padStart(5, '0')}`,
    address: '',
    domain,
    rack: `r${Math.floor(index / workersPerRack)}`,
    processors: 64,
    memoryBytes: 2 ** 38,
    accelerators: acceleratorsPerWorkerByRack[Math.floor(index / workersPerRack) % acceleratorsPerWorkerByRack.length] ?? 0,
    isLeaving: false
  }))
}

/** Creates rules in which up to half of the organisations have a guarantee of one to eight accelerators. */
function createRules (workers: number): ReturnType<typeof createRuleSet> {
  const lines = Array.from({ length: organisationCount }, (_, index) => `organisation o${index} # x`)
  const guaranteed = Math.max(1, Math.min(organisationCount / 2, Math.floor(workers / 12)))
  for (let index = 0; index < guaranteed; index++) {
    lines.push(`guarantee o${index}/g domain=${domain} accelerators=${[1, 2, 1, 8][index % 4]} cells=1 # x`)
  }
  return createRuleSet(parseRules(lines.join('\n')).rules, 1)
}

function createSpec (index: number, random: () => number, isProcessorJob: boolean): JobSpec {
  const members = isProcessorJob ? 1 + Math.floor(random() * 24) : 2 ** Math.floor(random() * (maxGangSizeLog2 + 1))
  return {
    jobId: `${domain}:${index}`,
    organisation: `o${Math.floor(random() * organisationCount)}`,
    domain,
    submittedAtMs: Date.now(),
    name: 'job',
    members,
    acceleratorsPerMember: isProcessorJob ? 0 : 1,
    adjacency: isProcessorJob ? Adjacency.Anywhere : Adjacency.Adjacent,
    processorsPerMember: isProcessorJob ? 4 : 1,
    memoryBytesPerMember: 2 ** 30,
    declaredRunMs: 3_600_000,
    priority: 'normal',
    repeatable: true,
    urgent: false,
    command: ['run', '36000000']
  }
}

/** Measures the placement planner alone: per decision, a job ends, another is submitted, and the planner places the jobs that can start. */
function measureDecisions (workers: number): { readonly p50Ms: number, readonly p99Ms: number } {
  const rules = createRules(workers)
  const allocator = createDomainAllocator()
  allocator.addWorkers(createWorkers(workers))
  allocator.setGuarantees(rules.guarantees)
  const planner = createPlacementPlanner({ allocator, policy: createPolicy(() => rules.weights), getRules: () => rules })
  const random = createRandom(workers)
  const placed: string[] = []
  let nextId = 0
  const submit = (): void => planner.addWaiting(createSpec(nextId++, random, random() < 0.5))
  const decide = (): void => { for (const placement of planner.decide()) placed.push(placement.jobId) }
  while (planner.countWaiting() < waitingPerWorker * workers) {
    for (let index = 0; index < 50; index++) submit()
    decide()
  }
  const times: number[] = []
  for (let index = 0; index < decisionCount; index++) {
    const [jobId = ''] = placed.splice(Math.floor(random() * placed.length), 1)
    const startedAtMs = performance.now()
    planner.remove(jobId)
    submit()
    decide()
    times.push(performance.now() - startedAtMs)
  }
  times.sort((left, right) => left - right)
  return { p50Ms: times[Math.floor(decisionCount * 0.5)] ?? 0, p99Ms: times[Math.floor(decisionCount * 0.99)] ?? 0 }
}

async function measureScheduler (workerCount: number): Promise<Omit<BenchResult, 'decisionP50Ms' | 'decisionP99Ms'>> {
  const workerInfos = createWorkers(workerCount)
  const workers = new Map(workerInfos.map(info => [info.workerId, createMemoryWorker({ accelerators: info.accelerators })]))
  const store = createMemoryStore()
  const rules = createRules(workerCount)
  const traffic: Traffic = { messages: 0, bytes: 0 }
  const startScheduler = (epoch: number): Scheduler => createScheduler({
    domain,
    epoch,
    store,
    logger: silentLogger,
    random: createRandom(epoch),
    getRules: () => rules,
    getWorkers: () => workerInfos,
    connect: info => countTraffic(workers.get(info.workerId) as MemoryWorker, traffic),
    timing: getWorkerTiming(workerCount),
    inheritedRecords: [],
    shareUnwritten: async () => {},
    onSuperseded: () => {}
  })
  const firstScheduler = startScheduler(1)
  await firstScheduler.whenRecovered()
  const random = createRandom(workerCount)
  let tasks = 0
  for (let index = 0; tasks < tasksPerWorker * workerCount; index++) {
    const spec = createSpec(index, random, index % 8 !== 0)
    tasks += spec.members
    await firstScheduler.submit(spec)
  }
  await sleep(3_000)
  firstScheduler.stop()
  globalThis.gc?.()
  const baseMb = process.memoryUsage().rss / 2 ** 20
  const startedAtMs = performance.now()
  const secondScheduler = startScheduler(2)
  await secondScheduler.whenRecovered()
  const takeoverMs = performance.now() - startedAtMs
  await sleep(1_000)
  traffic.messages = 0
  traffic.bytes = 0
  const cpuBefore = process.cpuUsage()
  await sleep(observationMs)
  const cpuUsed = process.cpuUsage(cpuBefore)
  globalThis.gc?.()
  const residentMb = process.memoryUsage().rss / 2 ** 20
  secondScheduler.stop()
  return {
    workers: workerCount,
    tasks,
    takeoverMs,
    residentMb: Math.max(residentMb, baseMb),
    messagesPerSecond: traffic.messages / (observationMs / 1_000),
    bytesPerSecond: traffic.bytes / (observationMs / 1_000),
    processorShare: (cpuUsed.user + cpuUsed.system) / 1_000 / observationMs
  }
}

function countTraffic (worker: MemoryWorker, traffic: Traffic): WorkerPort {
  const count = async <T>(params: unknown, call: Promise<T>): Promise<T> => {
    const result = await call
    traffic.messages++
    traffic.bytes += httpHeaderBytes + JSON.stringify(params).length + JSON.stringify(result ?? true).length
    return result
  }
  return {
    prepare: (epoch, task, leaseMs) => count({ epoch, task, leaseMs }, worker.prepare(epoch, task, leaseMs)),
    commit: (epoch, taskIds) => count({ epoch, taskIds }, worker.commit(epoch, taskIds)),
    release: (epoch, taskIds) => count({ epoch, taskIds }, worker.release(epoch, taskIds)),
    stop: (epoch, taskIds) => count({ epoch, taskIds }, worker.stop(epoch, taskIds)),
    checkpoint: (epoch, taskIds) => count({ epoch, taskIds }, worker.checkpoint(epoch, taskIds)),
    renew: request => count(request, worker.renew(request))
  }
}

const rows: string[][] = []
for (const size of sizes) {
  const { p50Ms, p99Ms } = measureDecisions(size)
  const result: BenchResult = { ...await measureScheduler(size), decisionP50Ms: p50Ms, decisionP99Ms: p99Ms }
  rows.push([
    `| ${result.workers}`,
    `| ${result.tasks}`,
    `| ${result.decisionP50Ms.toFixed(3)}`,
    `| ${result.decisionP99Ms.toFixed(3)}`,
    `| ${result.takeoverMs.toFixed(0)}`,
    `| ${result.residentMb.toFixed(0)}`,
    `| ${result.messagesPerSecond.toFixed(1)}`,
    `| ${result.bytesPerSecond.toFixed(0)}`,
    `| ${(result.processorShare * 100).toFixed(2)} |`
  ])
}
console.log(formatTable([
  ['| workers', '| tasks', '| decision p50 ms', '| p99 ms', '| takeover ms', '| resident MB*', '| messages/s', '| bytes/s', '| processor % |'],
  ['|---', '|---', '|---', '|---', '|---', '|---', '|---', '|---', '|---|'],
  ...rows
]))
console.log('* of the whole process, which includes the in-memory workers and store.')
process.exit(0)
