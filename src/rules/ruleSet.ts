/** The compiled rules: typed and grouped by kind, as the other modules use them. */
import { createDiagnostic, diagnosticMessages } from '../errors/diagnostics.js'
import type { Diagnostic } from '../errors/diagnostics.js'
import { getRuleIdentity, limitDefaults, RuleKind } from './ruleSyntax.js'
import type { LimitName, Rule } from './ruleSyntax.js'

/** Guarantees an organisation a number of cells of adjacent accelerators in one failure domain. */
export interface Guarantee {
  readonly id: string
  readonly organisation: string
  readonly domain: string
  readonly acceleratorsPerCell: number
  readonly cells: number
}

/** The maximum that an organisation may use at the same time in one failure domain. */
export interface Quota {
  readonly accelerators: number
  readonly jobs?: number
}

/** One kind of service request. When several paths match, the longest one applies. */
export interface RequestKind {
  readonly name: string
  readonly path: string
  readonly service: string
  readonly isRepeatable: boolean
  readonly priorityRank: number
  readonly timeoutMs: number
}

/** Weights, from 0 to 1, of completion time and fragmentation in the placement and ordering of jobs. */
export interface PolicyWeights {
  readonly completion: number
  readonly fragmentation: number
}

/** What a `drain` rule applies to. */
export enum DrainTarget {
  Worker = 'worker',
  Endpoint = 'endpoint',
  Host = 'host',
  Domain = 'domain'
}

/** All rules of one revision, compiled. */
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

/** The rank of work whose priority is not defined by a rule. Lower ranks are scheduled first. */
export const defaultPriorityRank = 100

/** Compiles the rules of a revision. */
export function createRuleSet (rules: ReadonlyMap<string, Rule>, revision: number): RuleSet {
  const all = [...rules.values()]
  const priorityRanks = new Map(filterByKind(all, RuleKind.Priority).map(rule => [rule.name, Number(rule.fields.rank)]))
  return {
    revision,
    rules,
    organisations: new Map(filterByKind(all, RuleKind.Organisation).map(rule => [rule.name, { share: Number(rule.fields.share ?? 1) }])),
    guarantees: filterByKind(all, RuleKind.Guarantee).map(toGuarantee),
    quotas: new Map(filterByKind(all, RuleKind.Quota).map(rule => [rule.name, toQuota(rule)])),
    priorityRanks,
    requestKinds: filterByKind(all, RuleKind.Request)
      .map(rule => toRequestKind(rule, priorityRanks))
      .sort((left, right) => right.path.length - left.path.length),
    weights: toWeights(filterByKind(all, RuleKind.Weight)[0]),
    isDraining: (target, name) => rules.has(`${RuleKind.Drain} ${target}/${name}`),
    getLimit: name => Number(rules.get(`${RuleKind.Limit} ${name}`)?.fields.value ?? limitDefaults[name])
  }
}

/** Reports references to organisations that no rule defines. A single line does not show these, so they are checked over all rules. */
export function checkReferences (rules: ReadonlyMap<string, Rule>, lineNumbers: ReadonlyMap<string, number>): Diagnostic[] {
  const diagnostics: Diagnostic[] = []
  for (const rule of rules.values()) {
    const organisation = getOrganisationOf(rule)
    if (organisation === undefined || rules.has(`${RuleKind.Organisation} ${organisation}`)) continue
    const identity = getRuleIdentity(rule)
    diagnostics.push(createDiagnostic(diagnosticMessages.unknownOrganisation, [organisation], lineNumbers.get(identity), 1))
  }
  return diagnostics
}

/** Finds the request kind of a path: the one with the longest path prefix that matches. */
export function tryFindRequestKind (ruleSet: RuleSet, path: string): RequestKind | undefined {
  return ruleSet.requestKinds.find(kind => path === kind.path || path.startsWith(kind.path.endsWith('/') ? kind.path : kind.path + '/'))
}

function getOrganisationOf (rule: Rule): string | undefined {
  if (rule.kind === RuleKind.Guarantee) return rule.name.split('/')[0]
  if (rule.kind === RuleKind.Quota) return rule.name
  return undefined
}

function filterByKind (rules: readonly Rule[], kind: RuleKind): Rule[] {
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
