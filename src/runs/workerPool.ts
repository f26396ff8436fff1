/** The workers of one term: their records and links, kept in sync with the platform's list of workers. */
import type { Logger } from '../common/logger.js'
import { createTurnLimiter } from '../common/turnLimiter.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { getTaskName, getUnits } from '../jobs/trackedJob.js'
import type { Member, TrackedJob } from '../jobs/trackedJob.js'
import { createWorkerState, getAllocationKey } from '../workers/workerState.js'
import type { WorkerState } from '../workers/workerState.js'
import type { LeaseRenewal, ListedWorker, RelayedPoll, WorkerStatusReport, WorkerPort } from '../workers/workerPort.js'
import { createAnswerLosses } from './answerLosses.js'
import { createDecisiveSlots } from './decisiveInquiries.js'
import { EvidenceSource, RunScope } from './endEvidence.js'
import { createFirstRequests, RequestWay } from './firstRequests.js'
import type { EndedLeases, GrantRecord, SilentWorker } from './grantRecord.js'
import type { RenewedWorker } from './renewedWorkers.js'
import type { EarlierOrders } from './leaseEnds.js'
import { getLongestDurationMs, maxRequestDelayMs } from './workerLease.js'
import { createInquirySlots } from './waitingInquiry.js'
import { retryPauseMs } from './pollRetries.js'
import { createWorkerLink } from './workerLink.js'
import type { WorkerLink } from './workerLink.js'

/** Dependencies of the worker pool. */
export interface WorkerPoolHost {
  readonly term: Term
  readonly logger: Logger
  /** The longest lease that a worker grants, in ms. Schedulers of other versions may ask for it. */
  readonly maxLeaseMs: number
  /** The longest lease that this term asks for, in ms. */
  readonly requestedLeaseMs: number
  readonly connect: (info: ListedWorker) => WorkerPort
  /** Polls a worker through other hosts; undefined if there are none. */
  readonly pollThroughPeers?: ((info: ListedWorker, poll: RelayedPoll) => Promise<WorkerStatusReport>) | undefined
  /** Tells whether the worker's lease may be extended through other hosts: stops are not relayed, so what is to be stopped ends with its lease. */
  readonly mayExtendThroughPeers?: (workerId: string) => boolean
  /** What this term and earlier ones have recorded about the leases that they have granted. */
  readonly grants: Pick<GrantRecord, 'getMaxGrantMs' | 'getMaxRenewalMs' | 'getEndedLeases' | 'isLifeKnown' | 'excludeSilent' | 'isExcluded' | 'include' | 'requestExtension' | 'requestNaming'>
  /** Tells whether the list of workers shows the lives that are known now. */
  readonly isWorkerListCurrent: () => boolean
  /** How long the store has answered this host without interruption, in ms. */
  readonly getStoreContactMs: () => number
  /** The members on the worker that have not ended. */
  readonly getMembers: (workerId: string) => ReadonlySet<Pick<Member, 'bornAtMs'>>
  /** Tells whether the worker's reports are needed: it has members, or a start request without an answer may still be carried out there. */
  readonly needsReports: (workerId: string) => boolean
  /** Tells whether an earlier term has started a member on the worker that has not ended. */
  readonly hasRestoredMembers: (workerId: string) => boolean
  /** The runs, by allocation key, of which a start request may still be carried out on the worker, also by a later life of which nothing is known. */
  readonly getUncertainRuns: (workerId: string) => ReadonlySet<string>
  /** The runs, by allocation key, on the worker that it has not confirmed: their start requests may still be sent. */
  readonly getUnconfirmedRuns: (workerId: string) => readonly string[]
  /** The runs, by allocation key, of earlier terms on the worker whose jobs had their progress stored after this revision. */
  readonly getRunsStoredAfter: (workerId: string, revision: number) => readonly string[]
  /** How long the next poll of the worker may wait, in ms, if the usual time is too long. */
  readonly getPollWaitMs: (workerId: string) => number | undefined
  /** When the first run on the worker that is expected to end after `afterMs` does so, by the monotonic clock; Infinity if there is none. */
  readonly getExpectedEndMs: (workerId: string, afterMs: number) => number
  /** When the first run on the worker that is expected to end after `afterMs`, and whose end decides whether other work may start, does so; undefined if there is no such run. */
  readonly getDecisiveEndMs: (workerId: string, afterMs: number) => number | undefined
  /** Resolves when every end in the report is stored. */
  readonly onReport: (worker: WorkerState, report: WorkerStatusReport, sentAtMs: number, isComplete: boolean) => Promise<void>
  /** Called when the runs on the worker have certainly ended, by this evidence: all but those, by allocation key, in `uncertainRuns`. */
  readonly onLost: (worker: WorkerState, source: EvidenceSource, uncertainRuns: ReadonlySet<string>) => void
  /** Called when a worker that was not in maintenance turns out to have started anew, at `bornAtMs` on the same machine; its life may have ended by its drain. */
  readonly onCrashed: (workerId: string, machine: string, bornAtMs: number, wasDraining: boolean) => void
  readonly onChanged: () => void
}

