/** Selects the findings that matter of an exploration of the lease model. */
import type { TracedFinding } from './explorer.js'
import { Invariant } from './leaseModel.js'

/** Leaves out each finding of LOST whose causes include all causes of another one. Ordered by class. */
export function getMinimalFindings (findings: ReadonlyMap<string, TracedFinding>): TracedFinding[] {
  const all = [...findings.values()]
  const lost = all.filter(isLost)
  return all.filter(finding => !isLost(finding) || !lost.some(other => other !== finding && getCauses(other).every(cause => getCauses(finding).includes(cause))))
    .sort((a, b) => a.class < b.class ? -1 : 1)
}

function isLost (finding: TracedFinding): boolean {
  return finding.class.startsWith(`${Invariant.Lost}: `)
}

function getCauses (finding: TracedFinding): readonly string[] {
  return finding.class.slice(`${Invariant.Lost}: `.length).split(' + ')
}
