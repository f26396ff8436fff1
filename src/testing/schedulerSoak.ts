/** A soak test of the scheduler on a fake clock, randomised by a seed: compares the responses to callers with what the workers ran. */
import { createRandom, tryPickRandom } from '../common/random.js'
import type { Random } from '../common/random.js'
import { createError, ErrorKind, isNotRun, toAppError } from '../errors/errorKinds.js'
import { Adjacency, JobResult } from '../scheduling/jobTypes.js'
import type { JobSpec } from '../scheduling/jobTypes.js'
import type { Scheduler } from '../scheduling/scheduler.js'
import { createFaultInjector, CallFault } from './gate.js'
import type { FaultInjector } from './gate.js'
import { createSchedulerHarness, createJobSpec } from './schedulerHarness.js'

/** The result of a run. An empty list of violations means that every invariant held. */
export interface SoakReport {
  readonly seed: number
  readonly jobs: number
  readonly accepted: number
  readonly rejected: number
  readonly faults: number
  readonly outcomeCounts: Readonly<Record<string, number>>
  readonly violations: readonly string[]
}

/** Advances the fake clock. */
export type Advance = (timeMs: number) => Promise<void>

interface Submission {
  readonly spec: JobSpec
  outcome: 'pending' | 'accepted' | 'not-run' | 'unknown'
}

const workerCount = 16
const stepMs = 250
const stepsPerFault = 14
const stepsPerSubmission = 2
const cancelProbability = 0.08
/** When a gang loses a member, the others are stopped within the duration of a lease, its margin and the calls that follow. */
const maxIncompleteMs = 20_000
const settleMs = 400_000
const maxTraceLines = 60

const ruleSets = [
  'guarantee mill/plan domain=harju accelerators=32 cells=1 # a\nguarantee haul/day domain=harju accelerators=8 cells=2 # b',
  'guarantee mill/plan domain=harju accelerators=64 cells=1 # a',
  'guarantee haul/day domain=harju accelerators=16 cells=2 # b\nquota mill accelerators=64 # c',
  ''
]

