/** Hosts that replicate the configuration from one in-memory store and from each other, for tests on a fake clock. */
import { jest } from '@jest/globals'
import { silentLogger } from '../common/logger.js'
import type { RpcClient } from '../common/rpcClient.js'
import type { DecodedConfiguration } from '../configuration/configuration.js'
import { createConfigurationFollower, createFollowMethod } from '../configuration/configurationPeers.js'
import type { ConfigurationFollower } from '../configuration/configurationPeers.js'
import { createConfigurationReplica } from '../configuration/configurationReplica.js'
import type { ConfigurationReplica } from '../configuration/configurationReplica.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { harnessConfiguration } from './poolHarness.js'

/** The key of the configuration in the harness; its value is the version, possibly padded with spaces. */
export const harnessConfigurationKey = 'configuration'

/** Age up to which a copy of the harness is current, in ms. */
export const harnessMaxAgeMs = 2_400

/** A follower without peers. */
export const noFollower: ConfigurationFollower = { hasPeer: () => false, tryFollow: () => Promise.resolve(undefined) }

/** Decodes a value of the harness. */
export function decodeHarnessConfiguration (value: string): DecodedConfiguration {
  const version = Number(value)
  return Number.isFinite(version) ? { configuration: { ...harnessConfiguration, version }, version, issues: [] } : { issues: [{ path: [], expected: 'number' }] }
}

/** Advances the fake clock in small steps, so that chains of callbacks run in order. */
export async function advanceClock (ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 10) await jest.advanceTimersByTimeAsync(10)
}

/** Options of one host. */
export interface HarnessHostOptions {
  readonly prefersPeers?: boolean
  /** Hosts that this one may follow. */
  readonly peers?: readonly string[]
  /** Wraps the host's client of the store. */
  readonly wrapStore?: (store: MetadataStore) => MetadataStore
}

/** The hosts and their store. */
export interface ConfigurationHarness {
  readonly store: MemoryStore
  addHost (hostId: string, options?: HarnessHostOptions): ConfigurationReplica
  /** While set, calls to the host fail. */
  setUnreachable (hostId: string, isUnreachable: boolean): void
  /** Replaces the answers of a host to its followers. */
  setAnswer (hostId: string, getAnswer: () => unknown): void
  stop (): void
}

/** Creates a harness without hosts. */
export function createConfigurationHarness (): ConfigurationHarness {
  const store = createMemoryStore()
  const stopping = new AbortController()
  const replicas = new Map<string, ConfigurationReplica>()
  const clients = new Map<string, RpcClient>()
  const unreachable = new Set<string>()
  const answers = new Map<string, () => unknown>()

  return {
    store,
    addHost,
    setUnreachable: (hostId, isUnreachable) => { if (isUnreachable) unreachable.add(hostId); else unreachable.delete(hostId) },
    setAnswer: (hostId, getAnswer) => { answers.set(hostId, getAnswer) },
    stop: () => { stopping.abort() }
  }

  function addHost (hostId: string, { prefersPeers = false, peers = [], wrapStore = direct => direct }: HarnessHostOptions = {}): ConfigurationReplica {
    const replica = createConfigurationReplica({
      store: wrapStore(store.connect(hostId)),
      follower: createConfigurationFollower({
        logger: silentLogger,
        getPeers: () => peers.map(address => ({ address, isInOwnDomain: true })),
        connect,
        random: () => 0
      }),
      prefersPeers,
      maxAgeMs: harnessMaxAgeMs,
      logger: silentLogger,
      key: harnessConfigurationKey,
      decode: decodeHarnessConfiguration,
      onChanged: () => {},
      signal: stopping.signal
    })
    replicas.set(hostId, replica)
    return replica
  }

  function connect (hostId: string): RpcClient {
    let client = clients.get(hostId)
    if (client === undefined) clients.set(hostId, client = createClient(hostId))
    return client
  }

  function createClient (hostId: string): RpcClient {
    const method = createFollowMethod(replicas.get(hostId) as ConfigurationReplica)
    return {
      call: async <T>(_name: string, params: unknown) => {
        if (unreachable.has(hostId)) throw createError(ErrorKind.PeerUnreachable, 'the host is unreachable')
        const getAnswer = answers.get(hostId)
        const result = getAnswer === undefined ? await method.handle(params, { from: '', identity: '' }) : getAnswer()
        return JSON.parse(JSON.stringify(result ?? null)) as T
      }
    }
  }
}
