/**
 * The platform's store as a host reaches it: straight, or through a peer while the store turns this host away or is cut off
 * from it. Reads and transactions are relayed; leases are not, since the host that schedules must reach the store itself.
 */
import type { Logger } from '../common/logger.js'
import type { RpcClient } from '../common/rpcCall.js'
import { delay } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { MetadataStore, StoreChange, StoredItem, StorePage, Transaction, TransactionResult } from '../store/metadataStore.js'
import type { KnownHost } from './hostDirectory.js'
import { peerStoreMethods } from './peerStoreMethods.js'

/** What the relay needs from outside. */
export interface RelayedStoreHost {
  readonly direct: MetadataStore
  readonly logger: Logger
  readonly getPeers: () => readonly KnownHost[]
  readonly connect: (address: string) => RpcClient
}

/** The store, and whether the own way to it is open. */
export interface RelayedStore extends MetadataStore {
  /** The last call of the own way failed, a short while ago. */
  isDirectOut (): boolean
}

/** A call that has no answer for so long is made through a peer too, in ms: longer than slow answers between regions take. */
const hedgeMs = 400
/** The own way counts as out for so long after a failure, in ms; every call tries it all the same, so it is found open at once. */
const outMs = 2_500
/** Most peers that one call asks, one after the other. */
const maxPeersAsked = 3
/** A peer's answer is awaited so long, in ms: a round trip between regions and a slow answer of the store. */
const peerTimeoutMs = 400
/** While the own way is out, a watch is a read through a peer so often, in ms. */
const relayedWatchMs = 600

/** Creates the store of one host. */
export function createRelayedStore (host: RelayedStoreHost): RelayedStore {
  const { direct, logger } = host
  let outUntilMs = -Infinity
  /** The peer that answered last is asked first. */
  let lastPeer: string | undefined

  return {
    get: key => call(() => direct.get(key), async peer => (await peer.call<StoredItem | null>(peerStoreMethods.get, { key })) ?? undefined),
    range,
    watch,
    transact: transaction => call(() => direct.transact(transaction), peer => peer.call<TransactionResult>(peerStoreMethods.transact, toParameters(transaction))),
    grantLease: direct.grantLease,
    keepLease: direct.keepLease,
    endLease: direct.endLease,
    isDirectOut
  }

  function isDirectOut (): boolean {
    return performance.now() < outUntilMs
  }

  function range (prefix: string, after?: string): Promise<StorePage> {
    return call(() => direct.range(prefix, after), peer => peer.call<StorePage>(peerStoreMethods.range, { prefix, after }))
  }

  /** Keys that were removed are not seen while the own way is out. */
  async function watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<{ readonly changes: readonly StoreChange[], readonly revision: number }> {
    if (!isDirectOut()) return await callDirect(() => direct.watch(prefix, afterRevision, waitMs, signal))
    await delay(Math.min(waitMs, relayedWatchMs), signal)
    const { items, revision } = await range(prefix)
    return { changes: items.filter(item => item.revision > afterRevision).map(item => ({ key: item.key, item })), revision }
  }

  /** Both ways may be under way at once: every relayed call can be made twice without harm, by its conditions. */
  async function call<T> (callOwn: () => Promise<T>, callPeer: (peer: RpcClient) => Promise<T>): Promise<T> {
    const wasOut = isDirectOut()
    const own = callDirect(callOwn)
    if (!wasOut) {
      const isAnswered = await Promise.race([own.then(() => true, () => false), delay(hedgeMs).then(() => false)])
      if (isAnswered) return await own
    }
    try {
      return await Promise.any([own, callPeers(callPeer)])
    } catch (error) {
      throw chooseError(error)
    }
  }

  async function callDirect<T> (callOwn: () => Promise<T>): Promise<T> {
    try {
      const result = await callOwn()
      if (outUntilMs > -Infinity) logger.info('the store answers this host again')
      outUntilMs = -Infinity
      return result
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.StoreUnavailable, ErrorKind.AnswerLost, ErrorKind.PeerUnreachable)) {
        if (outUntilMs === -Infinity) logger.warn('the store does not answer this host; its peers are asked', { error: String(error), peers: host.getPeers().length })
        outUntilMs = performance.now() + outMs
      }
      throw error
    }
  }

  async function callPeers<T> (callPeer: (peer: RpcClient) => Promise<T>): Promise<T> {
    const peers = host.getPeers().map(({ address }) => address)
    const order = lastPeer !== undefined && peers.includes(lastPeer) ? [lastPeer, ...peers.filter(address => address !== lastPeer)] : peers
    const errors: unknown[] = []
    for (const address of order.slice(0, maxPeersAsked)) {
      try {
        const result = await callPeer(host.connect(address))
        lastPeer = address
        return result
      } catch (error) {
        errors.push(error)
      }
    }
    // The next call begins with peers that have not been asked now.
    lastPeer = order[maxPeersAsked]
    throw chooseError(new AggregateError(errors, 'no peer answers'))
  }
}

/** The time-out that clients of peers use, in ms. */
export const peerCallTimeoutMs = peerTimeoutMs

/** "Nothing was done" is only true when every way says so. */
function chooseError (error: unknown): unknown {
  if (!(error instanceof AggregateError)) return error
  const errors: readonly unknown[] = error.errors
  return errors.find(one => isErrorOfKind(one, ErrorKind.AnswerLost)) ?? errors[0] ?? error
}

function toParameters ({ expected, writes, removes = [] }: Transaction): object {
  return { expected, writes: writes.map(({ key, value }) => ({ key, value })), removes }
}
