/** Starts the built daemon as one process on loopback with low limits, beside the emulated platform, for tests with clients that do not behave. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { delay } from '../../common/time.js'
import { EndKind } from '../../jobs/jobModel.js'
import { startPlatformEmulator } from '../emulator/platformEmulator.js'
import type { PlatformEmulator } from '../emulator/platformEmulator.js'
import { settingsVariable } from '../platformSettings.js'

/** The limits of the machine that the settings name, and the heap of the process. */
export interface CrowdedHostLimits {
  readonly heapMb: number
  readonly memoryMb: number
  readonly maxDescriptors: number
}

/** What a process uses. */
export interface ProcessUse {
  /** The most resident memory so far, in MB. */
  readonly peakMemoryMb: number
  readonly descriptors: number
}

/** A response to an ordinary request. */
export interface OrdinaryResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, unknown>>
  readonly text: string
}

/** The running daemon. */
export interface CrowdedHost {
  readonly ip: string
  readonly emulator: PlatformEmulator
  isUp (): boolean
  /** Reads what the process uses; undefined if it has ended. */
  getUse (): ProcessUse | undefined
  /** Sends one request on a connection of its own; undefined if the connection ends without a response. */
  call (method: string, path: string, body?: string, headers?: Readonly<Record<string, string>>): Promise<OrdinaryResponse | undefined>
  /** Repeats an ordinary call on new connections until it is answered with 200; false if the process has ended. */
  isServed (method: string, path: string, body?: string): Promise<boolean>
  /** Returns what the metrics address shows. */
  getMetrics (): Promise<string>
  readLog (): string
  stop (): Promise<void>
}

export const crowdHostName = 'crowd.example'
export const crowdKey = 'crowd-key'
/** The path prefix of the queue. */
export const crowdPrefix = '/batch/'
/** The configuration's limit of a body. */
export const maxBodyBytes = 262_144
export const callersPort = 8_261
export const readyPort = 8_264
export const peersPort = 7_015
export const metricsPort = 7_014
const program = fileURLToPath(new URL('../main.js', import.meta.url))
/** The store, the worker and its heartbeats are emulated in the process of the test; one worker is enough, since the tests run no work to its end. */
const workers = 1
const bounds = { graceS: 6, holdMaxMs: 3_000, stopMs: 100, gangMs: 2_000, reclaimMs: 2_900, evacMs: 3_000 }
const pollMs = 100
/** Ordinary callers give up a call without a response and repeat it on a new connection, as the callers of the platform do. */
const callTimeoutMs = 3_000

/** Starts the host and resolves when it answers an ordinary request. `index` tells apart hosts of one test process. */
export async function startCrowdedHost (limits: CrowdedHostLimits, index: number): Promise<CrowdedHost> {
  const emulator = await startPlatformEmulator({
    workers,
    workersPerRack: 1,
    capacity: { cpuMilli: 64_000, memoryMb: 256_000, accelerators: 8 },
    maxLeaseMs: bounds.holdMaxMs,
    getRun: () => ({ workMs: 100, how: EndKind.Done })
  })
  emulator.configure({
    version: 1,
    routes: [{ name: 'batch', host: crowdHostName, prefix: crowdPrefix, service: 'pool', timeoutMs: callTimeoutMs, attempts: 4 }],
    tenants: [{ name: 'crowd', keys: [crowdKey] }],
    limits: { maxBodyBytes }
  })
  const folder = mkdtempSync(join(tmpdir(), 'sassafrasford-crowd-'))
  // The addresses of two test processes must differ: the ports of a host are fixed.
  const ip = `127.${64 + process.pid % 64}.${(process.pid >> 6) % 256}.${index + 1}`
  const settingsFile = join(folder, 'node.toml')
  const logFile = join(folder, 'host.log')
  writeFileSync(settingsFile, formatSettings(ip, emulator.storeAddress, limits))
  const output = openSync(logFile, 'a')
  const child: ChildProcess = spawn(process.execPath, [`--max-old-space-size=${limits.heapMb}`, program], { env: { ...process.env, [settingsVariable]: settingsFile }, stdio: ['ignore', output, output] })
  closeSync(output)
  const host: CrowdedHost = { ip, emulator, isUp, getUse, call, isServed, getMetrics, readLog: () => readFileSync(logFile, 'utf8'), stop }
  if (!await isServed('GET', crowdPrefix)) throw new Error(`the host has not started: ${host.readLog()}`)
  return host

  function isUp (): boolean {
    return child.exitCode === null && child.signalCode === null
  }

  function getUse (): ProcessUse | undefined {
    if (!isUp()) return undefined
    try {
      const peakKb = Number(/^VmHWM:\s*(\d+)/m.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))?.[1])
      return { peakMemoryMb: Math.round(peakKb / 1_024), descriptors: readdirSync(`/proc/${child.pid}/fd`).length }
    } catch {
      return undefined
    }
  }

  function call (method: string, path: string, body?: string, headers: Readonly<Record<string, string>> = {}): Promise<OrdinaryResponse | undefined> {
    return send(callersPort, method, path, body, { Host: crowdHostName, 'API-Key': crowdKey, ...headers })
  }

  function send (port: number, method: string, path: string, body: string | undefined, headers: Readonly<Record<string, string>>): Promise<OrdinaryResponse | undefined> {
    return new Promise(resolve => {
      const request = sendRequest({ host: ip, port, method, path, agent: false, headers, timeout: callTimeoutMs }, response => {
        let text = ''
        response.on('data', chunk => { text += String(chunk) })
        response.once('end', () => { resolve({ status: response.statusCode ?? 0, headers: response.headers, text }) })
        response.once('error', () => { resolve(undefined) })
      })
      request.once('timeout', () => { request.destroy() })
      request.once('error', () => { resolve(undefined) })
      request.once('close', () => { resolve(undefined) })
      request.end(body)
    })
  }

  async function isServed (method: string, path: string, body?: string): Promise<boolean> {
    while (isUp()) {
      const response = await call(method, path, body)
      if (response?.status === 200) return true
      await delay(pollMs)
    }
    return false
  }

  async function getMetrics (): Promise<string> {
    return (await send(metricsPort, 'GET', '/metrics', undefined, {}))?.text ?? ''
  }

  async function stop (): Promise<void> {
    const exited = isUp() ? new Promise(resolve => { child.once('exit', resolve) }) : undefined
    child.kill('SIGKILL')
    await exited
    emulator.stop()
    rmSync(folder, { recursive: true, force: true })
  }
}

function formatSettings (ip: string, storeAddress: string, { memoryMb, maxDescriptors }: CrowdedHostLimits): string {
  return [
    'node = "edge-crowd"',
    `ip = "${ip}"`,
    'zone = "a"',
    'contracts = ["places"]',
    `portRange = [7000, ${peersPort}]`,
    '[listen]',
    `front = "${ip}:${callersPort}"`,
    `ready = "${ip}:${readyPort}"`,
    '[limits]',
    `memoryMb = ${memoryMb}`,
    `maxFds = ${maxDescriptors}`,
    '[platform]',
    `addr = "${storeAddress}"`,
    'ttlMinMs = 1000',
    '[bounds]',
    ...Object.entries(bounds).map(([key, value]) => `${key} = ${value}`)
  ].join('\n')
}
