/**
 * `npm run soak -- --seed N --minutes M`: runs the real system over loopback with jobs, requests and rule edits, and
 * injects faults at random times. At the end all faults are cleared, and the responses to callers are compared with
 * what the workers and endpoints ran.
 */
import { parseArgs } from 'node:util'
import { getAssertionFailureCount, getLastAssertionFailure } from '../common/assertions.js'
import { createLogger } from '../common/logger.js'
import { createRandom, tryPickRandom } from '../common/random.js'
import { delay } from '../common/time.js'
import { answeredOutcome, createLocalSystemClient } from '../demo/localSystemClient.js'
import { OperatorMethod } from '../operators/operatorInterface.js'
import type { RuleSnapshot } from '../rules/ruleReplica.js'
import { JobResult } from '../scheduling/jobTypes.js'
import type { JobView } from '../scheduling/jobViews.js'
import { startLocalSystem } from '../standins/localSystem.js'
import type { LocalSystem } from '../standins/localSystem.js'

const domains = ['harju', 'tartu', 'parnu']
const organisations = ['mill', 'haul']
const hostsPerDomain = 2
const workersPerDomain = 8
const endpointsPerDomain = 3
const jobIntervalMs = 250
const editIntervalMs = 3_000
const faultIntervalMs = 1_500
const senderCount = 6
const recoveryTimeoutMs = 240_000
const pollIntervalMs = 500
const maxTraceLines = 80

const initialRules = [
  ...organisations.map(name => `organisation ${name} # soak`),
  'guarantee mill/plan domain=harju accelerators=32 cells=1 # soak',
  'guarantee haul/day domain=tartu accelerators=16 cells=2 # soak',
  'priority normal rank=50 # soak',
  'request pickup path=/pickups repeatable=yes priority=normal timeout-ms=4000 # soak',
  'request refund path=/refunds repeatable=no priority=normal timeout-ms=4000 # soak'
].join('\n')

interface SentRequest {
  readonly id: string
  readonly key: string | undefined
  readonly outcome: string
  readonly status: number
  readonly isOwnResponse: boolean
}

interface SentJob {
  readonly organisation: string
  readonly members: number
  readonly isRepeatable: boolean
  view: JobView | undefined
  outcome: 'accepted' | 'not-run' | 'unknown'
}

const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' }, minutes: { type: 'string', default: '1' }, log: { type: 'string', default: 'silent' } } })
const seed = Number(values.seed)
const random = createRandom(seed)
const requests: SentRequest[] = []
const jobs: SentJob[] = []
const acceptedEdits: string[] = []
const trace: string[] = []
const startedAtMs = Date.now()
let faults = 0
let isRunning = true

const system = await startLocalSystem({
  domains: domains.map(name => ({ name, workers: workersPerDomain, workersPerRack: 8, endpoints: endpointsPerDomain, hosts: hostsPerDomain })),
  organisations,
  logger: createLogger({ level: values.log === 'debug' ? 'debug' : values.log === 'info' ? 'info' : 'silent' }),
  serviceMs: 8,
  leaveNoticeMs: 500,
  seed
})
const client = createLocalSystemClient(system, random)
await applyInitialRules()
const endsAtMs = Date.now() + Number(values.minutes) * 60_000
await Promise.all([
  submitJobs(),
  editRules(),
  injectFaults(),
  ...Array.from({ length: senderCount }, (_, sender) => sendRequests(sender)),
  delay(endsAtMs - Date.now()).then(() => { isRunning = false })
])
await clearFaultsAndWait()
const violations = await checkOutcomes()
printReport(violations)
await system.stop()
process.exit(violations.length === 0 ? 0 : 1)

async function applyInitialRules (): Promise<void> {
  while (true) {
    try {
      await connectOperator().call(OperatorMethod.ApplyRules, { text: initialRules, baseRevision: 0, askedBy: 'soak' })
      return
    } catch {
      await delay(200)
    }
  }
}

function connectOperator (): ReturnType<LocalSystem['connectOperator']> {
  return system.connectOperator()
}

