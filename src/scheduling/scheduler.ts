/** Schedules the jobs of one failure domain, on the host that holds the domain's lease. */
import type { Logger } from '../common/logger.js'
import { createSignal, delay } from '../common/time.js'
import { assert } from '../common/debug.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { RuleSet } from '../rules/ruleSet.js'
import { DrainTarget } from '../rules/ruleSet.js'
import type { Store } from '../store/store.js'
import { createDecider } from './decider.js'
import { createDomainCells } from './domainCells.js'
import type { Placement } from './domainCells.js'
import { createGangRun, GangOutcome } from './gangRun.js'
import type { GangEnd, GangRun, GangRunHost } from './gangRun.js'
import { createJobRecords } from './jobRecords.js'
import type { ShareUnwritten } from './jobRecords.js'
import { createJobView, getLargestWaiting } from './jobViews.js'
import type { JobView, SchedulerStatus } from './jobViews.js'
import { getAcceleratorCount, JobResult, JobState } from './jobTypes.js'
import type { JobRecord, JobSpec } from './jobTypes.js'
import { createPolicy } from './policy.js'
import { createSubmission } from './submission.js'
import { createTakeover } from './takeover.js'
import type { ReportedTask } from './takeover.js'
import { createWorkerHealth } from './workerHealth.js'
import { createWorkerLinks } from './workerLinks.js'
import type { WorkerTiming } from './workerLinks.js'
import { TaskState } from './workerTypes.js'
import type { TaskReport, WorkerInfo, WorkerPort } from './workerTypes.js'

/** What the scheduler needs from outside. */
export interface SchedulerHost {
  readonly domain: string
  readonly epoch: number
  readonly store: Store
  readonly logger: Logger
  readonly random: () => number
  readonly getRules: () => RuleSet
  /** The workers of the domain on the platform's list, and whether the list has been read. */
  readonly getWorkers: () => readonly WorkerInfo[]
  readonly connect: (info: WorkerInfo) => WorkerPort
  readonly timing: WorkerTiming
  /** Changes of records that the scheduler before this one on the same host could not write. */
  readonly carriedRecords: readonly JobRecord[]
  /** Gives changes of records that the store does not have to other hosts of the domain. */
  readonly shareUnwritten: ShareUnwritten
  /** Another scheduler has a higher epoch; `seenEpoch` is 0 where it is not known. */
  readonly onDeposed: (seenEpoch: number) => void
}

/** The scheduler of one failure domain. */
export interface Scheduler {
  /** Accepts a job: it is recorded, or it runs already. The same job id again returns the job. */
  submit (spec: JobSpec): Promise<JobView>
  cancel (jobId: string): Promise<JobView>
  /** Waits up to `waitMs` for the job's end. */
  get (jobId: string, waitMs: number): Promise<JobView | undefined>
  list (organisation: string | undefined): readonly JobView[]
  getStatus (): SchedulerStatus
  /** Looks at rules and workers again. */
  refresh (): void
  /** Resolves when the jobs of an earlier scheduler have been taken over. */
  whenRecovered (): Promise<void>
  /** Stops deciding at once. Tasks run on. */
  stop (): void
  /** Resolves when every change of a record is in the store. */
  flush (): Promise<void>
  getUnwrittenRecords (): readonly JobRecord[]
  verify (): void
}

const recoveryWaitMs = 1_500
const settlePollMs = 50
const tickMs = 1_000
const reloadMs = 2_000
const retryPauseMs = 500
const maxFailuresOfJob = 3
const prunePeriodMs = 600_000
const recordRetentionMs = 86_400_000
const maxListed = 1_000

