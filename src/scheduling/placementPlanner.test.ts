/** The order in which waiting jobs are tried. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createRuleSet } from '../rules/ruleSet.js'
import { parseRules } from '../rules/ruleSyntax.js'
import { createJobSpec, harnessDomain } from '../testing/schedulerHarness.js'
import { createDomainAllocator } from './domainAllocator.js'
import { createPlacementPlanner } from './placementPlanner.js'
import type { PlacementPlanner } from './placementPlanner.js'
import { createPolicy } from './policy.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

const quotaRules = 'organisation mill # test\nquota mill accelerators=0 # test\n'

function createPlanner (rulesText: () => string): PlacementPlanner {
  const allocator = createDomainAllocator()
  allocator.addWorkers([{ workerId: 'w0', address: 'w0', domain: harnessDomain, rack: 'r0', processors: 64, memoryBytes: 2 ** 38, accelerators: 8, isLeaving: false }])
  allocator.setUsable('w0', true)
  const getRules = (): ReturnType<typeof createRuleSet> => createRuleSet(parseRules(rulesText()).rules, 1)
  return createPlacementPlanner({ allocator, policy: createPolicy(() => getRules().weights), getRules })
}

// Guards against a job that uses up the skips of its shape class several times: a requeued job stood in the order once for each time that it had waited.
test('requeued jobs over their quota do not keep another job from being tried', () => {
  let rules = ''
  const planner = createPlanner(() => rules)
  const over = createJobSpec('over', { organisation: 'mill' })
  planner.addWaiting(over)
  // The order is sorted anew every 5 s only.
  for (let times = 0; times < 70; times++) {
    expect(planner.decide().map(({ jobId }) => jobId)).toEqual([over.jobId])
    planner.requeue(over.jobId, {})
  }
  rules = quotaRules
  const other = createJobSpec('other', { organisation: 'haul' })
  planner.addWaiting(other)
  expect(planner.decide().map(({ jobId }) => jobId)).toEqual([other.jobId])
})
