/** Stand-in for the platform's key-value service: a single process that keeps its entries in memory and counts calls. */
import { randomUUID } from 'node:crypto'
import { appendFileSync, existsSync, readFileSync } from 'node:fs'
import { z } from 'zod'
import { listenHttp } from '../common/http.js'
import type { HttpListener, ListenAddress } from '../common/http.js'
import { createRpcHandler, defineMethod } from '../common/rpcServer.js'
import { createSignal } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { maxValueBytes, StoreMethod } from '../store/store.js'
import type { KeyValueStore, StoreEntry, StoreEvent, StoreWrite, WatchResult } from '../store/store.js'
import { createFaultControl } from './faults.js'
import type { FaultControl, Faults } from './faults.js'

/** Numbers of calls to the service, by kind. */
export interface StoreCalls {
  reads: number
  writes: number
  watches: number
}

/** The in-memory service. */
export interface MemoryStore extends KeyValueStore {
  readonly calls: StoreCalls
  /** Expires every lease immediately. */
  expireAllLeases (): void
}

interface Lease {
  readonly ttlMs: number
  expiresAtMs: number
  readonly keys: Set<string>
}

const maxRetainedEvents = 50_000

/** File in which the entries persist across restarts of the stand-in. */
export interface StoreFile {
  load (): readonly StoreEvent[]
  append (event: StoreEvent): void
}

/** Creates the in-memory service. Keys with a lease are not persisted. */
export function createMemoryStore (file?: StoreFile): MemoryStore {
  const entries = new Map<string, StoreEntry>()
  const leases = new Map<string, Lease>()
  const leaseIdsByKey = new Map<string, string>()
  const calls: StoreCalls = { reads: 0, writes: 0, watches: 0 }
  const changed = createSignal()
  let events: StoreEvent[] = []
  let revision = 0
  for (const event of file?.load() ?? []) {
    revision = event.revision
    if (event.value === undefined) entries.delete(event.key)
    else entries.set(event.key, { key: event.key, value: event.value, revision: event.revision })
  }

  return { calls, get, range, put, remove, grantLease, keepLeaseAlive, revokeLease, watch, expireAllLeases }

  async function get (key: string): Promise<StoreEntry | undefined> {
    calls.reads++
    expireLeases()
    return entries.get(key)
  }

  async function range (prefix: string, options: { readonly after?: string, readonly limit?: number } = {}): Promise<readonly StoreEntry[]> {
    calls.reads++
    expireLeases()
    const found = [...entries.values()].filter(entry => entry.key.startsWith(prefix) && entry.key > (options.after ?? ''))
    found.sort((left, right) => left.key < right.key ? -1 : 1)
    return found.slice(0, options.limit ?? found.length)
  }

  async function put (write: StoreWrite): Promise<number> {
    calls.writes++
    expireLeases()
    if (Buffer.byteLength(write.value) > maxValueBytes) throw createError(ErrorKind.TooLarge, 'the value is larger than 1 MB')
    checkRevision(write.key, write.expectedRevision)
    attachLease(write.key, write.leaseId)
    revision++
    const entry = { key: write.key, value: write.value, revision }
    entries.set(write.key, entry)
    appendEvent(entry)
    file?.append(write.leaseId === undefined ? entry : { key: write.key, revision })
    return revision
  }

  async function remove (key: string, expectedRevision: number): Promise<void> {
    calls.writes++
    expireLeases()
    if (!entries.has(key)) return
    checkRevision(key, expectedRevision)
    removeKey(key)
  }

  async function grantLease (ttlMs: number): Promise<string> {
    calls.writes++
    const leaseId = randomUUID()
    leases.set(leaseId, { ttlMs, expiresAtMs: Date.now() + ttlMs, keys: new Set() })
    return leaseId
  }

  async function keepLeaseAlive (leaseId: string): Promise<void> {
    calls.writes++
    expireLeases()
    const lease = leases.get(leaseId)
    if (lease === undefined) throw createError(ErrorKind.NotFound, 'the lease does not exist or has expired')
    lease.expiresAtMs = Date.now() + lease.ttlMs
  }

  async function revokeLease (leaseId: string): Promise<void> {
    calls.writes++
    endLease(leaseId)
  }

  async function watch (prefix: string, afterRevision: number, waitMs: number): Promise<WatchResult> {
    calls.watches++
    const deadlineMs = Date.now() + waitMs
    while (true) {
      expireLeases()
      const found = events.filter(event => event.revision > afterRevision && event.key.startsWith(prefix))
      const remainingMs = deadlineMs - Date.now()
      if (found.length > 0 || remainingMs <= 0) return { events: found, revision }
      await changed.wait(remainingMs)
    }
  }

  function expireAllLeases (): void {
    for (const leaseId of [...leases.keys()]) endLease(leaseId)
  }

  function expireLeases (): void {
    for (const [leaseId, lease] of leases) {
      if (lease.expiresAtMs <= Date.now()) endLease(leaseId)
    }
  }

  function endLease (leaseId: string): void {
    const lease = leases.get(leaseId)
    leases.delete(leaseId)
    for (const key of lease?.keys ?? []) removeKey(key)
  }

  /** Attaches the key to the lease of its latest write, or to none. */
  function attachLease (key: string, leaseId: string | undefined): void {
    const lease = leaseId === undefined ? undefined : leases.get(leaseId)
    if (leaseId !== undefined && lease === undefined) throw createError(ErrorKind.NotFound, 'the lease does not exist or has expired')
    detachLease(key)
    if (leaseId === undefined) return
    lease?.keys.add(key)
    leaseIdsByKey.set(key, leaseId)
  }

  function detachLease (key: string): void {
    leases.get(leaseIdsByKey.get(key) ?? '')?.keys.delete(key)
    leaseIdsByKey.delete(key)
  }

  function removeKey (key: string): void {
    if (!entries.delete(key)) return
    detachLease(key)
    revision++
    appendEvent({ key, revision })
    file?.append({ key, revision })
  }

  function appendEvent (event: StoreEvent): void {
    events.push(event)
    if (events.length > maxRetainedEvents) events = events.slice(maxRetainedEvents / 2)
    changed.notify()
  }

  function checkRevision (key: string, expectedRevision: number): void {
    const actual = entries.get(key)?.revision ?? 0
    if (actual !== expectedRevision) throw createError(ErrorKind.Conflict, `the revision of key ${key} is ${actual}, not the expected one`)
  }
}

