/** Estimates when runs end, from the progress that their worker reports. Does no I/O. */
import { MemberState } from '../jobs/trackedJob.js'
import type { Member } from '../jobs/trackedJob.js'

/** A pace is used only if it covers so many percent: progress is reported in whole percent. */
const minMeasuredPercent = 10

/** The members of one worker whose ends can be estimated. */
export type EstimatedMember = Pick<Member, 'state' | 'progressPercent' | 'progressedAtMs' | 'firstProgress'> & { readonly attempt: { readonly stopReason?: string, readonly unit: { readonly spec: { readonly isService: boolean } } } }

/** Returns when the first of the runs is expected to end, by the monotonic clock; Infinity if no pace is known. */
export function getFirstExpectedEndMs (members: Iterable<EstimatedMember>): number {
  let firstMs = Infinity
  for (const member of members) firstMs = Math.min(firstMs, getExpectedEndMs(member))
  return firstMs
}

function getExpectedEndMs ({ state, attempt, firstProgress, progressPercent, progressedAtMs }: EstimatedMember): number {
  // The end of a service, and of a run that is being stopped, does not depend on its progress.
  if (state !== MemberState.Running || attempt.stopReason !== undefined || attempt.unit.spec.isService || firstProgress === undefined) return Infinity
  const measuredPercent = progressPercent - firstProgress.percent
  if (measuredPercent < minMeasuredPercent) return Infinity
  return progressedAtMs + (100 - progressPercent) * (progressedAtMs - firstProgress.atMs) / measuredPercent
}
