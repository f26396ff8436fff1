/** Finds the urgent jobs whose organisation is within its guarantee; other work is preempted for them. Does no I/O. */
import type { OrganisationSettings } from '../configuration/configuration.js'
import { isTerminal } from '../jobs/jobModel.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import type { GetQueue } from './unitOrder.js'

/** What an unfinished urgent job needs of its organisation's guarantee. */
export interface GuaranteeClaim {
  readonly isGuaranteed: boolean
  readonly guaranteedAccelerators: number
  readonly ownAccelerators: number
  /** Needed by the organisation's unfinished urgent jobs that were accepted before it, and after it. */
  readonly earlierAccelerators: number
  readonly laterAccelerators: number
}

/** The claims of all unfinished urgent jobs of organisations that have a guarantee. */
export function getGuaranteeClaims (jobs: Iterable<TrackedJob>, organisations: readonly OrganisationSettings[], getQueue: GetQueue): ReadonlyMap<TrackedJob, GuaranteeClaim> {
  const guarantees = new Map(organisations.filter(({ guaranteedAccelerators }) => guaranteedAccelerators > 0).map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]))
  const jobsByOrganisation = new Map<string, TrackedJob[]>()
  for (const job of jobs) {
    const { organisation } = job.spec
    if (!guarantees.has(organisation) || isTerminal(job.state) || job.isCancelRequested || getQueue(job)?.priority !== 0) continue
    const others = jobsByOrganisation.get(organisation)
    if (others === undefined) jobsByOrganisation.set(organisation, [job])
    else others.push(job)
  }
  const claims = new Map<TrackedJob, GuaranteeClaim>()
  for (const [organisation, urgentJobs] of jobsByOrganisation) addClaims(claims, urgentJobs, guarantees.get(organisation) ?? 0)
  return claims
}

function addClaims (claims: Map<TrackedJob, GuaranteeClaim>, urgentJobs: readonly TrackedJob[], guaranteedAccelerators: number): void {
  const total = urgentJobs.reduce((sum, job) => sum + getNeededAccelerators(job), 0)
  let earlierAccelerators = 0
  for (const job of [...urgentJobs].sort(compareAcceptance)) {
    const ownAccelerators = getNeededAccelerators(job)
    const laterAccelerators = total - earlierAccelerators - ownAccelerators
    claims.set(job, { isGuaranteed: total <= guaranteedAccelerators, guaranteedAccelerators, ownAccelerators, earlierAccelerators, laterAccelerators })
    earlierAccelerators += ownAccelerators
  }
}

function compareAcceptance (left: TrackedJob, right: TrackedJob): number {
  return left.acceptedAtMs - right.acceptedAtMs || (left.spec.jobId < right.spec.jobId ? -1 : 1)
}

/** The accelerators of the job's largest step: a step reuses what the steps before it have released. */
function getNeededAccelerators ({ spec }: TrackedJob): number {
  return Math.max(0, ...spec.steps.map(step => step.count * step.request.accelerators))
}
