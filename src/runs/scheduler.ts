/** Schedules all jobs during one term of its host; creates and connects the components of the scheduler. */
import { createBacklogPublisher } from '../admission/backlogPublisher.js'
import { summarizeBacklog } from '../admission/backlogSummary.js'
import type { BacklogSummary } from '../admission/backlogSummary.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { defaultMinTtlMs } from '../election/leaderElection.js'
import type { Term } from '../election/leaderElection.js'
import { EndKind, JobState } from '../jobs/jobModel.js'
import type { Configuration, QueueSettings } from '../configuration/configuration.js'
import { getTaskName, MemberState } from '../jobs/trackedJob.js'
import type { Member, TrackedJob, Unit } from '../jobs/trackedJob.js'
import { defaultCostSettings } from '../placement/delayCost.js'
import type { CostSettings } from '../placement/delayCost.js'
import { isEligible } from '../placement/placeUnit.js'
import { createPlanner } from '../placement/planner.js'
import { createRunTimes } from '../placement/runTimes.js'
import type { DomainEvacuations } from '../evacuation/domainEvacuations.js'
import { createEvacuatedWorkers } from '../evacuation/evacuatedWorkers.js'
import type { ReadEnd } from '../readers/readEnds.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { getConfinedSets } from '../workers/confinedSets.js'
import type { WorkerState } from '../workers/workerState.js'
import { createMachineSpeeds } from '../workers/machineSpeed.js'
import { createWorkerHealth } from '../workers/workerHealth.js'
import { fits, getAllocationKey, getFreeCapacity } from '../workers/workerState.js'
import type { ListedWorker, RelayedPoll, WorkerStatusReport, WorkerPort } from '../workers/workerPort.js'
import { createAdviceCache } from './adviceCache.js'
import type { AdviceCandidate, AdvicePort } from './adviceCache.js'
import { createMaintenanceDrain } from './maintenanceDrain.js'
import type { MaintenanceDrain } from './maintenanceDrain.js'
import { createFillPacing } from './fillPacing.js'
import { countPending, createJobTable } from './jobTable.js'
import { getDecisiveEnds } from './decisiveEnds.js'
import { maxDecisiveSilenceMs } from './decisiveInquiries.js'
import type { DecisiveEnd } from './decisiveEnds.js'
import { RunScope } from './endEvidence.js'
import { getFirstExpectedEndMs } from './expectedEnds.js'
import { createGrantRecord } from './grantRecord.js'
import { createLearnedState } from './learnedState.js'
import type { JobTableHost } from './jobTable.js'
import { createPassPacing } from './passPacing.js'
import { createProgressWriter } from './progressWriter.js'
import { createRunController } from './runController.js'
import { describeScheduler } from './schedulerStatus.js'
import type { SchedulerStatus } from './schedulerStatus.js'
import { createStalledJobs } from './stalledJobs.js'
import { getRequestedLeaseMs } from './workerLease.js'
import { createWorkerPool } from './workerPool.js'

/** Time limits of the deployment that the scheduler must observe. */
export interface SchedulerBounds {
  /** The longest lease that a worker grants, in ms. */
  readonly maxLeaseMs: number
  /** The longest time that a worker takes to stop a run, in ms. */
  readonly stopMs: number
  /** How long the state of an ended job can be read, in ms. */
  readonly retentionMs: number
  /** Jobs of priority 0 within their organisation's guarantee must start within this, in ms. */
  readonly reclaimMs: number
  /** A service task counts as unavailable until it has been running at full progress for this long, in ms. */
  readonly noticeMs: number
  /** The shortest lease that the store grants, in ms; undefined if it is not known. */
  readonly storeMinTtlMs?: number | undefined
  /** How what callers lose by a delay is weighed; the defaults if it is not given. */
  readonly costSettings?: CostSettings
}

