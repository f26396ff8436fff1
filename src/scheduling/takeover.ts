/** Takes over the jobs of an earlier scheduler, using the workers' reports and the job records. */
import { delay } from '../common/time.js'
import type { PlacementPlanner, JobHistory } from './placementPlanner.js'
import { describeFailures, getFailedWorkers, hasFailedTooOften } from './failedAttempts.js'
import { createGangRun } from './gangRun.js'
import type { GangEnd, GangRun, GangRunHost } from './gangRun.js'
import type { JobRecords } from './jobRecords.js'
import { JobResult, JobState } from './jobTypes.js'
import type { JobRecord, JobSpec } from './jobTypes.js'
import { TaskState } from './workerTypes.js'
import type { TaskDescriptor, TaskReport } from './workerTypes.js'

/** A task from a worker's full report. */
export interface ReportedTask {
  readonly workerId: string
  readonly report: TaskReport
  readonly descriptor: TaskDescriptor
}

/** The latest attempt of a job that workers report, and the remaining tasks of earlier attempts. */
export interface ReportedGang {
  readonly spec: JobSpec
  readonly attempt: number
  readonly tasks: readonly ReportedTask[]
  readonly staleTasks: readonly ReportedTask[]
}

/** Functions and state of the scheduler that the takeover uses. */
export interface TakeoverHost {
  readonly records: JobRecords
  readonly planner: PlacementPlanner
  readonly runs: Map<string, GangRun>
  readonly runHost: GangRunHost
  readonly trackAttempt: (jobId: string, attempt: number) => number
  readonly awaitRun: (run: GangRun, end: Promise<GangEnd>) => void
  readonly stopTask: (task: ReportedTask) => void
  readonly endJob: (jobId: string, result: JobResult, reason?: string) => void
  readonly scheduleDecision: () => void
  readonly isStopped: () => boolean
}

/** The takeover of jobs by a new scheduler. */
export interface Takeover {
  /** Completes the start of every gang that the workers report, or stops the gang. */
  takeOverGangs (tasks: Iterable<ReportedTask>): void
  /** Handles jobs known only from the records, after these have been read: ends them, lets them wait, or treats their gangs as lost. */
  reconcileRecords (): void
}

const settlePollIntervalMs = 50

