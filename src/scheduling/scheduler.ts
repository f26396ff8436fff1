/** Schedules the jobs of one failure domain, on the host that holds the domain's lease. */
import type { Logger } from '../common/logger.js'
import { createSignal, delay } from '../common/time.js'
import { assert } from '../common/assertions.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { RuleSet } from '../rules/ruleSet.js'
import { DrainTarget } from '../rules/ruleSet.js'
import type { KeyValueStore } from '../store/store.js'
import { createPlacementPlanner } from './placementPlanner.js'
import { createDomainAllocator } from './domainAllocator.js'
import type { Placement } from './domainAllocator.js'
import { createGangRun, GangOutcome } from './gangRun.js'
import type { GangEnd, GangRun, GangRunHost } from './gangRun.js'
import { createJobRecords } from './jobRecords.js'
import type { ShareUnwritten } from './jobRecords.js'
import { createJobView, getLargestWaitingGangs } from './jobViews.js'
import type { JobView, SchedulerStatus } from './jobViews.js'
import { getAcceleratorCount, JobResult, JobState } from './jobTypes.js'
import type { JobRecord, JobSpec } from './jobTypes.js'
import { addFailure, describeFailures, getFailedWorkers, hasFailedTooOften } from './failedAttempts.js'
import type { FailedAttempts } from './failedAttempts.js'
import { createLateEnds } from './lateEnds.js'
import { createPolicy } from './policy.js'
import { createSubmission } from './submission.js'
import { createTakeover } from './takeover.js'
import type { ReportedTask } from './takeover.js'
import { createWorkerHealth } from './workerHealth.js'
import { createWorkerLinks } from './workerLinks.js'
import type { WorkerTiming } from './workerLinks.js'
import { parseTaskId, TaskState } from './workerTypes.js'
import type { TaskReport, WorkerInfo, WorkerPort } from './workerTypes.js'

/** Dependencies of the scheduler. */
export interface SchedulerHost {
  readonly domain: string
  readonly epoch: number
  readonly store: KeyValueStore
  readonly logger: Logger
  readonly random: () => number
  readonly getRules: () => RuleSet
  /** The workers of the domain on the platform's host list. */
  readonly getWorkers: () => readonly WorkerInfo[]
  readonly connect: (info: WorkerInfo) => WorkerPort
  readonly timing: WorkerTiming
  /** Changes of records that earlier schedulers could not write to the store. */
  readonly inheritedRecords: readonly JobRecord[]
  /** Sends changes of records that the store does not have to the other hosts of the domain. */
  readonly shareUnwritten: ShareUnwritten
  /** Another scheduler has a higher epoch; `seenEpoch` is 0 if that epoch is not known. */
  readonly onSuperseded: (seenEpoch: number) => void
}

/** The scheduler of one failure domain. */
export interface Scheduler {
  /** Accepts a job; it resolves when the job is recorded or running. Submitting a known job id returns the existing job. */
  submit (spec: JobSpec): Promise<JobView>
  cancel (jobId: string): Promise<JobView>
  /** Returns the job, after waiting up to `waitMs` for its end. */
  get (jobId: string, waitMs: number): Promise<JobView | undefined>
  list (organisation: string | undefined): readonly JobView[]
  getStatus (): SchedulerStatus
  /** Applies changes of the rules and of the host list. */
  refresh (): void
  /** Resolves when the jobs of an earlier scheduler have been taken over. */
  whenRecovered (): Promise<void>
  /** Stops scheduling immediately. Tasks keep running. */
  stop (): void
  /** Resolves when all changes of records are in the store. */
  flush (): Promise<void>
  getUnwrittenRecords (): readonly JobRecord[]
  assertInvariants (): void
}

const maxRecoveryWaitMs = 1_500
const settlePollIntervalMs = 50
const tickIntervalMs = 1_000
const reloadIntervalMs = 2_000
const requeueDelayMs = 500
const pruneIntervalMs = 600_000
const recordRetentionMs = 86_400_000
const maxListedJobs = 1_000

