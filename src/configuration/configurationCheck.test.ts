/** Tests of the check of a configuration: each finding with a small file, and that the hosts apply whatever passes. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { decodeConfigurationDocument } from '../platform/configurationDocument.js'
import { tryDecodeConfiguration } from '../platform/platformConfiguration.js'
import { checkConfiguration, Severity } from './configurationCheck.js'
import type { ConfigurationCheckOptions } from './configurationCheck.js'
import { findOrganisation, findQueue } from './configuration.js'
import type { Configuration } from './configuration.js'
import { findDifferences, formatDifference } from './configurationDifferences.js'

interface FindingCase {
  readonly name: string
  readonly text: string
  readonly options?: ConfigurationCheckOptions
  /** Severity, code, line and the value or member name at the position, of all findings. */
  readonly expected: readonly string[]
}

const route = { name: 'batch', host: 'pool.example', prefix: '/batch/', service: 'pool', attempts: 3, sloFactor: 3, sloMs: 3_000 }
const tenant = { name: 'mill', keys: ['mill-key'], guaranteed: { gpu: 8 } }

const cases: readonly FindingCase[] = [
  { name: 'a clean file', text: toText([route, { ...route, name: 'urgent', prefix: '/urgent/' }], [tenant]), expected: [] },
  { name: 'a file that is cut off', text: toText([route], [tenant]).slice(0, -2), expected: ['error SF2001 6:'] },
  { name: 'a trailing comma', text: '{"version": 1,\n"routes": [],}', expected: ['error SF2001 2:'] },
  { name: 'a field of the wrong type', text: toText([{ name: 'batch', attempts: '3', host: 'a', prefix: '/', service: 'pool' }], []), expected: ['error SF3001 3:"3"'] },
  { name: 'a missing field is reported at its queue', text: toText([route, { ...route, service: undefined }], []), expected: ['error SF3001 4:{'] },
  { name: 'a missing version', text: '{"routes": []}', expected: ['error SF3001 1:{'] },
  { name: 'a top level that is no object', text: '[]', expected: ['error SF3001 1:['] },
  { name: 'a number beyond the range of doubles', text: '{"version": 1e999}', expected: ['error SF3001 1:1e999'] },
  { name: 'two queues of one name', text: toText([route, { ...route, prefix: '/other/' }], []), expected: ['error SF3002 4:"batch"'] },
  { name: 'two queues of one host and prefix', text: toText([route, { ...route, name: 'other' }], []), expected: ['error SF3003 4:"/batch/"'] },
  { name: 'a prefix that takes some job ids of another queue', text: toText([route, { ...route, name: 'other', prefix: '/batch/0a' }], []), expected: ['warning SF3004 4:"/batch/0a"'] },
  { name: 'a longer prefix that takes no job ids of another queue', text: toText([route, { ...route, name: 'a', prefix: '/batch/a/' }, { ...route, name: 'b', prefix: '/batch/0123456789abcdef0' }], []), expected: [] },
  { name: 'the same prefix under another host name', text: toText([route, { ...route, name: 'other', host: 'b.example' }], []), expected: [] },
  { name: 'a prefix without a leading slash', text: toText([{ ...route, prefix: 'batch/' }], []), expected: ['error SF3005 3:"batch/"'] },
  { name: 'a prefix with a query', text: toText([{ ...route, prefix: '/batch?id=' }], []), expected: ['error SF3005 3:"/batch?id="'] },
  { name: 'a host name with a port', text: toText([{ ...route, host: 'pool.example:80' }], []), expected: ['error SF3006 3:"pool.example:80"'] },
  { name: 'an empty host name', text: toText([{ ...route, host: '' }], []), expected: ['error SF3006 3:""'] },
  { name: 'a key that two organisations hold', text: toText([route], [tenant, { name: 'yard', keys: ['yard-key', 'mill-key'] }]), expected: ['error SF3007 6:"mill-key"'] },
  { name: 'a key that one organisation lists twice', text: toText([route], [{ ...tenant, keys: ['mill-key', 'mill-key'] }]), expected: ['warning SF3008 5:"mill-key"'] },
  { name: 'an empty key', text: toText([route], [{ ...tenant, keys: [''] }]), expected: ['error SF3009 5:""'] },
  { name: 'two organisations of one name', text: toText([route], [tenant, { name: 'mill', keys: ['b'] }]), expected: ['error SF3010 6:"mill"'] },
  { name: 'a guarantee without a key', text: toText([route], [{ ...tenant, keys: [] }]), expected: ['warning SF3011 5:['] },
  { name: 'a negative guarantee', text: toText([route], [{ ...tenant, guaranteed: { gpu: -1 } }]), expected: ['error SF3012 5:-1'] },
  { name: 'guarantees that exceed the accelerators', text: toText([route], [tenant, { name: 'yard', keys: ['b'], guaranteed: { gpu: 9 } }]), options: { accelerators: 16 }, expected: ['error SF3013 6:9'] },
  { name: 'a negative guarantee does not offset another', text: toText([route], [{ ...tenant, guaranteed: { gpu: -8 } }, { name: 'yard', keys: ['b'], guaranteed: { gpu: 9 } }]), options: { accelerators: 8 }, expected: ['error SF3012 5:-8', 'error SF3013 6:9'] },
  { name: 'guarantees that use all accelerators', text: toText([route], [tenant]), options: { accelerators: 8 }, expected: [] },
  { name: 'an objective factor below 1 without added time', text: toText([{ ...route, sloFactor: 0.9, sloMs: 0 }], []), expected: ['error SF3014 3:0.9'] },
  { name: 'an objective that is the run time less some time', text: toText([{ ...route, sloFactor: 1, sloMs: -1 }], []), expected: ['error SF3014 3:1'] },
  { name: 'a negative objective factor', text: toText([{ ...route, sloFactor: -1 }], []), expected: ['error SF3014 3:-1'] },
  { name: 'a fixed objective, and the default one', text: toText([{ ...route, sloFactor: 0, sloMs: 500 }, { ...route, name: 'b', prefix: '/b/', sloFactor: undefined, sloMs: undefined }], []), expected: [] },
  { name: 'attempts of 0', text: toText([{ ...route, attempts: 0 }], []), expected: ['error SF3015 3:0'] },
  { name: 'a fraction of an attempt', text: toText([{ ...route, attempts: 1.5 }], []), expected: ['error SF3015 3:1.5'] },
  { name: 'a time-out of 0', text: toText([{ name: 'batch', timeoutMs: 0, host: 'a', prefix: '/', service: 'pool' }], []), expected: ['error SF3016 3:0'] },
  { name: 'a time-out that the margin for the response uses up', text: toText([{ name: 'batch', timeoutMs: 250, host: 'a', prefix: '/', service: 'pool' }], []), expected: ['error SF3016 3:250'] },
  { name: 'a limit of 0 bytes', text: '{"version": 1, "limits": {"maxBodyBytes": 0}, "routes": [' + JSON.stringify(route) + ']}', expected: ['error SF3017 1:0'] },
  { name: 'the version in force', text: toText([route], [], 7), options: { inForce: decode(toText([], [], 7)) }, expected: ['error SF3018 1:7'] },
  { name: 'a version below the one in force', text: toText([route], [], 6), options: { inForce: decode(toText([], [], 7)) }, expected: ['error SF3018 1:6'] },
  { name: 'a version above the one in force', text: toText([route], [], 8), options: { inForce: decode(toText([], [], 7)) }, expected: [] },
  { name: 'a duplicate member', text: toText([route], []).replace('"attempts"', '"attempts":0,"attempts"'), expected: ['warning SF3019 3:"attempts"'] },
  { name: 'no queue', text: '{"version": 1,\n"queues": []}', expected: ['warning SF3020 1:{'] }
]

