/** The rules in the form that the other parts read: typed, by kind. */
import { createDiagnostic, diagnosticMessages } from '../errors/diagnostics.js'
import type { Diagnostic } from '../errors/diagnostics.js'
import { getRuleIdentity, limitDefaults, RuleKind } from './ruleSyntax.js'
import type { LimitName, Rule } from './ruleSyntax.js'

/** So many cells of adjacent accelerators for an organisation in a failure domain. */
export interface Guarantee {
  readonly id: string
  readonly organisation: string
  readonly domain: string
  readonly acceleratorsPerCell: number
  readonly cells: number
}

/** The most that an organisation may use at once in one failure domain. */
export interface Quota {
  readonly accelerators: number
  readonly jobs?: number
}

/** One kind of service request; the longest matching path wins. */
export interface RequestKind {
  readonly name: string
  readonly path: string
  readonly service: string
  readonly isRepeatable: boolean
  readonly priorityRank: number
  readonly timeoutMs: number
}

/** How much completion time and fragmentation count for placement and order; from 0 to 1. */
export interface PolicyWeights {
  readonly completion: number
  readonly fragmentation: number
}

/** What is to be drained. */
export enum DrainTarget {
  Worker = 'worker',
  Endpoint = 'endpoint',
  Host = 'host',
  Domain = 'domain'
}

/** All rules of one revision. */
export interface RuleSet {
  readonly revision: number
  readonly rules: ReadonlyMap<string, Rule>
  readonly organisations: ReadonlyMap<string, { readonly share: number }>
  readonly guarantees: readonly Guarantee[]
  readonly quotas: ReadonlyMap<string, Quota>
  readonly priorityRanks: ReadonlyMap<string, number>
  readonly requestKinds: readonly RequestKind[]
  readonly weights: PolicyWeights
  isDraining (target: DrainTarget, name: string): boolean
  getLimit (name: LimitName): number
}

/** The rank of work whose priority no rule names. A lower rank goes first. */
export const defaultPriorityRank = 100

/** Compiles the rules of a revision. */
export function createRuleSet (rules: ReadonlyMap<string, Rule>, revision: number): RuleSet {
  const all = [...rules.values()]
  const priorityRanks = new Map(getOfKind(all, RuleKind.Priority).map(rule => [rule.name, Number(rule.fields.rank)]))
  return {
    revision,
    rules,
    organisations: new Map(getOfKind(all, RuleKind.Organisation).map(rule => [rule.name, { share: Number(rule.fields.share ?? 1) }])),
    guarantees: getOfKind(all, RuleKind.Guarantee).map(toGuarantee),
    quotas: new Map(getOfKind(all, RuleKind.Quota).map(rule => [rule.name, toQuota(rule)])),
    priorityRanks,
    requestKinds: getOfKind(all, RuleKind.Request)
      .map(rule => toRequestKind(rule, priorityRanks))
      .sort((left, right) => right.path.length - left.path.length),
    weights: toWeights(getOfKind(all, RuleKind.Weight)[0]),
    isDraining: (target, name) => rules.has(`${RuleKind.Drain} ${target}/${name}`),
    getLimit: name => Number(rules.get(`${RuleKind.Limit} ${name}`)?.fields.value ?? limitDefaults[name])
  }
}

/** Checks what one line alone cannot show: names that no other rule defines. */
export function checkReferences (rules: ReadonlyMap<string, Rule>, lines: ReadonlyMap<string, number>): Diagnostic[] {
  const diagnostics: Diagnostic[] = []
  for (const rule of rules.values()) {
    const organisation = getOrganisationOf(rule)
    if (organisation === undefined || rules.has(`${RuleKind.Organisation} ${organisation}`)) continue
    const identity = getRuleIdentity(rule)
    diagnostics.push(createDiagnostic(diagnosticMessages.unknownOrganisation, [organisation], lines.get(identity), 1))
  }
  return diagnostics
}

/** Finds the request kind of a path. */
export function tryFindRequestKind (ruleSet: RuleSet, path: string): RequestKind | undefined {
  return ruleSet.requestKinds.find(kind => path === kind.path || path.startsWith(kind.path.endsWith('/') ? kind.path : kind.path + '/'))
}

function getOrganisationOf (rule: Rule): string | undefined {
  if (rule.kind === RuleKind.Guarantee) return rule.name.split('/')[0]
  if (rule.kind === RuleKind.Quota) return rule.name
  return undefined
}

function getOfKind (rules: readonly Rule[], kind: RuleKind): Rule[] {
  return rules.filter(rule => rule.kind === kind)
}

function toGuarantee (rule: Rule): Guarantee {
  return {
    id: rule.name,
    organisation: rule.name.split('/')[0] ?? '',
    domain: rule.fields.domain ?? '',
    acceleratorsPerCell: Number(rule.fields.accelerators),
    cells: Number(rule.fields.cells)
  }
}

function toQuota (rule: Rule): Quota {
  const jobs = rule.fields.jobs === undefined ? undefined : Number(rule.fields.jobs)
  return { accelerators: Number(rule.fields.accelerators), jobs }
}

function toRequestKind (rule: Rule, ranks: ReadonlyMap<string, number>): RequestKind {
  return {
    name: rule.name,
    path: rule.fields.path ?? '/',
    service: rule.fields.service ?? 'default',
    isRepeatable: rule.fields.repeatable === 'yes',
    priorityRank: ranks.get(rule.fields.priority ?? '') ?? defaultPriorityRank,
    timeoutMs: Number(rule.fields['timeout-ms'])
  }
}

function toWeights (rule: Rule | undefined): PolicyWeights {
  if (rule === undefined) return { completion: 0.5, fragmentation: 0.5 }
  return { completion: Number(rule.fields.completion), fragmentation: Number(rule.fields.fragmentation) }
}