/** Dependencies of the scheduler. */
export interface SchedulerHost {
  readonly term: Term
  readonly store: MetadataStore
  readonly logger: Logger
  readonly bounds: SchedulerBounds
  /** The platform's list of workers; undefined until it has been read. */
  readonly getListedWorkers: () => readonly ListedWorker[] | undefined
  /** Tells whether the list is recent enough to start work by it. */
  readonly isWorkerListCurrent: () => boolean
  /** How long the store has answered this host without interruption, in ms, also before the term. */
  readonly getStoreContactMs: () => number
  readonly connect: (info: ListedWorker) => WorkerPort
  /** Polls a worker through other hosts; undefined if there are none. */
  readonly pollThroughPeers?: ((info: ListedWorker, poll: RelayedPoll) => Promise<WorkerStatusReport>) | undefined
  readonly getConfiguration: () => Configuration | undefined
  /** Called with the version of the configuration by which a stored job was accepted, if its record has it. */
  readonly onVersionSeen?: (version: number) => void
  /** The operators' requests to evacuate failure domains, if the deployment has them. */
  readonly evacuations?: DomainEvacuations
  /** The advice service, if the deployment has one. */
  readonly advice?: AdvicePort
  /** Reads all items under a prefix as of the start of the term or later; from the store if it is not given. */
  readonly readInitial?: JobTableHost['readInitial']
}

/** The scheduler of one term. */
export interface Scheduler extends MaintenanceDrain {
  /** Must be called when the list of workers or the configuration has changed. */
  refresh (): void
  /** Tells whether the workers are being polled. */
  isPolling (): boolean
  /** Takes ends that hosts have read while no scheduler asked the workers; they are applied when the stored attempts are known. */
  applyReadEnds (ends: readonly ReadEnd[]): void
  getStatus (): SchedulerStatus
}

/** Interval in ms at which, without any event, due occurrences are added, reachability is checked and a planning pass is scheduled. */
const tickMs = 100
/** Interval at which jobs of which nothing runs are looked for, in ms. */
const stallUpdateMs = 500
/**
 * A host that has not finished its takeover within this time, in ms, resigns so that another can take over: its link may be too
 * slow to read the stored jobs. Longer than any read of the store may take.
 */
const takeoverLimitMs = 6_000
/** After such a resignation the host does not run for leader for this long, in ms, so that the other hosts get a chance. */
const takeoverCandidacyPauseMs = 20_000
/** Weight of one measured pace in the estimate of a machine's speed: a run has several, and its end is the observation of weight 1. */
const paceWeight = 0.3
/**
 * The record of granted leases is stored at the latest this long after the first polls, in ms. Until then no lease is extended; a worker that answers later waits for
 * another write of the record, which the store may refuse. Longer than a round trip to any region.
 */
const firstAnswersMs = 400
/** It is stored sooner if no more workers have answered for this long, in ms: leases may be about to end, and workers that are gone never answer. */
const answerPauseMs = 80
/** The most ends that are kept until the stored attempts are known, beside those of one delivery: those of several hosts, of which two read each worker. */
const maxEarlyReadEnds = 10_000
/** Planning starts at the latest this long after the start of the term, in ms, even if workers that hold stored attempts have not answered. */
const settleLimitMs = 700

/** The pause after the decisive ends were looked for, in ms for each ms that it took: 2 % of a core, as with 207,000 tasks it takes up to 13 ms. */
const decisiveEndsPausePerMs = 50

