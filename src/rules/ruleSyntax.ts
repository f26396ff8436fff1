/** Syntax of the operators' rules: one rule per line, with a mandatory comment that says who requested it. */
import { createDiagnostic, diagnosticMessages } from '../errors/diagnostics.js'
import type { Diagnostic } from '../errors/diagnostics.js'

/** Rule kinds, in the order in which a formatted file lists them. */
export enum RuleKind {
  Organisation = 'organisation',
  Guarantee = 'guarantee',
  Quota = 'quota',
  Priority = 'priority',
  Request = 'request',
  Drain = 'drain',
  Weight = 'weight',
  Limit = 'limit'
}

/** One rule. `kind` and `name` identify it; `comment` says who requested it. */
export interface Rule {
  readonly kind: RuleKind
  readonly name: string
  readonly fields: Readonly<Record<string, string>>
  readonly comment: string
}

/** A parsed file: rules and line numbers by identity, and diagnostics. */
export interface ParsedRules {
  readonly rules: ReadonlyMap<string, Rule>
  readonly lineNumbers: ReadonlyMap<string, number>
  readonly diagnostics: readonly Diagnostic[]
  /** The revision from the header, the first line `# revision N` before the rules; undefined without a header. */
  readonly baseRevision?: number
}

/** Returns a message that says why the value is invalid, or undefined if it is valid. */
type FieldValidator = (value: string) => string | undefined

interface KindSyntax {
  readonly required: Readonly<Record<string, FieldValidator>>
  readonly optional: Readonly<Record<string, FieldValidator>>
  readonly checkName?: FieldValidator
}

const maxLineLength = 500
const maxLineCount = 20_000
const namePattern = /^[\p{L}\p{N}._/-]{1,120}$/u
const revisionPattern = /^#\s*revision\s+(\d+)\s*$/

/** The limits that a `limit` rule can set, with their default values. */
export const limitDefaults = {
  'checkpoint-ms': 1_500,
  'queue-requests': 400,
  'queue-jobs': 20_000,
  'retry-percent': 10,
  'far-bytes-per-second': 2_000_000,
  'claim-retention-ms': 86_400_000
} as const

/** Name of a limit. */
export type LimitName = keyof typeof limitDefaults

const drainTargets = ['worker', 'endpoint', 'host', 'domain']

const syntaxByKind: Readonly<Record<RuleKind, KindSyntax>> = {
  [RuleKind.Organisation]: { required: {}, optional: { share: checkPositive } },
  [RuleKind.Guarantee]: {
    required: { domain: checkName, accelerators: checkCellSize, cells: checkCount },
    optional: {},
    checkName: checkGuaranteeName
  },
  [RuleKind.Quota]: { required: { accelerators: checkCount }, optional: { jobs: checkCount } },
  [RuleKind.Priority]: { required: { rank: checkCount }, optional: {} },
  [RuleKind.Request]: {
    required: { path: checkPath, repeatable: checkYesNo, priority: checkName, 'timeout-ms': checkPositive },
    optional: { service: checkName }
  },
  [RuleKind.Drain]: { required: {}, optional: {}, checkName: checkDrainName },
  [RuleKind.Weight]: { required: { completion: checkShare, fragmentation: checkShare }, optional: {} },
  [RuleKind.Limit]: { required: { value: checkPositive }, optional: {}, checkName: checkLimitName }
}

/** Returns the identity of a rule: its kind and its name. It stays the same when the fields change. */
export function getRuleIdentity (rule: Pick<Rule, 'kind' | 'name'>): string {
  return `${rule.kind} ${rule.name}`
}

/** Parses a whole file. Diagnostics have line and column; invalid rules are omitted from the result. */
export function parseRules (text: string): ParsedRules {
  const rules = new Map<string, Rule>()
  const lineNumbers = new Map<string, number>()
  const diagnostics: Diagnostic[] = []
  let baseRevision: number | undefined
  let hasRules = false
  const sourceLines = text.split(/\r?\n/)
  if (sourceLines.length > maxLineCount) diagnostics.push(createDiagnostic(diagnosticMessages.tooManyLines, [`${maxLineCount}`], maxLineCount, 1))
  sourceLines.slice(0, maxLineCount).forEach((line, index) => {
    const lineNumber = index + 1
    if (!hasRules) baseRevision ??= parseHeader(line)
    if (line.trim() === '' || line.trimStart().startsWith('#')) return
    hasRules = true
    const rule = parseLine(line, lineNumber, diagnostics)
    if (rule === undefined) return
    const identity = getRuleIdentity(rule)
    const definedInLine = lineNumbers.get(identity)
    if (definedInLine !== undefined) {
      diagnostics.push(createDiagnostic(diagnosticMessages.duplicateRule, [identity, `${definedInLine}`], lineNumber, 1))
      return
    }
    rules.set(identity, rule)
    lineNumbers.set(identity, lineNumber)
  })
  return { rules, lineNumbers, diagnostics, baseRevision }
}

function parseHeader (line: string): number | undefined {
  const header = revisionPattern.exec(line)
  return header === null ? undefined : Number(header[1])
}

/** Formats one rule as a line. */
export function formatRule (rule: Rule): string {
  const fields = Object.entries(rule.fields).map(([name, value]) => `${name}=${value}`)
  return [rule.kind, rule.name, ...fields, '#', rule.comment].join(' ')
}

/** Formats a whole file: a header with the revision, then the rules sorted by kind and name. */
export function formatRules (rules: Iterable<Rule>, revision: number): string {
  const kinds = Object.values(RuleKind)
  const sorted = [...rules].sort((left, right) =>
    kinds.indexOf(left.kind) - kinds.indexOf(right.kind) || compareByCodeUnits(left.name, right.name))
  return [`# revision ${revision}`, ...sorted.map(formatRule), ''].join('\n')
}