test.each(cases)('$name: exactly the expected findings, at their positions', ({ text, options, expected }) => {
  const findings = checkConfiguration(decodeConfigurationDocument(text), options)
  const lines = text.split('\n')
  expect(findings.map(({ severity, code, line = 0, column = 0 }) => `${severity} SF${code} ${line}:${getToken(lines[line - 1] ?? '', column)}`)).toEqual(expected)
})

test('messages name the other entry and its line, and contain no API key', () => {
  const text = toText([route, { ...route, prefix: '/b/' }], [tenant, { name: 'yard', keys: ['mill-key'] }])
  const messages = checkConfiguration(decodeConfigurationDocument(text)).map(({ message }) => message)
  expect(messages).toEqual([
    'queue "batch" is already defined in line 3; the scheduler uses only one of the two',
    'an API key of organisation "yard" belongs to organisation "mill" in line 6, to which its jobs are counted'
  ])
})

test('differences are given by queue, organisation and limit, without the API keys', () => {
  const before = decode(toText([route, { ...route, name: 'old', prefix: '/old/' }], [tenant]))
  const after = decode(toText([{ ...route, attempts: 4, advice: { decideMs: 5, eachMs: 1, validMs: 900 } }, { ...route, name: 'new', prefix: '/new/', public: true }], [{ ...tenant, keys: ['b', 'c'], guaranteed: { gpu: 12 } }], 2))
  expect(findDifferences(before, after).map(formatDifference)).toEqual([
    '~ queue "batch": attempts: 3 -> 4',
    '~ queue "batch": advice: none -> 5 ms plus 1 ms for each worker (valid for 900 ms)',
    '- queue "old": address pool.example/old/, service pool, priority 0, attempts 3, objective 3 times the run time plus 3000 ms, time-out 3000 ms, API key required, advice none',
    '+ queue "new": address pool.example/new/, service pool, priority 0, attempts 3, objective 3 times the run time plus 3000 ms, time-out 3000 ms, API key not required, advice none',
    '~ organisation "mill": guarantee: 8 accelerators -> 12 accelerators',
    '- organisation "mill": API keys: 1 removed',
    '+ organisation "mill": API keys: 2 added',
    '~ all guarantees: 8 accelerators -> 12 accelerators'
  ])
  expect(findDifferences(before, before)).toEqual([])
})

