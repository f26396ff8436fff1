/**
 * Outlier ejection: takes endpoints out of rotation when nearly all of their requests fail. Failures are counted per time window.
 * Ejection needs a high failure share over a minimum number of outcomes, or as many failures in a row across windows. Readmission
 * needs a successful probe after a back-off. A window without requests changes nothing.
 * See "Hot key detection hysteresis for databases": two thresholds, dwell time, and windows without data.
 */

/** Tracks which endpoints are temporarily ejected. */
export interface Ejection {
  /** Counts the outcome of an ordinary request. Those sent before an ejection do not count for the probe. */
  recordOutcome (endpointId: string, isFailure: boolean): void
  isEjected (endpointId: string): boolean
  /** Reserves the single probe request of an ejected endpoint; false while its back-off or an earlier probe is still running. */
  tryTakeProbe (endpointId: string): boolean
  /** Records how the probe ended. An inconclusive one leaves the endpoint ejected and lets the next request be a probe. */
  finishProbe (endpointId: string, result: ProbeResult): void
  /** Forgets all endpoints but the given ones. */
  retain (endpointIds: ReadonlySet<string>): void
  getEjected (): readonly string[]
}

/** How the probe of an ejected endpoint ended. */
export enum ProbeResult {
  Succeeded = 'succeeded',
  Failed = 'failed',
  /** The endpoint was full or leaving, or the caller closed the connection. */
  Inconclusive = 'inconclusive'
}

const windowMs = 1_000
const minOutcomes = 4
const minFailureShare = 0.8
const initialBackoffMs = 2_000
const maxBackoffMs = 60_000
const maxEjectedShare = 0.5

interface EndpointRecord {
  windowStartMs: number
  outcomes: number
  failures: number
  consecutiveFailures: number
  ejectedUntilMs: number | undefined
  backoffMs: number
  isProbing: boolean
}

/** Starts with no endpoint ejected. `getEndpointCount` returns the number of endpoints, which bounds how many may be ejected at once. */
export function createEjection (getEndpointCount: () => number): Ejection {
  const records = new Map<string, EndpointRecord>()

  return {
    recordOutcome,
    isEjected: endpointId => records.get(endpointId)?.ejectedUntilMs !== undefined,
    tryTakeProbe,
    finishProbe,
    retain,
    getEjected
  }

  function recordOutcome (endpointId: string, isFailure: boolean): void {
    const record = getRecord(endpointId)
    if (record.ejectedUntilMs !== undefined) return
    resetExpiredWindow(record)
    record.outcomes++
    if (isFailure) record.failures++
    record.consecutiveFailures = isFailure ? record.consecutiveFailures + 1 : 0
    const isFailureShareHigh = record.outcomes >= minOutcomes && record.failures / record.outcomes >= minFailureShare
    if (isFailureShareHigh || record.consecutiveFailures >= minOutcomes) eject(record)
  }

  function eject (record: EndpointRecord): void {
    if (getEjected().length + 1 > getEndpointCount() * maxEjectedShare) return
    record.ejectedUntilMs = Date.now() + record.backoffMs
    record.isProbing = false
  }

  function finishProbe (endpointId: string, result: ProbeResult): void {
    const record = records.get(endpointId)
    if (record?.isProbing !== true) return
    record.isProbing = false
    if (result === ProbeResult.Inconclusive) return
    if (result === ProbeResult.Failed) {
      record.backoffMs = Math.min(maxBackoffMs, record.backoffMs * 2)
      record.ejectedUntilMs = Date.now() + record.backoffMs
      return
    }
    record.ejectedUntilMs = undefined
    record.backoffMs = initialBackoffMs
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

  function retain (endpointIds: ReadonlySet<string>): void {
    for (const endpointId of records.keys()) if (!endpointIds.has(endpointId)) records.delete(endpointId)
  }

  function getEjected (): readonly string[] {
    return [...records].filter(([, record]) => record.ejectedUntilMs !== undefined).map(([endpointId]) => endpointId)
  }

  function resetExpiredWindow (record: EndpointRecord): void {
    if (Date.now() - record.windowStartMs < windowMs) return
    record.windowStartMs = Date.now()
    record.outcomes = 0
    record.failures = 0
  }

  function getRecord (endpointId: string): EndpointRecord {
    const known = records.get(endpointId)
    if (known !== undefined) return known
    const created: EndpointRecord = {
      windowStartMs: Date.now(),
      outcomes: 0,
      failures: 0,
      consecutiveFailures: 0,
      ejectedUntilMs: undefined,
      backoffMs: initialBackoffMs,
      isProbing: false
    }
    records.set(endpointId, created)
    return created
  }
}
