/**
 * The endpoints and their slots, as one host sees them. Hosts share the slots without coordination: each keeps a concurrency
 * limit per endpoint, which shrinks when the endpoint rejects a request for lack of slots and grows with each answered request.
 */
import type { ListedHost } from '../membership/hostList.js'
import type { Random } from '../common/random.js'
import { createEjection, ProbeResult } from './ejection.js'
import { adaptiveSharing } from './slotSharing.js'
import type { SlotSharing } from './slotSharing.js'

/** A slot of an endpoint, reserved for one request. */
export interface Slot {
  readonly endpointId: string
  readonly address: string
  readonly distance: Distance
  /** Returns the slot and records the outcome of the request. */
  release (outcome: SlotOutcome, bytes: number): void
}

/** Network distance between this host and an endpoint: same failure domain, same region, or another region. */
export enum Distance {
  Domain = 0,
  Region = 1,
  Far = 2
}

/** Outcome of a request at an endpoint. */
export enum SlotOutcome {
  Answered = 'answered',
  /** The endpoint answered with a server error (5xx) or did not answer completely. */
  Failed = 'failed',
  /** The endpoint rejected the request because all of its slots were in use. */
  Full = 'full',
  /** The endpoint is shutting down. */
  Leaving = 'leaving',
  /** The caller closed the connection; this gives no information about the endpoint. */
  Abandoned = 'abandoned'
}

/** Dependencies of the pool. */
export interface EndpointPoolHost {
  readonly domain: string
  readonly region: string
  readonly random: Random
  readonly getEndpoints: () => readonly ListedHost[]
  /** True when a rule drains the endpoint or a peer reports that it is leaving. */
  readonly isDraining: (endpoint: ListedHost) => boolean
  readonly getFarBytesPerSecond: () => number
  readonly onEndpointLeaving: (endpointId: string) => void
}

/** The pool of endpoints and their slots. */
export interface EndpointPool {
  /** Reserves a slot at the nearest distance that has a free one, skipping the endpoints in `tried`. */
  tryTake (service: string, tried: ReadonlySet<string>): Slot | undefined
  /** Number of endpoints of the service that are neither leaving nor ejected, whether or not they have a free slot. */
  countUsable (service: string): number
  /** Number of slots of the service that this host may use concurrently. */
  countSlots (service: string): number
  getInFlight (): number
  getStatus (): readonly EndpointStatus[]
  /** Endpoints that have announced to this host that they are leaving. */
  getLeavingEndpoints (): readonly string[]
}

/** An endpoint as this host sees it. */
export interface EndpointStatus {
  readonly endpointId: string
  readonly state: 'usable' | 'ejected' | 'leaving'
  readonly inFlight: number
  readonly limit: number
}

const defaultSlots = 8
const fullBackoffMs = 5
const leavingRetentionMs = 60_000
const farBurstSeconds = 2

interface Endpoint {
  readonly listed: ListedHost
  inFlight: number
  /** Concurrency limit of this host: grows by a fraction of a slot with each answer and is cut by a rejection. */
  limit: number
  fullUntilMs: number
}

