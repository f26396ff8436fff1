/**
 * Elects the one host that schedules, by a key attached to a lease in the store. The fencing epoch is the revision at which the
 * key was created, so it grows with each term.
 */
import { setMaxListeners } from 'node:events'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { MetadataStore, StoredItem } from '../store/metadataStore.js'

/** Dependencies of the election. */
export interface LeaderElectionHost {
  readonly store: MetadataStore
  readonly hostId: string
  readonly logger: Logger
  readonly random: () => number
  /** A host with few resources waits longer before it runs for leader, so that larger hosts are preferred. */
  readonly isSmall: boolean
  /** Called once at the start of each term. */
  readonly onElected: (term: Term) => void
}

/** The period in which one host is the leader and schedules. */
export interface Term {
  readonly epoch: number
  /** The leader key and its revision, as a condition for writes to the store. */
  readonly leaderKey: string
  readonly leaderRevision: number
  /** False as soon as another host may have been elected. */
  isValid (): boolean
  /** Ends the term and releases the lease. The host does not run for leader again for `candidacyPauseMs`, 0 by default. */
  resign (reason: string, candidacyPauseMs?: number): void
  /** Aborted at the end of the term. */
  readonly signal: AbortSignal
}

/** The running election. */
export interface LeaderElection {
  getLeader (): string | undefined
  /** Releases the lease and leaves the election. */
  stop (): Promise<void>
}

/** The key that the elected host holds. */
export const leaderKey = 'leader/scheduler'

/** Time to live of the lease, in ms: the successor of a dead host starts within 3 s, and one lost renewal does not end a term. */
const leaseTtlMs = 2_000
/** Renewal interval, in ms: a quarter of the lease's time to live, so that two consecutive renewals may be lost. */
const renewPeriodMs = 500
/** A term ends this long before its lease can expire, in ms, to allow for the difference between the host's and the store's clocks. */
const safetyMarginMs = 150
/** How long one watch of the leader key waits, in ms: one call per host every 4 s; removal of the key ends the wait at once. */
const leaderWatchWaitMs = 4_000
/** Pause after a failed call, in ms. */
const retryPauseMs = 250
/** Time limit for releasing a lease, in ms, after which it is left to expire: longer than most outages of the store. */
const releaseLimitMs = 20_000
/** A candidate waits for this multiple of its round trip to the store, so that hosts close to the store are preferred. */
const latencyFactor = 6
/** Maximum of the wait that depends on the round trip, in ms. */
const maxLatencyWaitMs = 400
/** Additional wait of a small host, in ms: by then, larger hosts in any region have run for leader. */
const smallHostWaitMs = 250
/** Maximum random delay added to a candidate's wait, in ms, to spread the calls of the candidates. */
const candidateSpreadMs = 40

