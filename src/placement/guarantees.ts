/** Finds the organisations that request no more than their guarantee; other work is preempted for their urgent jobs. Does no I/O. */
import type { OrganisationSettings } from '../configuration/configuration.js'
import { isTerminal } from '../jobs/jobModel.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import type { GetQueue } from './unitOrder.js'

/** The organisations whose unfinished urgent jobs together need no more accelerators than guaranteed. */
export function getOrganisationsWithinGuarantee (jobs: Iterable<TrackedJob>, organisations: readonly OrganisationSettings[], getQueue: GetQueue): ReadonlySet<string> {
  const needed = new Map<string, number>()
  for (const job of jobs) {
    if (isTerminal(job.state) || job.isCancelRequested || getQueue(job)?.priority !== 0) continue
    const { organisation } = job.spec
    needed.set(organisation, (needed.get(organisation) ?? 0) + getNeededAccelerators(job))
  }
  const within = organisations.filter(({ name, guaranteedAccelerators }) => guaranteedAccelerators > 0 && (needed.get(name) ?? 0) <= guaranteedAccelerators)
  return new Set(within.map(({ name }) => name))
}

/** The accelerators of the job's largest step: a step reuses what the steps before it have released. */
function getNeededAccelerators ({ spec }: TrackedJob): number {
  return Math.max(0, ...spec.steps.map(step => step.count * step.request.accelerators))
}
