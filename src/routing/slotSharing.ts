/** Policies by which hosts share the slots of an endpoint without coordination: each host limits its own concurrency. */

/** Adjusts the limit of requests that one host has in flight at one endpoint. */
export interface SlotSharing {
  getInitialLimit (slots: number): number
  /** New limit after the endpoint answered a request. */
  grow (limit: number, slots: number): number
  /** New limit after the endpoint rejected a request because all of its slots were in use. */
  shrink (limit: number, inFlight: number): number
}

const decreaseFactor = 0.7

/** Additive increase, multiplicative decrease (AIMD): hosts with more load get more slots, and rejections stay rare. */
export const adaptiveSharing: SlotSharing = {
  getInitialLimit: slots => slots,
  grow: (limit, slots) => Math.min(slots, limit + 1 / limit),
  shrink: (limit, inFlight) => Math.max(1, Math.min(limit, inFlight + 1) * decreaseFactor)
}

/** Every host may use all slots; the endpoint rejects requests beyond its capacity. */
export const greedySharing: SlotSharing = {
  getInitialLimit: slots => slots,
  grow: limit => limit,
  shrink: limit => limit
}

/** Gives every host an equal, fixed share of the slots. */
export function createEqualSharing (hostCount: number): SlotSharing {
  return {
    getInitialLimit: slots => Math.max(1, Math.floor(slots / hostCount)),
    grow: limit => limit,
    shrink: limit => limit
  }
}
