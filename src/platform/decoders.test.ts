/** What the platform and other writers leave in the store: no decoder throws, whatever it is given. */
import { expect, test } from '@jest/globals'
import fc from 'fast-check'
import { tryDecodeBacklog } from '../admission/backlogCodec.js'
import { tryParseJson } from '../common/boundedJson.js'
import { findOrganisation, findQueue } from '../configuration/configuration.js'
import { decodeConfiguration, decodeParsedConfiguration, tryDecodeConfiguration } from './platformConfiguration.js'
import { evacuationPrefix, tryDecodeEvacuationKey } from './evacuationKeys.js'
import { tryDecodeWave } from './serviceClients.js'
import { mutateEntry } from '../testing/oddValues.js'

const configuration = {
  version: 7,
  routes: [{ name: 'batch', host: 'h.example', prefix: '/batch/', service: 'pool', priority: 2, attempts: 3, sloFactor: 3, sloMs: 3_000, timeoutMs: 3_000, public: false, advice: { decideMs: 5, eachMs: 1, validMs: 900 } }],
  tenants: [{ name: 't', keys: ['k'], guaranteed: { gpu: 16 } }],
  limits: { maxBodyBytes: 262_144 }
}
const wave = { wave: 3, machines: ['m-1', 'm-2'], deadlineS: 60, cap: 2 }
const backlog = { epoch: 3, atMs: 1_796_450_000_000, services: [['pool', 8, 64, [[0, 10, 20, 300, 400]]]], urgent: [['t', 4]], runMs: [['batch', 900]] }
const runs = { numRuns: 1_000, seed: 1 }

test('a configuration gives a configuration or issues', () => {
  fc.assert(fc.property(mutateEntry(configuration), value => {
    expect(tryDecodeConfiguration(value) === undefined || Number.isFinite(tryDecodeConfiguration(value)?.version)).toBe(true)
  }), runs)
  fc.assert(fc.property(fc.jsonValue(), value => {
    const { configuration: decoded, issues } = decodeParsedConfiguration(value)
    expect(decoded === undefined).toBe(issues.length > 0)
  }), runs)
})

test('an entry that cannot be decoded is counted as such, and the others are in force', () => {
  const route = configuration.routes[0]
  const tenant = configuration.tenants[0]
  fc.assert(fc.property(fc.jsonValue(), mutateEntry(route ?? {}), mutateEntry(tenant ?? {}), (member, oddRoute, oddTenant) => {
    const routes = [tryParseJson(oddRoute), member, { ...route, name: 'sound', prefix: '/sound/' }]
    const tenants = [tryParseJson(oddTenant), member, { name: 'sound', keys: ['sound-key'] }]
    const { configuration: decoded, issues } = decodeConfiguration(JSON.stringify({ version: 8, routes, tenants, limits: member }))
    if (decoded === undefined) throw new Error('the version is not decoded')
    const undecoded = [...decoded.undecoded?.queues ?? [], ...decoded.undecoded?.organisations ?? []]
    expect(decoded.queues.length + decoded.organisations.length + undecoded.length).toBe(routes.length + tenants.length)
    expect(issues.length).toBeGreaterThanOrEqual(undecoded.length)
    expect(findQueue(decoded, 'h.example', '/sound/0123456789abcdef')?.name).toBe('sound')
    expect(findOrganisation(decoded, 'sound-key')?.name).toBe('sound')
  }), runs)
})

test('a wave that is decoded has whole numbers, and at least one machine may be down', () => {
  expect(tryDecodeWave(JSON.stringify(wave))).toEqual({ wave: 3, machineIds: wave.machines, deadlineMs: 60_000, maxDown: 2 })
  fc.assert(fc.property(mutateEntry(wave), value => {
    const decoded = tryDecodeWave(value)
    if (decoded === undefined) return
    expect(Number.isSafeInteger(decoded.wave) && Number.isSafeInteger(decoded.maxDown) && decoded.maxDown >= 1).toBe(true)
  }), runs)
})

test('a published backlog is decoded or left out', () => {
  expect(tryDecodeBacklog(JSON.stringify(backlog))?.epoch).toBe(3)
  fc.assert(fc.property(mutateEntry(backlog), value => { tryDecodeBacklog(value) }), runs)
})

test('a key names a failure domain or is left out', () => {
  fc.assert(fc.property(fc.oneof(fc.string({ unit: 'binary' }), fc.string({ unit: 'binary' }).map(domain => evacuationPrefix + domain)), key => {
    expect(tryDecodeEvacuationKey(key)).not.toBe('')
  }), runs)
})
