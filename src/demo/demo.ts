/** The demonstration: a whole system in one process, with jobs, requests, an edit, a drain and failures. */
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { getAssertionFailureCount } from '../common/debug.js'
import { createLogger } from '../common/logger.js'
import { createRandom } from '../common/random.js'
import { closeRpcConnections } from '../common/rpc.js'
import { delay } from '../common/time.js'
import { OperatorMethod } from '../operators/operatorInterface.js'
import type { Confirmations } from '../operators/operatorInterface.js'
import type { RuleEditResult } from '../rules/ruleEditor.js'
import type { RuleSnapshot } from '../rules/ruleReplica.js'
import { startLocalSystem } from '../standins/localSystem.js'
import type { LocalSystem } from '../standins/localSystem.js'
import { answered, createTrialClient } from './trialClient.js'
import type { RequestAnswer, TrialClient } from './trialClient.js'

/** How long the demonstration takes, for its first line. */
export const demoSeconds = 35

const organisations = ['returns', 'wash-plant', 'drivers', 'research']
const urgentStartMs = 2_900
const ruleForceMs = 9_000
const seed = 7

interface Demo {
  readonly system: LocalSystem
  readonly client: TrialClient
  /** Prints a line of the report; a broken promise is counted. */
  note (text: string, isKept?: boolean): void
}

/** Runs the demonstration and returns the number of broken promises. */
export async function runDemo (print: (line: string) => void): Promise<number> {
  let broken = 0
  const startedAtMs = performance.now()
  const logger = createLogger({ level: 'silent' })
  const domains = ['bangkok', 'chiang-mai', 'phuket'].map(name => ({ name, workers: 8, workersPerRack: 8, endpoints: 4, hosts: name === 'bangkok' ? 3 : 2 }))
  const system = await startLocalSystem({ domains, organisations, logger, seed })
  const demo: Demo = {
    system,
    client: createTrialClient(system, createRandom(seed)),
    note: (text, isKept) => {
      if (isKept === false) broken++
      const mark = isKept === undefined ? ' ' : isKept ? '+' : '!'
      print(`${((performance.now() - startedAtMs) / 1_000).toFixed(1).padStart(5)} s ${mark} ${text}`)
    }
  }
  demo.note('three failure domains: 24 workers with 192 accelerators, 12 endpoints, 7 entry hosts')
  try {
    await showRules(demo)
    await showReclaim(demo)
    await showRequests(demo)
    await showEdit(demo)
    await showDrains(demo)
    await showFailures(demo)
    demo.note(`invariants asserted inside the program: ${getAssertionFailureCount()} violated`, getAssertionFailureCount() === 0)
  } finally {
    await system.stop()
    await closeRpcConnections()
  }
  print(broken === 0 ? 'Every promise was kept.' : `${broken} promise(s) BROKEN.`)
  return broken
}

async function showRules (demo: Demo): Promise<void> {
  await waitUntil(async () => demo.system.hosts.size === 7 && hasSchedulers(demo.system), 10_000)
  const file = fileURLToPath(new URL('../../examples/ong-jai.rules', import.meta.url))
  const result = await applyRules(demo.system, readFileSync(file, 'utf8'), 0)
  demo.note(`the rules of Ong-Jai Jar Returns are in force at all hosts after ${result.tookMs} ms`, result.missing === 0 && result.tookMs <= ruleForceMs)
}

