/** Checks, before rules are accepted, that all guarantees fit into the workers of their domains. */
import { createDiagnostic, diagnosticMessages } from '../errors/diagnostics.js'
import type { Diagnostic } from '../errors/diagnostics.js'
import type { Guarantee, RuleSet } from '../rules/ruleSet.js'
import { createDomainAllocator } from './domainAllocator.js'
import type { WorkerInfo } from './workerTypes.js'

/** Reports the guarantees that do not fit. `lines` gives the line of each rule in the checked text. */
export function checkGuarantees (
  rules: RuleSet, lines: ReadonlyMap<string, number>, getWorkers: (domain: string) => readonly WorkerInfo[]
): Diagnostic[] {
  const domains = new Set(rules.guarantees.map(guarantee => guarantee.domain))
  return [...domains].flatMap(domain => {
    const domainGuarantees = rules.guarantees.filter(guarantee => guarantee.domain === domain)
    return checkDomain(domainGuarantees, getWorkers(domain), lines)
  })
}

function checkDomain (guarantees: readonly Guarantee[], workers: readonly WorkerInfo[], lines: ReadonlyMap<string, number>): Diagnostic[] {
  const allocator = createDomainAllocator()
  allocator.addWorkers(workers)
  allocator.setGuarantees(guarantees)
  return allocator.getShortages().map(shortage => {
    const guarantee = guarantees.find(candidate => candidate.id === shortage.guaranteeId)
    const available = workers.reduce((sum, worker) => sum + worker.accelerators, 0)
    const reason = `${shortage.missingCells} of ${guarantee?.cells} cell(s) of ${shortage.acceleratorsPerCell} adjacent accelerators do not fit into the ` +
      `${available} accelerators of ${guarantee?.domain} after the earlier guarantees are placed`
    return createDiagnostic(diagnosticMessages.guaranteeTooLarge, [shortage.guaranteeId, reason], lines.get(`guarantee ${shortage.guaranteeId}`), 1)
  })
}
