/** The demo: runs a complete system in one process and shows rules, jobs, requests, a rules edit, shutdowns under load and failures. */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { getAssertionFailureCount } from '../common/assertions.js'
import { createLogger } from '../common/logger.js'
import { createRandom } from '../common/random.js'
import { closeRpcConnections } from '../common/httpRpcClient.js'
import { delay } from '../common/time.js'
import { OperatorMethod } from '../operators/operatorInterface.js'
import type { Confirmations } from '../operators/operatorInterface.js'
import type { RuleEditResult } from '../rules/ruleEditor.js'
import type { RuleSnapshot } from '../rules/ruleReplica.js'
import { startLocalSystem } from '../standins/localSystem.js'
import type { LocalSystem } from '../standins/localSystem.js'
import { answeredOutcome, createLocalSystemClient } from './localSystemClient.js'
import type { RequestResult, LocalSystemClient } from './localSystemClient.js'

/** Approximate duration of the demo, printed at its start. */
export const demoSeconds = 35

const organisations = ['returns', 'wash-plant', 'drivers', 'research']
const urgentStartLimitMs = 2_900
const ruleEffectLimitMs = 9_000
const seed = 7

interface Demo {
  readonly system: LocalSystem
  readonly client: LocalSystemClient
  /** Prints a line of the report. `hasPassed` is the result of the check that the line reports, if any; failed checks are counted. */
  report (text: string, hasPassed?: boolean): void
}

/** Runs the demo and returns the number of failed checks. */
export async function runDemo (print: (line: string) => void): Promise<number> {
  let failedChecks = 0
  const startedAtMs = performance.now()
  const logger = createLogger({ level: 'silent' })
  const domains = ['bangkok', 'chiang-mai', 'phuket'].map(name => ({ name, workers: 8, workersPerRack: 8, endpoints: 4, hosts: name === 'bangkok' ? 3 : 2 }))
  const system = await startLocalSystem({ domains, organisations, logger, seed })
  const demo: Demo = {
    system,
    client: createLocalSystemClient(system, createRandom(seed)),
    report: (text, hasPassed) => {
      if (hasPassed === false) failedChecks++
      const mark = hasPassed === undefined ? ' ' : hasPassed ? '+' : '!'
      print(`${((performance.now() - startedAtMs) / 1_000).toFixed(1).padStart(5)} s ${mark} ${text}`)
    }
  }
  demo.report('three failure domains: 24 workers with 192 accelerators, 12 endpoints, 7 entry hosts')
  try {
    await showRules(demo)
    await showReclaim(demo)
    await showRequests(demo)
    await showEdit(demo)
    await showShutdowns(demo)
    await showFailures(demo)
    demo.report(`invariants asserted at run time: ${getAssertionFailureCount()} violated`, getAssertionFailureCount() === 0)
  } finally {
    await system.stop()
    await closeRpcConnections()
  }
  print(failedChecks === 0 ? 'All checks passed.' : `${failedChecks} check(s) FAILED.`)
  return failedChecks
}

async function showRules (demo: Demo): Promise<void> {
  await waitUntil(async () => demo.system.hosts.size === 7 && isSystemReady(demo.system), 10_000)
  const file = fileURLToPath(new URL('../../examples/ong-jai.rules', import.meta.url))
  const result = await applyRules(demo.system, readFileSync(file, 'utf8'), 0)
  demo.report(`the rules of Ong-Jai Jar Returns are in effect at all hosts after ${result.tookMs} ms`, result.missing === 0 && result.tookMs <= ruleEffectLimitMs)
}

