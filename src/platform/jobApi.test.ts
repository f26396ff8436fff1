/** The job API over a real listener: caller time-outs, API keys, requests before a configuration is loaded, and refusals for load. */
import { createServer, request as sendRequest } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, test } from '@jest/globals'
import { createAdmissionControl } from '../admission/admissionControl.js'
import { backlogKey, encodeBacklog } from '../admission/backlogCodec.js'
import { createHostMetrics } from '../common/hostMetrics.js'
import type { HostMetrics } from '../common/hostMetrics.js'
import { silentLogger } from '../common/logger.js'
import type { Configuration } from '../configuration/configuration.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createJobIntake } from '../jobs/jobIntake.js'
import { getAcceptedKey } from '../jobs/jobKeys.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import { harnessConfiguration } from '../testing/poolHarness.js'
import { createJobApi } from './jobApi.js'
import type { JobApiHost } from './jobApi.js'
import { decodeConfiguration } from './platformConfiguration.js'

const jobId = '00000000000000a1'
const body = JSON.stringify({ spec: 'text', phases: [{ count: 1, cpu: 100, memMb: 1, estimateMs: 10 }] })
const key = 'key-of-mill'

let server: Server | undefined

afterEach(() => { server?.close() })

function createCopy (configuration: Configuration | undefined, isCurrent: boolean): JobApiHost['configuration'] {
  return { get: () => configuration, getAgeMs: () => isCurrent ? 0 : Infinity, waitUntilCurrent: () => Promise.resolve(isCurrent) }
}

async function listen (configuration: Configuration | undefined, isCurrent = true): Promise<number> {
  const intake = createJobIntake({ store: createMemoryStore().connect('host'), logger: silentLogger })
  const handle = createJobApi({ configuration: createCopy(configuration, isCurrent), intake, logger: silentLogger, metrics: createHostMetrics(), isStopping: () => false })
  const listening = createServer((request, response) => { void handle(request, response) })
  server = listening
  await new Promise<void>(resolve => { listening.listen(0, '127.0.0.1', resolve) })
  return (listening.address() as AddressInfo).port
}

interface LoadedHost {
  readonly port: number
  readonly store: MemoryStore
  readonly metrics: HostMetrics
}

/** A host whose published backlog makes every job too late that may be refused at all. */
async function listenUnderLoad (options: Partial<JobApiHost> = {}): Promise<LoadedHost> {
  const store = createMemoryStore()
  const level = { priority: 0, acceleratorS: 1_000, coreS: 1_000, acceleratorWaitMs: 1_000_000, coreWaitMs: 1_000_000 }
  store.write(backlogKey, encodeBacklog({ epoch: 1, atMs: Date.now(), services: [{ service: 'pool', accelerators: 8, cores: 8, levels: [level] }], urgentAccelerators: new Map([['mill', 16]]), meanRunMs: new Map() }))
  const client = store.connect('host')
  const metrics = createHostMetrics()
  const intake = createJobIntake({ store: client, logger: silentLogger })
  const admission = createAdmissionControl({ store: client, logger: silentLogger, random: () => 0, margin: 1.25 })
  const handle = createJobApi({ configuration: createCopy(harnessConfiguration, true), intake, admission, logger: silentLogger, metrics, isStopping: () => false, ...options })
  const listening = createServer((request, response) => { void handle(request, response) })
  server = listening
  await new Promise<void>(resolve => { listening.listen(0, '127.0.0.1', resolve) })
  return { port: (listening.address() as AddressInfo).port, store, metrics }
}

async function call (port: number, method: string, path: string, headers: Readonly<Record<string, string>>, text = ''): Promise<number> {
  return (await send(port, method, path, headers, text)).status
}

function send (port: number, method: string, path: string, headers: Readonly<Record<string, string>>, text = ''): Promise<{ readonly status: number, readonly retryAfterS: number, readonly text: string }> {
  return new Promise((resolve, reject) => {
    const request = sendRequest({ host: '127.0.0.1', port, method, path, headers: { Host: 'host', ...headers }, agent: false }, response => {
      let received = ''
      response.on('data', chunk => { received += String(chunk) })
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, retryAfterS: Number(response.headers['retry-after']), text: received }) })
    })
    request.on('error', reject)
    request.end(text)
  })
}

