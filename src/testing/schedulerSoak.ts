/** A long randomised run of the scheduler by seed, on a paused clock, with a ledger of what callers were told. */
import { createRandom, pickRandom } from '../common/random.js'
import type { Random } from '../common/random.js'
import { createError, ErrorKind, isNotRun, toAppError } from '../errors/errorKinds.js'
import { Adjacency, JobResult } from '../scheduling/jobTypes.js'
import type { JobSpec } from '../scheduling/jobTypes.js'
import type { Scheduler } from '../scheduling/scheduler.js'
import { createGate, GateFault } from './gate.js'
import type { Gate } from './gate.js'
import { createSchedulerRig, createSpec } from './schedulerRig.js'

/** What a run found. An empty list of violations means that every promise was kept. */
export interface SoakReport {
  readonly seed: number
  readonly jobs: number
  readonly accepted: number
  readonly refused: number
  readonly faults: number
  readonly results: Readonly<Record<string, number>>
  readonly violations: readonly string[]
}

/** Advances the paused clock. */
export type Advance = (timeMs: number) => Promise<void>

interface Told {
  readonly spec: JobSpec
  answer: 'pending' | 'accepted' | 'not-run' | 'unknown'
}

const workerCount = 16
const stepMs = 250
const faultEverySteps = 14
const submitEverySteps = 2
const cancelShare = 0.08
/** A gang that lost a member is stopped whole within the lease, its margin and the calls that follow. */
const maxPartialMs = 20_000
const healMs = 400_000
const keptTrace = 60

const ruleSets = [
  'guarantee mill/plan domain=harju accelerators=32 cells=1 # a\nguarantee haul/day domain=harju accelerators=8 cells=2 # b',
  'guarantee mill/plan domain=harju accelerators=64 cells=1 # a',
  'guarantee haul/day domain=harju accelerators=16 cells=2 # b\nquota mill accelerators=64 # c',
  ''
]