/** The records and links of the workers. */
export interface WorkerPool {
  readonly workers: ReadonlyMap<string, WorkerState>
  getLink (workerId: string): WorkerLink | undefined
  /** Applies the platform's current list of workers. */
  refresh (listed: readonly ListedWorker[]): void
  /** Tells whether a start request of the run may still be carried out, so that its lease may last longer than those of the other runs of its worker. */
  isUncertain (member: Member): boolean
  /** Adds the workers of stored attempts that are not on the list: their tasks may run until their leases expire. */
  addUnlisted (job: TrackedJob): void
  /**
   * Tells whether every worker that holds members has answered or its lease has certainly expired, and whether all others have
   * answered or have had `freeWorkerWaitMs` to do so since their first polls were sent. Workers that answer later join then.
   */
  areSettled (): boolean
  /** The fields that describe in the log how many workers with members do not answer, and how long the last of their leases may still last, in ms. */
  describeUnanswered (): object
  /** The ids of the workers that hold members and have not answered yet, so that this term has granted them no lease. */
  getUnanswered (): readonly string[]
  /** The young lives of workers with members, by their starts as Unix time in ms, for which no order for an earlier life counts any more. */
  getKnownLives (): ReadonlyMap<string, number>
  /** The workers with members to which this term has granted leases that a renewal of the record can name under a timer. */
  getRenewed (): readonly RenewedWorker[]
  /** Records when the leases of workers that hold runs and do not answer will have ended, so that a later term need not wait longer. */
  recordSilent (): void
  /** Must be called when leases may be granted that could not be granted before. */
  wakeLinks (): void
  /** Must be called when more has become known of the leases of earlier terms, and regularly: an answer may be awaited for long after the end of a lease. */
  reviewLeases (): void
  /** Must be called regularly with the workers where an end decides whether other work may start, the most decisive first. */
  reviewDecisiveInquiries (workerIds: Iterable<string>): void
  /** Resigns the term when most of the workers that have been polled have been unreachable for too long. */
  checkReachability (): void
  close (): void
}

/** A link that has been closed. */
interface ClosedLink {
  readonly bornAtMs: number
  readonly orders: EarlierOrders | undefined
}

/** How long workers without members are waited for at the start of a term, in ms: with the first of them alone, planning would preempt and spread needlessly. */
const freeWorkerWaitMs = 100
/**
 * At most this many polls of workers that have not answered begin in one turn of the event loop. Load: a term that starts with 3,000 workers. All
 * at once, their connections kept the loop busy for longer than the time-out of a poll and the lease of the term. 16 take about 50 ms of the smallest host.
 */
const maxContactsPerTurn = 16
/** A scheduler that reaches fewer than two in five workers for `unreachableLimitMs` resigns its term. */
const maxUnreachableShare = 0.6
/** Interval in ms at which at most the idle workers of a failure domain are polled because another of its workers does not answer. */
const domainCheckPeriodMs = 1_000
/** The most workers of a domain that are polled so in one period: a domain may have thousands, and each poll costs processor time on both sides. */
const maxChecksPerPeriod = 64
/** How long so many workers may be unreachable, in ms: longer than a restarted pool takes to answer again. */
const unreachableLimitMs = 2_500
/** After resigning, the host does not run for leader for this long, in ms, so that another host is elected first. */
const candidacyPauseMs = 4_000
/**
 * A host that has resigned twice within this time, in ms, and is elected again, is no worse than the others: one that is alone in being cut off is rarely elected
 * three times while another host lives.
 */