async function submitJobs (): Promise<void> {
  for (let index = 0; isRunning; index++) {
    void submitRandomJob(index)
    if (random() < 0.15) void cancelRandomJob()
    await delay(jobIntervalMs)
  }
}

async function submitRandomJob (index: number): Promise<void> {
  const organisation = tryPickRandom(organisations, random) ?? ''
  const members = tryPickRandom([1, 1, 2, 4, 8], random) ?? 1
  const isRepeatable = random() < 0.7
  const job: SentJob = { organisation, members, isRepeatable, view: undefined, outcome: 'unknown' }
  jobs.push(job)
  const request = {
    name: `j${index}`,
    members,
    acceleratorsPerMember: tryPickRandom([1, 2, 4, 8], random),
    domain: tryPickRandom(domains, random),
    repeatable: isRepeatable,
    urgent: random() < 0.1,
    command: [random() < 0.05 ? 'fail' : 'run', String(Math.floor(random() * 8_000)), random() < 0.1 ? 'ignore-checkpoint' : '']
  }
  try {
    job.view = await client.submit(organisation, request, `key-${seed}-${index}`)
    job.outcome = 'accepted'
  } catch (error) {
    const text = String(error)
    job.outcome = text.includes('"not-run"') || text.includes('ECONNREFUSED') ? 'not-run' : 'unknown'
  }
}

async function cancelRandomJob (): Promise<void> {
  const job = tryPickRandom(jobs.filter(candidate => candidate.view !== undefined), random)
  if (job?.view !== undefined) await client.cancel(job.organisation, job.view.jobId).catch(() => {})
}

async function sendRequests (sender: number): Promise<void> {
  for (let index = 0; isRunning; index++) {
    if (random() < 0.3) {
      const key = `refund-${sender}-${index}`
      await Promise.all(Array.from({ length: 1 + Math.floor(random() * 3) }, (_, repeat) => sendRequest(`${key}-${repeat}`, key)))
    } else {
      await sendRequest(`pickup-${sender}-${index}`, undefined)
    }
    await delay(random() * 30)
  }
}

async function sendRequest (id: string, key: string | undefined): Promise<void> {
  const response = await client.send(key === undefined ? '/pickups' : '/refunds', { id, key, body: 'x'.repeat(Math.floor(random() * 2_000)) })
  const isOwnResponse = response.outcome !== answeredOutcome || response.status !== 200 || response.body.includes(`"id":"${id}"`)
  requests.push({ id, key, outcome: response.outcome, status: response.status, isOwnResponse })
}

async function editRules (): Promise<void> {
  for (let index = 0; isRunning; index++) {
    await delay(editIntervalMs * random())
    const name = `organisation edit-${index}`
    try {
      const snapshot = await connectOperator().call<RuleSnapshot>(OperatorMethod.ShowRules, {})
      await connectOperator().call(OperatorMethod.ApplyRules, { text: `${snapshot.text}${name} # soak\n`, askedBy: 'soak' })
      acceptedEdits.push(name)
    } catch {
      // The edit was rejected or its outcome is unknown, so the check at the end does not expect it in the rules.
    }
  }
}

