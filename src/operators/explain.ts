/** Describes the effects of rule changes for operators. */
import type { RuleChange } from '../rules/ruleEdit.js'
import type { RuleSet } from '../rules/ruleSet.js'
import { RuleKind } from '../rules/ruleSyntax.js'
import type { JobView } from '../scheduling/jobViews.js'

/** The current jobs and rules, against which changes are explained. */
export interface ExplainState {
  readonly jobs: readonly JobView[]
  readonly head: RuleSet
}

/** Returns one sentence per change. */
export function explainChanges (changes: readonly RuleChange[], next: RuleSet, state: ExplainState): string[] {
  return changes.map(change => `${describeEdit(change)}: ${describeEffect(change, next, state)}`)
}

function describeEdit (change: RuleChange): string {
  if (change.before === undefined) return `new ${change.identity}`
  return change.after === undefined ? `removed ${change.identity}` : `changed ${change.identity}`
}

function describeEffect (change: RuleChange, next: RuleSet, state: ExplainState): string {
  const [kind, name = ''] = change.identity.split(' ')
  switch (kind) {
    case RuleKind.Guarantee: return describeGuarantee(name, next, state)
    case RuleKind.Drain: return describeDrain(name, change, state)
    case RuleKind.Quota: return describeQuota(name, next, state)
    case RuleKind.Request: return 'applies to requests that arrive from now on'
    case RuleKind.Weight: return 'applies from the next scheduling decision on; running jobs are not affected'
    case RuleKind.Organisation: return change.after === undefined ? 'its new jobs are refused; its running jobs continue' : 'its jobs are accepted'
    default: return 'applies from the next decision on'
  }
}

function describeGuarantee (id: string, next: RuleSet, state: ExplainState): string {
  const after = next.guarantees.find(guarantee => guarantee.id === id)
  const before = state.head.guarantees.find(guarantee => guarantee.id === id)
  const running = state.jobs.filter(job => job.guaranteeId === id && job.state === 'running')
  if (after === undefined) return `${running.length} job(s) running under it become preemptible`
  const size = after.acceleratorsPerCell
  const kept = before !== undefined && before.acceleratorsPerCell === size ? Math.min(before.cells, after.cells) : 0
  const borrowers = state.jobs.filter(job => job.domain === after.domain && job.state === 'running' && job.guaranteeId === undefined)
  return `${after.organisation} can reclaim ${after.cells} cell(s) of ${size} in ${after.domain} (${after.cells - kept} new); ` +
    `${borrowers.length} job(s) running there on borrowed accelerators can be preempted for it`
}

function describeDrain (name: string, change: RuleChange, state: ExplainState): string {
  if (change.after === undefined) return 'it accepts new work again'
  const [target, ...rest] = name.split('/')
  const id = rest.join('/')
  const running = state.jobs.filter(job => target === 'domain' ? job.domain === id : job.workers.includes(id))
  return `it accepts no new work; ${running.filter(job => job.state === 'running').length} running job(s) finish there`
}

function describeQuota (organisation: string, next: RuleSet, state: ExplainState): string {
  const quota = next.quotas.get(organisation)
  if (quota === undefined) return 'the organisation no longer has an upper limit'
  const inUse = state.jobs
    .filter(job => job.organisation === organisation && job.state === 'running')
    .reduce((sum, job) => sum + job.members * job.acceleratorsPerMember, 0)
  return `the organisation may use ${quota.accelerators} accelerators in each domain; it currently uses ${inUse} in total, and running jobs are not stopped`
}
