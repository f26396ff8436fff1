/** Connects commands to the entry host that flags or environment variables specify. */
import { Flags } from '@oclif/core'
import { request as sendRequest } from 'undici'
import { createHttpRpcClient } from '../common/httpRpcClient.js'
import type { RpcClient } from '../common/rpcClient.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'

/** Flags shared by the commands for callers. */
export const callerFlags = {
  entry: Flags.string({ env: 'SASSAFRASFORD_ENTRY', required: true, description: 'address on which an entry host listens for callers, HOST:PORT' }),
  token: Flags.string({ env: 'SASSAFRASFORD_TOKEN', required: true, description: 'token of an organisation or an operator' }),
  json: Flags.boolean({ description: 'print JSON' })
}

/** Flags shared by the commands for operators. */
export const operatorFlags = {
  host: Flags.string({ env: 'SASSAFRASFORD_HOST', required: true, description: 'address on which an entry host listens for peers, HOST:PORT' }),
  token: Flags.string({ env: 'SASSAFRASFORD_OPERATOR_TOKEN', required: true, description: 'token of an operator' }),
  json: Flags.boolean({ description: 'print JSON' })
}

const operatorTimeoutMs = 35_000
const callerTimeoutMs = 70_000

/** Creates an RPC client for the operator methods of an entry host. */
export function connectOperator (flags: { readonly host: string, readonly token: string }): RpcClient {
  return createHttpRpcClient(flags.host, { token: flags.token, from: 'operator', timeoutMs: operatorTimeoutMs })
}

/** Sends a request to the HTTP interface for callers. Errors carry the kind and message of the response. */
export async function callEntry<T> (
  flags: { readonly entry: string, readonly token: string }, method: 'GET' | 'POST' | 'DELETE', path: string, body?: string, key?: string
): Promise<T> {
  const response = await sendToEntry(flags, method, path, body, key)
  const parsed = JSON.parse(response.text) as T & { kind?: ErrorKind, message?: string, details?: Record<string, unknown> }
  if (response.status < 400) return parsed
  throw createError(parsed.kind ?? ErrorKind.Internal, parsed.message ?? `the entry host responded with status ${response.status}`, parsed.details)
}

async function sendToEntry (
  flags: { readonly entry: string, readonly token: string }, method: 'GET' | 'POST' | 'DELETE', path: string, body?: string, key?: string
): Promise<{ readonly status: number, readonly text: string }> {
  const headers: Record<string, string> = { authorization: `Bearer ${flags.token}` }
  if (body !== undefined) headers['content-type'] = 'application/json'
  if (key !== undefined) headers['idempotency-key'] = key
  try {
    const response = await sendRequest(`http://${flags.entry}${path}`, { method, headers, body, headersTimeout: callerTimeoutMs })
    return { status: response.statusCode, text: await response.body.text() }
  } catch (error) {
    const isUnsent = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
    if (isUnsent) throw createError(ErrorKind.PeerUnreachable, `the connection to an entry host at ${flags.entry} was refused`)
    throw createError(ErrorKind.AnswerLost, `no complete response arrived from ${flags.entry}`)
  }
}
