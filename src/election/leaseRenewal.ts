/** Keeps a lease of the store alive, and tells from the confirmed renewals until when it certainly has not expired. */
import { getElapsedMs, readClocks } from '../common/elapsedTime.js'
import type { ClockReading } from '../common/elapsedTime.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { MetadataStore } from '../store/metadataStore.js'

/** Dependencies of the renewal of one lease. */
export interface LeaseRenewalHost {
  readonly store: MetadataStore
  readonly logger: Logger
  readonly leaseId: number
  /** The time to live that the store has granted, in ms. */
  readonly ttlMs: number
  /** Time between two renewals while answers arrive, in ms; a fixed part of the time to live by default. */
  readonly intervalMs?: number
  /** When the request that granted the lease was sent. */
  readonly grantSentAt: ClockReading
  /** Called with the round trip of each answered renewal, in ms. */
  readonly onRoundTrip: (roundTripMs: number) => void
  /** Called once, when the lease has ended or has not been confirmed for too long. Not called after `stop`. */
  readonly onEnded: (reason: string) => void
}

/** The renewal of one lease. */
export interface LeaseRenewal {
  /** False as soon as the lease may have expired. Becomes true again if a later answer shows that it has not. */
  isValid (): boolean
  /** For how long the lease certainly does not expire yet, in ms; 0 or less if it may have expired. */
  getValidForMs (): number
  stop (): void
}

/** The lease counts as expired this long before it can expire, in ms, to allow for the difference between the host's and the store's clocks. */
export const leaseMarginMs = 150
/** Renewals in one time to live while answers arrive: at 1,000 ms, four consecutive answers may be lost or 500 ms late. */
const renewalsPerTtl = 6
/** How many times as often a lease is renewed while the last answer is late: at the usual interval, a third of the answers lost for 5 s then leaves no gap of the whole time to live. */
const hurryFactor = 2
/** Maximum number of unanswered renewals: all that a time to live may contain. Renewals are idempotent, so any of them may be answered first. */
const maxInFlight = 12
/** The last confirmation counts as late when it is older than this many renewal intervals and the latest round trip. */
const lateAfterIntervals = 2
/**
 * How long after its validity a lease is still renewed, in ms. If only the answers were lost or late, the lease exists: the next answer
 * confirms it, and no other host has to take over. Short of the outages after which any host may be elected.
 */
const confirmationGraceMs = 1_500

/** Starts renewing a lease that has just been granted. */
export function createLeaseRenewal (host: LeaseRenewalHost): LeaseRenewal {
  const { store, logger, leaseId, ttlMs } = host
  const stopping = new AbortController()
  const validForMs = ttlMs - leaseMarginMs
  const { intervalMs = ttlMs / renewalsPerTtl } = host
  /** When the latest confirmed request was sent: the lease lasts at least for its time to live from then. */
  let confirmed = { sequence: 0, sentAt: host.grantSentAt }
  let roundTripMs = 0
  let sequence = 0
  let inFlight = 0
  void run()

  return { isValid, getValidForMs, stop: () => { stopping.abort() } }

  function isValid (): boolean {
    return getValidForMs() > 0
  }

  function getValidForMs (): number {
    return stopping.signal.aborted ? 0 : validForMs - getElapsedMs(confirmed.sentAt)
  }

  async function run (): Promise<void> {
    while (!stopping.signal.aborted) {
      if (getElapsedMs(confirmed.sentAt) >= validForMs + confirmationGraceMs) {
        end('the lease may have expired')
        return
      }
      if (inFlight < maxInFlight) void renew()
      const isLate = getElapsedMs(confirmed.sentAt) > lateAfterIntervals * intervalMs + roundTripMs
      await delay(isLate ? intervalMs / hurryFactor : intervalMs, stopping.signal)
    }
  }

  async function renew (): Promise<void> {
    sequence++
    const sent = { sequence, sentAt: readClocks() }
    inFlight++
    try {
      await store.keepLeaseAlive(leaseId)
      roundTripMs = getElapsedMs(sent.sentAt)
      host.onRoundTrip(roundTripMs)
      // Answers may arrive out of order. A late one counts from the time at which its request was sent.
      if (sent.sequence > confirmed.sequence) confirmed = sent
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.NotFound)) end('the lease has expired')
      else if (!stopping.signal.aborted) logger.warn('lease renewal failed', { leaseId, error: String(error), unconfirmedForMs: Math.round(getElapsedMs(confirmed.sentAt)), isValid: isValid() })
    } finally {
      inFlight--
    }
  }

  function end (reason: string): void {
    if (stopping.signal.aborted) return
    stopping.abort()
    host.onEnded(`${reason}; last confirmed ${Math.round(getElapsedMs(confirmed.sentAt))} ms ago`)
  }
}
