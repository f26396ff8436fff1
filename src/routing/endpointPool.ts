/**
 * The endpoints and their slots, as one host sees them. Hosts share the slots without talking: each keeps
 * a limit an endpoint that shrinks when the endpoint refuses and grows while it does not.
 */
import type { ListedHost } from '../membership/hostList.js'
import type { Random } from '../common/random.js'
import { createEjection } from './ejection.js'
import { adaptiveSharing } from './slotSharing.js'
import type { SlotSharing } from './slotSharing.js'

/** A slot of an endpoint, taken for one request. */
export interface Slot {
  readonly endpointId: string
  readonly address: string
  readonly distance: Distance
  /** Gives the slot back with what became of the request. */
  finish (outcome: SlotOutcome, bytes: number): void
}

/** How far an endpoint is from this host. */
export enum Distance {
  Domain = 0,
  Region = 1,
  Far = 2
}

/** What became of a request at an endpoint. */
export enum SlotOutcome {
  Answered = 'answered',
  /** The endpoint answered with a fault of its own, or not at all. */
  Failed = 'failed',
  /** All of its slots were taken. */
  Full = 'full',
  /** It is shutting down and took no new work. */
  Leaving = 'leaving',
  /** The caller gave up; this says nothing about the endpoint. */
  Abandoned = 'abandoned'
}

/** What the pool needs from outside. */
export interface EndpointPoolHost {
  readonly domain: string
  readonly region: string
  readonly random: Random
  readonly getEndpoints: () => readonly ListedHost[]
  /** Drained by a rule, or by a peer's report. */
  readonly isDraining: (endpoint: ListedHost) => boolean
  readonly getFarBytesPerSecond: () => number
  readonly onLeaving: (endpointId: string) => void
}

/** The endpoints and their slots. */
export interface EndpointPool {
  /** Takes a slot of the nearest endpoints that have one, without those that were tried. */
  tryTake (service: string, tried: ReadonlySet<string>): Slot | undefined
  /** Number of endpoints that could serve the service now or after a wait. */
  countUsable (service: string): number
  /** Slots that this host could use at once. */
  countSlots (service: string): number
  getInFlight (): number
  getStatus (): readonly EndpointStatus[]
  /** Endpoints that have told this host that they leave. */
  getLeaving (): readonly string[]
}

/** An endpoint as this host sees it. */
export interface EndpointStatus {
  readonly endpointId: string
  readonly state: 'usable' | 'ejected' | 'leaving'
  readonly inFlight: number
  readonly limit: number
}

const defaultSlots = 8
const fullPauseMs = 5
const leavingMemoryMs = 60_000
const budgetBurstSeconds = 2

interface Endpoint {
  readonly listed: ListedHost
  inFlight: number
  /** Grows by a part of a slot with each answer; a refusal cuts it. */
  limit: number
  fullUntilMs: number
}