test('a request with a short deadline is served and not rejected because the store is unavailable', async () => {
  const port = await listen(harnessConfiguration)
  expect(await call(port, 'POST', `/urgent/${jobId}`, { 'Api-Key': key, 'Deadline-Ms': '200' }, body)).toBe(200)
  expect(await call(port, 'GET', `/urgent/${jobId}`, { 'Api-Key': key, 'Deadline-Ms': '150' })).toBe(200)
})

test('an unknown key, queue or job, and an invalid id or body, are answered with the matching status', async () => {
  const port = await listen(harnessConfiguration)
  expect(await call(port, 'POST', `/urgent/${jobId}`, { 'Api-Key': 'other' }, body)).toBe(401)
  expect(await call(port, 'POST', `/nowhere/${jobId}`, { 'Api-Key': key }, body)).toBe(404)
  expect(await call(port, 'POST', '/urgent/not-an-id', { 'Api-Key': key }, body)).toBe(404)
  expect(await call(port, 'POST', `/urgent/${jobId}`, { 'Api-Key': key }, '{')).toBe(400)
  expect(await call(port, 'POST', `/batch/${jobId}`, {}, body)).toBe(200)
  expect(await call(port, 'GET', '/batch/00000000000000ff', {})).toBe(410)
})

// Guards against jobs that end every scheduler in turn, out of memory: they are stored, so that no restart helps.
test('a job with too many tasks is refused with 400 and is not stored', async () => {
  const { port, store } = await listenUnderLoad({ admission: undefined, maxTasksPerJob: 20 })
  const withCount = (count: number): string => JSON.stringify({ phases: [{ count, cpu: 100, memMb: 1, estimateMs: 10 }] })
  expect(await call(port, 'POST', `/batch/${jobId}`, {}, withCount(400_000))).toBe(400)
  expect(await call(port, 'POST', `/batch/${jobId}`, {}, withCount(21))).toBe(400)
  expect(store.peek(getAcceptedKey(jobId))).toBeUndefined()
  expect(await call(port, 'POST', `/batch/${jobId}`, {}, withCount(20))).toBe(200)
})

test('a host without a configuration answers 503', async () => {
  expect(await call(await listen(undefined), 'POST', `/urgent/${jobId}`, { 'Api-Key': key }, body)).toBe(503)
})

test('a host that cannot confirm its configuration neither accepts nor refuses by it', async () => {
  const port = await listen(harnessConfiguration, false)
  expect(await call(port, 'POST', `/urgent/${jobId}`, { 'Api-Key': key }, body)).toBe(504)
  expect(await call(port, 'POST', `/urgent/${jobId}`, { 'Api-Key': 'added-since' }, body)).toBe(504)
  expect(await call(port, 'GET', `/added-since/${jobId}`, { 'Api-Key': key })).toBe(504)
})

test('a job that would be too late is refused with 503 and Retry-After, nothing is stored, and the refusal is counted', async () => {
  const { port, store, metrics } = await listenUnderLoad()
  const { status, retryAfterS } = await send(port, 'POST', `/batch/${jobId}`, {}, body)
  expect(status).toBe(503)
  // 1,000 s of wait, less the longest wait that is accepted: 1.25 x 3 x (3 x 0.01 s + 3 s).
  expect(retryAfterS).toBeGreaterThan(980)
  expect(retryAfterS).toBeLessThanOrEqual(1_000)
  expect(store.peek(getAcceptedKey(jobId))).toBeUndefined()
  expect(metrics.getText()).toContain('sassafrasford_refused_for_load_total 1')
})

test('a repeat of an accepted job gets the response of the first submission, also when the load is high by then', async () => {
  const { port, store } = await listenUnderLoad()
  store.write(getAcceptedKey(jobId), '{}')
  expect(await call(port, 'POST', `/batch/${jobId}`, {}, body)).toBe(200)
  expect(store.peek(getAcceptedKey(jobId))).toBe('{}')
})

