/** Starts the programs of examples/ as separate processes, on free ports. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { delay } from '../common/time.js'

/** The processes of one system. */
export interface ProcessSystem {
  /** The address that stands in the examples, on the port chosen for this run. */
  getAddress (examplePort: number): string
  /** Starts a program, as `entry-0`, `worker-1` or `store`. */
  start (name: string): void
  startAll (): Promise<void>
  /** Ends a process at once, as a lost host does. */
  kill (name: string): Promise<void>
  /** Asks a process to stop, and returns its exit code. */
  terminate (name: string): Promise<number | null>
  /** Runs a command of the command line to its end. */
  run (args: readonly string[]): Promise<CommandResult>
  stop (): Promise<void>
}

/** What a command printed, and its exit code. */
export interface CommandResult {
  readonly code: number | null
  readonly output: string
  readonly errors: string
}

const root = fileURLToPath(new URL('../../', import.meta.url))
const binary = join(root, 'bin/sassafrasford.js')
const settleMs = 300

/** Prepares the settings of examples/ for free ports, in a folder of its own. */
export async function createProcessSystem (): Promise<ProcessSystem> {
  const folder = mkdtempSync(join(tmpdir(), 'sassafrasford-'))
  const names = readdirSync(join(root, 'examples')).filter(name => /^(store|hosts|(worker|endpoint|entry)-\d)\.json$/.test(name))
  const texts = new Map(names.map(name => [name.replace('.json', ''), readFileSync(join(root, 'examples', name), 'utf8')]))
  const ports = await choosePorts([...texts.values()].join('\n'))
  for (const [name, text] of texts) writeFileSync(join(folder, `${name}.json`), replacePorts(text, ports))
  const children = new Map<string, ChildProcess>()

  return { getAddress, start, startAll, kill, terminate, run, stop }

  function getAddress (examplePort: number): string {
    return `127.0.0.1:${ports.get(examplePort)}`
  }

  function start (name: string): void {
    const kind = name.split('-')[0] ?? ''
    const command = kind === 'entry' ? ['entry'] : ['standin', kind]
    const child = spawn(process.execPath, [binary, ...command, '--settings', `${name}.json`], { cwd: folder, stdio: 'ignore' })
    children.set(name, child)
  }

  async function startAll (): Promise<void> {
    start('store')
    start('hosts')
    await delay(settleMs)
    for (const name of texts.keys()) if (!children.has(name)) start(name)
  }

  async function kill (name: string): Promise<void> {
    await end(name, 'SIGKILL')
  }

  async function terminate (name: string): Promise<number | null> {
    return await end(name, 'SIGTERM')
  }

  async function end (name: string, signal: NodeJS.Signals): Promise<number | null> {
    const child = children.get(name)
    if (child === undefined) return null
    children.delete(name)
    if (child.exitCode !== null) return child.exitCode
    return await new Promise(resolve => {
      child.once('exit', code => resolve(code))
      child.kill(signal)
    })
  }

  async function run (args: readonly string[]): Promise<CommandResult> {
    const child = spawn(process.execPath, [binary, ...args], { cwd: folder, stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    let errors = ''
    child.stdout.on('data', chunk => { output += String(chunk) })
    child.stderr.on('data', chunk => { errors += String(chunk) })
    return await new Promise(resolve => child.once('close', code => resolve({ code, output: output.trim(), errors: errors.trim() })))
  }

  async function stop (): Promise<void> {
    for (const name of [...children.keys()]) await kill(name)
    rmSync(folder, { recursive: true, force: true })
  }
}

async function choosePorts (texts: string): Promise<Map<number, number>> {
  const used = new Set([...texts.matchAll(/7\d{3}/g)].map(match => Number(match[0])))
  const servers = await Promise.all([...used].map(async port => {
    const server = createServer()
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return { port, server }
  }))
  const chosen = new Map(servers.map(({ port, server }) => [port, (server.address() as AddressInfo).port]))
  for (const { server } of servers) server.close()
  return chosen
}

function replacePorts (text: string, ports: ReadonlyMap<number, number>): string {
  return text.replace(/\b7\d{3}\b/g, port => String(ports.get(Number(port)) ?? port))
}