/** Creates the pool of a host. */
export function createEndpointPool (host: EndpointPoolHost, sharing: SlotSharing = adaptiveSharing): EndpointPool {
  const endpoints = new Map<string, Endpoint>()
  const leavingSinceMs = new Map<string, number>()
  const ejection = createEjection(() => endpoints.size)
  let lastListed: readonly ListedHost[] = []
  let inFlight = 0
  let farTokens = 0
  let farRefilledAtMs = 0

  return { tryTake, countUsable, countSlots, getInFlight: () => inFlight, getStatus, getLeavingEndpoints }

  function tryTake (service: string, tried: ReadonlySet<string>): Slot | undefined {
    const candidates = getActive(service).filter(endpoint => !tried.has(endpoint.listed.id))
    const probe = candidates.find(endpoint => ejection.isEjected(endpoint.listed.id) && ejection.tryTakeProbe(endpoint.listed.id))
    if (probe !== undefined) return take(probe, true)
    const available = candidates.filter(hasFreeSlot)
    for (const distance of [Distance.Domain, Distance.Region, Distance.Far]) {
      if (distance === Distance.Far && !hasFarBudget()) return undefined
      const atDistance = available.filter(endpoint => getDistance(endpoint) === distance)
      const chosen = pickLessLoadedOfTwo(atDistance)
      if (chosen !== undefined) return take(chosen, false)
    }
    return undefined
  }

  function take (endpoint: Endpoint, isProbe: boolean): Slot {
    const { id, address } = endpoint.listed
    endpoint.inFlight++
    inFlight++
    let isReleased = false
    const distance = getDistance(endpoint)
    return {
      endpointId: id,
      address,
      distance,
      release: (outcome, bytes) => {
        if (isReleased) return
        isReleased = true
        endpoint.inFlight--
        inFlight--
        if (distance === Distance.Far) farTokens -= bytes
        if (isProbe) ejection.finishProbe(id, getProbeResult(outcome))
        recordOutcome(endpoint, outcome, isProbe)
      }
    }
  }

  function recordOutcome (endpoint: Endpoint, outcome: SlotOutcome, isProbe: boolean): void {
    const { id, slots = defaultSlots } = endpoint.listed
    switch (outcome) {
      case SlotOutcome.Answered:
        endpoint.limit = sharing.grow(endpoint.limit, slots)
        if (!isProbe) ejection.recordOutcome(id, false)
        return
      case SlotOutcome.Failed:
        if (!isProbe) ejection.recordOutcome(id, true)
        return
      case SlotOutcome.Full:
        endpoint.limit = sharing.shrink(endpoint.limit, endpoint.inFlight)
        endpoint.fullUntilMs = Date.now() + fullBackoffMs
        return
      case SlotOutcome.Leaving:
        if (!leavingSinceMs.has(id)) host.onEndpointLeaving(id)
        leavingSinceMs.set(id, Date.now())
        break
      default:
    }
  }

  /** Power of two choices: picks two endpoints at random and returns the less loaded one. */
  function pickLessLoadedOfTwo (candidates: readonly Endpoint[]): Endpoint | undefined {
    const first = candidates[Math.floor(host.random() * candidates.length)]
    const second = candidates[Math.floor(host.random() * candidates.length)]
    if (first === undefined || second === undefined) return undefined
    return getLoad(first) <= getLoad(second) ? first : second
  }

  function hasFreeSlot (endpoint: Endpoint): boolean {
    if (ejection.isEjected(endpoint.listed.id) || endpoint.fullUntilMs > Date.now()) return false
    return endpoint.inFlight < Math.max(1, Math.floor(endpoint.limit))
  }

  function getActive (service: string): Endpoint[] {
    syncEndpoints()
    return [...endpoints.values()].filter(endpoint => (endpoint.listed.service ?? 'default') === service && !isLeaving(endpoint))
  }

  function countUsable (service: string): number {
    return getActive(service).filter(endpoint => !ejection.isEjected(endpoint.listed.id)).length
  }

  function countSlots (service: string): number {
    return getActive(service).reduce((sum, endpoint) => sum + Math.max(1, Math.floor(endpoint.limit)), 0)
  }

  function isLeaving (endpoint: Endpoint): boolean {
    const { listed } = endpoint
    const sinceMs = leavingSinceMs.get(listed.id)
    if (sinceMs !== undefined && Date.now() - sinceMs < leavingRetentionMs) return true
    return listed.isLeaving || host.isDraining(listed)
  }

  function syncEndpoints (): void {
    const listed = host.getEndpoints()
    if (listed === lastListed) return
    lastListed = listed
    const ids = new Set(listed.map(item => item.id))
    for (const id of endpoints.keys()) if (!ids.has(id)) endpoints.delete(id)
    ejection.retain(ids)
    for (const item of listed) {
      const known = endpoints.get(item.id)
      const slots = item.slots ?? defaultSlots
      endpoints.set(item.id, known !== undefined && known.listed.address === item.address
        ? Object.assign(known, { listed: item })
        : { listed: item, inFlight: 0, limit: sharing.getInitialLimit(slots), fullUntilMs: 0 })
    }
  }

  /** Traffic to other regions is billed by volume; beyond the budget, requests stay in the own region or wait. */
  function hasFarBudget (): boolean {
    const nowMs = Date.now()
    const rate = host.getFarBytesPerSecond()
    const burst = rate * farBurstSeconds
    farTokens = farRefilledAtMs === 0 ? burst : Math.min(burst, farTokens + rate * (nowMs - farRefilledAtMs) / 1_000)
    farRefilledAtMs = nowMs
    return farTokens > 0
  }

  function getDistance (endpoint: Endpoint): Distance {
    if (endpoint.listed.domain === host.domain) return Distance.Domain
    return endpoint.listed.region === host.region ? Distance.Region : Distance.Far
  }

  function getStatus (): readonly EndpointStatus[] {
    syncEndpoints()
    return [...endpoints.values()].map(endpoint => {
      const state = isLeaving(endpoint) ? 'leaving' : ejection.isEjected(endpoint.listed.id) ? 'ejected' : 'usable'
      return { endpointId: endpoint.listed.id, state, inFlight: endpoint.inFlight, limit: Math.floor(endpoint.limit) }
    })
  }

  function getLeavingEndpoints (): readonly string[] {
    return [...leavingSinceMs].filter(([, sinceMs]) => Date.now() - sinceMs < leavingRetentionMs).map(([id]) => id)
  }
}

function getProbeResult (outcome: SlotOutcome): ProbeResult {
  switch (outcome) {
    case SlotOutcome.Answered:
      return ProbeResult.Succeeded
    case SlotOutcome.Failed:
      return ProbeResult.Failed
    default:
      return ProbeResult.Inconclusive
  }
}

function getLoad (endpoint: Endpoint): number {
  return endpoint.inFlight / Math.max(1, endpoint.limit)
}
