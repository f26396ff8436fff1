/** `npm run measure:policy`: compares the policy with the baselines on the workloads of both users, at several loads and seeds. */
import { createRuleSet } from '../rules/ruleSet.js'
import { parseRules } from '../rules/ruleSyntax.js'
import { FitStrategy } from '../scheduling/placementSearch.js'
import { getAcceleratorCount } from '../scheduling/jobTypes.js'
import { createPolicy } from '../scheduling/policy.js'
import { formatTable } from '../cli/formatJob.js'
import { createRandom } from '../common/random.js'
import { baselines, getLowerBoundMs } from './policyBaselines.js'
import type { Baseline } from './policyBaselines.js'
import { runSimulation } from './policySim.js'
import type { JobOutcome, SimOptions, SimResult } from './policySim.js'
import { createWorkload, createWorkloadWorkers, getWorkloadRules, User } from './policyWorkload.js'
import type { TraceJob } from './policyWorkload.js'

const seeds = (process.env.SEEDS ?? '1,2,3,4,5').split(',').map(Number)
const loads = (process.env.LOADS ?? '0.5,0.8,1,1.3').split(',').map(Number)
const users = (process.env.USERS ?? Object.values(User).join(',')).split(',') as User[]
const days = Number(process.env.DAYS ?? 3)
const workerFailuresPerDay = 2
const dayMs = 86_400_000
const outageMs = 600_000
const acceleratorCount = 192

enum SizeClass { Small = '1-8', Medium = '16-32', Large = '64+' }

interface Figures {
  readonly meanMs: number
  readonly p50Ms: number
  readonly p95Ms: number
  readonly p99Ms: number
  readonly slowdownP95: Readonly<Record<SizeClass, number>>
  readonly smallP95Ms: number
  readonly largeWaitP95Ms: number
  readonly idleShare: number
  readonly lostShare: number
  readonly preemptions: number
  readonly guaranteeWaitMs: number
}

/** Returns the scheduler's policy in the form of a baseline, with the given weights, so that the trade-off between them can be plotted. */
export function createMeasuredPolicy (completion: number, fragmentation: number): Baseline {
  const weights = { completion, fragmentation }
  return { name: `sassafrasford ${completion}/${fragmentation}`, fit: FitStrategy.Best, createPolicy: () => createPolicy(() => weights) }
}

function measure (user: User, load: number, candidate: Baseline): { readonly figures: Figures, readonly lowerBoundMs: number } {
  const results: Figures[] = []
  const bounds: number[] = []
  for (const seed of seeds) {
    const trace = createWorkload({ user, seed, load, days })
    const options: SimOptions = {
      trace,
      workers: createWorkloadWorkers(),
      rules: createRuleSet(parseRules(getWorkloadRules(user)).rules, 1),
      createPolicy: candidate.createPolicy,
      fit: candidate.fit,
      failures: createFailures(seed)
    }
    results.push(toFigures(runSimulation(options)))
    bounds.push(getLowerBoundMs(trace, acceleratorCount))
  }
  return { figures: averageFigures(results), lowerBoundMs: mean(bounds) }
}

function createFailures (seed: number): { atMs: number, workerId: string, returnsAtMs: number }[] {
  const random = createRandom(seed * 31)
  return Array.from({ length: workerFailuresPerDay * days }, () => {
    const atMs = Math.round(random() * days * dayMs)
    return { atMs, workerId: `w${String(Math.floor(random() * 24)).padStart(2, '0')}`, returnsAtMs: atMs + outageMs }
  })
}

function toFigures (result: SimResult): Figures {
  const done = result.outcomes.filter(outcome => outcome.endedAtMs !== undefined && !outcome.isCancelled)
  const times = done.map(getCompletionMs)
  const slowdown = (sizeClass: SizeClass): number => quantile(done.filter(outcome => getSizeClass(outcome.job) === sizeClass).map(getSlowdown), 0.95)
  const small = done.filter(outcome => getSizeClass(outcome.job) === SizeClass.Small)
  const large = done.filter(outcome => getSizeClass(outcome.job) === SizeClass.Large)
  return {
    meanMs: mean(times),
    p50Ms: quantile(times, 0.5),
    p95Ms: quantile(times, 0.95),
    p99Ms: quantile(times, 0.99),
    slowdownP95: { [SizeClass.Small]: slowdown(SizeClass.Small), [SizeClass.Medium]: slowdown(SizeClass.Medium), [SizeClass.Large]: slowdown(SizeClass.Large) },
    smallP95Ms: quantile(small.map(getCompletionMs), 0.95),
    largeWaitP95Ms: quantile(large.map(outcome => (outcome.startedAtMs ?? 0) - outcome.job.spec.submittedAtMs), 0.95),
    idleShare: result.idleWhileWaiting,
    lostShare: result.lostShare,
    preemptions: mean(done.map(outcome => outcome.preemptions)),
    guaranteeWaitMs: result.maxGuaranteeWaitMs
  }
}

