/**
 * The rules by which a term counts a run on a silent worker as ended, as pure functions of what the term knows. The rules of `runs/workerLink.ts`, `runs/workerPool.ts`
 * and `runs/grantRecord.ts` in discrete time, and candidates to compare them with.
 */

/** Durations in steps of the model, in the same order as those of the protocol. */
export interface LeaseTimes {
  /** The lease that the scheduler asks for. */
  readonly requestedLease: number
  /** The longest lease that a worker grants. */
  readonly maxLease: number
  /** How long after it was sent a request without a response may be carried out. */
  readonly maxRequestDelay: number
  /** Time to live of a term's record after the last renewal. */
  readonly recordTtl: number
  /** A life that is older has carried out what was sent to the life before it, and the leases that counted from then are over. */
  readonly youngLife: number
}

/** What a term knows of one run on the worker. */
export interface RunEvidence {
  readonly index: number
  /** The run counts as ended; its late starts may still be carried out. */
  readonly hasEnded: boolean
  /** The life for which the run was planned. */
  readonly plannedLife: number
  /** The run was taken over from an earlier term. */
  readonly isRestored: boolean
  /** The latest life whose report to this term lists the run; 0 if there is none. */
  readonly reportedLife: number
  /** Steps since this term sent its latest start request that has no answer; Infinity if there is none. */
  readonly unansweredAge: number
  /** The worker has confirmed to this term that the run is at work. */
  readonly isConfirmed: boolean
  /** A report of `reportedLife` that was requested after this term sent the latest start request that has no answer lists the run. */
  readonly isListedSinceStart: boolean
  /** Start requests of this term that have got no answer. */
  readonly unansweredStarts: number
  /** A start request of this term has been answered. */
  readonly isStartAnswered: boolean
}

/** How the record of a term mentions a worker that does not answer. */
export interface SilentEntry {
  /** Steps until the timer goes away. */
  readonly timerSteps: number
  /** The runs that are not over when the timer has gone away. */
  readonly exceptions: readonly number[]
  /** The life that the term knew, if no order for an earlier life can have reached it; 0 otherwise. */
  readonly vouchedLife: number
}

/** What the record of an earlier term says of the worker now. */
export interface EarlierRecord {
  /** The term has granted the worker no lease. */
  readonly isExcluded: boolean
  /** The worker is listed as silent. */
  readonly silent: SilentEntry | undefined
}

/** What a term knows of a worker that does not answer. */
export interface TermEvidence {
  readonly times: LeaseTimes
  readonly termAge: number
  readonly hasGranted: boolean
  /** Steps since this term last sent a request that may extend the lease, or since its start. */
  readonly extendedAge: number
  /** Steps since this term last sent a start; Infinity if it has not. Starts need not extend the lease, but in a later life their leases count from when they are carried out. */
  readonly startAge: number
  /** Steps since this term last learnt of another life under the id; Infinity if it has not. */
  readonly laterLifeAge: number
  readonly listedLife: number
  readonly listedLifeAge: number
  /** The latest life that this term knows, and its age. */
  readonly knownLife: number
  readonly knownLifeAge: number
  readonly runs: readonly RunEvidence[]
  /** The records of earlier terms that still exist. */
  readonly earlierRecords: readonly EarlierRecord[]
}

/** By what a run counts as ended although its worker does not answer. */
export enum EndSource {
  LeaseExpired = 'lease-expired',
  EarlierLeasesOver = 'earlier-leases-over',
  LaterLifeListed = 'later-life-listed'
}

/** When a run of which a start has got no answer counts as settled, although the request may still be under way. */
enum Settlement { Never, Listed, ListedSingleStart }

/** A rule for the runs of silent workers. */
export interface EndPolicy {
  readonly name: string
  /** Whether the clock in the answer to a start shows that a later life has answered. */
  readonly readsStartClock: boolean
  /** Tells by what the run counts as ended now; undefined if it may still be at work. */
  getEnd (evidence: TermEvidence, run: RunEvidence): EndSource | undefined
  /** What the record says of the silent worker; undefined if it does not mention it. */
  describeSilence (evidence: TermEvidence): SilentEntry | undefined
  /**
   * What each renewal of the record says of a worker that may answer, and whose lease is not extended before a record without it is stored; undefined if renewals do not
   * mention it. Runs that are planned later are excepted.
   */
  readonly describeRenewal?: (evidence: TermEvidence) => SilentEntry
  /**
   * What a renewal of the record says of a worker whose lease may be extended without another record while `mayExtend` holds; undefined if nothing, so that a record
   * without the worker is stored before its lease is extended.
   */
  readonly describeExtensible?: (evidence: TermEvidence) => SilentEntry | undefined
  /** Tells whether a worker that the stored record names so may be extended by the lease that is asked for. */
  readonly mayExtend?: (entry: SilentEntry, times: LeaseTimes) => boolean
  /** Runs that are planned after the renewal are not excepted; for tests. */
  readonly coversLaterRuns?: boolean
  /** Whether it matters if a report lists a run after a start without an answer; otherwise the model does not keep it, so that it has fewer states. */
  readonly usesListedRuns?: boolean
}

