/** RPC methods through which a host accesses the platform's store for peers that cannot reach it themselves. */
import * as z from 'zod/mini'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { maxTransactionEntries } from '../store/metadataStore.js'
import type { MetadataStore } from '../store/metadataStore.js'

/** Names of the RPC methods. */
export const peerStoreMethods = { get: 'store.get', transact: 'store.transact' } as const

/** Dependencies of the methods. */
export interface PeerStoreHost {
  /** Direct access to the store. A relayed call uses only this, so that it is never relayed twice. */
  readonly direct: MetadataStore
  readonly isDirectUnavailable: () => boolean
  /** Called with the version of the configuration that a peer acts by. */
  readonly onConfigurationVersion?: (version: number) => void
}

/** Maximum number of concurrent calls from peers, so that a small host keeps capacity for its own callers. */
const maxConcurrentCalls = 32

const revisionSchema = z.int().check(z.nonnegative())
const keySchema = z.string().check(z.minLength(1), z.maxLength(200))
const createArraySchema = <T extends z.ZodMiniType>(schema: T) => z.array(schema).check(z.maxLength(maxTransactionEntries))
const senderFields = { configurationVersion: z.optional(z.number()) }
const readSchema = z.object({ key: keySchema, ...senderFields })
const transactionSchema = z.object({
  ...senderFields,
  expected: createArraySchema(z.object({ key: keySchema, revision: revisionSchema })),
  writes: createArraySchema(z.object({ key: keySchema, value: z.string() })),
  removes: createArraySchema(keySchema)
})

/** Creates the methods. They fail with `store-unavailable` if the call had no effect, and with `answer-lost` if it may have one. */
export function createPeerStoreMethods (host: PeerStoreHost): readonly RpcMethod[] {
  const { direct } = host
  let activeCalls = 0

  return [
    defineMethod(peerStoreMethods.get, readSchema, async ({ key, configurationVersion }) => (await serve(configurationVersion, () => direct.get(key))) ?? null),
    defineMethod(peerStoreMethods.transact, transactionSchema, ({ configurationVersion, ...transaction }) => serve(configurationVersion, () => direct.transact(transaction)))
  ]

  async function serve<T> (configurationVersion: number | undefined, call: () => Promise<T>): Promise<T> {
    if (configurationVersion !== undefined) host.onConfigurationVersion?.(configurationVersion)
    if (host.isDirectUnavailable()) throw createError(ErrorKind.StoreUnavailable, 'this host cannot reach the store either')
    if (activeCalls >= maxConcurrentCalls) throw createError(ErrorKind.StoreUnavailable, 'this host already serves the maximum number of concurrent calls from peers')
    activeCalls++
    try {
      return await call()
    } finally {
      activeCalls--
    }
  }
}
