/**
 * Bounds what all clients of a port may hold together: connections, bytes of requests that are being read or wait, and the processing of small
 * chunks. When a bound is reached, the client that holds the most and moves the least is closed. A client whose whole request is being handled is never closed.
 */

/** The most that the clients of one port may hold together. */
export interface ClientLimits {
  readonly maxConnections: number
  /** Bytes of bodies that are being read or handled, and of requests that wait for the answers ahead of them. */
  readonly maxBytes: number
}

/** Why a client was closed or turned away. */
export enum RefusalCause {
  /** The port has its most connections. */
  Connections = 'connections',
  /** The bodies and waiting requests of all clients take their most memory. */
  Bytes = 'bytes',
  /** Too many requests were sent ahead on one connection. */
  SentAhead = 'sent-ahead',
  /** Bodies in very small chunks take too much processor time. */
  SmallChunks = 'small-chunks',
  /** A body or the reading of an answer made no progress. */
  Stalled = 'stalled',
  /** A body was sent to a port that takes none. */
  Body = 'body'
}

export interface ClientBudgetHost {
  readonly limits: ClientLimits
  readonly onRefused: (cause: RefusalCause) => void
}

/** How the budget sees a connection. */
export interface ClientConnection {
  /** Whether a whole request is being handled, so that closing the connection would hide whether it has run. */
  isHandling (): boolean
  close (): void
}

/** One open connection. */
export interface BudgetedClient {
  /** Records that the client has moved: a part of a body arrived, or an answer was written out. */
  noteProgress (): void
  /** Records that a request was answered. */
  noteServed (): void
  /** The time since the client has last moved, in ms. */
  getStalledMs (): number
  /** Changes by how much memory the client holds; false, and nothing changes, if there is no room. */
  tryHold (bytes: number): boolean
  /** Closes the connection. */
  refuse (cause: RefusalCause): void
  /** Forgets the connection, which has ended. */
  remove (): void
}

/** The budget of one port. */
export interface ClientBudget {
  /** Admits a connection, closing another one if there are too many; undefined if the new one has to be closed. */
  tryAdd (connection: ClientConnection): BudgetedClient | undefined
  /** Counts small chunks. Returns for how long the client must not be read, in ms; undefined if it has to be refused. */
  tryTakeSmallChunks (count: number): number | undefined
  countConnections (): number
  getHeldBytes (): number
}

interface Entry {
  readonly connection: ClientConnection
  heldBytes: number
  movedAtMs: number
  wasServed: boolean
}

/** Memory of a connection apart from bodies: 64 KB that have been received and not read, and the 16 KB of a head. */
export const connectionBytes = 80 * 1_024
/** A connection that has had no request answered is closed in place of one that has been idle this many times as long: 2 s against the 60 s of a kept connection. */
const unservedWeight = 30
/** When the bytes reach their bound, connections are closed until this share of it is in use, so that not every chunk closes one. */
const relievedShare = 7 / 8
/** Small chunks that are processed without a pause: a body of 262,144 bytes in chunks of one byte. At 1 to 2 us each, they take about half a second. */
const smallChunkBurst = 262_144
/** A read of a connection is processed whole, so several connections may exceed the burst within one turn: by this much, six reads of up to 11,000 chunks. */
const maxSmallChunkDebt = 65_536
/** Small chunks processed per second after that, in all connections together: about a tenth of a core. */
const smallChunksPerS = 50_000

/** Creates the budget of one port. */
export function createClientBudget ({ limits, onRefused }: ClientBudgetHost): ClientBudget {
  const entries = new Set<Entry>()
  let heldBytes = 0
  let chunkTokens = smallChunkBurst
  let chunksRefilledAtMs = performance.now()
  return { tryAdd, tryTakeSmallChunks, countConnections: () => entries.size, getHeldBytes: () => heldBytes }

  function tryAdd (connection: ClientConnection): BudgetedClient | undefined {
    if (entries.size >= limits.maxConnections && !closeOne(RefusalCause.Connections, () => true)) {
      onRefused(RefusalCause.Connections)
      return undefined
    }
    const entry: Entry = { connection, heldBytes: 0, movedAtMs: performance.now(), wasServed: false }
    entries.add(entry)
    return {
      noteProgress: () => { entry.movedAtMs = performance.now() },
      noteServed: () => {
        entry.movedAtMs = performance.now()
        entry.wasServed = true
      },
      getStalledMs: () => performance.now() - entry.movedAtMs,
      tryHold: bytes => tryHold(entry, bytes),
      refuse: cause => { refuse(entry, cause) },
      remove: () => { remove(entry) }
    }
  }

  function tryHold (entry: Entry, bytes: number): boolean {
    if (!entries.has(entry)) return false
    if (bytes > 0 && heldBytes + bytes > limits.maxBytes) {
      while (heldBytes + bytes > limits.maxBytes * relievedShare && closeOne(RefusalCause.Bytes, other => other !== entry && other.heldBytes > 0));
      if (heldBytes + bytes > limits.maxBytes) return false
    }
    heldBytes += bytes
    entry.heldBytes += bytes
    return true
  }

  /** Closes the connection that holds the most and moves the least; the oldest of equals. */
  function closeOne (cause: RefusalCause, isCandidate: (entry: Entry) => boolean): boolean {
    const nowMs = performance.now()
    let chosen: Entry | undefined
    let chosenWeight = -Infinity
    for (const entry of entries) {
      if (!isCandidate(entry) || entry.connection.isHandling()) continue
      const weight = (connectionBytes + entry.heldBytes) * (1 + nowMs - entry.movedAtMs) * (entry.wasServed ? 1 : unservedWeight)
      if (weight <= chosenWeight) continue
      chosen = entry
      chosenWeight = weight
    }
    if (chosen === undefined) return false
    refuse(chosen, cause)
    return true
  }

  function refuse (entry: Entry, cause: RefusalCause): void {
    if (!entries.has(entry)) return
    remove(entry)
    onRefused(cause)
    entry.connection.close()
  }

  function remove (entry: Entry): void {
    if (!entries.delete(entry)) return
    heldBytes -= entry.heldBytes
  }

  function tryTakeSmallChunks (count: number): number | undefined {
    const nowMs = performance.now()
    chunkTokens = Math.min(smallChunkBurst, chunkTokens + (nowMs - chunksRefilledAtMs) * smallChunksPerS / 1_000)
    chunksRefilledAtMs = nowMs
    if (chunkTokens < -maxSmallChunkDebt) return undefined
    chunkTokens -= count
    return chunkTokens >= 0 ? 0 : -chunkTokens * 1_000 / smallChunksPerS
  }
}
