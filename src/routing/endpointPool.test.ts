/** Ejection of failing endpoints: the probe that readmits one, and endpoints that leave the list. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import type { ListedHost } from '../membership/hostList.js'
import { createEndpointPool, SlotOutcome } from './endpointPool.js'
import type { EndpointPool, Slot } from './endpointPool.js'

const service = 'default'
const backoffMs = 2_000
let listed: readonly ListedHost[]
let pool: EndpointPool

beforeEach(() => {
  jest.useFakeTimers()
  listed = ['a', 'b'].map(createEndpoint)
  pool = createEndpointPool({
    domain: 'd',
    region: 'r',
    random: () => 0.5,
    getEndpoints: () => listed,
    isDraining: () => false,
    getFarBytesPerSecond: () => 0,
    onEndpointLeaving: () => {}
  })
})
afterEach(() => { jest.useRealTimers() })

function createEndpoint (id: string): ListedHost {
  return { id, address: `${id}:1`, domain: 'd', region: 'r', isLeaving: false, service } as ListedHost
}

function take (endpointId: string): Slot | undefined {
  return pool.tryTake(service, new Set(listed.map(({ id }) => id).filter(id => id !== endpointId)))
}

function fail (endpointId: string, count: number): void {
  for (let failures = 0; failures < count; failures++) take(endpointId)?.release(SlotOutcome.Failed, 0)
}

function getState (endpointId: string): string | undefined {
  return pool.getStatus().find(status => status.endpointId === endpointId)?.state
}

test.each([SlotOutcome.Full, SlotOutcome.Abandoned])('after a probe that ends as %s the next request is a probe again', outcome => {
  fail('a', 4)
  expect(getState('a')).toBe('ejected')
  jest.advanceTimersByTime(backoffMs)
  take('a')?.release(outcome, 0)
  expect(getState('a')).toBe('ejected')
  jest.advanceTimersByTime(1_000)
  take('a')?.release(SlotOutcome.Answered, 0)
  expect(getState('a')).toBe('usable')
})

test('an endpoint that announced its leave during the probe is probed when it is back', () => {
  fail('a', 4)
  jest.advanceTimersByTime(backoffMs)
  take('a')?.release(SlotOutcome.Leaving, 0)
  jest.advanceTimersByTime(60_000)
  take('a')?.release(SlotOutcome.Answered, 0)
  expect(getState('a')).toBe('usable')
})

test('a request that was sent before the ejection does not decide the probe', () => {
  const early = take('a')
  fail('a', 4)
  jest.advanceTimersByTime(backoffMs)
  const probe = take('a')
  early?.release(SlotOutcome.Answered, 0)
  expect(getState('a')).toBe('ejected')
  probe?.release(SlotOutcome.Failed, 0)
  expect(getState('a')).toBe('ejected')
  expect(take('a')).toBeUndefined()
})

test('an ejected endpoint that has left the list does not count against the share that may be ejected', () => {
  fail('a', 4)
  listed = ['b', 'c'].map(createEndpoint)
  fail('b', 8)
  expect(getState('b')).toBe('ejected')
})
