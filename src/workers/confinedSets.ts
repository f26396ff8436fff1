/** Finds the workers to which required labels confine the work of a service. */
import type { TrackedJob } from '../jobs/trackedJob.js'
import { isUsable } from './workerState.js'
import type { WorkerState } from './workerState.js'

/**
 * Returns, for each label that the given jobs require, the workers that could do the work. Workers that are quarantined are included, others that
 * cannot be used are not. A rack alone confines no work: a same-rack gang is spread over several racks if no usable rack can hold it.
 */
export function getConfinedSets (jobs: Iterable<TrackedJob>, workers: Iterable<WorkerState>): readonly ReadonlySet<string>[] {
  const sets = new Map<string, Map<string, Set<string>>>()
  for (const { spec, service } of jobs) {
    for (const { requiredLabel } of spec.steps) {
      if (requiredLabel === undefined) continue
      const byLabel = sets.get(service) ?? new Map<string, Set<string>>()
      sets.set(service, byLabel)
      if (!byLabel.has(requiredLabel)) byLabel.set(requiredLabel, new Set())
    }
  }
  if (sets.size === 0) return []
  for (const worker of workers) {
    const { workerId, service, labels } = worker.info
    const byLabel = sets.get(service)
    if (byLabel === undefined || !isUsable({ ...worker, isQuarantined: false })) continue
    for (const label of labels) byLabel.get(label)?.add(workerId)
  }
  return [...sets.values()].flatMap(byLabel => [...byLabel.values()])
}
