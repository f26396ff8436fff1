/**
 * Changes of job records that a scheduler could not write while the store was unavailable. The other hosts of its
 * domain keep them in memory for the next scheduler. They are only hints: the records in the store take precedence.
 */
import { z } from 'zod'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcClient } from '../common/rpcClient.js'
import type { RpcMethod } from '../common/rpcServer.js'
import type { JobRecord } from './jobTypes.js'

/** Sends hints to other hosts, and keeps the hints that this host has received. */
export interface RecordHints {
  readonly methods: readonly RpcMethod[]
  /** Sends the changes to the other hosts; resolves when each has responded or timed out. */
  share (epoch: number, records: readonly JobRecord[]): Promise<void>
  /** Returns the hints received from the scheduler with the highest epoch, or none if these are too old. */
  get (): readonly JobRecord[]
}

const keepMethod = 'jobs.keepHints'
const shareTimeoutMs = 500
/** Far shorter than the retention of records, so that no hint restores a job whose record has been removed. */
const maxHintAgeMs = 6 * 3_600_000

const hintsSchema = z.strictObject({ epoch: z.number(), records: z.array(z.custom<JobRecord>(isRecord)).max(2_000) })

/** Creates the hints of a host, without any received hints. */
export function createRecordHints (getPeers: () => readonly RpcClient[]): RecordHints {
  let records: readonly JobRecord[] = []
  let epoch = 0
  let receivedAtMs = 0

  return { methods: [defineMethod(keepMethod, hintsSchema, storeHints)], share, get }

  async function storeHints (hints: { readonly epoch: number, readonly records: readonly JobRecord[] }): Promise<boolean> {
    if (hints.epoch < epoch) return false
    epoch = hints.epoch
    records = hints.records
    receivedAtMs = Date.now()
    return true
  }

  async function share (ownEpoch: number, unwritten: readonly JobRecord[]): Promise<void> {
    await Promise.all(getPeers().map(peer => peer.call(keepMethod, { epoch: ownEpoch, records: unwritten }, shareTimeoutMs).catch(() => false)))
  }

  function get (): readonly JobRecord[] {
    return Date.now() - receivedAtMs <= maxHintAgeMs ? records : []
  }
}

function isRecord (value: unknown): boolean {
  return typeof value === 'object' && value !== null && 'spec' in value && 'state' in value && 'attempt' in value
}
