/**
 * Records in the store how long the leases that a term grants to workers may last, so that later terms know when these have ended. Each term has a key
 * that goes away by itself once all of its leases are over, and one for each group of workers that stopped answering, a timer, which goes away once theirs
 * are. See docs/design/lease-evidence.md.
 */
import { getElapsedMs, readClocks } from '../common/elapsedTime.js'
import type { Logger } from '../common/logger.js'
import { createSignal, delay } from '../common/time.js'
import { maxTtlMs } from '../election/leaderElection.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { maxTransactionEntries, readAll } from '../store/metadataStore.js'
import type { MetadataStore, StoredItem, TransactionWrite } from '../store/metadataStore.js'
import { areConditionsMet, createRevisionGuard, transactGuarded } from '../store/revisionGuard.js'
import { decodeKnownLives, getTimerPrefix, grantPrefix, isRecordKey, tryDecodeExclusions, tryDecodeReference } from './grantRecordFormat.js'
import type { EncodedRecord, Exclusion, Reference } from './grantRecordFormat.js'
import { getLeaseValidForMs } from './recordLease.js'
import type { RecordLease } from './recordLease.js'
import { createExtensibleLeases } from './extensibleLeases.js'
import { createRenewalTimers } from './renewalTimers.js'
import { chooseTimers, encodeRenewed, findLeases } from './renewedWorkers.js'
import type { NamedWorker, RenewedWorker } from './renewedWorkers.js'
import { getLeaseWithinMs, getLongestDurationMs, getRequestedLeaseMs } from './workerLease.js'

/** Dependencies of the grant record. */
export interface GrantRecordHost {
  readonly store: MetadataStore
  readonly term: Term
  readonly logger: Logger
  /** The longest lease that a worker grants, in ms. */
  readonly maxLeaseMs: number
  /** The shortest lease that the store grants, in ms. */
  readonly minTtlMs: number
  /** The latest revision of the store that an answer to a write of the jobs' progress has shown; 0 if there is none. */
  readonly getProgressRevision?: () => number
  /** Called when leases of earlier terms may have turned out to be over. */
  readonly onEarlierChanged: () => void
}

/** A worker that holds runs and has stopped answering. */
export interface SilentWorker {
  readonly workerId: string
  /** The runs, by allocation key, whose start requests may still be carried out: their leases may outlast those of the other runs. */
  readonly uncertainRuns: readonly string[]
  /** No order for an earlier life of the worker can count for the leases of this one. Otherwise later terms have to look at the worker's life by themselves. */
  readonly isLifeKnown: boolean
}

/** What is known of a worker for which the leases that earlier terms have granted are over. */
export interface EndedLeases {
  /** The runs, by allocation key, that are not covered: their start requests may still be carried out. */
  readonly uncertainRuns: ReadonlySet<string>
  /** Nor are the runs of jobs whose progress was stored after this revision: their starts may have been sent after the record was written. */
  readonly upToRevision?: number
  /** It holds for the other runs of earlier terms whatever lives of the worker there are; not for leases that a later life may have got from late orders. */
  readonly isLifeKnown: boolean
}

