/** Decides by which evidence a run counts as ended, or as never begun. Does no I/O. */
import { MemberState } from '../jobs/trackedJob.js'
import type { Member } from '../jobs/trackedJob.js'

/** Where the evidence comes from. */
export enum EvidenceSource {
  /** The worker lists the run as ended. */
  ListedAsEnded = 'listed-as-ended',
  /** A host that does not schedule has read that the worker lists the run as ended. */
  ReadByHost = 'read-by-host',
  /** A complete report of the worker does not list the run. */
  Absent = 'absent-from-report',
  /** The worker has refused the only start request that was sent to it. */
  Refused = 'start-refused',
  /** No start request has left this host. */
  NotSent = 'not-sent',
  /** A worker with another id answers at the address. */
  Replaced = 'worker-replaced',
  LeaseExpired = 'lease-expired',
  /** The store shows that the leases which earlier terms have granted are over, and this term has granted none. */
  EarlierLeasesOver = 'earlier-leases-over'
}

/** Which runs of a worker a statement about the ends of leases covers. */
export enum RunScope {
  /** Those whose start requests have all been answered or can't be carried out any more: they end with the life of the worker that has them. */
  Settled = 'settled',
  /** All, also those of which a start request may still be carried out, perhaps by a later life of the worker that no host sees. */
  All = 'all'
}

/** The evidence that a run has ended. */
export interface EndEvidence extends Partial<ReportOrigin> {
  readonly source: EvidenceSource
}

/** The origin of a worker's report. */
export interface ReportOrigin {
  /** When the report was requested, by the monotonic clock. */
  readonly requestedAtMs: number
  /** The incarnation that reported, by its start as Unix time in ms. */
  readonly incarnationMs: number
}

/** What follows from a report that does not list a member. */
export enum AbsenceVerdict {
  /** The report may be older than the start of the run. */
  Undecided = 'undecided',
  /** It does not run there now, but a start request without an answer may still be carried out. */
  MayStart = 'may-start',
  NotStarted = 'not-started',
  Lost = 'lost'
}

/**
 * Judges a member that a complete report of its worker does not list. What one incarnation of a worker has confirmed or excluded says nothing
 * about the next one: a start request that is still under way may be carried out there.
 */
export function judgeAbsence (member: Member, { requestedAtMs, incarnationMs }: ReportOrigin): AbsenceVerdict {
  const { state, startExclusion: exclusion } = member
  if (state === MemberState.Ended || state === MemberState.Planned) return AbsenceVerdict.Undecided
  const isGone = state === MemberState.Running && member.runningSinceMs < requestedAtMs
  const isExclusionOlder = exclusion !== undefined && exclusion.atMs < requestedAtMs
  if (isExclusionOlder && (exclusion.incarnationMs ?? incarnationMs) === incarnationMs) return isGone ? AbsenceVerdict.Lost : AbsenceVerdict.NotStarted
  // A worker does not start a run that has ended there.
  if (isGone && (member.unansweredStarts === 0 || member.runningIncarnationMs === incarnationMs)) return AbsenceVerdict.Lost
  return isGone || isExclusionOlder ? AbsenceVerdict.MayStart : AbsenceVerdict.Undecided
}

/** The fields that describe the evidence in the log: its age, and the incarnations of the worker that it and the plan refer to. */
export function describeEvidence (member: Member, { source, requestedAtMs, incarnationMs }: EndEvidence, nowMs: number): object {
  const reported = requestedAtMs === undefined ? {} : { reportAgeMs: Math.round(nowMs - requestedAtMs), reportedBornAtMs: incarnationMs }
  return { evidence: source, ...reported, plannedBornAtMs: member.bornAtMs }
}
