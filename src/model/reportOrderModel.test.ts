import { expect, test } from '@jest/globals'
import { explore } from './explorer.js'
import type { Exploration } from './explorer.js'
import { createReportOrderModel, ReportOrderInvariant, reportOrderPolicies } from './reportOrderModel.js'

function check (name: string, readings = 1): Exploration {
  const policy = reportOrderPolicies.find(candidate => candidate.name === name)
  if (policy === undefined) throw new Error(`there is a policy ${name}`)
  return explore(createReportOrderModel({ name: 'two requests', requests: 2, readings, policy }), { maxDepth: Infinity, maxStates: 200_000 })
}

// Guards against a comparison of request times, and against one that takes two reports of one millisecond for ordered.
test.each(['request times', 'clock, not strictly', 'request times, earlier clocks ignored'])('a run that is there counts as ended, if reports are ordered by: %s', name => {
  const { isComplete, findings } = check(name)
  expect(isComplete).toBe(true)
  expect([...findings.keys()]).toContain(ReportOrderInvariant.Twice)
})

test('no run that is there counts as ended, and each that is gone does, if reports are ordered by the clock', () => {
  const { isComplete, findings } = check('clock', 2)
  expect(isComplete).toBe(true)
  expect([...findings.keys()]).toEqual([])
})
