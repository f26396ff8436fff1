/** The operators' configuration: queues and organisations. */

/** A queue: where callers submit jobs, and how its jobs are scheduled. */
export interface QueueSettings {
  readonly name: string
  /** In lower case, as are the host names of requests when they are compared. */
  readonly hostName: string
  readonly pathPrefix: string
  readonly service: string
  /** Smaller numbers are scheduled first; 0 is urgent and may preempt others. */
  readonly priority: number
  /** Number of failed runs of one task after which its job fails. */
  readonly attempts: number
  /** Objective for a job's completion time: this factor times its critical path, plus `objectiveMs`. */
  readonly objectiveFactor: number
  readonly objectiveMs: number
  /** How long a caller without a time-out of its own waits for a response, in ms. */
  readonly timeoutMs: number
  /** Callers need no API key. */
  readonly isPublic: boolean
  /** If set, the advice service decides which workers may run a step. */
  readonly advice?: AdviceSettings
}

/** Response time of the advice service (a base time plus a time per worker), and the validity period of its tickets. */
export interface AdviceSettings {
  readonly decideMs: number
  readonly perWorkerMs: number
  readonly validMs: number
}

/** An organisation, its API keys and its guaranteed accelerators. */
export interface OrganisationSettings {
  readonly name: string
  readonly keys: readonly string[]
  /** Number of accelerators that are always available to its jobs of priority 0. */
  readonly guaranteedAccelerators: number
}

/** Limits on the requests of callers. */
export interface CallerLimits {
  readonly maxBodyBytes: number
}

/** One version of the operators' configuration. */
export interface Configuration {
  readonly version: number
  readonly queues: readonly QueueSettings[]
  readonly organisations: readonly OrganisationSettings[]
  readonly limits: CallerLimits
  /** Entries that cannot be decoded, if there are any. */
  readonly undecoded?: UndecodedEntries
}

/** Entries of a version that this program cannot decode. What they decide is unknown here; another host may be able to tell. */
export interface UndecodedEntries {
  readonly queues: readonly UndecodedQueue[]
  readonly organisations: readonly UndecodedOrganisation[]
}

/** A queue that cannot be decoded, with its address if that can be. */
export interface UndecodedQueue {
  readonly address?: Pick<QueueSettings, 'hostName' | 'pathPrefix'>
}

/** An organisation that cannot be decoded, with its keys if those can be. */
export interface UndecodedOrganisation {
  readonly keys?: readonly string[]
}

/** An entry that cannot be decoded, and the type that it must have. */
export interface ConfigurationIssue {
  readonly path: readonly (string | number)[]
  readonly expected: string
}

/** What could be decoded of a stored value. */
export interface DecodedConfiguration {
  /** Undefined if the value as a whole cannot be decoded. */
  readonly configuration?: Configuration
  /** Undefined if not even the version can be decoded. */
  readonly version?: number
  readonly issues: readonly ConfigurationIssue[]
}

/** The response to a caller is due this long before its time-out expires. */
export const answerMarginMs = 250

/** Finds the queue of a request by its host name and the longest matching path prefix. */
export function findQueue (configuration: Configuration, hostName: string, path: string): QueueSettings | undefined {
  let best: QueueSettings | undefined
  for (const queue of configuration.queues) {
    const isMatch = queue.hostName === hostName && path.startsWith(queue.pathPrefix)
    if (isMatch && queue.pathPrefix.length > (best?.pathPrefix.length ?? -1)) best = queue
  }
  return best
}

/** Tells whether a queue that cannot be decoded may be the one of a request, instead of `found`. */
export function mayBeUndecodedQueue ({ undecoded }: Configuration, hostName: string, path: string, found: QueueSettings | undefined): boolean {
  return undecoded?.queues.some(({ address }) => address === undefined
    ? found === undefined
    : address.hostName === hostName && path.startsWith(address.pathPrefix) && address.pathPrefix.length > (found?.pathPrefix.length ?? -1)) === true
}

/** Tells whether an API key that no decoded organisation has may belong to one that cannot be decoded. */
export function mayBeUndecodedKey ({ undecoded }: Configuration, key: string): boolean {
  return undecoded?.organisations.some(({ keys }) => keys === undefined || keys.includes(key)) === true
}

/** Finds the organisation that an API key belongs to. */
export function findOrganisation (configuration: Configuration, key: string): OrganisationSettings | undefined {
  return configuration.organisations.find(organisation => organisation.keys.includes(key))
}
