/** Part of `npm run model`: explores the end model for each policy and scenario, and prints the worst numbers of steps and the shortest trace to each class of violations. */
import { getUnreadShares } from './endLosses.js'
import { countRequests, createEndModel, EndInvariant } from './endModel.js'
import { endScenarios } from './endScenarios.js'
import { explore } from './explorer.js'
import { getWorstFindings, getWorstSteps } from './findings.js'
import { readingPolicies, stepMs } from './readingPolicies.js'

const policyNames = process.env.POLICIES?.split(';')
const scenarioNames = process.env.SCENARIOS?.split(';')
const maxDepth = Number(process.env.DEPTH ?? Infinity)
/** About 1 GB. */
const maxStates = Number(process.env.STATES ?? 2_000_000)
/** Ten seconds. */
const countedSteps = 10_000 / stepMs

/** As the users' days have it, and an end that is read within these steps. */
const lostShare = 0.6
const soonSteps = [2, 4, 8]
const lossTrials = 20_000

for (const policy of readingPolicies.filter(({ name }) => policyNames?.includes(name) ?? true)) {
  for (const areOthersLosing of [false, true]) {
    for (const isForeseen of [true, false]) {
      const shares = getUnreadShares(policy, { isForeseen, areOthersLosing, lostShare, trials: lossTrials, seed: 1 }, soonSteps)
      console.log(`${policy.name}: with ${lostShare} of the requests lost${areOthersLosing ? ', as those of other workers,' : ''} ${shares.map(share => `${(100 * share).toFixed(1)} %`).join(', ')} of ${isForeseen ? '' : 'unforeseen '}ends are not read after ${soonSteps.join(', ')} steps`)
    }
  }
  for (const isProgressWrong of [false, true]) {
    const { polls, acknowledging, looks } = countRequests({ ...endScenarios[0] as (typeof endScenarios)[number], policy, isProgressWrong }, countedSteps)
    console.log(`${policy.name}: ${polls} polls (${acknowledging} acknowledge ends) and ${looks} requests beside them in ${countedSteps} steps${isProgressWrong ? ' if a run takes longer than expected' : ''}`)
  }
}
for (const scenario of endScenarios.filter(({ name }) => scenarioNames?.includes(name) ?? true)) {
  for (const policy of readingPolicies.filter(({ name }) => policyNames?.includes(name) ?? true)) {
    const startedAtMs = performance.now()
    const { states, transitions, depth, isComplete, findings } = explore(createEndModel({ ...scenario, policy }), { maxDepth: Math.min(maxDepth, scenario.maxDepth), maxStates })
    const bound = isComplete ? 'all states' : `bounded to ${depth} steps`
    console.log(`${scenario.name} | ${policy.name}: ${states} states, ${transitions} transitions, ${bound}, worst READ ${getWorstSteps(findings, EndInvariant.Read)}, STORED ${getWorstSteps(findings, EndInvariant.Stored)}, ${Math.round((performance.now() - startedAtMs) / 1_000)} s`)
    for (const finding of getWorstFindings(findings, [EndInvariant.Read, EndInvariant.Stored])) {
      console.log(`  ${finding.class}${finding.maxSteps > 0 ? `, up to ${finding.maxSteps} steps` : ''}`)
      for (const line of finding.trace) console.log(`    ${line}`)
    }
  }
}
