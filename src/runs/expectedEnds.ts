/** Estimates when runs end, from the progress that their worker reports. Does no I/O. */
import { MemberState } from '../jobs/trackedJob.js'
import type { Member } from '../jobs/trackedJob.js'

/** A pace is used only if it covers so many percent: progress is reported in whole percent. */
const minMeasuredPercent = 3

/** What is read of a member to estimate its end. */
export interface EstimatedMember extends Pick<Member, 'state' | 'progressPercent' | 'progressedAtMs'> {
  readonly startedAtMs?: number | undefined
  readonly startExclusion?: Member['startExclusion'] | undefined
  readonly firstProgress?: Member['firstProgress'] | undefined
  readonly attempt: { readonly stopReason?: string, readonly unit: { readonly checkpoint: string, readonly spec: { readonly isService: boolean } } }
}

/** What is known of how long things take, in ms. */
export interface ExpectedTimes<M extends EstimatedMember> {
  /** The longest time that a stop takes. */
  readonly stopMs: number
  /** The usual time of a whole run; used while no pace is known. */
  readonly getRunMs: (member: M) => number
}

/** Returns when the first of the runs that should end after `afterMs` should do so, by the monotonic clock; Infinity if there is none. */
export function getFirstExpectedEndMs<M extends EstimatedMember> (members: Iterable<M>, times: ExpectedTimes<M>, afterMs = -Infinity): number {
  let firstMs = Infinity
  for (const member of members) {
    const endMs = getExpectedEndMs(member, times)
    if (endMs > afterMs) firstMs = Math.min(firstMs, endMs)
  }
  return firstMs
}

function getExpectedEndMs<M extends EstimatedMember> (member: M, { stopMs, getRunMs }: ExpectedTimes<M>): number {
  const { state, attempt, startExclusion, firstProgress, progressPercent, progressedAtMs } = member
  if (attempt.stopReason !== undefined) return startExclusion === undefined || startExclusion.atMs === -Infinity ? Infinity : startExclusion.atMs + stopMs
  // The end of a service does not depend on its progress. Full progress does not tell for how long a run goes on: some do so for seconds.
  if (state !== MemberState.Running || attempt.unit.spec.isService || progressPercent >= 100) return Infinity
  if (firstProgress === undefined) return Infinity
  const first = getFirstPoint(member)
  const msPerPercent = first === undefined ? getRunMs(member) / 100 : (progressedAtMs - first.atMs) / (progressPercent - first.percent)
  return progressedAtMs + (100 - progressPercent) * msPerPercent
}

/** An earlier point of the progress from which the pace can be told. */
function getFirstPoint ({ startedAtMs, firstProgress, progressPercent, attempt }: EstimatedMember): { readonly percent: number, readonly atMs: number } | undefined {
  if (firstProgress !== undefined && progressPercent - firstProgress.percent >= minMeasuredPercent) return firstProgress
  // A run with a checkpoint may have resumed from it.
  const isFromStart = startedAtMs !== undefined && attempt.unit.checkpoint === '' && progressPercent >= minMeasuredPercent
  return isFromStart ? { percent: 0, atMs: startedAtMs } : undefined
}