/** The grant record of one term. */
export interface GrantRecord {
  /**
   * Has the record stored. `getUnanswered` returns the workers that have not answered this term, so that it has granted them no lease; they are granted none until
   * `include` has resolved. `getKnownLives` returns young lives of workers, by their starts as Unix time in ms, for which no order for an earlier life counts any more.
   * `getRenewed` returns workers that may answer, and when their leases end or that these may be extended; the record names them under keys of timers. Until a record
   * without them is stored, `getMaxGrantMs` is limited by the timer.
   * Resolves when the record is stored, or at the end of the term. A term that ends before it is called leaves no record.
   */
  open (getUnanswered: () => readonly string[], getKnownLives?: () => ReadonlyMap<string, number>, getRenewed?: () => readonly RenewedWorker[]): Promise<void>
  /** Has a record stored soon that does not name the worker under a timer, so that its lease can be extended. Resolves when it is, or at the end of the term. */
  requestExtension (workerId: string): Promise<void>
  /** Has a record stored soon that names further workers under timers. */
  requestNaming (): void
  /** Tells whether the record is stored. No lease may be granted before. */
  isStored (): boolean
  /** The longest lease that the worker may be granted now, in ms; 0 if none. */
  getMaxGrantMs (workerId: string): number
  /**
   * The longest lease, in ms, by which what runs on the worker may be extended now; 0 if none. It may be more than for other orders while the worker is to be included and the
   * record without it is not stored.
   */
  getMaxRenewalMs (workerId: string): number
  /** Returns undefined if leases that earlier terms have granted to the worker may last, for other runs than those that they have recorded as uncertain. */
  getEndedLeases (workerId: string): EndedLeases | undefined
  /** Tells whether an earlier term has recorded that no order for an earlier life of the worker can count for the leases of this one. */
  isLifeKnown (workerId: string, bornAtMs: number): boolean
  /** Tells whether all leases that earlier terms have granted to the worker have certainly ended; false if that is not known. */
  areEarlierLeasesOver (workerId: string): boolean
  /**
   * Records that the leases of these workers, also those of earlier terms, have certainly ended in `leasesLeftMs`, but for those of uncertain runs. They are
   * granted none until `include` has resolved. Returns the workers, by id, that were not excluded before.
   */
  excludeSilent (workers: readonly SilentWorker[], leasesLeftMs: number): readonly string[]
  isExcluded (workerId: string): boolean
  /** Resolves when the stored record does not exclude the worker any more, or at the end of the term. */
  include (workerId: string): Promise<void>
  /** The fields that describe in the log what is known of earlier terms. */
  describe (): object
}

const referenceKey = `${grantPrefix}reference`
/** Time to live of the reference, in ms: the longest that the store grants. After a longer absence of all hosts nothing is known of earlier terms. */
const referenceTtlMs = 600_000
/** Interval of the renewals of the reference, in ms: several fit into its time to live. */
const referenceRenewalMs = 60_000
/** How long a record lasts after its last renewal beyond the longest lease, in ms. Grants between late renewals are shortened by what is missing. */
const recordSlackMs = 1_000
/** Interval of the renewals of a record, in ms: a renewal takes two round trips, and leases are shortened when it is late by more than about 300 ms. */
const renewalIntervalMs = 500
/**
 * After this time without a confirmed renewal, in ms, the leases of the record are extended themselves, as long as the term is valid. No term is valid for as long
 * without an answer of the store, so that a host that has lost its connection extends nothing.
 */
const extendAfterMs = maxTtlMs
/** How long after the record may have gone away the term is ended, in ms: the store may confirm that it has not. */
const confirmationGraceMs = 1_500
/** A read of the records that is older than this, in ms, is repeated before the record is stored. */
const maxReadAgeMs = 1_000
/** Interval in ms at which workers whose polls are overdue are named at most, beside the renewals: a lost rack makes many overdue at once. */
const namingPeriodMs = 150
/** A lease under which workers are named is extended after this time without a confirmed write, in ms: two renewals that are late, and no calls on a quiet day. */
const extendRenewedAfterMs = 1_200
/** How long one watch of the records of earlier terms waits, in ms. */
const watchWaitMs = 2_000
/** Pause after a failed call, in ms. */
const retryPauseMs = 100
/** Pause between two writes of the exclusions, in ms, in which workers that answer are collected. */
const writePauseMs = 50
/**
 * A worker that is to be included waits this long for a write of the record, in ms, before the timer that it is named by is extended: that also prolongs the wait
 * for the others that the timer stands for.
 */
const timerExtensionDelayMs = 200
/** The most timers that are stored in one transaction, in which each has a condition and a write, beside the conditions on the leader key and the record and the write of the record. */
const maxTimersPerWrite = (maxTransactionEntries - 3) >> 1
/** Added to the time to live of a timer, in ms, for the difference between the clock of this host and that of the store. */
const timerMarginMs = 250
/** The name, under the prefix of a term's timers, that stands for one that has ended; timers are numbered from 1. */
const endedTimer = '0'
/** The most workers that a record excludes: up to 150 KB, which a link of 7 Mbit/s carries in 0.2 s. */
const maxExcluded = 2_000
/** The most young lives that a record names as known: up to 10 KB, which is written each 500 ms while so many workers are young. */
const maxKnownLives = 256

