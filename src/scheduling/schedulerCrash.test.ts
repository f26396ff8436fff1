/** A scheduler crashes, freezes or loses a response at each of its calls in turn. No gang may run with only some of its members. */
import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createFaultInjector, CallFault } from '../testing/gate.js'
import type { FaultInjector } from '../testing/gate.js'
import { createSchedulerHarness, createJobSpec, hasEnded } from '../testing/schedulerHarness.js'
import type { SchedulerHarness } from '../testing/schedulerHarness.js'
import { JobResult } from './jobTypes.js'
import type { JobView } from './jobViews.js'
import type { Scheduler } from './scheduler.js'

const members = 4
const callCount = 26
const takeoverMs = 7_000
const completionMs = 60_000
const guaranteeRule = 'guarantee mill/plan domain=harju accelerators=32 cells=1 # test'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

const createLostError = (): Error => createError(ErrorKind.AnswerLost, 'lost')

async function submitAndTakeOver (harness: SchedulerHarness, injector: FaultInjector, isRepeatable: boolean): Promise<{ successor: Scheduler, first: Scheduler, view: JobView | undefined, wasAccepted: boolean }> {
  const first = harness.startScheduler(injector)
  await jest.advanceTimersByTimeAsync(200)
  const spec = createJobSpec('gang', { members, repeatable: isRepeatable })
  let wasAccepted = false
  void first.submit(spec).then(() => { wasAccepted = true }, () => {})
  await jest.advanceTimersByTimeAsync(takeoverMs)
  const successor = harness.startScheduler()
  await jest.advanceTimersByTimeAsync(3_000)
  const running = harness.countRunning(spec.jobId)
  expect([0, members]).toContain(running)
  if (injector.isTriggered()) injector.resume()
  await jest.advanceTimersByTimeAsync(completionMs)
  return { successor, first, view: await successor.get(spec.jobId, 0), wasAccepted }
}

describe.each([CallFault.CrashBefore, CallFault.CrashAfter, CallFault.Freeze, CallFault.LoseResponse])('fault %s at each call', fault => {
  test.each([true, false])('a gang runs with all members or not at all (repeatable: %s)', async isRepeatable => {
    for (let faultAt = 0; faultAt < callCount; faultAt++) {
      const harness = createSchedulerHarness(8, guaranteeRule)
      const injector = createFaultInjector(faultAt, fault, createLostError, () => {})
      const { successor, first, view, wasAccepted } = await submitAndTakeOver(harness, injector, isRepeatable)
      const releases = harness.getReleases('harju:gang')
      const trace = `fault ${fault} at call ${faultAt} (${injector.calls[faultAt]})`
      if (wasAccepted) expect([trace, hasEnded(view)]).toEqual([trace, true])
      if (isRepeatable && view !== undefined) expect([trace, view.result]).toEqual([trace, JobResult.Succeeded])
      if (!isRepeatable) {
        expect([trace, Math.max(0, ...releases) <= 1]).toEqual([trace, true])
        const isResultAllowed = view === undefined || [JobResult.Succeeded, JobResult.Unknown, JobResult.Interrupted].includes(view.result as JobResult)
        expect([trace, isResultAllowed]).toEqual([trace, true])
        const wasDecided = injector.calls.slice(0, faultAt + 1).filter(name => name === 'put').length > 1
        if (wasAccepted && !wasDecided) expect([trace, view?.result]).toEqual([trace, JobResult.Succeeded])
        if (view?.result === JobResult.Succeeded) expect([trace, releases]).toEqual([trace, Array(members).fill(1)])
      }
      expect([trace, harness.countLiveTasks()]).toEqual([trace, 0])
      successor.assertInvariants()
      first.stop()
      successor.stop()
      await jest.advanceTimersByTimeAsync(1_000)
    }
  })
})

test('with two schedulers in one domain, workers accept calls only from the one with the higher epoch', async () => {
  const harness = createSchedulerHarness(8, guaranteeRule)
  const first = harness.startScheduler()
  await jest.advanceTimersByTimeAsync(200)
  const second = harness.startScheduler()
  await jest.advanceTimersByTimeAsync(200)
  const spec = createJobSpec('gang', { members, repeatable: false })
  void first.submit(spec).catch(() => {})
  void second.submit({ ...spec }).catch(() => {})
  await jest.advanceTimersByTimeAsync(30_000)
  expect(harness.getSupersededCount()).toBe(1)
  expect(harness.getReleases(spec.jobId)).toEqual(Array(members).fill(1))
  expect((await second.get(spec.jobId, 0))?.result).toBe(JobResult.Succeeded)
  first.stop()
  second.stop()
})

test('the loss of a worker after the release stops the whole gang, and a repeatable gang runs again with all members', async () => {
  const harness = createSchedulerHarness(8, guaranteeRule)
  const scheduler = harness.startScheduler()
  await jest.advanceTimersByTimeAsync(200)
  const spec = createJobSpec('gang', { members })
  await scheduler.submit(spec)
  await jest.advanceTimersByTimeAsync(2_000)
  expect(harness.countRunning(spec.jobId)).toBe(members)
  const [workerId = ''] = (await scheduler.get(spec.jobId, 0))?.workers ?? []
  harness.setCutOff(workerId, true)
  for (let step = 0; step < 120; step++) {
    await jest.advanceTimersByTimeAsync(100)
    expect(harness.getRunningAttempts(spec.jobId).size).toBeLessThanOrEqual(1)
  }
  expect([0, members]).toContain(harness.countRunning(spec.jobId))
  await jest.advanceTimersByTimeAsync(30_000)
  expect((await scheduler.get(spec.jobId, 0))?.result).toBe(JobResult.Succeeded)
  scheduler.stop()
})

test.each([true, false])('a gang whose worker restarts at any call runs with all members or not at all (repeatable: %s)', async isRepeatable => {
  for (let faultAt = 0; faultAt < callCount; faultAt++) {
    const harness = createSchedulerHarness(8, guaranteeRule)
    const injector = createFaultInjector(faultAt, CallFault.LoseResponse, createLostError, () => harness.workers.get('w002')?.restart())
    const scheduler = harness.startScheduler(injector)
    await jest.advanceTimersByTimeAsync(200)
    const spec = createJobSpec('gang', { members, repeatable: isRepeatable })
    await scheduler.submit(spec).catch(() => {})
    await jest.advanceTimersByTimeAsync(completionMs)
    const view = await scheduler.get(spec.jobId, 0)
    const releases = harness.getReleases(spec.jobId)
    const trace = `restart at call ${faultAt} (${injector.calls[faultAt]})`
    expect([trace, view?.state]).toEqual([trace, 'ended'])
    if (isRepeatable) expect([trace, view?.result]).toEqual([trace, JobResult.Succeeded])
    else expect([trace, Math.max(0, ...releases) <= 1]).toEqual([trace, true])
    if (view?.result === JobResult.Succeeded) expect([trace, releases.filter(count => count > 0).length]).toEqual([trace, members])
    expect([trace, harness.countLiveTasks()]).toEqual([trace, 0])
    scheduler.assertInvariants()
    scheduler.stop()
    await jest.advanceTimersByTimeAsync(1_000)
  }
})
