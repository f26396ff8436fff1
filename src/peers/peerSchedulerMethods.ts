/** RPC methods by which hosts find out whether the scheduling host polls the workers, and deliver to it the ends that they have read. */
import * as z from 'zod/mini'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { EndKind } from '../jobs/jobModel.js'
import { maxCheckpointLength, maxNameLength } from '../readers/readEnds.js'
import type { ReadEnd } from '../readers/readEnds.js'

/** Names of the RPC methods. */
export const peerSchedulerMethods = { getTerm: 'scheduler.getTerm', suspect: 'scheduler.suspect', reportEnds: 'scheduler.reportEnds' } as const

/** The term in which a host schedules. */
export interface PeerTerm {
  /** Undefined if the host does not schedule. */
  readonly epoch?: number | undefined
  /** True from the first polls of the term on. */
  readonly isPolling: boolean
}

/** Dependencies of the methods. */
export interface PeerSchedulerHost {
  readonly getOwnTerm: () => PeerTerm
  /** Called when another host has got no answer from the scheduler of this epoch. */
  readonly onSuspected: (epoch: number) => void
  /** Hands ends to the own scheduler. Returns false if it does not schedule in this epoch. */
  readonly acceptEnds: (epoch: number, ends: readonly ReadEnd[], from: string) => boolean
}

/** The most ends in one call: with the longest names about 200 KB, usually 30 KB. */
export const maxEndsPerCall = 200
/** Older ends are not delivered, in ms; it bounds what a peer may say. */
const maxAgeMs = 60_000

const epochSchema = z.int().check(z.nonnegative())
const nameSchema = z.string().check(z.minLength(1), z.maxLength(maxNameLength))
const endSchema = z.object({
  workerId: nameSchema,
  bornAtMs: z.int().check(z.nonnegative()),
  sequence: z.int().check(z.nonnegative()),
  task: nameSchema,
  run: z.int().check(z.positive()),
  how: z.enum(EndKind),
  checkpoint: z.string().check(z.maxLength(maxCheckpointLength)),
  epoch: epochSchema,
  ageMs: z.number().check(z.nonnegative(), z.maximum(maxAgeMs))
})
const reportSchema = z.object({ epoch: epochSchema, from: nameSchema, ends: z.array(endSchema).check(z.maxLength(maxEndsPerCall)) })
const suspicionSchema = z.object({ epoch: epochSchema })
const termSchema = z.object({ epoch: z.optional(epochSchema), isPolling: z.boolean() })
const acceptanceSchema = z.object({ isAccepted: z.boolean() })

/** Creates the methods. */
export function createPeerSchedulerMethods (host: PeerSchedulerHost): readonly RpcMethod[] {
  return [
    defineMethod(peerSchedulerMethods.getTerm, z.object({}), async () => host.getOwnTerm()),
    defineMethod(peerSchedulerMethods.suspect, suspicionSchema, async ({ epoch }) => {
      host.onSuspected(epoch)
      return {}
    }),
    defineMethod(peerSchedulerMethods.reportEnds, reportSchema, async ({ epoch, from, ends }) => {
      const nowMs = performance.now()
      return { isAccepted: host.acceptEnds(epoch, ends.map(({ ageMs, ...end }) => ({ ...end, readAtMs: nowMs - ageMs })), from) }
    })
  ]
}

/** The parameters that deliver the ends to the term with this epoch. */
export function encodeEnds (epoch: number, from: string, ends: readonly ReadEnd[]): object {
  const nowMs = performance.now()
  return { epoch, from, ends: ends.map(({ readAtMs, ...end }) => ({ ...end, ageMs: Math.max(0, Math.round(nowMs - readAtMs)) })) }
}

/** Decodes a peer's answer; undefined if it is malformed. */
export function tryDecodeTerm (answer: unknown): PeerTerm | undefined {
  return termSchema.safeParse(answer).data
}

/** Tells whether a peer has accepted ends. */
export function isAcceptance (answer: unknown): boolean {
  return acceptanceSchema.safeParse(answer).data?.isAccepted === true
}