/** A worker that was excluded while its leases lasted. */
interface ExcludedWorker extends SilentWorker {
  readonly group: SilentGroup
  /** A record has been sent that says that its leases have ended, whatever becomes of the timer. */
  isRecordedAsEnded: boolean
}

/** Workers that were excluded together while their leases lasted. */
interface SilentGroup {
  /** When the last of their leases has ended, by the monotonic clock. */
  readonly leasesEndAtMs: number
  /** The key that the store removes at that time or later; undefined until its lease has been granted. */
  timer?: TransactionWrite | undefined
  /** The lease of the timer; undefined if it has ended. */
  timerLease?: RecordLease | undefined
  isTimerStored: boolean
  /** The store has confirmed the write of the timer, and of a record that names the workers by it. */
  isTimerConfirmed: boolean
  isTimerExtending: boolean
}

/** Creates the record of one term, which is stored when `open` has been called and the store answers. */
export function createGrantRecord (host: GrantRecordHost): GrantRecord {
  const { store, term, logger } = host
  const ownKey = grantPrefix + term.epoch
  const leaderCondition = { key: term.leaderKey, revision: term.leaderRevision }
  const guard = createRevisionGuard(ownKey)
  const extensible = createExtensibleLeases({ store, logger, minTtlMs: host.minTtlMs, recordTtlMs: getLongestDurationMs(host.maxLeaseMs) + recordSlackMs, longestLeaseMs: getLongestDurationMs(getRequestedLeaseMs(host.maxLeaseMs)), renewalIntervalMs })
  const renewalTimers = createRenewalTimers(ownKey)
  const written = createSignal()
  /** The workers that each earlier term excludes whose record still exists; undefined until they have been read. */
  let earlierExclusions: readonly ReadonlyMap<string, Exclusion>[] | undefined
  /** The reference is older than this term, so that no record of an earlier term has been dropped before its time. */
  let hasReference = false
  /** The leases that the record may be attached to, the latest last: the next write attaches it to that one. The record lasts as long as the shortest of them. */
  let leases: readonly RecordLease[] = []
  let isGrantingLease = false
  /** The leases that have been granted for this record and may last, the earliest first: the store removes a key of one of them when that lease is over. */
  let grantedLeases: readonly RecordLease[] = []
  /** The workers that the stored record names under a timer, or that a record names which may be stored yet. */
  let renewedByWrite: readonly ReadonlyMap<string, RecordLease>[] = []
  /** Workers that are not named under a timer because their leases are to be extended, until the next renewal. */
  const extensionRequests = new Set<string>()
  let confirmedWriteAtMs = -Infinity
  let namedAtMs = -Infinity
  let createdReference: TransactionWrite | undefined
  let getUnanswered: (() => readonly string[]) | undefined
  let getKnownLives: () => ReadonlyMap<string, number> = () => new Map()
  let getRenewed: () => readonly RenewedWorker[] = () => []
  /** The young lives that records of earlier terms have named as known; it stays true when these have gone away. */
  const earlierKnownLives = new Map<string, number>()
  let isStored = false
  /** The excluded workers, by id; undefined for those that this term has granted no lease. */
  const excluded = new Map<string, ExcludedWorker | undefined>()
  let timerCount = 0
  /** Excluded workers that are included by the next write of the record, and when that was requested, by the monotonic clock. */
  const included = new Map<string, number>()
  let isDirty = false
  let isWriting = false
  term.signal.addEventListener('abort', onTermEnded, { once: true })
  void start()

  return { open, isStored: () => isStored, getMaxGrantMs, getMaxRenewalMs, getEndedLeases, areEarlierLeasesOver, excludeSilent, isExcluded: workerId => excluded.has(workerId), isLifeKnown: (workerId, bornAtMs) => earlierKnownLives.get(workerId) === bornAtMs, include, requestExtension, requestNaming, describe }

  function onTermEnded (): void {
    logger.info('the record of granted leases is not renewed any more', { epoch: term.epoch, isStored, validForMs: Math.round(getValidForMs()) })
    written.notify()
  }

  async function open (getUnansweredNow: () => readonly string[], getKnownLivesNow: () => ReadonlyMap<string, number> = () => new Map(), getRenewedNow: () => readonly RenewedWorker[] = () => []): Promise<void> {
    getUnanswered = getUnansweredNow
    getKnownLives = getKnownLivesNow
    getRenewed = getRenewedNow
    written.notify()
    while (!isStored && !term.signal.aborted) await written.wait()
  }

  /** Tells whether the records that name the worker, or may, allow a lease of the length that is asked for. */
  function isExtensible (workerId: string): boolean {
    return getRenewedValidForMs(workerId) >= getLongestDurationMs(getRequestedLeaseMs(host.maxLeaseMs))
  }

  function getMaxGrantMs (workerId: string): number {
    if (!isStored || excluded.has(workerId)) return 0
    return Math.min(host.maxLeaseMs, getLeaseWithinMs(Math.min(getValidForMs(), getRenewedValidForMs(workerId))))
  }

  /** For how long the timers certainly exist under which the worker may be named, in ms. */
  function getRenewedValidForMs (workerId: string): number {
    return Math.min(...renewedByWrite.map(renewed => renewed.get(workerId)).map(lease => lease === undefined ? Infinity : getLeaseValidForMs(lease)))
  }

  async function requestExtension (workerId: string): Promise<void> {
    if (isExtensible(workerId)) return
    extensionRequests.add(workerId)
    requestWrite()
    while (!isExtensible(workerId) && !term.signal.aborted) await written.wait()
  }

  function requestNaming (): void {
    if (performance.now() - namedAtMs < namingPeriodMs) return
    namedAtMs = performance.now()
    requestWrite()
  }

  /**
   * Later terms wait for a worker that the stored record names by a timer as long as the timer exists, so that its lease may be extended up to then. A start needs more:
   * another life of the worker may carry it out later, with a lease that counts from then.
   */
  function getMaxRenewalMs (workerId: string): number {
    if (!excluded.has(workerId)) return getMaxGrantMs(workerId)
    const worker = excluded.get(workerId)
    const includedAtMs = included.get(workerId)
    if (worker === undefined || includedAtMs === undefined || worker.isRecordedAsEnded || worker.uncertainRuns.length > 0) return 0
    const { group } = worker
    if (group.timerLease === undefined || !group.isTimerConfirmed) return 0
    const isWriteLate = performance.now() - includedAtMs >= timerExtensionDelayMs
    if (isWriteLate && getElapsedMs(group.timerLease.confirmedAt) >= renewalIntervalMs) void extendTimer(group, group.timerLease)
    return Math.min(host.maxLeaseMs, getLeaseWithinMs(Math.min(getValidForMs(), getLeaseValidForMs(group.timerLease))))
  }

  /** For how long the record certainly does not go away yet, in ms; 0 or less if it may have. */
  function getValidForMs (): number {
    return leases.length === 0 ? 0 : Math.min(...leases.map(getLeaseValidForMs))
  }

  function getEndedLeases (workerId: string): EndedLeases | undefined {
    if (!hasReference || earlierExclusions === undefined) return undefined
    const known = earlierExclusions.flatMap(exclusions => exclusions.get(workerId) ?? [])
    if (known.length < earlierExclusions.length) return undefined
    // A term that has granted the worker nothing has started nothing there, so that what the one before has recorded covers all runs.
    const isLifeKnown = known.some(exclusion => exclusion.isLifeKnown === true) && known.every(exclusion => exclusion.isLifeKnown !== false)
    const upToRevision = Math.min(...known.map(exclusion => exclusion.upToRevision ?? Infinity))
    return { uncertainRuns: new Set(known.flatMap(({ uncertainRuns }) => uncertainRuns)), ...upToRevision === Infinity ? {} : { upToRevision }, isLifeKnown }
  }

  function areEarlierLeasesOver (workerId: string): boolean {
    const ended = getEndedLeases(workerId)
    return ended !== undefined && ended.uncertainRuns.size === 0 && ended.upToRevision === undefined
  }

  function describe (): object {
    return { hasReference, earlierGrantRecords: earlierExclusions?.length }
  }

  async function start (): Promise<void> {
    while (!term.signal.aborted) {
      try {
        const read = await readEarlier()
        if (!isStored) {
          const readAtMs = performance.now()
          const granted = leases.at(-1)
          const lease = granted !== undefined && getElapsedMs(granted.confirmedAt) < maxReadAgeMs ? granted : await grantRecordLease()
          while (getUnanswered === undefined && !term.signal.aborted) await written.wait()
          if (term.signal.aborted) return
          if (performance.now() - readAtMs > maxReadAgeMs) continue
          await storeRecord(read, lease)
        }
        if (earlierExclusions?.length === 0) return
        await store.watch(grantPrefix, read.revision, watchWaitMs, term.signal)
      } catch (error) {
        if (term.signal.aborted) return
        if (!isErrorOfKind(error, ErrorKind.HistoryGone)) logger.info('failed to read or store the records of granted leases', { error: String(error), isStored })
        await delay(retryPauseMs, term.signal)
      }
    }
  }

  /** Reads the records of earlier terms. Returns the stored reference, and the store's revision. */
  async function readEarlier (): Promise<{ readonly reference: StoredItem | undefined, readonly revision: number }> {
    const { items, revision } = await readAll(store, grantPrefix)
    if (revision < term.epoch) throw createError(ErrorKind.StoreUnavailable, `the store answered from before the term: revision ${revision}`)
    const reference = items.find(({ key }) => key === referenceKey)
    const hadReference = hasReference
    hasReference = (tryDecodeReference(reference)?.epoch ?? Infinity) < term.epoch
    if (hadReference && !hasReference) logger.warn('the store has dropped its leases; it is not known how long earlier terms have granted leases')
    const keys = new Set(items.map(({ key }) => key))
    const records = items.filter(({ key }) => key !== ownKey && isRecordKey(key)).sort((left, right) => left.createdRevision - right.createdRevision)
    earlierExclusions = records.map(item => {
      const exclusions = tryDecodeExclusions(item, keys)
      if (exclusions === undefined) logger.warn('a record of granted leases cannot be decoded', { key: item.key })
      return exclusions ?? new Map()
    })
    for (const [workerId, bornAtMs] of records.flatMap(decodeKnownLives)) earlierKnownLives.set(workerId, bornAtMs)
    host.onEarlierChanged()
    return { reference, revision }
  }

  // Storing

  /** Stores the record of this term, and the reference if there is none. */
  async function storeRecord ({ reference }: { readonly reference: StoredItem | undefined }, lease: RecordLease): Promise<void> {
    if (!leases.includes(lease)) leases = [...leases, lease]
    grantedLeases = [...await extensible.grant(grantedLeases), lease]
    // Those that have answered are named before any of them is granted a lease: the term may end before its next record. Without the reference, leases of earlier terms may last longer.
    const renewed = hasReference ? chooseRenewed() : new Map<RenewedWorker, number>()
    const created = tryDecodeReference(reference) === undefined ? createdReference ??= await createReference() : undefined
    const conditions = created === undefined ? [leaderCondition] : [leaderCondition, { key: referenceKey, revision: reference?.revision ?? 0 }]
    // Without the reference this term does not know whether the leases of earlier terms have ended, and later terms could not tell.
    if (hasReference) excludeUnanswered(getUnanswered?.() ?? [])
    const newTimers = renewalTimers.encodeMissing(renewed.values())
    const result = await transactGuarded(store, guard, { expected: conditions, writes: [encodeRecord(lease, renewed), ...newTimers.writes, ...created === undefined ? [] : [created]] }, newTimers.guards)
    if (!result.isCommitted) {
      if (!areConditionsMet([leaderCondition], result)) term.resign('another host holds the leader key')
      throw createError(ErrorKind.Conflict, 'the reference has changed, or the term has ended')
    }
    leases = [lease]
    renewalTimers.onStored(newTimers)
    renewedByWrite = [findLeases(renewed, grantedLeases)]
    confirmedWriteAtMs = performance.now()
    isStored = true
    written.notify()
    logger.info('the record of granted leases is stored', { epoch: term.epoch, excluded: excluded.size, ...describe() })
    void keepRecord()
    void keepReference((tryDecodeReference(created ?? reference) as Reference).leaseId)
  }

  async function grantRecordLease (): Promise<RecordLease> {
    const confirmedAt = readClocks()
    const granted = await store.grantLease(Math.ceil(getLongestDurationMs(host.maxLeaseMs) + recordSlackMs))
    return { ...granted, confirmedAt }
  }

  /**
   * Renews the record by attaching it to a new lease: that write fails once the term has ended, however late it is executed. An extension of its lease would succeed,
   * and the record would outlast the leases of the term.
   */
  async function keepRecord (): Promise<void> {
    while (!term.signal.aborted) {
      await delay(renewalIntervalMs, term.signal)
      if (term.signal.aborted || !term.isValid()) continue
      if (getValidForMs() < -confirmationGraceMs) {
        // Nothing would tell later terms of the leases that are still to be granted.
        term.resign('the record of granted leases is lost')
        return
      }
      if (leases.length === 1) void attachToNewLease()
      const extended = new Set(leases.some(({ confirmedAt }) => getElapsedMs(confirmedAt) > extendAfterMs) ? leases : [])
      if (performance.now() - confirmedWriteAtMs > extendRenewedAfterMs) for (const lease of renewedByWrite.flatMap(renewed => [...renewed.values()])) extended.add(lease)
      for (const lease of extended) void extend(lease)
    }
  }

  async function attachToNewLease (): Promise<void> {
    if (isGrantingLease) return
    isGrantingLease = true
    try {
      const granted = await grantRecordLease()
      const short = await extensible.grant(grantedLeases)
      // Leases may have been granted to workers by a later extension of the lease that it would replace.
      if (leases.every(({ confirmedAt }) => confirmedAt.monotonicMs < granted.confirmedAt.monotonicMs)) {
        leases = [...leases, granted]
        grantedLeases = [...grantedLeases.filter(lease => getLeaseValidForMs(lease) > 0), ...short, granted]
        renewalTimers.retain(grantedLeases.map(({ leaseId }) => leaseId))
        extensionRequests.clear()
        requestWrite()
      }
    } catch (error) {
      logger.info('failed to grant a lease for the record of granted leases', { error: String(error), validForMs: Math.round(getValidForMs()) })
    }
    isGrantingLease = false
  }

  /** Extends a lease while the store does not confirm writes of the record. */
  async function extend (lease: RecordLease): Promise<void> {
    const sentAt = readClocks()
    try {
      await store.keepLeaseAlive(lease.leaseId)
      lease.confirmedAt = sentAt
    } catch (error) {
      logger.info('failed to extend a lease of the record of granted leases', { error: String(error), validForMs: Math.round(getValidForMs()) })
      // The record may have been attached to it.
      if (isErrorOfKind(error, ErrorKind.NotFound) && leases.includes(lease)) term.resign('the record of granted leases is lost: its lease has ended')
    }
  }

  async function extendTimer (group: SilentGroup, lease: RecordLease): Promise<void> {
    if (group.isTimerExtending || !term.isValid()) return
    group.isTimerExtending = true
    const sentAt = readClocks()
    try {
      await store.keepLeaseAlive(lease.leaseId)
      lease.confirmedAt = sentAt
    } catch (error) {
      logger.info('failed to extend the timer of silent workers', { error: String(error) })
      if (isErrorOfKind(error, ErrorKind.NotFound)) group.timerLease = undefined
    }
    group.isTimerExtending = false
  }

  async function createReference (): Promise<TransactionWrite> {
    const { leaseId } = await store.grantLease(referenceTtlMs)
    return { key: referenceKey, value: JSON.stringify({ epoch: term.epoch, leaseId }), leaseId }
  }

  async function keepReference (leaseId: number): Promise<void> {
    while (!term.signal.aborted) {
      await store.keepLeaseAlive(leaseId).catch(error => { logger.info('failed to renew the lease of the reference of granted leases', { leaseId, error: String(error) }) })
      await delay(referenceRenewalMs, term.signal)
    }
  }

  /** The leases under which the record can name workers now, by worker. */
  function chooseRenewed (): ReadonlyMap<RenewedWorker, number> {
    const named = getRenewed().filter(({ workerId }) => !excluded.has(workerId)).slice(0, maxExcluded - excluded.size).map((worker): NamedWorker => {
      const { workerId, leasesLeftMs } = worker
      return { ...worker, leasesLeftMs: leasesLeftMs === undefined || extensionRequests.has(workerId) ? Math.max(extensible.timerMs, leasesLeftMs ?? 0) : leasesLeftMs }
    })
    return chooseTimers(named, grantedLeases.map(lease => ({ leaseId: lease.leaseId, validForMs: getLeaseValidForMs(lease) })))
  }

  function encodeRecord ({ leaseId }: RecordLease, renewedWorkers: ReadonlyMap<RenewedWorker, number>): TransactionWrite {
    const nowMs = performance.now()
    const silentWorkers: NonNullable<EncodedRecord['silentWorkers']> = {}
    const withoutLease: string[] = []
    for (const [workerId, worker] of excluded) {
      if (included.has(workerId)) continue
      if (worker === undefined) withoutLease.push(workerId)
      else {
        const { group, uncertainRuns, isLifeKnown } = worker
        const timerKey = group.leasesEndAtMs <= nowMs ? getTimerPrefix(ownKey) + endedTimer : group.isTimerStored ? group.timer?.key : undefined
        if (group.leasesEndAtMs <= nowMs) worker.isRecordedAsEnded = true
        if (timerKey !== undefined) (silentWorkers[timerKey] ??= {})[workerId] = { uncertainRuns: [...uncertainRuns], isLifeKnown }
      }
    }
    // What earlier terms knew holds for those to which this one has granted nothing.
    const inheritedLives = withoutLease.flatMap(workerId => earlierKnownLives.has(workerId) ? [[workerId, earlierKnownLives.get(workerId) as number] as const] : [])
    const knownLives = Object.fromEntries([...inheritedLives, ...getKnownLives()].slice(0, maxKnownLives))
    const record: EncodedRecord = {
      excluded: withoutLease,
      silentWorkers,
      ...Object.keys(knownLives).length === 0 ? {} : { knownLives },
      // What this host writes from now on gets a higher revision than its latest confirmed write, and than its leader key.
      ...renewedWorkers.size === 0 ? {} : { renewed: encodeRenewed(renewedWorkers, renewalTimers.getKey), upToRevision: Math.max(term.leaderRevision, guard.getCondition().revision, host.getProgressRevision?.() ?? 0) }
    }
    return { key: ownKey, value: JSON.stringify(record), leaseId }
  }

  // Exclusions

  function excludeSilent (workers: readonly SilentWorker[], leasesLeftMs: number): readonly string[] {
    const group: SilentGroup = { leasesEndAtMs: performance.now() + leasesLeftMs, isTimerStored: false, isTimerConfirmed: false, isTimerExtending: false }
    const added = workers.filter(({ workerId }) => mayExclude(workerId)).slice(0, maxExcluded - excluded.size)
    for (const worker of added) excluded.set(worker.workerId, { ...worker, group, isRecordedAsEnded: false })
    if (added.length > 0) void grantTimer(group)
    return added.map(({ workerId }) => workerId)
  }

  function excludeUnanswered (workerIds: readonly string[]): void {
    for (const workerId of workerIds.filter(mayExclude).slice(0, maxExcluded - excluded.size)) excluded.set(workerId, undefined)
  }

  function mayExclude (workerId: string): boolean {
    return !excluded.has(workerId)
  }

  /** Has the record name the group as soon as the lease of its timer is granted, or its leases have ended. Other writes of the record do not wait for that. */
  async function grantTimer (group: SilentGroup): Promise<void> {
    while (!term.signal.aborted && group.timer === undefined && group.leasesEndAtMs > performance.now() && getSilentGroups().has(group)) {
      try {
        const confirmedAt = readClocks()
        const neededMs = group.leasesEndAtMs - performance.now() + timerMarginMs
        const { leaseId, ttlMs } = await store.grantLease(Math.ceil(Math.max(neededMs, host.minTtlMs)))
        if (ttlMs >= neededMs) {
          group.timer = { key: `${getTimerPrefix(ownKey)}${++timerCount}`, value: '', leaseId }
          group.timerLease = { leaseId, ttlMs, confirmedAt }
        } else {
          await delay(retryPauseMs, term.signal)
        }
      } catch (error) {
        logger.info('failed to grant the lease of a timer for silent workers', { error: String(error) })
        await delay(retryPauseMs, term.signal)
      }
    }
    requestWrite()
  }

  /** The groups of which a worker is excluded and is not to be included. */
  function getSilentGroups (): ReadonlySet<SilentGroup> {
    return new Set([...excluded].flatMap(([workerId, worker]) => worker === undefined || included.has(workerId) ? [] : worker.group))
  }

  async function include (workerId: string): Promise<void> {
    if (!excluded.has(workerId)) return
    if (!included.has(workerId)) included.set(workerId, performance.now())
    requestWrite()
    while (excluded.has(workerId) && !term.signal.aborted) await written.wait()
  }

  function requestWrite (): void {
    isDirty = true
    // Workers that are included in the same turn of the event loop share a write.
    if (!isWriting) setImmediate(() => { void writeExclusions() })
    isWriting = true
  }

  async function writeExclusions (): Promise<void> {
    while (!isStored && !term.signal.aborted) await written.wait()
    while (isDirty && !term.signal.aborted) {
      isDirty = false
      const leaving = [...included.keys()]
      if (!await tryWriteExclusions()) {
        isDirty = true
        await delay(retryPauseMs, term.signal)
        continue
      }
      for (const workerId of leaving) {
        excluded.delete(workerId)
        included.delete(workerId)
      }
      written.notify()
      if (isDirty) await delay(writePauseMs, term.signal)
    }
    isWriting = false
  }

  async function tryWriteExclusions (): Promise<boolean> {
    const lease = leases.at(-1)
    if (lease === undefined) return false
    const nowMs = performance.now()
    const waiting = [...getSilentGroups()].filter(({ timer, isTimerStored, leasesEndAtMs }) => timer !== undefined && !isTimerStored && leasesEndAtMs > nowMs)
    const renewed = chooseRenewed()
    const newTimers = renewalTimers.encodeMissing(renewed.values())
    const groups = waiting.slice(0, maxTimersPerWrite - newTimers.writes.length)
    if (groups.length < waiting.length) isDirty = true
    const timers = groups.flatMap(({ timer }) => timer ?? [])
    for (const group of groups) group.isTimerStored = true
    let isCommitted = false
    const renewedLeases = findLeases(renewed, grantedLeases)
    renewedByWrite = [...renewedByWrite, renewedLeases]
    try {
      const result = await transactGuarded(store, guard, { expected: [leaderCondition, ...timers.map(({ key }) => ({ key, revision: 0 }))], writes: [encodeRecord(lease, renewed), ...timers, ...newTimers.writes] }, newTimers.guards)
      if (!areConditionsMet([leaderCondition], result)) term.resign('another host holds the leader key')
      isCommitted = result.isCommitted
    } catch (error) {
      logger.info('failed to write the record of granted leases', { error: String(error) })
    }
    if (isCommitted) {
      // A lease that has been granted meanwhile is not used before the next write.
      leases = leases.slice(leases.indexOf(lease))
      renewalTimers.onStored(newTimers)
      renewedByWrite = [renewedLeases]
      confirmedWriteAtMs = performance.now()
      for (const group of groups) group.isTimerConfirmed = true
      return true
    }
    // The write may still be applied, so that other timers are needed.
    for (const group of groups) {
      group.isTimerStored = false
      group.timer = undefined
      group.timerLease = undefined
      void grantTimer(group)
    }
    return false
  }
}
