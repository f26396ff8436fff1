/**
 * Finds the workers that explain why runs are slow. A gang runs as fast as its slowest member, so its pace alone doesn't tell which worker
 * is slow. Workers on which other work has its usual pace at the same time are excluded; of the others, the likelihood that each is slow
 * is inferred from all slow runs together, with the possibility that a job is slow by itself. Does no I/O.
 */
import type { TrackedJob, Attempt } from '../jobs/trackedJob.js'

/** The time over which a pace was measured, by the monotonic clock in ms. */
export interface PaceWindow {
  readonly fromMs: number
  readonly toMs: number
}

/** A slow run, and whether a worker explains it. */
export interface SlowRun {
  readonly attempt: Attempt
  /** Its workers that are not excluded by other runs. */
  readonly suspects: readonly string[]
  /** Its pace as a share of the expected one. */
  readonly paceShare: number
  /** One of its workers has been found to be slow. */
  readonly isWorkerFound: boolean
  /** The likelihood that a worker, rather than the job, is slow. */
  readonly workerLikelihood: number
}

/** A worker that is slow, the pace of its slowest run as a share of the expected one, and the end of its latest slow window. */
export interface SlowWorker {
  readonly workerId: string
  readonly paceShare: number
  readonly latestMs: number
}

/** The slow runs of the last seconds. */
export interface SlowWorkers {
  /** Records a slow run. `isJobUsual` tells that other runs of the step, or an earlier pace of this one, show that the job is not slow by itself. */
  addSlow (attempt: Attempt, workerIds: readonly string[], window: PaceWindow, paceShare: number, isJobUsual: boolean): void
  /** Records that a member of the attempt had its usual pace on the worker. */
  addUsual (attempt: Attempt, workerId: string, window: PaceWindow): void
  find (nowMs: number): { readonly workers: readonly SlowWorker[], readonly runs: readonly SlowRun[] }
}

/** Likelihood that a worker is slow, before anything is known of it. On the users' bad days up to a tenth of the workers are. */
const slowWorkerPrior = 0.05
/** Likelihood that a run is several times slower than its queue's mean and its estimate because of its job. */
const slowJobLikelihood = 0.05
/** The same where other runs of the step, or an earlier pace of the run, were usual: only an error of measurement remains. */
const slowUsualJobLikelihood = 0.002
/** A worker is taken to be slow from this likelihood on. */
const minBlameLikelihood = 0.8
/** Slow runs are considered for this long, in ms: the time in which the next runs on the same workers show their pace. */
const evidenceMs = 4_000
const inferenceRounds = 24
/**
 * A worker that turns slow makes a run slow (by `slowFactor` in workerHealth.ts) only if it was slow for nearly the whole window. A usual
 * window excludes the worker if it overlaps so much of that window that the worker could not have been slow in it.
 */
const maxMissingShareAtEnd = 0.1
const maxExcessShareAtStart = 0.5

interface Evidence {
  readonly attempt: Attempt
  readonly workerIds: readonly string[]
  readonly window: PaceWindow
  readonly paceShare: number
  isJobUsual: boolean
}

interface Factor {
  readonly evidence: Evidence
  readonly suspects: readonly string[]
  readonly jobLikelihood: number
}

