/** JSON-RPC connections to peers. They use the platform's HTTP client, since loading another one would delay the start by a fifth of a second. */
import type { JSONRPCResponse } from 'json-rpc-2.0'
import { createTransportRpcClient } from '../common/rpcClient.js'
import type { RpcClient } from '../common/rpcClient.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { peerCallTimeoutMs } from '../peers/relayedStore.js'
import { createHttpClient } from './httpClient.js'

const connectionsPerPeer = 2

/** Returns a function that creates one client per address and reuses it. */
export function createPeerConnections (): (address: string) => RpcClient {
  const clients = new Map<string, RpcClient>()
  return address => {
    let client = clients.get(address)
    if (client === undefined) clients.set(address, client = connect(address))
    return client
  }
}

function connect (address: string): RpcClient {
  const http = createHttpClient(address, connectionsPerPeer)
  return createTransportRpcClient(async (request, method, timeoutMs) => {
    const { status, body } = await http.call({ method: 'POST', path: '/rpc', body: request, timeoutMs, stallTimeoutMs: peerCallTimeoutMs })
    if (status === 200 && typeof body === 'object' && body !== null) return body as JSONRPCResponse
    throw createError(ErrorKind.AnswerLost, `${address} answered with status ${status} to ${method}`)
  }, peerCallTimeoutMs)
}
