/** Refuses submissions of one host by the published backlog. */
import type { Logger } from '../common/logger.js'
import type { Configuration, QueueSettings } from '../configuration/configuration.js'
import type { JobSpec } from '../jobs/jobModel.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { decideAdmission, getRetryAfterS, isRefusable } from './admissionDecision.js'
import type { Refusal } from './admissionDecision.js'
import { createBacklogReader } from './backlogReader.js'

/** Dependencies of the admission control. */
export interface AdmissionControlHost {
  readonly store: Pick<MetadataStore, 'get'>
  readonly logger: Logger
  readonly random: () => number
  /** See `AdmissionInput`. */
  readonly margin: number
}

/** A refusal and the delay after which the caller should retry. */
export interface TimedRefusal extends Refusal {
  readonly retryAfterS: number
}

/** The admission control of one host. */
export interface AdmissionControl {
  /**
   * Returns a refusal if the job should be refused. The caller must not refuse an id that may have been accepted before. The deadline is
   * by the monotonic clock, in ms. Never rejects.
   */
  tryRefuse (job: JobSpec, queue: QueueSettings, configuration: Configuration, deadlineMs: number): Promise<TimedRefusal | undefined>
}

/** Creates the admission control of one host. */
export function createAdmissionControl (host: AdmissionControlHost): AdmissionControl {
  const reader = createBacklogReader(host)
  return { tryRefuse }

  async function tryRefuse (job: JobSpec, queue: QueueSettings, configuration: Configuration, deadlineMs: number): Promise<TimedRefusal | undefined> {
    if (!isRefusable(job)) return undefined
    const read = await reader.read(deadlineMs)
    if (read === undefined) return undefined
    const guaranteedAccelerators = configuration.organisations.find(({ name }) => name === job.organisation)?.guaranteedAccelerators ?? 0
    const refusal = decideAdmission({ job, queue, guaranteedAccelerators, ...read, margin: host.margin })
    return refusal === undefined ? undefined : { ...refusal, retryAfterS: getRetryAfterS(refusal, host.random()) }
  }
}
