/**
 * `npm run measure:routing`: eight hosts share endpoints of 8 slots under an open-loop load. Requests are sent at their
 * scheduled times even if earlier ones have no response yet, and latency counts from the scheduled time, so that it
 * includes queueing delay (no coordinated omission).
 */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Agent, request as sendRequest } from 'undici'
import { createClaims } from '../claims/claims.js'
import { formatTable } from '../cli/formatJob.js'
import { listenHttp } from '../common/http.js'
import type { HttpListener } from '../common/http.js'
import { silentLogger } from '../common/logger.js'
import { createRandom } from '../common/random.js'
import { delay } from '../common/time.js'
import { HostKind } from '../membership/hostList.js'
import type { ListedHost } from '../membership/hostList.js'
import { createEndpointPool } from '../routing/endpointPool.js'
import { createRequestMetrics } from '../routing/requestMetrics.js'
import { createRequestRouter } from '../routing/requestRouter.js'
import { adaptiveSharing, createEqualSharing, greedySharing } from '../routing/slotSharing.js'
import type { SlotSharing } from '../routing/slotSharing.js'
import { createRuleSet } from '../rules/ruleSet.js'
import { parseRules } from '../rules/ruleSyntax.js'
import { startEndpointStandin } from '../standins/endpoint.js'
import type { EndpointStandin } from '../standins/endpoint.js'
import { createMemoryStore } from '../standins/store.js'

const hostCount = 8
const endpointCount = 10
const slots = 8
const serviceMs = 200
const highPriorityShare = 0.3
const durationMs = Number(process.env.SECONDS ?? 8) * 1_000
const loads = (process.env.LOADS ?? '0.5,0.8,1,1.5,3').split(',').map(Number)
const capacityPerSecond = endpointCount * slots * 1_000 / serviceMs
const anyPort = { host: '127.0.0.1', port: 0 }

const rules = createRuleSet(parseRules(`
priority high rank=10 # measure
priority low rank=90 # measure
request high path=/high repeatable=yes priority=high timeout-ms=4000 # measure
request low path=/low repeatable=yes priority=low timeout-ms=4000 # measure
`).rules, 1)

enum Fault { None = 'none', OneFails = 'one endpoint fails everything' }

interface Variant {
  readonly name: string
  readonly sharing: SlotSharing
  readonly fault: Fault
}

interface Figures {
  readonly offered: number
  readonly goodput: number
  readonly notRun: number
  readonly failed: number
  readonly high: Histogram
  readonly low: Histogram
  readonly retries: number
  readonly runs: number
}

async function measure (variant: Variant, load: number): Promise<Figures> {
  const endpoints = await Promise.all(Array.from({ length: endpointCount }, (_, index) =>
    startEndpointStandin(anyPort, { name: `e${index}`, slots, serviceMs })))
  if (variant.fault === Fault.OneFails) endpoints[0]?.faults.set({ failEverything: true })
  const listedEndpoints = endpoints.map((endpoint, index): ListedHost =>
    ({ id: `e${index}`, kind: HostKind.Endpoint, address: endpoint.address, domain: 'site', region: 'site', isLeaving: false, slots }))
  const hosts = await Promise.all(Array.from({ length: hostCount }, (_, index) => startHost(listedEndpoints, variant.sharing, index)))
  const figures = await sendLoad(hosts.map(host => host.listener.address), load)
  const retryCount = hosts.reduce((sum, host) => sum + host.getRetries(), 0)
  for (const host of hosts) await host.close()
  for (const endpoint of endpoints) await endpoint.close()
  return { ...figures, retries: retryCount, runs: countRuns(endpoints) }
}

interface MeasuredHost {
  readonly listener: HttpListener
  getRetries (): number
  close (): Promise<void>
}

async function startHost (listedEndpoints: readonly ListedHost[], sharing: SlotSharing, index: number): Promise<MeasuredHost> {
  const metrics = createRequestMetrics(() => ({}))
  const claims = createClaims(createMemoryStore(), () => 60_000)
  const pool = createEndpointPool({
    domain: 'site',
    region: 'site',
    random: createRandom(index + 1),
    getEndpoints: () => listedEndpoints,
    isDraining: () => false,
    getFarBytesPerSecond: () => 1_000_000,
    onEndpointLeaving: () => {}
  }, sharing)
  const router = createRequestRouter({ pool, claims, metrics, logger: silentLogger, getRules: () => rules })
  const listener = await listenHttp(anyPort, router.handle)
  return {
    listener,
    getRetries: () => metrics.getTotals().retries,
    close: async () => {
      await listener.destroy()
      await router.close()
      claims.stop()
    }
  }
}

