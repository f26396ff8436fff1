/**
 * A load pattern for the scheduler: urgent gangs in bursts over gangs and single tasks of several seconds, with more demand for
 * accelerators than there is. Shapes and rates follow the users' deployments; the random numbers come from a seed. The workers'
 * stand-in starts a stopped run anew, also one with checkpoints, so more work is thrown away than on real workers.
 */
import { createRandom, pickRandom } from '../common/random.js'
import type { Configuration, QueueSettings } from '../configuration/configuration.js'
import { EndKind } from '../jobs/jobModel.js'
import type { JobSpec, StepSpec } from '../jobs/jobModel.js'
import type { PoolState } from '../standins/poolWorker.js'
import { harnessConfiguration, makeJob, makeStep } from './poolHarness.js'

/** A job and the time at which it is submitted, in ms from the start of the day. */
export interface Arrival {
  readonly atMs: number
  readonly job: JobSpec
  /** The run time of each of its tasks, in ms. */
  readonly workMs: number
}

/** The load of one day. */
export interface OverloadDay {
  readonly arrivals: readonly Arrival[]
  readonly getRun: (task: string) => { readonly workMs: number, readonly how: EndKind }
}

/** What became of the jobs and runs of a day. */
export interface OverloadResult {
  /** Credit earned of credit owed, by queue and in all. */
  readonly worth: Readonly<Record<string, number>>
  readonly totalWorth: number
  /** Runs that were stopped, as a share of all runs that started. */
  readonly stoppedShare: number
  /** The most starts of one task. */
  readonly maxStarts: number
  /** Work thrown away as a share of all work, in core-seconds with 8 cores for an accelerator. */
  readonly wastedShare: number
}

interface JobKind {
  readonly queue: string
  readonly perSecond: number
  readonly width: number
  readonly workMs: number
  readonly cpuMilli: number
  readonly memoryMb: number
  readonly accelerators: readonly number[]
  readonly isGang: boolean
  readonly sameRackShare: number
  readonly checkpointShare: number
  readonly worth: number
  readonly lateWorth: number
  readonly objectiveFactor: number
  readonly objectiveMs: number
  readonly priority: number
}

const shapes = [1, 2, 4, 8, 8]
const kinds: readonly JobKind[] = [
  { queue: 'urgent', perSecond: 1.88, width: 5.4, workMs: 2_500, cpuMilli: 7_500, memoryMb: 30_000, accelerators: shapes, isGang: true, sameRackShare: 0.8, checkpointShare: 0, worth: 4, lateWorth: 0.8, objectiveFactor: 1.5, objectiveMs: 500, priority: 0 },
  { queue: 'wide', perSecond: 0.44, width: 13, workMs: 6_800, cpuMilli: 26_000, memoryMb: 75_000, accelerators: shapes, isGang: true, sameRackShare: 0.6, checkpointShare: 0.45, worth: 3, lateWorth: 0.9, objectiveFactor: 3, objectiveMs: 1_200, priority: 1 },
  { queue: 'batch', perSecond: 0.35, width: 39, workMs: 7_600, cpuMilli: 5_600, memoryMb: 16_000, accelerators: [1], isGang: false, sameRackShare: 0, checkpointShare: 0.45, worth: 1, lateWorth: 0.3, objectiveFactor: 3, objectiveMs: 3_000, priority: 2 }
]
const burst = { fromMs: 8_000, toMs: 14_000, factor: 2.2 }
/** A late job earns its smaller credit up to this multiple of its objective. */
const lateFactor = 3
/** The widest job of a kind, as a multiple of the mean width. */
const maxWidthFactor = 6
/** Standard deviations of the logarithms of run times and widths, and the largest relative error of an estimate. */
const workSpread = 0.3
const widthSpread = 0.8
const maxEstimateError = 0.2
const organisationCount = 4
/** A job is worth this share of its kind's worth at any size, the rest grows with its work; at most `maxJobValue` times the kind's worth. */
const fixedValueShare = 0.3
const maxJobValue = 4
/** Value of one accelerator in cores. Source: the users' price list. */
const coresPerAccelerator = 8
/** Jobs are looked at in these steps, in ms, so an end is known this exactly. */
export const overloadStepMs = 50

/** The number of workers for which the rates are meant, 20 in a rack. */
export const overloadWorkers = 60
export const overloadWorkersPerRack = 20

/** The queues of the pattern. */
export const overloadConfiguration: Configuration = {
  ...harnessConfiguration,
  organisations: [],
  queues: kinds.map((kind): QueueSettings => ({ name: kind.queue, hostName: 'host', pathPrefix: `/${kind.queue}/`, service: 'pool', priority: kind.priority, attempts: 3, objectiveFactor: kind.objectiveFactor, objectiveMs: kind.objectiveMs, timeoutMs: 3_000, isPublic: true }))
}