/** Decides for the whole worker: one start without an answer keeps it out of the record. The rule up to 3ba3df9. */
export const perWorkerPolicy: EndPolicy = createPerWorkerPolicy('per worker', evidence => !hasUnansweredStart(evidence))

/** Ignores starts without an answer when it records a silent worker. */
export const unconditionalPolicy: EndPolicy = createPerWorkerPolicy('unconditional', () => true)

/** Decides for each run: only a run that has a start without an answer is waited for with the whole record. A term vouches for a worker. */
export const perRunPolicy: EndPolicy = createPerRunPolicy('per run', {})

/** As `perRunPolicy`, but what a term vouches for holds only for runs that were planned for the life that it knew, while the list shows no other one. */
export const vouchedLifePolicy: EndPolicy = createPerRunPolicy('vouched life', { isVouchForLife: true })

/** As `vouchedLifePolicy`, but the clock in the answer to a start shows whether a later life has answered. */
export const startClockPolicy: EndPolicy = createPerRunPolicy('start clock', { isVouchForLife: true, readsStartClock: true })

/** As `startClockPolicy`, but a run that one life has listed, and of which no start is without an answer, is over when the list of workers shows a later life. */
export const listedLifePolicy: EndPolicy = createPerRunPolicy('listed life', { isVouchForLife: true, readsStartClock: true, endsWithListedLife: true })

/** As `listedLifePolicy`, but a term records runs that it has taken over as uncertain until the start requests of earlier terms can no longer be carried out. */
export const inheritedStartsPolicy: EndPolicy = createPerRunPolicy('inherited starts', { isVouchForLife: true, readsStartClock: true, endsWithListedLife: true, areInheritedUncertain: true })

/**
 * The rule of `runs/`: as `perRunPolicy`, but only a term that is older than all orders of earlier terms vouches for a worker, what it vouches for holds while the next
 * term has granted no lease, the clock in the answer to a start is read, and a young term takes a young life for one that may follow earlier orders.
 */
export const productPolicy: EndPolicy = createPerRunPolicy('product', { isVouchByTermAge: true, readsStartClock: true })

/**
 * As `productPolicy`, but each renewal of the record says when the leases of each worker end that were last extended: a term that ends before it has recorded a worker as
 * silent leaves this to the next one.
 */
export const renewedEndsPolicy: EndPolicy = createPerRunPolicy('renewed ends', { isVouchByTermAge: true, readsStartClock: true, recordsAtRenewal: true })

/** As `renewedEndsPolicy`, but what the record says is also used for runs that were planned after it was written. */
export const laterRunsPolicy: EndPolicy = { ...renewedEndsPolicy, name: 'renewed ends, later runs', coversLaterRuns: true }

const extensibleOptions: PerRunOptions = { isVouchByTermAge: true, readsStartClock: true, recordsAtRenewal: true, namesExtensible: true }

/**
 * As `renewedEndsPolicy`, but a worker whose lease is to be extended is named too, under a timer that lasts one step longer than the lease that is asked for: a term that ends
 * before the next renewal leaves no worker that has only such leases to be waited for with the whole record.
 */
export const extensibleEndsPolicy: EndPolicy = createPerRunPolicy('extensible ends', extensibleOptions)

/** As `extensibleEndsPolicy`, but leases are extended beyond the timer; for tests. */
export const overrunTimerPolicy: EndPolicy = { ...extensibleEndsPolicy, name: 'extensible ends, overrun timer', mayExtend: () => true }

/**
 * As `extensibleEndsPolicy`, but a run counts as settled while the life that the term knows has listed it since the latest start without an answer was sent, whether or not
 * another request of it may still be carried out.
 */
export const seenRunsPolicy: EndPolicy = createPerRunPolicy('seen runs', { ...extensibleOptions, settlement: Settlement.Listed })

/** As `seenRunsPolicy`, but only if the start was sent once: the request that got no answer is the one that has been carried out. */
export const seenSingleStartsPolicy: EndPolicy = createPerRunPolicy('seen single starts', { ...extensibleOptions, settlement: Settlement.ListedSingleStart })

/** All policies that are compared. */
export const endPolicies: readonly EndPolicy[] = [perWorkerPolicy, productPolicy, renewedEndsPolicy, extensibleEndsPolicy, perRunPolicy, vouchedLifePolicy, startClockPolicy, listedLifePolicy, inheritedStartsPolicy, unconditionalPolicy]

