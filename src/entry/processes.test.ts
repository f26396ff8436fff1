/** End-to-end tests with separate processes, started as the README shows; an entry host, a worker and the store are killed under load. */
import { afterAll, beforeAll, expect, test } from '@jest/globals'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { request as sendRequest } from 'undici'
import { delay } from '../common/time.js'
import { createProcessSystem } from '../testing/processes.js'
import type { CommandResult, ProcessSystem } from '../testing/processes.js'

const examples = fileURLToPath(new URL('../../examples/', import.meta.url))
const callersPorts = [7300, 7301, 7302]
const peersPort = 7400
const waitTimeoutMs = 60_000
let system: ProcessSystem

beforeAll(async () => {
  system = await createProcessSystem()
  await system.startAll()
  await waitFor(async () => (await runAsOperator(['status'])).exitCode === 0)
})

afterAll(async () => { await system.stop() })

function runAsOperator (args: readonly string[]): Promise<CommandResult> {
  return system.runCommand([...args, '--host', system.getAddress(peersPort), '--token', 'example-token-of-malee'])
}

function runAsCaller (args: readonly string[], port = 7300, organisation = 'returns'): Promise<CommandResult> {
  return system.runCommand([...args, '--entry', system.getAddress(port), '--token', `example-token-of-${organisation}`])
}

async function waitFor (isDone: () => Promise<boolean>): Promise<void> {
  const untilMs = Date.now() + waitTimeoutMs
  while (!await isDone()) {
    if (Date.now() > untilMs) throw new Error('the condition was not met in time')
    await delay(200)
  }
}

interface RequestResult {
  readonly id: string
  readonly status: number
  readonly outcome: string
  readonly endpoint: string
}

async function send (port: number, path: string, id: string, key?: string): Promise<RequestResult> {
  const headers: Record<string, string> = { 'x-request-id': id }
  if (key !== undefined) headers['idempotency-key'] = key
  try {
    const response = await sendRequest(`http://${system.getAddress(port)}${path}`, { method: 'POST', body: 'x', headers })
    const body = await response.body.json() as { endpoint?: string, id?: string }
    if (response.statusCode === 200) expect(body.id).toBe(id)
    return { id, status: response.statusCode, outcome: String(response.headers['sassafrasford-outcome'] ?? 'answered'), endpoint: body.endpoint ?? '' }
  } catch {
    return { id, status: 0, outcome: 'unknown', endpoint: '' }
  }
}

test('rules, a job and a request work end to end', async () => {
  await waitFor(async () => (await runAsOperator(['rules', 'apply', join(examples, 'bangkok.rules'), '--base', '0', '--asked-by', 'Malee', '--wait'])).exitCode === 0)
  const shown = await runAsOperator(['rules', 'show'])
  expect(shown.stdout).toMatch(/^# revision 1\n/)
  expect((await runAsOperator(['rules', 'history', 'quota research'])).stdout).toContain('by malee, asked by Malee')
  const submitted = await runAsCaller(['job', 'submit', join(examples, 'job.json'), '--key', 'first'])
  expect(submitted.exitCode).toBe(0)
  expect((await runAsCaller(['job', 'submit', join(examples, 'job.json'), '--key', 'first'], 7301)).stdout).toBe(submitted.stdout)
  const ended = await runAsCaller(['job', 'wait', submitted.stdout], 7302)
  expect(ended).toMatchObject({ exitCode: 0 })
  expect(ended.stdout).toContain('succeeded')
  expect((await runAsCaller(['job', 'show', submitted.stdout], 7301, 'research')).exitCode).toBe(1)
  expect(await send(7301, '/pickups', 'p-1')).toMatchObject({ status: 200 })
})

test('killing an entry host, a worker and the store in turn under load violates no guarantee to callers', async () => {
  const submitted = await runAsCaller(['job', 'submit', join(examples, 'job.json'), '--key', 'second'])
  const results: RequestResult[] = []
  let isSending = true
  const senders = callersPorts.map(async (port, senderIndex) => {
    for (let index = 0; isSending; index++) {
      const id = `r-${senderIndex}-${index}`
      const isRefund = index % 5 === 0
      results.push(await send(port, isRefund ? '/refunds' : '/pickups', id, isRefund ? id : undefined))
      // A caller that does not know the outcome retries at another host with the same key.
      if (isRefund) results.push(await send(callersPorts[(senderIndex + 1) % 3] as number, '/refunds', id, id))
      await delay(15)
    }
  })
  await delay(500)
  await system.kill('entry-1')
  await delay(1_500)
  system.start('entry-1')
  await system.kill('worker-0')
  await delay(1_500)
  system.start('worker-0')
  await system.kill('store')
  await delay(3_000)
  system.start('store')
  await delay(3_000)
  isSending = false
  await Promise.all(senders)
  const answeredIds = results.filter(result => result.status === 200).map(result => result.id)
  expect(new Set(answeredIds).size).toBe(answeredIds.length)
  expect(answeredIds.length).toBeGreaterThan(100)
  expect(results.every(result => result.status === 200 || result.outcome !== 'answered')).toBe(true)
  const ended = await runAsCaller(['job', 'wait', submitted.stdout, '--timeout-ms', String(waitTimeoutMs)])
  expect(ended.stdout).toContain('succeeded')
  expect((await runAsOperator(['status'])).stdout).toContain('invariants: all hold')
  expect((await runAsOperator(['rules', 'show'])).stdout).toMatch(/^# revision 1\n/)
})

test('a graceful stop exits with 0, and invalid input gets an error message and an exit code', async () => {
  expect(await system.terminate('entry-2')).toBe(0)
  const wrongJob = await system.runCommand(['job', 'submit', 'worker-0.json', '--entry', system.getAddress(7300), '--token', 'example-token-of-returns'])
  expect(wrongJob.exitCode).toBe(1)
  expect(wrongJob.stderr).toContain('bad-request')
  expect((await runAsCaller(['job', 'list'], 7300, 'nobody')).stderr).toContain('unauthorized')
  expect((await system.runCommand(['entry', '--settings', 'worker-0.json'])).stderr).toMatch(/worker-0.json: SF2002: setting "hostId"/)
  expect((await system.runCommand(['entry', '--settings', 'nothing.json'])).stderr).toMatch(/SF2003/)
})