async function showReclaim (demo: Demo): Promise<void> {
  const { client } = demo
  const borrowed = await Promise.all(Array.from({ length: 8 }, (_, index) =>
    client.submit('research', { name: `forecast-${index}`, acceleratorsPerMember: 8, domain: 'bangkok', command: ['run', '6000'] })))
  await Promise.all(borrowed.map(job => client.waitForState('research', job.jobId, ['running'], 10_000)))
  demo.note('research borrows all 64 accelerators of Bangkok with 8 jobs')
  const askedAtMs = Date.now()
  const gang = await client.submit('returns', { name: 'night-plan', members: 4, acceleratorsPerMember: 8, domain: 'bangkok', urgent: true, priority: 'urgent', command: ['run', '1500'] })
  const running = await client.waitForState('returns', gang.jobId, ['running', 'ended'], 15_000)
  const startMs = (running.startedAtMs ?? Date.now()) - askedAtMs
  demo.note(`an urgent gang of 4 x 8 reclaims its guarantee from the borrowers and runs after ${startMs} ms`, startMs <= urgentStartMs)
  const ended = await client.waitForState('returns', gang.jobId, ['ended'], 15_000)
  demo.note(`the gang ended: ${ended.result}`, ended.result === 'succeeded')
  const results = await Promise.all(borrowed.map(job => client.waitForState('research', job.jobId, ['ended'], 30_000)))
  const preempted = results.filter(job => job.attempt > 1).length
  demo.note(`the ${results.length} borrowers finished too, ${preempted} of them after a checkpoint and a second start`, results.every(job => job.result === 'succeeded'))
  const refusal = await client.submit('research', { members: 128, acceleratorsPerMember: 8, domain: 'bangkok', command: ['run', '1'] }).catch((error: Error) => error.message)
  demo.note('a gang of 128 x 8 is refused at once: it can never run there', String(refusal).includes('not-run'))
}

async function showRequests (demo: Demo): Promise<void> {
  const { client } = demo
  const pickups = await Promise.all(Array.from({ length: 300 }, (_, index) => client.send('/pickups', { id: `pickup-${index}`, body: 'one crate' })))
  const whole = pickups.filter((answer, index) => answer.outcome === answered && answer.body.includes(`"pickup-${index}"`))
  demo.note(`${whole.length} of 300 pickup bookings at once got the whole answer to their own request`, whole.length === 300)
  const refunds = await Promise.all([1, 2, 3].map(() => client.send('/refunds', { id: 'refund-1', key: 'refund-1' })))
  const runs = countRuns(demo.system, 'refund-1')
  demo.note(`a refund that its caller sent 3 times at once ran ${runs} time(s); answers: ${refunds.map(answer => answer.status).sort().join(', ')}`, runs === 1)
}

async function showEdit (demo: Demo): Promise<void> {
  const snapshot = await demo.system.connectOperator().call<RuleSnapshot>(OperatorMethod.ShowRules, {})
  const text = snapshot.text.replace('quota research accelerators=64', 'quota research accelerators=48')
  const result = await applyRules(demo.system, text, undefined)
  demo.note(`an edited quota is in force at all hosts after ${result.tookMs} ms`, result.missing === 0 && result.tookMs <= ruleForceMs)
  const stale = await applyRules(demo.system, snapshot.text, undefined)
  const now = await demo.system.connectOperator().call<RuleSnapshot>(OperatorMethod.ShowRules, {})
  demo.note(`the file from before, applied again, takes nothing back (${stale.changes} changes)`, now.text.includes('accelerators=48'))
}

async function showDrains (demo: Demo): Promise<void> {
  const { system } = demo
  const load = startLoad(demo, 'drain')
  system.endpoints.get('bangkok-e0')?.leave()
  const leaving = system.hosts.get('bangkok-h1')
  await delay(500)
  system.hosts.delete('bangkok-h1')
  system.hostList.remove('bangkok-h1')
  await leaving?.stop()
  const answers = await load.stop()
  const failed = answers.filter(answer => answer.outcome !== answered)
  demo.note(`an endpoint left and an entry host was stopped under load: ${failed.length} of ${answers.length} requests failed`, failed.length === 0)
}

