/** The soak's own record of what it did to hosts, store and workers, from which follows when a moment is calm. */

/** The record of one run; times by the monotonic clock. */
export interface Disturbances {
  /** Records a disturbance of a moment. */
  note (kind: string, workerId?: string): void
  /** Records a disturbance that lasts until the returned function is called. */
  begin (kind: string, workerId?: string): () => void
  /** Since when nothing has been disturbed; Infinity while a disturbance lasts. */
  getCalmSinceMs (): number
  /** Describes what befell a worker. */
  describeWorker (workerId: string): string
}

/** Creates an empty record. */
export function createDisturbances (): Disturbances {
  let present = 0
  let calmSinceMs = performance.now()
  const linesByWorker = new Map<string, string[]>()
  return { note, begin, getCalmSinceMs: () => present > 0 ? Infinity : calmSinceMs, describeWorker: workerId => linesByWorker.get(workerId)?.join(', ') ?? 'not disturbed' }

  function note (kind: string, workerId?: string): void {
    begin(kind, workerId)()
  }

  function begin (kind: string, workerId?: string): () => void {
    present++
    if (workerId !== undefined) linesByWorker.set(workerId, [...linesByWorker.get(workerId) ?? [], `${kind} at ${Math.round(performance.now())} ms`])
    return () => {
      present--
      calmSinceMs = performance.now()
    }
  }
}
