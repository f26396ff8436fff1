/** Sends requests over loopback to endpoints that fail at each point of the HTTP exchange. */
import { afterEach, describe, expect, test } from '@jest/globals'
import { request as sendRequest } from 'undici'
import { createClaims } from '../claims/claims.js'
import { listenHttp } from '../common/http.js'
import type { HttpListener } from '../common/http.js'
import { silentLogger } from '../common/logger.js'
import { createRandom } from '../common/random.js'
import { delay } from '../common/time.js'
import { HostKind } from '../membership/hostList.js'
import type { ListedHost } from '../membership/hostList.js'
import { createRuleSet } from '../rules/ruleSet.js'
import { parseRules } from '../rules/ruleSyntax.js'
import { startEndpointStandin } from '../standins/endpoint.js'
import type { EndpointStandin } from '../standins/endpoint.js'
import { createMemoryStore } from '../standins/store.js'
import { FailurePoint, startFaultyEndpoint } from '../testing/faultyEndpoint.js'
import { createEndpointPool } from './endpointPool.js'
import { createRequestMetrics } from './requestMetrics.js'
import { createRequestRouter } from './requestRouter.js'

const rules = createRuleSet(parseRules(`
priority high rank=10 # test
priority low rank=90 # test
request pickup path=/pickups repeatable=yes priority=high timeout-ms=3000 # test
request slow path=/slow repeatable=yes priority=low timeout-ms=3000 # test
request hasty path=/hasty repeatable=yes priority=low timeout-ms=60 # test
request refund path=/refunds repeatable=no priority=high timeout-ms=1000 # test
`).rules, 1)

const toClose: (() => Promise<unknown>)[] = []

afterEach(async () => {
  for (const close of toClose.splice(0)) await close()
})

function toListed (id: string, address: string, slots = 8): ListedHost {
  return { id, kind: HostKind.Endpoint, address, domain: 'harju', region: 'harju', isLeaving: false, slots }
}

async function startRouter (endpoints: readonly ListedHost[], store = createMemoryStore()): Promise<HttpListener> {
  const pool = createEndpointPool({
    domain: 'harju',
    region: 'harju',
    random: createRandom(1),
    getEndpoints: () => endpoints,
    isDraining: () => false,
    getFarBytesPerSecond: () => 1_000_000,
    onEndpointLeaving: () => {}
  })
  const claims = createClaims(store, () => 60_000)
  const router = createRequestRouter({ pool, claims, metrics: createRequestMetrics(() => ({})), logger: silentLogger, getRules: () => rules })
  const listener = await listenHttp({ host: '127.0.0.1', port: 0 }, router.handle)
  toClose.push(listener.destroy, router.close, async () => claims.stop())
  return listener
}

async function startHealthyEndpoint (serviceMs = 2, slots = 8): Promise<EndpointStandin> {
  const endpoint = await startEndpointStandin({ host: '127.0.0.1', port: 0 }, { name: 'good', slots, serviceMs })
  toClose.push(endpoint.close)
  return endpoint
}

interface ClientResponse {
  readonly status: number
  readonly outcome: string
  readonly body: string
}

async function send (listener: HttpListener, path: string, headers: Record<string, string> = {}, body = 'hello'): Promise<ClientResponse> {
  try {
    const response = await sendRequest(`http://${listener.address}${path}`, { method: 'POST', body, headers })
    const text = await response.body.text()
    return { status: response.statusCode, outcome: String(response.headers['sassafrasford-outcome'] ?? 'answered'), body: text }
  } catch {
    return { status: 0, outcome: 'unknown', body: '' }
  }
}

describe.each(Object.values(FailurePoint).filter(point => point !== FailurePoint.Never))('an endpoint that fails %s', failurePoint => {
  test('a repeatable request gets a complete response from another endpoint', async () => {
    const bad = await startFaultyEndpoint(failurePoint)
    toClose.push(bad.close)
    const good = await startHealthyEndpoint()
    const listener = await startRouter([toListed('bad', bad.address), toListed('good', good.address)])
    for (let index = 0; index < 6; index++) {
      const result = await send(listener, '/pickups/1', { 'x-request-id': `p${index}` })
      const isConnectionLost = failurePoint === FailurePoint.MidLargeResponse && result.status === 0
      if (!isConnectionLost) expect(result).toMatchObject({ status: 200, outcome: 'answered' })
      if (!isConnectionLost) expect(result.body).toContain(`"id":"p${index}"`)
    }
  })

  test('a non-repeatable request is never sent twice, and "not run" is reported only if it did not run', async () => {
    const bad = await startFaultyEndpoint(failurePoint)
    const other = await startFaultyEndpoint(failurePoint)
    toClose.push(bad.close, other.close)
    const listener = await startRouter([toListed('bad', bad.address), toListed('other', other.address)])
    const result = await send(listener, '/refunds', { 'idempotency-key': 'k1' })
    const runCount = bad.getRunCount() + other.getRunCount()
    expect(runCount).toBeLessThanOrEqual(1)
    if (result.outcome === 'not-run') expect(runCount).toBe(0)
    if (runCount === 1) expect(result.outcome).toBe('unknown')
    const again = await send(listener, '/refunds', { 'idempotency-key': 'k1' })
    expect(bad.getRunCount() + other.getRunCount()).toBeLessThanOrEqual(1)
    if (again.outcome === 'not-run') expect(bad.getRunCount() + other.getRunCount()).toBe(0)
  })
})

