/** Steps of tests on the pool harness with a paused clock: time passes only by `run` and the steps that wait. */
import { expect, jest } from '@jest/globals'
import { getProgressKey } from '../jobs/jobKeys.js'
import { JobState } from '../jobs/jobModel.js'
import type { JobSpec } from '../jobs/jobModel.js'
import { decodeState } from '../jobs/trackedJob.js'
import type { PoolHarness } from './poolHarness.js'

/** Steps on the harness of the test that runs. */
export interface PoolSteps {
  /** Lets time pass, in ms. */
  run (ms: number): Promise<void>
  submit (...jobs: readonly JobSpec[]): Promise<void>
  /** The stored state of a job. */
  getState (jobId: string): JobState
  /** Fails if the job is not in the state within `limitMs`. */
  waitForState (jobId: string, state: JobState, limitMs: number): Promise<void>
}

/** Time passes in steps of this length, in ms, so that timers and the calls that they cause alternate. */
const stepMs = 10

/** Creates the steps; `getHarness` returns the harness that the test has created. */
export function createPoolSteps (getHarness: () => PoolHarness): PoolSteps {
  return { run, submit, getState, waitForState }

  async function run (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) await jest.advanceTimersByTimeAsync(stepMs)
  }

  async function submit (...jobs: readonly JobSpec[]): Promise<void> {
    for (const job of jobs) {
      const submitted = getHarness().submit(job)
      await run(20)
      await submitted
    }
  }

  function getState (jobId: string): JobState {
    const value = getHarness().store.peek(getProgressKey(jobId))
    return value === undefined ? JobState.Queued : decodeState(value)
  }

  async function waitForState (jobId: string, state: JobState, limitMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < limitMs && getState(jobId) !== state; elapsedMs += 50) await run(50)
    expect(getState(jobId)).toBe(state)
  }
}
