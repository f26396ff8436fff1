/**
 * Elects the host that schedules a failure domain: the one that holds the domain's lease in the store.
 *
 * The fencing epoch is the store revision of the lease, times 1024. If the store is unavailable and the last
 * holder is not alive, the first live host of the domain takes over with the highest known epoch plus one.
 * A lease that the store grants later always has a higher epoch.
 */
import type { Logger } from '../common/logger.js'
import { createSignal, delay, jitter } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { KeyValueStore } from '../store/store.js'

/** The host that schedules the domain, as far as this host knows. */
export interface LeaseHolder {
  readonly hostId: string
  readonly epoch: number
}

/** Dependencies of the lease. */
export interface DomainLeaseHost {
  readonly hostId: string
  readonly domain: string
  readonly store: KeyValueStore
  readonly logger: Logger
  readonly random: () => number
  /** Live hosts of the domain that are not leaving, in rank order; includes this host unless it is leaving. */
  readonly getCandidates: () => readonly string[]
  /** The holder that is known in the domain, if it is alive. */
  readonly tryGetKnownHolder: () => LeaseHolder | undefined
  /** The highest epoch seen in the domain, from any source. */
  readonly getHighestEpoch: () => number
  readonly onAcquired: (epoch: number) => void
  readonly onLost: () => void
}

/** One host's view of the lease of its failure domain. */
export interface DomainLease {
  getEpoch (): number | undefined
  /** Releases the lease, for a planned stop or because a worker has seen a higher epoch. */
  resign (): Promise<void>
  stop (): Promise<void>
  /** Stops without releasing the lease in the store, as a crash does. */
  abandon (): void
}

/** Number of epochs per store revision; takeovers without the store use those in between. */
export const epochsPerRevision = 1_024

const leaseTtlMs = 5_000
const renewIntervalMs = 1_000
const outageTakeoverDelayMs = 3_000
const resignPauseMs = 5_000

interface HeldLease {
  readonly epoch: number
  /** Undefined for a lease that was taken over without the store. */
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
      await renewOrAcquire()
      await stopped.wait(jitter(renewIntervalMs, 0.2, host.random))
    }
  }

  async function renewOrAcquire (): Promise<void> {
    try {
      if (held?.leaseId !== undefined) await host.store.keepLeaseAlive(held.leaseId)
      else if (Date.now() >= pausedUntilMs && host.getCandidates().includes(host.hostId)) await acquire()
      outageSinceMs = undefined
    } catch (error) {
      // These errors are answers of the store, which is available.
      if (isErrorOfKind(error, ErrorKind.NotFound, ErrorKind.Conflict)) outageSinceMs = undefined
      if (isErrorOfKind(error, ErrorKind.NotFound)) await reacquire()
      else if (isUnavailable(error)) takeOverDuringOutage()
      else if (!isErrorOfKind(error, ErrorKind.Conflict)) host.logger.warn('the lease of the domain cannot be renewed or acquired', { error: String(error) })
    }
  }

  async function acquire (): Promise<void> {
    const current = await host.store.get(key)
    if (current !== undefined) {
      stepDownIfReplaced(current.revision * epochsPerRevision)
      return
    }
    const leaseId = await host.store.grantLease(leaseTtlMs)
    const revision = await putLease(leaseId)
    becomeHolder({ epoch: revision * epochsPerRevision, leaseId })
  }

  /** After a lost response the key is read again: its value contains the lease id of this attempt. */
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

  /** The lease has expired in the store; the holder tries to acquire it again before it stops scheduling. */
  async function reacquire (): Promise<void> {
    host.logger.warn('the lease of the domain has expired')
    try {
      await acquire()
    } catch (error) {
      loseLease()
      if (isUnavailable(error)) takeOverDuringOutage()
    }
  }

  /** Gives up the held lease if the store has another one, for instance after a takeover without the store. */
  function stepDownIfReplaced (epoch: number): void {
    if (held !== undefined && held.epoch !== epoch) loseLease()
  }

  function takeOverDuringOutage (): void {
    outageSinceMs ??= Date.now()
    if (held !== undefined || Date.now() - outageSinceMs < outageTakeoverDelayMs) return
    if (host.tryGetKnownHolder() !== undefined) return
    if (host.getCandidates()[0] !== host.hostId) return
    host.logger.warn('the store is unavailable and the domain has no live scheduler; this host takes over')
    becomeHolder({ epoch: host.getHighestEpoch() + 1, leaseId: undefined })
  }

  function becomeHolder (next: HeldLease): void {
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
    await Promise.race([running, delay(renewIntervalMs)])
  }
}

function isUnavailable (error: unknown): boolean {
  return isErrorOfKind(error, ErrorKind.StoreUnavailable, ErrorKind.AnswerLost)
}
