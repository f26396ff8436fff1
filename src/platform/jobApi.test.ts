/** The job API over a real listener: caller time-outs, API keys, and requests before a configuration is loaded. */
import { createServer, request as sendRequest } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, expect, test } from '@jest/globals'
import { createHostMetrics } from '../common/hostMetrics.js'
import { silentLogger } from '../common/logger.js'
import type { Configuration } from '../configuration/configuration.js'
import { createJobIntake } from '../jobs/jobIntake.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import { harnessConfiguration } from '../testing/poolHarness.js'
import { createJobApi } from './jobApi.js'
import type { JobApiHost } from './jobApi.js'

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

function call (port: number, method: string, path: string, headers: Readonly<Record<string, string>>, text = ''): Promise<number> {
  return new Promise((resolve, reject) => {
    const request = sendRequest({ host: '127.0.0.1', port, method, path, headers: { Host: 'host', ...headers }, agent: false }, response => {
      response.resume()
      response.on('end', () => { resolve(response.statusCode ?? 0) })
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

test('a host without a configuration answers 503', async () => {
  expect(await call(await listen(undefined), 'POST', `/urgent/${jobId}`, { 'Api-Key': key }, body)).toBe(503)
})

test('a host that cannot confirm its configuration neither accepts nor refuses by it', async () => {
  const port = await listen(harnessConfiguration, false)
  expect(await call(port, 'POST', `/urgent/${jobId}`, { 'Api-Key': key }, body)).toBe(504)
  expect(await call(port, 'POST', `/urgent/${jobId}`, { 'Api-Key': 'added-since' }, body)).toBe(504)
  expect(await call(port, 'GET', `/added-since/${jobId}`, { 'Api-Key': key })).toBe(504)
})