/** The order doesn't depend on the locale of the host. */
function compareByCodeUnits (left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}

/** Returns whether two rules are equal, including their comments. */
export function isSameRule (left: Rule | undefined, right: Rule | undefined): boolean {
  if (left === undefined || right === undefined) return left === right
  return formatRule(left) === formatRule(right)
}

function parseLine (line: string, lineNumber: number, diagnostics: Diagnostic[]): Rule | undefined {
  const report = (template: { readonly code: number, readonly text: string }, args: readonly string[], column: number): undefined => {
    diagnostics.push(createDiagnostic(template, args, lineNumber, column))
    return undefined
  }
  if (line.length > maxLineLength) return report(diagnosticMessages.lineTooLong, [`${maxLineLength}`], maxLineLength)
  const commentStart = line.indexOf('#')
  const comment = commentStart < 0 ? '' : line.slice(commentStart + 1).trim()
  const tokens = tokenize(commentStart < 0 ? line : line.slice(0, commentStart))
  const kindToken = tokens[0] as Token
  const kind = Object.values(RuleKind).find(known => known === kindToken.text)
  if (kind === undefined) {
    return report(diagnosticMessages.unknownRuleKind, [kindToken.text, Object.values(RuleKind).join(', ')], kindToken.column)
  }
  const nameToken = tokens[1]
  if (nameToken === undefined || nameToken.text.includes('=')) return report(diagnosticMessages.missingName, [kind], kindToken.column)
  if (!namePattern.test(nameToken.text)) return report(diagnosticMessages.badName, [nameToken.text], nameToken.column)
  const kindSyntax = syntaxByKind[kind]
  const nameError = kindSyntax.checkName?.(nameToken.text)
  if (nameError !== undefined) return report(diagnosticMessages.badValue, [kind, nameError], nameToken.column)
  if (comment === '') return report(diagnosticMessages.missingComment, [], line.length + 1)
  const fields = parseFields(tokens.slice(2), kindSyntax, report)
  if (fields === undefined) return undefined
  const missing = Object.keys(kindSyntax.required).find(name => !(name in fields))
  if (missing !== undefined) return report(diagnosticMessages.missingField, [missing], nameToken.column)
  return { kind, name: nameToken.text, fields, comment }
}

function parseFields (
  tokens: readonly Token[], kindSyntax: KindSyntax,
  report: (template: { readonly code: number, readonly text: string }, args: readonly string[], column: number) => undefined
): Record<string, string> | undefined {
  const fields: Record<string, string> = {}
  const checks = new Map(Object.entries({ ...kindSyntax.required, ...kindSyntax.optional }))
  for (const token of tokens) {
    const equalsIndex = token.text.indexOf('=')
    const name = equalsIndex < 0 ? token.text : token.text.slice(0, equalsIndex)
    const value = equalsIndex < 0 ? '' : token.text.slice(equalsIndex + 1)
    const check = checks.get(name)
    if (check === undefined) return report(diagnosticMessages.unknownField, [name, [...checks.keys()].join(', ') || 'none'], token.column)
    if (Object.hasOwn(fields, name)) return report(diagnosticMessages.duplicateField, [name], token.column)
    const valueError = check(value)
    if (valueError !== undefined) return report(diagnosticMessages.badValue, [name, valueError], token.column + equalsIndex + 1)
    fields[name] = value
  }
  return fields
}

interface Token {
  readonly text: string
  readonly column: number
}

function tokenize (text: string): Token[] {
  return [...text.matchAll(/\S+/g)].map(match => ({ text: match[0], column: match.index + 1 }))
}

function checkName (value: string): string | undefined {
  return namePattern.test(value) ? undefined : `"${value}" is not a valid name`
}

function checkGuaranteeName (value: string): string | undefined {
  return /^[^/]+\/[^/]+$/.test(value) ? undefined : `"${value}" must have the form ORGANISATION/NAME`
}

function checkDrainName (value: string): string | undefined {
  const target = value.split('/')[0] ?? ''
  if (drainTargets.includes(target) && value.length > target.length + 1) return undefined
  return `"${value}" must have the form TARGET/NAME, where TARGET is one of ${drainTargets.join(', ')}`
}

function checkLimitName (value: string): string | undefined {
  return Object.hasOwn(limitDefaults, value) ? undefined : `"${value}" is not a known limit; expected one of ${Object.keys(limitDefaults).join(', ')}`
}

function checkCount (value: string): string | undefined {
  return /^\d{1,9}$/.test(value) ? undefined : `"${value}" is not a whole number`
}

function checkPositive (value: string): string | undefined {
  return /^\d{1,12}$/.test(value) && Number(value) > 0 ? undefined : `"${value}" is not a positive whole number`
}

function checkCellSize (value: string): string | undefined {
  const size = Number(value)
  const isPowerOfTwo = Number.isInteger(size) && size >= 1 && size <= 1024 && (size & (size - 1)) === 0
  return isPowerOfTwo ? undefined : `"${value}" is not a valid cell size; expected a power of two: 1, 2, 4, 8, ... up to 1024`
}

function checkShare (value: string): string | undefined {
  return /^(0(\.\d+)?|1(\.0+)?)$/.test(value) ? undefined : `"${value}" is not a number from 0 to 1`
}

function checkYesNo (value: string): string | undefined {
  return value === 'yes' || value === 'no' ? undefined : `"${value}" must be yes or no`
}

function checkPath (value: string): string | undefined {
  return value.startsWith('/') && !value.startsWith('/v1/') ? undefined : `"${value}" must start with "/" but not with "/v1/"`
}