/** Creates an empty record. */
export function createSlowWorkers (): SlowWorkers {
  const evidences = new Map<Attempt, Evidence>()
  const usualWindows = new Map<string, PaceWindow>()

  return { addSlow, addUsual, find }

  function addSlow (attempt: Attempt, workerIds: readonly string[], window: PaceWindow, paceShare: number, isJobUsual: boolean): void {
    const previous = evidences.get(attempt)
    evidences.set(attempt, { attempt, workerIds, window, paceShare, isJobUsual: isJobUsual || previous?.isJobUsual === true })
  }

  function addUsual (attempt: Attempt, workerId: string, window: PaceWindow): void {
    usualWindows.set(workerId, window)
    for (const evidence of evidences.values()) {
      const isSameRun = evidence.attempt === attempt
      if (evidence.attempt.unit === attempt.unit && (!isSameRun || excludes(window, evidence.window))) evidence.isJobUsual = true
    }
  }

  function find (nowMs: number): { readonly workers: readonly SlowWorker[], readonly runs: readonly SlowRun[] } {
    for (const [attempt, { window }] of evidences) if (nowMs - window.toMs > evidenceMs) evidences.delete(attempt)
    for (const [workerId, window] of usualWindows) if (nowMs - window.toMs > evidenceMs) usualWindows.delete(workerId)
    const factors = [...evidences.values()].map(toFactor).filter(({ suspects }) => suspects.length > 0)
    const likelihoods = inferLikelihoods(factors)
    const workers: SlowWorker[] = []
    for (const [workerId, likelihood] of likelihoods) {
      if (likelihood < minBlameLikelihood) continue
      const own = factors.filter(({ suspects }) => suspects.includes(workerId))
      if (isDistinguished(workerId, own)) workers.push({ workerId, paceShare: Math.min(...own.map(({ evidence }) => evidence.paceShare)), latestMs: Math.max(...own.map(({ evidence }) => evidence.window.toMs)) })
    }
    const foundIds = new Set(workers.map(({ workerId }) => workerId))
    const runs = factors.map(({ evidence: { attempt, paceShare }, suspects, jobLikelihood }): SlowRun => {
      const anyLikelihood = 1 - (1 - jobLikelihood) * (1 - slowWorkerPrior) ** suspects.length
      return { attempt, suspects, paceShare, isWorkerFound: suspects.some(workerId => foundIds.has(workerId)), workerLikelihood: 1 - jobLikelihood / anyLikelihood }
    })
    return { workers, runs }
  }

  function toFactor (evidence: Evidence): Factor {
    const suspects = evidence.workerIds.filter(workerId => {
      const usual = usualWindows.get(workerId)
      return usual === undefined || !excludes(usual, evidence.window)
    })
    return { evidence, suspects, jobLikelihood: evidence.isJobUsual ? slowUsualJobLikelihood : slowJobLikelihood }
  }
}

/** Tells whether a usual pace in one window excludes that the worker was slow in the other. */
function excludes (usual: PaceWindow, slow: PaceWindow): boolean {
  const lengthMs = slow.toMs - slow.fromMs
  return usual.toMs >= slow.toMs - maxMissingShareAtEnd * lengthMs && usual.fromMs >= slow.fromMs - maxExcessShareAtStart * lengthMs
}

/** Workers that share all of their slow runs can't be told apart. */
function isDistinguished (workerId: string, factors: readonly Factor[]): boolean {
  const [first, ...others] = factors
  return first?.suspects.some(other => other !== workerId && others.every(({ suspects }) => suspects.includes(other))) === false
}

/**
 * Infers the likelihood that each suspect is slow, where a run is slow if any of its suspects or its job is. All likelihoods are updated
 * together and only halfway in each round: otherwise two suspects of the same runs would swing between both and neither.
 */
function inferLikelihoods (factors: readonly Factor[]): ReadonlyMap<string, number> {
  let likelihoods = new Map(factors.flatMap(({ suspects }) => suspects.map(workerId => [workerId, slowWorkerPrior])))
  const factorsByWorker = new Map([...likelihoods.keys()].map(workerId => [workerId, factors.filter(({ suspects }) => suspects.includes(workerId))]))
  for (let round = 0; round < inferenceRounds; round++) {
    const next = new Map<string, number>()
    for (const [workerId, own] of factorsByWorker) {
      // Several slow runs of one job are one observation, as the job may be the cause of all.
      const otherwiseByJob = new Map<TrackedJob, number>()
      for (const { evidence, suspects, jobLikelihood } of own) {
        const noneOfOthers = suspects.reduce((product, other) => other === workerId ? product : product * (1 - (likelihoods.get(other) ?? 0)), 1 - jobLikelihood)
        const { job } = evidence.attempt.unit
        otherwiseByJob.set(job, Math.min(otherwiseByJob.get(job) ?? 1, 1 - noneOfOthers))
      }
      const odds = [...otherwiseByJob.values()].reduce((product, otherwise) => product / otherwise, slowWorkerPrior / (1 - slowWorkerPrior))
      next.set(workerId, ((likelihoods.get(workerId) ?? 0) + odds / (1 + odds)) / 2)
    }
    likelihoods = next
  }
  return likelihoods
}