async function injectFaults (): Promise<void> {
  const actions: readonly (readonly [string, () => Promise<void> | void])[] = [
    ['a host crashes and another starts', crashAndReplaceHost],
    ['a host is stopped and another starts', stopAndReplaceHost],
    ['a worker restarts', () => tryPickRandom([...system.workers.values()], random)?.worker.restart()],
    ['a worker is cut off', () => tryPickRandom([...system.workers.values()], random)?.faults.set({ isDown: true })],
    ['all workers recover', () => system.workers.forEach(worker => worker.faults.set({ isDown: false, failEverything: false, loseAnswers: 0 }))],
    ['a worker fails everything', () => tryPickRandom([...system.workers.values()], random)?.faults.set({ failEverything: true })],
    ['a worker loses responses', () => tryPickRandom([...system.workers.values()], random)?.faults.set({ loseAnswers: 3 })],
    ['the store is down', () => system.store.faults.set({ isDown: true })],
    ['the store recovers', () => system.store.faults.set({ isDown: false, slowMs: 0 })],
    ['the store is slow', () => system.store.faults.set({ slowMs: 400 })],
    ['the store loses responses', () => system.store.faults.set({ loseAnswers: 4 })],
    ['all leases expire', () => system.store.store.expireAllLeases()],
    ['an endpoint fails everything', () => tryPickRandom([...system.endpoints.values()], random)?.faults.set({ failEverything: true })],
    ['an endpoint is down', () => tryPickRandom([...system.endpoints.values()], random)?.faults.set({ isDown: true })],
    ['all endpoints recover', () => system.endpoints.forEach(endpoint => endpoint.faults.set({ isDown: false, failEverything: false }))],
    ['a domain is cut off', () => system.setPartitioned(tryPickRandom(domains, random) ?? '', true)],
    ['all domains are reconnected', () => domains.forEach(domain => system.setPartitioned(domain, false))]
  ]
  while (isRunning) {
    await delay(faultIntervalMs * 2 * random())
    const [text, inject] = tryPickRandom(actions, random) as readonly [string, () => Promise<void> | void]
    faults++
    addTrace(text)
    await inject()
  }
}

async function crashAndReplaceHost (): Promise<void> {
  const hostId = tryPickRandom([...system.hosts.keys()], random) ?? ''
  const domain = hostId.split('-')[0] ?? ''
  await system.crashHost(hostId)
  await delay(random() * 4_000)
  await system.startHost(`${domain}-n${faults}`, domain)
}

async function stopAndReplaceHost (): Promise<void> {
  const hostId = tryPickRandom([...system.hosts.keys()], random) ?? ''
  const domain = hostId.split('-')[0] ?? ''
  const host = system.hosts.get(hostId)
  system.hosts.delete(hostId)
  system.hostList.remove(hostId)
  await system.startHost(`${domain}-n${faults}`, domain)
  await host?.stop()
}

async function clearFaultsAndWait (): Promise<void> {
  addTrace('all faults are cleared')
  domains.forEach(domain => system.setPartitioned(domain, false))
  system.store.faults.set({ isDown: false, slowMs: 0, loseAnswers: 0 })
  system.workers.forEach(worker => worker.faults.set({ isDown: false, failEverything: false, loseAnswers: 0 }))
  system.endpoints.forEach(endpoint => endpoint.faults.set({ isDown: false, failEverything: false }))
  const untilMs = Date.now() + recoveryTimeoutMs
  while (Date.now() < untilMs) {
    await delay(pollIntervalMs)
    await refreshViews()
    if (jobs.every(job => job.outcome !== 'accepted' || job.view?.state === 'ended')) return
  }
}

async function refreshViews (): Promise<void> {
  await Promise.all(jobs.filter(job => job.view !== undefined && job.view.state !== 'ended').map(async job => {
    job.view = await client.waitForState(job.organisation, job.view?.jobId ?? '', ['waiting', 'starting', 'running', 'leaving', 'ended'], 2_000).catch(() => job.view)
  }))
}

async function checkOutcomes (): Promise<readonly string[]> {
  const violationTexts: string[] = []
  for (const request of requests) {
    const runs = countRuns(request.id)
    if (!request.isOwnResponse) violationTexts.push(`${request.id}: the response belongs to another request`)
    if (request.outcome === 'not-run' && runs > 0) violationTexts.push(`${request.id}: rejected as not run, but it ran`)
    if (request.status === 200 && runs === 0) violationTexts.push(`${request.id}: answered, but it did not run`)
    if (request.outcome === answeredOutcome && request.status === 0) violationTexts.push(`${request.id}: the outcome is "answered" without a response`)
  }
  for (const key of new Set(requests.map(request => request.key))) {
    if (key === undefined) continue
    const runs = requests.filter(request => request.key === key).reduce((sum, request) => sum + countRuns(request.id), 0)
    if (runs > 1) violationTexts.push(`${key}: a non-repeatable request ran ${runs} times`)
  }
  for (const job of jobs) violationTexts.push(...checkJob(job))
  await waitForTasksToEnd()
  const liveTasks = countLiveTasks()
  if (liveTasks > 0) violationTexts.push(`${liveTasks} tasks have not ended`)
  violationTexts.push(...await checkRules())
  if (getAssertionFailureCount() > 0) violationTexts.push(`${getAssertionFailureCount()} assertions failed, last: ${getLastAssertionFailure()}`)
  return violationTexts
}