/** Creates the scheduler and starts it; it stops when the term ends. */
export function createScheduler (host: SchedulerHost): Scheduler {
  const { term, logger } = host
  // A configuration may have thousands of queues, and a planning pass looks up the queue of every job.
  let indexedQueues: Configuration['queues'] | undefined
  let queuesByName = new Map<string, QueueSettings>()
  // Removed queues keep their last settings, with the version that had them, for the jobs that they have accepted.
  const lastQueueSettings = new Map<string, { readonly queue: QueueSettings, readonly version: number }>()
  /** The configuration by which all unfinished jobs have been assigned to their queues' services. */
  let assignedConfiguration: Configuration | undefined
  const startedAtMs = performance.now()
  let areJobsLoaded = false
  let isTakeoverDone = false
  /** The ends that hosts have read, until the stored attempts are known; undefined afterwards. */
  let earlyReadEnds: ReadEnd[] | undefined = []
  /** Where an end decides whether other work may start, by worker. */
  let decisiveEnds: ReadonlyMap<string, DecisiveEnd> = new Map()
  let decisiveEndsDueAtMs = -Infinity
  const pacing = createPassPacing(tryPlan)

  const writer = createProgressWriter({
    store: host.store,
    term,
    logger,
    onCancelFound: job => {
      job.isCancelRequested = true
      job.state = JobState.Cancelled
    },
    getPendingCounts: () => isTakeoverDone ? JSON.stringify(countPending(table.getUnfinished())) : undefined
  })
  const table = createJobTable({
    store: host.store,
    term,
    logger,
    retentionMs: host.bounds.retentionMs,
    readInitial: host.readInitial,
    onJobAdded: job => {
      if (job.spec.configurationVersion !== undefined) host.onVersionSeen?.(job.spec.configurationVersion)
      assignService(job)
      writer.scheduleCounts()
      schedulePlan()
    },
    onCancel: job => { controller.cancelJob(job) },
    onTooLarge: job => { void writer.commit(job) },
    onOccurrenceDue: schedulePlan
  })
  const grants = createGrantRecord({ store: host.store, term, logger, maxLeaseMs: host.bounds.maxLeaseMs, minTtlMs: host.bounds.storeMinTtlMs ?? defaultMinTtlMs, getProgressRevision: () => writer.getRevision(), onEarlierChanged: () => { pool.reviewLeases() } })
  const pool = createWorkerPool({
    term,
    logger,
    maxLeaseMs: host.bounds.maxLeaseMs,
    requestedLeaseMs: getRequestedLeaseMs(host.bounds.maxLeaseMs),
    connect: host.connect,
    pollThroughPeers: host.pollThroughPeers,
    mayExtendThroughPeers: workerId => {
      const members = [...controller.getMembers(workerId)]
      return members.length > 0 && members.every(({ attempt }) => attempt.stopReason === undefined)
    },
    grants,
    isWorkerListCurrent: host.isWorkerListCurrent,
    getStoreContactMs: host.getStoreContactMs,
    getMembers: workerId => controller.getMembers(workerId),
    hasRestoredMembers: workerId => [...controller.getMembers(workerId)].some(({ attempt }) => attempt.isRestored),
    needsReports: workerId => controller.needsReports(workerId),
    getUncertainRuns: workerId => controller.getUncertainRuns(workerId),
    getUnconfirmedRuns: workerId => [...controller.getMembers(workerId)].filter(({ state }) => state === MemberState.Planned || state === MemberState.StartSent).map(getRunName),
    getRunsStoredAfter: (workerId, revision) => [...controller.getMembers(workerId)].filter(({ attempt }) => attempt.isRestored && attempt.unit.job.restoredRevision > revision).map(getRunName),
    getPollWaitMs: workerId => health.getPollWaitMs(workerId, controller.getMembers(workerId), performance.now()),
    getExpectedEndMs: (workerId, afterMs) => getFirstExpectedEndMs(controller.getMembers(workerId), expectedTimes, afterMs),
    getDecisiveEndMs: (workerId, afterMs) => {
      const members = decisiveEnds.get(workerId)?.members.filter(({ state, attempt }) => state !== MemberState.Ended && !attempt.unit.isDone) ?? []
      return members.length === 0 ? undefined : getFirstExpectedEndMs(members, expectedTimes, afterMs)
    },
    onReport,
    onLost: (worker, source, uncertainRuns) => { controller.onWorkerLost(worker, source, uncertainRuns) },
    onCrashed: (workerId, machine, bornAtMs, wasDraining) => { controller.onWorkerCrashed(workerId, machine, bornAtMs, wasDraining) },
    onChanged: schedulePlan
  })
  const controller = createRunController({
    term,
    logger,
    getJob: table.get,
    getWorker: workerId => pool.workers.get(workerId),
    getWorkers: () => pool.workers.values(),
    getLink: pool.getLink,
    getAttemptLimit: job => getQueue(job)?.attempts ?? job.spec.attemptLimit,
    mayStart,
    describeEvacuation: workerId => evacuatedWorkers.describeRequest(workerId),
    getTicket: member => adviceCache?.getTicket(member.attempt.unit, member.workerId),
    onBadTicket: member => { adviceCache?.invalidate(member.attempt.unit, member.workerId) },
    commit: writer.commit,
    stopMs: host.bounds.stopMs,
    noticeMs: host.bounds.noticeMs,
    onChanged: schedulePlan,
    onJobBegun: writer.scheduleCounts,
    onMemberEnded: (member, how) => {
      if (how === 'lost' || how === 'not-started') return
      health.onEnd(member, how, performance.now())
      if (how === EndKind.Done) recordRunTime(member)
    },
    onRefusal: workerId => { health.onRefusal(workerId, performance.now()) }
  })
  const evacuatedWorkers = createEvacuatedWorkers({ logger, evacuations: host.evacuations, workers: pool.workers, getMembers: controller.getMembers })
  const adviceCache = host.advice === undefined ? undefined : createAdviceCache({ port: host.advice, term, logger, onChanged: schedulePlan })
  const adjustPace = createFillPacing({ logger, sendPace })
  const runTimes = createRunTimes()
  const expectedTimes = { stopMs: host.bounds.stopMs, getRunMs: ({ attempt: { unit } }: Member) => runTimes.getExpectedMs(unit.job.spec.queue, unit.spec) }
  const speeds = createMachineSpeeds()
  createLearnedState({ store: host.store, term, logger, runTimes, speeds })
  const isCold = (workerId: string): boolean => (pool.workers.get(workerId)?.info.coldLeftMs ?? 0) > 0
  const getMachineId = (workerId: string): string => pool.workers.get(workerId)?.info.machineId ?? workerId
  const health = createWorkerHealth({
    logger,
    getService: workerId => pool.workers.get(workerId)?.info.service,
    countWorkers: service => [...pool.workers.values()].filter(({ info }) => info.service === service).length,
    getConfinedSets: () => getConfinedSets(table.getUnfinished(), pool.workers.values()),
    getMeanRunMs: runTimes.getMeanMs,
    isCold,
    onPace: (workerIds, paceShare, nowMs) => { speeds.record(workerIds.map(getMachineId), paceShare, nowMs, paceWeight) },
    onSlowWorker: (workerId, paceShare, nowMs) => { speeds.record([getMachineId(workerId)], paceShare, nowMs) }
  })
  const planner = createPlanner({
    logger,
    getUnfinishedJobs: table.getUnfinished,
    workers: pool.workers,
    getMembers: controller.getMembers,
    getQueue,
    getOrganisations: () => host.getConfiguration()?.organisations ?? [],
    runTimes,
    getSpeed: worker => speeds.getSpeed(getMachineId(worker.info.workerId), performance.now()),
    isInDoubt: controller.isInDoubt,
    reclaimMs: host.bounds.reclaimMs,
    stopMs: host.bounds.stopMs,
    costSettings: host.bounds.costSettings ?? defaultCostSettings,
    getPermittedWorkers,
    onNotPlaced,
    startAttempt: controller.planAttempt,
    preemptAttempt: controller.preemptAttempt
  })
  const stalledJobs = createStalledJobs({ logger, getUnfinishedJobs: table.getUnfinished, getWorkers: () => pool.workers.values(), describeWait: planner.describeWait, getLeaseLeftMs })
  const maintenanceDrain = createMaintenanceDrain({ getWorker: workerId => pool.workers.get(workerId), getMembers: controller.getMembers, stopAttempt: controller.stopAttempt })
  createBacklogPublisher({ store: host.store, term, logger, summarize: () => isTakeoverDone ? summarize() : undefined })
  void start()
  return { refresh, isPolling: () => areJobsLoaded, applyReadEnds, getStatus, ...maintenanceDrain }

  async function start (): Promise<void> {
    void delay(takeoverLimitMs, term.signal).then(() => {
      if (!isTakeoverDone) term.resign(`takeover not finished after ${takeoverLimitMs} ms`, takeoverCandidacyPauseMs)
    })
    await table.load()
    // Without the configuration the attempt limits of the queues are unknown, and one failure could fail a job.
    while ((host.getListedWorkers() === undefined || host.getConfiguration() === undefined) && !term.signal.aborted) await delay(20)
    if (term.signal.aborted) return
    // Workers are not polled before the stored attempts are known: reported ends would not be matched to their attempts.
    areJobsLoaded = true
    refresh()
    for (const job of table.getAll()) pool.addUnlisted(job)
    controller.restoreAttempts(table.getAll())
    const readEnds = earlyReadEnds ?? []
    earlyReadEnds = undefined
    applyReadEnds(readEnds)
    await waitForFirstAnswers()
    const stored = grants.open(pool.getUnanswered, pool.getKnownLives, pool.getRenewed).then(pool.wakeLinks)
    while (!term.signal.aborted && performance.now() - startedAtMs < settleLimitMs && !pool.areSettled()) await delay(20)
    // Before that no lease can be granted, so that start requests could not be sent.
    await stored
    isTakeoverDone = true
    logger.info('takeover finished', { epoch: term.epoch, tookMs: Math.round(performance.now() - startedAtMs), workers: pool.workers.size, jobs: [...table.getAll()].length, ...pool.describeUnanswered(), ...grants.describe() })
    writer.scheduleCounts()
    let stallsUpdatedAtMs = -Infinity
    while (!term.signal.aborted) {
      table.addDueOccurrences(Date.now())
      pool.checkReachability()
      pool.reviewLeases()
      pool.recordSilent()
      reviewDecisiveEnds()
      schedulePlan()
      const nowMs = performance.now()
      if (nowMs - stallsUpdatedAtMs >= stallUpdateMs) {
        stallsUpdatedAtMs = nowMs
        stalledJobs.update(nowMs)
      }
      await delay(tickMs, term.signal)
    }
    pool.close()
  }

  function reviewDecisiveEnds (): void {
    const startedAtMs = performance.now()
    if (startedAtMs >= decisiveEndsDueAtMs) {
      decisiveEnds = getDecisiveEnds(table.getUnfinished(), workerId => (pool.getLink(workerId)?.getSilentForMs() ?? Infinity) < maxDecisiveSilenceMs)
      const endedAtMs = performance.now()
      decisiveEndsDueAtMs = endedAtMs + decisiveEndsPausePerMs * (endedAtMs - startedAtMs)
    }
    pool.reviewDecisiveInquiries(decisiveEnds.keys())
  }

  function applyReadEnds (ends: readonly ReadEnd[]): void {
    if (term.signal.aborted || ends.length === 0) return
    if (earlyReadEnds === undefined) controller.applyReadEnds(ends)
    else if (earlyReadEnds.length < maxEarlyReadEnds) earlyReadEnds.push(...ends)
    else logger.warn('ends read by other hosts are dropped: too many came before the stored attempts were known', { ends: ends.length })
  }

  async function waitForFirstAnswers (): Promise<void> {
    const polledAtMs = performance.now()
    let unanswered = pool.getUnanswered().length
    let answeredAtMs = Infinity
    while (!term.signal.aborted && !pool.areSettled() && performance.now() - polledAtMs < firstAnswersMs && performance.now() - answeredAtMs < answerPauseMs) {
      await delay(20)
      const { length } = pool.getUnanswered()
      if (length < unanswered) answeredAtMs = performance.now()
      unanswered = length
    }
  }

  function refresh (): void {
    const listed = host.getListedWorkers()
    if (listed === undefined || !areJobsLoaded || term.signal.aborted) return
    pool.refresh(listed)
    evacuatedWorkers.refresh()
    schedulePlan()
  }

  /** How long the lease of a member's run may still last although its worker does not answer, in ms; undefined if it answers, or the lease is over. */
  function getLeaseLeftMs (member: Member): number | undefined {
    return pool.getLink(member.workerId)?.getLeaseLeftMs(pool.isUncertain(member) ? RunScope.All : RunScope.Settled)
  }

  function mayStart (): boolean {
    return host.isWorkerListCurrent() && evacuatedWorkers.areRequestsCurrent()
  }

  function getStatus (): SchedulerStatus {
    return describeScheduler({
      epoch: term.epoch,
      startedAtMs,
      workers: pool.workers.values(),
      unfinishedJobs: table.getUnfinished(),
      unreadableJobs: table.countUnreadable(),
      getStalled: stalledJobs.get,
      quarantined: health.getQuarantined(performance.now()),
      evacuations: evacuatedWorkers.describe(),
      organisations: host.getConfiguration()?.organisations ?? [],
      getQueue
    })
  }

  function summarize (): BacklogSummary {
    const guaranteed = host.getConfiguration()?.organisations.filter(({ guaranteedAccelerators }) => guaranteedAccelerators > 0) ?? []
    return summarizeBacklog({
      epoch: term.epoch,
      unfinishedJobs: table.getUnfinished(),
      workers: pool.workers.values(),
      getQueue,
      guaranteedOrganisations: new Set(guaranteed.map(({ name }) => name)),
      runTimes,
      nowMs: performance.now(),
      unixNowMs: Date.now()
    })
  }

  async function onReport (worker: WorkerState, report: WorkerStatusReport, sentAtMs: number, isComplete: boolean): Promise<void> {
    const stored = controller.onReport(worker, report, sentAtMs, isComplete)
    const members = controller.getMembers(worker.info.workerId)
    for (const attempt of health.onReport(worker.info.workerId, members, performance.now())) controller.stopAttempt(attempt, 'stalled or slow on its worker')
    adjustPace(members, report.running, performance.now())
    await stored
  }

  function schedulePlan (): void {
    if (isTakeoverDone && !term.signal.aborted) pacing.schedule()
  }

  /** Returns false if no planning pass may run now. */
  function tryPlan (): boolean {
    if (!term.isValid() || !mayStart()) return false
    assignServices()
    const nowMs = performance.now()
    health.releaseConfined(nowMs)
    for (const worker of pool.workers.values()) worker.isQuarantined = health.isQuarantined(worker.info.workerId, nowMs)
    controller.dispatchPlanned()
    planner.plan()
    return true
  }

  function recordRunTime (member: Member): void {
    const { unit, isRestored } = member.attempt
    if (unit.checkpoint !== '' || isRestored) return
    const runMs = performance.now() - (member.startedAtMs ?? member.runningSinceMs)
    const expectedMs = runTimes.getExpectedMs(unit.job.spec.queue, unit.spec)
    const workerIds = member.attempt.members.map(({ workerId }) => workerId)
    if (!unit.spec.isFill && runMs > 0 && !workerIds.some(isCold)) speeds.record(workerIds.map(getMachineId), expectedMs / runMs, performance.now())
    runTimes.recordRun(unit.job.spec.queue, unit.spec.estimateMs, runMs)
  }

  function getPermittedWorkers (unit: Unit, workerIds: readonly string[]): ReadonlySet<string> | 'all' | undefined {
    const others = getWorkersNotLeft(unit, workerIds)
    if (adviceCache !== undefined && getQueue(unit.job)?.advice !== undefined) return adviceCache.getPermitted(unit, others)
    return others === workerIds ? 'all' : new Set(others)
  }

  function onNotPlaced (unit: Unit, workerIds: readonly string[]): void {
    const settings = getQueue(unit.job)?.advice
    if (settings !== undefined) adviceCache?.requestMore(unit, settings, () => getAdviceCandidates(unit, workerIds))
  }

  function getAdviceCandidates (unit: Unit, workerIds: readonly string[]): readonly AdviceCandidate[] {
    return getWorkersNotLeft(unit, workerIds).flatMap(workerId => {
      const worker = pool.workers.get(workerId)
      return worker !== undefined && isEligible(unit, worker) ? [{ workerId, hasRoom: fits(unit.spec.request, getFreeCapacity(worker)) }] : []
    })
  }

  /** Leaves out the workers that the unit was moved off recently. */
  function getWorkersNotLeft (unit: Unit, workerIds: readonly string[]): readonly string[] {
    const nowMs = performance.now()
    const isLeft = (workerId: string): boolean => health.isLeft(unit, workerId, nowMs)
    return workerIds.some(isLeft) ? workerIds.filter(workerId => !isLeft(workerId)) : workerIds
  }

  async function sendPace (member: Member, percent: number): Promise<void> {
    const link = pool.getLink(member.workerId)
    if (link === undefined || !term.isValid()) return
    await link.port.pace({ task: getTaskName(member), run: member.attempt.run, percent, epoch: term.epoch })
  }

  function getQueue (job: TrackedJob): QueueSettings | undefined {
    return getQueueWithVersion(job)?.queue
  }

  function getQueueWithVersion (job: TrackedJob): { readonly queue: QueueSettings, readonly version: number } | undefined {
    const configuration = host.getConfiguration()
    if (configuration?.queues !== indexedQueues) {
      indexedQueues = configuration?.queues
      queuesByName = new Map(configuration?.queues.map(queue => [queue.name, queue]))
    }
    const queue = queuesByName.get(job.spec.queue)
    const last = lastQueueSettings.get(job.spec.queue)
    if (queue === undefined || configuration === undefined) return last
    if (last?.queue === queue && last.version === configuration.version) return last
    const latest = { queue, version: configuration.version }
    lastQueueSettings.set(job.spec.queue, latest)
    return latest
  }

  /** Sends waiting work to the services that the queues name now. */
  function assignServices (): void {
    const configuration = host.getConfiguration()
    if (configuration === assignedConfiguration) return
    assignedConfiguration = configuration
    for (const job of table.getUnfinished()) assignService(job)
  }

  /** The host that accepted the job may have known a newer configuration than this one has; its choice then stands. */
  function assignService (job: TrackedJob): void {
    const { spec } = job
    const settings = getQueueWithVersion(job)
    const service = settings !== undefined && settings.version >= (spec.configurationVersion ?? 0) ? settings.queue.service : spec.service
    if (service === job.service) return
    logger.info('a job follows its queue to another service', { jobId: spec.jobId, queue: spec.queue, from: job.service, to: service, state: job.state, configurationVersion: settings?.version })
    job.service = service
  }
}

/** The allocation key of a member's run. */
function getRunName (member: Member): string {
  return getAllocationKey(getTaskName(member), member.attempt.run)
}
