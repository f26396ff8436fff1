/** Starts the daemons of the deploy file on loopback beside the stand-ins of the platform, and records what is sent, answered and run. */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createStore } from './store.mjs'
import { createWorker } from './worker.mjs'

/** All daemons that were started; none outlives the script. */
const children = new Set()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })
for (const name of ['SIGINT', 'SIGTERM']) process.on(name, () => { process.exit(2) })

const root = fileURLToPath(new URL('../../', import.meta.url))
export const hostName = 'jobs.example'
export const service = 'pool-svc'
/** The bounds of the site ongjai-sched. */
export const bounds = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 4000,
  ackMs: 5000,
  catchUpS: 4,
  drainMs: 2500,
  graceS: 6,
  lossSlackMs: 200,
  configMs: 2500,
  rollbackSlackMs: 250,
  outerMs: 6000,
  strictRevoke: false,
  revokeMs: 5000,
  recoverS: 12,
  holdMaxMs: 10000,
  stopMs: 400,
  gangMs: 3000,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  farFactor: 3,
  saveS: 2,
  restoreMs: 600,
  noticeMs: 5500,
  moveS: 1.5,
  upkeepS: 2,
  fencing: false,
  leaseMs: 3000,
  thawMs: 300,
  paceMs: 100,
  harmMs: 4000,
  reclaimMs: 2900
}
const capacity = { cpu: 64_000, memMb: 262_144, gpu: 8 }

export function delay (ms) {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

/** `TROUBLE=0` plays the same without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Runs a case: `play` returns the rule that was broken, as a text, or undefined. Exits with 1 if it was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (folder, options, play) {
  const recordFile = join(folder, 'record.txt')
  writeFileSync(recordFile, '')
  const startedMs = performance.now()
  const record = (...words) => { appendFileSync(recordFile, `${((performance.now() - startedMs) / 1_000).toFixed(3).padStart(8)} ${words.map(word => typeof word === 'string' ? word : JSON.stringify(word)).join(' ')}\n`) }
  record(hasTrouble ? 'with the disruption' : 'TROUBLE=0: without the disruption')
  let system
  let code = 2
  const limit = setTimeout(() => {
    record('could not run: the time limit')
    process.exit(2)
  }, 115_000)
  try {
    system = await startSystem(options, record)
    const broken = await play(system, record)
    code = broken === undefined ? 0 : 1
    record(broken === undefined ? 'held' : `BROKEN ${broken}`)
  } catch (error) {
    record('could not run:', error.stack)
  }
  clearTimeout(limit)
  await system?.stop()
  console.log(['held', 'broken', 'could not run'][code])
  process.exit(code)
}

async function startSystem ({ hosts: hostCount = 3, workers: workerCount = 8 }, record) {
  const folder = mkdtempSync(join(tmpdir(), 'review-3-'))
  const network = await findNetwork()
  const store = createStore()
  const jobs = new Map()
  const events = []
  const onEvent = (kind, fields) => {
    events.push({ kind, atMs: performance.now(), ...fields })
    record('worker', kind, fields)
  }
  const getRun = task => jobs.get(task.split('.')[0])?.runs[Number(task.split('.')[2])] ?? { ms: 1_000 }
  const workers = []
  for (let number = 0; number < workerCount; number++) {
    const worker = createWorker({ store, service, zone: 'bkk-a', rack: `r1-${1 + (number >> 2)}`, id: `i-${(0x4a10 + number).toString(16)}`, machine: `m-${number}`, ip: `${network}.${100 + number}`, capacity, holdMaxMs: bounds.holdMaxMs, getRun, onEvent })
    workers.push(worker)
    await worker.start()
  }
  const hosts = []
  for (let number = 0; number < hostCount; number++) hosts.push(await createHost(number))
  const system = { store, workers, hosts, events, jobs, call, submit, configure, waitUntil, getScheduler, isReady, stop, countRunning: () => workers.reduce((sum, worker) => sum + worker.getTasks().length, 0) }
  return system

  async function createHost (number) {
    const name = `edge-bkk-a-${number + 1}`
    const ip = `${network}.${number + 1}`
    const storeAddress = await store.listen(`${network}.240`, name)
    const file = join(folder, `${name}.toml`)
    writeFileSync(file, formatSettings(name, ip, storeAddress))
    const host = { name, ip, child: undefined, start, kill: () => end('SIGKILL'), freeze: () => { signal('SIGSTOP') }, thaw: () => { signal('SIGCONT') } }
    start()
    return host

    function start () {
      const [program, ...words] = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))[1].split(' ')
      const log = openSync(join(process.env.KEEP_LOGS ?? folder, `${name}.log`), 'a')
      host.child = spawn(program === 'node' ? process.execPath : program, words, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME ?? folder, SASSAFRASFORD_NODE_FILE: file }, stdio: ['ignore', log, log] })
      host.isUp = true
      const { child } = host
      children.add(child)
      child.once('exit', (code, exitSignal) => {
        children.delete(child)
        if (host.child === child) host.isUp = false
        host.onExit?.(code, exitSignal)
        record('process', name, 'ended', { code, signal: exitSignal })
      })
    }

    function signal (name) {
      host.child.kill(name)
    }

    async function end (name) {
      if (host.isUp !== true) return
      const { child } = host
      await new Promise(resolve => {
        child.once('exit', resolve)
        child.kill('SIGCONT')
        child.kill(name)
      })
    }
  }

  function formatSettings (name, ip, storeAddress) {
    const table = (title, fields) => [`[${title}]`, ...Object.entries(fields).map(([key, value]) => `${key} = ${JSON.stringify(value)}`)]
    return [
      ...Object.entries({ node: name, role: 'entry', class: 'edge', serves: ['edge'], ip, zone: 'bkk-a', region: 'bkk', portRange: [7000, 7015], seeds: [], bootstrap: true, countsAsLoss: false, discovery: 'platform', entry: 'vip', heartbeatMs: 1500, contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'tenants', 'platform', 'advice', 'upkeep', 'sharing'], commands: 'invoke' }).map(([key, value]) => `${key} = ${JSON.stringify(value)}`),
      ...table('zones', { 'bkk-a': 'bkk' }),
      ...table('listen', { front: `${ip}:8521`, ready: `${ip}:8523` }),
      ...table('limits', { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 }),
      ...table('tolerate', { machines: 2, zones: 0, regionCount: 0 }),
      ...table('bounds', bounds),
      ...table('platform', { addr: storeAddress, form: 'kv', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1_048_576, ttlMinMs: 1000 })
    ].join('\n') + '\n'
  }

  function configure (configuration) {
    store.put('op/config', JSON.stringify(configuration))
  }

  /** Resolves to the status and the body, or to an error after the requester's time limit. */
  async function call (host, method, path, { key = 'key-a', body, timeLimitMs = 3_000 } = {}) {
    const text = body === undefined ? '' : JSON.stringify(body)
    record('requester sends', method, path, 'to', host.name, text.length > 300 ? `${text.slice(0, 300)}...` : text)
    const reply = await new Promise(resolve => {
      const request = sendRequest({ host: host.ip, port: 8521, method, path, agent: false, headers: { Host: hostName, 'Api-Key': key, 'Deadline-Ms': timeLimitMs, ...(text === '' ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) }) } })
      const timer = setTimeout(() => {
        resolve({ error: 'no answer within the time limit' })
        request.destroy()
      }, timeLimitMs)
      request.on('response', response => {
        const chunks = []
        response.on('data', chunk => { chunks.push(chunk) })
        response.on('end', () => {
          clearTimeout(timer)
          const answer = Buffer.concat(chunks).toString()
          resolve({ status: response.statusCode, body: answer === '' ? undefined : JSON.parse(answer) })
        })
      })
      request.on('error', error => {
        clearTimeout(timer)
        resolve({ error: error.message })
      })
      request.end(text)
    })
    record('answer to', method, path, 'from', host.name, reply)
    return { ...reply, atMs: performance.now() }
  }

  /** Hands a job in, with retries at other machines as requesters make them. `runs`: how the subtasks of each step behave. */
  async function submit (path, id, body, runs, { key, tries = 5, host: first = 0 } = {}) {
    jobs.set(id, { runs })
    for (let attempt = 0; attempt < tries; attempt++) {
      const reply = await call(hosts[(first + attempt) % hosts.length], 'POST', path + id, { key, body })
      if (reply.status >= 200 && reply.status < 300) return reply
      await delay(500)
    }
    throw new Error(`the job ${id} was not accepted`)
  }

  async function isReady (host) {
    return await new Promise(resolve => {
      const request = sendRequest({ host: host.ip, port: 8523, path: '/sassafrasford/readyz', agent: false, timeout: 900 }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('timeout', () => { request.destroy() })
      request.on('error', () => { resolve(false) })
      request.end()
    })
  }

  async function waitUntil (isMet, limitMs, what) {
    const sinceMs = performance.now()
    while (!await isMet()) {
      if (performance.now() - sinceMs > limitMs) {
        if (what === undefined) return false
        throw new Error(`not within ${limitMs} ms: ${what}`)
      }
      await delay(50)
    }
    return true
  }

  /** The machine that writes to the store under a condition most. */
  function getScheduler () {
    return hosts.find(({ name }) => name === store.getMainWriter())
  }

  async function stop () {
    await Promise.all(hosts.map(host => host.kill()))
    for (const worker of workers) worker.close()
    store.close()
    rmSync(folder, { recursive: true, force: true })
  }
}

