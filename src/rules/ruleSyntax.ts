/** The grammar of the operators' rules: one rule a line, with a comment that says who asked for it. */
import { createDiagnostic, diagnosticMessages } from '../errors/diagnostics.js'
import type { Diagnostic } from '../errors/diagnostics.js'

/** Every kind of rule, in the order of a printed file. */
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

/** One rule. `kind` and `name` are its identity; `comment` says who asked for it. */
export interface Rule {
  readonly kind: RuleKind
  readonly name: string
  readonly fields: Readonly<Record<string, string>>
  readonly comment: string
}

/** A parsed file: rules by identity, and what is wrong with the text. */
export interface ParsedRules {
  readonly rules: ReadonlyMap<string, Rule>
  readonly lines: ReadonlyMap<string, number>
  readonly diagnostics: readonly Diagnostic[]
  /** The revision in the header `# revision N`, if the text has one. */
  readonly baseRevision?: number
}

type FieldCheck = (value: string) => string | undefined

interface KindSyntax {
  readonly required: Readonly<Record<string, FieldCheck>>
  readonly optional: Readonly<Record<string, FieldCheck>>
  readonly checkName?: FieldCheck
}

const maxLineLength = 500
const maxLineCount = 20_000
const namePattern = /^[\p{L}\p{N}._/-]{1,120}$/u
const revisionPattern = /^#\s*revision\s+(\d+)\s*$/

/** The limits that a `limit` rule may set, with their default values. */
export const limitDefaults = {
  'checkpoint-ms': 1_500,
  'queue-requests': 400,
  'queue-jobs': 20_000,
  'retry-percent': 10,
  'far-bytes-per-second': 2_000_000,
  'claim-retention-ms': 86_400_000
} as const

/** A name of a limit. */
export type LimitName = keyof typeof limitDefaults

const drainTargets = ['worker', 'endpoint', 'host', 'domain']

