/** A host's replica of the rules. Its revision never decreases. */
import { assert } from '../common/assertions.js'
import { createSignal } from '../common/time.js'
import type { Signal } from '../common/time.js'
import { applyEntry, revertEntry } from './ruleEdit.js'
import type { RuleEntry, RuleMap } from './ruleEdit.js'
import { formatRules, parseRules } from './ruleSyntax.js'
import { createRuleSet } from './ruleSet.js'
import type { RuleSet } from './ruleSet.js'

/** All rules of one revision, as formatted text. */
export interface RuleSnapshot {
  readonly revision: number
  readonly text: string
}

/** Brings a host with an older revision up to date: the missing entries, with a snapshot if earlier ones are no longer kept. */
export interface RuleUpdate {
  readonly entries: readonly RuleEntry[]
  readonly snapshot?: RuleSnapshot
}

/** A host's replica of the rules. */
export interface RuleReplica {
  /** Notified after each update that increased the revision. */
  readonly changed: Signal
  getRuleSet (): RuleSet
  /** Applies the snapshot if it is newer, then the entries that follow. Skips older entries. Returns false if entries in between are missing. */
  adopt (update: RuleUpdate): boolean
  /** Returns the rules of an earlier revision, if the entries since then are still kept. */
  tryGetRulesAt (revision: number): RuleMap | undefined
  getUpdateSince (revision: number): RuleUpdate
  getSnapshot (): RuleSnapshot
  /** Returns the entries that are still kept, oldest first. */
  getRecentEntries (): readonly RuleEntry[]
}

const maxKeptEntries = 3_000

/** Creates an empty replica at revision 0. */
export function createRuleReplica (): RuleReplica {
  const changed = createSignal()
  let ruleSet = createRuleSet(new Map(), 0)
  let entries: RuleEntry[] = []

  return {
    changed,
    getRuleSet: () => ruleSet,
    adopt,
    tryGetRulesAt,
    getUpdateSince,
    getSnapshot: () => ({ revision: ruleSet.revision, text: formatRules(ruleSet.rules.values(), ruleSet.revision) }),
    getRecentEntries: () => entries
  }

  function adopt (update: RuleUpdate): boolean {
    const before = ruleSet.revision
    adoptSnapshot(update.snapshot)
    let isComplete = true
    for (const entry of update.entries) {
      if (entry.revision <= ruleSet.revision) continue
      isComplete = entry.revision === ruleSet.revision + 1
      if (!isComplete) break
      adoptEntry(entry)
    }
    assert(ruleSet.revision >= before, 'the revision of the rules never decreases')
    if (ruleSet.revision > before) changed.notify()
    return isComplete
  }

  function adoptSnapshot (snapshot: RuleSnapshot | undefined): void {
    if (snapshot === undefined || snapshot.revision <= ruleSet.revision) return
    ruleSet = createRuleSet(parseRules(snapshot.text).rules, snapshot.revision)
    entries = []
  }

  function adoptEntry (entry: RuleEntry): void {
    ruleSet = createRuleSet(applyEntry(ruleSet.rules, entry), entry.revision)
    entries.push(entry)
    if (entries.length > maxKeptEntries) entries = entries.slice(-maxKeptEntries / 2)
  }

  function tryGetRulesAt (revision: number): RuleMap | undefined {
    if (revision > ruleSet.revision || revision < getLowestKnownRevision()) return undefined
    let rules: RuleMap = ruleSet.rules
    for (let index = entries.length - 1; index >= 0; index--) {
      const entry = entries[index] as RuleEntry
      if (entry.revision <= revision) break
      rules = revertEntry(rules, entry)
    }
    return rules
  }

  function getUpdateSince (revision: number): RuleUpdate {
    if (revision < getLowestKnownRevision()) return { entries: [], snapshot: { revision: ruleSet.revision, text: formatRules(ruleSet.rules.values(), ruleSet.revision) } }
    return { entries: entries.filter(entry => entry.revision > revision) }
  }

  /** Returns the lowest revision whose rules can still be reconstructed. */
  function getLowestKnownRevision (): number {
    return (entries[0]?.revision ?? ruleSet.revision + 1) - 1
  }
}
