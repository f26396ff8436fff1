/** The scheduler's copy of the operators' requests to evacuate failure domains. */
import type { Logger } from '../common/logger.js'
import type { MetadataStore, StoredItem } from '../store/metadataStore.js'
import { createPolledPrefix } from '../store/polledPrefix.js'

/** A request to start nothing more in a failure domain. */
export interface EvacuationRequest {
  readonly domain: string
  /** The store revision at which the request was created: a request that was withdrawn and issued again has another one. */
  readonly revision: number
  /** When this scheduler first read the request, by the monotonic clock. */
  readonly seenAtMs: number
}

/** Dependencies of the copy. */
export interface DomainEvacuationsHost {
  readonly store: MetadataStore
  readonly logger: Logger
  /** The key prefix of the requests. */
  readonly prefix: string
  /** Returns the failure domain that an item's key names; undefined if the key is malformed. */
  readonly decodeDomain: (key: string) => string | undefined
  /** Called after each successful read. */
  readonly onRead: () => void
  /** Age up to which work may be started by the copy, in ms. */
  readonly maxAgeMs: number
  /** The store revision at which the term began: an older answer of the store could lack requests that an earlier scheduler has seen. */
  readonly minRevision: number
  readonly signal: AbortSignal
}

/** The requests as this scheduler last read them. */
export interface DomainEvacuations {
  /** The requests in force, by failure domain; empty until the first read has succeeded. */
  getRequests (): ReadonlyMap<string, EvacuationRequest>
  /** False while a request that was issued longer ago than is permitted may be missing from the copy; then nothing may be started. */
  isCurrent (): boolean
  getAgeMs (): number
}

/** Starts polling the requests. */
export function createDomainEvacuations (host: DomainEvacuationsHost): DomainEvacuations {
  let requests: ReadonlyMap<string, EvacuationRequest> = new Map()
  const copy = createPolledPrefix({
    store: host.store,
    logger: host.logger,
    description: 'the list of evacuation requests',
    prefix: host.prefix,
    decode: decodeRequest,
    onRead: () => {
      requests = new Map(copy.get()?.map(request => [request.domain, request]))
      host.onRead()
    },
    maxAgeMs: host.maxAgeMs,
    minRevision: host.minRevision,
    signal: host.signal
  })
  return { getRequests: () => requests, isCurrent: copy.isCurrent, getAgeMs: copy.getAgeMs }

  /** The existence of the key is the request: a value that is not understood must not cause starts in the domain. */
  function decodeRequest ({ key, createdRevision }: StoredItem): EvacuationRequest | undefined {
    const domain = host.decodeDomain(key)
    if (domain === undefined) return undefined
    const known = requests.get(domain)
    return known?.revision === createdRevision ? known : { domain, revision: createdRevision, seenAtMs: performance.now() }
  }
}
