/** Queues, organisations and pools as the operators configure them. */

/** A queue: where callers hand jobs in, and how its jobs are treated. */
export interface QueueSettings {
  readonly name: string
  readonly hostName: string
  readonly pathPrefix: string
  readonly service: string
  /** 0 comes first and may preempt others. */
  readonly priority: number
  /** How many runs of a task may fail before its job has failed. */
  readonly attempts: number
  /** The objective is this many times the job's longest chain of work, and `objectiveMs` more. */
  readonly objectiveFactor: number
  readonly objectiveMs: number
  readonly timeoutMs: number
  /** No key is asked for. */
  readonly isPublic: boolean
  /** Only the advice service knows which workers may run a step. */
  readonly advice?: AdviceSettings
}

/** How long the advice service takes, and how long its tickets are valid. */
export interface AdviceSettings {
  readonly decideMs: number
  readonly perWorkerMs: number
  readonly validMs: number
}

/** An organisation, its keys and its guarantee. */
export interface OrganisationSettings {
  readonly name: string
  readonly keys: readonly string[]
  /** Accelerators that belong to its jobs of priority 0 at all times. */
  readonly guaranteedAccelerators: number
}

/** A pool of workers. */
export interface PoolSettings {
  readonly name: string
  readonly healthPath: string
  readonly maxConnections: number
  /** The workers reject what does not fit. */
  readonly hasAdmissionCheck: boolean
  readonly isStandby: boolean
}

/** Limits for what callers send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One version of the operators' configuration. */
export interface Configuration {
  readonly version: number
  readonly queues: readonly QueueSettings[]
  readonly pools: readonly PoolSettings[]
  readonly organisations: readonly OrganisationSettings[]
  readonly limits: CallerLimits
}

/** Finds the queue of a call by host name and the longest prefix of its path. */
export function findQueue (configuration: Configuration, hostName: string, path: string): QueueSettings | undefined {
  let best: QueueSettings | undefined
  for (const queue of configuration.queues) {
    const isMatch = queue.hostName === hostName && path.startsWith(queue.pathPrefix)
    if (isMatch && queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)) best = queue
  }
  return best
}

/** Finds the organisation that a key belongs to. */
export function findOrganisation (configuration: Configuration, key: string): OrganisationSettings | undefined {
  return configuration.organisations.find(organisation => organisation.keys.includes(key))
}
