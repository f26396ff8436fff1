/** Estimates when runs end, from the progress that their worker reports. Does no I/O. */
import { MemberState } from '../jobs/trackedJob.js'
import type { Member } from '../jobs/trackedJob.js'

/** A pace is used only if it covers so many percent: progress is reported in whole percent. */
const minMeasuredPercent = 10

/** What is read of a member to estimate its end. */
export interface EstimatedMember extends Pick<Member, 'state' | 'progressPercent' | 'progressedAtMs'> {
  readonly firstProgress?: Member['firstProgress'] | undefined
  readonly attempt: { readonly stopReason?: string, readonly unit: { readonly spec: { readonly isService: boolean } } }
}

/** Returns when the first of the runs is expected to end, by the monotonic clock; Infinity if no pace is known. */
export function getFirstExpectedEndMs (members: Iterable<EstimatedMember>): number {
  let firstMs = Infinity
  for (const member of members) firstMs = Math.min(firstMs, getExpectedEndMs(member))
  return firstMs
}

function getExpectedEndMs ({ state, attempt, firstProgress, progressPercent, progressedAtMs }: EstimatedMember): number {
  // The end of a service, and of a run that is being stopped, does not depend on its progress.
  if (state !== MemberState.Running || attempt.stopReason !== undefined || attempt.unit.spec.isService || firstProgress === undefined) return Infinity
  // Full progress does not tell for how long the run goes on: some do so for seconds.
  const measuredPercent = progressPercent - firstProgress.percent
  if (progressPercent >= 100 || measuredPercent < minMeasuredPercent) return Infinity
  return progressedAtMs + (100 - progressPercent) * (progressedAtMs - firstProgress.atMs) / measuredPercent
}
