/**
 * A discrete-event simulation that runs the real placement planner against simulated workers. The baselines use the same
 * planner and cells, and differ in the order of jobs, in the fit strategy, and in what they may preempt.
 */
import type { RuleSet } from '../rules/ruleSet.js'
import { createPlacementPlanner, JobPhase } from '../scheduling/placementPlanner.js'
import type { PlannedJob, PlacementPlanner } from '../scheduling/placementPlanner.js'
import { createDomainAllocator } from '../scheduling/domainAllocator.js'
import type { FitStrategy } from '../scheduling/placementSearch.js'
import { getAcceleratorCount } from '../scheduling/jobTypes.js'
import type { Policy } from '../scheduling/policy.js'
import type { WorkerInfo } from '../scheduling/workerTypes.js'
import type { TraceJob } from './policyWorkload.js'

/** The outcome of one job. */
export interface JobOutcome {
  readonly job: TraceJob
  readonly startedAtMs: number | undefined
  readonly endedAtMs: number | undefined
  readonly isCancelled: boolean
  readonly preemptions: number
}

/** The result of a simulation. */
export interface SimResult {
  readonly outcomes: readonly JobOutcome[]
  /** The share of the accelerator time that was idle while at least one job was waiting. */
  readonly idleWhileWaiting: number
  /** The accelerator time lost by preemptions and failures of workers, as a share of the work done. */
  readonly lostShare: number
  readonly maxGuaranteeWaitMs: number
}

/** Options of a simulation. */
export interface SimOptions {
  readonly trace: readonly TraceJob[]
  readonly workers: readonly WorkerInfo[]
  readonly rules: RuleSet
  createPolicy (getJobs: () => Iterable<PlannedJob>): Policy
  readonly fit: FitStrategy
  /** Failures of workers: each is lost at `atMs` and returns at `returnsAtMs`. */
  readonly failures?: readonly { readonly atMs: number, readonly workerId: string, readonly returnsAtMs: number }[]
}

/** The delay before a job that preempts others starts: the longest time that the rules allow for a checkpoint. */
export const checkpointMs = 1_500
/** The work that a preempted job repeats when it restarts from its checkpoint. */
const repeatedWorkMs = 20_000
const tickIntervalMs = 10_000

enum EventKind { Arrive, Cancel, End, Tick, LoseWorker, RestoreWorker }

interface Event {
  readonly atMs: number
  readonly kind: EventKind
  readonly index: number
  readonly attempt: number
}

interface SimJob {
  readonly trace: TraceJob
  remainingMs: number
  attempt: number
  runningSinceMs: number | undefined
  startedAtMs: number | undefined
  endedAtMs: number | undefined
  isCancelled: boolean
  preemptions: number
  /** When the job arrived, its organisation had an unused guaranteed cell that fits it, and no other waiting job. */
  hasGuarantee: boolean
}

/** Simulates a trace to its end. During the simulation, `Date.now` returns the simulated time. */
export function runSimulation (options: SimOptions): SimResult {
  const realNow = Date.now
  let nowMs = 0
  Date.now = () => nowMs
  try {
    return simulate(options, time => { nowMs = time }, () => nowMs)
  } finally {
    Date.now = realNow
  }
}

