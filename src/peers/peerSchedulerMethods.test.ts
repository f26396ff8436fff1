/** Deliveries of ends by peers. */
import { expect, test } from '@jest/globals'
import { EndKind } from '../jobs/jobModel.js'
import type { ReadEnd } from '../readers/readEnds.js'
import { createPeerSchedulerMethods, encodeEnds, isAcceptance, peerSchedulerMethods, tryDecodeTerm } from './peerSchedulerMethods.js'

const caller = { from: '', identity: '' }
const end: ReadEnd = { workerId: 'w', bornAtMs: 7, sequence: 1, task: 'a.0.0.0', run: 1, how: EndKind.Done, checkpoint: '', epoch: 5, readAtMs: performance.now() }

function createMethods (accepted: ReadEnd[]): (params: unknown) => Promise<unknown> {
  const methods = createPeerSchedulerMethods({
    getOwnTerm: () => ({ epoch: 6, isPolling: true }),
    onSuspected: () => {},
    acceptEnds: (epoch, ends) => {
      if (epoch !== 6) return false
      accepted.push(...ends)
      return true
    }
  })
  const method = methods.find(({ name }) => name === peerSchedulerMethods.reportEnds)
  return async params => await method?.handle(params, caller)
}

test('ends arrive as they were read, with their age', async () => {
  const accepted: ReadEnd[] = []
  const readAtMs = performance.now() - 1_500
  expect(isAcceptance(await createMethods(accepted)(JSON.parse(JSON.stringify(encodeEnds(6, 'host', [{ ...end, readAtMs }])))))).toBe(true)
  expect(accepted.map(({ readAtMs: _, ...rest }) => rest)).toEqual([{ workerId: 'w', bornAtMs: 7, sequence: 1, task: 'a.0.0.0', run: 1, how: EndKind.Done, checkpoint: '', epoch: 5 }])
  expect(performance.now() - (accepted[0]?.readAtMs ?? 0)).toBeGreaterThanOrEqual(1_499)
})

test('a host does not accept ends for another term', async () => {
  expect(isAcceptance(await createMethods([])(encodeEnds(5, 'host', [end])))).toBe(false)
})

// Peers may be of another version, or be no host at all.
test.each([
  ['no ends', { epoch: 6, from: 'host' }],
  ['too many ends', { ...encodeEnds(6, 'host', Array.from({ length: 201 }, () => end)) }],
  ['an unknown kind of end', encodeEnds(6, 'host', [{ ...end, how: 'vanished' as EndKind }])],
  ['no run', encodeEnds(6, 'host', [{ ...end, run: 0 }])],
  ['a long name', encodeEnds(6, 'host', [{ ...end, task: 'x'.repeat(201) }])],
  ['an old end', encodeEnds(6, 'host', [{ ...end, readAtMs: performance.now() - 61_000 }])],
  ['no object', null]
])('a delivery with %s is refused', async (_name, params) => {
  const accepted: ReadEnd[] = []
  await expect(createMethods(accepted)(params)).rejects.toThrow()
  expect(accepted).toEqual([])
})

test.each([undefined, null, {}, { epoch: -1, isPolling: true }, { isPolling: 'yes' }])('a malformed answer shows no scheduler: %p', answer => {
  expect(tryDecodeTerm(answer)).toBeUndefined()
  expect(isAcceptance(answer)).toBe(false)
})
