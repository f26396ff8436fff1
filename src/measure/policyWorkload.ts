/** Synthetic workloads for the measurement of the policy, generated from a seed: one for each user. */
import { createRandom } from '../common/random.js'
import type { Random } from '../common/random.js'
import { Adjacency } from '../scheduling/jobTypes.js'
import type { JobSpec } from '../scheduling/jobTypes.js'
import type { WorkerInfo } from '../scheduling/workerTypes.js'

/** A job of a workload, with facts about it that the scheduler does not know. */
export interface TraceJob {
  readonly spec: JobSpec
  /** The true run time, in ms. */
  readonly runMs: number
  readonly cancelAtMs: number | undefined
  readonly ignoresCheckpoint: boolean
  /** The workers on which it was last placed in the simulation. */
  workers?: ReadonlySet<string>
}

/** The users whose workloads are modelled. */
export enum User {
  OngJai = 'ong-jai',
  Saepuru = 'saepuru'
}

/** Options of a workload. */
export interface WorkloadOptions {
  readonly user: User
  readonly seed: number
  /** The offered load, as a share of the accelerator time. */
  readonly load: number
  readonly days: number
}

const acceleratorCount = 192
const workersPerRack = 8
const hourMs = 3_600_000
const dayMs = 24 * hourMs
const medianRunMs = 8 * 60_000
const maxRunMs = 10 * hourMs
const runSigma = 1.5
const declaredRunSigma = 1.2
const cancelShare = 0.04
const ignoreCheckpointShare = 0.1
const urgentShare = 0.03

/** The failure domain of every workload: three racks. */
export const workloadDomain = 'site'

/** Creates the workers of the failure domain. */
export function createWorkloadWorkers (): WorkerInfo[] {
  return Array.from({ length: acceleratorCount / 8 }, (_, index) => ({
    workerId: `w${String(index).padStart(2, '0')}`,
    address: '',
    domain: workloadDomain,
    rack: `r${Math.floor(index / workersPerRack)}`,
    processors: 64,
    memoryBytes: 2 ** 38,
    accelerators: 8,
    isLeaving: false
  }))
}

/** Returns the rules of the failure domain, with the weights of the user. */
export function getWorkloadRules (user: User): string {
  const weight = user === User.OngJai ? 'completion=0.8 fragmentation=0.2' : 'completion=0.2 fragmentation=0.8'
  return [
    'organisation a # x', 'organisation b # x', 'organisation c # x', 'organisation d # x',
    `guarantee a/plan domain=${workloadDomain} accelerators=32 cells=1 # x`,
    `guarantee b/runs domain=${workloadDomain} accelerators=8 cells=2 # x`,
    'priority normal rank=50 # x',
    `weight default ${weight} # x`
  ].join('\n')
}

const sizes: Readonly<Record<User, readonly (readonly [accelerators: number, share: number])[]>> = {
  [User.OngJai]: [[1, 0.4], [2, 0.15], [4, 0.15], [8, 0.17], [16, 0.07], [32, 0.04], [64, 0.02]],
  [User.Saepuru]: [[1, 0.42], [2, 0.14], [4, 0.12], [8, 0.16], [16, 0.06], [32, 0.04], [64, 0.05], [128, 0.01]]
}

/** Creates a workload: arrivals in bursts and daily peaks, heavy-tailed run times, and declared run times far above or below the true ones. */
export function createWorkload (options: WorkloadOptions): TraceJob[] {
  const random = createRandom(options.seed * 7_919 + (options.user === User.OngJai ? 1 : 2))
  const targetWork = options.load * acceleratorCount * options.days * dayMs
  const jobs: { runMs: number, size: number }[] = []
  let work = 0
  while (work < targetWork) {
    const size = pickSize(options.user, random)
    const runMs = Math.min(maxRunMs, Math.max(10_000, medianRunMs * Math.exp(runSigma * sampleGaussian(random))))
    jobs.push({ runMs, size })
    work += runMs * size
  }
  const arrivals = createArrivals(jobs.length, options.days, random)
  return jobs.map((job, index) => createJob(index, job.runMs, job.size, arrivals[index] as number, random))
}

function createJob (index: number, runMs: number, size: number, arrivalMs: number, random: Random): TraceJob {
  const organisation = 'abcd'[Math.floor(random() * 4)] ?? 'a'
  const declaredRunMs = Math.max(1_000, Math.round(runMs * Math.exp(declaredRunSigma * sampleGaussian(random))))
  const memberSize = Math.min(8, size)
  const isUrgent = organisation === 'a' && size <= 32 && random() < urgentShare * 4
  const spec: JobSpec = {
    jobId: `${workloadDomain}:${index}`,
    organisation,
    domain: workloadDomain,
    submittedAtMs: arrivalMs,
    name: 'job',
    members: size / memberSize,
    acceleratorsPerMember: memberSize,
    adjacency: Adjacency.Adjacent,
    processorsPerMember: 1,
    memoryBytesPerMember: 0,
    declaredRunMs,
    priority: 'normal',
    repeatable: true,
    urgent: isUrgent,
    command: ['run', String(runMs)]
  }
  const cancelAtMs = random() < cancelShare ? arrivalMs + random() * 2 * runMs : undefined
  return { spec, runMs, cancelAtMs, ignoresCheckpoint: random() < ignoreCheckpointShare }
}

/** Returns the arrival times: four in ten jobs arrive in bursts of minutes, the others over the whole day with a peak in its middle. */
function createArrivals (count: number, days: number, random: Random): number[] {
  const bursts = Array.from({ length: days * 6 }, () => random() * days * dayMs)
  const arrivals = Array.from({ length: count }, () => {
    if (random() < 0.4) return (bursts[Math.floor(random() * bursts.length)] ?? 0) + random() * 10 * 60_000
    const day = Math.floor(random() * days)
    const hour = (random() + random() + random()) / 3
    return (day + hour) * dayMs
  })
  return arrivals.map(Math.round).sort((left, right) => left - right)
}

function pickSize (user: User, random: Random): number {
  let remaining = random()
  for (const [size, share] of sizes[user]) {
    remaining -= share
    if (remaining <= 0) return size
  }
  return 1
}

function sampleGaussian (random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
}