/** A loopback network whose ports are free. */
async function findNetwork () {
  for (let attempt = 0; attempt < 20; attempt++) {
    const network = `127.${20 + Math.floor(200 * Math.random())}.${1 + Math.floor(250 * Math.random())}`
    if (await isFree(`${network}.1`, 8521) && await isFree(`${network}.1`, 7014)) return network
  }
  throw new Error('no free ports')
}

async function isFree (ip, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, ip, () => { server.close(() => { resolve(true) }) })
  })
}

/** A configuration with three queues of the priorities 0 to 2, and three tenants. */
export function createConfiguration (version, { guaranteed = 0, guaranteedB = 0 } = {}) {
  const route = (name, prefix, priority) => ({ name, host: hostName, prefix, service, timeoutMs: 3_000, sloMs: 5_000, sloFactor: 3, priority, attempts: 3 })
  return {
    version,
    routes: [route('urgent', '/urgent/', 0), route('batch', '/batch/', 1), route('patient', '/patient/', 2)],
    services: [{ name: service, admissionCheck: false }],
    tenants: [{ name: 'tenant-a', keys: ['key-a'], guaranteed: { gpu: guaranteed } }, { name: 'tenant-b', keys: ['key-b'], guaranteed: { gpu: guaranteedB } }, { name: 'tenant-c', keys: ['key-c'], guaranteed: { gpu: 0 } }],
    limits: { maxBodyBytes: 262_144 }
  }
}

/** Starts with the configuration in force and every machine ready. */
export async function waitForStart ({ hosts, configure, waitUntil, isReady, getScheduler }, options) {
  configure(createConfiguration(7, options))
  for (const host of hosts) await waitUntil(() => isReady(host), 20_000, `${host.name} is ready`)
  await waitUntil(() => getScheduler() !== undefined, 20_000, 'one machine schedules')
  await delay(4_000)
}