/** Draws the arrivals of a day. */
export function createOverloadDay (seed: number, lengthMs: number, loadFactor: number): OverloadDay {
  const random = createRandom(seed)
  const arrivals: Arrival[] = []
  for (const kind of kinds) {
    let atMs = 0
    while (true) {
      const isBurst = kind.priority === 0 && atMs >= burst.fromMs && atMs < burst.toMs
      atMs += -Math.log(1 - random()) * 1_000 / (kind.perSecond * loadFactor * (isBurst ? burst.factor : 1))
      if (atMs >= lengthMs) break
      arrivals.push(createArrival(kind, `${kind.queue}${arrivals.length}`, atMs))
    }
  }
  const workMsByJob = new Map(arrivals.map(({ job, workMs }) => [job.jobId, workMs]))
  return {
    arrivals: arrivals.sort((left, right) => left.atMs - right.atMs),
    getRun: task => ({ workMs: workMsByJob.get(getJobId(task)) ?? 0, how: EndKind.Done })
  }

  function createArrival (kind: JobKind, jobId: string, atMs: number): Arrival {
    const workMs = Math.round(kind.workMs * drawFactor(workSpread))
    const step: StepSpec = makeStep({
      count: Math.max(1, Math.min(Math.round(kind.width * maxWidthFactor), Math.round(kind.width * drawFactor(widthSpread)))),
      request: { cpuMilli: kind.cpuMilli, memoryMb: kind.memoryMb, accelerators: pickRandom(kind.accelerators, random) },
      estimateMs: Math.round(workMs * (1 + maxEstimateError * (2 * random() - 1))),
      isGang: kind.isGang,
      isSameRack: random() < kind.sameRackShare,
      hasCheckpoints: random() < kind.checkpointShare
    })
    return { atMs, workMs, job: makeJob(jobId, kind.queue, [step], { organisation: `team-${Math.floor(organisationCount * random())}` }) }
  }

  /** A log-normal factor with mean 1. */
  function drawFactor (sigma: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
    return Math.exp(sigma * normal - sigma * sigma / 2)
  }
}

/** Computes what the callers got; `endedAtMs` holds the times at which jobs were complete, from the start of the day. */
export function evaluateOverloadDay (day: OverloadDay, endedAtMs: ReadonlyMap<string, number>, pool: PoolState): OverloadResult {
  const worth: Record<string, number> = {}
  let earnedInAll = 0
  let owedInAll = 0
  for (const kind of kinds) {
    const ofKind = day.arrivals.filter(({ job }) => job.queue === kind.queue)
    const meanWork = sum(ofKind.map(getWork)) / ofKind.length
    let earned = 0
    let owed = 0
    for (const arrival of ofKind) {
      const value = Math.min(maxJobValue, fixedValueShare + (1 - fixedValueShare) * getWork(arrival) / meanWork) * kind.worth
      const tookMs = (endedAtMs.get(arrival.job.jobId) ?? Infinity) - arrival.atMs
      const objectiveMs = kind.objectiveFactor * arrival.workMs + kind.objectiveMs
      owed += value
      earned += value * (tookMs <= objectiveMs ? 1 : tookMs <= lateFactor * objectiveMs ? kind.lateWorth / kind.worth : 0)
    }
    worth[kind.queue] = earned / owed
    earnedInAll += earned
    owedInAll += owed
  }
  const startCounts = [...pool.starts.values()]
  const coresByJob = new Map(day.arrivals.map(({ job }) => [job.jobId, getCores(job.steps[0] as StepSpec)]))
  const getCoreMs = (workByTask: ReadonlyMap<string, number>): number => sum([...workByTask].map(([task, ms]) => ms * (coresByJob.get(getJobId(task)) ?? 0)))
  const startsInAll = sum(startCounts)
  return { worth, totalWorth: earnedInAll / owedInAll, stoppedShare: (startsInAll - startCounts.length) / startsInAll, maxStarts: Math.max(...startCounts), wastedShare: getCoreMs(pool.wastedMs) / getCoreMs(pool.workedMs) }
}

function getWork ({ job, workMs }: Arrival): number {
  return sum(job.steps.map(step => step.count * workMs * getCores(step)))
}

function getCores ({ request }: StepSpec): number {
  return request.cpuMilli / 1_000 + coresPerAccelerator * request.accelerators
}

function getJobId (task: string): string {
  return task.split('.')[0] ?? ''
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
