/**
 * Replication of the configuration between hosts: a host that the store rejects, or whose link is slow, follows the copy of a peer. The peer sends
 * the value compressed, and with each answer the time at which the store last confirmed its copy.
 */
import { deflateSync, inflateSync } from 'node:zlib'
import * as z from 'zod/mini'
import { getElapsedMs, getOffsetMs, readClocks, shiftClocks } from '../common/elapsedTime.js'
import type { ClockReading } from '../common/elapsedTime.js'
import type { Logger } from '../common/logger.js'
import type { RpcClient } from '../common/rpcClient.js'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'

/** Name of the RPC method. */
export const followMethod = 'configuration.follow'

/** A copy of the stored configuration and what is known about its age. */
export interface ConfigurationCopy {
  readonly version: number
  /** Revision of the value in the store. */
  readonly revision: number
  /** Revision of the store at which `revision` was confirmed as the newest. */
  readonly storeRevision: number
  readonly confirmedAt: ClockReading
}

/** A copy that a peer has sent. `value` is absent if it is not newer than the version that was asked with. */
export interface PeerCopy extends ConfigurationCopy {
  readonly value?: string
}

/** The copy of the host that serves its peers. */
export interface SharedConfiguration {
  getCopy (): (ConfigurationCopy & { readonly value: string }) | undefined
  /** Resolves when there is a copy that is newer than `version`, if that is given, or after `timeoutMs`. */
  waitForVersionAfter (version: number | undefined, timeoutMs: number): Promise<void>
  /** Reports that a version exists: another host has acted by it. */
  noteVersion (version: number, source: EvidenceSource): void
}

/** How this host got to know that a version exists, other than by its value. */
export enum EvidenceSource {
  /** The record of a job that another host has accepted by it. */
  AcceptedJob = 'accepted-job',
  /** A call of a peer. */
  Peer = 'peer'
}

/** A peer whose copy may be followed. */
export interface ConfigurationPeer {
  readonly address: string
  readonly isInOwnDomain: boolean
}

/** Dependencies of a follower. */
export interface ConfigurationFollowerHost {
  readonly logger: Logger
  /** The hosts on fast links. */
  readonly getPeers: () => readonly ConfigurationPeer[]
  readonly connect: (address: string) => RpcClient
  readonly random: () => number
}

/** Follows the copies of peers. */
export interface ConfigurationFollower {
  /** Tells whether there is a peer to ask; there is none for a while after several have failed. */
  hasPeer (): boolean
  /** Returns the copy of a peer as soon as it is newer than `version`, if that is given, or after `waitMs`; undefined if there is no peer to ask or it failed. */
  tryFollow (version: number | undefined, waitMs?: number): Promise<PeerCopy | undefined>
}

interface FollowResponse extends Omit<ConfigurationCopy, 'confirmedAt'> {
  /** Time of the confirmation relative to the arrival of the request, in ms; negative if it was earlier. */
  readonly confirmedAfterArrivalMs: number
  readonly compressedValue?: string
}

/** How long a peer waits for a newer version, in ms: the copy that is followed is confirmed about once a second. */
const followWaitMs = 600
/** Time allowed for a peer's answer beyond its wait, in ms: a round trip between regions and a busy processor. */
const answerGraceMs = 400
/** A copy that the store has not confirmed for this long is not followed, in ms: the peer itself has lost the store. */
const maxPeerAgeMs = 2_000
/** After this many failures in succession no peer is asked for `peerPauseMs`. */
const maxFailures = 2
const peerPauseMs = 5_000
const maxWaitMs = 2_000
/** Maximum number of followers of one host at a time. */
const maxFollowers = 64
/** Maximum size of a decompressed value: larger than any that the store accepts. */
const maxValueBytes = 4 * 1024 * 1024
/** The lowest level is several times faster than the default one, and the random parts of names do not compress at any. */
const compressionLevel = 1

const versionSchema = z.number()
const requestSchema = z.object({ version: z.optional(versionSchema), waitMs: z.int().check(z.nonnegative(), z.maximum(maxWaitMs)) })
const responseSchema = z.object({
  version: versionSchema,
  revision: z.number(),
  storeRevision: z.number(),
  confirmedAfterArrivalMs: z.number(),
  compressedValue: z.optional(z.string())
})

