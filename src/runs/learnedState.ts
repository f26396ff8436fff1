/**
 * Keeps what a scheduler has learned, run times by queue and speeds of machines, in the store for its successor. Nothing waits for it: a record
 * that can't be read is learned again, and one that can't be written is written later.
 */
import * as z from 'zod/mini'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import type { QueueRunTimes, RunTimes } from '../placement/runTimes.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { createRevisionGuard, transactGuarded } from '../store/revisionGuard.js'
import type { MachineSpeedRecord, MachineSpeeds } from '../workers/machineSpeed.js'

/** Dependencies of the learned state. */
export interface LearnedStateHost {
  readonly store: Pick<MetadataStore, 'get' | 'transact'>
  readonly term: Term
  readonly logger: Logger
  readonly runTimes: Pick<RunTimes, 'export' | 'import'>
  readonly speeds: Pick<MachineSpeeds, 'export' | 'import'>
}

/** The key of the record. */
export const learnedStateKey = 'learned/scheduler'
/** Shortest interval between two writes, in ms. */
export const learnedStatePeriodMs = 5_000
/** An older record is ignored, in ms: speeds are forgotten by then, and queues may have changed. */
export const maxLearnedAgeMs = 600_000
/** The most machines in a record, and the most bytes of a record. */
const maxMachines = 300
export const maxLearnedBytes = 16_384
/** Reading is given up after so many attempts: by then the term has learned anew. */
const maxReads = 10
const readRetryPauseMs = 300

const recordSchema = z.object({
  epoch: z.int(),
  atMs: z.number(),
  runTimes: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
  speeds: z.array(z.tuple([z.string(), z.number(), z.number()]))
})

interface LearnedRecord {
  readonly epoch: number
  /** When it was written, as Unix time. */
  readonly atMs: number
  readonly runTimes: readonly QueueRunTimes[]
  readonly speeds: readonly MachineSpeedRecord[]
}

/** Reads the record of the previous term, then writes this term's record until the term ends. */
export function createLearnedState (host: LearnedStateHost): void {
  const { store, term, logger, runTimes, speeds } = host
  const guard = createRevisionGuard(learnedStateKey)
  let written = ''
  void run()

  async function run (): Promise<void> {
    await read()
    while (!term.signal.aborted) {
      await delay(learnedStatePeriodMs, term.signal)
      if (!term.signal.aborted && term.isValid()) await write()
    }
  }

  async function read (): Promise<void> {
    for (let reads = 0; reads < maxReads && !term.signal.aborted; reads++) {
      try {
        const item = await store.get(learnedStateKey)
        if (item !== undefined && !term.signal.aborted) apply(item.value)
        return
      } catch (error) {
        logger.info('the learned state could not be read', { error: String(error), reads })
        await delay(readRetryPauseMs, term.signal)
      }
    }
  }

  function apply (value: string): void {
    const record = tryDecode(value)
    const ageMs = record === undefined ? undefined : Math.max(0, Date.now() - record.atMs)
    // A record of a higher epoch was written by a successor of this term.
    if (record === undefined || ageMs === undefined || ageMs > maxLearnedAgeMs || record.epoch > term.epoch) {
      logger.info('the learned state is ignored', { ageMs, recordEpoch: record?.epoch, epoch: term.epoch, isReadable: record !== undefined })
      return
    }
    runTimes.import(record.runTimes)
    speeds.import(record.speeds, ageMs, performance.now())
    logger.info('the learned state was read', { ageMs, recordEpoch: record.epoch, queues: record.runTimes.length, machines: record.speeds.length })
  }

  /**
   * The condition on the leader key keeps a term that has ended from overwriting the record of its successor; the guard keeps a late write of this term
   * from overwriting a newer record.
   */
  async function write (): Promise<void> {
    const content = { runTimes: runTimes.export(), speeds: speeds.export(performance.now(), maxMachines) }
    const serialized = JSON.stringify(content)
    if (serialized === written || (content.runTimes.length === 0 && content.speeds.length === 0)) return
    const value = encodeLearnedState({ epoch: term.epoch, atMs: Date.now(), ...content })
    try {
      const result = await transactGuarded(store, guard, { expected: [{ key: term.leaderKey, revision: term.leaderRevision }], writes: [{ key: learnedStateKey, value }] })
      if (result.isCommitted) written = serialized
    } catch (error) {
      logger.info('the learned state could not be stored', { error: String(error), bytes: value.length })
    }
  }
}

/** Encodes a record. One that is too long loses the machines that differ least, then the queues with the fewest runs. */
export function encodeLearnedState (record: LearnedRecord): string {
  let { speeds, runTimes } = record
  while (true) {
    const value = JSON.stringify({ ...record, runTimes, speeds })
    if (Buffer.byteLength(value) <= maxLearnedBytes) return value
    if (speeds.length > 0) speeds = speeds.slice(0, Math.floor(speeds.length * 0.8))
    else runTimes = runTimes.slice(0, Math.floor(runTimes.length * 0.8))
  }
}

function tryDecode (value: string): LearnedRecord | undefined {
  try {
    const record = recordSchema.safeParse(JSON.parse(value))
    return record.success ? record.data : undefined
  } catch {
    return undefined
  }
}
