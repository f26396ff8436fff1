/** The evidence by which a run counts as ended, or as never begun. */
import type { Member } from '../jobs/trackedJob.js'

/** Where the evidence comes from. */
export enum EvidenceSource {
  /** The worker lists the run as ended. */
  ListedAsEnded = 'listed-as-ended',
  /** A complete report of the worker does not list the run. */
  Absent = 'absent-from-report',
  /** The worker has refused the only start request that was sent to it. */
  Refused = 'start-refused',
  /** No start request has left this host. */
  NotSent = 'not-sent',
  /** A worker with another id answers at the address. */
  Replaced = 'worker-replaced',
  LeaseExpired = 'lease-expired'
}

/** The evidence that a run has ended. */
export interface EndEvidence {
  readonly source: EvidenceSource
  /** When the report was requested, by the monotonic clock. */
  readonly atMs?: number
  /** The start of the incarnation that reported, as Unix time in ms. */
  readonly bornAtMs?: number | undefined
}

/** The fields that describe the evidence in the log: its age, and the incarnations of the worker that it and the plan refer to. */
export function describeEvidence (member: Member, { source, atMs, bornAtMs }: EndEvidence, nowMs: number): object {
  const reported = atMs === undefined ? {} : { reportAgeMs: Math.round(nowMs - atMs), reportedBornAtMs: bornAtMs }
  return { evidence: source, ...reported, plannedBornAtMs: member.bornAtMs }
}