test('if the accept record cannot be looked up, the job is accepted as without a backlog', async () => {
  const store = createMemoryStore()
  const client = store.connect('host')
  const get: typeof client.get = async key => {
    if (key.startsWith('jobs/')) throw createError(ErrorKind.StoreUnavailable, 'the store is unavailable')
    return await client.get(key)
  }
  const { port } = await listenUnderLoad({ intake: createJobIntake({ store: { ...client, get }, logger: silentLogger }) })
  expect(await call(port, 'POST', `/batch/${jobId}`, {}, body)).toBe(200)
  expect(store.peek(getAcceptedKey(jobId))).toBeDefined()
})

test('urgent jobs of an organisation with unused guarantee, recurring jobs and services are accepted under any load', async () => {
  const { port, store } = await listenUnderLoad()
  expect(await call(port, 'POST', `/urgent/${jobId}`, { 'Api-Key': key }, body)).toBe(503)
  const step = { count: 1, cpu: 100, memMb: 1, estimateMs: 10 }
  expect(await call(port, 'POST', '/batch/00000000000000a2', {}, JSON.stringify({ phases: [step], times: 2, startAtMs: 1, intervalMs: 1_000 }))).toBe(200)
  expect(await call(port, 'POST', '/batch/00000000000000a3', {}, JSON.stringify({ phases: [{ ...step, serviceMode: true }] }))).toBe(200)
  server?.close()
  const unused = await listenUnderLoad({ configuration: createCopy({ ...harnessConfiguration, organisations: [{ name: 'mill', keys: [key], guaranteedAccelerators: 17 }] }, true) })
  expect(await call(unused.port, 'POST', `/urgent/${jobId}`, { 'Api-Key': key }, body)).toBe(200)
  expect(store.peek(getAcceptedKey(jobId))).toBeUndefined()
})

test('status requests and cancellations are served under any load', async () => {
  const { port, store } = await listenUnderLoad()
  store.write(getAcceptedKey(jobId), '{}')
  expect(await call(port, 'GET', `/batch/${jobId}`, {})).toBe(200)
  expect(await call(port, 'DELETE', `/batch/${jobId}`, {})).toBe(200)
})

test('in a known outage of the store, a host that cannot confirm its configuration asks for a retry after the length of the outage', async () => {
  const stale = createCopy(harnessConfiguration, false)
  const known = await listenUnderLoad({ configuration: stale, getKnownOutageMs: () => 4_200 })
  expect(await send(known.port, 'POST', `/batch/${jobId}`, {}, body)).toMatchObject({ status: 504, retryAfterS: 5 })
  server?.close()
  const brief = await listenUnderLoad({ configuration: stale, getKnownOutageMs: () => 1_500 })
  expect(await send(brief.port, 'POST', `/batch/${jobId}`, {}, body)).toMatchObject({ status: 504, retryAfterS: 1 })
})

// Guards against metrics and log lines whose size callers choose.
test('methods that are not supported share one label, and errors contain only the beginning of a long path', async () => {
  const { port, metrics } = await listenUnderLoad()
  expect(await call(port, 'PROPFIND', `/batch/${jobId}`, {})).toBe(400)
  expect(await call(port, 'PURGE', `/batch/${jobId}`, {})).toBe(400)
  expect(metrics.getText()).toContain('sassafrasford_calls_total{kind="other 400"} 2')
  expect(metrics.getText()).not.toMatch(/PROPFIND|PURGE/)
  expect((await send(port, 'GET', `/batch/${'x'.repeat(8_000)}`, {})).text.length).toBeLessThan(400)
})

const storedRoute = { name: 'batch', host: 'host', prefix: '/batch/', service: 'pool', attempts: 3 }
const storedTenant = { name: 'mill', keys: [key] }

function decodeStored (routes: readonly unknown[], tenants: readonly unknown[], others: object = {}): Configuration | undefined {
  return decodeConfiguration(JSON.stringify({ version: 8, routes, tenants, ...others })).configuration
}

// Fields whose value is empty are omitted; some encoders write null instead.
test('a version with an organisation without keys, or with members that are null, is in force', async () => {
  const organisations = [{ name: 'yard' }, { name: 'pier', keys: null, guaranteed: null }, { name: 'dock', keys: [], guaranteed: { gpu: null } }, storedTenant]
  const port = await listen(decodeStored([{ ...storedRoute, advice: null, priority: null, public: null, timeoutMs: null }], organisations, { limits: null }))
  expect(await call(port, 'POST', `/batch/${jobId}`, { 'Api-Key': key }, body)).toBe(200)
  expect(await call(port, 'POST', `/batch/${jobId}`, { 'Api-Key': 'key-of-yard' }, body)).toBe(401)
})

