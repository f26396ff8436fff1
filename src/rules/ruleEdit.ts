/** Edits of the rules: what changed, and how edits of several operators are merged. */
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { formatRule, getRuleIdentity, isSameRule, parseRules } from './ruleSyntax.js'
import type { Rule } from './ruleSyntax.js'

/** The change of one rule, as lines of text; no `before` for a new rule, no `after` for a removed one. */
export interface RuleChange {
  readonly identity: string
  readonly before?: string
  readonly after?: string
}

/** One accepted edit: an entry of the log, which is the audit trail. */
export interface RuleEntry {
  readonly revision: number
  readonly editId: string
  readonly author: string
  readonly askedBy: string
  readonly atMs: number
  readonly changes: readonly RuleChange[]
}

/** The rules by identity. */
export type RuleMap = ReadonlyMap<string, Rule>

/** Two edits that changed the same rule in different ways. */
export interface RuleConflict {
  readonly identity: string
  readonly theirs?: string
  readonly head?: string
}

/** Returns what turns `before` into `after`. */
export function diffRules (before: RuleMap, after: RuleMap): RuleChange[] {
  const identities = [...new Set([...before.keys(), ...after.keys()])].sort()
  return identities
    .filter(identity => !isSameRule(before.get(identity), after.get(identity)))
    .map(identity => createChange(identity, before.get(identity), after.get(identity)))
}

/** Three-way merge by rule: the edit from `base` to `theirs`, carried over to `head`. */
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

/** Applies the changes of one entry. Errors: `conflict` when the rules are not those that the entry was made from. */
export function applyEntry (rules: RuleMap, entry: RuleEntry): RuleMap {
  const next = new Map(rules)
  for (const change of entry.changes) {
    const current = rules.get(change.identity)
    if ((current && formatRule(current)) !== change.before) {
      throw createError(ErrorKind.Conflict, `revision ${entry.revision} does not follow from the rule "${change.identity}" here`)
    }
    setOrDelete(next, change.identity, parseChangedLine(change.after))
  }
  return next
}

/** Undoes the changes of one entry. */
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
  if (rule === undefined) throw createError(ErrorKind.RuleInvalid, `a stored rule cannot be read: ${line}`)
  return rule
}

function setOrDelete (rules: Map<string, Rule>, identity: string, rule: Rule | undefined): void {
  if (rule === undefined) {
    rules.delete(identity)
    return
  }
  rules.set(getRuleIdentity(rule), rule)
}