/** Runs the scheduler for `steps` steps of a quarter second, clears all faults, lets the jobs end, and checks the outcome of each. */
export async function runSchedulerSoak (seed: number, steps: number, advance: Advance): Promise<SoakReport> {
  const random = createRandom(seed)
  const harness = createSchedulerHarness(workerCount, ruleSets[0] ?? '')
  const submissions = new Map<string, Submission>()
  const violations: string[] = []
  const trace: string[] = []
  const incompleteSinceByJob = new Map<string, number>()
  const replacedSchedulers: Scheduler[] = []
  let active: { scheduler: Scheduler, faultInjector: FaultInjector } = startActive()
  let faults = 0
  const replacedInjectors: FaultInjector[] = []

  for (let step = 0; step < steps; step++) {
    if (step % stepsPerSubmission === 0) submitRandomJob(step)
    if (random() < cancelProbability) cancelRandomJob()
    if (step % stepsPerFault === 0) await injectFault()
    await advance(stepMs)
    checkGangs()
  }
  await clearFaultsAndSettle()
  await checkOutcomes()
  for (const scheduler of [...replacedSchedulers, active.scheduler]) scheduler.stop()
  await advance(1_000)
  return createReport()

  function startActive (): { scheduler: Scheduler, faultInjector: FaultInjector } {
    const fault = tryPickRandom([CallFault.CrashBefore, CallFault.CrashAfter, CallFault.Freeze, CallFault.LoseResponse], random) ?? CallFault.Freeze
    const faultInjector = createFaultInjector(Infinity, fault, () => createError(ErrorKind.AnswerLost, 'the response was lost'), () => addTrace(`fault at a call of the scheduler: ${fault}`))
    return { scheduler: harness.startScheduler(faultInjector), faultInjector }
  }

  function submitRandomJob (step: number): void {
    const spec = createRandomSpec(step, random)
    const entry: Submission = { spec, outcome: 'pending' }
    submissions.set(spec.jobId, entry)
    active.scheduler.submit(spec).then(
      () => { entry.outcome = 'accepted' },
      (error: unknown) => {
        const kind = toAppError(error).kind
        if (kind === ErrorKind.Internal) violations.push(`submit failed with an internal error: ${String(error)}`)
        entry.outcome = isNotRun(error) ? 'not-run' : 'unknown'
      })
  }

  function cancelRandomJob (): void {
    const jobId = tryPickRandom([...submissions.keys()], random)
    if (jobId !== undefined) void active.scheduler.cancel(jobId).catch(() => {})
  }

  async function injectFault (): Promise<void> {
    faults++
    const workerId = `w${String(Math.floor(random() * workerCount)).padStart(3, '0')}`
    const kind = Math.floor(random() * 9)
    addTrace(`fault ${kind}, worker ${workerId}`)
    switch (kind) {
      case 0: harness.setCutOff(workerId, true); return
      case 1: harness.setCutOff(workerId, false); return
      case 2: harness.workers.get(workerId)?.restart(); return
      case 3: harness.setStoreDown(true); return
      case 4: harness.setStoreDown(false); return
      case 5: harness.loseStoreResponses(1 + Math.floor(random() * 3)); return
      case 6: harness.workers.get(workerId)?.setFailEverything(random() < 0.5); return
      case 7: changeRules(); return
      default: await replaceScheduler()
    }
  }

  function changeRules (): void {
    harness.setRules(tryPickRandom(ruleSets, random) ?? '')
    active.scheduler.refresh()
  }

  /** Starts a new scheduler. The previous one meets its fault at its next call, or keeps running beside its successor. */
  async function replaceScheduler (): Promise<void> {
    if (random() < 0.8) active.faultInjector.triggerAtNextCall()
    await advance(random() * 8_000)
    replacedInjectors.push(active.faultInjector)
    replacedSchedulers.push(active.scheduler)
    active = startActive()
    addTrace('a new scheduler takes over')
    if (random() < 0.5) replacedInjectors.splice(0).forEach(faultInjector => faultInjector.resume())
  }

  /** Checks that no job runs two attempts at once, and that no gang runs incomplete for longer than it takes to detect this and stop it. */
  function checkGangs (): void {
    for (const jobId of harness.getJobIds()) {
      if (harness.getRunningAttempts(jobId).size > 1) violations.push(`${Date.now()} ${jobId}: two attempts run at the same time: ${harness.describeTasks(jobId)}`)
      const running = harness.countRunning(jobId)
      const members = submissions.get(jobId)?.spec.members ?? 0
      if (running === 0 || running === members) {
        incompleteSinceByJob.delete(jobId)
        continue
      }
      const sinceMs = incompleteSinceByJob.get(jobId) ?? Date.now()
      incompleteSinceByJob.set(jobId, sinceMs)
      if (Date.now() - sinceMs > maxIncompleteMs && !hasEndedMember(jobId)) {
        violations.push(`${jobId}: ${running} of ${members} members have been running for ${Date.now() - sinceMs} ms`)
        incompleteSinceByJob.set(jobId, Date.now())
      }
    }
  }

  /** An ending gang is incomplete for a time: its members end one after the other, and a worker that is cut off still lists those that ended. */
  function hasEndedMember (jobId: string): boolean {
    return harness.countEnded(jobId) > 0
  }

  async function clearFaultsAndSettle (): Promise<void> {
    harness.setStoreDown(false)
    harness.loseStoreResponses(0)
    for (const [workerId, worker] of harness.workers) {
      harness.setCutOff(workerId, false)
      worker.setFailEverything(false)
    }
    active.faultInjector.triggerAtNextCall()
    await advance(8_000)
    replacedSchedulers.push(active.scheduler)
    replacedInjectors.push(active.faultInjector)
    replacedInjectors.splice(0).forEach(faultInjector => faultInjector.resume())
    active = { scheduler: harness.startScheduler(), faultInjector: active.faultInjector }
    for (let settledMs = 0; settledMs < settleMs; settledMs += 5_000) {
      await advance(5_000)
      checkGangs()
    }
  }

  async function checkOutcomes (): Promise<void> {
    for (const { spec, outcome } of submissions.values()) {
      const view = await active.scheduler.get(spec.jobId, 0)
      const releases = harness.getReleases(spec.jobId).filter(count => count > 0)
      const maxReleases = Math.max(0, ...releases)
      const report = (text: string): void => { violations.push(`${spec.jobId} (${outcome}, ${view?.state} ${view?.result}, releases ${releases.join(',')}): ${text}`) }
      if (outcome === 'accepted' && view === undefined) report('an accepted job is lost')
      if (outcome === 'accepted' && view !== undefined && view.state !== 'ended') report(`an accepted job has not ended: ${view.reason}`)
      if (outcome === 'not-run' && releases.length > 0) report('a job that was rejected as not run ran')
      if (view?.result === JobResult.NotRun && releases.length > 0) report('a job that ended as not run ran')
      if (!spec.repeatable && maxReleases > 1) report('a non-repeatable job ran twice')
      if (view?.result === JobResult.Succeeded && releases.length < spec.members) report('a job succeeded without all members')
    }
    if (harness.countLiveTasks() > 0) violations.push(`${harness.countLiveTasks()} tasks have not ended`)
    const status = active.scheduler.getStatus()
    if (status.usage.inUse > 0) violations.push(`${status.usage.inUse} accelerators are still in use at the end`)
    if (status.unwrittenRecords > 0) violations.push(`${status.unwrittenRecords} records have not been written to the store`)
    active.scheduler.assertInvariants()
  }

  function addTrace (text: string): void {
    trace.push(`${Date.now()} ${text}`)
    if (trace.length > maxTraceLines) trace.shift()
  }

  function createReport (): SoakReport {
    const outcomeCounts: Record<string, number> = {}
    const entries = [...submissions.values()]
    const count = (outcome: Submission['outcome']): number => entries.filter(entry => entry.outcome === outcome).length
    for (const entry of entries) outcomeCounts[entry.outcome] = (outcomeCounts[entry.outcome] ?? 0) + 1
    const reported = violations.length > 0 ? [...violations, ...trace] : []
    return { seed, jobs: submissions.size, accepted: count('accepted'), rejected: count('not-run'), faults, outcomeCounts, violations: reported }
  }
}

function createRandomSpec (step: number, random: Random): JobSpec {
  const members = tryPickRandom([1, 1, 1, 2, 2, 4, 8], random) ?? 1
  return createJobSpec(`s${step}`, {
    organisation: random() < 0.5 ? 'mill' : 'haul',
    members,
    acceleratorsPerMember: tryPickRandom([1, 2, 4, 8, 8, 0], random) ?? 1,
    adjacency: random() < 0.7 ? Adjacency.Adjacent : Adjacency.Anywhere,
    repeatable: random() < 0.7,
    urgent: random() < 0.15,
    command: [random() < 0.06 ? 'fail' : 'run', String(Math.floor(random() * 12_000)), random() < 0.1 ? 'ignore-checkpoint' : '']
  })
}

/** Formats a report as one line. */
export function formatSoakReport (report: SoakReport): string {
  return `seed ${report.seed}: ${report.jobs} jobs, ${report.accepted} accepted, ${report.rejected} rejected, ${report.faults} faults, ${report.violations.length} violations`
}
