/** The stored form of the records of granted leases. See docs/design/lease-evidence.md. */
import * as z from 'zod/mini'
import { tryParseJson } from '../common/boundedJson.js'
import type { StoredItem } from '../store/metadataStore.js'

/** The prefix of the records of all terms. */
export const grantPrefix = 'grants/'

const silentSchema = z.object({ uncertainRuns: z.array(z.string()), isLifeKnown: z.boolean() })
/** Workers without uncertain runs whose lives are known, and others. */
const renewedSchema = z.object({ known: z.array(z.string()), other: z.record(z.string(), silentSchema) })
/**
 * `silentWorkers` lists workers by the key of a timer: a key under a lease of the store, which the store removes when the leases of these workers have ended.
 * Programs that do not know the field wait for the whole record. Earlier versions write `silent`, and only for workers without uncertain runs.
 * `renewed` lists workers in the same way that may answer, and whose leases are not extended before a record without them is stored. It does not cover the runs
 * of jobs whose progress was stored after `upToRevision`.
 */
const recordSchema = z.object({
  excluded: z.array(z.string()),
  silent: z.optional(z.record(z.string(), z.array(z.string()))),
  silentWorkers: z.optional(z.record(z.string(), z.record(z.string(), silentSchema))),
  knownLives: z.optional(z.record(z.string(), z.number())),
  renewed: z.optional(z.record(z.string(), renewedSchema)),
  upToRevision: z.optional(z.number())
})

const referenceSchema = z.object({ epoch: z.number(), leaseId: z.number() })

/** The reference names the term that has created it and its lease. */
export type Reference = z.infer<typeof referenceSchema>
/** A record as it is stored. */
export type EncodedRecord = z.infer<typeof recordSchema>
/** Workers that a record names under one timer. */
export type EncodedRenewed = z.infer<typeof renewedSchema>

/** What the record of one term says of a worker to which that term has granted no lease that may last. */
export interface Exclusion {
  readonly uncertainRuns: readonly string[]
  /** Undefined if that term has granted it no lease at all. */
  readonly isLifeKnown?: boolean
  /** Runs of jobs whose progress was stored after this revision are not covered. All are covered if it is not given. */
  readonly upToRevision?: number
}

/**
 * The workers to which the term of a record has granted no lease that may last, given the keys that exist. An entry that cannot be decoded excludes no worker. Returns
 * undefined if the record cannot be decoded.
 */
export function tryDecodeExclusions ({ key, value }: StoredItem, existingKeys: ReadonlySet<string>): ReadonlyMap<string, Exclusion> | undefined {
  const record = recordSchema.safeParse(tryParseJson(value))
  if (!record.success) return undefined
  const { excluded, silent = {}, silentWorkers, renewed = {}, upToRevision = 0 } = record.data
  const isOver = ([timerKey]: readonly [string, unknown]): boolean => !existingKeys.has(timerKey) && timerKey.startsWith(getTimerPrefix(key))
  return new Map<string, Exclusion>([
    // Those that earlier versions exclude may have had leases that have ended.
    ...excluded.map(workerId => [workerId, { uncertainRuns: [], ...silentWorkers === undefined ? { isLifeKnown: false } : {} }] as const),
    ...Object.entries(silent).filter(isOver).flatMap(([, workerIds]) => workerIds.map(workerId => [workerId, { uncertainRuns: [], isLifeKnown: false }] as const)),
    ...Object.entries(renewed).filter(isOver).flatMap(([, { known, other }]) => [
      ...known.map(workerId => [workerId, { uncertainRuns: [], isLifeKnown: true, upToRevision }] as const),
      ...Object.entries(other).map(([workerId, worker]) => [workerId, { ...worker, upToRevision }] as const)
    ]),
    ...Object.entries(silentWorkers ?? {}).filter(isOver).flatMap(([, workers]) => Object.entries(workers))
  ])
}

/** The young lives that a record names as known, by worker. */
export function decodeKnownLives ({ value }: Pick<StoredItem, 'value'>): readonly (readonly [string, number])[] {
  return Object.entries(recordSchema.safeParse(tryParseJson(value)).data?.knownLives ?? {})
}

/** The prefix of the timers of the term with this record. */
export function getTimerPrefix (recordKey: string): string {
  return `${recordKey}/`
}

/** The key of the timer for workers that answer, under a lease that was granted for a renewal of the record. */
export function getRenewedTimerKey (recordKey: string, leaseId: number): string {
  return `${getTimerPrefix(recordKey)}r${leaseId}`
}

/** Tells whether a key of the record's prefix is such a timer. */
export function isRenewedTimerKey (key: string): boolean {
  return /\/r\d+$/.test(key)
}

/** Returns undefined if there is no reference, or it cannot be decoded. */
export function tryDecodeReference (item: Pick<StoredItem, 'value'> | undefined): Reference | undefined {
  return item === undefined ? undefined : referenceSchema.safeParse(tryParseJson(item.value)).data
}

/** Tells whether a key under the prefix is the record of a term. */
export function isRecordKey (key: string): boolean {
  return /^\d+$/.test(key.slice(grantPrefix.length))
}
