/** The RPC methods for operators: rules and status. Calls need an operator's token. */
import { z } from 'zod'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcClient } from '../common/rpcClient.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { delay } from '../common/time.js'
import type { PeerInfo } from '../membership/membership.js'
import { revisionMethod } from '../rules/ruleDistribution.js'
import type { RuleChange, RuleEntry } from '../rules/ruleEdit.js'
import type { RuleEditor } from '../rules/ruleEditor.js'
import type { RuleLog } from '../rules/ruleLog.js'
import type { RuleReplica } from '../rules/ruleReplica.js'
import type { RuleSet } from '../rules/ruleSet.js'

/** Names of the operators' RPC methods. */
export enum OperatorMethod {
  ShowRules = 'operator.showRules',
  CheckRules = 'operator.checkRules',
  ApplyRules = 'operator.applyRules',
  RulesHistory = 'operator.rulesHistory',
  Confirmations = 'operator.confirmations',
  Status = 'operator.status'
}

/** The changes and effects that a rule edit would have. */
export interface RulePreview {
  readonly changes: readonly RuleChange[]
  readonly effects: readonly string[]
}

/** Hosts that have confirmed a rules revision, and hosts that have not. */
export interface Confirmations {
  readonly confirmed: readonly string[]
  readonly missing: readonly string[]
}

/** Dependencies of the operators' methods. */
export interface OperatorInterfaceHost {
  readonly hostId: string
  readonly replica: RuleReplica
  readonly editor: RuleEditor
  readonly log: RuleLog
  readonly getPeers: () => readonly PeerInfo[]
  readonly push: (revision: number) => void
  readonly connect: (address: string) => RpcClient
  readonly explain: (changes: readonly RuleChange[], next: RuleSet) => readonly string[]
  readonly getStatus: () => Promise<unknown>
}

const editSchema = z.strictObject({
  text: z.string().max(4_000_000),
  baseRevision: z.number().int().min(0).optional(),
  askedBy: z.string().min(1).max(200),
  editId: z.string().max(100).optional()
})
const historySchema = z.strictObject({ identity: z.string().optional(), limit: z.number().int().min(1).max(10_000).default(100) })
const confirmationsSchema = z.strictObject({ revision: z.number().int(), waitMs: z.number().min(0).max(30_000) })
const confirmationPollMs = 50
const peerQueryTimeoutMs = 1_000

/** Creates the operators' RPC methods. */
export function createOperatorMethods (host: OperatorInterfaceHost): RpcMethod[] {
  return [
    defineMethod(OperatorMethod.ShowRules, z.strictObject({}), async () => host.replica.getSnapshot()),
    defineMethod(OperatorMethod.CheckRules, editSchema, async (params, caller) => {
      const { changes, next } = host.editor.preview({ ...params, author: caller.identity })
      return { changes, effects: host.explain(changes, next) } satisfies RulePreview
    }),
    defineMethod(OperatorMethod.ApplyRules, editSchema, async (params, caller) => {
      const before = host.replica.getRuleSet().revision
      const result = await host.editor.apply({ ...params, author: caller.identity })
      host.push(Math.min(before, result.revision - 1))
      return result
    }),
    defineMethod(OperatorMethod.RulesHistory, historySchema, params => getHistory(params.identity, params.limit)),
    defineMethod(OperatorMethod.Confirmations, confirmationsSchema, params => waitForConfirmations(params.revision, params.waitMs)),
    defineMethod(OperatorMethod.Status, z.strictObject({}), () => host.getStatus())
  ]

  async function getHistory (identity: string | undefined, limit: number): Promise<readonly RuleEntry[]> {
    const entries = await readHistory()
    const matchingEntries = identity === undefined
      ? entries
      : entries.filter(entry => entry.changes.some(change => change.identity === identity))
    return matchingEntries.slice(-limit)
  }

  async function readHistory (): Promise<readonly RuleEntry[]> {
    try {
      return await host.log.readHistory()
    } catch {
      const recent = host.replica.getRecentEntries()
      if (recent.length > 0) return recent
      throw createError(ErrorKind.StoreUnavailable, 'the store is unavailable, and this host has no recent rule entries in memory')
    }
  }

  async function waitForConfirmations (revision: number, waitMs: number): Promise<Confirmations> {
    const deadlineMs = Date.now() + waitMs
    const confirmed = new Set<string>()
    while (true) {
      if (host.replica.getRuleSet().revision >= revision) confirmed.add(host.hostId)
      await Promise.all(host.getPeers().map(peer => queryPeer(peer, revision, confirmed)))
      const missing = [host.hostId, ...host.getPeers().map(peer => peer.hostId)].filter(hostId => !confirmed.has(hostId))
      if (missing.length === 0 || Date.now() >= deadlineMs) return { confirmed: [...confirmed], missing }
      await delay(confirmationPollMs)
    }
  }

  /** Asks the peer directly, unless its last heartbeat already shows the revision; heartbeats arrive with a delay. */
  async function queryPeer (peer: PeerInfo, revision: number, confirmed: Set<string>): Promise<void> {
    if (confirmed.has(peer.hostId)) return
    try {
      const peerRevision = peer.rulesRevision >= revision ? peer.rulesRevision : await host.connect(peer.address).call<number>(revisionMethod, {}, peerQueryTimeoutMs)
      if (peerRevision >= revision) confirmed.add(peer.hostId)
    } catch {
      // A peer that does not respond counts as missing.
    }
  }
}
