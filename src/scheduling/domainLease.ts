/**
 * Who schedules a failure domain: the host that holds the domain's lease in the store.
 *
 * The fencing epoch is the store's revision of the lease, times 1024. While the store cannot be reached
 * and the last holder is gone, the first living host of the domain takes the last known epoch plus one.
 * A lease granted later by the store always has a higher epoch.
 */
import type { Logger } from '../common/logger.js'
import { createSignal, delay, jitter } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { Store } from '../store/store.js'

/** Another host that schedules the domain, as far as this host knows. */
export interface LeaseHolder {
  readonly hostId: string
  readonly epoch: number
}

/** What the lease needs from outside. */
export interface DomainLeaseHost {
  readonly hostId: string
  readonly domain: string
  readonly store: Store
  readonly logger: Logger
  readonly random: () => number
  /** Living hosts of the domain that are not leaving, this one included if it is not, in rank order. */
  readonly getCandidates: () => readonly string[]
  /** The holder that the hosts of the domain know of, if it lives. */
  readonly tryGetKnownHolder: () => LeaseHolder | undefined
  /** The highest epoch seen in the domain, by any way. */
  readonly getHighestEpoch: () => number
  readonly onAcquired: (epoch: number) => void
  readonly onLost: () => void
}

/** The lease of one failure domain, seen from one host. */
export interface DomainLease {
  getEpoch (): number | undefined
  /** Gives the lease up, for a planned stop or because a worker has seen a higher epoch. */
  resign (): Promise<void>
  stop (): Promise<void>
  /** Ends without a word to the store, as a crash does. */
  abandon (): void
}

/** Epochs between two revisions of the store, for takeovers without it. */
export const epochsPerRevision = 1_024

const leaseTtlMs = 5_000
const keepMs = 1_000
const outageSettleMs = 3_000
const resignPauseMs = 5_000

interface HeldLease {
  readonly epoch: number
  /** Undefined for a lease that was taken without the store. */
  readonly leaseId: string | undefined
}

/** Starts to compete for the lease of the host's domain. */
export function createDomainLease (host: DomainLeaseHost): DomainLease {
  const key = `leases/${host.domain}`
  const stopped = createSignal()
  let held: HeldLease | undefined
  let isStopped = false
  let outageSinceMs: number | undefined
  let pausedUntilMs = 0
  const running = run()

  return { getEpoch: () => held?.epoch, resign, stop, abandon }

  async function run (): Promise<void> {
    while (!isStopped) {
      await step()
      await stopped.wait(jitter(keepMs, 0.2, host.random))
    }
  }

  async function step (): Promise<void> {
    try {
      if (held?.leaseId !== undefined) await host.store.keepLease(held.leaseId)
      else if (Date.now() >= pausedUntilMs && host.getCandidates().includes(host.hostId)) await acquire()
      outageSinceMs = undefined
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.NotFound)) await reacquire()
      else if (isErrorOfKind(error, ErrorKind.StoreUnavailable, ErrorKind.AnswerLost)) considerOutage()
      else if (!isErrorOfKind(error, ErrorKind.Conflict)) host.logger.warn('the lease cannot be taken', { error: String(error) })
    }
  }

  async function acquire (): Promise<void> {
    const current = await host.store.get(key)
    if (current !== undefined) {
      stepDownFor(current.revision * epochsPerRevision)
      return
    }
    const leaseId = await host.store.grantLease(leaseTtlMs)
    const revision = await putLease(leaseId)
    take({ epoch: revision * epochsPerRevision, leaseId })
  }

  /** A lost answer is resolved by reading: the value names this attempt's lease. */
  async function putLease (leaseId: string): Promise<number> {
    const value = JSON.stringify({ hostId: host.hostId, leaseId })
    try {
      return await host.store.put({ key, value, expectedRevision: 0, leaseId })
    } catch (error) {
      if (!isErrorOfKind(error, ErrorKind.AnswerLost)) throw error
      const entry = await host.store.get(key)
      if (entry?.value === value) return entry.revision
      throw error
    }
  }

  /** The lease has lapsed in the store; the holder competes for it again before it gives up its work. */
  async function reacquire (): Promise<void> {
    host.logger.warn('the lease of the domain has lapsed')
    try {
      await acquire()
    } catch {
      loseLease()
    }
  }

  /** The store knows a holder. A lease that was taken without the store yields to it. */
  function stepDownFor (epoch: number): void {
    if (held !== undefined && held.epoch !== epoch) loseLease()
  }

  function considerOutage (): void {
    outageSinceMs ??= Date.now()
    if (held !== undefined || Date.now() - outageSinceMs < outageSettleMs) return
    if (host.tryGetKnownHolder() !== undefined) return
    if (host.getCandidates()[0] !== host.hostId) return
    host.logger.warn('the store is out and the scheduler is gone; this host takes over')
    take({ epoch: host.getHighestEpoch() + 1, leaseId: undefined })
  }

  function take (next: HeldLease): void {
    held = next
    host.logger.info(`this host schedules the domain with epoch ${next.epoch}`)
    host.onAcquired(next.epoch)
  }

  function loseLease (): void {
    if (held === undefined) return
    held = undefined
    host.logger.warn('this host no longer schedules the domain')
    host.onLost()
  }

  async function resign (): Promise<void> {
    pausedUntilMs = Date.now() + resignPauseMs
    const leaseId = held?.leaseId
    loseLease()
    if (leaseId !== undefined) await host.store.revokeLease(leaseId).catch(() => {})
  }

  function abandon (): void {
    isStopped = true
    stopped.notify()
  }

  async function stop (): Promise<void> {
    isStopped = true
    stopped.notify()
    await resign()
    await Promise.race([running, delay(keepMs)])
  }
}
