/** When the runs of a worker are expected to end. */
import { expect, test } from '@jest/globals'
import { MemberState } from '../jobs/trackedJob.js'
import { getFirstExpectedEndMs } from './expectedEnds.js'
import type { EstimatedMember } from './expectedEnds.js'

function makeMember (percent: number, fields: Partial<EstimatedMember> = {}): EstimatedMember {
  return { state: MemberState.Running, progressPercent: percent, progressedAtMs: 5_000, firstProgress: { percent: 10, atMs: 1_000 }, attempt: { unit: { spec: { isService: false } } }, ...fields }
}

test('the end follows from the pace since the first report', () => {
  expect(getFirstExpectedEndMs([makeMember(50)])).toBe(10_000)
  expect(getFirstExpectedEndMs([makeMember(50), makeMember(90)])).toBe(5_500)
})

// On a quiet day a seventh of the runs went on for 0.2 to 4 s with full progress, and each was asked for several times.
test('a run with full progress is not expected to end at a certain time', () => {
  expect(getFirstExpectedEndMs([makeMember(100)])).toBe(Infinity)
})

test.each([
  ['without a measured pace', makeMember(15)],
  ['without a report', makeMember(50, { firstProgress: undefined })],
  ['that is being stopped', makeMember(50, { attempt: { stopReason: 'test', unit: { spec: { isService: false } } } })],
  ['of a service', makeMember(50, { attempt: { unit: { spec: { isService: true } } } })],
  ['that has not started', makeMember(50, { state: MemberState.StartSent })]
])('no end is expected of a run %s', (_what, member) => {
  expect(getFirstExpectedEndMs([member])).toBe(Infinity)
})
