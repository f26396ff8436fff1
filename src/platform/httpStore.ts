/** HTTP client of the platform's metadata store. Field names of its protocol are translated here and nowhere else. */
import * as z from 'zod/mini'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { MetadataStore, StoreChange, StoredItem, StorePage, Transaction, TransactionResult } from '../store/metadataStore.js'
import { createHttpClient } from './httpClient.js'
import type { HttpResponse, HttpCall } from './httpClient.js'

/** Time-out of a store call. It allows ten times the duration of the store's slow responses and still fits into a caller's time-out. */
const callTimeoutMs = 900
/** Longest gap within the response to a read or a watch; a value of 1 MB takes 1.6 s on a link of 7 Mbit/s. */
const stallTimeoutMs = 900
/** Time allowed for the response to a watch beyond its wait time. */
const watchGraceMs = 600
const maxConnections = 12
/** Renewals of leases that may be unanswered at once, on connections of their own, so that lost answers do not block other calls: 12 of the leader's lease, 6 of its record of grants. */
const maxLeaseConnections = 18

const itemSchema = z.object({ key: z.string(), value: z.string(), rev: z.number(), created: z.number(), lease: z.optional(z.number()) })
const rangeSchema = z.object({ items: z.array(itemSchema), morePages: z.boolean(), currentRev: z.number() })
const eventSchema = z.object({ key: z.string(), value: z.optional(z.string()), rev: z.number(), created: z.optional(z.number()), lease: z.optional(z.number()), tombstone: z.optional(z.boolean()) })
const watchSchema = z.object({ events: z.array(eventSchema), currentRev: z.number() })
const committedSchema = z.object({ rev: z.number() })
const conflictSchema = z.object({ items: z.array(z.object({ key: z.string(), value: z.optional(z.string()), rev: z.optional(z.number()), created: z.optional(z.number()), lease: z.optional(z.number()) })) })
const leaseSchema = z.object({ lease: z.number(), ttlMs: z.number() })

/** Creates the client of the store at `address`. */
export function createHttpStore (address: string): MetadataStore {
  const callClient = createHttpClient(address, maxConnections)
  // Watches are long polls, so they use separate connections.
  const watchClient = createHttpClient(address, maxConnections)
  const leaseClient = createHttpClient(address, maxLeaseConnections)

  return { get, range, watch, transact, grantLease, keepLeaseAlive, revokeLease }

  async function send (call: Omit<HttpCall, 'timeoutMs'> & { readonly timeoutMs?: number }, ...accepted: readonly number[]): Promise<HttpResponse> {
    const response = await callClient.call({ ...call, timeoutMs: call.timeoutMs ?? callTimeoutMs })
    return check(response, call.path, accepted)
  }

  async function get (key: string, signal?: AbortSignal): Promise<StoredItem | undefined> {
    const response = await send({ method: 'GET', path: `/sassafrasford/kv-key?key=${encodeURIComponent(key)}`, signal }, 404)
    return response.status === 404 ? undefined : toItem(decode(itemSchema, response.body))
  }

  async function range (prefix: string, after?: string): Promise<StorePage> {
    const next = after === undefined ? '' : `&after=${encodeURIComponent(after)}`
    const response = await send({ method: 'GET', path: `/sassafrasford/kv-range?prefix=${encodeURIComponent(prefix)}${next}`, stallTimeoutMs })
    const page = decode(rangeSchema, response.body)
    return { items: page.items.map(toItem), hasMore: page.morePages, revision: page.currentRev }
  }

  async function watch (prefix: string, afterRevision: number, waitMs: number, signal?: AbortSignal): Promise<{ readonly changes: readonly StoreChange[], readonly revision: number }> {
    const path = `/sassafrasford/kv-watch?prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&waitMs=${waitMs}`
    const response = check(await watchClient.call({ method: 'GET', path, timeoutMs: waitMs + watchGraceMs, stallTimeoutMs, signal }), path, [410])
    if (response.status === 410) throw createError(ErrorKind.HistoryGone, `the store has no history after revision ${afterRevision}`)
    const { events, currentRev } = decode(watchSchema, response.body)
    return { changes: events.map(toChange), revision: currentRev }
  }

  async function transact (transaction: Transaction, signal?: AbortSignal): Promise<TransactionResult> {
    const body = {
      expected: transaction.expected.map(({ key, revision }) => ({ key, rev: revision })),
      writes: transaction.writes.map(({ key, value, leaseId }) => ({ key, value: encodeValue(value), lease: leaseId ?? 0 })),
      remove: transaction.removes ?? []
    }
    const response = await send({ method: 'POST', path: '/sassafrasford/kv-txn', body, signal }, 412, 404)
    if (response.status === 404) throw createError(ErrorKind.NotFound, 'the lease of a write has ended')
    if (response.status === 200) return { isCommitted: true, revision: decode(committedSchema, response.body).rev }
    const items = decode(conflictSchema, response.body).items
    // An expected key that does not exist is listed without a value or with revision 0.
    const found = items.flatMap(item => item.value === undefined || !item.rev ? [] : [toItem({ ...item, value: item.value, rev: item.rev, created: item.created ?? 0 })])
    return { isCommitted: false, items: found }
  }

  async function grantLease (ttlMs: number, signal?: AbortSignal): Promise<{ readonly leaseId: number, readonly ttlMs: number }> {
    const { lease, ttlMs: grantedMs } = decode(leaseSchema, (await send({ method: 'POST', path: '/sassafrasford/kv-lease', body: { ttlMs }, signal })).body)
    return { leaseId: lease, ttlMs: grantedMs }
  }

  async function keepLeaseAlive (leaseId: number): Promise<void> {
    const path = `/sassafrasford/kv-keep/${leaseId}`
    const response = check(await leaseClient.call({ method: 'POST', path, timeoutMs: callTimeoutMs }), path, [404])
    if (response.status === 404) throw createError(ErrorKind.NotFound, 'the lease has ended')
  }

  async function revokeLease (leaseId: number): Promise<void> {
    await send({ method: 'DELETE', path: `/sassafrasford/kv-lease-end/${leaseId}` }, 404)
  }
}

/** Only 429 and 503 guarantee that the request was not carried out. */
function check (response: HttpResponse, path: string, accepted: readonly number[]): HttpResponse {
  const { status } = response
  if ((status >= 200 && status < 300) || accepted.includes(status)) return response
  if (status === 429 || status === 503) throw createError(ErrorKind.StoreUnavailable, `the store answered with status ${status}`)
  throw createError(status >= 500 ? ErrorKind.AnswerLost : ErrorKind.Internal, `the store answered with status ${status} to ${path}`)
}

function decode<T> (schema: z.ZodMiniType<T>, body: unknown): T {
  const parsed = schema.safeParse(body)
  if (parsed.success) return parsed.data
  throw createError(ErrorKind.AnswerLost, `the store's response is malformed: ${parsed.error.message}`)
}

function toItem (item: z.infer<typeof itemSchema>): StoredItem {
  return { key: item.key, value: decodeValue(item.value), revision: item.rev, createdRevision: item.created, ...(item.lease === undefined || item.lease === 0 ? {} : { leaseId: item.lease }) }
}

function toChange (event: z.infer<typeof eventSchema>): StoreChange {
  if (event.tombstone === true || event.value === undefined) return { key: event.key }
  return { key: event.key, item: toItem({ ...event, value: event.value, created: event.created ?? 0 }) }
}

function encodeValue (text: string): string {
  return Buffer.from(text).toString('base64')
}

function decodeValue (value: string): string {
  return Buffer.from(value, 'base64').toString()
}
