/**
 * Workers that may answer and that the record of granted leases names with each renewal, under leases of the store that end soon after theirs: a term which ends before
 * it has noticed that a worker is gone leaves this to the next one. See docs/design/lease-evidence.md.
 */
import type { EncodedRenewed } from './grantRecordFormat.js'
import type { RecordLease } from './recordLease.js'

/** When the leases of a worker end that this term has granted. */
export interface RenewedWorker {
  readonly workerId: string
  /** The runs, by allocation key, whose start requests may still be sent or carried out: their leases may outlast those of the other runs. */
  readonly uncertainRuns: readonly string[]
  /** No order for an earlier life of the worker can count for the leases of this one. */
  readonly isLifeKnown: boolean
  /** In ms from now, for all runs but the uncertain ones; undefined if they may be extended before the next renewal. */
  readonly leasesLeftMs: number | undefined
}

/** A worker and how long the timer that it is named under has to last, in ms. */
export interface NamedWorker extends RenewedWorker {
  readonly leasesLeftMs: number
}

/** A lease of the store that certainly lasts for `validForMs`. */
export interface LastingLease {
  readonly leaseId: number
  readonly validForMs: number
}

/** The most leases under which workers are named in one write: extensions of up to four seconds ago, two leases a second. */
const maxRenewedTimers = 8

/** Chooses for each worker the lease that ends first after those of the worker. A worker without such a lease is left out. */
export function chooseTimers (workers: readonly NamedWorker[], leases: readonly LastingLease[]): ReadonlyMap<RenewedWorker, number> {
  const ordered = [...leases].sort((left, right) => left.validForMs - right.validForMs)
  const used = new Set<number>()
  const chosen = new Map<RenewedWorker, number>()
  for (const worker of workers) {
    const leaseId = ordered.find(({ validForMs }) => validForMs >= worker.leasesLeftMs)?.leaseId
    if (leaseId === undefined || worker.leasesLeftMs <= 0 || (used.size >= maxRenewedTimers && !used.has(leaseId))) continue
    used.add(leaseId)
    chosen.set(worker, leaseId)
  }
  return chosen
}

/** Encodes the workers by the keys of their timers. */
export function encodeRenewed (chosen: ReadonlyMap<RenewedWorker, number>, getTimerKey: (leaseId: number) => string): Record<string, EncodedRenewed> {
  const renewed: Record<string, EncodedRenewed> = {}
  for (const [{ workerId, uncertainRuns, isLifeKnown }, leaseId] of chosen) {
    const { known, other } = renewed[getTimerKey(leaseId)] ??= { known: [], other: {} }
    if (isLifeKnown && uncertainRuns.length === 0) known.push(workerId)
    else other[workerId] = { uncertainRuns: [...uncertainRuns], isLifeKnown }
  }
  return renewed
}

/** The lease under which each worker is named, by worker id. */
export function findLeases (chosen: ReadonlyMap<RenewedWorker, number>, leases: readonly RecordLease[]): ReadonlyMap<string, RecordLease> {
  return new Map([...chosen].flatMap(([{ workerId }, leaseId]) => leases.filter(lease => lease.leaseId === leaseId).map(lease => [workerId, lease] as const)))
}