async function showFailures (demo: Demo): Promise<void> {
  const { system, client } = demo
  const jobs = await Promise.all(Array.from({ length: 6 }, (_, index) =>
    client.submit('wash-plant', { name: `run-${index}`, members: 2, acceleratorsPerMember: 4, domain: 'chiang-mai', command: ['run', '4000'] })))
  await Promise.all(jobs.map(job => client.waitForState('wash-plant', job.jobId, ['running'], 10_000)))
  const load = startLoad(demo, 'failures')
  const scheduling = [...system.hosts.values()].find(host => host.hostId.startsWith('chiang-mai') && host.getScheduler() !== undefined)
  await system.crashHost(scheduling?.hostId ?? '')
  system.workers.get('chiang-mai-w00')?.worker.restart()
  system.store.faults.set({ isDown: true })
  demo.note(`host ${scheduling?.hostId}, which schedules Chiang Mai, is killed, a worker loses its tasks, the store is down for 5 s`)
  await delay(5_000)
  system.store.faults.set({ isDown: false })
  const results = await Promise.all(jobs.map(job => client.waitForState('wash-plant', job.jobId, ['ended'], 40_000)))
  demo.note(`all ${results.length} gangs ended whole: ${results.map(job => job.result).join(', ')}`, results.every(job => job.result === 'succeeded'))
  const answers = await load.stop()
  const untrue = answers.filter(answer => answer.outcome === 'not-run' && countRuns(system, answer.id) > 0)
  const repeated = countRefundsRunTwice(system)
  const counts = countOutcomes(answers)
  demo.note(`requests meanwhile: ${counts.answered} answered, ${counts.notRun} refused as not run, ${counts.unknown} unknown; untrue refusals: ${untrue.length}`, untrue.length === 0)
  demo.note(`non-repeatable requests that ran twice: ${repeated}`, repeated === 0)
}

interface LoadAnswer extends RequestAnswer {
  readonly id: string
}

/** Sends bookings and refunds until it is stopped. */
function startLoad (demo: Demo, name: string): { stop (): Promise<readonly LoadAnswer[]> } {
  const answers: LoadAnswer[] = []
  let isStopped = false
  const senders = Array.from({ length: 8 }, (_, sender) => sendOn(sender))
  return {
    stop: async () => {
      isStopped = true
      await Promise.all(senders)
      return answers
    }
  }

  async function sendOn (sender: number): Promise<void> {
    for (let index = 0; !isStopped; index++) {
      const id = `${name}-${sender}-${index}`
      const isRefund = index % 10 === 0
      const answer = await demo.client.send(isRefund ? '/refunds' : '/pickups', { id: isRefund ? `refund-${id}` : id, key: isRefund ? id : undefined })
      answers.push({ ...answer, id: isRefund ? `refund-${id}` : id })
      await delay(10)
    }
  }
}

async function applyRules (system: LocalSystem, text: string, baseRevision: number | undefined): Promise<{ tookMs: number, missing: number, changes: number }> {
  const operator = system.connectOperator()
  const startedAtMs = performance.now()
  const result = await operator.call<RuleEditResult>(OperatorMethod.ApplyRules, { text, baseRevision, askedBy: 'Malee' })
  const confirmations = await operator.call<Confirmations>(OperatorMethod.Confirmations, { revision: result.revision, waitMs: ruleForceMs })
  return { tookMs: Math.round(performance.now() - startedAtMs), missing: confirmations.missing.length, changes: result.changes.length }
}

/** Every domain has a scheduler, and the hosts know each other. */
function hasSchedulers (system: LocalSystem): boolean {
  const hosts = [...system.hosts.values()]
  const domains = new Set(hosts.filter(host => host.getScheduler() !== undefined).map(host => host.hostId.replace(/-h\d+$/, '')))
  return domains.size === 3 && hosts.every(host => host.countPeers() === hosts.length - 1)
}

async function waitUntil (isDone: () => Promise<boolean>, timeoutMs: number): Promise<void> {
  const untilMs = Date.now() + timeoutMs
  while (!await isDone()) {
    if (Date.now() > untilMs) throw new Error('the system did not come up')
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

function countOutcomes (answers: readonly LoadAnswer[]): { answered: number, notRun: number, unknown: number } {
  const count = (outcome: string): number => answers.filter(answer => answer.outcome === outcome).length
  return { answered: count(answered), notRun: count('not-run'), unknown: count('unknown') }
}