function checkJob (job: SentJob): string[] {
  const violationTexts: string[] = []
  const { view } = job
  if (view === undefined) return violationTexts
  const releases = getReleases(view.jobId)
  const text = `${view.jobId} (${job.members} members, repeatable ${job.isRepeatable}, ${view.state} ${view.result ?? ''} ${view.reason ?? ''}, releases ${releases.join(',')})`
  if (view.state !== 'ended') violationTexts.push(`${text}: an accepted job has not ended`)
  if (!job.isRepeatable && releases.some(count => count > 1)) violationTexts.push(`${text}: a non-repeatable job ran twice`)
  if (view.result === JobResult.Succeeded && releases.filter(count => count > 0).length < job.members) violationTexts.push(`${text}: succeeded, but not all members ran`)
  if (view.result === JobResult.NotRun && releases.length > 0) violationTexts.push(`${text}: ended as not run, but it ran`)
  return violationTexts
}

async function checkRules (): Promise<string[]> {
  const violationTexts: string[] = []
  const untilMs = Date.now() + 20_000
  while (Date.now() < untilMs && new Set([...system.hosts.values()].map(host => host.getRulesRevision())).size > 1) await delay(pollIntervalMs)
  const revisions = [...system.hosts.values()].map(host => host.getRulesRevision())
  if (new Set(revisions).size > 1) violationTexts.push(`hosts have different rule revisions: ${revisions.join(', ')}`)
  const snapshot = await connectOperator().call<RuleSnapshot>(OperatorMethod.ShowRules, {})
  for (const edit of acceptedEdits) if (!snapshot.text.includes(`${edit} `)) violationTexts.push(`the accepted edit "${edit}" is lost`)
  return violationTexts
}

function countRuns (id: string): number {
  let count = 0
  for (const endpoint of system.endpoints.values()) count += endpoint.runs.get(id) ?? 0
  return count
}

function getReleases (jobId: string): number[] {
  const counts: number[] = []
  for (const { worker } of system.workers.values()) {
    for (const [key, count] of worker.releases) {
      if (!key.startsWith(`${jobId}.`)) continue
      const member = Number(key.slice(jobId.length + 1))
      counts[member] = (counts[member] ?? 0) + count
    }
  }
  return counts
}

async function waitForTasksToEnd (): Promise<void> {
  const untilMs = Date.now() + 20_000
  while (Date.now() < untilMs && countLiveTasks() > 0) await delay(pollIntervalMs)
}

function countLiveTasks (): number {
  let count = 0
  for (const { worker } of system.workers.values()) count += worker.getTasks().filter(task => task.state !== 'ended').length
  return count
}

function addTrace (text: string): void {
  trace.push(`${((Date.now() - startedAtMs) / 1_000).toFixed(1)} s ${text}`)
  if (trace.length > maxTraceLines) trace.shift()
}

function printReport (violationTexts: readonly string[]): void {
  const count = (outcome: string): number => requests.filter(request => request.outcome === outcome).length
  const accepted = jobs.filter(job => job.outcome === 'accepted')
  const results = new Map<string, number>()
  for (const job of accepted) results.set(job.view?.result ?? 'none', (results.get(job.view?.result ?? 'none') ?? 0) + 1)
  if (violationTexts.length > 0) console.log([...violationTexts, ...trace].join('\n'))
  console.log(`seed ${seed}: ${requests.length} requests (${count(answeredOutcome)} answered, ${count('not-run')} not run, ${count('unknown')} unknown), ` +
    `${jobs.length} jobs (${accepted.length} accepted: ${[...results].map(([result, number]) => `${number} ${result}`).join(', ')}), ` +
    `${acceptedEdits.length} edits, ${faults} faults, ${violationTexts.length} violations`)
}
