/** Polls of one worker through other hosts, one at a time, while it does not answer this one. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { RelayedPoll, WorkerStatusReport } from '../workers/workerPort.js'

/** Dependencies of the relayed polls. */
export interface RelayedPollsHost {
  readonly term: Pick<Term, 'epoch' | 'isValid' | 'resign' | 'signal'>
  readonly logger: Logger
  readonly workerId: string
  /** Polls the worker through other hosts; undefined if there is no such way. */
  readonly poll: ((poll: RelayedPoll) => Promise<WorkerStatusReport>) | undefined
  /** Tells whether the worker is still to be polled through other hosts. */
  readonly isDue: () => boolean
  /** The present incarnation of the worker, by its start as Unix time in ms. */
  readonly getBornAtMs: () => number
  /** The end to which the lease may be extended by a relayed poll that is sent now, on the worker's clock; undefined if it may not. */
  readonly getLeaseUntilMs: () => number | undefined
  /** Called before a poll that extends the lease is sent. */
  readonly onExtension: (leaseUntilMs: number) => void
  /** Tells whether a report that was sent at that time is still of use: a report that came directly is newer. */
  readonly isCurrent: (sentAtMs: number) => boolean
  /** How long the worker has answered neither directly nor through other hosts, in ms. */
  readonly getSilentForMs: () => number
  /** When the worker's clock was last read, by the monotonic clock; -Infinity if it is unknown. */
  readonly getClockReadAtMs: () => number
  readonly onReport: (report: WorkerStatusReport, sentAtMs: number) => void
  /** Called when the worker has answered through other hosts before, and does not any more. */
  readonly onSilent: () => void
}

/** The relayed polls of one worker. */
export interface RelayedPolls {
  /** Polls until `isDue` tells otherwise. Does nothing while it does so already. */
  poll (): Promise<void>
  /** Tells whether the latest poll through other hosts was answered, and none has been answered directly since the worker fell silent. */
  isAnswered (): boolean
}

/** Pause between two relayed polls of a worker, in ms; it doubles with each that fails, up to the longest, since the worker may be gone. */
const minRelayPauseMs = 400
const maxRelayPauseMs = 2_000
/**
 * A worker whose relayed polls are turned away counts as silent when it has not answered for longer than this, in ms: its lease is not extended meanwhile, and three
 * polls in a row are rarely turned away.
 */
const maxTurnedAwayMs = 1_500

/** Creates the relayed polls of one worker. */
export function createRelayedPolls (host: RelayedPollsHost): RelayedPolls {
  const { term, logger, workerId } = host
  let isPolling = false
  let isAnswered = false
  /** The latest poll was turned away because too many were under way. */
  let isTurnedAway = false

  return { poll, isAnswered: () => isAnswered }

  async function poll (): Promise<void> {
    if (isPolling || host.poll === undefined) return
    isPolling = true
    let pauseMs = minRelayPauseMs
    while (host.isDue() && !term.signal.aborted) {
      if (term.isValid()) pauseMs = await tryPoll(host.poll) ? minRelayPauseMs : Math.min(2 * pauseMs, maxRelayPauseMs)
      await delay(pauseMs, term.signal)
    }
    isPolling = false
    isAnswered = false
  }

  async function tryPoll (send: (request: RelayedPoll) => Promise<WorkerStatusReport>): Promise<boolean> {
    const sentAtMs = performance.now()
    const bornAtMs = host.getBornAtMs()
    // As with direct polls, the lease of a worker that has not answered the previous poll is not extended.
    const untilMs = isAnswered && !isTurnedAway ? host.getLeaseUntilMs() : undefined
    if (untilMs !== undefined) host.onExtension(untilMs)
    isTurnedAway = false
    try {
      const report = await send({ epoch: term.epoch, lease: untilMs === undefined ? undefined : { untilMs, incarnationMs: bornAtMs } })
      if (!host.isCurrent(sentAtMs) || term.signal.aborted) return false
      // Only reports that come directly show a restart.
      if ((report.bornAtMs ?? host.getBornAtMs()) !== host.getBornAtMs()) {
        onFailed()
        return false
      }
      logger.info('report of a worker read through another host', { workerId, running: report.running.length, ended: report.ended.length, silentForMs: Math.round(host.getSilentForMs()) })
      isAnswered = true
      host.onReport(report, sentAtMs)
      return true
    } catch (error) {
      isTurnedAway = isErrorOfKind(error, ErrorKind.Overloaded)
      // A poll that was turned away shows nothing about the worker. One that answered is asked again soon.
      if (isTurnedAway && performance.now() - host.getClockReadAtMs() <= maxTurnedAwayMs) return isAnswered
      onFailed()
      if (isErrorOfKind(error, ErrorKind.StaleEpoch)) term.resign(`worker ${workerId} has seen a higher epoch`)
      return false
    }
  }

  function onFailed (): void {
    if (isAnswered) host.onSilent()
    isAnswered = false
  }
}
