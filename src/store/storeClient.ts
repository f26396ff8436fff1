/** Client of the platform's key-value service that tracks whether the service is reachable. */
import { createHttpRpcClient } from '../common/httpRpcClient.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { StoreMethod } from './store.js'
import type { KeyValueStore, StoreEntry, WatchResult } from './store.js'

/** A store client that tracks reachability by the outcome of its latest call. */
export interface StoreClient extends KeyValueStore {
  /** Time since which the service has been reachable, in ms since the Unix epoch; undefined while it is unreachable. */
  getReachableSinceMs (): number | undefined
  isReachable (): boolean
}

const callTimeoutMs = 1_500
const watchTimeoutMarginMs = 1_000

/** Creates a client for the service at `address`. */
export function createStoreClient (address: string, from: string): StoreClient {
  const rpc = createHttpRpcClient(address, { from, timeoutMs: callTimeoutMs })
  let reachableSinceMs: number | undefined

  return {
    get: async key => (await call<StoreEntry | null>(StoreMethod.Get, { key })) ?? undefined,
    range: (prefix, options = {}) => call(StoreMethod.Range, { prefix, ...options }),
    put: write => call(StoreMethod.Put, write),
    remove: (key, expectedRevision) => call(StoreMethod.Remove, { key, expectedRevision }),
    grantLease: ttlMs => call(StoreMethod.GrantLease, { ttlMs }),
    keepLeaseAlive: leaseId => call(StoreMethod.KeepLeaseAlive, { leaseId }),
    revokeLease: leaseId => call(StoreMethod.RevokeLease, { leaseId }),
    watch: (prefix, afterRevision, waitMs) =>
      call<WatchResult>(StoreMethod.Watch, { prefix, afterRevision, waitMs }, waitMs + watchTimeoutMarginMs),
    getReachableSinceMs: () => reachableSinceMs,
    isReachable: () => reachableSinceMs !== undefined
  }

  async function call<T> (method: StoreMethod, params: object, timeoutMs?: number): Promise<T> {
    try {
      const result = await rpc.call<T>(method, params, timeoutMs)
      reachableSinceMs ??= Date.now()
      return result
    } catch (error) {
      throw toStoreError(error, method)
    }
  }

  function toStoreError (error: unknown, method: StoreMethod): unknown {
    const isUnreachable = isErrorOfKind(error, ErrorKind.PeerUnreachable, ErrorKind.AnswerLost, ErrorKind.StoreUnavailable)
    if (!isUnreachable) {
      reachableSinceMs ??= Date.now()
      return error
    }
    reachableSinceMs = undefined
    const mayHaveWritten = isErrorOfKind(error, ErrorKind.AnswerLost) && isModifyingMethod(method)
    if (mayHaveWritten) return error
    return createError(ErrorKind.StoreUnavailable, 'the platform\'s store is unavailable')
  }
}

function isModifyingMethod (method: StoreMethod): boolean {
  return method === StoreMethod.Put || method === StoreMethod.Remove || method === StoreMethod.GrantLease
}