const numberArbitrary = fc.constantFrom<unknown>(0, 1, 2, 3, 0.5, -1, 250, 3_000, '1', null)
const textArbitrary = fc.constantFrom<unknown>('a', 'b', 'c', '', 'a:80', 3)
const routeArbitrary = fc.record({
  name: fc.oneof(fc.uuid(), textArbitrary),
  host: textArbitrary,
  prefix: fc.oneof(fc.constantFrom('/a/', '/a/0', '/b/', '/', 'a', '/?'), fc.uuid().map(id => `/${id}/`)),
  service: fc.constantFrom<unknown>('pool', 'pool', 'pool', 1),
  attempts: fc.oneof({ weight: 3, arbitrary: fc.integer({ min: 1, max: 5 }) }, numberArbitrary),
  timeoutMs: fc.oneof({ weight: 3, arbitrary: fc.integer({ min: 251, max: 5_000 }) }, numberArbitrary),
  sloFactor: fc.oneof({ weight: 3, arbitrary: fc.constantFrom(1, 1.5, 3) }, numberArbitrary),
  sloMs: fc.oneof({ weight: 3, arbitrary: fc.nat(3_000) }, numberArbitrary),
  advice: fc.constantFrom<unknown>(undefined, { decideMs: 1, eachMs: 1, validMs: 1 }, {}),
  allowedRegions: fc.constant(['north'])
}, { requiredKeys: ['name', 'host', 'prefix', 'service'] })
const tenantArbitrary = fc.record({
  name: fc.oneof(fc.uuid(), textArbitrary), keys: fc.array(fc.oneof(fc.uuid(), fc.constantFrom('k1', 'k2', ''))), guaranteed: fc.constantFrom<unknown>(undefined, {}, { gpu: 8 }, { gpu: -1 }, { gpu: 'x' })
}, { requiredKeys: ['name', 'keys'] })
const configurationArbitrary = fc.record({
  version: fc.oneof({ weight: 5, arbitrary: fc.nat(20) }, numberArbitrary),
  routes: fc.array(routeArbitrary, { maxLength: 3 }),
  tenants: fc.array(tenantArbitrary, { maxLength: 3 }),
  limits: fc.constantFrom<unknown>({}, { maxBodyBytes: 10 }, { maxBodyBytes: 0 }, 3)
}, { requiredKeys: [] }).map(configuration => JSON.stringify(configuration))

test('whatever passes the check is applied by the hosts, and each of its queues and keys is found', () => {
  const inForce = decode(toText([route], [tenant], 5))
  let passed = 0
  fc.assert(fc.property(fc.oneof({ weight: 9, arbitrary: configurationArbitrary }, fc.json(), fc.string()), text => {
    const findings = checkConfiguration(decodeConfigurationDocument(text), { inForce, accelerators: 16 })
    const configuration = tryDecodeConfiguration(text)
    for (const { line, column } of findings) expect(Math.min(line ?? 0, column ?? 0)).toBeGreaterThan(0)
    if (findings.some(({ severity }) => severity === Severity.Error)) return
    if (configuration === undefined) throw new Error('the hosts reject a configuration without errors')
    passed++
    expect(configuration.version).toBeGreaterThan(inForce.version)
    for (const queue of configuration.queues) expect(findQueue(configuration, queue.hostName, `${queue.pathPrefix}ffffffffffffffff`)).toBe(queue)
    for (const organisation of configuration.organisations) for (const key of organisation.keys) expect(findOrganisation(configuration, key)).toBe(organisation)
    expect(configuration.organisations.reduce((sum, { guaranteedAccelerators }) => sum + guaranteedAccelerators, 0)).toBeLessThanOrEqual(16)
    expect(findDifferences(configuration, configuration)).toEqual([])
  }), { numRuns: 3_000 })
  // Otherwise the property would say little.
  expect(passed).toBeGreaterThan(100)
})

/** One entry per line: queues from line 3 on, organisations from the line after `"tenants": [` on. */
function toText (routes: readonly object[], tenants: readonly object[], version = 1): string {
  const lines = (entries: readonly object[]): string => entries.map(entry => JSON.stringify(entry)).join(',\n')
  return `{"version": ${version},\n"routes": [\n${lines(routes)}\n], "tenants": [\n${lines(tenants)}\n]}`
}

/** The string, number or opening bracket in the column; empty at a closing bracket and at the end of the line. */
function getToken (line: string, column: number): string {
  return /^(?:"[^"]*"|[^",}\]]*)/.exec(line.slice(column - 1))?.[0] ?? ''
}

function decode (text: string): Configuration {
  const configuration = tryDecodeConfiguration(text)
  if (configuration === undefined) throw new Error('the configuration of the test is malformed')
  return configuration
}