/** Candidates for shorter waits, to compare with `extensibleEndsPolicy`. */
export const shorterWaitPolicies: readonly EndPolicy[] = [seenRunsPolicy, seenSingleStartsPolicy]

/** The parts in which the policies for each run differ. */
interface PerRunOptions {
  /** What a term vouches for holds only for runs that were planned for the life that it knew, while the list shows no other one. */
  readonly isVouchForLife?: boolean
  /** Only a term that is older than all orders of earlier terms vouches, and only for runs that the next term has taken over. */
  readonly isVouchByTermAge?: boolean
  readonly readsStartClock?: boolean
  readonly endsWithListedLife?: boolean
  readonly areInheritedUncertain?: boolean
  readonly recordsAtRenewal?: boolean
  readonly namesExtensible?: boolean
  readonly settlement?: Settlement
}

function createPerWorkerPolicy (name: string, mayRecord: (evidence: TermEvidence) => boolean): EndPolicy {
  return { name, readsStartClock: false, getEnd: (evidence, run) => getEnd(evidence, run, areEarlierLeasesOver, getLeaseEndSteps), describeSilence }

  function describeSilence (evidence: TermEvidence): SilentEntry | undefined {
    if (!mayRecord(evidence)) return undefined
    return { timerSteps: Math.max(0, getStepsLeft(evidence, getLeaseEndSteps(evidence), areEarlierLeasesOver(evidence))), exceptions: [], vouchedLife: 0 }
  }

  function areEarlierLeasesOver (evidence: TermEvidence): boolean {
    return evidence.earlierRecords.every(({ isExcluded, silent }) => isExcluded || silent?.timerSteps === 0) && isOnlyLife(evidence)
  }

  function getLeaseEndSteps (evidence: TermEvidence): number {
    return hasUnansweredStart(evidence) || mayFollowEarlierOrders(evidence) ? evidence.times.maxLease : evidence.times.requestedLease
  }
}

function createPerRunPolicy (name: string, { isVouchForLife = false, isVouchByTermAge = false, readsStartClock = false, endsWithListedLife = false, areInheritedUncertain = false, recordsAtRenewal = false, namesExtensible = false, settlement = Settlement.Never }: PerRunOptions): EndPolicy {
  return { name, readsStartClock, getEnd: getRunEnd, describeSilence, ...recordsAtRenewal ? { describeRenewal } : {}, ...namesExtensible ? { describeExtensible, mayExtend: ({ timerSteps }: SilentEntry, { requestedLease }: LeaseTimes) => timerSteps >= requestedLease } : {}, ...settlement === Settlement.Never ? {} : { usesListedRuns: true } }

  function getRunEnd (evidence: TermEvidence, run: RunEvidence): EndSource | undefined {
    const { listedLife, times } = evidence
    // What the later life has carried out late may still be at work there.
    const isEarlier = run.reportedLife > 0 && run.reportedLife < listedLife && !mayHaveStarts(evidence, run, times.maxRequestDelay + times.maxLease)
    if (endsWithListedLife && isEarlier) return EndSource.LaterLifeListed
    return getEnd(evidence, run, areEarlierLeasesOver, getLeaseEndSteps)
  }

  /** Tells whether a start request sent less than `steps` ago has got no answer, and the run is not settled. */
  function mayHaveStarts (evidence: TermEvidence, run: RunEvidence, steps: number): boolean {
    return (run.unansweredAge < steps && !isSettled(evidence, run)) || (areInheritedUncertain && run.isRestored && evidence.termAge < steps)
  }

  function isSettled ({ knownLife }: TermEvidence, { reportedLife, isListedSinceStart, unansweredStarts, isStartAnswered }: RunEvidence): boolean {
    if (settlement === Settlement.Never || !isListedSinceStart || reportedLife !== knownLife) return false
    return settlement === Settlement.Listed || (unansweredStarts === 1 && !isStartAnswered)
  }

  function describeSilence (evidence: TermEvidence): SilentEntry {
    return describe(evidence, evidence.runs.filter(run => !run.hasEnded && mayHaveStarts(evidence, run, evidence.times.maxRequestDelay)))
  }

  /** Start requests of runs that are not confirmed may be sent after the record is written. */
  function describeRenewal (evidence: TermEvidence): SilentEntry {
    return describe(evidence, evidence.runs.filter(run => !run.hasEnded && (!run.isConfirmed || mayHaveStarts(evidence, run, evidence.times.maxRequestDelay))))
  }

  /** A later life may have longer leases than this term asks for. */
  function describeExtensible (evidence: TermEvidence): SilentEntry | undefined {
    if (mayFollowEarlierOrders(isVouchByTermAge ? countYoungLife(evidence) : evidence)) return undefined
    return { ...describeRenewal(evidence), timerSteps: evidence.times.requestedLease + 1 }
  }

  function describe (evidence: TermEvidence, exceptions: readonly RunEvidence[]): SilentEntry {
    const others = evidence.runs.filter(run => !run.hasEnded && !exceptions.includes(run))
    const timerSteps = Math.max(0, ...others.map(run => getStepsLeft(evidence, getLeaseEndSteps(evidence, run), areEarlierLeasesOver(evidence, run))))
    return { timerSteps, exceptions: exceptions.map(({ index }) => index), vouchedLife: mayVouch(evidence) ? evidence.knownLife : 0 }
  }

  function areEarlierLeasesOver (evidence: TermEvidence, run: RunEvidence): boolean {
    const { earlierRecords } = evidence
    // No earlier term has sent a start of a run that this one has planned.
    if (!earlierRecords.every(({ isExcluded, silent }) => isExcluded || (silent?.timerSteps === 0 && !(run.isRestored && silent.exceptions.includes(run.index))))) return false
    const granting = earlierRecords.filter(({ isExcluded }) => !isExcluded)
    return (granting.length > 0 && granting.every(({ silent }) => silent !== undefined && isVouchedFor(evidence, run, silent))) || isOnlyLife(evidence)
  }

  /** A later life in the list may have carried out starts of which the recording term did not know, because they were sent by a term before it. */
  function isVouchedFor ({ listedLife, hasGranted }: TermEvidence, { plannedLife }: RunEvidence, { vouchedLife }: SilentEntry): boolean {
    if (isVouchByTermAge) return vouchedLife > 0 && !hasGranted
    return vouchedLife > 0 && (!isVouchForLife || (vouchedLife === plannedLife && vouchedLife === listedLife))
  }

  function getLeaseEndSteps (evidence: TermEvidence, run: RunEvidence): number {
    const mayFollow = mayFollowEarlierOrders(isVouchByTermAge ? countYoungLife(evidence) : evidence)
    return (isUncertain(evidence, run) && !isSettled(evidence, run)) || mayFollow ? evidence.times.maxLease : evidence.times.requestedLease
  }

  function mayVouch (evidence: TermEvidence): boolean {
    if (!isVouchByTermAge) return isVouched(evidence)
    return evidence.termAge >= evidence.times.maxRequestDelay + evidence.times.maxLease && !mayFollowEarlierOrders(countYoungLife(evidence))
  }
}

