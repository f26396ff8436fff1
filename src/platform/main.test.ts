/** The entry point of the daemon handles SIGTERM and SIGHUP at any moment of its start. */
import { spawn } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from '@jest/globals'
import { settingsVariable } from './platformSettings.js'

const program = new URL('./main.js', import.meta.url).href

interface Exit {
  readonly code: number | null
  readonly output: string
}

/** Runs a script in a process that has the given settings file. */
async function runScript (script: string, settings: string): Promise<Exit> {
  const folder = mkdtempSync(join(tmpdir(), 'sassafrasford-main-'))
  const file = join(folder, 'node.toml')
  writeFileSync(file, settings)
  const child = spawn(process.execPath, ['--input-type=module', '-e', script], { env: { ...process.env, [settingsVariable]: file } })
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.on('data', chunk => { output += String(chunk) })
  const code = await new Promise<number | null>(resolve => { child.once('close', resolve) })
  rmSync(folder, { recursive: true, force: true })
  return { code, output }
}

const settings = ['node = "edge-1"', 'ip = "127.0.0.1"', 'zone = "a"', '[listen]', '[platform]', 'addr = "127.0.0.1:1"', '[bounds]'].join('\n')

test('SIGTERM before the daemon is loaded ends the process with 0, and nothing is served', async () => {
  const { code, output } = await runScript(`await import('${program}'); process.kill(process.pid, 'SIGTERM')`, settings)
  expect(code).toBe(0)
  expect(output).not.toContain('the host has started')
})

// Guards against a host that a change of the settings file ends while it starts.
test('SIGHUP before the daemon is loaded does not end the process', async () => {
  const { code } = await runScript(`await import('${program}'); process.kill(process.pid, 'SIGHUP'); setTimeout(() => { process.kill(process.pid, 'SIGTERM') }, 0)`, settings)
  expect(code).toBe(0)
})

test('a settings file that cannot be used ends the process with 1 and names the setting', async () => {
  const { code, output } = await runScript(`await import('${program}')`, 'zone = "a"')
  expect(code).toBe(1)
  expect(output).toContain('node.toml: setting')
})