/** Runs the scheduler for `steps` steps of a quarter second, heals everything, and compares the ledger. */
export async function runSchedulerSoak (seed: number, steps: number, advance: Advance): Promise<SoakReport> {
  const random = createRandom(seed)
  const rig = createSchedulerRig(workerCount, ruleSets[0] ?? '')
  const told = new Map<string, Told>()
  const violations: string[] = []
  const trace: string[] = []
  const partialSince = new Map<string, number>()
  const stopped: Scheduler[] = []
  let active: { scheduler: Scheduler, gate: Gate } = startActive()
  let faults = 0
  const frozen: Gate[] = []

  for (let step = 0; step < steps; step++) {
    if (step % submitEverySteps === 0) submitOne(step)
    if (random() < cancelShare) cancelOne()
    if (step % faultEverySteps === 0) await strikeOne()
    await advance(stepMs)
    checkGangs()
  }
  await heal()
  await compareLedger()
  for (const scheduler of [...stopped, active.scheduler]) scheduler.stop()
  await advance(1_000)
  return createReport()

  function startActive (): { scheduler: Scheduler, gate: Gate } {
    const fault = pickRandom([GateFault.CrashBefore, GateFault.CrashAfter, GateFault.Freeze, GateFault.LoseAnswer], random) ?? GateFault.Freeze
    const gate = createGate(Infinity, fault, () => createError(ErrorKind.AnswerLost, 'lost'), () => note(`the gate strikes: ${fault}`))
    return { scheduler: rig.startScheduler(gate), gate }
  }

  function submitOne (step: number): void {
    const spec = createRandomSpec(step, random)
    const entry: Told = { spec, answer: 'pending' }
    told.set(spec.jobId, entry)
    active.scheduler.submit(spec).then(
      () => { entry.answer = 'accepted' },
      (error: unknown) => {
        const kind = toAppError(error).kind
        if (kind === ErrorKind.Internal) violations.push(`submit failed inside: ${String(error)}`)
        entry.answer = isNotRun(error) ? 'not-run' : 'unknown'
      })
  }

  function cancelOne (): void {
    const jobId = pickRandom([...told.keys()], random)
    if (jobId !== undefined) void active.scheduler.cancel(jobId).catch(() => {})
  }

  async function strikeOne (): Promise<void> {
    faults++
    const workerId = `w${String(Math.floor(random() * workerCount)).padStart(3, '0')}`
    const kind = Math.floor(random() * 9)
    note(`fault ${kind} at ${workerId}`)
    switch (kind) {
      case 0: rig.setCutOff(workerId, true); return
      case 1: rig.setCutOff(workerId, false); return
      case 2: rig.workers.get(workerId)?.restart(); return
      case 3: rig.setStoreDown(true); return
      case 4: rig.setStoreDown(false); return
      case 5: rig.loseStoreAnswers(1 + Math.floor(random() * 3)); return
      case 6: rig.workers.get(workerId)?.setFailEverything(random() < 0.5); return
      case 7: changeRules(); return
      default: await replaceScheduler()
    }
  }

  function changeRules (): void {
    rig.setRules(pickRandom(ruleSets, random) ?? '')
    active.scheduler.refresh()
  }

  /** The scheduler is struck at its next call, or just replaced while it lives on. */
  async function replaceScheduler (): Promise<void> {
    if (random() < 0.8) active.gate.strikeNow()
    await advance(random() * 8_000)
    frozen.push(active.gate)
    stopped.push(active.scheduler)
    active = startActive()
    note('a successor takes over')
    if (random() < 0.5) frozen.splice(0).forEach(gate => gate.thaw())
  }

  /** No gang may run in part for longer than it takes to notice and to stop it. */
  function checkGangs (): void {
    for (const jobId of rig.getJobIds()) {
      if (rig.getRunningAttempts(jobId).size > 1) violations.push(`${Date.now()} ${jobId}: two attempts run at once: ${rig.describeTasks(jobId)}`)
      const running = rig.countRunning(jobId)
      const members = told.get(jobId)?.spec.members ?? 0
      if (running === 0 || running === members) {
        partialSince.delete(jobId)
        continue
      }
      const sinceMs = partialSince.get(jobId) ?? Date.now()
      partialSince.set(jobId, sinceMs)
      if (Date.now() - sinceMs > maxPartialMs && !hasEndedMember(jobId)) {
        violations.push(`${jobId}: ${running} of ${members} members run since ${Date.now() - sinceMs} ms`)
        partialSince.set(jobId, Date.now())
      }
    }
  }

  /** Members end one after the other, and a cut-off worker keeps what has ended. */
  function hasEndedMember (jobId: string): boolean {
    return rig.countEnded(jobId) > 0
  }

  async function heal (): Promise<void> {
    rig.setStoreDown(false)
    rig.loseStoreAnswers(0)
    for (const [workerId, worker] of rig.workers) {
      rig.setCutOff(workerId, false)
      worker.setFailEverything(false)
    }
    active.gate.strikeNow()
    await advance(8_000)
    stopped.push(active.scheduler)
    frozen.push(active.gate)
    frozen.splice(0).forEach(gate => gate.thaw())
    active = { scheduler: rig.startScheduler(), gate: active.gate }
    for (let healedMs = 0; healedMs < healMs; healedMs += 5_000) {
      await advance(5_000)
      checkGangs()
    }
  }

  async function compareLedger (): Promise<void> {
    for (const { spec, answer } of told.values()) {
      const view = await active.scheduler.get(spec.jobId, 0)
      const releases = rig.getReleases(spec.jobId).filter(count => count > 0)
      const most = Math.max(0, ...releases)
      const report = (text: string): void => { violations.push(`${spec.jobId} (${answer}, ${view?.state} ${view?.result}, releases ${releases.join(',')}): ${text}`) }
      if (answer === 'accepted' && view === undefined) report('an accepted job is lost')
      if (answer === 'accepted' && view !== undefined && view.state !== 'ended') report(`an accepted job has not ended: ${view.reason}`)
      if (answer === 'not-run' && releases.length > 0) report('a refused job ran')
      if (view?.result === JobResult.NotRun && releases.length > 0) report('a job that ended as not run ran')
      if (!spec.repeatable && most > 1) report('a non-repeatable job ran twice')
      if (view?.result === JobResult.Succeeded && releases.length < spec.members) report('a job succeeded without all members')
    }
    if (rig.countLiveTasks() > 0) violations.push(`${rig.countLiveTasks()} tasks are left over`)
    const status = active.scheduler.getStatus()
    if (status.usage.inUse > 0) violations.push(`${status.usage.inUse} accelerators have leaked`)
    if (status.unwrittenRecords > 0) violations.push(`${status.unwrittenRecords} records are not written`)
    active.scheduler.verify()
  }

  function note (text: string): void {
    trace.push(`${Date.now()} ${text}`)
    if (trace.length > keptTrace) trace.shift()
  }

  function createReport (): SoakReport {
    const results: Record<string, number> = {}
    const entries = [...told.values()]
    const count = (answer: Told['answer']): number => entries.filter(entry => entry.answer === answer).length
    for (const entry of entries) results[entry.answer] = (results[entry.answer] ?? 0) + 1
    const shown = violations.length > 0 ? [...violations, ...trace] : []
    return { seed, jobs: told.size, accepted: count('accepted'), refused: count('not-run'), faults, results, violations: shown }
  }
}

function createRandomSpec (step: number, random: Random): JobSpec {
  const members = pickRandom([1, 1, 1, 2, 2, 4, 8], random) ?? 1
  return createSpec(`s${step}`, {
    organisation: random() < 0.5 ? 'mill' : 'haul',
    members,
    acceleratorsPerMember: pickRandom([1, 2, 4, 8, 8, 0], random) ?? 1,
    adjacency: random() < 0.7 ? Adjacency.Adjacent : Adjacency.Anywhere,
    repeatable: random() < 0.7,
    urgent: random() < 0.15,
    command: [random() < 0.06 ? 'fail' : 'run', String(Math.floor(random() * 12_000)), random() < 0.1 ? 'ignore-checkpoint' : '']
  })
}

/** Prints a report in one line. */
export function formatSoakReport (report: SoakReport): string {
  return `seed ${report.seed}: ${report.jobs} jobs, ${report.accepted} accepted, ${report.refused} refused, ${report.faults} faults, ${report.violations.length} violations`
}