/** Starts to schedule. */
export function createScheduler (host: SchedulerHost): Scheduler {
  const cells = createDomainCells()
  const policy = createPolicy(() => host.getRules().weights)
  const decider = createDecider({ cells, policy, getRules: host.getRules })
  const records = createJobRecords(host.store, host.domain, () => host.epoch, host.logger, host.shareUnwritten)
  const health = createWorkerHealth(() => workers.size)
  const changed = createSignal()
  const runs = new Map<string, GangRun>()
  const attempts = new Map<string, number>()
  const failedOn = new Map<string, Set<string>>()
  const workers = new Map<string, WorkerInfo>()
  const unreachable = new Set<string>()
  const reported = new Map<string, ReportedTask>()
  const taskEnds = new Map<string, { readonly workerId: string, readonly taskId: string }[]>()
  let areRecordsLoaded = false
  let isRecovered = false
  let isStopped = false
  let isDecisionDue = false
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
    onDeposed: depose
  })

  const runHost: GangRunHost = {
    links,
    records,
    logger: host.logger,
    getEpoch: () => host.epoch,
    getLeaseMs: () => host.timing.leaseMs,
    getCheckpointMs: () => host.getRules().getLimit('checkpoint-ms'),
    evict: async (jobId, workerIds) => { await runs.get(jobId)?.evict(workerIds) },
    onStarted: jobId => {
      decider.markStarted(jobId)
      changed.notify()
    },
    areWorkersSettled
  }

  const takeover = createTakeover({
    records,
    decider,
    runs,
    runHost,
    noteAttempt,
    followRun: (run, end) => { void followRun(run, end) },
    stopTask: task => { void stopTask(task) },
    endJob,
    scheduleDecision,
    isStopped: () => isStopped
  })
  const submit = createSubmission({
    domain: host.domain,
    records,
    decider,
    cells,
    runs,
    changed,
    getRules: host.getRules,
    countWorkers: () => workers.size,
    scheduleDecision,
    reconcileRecords: () => takeover.reconcileRecords(),
    reloadRecords,
    isStopped: () => isStopped,
    toView
  })
  records.onWritten(acknowledgeEnds)
  const recovered = recover()
  void tickLoop()

  return { submit, cancel, get, list, getStatus, refresh, whenRecovered: () => recovered, stop, flush: records.flush, getUnwrittenRecords: records.getUnwritten, verify: cells.verify }

  // Taking over

  async function recover (): Promise<void> {
    const startedAtMs = Date.now()
    refresh()
    const loading = loadRecords()
    while (!isStopped && Date.now() - startedAtMs < recoveryWaitMs) {
      if (areWorkersSettled() && areRecordsLoaded) break
      await Promise.race([delay(settlePollMs), loading.then(() => delay(settlePollMs))])
    }
    if (isStopped) return
    host.carriedRecords.forEach(records.carryOver)
    takeover.takeOverGangs(reported.values())
    reported.clear()
    isRecovered = true
    takeover.reconcileRecords()
    host.logger.info(`took over ${runs.size} running and ${decider.countWaiting()} waiting jobs`, { tookMs: Date.now() - startedAtMs })
    void reloadLoop()
    scheduleDecision()
  }

  async function loadRecords (): Promise<void> {
    try {
      await records.load()
      areRecordsLoaded = true
    } catch (error) {
      host.logger.warn('the job records cannot be read', { error: String(error) })
    }
  }

  /** A record may have been written without this scheduler's knowledge. */
  function reloadRecords (): void {
    if (!areRecordsLoaded) return
    areRecordsLoaded = false
    void reloadLoop()
  }

  /** Records that could not be read at the takeover are read when the store answers. */
  async function reloadLoop (): Promise<void> {
    while (!isStopped && !areRecordsLoaded) {
      await delay(reloadMs)
      await loadRecords()
      if (areRecordsLoaded && !isStopped) takeover.reconcileRecords()
    }
  }

  function areWorkersSettled (): boolean {
    return [...workers.keys()].every(workerId => links.isSettled(workerId))
  }

  // Workers

  function refresh (): void {
    if (isStopped) return
    const listed = host.getWorkers()
    const added = listed.filter(info => !workers.has(info.workerId))
    if (added.length > 0) cells.addWorkers(added)
    for (const info of listed) {
      workers.set(info.workerId, info)
      cells.setGone(info.workerId, false)
      links.add(info)
    }
    const listedIds = new Set(listed.map(info => info.workerId))
    for (const workerId of workers.keys()) {
      const isGone = !listedIds.has(workerId) && unreachable.has(workerId) && links.isLost(workerId)
      if (isGone) removeWorker(workerId)
      else updateUsable(workerId)
    }
    const rules = host.getRules()
    if (rules.revision !== rulesRevision || added.length > 0) takeRules(rules)
    scheduleDecision()
  }

  function takeRules (rules: RuleSet): void {
    rulesRevision = rules.revision
    cells.setGuarantees(rules.guarantees.filter(guarantee => guarantee.domain === host.domain))
    decider.invalidate()
    for (const shortage of cells.getShortages()) {
      host.logger.error(`guarantee ${shortage.guaranteeId} cannot be honoured: ${shortage.missingCells} cell(s) of ${shortage.acceleratorsPerCell} are missing`)
    }
  }

  function removeWorker (workerId: string): void {
    workers.delete(workerId)
    links.remove(workerId)
    cells.setUsable(workerId, false)
    cells.setGone(workerId, true)
    refuseImpossible()
  }

  function refuseImpossible (): void {
    for (const job of [...decider.getJobs()]) {
      if (!runs.has(job.spec.jobId)) refuseIfImpossible(job.spec)
    }
  }

  function refuseIfImpossible (spec: JobSpec): void {
    const reason = cells.getImpossibleReason(spec)
    if (reason !== undefined) endJob(spec.jobId, getImpossibleResult(spec.jobId), reason)
  }

  /** "Not run" is a promise, so it is not said of a job that an earlier attempt may have run. */
  function getImpossibleResult (jobId: string): JobResult {
    return records.get(jobId)?.startedAtMs === undefined ? JobResult.NotRun : JobResult.Interrupted
  }

  function updateUsable (workerId: string): void {
    const info = workers.get(workerId)
    if (info === undefined) return
    const rules = host.getRules()
    const isDraining = info.isLeaving || rules.isDraining(DrainTarget.Worker, workerId) || rules.isDraining(DrainTarget.Domain, host.domain)
    const isUsable = !isDraining && !unreachable.has(workerId) && !health.isQuarantined(workerId)
    if (isUsable === cells.isUsable(workerId)) return
    cells.setUsable(workerId, isUsable)
    decider.invalidate()
    scheduleDecision()
  }

  function onReport (workerId: string, reports: readonly TaskReport[]): void {
    for (const report of reports) {
      const { taskId } = report
      const run = runs.get(getJobId(taskId))
      if (run !== undefined && run.members.some(member => member.taskId === taskId)) run.onReport(report)
      else if (!isRecovered && report.descriptor !== undefined) reported.set(taskId, { workerId, report, descriptor: report.descriptor })
      else onUnknownTask(workerId, report, run)
    }
    if (reports.length > 0) changed.notify()
    if (isRecovered) pokeRuns()
  }

  /** A task that this scheduler has not placed: a late member of a gang that it took over, or a stray. */
  function onUnknownTask (workerId: string, report: TaskReport, run: GangRun | undefined): void {
    const { descriptor } = report
    const isLateMember = run !== undefined && descriptor !== undefined && descriptor.attempt === run.start.attempt && run.members.length < run.start.spec.members
    if (isLateMember) {
      run.addMember(workerId, report.taskId, descriptor.member)
      run.onReport(report)
      if (report.state !== TaskState.Ended) decider.addMember(run.start.spec.jobId, { workerId, accelerators: descriptor.accelerators })
      return
    }
    if (report.state === TaskState.Ended) links.acknowledge(workerId, report.taskId)
    else void stopTask({ workerId, report, descriptor })
  }

  async function stopTask (task: { readonly workerId: string, readonly report: TaskReport, readonly descriptor?: unknown }): Promise<void> {
    if (task.report.state === TaskState.Ended) {
      links.acknowledge(task.workerId, task.report.taskId)
      return
    }
    try {
      await links.get(task.workerId)?.stop(host.epoch, [task.report.taskId])
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.StaleEpoch)) depose(Number(error.details.seenEpoch ?? 0))
    }
  }

  function onFullReport (workerId: string, taskIds: ReadonlySet<string>, sentAtMs: number): void {
    for (const run of runs.values()) run.onFullReport(workerId, taskIds, sentAtMs)
    for (const [taskId, task] of reported) if (task.workerId === workerId && !taskIds.has(taskId)) reported.delete(taskId)
    scheduleDecision()
  }

  function onWorkerLost (workerId: string): void {
    for (const run of runs.values()) run.onWorkerLost(workerId)
    for (const [taskId, task] of reported) if (task.workerId === workerId) reported.delete(taskId)
    pokeRuns()
    scheduleDecision()
  }

  function pokeRuns (): void {
    for (const run of runs.values()) if (run.members.length < run.start.spec.members) run.poke()
  }

  // Deciding

  function scheduleDecision (): void {
    if (isDecisionDue || isStopped || !isRecovered) return
    isDecisionDue = true
    queueMicrotask(() => {
      isDecisionDue = false
      if (!isStopped) for (const placement of decider.decide()) startRun(placement)
    })
  }

  function startRun (placement: Placement): void {
    const record = records.get(placement.jobId)
    const job = decider.get(placement.jobId)
    assert(record !== undefined && job !== undefined, 'a placed job has a record')
    assert(!runs.has(placement.jobId), 'a job runs once at a time')
    const attempt = noteAttempt(placement.jobId, (attempts.get(placement.jobId) ?? 0) + 1)
    const run = createGangRun(runHost, { spec: record.spec, attempt, progressMs: record.progressMs, attainedMs: job.attainedMs })
    runs.set(placement.jobId, run)
    void followRun(run, run.run(placement))
  }

  async function followRun (run: GangRun, end: Promise<GangEnd>): Promise<void> {
    const gangEnd = await end
    if (isStopped || gangEnd.outcome === GangOutcome.Deposed) {
      if (!isStopped) depose()
      return
    }
    const { jobId } = run.start.spec
    runs.delete(jobId)
    taskEnds.set(jobId, [...taskEnds.get(jobId) ?? [], ...run.members])
    concludeRun(run, gangEnd)
    scheduleDecision()
  }

  function concludeRun (run: GangRun, end: GangEnd): void {
    const { spec } = run.start
    if (records.get(spec.jobId)?.isCancelRequested === true && end.outcome !== GangOutcome.Succeeded) {
      endJob(spec.jobId, JobResult.Cancelled)
      return
    }
    switch (end.outcome) {
      case GangOutcome.Succeeded:
        concludeSuccess(run, end)
        return
      case GangOutcome.Failed:
        concludeFailure(run, end)
        return
      case GangOutcome.Cancelled:
        endJob(spec.jobId, JobResult.Cancelled)
        return
      case GangOutcome.NotStarted:
        void requeueAfterPause(run, end)
        return
      default:
        if (spec.repeatable) requeue(run, end)
        else endJob(spec.jobId, getInterruptedResult(end), 'it was stopped after its release and is not repeatable')
    }
  }

  function concludeSuccess (run: GangRun, end: GangEnd): void {
    const { spec } = run.start
    for (const member of run.members) health.noteSuccess(member.workerId)
    policy.learn(spec, end.progressMs + end.attainedMs / Math.max(1, getAcceleratorCount(spec)))
    endJob(spec.jobId, JobResult.Succeeded)
  }

  /** A repeatable job is tried on other workers, to learn whether the job or the worker is to blame. */
  function concludeFailure (run: GangRun, end: GangEnd): void {
    const { spec } = run.start
    const tried = failedOn.get(spec.jobId) ?? new Set<string>()
    failedOn.set(spec.jobId, tried)
    const workerId = end.workerId ?? ''
    tried.add(workerId)
    const isJobToBlame = tried.size >= maxFailuresOfJob || !spec.repeatable || workers.size <= tried.size
    if (tried.size > 1) health.acquit(spec.jobId).forEach(updateUsable)
    else if (health.noteFailure(workerId, spec.jobId)) host.logger.warn(`worker ${workerId} is quarantined: every job fails on it`)
    updateUsable(workerId)
    if (isJobToBlame) endJob(spec.jobId, JobResult.Failed, `it failed on ${[...tried].join(', ')}`)
    else requeue(run, end)
  }

  async function requeueAfterPause (run: GangRun, end: GangEnd): Promise<void> {
    const { jobId } = run.start.spec
    if (end.workerId !== undefined) await delay(retryPauseMs)
    if (isStopped || decider.get(jobId) === undefined || runs.has(jobId)) return
    requeue(run, end)
    scheduleDecision()
  }

  function requeue (run: GangRun, end: GangEnd): void {
    const { jobId } = run.start.spec
    const job = decider.get(jobId)
    if (job === undefined) return
    const attainedMs = job.attainedMs + end.attainedMs
    const preemptions = job.preemptions + (end.outcome === GangOutcome.Preempted ? 1 : 0)
    const isCheckpointIgnored = job.isCheckpointIgnored || end.isCheckpointIgnored
    const avoid = failedOn.get(jobId) ?? new Set<string>()
    decider.requeue(jobId, { waitingSinceMs: job.waitingSinceMs, attainedMs, preemptions, isCheckpointIgnored, avoid })
    const attempt = noteAttempt(jobId, run.start.attempt)
    records.writeLater(jobId, { state: JobState.Queued, attempt: attempt + 1, progressMs: end.progressMs, attainedMs })
    noteAttempt(jobId, attempt + 1)
    refuseIfImpossible(run.start.spec)
    changed.notify()
  }

  function endJob (jobId: string, result: JobResult, reason?: string): void {
    decider.remove(jobId)
    failedOn.delete(jobId)
    records.writeLater(jobId, { state: JobState.Ended, result, reason, endedAtMs: Date.now() })
    changed.notify()
  }

  function acknowledgeEnds (jobId: string): void {
    for (const end of taskEnds.get(jobId) ?? []) links.acknowledge(end.workerId, end.taskId)
    taskEnds.delete(jobId)
  }

  /** Attempts of a job only grow, so that the tasks of two attempts never share a name. */
  function noteAttempt (jobId: string, attempt: number): number {
    const highest = Math.max(attempts.get(jobId) ?? 0, attempt)
    attempts.set(jobId, highest)
    return highest
  }

  // Callers

  async function cancel (jobId: string): Promise<JobView> {
    const record = records.get(jobId)
    if (record === undefined) throw createError(ErrorKind.NotFound, `there is no job ${jobId}`)
    if (record.state === JobState.Ended || record.isCancelRequested) return toView(record)
    const run = runs.get(jobId)
    if (run === undefined && decider.get(jobId) !== undefined) {
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
    return views.slice(0, maxListed)
  }

  function toView (record: JobRecord): JobView {
    return createJobView(record, decider.get(record.spec.jobId), runs.get(record.spec.jobId), decider.getWaitReason)
  }

  function getStatus (): SchedulerStatus {
    return {
      domain: host.domain,
      epoch: host.epoch,
      isRecovered,
      usage: cells.getUsage(),
      waiting: decider.countWaiting(),
      running: runs.size,
      shortages: cells.getShortages(),
      quarantined: health.getQuarantined(),
      unreachableWorkers: [...unreachable],
      largestWaiting: getLargestWaiting(decider),
      unwrittenRecords: records.countUnwritten()
    }
  }

  // Life

  async function tickLoop (): Promise<void> {
    let prunedAtMs = Date.now()
    while (!isStopped) {
      await delay(tickMs)
      if (isStopped) return
      for (const workerId of health.takeReadmitted()) updateUsable(workerId)
      scheduleDecision()
      if (Date.now() - prunedAtMs < prunePeriodMs) continue
      prunedAtMs = Date.now()
      await records.prune(Date.now() - recordRetentionMs).catch(() => {})
    }
  }

  function depose (seenEpoch = 0): void {
    if (isStopped) return
    stop()
    host.onDeposed(seenEpoch)
  }

  function stop (): void {
    isStopped = true
    for (const run of runs.values()) run.depose()
    links.stop()
    records.stop()
    changed.notify()
  }
}

/** A lost member may have finished its work; a stopped one has not. */
function getInterruptedResult (end: GangEnd): JobResult {
  return end.outcome === GangOutcome.Broken ? JobResult.Unknown : JobResult.Interrupted
}

function getJobId (taskId: string): string {
  return taskId.split('.').slice(0, -2).join('.')
}
