/**
 * Shares the blame for failed tasks between jobs and workers. A worker is quarantined when several jobs in a
 * row failed on it and none succeeded; a job is to blame when it fails on several workers.
 */

/** What is known of a worker that was quarantined. */
export interface QuarantinedWorker {
  readonly workerId: string
  readonly untilMs: number
  readonly failures: number
}

/** The evidence against workers. */
export interface WorkerHealth {
  noteSuccess (workerId: string): void
  /** Returns true when the worker is to be quarantined now. */
  noteFailure (workerId: string, jobId: string): boolean
  /** The job failed on several workers, so its failures are not held against them. */
  acquit (jobId: string): readonly string[]
  /** Returns the workers whose time has come for a probe, and lets them take work again. */
  takeReadmitted (): readonly string[]
  isQuarantined (workerId: string): boolean
  getQuarantined (): readonly QuarantinedWorker[]
}

const minFailedJobs = 3
const firstPauseMs = 60_000
const maxPauseMs = 3_600_000
const maxQuarantinedShare = 0.2

interface Evidence {
  readonly failedJobs: Set<string>
  pauseMs: number
  quarantinedUntilMs: number | undefined
  /** After its pause a worker is on probation: one more failure quarantines it again. */
  isOnProbation: boolean
}

/** Creates an empty record of evidence. Only a part of the `getWorkerCount()` workers is ever quarantined. */
export function createWorkerHealth (getWorkerCount: () => number): WorkerHealth {
  const evidences = new Map<string, Evidence>()

  return { noteSuccess, noteFailure, acquit, takeReadmitted, isQuarantined, getQuarantined }

  function noteSuccess (workerId: string): void {
    const evidence = evidences.get(workerId)
    if (evidence?.quarantinedUntilMs === undefined) evidences.delete(workerId)
  }

  function noteFailure (workerId: string, jobId: string): boolean {
    const evidence = getEvidence(workerId)
    if (evidence.quarantinedUntilMs !== undefined) return false
    evidence.failedJobs.add(jobId)
    if (evidence.failedJobs.size < (evidence.isOnProbation ? 1 : minFailedJobs)) return false
    if (getQuarantined().length + 1 > Math.max(1, getWorkerCount() * maxQuarantinedShare)) return false
    evidence.quarantinedUntilMs = Date.now() + evidence.pauseMs
    evidence.pauseMs = Math.min(maxPauseMs, evidence.pauseMs * 2)
    return true
  }

  function acquit (jobId: string): readonly string[] {
    const released: string[] = []
    for (const [workerId, evidence] of evidences) {
      if (!evidence.failedJobs.delete(jobId)) continue
      const isCleared = evidence.quarantinedUntilMs !== undefined && !evidence.isOnProbation && evidence.failedJobs.size < minFailedJobs
      if (!isCleared) continue
      evidence.quarantinedUntilMs = undefined
      evidence.pauseMs = firstPauseMs
      released.push(workerId)
    }
    return released
  }

  function takeReadmitted (): readonly string[] {
    const readmitted: string[] = []
    for (const [workerId, evidence] of evidences) {
      if (evidence.quarantinedUntilMs === undefined || evidence.quarantinedUntilMs > Date.now()) continue
      evidence.quarantinedUntilMs = undefined
      evidence.isOnProbation = true
      evidence.failedJobs.clear()
      readmitted.push(workerId)
    }
    return readmitted
  }

  function isQuarantined (workerId: string): boolean {
    return evidences.get(workerId)?.quarantinedUntilMs !== undefined
  }

  function getQuarantined (): readonly QuarantinedWorker[] {
    return [...evidences].flatMap(([workerId, evidence]) => evidence.quarantinedUntilMs === undefined
      ? []
      : [{ workerId, untilMs: evidence.quarantinedUntilMs, failures: evidence.failedJobs.size }])
  }

  function getEvidence (workerId: string): Evidence {
    const known = evidences.get(workerId)
    if (known !== undefined) return known
    const created: Evidence = { failedJobs: new Set(), pauseMs: firstPauseMs, quarantinedUntilMs: undefined, isOnProbation: false }
    evidences.set(workerId, created)
    return created
  }
}
