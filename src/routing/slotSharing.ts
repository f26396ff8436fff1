/** How hosts that do not talk to each other share the slots of an endpoint: a limit a host, learned from refusals. */

/** Changes a host's limit of requests in flight at one endpoint. */
export interface SlotSharing {
  getFirst (slots: number): number
  /** The endpoint took the request and answered. */
  grow (limit: number, slots: number): number
  /** The endpoint refused: all of its slots were taken. */
  shrink (limit: number, inFlight: number): number
}

const decrease = 0.7

/** Additive increase and multiplicative decrease: hosts with more load get more slots, and refusals stay few. */
export const adaptiveSharing: SlotSharing = {
  getFirst: slots => slots,
  grow: (limit, slots) => Math.min(slots, limit + 1 / limit),
  shrink: (limit, inFlight) => Math.max(1, Math.min(limit, inFlight + 1) * decrease)
}

/** Every host may use all slots; the endpoint refuses what is too much. */
export const greedySharing: SlotSharing = {
  getFirst: slots => slots,
  grow: limit => limit,
  shrink: limit => limit
}

/** Every host has an equal share of the slots. */
export function createEqualSharing (hostCount: number): SlotSharing {
  return {
    getFirst: slots => Math.max(1, Math.floor(slots / hostCount)),
    grow: limit => limit,
    shrink: limit => limit
  }
}
