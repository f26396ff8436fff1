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

/** A system of separate processes, with the settings of examples/. */
export interface ProcessSystem {
  /** Returns the address that replaces a port of the example settings in this run. */
  getAddress (examplePort: number): string
  /** Starts a process by the name of its settings file, such as `entry-0`, `worker-1` or `store`. */
  start (name: string): void
  startAll (): Promise<void>
  /** Kills a process with SIGKILL, as when its host crashes. */
  kill (name: string): Promise<void>
  /** Stops a process with SIGTERM, and returns its exit code. */
  terminate (name: string): Promise<number | null>
  /** Runs the command-line program with these arguments until it exits. */
  runCommand (args: readonly string[]): Promise<CommandResult>
  stop (): Promise<void>
}

/** The output and the exit code of a command. */
export interface CommandResult {
  readonly exitCode: number | null
  readonly stdout: string
  readonly stderr: string
}

const projectRoot = fileURLToPath(new URL('../../', import.meta.url))
const binary = join(projectRoot, 'bin/sassafrasford.js')
const storeStartupMs = 300

/** Copies the settings of examples/ to a temporary folder, with each port replaced by a free one. */
export async function createProcessSystem (): Promise<ProcessSystem> {
  const folder = mkdtempSync(join(tmpdir(), 'sassafrasford-'))
  const names = readdirSync(join(projectRoot, 'examples')).filter(name => /^(store|hosts|(worker|endpoint|entry)-\d)\.json$/.test(name))
  const settingsTexts = new Map(names.map(name => [name.replace('.json', ''), readFileSync(join(projectRoot, 'examples', name), 'utf8')]))
  const ports = await findFreePorts([...settingsTexts.values()].join('\n'))
  for (const [name, text] of settingsTexts) writeFileSync(join(folder, `${name}.json`), replacePorts(text, ports))
  const children = new Map<string, ChildProcess>()

  return { getAddress, start, startAll, kill, terminate, runCommand: run, stop }

  function getAddress (examplePort: number): string {
    return `127.0.0.1:${ports.get(examplePort)}`
  }

  function start (name: string): void {
    const role = name.split('-')[0] ?? ''
    const command = role === 'entry' ? ['entry'] : ['standin', role]
    const child = spawn(process.execPath, [binary, ...command, '--settings', `${name}.json`], { cwd: folder, stdio: 'ignore' })
    children.set(name, child)
  }

  async function startAll (): Promise<void> {
    start('store')
    start('hosts')
    await delay(storeStartupMs)
    for (const name of settingsTexts.keys()) if (!children.has(name)) start(name)
  }

  async function kill (name: string): Promise<void> {
    await signalAndWait(name, 'SIGKILL')
  }

  async function terminate (name: string): Promise<number | null> {
    return await signalAndWait(name, 'SIGTERM')
  }

  async function signalAndWait (name: string, signal: NodeJS.Signals): Promise<number | null> {
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
    return await new Promise(resolve => child.once('close', code => resolve({ exitCode: code, stdout: output.trim(), stderr: errors.trim() })))
  }

  async function stop (): Promise<void> {
    for (const name of [...children.keys()]) await kill(name)
    rmSync(folder, { recursive: true, force: true })
  }
}

async function findFreePorts (settingsText: string): Promise<Map<number, number>> {
  const examplePorts = new Set([...settingsText.matchAll(/7\d{3}/g)].map(match => Number(match[0])))
  const servers = await Promise.all([...examplePorts].map(async port => {
    const server = createServer()
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return { port, server }
  }))
  const freePorts = new Map(servers.map(({ port, server }) => [port, (server.address() as AddressInfo).port]))
  for (const { server } of servers) server.close()
  return freePorts
}

function replacePorts (text: string, ports: ReadonlyMap<number, number>): string {
  return text.replace(/\b7\d{3}\b/g, port => String(ports.get(Number(port)) ?? port))
}
