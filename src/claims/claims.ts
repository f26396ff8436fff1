/**
 * Claims on the idempotency keys of non-repeatable requests. A claim is written to the store before the request is forwarded,
 * so that a duplicate sent to any host finds it. Claims are grouped into buckets, one store entry each, and all pending changes
 * of a bucket are written with one call.
 */
import { createHash, randomUUID } from 'node:crypto'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { putConfirmed } from '../store/confirmedWrite.js'
import type { KeyValueStore } from '../store/store.js'

/** A claim in the store: the ID of the request that owns it, its time, and the HTTP status of the response once known. */
export interface Claim {
  readonly requestId: string
  readonly atMs: number
  readonly status?: number
}

/** Result of an attempt to claim a key. */
export interface ClaimResult {
  /** True when this request owns the claim and may be forwarded. */
  readonly isOwn: boolean
  readonly claim: Claim
}

/** Access to the claims, which all hosts share through the store. */
export interface Claims {
  /** Rejects with `store-unavailable` or `overloaded` if nothing was claimed, and with `answer-lost` if that is unknown. */
  claim (key: string, requestId: string): Promise<ClaimResult>
  /** Records the status of the response. The write is deferred; a failed one is ignored. */
  complete (key: string, requestId: string, status: number): void
  /** Removes the claim of a request that certainly did not run. */
  release (key: string, requestId: string): Promise<void>
  stop (): void
}

/** Number of buckets. One bucket holds about 10,000 claims. */
export const claimBucketCount = 32

const maxBucketBytes = 900_000
const completionDelayMs = 1_000
const maxAttempts = 20

interface Change {
  readonly key: string
  apply (claims: Map<string, Claim>): void
  resolve (claims: ReadonlyMap<string, Claim>): void
  reject (error: unknown): void
}

interface Bucket {
  readonly key: string
  claims: Map<string, Claim>
  revision: number | undefined
  pending: Change[]
  isWriting: boolean
  timer: NodeJS.Timeout | undefined
}

/** Creates access to the claims. Claims older than `getRetentionMs()` are deleted. */
export function createClaims (store: KeyValueStore, getRetentionMs: () => number): Claims {
  const buckets = new Map<number, Bucket>()
  let isStopped = false

  return { claim, complete, release, stop }

  function claim (key: string, requestId: string): Promise<ClaimResult> {
    const hash = hashKey(key)
    return new Promise((resolve, reject) => {
      enqueue(hash, {
        key: hash,
        apply: claims => { if (!claims.has(hash)) claims.set(hash, { requestId, atMs: Date.now() }) },
        resolve: claims => {
          const stored = claims.get(hash)
          if (stored === undefined) reject(createError(ErrorKind.Internal, 'a claim is missing after it was written'))
          else resolve({ isOwn: stored.requestId === requestId, claim: stored })
        },
        reject
      }, 0)
    })
  }

  function complete (key: string, requestId: string, status: number): void {
    const hash = hashKey(key)
    enqueue(hash, {
      key: hash,
      apply: claims => {
        const existing = claims.get(hash)
        if (existing?.requestId === requestId) claims.set(hash, { ...existing, status })
      },
      resolve: () => {},
      reject: () => {}
    }, completionDelayMs)
  }

  function release (key: string, requestId: string): Promise<void> {
    const hash = hashKey(key)
    return new Promise((resolve, reject) => {
      enqueue(hash, {
        key: hash,
        apply: claims => { if (claims.get(hash)?.requestId === requestId) claims.delete(hash) },
        resolve: () => resolve(),
        reject
      }, 0)
    })
  }

  function enqueue (hash: string, change: Change, delayMs: number): void {
    const bucket = getBucket(hash)
    bucket.pending.push(change)
    if (delayMs === 0) void writeBucket(bucket)
    else bucket.timer ??= setTimeout(() => { void writeBucket(bucket) }, delayMs)
  }

  function getBucket (hash: string): Bucket {
    const index = Buffer.from(hash, 'base64url').readUInt16BE(0) % claimBucketCount
    const known = buckets.get(index)
    if (known !== undefined) return known
    const created: Bucket = { key: `claims/${index}`, claims: new Map(), revision: undefined, pending: [], isWriting: false, timer: undefined }
    buckets.set(index, created)
    return created
  }

  async function writeBucket (bucket: Bucket): Promise<void> {
    clearTimeout(bucket.timer)
    bucket.timer = undefined
    if (bucket.isWriting) return
    bucket.isWriting = true
    while (bucket.pending.length > 0 && !isStopped) {
      const batch = bucket.pending
      bucket.pending = []
      try {
        await writeBatch(bucket, batch)
        for (const change of batch) change.resolve(bucket.claims)
      } catch (error) {
        bucket.revision = undefined
        for (const change of batch) change.reject(error)
      }
    }
    bucket.isWriting = false
  }

  async function writeBatch (bucket: Bucket, batch: readonly Change[]): Promise<void> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const isCached = bucket.revision !== undefined
      if (!isCached) await readBucket(bucket)
      const next = new Map(bucket.claims)
      dropExpired(next)
      for (const change of batch) change.apply(next)
      if (areClaimsEqual(next, bucket.claims)) {
        if (!isCached) return
        // The cached bucket may be outdated, since another host may have released the claim; read it again.
        bucket.revision = undefined
        continue
      }
      const value = JSON.stringify({ writeId: randomUUID(), claims: [...next] })
      if (value.length > maxBucketBytes) throw createError(ErrorKind.Overloaded, 'the bucket of this claim is full; claims are kept for the retention time')
      if (await tryPut(bucket, value, next)) return
    }
    throw createError(ErrorKind.Overloaded, 'the claim could not be written because of concurrent writes by other hosts')
  }

  async function tryPut (bucket: Bucket, value: string, next: Map<string, Claim>): Promise<boolean> {
    try {
      bucket.revision = await putConfirmed(store, { key: bucket.key, value, expectedRevision: bucket.revision ?? 0 })
      bucket.claims = next
      return true
    } catch (error) {
      if (!isErrorOfKind(error, ErrorKind.Conflict)) throw error
      bucket.revision = undefined
      return false
    }
  }

  async function readBucket (bucket: Bucket): Promise<void> {
    const entry = await store.get(bucket.key)
    const stored = entry === undefined ? [] : (JSON.parse(entry.value) as { claims: [string, Claim][] }).claims
    bucket.claims = new Map(stored)
    bucket.revision = entry?.revision ?? 0
  }

  function dropExpired (claims: Map<string, Claim>): void {
    const oldestMs = Date.now() - getRetentionMs()
    for (const [hash, claim] of claims) {
      if (claim.atMs >= oldestMs) return
      claims.delete(hash)
    }
  }

  function stop (): void {
    isStopped = true
    for (const bucket of buckets.values()) clearTimeout(bucket.timer)
  }
}

function areClaimsEqual (left: ReadonlyMap<string, Claim>, right: ReadonlyMap<string, Claim>): boolean {
  if (left.size !== right.size) return false
  for (const [hash, claim] of left) if (right.get(hash) !== claim) return false
  return true
}

function hashKey (key: string): string {
  return createHash('sha256').update(key).digest('base64url').slice(0, 22)
}
