/** What a host does for peers that cannot reach the platform's store themselves. */
import * as z from 'zod/mini'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { maxTransactionEntries } from '../store/metadataStore.js'
import type { MetadataStore } from '../store/metadataStore.js'

/** The names of the methods. */
export const peerStoreMethods = { get: 'store.get', range: 'store.range', transact: 'store.transact' } as const

/** What the methods need from outside. */
export interface PeerStoreHost {
  /** The own way to the store; a call is never relayed twice. */
  readonly direct: MetadataStore
  readonly isDirectOut: () => boolean
}

/** Most calls of peers that are under way at once: a small host stays free for its own callers. */
const maxConcurrentCalls = 32

const revisionSchema = z.int().check(z.nonnegative())
const keySchema = z.string().check(z.minLength(1), z.maxLength(200))
const entries = <T extends z.ZodMiniType>(schema: T) => z.array(schema).check(z.maxLength(maxTransactionEntries))
const transactionSchema = z.object({
  expected: entries(z.object({ key: keySchema, revision: revisionSchema })),
  writes: entries(z.object({ key: keySchema, value: z.string() })),
  removes: entries(keySchema)
})

/** Creates the methods. Errors: `store-unavailable` when nothing was done, `answer-lost` when the call may take effect. */
export function createPeerStoreMethods (host: PeerStoreHost): readonly RpcMethod[] {
  const { direct } = host
  let calls = 0

  return [
    defineMethod(peerStoreMethods.get, z.object({ key: keySchema }), async ({ key }) => (await serve(() => direct.get(key))) ?? null),
    defineMethod(peerStoreMethods.range, z.object({ prefix: keySchema, after: z.optional(z.string()) }), ({ prefix, after }) => serve(() => direct.range(prefix, after))),
    defineMethod(peerStoreMethods.transact, transactionSchema, transaction => serve(() => direct.transact(transaction)))
  ]

  async function serve<T> (call: () => Promise<T>): Promise<T> {
    if (host.isDirectOut()) throw createError(ErrorKind.StoreUnavailable, 'this host does not reach the store either')
    if (calls >= maxConcurrentCalls) throw createError(ErrorKind.StoreUnavailable, 'this host serves as many calls of peers as it can')
    calls++
    try {
      return await call()
    } finally {
      calls--
    }
  }
}
