/**
 * Elects the one host that schedules, by a key attached to a lease in the store. The fencing epoch is the revision at which the
 * key was created, so it grows with each term.
 */
import { setMaxListeners } from 'node:events'
import { readClocks } from '../common/elapsedTime.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { MetadataStore, StoredItem } from '../store/metadataStore.js'
import { createLeaseRenewal, leaseMarginMs } from './leaseRenewal.js'
import type { LeaseRenewal } from './leaseRenewal.js'

/** Dependencies of the election. */
export interface LeaderElectionHost {
  readonly store: MetadataStore
  readonly hostId: string
  readonly logger: Logger
  readonly random: () => number
  /** A host with few resources waits longer before it runs for leader, so that larger hosts are preferred. */
  readonly isSmall: boolean
  /** The shortest time to live of a lease that the store grants, in ms. */
  readonly minTtlMs?: number | undefined
  /** The rank of this host among those that follow the records of the scheduler; undefined if it does not follow them. */
  readonly getStandbyRank?: () => number | undefined
  /** Called once at the start of each term. */
  readonly onElected: (term: Term) => void
  /** Called when the store has shown another state of the leader key. */
  readonly onLeaderSeen?: () => void
}

/** The leader key, as the store last showed it. */
export interface LeaderView {
  /** The host that the key names; undefined if there is no key. */
  readonly hostId: string | undefined
  /** The revision at which the key was created or, if there is none, a revision at which there was none: the epochs of all later terms are higher. */
  readonly epoch: number
}

/** The period in which one host is the leader and schedules. */
export interface Term {
  readonly epoch: number
  /** The leader key and its revision, as a condition for writes to the store. */
  readonly leaderKey: string
  readonly leaderRevision: number
  /** False as soon as another host may have been elected. Becomes true again if the store shows that none has been, unless `signal` is aborted. */
  isValid (): boolean
  /**
   * Ends the term and releases the lease. The host does not run for leader again for `candidacyPauseMs`, 0 by default, as long as other hosts take
   * over.
   */
  resign (reason: string, candidacyPauseMs?: number): void
  /** When this host ended its latest terms with a pause, so that another host takes over, by the monotonic clock; the latest first. */
  readonly stoodDownAtMs?: readonly number[]
  /** Aborted at the end of the term. */
  readonly signal: AbortSignal
}

/** The running election. */
export interface LeaderElection {
  getLeader (): string | undefined
  /** The latest state of the leader key that the store has shown; undefined before the first. */
  getLeaderView (): LeaderView | undefined
  /** The shortest of the latest round trips to the store, in ms; undefined before the first. */
  getRoundTripMs (): number | undefined
  /** Releases the lease and leaves the election. */
  stop (): Promise<void>
}

type LeaderWatch = Awaited<ReturnType<MetadataStore['watch']>>

/** The key that the elected host holds. */
export const leaderKey = 'leader/scheduler'

/** Time to live of the lease, in ms, if the store's minimum is unknown. */
export const defaultMinTtlMs = 2_000
/** Maximum of the time to live, in ms: a dead host is replaced within 3 s even when the store is very slow. */
export const maxTtlMs = 3_000
/** Time to live as a multiple of the longest round trip observed: three renewals that are awaited in turn, and the one that grants the lease. */
const ttlRoundTrips = 4
/** Number of latest round trips that are taken into account. */
const maxRoundTrips = 16
/** How long one watch of the leader key waits, in ms: one call per host every 4 s, two for a likely successor; removal of the key ends the wait at once. */
const leaderWatchWaitMs = 4_000
/** A candidate measures its round trip after this many watches without a change: 12 s. */
const watchesPerMeasurement = 3
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
/** Delay between two standbys in the order of their ranks, in ms and in round trips: the next runs when the one before should have been elected. */
const standbyDelayMs = 30
const standbyDelayRoundTrips = 3
/** Additional wait of a host that would have to read all records, in ms: by then, the standbys have run for leader. */
const coldHostWaitMs = 100
/**
 * A host that has resigned waits this long for another one to take over, in ms, before it runs again although its pause is not over: without large and
 * warm hosts, the others have been elected by then.
 */
const othersLimitMs = 1_200
/** How many of the latest terms that it ended with a pause a host remembers. */
const maxRememberedPauses = 2
/** Maximum random delay added to a candidate's wait, in ms, to spread the calls of the candidates. */
const candidateSpreadMs = 40

