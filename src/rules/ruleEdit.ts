/** Differences between rule sets, and the merging of concurrent edits. */
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { formatRule, getRuleIdentity, isSameRule, parseRules } from './ruleSyntax.js'
import type { Rule } from './ruleSyntax.js'

/** The change of one rule, as formatted lines. `before` is absent for an added rule, `after` for a removed one. */
export interface RuleChange {
  readonly identity: string
  readonly before?: string
  readonly after?: string
}

/** One accepted edit: an entry of the rule log, which is also the audit trail. */
export interface RuleEntry {
  readonly revision: number
  readonly editId: string
  readonly author: string
  readonly askedBy: string
  readonly atMs: number
  readonly changes: readonly RuleChange[]
}

/** Rules by identity. */
export type RuleMap = ReadonlyMap<string, Rule>

/** A rule that was changed differently in the submitted edit (`theirs`) and in the current rules (`head`). */
export interface RuleConflict {
  readonly identity: string
  readonly theirs?: string
  readonly head?: string
}

/** Returns the changes that turn `before` into `after`. */
export function diffRules (before: RuleMap, after: RuleMap): RuleChange[] {
  const identities = [...new Set([...before.keys(), ...after.keys()])].sort()
  return identities
    .filter(identity => !isSameRule(before.get(identity), after.get(identity)))
    .map(identity => createChange(identity, before.get(identity), after.get(identity)))
}

/** Three-way merge per rule: applies to `head` the changes that turn `base` into `theirs`. */
export function mergeRules (base: RuleMap, theirs: RuleMap, head: RuleMap): { merged: RuleMap, conflicts: RuleConflict[] } {
  const merged = new Map(head)
  const conflicts: RuleConflict[] = []
  for (const change of diffRules(base, theirs)) {
    const wanted = theirs.get(change.identity)
    const current = head.get(change.identity)
    if (isSameRule(current, wanted)) continue
    if (!isSameRule(current, base.get(change.identity))) {
      conflicts.push({ identity: change.identity, theirs: change.after, head: current && formatRule(current) })
      continue
    }
    setOrDelete(merged, change.identity, wanted)
  }
  return { merged, conflicts }
}

/** Applies the changes of one entry. Errors: `conflict` when a changed rule differs from the one that the entry was based on. */
export function applyEntry (rules: RuleMap, entry: RuleEntry): RuleMap {
  const next = new Map(rules)
  for (const change of entry.changes) {
    const current = rules.get(change.identity)
    if ((current && formatRule(current)) !== change.before) {
      throw createError(ErrorKind.Conflict, `cannot apply revision ${entry.revision}: it is based on a different version of the rule "${change.identity}"`)
    }
    setOrDelete(next, change.identity, parseChangedLine(change.after))
  }
  return next
}

/** Reverts the changes of one entry. */
export function revertEntry (rules: RuleMap, entry: RuleEntry): RuleMap {
  const previous = new Map(rules)
  for (const change of entry.changes) setOrDelete(previous, change.identity, parseChangedLine(change.before))
  return previous
}

function createChange (identity: string, before: Rule | undefined, after: Rule | undefined): RuleChange {
  return { identity, before: before && formatRule(before), after: after && formatRule(after) }
}

function parseChangedLine (line: string | undefined): Rule | undefined {
  if (line === undefined) return undefined
  const [rule] = parseRules(line).rules.values()
  if (rule === undefined) throw createError(ErrorKind.RuleInvalid, `cannot parse a stored rule: ${line}`)
  return rule
}

function setOrDelete (rules: Map<string, Rule>, identity: string, rule: Rule | undefined): void {
  if (rule === undefined) {
    rules.delete(identity)
    return
  }
  rules.set(getRuleIdentity(rule), rule)
}
