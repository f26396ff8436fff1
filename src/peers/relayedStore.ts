/**
 * Access to the platform's store: direct, or relayed through a peer while the store rejects this host or is unreachable from
 * it. Reads of one key and transactions are relayed. Leases and transactions that use them are not, since the host that schedules must reach the store itself; nor are
 * range reads and watches: they follow the configuration, which has a replication of its own between hosts.
 */
import * as z from 'zod/mini'
import type { Logger } from '../common/logger.js'
import type { RpcClient } from '../common/rpcClient.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind, isNotRun } from '../errors/errorKinds.js'
import type { MetadataStore, Transaction, TransactionResult } from '../store/metadataStore.js'
import { createOutageTracker } from '../store/outageTracker.js'
import type { KnownHost } from './hostDirectory.js'
import { peerStoreMethods } from './peerStoreMethods.js'

/** Dependencies of the relayed store. */
export interface RelayedStoreHost {
  readonly direct: MetadataStore
  readonly logger: Logger
  readonly getPeers: () => readonly KnownHost[]
  readonly connect: (address: string) => RpcClient
  /** The version of the configuration that this host acts by; peers are told. */
  readonly getConfigurationVersion?: () => number | undefined
}

/** The store, together with the state of the direct access to it. */
export interface RelayedStore extends MetadataStore {
  /** True for a short time after a direct call failed, unless a later one succeeded. */
  isDirectUnavailable (): boolean
  /** How long all direct calls have failed, in ms; 0 if the latest succeeded. */
  getDirectOutageMs (): number
}

/** Delay after which an unanswered direct call is also made through a peer; longer than a slow response from another region takes. */
const hedgeDelayMs = 400
/** Time for which direct access counts as unavailable after a failure. Calls still try it, so that a recovery is noticed at once. */
const directUnavailableMs = 2_500
/** Maximum number of peers that one call tries in sequence. */
const maxPeersTried = 3
/** Time-out of a call to a peer; allows for a round trip between regions and a slow response of the store. */
const peerTimeoutMs = 400

const revisionSchema = z.int().check(z.nonnegative())
const storedItemSchema = z.object({ key: z.string(), value: z.string(), revision: revisionSchema, createdRevision: revisionSchema, leaseId: z.optional(z.int()) })
const itemSchema = z.nullable(storedItemSchema)
const hasUnansweredCopy = z.optional(z.boolean())
const resultSchema = z.union([
  z.object({ isCommitted: z.literal(true), revision: revisionSchema, hasUnansweredCopy }),
  z.object({ isCommitted: z.literal(false), items: z.array(storedItemSchema), hasUnansweredCopy })
])

