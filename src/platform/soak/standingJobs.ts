/**
 * Checks that no job stands for 3 s after 4 s of calm, from what callers and the emulated workers see. So that the result does not depend on how fast the machine is, only
 * time in which the soak's own timers run in time counts: a timer that is over 200 ms late is a disturbance.
 */
import { formatTaskName } from '../../jobs/jobModel.js'
import type { Resources, StepSpec } from '../../jobs/jobModel.js'
import type { PlatformEmulator } from '../emulator/platformEmulator.js'
import type { Disturbances } from './disturbances.js'
import { watchTimers } from './lateTimers.js'
import { isAccepted } from './soakCaller.js'
import type { SoakCaller, SoakJob } from './soakCaller.js'

/** What the check looks at. */
export interface StandingJobsHost {
  readonly emulator: PlatformEmulator
  readonly disturbances: Disturbances
  readonly caller: SoakCaller
  readonly jobs: readonly SoakJob[]
  /** What else the soak knows of a run that was lost, for the report. */
  readonly describeRun: (task: string, run: number) => string
}

/** The check, which runs until it is stopped. */
export interface StandingJobs {
  /** Must be called when a worker lists an end as done. */
  onDone (task: string): void
  stop (): StandingReport
}

/** What the check has found. */
export interface StandingReport {
  readonly violations: readonly string[]
  /** The time in which a job that stands counts, in ms: that after 4 s of calm. */
  readonly checkedMs: number
  /** The longest time that a job has stood in it, in ms. */
  readonly longestMs: number
  readonly lateTimers: number
}

interface Unit {
  readonly name: string
  readonly tasks: readonly string[]
  readonly step: StepSpec
}

const tickMs = 50
/** Source of these three: the platform's rules. */
const calmMs = 4_000
const standMs = 3_000
const lastingStandMs = 6_000