const syntax: Readonly<Record<RuleKind, KindSyntax>> = {
  [RuleKind.Organisation]: { required: {}, optional: { share: checkPositive } },
  [RuleKind.Guarantee]: {
    required: { domain: checkName, accelerators: checkCellSize, cells: checkCount },
    optional: {},
    checkName: checkSlashedName
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

/** Returns the stable identity of a rule: its kind and its name. */
export function getRuleIdentity (rule: Pick<Rule, 'kind' | 'name'>): string {
  return `${rule.kind} ${rule.name}`
}

/** Parses a whole file. Diagnostics carry line and column; rules that are wrong are left out. */
export function parseRules (text: string): ParsedRules {
  const rules = new Map<string, Rule>()
  const lines = new Map<string, number>()
  const diagnostics: Diagnostic[] = []
  let baseRevision: number | undefined
  const texts = text.split(/\r?\n/)
  if (texts.length > maxLineCount) diagnostics.push(createDiagnostic(diagnosticMessages.tooManyLines, [`${maxLineCount}`], maxLineCount, 1))
  texts.slice(0, maxLineCount).forEach((line, index) => {
    const lineNumber = index + 1
    const header = revisionPattern.exec(line)
    if (header) baseRevision = Number(header[1])
    if (line.trim() === '' || line.trimStart().startsWith('#')) return
    const rule = parseLine(line, lineNumber, diagnostics)
    if (rule === undefined) return
    const identity = getRuleIdentity(rule)
    const earlier = lines.get(identity)
    if (earlier !== undefined) {
      diagnostics.push(createDiagnostic(diagnosticMessages.duplicateRule, [identity, `${earlier}`], lineNumber, 1))
      return
    }
    rules.set(identity, rule)
    lines.set(identity, lineNumber)
  })
  return { rules, lines, diagnostics, baseRevision }
}

/** Writes one rule as a line. */
export function formatRule (rule: Rule): string {
  const fields = Object.entries(rule.fields).map(([name, value]) => `${name}=${value}`)
  return [rule.kind, rule.name, ...fields, '#', rule.comment].join(' ')
}

/** Writes a whole file, ordered by kind and name, with its revision on top. */
export function formatRules (rules: Iterable<Rule>, revision: number): string {
  const kinds = Object.values(RuleKind)
  const sorted = [...rules].sort((left, right) =>
    kinds.indexOf(left.kind) - kinds.indexOf(right.kind) || left.name.localeCompare(right.name))
  return [`# revision ${revision}`, ...sorted.map(formatRule), ''].join('\n')
}

/** Tells whether two rules say the same, comment included. */
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
  const hash = line.indexOf('#')
  const comment = hash < 0 ? '' : line.slice(hash + 1).trim()
  const words = splitWords(hash < 0 ? line : line.slice(0, hash))
  const kindWord = words[0] as Word
  const kind = Object.values(RuleKind).find(known => known === kindWord.text)
  if (kind === undefined) {
    return report(diagnosticMessages.unknownRuleKind, [kindWord.text, Object.values(RuleKind).join(', ')], kindWord.column)
  }
  const nameWord = words[1]
  if (nameWord === undefined || nameWord.text.includes('=')) return report(diagnosticMessages.missingName, [kind], kindWord.column)
  if (!namePattern.test(nameWord.text)) return report(diagnosticMessages.badName, [nameWord.text], nameWord.column)
  const kindSyntax = syntax[kind]
  const nameProblem = kindSyntax.checkName?.(nameWord.text)
  if (nameProblem !== undefined) return report(diagnosticMessages.badValue, [kind, nameProblem], nameWord.column)
  if (comment === '') return report(diagnosticMessages.missingComment, [], line.length + 1)
  const fields = parseFields(words.slice(2), kindSyntax, report)
  if (fields === undefined) return undefined
  const missing = Object.keys(kindSyntax.required).find(name => !(name in fields))
  if (missing !== undefined) return report(diagnosticMessages.missingField, [missing], nameWord.column)
  return { kind, name: nameWord.text, fields, comment }
}

function parseFields (
  words: readonly Word[], kindSyntax: KindSyntax,
  report: (template: { readonly code: number, readonly text: string }, args: readonly string[], column: number) => undefined
): Record<string, string> | undefined {
  const fields: Record<string, string> = {}
  const checks = new Map(Object.entries({ ...kindSyntax.required, ...kindSyntax.optional }))
  for (const word of words) {
    const equals = word.text.indexOf('=')
    const name = equals < 0 ? word.text : word.text.slice(0, equals)
    const value = equals < 0 ? '' : word.text.slice(equals + 1)
    const check = checks.get(name)
    if (check === undefined) return report(diagnosticMessages.unknownField, [name, [...checks.keys()].join(', ') || 'none'], word.column)
    if (Object.hasOwn(fields, name)) return report(diagnosticMessages.duplicateField, [name], word.column)
    const problem = check(value)
    if (problem !== undefined) return report(diagnosticMessages.badValue, [name, problem], word.column + equals + 1)
    fields[name] = value
  }
  return fields
}

interface Word {
  readonly text: string
  readonly column: number
}

function splitWords (text: string): Word[] {
  return [...text.matchAll(/\S+/g)].map(match => ({ text: match[0], column: match.index + 1 }))
}

function checkName (value: string): string | undefined {
  return namePattern.test(value) ? undefined : `"${value}" is no name`
}

function checkSlashedName (value: string): string | undefined {
  return /^[^/]+\/[^/]+$/.test(value) ? undefined : `"${value}" must be ORGANISATION/NAME`
}

function checkDrainName (value: string): string | undefined {
  const target = value.split('/')[0] ?? ''
  if (drainTargets.includes(target) && value.length > target.length + 1) return undefined
  return `"${value}" must be TARGET/NAME with a target of ${drainTargets.join(', ')}`
}

function checkLimitName (value: string): string | undefined {
  return value in limitDefaults ? undefined : `"${value}" is no limit; the limits are ${Object.keys(limitDefaults).join(', ')}`
}

function checkCount (value: string): string | undefined {
  return /^\d{1,9}$/.test(value) ? undefined : `"${value}" is no whole number`
}

function checkPositive (value: string): string | undefined {
  return /^\d{1,12}$/.test(value) && Number(value) > 0 ? undefined : `"${value}" is no whole number above zero`
}

function checkCellSize (value: string): string | undefined {
  const size = Number(value)
  const isPowerOfTwo = Number.isInteger(size) && size >= 1 && size <= 1024 && (size & (size - 1)) === 0
  return isPowerOfTwo ? undefined : `"${value}" is no cell size; the sizes are 1, 2, 4, 8, ... up to 1024`
}

function checkShare (value: string): string | undefined {
  return /^(0(\.\d+)?|1(\.0+)?)$/.test(value) ? undefined : `"${value}" is no number from 0 to 1`
}

function checkYesNo (value: string): string | undefined {
  return value === 'yes' || value === 'no' ? undefined : `"${value}" must be yes or no`
}

function checkPath (value: string): string | undefined {
  return value.startsWith('/') && !value.startsWith('/v1/') ? undefined : `"${value}" must start with / and not with /v1/`
}
