/** Formats changes of the rules as text. */
import type { RuleChange, RuleEntry } from '../rules/ruleEdit.js'
import { formatTime } from './formatJob.js'

/** Formats changes as a diff. */
export function formatChanges (changes: readonly RuleChange[]): string {
  if (changes.length === 0) return 'no changes'
  return changes.flatMap(change => [
    ...change.before === undefined ? [] : [`- ${change.before}`],
    ...change.after === undefined ? [] : [`+ ${change.after}`]
  ]).join('\n')
}

/** Formats an entry of the audit trail. */
export function formatEntry (entry: RuleEntry): string {
  return `revision ${entry.revision}  ${formatTime(entry.atMs)}  by ${entry.author}, asked by ${entry.askedBy}\n${formatChanges(entry.changes)}`
}
