/** Changes the configuration in a series during a soak, and asks the hosts, over connections that stay open, which version decides their answers. */
import { Agent, request as sendRequest } from 'node:http'
import { pickRandom } from '../../common/random.js'
import { delay } from '../../common/time.js'
import { ErrorKind } from '../../errors/errorKinds.js'
import type { DaemonProcess } from './daemonProcesses.js'

/** Dependencies of the changes. */
export interface ConfigurationChangesHost {
  readonly configure: (configuration: object) => void
  /** The members that every version has. */
  readonly common: { readonly routes: readonly object[], readonly tenants: readonly object[], readonly services: readonly object[] }
  readonly hostName: string
  readonly service: string
  /** A key that every version has. */
  readonly key: string
  readonly hosts: readonly DaemonProcess[]
  /** Draws the series of changes, which depends on nothing else. */
  readonly random: () => number
  /** Draws what the hosts are asked, as often as the machine allows. */
  readonly randomProbe: () => number
  /** A confirmed version decides all calls that are sent later than this after its confirmation, in ms. */
  readonly boundMs: number
}

/** The changes of one soak. */
export interface ConfigurationChanges {
  /** Changes the configuration until the given Unix time, in ms, and asks the hosts from now on. */
  play (endsAtMs: number): Promise<void>
  /** Waits until each host has answered by the newest version; that it has not is a violation. To be called when no fault lasts. */
  settle (): Promise<void>
  stop (): void
  countVersions (): number
  /** How many answers told which version had decided them. */
  countDecided (): number
  getViolations (): readonly string[]
}

/** A version, with the times at which it was confirmed and replaced, by the monotonic clock. */
interface Version {
  readonly number: number
  readonly confirmedAtMs: number
  replacedAtMs: number
  /** The key that no other version has; undefined if this one has none. */
  readonly key: string | undefined
}

/** Pauses between changes, in ms; many are longer by the bound, so that a version that is not in force in time shows. */
const quickPauseMs = 60
const pauseMs = 1_200
const probePauseMs = 25
const probeTimeoutMs = 2_500
/** All hosts answer by the newest version within this time after the last fault, in ms; each answer's own bound is checked apart from it. */
const settleMs = 45_000

/** How encoders write an organisation without keys. */
const emptyKeys: readonly object[] = [{}, { keys: null }, { keys: [] }]

/** Creates the changes; nothing is changed before `play`. */
export function createConfigurationChanges (host: ConfigurationChangesHost): ConfigurationChanges {
  const { random, randomProbe } = host
  const versions: Version[] = []
  const violations: string[] = []
  /** The newest version by which each host has answered. */
  const shown = new Map<DaemonProcess, number>()
  let decided = 0
  let isStopped = false

  return { play, settle, stop: () => { isStopped = true }, countVersions: () => versions.length, countDecided: () => decided, getViolations: () => violations }

  async function play (endsAtMs: number): Promise<void> {
    applyNext()
    for (const daemon of host.hosts) void probeContinually(daemon)
    while (Date.now() < endsAtMs) {
      await delay(pickRandom([quickPauseMs, pauseMs], random) * random() + (versions.at(-1)?.key === undefined || random() < 0.3 ? host.boundMs : 0))
      applyNext()
    }
  }

  async function probeContinually (daemon: DaemonProcess): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!isStopped) {
      await probe(daemon, agent)
      await delay(probePauseMs)
    }
    agent.destroy()
  }

  /** Each version has a queue that no other has, and two of three have such a key. */
  function applyNext (): void {
    const number = (versions.at(-1)?.number ?? 1) + 1 + Math.floor(3 * random())
    const key = versions.length % 3 === 1 ? undefined : `key-${number}`
    const keys = key === undefined ? emptyKeys[Math.floor(versions.length / 3) % emptyKeys.length] : { keys: [key] }
    const confirmedAtMs = performance.now()
    const latest = versions.at(-1)
    host.configure({
      ...host.common,
      version: number,
      routes: [...host.common.routes, { name: `extra-${number}`, host: host.hostName, prefix: getPrefix(number), service: host.service }],
      tenants: [...host.common.tenants, { name: 'changing', ...keys }]
    })
    if (latest !== undefined) latest.replacedAtMs = performance.now()
    versions.push({ number, confirmedAtMs, replacedAtMs: Infinity, key })
  }

  /** Asks for a job with an invalid id: the error tells whether the queue exists and the key is valid, and needs no call of the store. */
  async function probe (daemon: DaemonProcess, agent: Agent): Promise<void> {
    const version = versions.at(randomProbe() < 0.6 ? -1 : -2) ?? versions.at(-1)
    if (version === undefined) return
    const key = randomProbe() < 0.5 ? version.key ?? host.key : host.key
    const sentAtMs = performance.now()
    const shownBefore = shown.get(daemon) ?? 0
    const kind = await ask(daemon.callersAddress, version.number, key, agent)
    if (kind === undefined) return
    decided++
    const describe = (what: string): string => `${daemon.name} ${what}; asked ${Math.round(sentAtMs - version.confirmedAtMs)} ms after version ${version.number} was confirmed, ${Math.round(sentAtMs - version.replacedAtMs)} ms after it was replaced`
    if (kind === ErrorKind.NoRequestKind) {
      if (version.replacedAtMs < Infinity) return
      if (sentAtMs > version.confirmedAtMs + host.boundMs) violations.push(describe('does not know a queue of the version in force'))
      if (shownBefore >= version.number) violations.push(describe('does not know a queue by which it has answered before'))
      return
    }
    if (kind === ErrorKind.Unauthorized) violations.push(describe('knows a queue of a version and not its key'))
    if (sentAtMs > version.replacedAtMs + host.boundMs) violations.push(describe('knows a queue that has been removed'))
    if (shownBefore > version.number) violations.push(describe(`answers by an older version than ${shownBefore}, by which it has answered before`))
    shown.set(daemon, Math.max(shown.get(daemon) ?? 0, version.number))
  }

  /** Returns the kind of the error; undefined if there is no answer, or one that no version decides. */
  function ask (address: string, version: number, key: string, agent: Agent): Promise<ErrorKind | undefined> {
    return new Promise(resolve => {
      const request = sendRequest(`http://${address}${getPrefix(version)}none`, { agent, headers: { Host: host.hostName, 'Api-Key': key, 'Deadline-Ms': probeTimeoutMs }, timeout: probeTimeoutMs }, response => {
        let text = ''
        response.on('data', chunk => { text += String(chunk) })
        response.once('end', () => { resolve([401, 404].includes(response.statusCode ?? 0) ? (JSON.parse(text) as { readonly error: ErrorKind }).error : undefined) })
        response.once('error', () => { resolve(undefined) })
      })
      request.once('timeout', () => { request.destroy() })
      request.once('error', () => { resolve(undefined) })
      request.once('close', () => { resolve(undefined) })
      request.end()
    })
  }

  async function settle (): Promise<void> {
    const newest = versions.at(-1)?.number ?? 0
    const untilMs = performance.now() + settleMs
    const findBehind = (): readonly DaemonProcess[] => host.hosts.filter(daemon => daemon.isUp() && shown.get(daemon) !== newest)
    while (findBehind().length > 0 && performance.now() < untilMs) await delay(probePauseMs)
    violations.push(...findBehind().map(({ name }) => `${name} does not answer by version ${newest} ${settleMs} ms after the last fault`))
  }
}

function getPrefix (version: number): string {
  return `/extra-${version}/`
}
