/** The interface to workers: start, stop and pace runs, and read the worker's state, which also extends its lease. */
import type { EndKind, Resources } from '../jobs/jobModel.js'

/** An entry of the platform's worker list. A restarted worker is a new incarnation and has a new entry. */
export interface ListedWorker {
  readonly workerId: string
  readonly address: string
  readonly service: string
  readonly domain: string
  /** Start of the incarnation, as Unix time in ms. */
  readonly bornAtMs: number
  readonly isDraining: boolean
  /** While the worker drains: the least time that remains, in ms. */
  readonly remainingMs?: number
  /** How long the worker still runs slower after its start because it is cold, in ms; 0 if it is not cold. */
  readonly coldLeftMs: number
  readonly capacity: Resources
  readonly labels: readonly string[]
  readonly rack: string
  readonly machineId?: string
}

/** A request to start one run of a task. `leaseUntilMs`, the end of the lease, is a time on the worker's clock. */
export interface StartRequest {
  readonly task: string
  readonly run: number
  readonly payload: string
  readonly checkpoint: string
  readonly leaseUntilMs: number
  readonly epoch: number
  readonly ticket?: string
}

/** The worker's response to a start request. */
export enum StartResult {
  /** The run has started, or the worker had it already. */
  Started = 'started',
  /** The worker has had a request from a scheduler with a higher epoch. */
  StaleEpoch = 'stale-epoch',
  /** A run of the task with the same or a higher number has been stopped or has ended there. */
  StaleRun = 'old-run',
  /** The lease had already expired by the worker's clock. */
  LeaseExpired = 'late',
  InsufficientCapacity = 'no-room',
  BadTicket = 'bad-ticket',
  /** The worker is unhealthy and has not started the run. */
  Unhealthy = 'unhealthy',
  /** Another incarnation answers at this address. */
  OtherIncarnation = 'other-instance',
  Invalid = 'invalid'
}

/** A run in progress. `progressPercent` is 0 to 100; `usage` is the tail latency of a service, or the processor usage of other work. */
export interface RunningRun {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  readonly progressPercent: number
  readonly usage?: number
}

/** A run that has ended. `sequence` increases within one incarnation. */
export interface EndedRun {
  readonly sequence: number
  readonly task: string
  readonly run: number
  readonly how: EndKind
  readonly checkpoint: string
}

/** A report of the worker's state: its clock, its incarnation, and its running and ended runs. */
export interface WorkerStatusReport {
  readonly clockMs: number
  readonly bornAtMs: number | undefined
  readonly running: readonly RunningRun[]
  readonly ended: readonly EndedRun[]
}

/** A request that extends the lease of everything on the worker, acknowledges the ends that were reported, and asks for a report. */
export interface LeaseRenewal {
  readonly epoch: number
  /**
   * Is sent only over the connection on which the latest report came, else 0: another connection may lead to a later incarnation, which numbers its
   * ends anew and would forget ends that were never read.
   */
  readonly acknowledgedSequence: number
  readonly leaseUntilMs?: number
  /** With this, `leaseUntilMs` is sent only over a connection on which this incarnation has reported: the clock of another one starts anew. */
  readonly leaseIncarnationMs?: number
  /** How long the worker may wait for a run to end before it responds, in ms; an integer. */
  readonly waitMs: number
  /** How long the answer may take beyond that, in ms; the connection's usual time if it is not given. */
  readonly answerTimeoutMs?: number
  /** Sends the request over another connection than a renewal that is under way, and, if it waits, over another one than those that do not. Such a request acknowledges nothing and extends no lease. */
  readonly isConcurrent?: boolean
  /** Gives the request up when it is aborted: the call fails with `answer-lost`. */
  readonly signal?: AbortSignal
}

/** A poll that another host sends to a worker; it acknowledges nothing. */
export interface RelayedPoll {
  readonly epoch: number
  /** Extends the lease to a time on the clock of this incarnation, if the host reaches it over a connection on which it has reported. */
  readonly lease?: { readonly untilMs: number, readonly incarnationMs: number } | undefined
  /** How long the worker may wait for a run to end before it responds, in ms; an integer. A poll that waits extends no lease. */
  readonly waitMs?: number | undefined
  /** Counts against limits of its own: a run on the worker decides whether other work may start. The other host does not see it. */
  readonly isDecisive?: boolean | undefined
}

/** A worker's response, with the time on the worker's clock. */
export interface TimestampedResponse<T> {
  readonly answer: T
  readonly clockMs: number | undefined
}

/**
 * The calls to one worker. Errors: `peer-unreachable` if the request was not sent; `answer-lost` if it may be carried out, now or
 * later; `stale-epoch` if the worker has had a request with a higher epoch; `conflict` if another incarnation answers.
 */
export interface WorkerPort {
  start (request: StartRequest): Promise<TimestampedResponse<StartResult>>
  stop (request: { readonly task: string, readonly run: number, readonly epoch: number }): Promise<void>
  renewLease (request: LeaseRenewal): Promise<WorkerStatusReport>
  pace (request: { readonly task: string, readonly run: number, readonly percent: number, readonly epoch: number }): Promise<void>
  close (): void
}

/** The most ended runs that one report lists. Source: the workers' protocol. */
export const maxEndsPerReport = 500
