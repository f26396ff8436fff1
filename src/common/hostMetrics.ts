/** Counters, gauges and latency histograms of a host, exported as text at `/metrics`. Times are in ms. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** The metrics of one process. */
export interface HostMetrics {
  /** Increments a counter. The label must have a small number of distinct values. */
  count (name: string, label?: string): void
  /** Records a duration, in ms, in a histogram. */
  record (name: string, valueMs: number, label?: string): void
  setGauge (name: string, value: number): void
  getText (): string
}

const prefix = 'sassafrasford_'
const percentiles = [50, 90, 99, 100]
/** Longer durations are recorded as this value: one hour. */
const maxRecordedMs = 3_600_000

/** Creates empty metrics. */
export function createHostMetrics (): HostMetrics {
  const counters = new Map<string, number>()
  const gauges = new Map<string, number>()
  const histograms = new Map<string, Histogram>()

  return { count, record, setGauge: (name, value) => { gauges.set(prefix + name, value) }, getText }

  function count (name: string, label?: string): void {
    const key = getKey(name + '_total', label)
    counters.set(key, (counters.get(key) ?? 0) + 1)
  }

  function record (name: string, valueMs: number, label?: string): void {
    const key = getKey(name + '_ms', label)
    let histogram = histograms.get(key)
    if (histogram === undefined) histograms.set(key, histogram = build({ highestTrackableValue: maxRecordedMs, numberOfSignificantValueDigits: 2, bitBucketSize: 32 }))
    histogram.recordValue(Math.min(maxRecordedMs, Math.max(1, Math.round(valueMs))))
  }

  function getText (): string {
    const lines = [...counters, ...gauges].map(([key, value]) => `${key} ${value}`)
    for (const [key, histogram] of histograms) {
      for (const percentile of percentiles) lines.push(`${addLabel(key, `quantile="${percentile / 100}"`)} ${histogram.getValueAtPercentile(percentile)}`)
      lines.push(`${key.replace('_ms', '_ms_count')} ${histogram.totalCount}`)
    }
    return lines.sort().join('\n') + '\n'
  }
}

function getKey (name: string, label: string | undefined): string {
  return label === undefined ? prefix + name : `${prefix}${name}{kind="${label}"}`
}

function addLabel (key: string, label: string): string {
  return key.endsWith('}') ? `${key.slice(0, -1)},${label}}` : `${key}{${label}}`
}