function simulate (options: SimOptions, setNow: (nowMs: number) => void, getNow: () => number): SimResult {
  const allocator = createDomainAllocator(options.fit)
  allocator.addWorkers(options.workers)
  allocator.setGuarantees(options.rules.guarantees)
  const policy: Policy = options.createPolicy(() => planner.getJobs())
  const planner: PlacementPlanner = createPlacementPlanner({ allocator, policy, getRules: () => options.rules })
  const jobs: SimJob[] = options.trace.map(createSimJob)
  const indexByJobId = new Map(options.trace.map((job, index) => [job.spec.jobId, index]))
  const queue = createEventQueue()
  const capacity = options.workers.reduce((sum, worker) => sum + worker.accelerators, 0)
  let usable = capacity
  let inUse = 0
  const totals = { idleWhileWaiting: 0, capacity: 0, lost: 0, done: 0, maxGuaranteeWaitMs: 0, lastMs: 0 }
  options.trace.forEach((job, index) => {
    queue.push({ atMs: job.spec.submittedAtMs, kind: EventKind.Arrive, index, attempt: 0 })
    if (job.cancelAtMs !== undefined) queue.push({ atMs: job.cancelAtMs, kind: EventKind.Cancel, index, attempt: 0 })
  })
  options.failures?.forEach((failure, index) => {
    queue.push({ atMs: failure.atMs, kind: EventKind.LoseWorker, index, attempt: 0 })
    queue.push({ atMs: failure.returnsAtMs, kind: EventKind.RestoreWorker, index, attempt: 0 })
  })
  queue.push({ atMs: tickIntervalMs, kind: EventKind.Tick, index: 0, attempt: 0 })

  for (let event = queue.pop(); event !== undefined; event = queue.pop()) {
    accumulateTime(event.atMs)
    setNow(event.atMs)
    handleEvent(event)
    if (queue.peek()?.atMs === event.atMs) continue
    startPlaced()
  }
  return {
    outcomes: jobs.map(job => ({ job: job.trace, startedAtMs: job.startedAtMs, endedAtMs: job.endedAtMs, isCancelled: job.isCancelled, preemptions: job.preemptions })),
    idleWhileWaiting: totals.idleWhileWaiting / Math.max(1, totals.capacity),
    lostShare: totals.lost / Math.max(1, totals.done),
    maxGuaranteeWaitMs: totals.maxGuaranteeWaitMs
  }

  function handleEvent (event: Event): void {
    const job = jobs[event.index] as SimJob
    switch (event.kind) {
      case EventKind.Arrive:
        if (allocator.getImpossibleReason(job.trace.spec) !== undefined) return
        job.hasGuarantee = hasUnusedGuarantee(job.trace)
        planner.addWaiting(job.trace.spec, { waitingSinceMs: getNow() })
        return
      case EventKind.Cancel:
        if (job.endedAtMs === undefined) endJob(job, true)
        return
      case EventKind.End:
        if (job.attempt === event.attempt && job.runningSinceMs !== undefined) endJob(job, false)
        return
      case EventKind.LoseWorker:
      case EventKind.RestoreWorker:
        setWorkerAvailability(event)
        return
      default:
        if (queue.hasNonTickEvents()) queue.push({ atMs: event.atMs + tickIntervalMs, kind: EventKind.Tick, index: 0, attempt: 0 })
    }
  }

  /** Returns whether the job's organisation has an unused guaranteed cell that fits the job, and no waiting job. */
  function hasUnusedGuarantee (trace: TraceJob): boolean {
    const size = getAcceleratorCount(trace.spec)
    const hasNoWaitingJob = ![...planner.getJobs()].some(job => job.spec.organisation === trace.spec.organisation && job.phase === JobPhase.Waiting)
    return hasNoWaitingJob && allocator.getCellsOf(trace.spec.organisation).some(cell => cell.block === undefined && !cell.isMissing && 1 << cell.level >= size)
  }

  function setWorkerAvailability (event: Event): void {
    const failure = options.failures?.[event.index]
    if (failure === undefined) return
    if (event.kind === EventKind.LoseWorker) {
      for (const job of jobs) if (job.runningSinceMs !== undefined && job.trace.workers?.has(failure.workerId) === true) preempt(job, true)
    }
    allocator.setUsable(failure.workerId, event.kind === EventKind.RestoreWorker)
    usable = allocator.getUsage().usable
    planner.retryGuarantees()
  }

  function endJob (job: SimJob, isCancelled: boolean): void {
    if (job.runningSinceMs !== undefined && !isCancelled) {
      totals.done += job.trace.runMs * getAcceleratorCount(job.trace.spec)
      policy.recordRunTime(job.trace.spec, job.trace.runMs)
    }
    if (job.runningSinceMs !== undefined) inUse -= getAcceleratorCount(job.trace.spec)
    job.runningSinceMs = undefined
    job.endedAtMs = getNow()
    job.isCancelled = isCancelled
    planner.remove(job.trace.spec.jobId)
  }

  function startPlaced (): void {
    for (const placement of planner.decide()) {
      const job = jobs[indexByJobId.get(placement.jobId) as number] as SimJob
      let delayMs = 0
      for (const victim of placement.victims) {
        preempt(jobs[indexByJobId.get(victim) as number] as SimJob, false)
        delayMs = checkpointMs
      }
      job.attempt++
      job.runningSinceMs = getNow() + delayMs
      job.startedAtMs ??= job.runningSinceMs
      inUse += getAcceleratorCount(job.trace.spec)
      if (job.hasGuarantee && job.attempt === 1) {
        totals.maxGuaranteeWaitMs = Math.max(totals.maxGuaranteeWaitMs, job.runningSinceMs - job.trace.spec.submittedAtMs)
      }
      job.trace.workers = new Set(placement.members.map(member => member.workerId))
      planner.markStarted(placement.jobId)
      queue.push({ atMs: job.runningSinceMs + job.remainingMs, kind: EventKind.End, index: indexByJobId.get(placement.jobId) as number, attempt: job.attempt })
    }
  }

  function preempt (job: SimJob, isWorkerLost: boolean): void {
    if (job.runningSinceMs === undefined) return
    const ranMs = Math.max(0, getNow() - job.runningSinceMs)
    const accelerators = getAcceleratorCount(job.trace.spec)
    const ignoresCheckpoint = job.trace.ignoresCheckpoint || isWorkerLost
    const preservedMs = ignoresCheckpoint ? 0 : Math.max(0, ranMs - repeatedWorkMs)
    inUse -= accelerators
    totals.lost += (ranMs - preservedMs) * accelerators
    job.remainingMs -= preservedMs
    job.runningSinceMs = undefined
    job.attempt++
    job.preemptions++
    const { jobId } = job.trace.spec
    const previous = planner.get(jobId)
    planner.requeue(jobId, {
      waitingSinceMs: previous?.waitingSinceMs,
      attainedMs: (previous?.attainedMs ?? 0) + ranMs * accelerators,
      preemptions: job.preemptions,
      isCheckpointIgnored: (previous?.isCheckpointIgnored ?? false) || job.trace.ignoresCheckpoint
    })
  }

  function accumulateTime (atMs: number): void {
    const spanMs = atMs - totals.lastMs
    totals.lastMs = atMs
    totals.capacity += usable * spanMs
    if (planner.countWaiting() > 0) totals.idleWhileWaiting += Math.max(0, usable - inUse) * spanMs
  }
}

