/** One loop per worker: renews the leases of its tasks, receives its reports, and detects when the worker is lost. */
import type { Logger } from '../common/logger.js'
import { createSignal, jitter } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { TaskState } from './workerTypes.js'
import type { TaskReport, WorkerInfo, WorkerPort } from './workerTypes.js'

/** Timing of lease renewals. A task runs for at most `leaseMs` after its last renewal. */
export interface WorkerTiming {
  readonly renewIntervalMs: number
  readonly leaseMs: number
  /** If the worker has not responded for this time, no new work is placed on it. */
  readonly suspectAfterMs: number
  /** Allowance for clock drift, added to the lease before the worker's tasks are considered ended. */
  readonly lossMarginMs: number
}

/** Dependencies of the links. */
export interface WorkerLinksHost {
  readonly domain: string
  readonly logger: Logger
  readonly random: () => number
  readonly getEpoch: () => number
  readonly connect: (info: WorkerInfo) => WorkerPort
  readonly getTiming: () => WorkerTiming
  /** The worker has reported these tasks, all of them or those that changed. */
  readonly onReport: (workerId: string, reports: readonly TaskReport[]) => void
  /** The worker has reported every task that it had when the renewal was sent, at `sentAtMs`. */
  readonly onFullReport: (workerId: string, taskIds: ReadonlySet<string>, sentAtMs: number) => void
  /** The worker responds again, or has stopped responding; if it has stopped, no new work may be placed on it. */
  readonly onReachable: (workerId: string, isReachable: boolean) => void
  /** Every task that ran on the worker is known to have ended. */
  readonly onLost: (workerId: string) => void
  /** A worker has seen a higher epoch: another scheduler has taken over the domain. */
  readonly onSuperseded: (seenEpoch: number) => void
}

/** The connections of a scheduler to the workers of its domain. */
export interface WorkerLinks {
  add (info: WorkerInfo): void
  remove (workerId: string): void
  get (workerId: string): WorkerPort | undefined
  /** Returns whether the worker has responded since this scheduler took over, or is lost. */
  isSettled (workerId: string): boolean
  /** Returns whether the worker does not respond and every task that it had is known to have ended. */
  isLost (workerId: string): boolean
  /** Marks the end of a task as recorded, so that the worker can discard the task. */
  acknowledge (workerId: string, taskId: string): void
  /** Requests the worker's next report immediately. */
  requestReport (workerId: string): void
  stop (): void
}

interface Link {
  readonly info: WorkerInfo
  readonly port: WorkerPort
  readonly wake: ReturnType<typeof createSignal>
  /** Sequence numbers of ended tasks whose end is not recorded yet, by task id. */
  readonly unrecordedEnds: Map<string, number>
  instanceId: string | undefined
  seenSequence: number
  isReachable: boolean
  isSettled: boolean
  isRemoved: boolean
  /** The next renewal is sent without delay. Renewals of one worker never overlap, since each depends on the last response. */
  isRenewalDue: boolean
  lastResponseMs: number
  /** The worker's clock at its last response, in ms; undefined before the first. */
  clockMs: number | undefined
  /** Send time of the last renewal that may have reached the worker. */
  lastRenewalMs: number
}

const renewJitter = 0.2

/** Creates an empty set of links. */
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
    acknowledge: (workerId, taskId) => { links.get(workerId)?.unrecordedEnds.delete(taskId) },
    requestReport: workerId => links.get(workerId)?.wake.notify(),
    stop
  }

  function add (info: WorkerInfo): void {
    if (links.has(info.workerId)) return
    const link: Link = {
      info,
      port: host.connect(info),
      wake: createSignal(),
      unrecordedEnds: new Map(),
      instanceId: undefined,
      seenSequence: 0,
      isReachable: true,
      isSettled: false,
      isRemoved: false,
      isRenewalDue: false,
      lastResponseMs: Date.now(),
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
      await link.wake.wait(jitter(host.getTiming().renewIntervalMs, renewJitter, host.random))
    }
  }

  async function renewOnce (link: Link): Promise<void> {
    const { workerId } = link.info
    if (isAwaitingLeaseExpiry(link)) return
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
        handleRestart(link)
        return
      }
      const isFirstClockReading = link.clockMs === undefined
      link.clockMs = report.clockMs
      handleResponse(link, report.instanceId, report.sequence, report.tasks)
      // The first renewal could not extend any lease, since the worker's clock was not known.
      if (isFirstClockReading) link.isRenewalDue = true
      if (isFull) host.onFullReport(workerId, new Set(report.tasks.map(task => task.taskId)), sentAtMs)
    } catch (error) {
      if (isStopped || link.isRemoved) return
      if (isErrorOfKind(error, ErrorKind.StaleEpoch)) host.onSuperseded(Number(error.details.seenEpoch ?? 0))
      else handleNoResponse(link, workerId)
    }
  }

  function handleResponse (link: Link, instanceId: string, sequence: number, tasks: readonly TaskReport[]): void {
    const { workerId } = link.info
    link.instanceId = instanceId
    link.seenSequence = Math.max(link.seenSequence, sequence)
    link.lastResponseMs = Date.now()
    link.isSettled = true
    for (const task of tasks) {
      if (task.state === TaskState.Ended) link.unrecordedEnds.set(task.taskId, task.sequence)
    }
    if (!link.isReachable) {
      link.isReachable = true
      host.logger.info(`worker ${workerId} responds again`)
      host.onReachable(workerId, true)
    }
    host.onReport(workerId, tasks)
  }

  /** A restarted worker has lost its tasks, except those placed on it since the restart; the next full report lists these. */
  function handleRestart (link: Link): void {
    host.logger.warn(`worker ${link.info.workerId} has restarted`)
    resetInstance(link)
    link.isRenewalDue = true
  }

  function handleNoResponse (link: Link, workerId: string): void {
    const isSuspect = Date.now() - link.lastResponseMs >= host.getTiming().suspectAfterMs
    if (!isSuspect || !link.isReachable) return
    link.isReachable = false
    host.logger.warn(`worker ${workerId} does not respond`)
    host.onReachable(workerId, false)
  }

  /**
   * No renewal is sent to an unresponsive worker until the leases of its tasks have expired: a renewal whose
   * response is lost would keep the tasks running.
   */
  function isAwaitingLeaseExpiry (link: Link): boolean {
    if (link.isReachable || (link.isSettled && link.instanceId === undefined)) return false
    const { leaseMs, lossMarginMs } = host.getTiming()
    if (Date.now() < link.lastRenewalMs + leaseMs + lossMarginMs) return true
    host.logger.warn(`worker ${link.info.workerId} is lost: the leases of its tasks have expired`)
    resetInstance(link)
    host.onLost(link.info.workerId)
    return false
  }

  function resetInstance (link: Link): void {
    link.instanceId = undefined
    link.clockMs = undefined
    link.seenSequence = 0
    link.unrecordedEnds.clear()
    link.isSettled = true
  }
}

/** The worker can discard every ended task before the oldest end that is not recorded. */
function getAckedSequence (link: Link): number {
  let acked = link.seenSequence
  for (const sequence of link.unrecordedEnds.values()) acked = Math.min(acked, sequence - 1)
  return acked
}
