/**
 * Brings rules to this host. One host of each domain waits on the store and passes changes on; the others
 * learn of newer revisions by heartbeats and pull from whoever has them, and poll the store seldom.
 */
import { z } from 'zod'
import type { Logger } from '../common/logger.js'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcClient } from '../common/rpcCall.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { createSignal, delay, jitter } from '../common/time.js'
import { segmentSize } from './ruleLog.js'
import type { RuleLog } from './ruleLog.js'
import type { RuleReplica, RuleUpdate } from './ruleReplica.js'

/** What the distribution needs from outside. */
export interface RuleDistributionHost {
  readonly log: RuleLog
  readonly replica: RuleReplica
  readonly logger: Logger
  readonly random: () => number
  /** Whether this host waits on the store for its domain. */
  readonly isWatcher: () => boolean
  /** Peers to pass changes on to: all of the domain, and one of each other domain. */
  readonly getPushTargets: () => readonly RpcClient[]
}

/** Brings rules to this host. */
export interface RuleDistribution {
  readonly methods: readonly RpcMethod[]
  /** To be called when a peer reports a newer revision. */
  pullFrom (peer: RpcClient): void
  /** Passes on what was adopted after `revision`. */
  push (revision: number): void
  stop (): void
}

const watchMs = 10_000
const pollMs = 5_000
const pollJitter = 0.5
const retryMs = 500
const sinceMethod = 'rules.since'
const pushMethod = 'rules.push'

/** Asks a host for its revision. */
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

/** Starts to follow the rules. */
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
        host.logger.debug('the rules cannot be read from the store')
      }
      await stopped.wait(jitter(pollMs, pollJitter, host.random))
    }
  }

  async function readLog (): Promise<void> {
    const before = replica.getRuleSet().revision
    replica.adopt(await log.readSince(before))
    const after = replica.getRuleSet().revision
    if (after === before) return
    host.logger.info(`rules at revision ${after}`)
    push(before)
    const isCompactionDue = Math.floor(after / segmentSize) > Math.floor(before / segmentSize)
    if (isCompactionDue && host.isWatcher()) await compact()
  }

  async function compact (): Promise<void> {
    try {
      await log.compact(replica.getSnapshot())
    } catch (error) {
      host.logger.warn('the rule log could not be compacted', { error: String(error) })
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
      host.logger.debug('the rules cannot be read from a peer', { error: String(error) })
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
