/** What all cases share: the platform, the workers, the daemons, the requesters and the record. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { startCloud } from './cloud.js'
import { siteBounds, startDaemons } from './daemons.js'
import { call } from './http.js'
import { startStore } from './store.js'
import { startWorker } from './worker.js'

/** Below the 120 s that a script may take. */
const limitMs = 112_000
const heartbeatMs = 1_500
const service = 'returns-svc'
const hostName = 'nony24.example'
const apiKey = 'd4a3hwrr6x73d3zji9n7'
/** The three queues of the first site page, by priority. */
const queues = [
  { name: 'pickup-book', prefix: '/pickup/', priority: 0, sloMs: 500, sloFactor: 1.5, attempts: 3 },
  { name: 'wash-plan', prefix: '/wash/', priority: 1, sloMs: 1_200, sloFactor: 3, attempts: 3 },
  { name: 'jar-log', prefix: '/jar/', priority: 2, sloMs: 3_000, sloFactor: 3, attempts: 2 }
]

export const isTroubled = process.env.TROUBLE !== '0'
export const wait = ms => new Promise(resolve => { setTimeout(resolve, ms) })

/** Runs a case: `play` returns the list of what broke the rule. Exits with 1, 0 or 2, as the issue asks. */
export async function runCase (caseUrl, play) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const lines = []
  const startedAtMs = performance.now()
  const closers = []
  let code = 2
  const record = (what, fields = {}) => { lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3).padStart(8)} ${what} ${JSON.stringify(fields)}`) }
  record('begin', { trouble: isTroubled })
  try {
    const broken = await Promise.race([play({ record, folder, closers }), wait(limitMs).then(() => { throw new Error(`not finished within ${limitMs} ms`) })])
    for (const fault of broken) record('RULE BROKEN', fault)
    code = broken.length > 0 ? 1 : 0
    record(code === 1 ? 'the rule was broken' : 'the rule held')
  } catch (error) {
    record('the case could not run', { error: String(error?.stack ?? error) })
  }
  for (const close of closers.reverse()) await close()
  if (process.env.KEEP_LOGS !== '1') rmSync(folder, { recursive: true, force: true })
  writeFileSync(join(dirname(fileURLToPath(caseUrl)), 'record.txt'), lines.join('\n') + '\n')
  console.log(lines.filter(line => / (RULE BROKEN|the rule|the case) /.test(line)).slice(-8).join('\n'))
  process.exit(code)
}

/**
 * Starts the deployment. `workers` gives the labels and capacity of each worker; `getWork` as for `startWorker`. `events` lists the starts and ends
 * that the workers have seen.
 */
export async function startScene ({ record, folder, closers }, { workers: plans, daemonCount = 3, getWork, items = [], bounds = siteBounds }) {
  const events = []
  const onEvent = (kind, fields) => {
    events.push({ kind, atMs: performance.now(), ...fields })
    record(kind, fields)
  }
  const store = await startStore()
  closers.push(() => { store.close() })
  for (const { key, value } of items) store.put(key, value)
  store.put('op/config', JSON.stringify({
    version: 7,
    routes: queues.map(queue => ({ ...queue, host: hostName, kind: 'unsafe', timeoutMs: 3_000, service, public: false })),
    services: [{ name: service, healthPath: '/healthz', maxConns: 64, proto: 'h1', tls: false, admissionCheck: false, standby: false }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
    tenants: [{ name: 'kaje80', keys: [apiKey], priority: 1 }]
  }))
  const workers = []
  for (const [index, { labels, capacity }] of plans.entries()) {
    workers.push(await startWorker({ id: `i-${index}`, machine: `m-${index}`, service, zone: 'bkk-a', labels, capacity, store, bounds, heartbeatMs, getWork, onEvent }))
  }
  closers.push(() => { for (const worker of workers) worker.close() })
  const cloud = await startCloud({ workers: () => workers, service, upkeepMs: bounds.upkeepS * 1_000, onEvent })
  closers.push(() => { cloud.close() })
  const daemons = await startDaemons({ count: daemonCount, storeAddress: store.address, cloudAddress: cloud.address, folder, bounds })
  closers.push(() => daemons.stop())
  const scene = { bounds, store, workers, daemons, events, submit, getState, getPending, cancel, waitUntilServing, getLeader }
  await waitUntilServing()
  return scene

  /** Sends a request to the daemons in turn until one answers finally; five attempts at most, as the site's requesters make. */
  async function send (method, path, body) {
    let answer
    for (let attempt = 0; attempt < 5; attempt++) {
      const daemon = daemons.daemons[(attempt + Math.floor(Math.random() * daemonCount)) % daemonCount]
      answer = await call(daemon.front, { method, path, body, headers: { Host: hostName, 'Api-Key': apiKey, 'Deadline-Ms': '3000' }, timeoutMs: 3_000 })
      record('answer', { node: daemon.node, method, path, status: answer.status, body: answer.body, error: answer.error })
      if (answer.status !== 0 && answer.status < 500 && answer.status !== 429) return answer
      await wait(200)
    }
    return answer
  }

  function getPath (queue, id) {
    return queues.find(({ name }) => name === queue).prefix + id
  }

  async function submit (queue, id, job) {
    return await send('POST', getPath(queue, id), job)
  }

  async function getState (queue, id) {
    const { status, body } = await send('GET', getPath(queue, id))
    return status === 200 ? body.state : `status ${status}`
  }

  async function getPending (queue) {
    return (await send('GET', getPath(queue, ''))).body?.pending
  }

  async function cancel (queue, id) {
    return await send('DELETE', getPath(queue, id))
  }

  async function waitUntilServing () {
    for (let tries = 0; tries < 200; tries++) {
      const states = await Promise.all(daemons.daemons.map(({ metrics }) => call(metrics, { method: 'GET', path: '/status', timeoutMs: 1_000 })))
      if (states.every(({ status, body }) => status === 200 && body.isStoreReached) && states.some(({ body }) => body.scheduling !== undefined)) {
        record('all daemons serve')
        return
      }
      await wait(100)
    }
    throw new Error('the daemons do not serve')
  }

  async function getLeader () {
    const leader = store.get('leader/scheduler')
    return daemons.daemons.find(({ node }) => node === leader)
  }
}

/** An id of a job: 16 hexadecimal digits. */
export function createId (number, salt = 0x5a) {
  return ((BigInt(number + 1) * 0x9e3779b97f4a7c15n + BigInt(salt)) & 0xffffffffffffffffn).toString(16).padStart(16, '0')
}
