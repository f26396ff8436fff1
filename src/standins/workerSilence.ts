/** Which workers of a stand-in pool the platform does not hear of: their entries in the list of workers stay as they are, and expire. */

/** What keeps a worker from reporting to the store. */
export enum SilenceCause {
  Down = 'down',
  CutFromStore = 'cut-from-store'
}

/** The silent workers of one pool. */
export interface WorkerSilence {
  has (workerId: string, cause?: SilenceCause): boolean
  set (workerId: string, cause: SilenceCause, isSet: boolean): void
}

/** How the list of workers follows. */
export interface WorkerSilenceHost {
  /** Called when the worker reports again. */
  readonly onReport: (workerId: string) => void
  /** Called when the worker has been silent for `listTimeoutMs`. */
  readonly onExpired: (workerId: string) => void
}

/** The entry of a silent worker expires after this time, in ms: three heartbeats. */
const listTimeoutMs = 4_500

/** Creates the record of a pool in which all workers report. */
export function createWorkerSilence (host: WorkerSilenceHost): WorkerSilence {
  const causes = new Map<string, Set<SilenceCause>>()
  return { has, set }

  function has (workerId: string, cause?: SilenceCause): boolean {
    const present = causes.get(workerId)
    return present !== undefined && (cause === undefined || present.has(cause))
  }

  function set (workerId: string, cause: SilenceCause, isSet: boolean): void {
    const present = causes.get(workerId)
    if (isSet) {
      if (present === undefined) begin(workerId, cause)
      else present.add(cause)
    } else if (present?.delete(cause) === true && present.size === 0) {
      causes.delete(workerId)
      host.onReport(workerId)
    }
  }

  function begin (workerId: string, cause: SilenceCause): void {
    const present = new Set([cause])
    causes.set(workerId, present)
    setTimeout(() => { if (causes.get(workerId) === present) host.onExpired(workerId) }, listTimeoutMs).unref()
  }
}