/** Takes part in the election until it is stopped. */
export function createLeaderElection (host: LeaderElectionHost): LeaderElection {
  const { store, logger } = host
  const stopping = new AbortController()
  let leader: string | undefined
  let term: { readonly abort: (reason: string) => void, readonly leaseId: number } | undefined
  let roundTripMs = 0
  let candidacyPausedUntilMs = -Infinity
  const finished = run()

  return { getLeader: () => leader, stop }

  async function stop (): Promise<void> {
    stopping.abort()
    term?.abort('the host is stopping')
    await Promise.race([finished, delay(1_000)])
  }

  async function run (): Promise<void> {
    while (!stopping.signal.aborted) {
      try {
        const { found, revision } = await readLeader()
        if (found === undefined) await campaign()
        else await waitForChange(revision)
      } catch (error) {
        logger.warn('election call to the store failed', { error: String(error) })
        await delay(retryPauseMs * (1 + host.random()), stopping.signal)
      }
    }
  }

  async function readLeader (): Promise<{ readonly found: StoredItem | undefined, readonly revision: number }> {
    const startedAtMs = performance.now()
    const { items, revision } = await store.range(leaderKey)
    roundTripMs = performance.now() - startedAtMs
    const found = items.find(item => item.key === leaderKey)
    leader = found?.value
    return { found, revision }
  }

  /** Watches from the store's latest revision, because the history since the revision of the leader key is soon compacted. */
  async function waitForChange (fromRevision: number): Promise<void> {
    let revision = fromRevision
    while (!stopping.signal.aborted) {
      const result = await store.watch(leaderKey, revision, leaderWatchWaitMs, stopping.signal).catch(error => {
        if (!isErrorOfKind(error, ErrorKind.HistoryGone)) throw error
        return undefined
      })
      if (result === undefined || result.changes.length > 0) return
      revision = result.revision
    }
  }

  async function campaign (): Promise<void> {
    const latencyWaitMs = Math.min(maxLatencyWaitMs, roundTripMs * latencyFactor) + candidateSpreadMs * host.random()
    const waitMs = Math.max(latencyWaitMs + (host.isSmall ? smallHostWaitMs : 0), candidacyPausedUntilMs - performance.now())
    await delay(waitMs, stopping.signal)
    if (stopping.signal.aborted || (await readLeader()).found !== undefined) return
    const clock = createLeaseClock()
    const lease = await store.grantLease(leaseTtlMs)
    clock.recordRenewal(clock.read(), lease.ttlMs)
    const result = await store.transact({ expected: [{ key: leaderKey, revision: 0 }], writes: [{ key: leaderKey, value: host.hostId, leaseId: lease.leaseId }] })
      .catch(async error => {
        // The write may have been applied or may still be; ending the lease removes the key.
        await store.revokeLease(lease.leaseId).catch(() => { logger.warn('failed to release the lease after a failed write of the leader key') })
        throw error
      })
    if (!result.isCommitted) {
      await store.revokeLease(lease.leaseId)
      return
    }
    leader = host.hostId
    await runTerm(result.revision, lease.leaseId, clock)
  }

  async function runTerm (epoch: number, leaseId: number, clock: LeaseClock): Promise<void> {
    const ending = new AbortController()
    // Each worker link and each pending call of the term adds an abort listener.
    setMaxListeners(0, ending.signal)
    let endReason = ''
    const abort = (reason: string): void => {
      if (ending.signal.aborted) return
      endReason = reason
      ending.abort()
    }
    term = { abort, leaseId }
    logger.info('term started: this host schedules', { epoch, leaseId })
    host.onElected({
      epoch,
      leaderKey,
      leaderRevision: epoch,
      isValid: () => !ending.signal.aborted && clock.isValid(),
      resign: (reason, candidacyPauseMs = 0) => {
        candidacyPausedUntilMs = Math.max(candidacyPausedUntilMs, performance.now() + candidacyPauseMs)
        abort(reason)
      },
      signal: ending.signal
    })
    while (!ending.signal.aborted) {
      if (!clock.isValid()) abort('the lease may have expired')
      else await renew(leaseId, clock, abort)
      await delay(renewPeriodMs, ending.signal)
    }
    term = undefined
    leader = undefined
    logger.warn('term ended: this host no longer schedules', { epoch, reason: endReason })
    const released = releaseLease(leaseId)
    if (stopping.signal.aborted) await released
  }

  /** Leases may not expire while the store is unavailable; releasing the lease when the store is back allows an election at once. */
  async function releaseLease (leaseId: number): Promise<void> {
    const untilMs = performance.now() + releaseLimitMs
    while (performance.now() < untilMs) {
      try {
        await store.revokeLease(leaseId)
        return
      } catch (error) {
        logger.info('failed to release the lease', { leaseId, error: String(error) })
        await delay(retryPauseMs)
      }
    }
  }

  async function renew (leaseId: number, clock: LeaseClock, abort: (reason: string) => void): Promise<void> {
    const sentAt = clock.read()
    try {
      await store.keepLeaseAlive(leaseId)
      clock.recordRenewal(sentAt, leaseTtlMs)
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.NotFound)) abort('the lease has expired')
      else logger.warn('lease renewal failed', { leaseId, error: String(error) })
    }
  }
}

interface ClockReading {
  readonly monotonicMs: number
  readonly wallMs: number
}

/** Tells whether a lease is still valid, by two clocks: the monotonic one stops while the host is suspended, the wall clock does not. */
interface LeaseClock {
  read (): ClockReading
  recordRenewal (sentAt: ClockReading, ttlMs: number): void
  isValid (): boolean
}

function createLeaseClock (): LeaseClock {
  let renewedAt: ClockReading = read()
  let validForMs = 0
  return { read, recordRenewal, isValid }

  function read (): ClockReading {
    return { monotonicMs: performance.now(), wallMs: Date.now() }
  }

  function recordRenewal (sentAt: ClockReading, ttlMs: number): void {
    renewedAt = sentAt
    validForMs = ttlMs - safetyMarginMs
  }

  function isValid (): boolean {
    const now = read()
    return now.monotonicMs - renewedAt.monotonicMs < validForMs && now.wallMs - renewedAt.wallMs < validForMs
  }
}