/** Creates the method through which peers follow this host's copy. Errors: `store-unavailable` if this host has no copy to follow. */
export function createFollowMethod (shared: SharedConfiguration): RpcMethod {
  let followers = 0
  let compressed: { readonly version: number, readonly value: string } | undefined

  return defineMethod(followMethod, requestSchema, async ({ version, waitMs }) => {
    const arrivedAt = readClocks()
    if (version !== undefined) shared.noteVersion(version, EvidenceSource.Peer)
    if (followers >= maxFollowers) throw createError(ErrorKind.StoreUnavailable, 'this host already serves the maximum number of followers')
    followers++
    try {
      await shared.waitForVersionAfter(version, waitMs)
    } finally {
      followers--
    }
    return createResponse(version, arrivedAt)
  })

  function createResponse (knownVersion: number | undefined, arrivedAt: ClockReading): FollowResponse {
    const copy = shared.getCopy()
    if (copy === undefined) throw createError(ErrorKind.StoreUnavailable, 'this host has no configuration yet')
    const { version, revision, storeRevision, confirmedAt, value } = copy
    const confirmedAfterArrivalMs = getOffsetMs(arrivedAt, confirmedAt)
    const response = { version, revision, storeRevision, confirmedAfterArrivalMs }
    if (knownVersion !== undefined && version <= knownVersion) return response
    if (compressed?.version !== version) compressed = { version, value: deflateSync(value, { level: compressionLevel }).toString('base64') }
    return { ...response, compressedValue: compressed.value }
  }
}

/** Creates a follower. */
export function createConfigurationFollower (host: ConfigurationFollowerHost): ConfigurationFollower {
  /** The peer that is being followed. */
  let followed: string | undefined
  let lastFailed: string | undefined
  let failures = 0
  let pausedUntilMs = -Infinity

  return { hasPeer: () => performance.now() >= pausedUntilMs && host.getPeers().length > 0, tryFollow }

  async function tryFollow (version: number | undefined, waitMs = followWaitMs): Promise<PeerCopy | undefined> {
    const address = performance.now() < pausedUntilMs ? undefined : selectPeer()
    if (address === undefined) return undefined
    try {
      const copy = await follow(address, version, waitMs)
      if (followed !== address) host.logger.info('following the configuration of a peer', { address, version: copy.version })
      followed = address
      lastFailed = undefined
      failures = 0
      return copy
    } catch (error) {
      recordFailure(address, error)
      return undefined
    }
  }

  async function follow (address: string, version: number | undefined, waitMs: number): Promise<PeerCopy> {
    const sentAt = readClocks()
    const result = await host.connect(address).call<FollowResponse>(followMethod, { version, waitMs }, waitMs + answerGraceMs)
    const parsed = responseSchema.safeParse(result)
    if (!parsed.success) throw createError(ErrorKind.Internal, `the peer's answer is malformed: ${parsed.error.message}`)
    const { confirmedAfterArrivalMs, compressedValue, ...copy } = parsed.data
    // The request arrived after it was sent, so this is not later than the time of the confirmation; nor can that be after the answer.
    const confirmedAt = shiftClocks(sentAt, Math.min(confirmedAfterArrivalMs, getOffsetMs(sentAt, readClocks())))
    if (getElapsedMs(confirmedAt) > maxPeerAgeMs) throw createError(ErrorKind.StoreUnavailable, 'the peer\'s copy has not been confirmed lately')
    if (version !== undefined && copy.version < version) throw createError(ErrorKind.StoreUnavailable, `the peer's copy is older, of version ${copy.version}`)
    if (compressedValue === undefined) return { ...copy, confirmedAt }
    const value = inflateSync(Buffer.from(compressedValue, 'base64'), { maxOutputLength: maxValueBytes }).toString()
    return { ...copy, confirmedAt, value }
  }

  /** Keeps to the followed peer; otherwise selects one at random that has not just failed, from the own domain if it has any. */
  function selectPeer (): string | undefined {
    const peers = host.getPeers()
    if (followed !== undefined && peers.some(({ address }) => address === followed)) return followed
    const others = peers.filter(({ address }) => address !== lastFailed)
    const ownDomain = others.filter(({ isInOwnDomain }) => isInOwnDomain)
    const candidates = [ownDomain, others, peers].find(({ length }) => length > 0) ?? []
    return candidates[Math.floor(host.random() * candidates.length)]?.address
  }

  function recordFailure (address: string, error: unknown): void {
    followed = undefined
    lastFailed = address
    failures++
    host.logger.info('cannot follow the configuration of a peer', { address, failures, error: String(error) })
    if (failures < maxFailures) return
    failures = 0
    pausedUntilMs = performance.now() + peerPauseMs
  }
}
