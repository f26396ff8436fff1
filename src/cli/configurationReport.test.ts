/** Tests of `config check` as a process: exit codes, output, and that it leaves the files as they are. */
import { expect, test } from '@jest/globals'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const binary = fileURLToPath(new URL('../../bin/sassafrasford.js', import.meta.url))
const queue = { name: 'batch', host: 'pool.example', prefix: '/batch/', service: 'pool' }
const files: Readonly<Record<string, string>> = {
  'clean.json': JSON.stringify({ version: 2, routes: [{ ...queue, attempts: 2 }], tenants: [{ name: 'mill', keys: ['k'], guaranteed: { gpu: 8 } }] }),
  'in-force.json': JSON.stringify({ version: 1, routes: [queue] }),
  'warning.json': '{"version": 2}',
  'error.json': '{"version": 2, "routes": [\n{"attempts": 0, "name": "batch", "host": "a", "prefix": "/", "service": "pool"}]}',
  'malformed.json': '{"version": 2,\n}'
}

test.each([
  { args: ['clean.json'], exitCode: 0, output: ['0 error(s), 0 warning(s)'] },
  { args: ['warning.json'], exitCode: 1, output: ['warning.json:1:1: warning: SF3020:', '0 error(s), 1 warning(s)'] },
  { args: ['error.json'], exitCode: 2, output: ['error.json:2:14: error: SF3015:', '1 error(s), 0 warning(s)'] },
  { args: ['malformed.json'], exitCode: 2, output: ['malformed.json:2:1: error: SF2001:'] },
  { args: ['missing.json'], exitCode: 2, output: ['missing.json: error: SF2003:'] },
  { args: ['clean.json', '--accelerators', '7'], exitCode: 2, output: ['error: SF3013:'] },
  { args: ['clean.json', '--against', 'in-force.json'], exitCode: 0, output: ['~ queue "batch": attempts: 1 -> 2', '+ organisation "mill": guarantee 8 accelerators'] },
  { args: ['in-force.json', '--against', 'clean.json'], exitCode: 2, output: ['error: SF3018:', '- organisation "mill"'] },
  { args: ['clean.json', '--against', 'malformed.json'], exitCode: 2, output: ['malformed.json:2:1: error: SF2001:'] },
  { args: ['clean.json', '--against', 'missing.json'], exitCode: 2, output: ['missing.json: error: SF2003:'] }
])('config check $args exits with $exitCode and changes no file', ({ args, exitCode, output }) => {
  const text = runCheck(args, exitCode)
  for (const part of output) expect(text).toContain(part)
})

test('with --json, the result is one JSON value, also for a file that cannot be read', () => {
  expect(JSON.parse(runCheck(['error.json', '--json'], 2))).toMatchObject({ exitCode: 2, findings: [{ file: 'error.json', severity: 'error', code: 3015, line: 2, column: 14 }] })
  expect(JSON.parse(runCheck(['missing.json', '--json'], 2))).toMatchObject({ exitCode: 2, findings: [{ file: 'missing.json', code: 2003 }] })
  const compared = JSON.parse(runCheck(['clean.json', '--against', 'in-force.json', '--json'], 0)) as unknown
  expect(compared).toMatchObject({ findings: [], differences: [{ subject: 'queue "batch": attempts', before: '1', after: '2' }, {}, {}, {}] })
})

/** Runs the command in a folder of its own; returns what it printed. */
function runCheck (args: readonly string[], exitCode: number): string {
  const folder = mkdtempSync(join(tmpdir(), 'sassafrasford-check-'))
  try {
    for (const [name, text] of Object.entries(files)) writeFileSync(join(folder, name), text)
    const result = spawnSync(process.execPath, [binary, 'config', 'check', ...args], { cwd: folder, encoding: 'utf8' })
    expect(`${result.status} ${result.stderr}`).toBe(`${exitCode} `)
    expect(Object.fromEntries(readdirSync(folder).map(name => [name, readFileSync(join(folder, name), 'utf8')]))).toEqual(files)
    return result.stdout
  } finally {
    rmSync(folder, { recursive: true })
  }
}
