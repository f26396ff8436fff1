/** Reads the summary of the backlog for one host, on demand and at most once a second. */
import { getElapsedMs, readClocks } from '../common/elapsedTime.js'
import type { ClockReading } from '../common/elapsedTime.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { backlogKey, tryDecodeBacklog } from './backlogCodec.js'
import type { BacklogSummary } from './backlogSummary.js'

/** Dependencies of the reader. */
export interface BacklogReaderHost {
  readonly store: Pick<MetadataStore, 'get'>
  readonly logger: Logger
}

/** A summary and the time since it was computed, in ms. */
export interface AgedSummary {
  readonly summary: BacklogSummary
  readonly ageMs: number
}

/** The reader of one host. */
export interface BacklogReader {
  /**
   * Returns the latest summary; undefined if it is missing, unreadable, superseded by a higher epoch, or of unknown age. The deadline is
   * by the monotonic clock, in ms. Never rejects.
   */
  read (deadlineMs: number): Promise<AgedSummary | undefined>
}

/** Minimum interval between two reads, in ms. */
const readPeriodMs = 1_000
/** How long a submission waits for a read, in ms: a sixth of the slack of an urgent job, about 1.5 s. Slower reads are used by later submissions. */
const maxReadWaitMs = 250
/** The share of the time until the caller's deadline that a read may take, so that enough is left to write the job. */
const maxReadWaitShare = 0.25
/** A summary dated further ahead than this, in ms, is not used: the clocks of the two hosts differ, so its age is not known. */
const maxClockLeadMs = 500

interface Copy {
  readonly summary: BacklogSummary
  readonly revision: number
  /** When the read that first returned this revision was sent. */
  readonly seenAt: ClockReading
}

/** Creates the reader of one host. */
export function createBacklogReader (host: BacklogReaderHost): BacklogReader {
  let copy: Copy | undefined
  let highestEpoch = 0
  let startedAtMs = -Infinity
  let ongoingRead: Promise<void> | undefined
  return { read }

  async function read (deadlineMs: number): Promise<AgedSummary | undefined> {
    if (ongoingRead === undefined && performance.now() - startedAtMs >= readPeriodMs) {
      startedAtMs = performance.now()
      ongoingRead = update().finally(() => { ongoingRead = undefined })
    }
    if (ongoingRead !== undefined) await waitFor(ongoingRead, Math.min(maxReadWaitMs, Math.max(0, deadlineMs - performance.now()) * maxReadWaitShare))
    return copy === undefined ? undefined : toAged(copy)
  }

  /** After a failed read the copy stays in use until it is too old. */
  async function update (): Promise<void> {
    const seenAt = readClocks()
    try {
      const item = await host.store.get(backlogKey)
      if (item === undefined) copy = undefined
      else if (item.revision !== copy?.revision) copy = decode(item.value, item.revision, seenAt)
    } catch (error) {
      host.logger.info('the backlog could not be read', { error: String(error) })
    }
  }

  function decode (value: string, revision: number, seenAt: ClockReading): Copy | undefined {
    const summary = tryDecodeBacklog(value)
    if (summary === undefined || summary.epoch < highestEpoch) {
      host.logger.warn('the published backlog is not used', { isReadable: summary !== undefined, epoch: summary?.epoch, highestEpoch })
      return undefined
    }
    highestEpoch = summary.epoch
    return { summary, revision, seenAt }
  }
}

/** The age by the date of the summary, or the time since this host first saw it, whichever is longer: the clocks of hosts differ and may jump. */
function toAged ({ summary, seenAt }: Copy): AgedSummary | undefined {
  const ageByDateMs = Date.now() - summary.atMs
  return ageByDateMs < -maxClockLeadMs ? undefined : { summary, ageMs: Math.max(ageByDateMs, getElapsedMs(seenAt)) }
}

async function waitFor (read: Promise<void>, timeoutMs: number): Promise<void> {
  const timeoutController = new AbortController()
  await Promise.race([read, delay(timeoutMs, timeoutController.signal)])
  timeoutController.abort()
}
