/** `npm run model`: explores the lease model for each policy and scenario, and prints the shortest trace to each class of violations. */
import { endPolicies, shorterWaitPolicies } from './endPolicies.js'
import { explore } from './explorer.js'
import { getMinimalFindings } from './findings.js'
import { createLeaseModel } from './leaseModel.js'
import { leaseScenarios } from './leaseScenarios.js'

const policyNames = process.env.POLICIES?.split(';')
const scenarioNames = process.env.SCENARIOS?.split(';')
const maxDepth = Number(process.env.DEPTH ?? Infinity)
/** About 1 GB. */
const maxStates = Number(process.env.STATES ?? 2_000_000)

for (const scenario of leaseScenarios.filter(({ name }) => scenarioNames?.includes(name) ?? true)) {
  for (const policy of [...endPolicies, ...shorterWaitPolicies].filter(({ name }) => policyNames?.includes(name) ?? true)) {
    const startedAtMs = performance.now()
    const { states, transitions, depth, isComplete, findings } = explore(createLeaseModel({ ...scenario, policy }), { maxDepth: Math.min(maxDepth, scenario.maxDepth), maxStates })
    const bound = isComplete ? 'all states' : `bounded to ${depth} steps`
    console.log(`${scenario.name} | ${policy.name}: ${states} states, ${transitions} transitions, ${bound}, ${Math.round((performance.now() - startedAtMs) / 1_000)} s`)
    for (const finding of getMinimalFindings(findings)) {
      console.log(`  ${finding.class}${finding.maxSteps > 0 ? `, up to ${finding.maxSteps} steps too late` : ''}`)
      for (const line of finding.trace) console.log(`    ${line}`)
    }
  }
}
