/** Decides by which evidence a run counts as ended, or as never begun. Does no I/O. */
import { MemberState } from '../jobs/trackedJob.js'
import type { Member, Sighting } from '../jobs/trackedJob.js'

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
  /** When the worker wrote the report, in whole ms of its clock; undefined if that is not known, or if the report does not name its incarnation. */
  readonly clockMs?: number | undefined
}

/**
 * Tells whether a report was certainly written later than the evidence. Several requests may wait at a worker, and their answers may overtake each other, so that within one
 * incarnation only its clock orders them; two reports that show the same millisecond may have been written in either order. Otherwise the report must have been requested
 * when the evidence had arrived.
 */
export function isWrittenAfter (report: ReportOrigin, evidence: Sighting): boolean {
  const clockMs = getClockMsSince(evidence, report)
  return clockMs === undefined ? report.requestedAtMs > evidence.receivedAtMs : clockMs > 0
}

/** Tells whether a report was certainly written before the evidence. */
export function isWrittenBefore (report: ReportOrigin, evidence: Sighting): boolean {
  return (getClockMsSince(evidence, report) ?? 0) < 0
}

/** The latest evidence that a report and what was known before give: the clock of the one that was written later, and the arrival of the one that arrived later. */
export function addSighting (known: Sighting | undefined, { incarnationMs, clockMs }: ReportOrigin, receivedAtMs: number): Sighting {
  if (known?.incarnationMs !== incarnationMs) return { incarnationMs, clockMs, receivedAtMs }
  const latestClockMs = clockMs === undefined || known.clockMs === undefined ? undefined : Math.max(clockMs, known.clockMs)
  return { incarnationMs, clockMs: latestClockMs, receivedAtMs: Math.max(known.receivedAtMs, receivedAtMs) }
}

/** Tells whether a report was written later than all that shows the member at work. An answer to a start does not name the incarnation that its clock belongs to. */
export function isPresenceOlder ({ lastSeen, startedAtMs = -Infinity }: Member, report: ReportOrigin): boolean {
  return report.requestedAtMs > startedAtMs && (lastSeen === undefined || isWrittenAfter(report, lastSeen))
}

/** The time, in ms, for which a run has at least been at work when the report was written; -Infinity if nothing has shown it before. */
export function getWorkedMs ({ firstSeen, startedAtMs = Infinity }: Member, report: ReportOrigin): number {
  return Math.max(report.requestedAtMs - startedAtMs, firstSeen === undefined ? -Infinity : getMsSince(firstSeen, report))
}

/** The time, in ms, for which reports have at least shown a run at work; -Infinity if none has. */
export function getSeenForMs ({ firstSeen, lastSeen, startedAtMs = Infinity, reportedAtMs = -Infinity }: Member): number {
  const reportedForMs = firstSeen === undefined || lastSeen === undefined ? -Infinity : getMsSince(firstSeen, { ...lastSeen, requestedAtMs: reportedAtMs })
  return Math.max(reportedAtMs - startedAtMs, reportedForMs)
}

function getMsSince (evidence: Sighting, report: ReportOrigin): number {
  return getClockMsSince(evidence, report) ?? report.requestedAtMs - evidence.receivedAtMs
}

/** The time on the worker's clock; undefined if the clocks cannot be compared. The clock starts anew with each incarnation. */
function getClockMsSince (evidence: Sighting, { clockMs, incarnationMs }: ReportOrigin): number | undefined {
  return clockMs === undefined || evidence.clockMs === undefined || evidence.incarnationMs !== incarnationMs ? undefined : clockMs - evidence.clockMs
}

/** When the latest report that lists a member was requested: it was at work then or later. Answers to later requests of one incarnation may arrive first. */
export function getLatestRequestMs ({ reportedAtMs = -Infinity, reportedBornAtMs }: Member, report: Pick<ReportOrigin, 'requestedAtMs'>, bornAtMs: number | undefined): number {
  return reportedBornAtMs === bornAtMs ? Math.max(reportedAtMs, report.requestedAtMs) : report.requestedAtMs
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
export function judgeAbsence (member: Member, origin: ReportOrigin): AbsenceVerdict {
  const { requestedAtMs, incarnationMs } = origin
  const { state, startExclusion: exclusion } = member
  if (state === MemberState.Ended || state === MemberState.Planned) return AbsenceVerdict.Undecided
  const isGone = state === MemberState.Running && isPresenceOlder(member, origin)
  // Neither an answer to a stop nor one to a start names its incarnation, so that a clock in it cannot be compared.
  const isExclusionOlder = exclusion !== undefined && exclusion.atMs < requestedAtMs
  if (isExclusionOlder && (exclusion.incarnationMs ?? incarnationMs) === incarnationMs) return isGone ? AbsenceVerdict.Lost : AbsenceVerdict.NotStarted
  // A worker does not start a run that has ended there.
  if (isGone && (member.unansweredStarts === 0 || member.runningIncarnationMs === incarnationMs)) return AbsenceVerdict.Lost
  return isGone || isExclusionOlder ? AbsenceVerdict.MayStart : AbsenceVerdict.Undecided
}

/** The fields that describe the evidence in the log: its age and clock, the clock at which the run was last seen, and the incarnations of the worker that it and the plan refer to. */
export function describeEvidence (member: Member, { source, requestedAtMs, incarnationMs, clockMs }: EndEvidence, nowMs: number): object {
  const reported = requestedAtMs === undefined ? {} : { reportAgeMs: Math.round(nowMs - requestedAtMs), reportedBornAtMs: incarnationMs, reportClockMs: clockMs, seenClockMs: member.lastSeen?.clockMs }
  return { evidence: source, ...reported, plannedBornAtMs: member.bornAtMs }
}

/** The fields that describe in the log how far a lost run was when its worker last listed it, and how long ago that was: it may have ended since, in an end that nobody has read. */
export function describeLastReport ({ progressPercent, reportedAtMs }: Member, nowMs: number): object {
  return { progressPercent, lastReportAgeMs: reportedAtMs === undefined ? undefined : Math.round(nowMs - reportedAtMs) }
}
