/** The scheduler's connection to one worker: renews the worker's lease while something runs there, and polls it for ended runs. */
import type { Logger } from '../common/logger.js'
import { createSignal, delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { createDecisiveInquiries, maxDecisiveSilenceMs } from './decisiveInquiries.js'
import type { DecisiveSlots } from './decisiveInquiries.js'
import { RunScope } from './endEvidence.js'
import { fastRetries, retryPauseMs } from './pollRetries.js'
import { createPollSender, InquiryVerdict, PollSubstitute } from './pollSender.js'
import { createRelayedPolls } from './relayedPolls.js'
import { createStoreWait } from './storeWait.js'
import { createWaitingInquiry } from './waitingInquiry.js'
import type { LinkLosses } from './waitingInquiry.js'
import { isOtherIncarnation } from './workerErrors.js'
import { maxEndsPerReport } from '../workers/workerPort.js'
import type { ListedWorker, RelayedPoll, WorkerStatusReport, WorkerPort } from '../workers/workerPort.js'
import { minExtensionGapMs, minExtensionMs, overduePollMs, planExtension, renewalLeadMs } from './extensionTiming.js'
import { createLeaseEnds } from './leaseEnds.js'
import type { EarlierOrders, LeaseEndsHost } from './leaseEnds.js'
import { getEarliestClockMs } from './workerLease.js'

/** Dependencies of a worker link. */
export interface WorkerLinkHost extends Omit<LeaseEndsHost, 'isIncarnationKnown'> {
  readonly term: Term
  readonly logger: Logger
  readonly info: ListedWorker
  readonly port: WorkerPort
  /** Tells whether an earlier term has recorded that no order for an earlier incarnation can count for the leases of this one. */
  readonly isIncarnationKnown?: (bornAtMs: number) => boolean
  /** The longest lease that the worker may be granted now, in ms; 0 if none. */
  readonly getMaxGrantMs: () => number
  /** The longest lease, in ms, by which a poll may extend what runs on the worker now; 0 if none. */
  readonly getMaxRenewalMs: () => number
  /** Called when the lease should be extended soon, and the stored record of granted leases allows it only up to a time that is near. Resolves when it allows more. */
  readonly requestExtension?: () => Promise<void>
  /** Called when the worker should have answered a poll and has not: its lease is not extended until it does. */
  readonly onOverdue?: () => void
  /** Tells whether this term has granted the worker no lease, and those of these runs that earlier terms have granted have certainly ended; false if that is not known. */
  readonly areAllLeasesOver: (scope: RunScope) => boolean
  /** Called before a request that grants the worker a lease is sent. */
  readonly onGrant: () => void
  /** Tells whether resources of the worker are allocated, or members there have not ended. */
  readonly isNeeded: () => boolean
  /** How long the next poll may wait, in ms, if the usual time is too long. */
  readonly getPollWaitMs?: () => number | undefined
  /** When the first run on the worker that is expected to end after `afterMs` does so, by the monotonic clock; Infinity if there is none. */
  readonly getExpectedEndMs?: (afterMs: number) => number
  /** The pause after a failed poll, in ms, if the usual one is too long. */
  readonly getRetryPauseMs?: () => number | undefined
  /** Polls the worker through other hosts; undefined if there is no such way. */
  readonly pollThroughPeers?: ((poll: RelayedPoll) => Promise<WorkerStatusReport>) | undefined
  /** How likely it is that answers are lost; without it, no inquiry waits beside the polls. */
  readonly losses?: LinkLosses | undefined
  /** The limits of inquiries where an end decides whether other work may start. */
  readonly decisiveSlots?: DecisiveSlots
  /** When the first run on the worker that is expected to end after `afterMs`, and whose end decides, does so, by the monotonic clock; undefined if no such run is here. */
  readonly getDecisiveEndMs?: (afterMs: number) => number | undefined
  /** Tells whether the lease may be extended through other hosts. */
  readonly mayExtendThroughPeers?: () => boolean
  /** Called when a report has come through another host: the worker may be granted a lease again. */
  readonly onRelayed?: () => void
  /** Resolves when every end in the report is stored. `isComplete` is false when the worker has more ends to report. */
  readonly onReport: (report: WorkerStatusReport, sentAtMs: number, isComplete: boolean) => Promise<void>
  readonly onReachable: (isReachable: boolean) => void
  /** Called when the worker reports that it has started anew under its id. The report is applied afterwards: it decides which runs are lost. */
  readonly onRestarted: (bornAtMs: number) => void
  /** Called when a worker with another id answers at the address: the runs of this one are gone. */
  readonly onReplaced: () => void
  /**
   * Called when the worker does not answer and the leases of these runs have certainly expired, allowing for clock differences; with `isByRecord`, because the
   * record of earlier terms says so.
   */
  readonly onLeaseExpired: (scope: RunScope, isByRecord: boolean) => void
}

/** The link to one incarnation of a worker. */
export interface WorkerLink {
  readonly port: WorkerPort
  /** Polls the worker now if the link is idle; beside a poll under way, looks anew at when the next run should end. */
  wake (): void
  /** Polls the worker once although nothing runs there, to see whether it answers. */
  check (): void
  /** Asks the worker what it runs, beside a poll that is waiting: another request to it has got no answer so far. */
  inquire (): void
  /** Must be called when answers of the worker may begin to be lost. */
  reviewWaitingInquiry (): void
  /** Must be called regularly while an end on the worker decides whether other work may start. */
  reviewDecisiveInquiries (): void
  /** Must be called when more has become known of the leases of earlier terms, and regularly. */
  reviewLease (): void
  /**
   * The end of the lease of a start that is sent now, on the worker's clock; undefined while that clock is unknown or none may be granted. Call it only to send
   * the start.
   */
  grantStartLease (): number | undefined
  /** Must be called with the clock in the answer to a start: one that is behind the known clock is that of an incarnation that has not been seen yet. */
  checkClock (clockMs: number): void
  /** Records that the list shows an incarnation of the worker; reports of earlier ones that are under way are then ignored. */
  expectIncarnation (bornAtMs: number): void
  /** The latest incarnation that the worker's reports or the list have shown, by its start as Unix time in ms. */
  getBornAtMs (): number
  /** Tells whether the latest incarnation has reported, so that it can be granted a lease. */
  hasReported (): boolean
  /** Tells whether the worker has answered the latest poll. */
  isAnswering (): boolean
  /** Tells whether the worker has answered or its lease has certainly expired. */
  isSettled (): boolean
  /** How long the worker has not answered, in ms; 0 if it has answered the latest poll. */
  getSilentForMs (): number
  /** How long the leases of these runs may still last although the worker does not answer, in ms; undefined if it answers, or its lease is over. */
  getLeaseLeftMs (scope: RunScope): number | undefined
  /**
   * How long the leases of the settled runs may still last, in ms, if none is to be extended before the next renewal of the record of granted leases; undefined otherwise.
   */
  getUnextendedLeaseMs (): number | undefined
  /** Tells whether the settled runs have leases of this term that are no longer than it asks for: no order for another incarnation may count for them. */
  areLeasesAsRequested (): boolean
  /** Tells whether orders for another incarnation may still reach the present one and count for its lease; see `LeaseEnds`. */
  mayFollowEarlierOrders (): boolean
  /** The orders of this term that may have extended a lease under the worker's id; undefined if there are none. */
  getOrders (): EarlierOrders | undefined
  /**
   * The fields that describe in the log which lease of these runs is waited for and why, when this term last extended the worker's lease, how long a poll is under way, both
   * in ms, and how many polls have failed since an answer.
   */
  describeLease (scope: RunScope): object
  close (): void
}

/** How long a poll waits for an ended run, in ms: a quarter of the shortest worker lease; a lost connection is detected in under 2 s. */
const pollWaitMs = 1_500
/** A clock counts as that of a later incarnation if it is further behind than this, in ms: more than the longest time that the answer to a start may take. */
const maxClockErrorMs = 1_000
/** A worker that has left this many polls in a row unanswered is polled through other hosts as well: one lost answer is made up for by the fast retries. */
const failedPollsBeforeRelay = 2
/** Interval of the polls while a lease is to be extended and none may be granted yet, in ms; `wake` ends it. */
const extensionRetryMs = 100
/**
 * An idle worker is polled when its clock was read this long ago, in ms: a lease is counted from the least that the clock may show, so that it is 2.4 s shorter then.
 */
const maxClockAgeMs = 120_000
/**
 * Ends are acknowledged only to a worker that has reported within this, in ms: one that has started anew since numbers its ends anew,
 * and would forget ends that were never read.
 */
const acknowledgementValidityMs = 1_000

/** Creates the link and starts polling. */
export function createWorkerLink (host: WorkerLinkHost): WorkerLink {
  const { term, port, logger, info } = host
  const changed = createSignal()
  let { bornAtMs } = info
  /** Incarnations are ordered by when they were seen, not by their starts: the worker's clock may have been set back. */
  const earlierIncarnations = new Set<number>()
  /** When the list has shown the latest incarnation before any report did, by the monotonic clock. */
  let listedAtMs = -Infinity
  let storedSequence = 0
  /** Resolves when the ends of all reports of the incarnation are stored, also of those that came through other hosts. */
  let storing = Promise.resolve()
  let reportedAtMs = -Infinity
  let clock: { readonly workerMs: number, readonly readAtMs: number } | undefined
  let hasAnswered = false
  /** Polls that have failed since the last answer. */
  let failedPolls = 0
  let isReachable = false
  let silentSinceMs = performance.now()
  let isLeaseOver = false
  /** Only the runs that are uncertain may still have a lease. */
  let areSettledRunsOver = false
  let isClosed = false
  let isCheckDue = false
  /** The latest poll has got no answer, but an inquiry beside it has. */
  let isUnconfirmed = false
  /** The highest number of an end that the present incarnation has listed, and its clock in the latest report. */
  let listedSequence = 0
  let latestClockMs = -Infinity
  const storeWait = createStoreWait(() => getExpectedEndMs(-Infinity))
  /** False until the incarnation that the list shows has answered a poll: only then does it refuse start requests of earlier terms. */
  let hasIncarnationReported = true
  const leaseEnds = createLeaseEnds({ ...host, isIncarnationKnown: () => host.isIncarnationKnown?.(bornAtMs) === true })
  /** When the answer to the poll under way is expected, by the monotonic clock, and how long the answer to the latest one took beyond its wait. */
  let answerDueAtMs = -Infinity
  let answerDelayMs = 0
  /** The worker has answered again and its lease has not been extended since. */
  let hasRecovered = false
  /** The end of the lease that the present incarnation was last given, on its clock. */
  let grantedUntilMs: number | undefined
  const sender = createPollSender({ term, logger, workerId: info.workerId, port, getExpectedEndMs, isNeeded: host.isNeeded, onInquiryAnswered: applyInquiry, onInquiryFailed: () => { void relayed.poll() } })
  const inquiryHost = { term, port, pollThroughPeers: host.pollThroughPeers, getPollAgeMs: sender.getPollAgeMs, onFailed: onWaitingInquiryFailed }
  const waitingInquiry = createWaitingInquiry({ ...inquiryHost, losses: host.losses, isDue: areLossesLikely, getExpectedEndMs, onAnswered: applyWaitingInquiry })
  const decisiveInquiries = createDecisiveInquiries({ ...inquiryHost, slots: host.decisiveSlots, isDue: isEndDecisive, getExpectedEndMs: afterMs => host.getDecisiveEndMs?.(afterMs) ?? Infinity, onAnswered: (...answer) => applyWaitingInquiry(...answer, true) })
  const relayed = createRelayedPolls({
    term,
    logger,
    workerId: info.workerId,
    poll: host.pollThroughPeers,
    isDue: () => !isClosed && isSilent() && host.isNeeded(),
    getBornAtMs: () => bornAtMs,
    getLeaseUntilMs: () => !isLeaseOver && host.mayExtendThroughPeers?.() === true ? getLeaseUntilMs() : undefined,
    onExtension: recordLeaseExtension,
    isCurrent: sentAtMs => !isClosed && reportedAtMs <= sentAtMs,
    getSilentForMs,
    getClockReadAtMs: () => clock?.readAtMs ?? -Infinity,
    onReport: applyRelayedReport,
    onSilent: () => { silentSinceMs = performance.now() }
  })
  void pollUntilClosed()

  return { port, wake, check, inquire, reviewWaitingInquiry: waitingInquiry.review, reviewDecisiveInquiries: decisiveInquiries.review, reviewLease, grantStartLease, checkClock, expectIncarnation, getBornAtMs: () => bornAtMs, hasReported: () => clock !== undefined, isAnswering: () => isReachable, isSettled: () => hasAnswered || isLeaseOver, getSilentForMs, getLeaseLeftMs, getUnextendedLeaseMs, areLeasesAsRequested, mayFollowEarlierOrders: leaseEnds.mayFollowEarlierOrders, getOrders: leaseEnds.getOrders, describeLease, close }

  function describeLease (scope: RunScope): object {
    const leaseExtendedAgoMs = leaseEnds.getOrders() !== undefined ? Math.round(performance.now() - leaseEnds.getExtendedAtMs()) : undefined
    return { awaitedLease: leaseEnds.getLatest(scope).reason, leaseExtendedAgoMs, pollUnderWayMs: Math.round(sender.getPollAgeMs()), failedPolls }
  }

  function close (): void {
    isClosed = true
    changed.notify()
    port.close()
  }

  function wake (): void {
    changed.notify()
    sender.reviewExpectedEnd()
  }

  function check (): void {
    isCheckDue = true
    changed.notify()
  }

  function expectIncarnation (listedBornAtMs: number): void {
    // The list may lag behind the reports.
    if (listedBornAtMs === bornAtMs || earlierIncarnations.has(listedBornAtMs)) return
    beginIncarnation(listedBornAtMs)
    listedAtMs = performance.now()
    hasIncarnationReported = false
    changed.notify()
  }

  function beginIncarnation (newBornAtMs: number): void {
    earlierIncarnations.add(bornAtMs)
    earlierIncarnations.delete(newBornAtMs)
    bornAtMs = newBornAtMs
    leaseEnds.onIncarnation()
    storedSequence = 0
    listedSequence = 0
    latestClockMs = -Infinity
    storing = Promise.resolve()
    // Its clock starts anew.
    clock = undefined
    grantedUntilMs = undefined
  }

  /** Tells whether no lease of the worker lasts longer than the one that this term asks for. */
  function areLeasesAsRequested (): boolean {
    return hasAnswered && clock !== undefined && leaseEnds.areAsRequested()
  }

  function recordLeaseExtension (leaseUntilMs: number): void {
    host.onGrant()
    leaseEnds.onExtension(leaseUntilMs - getEarliestKnownClockMs())
    grantedUntilMs = Math.max(grantedUntilMs ?? -Infinity, leaseUntilMs)
    hasRecovered = false
    isLeaseOver = false
    areSettledRunsOver = false
  }

  /** A start extends the lease only if little is left of it: one to a worker that is gone would prolong the wait for all runs there. */
  function grantStartLease (): number | undefined {
    const leaseUntilMs = getLeaseUntilMs()
    if (leaseUntilMs === undefined || clock === undefined) return undefined
    const leftMs = (grantedUntilMs ?? -Infinity) - clock.workerMs - (performance.now() - clock.readAtMs)
    if (leftMs < host.requestedLeaseMs / 2) recordLeaseExtension(leaseUntilMs)
    leaseEnds.onStart()
    // Wakes the polling, because only reports show whether the request was executed if its answer is lost.
    changed.notify()
    return grantedUntilMs
  }

  function checkClock (clockMs: number): void {
    if (clock === undefined || clockMs >= getEarliestClockMs(clock.workerMs, performance.now() - clock.readAtMs) - maxClockErrorMs) return
    logger.warn('the clock of a worker is behind: a later incarnation answers', { workerId: info.workerId, clockMs, knownClockMs: clock.workerMs, knownBornAtMs: bornAtMs })
    leaseEnds.onUnknownIncarnation()
    clock = undefined
    grantedUntilMs = undefined
    changed.notify()
  }

  function getLeaseUntilMs (): number | undefined {
    return getUntilMs(host.getMaxGrantMs())
  }

  function getUntilMs (grantMs: number): number | undefined {
    if (clock === undefined || grantMs <= 0) return undefined
    return Math.floor(getEarliestKnownClockMs() + grantMs)
  }

  function getEarliestKnownClockMs (): number {
    return clock === undefined ? Infinity : getEarliestClockMs(clock.workerMs, performance.now() - clock.readAtMs)
  }

  function getUnextendedLeaseMs (): number | undefined {
    if (!hasAnswered || grantedUntilMs === undefined) return undefined
    const nowMs = performance.now()
    const isOverdue = nowMs > answerDueAtMs + overduePollMs
    const isExtensionFar = nowMs + renewalLeadMs < Math.max(answerDueAtMs, leaseEnds.getExtendedAtMs() + minExtensionGapMs)
    // Polls through other hosts extend the lease while they are answered, whenever they come.
    return relayed.isAnswered() || (isReachable && !isOverdue && !isExtensionFar) ? undefined : leaseEnds.getLatest(RunScope.Settled).endMs - nowMs
  }

  /** Returns undefined if the lease cannot be extended by enough now. */
  function getExtensionUntilMs (): number | undefined {
    const maxMs = host.getMaxRenewalMs()
    const untilMs = getUntilMs(maxMs)
    const isTooShort = untilMs !== undefined && maxMs < host.requestedLeaseMs && untilMs - (grantedUntilMs ?? -Infinity) < minExtensionMs
    return isTooShort ? undefined : untilMs
  }

  function getSilentForMs (): number {
    return isReachable || relayed.isAnswered() ? 0 : performance.now() - silentSinceMs
  }

  function getLeaseLeftMs (scope: RunScope): number | undefined {
    if (isReachable || isLeaseOver) return undefined
    return host.areAllLeasesOver(scope) ? 0 : Math.max(0, leaseEnds.getLatest(scope).endMs - performance.now())
  }

  async function pollUntilClosed (): Promise<void> {
    while (!isClosed && !term.signal.aborted) {
      if (isReachable && hasIncarnationReported && !isCheckDue && !host.isNeeded()) await waitForNeed()
      else await pollOnce()
    }
  }

  /** Waits until the worker is needed, but no longer than its clock is known well enough. */
  async function waitForNeed (): Promise<void> {
    const ageMs = performance.now() - (clock?.readAtMs ?? -Infinity)
    if (ageMs >= maxClockAgeMs) isCheckDue = true
    else await changed.wait(maxClockAgeMs - ageMs)
  }

  async function pollOnce (): Promise<void> {
    if (!term.isValid()) {
      await delay(retryPauseMs, term.signal)
      return
    }
    const sentAtMs = performance.now()
    isCheckDue = false
    // The lease of a worker that does not answer is not extended: the request may arrive although its answer is lost. Without runs there is nothing to extend.
    const isNeeded = host.isNeeded()
    waitingInquiry.review()
    // Nor is that of a worker whose latest poll has got no answer, although it has answered an inquiry.
    const isConfirmed = isReachable && !isUnconfirmed
    const leaseUntilMs = isConfirmed && isNeeded ? getExtensionUntilMs() : undefined
    if (leaseUntilMs !== undefined) recordLeaseExtension(leaseUntilMs)
    try {
      const acknowledgedSequence = sentAtMs - reportedAtMs < acknowledgementValidityMs ? storedSequence : 0
      const isExtendable = isConfirmed && isNeeded
      const extension = planExtension({ sinceExtensionMs: sentAtMs - leaseEnds.getExtendedAtMs(), isExtended: leaseUntilMs !== undefined, hasRecovered, usualWaitMs: getWaitMs() })
      if (isExtendable && extension.isDelayed) void host.requestExtension?.().then(changed.notify)
      const isExtensionDue = isExtendable && (extension.isDelayed || getLeaseUntilMs() === undefined)
      const waitMs = !isExtendable || isExtensionDue ? 0 : extension.waitMs
      answerDueAtMs = sentAtMs + waitMs + answerDelayMs
      const overdueTimer = setTimeout(() => { host.onOverdue?.() }, waitMs + answerDelayMs + overduePollMs + 1)
      const report = await sender.send({ epoch: term.epoch, acknowledgedSequence, leaseUntilMs, waitMs, answerTimeoutMs: getFastRetry()?.answerTimeoutMs }, failedPolls > 0).finally(() => { clearTimeout(overdueTimer) })
      failedPolls = 0
      isUnconfirmed = report === PollSubstitute.Unconfirmed
      if (typeof report === 'object') answerDelayMs = Math.max(0, performance.now() - sentAtMs - waitMs)
      if (typeof report === 'object' && !isClosed) await applyReport(report, sentAtMs)
      if (isExtensionDue && getExtensionUntilMs() === undefined) await changed.wait(extensionRetryMs)
    } catch (error) {
      if (!isClosed && !term.signal.aborted) await onFailure(error, sentAtMs)
    }
  }

  /** How long the next poll may wait, in ms: while answers are being lost, a lost one is to show sooner. */
  function getWaitMs (): number {
    const usualMs = host.getPollWaitMs?.() ?? pollWaitMs
    return areLossesLikely() ? Math.min(usualMs, host.losses?.slots.getWaitMs() ?? usualMs) : usualMs
  }

  function areLossesLikely (): boolean {
    return !isClosed && !isLeaseOver && !term.signal.aborted && host.losses?.areLikely() === true && host.isNeeded()
  }

  /** A worker that has not answered this term is asked by its polls; one that has been silent for longer than any answer takes is gone. */
  function isEndDecisive (): boolean {
    return !isClosed && !isLeaseOver && !term.signal.aborted && hasAnswered && getSilentForMs() < maxDecisiveSilenceMs && host.isNeeded() && host.getDecisiveEndMs?.(-Infinity) !== undefined
  }

  function getExpectedEndMs (afterMs: number): number {
    return host.getExpectedEndMs?.(afterMs) ?? Infinity
  }

  function inquire (): void {
    if (!sender.tryInquire()) changed.notify()
  }

  function applyInquiry (report: WorkerStatusReport, sentAtMs: number): InquiryVerdict {
    if (isClosed || !term.isValid()) return InquiryVerdict.NothingNew
    // Another incarnation is taken note of by the next poll, which shows whether it is a later one.
    if ((report.bornAtMs ?? bornAtMs) !== bornAtMs) return InquiryVerdict.OtherIncarnation
    const hasNewEnds = report.ended.some(({ sequence }) => sequence > listedSequence)
    if (hasNewEnds) logger.info('an inquiry shows ends that the poll under way has not shown', { workerId: info.workerId, ended: report.ended.length })
    const isFirstAnswer = !isReachable
    void takeReport(report, sentAtMs)
    return hasNewEnds || isFirstAnswer ? InquiryVerdict.News : InquiryVerdict.NothingNew
  }

  /** Returns whether the answer shows ends that were not known. */
  function applyWaitingInquiry (report: WorkerStatusReport, sentAtMs: number, isRelayed: boolean, isDecisive = false): boolean {
    if (isClosed || !term.isValid()) return false
    if ((report.bornAtMs ?? bornAtMs) !== bornAtMs) {
      // Only direct polls show a restart.
      if (!isRelayed) sender.replaceWaitingPoll()
      return false
    }
    const hasNewEnds = report.ended.some(({ sequence }) => sequence > listedSequence)
    if (hasNewEnds) {
      const pollAgeMs = sender.getPollAgeMs()
      logger.info('a waiting inquiry shows ends that the poll under way has not shown', { workerId: info.workerId, ended: report.ended.length, isRelayed, isDecisive, waitedMs: Math.round(performance.now() - sentAtMs), ...(pollAgeMs === Infinity ? {} : { pollUnderWayMs: Math.round(pollAgeMs) }) })
    }
    if (isRelayed) takeRelayedReport(report, sentAtMs)
    else void takeReport(report, sentAtMs)
    sender.onAnsweredBeside(sentAtMs, !isRelayed, hasNewEnds)
    return hasNewEnds
  }

  /** Applies what another host has read after a wait: it shows neither that this host is answered nor how old the worker's clock is. */
  function takeRelayedReport (report: WorkerStatusReport, sentAtMs: number): void {
    if (report.clockMs < latestClockMs) return
    latestClockMs = report.clockMs
    for (const { sequence } of report.ended) listedSequence = Math.max(listedSequence, sequence)
    void storeEnds(report, sentAtMs, report.ended.length < maxEndsPerReport)
  }

  function onWaitingInquiryFailed (error: unknown, isRelayed: boolean): void {
    const isStale = isErrorOfKind(error, ErrorKind.StaleEpoch)
    if (isRelayed && isStale) term.resign(`worker ${info.workerId} has seen a higher epoch`)
    else if (!isRelayed && (isStale || isOtherIncarnation(error))) sender.replaceWaitingPoll()
  }

  async function applyReport (report: WorkerStatusReport, sentAtMs: number): Promise<void> {
    if (report.bornAtMs !== undefined && report.bornAtMs !== bornAtMs) {
      if (earlierIncarnations.has(report.bornAtMs) && sentAtMs < listedAtMs) {
        logger.info('report of an earlier incarnation ignored', { workerId: info.workerId, bornAtMs: report.bornAtMs, knownBornAtMs: bornAtMs })
        await delay(retryPauseMs)
        return
      }
      logger.warn('worker restarted', { workerId: info.workerId, bornAtMs: report.bornAtMs, knownBornAtMs: bornAtMs })
      beginIncarnation(report.bornAtMs)
      host.onRestarted(report.bornAtMs)
    }
    const stored = takeReport(report, sentAtMs)
    // The polls extend the lease of all runs there, also of those whose jobs can be stored.
    await Promise.race([stored.then(storeWait.reset), delay(storeWait.takeMs())])
  }

  /** Applies a report of the present incarnation. Resolves when its ends are stored. */
  function takeReport (report: WorkerStatusReport, sentAtMs: number): Promise<void> {
    // The answers to an inquiry and to the poll beside it may overtake each other.
    const isOutdated = sentAtMs < reportedAtMs && report.clockMs < latestClockMs
    reportedAtMs = performance.now()
    hasAnswered = true
    hasIncarnationReported = true
    isLeaseOver = false
    areSettledRunsOver = false
    if (!isOutdated) {
      latestClockMs = report.clockMs
      clock = { workerMs: report.clockMs, readAtMs: reportedAtMs }
      for (const { sequence } of report.ended) listedSequence = Math.max(listedSequence, sequence)
    }
    const isComplete = report.ended.length < maxEndsPerReport
    // What an outdated report lists is stored with the newer one.
    const stored = isOutdated ? storing : storeEnds(report, sentAtMs, isComplete)
    if (!isReachable) {
      isReachable = true
      hasRecovered = true
      host.onReachable(true)
    }
    const reportingBornAtMs = bornAtMs
    return stored.then(() => {
      if (bornAtMs !== reportingBornAtMs) return
      for (const end of report.ended) storedSequence = Math.max(storedSequence, end.sequence)
    })
  }

  /** An end that an earlier report has listed counts as known, so that it has to be stored for that report before it is for this one. */
  function storeEnds (report: WorkerStatusReport, sentAtMs: number, isComplete: boolean): Promise<void> {
    if (report.bornAtMs === bornAtMs) leaseEnds.onAnswer()
    storing = Promise.all([storing, host.onReport(report, sentAtMs, isComplete)]).then(() => {})
    return storing
  }

  async function onFailure (error: unknown, sentAtMs: number): Promise<void> {
    if (isErrorOfKind(error, ErrorKind.StaleEpoch)) {
      term.resign(`worker ${info.workerId} has seen a higher epoch`)
      return
    }
    if (isReachable) {
      const nowMs = performance.now()
      logger.warn('poll of a worker failed', { workerId: info.workerId, error: String(error), underWayMs: Math.round(nowMs - sentAtMs), reportAgeMs: Math.round(nowMs - reportedAtMs) })
      isReachable = false
      silentSinceMs = performance.now()
      host.onReachable(false)
      host.onOverdue?.()
    }
    if (isOtherIncarnation(error) && !isLeaseOver) {
      isLeaseOver = true
      host.onReplaced()
    }
    failedPolls++
    reviewLease()
    if (failedPolls >= failedPollsBeforeRelay) void relayed.poll()
    const pauseMs = getFastRetry()?.pauseMs ?? host.getRetryPauseMs?.() ?? retryPauseMs
    if (pauseMs > 0) await Promise.race([delay(pauseMs, term.signal), changed.wait(pauseMs)])
  }

  /** Tells whether the latest poll, or the latest inquiry beside the one under way, has got no answer. */
  function isSilent (): boolean {
    return !isReachable || sender.countFailedInquiries() > 0
  }

  /** Applies what another host has read at once. */
  function applyRelayedReport (report: WorkerStatusReport, sentAtMs: number): void {
    clock = { workerMs: report.clockMs, readAtMs: performance.now() }
    host.onRelayed?.()
    void storeEnds(report, sentAtMs, report.ended.length < maxEndsPerReport)
  }

  function reviewLease (): void {
    if (isClosed || isLeaseOver || failedPolls === 0 || !term.isValid()) return
    for (const scope of [RunScope.All, RunScope.Settled]) {
      const isByRecord = host.areAllLeasesOver(scope)
      if (!isByRecord && performance.now() <= leaseEnds.getLatest(scope).endMs) continue
      if (scope === RunScope.Settled && areSettledRunsOver) return
      areSettledRunsOver = true
      isLeaseOver = scope === RunScope.All
      host.onLeaseExpired(scope, isByRecord)
      return
    }
  }

  /** A worker that has never answered in this term may be down. */
  function getFastRetry (): typeof fastRetries[number] | undefined {
    return hasAnswered && !isLeaseOver ? fastRetries[failedPolls - 1] : undefined
  }
}
