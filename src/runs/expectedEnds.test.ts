/** When the runs of a worker are expected to end. */
import { expect, test } from '@jest/globals'
import { MemberState } from '../jobs/trackedJob.js'
import { getFirstExpectedEndMs } from './expectedEnds.js'
import type { EstimatedMember } from './expectedEnds.js'

const times = { stopMs: 400, getRunMs: () => 20_000 }

function makeMember (percent: number, fields: Partial<EstimatedMember> = {}): EstimatedMember {
  return { state: MemberState.Running, progressPercent: percent, progressedAtMs: 5_000, firstProgress: { percent: 10, atMs: 1_000 }, attempt: { unit: { checkpoint: '', spec: { isService: false } } }, ...fields }
}

test('the end follows from the pace since the first report', () => {
  expect(getFirstExpectedEndMs([makeMember(50)], times)).toBe(10_000)
  expect(getFirstExpectedEndMs([makeMember(50), makeMember(90)], times)).toBe(5_500)
})

test('the end of a run that began in this term follows from its start while there is one report', () => {
  expect(getFirstExpectedEndMs([makeMember(50, { startedAtMs: 3_000, firstProgress: { percent: 50, atMs: 5_000 } })], times)).toBe(7_000)
})

test('the end of a run that is stopped follows from the stop', () => {
  const attempt = { stopReason: 'test', unit: { checkpoint: '', spec: { isService: false } } }
  expect(getFirstExpectedEndMs([makeMember(50, { attempt, startExclusion: { atMs: 5_100, incarnationMs: 1 } })], times)).toBe(5_500)
})

// A run that an earlier term has started was not asked for when it ended soon after the takeover.
test('the end of a run of which no pace is known follows from the usual time of a run', () => {
  expect(getFirstExpectedEndMs([makeMember(90, { firstProgress: { percent: 90, atMs: 5_000 } })], times)).toBe(7_000)
})

test('ends up to a time are left out', () => {
  expect(getFirstExpectedEndMs([makeMember(50), makeMember(90)], times, 5_500)).toBe(10_000)
})

// On a quiet day a seventh of the runs went on for 0.2 to 4 s with full progress, and each was asked for several times.
test('a run with full progress is not expected to end at a certain time', () => {
  expect(getFirstExpectedEndMs([makeMember(100)], times)).toBe(Infinity)
})

test.each([
  ['without a report', makeMember(50, { firstProgress: undefined })],
  ['of which the stop has got no answer', makeMember(50, { attempt: { stopReason: 'test', unit: { checkpoint: '', spec: { isService: false } } } })],
  ['of a service', makeMember(50, { attempt: { unit: { checkpoint: '', spec: { isService: true } } } })],
  ['that has not started', makeMember(50, { state: MemberState.StartSent })]
])('no end is expected of a run %s', (_what, member) => {
  expect(getFirstExpectedEndMs([member], times)).toBe(Infinity)
})
