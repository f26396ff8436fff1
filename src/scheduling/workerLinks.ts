/** One task for each worker: renews its leases, takes its reports, and says when it is surely lost. */
import type { Logger } from '../common/logger.js'
import { createSignal, jitter } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { TaskState } from './workerTypes.js'
import type { TaskReport, WorkerInfo, WorkerPort } from './workerTypes.js'

/** Times of the renewals. A task outlives its last renewal by `leaseMs` at most. */
export interface WorkerTiming {
  readonly renewMs: number
  readonly leaseMs: number
  /** Without an answer for so long, no new work is placed on the worker. */
  readonly suspectMs: number
  /** Added to a lease before the worker's tasks count as ended, for the clocks' drift. */
  readonly lossMarginMs: number
}

/** What the links need from outside. */
export interface WorkerLinksHost {
  readonly domain: string
  readonly logger: Logger
  readonly random: () => number
  readonly getEpoch: () => number
  readonly connect: (info: WorkerInfo) => WorkerPort
  readonly getTiming: () => WorkerTiming
  /** A report of one task; `isNewInstance` says that the worker has restarted since the last one. */
  readonly onReport: (workerId: string, reports: readonly TaskReport[]) => void
  /** The worker has reported every task that it had when the renewal was sent. */
  readonly onFullReport: (workerId: string, taskIds: ReadonlySet<string>, sentAtMs: number) => void
  /** The worker answers, or has stopped answering; in the second case no new work may go there. */
  readonly onReachable: (workerId: string, isReachable: boolean) => void
  /** Every task that ran on the worker before has surely ended. */
  readonly onLost: (workerId: string) => void
  /** A worker has seen a higher epoch: another host schedules this domain. */
  readonly onDeposed: (seenEpoch: number) => void
}

/** The links of a scheduler to the workers of its domain. */
export interface WorkerLinks {
  add (info: WorkerInfo): void
  remove (workerId: string): void
  get (workerId: string): WorkerPort | undefined
  /** Tells whether the worker has answered since this scheduler took over, or is surely lost. */
  isSettled (workerId: string): boolean
  /** Tells whether the worker is silent and every task that it had has surely ended. */
  isLost (workerId: string): boolean
  /** Marks an ended task as recorded, so that the worker can forget it. */
  acknowledge (workerId: string, taskId: string): void
  /** Asks for the worker's next report at once. */
  hurry (workerId: string): void
  stop (): void
}

interface Link {
  readonly info: WorkerInfo
  readonly port: WorkerPort
  readonly wake: ReturnType<typeof createSignal>
  /** Sequence numbers of ended tasks that are not yet recorded. */
  readonly unrecorded: Map<string, number>
  instanceId: string | undefined
  seenSequence: number
  isReachable: boolean
  isSettled: boolean
  isRemoved: boolean
  /** The next renewal follows at once. Renewals of one worker never overlap, since each builds on the last answer. */
  isRenewalDue: boolean
  lastAnswerMs: number
  /** The worker's clock at its last answer, in ms; undefined before the first. */
  clockMs: number | undefined
  /** When the last renewal was sent that may have reached the worker. */
  lastRenewalMs: number
}

const renewJitter = 0.2

