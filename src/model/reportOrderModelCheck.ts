/** Part of `npm run model`: explores the model of reports that overtake each other for each policy and scenario, and prints the shortest trace to each finding. */
import { explore } from './explorer.js'
import { createReportOrderModel, reportOrderPolicies, reportOrderScenarios } from './reportOrderModel.js'

const policyNames = process.env.POLICIES?.split(';')
const scenarioNames = process.env.SCENARIOS?.split(';')

for (const scenario of reportOrderScenarios.filter(({ name }) => scenarioNames?.includes(name) ?? true)) {
  for (const policy of reportOrderPolicies.filter(({ name }) => policyNames?.includes(name) ?? true)) {
    const { states, transitions, depth, isComplete, findings } = explore(createReportOrderModel({ ...scenario, policy }), { maxDepth: Number(process.env.DEPTH ?? Infinity), maxStates: Number(process.env.STATES ?? 2_000_000) })
    console.log(`${scenario.name} | ${policy.name}: ${states} states, ${transitions} transitions, ${isComplete ? 'all states' : `bounded to ${depth} steps`}`)
    for (const finding of findings.values()) {
      console.log(`  ${finding.class}`)
      for (const line of finding.trace) console.log(`    ${line}`)
    }
  }
}
