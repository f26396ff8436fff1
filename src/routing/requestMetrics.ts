/** Request counts and latencies for `/metrics` and `status`. Quantiles are computed with hdr-histogram. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'

/** Request metrics of one host. */
export interface RequestMetrics {
  readonly registry: Registry
  /** Counts a request that ended with the given outcome and records its duration. */
  recordCompletion (kind: string, outcome: string, durationMs: number): void
  recordRetry (kind: string): void
  getTotals (): RequestTotals
}

/** Request counts since the host started. */
export interface RequestTotals {
  readonly answered: number
  readonly notRun: number
  readonly unknown: number
  readonly retries: number
}

/** Outcome label of a request that an endpoint answered. */
export const answeredOutcome = 'answered'

const percentiles = [50, 90, 99, 99.9]
const maxRecordedMs = 600_000

/** Creates the metrics, with all counters at zero. `getGauges` returns further values, which are read at each scrape. */
export function createRequestMetrics (getGauges: () => Readonly<Record<string, number>>): RequestMetrics {
  const registry = new Registry()
  const histograms = new Map<string, Histogram>()
  const totals = { answered: 0, notRun: 0, unknown: 0, retries: 0 }
  const requests = new Counter({
    name: 'sassafrasford_requests_total',
    help: 'Requests by kind and outcome',
    labelNames: ['kind', 'outcome'],
    registers: [registry]
  })
  const retries = new Counter({ name: 'sassafrasford_retries_total', help: 'Retries by kind', labelNames: ['kind'], registers: [registry] })
  createQuantileGauge(registry, histograms)
  createStateGauge(registry, getGauges)

  return { registry, recordCompletion, recordRetry, getTotals: () => ({ ...totals }) }

  function recordCompletion (kind: string, outcome: string, durationMs: number): void {
    requests.inc({ kind, outcome })
    if (outcome === answeredOutcome) totals.answered++
    else if (outcome === 'not-run') totals.notRun++
    else totals.unknown++
    getHistogram(kind).recordValue(Math.min(maxRecordedMs, Math.max(0, Math.round(durationMs))))
  }

  function recordRetry (kind: string): void {
    retries.inc({ kind })
    totals.retries++
  }

  function getHistogram (kind: string): Histogram {
    const known = histograms.get(kind)
    if (known !== undefined) return known
    const created = build({ lowestDiscernibleValue: 1, highestTrackableValue: maxRecordedMs, numberOfSignificantValueDigits: 2 })
    histograms.set(kind, created)
    return created
  }
}

function createQuantileGauge (registry: Registry, histograms: ReadonlyMap<string, Histogram>): void {
  const gauge: Gauge<'kind' | 'quantile'> = new Gauge({
    name: 'sassafrasford_request_duration_ms',
    help: 'Time from the arrival of a request to the end of its answer, in ms',
    labelNames: ['kind', 'quantile'],
    registers: [registry],
    collect: () => {
      for (const [kind, histogram] of histograms) {
        for (const percentile of percentiles) gauge.set({ kind, quantile: String(percentile / 100) }, histogram.getValueAtPercentile(percentile))
      }
    }
  })
}

function createStateGauge (registry: Registry, getGauges: () => Readonly<Record<string, number>>): void {
  const gauge: Gauge<'name'> = new Gauge({
    name: 'sassafrasford_state',
    help: 'State of the host by name',
    labelNames: ['name'],
    registers: [registry],
    collect: () => {
      for (const [name, value] of Object.entries(getGauges())) gauge.set({ name }, value)
    }
  })
}