function createSimJob (trace: TraceJob): SimJob {
  return {
    trace,
    remainingMs: trace.runMs,
    attempt: 0,
    runningSinceMs: undefined,
    startedAtMs: undefined,
    endedAtMs: undefined,
    isCancelled: false,
    preemptions: 0,
    hasGuarantee: false
  }
}

interface EventQueue {
  push (event: Event): void
  pop (): Event | undefined
  peek (): Event | undefined
  hasNonTickEvents (): boolean
}

/** Creates a queue of events by time, as a binary heap. */
function createEventQueue (): EventQueue {
  const heap: Event[] = []
  let tickCount = 0

  return {
    push,
    pop,
    peek: () => heap[0],
    hasNonTickEvents: () => heap.length > tickCount
  }

  function push (event: Event): void {
    if (event.kind === EventKind.Tick) tickCount++
    heap.push(event)
    let index = heap.length - 1
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (isBefore(heap[parent] as Event, heap[index] as Event)) return
      swap(parent, index)
      index = parent
    }
  }

  function pop (): Event | undefined {
    const first = heap[0]
    const last = heap.pop()
    if (first === undefined || last === undefined) return undefined
    if (first.kind === EventKind.Tick) tickCount--
    if (heap.length > 0) {
      heap[0] = last
      siftDown()
    }
    return first
  }

  function siftDown (): void {
    let index = 0
    while (true) {
      let least = index
      for (const child of [2 * index + 1, 2 * index + 2]) {
        if (child < heap.length && isBefore(heap[child] as Event, heap[least] as Event)) least = child
      }
      if (least === index) return
      swap(least, index)
      index = least
    }
  }

  function swap (left: number, right: number): void {
    const leftEvent = heap[left] as Event
    heap[left] = heap[right] as Event
    heap[right] = leftEvent
  }
}

function isBefore (left: Event, right: Event): boolean {
  return left.atMs - right.atMs < 0 || (left.atMs === right.atMs && left.kind <= right.kind)
}
