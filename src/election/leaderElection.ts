/**
 * Elects the one host that schedules, by a key under a lease of the store. The fencing epoch is the revision of
 * the key's creation, so it grows with each term.
 */
import { setMaxListeners } from 'node:events'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { MetadataStore, StoredItem } from '../store/metadataStore.js'

/** What the election needs from outside. */
export interface LeaderElectionHost {
  readonly store: MetadataStore
  readonly hostId: string
  readonly logger: Logger
  readonly random: () => number
  /** A host that is small for the duty lets larger ones come first. */
  readonly isSmall: boolean
  /** Runs the term; called once for each. */
  readonly onElected: (term: Term) => void
}

/** One host's time as the scheduler. */
export interface Term {
  readonly epoch: number
  /** The leader key as a condition of writes. */
  readonly leaderKey: string
  readonly leaderRevision: number
  /** False as soon as another host may have been elected. */
  isValid (): boolean
  /** Ends the term, when another scheduler has been met or the host stops; the host does not stand for `asideMs`. */
  resign (reason: string, asideMs?: number): void
  /** Aborted at the term's end. */
  readonly signal: AbortSignal
}

/** The running election. */
export interface LeaderElection {
  getLeader (): string | undefined
  /** Gives the lease back and takes no further part. */
  stop (): Promise<void>
}

/** The key that the elected host holds. */
export const leaderKey = 'leader/scheduler'

/** Life of the lease without renewal, in ms: a dead host's successor starts within 3 s, one lost renewal does no harm. */
const leaseTtlMs = 2_000
/** Renewal period, in ms: a quarter of the lease's life, so that three renewals in a row may be lost. */
const renewPeriodMs = 500
/** A term ends so long before its lease can, in ms, for the difference between this host's and the store's clocks. */
const safetyMarginMs = 150
/** How long one look for a vacancy waits at the store, in ms: a call every 4 s a host, and a vacancy ends it at once. */
const leaderWatchWaitMs = 4_000
/** Pause after a failed call, in ms. */
const retryPauseMs = 250
/** A lease that cannot be given back for so long is left to its own end, in ms: longer than most outages. */
const releaseLimitMs = 20_000
/** A candidate waits so many times its own round trip to the store, so that near hosts come first. */
const latencyFactor = 6
/** The longest wait for the distance, in ms. */
const maxLatencyWaitMs = 400
/** A small host waits so much longer, in ms: larger ones in any region have stood by then. */
const smallHostWaitMs = 250
/** Spread of the candidates' first calls, in ms. */
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
    term?.abort('the host stops')
    await Promise.race([finished, delay(1_000)])
  }

  async function run (): Promise<void> {
    while (!stopping.signal.aborted) {
      try {
        const { found, revision } = await readLeader()
        if (found === undefined) await campaign()
        else await waitForChange(revision)
      } catch (error) {
        logger.warn('the election cannot reach the store', { error: String(error) })
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

  /** Follows from the store's revision, which moves on: the history since the leader's own revision is soon gone. */
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
    clock.renewed(clock.read(), lease.ttlMs)
    const result = await store.transact({ expected: [{ key: leaderKey, revision: 0 }], writes: [{ key: leaderKey, value: host.hostId, leaseId: lease.leaseId }] })
      .catch(async error => {
        // The write may have landed or may still land; the lease's end undoes it.
        await store.endLease(lease.leaseId).catch(() => { logger.warn('a lease could not be given back') })
        throw error
      })
    if (!result.isCommitted) {
      await store.endLease(lease.leaseId)
      return
    }
    leader = host.hostId
    await runTerm(result.revision, lease.leaseId, clock)
  }

  async function runTerm (epoch: number, leaseId: number, clock: LeaseClock): Promise<void> {
    const ending = new AbortController()
    // Each link and each waiting call of the term listens for its end.
    setMaxListeners(0, ending.signal)
    let endReason = ''
    const abort = (reason: string): void => {
      if (ending.signal.aborted) return
      endReason = reason
      ending.abort()
    }
    term = { abort, leaseId }
    logger.info('this host schedules', { epoch, leaseId })
    host.onElected({
      epoch,
      leaderKey,
      leaderRevision: epoch,
      isValid: () => !ending.signal.aborted && clock.isValid(),
      resign: (reason, asideMs = 0) => {
        candidacyPausedUntilMs = performance.now() + asideMs
        abort(reason)
      },
      signal: ending.signal
    })
    while (!ending.signal.aborted) {
      if (!clock.isValid()) abort('the lease may have ended')
      else await renew(leaseId, clock, abort)
      await delay(renewPeriodMs, ending.signal)
    }
    term = undefined
    leader = undefined
    logger.warn('this host schedules no longer', { epoch, reason: endReason })
    const released = releaseLease(leaseId)
    if (stopping.signal.aborted) await released
  }

  /** Leases may stand still while the store is out; one that is given back as soon as the store returns makes way at once. */
  async function releaseLease (leaseId: number): Promise<void> {
    const untilMs = performance.now() + releaseLimitMs
    while (performance.now() < untilMs) {
      try {
        await store.endLease(leaseId)
        return
      } catch (error) {
        logger.info('the lease could not be given back', { leaseId, error: String(error) })
        await delay(retryPauseMs)
      }
    }
  }

  async function renew (leaseId: number, clock: LeaseClock, abort: (reason: string) => void): Promise<void> {
    const sentAt = clock.read()
    try {
      await store.keepLease(leaseId)
      clock.renewed(sentAt, leaseTtlMs)
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.NotFound)) abort('the lease has ended')
      else logger.warn('a renewal of the lease failed', { leaseId, error: String(error) })
    }
  }
}

interface ClockReading {
  readonly steadyMs: number
  readonly wallMs: number
}

/** Tells whether a lease can have ended; the steady clock stands still while the host is suspended, the time of day does not. */
interface LeaseClock {
  read (): ClockReading
  renewed (sentAt: ClockReading, ttlMs: number): void
  isValid (): boolean
}

function createLeaseClock (): LeaseClock {
  let renewedAt: ClockReading = read()
  let lifeMs = 0
  return { read, renewed, isValid }

  function read (): ClockReading {
    return { steadyMs: performance.now(), wallMs: Date.now() }
  }

  function renewed (sentAt: ClockReading, ttlMs: number): void {
    renewedAt = sentAt
    lifeMs = ttlMs - safetyMarginMs
  }

  function isValid (): boolean {
    const now = read()
    return now.steadyMs - renewedAt.steadyMs < lifeMs && now.wallMs - renewedAt.wallMs < lifeMs
  }
}
