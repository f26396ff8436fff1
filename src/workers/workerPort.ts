/** Workers as a port: start, stop, pace, and the look that also extends the worker's lease. */
import type { EndKind, Resources } from '../jobs/jobModel.js'

/** A worker on the platform's list. One entry is one incarnation. */
export interface ListedWorker {
  readonly workerId: string
  readonly address: string
  readonly service: string
  readonly domain: string
  /** Unix time of the incarnation's start. */
  readonly bornAtMs: number
  readonly isDraining: boolean
  /** While it drains: the least time that is left. */
  readonly remainingMs?: number
  readonly capacity: Resources
  readonly labels: readonly string[]
  readonly rack: string
  readonly machineId?: string
}

/** An order to start one task. `leaseUntilMs` is a time on the worker's clock. */
export interface StartOrder {
  readonly task: string
  readonly run: number
  readonly payload: string
  readonly checkpoint: string
  readonly leaseUntilMs: number
  readonly epoch: number
  readonly ticket?: string
}

/** What a worker says to a start. */
export enum StartAnswer {
  /** It runs, or has been there already. */
  Started = 'started',
  /** A scheduler with a higher epoch has spoken. */
  StaleEpoch = 'stale-epoch',
  /** A run at least as high has been stopped or has ended there. */
  OldRun = 'old-run',
  /** The lease's end has passed on the worker's clock. */
  Late = 'late',
  NoRoom = 'no-room',
  BadTicket = 'bad-ticket',
  /** The worker is unhealthy and has done nothing. */
  Unhealthy = 'unhealthy',
  /** Another incarnation lives at this address. */
  OtherInstance = 'other-instance',
  Invalid = 'invalid'
}

/** A run that is at work. `progressPercent` is 0 to 100; `usage` is the tail latency of a service or the processor in use. */
export interface RunningRow {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  readonly progressPercent: number
  readonly usage?: number
}

/** A run that has ended. `sequence` grows within one incarnation. */
export interface EndedRow {
  readonly sequence: number
  readonly task: string
  readonly run: number
  readonly how: EndKind
  readonly checkpoint: string
}

/** What a worker holds. */
export interface WorkerLook {
  readonly clockMs: number
  readonly bornAtMs: number | undefined
  readonly running: readonly RunningRow[]
  readonly ended: readonly EndedRow[]
}

/** Extends the lease of all that runs, takes note of ends, and looks. */
export interface HoldOrder {
  readonly epoch: number
  readonly seenUpTo: number
  readonly leaseUntilMs?: number
  /** Waits so long for an end, in whole ms. */
  readonly waitMs: number
}

/** An answer of a worker, with its clock. */
export interface ClockedAnswer<T> {
  readonly answer: T
  readonly clockMs: number | undefined
}

/**
 * The calls of one worker. Errors: `peer-unreachable` when the order was not sent, `answer-lost` when it may be
 * carried out, also later; `stale-epoch` when another scheduler has spoken; `conflict` for another incarnation.
 */
export interface WorkerPort {
  start (order: StartOrder): Promise<ClockedAnswer<StartAnswer>>
  stop (order: { readonly task: string, readonly run: number, readonly epoch: number }): Promise<void>
  hold (order: HoldOrder): Promise<WorkerLook>
  pace (order: { readonly task: string, readonly run: number, readonly percent: number, readonly epoch: number }): Promise<void>
  close (): void
}

/** The most ends that one look lists. Source: the workers' protocol. */
export const maxEndsInLook = 500