async function showReclaim (demo: Demo): Promise<void> {
  const { client } = demo
  const borrowingJobs = await Promise.all(Array.from({ length: 8 }, (_, index) =>
    client.submit('research', { name: `forecast-${index}`, acceleratorsPerMember: 8, domain: 'bangkok', command: ['run', '6000'] })))
  await Promise.all(borrowingJobs.map(job => client.waitForState('research', job.jobId, ['running'], 10_000)))
  demo.report('research borrows all 64 accelerators of Bangkok with 8 jobs')
  const submittedAtMs = Date.now()
  const gang = await client.submit('returns', { name: 'night-plan', members: 4, acceleratorsPerMember: 8, domain: 'bangkok', urgent: true, priority: 'urgent', command: ['run', '1500'] })
  const running = await client.waitForState('returns', gang.jobId, ['running', 'ended'], 15_000)
  const startMs = (running.startedAtMs ?? Date.now()) - submittedAtMs
  demo.report(`an urgent gang of 4 x 8 reclaims its guaranteed accelerators from the borrowing jobs and runs after ${startMs} ms`, startMs <= urgentStartLimitMs)
  const ended = await client.waitForState('returns', gang.jobId, ['ended'], 15_000)
  demo.report(`the gang ended: ${ended.result}`, ended.result === 'succeeded')
  const results = await Promise.all(borrowingJobs.map(job => client.waitForState('research', job.jobId, ['ended'], 30_000)))
  const preempted = results.filter(job => job.attempt > 1).length
  demo.report(`the ${results.length} borrowing jobs also ended, ${preempted} of them after a checkpoint and a restart`, results.every(job => job.result === 'succeeded'))
  const rejection = await client.submit('research', { members: 128, acceleratorsPerMember: 8, domain: 'bangkok', command: ['run', '1'] }).catch((error: Error) => error.message)
  demo.report('a gang of 128 x 8 is rejected immediately: it is larger than the domain', String(rejection).includes('not-run'))
}

async function showRequests (demo: Demo): Promise<void> {
  const { client } = demo
  const responses = await Promise.all(Array.from({ length: 300 }, (_, index) => client.send('/pickups', { id: `pickup-${index}`, body: 'one crate' })))
  const complete = responses.filter((response, index) => response.outcome === answeredOutcome && response.body.includes(`"pickup-${index}"`))
  demo.report(`${complete.length} of 300 concurrent pickup requests got the complete response to their own request`, complete.length === 300)
  const refundResponses = await Promise.all([1, 2, 3].map(() => client.send('/refunds', { id: 'refund-1', key: 'refund-1' })))
  const runs = countRuns(demo.system, 'refund-1')
  demo.report(`a refund request sent 3 times concurrently ran ${runs} time(s); response statuses: ${refundResponses.map(response => response.status).sort().join(', ')}`, runs === 1)
}

async function showEdit (demo: Demo): Promise<void> {
  const snapshot = await demo.system.connectOperator().call<RuleSnapshot>(OperatorMethod.ShowRules, {})
  const text = snapshot.text.replace('quota research accelerators=64', 'quota research accelerators=48')
  const result = await applyRules(demo.system, text, undefined)
  demo.report(`an edited quota is in effect at all hosts after ${result.tookMs} ms`, result.missing === 0 && result.tookMs <= ruleEffectLimitMs)
  const stale = await applyRules(demo.system, snapshot.text, undefined)
  const currentSnapshot = await demo.system.connectOperator().call<RuleSnapshot>(OperatorMethod.ShowRules, {})
  demo.report(`applying the outdated file again does not revert the edit (${stale.changes} changes)`, currentSnapshot.text.includes('accelerators=48'))
}

async function showShutdowns (demo: Demo): Promise<void> {
  const { system } = demo
  const load = startLoad(demo, 'drain')
  system.endpoints.get('bangkok-e0')?.leave()
  const leaving = system.hosts.get('bangkok-h1')
  await delay(500)
  system.hosts.delete('bangkok-h1')
  system.hostList.remove('bangkok-h1')
  await leaving?.stop()
  const requestResults = await load.stop()
  const failed = requestResults.filter(result => result.outcome !== answeredOutcome)
  demo.report(`an endpoint and an entry host were shut down under load: ${failed.length} of ${requestResults.length} requests failed`, failed.length === 0)
}