async function sendLoad (addresses: readonly string[], load: number): Promise<Omit<Figures, 'retries' | 'runs'>> {
  const random = createRandom(Math.round(load * 100))
  const agent = new Agent({ connections: 256, pipelining: 1 })
  const high = createHistogram()
  const low = createHistogram()
  const counts = { offered: 0, good: 0, notRun: 0, failed: 0 }
  const pendingRequests = new Set<Promise<void>>()
  const startedAtMs = performance.now()
  let nextAtMs = startedAtMs
  while (nextAtMs < startedAtMs + durationMs) {
    nextAtMs += -Math.log(1 - random()) * 1_000 / (capacityPerSecond * load)
    if (nextAtMs > performance.now()) await delay(nextAtMs - performance.now())
    const sending = sendOne(nextAtMs)
    pendingRequests.add(sending)
    void sending.finally(() => pendingRequests.delete(sending))
  }
  await Promise.all(pendingRequests)
  await agent.destroy()
  const seconds = durationMs / 1_000
  return { offered: counts.offered / seconds, goodput: counts.good / seconds, notRun: counts.notRun / counts.offered, failed: counts.failed / counts.offered, high, low }

  async function sendOne (atMs: number): Promise<void> {
    counts.offered++
    const isHigh = random() < highPriorityShare
    const requestServiceMs = Math.max(1, Math.round(-Math.log(1 - random()) * serviceMs))
    const headers: Record<string, string> = { 'x-service-ms': String(requestServiceMs) }
    const address = addresses[Math.floor(random() * addresses.length)] ?? ''
    try {
      const response = await sendRequest(`http://${address}${isHigh ? '/high' : '/low'}`, { method: 'POST', headers, body: 'x', dispatcher: agent })
      await response.body.dump()
      if (response.statusCode === 200) {
        counts.good++
        const histogram = isHigh ? high : low
        histogram.recordValue(Math.round(performance.now() - atMs))
      } else if (response.headers['sassafrasford-outcome'] === 'not-run') counts.notRun++
      else counts.failed++
    } catch {
      counts.failed++
    }
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000, numberOfSignificantValueDigits: 2 })
}

function countRuns (endpoints: readonly EndpointStandin[]): number {
  return endpoints.reduce((sum, endpoint) => sum + endpoint.getRunCount(), 0)
}

const variants: readonly Variant[] = [
  { name: 'adaptive', sharing: adaptiveSharing, fault: Fault.None },
  { name: 'greedy', sharing: greedySharing, fault: Fault.None },
  { name: 'equal share', sharing: createEqualSharing(hostCount), fault: Fault.None },
  { name: 'adaptive', sharing: adaptiveSharing, fault: Fault.OneFails }
]

const rows: string[][] = []
for (const variant of variants) {
  for (const load of variant.fault === Fault.None ? loads : [0.8]) {
    const figures = await measure(variant, load)
    rows.push([
      `| ${variant.name}`,
      `| ${variant.fault}`,
      `| ${load * 100}`,
      `| ${figures.goodput.toFixed(0)}`,
      `| ${(figures.notRun * 100).toFixed(1)}`,
      `| ${(figures.failed * 100).toFixed(2)}`,
      `| ${figures.high.getValueAtPercentile(50)}`,
      `| ${figures.high.getValueAtPercentile(99)}`,
      `| ${figures.low.getValueAtPercentile(50)}`,
      `| ${figures.low.getValueAtPercentile(99)}`,
      `| ${(figures.retries / (figures.offered * durationMs / 1_000) * 100).toFixed(1)} |`
    ])
  }
}
console.log(`${hostCount} hosts, ${endpointCount} endpoints of ${slots} slots, service time exponential with mean ${serviceMs} ms, ` +
  `capacity ${capacityPerSecond} requests/s, ${durationMs / 1_000} s per row; times in ms\n`)
console.log(formatTable([
  ['| slot sharing', '| fault', '| load %', '| goodput/s', '| not run %', '| failed %', '| high p50', '| high p99', '| low p50', '| low p99', '| retries % |'],
  ['|---', '|---', '|---', '|---', '|---', '|---', '|---', '|---', '|---', '|---', '|---|'],
  ...rows
]))
process.exit(0)