/** Creates the store of one host. */
export function createRelayedStore (host: RelayedStoreHost): RelayedStore {
  const { direct, logger } = host
  const tracker = createOutageTracker()
  let directUnavailableUntilMs = -Infinity
  /** Address of the peer to try first; usually the one that answered last. */
  let preferredPeer: string | undefined

  return {
    get: key => call(() => direct.get(key), async peer => decodeAnswer(itemSchema, await peer.call(peerStoreMethods.get, { key, ...getSender() })) ?? undefined),
    range: (prefix, after) => callDirect(() => direct.range(prefix, after)),
    watch: (prefix, afterRevision, waitMs, signal) => callDirect(() => direct.watch(prefix, afterRevision, waitMs, signal)),
    transact,
    grantLease: direct.grantLease,
    keepLeaseAlive: direct.keepLeaseAlive,
    revokeLease: direct.revokeLease,
    isDirectUnavailable,
    getDirectOutageMs: tracker.getOutageMs
  }

  async function transact (transaction: Transaction): Promise<TransactionResult> {
    // Peers write without leases: such a key would never be removed.
    if (transaction.writes.some(({ leaseId }) => leaseId !== undefined)) return await callDirect(() => direct.transact(transaction))
    let isDirectOpen = true
    const transactDirectly = async (): Promise<TransactionResult> => {
      try {
        const result = await direct.transact(transaction)
        isDirectOpen = false
        return result
      } catch (error) {
        if (isNotRun(error)) isDirectOpen = false
        throw error
      }
    }
    const result = await call(transactDirectly, async peer => decodeAnswer(resultSchema, await peer.call(peerStoreMethods.transact, { ...toParameters(transaction), ...getSender() })))
    return isDirectOpen ? { ...result, hasUnansweredCopy: true } : result
  }

  function getSender (): { readonly configurationVersion?: number } {
    const configurationVersion = host.getConfigurationVersion?.()
    return configurationVersion === undefined ? {} : { configurationVersion }
  }

  function isDirectUnavailable (): boolean {
    return performance.now() < directUnavailableUntilMs
  }

  /** The direct and the relayed call may both run: reads change nothing, and the conditions of a transaction make it safe to run twice. */
  async function call<T> (directCall: () => Promise<T>, peerCall: (peer: RpcClient) => Promise<T>): Promise<T> {
    const wasDirectUnavailable = isDirectUnavailable()
    const directResult = callDirect(directCall)
    if (!wasDirectUnavailable) {
      const hasSucceeded = await Promise.race([directResult.then(() => true, () => false), delay(hedgeDelayMs).then(() => false)])
      if (hasSucceeded) return await directResult
    }
    try {
      return await Promise.any([directResult, callPeers(peerCall)])
    } catch (error) {
      throw selectError(error)
    }
  }

  async function callDirect<T> (directCall: () => Promise<T>): Promise<T> {
    try {
      const result = await directCall()
      if (directUnavailableUntilMs > -Infinity) logger.info('direct access to the store is available again')
      directUnavailableUntilMs = -Infinity
      tracker.recordSuccess()
      return result
    } catch (error) {
      tracker.recordFailure(error)
      if (isErrorOfKind(error, ErrorKind.StoreUnavailable, ErrorKind.AnswerLost, ErrorKind.PeerUnreachable)) {
        if (directUnavailableUntilMs === -Infinity) logger.warn('direct access to the store failed; calls are relayed through peers', { error: String(error), peers: host.getPeers().length })
        directUnavailableUntilMs = performance.now() + directUnavailableMs
      }
      throw error
    }
  }

  async function callPeers<T> (peerCall: (peer: RpcClient) => Promise<T>): Promise<T> {
    const peers = host.getPeers().map(({ address }) => address)
    const order = preferredPeer !== undefined && peers.includes(preferredPeer) ? [preferredPeer, ...peers.filter(address => address !== preferredPeer)] : peers
    const errors: unknown[] = []
    for (const address of order.slice(0, maxPeersTried)) {
      try {
        const result = await peerCall(host.connect(address))
        preferredPeer = address
        return result
      } catch (error) {
        errors.push(error)
      }
    }
    // The next call starts with a peer that this one has not tried.
    preferredPeer = order[maxPeersTried]
    throw selectError(new AggregateError(errors, 'no peer answered the relayed call'))
  }
}

/** Time-out of calls to a peer, for the clients that connect to peers. */
export const peerCallTimeoutMs = peerTimeoutMs

/** Selects the error to report: the call certainly had no effect only if every attempt reports so, hence `answer-lost` takes precedence. */
function selectError (error: unknown): unknown {
  if (!(error instanceof AggregateError)) return error
  const errors: readonly unknown[] = error.errors
  return errors.find(candidate => isErrorOfKind(candidate, ErrorKind.AnswerLost)) ?? errors[0] ?? error
}

/** A peer of another version may answer in another form; the call may have been carried out. */
function decodeAnswer<T> (schema: z.ZodMiniType<T>, answer: unknown): T {
  const parsed = schema.safeParse(answer)
  if (parsed.success) return parsed.data
  throw createError(ErrorKind.AnswerLost, `the peer's answer is malformed: ${parsed.error.message}`)
}

function toParameters ({ expected, writes, removes = [] }: Transaction): object {
  return { expected, writes: writes.map(({ key, value }) => ({ key, value })), removes }
}
