/** JSON-RPC connections to peers. They use the platform's HTTP client, since loading another one would delay the start by a fifth of a second. */
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { createTransportRpcClient } from '../common/rpcClient.js'
import type { RpcClient } from '../common/rpcClient.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { peerCallTimeoutMs } from '../peers/relayedStore.js'
import { createHttpClient } from './httpClient.js'
import type { HttpClient } from './httpClient.js'

const defaultConnections = 2
/** A client that has not been asked for this long, in ms, is closed: longer than any call takes. Hosts that have moved or left are not called again. */
const idleClientMs = 60_000

/** Returns a function that creates one client per address, with at most `maxConnections` connections, and reuses it. */
export function createPeerConnections (maxConnections = defaultConnections): (address: string) => RpcClient {
  const clients = new Map<string, { readonly client: RpcClient, readonly idleTimer: NodeJS.Timeout }>()
  return address => {
    let entry = clients.get(address)
    if (entry === undefined) {
      const http = createHttpClient(address, maxConnections)
      const idleTimer = setTimeout(() => {
        clients.delete(address)
        http.close()
      }, idleClientMs)
      idleTimer.unref()
      clients.set(address, entry = { client: createClient(http, address), idleTimer })
    }
    entry.idleTimer.refresh()
    return entry.client
  }
}

function createClient (http: HttpClient, address: string): RpcClient {
  return createTransportRpcClient(async (request, method, timeoutMs) => {
    const { status, body } = await http.call({ method: 'POST', path: '/rpc', body: request, timeoutMs, stallTimeoutMs: peerCallTimeoutMs })
    if (status === 200 && typeof body === 'object' && body !== null) return body as JSONRPCResponse
    throw createError(ErrorKind.AnswerLost, `${address} answered with status ${status} to ${method}`)
  }, peerCallTimeoutMs)
}