/** Starts the check. */
export function watchStandingJobs (host: StandingJobsHost): StandingJobs {
  const { emulator, disturbances } = host
  const done = new Set<string>()
  /** Since when each unit could run and does not, by the monotonic clock. */
  const standingSinceMs = new Map<string, number>()
  const asked = new Set<string>()
  const violations = new Map<string, string>()
  let checkedMs = 0
  let longestMs = 0
  let lateTimers = 0
  let tickedAtMs = performance.now()
  // Set first, so that a late tick is not counted before it is known to be late.
  const stopTimers = watchTimers(() => {
    lateTimers++
    disturbances.note('late timer')
  })
  const timer = setInterval(tick, tickMs)

  return { onDone: task => { done.add(task) }, stop }

  function stop (): StandingReport {
    clearInterval(timer)
    stopTimers()
    return { violations: [...violations.values()], checkedMs: Math.round(checkedMs), longestMs: Math.round(longestMs), lateTimers }
  }

  function tick (): void {
    const nowMs = performance.now()
    const countsFromMs = disturbances.getCalmSinceMs() + calmMs
    if (countsFromMs < nowMs) checkedMs += Math.min(nowMs - countsFromMs, nowMs - tickedAtMs)
    tickedAtMs = nowMs
    const standing = new Map(findStandingUnits().map(unit => [unit.name, unit]))
    for (const name of standingSinceMs.keys()) if (!standing.has(name)) standingSinceMs.delete(name)
    for (const unit of standing.values()) review(unit, nowMs, countsFromMs)
  }

  function review (unit: Unit, nowMs: number, countsFromMs: number): void {
    const sinceMs = standingSinceMs.get(unit.name) ?? nowMs
    standingSinceMs.set(unit.name, sinceMs)
    const countedMs = nowMs - Math.max(sinceMs + (unit.step.isService ? lastingStandMs : 0), countsFromMs)
    const job = host.jobs.find(({ spec }) => unit.name.startsWith(spec.jobId))
    if (job === undefined) return
    longestMs = Math.max(longestMs, countedMs)
    if (countedMs >= standMs && !violations.has(unit.name)) void confirm(job, unit, nowMs - sinceMs)
  }

  /** Records a violation unless the caller is told that the job has ended; without an answer, a later tick asks again. */
  async function confirm (job: SoakJob, unit: Unit, stoodMs: number): Promise<void> {
    if (asked.has(unit.name)) return
    asked.add(unit.name)
    const description = describe(unit, stoodMs)
    job.state = undefined
    await host.caller.poll(job)
    if (job.state !== undefined && isOpen(job)) violations.set(unit.name, description)
    asked.delete(unit.name)
  }

  /**
   * A task that has ended as done once counts as done, also if its worker was lost before the end was read: whether it has to run again is known to the scheduler alone.
   * Such a task is not found standing.
   */
  function findStandingUnits (): readonly Unit[] {
    const room = measureRoom()
    return host.jobs.filter(job => isAccepted(job) && job.cancelledAtMs === undefined && isOpen(job)).flatMap(({ spec }) => {
      const steps = spec.steps.map((step, index) => ({ step, tasks: Array.from({ length: step.count }, (_, task) => formatTaskName({ jobId: spec.jobId, occurrence: 0, step: index, index: task })) }))
      const isJobRunning = steps.some(({ tasks }) => tasks.some(isRunning))
      const dueSteps = steps.filter(({ step }) => step.after.every(index => steps[index] !== undefined && findUndone(steps[index]).length === 0))
      return dueSteps.flatMap(({ step, tasks }): readonly Unit[] => {
        const left = findUndone({ step, tasks }).filter(task => !isRunning(task))
        if (step.isService) return left.map(task => ({ name: task, tasks: [task], step }))
        return left.length > 0 && !isJobRunning && room(step) ? [{ name: `${spec.jobId} step ${spec.steps.indexOf(step)}`, tasks: left, step }] : []
      })
    })
  }

  /** The members of a gang end together: one that has done its work ends the others. */
  function findUndone ({ step, tasks }: Pick<Unit, 'step' | 'tasks'>): readonly string[] {
    const undone = tasks.filter(task => !done.has(task))
    return step.isGang && undone.length < tasks.length ? [] : undone
  }

  /** Tells for a step whether there is room for it twice over while under half of the capacity is in use. */
  function measureRoom (): (step: StepSpec) => boolean {
    const usedByWorker = new Map<string, Resources>()
    for (const [task, places] of emulator.poolState.running) {
      for (const { workerId } of places) usedByWorker.set(workerId, combine(usedByWorker.get(workerId) ?? noResources, emulator.poolState.getRequest(task), 1))
    }
    const getUsed = (workerId: string): Resources => usedByWorker.get(workerId) ?? noResources
    const up = emulator.workers.filter(emulator.isUp)
    const used = sum(up.map(({ info }) => getUsed(info.workerId)))
    const total = sum(up.map(({ info }) => info.capacity))
    const isHalfUsed = used.accelerators * 2 >= total.accelerators || used.cpuMilli * 2 >= total.cpuMilli || used.memoryMb * 2 >= total.memoryMb
    const usable = up.filter(emulator.isUsable)
    return ({ request, count, isGang, requiredLabel }) => {
      if (isHalfUsed) return false
      const fitting = usable.filter(({ info }) => requiredLabel === undefined || info.labels.includes(requiredLabel)).map(({ info }) => countFitting(combine(info.capacity, getUsed(info.workerId), -1), request))
      return fitting.reduce((left, right) => left + right, 0) >= 2 * (isGang ? count : 1)
    }
  }

  function isRunning (task: string): boolean {
    return (emulator.poolState.running.get(task)?.length ?? 0) > 0
  }

  function describe ({ name, tasks }: Unit, stoodMs: number): string {
    const lost = tasks.map(task => {
      const event = emulator.poolState.lastEvents.get(task) ?? 'never started'
      const workerId = / on (\S+)/.exec(event)?.[1]
      const run = Number(/^run (\d+)/.exec(event)?.[1] ?? 0)
      return `${task}: ${event}${workerId === undefined ? '' : `; ${workerId}: ${disturbances.describeWorker(workerId)}`}${host.describeRun(task, run)}`
    })
    return `${name} stands for 3 s after 4 s of calm, ${Math.round(stoodMs)} ms in all at ${Math.round(performance.now())} ms (${lost.join(' | ')})`
  }
}

const noResources: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

function combine (left: Resources, right: Resources, sign: number): Resources {
  return { cpuMilli: left.cpuMilli + sign * right.cpuMilli, memoryMb: left.memoryMb + sign * right.memoryMb, accelerators: left.accelerators + sign * right.accelerators }
}

function sum (all: readonly Resources[]): Resources {
  return all.reduce((total, resources) => combine(total, resources, 1), noResources)
}

function countFitting (free: Resources, request: Resources): number {
  const shares = [[free.cpuMilli, request.cpuMilli], [free.memoryMb, request.memoryMb], [free.accelerators, request.accelerators]]
  return Math.max(0, Math.floor(Math.min(...shares.map(([left = 0, needed = 0]) => needed === 0 ? Infinity : left / needed))))
}

function isOpen ({ state }: SoakJob): boolean {
  return state === undefined || state === 'queued' || state === 'active'
}
