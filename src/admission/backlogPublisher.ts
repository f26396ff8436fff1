/** Publishes the summary of the backlog in the store during one term. */
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { areConditionsMet, createRevisionGuard, transactGuarded } from '../store/revisionGuard.js'
import { backlogKey, encodeBacklog } from './backlogCodec.js'
import type { BacklogSummary } from './backlogSummary.js'

/** Dependencies of the publisher. */
export interface BacklogPublisherHost {
  readonly store: MetadataStore
  readonly term: Term
  readonly logger: Logger
  /** Returns the present summary; undefined while the scheduler does not yet know its jobs and workers. */
  readonly summarize: () => BacklogSummary | undefined
}

/** Minimum interval between two writes, in ms. */
const writePeriodMs = 1_000
/** While work waits, an unchanged summary is written again after this, in ms, well before hosts ignore it for its age. */
const refreshPeriodMs = 1_900
/** A wait that differs from the published one by less than this, in ms and as a share, has not changed materially: estimates are less exact. */
const waitToleranceMs = 500
const waitToleranceShare = 0.1

/** Starts publishing; it ends with the term. */
export function createBacklogPublisher (host: BacklogPublisherHost): void {
  const { store, term, logger } = host
  const guard = createRevisionGuard(backlogKey)
  let published: BacklogSummary | undefined
  void run()

  async function run (): Promise<void> {
    while (!term.signal.aborted) {
      const summary = term.isValid() ? host.summarize() : undefined
      if (summary !== undefined && isWriteDue(published, summary)) await tryPublish(summary)
      await delay(writePeriodMs, term.signal)
    }
  }

  async function tryPublish (summary: BacklogSummary): Promise<void> {
    const expected = [{ key: term.leaderKey, revision: term.leaderRevision }]
    try {
      const result = await transactGuarded(store, guard, { expected, writes: [{ key: backlogKey, value: encodeBacklog(summary) }] })
      if (result.isCommitted) published = summary
      else if (!areConditionsMet(expected, result)) logger.info('the backlog is not published, as another host holds the leader key', { epoch: term.epoch })
    } catch (error) {
      logger.info('failed to publish the backlog', { error: String(error) })
    }
  }
}

/** Tells whether the summary differs materially from what hosts conclude from the published one, or has to be renewed. */
export function isWriteDue (published: BacklogSummary | undefined, summary: BacklogSummary): boolean {
  // The first write of a term replaces the summary of the term before.
  if (published === undefined) return true
  const elapsedMs = summary.atMs - published.atMs
  const waits = getWaits(summary)
  const publishedWaits = getWaits(published)
  if (waits.size > 0 && (elapsedMs >= refreshPeriodMs || elapsedMs < 0)) return true
  for (const key of new Set([...waits.keys(), ...publishedWaits.keys()])) {
    const waitMs = waits.get(key) ?? 0
    // Hosts subtract the age of the summary from its waits.
    const concludedMs = Math.max(0, (publishedWaits.get(key) ?? 0) - elapsedMs)
    if (Math.abs(waitMs - concludedMs) > waitToleranceMs + waitToleranceShare * waitMs) return true
  }
  // Guarantees matter only while a wait is published.
  return waits.size > 0 && JSON.stringify([...summary.urgentAccelerators]) !== JSON.stringify([...published.urgentAccelerators])
}

/** The waits that are not 0, by service, priority and resource. */
function getWaits ({ services }: BacklogSummary): Map<string, number> {
  const waits = new Map<string, number>()
  for (const { service, levels } of services) {
    for (const { priority, acceleratorWaitMs, coreWaitMs } of levels) {
      if (acceleratorWaitMs > 0) waits.set(`${priority} accelerators ${service}`, acceleratorWaitMs)
      if (coreWaitMs > 0) waits.set(`${priority} cores ${service}`, coreWaitMs)
    }
  }
  return waits
}