/** A stand-in for the service, listening on TCP. */
export interface StoreStandin {
  readonly address: string
  readonly store: MemoryStore
  readonly faults: FaultControl
  close (): Promise<void>
}

/** Starts the stand-in for the service. */
export async function startStoreStandin (listen: ListenAddress, faults: Partial<Faults> = {}, fileName?: string): Promise<StoreStandin> {
  const store = createMemoryStore(fileName === undefined ? undefined : createStoreFile(fileName))
  const control = createFaultControl(faults, store.expireAllLeases)
  const listener: HttpListener = await listenHttp(listen, control.wrap(createRpcHandler(createStoreMethods(store))))
  return { address: listener.address, store, faults: control, close: listener.destroy }
}

/** Persists the events as one JSON object per line. */
function createStoreFile (fileName: string): StoreFile {
  return {
    load: () => existsSync(fileName)
      ? readFileSync(fileName, 'utf8').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as StoreEvent)
      : [],
    append: event => appendFileSync(fileName, JSON.stringify(event) + '\n')
  }
}

function createStoreMethods (store: KeyValueStore): Parameters<typeof createRpcHandler>[0] {
  const key = z.string().min(1).max(500)
  return [
    defineMethod(StoreMethod.Get, z.strictObject({ key }), async params => (await store.get(params.key)) ?? null),
    defineMethod(StoreMethod.Range, z.strictObject({ prefix: key, after: z.string().optional(), limit: z.number().optional() }),
      params => store.range(params.prefix, params)),
    defineMethod(StoreMethod.Put, z.strictObject({ key, value: z.string(), expectedRevision: z.number(), leaseId: z.string().optional() }),
      params => store.put(params)),
    defineMethod(StoreMethod.Remove, z.strictObject({ key, expectedRevision: z.number() }), async params => {
      await store.remove(params.key, params.expectedRevision)
      return true
    }),
    defineMethod(StoreMethod.GrantLease, z.strictObject({ ttlMs: z.number().positive() }), params => store.grantLease(params.ttlMs)),
    defineMethod(StoreMethod.KeepLeaseAlive, z.strictObject({ leaseId: z.string() }), async params => {
      await store.keepLeaseAlive(params.leaseId)
      return true
    }),
    defineMethod(StoreMethod.RevokeLease, z.strictObject({ leaseId: z.string() }), async params => {
      await store.revokeLease(params.leaseId)
      return true
    }),
    defineMethod(StoreMethod.Watch, z.strictObject({ prefix: key, afterRevision: z.number(), waitMs: z.number().max(60_000) }),
      params => store.watch(params.prefix, params.afterRevision, params.waitMs))
  ]
}