/** Creates the takeover of a scheduler. */
export function createTakeover (host: TakeoverHost): Takeover {
  const { records, planner, runs, runHost } = host

  return { takeOverGangs, reconcileRecords }

  function takeOverGangs (tasks: Iterable<ReportedTask>): void {
    for (const gang of findReportedGangs(tasks)) takeOverGang(gang)
  }

  /** If the release of the gang was decided, all members are released; otherwise all are stopped. */
  function takeOverGang (gang: ReportedGang): void {
    const { spec, attempt } = gang
    host.trackAttempt(spec.jobId, attempt)
    // The end of a stale task can end the job.
    for (const task of gang.staleTasks) host.stopTask(task)
    const record = records.get(spec.jobId)
    const isObsolete = record !== undefined && (record.state === JobState.Ended || record.attempt > attempt)
    const isReleaseRecorded = record !== undefined && record.state === JobState.Released && record.attempt === attempt
    if (isObsolete || (!isReleaseRecorded && !wasReleaseDecided(gang))) {
      for (const task of gang.tasks) host.stopTask(task)
      return
    }
    if (record === undefined) records.addUnwritten(spec, { state: JobState.Released, attempt, startedAtMs: Date.now() })
    const first = gang.tasks[0] as ReportedTask
    const history = { waitingSinceMs: spec.submittedAtMs, attainedMs: first.descriptor.attainedMs }
    const members = gang.tasks.filter(task => task.report.state !== TaskState.Ended)
      .map(task => ({ workerId: task.workerId, accelerators: task.descriptor.accelerators }))
    const startedAtMs = Date.now() - Math.max(...gang.tasks.map(task => task.report.ranMs))
    planner.addRunning(spec, members, first.descriptor.guaranteeId, history, startedAtMs)
    const run = createGangRun(runHost, { spec, attempt, progressMs: first.descriptor.progressMs, attainedMs: first.descriptor.attainedMs })
    runs.set(spec.jobId, run)
    for (const task of gang.tasks) {
      run.addMember(task.workerId, task.descriptor.taskId, task.descriptor.member)
      run.onReport(task.report)
    }
    host.awaitRun(run, run.resume())
  }

  /** Handles jobs known only from the records, after these have been read: ends them, lets them wait, or treats their gangs as lost. */
  function reconcileRecords (): void {
    for (const record of [...records.getAll()]) {
      const { jobId } = record.spec
      host.trackAttempt(jobId, record.attempt)
      if (record.state === JobState.Ended || runs.has(jobId) || planner.get(jobId) !== undefined) continue
      if (record.isCancelRequested) host.endJob(jobId, JobResult.Cancelled)
      else if (record.state === JobState.Queued && hasFailedTooOften(record)) endFaulty(record)
      else if (record.state === JobState.Queued) planner.addWaiting(record.spec, getHistory(record))
      else if (runHost.areWorkersSettled()) handleLostGang(record)
      else void handleLostGangWhenSettled(record)
    }
    host.scheduleDecision()
  }

  async function handleLostGangWhenSettled ({ spec: { jobId } }: JobRecord): Promise<void> {
    while (!host.isStopped() && !runHost.areWorkersSettled()) await delay(settlePollIntervalMs)
    const record = records.get(jobId)
    const isOpen = record !== undefined && record.state !== JobState.Ended && !runs.has(jobId) && planner.get(jobId) === undefined
    if (!host.isStopped() && isOpen) handleLostGang(record)
  }

  /** Handles a gang that was released according to its record, but that no worker reports. */
  function handleLostGang (record: JobRecord): void {
    if (!record.spec.repeatable) {
      host.endJob(record.spec.jobId, JobResult.Unknown, 'the job\'s workers were lost after its release')
      return
    }
    if (hasFailedTooOften(record)) {
      endFaulty(record)
      return
    }
    records.writeLater(record.spec.jobId, { state: JobState.Queued, attempt: record.attempt + 1 })
    host.trackAttempt(record.spec.jobId, record.attempt + 1)
    planner.addWaiting(record.spec, getHistory(record))
  }

  function endFaulty ({ spec, failedAttempts }: JobRecord): void {
    host.endJob(spec.jobId, JobResult.Failed, describeFailures(failedAttempts))
  }
}

/** Groups tasks by job and attempt. */
export function findReportedGangs (tasks: Iterable<ReportedTask>): ReportedGang[] {
  const byJob = new Map<string, ReportedTask[]>()
  for (const task of tasks) {
    const { jobId } = task.descriptor.spec
    const jobTasks = byJob.get(jobId)
    if (jobTasks === undefined) byJob.set(jobId, [task])
    else jobTasks.push(task)
  }
  return [...byJob.values()].map(createGang)
}

function createGang (tasks: readonly ReportedTask[]): ReportedGang {
  const attempt = tasks.reduce((highest, task) => Math.max(highest, task.descriptor.attempt), 0)
  const first = tasks[0] as ReportedTask
  return {
    spec: first.descriptor.spec,
    attempt,
    tasks: tasks.filter(task => task.descriptor.attempt === attempt),
    staleTasks: tasks.filter(task => task.descriptor.attempt < attempt)
  }
}

/** Returns whether the workers' reports show that the release was decided: a member was released, or all are committed. */
function wasReleaseDecided (gang: ReportedGang): boolean {
  if (gang.tasks.some(task => task.report.wasReleased)) return true
  return gang.tasks.length === gang.spec.members && gang.tasks.every(task => task.report.state === TaskState.Committed)
}

function getHistory (record: JobRecord): Partial<JobHistory> {
  return { waitingSinceMs: record.spec.submittedAtMs, attainedMs: record.attainedMs, avoid: getFailedWorkers(record.failedAttempts) }
}
