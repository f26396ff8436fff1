/**
 * Ejects endpoints that fail everything, by evidence over completed windows: a high threshold and a dwell
 * to eject, a probe to come back, and a window without requests changes nothing.
 * See "Hot key detection hysteresis for databases": two thresholds, dwell, and unknown windows.
 */

/** Says which endpoints take no requests for a while. */
export interface Ejection {
  noteOutcome (endpointId: string, isFailure: boolean): void
  isEjected (endpointId: string): boolean
  /** Takes the right to send one probe to an ejected endpoint. */
  tryTakeProbe (endpointId: string): boolean
  getEjected (): readonly string[]
}

const windowMs = 1_000
const minOutcomes = 4
const ejectFailureShare = 0.8
const firstPauseMs = 2_000
const maxPauseMs = 60_000
const maxEjectedShare = 0.5

interface Record {
  windowStartMs: number
  outcomes: number
  failures: number
  consecutiveFailures: number
  ejectedUntilMs: number | undefined
  pauseMs: number
  isProbing: boolean
}

/** Creates a record of no evidence. `getCount` says how many endpoints there are. */
export function createEjection (getCount: () => number): Ejection {
  const records = new Map<string, Record>()

  return {
    noteOutcome,
    isEjected: endpointId => records.get(endpointId)?.ejectedUntilMs !== undefined,
    tryTakeProbe,
    getEjected
  }

  function noteOutcome (endpointId: string, isFailure: boolean): void {
    const record = getRecord(endpointId)
    if (record.ejectedUntilMs !== undefined) {
      concludeProbe(record, isFailure)
      return
    }
    rollWindow(record)
    record.outcomes++
    if (isFailure) record.failures++
    record.consecutiveFailures = isFailure ? record.consecutiveFailures + 1 : 0
    const hasEvidence = record.outcomes >= minOutcomes && record.failures / record.outcomes >= ejectFailureShare
    if (hasEvidence || record.consecutiveFailures >= minOutcomes) eject(record)
  }

  function eject (record: Record): void {
    if (getEjected().length + 1 > getCount() * maxEjectedShare) return
    record.ejectedUntilMs = Date.now() + record.pauseMs
    record.isProbing = false
  }

  function concludeProbe (record: Record, isFailure: boolean): void {
    if (!record.isProbing) return
    record.isProbing = false
    if (isFailure) {
      record.pauseMs = Math.min(maxPauseMs, record.pauseMs * 2)
      record.ejectedUntilMs = Date.now() + record.pauseMs
      return
    }
    record.ejectedUntilMs = undefined
    record.pauseMs = firstPauseMs
    record.consecutiveFailures = 0
    record.outcomes = 0
    record.failures = 0
  }

  function tryTakeProbe (endpointId: string): boolean {
    const record = records.get(endpointId)
    if (record?.ejectedUntilMs === undefined || record.isProbing || record.ejectedUntilMs > Date.now()) return false
    record.isProbing = true
    return true
  }

  function getEjected (): readonly string[] {
    return [...records].filter(([, record]) => record.ejectedUntilMs !== undefined).map(([endpointId]) => endpointId)
  }

  function rollWindow (record: Record): void {
    if (Date.now() - record.windowStartMs < windowMs) return
    record.windowStartMs = Date.now()
    record.outcomes = 0
    record.failures = 0
  }

  function getRecord (endpointId: string): Record {
    const known = records.get(endpointId)
    if (known !== undefined) return known
    const created: Record = {
      windowStartMs: Date.now(),
      outcomes: 0,
      failures: 0,
      consecutiveFailures: 0,
      ejectedUntilMs: undefined,
      pauseMs: firstPauseMs,
      isProbing: false
    }
    records.set(endpointId, created)
    return created
  }
}