/** Creates links to no workers. */
export function createWorkerLinks (host: WorkerLinksHost): WorkerLinks {
  const links = new Map<string, Link>()
  let isStopped = false

  return {
    add,
    remove,
    get: workerId => links.get(workerId)?.port,
    isSettled: workerId => links.get(workerId)?.isSettled ?? true,
    isLost: workerId => {
      const link = links.get(workerId)
      return link === undefined || (!link.isReachable && link.isSettled && link.instanceId === undefined)
    },
    acknowledge: (workerId, taskId) => { links.get(workerId)?.unrecorded.delete(taskId) },
    hurry: workerId => links.get(workerId)?.wake.notify(),
    stop
  }

  function add (info: WorkerInfo): void {
    if (links.has(info.workerId)) return
    const link: Link = {
      info,
      port: host.connect(info),
      wake: createSignal(),
      unrecorded: new Map(),
      instanceId: undefined,
      seenSequence: 0,
      isReachable: true,
      isSettled: false,
      isRemoved: false,
      isRenewalDue: false,
      lastAnswerMs: Date.now(),
      clockMs: undefined,
      lastRenewalMs: Date.now()
    }
    links.set(info.workerId, link)
    void runLink(link)
  }

  function remove (workerId: string): void {
    const link = links.get(workerId)
    if (link === undefined) return
    link.isRemoved = true
    link.wake.notify()
    links.delete(workerId)
  }

  function stop (): void {
    isStopped = true
    for (const workerId of [...links.keys()]) remove(workerId)
  }

  async function runLink (link: Link): Promise<void> {
    while (!isStopped && !link.isRemoved) {
      link.isRenewalDue = false
      await renewOnce(link)
      if (isStopped || link.isRemoved) return
      if (link.isRenewalDue) continue
      await link.wake.wait(jitter(host.getTiming().renewMs, renewJitter, host.random))
    }
  }

  async function renewOnce (link: Link): Promise<void> {
    const { workerId } = link.info
    if (isWaitingForLapse(link)) return
    const sentAtMs = Date.now()
    link.lastRenewalMs = sentAtMs
    try {
      const isFull = link.instanceId === undefined
      const report = await link.port.renew({
        domain: host.domain,
        epoch: host.getEpoch(),
        leaseUntilMs: link.clockMs === undefined ? 0 : link.clockMs + host.getTiming().leaseMs,
        seenSequence: link.seenSequence,
        ackedSequence: getAckedSequence(link),
        isFull
      })
      if (isStopped || link.isRemoved) return
      if (!isFull && report.instanceId !== link.instanceId) {
        noteRestart(link)
        return
      }
      const isFirstClock = link.clockMs === undefined
      link.clockMs = report.clockMs
      noteAnswer(link, report.instanceId, report.sequence, report.tasks)
      // The first renewal could not prolong any lease.
      if (isFirstClock) link.isRenewalDue = true
      if (isFull) host.onFullReport(workerId, new Set(report.tasks.map(task => task.taskId)), sentAtMs)
    } catch (error) {
      if (isStopped || link.isRemoved) return
      if (isErrorOfKind(error, ErrorKind.StaleEpoch)) host.onDeposed(Number(error.details.seenEpoch ?? 0))
      else noteSilence(link, workerId)
    }
  }

  function noteAnswer (link: Link, instanceId: string, sequence: number, tasks: readonly TaskReport[]): void {
    const { workerId } = link.info
    link.instanceId = instanceId
    link.seenSequence = Math.max(link.seenSequence, sequence)
    link.lastAnswerMs = Date.now()
    link.isSettled = true
    for (const task of tasks) {
      if (task.state === TaskState.Ended) link.unrecorded.set(task.taskId, task.sequence)
    }
    if (!link.isReachable) {
      link.isReachable = true
      host.logger.info(`worker ${workerId} answers again`)
      host.onReachable(workerId, true)
    }
    host.onReport(workerId, tasks)
  }

  /** A restarted worker has lost its tasks, but for those that it got since: the next full report tells them apart. */
  function noteRestart (link: Link): void {
    host.logger.warn(`worker ${link.info.workerId} has restarted`)
    forgetInstance(link)
    link.isRenewalDue = true
  }

  function noteSilence (link: Link, workerId: string): void {
    const isSuspect = Date.now() - link.lastAnswerMs >= host.getTiming().suspectMs
    if (!isSuspect || !link.isReachable) return
    link.isReachable = false
    host.logger.warn(`worker ${workerId} does not answer`)
    host.onReachable(workerId, false)
  }

  /**
   * No renewal is sent to a silent worker until the lease of its tasks has passed: a renewal whose
   * answer is lost would keep them running.
   */
  function isWaitingForLapse (link: Link): boolean {
    if (link.isReachable || (link.isSettled && link.instanceId === undefined)) return false
    const { leaseMs, lossMarginMs } = host.getTiming()
    if (Date.now() < link.lastRenewalMs + leaseMs + lossMarginMs) return true
    host.logger.warn(`worker ${link.info.workerId} is lost`)
    forgetInstance(link)
    host.onLost(link.info.workerId)
    return false
  }

  function forgetInstance (link: Link): void {
    link.instanceId = undefined
    link.clockMs = undefined
    link.seenSequence = 0
    link.unrecorded.clear()
    link.isSettled = true
  }
}

/** Everything below the oldest unrecorded end can be forgotten by the worker. */
function getAckedSequence (link: Link): number {
  let acked = link.seenSequence
  for (const sequence of link.unrecorded.values()) acked = Math.min(acked, sequence - 1)
  return acked
}