test('concurrent duplicates of a non-repeatable request on several hosts run once', async () => {
  const store = createMemoryStore()
  const endpoint = await startHealthyEndpoint()
  const listeners = await Promise.all(Array.from({ length: 6 }, () => startRouter([toListed('good', endpoint.address)], store)))
  for (let index = 0; index < 10; index++) {
    const headers = { 'idempotency-key': `refund-${index}`, 'x-request-id': `refund-${index}` }
    const results = await Promise.all(listeners.map(listener => send(listener, '/refunds', headers)))
    expect(endpoint.runs.get(`refund-${index}`)).toBe(1)
    expect(results.filter(result => result.status === 200).length).toBe(1)
    expect(results.filter(result => result.status === 409).length).toBe(5)
  }
})

test('while the store is unavailable, a request with an idempotency key is rejected as not run and a repeatable one is served', async () => {
  const store = createMemoryStore()
  const unavailableStore = { ...store, get: async () => await Promise.reject(new Error('store unavailable')), put: async () => await Promise.reject(new Error('store unavailable')) }
  const endpoint = await startHealthyEndpoint()
  const listener = await startRouter([toListed('good', endpoint.address)], unavailableStore)
  const result = await send(listener, '/refunds', { 'idempotency-key': 'k', 'x-request-id': 'r' })
  expect(result.status).toBeGreaterThanOrEqual(500)
  expect(endpoint.runs.size).toBe(0)
  expect((await send(listener, '/pickups', {})).status).toBe(200)
})

test('under overload, every request rejected as not run did not run, and high-priority requests are served', async () => {
  const endpoint = await startHealthyEndpoint(20, 2)
  const listener = await startRouter([toListed('good', endpoint.address, 2)])
  const paths = Array.from({ length: 120 }, (_, index) => index % 4 === 0 ? '/pickups' : '/hasty')
  const results = await Promise.all(paths.map((path, index) => send(listener, path, { 'x-request-id': `${index}` })))
  results.forEach((result, index) => {
    const runCount = endpoint.runs.get(`${index}`) ?? 0
    if (result.outcome === 'not-run') expect(runCount).toBe(0)
    if (result.status === 200) expect(runCount).toBe(1)
    if (paths[index] === '/pickups') expect(result.status).toBe(200)
  })
  expect(results.some(result => result.outcome === 'not-run')).toBe(true)
})

test('large bodies are streamed in both directions, headers and methods are forwarded, invalid requests are rejected', async () => {
  const endpoint = await startHealthyEndpoint()
  const listener = await startRouter([toListed('good', endpoint.address)])
  const large = await send(listener, '/pickups', {}, 'x'.repeat(2_000_000))
  expect(JSON.parse(large.body)).toMatchObject({ bytes: 2_000_000 })
  const result = await send(listener, '/pickups', { 'x-answer-bytes': '3000000' })
  expect(result.body.length).toBe(3_000_000)
  expect(await send(listener, '/nothing')).toMatchObject({ status: 404, outcome: 'not-run' })
  expect(await send(listener, '/refunds', { 'idempotency-key': 'x'.repeat(300) })).toMatchObject({ status: 400, outcome: 'not-run' })
  expect((await sendRequest(`http://${listener.address}/pickups?x=1`, { method: 'GET' })).statusCode).toBe(200)
})

test('an endpoint gets no new requests after it has announced that it is leaving', async () => {
  const leaving = await startHealthyEndpoint()
  const staying = await startHealthyEndpoint()
  const listener = await startRouter([toListed('leaving', leaving.address), toListed('staying', staying.address)])
  await Promise.all(Array.from({ length: 20 }, () => send(listener, '/pickups')))
  leaving.leave()
  const results = await Promise.all(Array.from({ length: 20 }, () => send(listener, '/pickups')))
  expect(results.every(result => result.status === 200)).toBe(true)
  const before = leaving.getRunCount()
  await delay(10)
  await Promise.all(Array.from({ length: 20 }, () => send(listener, '/pickups')))
  expect(leaving.getRunCount()).toBe(before)
})
