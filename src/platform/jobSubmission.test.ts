/** The limits of a job's size: an accepted job of any size is created in the scheduler's memory, task by task. */
import { expect, test } from '@jest/globals'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { decodeJob } from './jobSubmission.js'

const source = { jobId: '00000000000000a1', queue: 'batch', service: 'pool', organisation: 'mill', attemptLimit: 3 }

function submit (job: object, maxTasks?: number): void {
  decodeJob(JSON.stringify(job), source, maxTasks)
}

test.each([
  ['a gang of 128', { phases: [{ count: 128, gang: true }] }],
  ['twenty steps of some hundred tasks', { phases: Array.from({ length: 20 }, () => ({ count: 500 })) }],
  ['a step of the largest size', { phases: [{ count: 10_000 }] }],
  ['a small job, each minute for six days', { phases: [{}], times: 6 * 24 * 60, startAtMs: 1, intervalMs: 60_000 }]
])('%s is accepted', (_name, job) => {
  expect(() => { submit(job) }).not.toThrow()
})

// Guards against jobs that end every scheduler in turn, out of memory.
test.each([
  ['count', { phases: [{ count: 400_000 }] }, 'the job has 400000 tasks in all steps and occurrences, over the limit of 10000'],
  ['the sum over the steps', { phases: [{ count: 5_000 }, { count: 5_001, after: [0] }] }, '10001 tasks in all steps and occurrences, over the limit of 10000'],
  ['the tasks of a gang', { phases: [{ count: 10_001, gang: true }] }, '10001 tasks'],
  ['times', { phases: [{}], times: 1_000_000, intervalMs: 1 }, '1000000 tasks in all steps and occurrences, over the limit of 10000'],
  ['count and times together', { phases: [{ count: 200 }], times: 51 }, '10200 tasks in all steps and occurrences, over the limit of 10000'],
  ['the number of steps', { phases: Array.from({ length: 1_001 }, () => ({})) }, 'the job has 1001 steps, over the limit of 1000']
])('a job is refused for %s, and the refusal names the limit and the value', (_name, job, message) => {
  let refusal: unknown
  try {
    submit(job)
  } catch (error) {
    refusal = error
  }
  expect(isErrorOfKind(refusal, ErrorKind.BadRequest)).toBe(true)
  expect(String(refusal)).toContain(message)
})

test('the limit of tasks can be set', () => {
  expect(() => { submit({ phases: [{ count: 20_000 }] }, 20_000) }).not.toThrow()
  expect(() => { submit({ phases: [{ count: 21 }] }, 20) }).toThrow('21 tasks in all steps and occurrences, over the limit of 20')
})