/** Takes a young life for one that was seen when the term began. */
function countYoungLife (evidence: TermEvidence): TermEvidence {
  const { termAge, knownLifeAge, laterLifeAge, times } = evidence
  return knownLifeAge > times.youngLife ? evidence : { ...evidence, laterLifeAge: Math.min(laterLifeAge, termAge) }
}

function getEnd (evidence: TermEvidence, run: RunEvidence, areEarlierLeasesOver: (evidence: TermEvidence, run: RunEvidence) => boolean, getLeaseEndSteps: (evidence: TermEvidence, run: RunEvidence) => number): EndSource | undefined {
  const areEarlierOver = areEarlierLeasesOver(evidence, run)
  if (areEarlierOver && !evidence.hasGranted) return EndSource.EarlierLeasesOver
  return getStepsLeft(evidence, getLeaseEndSteps(evidence, run), areEarlierOver) <= 0 ? EndSource.LeaseExpired : undefined
}

function getStepsLeft ({ times, termAge, extendedAge, startAge }: TermEvidence, leaseSteps: number, areEarlierOver: boolean): number {
  const leftSteps = leaseSteps - (leaseSteps === times.maxLease ? Math.min(extendedAge, startAge) : extendedAge)
  return areEarlierOver ? leftSteps : Math.max(leftSteps, times.maxLease - termAge)
}

function isUncertain ({ times }: TermEvidence, { unansweredAge }: RunEvidence): boolean {
  return unansweredAge < times.maxRequestDelay
}

function hasUnansweredStart (evidence: TermEvidence): boolean {
  return evidence.runs.some(run => isUncertain(evidence, run))
}

/** A life that was seen shortly before the last extension, or after it, may have carried out orders for the life before it, with a lease that counts from then. */
function mayFollowEarlierOrders ({ times, extendedAge, laterLifeAge }: TermEvidence): boolean {
  return laterLifeAge - extendedAge < times.maxRequestDelay + times.maxLease
}

/** Tells whether the listed life is old enough that no order for an earlier one is left, and all runs were planned for it. */
function isOnlyLife ({ times, listedLife, listedLifeAge, runs }: TermEvidence): boolean {
  return listedLifeAge > times.youngLife && runs.every(({ plannedLife, hasEnded }) => hasEnded || plannedLife === listedLife)
}

function isVouched ({ times, termAge, laterLifeAge, knownLifeAge }: TermEvidence): boolean {
  return knownLifeAge > times.youngLife || (termAge > times.maxRequestDelay + times.maxLease && laterLifeAge === Infinity)
}