function getCompletionMs (outcome: JobOutcome): number {
  return (outcome.endedAtMs ?? 0) - outcome.job.spec.submittedAtMs
}

function getSlowdown (outcome: JobOutcome): number {
  return getCompletionMs(outcome) / outcome.job.runMs
}

function getSizeClass (job: TraceJob): SizeClass {
  const size = getAcceleratorCount(job.spec)
  if (size >= 64) return SizeClass.Large
  return size >= 16 ? SizeClass.Medium : SizeClass.Small
}

function averageFigures (results: readonly Figures[]): Figures {
  const average = (pick: (figures: Figures) => number): number => mean(results.map(pick))
  const slowdown = (sizeClass: SizeClass): number => average(figures => figures.slowdownP95[sizeClass])
  return {
    meanMs: average(figures => figures.meanMs),
    p50Ms: average(figures => figures.p50Ms),
    p95Ms: average(figures => figures.p95Ms),
    p99Ms: average(figures => figures.p99Ms),
    slowdownP95: { [SizeClass.Small]: slowdown(SizeClass.Small), [SizeClass.Medium]: slowdown(SizeClass.Medium), [SizeClass.Large]: slowdown(SizeClass.Large) },
    smallP95Ms: average(figures => figures.smallP95Ms),
    largeWaitP95Ms: average(figures => figures.largeWaitP95Ms),
    idleShare: average(figures => figures.idleShare),
    lostShare: average(figures => figures.lostShare),
    preemptions: average(figures => figures.preemptions),
    guaranteeWaitMs: Math.max(...results.map(figures => figures.guaranteeWaitMs))
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

function quantile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0
}

function toMinutes (timeMs: number): string {
  return (timeMs / 60_000).toFixed(1)
}

const tableHeader = ['| policy', '| mean', '| mean / bound', '| p50', '| p95', '| p99', '| slowdown p95 1-8', '| 16-32', '| 64+', '| small p95', '| large wait p95', '| idle %', '| lost %', '| preemptions/job', '| guarantee wait ms |']

function toRow (name: string, figures: Figures, lowerBoundMs: number): string[] {
  return [
    `| ${name}`,
    `| ${toMinutes(figures.meanMs)}`,
    `| ${(figures.meanMs / lowerBoundMs).toFixed(2)}`,
    `| ${toMinutes(figures.p50Ms)}`,
    `| ${toMinutes(figures.p95Ms)}`,
    `| ${toMinutes(figures.p99Ms)}`,
    `| ${figures.slowdownP95[SizeClass.Small].toFixed(1)}`,
    `| ${figures.slowdownP95[SizeClass.Medium].toFixed(1)}`,
    `| ${figures.slowdownP95[SizeClass.Large].toFixed(1)}`,
    `| ${toMinutes(figures.smallP95Ms)}`,
    `| ${toMinutes(figures.largeWaitP95Ms)}`,
    `| ${(figures.idleShare * 100).toFixed(1)}`,
    `| ${(figures.lostShare * 100).toFixed(1)}`,
    `| ${figures.preemptions.toFixed(2)}`,
    `| ${figures.guaranteeWaitMs.toFixed(0)} |`
  ]
}

for (const user of users) {
  for (const load of loads) {
    const measuredPolicy = user === User.OngJai ? createMeasuredPolicy(0.8, 0.2) : createMeasuredPolicy(0.2, 0.8)
    const rows = [...process.env.ONLY_OWN === undefined ? baselines : [], measuredPolicy].map(candidate => {
      const { figures, lowerBoundMs } = measure(user, load, candidate)
      return toRow(candidate.name, figures, lowerBoundMs)
    })
    console.log(`\n${user}, load ${load * 100} %, seeds ${seeds.join(', ')}, ${days} days; times in minutes\n`)
    console.log(formatTable([tableHeader, tableHeader.map(() => '|---').map((cell, index) => index === tableHeader.length - 1 ? `${cell}|` : cell), ...rows]))
  }
}
