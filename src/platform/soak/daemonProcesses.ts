/** Starts the platform's daemon as separate processes on loopback, each with its own proxy to the store. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
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
  /** Sends SIGTERM; resolves to the exit code and the process's uptime at the signal. */
  terminate (): Promise<{ readonly code: number | null, readonly uptimeMs: number }>
  /** Suspends the process for `forMs`, as if the machine were suspended. */
  freeze (forMs: number): Promise<void>
  reload (): void
}

export interface DaemonProcesses {
  readonly hosts: readonly DaemonProcess[]
  stop (): Promise<void>
}

const program = fileURLToPath(new URL('../main.js', import.meta.url))
const callersPort = 8_261
const readyPort = 8_264
const peersPort = 7_015

/** Starts `count` daemons, each on its own loopback address (`<network>.N`). */
export async function startDaemonProcesses (count: number, network: string, storeAddress: string, bounds: Readonly<Record<string, number>>): Promise<DaemonProcesses> {
  const folder = mkdtempSync(join(tmpdir(), 'sassafrasford-entry-'))
  const hosts: DaemonProcess[] = []
  const children = new Map<string, ChildProcess>()
  const startedAtMs = new Map<string, number>()
  for (let index = 0; index < count; index++) hosts.push(await createHost(index))
  for (const host of hosts) host.start()

  return { hosts, stop }

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
        const uptimeMs = performance.now() - (startedAtMs.get(name) ?? -Infinity)
        return { code: await signalAndWait(name, 'SIGTERM'), uptimeMs }
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
    const logFolder = process.env.SASSAFRASFORD_SOAK_LOGS
    const output = logFolder === undefined ? 'ignore' : openSync(join(logFolder, `${name}.log`), 'a')
    const child = spawn(process.execPath, [program], { env: { ...process.env, SASSAFRASFORD_NODE_FILE: file }, stdio: ['ignore', output, output] })
    children.set(name, child)
    startedAtMs.set(name, performance.now())
    child.once('exit', () => { if (children.get(name) === child) children.delete(name) })
  }

  async function signalAndWait (name: string, signal: NodeJS.Signals): Promise<number | null> {
    const child = children.get(name)
    if (child === undefined) return null
    return await new Promise(resolve => {
      child.once('exit', resolve)
      child.kill(signal)
    })
  }

  async function stop (): Promise<void> {
    await Promise.all(hosts.map(async host => { await host.kill() }))
    for (const { store } of hosts) {
      store.setFault(LinkFault.None)
      store.close()
    }
    rmSync(folder, { recursive: true, force: true })
  }
}

function formatSettings (name: string, ip: string, storeAddress: string, bounds: Readonly<Record<string, number>>): string {
  return [
    `node = "${name}"`,
    `ip = "${ip}"`,
    'zone = "a"',
    `portRange = [7000, ${peersPort}]`,
    '[listen]',
    `front = "${ip}:${callersPort}"`,
    `ready = "${ip}:${readyPort}"`,
    '[platform]',
    `addr = "${storeAddress}"`,
    '[bounds]',
    ...Object.entries(bounds).map(([key, value]) => `${key} = ${value}`)
  ].join('\n')
}