/** Creates a scheduler and starts it. */
export function createScheduler (host: SchedulerHost): Scheduler {
  const allocator = createDomainAllocator()
  const policy = createPolicy(() => host.getRules().weights)
  const planner = createPlacementPlanner({ allocator, policy, getRules: host.getRules })
  const records = createJobRecords(host.store, host.domain, () => host.epoch, host.logger, host.shareUnwritten)
  const health = createWorkerHealth(() => workers.size)
  const changed = createSignal()
  const runs = new Map<string, GangRun>()
  const attempts = new Map<string, number>()
  const workers = new Map<string, WorkerInfo>()
  const unreachable = new Set<string>()
  const reportedTasks = new Map<string, ReportedTask>()
  const taskEnds = new Map<string, { readonly workerId: string, readonly taskId: string }[]>()
  let areRecordsLoaded = false
  let isRecovered = false
  let isStopped = false
  let isDecisionScheduled = false
  let rulesRevision = -1

  const links = createWorkerLinks({
    domain: host.domain,
    logger: host.logger,
    random: host.random,
    getEpoch: () => host.epoch,
    connect: host.connect,
    getTiming: () => host.timing,
    onReport,
    onFullReport,
    onReachable: (workerId, isReachable) => {
      if (isReachable) unreachable.delete(workerId)
      else unreachable.add(workerId)
      updateUsable(workerId)
    },
    onLost: onWorkerLost,
    onSuperseded: handleSuperseded
  })

  const runHost: GangRunHost = {
    links,
    records,
    logger: host.logger,
    getEpoch: () => host.epoch,
    getLeaseMs: () => host.timing.leaseMs,
    getCheckpointMs: () => host.getRules().getLimit('checkpoint-ms'),
    preempt: async (jobId, workerIds) => { await runs.get(jobId)?.preempt(workerIds) },
    onStarted: jobId => {
      planner.markStarted(jobId)
      changed.notify()
    },
    areWorkersSettled
  }

  const takeover = createTakeover({
    records,
    planner,
    runs,
    runHost,
    trackAttempt,
    awaitRun: (run, end) => { void awaitRun(run, end) },
    stopTask: task => { void stopTask(task) },
    endJob,
    scheduleDecision,
    isStopped: () => isStopped
  })
  const lateEnds = createLateEnds({
    records,
    logger: host.logger,
    runs,
    areRecordsLoaded: () => areRecordsLoaded,
    endJob,
    isFaulty,
    recordFailure: recordLateFailure,
    acknowledge: links.acknowledge,
    acknowledgeWhenStored
  })
  const submit = createSubmission({
    domain: host.domain,
    records,
    planner,
    allocator,
    runs,
    changed,
    getRules: host.getRules,
    countWorkers: () => workers.size,
    scheduleDecision,
    reconcileRecords,
    reloadRecords,
    isStopped: () => isStopped,
    toView
  })
  records.onWritten(acknowledgeEnds)
  const recovered = recover()
  void tickLoop()

  return { submit, cancel, get, list, getStatus, refresh, whenRecovered: () => recovered, stop, flush: records.flush, getUnwrittenRecords: records.getUnwritten, assertInvariants: allocator.verify }

  // Takeover

  async function recover (): Promise<void> {
    const startedAtMs = Date.now()
    refresh()
    const loading = loadRecords()
    while (!isStopped && Date.now() - startedAtMs < maxRecoveryWaitMs) {
      if (areWorkersSettled() && areRecordsLoaded) break
      await Promise.race([delay(settlePollIntervalMs), loading.then(() => delay(settlePollIntervalMs))])
    }
    if (isStopped) return
    host.inheritedRecords.forEach(records.restoreUnwritten)
    takeover.takeOverGangs(reportedTasks.values())
    reportedTasks.clear()
    isRecovered = true
    reconcileRecords()
    host.logger.info(`took over ${runs.size} running and ${planner.countWaiting()} waiting jobs`, { tookMs: Date.now() - startedAtMs })
    void reloadLoop()
    scheduleDecision()
  }

  async function loadRecords (): Promise<void> {
    try {
      await records.load()
      areRecordsLoaded = true
    } catch (error) {
      host.logger.warn('the job records cannot be read from the store', { error: String(error) })
    }
  }

  /** Reads the records again, since one may have been written although the response was lost. */
  function reloadRecords (): void {
    if (!areRecordsLoaded) return
    areRecordsLoaded = false
    void reloadLoop()
  }

  /** Retries until the records have been read, for instance when the store was unavailable during the takeover. */
  async function reloadLoop (): Promise<void> {
    while (!isStopped && !areRecordsLoaded) {
      await delay(reloadIntervalMs)
      await loadRecords()
      if (areRecordsLoaded && !isStopped) reconcileRecords()
    }
  }

  /** Uses the reported ends first, so that no job that has ended by these is started again. */
  function reconcileRecords (): void {
    lateEnds.handleHeld()
    takeover.reconcileRecords()
  }

  function areWorkersSettled (): boolean {
    return [...workers.keys()].every(workerId => links.isSettled(workerId))
  }

  // Workers

  function refresh (): void {
    if (isStopped) return
    const listed = host.getWorkers()
    const added = listed.filter(info => !workers.has(info.workerId))
    if (added.length > 0) allocator.addWorkers(added)
    for (const info of listed) {
      workers.set(info.workerId, info)
      allocator.setRemoved(info.workerId, false)
      links.add(info)
    }
    const listedIds = new Set(listed.map(info => info.workerId))
    for (const workerId of workers.keys()) {
      const isGone = !listedIds.has(workerId) && unreachable.has(workerId) && links.isLost(workerId)
      if (isGone) removeWorker(workerId)
      else updateUsable(workerId)
    }
    const rules = host.getRules()
    if (rules.revision !== rulesRevision || added.length > 0) applyRules(rules)
    scheduleDecision()
  }

  function applyRules (rules: RuleSet): void {
    rulesRevision = rules.revision
    allocator.setGuarantees(rules.guarantees.filter(guarantee => guarantee.domain === host.domain))
    planner.retryGuarantees()
    for (const shortage of allocator.getShortages()) {
      host.logger.error(`guarantee ${shortage.guaranteeId} cannot be satisfied: ${shortage.missingCells} cell(s) of ${shortage.acceleratorsPerCell} accelerators are missing`)
    }
  }

  function removeWorker (workerId: string): void {
    workers.delete(workerId)
    links.remove(workerId)
    allocator.setUsable(workerId, false)
    allocator.setRemoved(workerId, true)
    endImpossibleJobs()
  }

  function endImpossibleJobs (): void {
    for (const job of [...planner.getJobs()]) {
      if (!runs.has(job.spec.jobId)) endIfImpossible(job.spec)
    }
  }

  function endIfImpossible (spec: JobSpec): void {
    const reason = allocator.getImpossibleReason(spec)
    if (reason !== undefined) endJob(spec.jobId, getImpossibleResult(spec.jobId), reason)
  }

  /** `not-run` guarantees that the job never ran, so it is not used if an earlier attempt may have run. */
  function getImpossibleResult (jobId: string): JobResult {
    return records.get(jobId)?.startedAtMs === undefined ? JobResult.NotRun : JobResult.Interrupted
  }

  function updateUsable (workerId: string): void {
    const info = workers.get(workerId)
    if (info === undefined) return
    const rules = host.getRules()
    const isDraining = info.isLeaving || rules.isDraining(DrainTarget.Worker, workerId) || rules.isDraining(DrainTarget.Domain, host.domain)
    const isUsable = !isDraining && !unreachable.has(workerId) && !health.isQuarantined(workerId)
    if (isUsable === allocator.isUsable(workerId)) return
    allocator.setUsable(workerId, isUsable)
    planner.retryGuarantees()
    scheduleDecision()
  }

  function onReport (workerId: string, reports: readonly TaskReport[]): void {
    for (const report of reports) {
      const { taskId } = report
      const run = runs.get(parseTaskId(taskId).jobId)
      const descriptor = report.descriptor ?? reportedTasks.get(taskId)?.descriptor
      if (run !== undefined && run.members.some(member => member.taskId === taskId)) run.onReport(report)
      else if (!isRecovered && descriptor !== undefined) reportedTasks.set(taskId, { workerId, report, descriptor })
      else onUnknownTask(workerId, report, run)
    }
    if (reports.length > 0) changed.notify()
    if (isRecovered) recheckIncompleteRuns()
  }

  /** Handles a task that this scheduler has not placed: a member of a gang that it took over, or an orphaned task. */
  function onUnknownTask (workerId: string, report: TaskReport, run: GangRun | undefined): void {
    const { descriptor } = report
    const isLateMember = run !== undefined && descriptor !== undefined && descriptor.attempt === run.input.attempt && run.members.length < run.input.spec.members
    if (isLateMember) {
      run.addMember(workerId, report.taskId, descriptor.member)
      run.onReport(report)
      if (report.state !== TaskState.Ended) planner.addMember(run.input.spec.jobId, { workerId, accelerators: descriptor.accelerators })
      return
    }
    void stopTask({ workerId, report })
  }

  /** Stops a task of no current attempt, or handles its end. */
  async function stopTask (task: { readonly workerId: string, readonly report: TaskReport }): Promise<void> {
    if (task.report.state === TaskState.Ended) {
      lateEnds.onEnd(task.workerId, task.report)
      return
    }
    try {
      await links.get(task.workerId)?.stop(host.epoch, [task.report.taskId])
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.StaleEpoch)) handleSuperseded(Number(error.details.seenEpoch ?? 0))
    }
  }

  function onFullReport (workerId: string, taskIds: ReadonlySet<string>, sentAtMs: number): void {
    for (const run of runs.values()) run.onFullReport(workerId, taskIds, sentAtMs)
    for (const [taskId, task] of reportedTasks) if (task.workerId === workerId && !taskIds.has(taskId)) reportedTasks.delete(taskId)
    scheduleDecision()
  }

  function onWorkerLost (workerId: string): void {
    for (const run of runs.values()) run.onWorkerLost(workerId)
    for (const [taskId, task] of reportedTasks) if (task.workerId === workerId) reportedTasks.delete(taskId)
    recheckIncompleteRuns()
    scheduleDecision()
  }

  function recheckIncompleteRuns (): void {
    for (const run of runs.values()) if (run.members.length < run.input.spec.members) run.recheckWorkers()
  }

  // Scheduling decisions

  function scheduleDecision (): void {
    if (isDecisionScheduled || isStopped || !isRecovered) return
    isDecisionScheduled = true
    queueMicrotask(() => {
      isDecisionScheduled = false
      if (!isStopped) for (const placement of planner.decide()) startRun(placement)
    })
  }

  function startRun (placement: Placement): void {
    const record = records.get(placement.jobId)
    const job = planner.get(placement.jobId)
    assert(record !== undefined && job !== undefined, 'a placed job has a record')
    assert(!runs.has(placement.jobId), 'a job has at most one attempt at a time')
    const attempt = trackAttempt(placement.jobId, (attempts.get(placement.jobId) ?? 0) + 1)
    const run = createGangRun(runHost, { spec: record.spec, attempt, progressMs: record.progressMs, attainedMs: job.attainedMs })
    runs.set(placement.jobId, run)
    void awaitRun(run, run.run(placement))
  }

  async function awaitRun (run: GangRun, end: Promise<GangEnd>): Promise<void> {
    const gangEnd = await end
    if (isStopped || gangEnd.outcome === GangOutcome.Superseded) {
      if (!isStopped) handleSuperseded()
      return
    }
    const { jobId } = run.input.spec
    runs.delete(jobId)
    // A lost member that is reported later is acknowledged as a late end.
    const endedMembers = run.members.filter(({ state }) => state === TaskState.Ended)
    taskEnds.set(jobId, [...taskEnds.get(jobId) ?? [], ...endedMembers])
    const hasEnded = gangEnd.outcome !== GangOutcome.Succeeded && lateEnds.onRunEnd(run)
    if (!hasEnded) handleRunEnd(run, gangEnd)
    lateEnds.handleHeld()
    scheduleDecision()
  }

  function handleRunEnd (run: GangRun, end: GangEnd): void {
    const { spec } = run.input
    if (records.get(spec.jobId)?.isCancelRequested === true && end.outcome !== GangOutcome.Succeeded) {
      endJob(spec.jobId, JobResult.Cancelled)
      return
    }
    switch (end.outcome) {
      case GangOutcome.Succeeded:
        handleSuccess(run, end)
        return
      case GangOutcome.Failed:
        handleFailure(run, end)
        return
      case GangOutcome.Cancelled:
        endJob(spec.jobId, JobResult.Cancelled)
        return
      case GangOutcome.NotStarted:
        void requeueAfterDelay(run, end)
        return
      default:
        if (spec.repeatable) requeue(run, end)
        else endJob(spec.jobId, getInterruptedResult(end), 'the job was stopped after its release and is not repeatable')
    }
  }

  function handleSuccess (run: GangRun, end: GangEnd): void {
    const { spec } = run.input
    for (const member of run.members) health.recordSuccess(member.workerId)
    policy.recordRunTime(spec, end.progressMs + end.attainedMs / Math.max(1, getAcceleratorCount(spec)))
    endJob(spec.jobId, JobResult.Succeeded)
  }

  /** A repeatable job is tried on other workers, to find out whether the job or the worker is faulty. */
  function handleFailure (run: GangRun, end: GangEnd): void {
    const { spec, attempt } = run.input
    const workerId = end.workerId ?? ''
    const failedAttempts = addFailure(records.get(spec.jobId)?.failedAttempts, attempt, workerId)
    attributeFailure(spec.jobId, failedAttempts, workerId)
    if (isFaulty(spec, failedAttempts)) endJob(spec.jobId, JobResult.Failed, describeFailures(failedAttempts))
    else requeue(run, end, failedAttempts)
  }

  /** Records the failure of an attempt that was given up; an attempt counts once. */
  function recordLateFailure ({ spec, failedAttempts: known }: JobRecord, attempt: number, workerId: string): void {
    if (known?.[attempt] !== undefined) return
    host.logger.warn('an attempt that was taken for lost has failed', { jobId: spec.jobId, attempt, workerId })
    const failedAttempts = addFailure(known, attempt, workerId)
    attributeFailure(spec.jobId, failedAttempts, workerId)
    records.writeLater(spec.jobId, { failedAttempts })
  }

  function attributeFailure (jobId: string, failedAttempts: FailedAttempts, workerId: string): void {
    if (getFailedWorkers(failedAttempts).size > 1) health.discardFailures(jobId).forEach(updateUsable)
    else if (health.recordFailure(workerId, jobId)) host.logger.warn(`worker ${workerId} is quarantined: jobs failed on it repeatedly`)
    updateUsable(workerId)
  }

  function isFaulty (spec: JobSpec, failedAttempts: FailedAttempts): boolean {
    return !spec.repeatable || hasFailedTooOften({ spec, failedAttempts }) || workers.size <= getFailedWorkers(failedAttempts).size
  }

  async function requeueAfterDelay (run: GangRun, end: GangEnd): Promise<void> {
    const { jobId } = run.input.spec
    if (end.workerId !== undefined) await delay(requeueDelayMs)
    if (isStopped || planner.get(jobId) === undefined || runs.has(jobId)) return
    requeue(run, end)
    scheduleDecision()
  }

  function requeue (run: GangRun, end: GangEnd, failedAttempts = records.get(run.input.spec.jobId)?.failedAttempts): void {
    const { jobId } = run.input.spec
    const job = planner.get(jobId)
    if (job === undefined) return
    const attainedMs = job.attainedMs + end.attainedMs
    const preemptions = job.preemptions + (end.outcome === GangOutcome.Preempted ? 1 : 0)
    const isCheckpointIgnored = job.isCheckpointIgnored || end.isCheckpointIgnored
    const avoid = getFailedWorkers(failedAttempts)
    planner.requeue(jobId, { waitingSinceMs: job.waitingSinceMs, attainedMs, preemptions, isCheckpointIgnored, avoid })
    const attempt = trackAttempt(jobId, run.input.attempt)
    records.writeLater(jobId, { state: JobState.Queued, attempt: attempt + 1, progressMs: end.progressMs, attainedMs, failedAttempts })
    trackAttempt(jobId, attempt + 1)
    endIfImpossible(run.input.spec)
    changed.notify()
  }

  function endJob (jobId: string, result: JobResult, reason?: string): void {
    planner.remove(jobId)
    records.writeLater(jobId, { state: JobState.Ended, result, reason, endedAtMs: Date.now() })
    changed.notify()
  }

  function acknowledgeWhenStored (jobId: string, end: { readonly workerId: string, readonly taskId: string }): void {
    if (records.isUnwritten(jobId)) taskEnds.set(jobId, [...taskEnds.get(jobId) ?? [], end])
    else links.acknowledge(end.workerId, end.taskId)
  }

  function acknowledgeEnds (jobId: string): void {
    for (const end of taskEnds.get(jobId) ?? []) links.acknowledge(end.workerId, end.taskId)
    taskEnds.delete(jobId)
  }

  /** Returns the highest attempt number of a job. The numbers only increase, so that tasks of different attempts never have the same id. */
  function trackAttempt (jobId: string, attempt: number): number {
    const highest = Math.max(attempts.get(jobId) ?? 0, attempt)
    attempts.set(jobId, highest)
    return highest
  }

  // Requests of callers

  async function cancel (jobId: string): Promise<JobView> {
    const record = records.get(jobId)
    if (record === undefined) throw createError(ErrorKind.NotFound, `there is no job ${jobId}`)
    if (record.state === JobState.Ended || record.isCancelRequested) return toView(record)
    const run = runs.get(jobId)
    if (run === undefined && planner.get(jobId) !== undefined) {
      endJob(jobId, JobResult.Cancelled)
      return toView(records.get(jobId) as JobRecord)
    }
    records.writeLater(jobId, { isCancelRequested: true })
    run?.cancel()
    return toView(records.get(jobId) as JobRecord)
  }

  async function get (jobId: string, waitMs: number): Promise<JobView | undefined> {
    const deadlineMs = Date.now() + waitMs
    while (true) {
      const record = records.get(jobId)
      if (record === undefined) return undefined
      const remainingMs = deadlineMs - Date.now()
      if (record.state === JobState.Ended || remainingMs <= 0 || isStopped) return toView(record)
      await changed.wait(remainingMs)
    }
  }

  function list (organisation: string | undefined): readonly JobView[] {
    const views: JobView[] = []
    for (const record of records.getAll()) {
      if (organisation !== undefined && record.spec.organisation !== organisation) continue
      views.push(toView(record))
    }
    views.sort((left, right) => right.submittedAtMs - left.submittedAtMs)
    return views.slice(0, maxListedJobs)
  }

  function toView (record: JobRecord): JobView {
    return createJobView(record, planner.get(record.spec.jobId), runs.get(record.spec.jobId), planner.getWaitReason)
  }

  function getStatus (): SchedulerStatus {
    return {
      domain: host.domain,
      epoch: host.epoch,
      isRecovered,
      usage: allocator.getUsage(),
      waiting: planner.countWaiting(),
      running: runs.size,
      shortages: allocator.getShortages(),
      quarantined: health.getQuarantined(),
      unreachableWorkers: [...unreachable],
      largestWaiting: getLargestWaitingGangs(planner),
      unwrittenRecords: records.countUnwritten()
    }
  }

  // Lifecycle

  async function tickLoop (): Promise<void> {
    let prunedAtMs = Date.now()
    while (!isStopped) {
      await delay(tickIntervalMs)
      if (isStopped) return
      for (const workerId of health.endExpiredQuarantines()) updateUsable(workerId)
      scheduleDecision()
      if (Date.now() - prunedAtMs < pruneIntervalMs) continue
      prunedAtMs = Date.now()
      await records.prune(Date.now() - recordRetentionMs).catch(() => {})
    }
  }

  function handleSuperseded (seenEpoch = 0): void {
    if (isStopped) return
    stop()
    host.onSuperseded(seenEpoch)
  }

  function stop (): void {
    isStopped = true
    for (const run of runs.values()) run.abandon()
    links.stop()
    records.stop()
    changed.notify()
  }
}

/** A lost member may have finished its work; a stopped member has not. */
function getInterruptedResult (end: GangEnd): JobResult {
  return end.outcome === GangOutcome.Broken ? JobResult.Unknown : JobResult.Interrupted
}
