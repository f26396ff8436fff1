/**
 * Inquiries that wait at a worker beside its polls while a run there decides whether other work may start (`decisiveEnds.ts`): the loss of an answer shows only when its
 * time is over, and a worker may be gone 60 ms after the end. Like all inquiries they acknowledge nothing and extend no lease, so that it does no harm if one is carried out late.
 */
import { delay } from '../common/time.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { WaitingInquiryHost } from './waitingInquiry.js'

/** Dependencies of the decisive inquiries. `isDue` tells whether an end on the worker decides; `getExpectedEndMs` is that of the runs that decide. */
export interface DecisiveInquiriesHost extends Omit<WaitingInquiryHost, 'losses'> {
  readonly slots: DecisiveSlots | undefined
}

/** The decisive inquiries of one worker. */
export interface DecisiveInquiries {
  /** Must be called regularly while an end on the worker decides. */
  review (): void
}

/** Limits the decisive inquiries of one term. */
export interface DecisiveSlots {
  tryTake (isStanding: boolean): boolean
  release (isStanding: boolean): void
}

/** Who sends the inquiries of a lane, and when. */
interface Lane {
  readonly isRelayed: boolean
  /** The first one is sent this long before the end that is expected, in ms; undefined if an inquiry waits at all times. */
  readonly leadMs?: number
}

/**
 * One inquiry of this host waits at all times. When the progress announces the end, three more do, two of them through two other hosts each: while six in ten requests get no answer, none of
 * the seven at the worker is answered in 3 of 100 cases, and with two in 36. They are sent apart in time, so that one disturbance does not concern all.
 */
const lanes: readonly Lane[] = [{ isRelayed: false }, { isRelayed: true, leadMs: 500 }, { isRelayed: false, leadMs: 400 }, { isRelayed: true, leadMs: 300 }]
/** How long an inquiry waits, in ms: as long as a poll; less where the end is near, so that a lost one is soon repeated. */
const standingWaitMs = 1_500
const nearWaitMs = 700
/** The end is no longer taken for near this long after it should have come, in ms: a run that has slowed down is overdue for long. */
const overdueMs = 600
/** The time for the answer beyond the wait, in ms, where the end is near: a few round trips between regions. */
const nearAnswerMs = 150
/** An inquiry of this host is sent at least this long after the poll under way, in ms, so that one disturbance does not concern both. */
const minOffsetMs = 100
/** The most inquiries under way that wait at all times, and of those where the end is near: each takes a connection, and some 3 ms of the smallest host. */
const maxStanding = 32
const maxNear = 48
/** An answer in this time, in ms, came at once: the worker lists ends that are not acknowledged yet. The pause that follows doubles up to the longer one, but where an end is near. */
const promptMs = 250
const minPauseMs = 100
const maxPauseMs = 800

/** Inquiries where an end decides go on for this long, in ms, after the worker fell silent: of several requests that are lost at six in ten, one is answered within it. */
export const maxDecisiveSilenceMs = 4_000

/** Creates the limits of one term. */
export function createDecisiveSlots (): DecisiveSlots {
  const active = { standing: 0, near: 0 }
  return {
    tryTake: isStanding => {
      if (isStanding ? active.standing >= maxStanding : active.near >= maxNear) return false
      active[isStanding ? 'standing' : 'near']++
      return true
    },
    release: isStanding => { active[isStanding ? 'standing' : 'near']-- }
  }
}

/** Creates the decisive inquiries of one worker. */
export function createDecisiveInquiries (host: DecisiveInquiriesHost): DecisiveInquiries {
  const { term, port, slots } = host
  const activeLanes = new Set<Lane>()

  return { review }

  function review (): void {
    if (!term.isValid() || !host.isDue()) return
    for (const lane of lanes) {
      const isPossible = !lane.isRelayed || host.pollThroughPeers !== undefined
      if (isPossible && !activeLanes.has(lane) && isLaneDue(lane)) void sendWhileDue(lane)
    }
  }

  function isLaneDue ({ leadMs }: Lane): boolean {
    if (leadMs === undefined) return true
    const nowMs = performance.now()
    return host.getExpectedEndMs(nowMs - overdueMs) < nowMs + leadMs
  }

  async function sendWhileDue (lane: Lane): Promise<void> {
    const isStanding = lane.leadMs === undefined
    let pauseMs = minPauseMs
    activeLanes.add(lane)
    while (term.isValid() && host.isDue() && isLaneDue(lane) && slots?.tryTake(isStanding) === true) {
      let isPauseDue: boolean
      try {
        isPauseDue = await send(lane, isStanding)
      } finally {
        slots.release(isStanding)
      }
      if (!isPauseDue) {
        pauseMs = minPauseMs
        continue
      }
      await delay(pauseMs, term.signal)
      if (isStanding) pauseMs = Math.min(2 * pauseMs, maxPauseMs)
    }
    activeLanes.delete(lane)
  }

  /** Sends an inquiry. Resolves to whether a pause is due before the next one. */
  async function send ({ isRelayed }: Lane, isStanding: boolean): Promise<boolean> {
    const offsetMs = minOffsetMs - host.getPollAgeMs()
    if (!isRelayed && offsetMs > 0) await delay(offsetMs, term.signal)
    if (!term.isValid() || !host.isDue()) return false
    const sentAtMs = performance.now()
    const waitMs = isStanding ? standingWaitMs : nearWaitMs
    try {
      const report = isRelayed
        ? await (host.pollThroughPeers as NonNullable<typeof host.pollThroughPeers>)({ epoch: term.epoch, waitMs, isDecisive: true })
        : await port.renewLease({ epoch: term.epoch, acknowledgedSequence: 0, waitMs, isConcurrent: true, ...(isStanding ? {} : { answerTimeoutMs: nearAnswerMs }) })
      host.onAnswered(report, sentAtMs, isRelayed)
      return performance.now() - sentAtMs < promptMs
    } catch (error) {
      host.onFailed(error, isRelayed)
      // One that got no answer in its time is repeated at once; a refusal, or a host that cannot be reached, would come again at once.
      return !isErrorOfKind(error, ErrorKind.AnswerLost) || performance.now() - sentAtMs < promptMs
    }
  }
}