/** Takes part in the election until it is stopped. */
export function createLeaderElection (host: LeaderElectionHost): LeaderElection {
  const { store, logger } = host
  const stopping = new AbortController()
  let leader: string | undefined
  let view: LeaderView | undefined
  let abortTerm: ((reason: string) => void) | undefined
  let roundTripsMs: readonly number[] = []
  let candidacyPausedUntilMs = -Infinity
  let stoodDownAtMs: readonly number[] = []
  const finished = run()

  return { getLeader: () => leader, getLeaderView: () => view, getRoundTripMs, stop }

  /** Gives up the lease before anything else, so that the successor does not wait for it to expire. */
  async function stop (): Promise<void> {
    stopping.abort()
    abortTerm?.('the host is stopping')
    await Promise.race([finished, delay(1_000)])
  }

  async function run (): Promise<void> {
    while (!stopping.signal.aborted) {
      try {
        const { found, revision } = await readLeader()
        if (found === undefined) await campaign(revision)
        else await waitForChange(revision)
      } catch (error) {
        if (stopping.signal.aborted) return
        logger.warn('election call to the store failed', { error: String(error) })
        await delay(retryPauseMs * (1 + host.random()), stopping.signal)
      }
    }
  }

  async function readLeader (): Promise<{ readonly found: StoredItem | undefined, readonly revision: number }> {
    const { items, revision } = await measureRoundTrip(() => store.range(leaderKey))
    const found = items.find(item => item.key === leaderKey)
    leader = found?.value
    setView({ hostId: found?.value, epoch: found?.createdRevision ?? revision })
    return { found, revision }
  }

  function setView (seen: LeaderView): void {
    const isNews = view === undefined || view.hostId !== seen.hostId || (seen.hostId !== undefined && view.epoch !== seen.epoch)
    view = seen
    if (isNews) host.onLeaderSeen?.()
  }

  async function measureRoundTrip<T> (call: () => Promise<T>): Promise<T> {
    const startedAtMs = performance.now()
    const result = await call()
    recordRoundTrip(performance.now() - startedAtMs)
    return result
  }

  function recordRoundTrip (roundTripMs: number): void {
    roundTripsMs = [...roundTripsMs, roundTripMs].slice(-maxRoundTrips)
  }

  function getRoundTripMs (): number | undefined {
    return roundTripsMs.length === 0 ? undefined : Math.min(...roundTripsMs)
  }

  /** The shortest that the store grants, unless its answers take so long that renewals could not be confirmed in time. */
  function chooseTtlMs (): number {
    const neededMs = Math.min(maxTtlMs, ttlRoundTrips * Math.max(0, ...roundTripsMs) + leaseMarginMs)
    return Math.ceil(Math.max(host.minTtlMs ?? defaultMinTtlMs, neededMs))
  }

  /** Waits until the leader key changes, and runs for leader if there is none. Returns without a change when the leader has to be read again. */
  async function waitForChange (fromRevision: number): Promise<void> {
    const ending = new AbortController()
    const result = await watchWithOverlap(fromRevision, AbortSignal.any([stopping.signal, ending.signal])).finally(() => { ending.abort() })
    const [last] = result?.changes.slice(-1) ?? []
    if (result === undefined || last === undefined) return
    leader = last.item?.value
    setView({ hostId: leader, epoch: last.item?.createdRevision ?? result.revision })
    if (leader === undefined) await campaign(result.revision)
  }

  /** Two series of watches, so that a change is seen at once although the answer to one of them is lost. The failure of either ends both. */
  async function watchWithOverlap (fromRevision: number, signal: AbortSignal): Promise<LeaderWatch | undefined> {
    let revision = fromRevision
    // Watches from the store's latest revision, because the history since the revision of the leader key is soon compacted.
    const watchInTurn = async (): Promise<LeaderWatch | undefined> => {
      for (let watches = 0; !signal.aborted && watches < watchesPerMeasurement; watches++) {
        const result = await watchLeader(revision, leaderWatchWaitMs, signal)
        if (result === undefined || result.changes.length > 0) return result
        revision = Math.max(revision, result.revision)
      }
      return undefined
    }
    const first = watchInTurn()
    const second = delay(leaderWatchWaitMs / 2, signal).then(async () => isLikelySuccessor() ? await watchInTurn() : await first)
    return await Promise.race([first, second])
  }

  /** A host that would not run for leader before others need not see at once that there is none. */
  function isLikelySuccessor (): boolean {
    return host.getStandbyRank === undefined || host.getStandbyRank() !== undefined
  }

  /** Returns undefined if the history since the revision has been compacted. */
  async function watchLeader (fromRevision: number, waitMs: number, signal = stopping.signal): Promise<LeaderWatch | undefined> {
    return await store.watch(leaderKey, fromRevision, waitMs, signal).catch(error => {
      if (!isErrorOfKind(error, ErrorKind.HistoryGone)) throw error
      return undefined
    })
  }

  /** Runs for leader, unless another host is elected first. `fromRevision` is a revision of the store at which there was no leader. */
  async function campaign (fromRevision: number): Promise<void> {
    const vacantRevision = await waitForOthers(fromRevision)
    if (vacantRevision === undefined) return
    const observed = await watchLeader(vacantRevision, Math.max(1, Math.ceil(getWaitMs())))
    if (stopping.signal.aborted || observed === undefined || observed.changes.length > 0) return
    const grantSentAt = readClocks()
    const lease = await measureRoundTrip(() => store.grantLease(chooseTtlMs()))
    const ending = new AbortController()
    let endReason = ''
    const abort = (reason: string): void => {
      if (ending.signal.aborted) return
      endReason = reason
      ending.abort()
    }
    // Renewals start before the leader key is written, because that write may take most of the time to live of the lease.
    const renewal = createLeaseRenewal({ store, logger, ...lease, grantSentAt, onRoundTrip: recordRoundTrip, onEnded: abort })
    try {
      const result = await store.transact({ expected: [{ key: leaderKey, revision: 0 }], writes: [{ key: leaderKey, value: host.hostId, leaseId: lease.leaseId }] })
      if (result.isCommitted) {
        leader = host.hostId
        setView({ hostId: leader, epoch: result.revision })
        abortTerm = abort
        if (stopping.signal.aborted) abort('the host is stopping')
        await runTerm(result.revision, lease, renewal, ending.signal, abort)
        logger.warn('term ended: this host no longer schedules', { epoch: result.revision, reason: endReason })
      }
    } finally {
      // The write may have been applied although it failed, or may still be; ending the lease removes the key.
      renewal.stop()
      abortTerm = undefined
      const released = releaseLease(lease.leaseId)
      if (stopping.signal.aborted) await released
    }
  }

  /** Lets other hosts take over while this one has paused. Returns a revision at which there still was no leader, undefined if there may be one. */
  async function waitForOthers (fromRevision: number): Promise<number | undefined> {
    const pauseMs = candidacyPausedUntilMs - performance.now()
    if (pauseMs <= 0) return fromRevision
    const observed = await watchLeader(fromRevision, Math.ceil(Math.min(pauseMs, othersLimitMs)))
    if (stopping.signal.aborted || observed === undefined || observed.changes.length > 0) return undefined
    logger.info('no other host has taken over: this host runs for leader again', { pauseLeftMs: Math.max(0, Math.round(candidacyPausedUntilMs - performance.now())) })
    return observed.revision
  }

  function getWaitMs (): number {
    const rank = host.getStandbyRank?.()
    if (rank !== undefined) return rank * Math.max(standbyDelayMs, (getRoundTripMs() ?? 0) * standbyDelayRoundTrips)
    const latencyWaitMs = Math.min(maxLatencyWaitMs, (getRoundTripMs() ?? 0) * latencyFactor) + candidateSpreadMs * host.random()
    return latencyWaitMs + (host.isSmall ? smallHostWaitMs : 0) + (host.getStandbyRank === undefined ? 0 : coldHostWaitMs)
  }

  async function runTerm (epoch: number, lease: { readonly leaseId: number, readonly ttlMs: number }, renewal: LeaseRenewal, signal: AbortSignal, abort: (reason: string) => void): Promise<void> {
    // Each worker link and each pending call of the term adds an abort listener.
    setMaxListeners(0, signal)
    const ended = new Promise<void>(resolve => { signal.addEventListener('abort', () => { resolve() }, { once: true }) })
    if (signal.aborted) return
    logger.info('term started: this host schedules', { epoch, ...lease, longestRoundTripMs: Math.round(Math.max(0, ...roundTripsMs)) })
    host.onElected({
      epoch,
      leaderKey,
      leaderRevision: epoch,
      isValid: () => !signal.aborted && renewal.isValid(),
      stoodDownAtMs,
      resign: (reason, candidacyPauseMs = 0) => {
        if (candidacyPauseMs > 0) stoodDownAtMs = [performance.now(), ...stoodDownAtMs].slice(0, maxRememberedPauses)
        candidacyPausedUntilMs = Math.max(candidacyPausedUntilMs, performance.now() + candidacyPauseMs)
        abort(reason)
      },
      signal
    })
    await ended
    leader = undefined
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
}
