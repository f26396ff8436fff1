/** The budget of the clients of a port: which client is closed when a bound is reached. Runs on a paused clock. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createClientBudget, RefusalCause } from './clientBudget.js'
import type { BudgetedClient, ClientBudget, ClientLimits } from './clientBudget.js'

interface TestClient {
  readonly client: BudgetedClient | undefined
  isHandling: boolean
  isClosed: boolean
}

const megabyte = 1_024 * 1_024
let causes: RefusalCause[] = []

beforeEach(() => {
  jest.useFakeTimers()
  causes = []
})
afterEach(() => { jest.useRealTimers() })

function createBudget (limits: Partial<ClientLimits> = {}): ClientBudget {
  return createClientBudget({ limits: { maxConnections: 3, maxBytes: 8 * megabyte, ...limits }, onRefused: cause => { causes.push(cause) } })
}

function add (budget: ClientBudget): TestClient {
  const state = { isHandling: false, isClosed: false }
  const client = budget.tryAdd({ isHandling: () => state.isHandling, close: () => { state.isClosed = true } })
  return Object.assign(state, { client })
}

// Guards against a port that takes no new callers while connections that send nothing hold all places.
test('at the most connections the one that has been without a whole request for longest is closed', () => {
  const budget = createBudget()
  const served = add(budget)
  const oldest = add(budget)
  jest.advanceTimersByTime(1_000)
  served.client?.noteServed()
  const newer = add(budget)
  jest.advanceTimersByTime(1_000)
  const newest = add(budget)
  expect([served, oldest, newer, newest].map(({ isClosed }) => isClosed)).toEqual([false, true, false, false])
  expect(causes).toEqual([RefusalCause.Connections])
  expect(budget.countConnections()).toBe(3)
})

// Guards against a close that hides whether a request has run.
test('a connection whose request is being handled is never closed; the new one is turned away', () => {
  const budget = createBudget()
  const handling = [add(budget), add(budget), add(budget)]
  for (const state of handling) state.isHandling = true
  jest.advanceTimersByTime(60_000)
  const newest = add(budget)
  expect(newest.client).toBeUndefined()
  expect(handling.some(({ isClosed }) => isClosed)).toBe(false)
  expect(causes).toEqual([RefusalCause.Connections])
})

// Guards against bodies that never end and together use up the memory.
test('at the most bytes the bodies that hold the most and move the least are closed, not the small one that moves', () => {
  const budget = createBudget({ maxConnections: 20 })
  const stalled = [1, 2, 3, 4].map(() => add(budget))
  for (const { client } of stalled) expect(client?.tryHold(1.875 * megabyte)).toBe(true)
  const small = add(budget)
  expect(small.client?.tryHold(1_024)).toBe(true)
  jest.advanceTimersByTime(1_000)
  small.client?.noteProgress()
  const newest = add(budget)
  expect(newest.client?.tryHold(megabyte)).toBe(true)
  expect(stalled.map(({ isClosed }) => isClosed)).toEqual([true, false, false, false])
  expect(small.isClosed).toBe(false)
  expect(budget.getHeldBytes()).toBe(3 * 1.875 * megabyte + 1_024 + megabyte)
})

test('without a connection that may be closed there is no room, and the held bytes stay as they are', () => {
  const budget = createBudget()
  const handling = add(budget)
  expect(handling.client?.tryHold(7 * megabyte)).toBe(true)
  handling.isHandling = true
  const reading = add(budget)
  expect(reading.client?.tryHold(2 * megabyte)).toBe(false)
  expect(budget.getHeldBytes()).toBe(7 * megabyte)
  handling.client?.tryHold(-7 * megabyte)
  expect(reading.client?.tryHold(2 * megabyte)).toBe(true)
})

test('a connection that has ended frees what it held, once', () => {
  const budget = createBudget()
  const { client } = add(budget)
  client?.tryHold(1_000)
  client?.remove()
  client?.remove()
  client?.tryHold(-1_000)
  client?.refuse(RefusalCause.Stalled)
  expect([budget.getHeldBytes(), budget.countConnections(), causes.length]).toEqual([0, 0, 0])
})

// Guards against bodies in chunks of one byte that take all of the processor's time.
test('one body in chunks of one byte is read without a pause; more of them are paused, then refused', () => {
  const budget = createBudget()
  expect(budget.tryTakeSmallChunks(262_144)).toBe(0)
  expect(budget.tryTakeSmallChunks(50_000)).toBe(1_000)
  jest.advanceTimersByTime(1_000)
  expect(budget.tryTakeSmallChunks(65_536 + 64)).toBeGreaterThan(1_000)
  expect(budget.tryTakeSmallChunks(64)).toBeUndefined()
  jest.advanceTimersByTime(60_000)
  expect(budget.tryTakeSmallChunks(262_144)).toBe(0)
})
