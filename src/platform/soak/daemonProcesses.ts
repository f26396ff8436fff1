/** Starts the platform's daemon as separate processes on loopback, each with its own proxy to the store. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { closeSync, mkdtempSync, openSync, readFileSync, readdirSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { delay } from '../../common/time.js'
import { createFaultProxy, LinkFault } from '../../testing/faultProxy.js'
import type { FaultProxy } from '../../testing/faultProxy.js'

/** One daemon and the fault proxy between it and the store. */
export interface DaemonProcess {
  readonly name: string
  readonly callersAddress: string
  readonly store: FaultProxy
  isUp (): boolean
  start (): void
  /** Sends SIGKILL; resolves when the process has exited. */
  kill (): Promise<void>
  /** Sends SIGTERM; resolves when the process has exited. */
  terminate (): Promise<Termination>
  /** Suspends the process for `forMs`, as if the machine were suspended. */
  freeze (forMs: number): Promise<void>
  reload (): void
}

/** How a process ended after SIGTERM. */
export interface Termination {
  readonly code: number | null
  readonly uptimeMs: number
  /**
   * The signal ended the process before it had logged anything: Node.js itself ends a process so until the program has set its handler, and catches the signal to do
   * so, so that the kernel's mask of caught signals does not tell.
   */
  readonly wasStarting: boolean
  /** Another fault killed the process while it was stopping. */
  readonly wasKilled: boolean
}

/** The daemons of one soak. */
export interface DaemonProcesses {
  readonly hosts: readonly DaemonProcess[]
  stop (): Promise<void>
  /** The lines of the daemons' logs that mention any of the words, in the order of their times. */
  findLogLines (words: readonly string[]): readonly string[]
  /** Removes the settings files and the logs. */
  removeFiles (): void
  /** The folder of the settings files and the logs. */
  readonly folder: string
}

const program = fileURLToPath(new URL('../main.js', import.meta.url))
const callersPort = 8_261
const readyPort = 8_264
const peersPort = 7_015
const logSuffix = '.log'

/** Starts `count` daemons, each on its own loopback address (`<network>.N`). */
export async function startDaemonProcesses (count: number, network: string, storeAddress: string, bounds: Readonly<Record<string, number>>): Promise<DaemonProcesses> {
  const folder = mkdtempSync(join(tmpdir(), 'sassafrasford-entry-'))
  const hosts: DaemonProcess[] = []
  const children = new Map<string, ChildProcess>()
  const startedAtMs = new Map<string, number>()
  /** The size of each log when its process was started, in bytes. */
  const logSizes = new Map<string, number>()
  const killed = new WeakSet<ChildProcess>()
  for (let index = 0; index < count; index++) hosts.push(await createHost(index))
  for (const host of hosts) host.start()

  return { hosts, stop, findLogLines, removeFiles, folder }

  async function createHost (index: number): Promise<DaemonProcess> {
    const name = `edge-${index}`
    const ip = `${network}.${index + 1}`
    const store = await createFaultProxy(storeAddress)
    const file = join(folder, `${name}.toml`)
    writeFileSync(file, formatSettings(name, ip, store.address, bounds))
    return {
      name,
      callersAddress: `${ip}:${callersPort}`,
      store,
      isUp: () => children.has(name),
      start: () => { start(name, file) },
      kill: async () => { await signalAndWait(name, 'SIGKILL') },
      terminate: async () => {
        const child = children.get(name)
        const uptimeMs = performance.now() - (startedAtMs.get(name) ?? -Infinity)
        const { code, signal } = await signalAndWait(name, 'SIGTERM')
        const wasStarting = signal === 'SIGTERM' && getLogSize(name) === logSizes.get(name)
        return { code, uptimeMs, wasStarting, wasKilled: child !== undefined && killed.has(child) }
      },
      freeze: async forMs => {
        children.get(name)?.kill('SIGSTOP')
        await delay(forMs)
        children.get(name)?.kill('SIGCONT')
      },
      reload: () => { children.get(name)?.kill('SIGHUP') }
    }
  }

  function start (name: string, file: string): void {
    const output = openSync(join(folder, `${name}${logSuffix}`), 'a')
    logSizes.set(name, getLogSize(name))
    const child = spawn(process.execPath, [program], { env: { ...process.env, SASSAFRASFORD_NODE_FILE: file }, stdio: ['ignore', output, output] })
    closeSync(output)
    children.set(name, child)
    startedAtMs.set(name, performance.now())
    child.once('exit', () => { if (children.get(name) === child) children.delete(name) })
  }

  function getLogSize (name: string): number {
    return statSync(join(folder, `${name}${logSuffix}`)).size
  }

  async function signalAndWait (name: string, signal: NodeJS.Signals): Promise<{ readonly code: number | null, readonly signal: NodeJS.Signals | null }> {
    const child = children.get(name)
    if (child === undefined) return { code: null, signal: null }
    if (signal === 'SIGKILL') killed.add(child)
    return await new Promise(resolve => {
      child.once('exit', (code, exitSignal) => { resolve({ code, signal: exitSignal }) })
      child.kill(signal)
    })
  }

  async function stop (): Promise<void> {
    await Promise.all(hosts.map(async host => { await host.kill() }))
    for (const { store } of hosts) {
      store.setFault(LinkFault.None)
      store.close()
    }
  }

  function findLogLines (words: readonly string[]): readonly string[] {
    const lines = readdirSync(folder).filter(file => file.endsWith(logSuffix)).flatMap(file => readFileSync(join(folder, file), 'utf8').split('\n'))
    return lines.filter(line => words.some(word => line.includes(word))).sort((left, right) => getLogTimeMs(left) - getLogTimeMs(right))
  }

  function removeFiles (): void {
    rmSync(folder, { recursive: true, force: true })
  }
}

function getLogTimeMs (line: string): number {
  return Number(/"time":(\d+)/.exec(line)?.[1] ?? 0)
}

function formatSettings (name: string, ip: string, storeAddress: string, bounds: Readonly<Record<string, number>>): string {
  return [
    `node = "${name}"`,
    `ip = "${ip}"`,
    'zone = "a"',
    'contracts = ["places"]',
    `portRange = [7000, ${peersPort}]`,
    '[listen]',
    `front = "${ip}:${callersPort}"`,
    `ready = "${ip}:${readyPort}"`,
    '[platform]',
    `addr = "${storeAddress}"`,
    'ttlMinMs = 1000',
    '[bounds]',
    ...Object.entries(bounds).map(([key, value]) => `${key} = ${value}`)
  ].join('\n')
}