const handOverPeriodMs = 30_000
/**
 * Such a host resigns only after this multiple of a worker's lease: each term waits anew for the leases of workers that do not answer, and has to place
 * their work elsewhere after that.
 */
const leasesPerHandOver = 2

/** The shortest pause after a failed poll of a worker that holds runs, in ms: its lease may be about to end when it answers again. */
const minRetryPauseMs = 100
/**
 * The pause, in ms, for each worker that does not answer, up to the usual pause: below that, these polls do not exceed 100 a second. Each takes about 3 ms of the
 * smallest host.
 */
const retryPausePerWorkerMs = 10

/** How long a worker has not answered, in ms, when the end of its lease is recorded: brief losses of the connection cost no write. */
const minSilenceMs = 500
/** Interval in ms at which the ends of leases are recorded at most. */
const silentRecordPeriodMs = 500
/** The most workers that a log line names. */
const maxLoggedWorkers = 20
/** A worker with more uncertain runs is not recorded: the record names them. */
const maxRecordedRuns = 64

/** How long after the store's return the entry of a living worker may still be missing, in ms. Source: the platform's pages say about 2 s. */
const entryReturnMs = 2_500
/** The most by which a worker's time of day may differ from this host's, in ms. */
const clockDifferenceMs = 10_000

/** Creates the pool of one term. */
export function createWorkerPool (host: WorkerPoolHost): WorkerPool {
  const { term, logger } = host
  const workers = new Map<string, WorkerState>()
  const links = new Map<string, WorkerLink>()
  /** The latest life of each machine. */
  const lives = new Map<string, WorkerState>()
  /** The earlier life of a machine, by the id of the worker that has been listed for it since, until that worker has reported. */
  const earlierLives = new Map<string, WorkerState>()
  const startedAtMs = performance.now()
  /** A life that is older has carried out whatever was sent to the life before it, and the leases that it counted from then are over. */
  const youngLifeMs = maxRequestDelayMs + getLongestDurationMs(host.maxLeaseMs) + clockDifferenceMs
  /** After this time the orders of earlier terms have been carried out, and the leases that counted from then are over. */
  const earlierOrdersOverAtMs = startedAtMs + maxRequestDelayMs + getLongestDurationMs(host.maxLeaseMs)
  /** The workers, by id, that this term may have granted a lease. */
  const granted = new Set<string>()
  /** The workers, by id, whose links are closed, and the life to which the link was last connected. */
  const closedLinks = new Map<string, ClosedLink>()
  /** When the idle workers of each failure domain were last polled. */
  const checkedAtMs = new Map<string, number>()
  /** Where the next check of a domain with more idle workers begins. */
  let checkOffset = 0
  let unreachableSinceMs: number | undefined
  /** The workers that did not answer at the last check of reachability. */
  let unansweringWorkers = Infinity
  let silentRecordedAtMs = -Infinity
  /** The silent workers that the record does not name because none of their runs is certain to end with their leases. */
  let leftOut: ReadonlySet<string> = new Set()
  const [, lastButOneMs = -Infinity] = term.stoodDownAtMs ?? []
  const resignAfterMs = performance.now() - lastButOneMs < handOverPeriodMs ? Math.max(unreachableLimitMs, leasesPerHandOver * host.maxLeaseMs) : unreachableLimitMs
  /** The workers whose first poll has not ended, and when it was sent; undefined while it waits to be sent. */
  const firstPolls = new Map<string, number | undefined>()
  // Workers that hold members come first: their leases have to be extended before they end.
  const contacts = createTurnLimiter({ maxPerTurn: maxContactsPerTurn, isUrgent: hasMembers })
  const firstRequests = createFirstRequests({ term, logger, getUnanswered })
  const losses = createAnswerLosses({
    logger,
    countBusyWorkers: () => [...links.keys()].filter(hasMembers).length,
    onUnanswered: workerId => { links.get(workerId)?.reviewWaitingInquiry() },
    onBegun: () => { for (const link of links.values()) link.reviewWaitingInquiry() }
  })
  const slots = createInquirySlots()
  const decisiveSlots = createDecisiveSlots()
  const pollThroughPeers = host.pollThroughPeers && observeRelayed(host.pollThroughPeers)

  return { workers, getLink: workerId => links.get(workerId), refresh, isUncertain, addUnlisted, areSettled, describeUnanswered, getUnanswered, getKnownLives, getRenewed, recordSilent, wakeLinks, reviewLeases, reviewDecisiveInquiries, checkReachability, close }

  function hasMembers (workerId: string): boolean {
    return host.getMembers(workerId).size > 0
  }

  function close (): void {
    for (const link of links.values()) link.close()
  }

  function areSettled (): boolean {
    return [...links].every(([workerId, link]) => link.isSettled() || !(isAwaited(workerId) || hasMembers(workerId)))
  }

  function describeUnanswered (): object {
    const leasesLeftMs = [...links].flatMap(([workerId, link]) => hasMembers(workerId) ? link.getLeaseLeftMs(RunScope.All) ?? [] : [])
    return { unansweredWorkers: leasesLeftMs.length, ...(leasesLeftMs.length === 0 ? {} : { leasesLeftMs: Math.round(Math.max(...leasesLeftMs)) }) }
  }

  function getUnanswered (): readonly string[] {
    return [...links].flatMap(([workerId, link]) => !link.isSettled() && !granted.has(workerId) && hasMembers(workerId) ? workerId : [])
  }

  function getKnownLives (): ReadonlyMap<string, number> {
    return new Map([...workers.values()].flatMap(({ info }) => {
      const link = links.get(info.workerId)
      const isKnown = isYoung(info) && hasMembers(info.workerId) && link?.hasReported() === true && link.getBornAtMs() === info.bornAtMs && !link.mayFollowEarlierOrders()
      return isKnown ? [[info.workerId, info.bornAtMs] as const] : []
    }))
  }

  function getRenewed (): readonly RenewedWorker[] {
    return [...links].flatMap(([workerId, link]) => {
      if (!hasMembers(workerId)) return []
      const leasesLeftMs = granted.has(workerId) ? link.getUnextendedLeaseMs() : undefined
      if (leasesLeftMs === undefined && !link.areLeasesAsRequested()) return []
      const silent = describeSilent([workerId, link])
      const uncertainRuns = [...new Set([...silent.uncertainRuns, ...host.getUnconfirmedRuns(workerId)])]
      return uncertainRuns.length < host.getMembers(workerId).size && uncertainRuns.length <= maxRecordedRuns ? { ...silent, uncertainRuns, leasesLeftMs } : []
    })
  }

  function recordSilent (): void {
    const nowMs = performance.now()
    if (nowMs - silentRecordedAtMs < silentRecordPeriodMs) return
    const found = [...links].filter(([workerId, link]) => link.getSilentForMs() >= minSilenceMs && hasMembers(workerId) && !host.grants.isExcluded(workerId)).map(describeSilent)
    const silent = found.filter(({ workerId, uncertainRuns }) => uncertainRuns.length < host.getMembers(workerId).size && uncertainRuns.length <= maxRecordedRuns)
    logLeftOut(found.filter(worker => !silent.includes(worker)).map(({ workerId }) => workerId))
    if (silent.length === 0) return
    silentRecordedAtMs = nowMs
    // Workers whose leases may last longer than this term asks for have a timer of their own.
    const isLong = ({ workerId }: SilentWorker): boolean => getSettledLeaseLeftMs(workerId) > getLongestDurationMs(host.requestedLeaseMs)
    excludeSilent(silent.filter(worker => !isLong(worker)))
    excludeSilent(silent.filter(isLong))
  }

  function getSettledLeaseLeftMs (workerId: string): number {
    return links.get(workerId)?.getLeaseLeftMs(RunScope.Settled) ?? 0
  }

  function excludeSilent (silent: readonly SilentWorker[]): void {
    if (silent.length === 0) return
    const leasesLeftMs = Math.max(...silent.map(({ workerId }) => getSettledLeaseLeftMs(workerId)))
    const excluded = host.grants.excludeSilent(silent, leasesLeftMs)
    if (excluded.length === 0) return
    const uncertainRuns = silent.reduce((sum, worker) => sum + worker.uncertainRuns.length, 0)
    const earlierLives = silent.filter(({ isLifeKnown }) => !isLifeKnown).length
    logger.info('workers that do not answer are granted no lease', { workers: excluded.length, workerIds: excluded.slice(0, maxLoggedWorkers), leasesLeftMs: Math.round(leasesLeftMs), uncertainRuns, earlierLives })
  }

  function describeSilent ([workerId, link]: readonly [string, WorkerLink]): SilentWorker {
    // This term does not know of which runs that it has taken over earlier ones have left starts without an answer, which a later life may carry out.
    const areStartsKnown = areEarlierOrdersOver() || !host.hasRestoredMembers(workerId)
    const isLifeKnown = areStartsKnown && !link.mayFollowEarlierOrders()
    return { workerId, uncertainRuns: [...host.getUncertainRuns(workerId)], isLifeKnown }
  }

  function logLeftOut (workerIds: readonly string[]): void {
    const added = workerIds.filter(workerId => !leftOut.has(workerId))
    leftOut = new Set(workerIds)
    if (added.length > 0) logger.info('workers that do not answer are left out of the record: starts have got no answer', { workers: added.length, workerIds: added.slice(0, maxLoggedWorkers) })
  }

  function wakeLinks (): void {
    // A poll of a worker that does not answer would be of no use.
    for (const link of links.values()) if (link.isAnswering()) link.wake()
  }

  function reviewLeases (): void {
    for (const link of [...links.values()]) link.reviewLease()
    losses.review()
  }

  function reviewDecisiveInquiries (workerIds: Iterable<string>): void {
    for (const workerId of workerIds) links.get(workerId)?.reviewDecisiveInquiries()
  }

  function getRetryPauseMs (): number {
    return Math.min(retryPauseMs, Math.max(minRetryPauseMs, retryPausePerWorkerMs * unansweringWorkers))
  }

  function isAwaited (workerId: string): boolean {
    const sentAtMs = firstPolls.get(workerId) ?? Infinity
    return firstPolls.has(workerId) && performance.now() - sentAtMs < freeWorkerWaitMs
  }

  /** A host that is disconnected from most workers lets another host, which may reach them, take over. A worker that waits for its first poll shows nothing. */
  function checkReachability (): void {
    unansweringWorkers = [...links.values()].filter(link => !link.isAnswering()).length
    const listed = [...workers.values()].filter(worker => worker.isListed && !firstPolls.has(worker.info.workerId))
    const unreachable = listed.filter(({ info }) => links.get(info.workerId)?.isAnswering() !== true).length
    if (listed.length === 0 || unreachable <= listed.length * maxUnreachableShare) unreachableSinceMs = undefined
    else unreachableSinceMs ??= performance.now()
    if (unreachableSinceMs === undefined || performance.now() - unreachableSinceMs < resignAfterMs) return
    term.resign(`${unreachable} of ${listed.length} workers are unreachable`, candidacyPauseMs)
  }

  function refresh (listed: readonly ListedWorker[]): void {
    const listedIds = new Set(listed.map(info => info.workerId))
    for (const info of listed) addOrUpdate(info)
    for (const worker of workers.values()) if (!listedIds.has(worker.info.workerId)) unlist(worker)
  }

  function addOrUpdate (info: ListedWorker): void {
    const worker = workers.get(info.workerId)
    if (worker === undefined) {
      addWorker(info)
      return
    }
    const isNewIncarnation = worker.info.bornAtMs !== info.bornAtMs
    const isMachineNew = worker.info.machineId !== info.machineId
    if (isNewIncarnation) logger.info('worker listed with a new incarnation', { workerId: info.workerId, bornAtMs: info.bornAtMs })
    if (worker.info.address !== info.address) {
      // Its address was unknown, because the worker was only known from stored attempts, or it has changed.
      closeLink(info.workerId)
      worker.info = info
      worker.isReachable = false
      addLink(worker)
    }
    // Start requests may have reached the new incarnation, so its report decides which runs are lost.
    const link = links.get(info.workerId)
    link?.expectIncarnation(info.bornAtMs)
    if (isNewIncarnation) reportCrash(worker, info.bornAtMs)
    worker.isIncarnationListed = link === undefined || (link.getBornAtMs() === info.bornAtMs && link.hasReported())
    if (worker.info.isDraining !== info.isDraining) logger.info('draining state of a worker changed', { workerId: info.workerId, isDraining: info.isDraining, remainingMs: info.remainingMs })
    worker.info = info
    worker.isListed = true
    if (isMachineNew) recordLife(worker)
  }

  function addWorker (info: ListedWorker): void {
    const worker = createWorkerState(info)
    workers.set(info.workerId, worker)
    addLink(worker)
    recordLife(worker)
  }

  function recordLife (worker: WorkerState): void {
    const { info } = worker
    if (info.machineId === undefined) return
    const previous = lives.get(info.machineId)
    if (previous !== undefined && previous.info.bornAtMs < info.bornAtMs) {
      logger.info('machine listed with a new worker', { machine: info.machineId, previousWorkerId: previous.info.workerId, workerId: info.workerId, address: info.address, bornAtMs: info.bornAtMs })
      reportCrash(previous, info.bornAtMs)
      earlierLives.set(info.workerId, previous)
    }
    if (previous === undefined || previous.info.bornAtMs < info.bornAtMs) lives.set(info.machineId, worker)
  }

  function reportCrash (worker: WorkerState, bornAtMs: number): void {
    // A worker that is only known from stored attempts counts as draining; the crash tracking notices its end by itself.
    if (worker.info.address !== '' && !worker.isInMaintenance) host.onCrashed(worker.info.workerId, worker.info.machineId ?? worker.info.workerId, bornAtMs, worker.info.isDraining)
  }

  function addLink (worker: WorkerState): void {
    const { info } = worker
    firstPolls.set(info.workerId, undefined)
    const link = createWorkerLink({
      term,
      logger,
      info,
      port: connect(info),
      maxLeaseMs: host.maxLeaseMs,
      requestedLeaseMs: host.requestedLeaseMs,
      termStartedAtMs: startedAtMs,
      earlierOrders: getEarlierOrders(info),
      hasOrdersOfEarlierTerms: !areEarlierOrdersOver() && isYoung(info),
      areEarlierOrdersOver,
      isIncarnationKnown: bornAtMs => host.grants.isLifeKnown(info.workerId, bornAtMs),
      hasUncertainRuns: () => host.getUncertainRuns(info.workerId).size > 0,
      getMaxGrantMs: () => Math.min(host.requestedLeaseMs, host.grants.getMaxGrantMs(info.workerId)),
      // Late orders for another life do not end with the timer of this one.
      getMaxRenewalMs: () => Math.min(host.requestedLeaseMs, link.mayFollowEarlierOrders() ? host.grants.getMaxGrantMs(info.workerId) : host.grants.getMaxRenewalMs(info.workerId)),
      requestExtension: async () => { await host.grants.requestExtension(info.workerId) },
      onOverdue: () => { if (hasMembers(info.workerId)) host.grants.requestNaming() },
      areEarlierLeasesOver: scope => areEarlierLeasesOver(worker, scope) && isOnlyLife(worker),
      // Without a lease of this term, the runs on the worker are those of which the earlier terms knew.
      areAllLeasesOver: scope => !granted.has(info.workerId) && areEarlierLeasesOver(worker, scope) && (getEndedLeases(info.workerId)?.isLifeKnown === true || isOnlyLife(worker)),
      onGrant: () => { granted.add(info.workerId) },
      isNeeded: () => worker.allocations.size > 0 || host.needsReports(info.workerId),
      getPollWaitMs: () => host.getPollWaitMs(info.workerId),
      getExpectedEndMs: afterMs => host.getExpectedEndMs(info.workerId, afterMs),
      getRetryPauseMs: () => hasMembers(info.workerId) ? getRetryPauseMs() : undefined,
      losses: {
        areLikely: () => losses.isLossLikely(info.workerId),
        hasLeftUnanswered: () => losses.hasLeftUnanswered(info.workerId),
        isSilent: () => losses.isSilent(info.workerId),
        slots
      },
      decisiveSlots,
      getDecisiveEndMs: afterMs => host.getDecisiveEndMs(info.workerId, afterMs),
      pollThroughPeers: info.address === '' ? undefined : pollThroughPeers && (poll => firstRequests.record(info.workerId, RequestWay.Relayed, () => pollThroughPeers(info, poll))),
      mayExtendThroughPeers: () => host.mayExtendThroughPeers?.(info.workerId) === true,
      onRelayed: () => { void host.grants.include(info.workerId) },
      onReport: (report, sentAtMs, isComplete) => {
        endEarlierLife(worker, report)
        worker.isIncarnationListed = link.getBornAtMs() === worker.info.bornAtMs
        return host.onReport(worker, report, sentAtMs, isComplete)
      },
      onReachable: isAnswering => {
        if (isAnswering && host.grants.isExcluded(info.workerId)) {
          void includeWorker()
          return
        }
        worker.isReachable = isAnswering
        if (!isAnswering) checkDomain(worker.info.domain)
        host.onChanged()
      },
      onRestarted: bornAtMs => {
        reportCrash(worker, bornAtMs)
        worker.reportedBornAtMs = bornAtMs
        worker.isIncarnationListed = worker.info.bornAtMs === bornAtMs
      },
      onReplaced: () => {
        worker.isReachable = false
        host.onLost(worker, EvidenceSource.Replaced, new Set())
      },
      onLeaseExpired: (scope, isByRecord) => {
        host.onLost(worker, isByRecord ? EvidenceSource.EarlierLeasesOver : EvidenceSource.LeaseExpired, scope === RunScope.All ? new Set() : getUncertainRuns(info.workerId))
        if (!worker.isListed && !host.needsReports(worker.info.workerId)) removeWorker(worker)
      }
    })
    links.set(info.workerId, link)

    /** The worker can be used as soon as it may be granted a lease. */
    async function includeWorker (): Promise<void> {
      await host.grants.include(info.workerId)
      if (links.get(info.workerId) !== link || !link.isAnswering()) return
      worker.isReachable = true
      link.wake()
      host.onChanged()
    }
  }

  /** The runs, by allocation key, of which start requests of this term or of an earlier one may still be carried out on the worker. */
  function getUncertainRuns (workerId: string): ReadonlySet<string> {
    return new Set([...host.getUncertainRuns(workerId), ...getEndedLeases(workerId)?.uncertainRuns ?? []])
  }

  function getEndedLeases (workerId: string): Pick<EndedLeases, 'uncertainRuns' | 'isLifeKnown'> | undefined {
    const ended = host.grants.getEndedLeases(workerId)
    return ended && { ...ended, uncertainRuns: new Set([...ended.uncertainRuns, ...host.getRunsStoredAfter(workerId, ended.upToRevision ?? Infinity)]) }
  }

  function isUncertain (member: Member): boolean {
    return getUncertainRuns(member.workerId).has(getAllocationKey(getTaskName(member), member.attempt.run))
  }

  function areEarlierLeasesOver ({ info }: WorkerState, scope: RunScope): boolean {
    const ended = getEndedLeases(info.workerId)
    return ended !== undefined && (scope === RunScope.Settled || ended.uncertainRuns.size === 0)
  }

  /**
   * Tells whether no other life under the worker's id can hold a lease. Such a life may carry out a request late that was meant for the life before, and its lease
   * then counts from that moment.
   */
  function isOnlyLife ({ info, isListed }: WorkerState): boolean {
    const isMissing = !isListed || info.address === ''
    if (isMissing && Math.max(performance.now() - startedAtMs, host.getStoreContactMs()) < entryReturnMs) return false
    if (isYoung(info) && !host.grants.isLifeKnown(info.workerId, info.bornAtMs)) return false
    return host.isWorkerListCurrent() && [...host.getMembers(info.workerId)].every(({ bornAtMs }) => bornAtMs === info.bornAtMs)
  }

  function closeLink (workerId: string): void {
    const link = links.get(workerId)
    link?.close()
    if (link?.getOrders() !== undefined) closedLinks.set(workerId, { bornAtMs: link.getBornAtMs(), orders: link.getOrders() })
  }

  /** Orders for the same life do not count by another clock: only those for another one may ask for a longer lease than this term does. */
  function getEarlierOrders ({ workerId, bornAtMs }: ListedWorker): EarlierOrders | undefined {
    const closed = closedLinks.get(workerId)
    if (closed?.bornAtMs === bornAtMs) return closed.orders
    return granted.has(workerId) ? { laterIncarnationSeenAtMs: performance.now() } : undefined
  }

  /** Tells whether orders that were sent to the life before this one may count for its leases. */
  function isYoung ({ bornAtMs }: ListedWorker): boolean {
    return Date.now() - bornAtMs <= youngLifeMs
  }

  function areEarlierOrdersOver (): boolean {
    return performance.now() >= earlierOrdersOverAtMs
  }

  /** A report of a machine's later life shows that nothing of the earlier one runs any more, also where no other worker answers at its address. */
  function endEarlierLife ({ info }: WorkerState, report: WorkerStatusReport): void {
    const earlier = earlierLives.get(info.workerId)
    earlierLives.delete(info.workerId)
    if (earlier === undefined || earlier.info.bornAtMs >= (report.bornAtMs ?? info.bornAtMs)) return
    earlier.isReachable = false
    host.onLost(earlier, EvidenceSource.Replaced, new Set())
  }

  /** A cut may concern the whole domain: a start on an idle worker behind it costs the job the wait for a lease. */
  function checkDomain (domain: string): void {
    const nowMs = performance.now()
    if (nowMs - (checkedAtMs.get(domain) ?? -Infinity) < domainCheckPeriodMs) return
    checkedAtMs.set(domain, nowMs)
    const idle = [...workers.values()].filter(({ info, isReachable, allocations }) => isReachable && info.domain === domain && allocations.size === 0)
    const offset = idle.length <= maxChecksPerPeriod ? 0 : checkOffset % idle.length
    checkOffset += maxChecksPerPeriod
    for (const { info } of [...idle.slice(offset), ...idle.slice(0, offset)].slice(0, maxChecksPerPeriod)) links.get(info.workerId)?.check()
  }

  function observeRelayed (poll: NonNullable<WorkerPoolHost['pollThroughPeers']>): NonNullable<WorkerPoolHost['pollThroughPeers']> {
    return async (info, request) => {
      const report = await poll(info, request)
      losses.onRelayed(info.workerId)
      return report
    }
  }

  /** Connects to a worker. Polls that extend no lease, which are those of workers that have not answered, wait for their turn. */
  function connect (info: ListedWorker): WorkerPort {
    const { workerId } = info
    const port = losses.observe(workerId, host.connect(info))
    let isClosed = false
    return { ...port, renewLease, close }

    async function renewLease (renewal: LeaseRenewal): Promise<WorkerStatusReport> {
      if (renewal.leaseUntilMs === undefined) {
        await contacts.wait(workerId)
        if (isClosed || !term.isValid()) throw createError(ErrorKind.PeerUnreachable, 'the poll was not sent: the connection is closed, or the term is not valid')
      }
      if (firstPolls.has(workerId)) firstPolls.set(workerId, performance.now())
      try {
        return await firstRequests.record(workerId, renewal.isConcurrent === true ? RequestWay.Inquiry : RequestWay.Poll, () => port.renewLease(renewal))
      } finally {
        if (!isClosed) firstPolls.delete(workerId)
      }
    }

    function close (): void {
      isClosed = true
      port.close()
    }
  }

  function removeWorker (worker: WorkerState): void {
    // Its runs have ended: the record keeps only workers that a later term would wait for.
    void host.grants.include(worker.info.workerId)
    closeLink(worker.info.workerId)
    links.delete(worker.info.workerId)
    firstPolls.delete(worker.info.workerId)
    workers.delete(worker.info.workerId)
  }

  /** A worker that is no longer listed may still run its tasks, or carry out a late start, so it is kept until it cannot. */
  function unlist (worker: WorkerState): void {
    if (worker.isListed) logger.info('worker removed from the list', { workerId: worker.info.workerId })
    worker.isListed = false
    if (worker.allocations.size === 0 && !host.needsReports(worker.info.workerId)) removeWorker(worker)
  }

  function addUnlisted (job: TrackedJob): void {
    for (const member of getUnits(job).flatMap(unit => unit.attempts).flatMap(attempt => attempt.members)) {
      if (workers.has(member.workerId)) continue
      const none = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }
      addWorker({ workerId: member.workerId, address: '', service: '', domain: '', bornAtMs: member.bornAtMs, isDraining: true, coldLeftMs: 0, capacity: none, labels: [], rack: '' })
    }
  }
}