async function showFailures (demo: Demo): Promise<void> {
  const { system, client } = demo
  const jobs = await Promise.all(Array.from({ length: 6 }, (_, index) =>
    client.submit('wash-plant', { name: `run-${index}`, members: 2, acceleratorsPerMember: 4, domain: 'chiang-mai', command: ['run', '4000'] })))
  await Promise.all(jobs.map(job => client.waitForState('wash-plant', job.jobId, ['running'], 10_000)))
  const load = startLoad(demo, 'failures')
  const schedulingHost = [...system.hosts.values()].find(host => host.hostId.startsWith('chiang-mai') && host.getScheduler() !== undefined)
  await system.crashHost(schedulingHost?.hostId ?? '')
  system.workers.get('chiang-mai-w00')?.worker.restart()
  system.store.faults.set({ isDown: true })
  demo.report(`host ${schedulingHost?.hostId}, the scheduler of Chiang Mai, is killed, a worker restarts and loses its tasks, the store is down for 5 s`)
  await delay(5_000)
  system.store.faults.set({ isDown: false })
  const results = await Promise.all(jobs.map(job => client.waitForState('wash-plant', job.jobId, ['ended'], 40_000)))
  demo.report(`all ${results.length} gangs ended as a unit: ${results.map(job => job.result).join(', ')}`, results.every(job => job.result === 'succeeded'))
  const requestResults = await load.stop()
  const rejectedButRun = requestResults.filter(result => result.outcome === 'not-run' && countRuns(system, result.id) > 0)
  const repeated = countRefundsRunTwice(system)
  const counts = countOutcomes(requestResults)
  demo.report(`requests meanwhile: ${counts.answered} answered, ${counts.notRun} rejected as not run, ${counts.unknown} unknown; rejected but run: ${rejectedButRun.length}`, rejectedButRun.length === 0)
  demo.report(`non-repeatable requests that ran twice: ${repeated}`, repeated === 0)
}

interface LoadResult extends RequestResult {
  readonly id: string
}

/** Sends pickup and refund requests until `stop` is called. */
function startLoad (demo: Demo, name: string): { stop (): Promise<readonly LoadResult[]> } {
  const requestResults: LoadResult[] = []
  let isStopped = false
  const senders = Array.from({ length: 8 }, (_, senderIndex) => sendRequests(senderIndex))
  return {
    stop: async () => {
      isStopped = true
      await Promise.all(senders)
      return requestResults
    }
  }

  async function sendRequests (senderIndex: number): Promise<void> {
    for (let index = 0; !isStopped; index++) {
      const id = `${name}-${senderIndex}-${index}`
      const isRefund = index % 10 === 0
      const result = await demo.client.send(isRefund ? '/refunds' : '/pickups', { id: isRefund ? `refund-${id}` : id, key: isRefund ? id : undefined })
      requestResults.push({ ...result, id: isRefund ? `refund-${id}` : id })
      await delay(10)
    }
  }
}

async function applyRules (system: LocalSystem, text: string, baseRevision: number | undefined): Promise<{ tookMs: number, missing: number, changes: number }> {
  const operator = system.connectOperator()
  const startedAtMs = performance.now()
  const result = await operator.call<RuleEditResult>(OperatorMethod.ApplyRules, { text, baseRevision, askedBy: 'Malee' })
  const confirmations = await operator.call<Confirmations>(OperatorMethod.Confirmations, { revision: result.revision, waitMs: ruleEffectLimitMs })
  return { tookMs: Math.round(performance.now() - startedAtMs), missing: confirmations.missing.length, changes: result.changes.length }
}

/** Tells whether every domain has a scheduler and every host knows all others. */
function isSystemReady (system: LocalSystem): boolean {
  const hosts = [...system.hosts.values()]
  const domains = new Set(hosts.filter(host => host.getScheduler() !== undefined).map(host => host.hostId.replace(/-h\d+$/, '')))
  return domains.size === 3 && hosts.every(host => host.countPeers() === hosts.length - 1)
}

async function waitUntil (isDone: () => Promise<boolean>, timeoutMs: number): Promise<void> {
  const untilMs = Date.now() + timeoutMs
  while (!await isDone()) {
    if (Date.now() > untilMs) throw new Error('the system was not ready in time')
    await delay(50)
  }
}

function countRuns (system: LocalSystem, id: string): number {
  return [...system.endpoints.values()].reduce((sum, endpoint) => sum + (endpoint.runs.get(id) ?? 0), 0)
}

function countRefundsRunTwice (system: LocalSystem): number {
  const ids = new Set([...system.endpoints.values()].flatMap(endpoint => [...endpoint.runs.keys()].filter(id => id.startsWith('refund'))))
  return [...ids].filter(id => countRuns(system, id) > 1).length
}

function countOutcomes (requestResults: readonly LoadResult[]): { answered: number, notRun: number, unknown: number } {
  const count = (outcome: string): number => requestResults.filter(result => result.outcome === outcome).length
  return { answered: count(answeredOutcome), notRun: count('not-run'), unknown: count('unknown') }
}
