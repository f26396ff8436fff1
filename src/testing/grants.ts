/** Stand-ins for tests of granted leases. */
import type { SilentWorker } from '../runs/grantRecord.js'
import type { WorkerPoolHost } from '../runs/workerPool.js'

/** Creates the record of a term that knows nothing of earlier terms, without a store. It allows leases of up to `maxLeaseMs`. */
export function createGrants (maxLeaseMs: number): WorkerPoolHost['grants'] {
  return { getMaxGrantMs: () => maxLeaseMs, getMaxRenewalMs: () => maxLeaseMs, getEndedLeases: () => undefined, isLifeKnown: () => false, excludeSilent: () => [], isExcluded: () => false, include: async () => {}, requestExtension: async () => {}, requestNaming: () => {} }
}

/** Workers whose start requests have all been answered, of whose earlier lives nothing is known. */
export function createSilentWorkers (...workerIds: readonly string[]): readonly SilentWorker[] {
  return workerIds.map(workerId => ({ workerId, uncertainRuns: [], isLifeKnown: false }))
}
