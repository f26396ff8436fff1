/** Validates and merges operators' edits, and appends them to the rule log with compare-and-swap. */
import { randomUUID } from 'node:crypto'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { Diagnostic } from '../errors/diagnostics.js'
import { diffRules, mergeRules } from './ruleEdit.js'
import type { RuleChange, RuleConflict, RuleEntry, RuleMap } from './ruleEdit.js'
import type { RuleLog } from './ruleLog.js'
import type { RuleReplica } from './ruleReplica.js'
import { checkReferences, createRuleSet } from './ruleSet.js'
import type { RuleSet } from './ruleSet.js'
import { parseRules } from './ruleSyntax.js'

/** An operator's edit: the text of the whole file, and the revision that it is based on. */
export interface RuleEdit {
  readonly text: string
  readonly baseRevision?: number
  readonly author: string
  readonly askedBy: string
  /** Makes the edit idempotent: an edit with the same id is not applied twice. */
  readonly editId?: string
}

/** Result of an applied edit. */
export interface RuleEditResult {
  readonly revision: number
  readonly changes: readonly RuleChange[]
  readonly editId: string
}

/** Dependencies of the rule editor. */
export interface RuleEditorHost {
  readonly log: RuleLog
  readonly replica: RuleReplica
  /** Reports the guarantees that exceed the capacity of the workers. */
  checkGuarantees (next: RuleSet, lineNumbers: ReadonlyMap<string, number>): readonly Diagnostic[]
}

/** Previews and applies operators' edits. */
export interface RuleEditor {
  /** Merges an edit with the latest rules of the local replica, without writing it. */
  preview (edit: RuleEdit): { readonly changes: readonly RuleChange[], readonly next: RuleSet }
  /**
   * Merges an edit with the latest rules in the store and appends it to the log. Errors: `rule-invalid`, `rule-conflict`,
   * `base-too-old`, `store-unavailable`, `answer-lost`.
   */
  apply (edit: RuleEdit): Promise<RuleEditResult>
}

const maxAttempts = 40

/** Creates a rule editor. */
export function createRuleEditor (host: RuleEditorHost): RuleEditor {
  return { preview, apply }

  function preview (edit: RuleEdit): { changes: readonly RuleChange[], next: RuleSet } {
    const parsed = parseRules(edit.text)
    throwOnDiagnostics(parsed.diagnostics)
    const head = host.replica.getRuleSet()
    const baseRevision = getBaseRevision(edit, parsed.baseRevision, head)
    const base = host.replica.tryGetRulesAt(baseRevision)
    if (base === undefined) {
      throw createError(ErrorKind.BaseTooOld, `revision ${baseRevision} is not available on this host; the latest is ${head.revision}; run "rules show" and edit its output`)
    }
    const { merged, conflicts } = mergeRules(base, parsed.rules, head.rules)
    if (conflicts.length > 0) throwConflict(conflicts, edit, baseRevision)
    const next = createRuleSet(merged, head.revision + 1)
    throwOnDiagnostics([...checkReferences(merged, parsed.lineNumbers), ...checkChangedGuarantees(head.rules, next, parsed.lineNumbers)])
    return { changes: diffRules(head.rules, merged), next }
  }

  async function apply (edit: RuleEdit): Promise<RuleEditResult> {
    const editId = edit.editId ?? randomUUID()
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      await updateReplica()
      const earlier = host.replica.getRecentEntries().find(entry => entry.editId === editId)
      if (earlier !== undefined) return { revision: earlier.revision, changes: earlier.changes, editId }
      const { changes, next } = preview(edit)
      if (changes.length === 0) return { revision: next.revision - 1, changes, editId }
      const entry = { revision: next.revision, editId, author: edit.author, askedBy: edit.askedBy, atMs: Date.now(), changes }
      if (await tryAppend(entry)) return { revision: entry.revision, changes, editId }
    }
    throw createError(ErrorKind.Conflict, 'concurrent edits were accepted first in every attempt; nothing was changed')
  }

  async function tryAppend (entry: RuleEntry): Promise<boolean> {
    try {
      await host.log.append(entry)
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.Conflict)) return false
      throw error
    }
    host.replica.adopt({ entries: [entry] })
    return true
  }

  async function updateReplica (): Promise<void> {
    const update = await host.log.readSince(host.replica.getRuleSet().revision)
    host.replica.adopt(update)
  }

  /** Checks guarantees only if the edit adds or changes one, so that a guarantee accepted earlier does not block other edits. */
  function checkChangedGuarantees (head: RuleMap, next: RuleSet, lineNumbers: ReadonlyMap<string, number>): readonly Diagnostic[] {
    const isGuaranteeEdit = diffRules(head, next.rules).some(change => change.identity.startsWith('guarantee ') && change.after !== undefined)
    return isGuaranteeEdit ? host.checkGuarantees(next, lineNumbers) : []
  }

  function throwConflict (conflicts: readonly RuleConflict[], edit: RuleEdit, baseRevision: number): never {
    const first = conflicts[0] as RuleConflict
    const others = host.replica.getRecentEntries()
      .filter(entry => entry.revision > baseRevision && entry.changes.some(change => change.identity === first.identity))
      .map(entry => entry.author)
    const otherAuthors = [...new Set(others)].join(', ') || 'another operator'
    throw createError(
      ErrorKind.RuleConflict,
      `the rule "${first.identity}" was changed by ${otherAuthors} since revision ${baseRevision}, and differently by ${edit.author}`,
      { conflicts }
    )
  }
}

function getBaseRevision (edit: RuleEdit, headerRevision: number | undefined, head: RuleSet): number {
  const baseRevision = edit.baseRevision ?? headerRevision
  if (baseRevision !== undefined) return baseRevision
  if (head.revision === 0) return 0
  throw createError(ErrorKind.BadRequest, 'the file does not state the revision that it is based on; its first line should be "# revision N", as "rules show" prints it')
}

function throwOnDiagnostics (diagnostics: readonly Diagnostic[]): void {
  const first = diagnostics[0]
  if (first === undefined) return
  throw createError(ErrorKind.RuleInvalid, `the rules have ${diagnostics.length} error(s); the first: ${first.message}`, { diagnostics })
}
