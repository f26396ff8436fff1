/**
 * Keeps this host's replica of the rules up to date. One host of each domain watches the store and pushes changes to its
 * peers. The others learn of newer revisions from heartbeats and pull them from the peer that reported them. Every host also
 * polls the store at a low rate.
 */
import { z } from 'zod'
import type { Logger } from '../common/logger.js'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcClient } from '../common/rpcClient.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { createSignal, delay, jitter } from '../common/time.js'
import { segmentSize } from './ruleLog.js'
import type { RuleLog } from './ruleLog.js'
import type { RuleReplica, RuleUpdate } from './ruleReplica.js'

/** Dependencies of the rule distribution. */
export interface RuleDistributionHost {
  readonly log: RuleLog
  readonly replica: RuleReplica
  readonly logger: Logger
  readonly random: () => number
  /** Returns whether this host watches the store for its domain. */
  readonly isWatcher: () => boolean
  /** Returns the peers to push changes to: all hosts of the own domain, and one host of each other domain. */
  readonly getPushTargets: () => readonly RpcClient[]
}

/** Keeps this host's replica of the rules up to date. */
export interface RuleDistribution {
  readonly methods: readonly RpcMethod[]
  /** Pulls the rules from a peer that reported a newer revision. */
  pullFrom (peer: RpcClient): void
  /** Pushes the entries after `revision` to the peers. */
  push (revision: number): void
  stop (): void
}

const watchMs = 10_000
const pollMs = 5_000
const pollJitter = 0.5
const retryMs = 500
const sinceMethod = 'rules.since'
const pushMethod = 'rules.push'

/** RPC method that returns a host's revision of the rules. */
export const revisionMethod = 'rules.revision'

const changeSchema = z.strictObject({ identity: z.string(), before: z.string().optional(), after: z.string().optional() })
const entrySchema = z.strictObject({
  revision: z.number().int(),
  editId: z.string(),
  author: z.string(),
  askedBy: z.string(),
  atMs: z.number(),
  changes: z.array(changeSchema)
})
const updateSchema = z.strictObject({
  entries: z.array(entrySchema),
  snapshot: z.strictObject({ revision: z.number().int(), text: z.string() }).optional()
})

/** Starts watching and polling the store for new rules. */
export function createRuleDistribution (host: RuleDistributionHost): RuleDistribution {
  const { log, replica } = host
  const stopped = createSignal()
  let isStopped = false
  let isPulling = false
  void watch()
  void poll()

  return { methods: createMethods(), pullFrom, push, stop }

  function createMethods (): RpcMethod[] {
    return [
      defineMethod(sinceMethod, z.strictObject({ revision: z.number() }), async params => replica.getUpdateSince(params.revision)),
      defineMethod(revisionMethod, z.strictObject({}), async () => replica.getRuleSet().revision),
      defineMethod(pushMethod, updateSchema, async update => {
        const before = replica.getRuleSet().revision
        const isComplete = replica.adopt(update)
        if (replica.getRuleSet().revision > before) push(before)
        return isComplete
      })
    ]
  }

  async function watch (): Promise<void> {
    let storeRevision = 0
    while (!isStopped) {
      if (!host.isWatcher()) {
        await stopped.wait(retryMs)
        continue
      }
      try {
        const result = await log.waitForChange(storeRevision, watchMs)
        storeRevision = result.storeRevision
        if (result.isChanged) await readLog()
      } catch {
        await stopped.wait(retryMs)
      }
    }
  }

  async function poll (): Promise<void> {
    while (!isStopped) {
      try {
        await readLog()
      } catch {
        host.logger.debug('failed to read the rules from the store')
      }
      await stopped.wait(jitter(pollMs, pollJitter, host.random))
    }
  }

  async function readLog (): Promise<void> {
    const before = replica.getRuleSet().revision
    replica.adopt(await log.readSince(before))
    const after = replica.getRuleSet().revision
    if (after === before) return
    host.logger.info(`updated the rules to revision ${after}`)
    push(before)
    const isCompactionDue = Math.floor(after / segmentSize) > Math.floor(before / segmentSize)
    if (isCompactionDue && host.isWatcher()) await compact()
  }

  async function compact (): Promise<void> {
    try {
      await log.compact(replica.getSnapshot())
    } catch (error) {
      host.logger.warn('failed to compact the rule log', { error: String(error) })
    }
  }

  function pullFrom (peer: RpcClient): void {
    if (isPulling) return
    isPulling = true
    void pull(peer).finally(() => { isPulling = false })
  }

  async function pull (peer: RpcClient): Promise<void> {
    try {
      const update = await peer.call<RuleUpdate>(sinceMethod, { revision: replica.getRuleSet().revision })
      replica.adopt(updateSchema.parse(update))
    } catch (error) {
      host.logger.debug('failed to read the rules from a peer', { error: String(error) })
    }
  }

  function push (revision: number): void {
    const update = replica.getUpdateSince(revision)
    for (const peer of host.getPushTargets()) {
      void peer.call(pushMethod, update).catch(() => delay(0))
    }
  }

  function stop (): void {
    isStopped = true
    stopped.notify()
  }
}