/** Creates the pool of a host. */
export function createEndpointPool (host: EndpointPoolHost, sharing: SlotSharing = adaptiveSharing): EndpointPool {
  const endpoints = new Map<string, Endpoint>()
  const leavingSinceMs = new Map<string, number>()
  const ejection = createEjection(() => endpoints.size)
  let seen: readonly ListedHost[] = []
  let inFlight = 0
  let farTokens = 0
  let farRefilledAtMs = 0

  return { tryTake, countUsable, countSlots, getInFlight: () => inFlight, getStatus, getLeaving }

  function tryTake (service: string, tried: ReadonlySet<string>): Slot | undefined {
    const candidates = getServing(service).filter(endpoint => !tried.has(endpoint.listed.id))
    const probe = candidates.find(endpoint => ejection.isEjected(endpoint.listed.id) && ejection.tryTakeProbe(endpoint.listed.id))
    if (probe !== undefined) return take(probe)
    const open = candidates.filter(hasFreeSlot)
    for (const distance of [Distance.Domain, Distance.Region, Distance.Far]) {
      if (distance === Distance.Far && !hasFarBudget()) return undefined
      const near = open.filter(endpoint => getDistance(endpoint) === distance)
      const chosen = chooseOfTwo(near)
      if (chosen !== undefined) return take(chosen)
    }
    return undefined
  }

  function take (endpoint: Endpoint): Slot {
    const { id, address } = endpoint.listed
    endpoint.inFlight++
    inFlight++
    let isFinished = false
    const distance = getDistance(endpoint)
    return {
      endpointId: id,
      address,
      distance,
      finish: (outcome, bytes) => {
        if (isFinished) return
        isFinished = true
        endpoint.inFlight--
        inFlight--
        if (distance === Distance.Far) farTokens -= bytes
        noteOutcome(endpoint, outcome)
      }
    }
  }

  function noteOutcome (endpoint: Endpoint, outcome: SlotOutcome): void {
    const { id, slots = defaultSlots } = endpoint.listed
    switch (outcome) {
      case SlotOutcome.Answered:
        endpoint.limit = sharing.grow(endpoint.limit, slots)
        ejection.noteOutcome(id, false)
        return
      case SlotOutcome.Failed:
        ejection.noteOutcome(id, true)
        return
      case SlotOutcome.Full:
        endpoint.limit = sharing.shrink(endpoint.limit, endpoint.inFlight)
        endpoint.fullUntilMs = Date.now() + fullPauseMs
        return
      case SlotOutcome.Leaving:
        if (!leavingSinceMs.has(id)) host.onLeaving(id)
        leavingSinceMs.set(id, Date.now())
        break
      default:
    }
  }

  /** The less loaded of two endpoints at random. */
  function chooseOfTwo (near: readonly Endpoint[]): Endpoint | undefined {
    const first = near[Math.floor(host.random() * near.length)]
    const second = near[Math.floor(host.random() * near.length)]
    if (first === undefined || second === undefined) return undefined
    return getLoad(first) <= getLoad(second) ? first : second
  }

  function hasFreeSlot (endpoint: Endpoint): boolean {
    if (ejection.isEjected(endpoint.listed.id) || endpoint.fullUntilMs > Date.now()) return false
    return endpoint.inFlight < Math.max(1, Math.floor(endpoint.limit))
  }

  function getServing (service: string): Endpoint[] {
    syncList()
    return [...endpoints.values()].filter(endpoint => (endpoint.listed.service ?? 'default') === service && !isLeaving(endpoint))
  }

  function countUsable (service: string): number {
    return getServing(service).filter(endpoint => !ejection.isEjected(endpoint.listed.id)).length
  }

  function countSlots (service: string): number {
    return getServing(service).reduce((sum, endpoint) => sum + Math.max(1, Math.floor(endpoint.limit)), 0)
  }

  function isLeaving (endpoint: Endpoint): boolean {
    const { listed } = endpoint
    const sinceMs = leavingSinceMs.get(listed.id)
    if (sinceMs !== undefined && Date.now() - sinceMs < leavingMemoryMs) return true
    return listed.isLeaving || host.isDraining(listed)
  }

  function syncList (): void {
    const listed = host.getEndpoints()
    if (listed === seen) return
    seen = listed
    const ids = new Set(listed.map(item => item.id))
    for (const id of endpoints.keys()) if (!ids.has(id)) endpoints.delete(id)
    for (const item of listed) {
      const known = endpoints.get(item.id)
      const slots = item.slots ?? defaultSlots
      endpoints.set(item.id, known !== undefined && known.listed.address === item.address
        ? Object.assign(known, { listed: item })
        : { listed: item, inFlight: 0, limit: sharing.getFirst(slots), fullUntilMs: 0 })
    }
  }

  /** Traffic to other regions is billed by volume; requests beyond the budget stay near or wait. */
  function hasFarBudget (): boolean {
    const nowMs = Date.now()
    const rate = host.getFarBytesPerSecond()
    const burst = rate * budgetBurstSeconds
    farTokens = farRefilledAtMs === 0 ? burst : Math.min(burst, farTokens + rate * (nowMs - farRefilledAtMs) / 1_000)
    farRefilledAtMs = nowMs
    return farTokens > 0
  }

  function getDistance (endpoint: Endpoint): Distance {
    if (endpoint.listed.domain === host.domain) return Distance.Domain
    return endpoint.listed.region === host.region ? Distance.Region : Distance.Far
  }

  function getStatus (): readonly EndpointStatus[] {
    syncList()
    return [...endpoints.values()].map(endpoint => {
      const state = isLeaving(endpoint) ? 'leaving' : ejection.isEjected(endpoint.listed.id) ? 'ejected' : 'usable'
      return { endpointId: endpoint.listed.id, state, inFlight: endpoint.inFlight, limit: Math.floor(endpoint.limit) }
    })
  }

  function getLeaving (): readonly string[] {
    return [...leavingSinceMs].filter(([, sinceMs]) => Date.now() - sinceMs < leavingMemoryMs).map(([id]) => id)
  }
}

function getLoad (endpoint: Endpoint): number {
  return endpoint.inFlight / Math.max(1, endpoint.limit)
}
