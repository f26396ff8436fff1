/**
 * Shares the blame for failed tasks between jobs and workers. A worker is set aside when several jobs in a
 * row failed on it and none succeeded; a job is to blame when it fails on several workers.
 */

/** What is known of a worker that was set aside. */
export interface SetAsideWorker {
  readonly workerId: string
  readonly untilMs: number
  readonly failures: number
}

/** The evidence against workers. */
export interface WorkerHealth {
  noteSuccess (workerId: string): void
  /** Returns true when the worker is to be set aside now. */
  noteFailure (workerId: string, jobId: string): boolean
  /** The job failed on several workers, so its failures are not held against them. */
  acquit (jobId: string): readonly string[]
  /** Returns the workers whose time has come for a probe, and lets them take work again. */
  takeReadmitted (): readonly string[]
  isSetAside (workerId: string): boolean
  getSetAside (): readonly SetAsideWorker[]
}

const minFailedJobs = 3
const firstPauseMs = 60_000
const maxPauseMs = 3_600_000
const maxSetAsideShare = 0.2

interface Evidence {
  readonly failedJobs: Set<string>
  pauseMs: number
  setAsideUntilMs: number | undefined
  /** After its pause a worker is on probation: one more failure sets it aside again. */
  isOnProbation: boolean
}

/** Creates an empty record of evidence. Only a part of the `getWorkerCount()` workers is ever set aside. */
export function createWorkerHealth (getWorkerCount: () => number): WorkerHealth {
  const evidences = new Map<string, Evidence>()

  return { noteSuccess, noteFailure, acquit, takeReadmitted, isSetAside, getSetAside }

  function noteSuccess (workerId: string): void {
    const evidence = evidences.get(workerId)
    if (evidence?.setAsideUntilMs === undefined) evidences.delete(workerId)
  }

  function noteFailure (workerId: string, jobId: string): boolean {
    const evidence = getEvidence(workerId)
    if (evidence.setAsideUntilMs !== undefined) return false
    evidence.failedJobs.add(jobId)
    if (evidence.failedJobs.size < (evidence.isOnProbation ? 1 : minFailedJobs)) return false
    if (getSetAside().length + 1 > Math.max(1, getWorkerCount() * maxSetAsideShare)) return false
    evidence.setAsideUntilMs = Date.now() + evidence.pauseMs
    evidence.pauseMs = Math.min(maxPauseMs, evidence.pauseMs * 2)
    return true
  }

  function acquit (jobId: string): readonly string[] {
    const released: string[] = []
    for (const [workerId, evidence] of evidences) {
      if (!evidence.failedJobs.delete(jobId)) continue
      const isCleared = evidence.setAsideUntilMs !== undefined && !evidence.isOnProbation && evidence.failedJobs.size < minFailedJobs
      if (!isCleared) continue
      evidence.setAsideUntilMs = undefined
      evidence.pauseMs = firstPauseMs
      released.push(workerId)
    }
    return released
  }

  function takeReadmitted (): readonly string[] {
    const readmitted: string[] = []
    for (const [workerId, evidence] of evidences) {
      if (evidence.setAsideUntilMs === undefined || evidence.setAsideUntilMs > Date.now()) continue
      evidence.setAsideUntilMs = undefined
      evidence.isOnProbation = true
      evidence.failedJobs.clear()
      readmitted.push(workerId)
    }
    return readmitted
  }

  function isSetAside (workerId: string): boolean {
    return evidences.get(workerId)?.setAsideUntilMs !== undefined
  }

  function getSetAside (): readonly SetAsideWorker[] {
    return [...evidences].flatMap(([workerId, evidence]) => evidence.setAsideUntilMs === undefined
      ? []
      : [{ workerId, untilMs: evidence.setAsideUntilMs, failures: evidence.failedJobs.size }])
  }

  function getEvidence (workerId: string): Evidence {
    const known = evidences.get(workerId)
    if (known !== undefined) return known
    const created: Evidence = { failedJobs: new Set(), pauseMs: firstPauseMs, setAsideUntilMs: undefined, isOnProbation: false }
    evidences.set(workerId, created)
    return created
  }
}
