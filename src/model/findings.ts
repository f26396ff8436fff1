/** Selects the findings that matter of an exploration. */
import type { TracedFinding } from './explorer.js'
import { Invariant } from './leaseModel.js'

/** Leaves out each finding of LOST whose causes include all causes of another one. Ordered by class. */
export function getMinimalFindings (findings: ReadonlyMap<string, TracedFinding>): TracedFinding[] {
  const all = [...findings.values()]
  const lost = all.filter(isLost)
  return all.filter(finding => !isLost(finding) || !lost.some(other => other !== finding && getCauses(other).every(cause => getCauses(finding).includes(cause))))
    .sort((a, b) => a.class < b.class ? -1 : 1)
}

/** Leaves out each finding of a rule that is counted in steps whose causes include all causes of another one that is as severe. Ordered by class. */
export function getWorstFindings (findings: ReadonlyMap<string, TracedFinding>, counted: readonly string[]): TracedFinding[] {
  const all = [...findings.values()]
  const getRule = (finding: TracedFinding): string => finding.class.slice(0, finding.class.indexOf(': '))
  const isCovered = (finding: TracedFinding, by: TracedFinding): boolean => by !== finding && getRule(by) === getRule(finding) && by.maxSteps >= finding.maxSteps &&
    getCauses(by).every(cause => getCauses(finding).includes(cause))
  return all.filter(finding => !counted.includes(getRule(finding)) || !all.some(other => isCovered(finding, other))).sort((a, b) => a.class < b.class ? -1 : 1)
}

/** The most steps of any finding of a rule; 0 if there is none. */
export function getWorstSteps (findings: ReadonlyMap<string, TracedFinding>, rule: string): number {
  return Math.max(0, ...[...findings.values()].filter(finding => finding.class.startsWith(`${rule}: `)).map(({ maxSteps }) => maxSteps))
}

function isLost (finding: TracedFinding): boolean {
  return finding.class.startsWith(`${Invariant.Lost}: `)
}

function getCauses (finding: TracedFinding): readonly string[] {
  return finding.class.slice(finding.class.indexOf(': ') + 2).split(' + ')
}