test('a queue that cannot be decoded does not keep the others from being served, and is answered with 504', async () => {
  const port = await listen(decodeStored([storedRoute, { ...storedRoute, name: 'odd', prefix: '/odd/', attempts: 'three' }, { ...storedRoute, name: 'deep', prefix: '/batch/deep/', advice: 'on' }], [storedTenant]))
  expect(await call(port, 'POST', `/batch/${jobId}`, { 'Api-Key': key }, body)).toBe(200)
  expect(await call(port, 'POST', `/odd/${jobId}`, { 'Api-Key': key }, body)).toBe(504)
  expect(await call(port, 'POST', `/batch/deep/${jobId}`, { 'Api-Key': key }, body)).toBe(504)
  expect(await call(port, 'POST', `/nowhere/${jobId}`, { 'Api-Key': key }, body)).toBe(404)
})

test('while the address of a queue cannot be decoded, no queue counts as missing', async () => {
  const port = await listen(decodeStored([storedRoute, { ...storedRoute, name: 'odd', prefix: 7 }, 'odd'], [storedTenant]))
  expect(await call(port, 'POST', `/batch/${jobId}`, { 'Api-Key': key }, body)).toBe(200)
  expect(await call(port, 'POST', `/odd/${jobId}`, { 'Api-Key': key }, body)).toBe(504)
})

test('the keys of an organisation that cannot be decoded are neither accepted nor refused', async () => {
  const legible = await listen(decodeStored([storedRoute], [storedTenant, { name: 'yard', keys: ['key-of-yard'], guaranteed: { gpu: 'many' } }]))
  expect(await call(legible, 'POST', `/batch/${jobId}`, { 'Api-Key': key }, body)).toBe(200)
  expect(await call(legible, 'POST', `/batch/${jobId}`, { 'Api-Key': 'key-of-yard' }, body)).toBe(504)
  expect(await call(legible, 'POST', `/batch/${jobId}`, { 'Api-Key': 'unknown' }, body)).toBe(401)
  server?.close()
  const illegible = await listen(decodeStored([storedRoute], [storedTenant, { name: 'yard', keys: 'key-of-yard' }]))
  expect(await call(illegible, 'POST', `/batch/${jobId}`, { 'Api-Key': 'key-of-yard' }, body)).toBe(504)
  expect(await call(illegible, 'POST', `/batch/${jobId}`, {}, body)).toBe(401)
})

// RFC 9110, 4.2.3: host names are compared without regard to case.
test('a host name in other letters, or with a port, selects the same queue', async () => {
  const port = await listen(decodeStored([{ ...storedRoute, host: 'Jobs.Example' }], [storedTenant]))
  for (const host of ['jobs.example', 'JOBS.example', 'Jobs.Example:8521']) expect(await call(port, 'POST', `/batch/${jobId}`, { 'Api-Key': key, Host: host }, body)).toBe(200)
  expect(await call(port, 'POST', `/batch/${jobId}`, { 'Api-Key': key, Host: 'other.example' }, body)).toBe(404)
})

// RFC 9112, 3.2.2: a server must accept the absolute form, and ignore the Host header then.
test('a target in absolute form selects the queue by its own host name and path', async () => {
  const port = await listen(decodeStored([{ ...storedRoute, host: 'jobs.example' }], [storedTenant]))
  for (const target of ['http://jobs.example', 'http://Jobs.Example:8521', 'HTTP://jobs.example']) expect(await call(port, 'POST', `${target}/batch/${jobId}?a=1`, { 'Api-Key': key, Host: 'other.example' }, body)).toBe(200)
  expect(await call(port, 'GET', 'http://jobs.example/batch/', { 'Api-Key': key, Host: 'other.example' })).toBe(200)
  for (const target of ['http://other.example', 'ftp://jobs.example']) expect(await call(port, 'POST', `${target}/batch/${jobId}`, { 'Api-Key': key, Host: 'jobs.example' }, body)).toBe(404)
})
