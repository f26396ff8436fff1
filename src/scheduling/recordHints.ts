/**
 * Changes of job records that a scheduler could not write while the store is out, kept in memory by the other
 * hosts of its domain, for a successor. They are hints, not a store: the records in the platform's store win.
 */
import { z } from 'zod'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcClient } from '../common/rpcCall.js'
import type { RpcMethod } from '../common/rpcServer.js'
import type { JobRecord } from './jobTypes.js'

/** The hints of one host. */
export interface RecordHints {
  readonly methods: readonly RpcMethod[]
  /** Gives the changes to the other hosts; resolves when each has them or does not answer. */
  share (epoch: number, records: readonly JobRecord[]): Promise<void>
  /** Returns what the newest scheduler of the domain has left here. */
  get (): readonly JobRecord[]
}

const keepMethod = 'jobs.keepHints'
const shareTimeoutMs = 500
/** Far shorter than records are kept, so that no hint revives a job whose record has been removed. */
const maxAgeMs = 6 * 3_600_000

const hintsSchema = z.strictObject({ epoch: z.number(), records: z.array(z.custom<JobRecord>(isRecord)).max(2_000) })

/** Creates the hints of a host. */
export function createRecordHints (getPeers: () => readonly RpcClient[]): RecordHints {
  let records: readonly JobRecord[] = []
  let epoch = 0
  let keptAtMs = 0

  return { methods: [defineMethod(keepMethod, hintsSchema, keep)], share, get }

  async function keep (hints: { readonly epoch: number, readonly records: readonly JobRecord[] }): Promise<boolean> {
    if (hints.epoch < epoch) return false
    epoch = hints.epoch
    records = hints.records
    keptAtMs = Date.now()
    return true
  }

  async function share (ownEpoch: number, unwritten: readonly JobRecord[]): Promise<void> {
    await Promise.all(getPeers().map(peer => peer.call(keepMethod, { epoch: ownEpoch, records: unwritten }, shareTimeoutMs).catch(() => false)))
  }

  function get (): readonly JobRecord[] {
    return Date.now() - keptAtMs <= maxAgeMs ? records : []
  }
}

function isRecord (value: unknown): boolean {
  return typeof value === 'object' && value !== null && 'spec' in value && 'state' in value && 'attempt' in value
}
