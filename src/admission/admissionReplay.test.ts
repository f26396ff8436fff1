/**
 * A burst on a scheduler with workers, with and without refusals: who is refused, whether callers that return at `Retry-After` are
 * accepted, and how many accepted jobs end too late. Guards against a summary that doesn't describe what the scheduler really does.
 * `SASSAFRASFORD_REPLAY=1 npm run jest -- admissionReplay` prints the counts.
 */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createRandom } from '../common/random.js'
import { silentLogger } from '../common/logger.js'
import type { Configuration } from '../configuration/configuration.js'
import { EndKind, isTerminal } from '../jobs/jobModel.js'
import { getProgressKey } from '../jobs/jobKeys.js'
import type { JobSpec } from '../jobs/jobModel.js'
import { decodeState } from '../jobs/trackedJob.js'
import { createPoolHarness, harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'
import { createAdmissionControl } from './admissionControl.js'

const stepMs = 50
const workMs = 2_000
const workers = 8
const margin = 1.25
const maxRetries = 4
/** Callers that return at `Retry-After` and find room at once, as a share of those refused. */
const minFirstReturnShare = 0.75
/** Load: 3.4 times what the workers can do, for 24 s. Each batch job is 2 s of work for all workers, each urgent job a quarter of a second. */
const burstMs = 24_000
const batchPeriodMs = 650
const urgentPeriodMs = 625
/** No organisation has a guarantee, so that urgent jobs could be refused. */
const configuration: Configuration = { ...harnessConfiguration, organisations: [] }

interface Submission {
  readonly job: JobSpec
  dueAtMs: number
  refusals: number
  acceptedAtMs: number
  endedAtMs: number
}

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

async function run (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) await jest.advanceTimersByTimeAsync(10)
}

function createSubmissions (): readonly Submission[] {
  const makeSubmission = (queue: string, count: number, dueAtMs: number): Submission => ({
    job: makeJob(`${queue}${dueAtMs}`, queue, [makeStep({ count, estimateMs: workMs, request: { cpuMilli: 1_000, memoryMb: 1_000, accelerators: 8 } })]),
    dueAtMs,
    refusals: 0,
    acceptedAtMs: Infinity,
    endedAtMs: Infinity
  })
  const times = (periodMs: number): readonly number[] => Array.from({ length: Math.floor(burstMs / periodMs) }, (_, index) => index * periodMs)
  return [...times(batchPeriodMs).map(atMs => makeSubmission('batch', workers, atMs)), ...times(urgentPeriodMs).map(atMs => makeSubmission('urgent', 1, atMs))]
}

/** Plays the burst. Each submission goes to another host, which reads the summary for itself. */
async function play (refuses: boolean): Promise<readonly Submission[]> {
  const harness = createPoolHarness({ workers, getRun: () => ({ workMs, how: EndKind.Done }), getConfiguration: () => configuration })
  harness.addHost('host-0')
  await run(1_000)
  const random = createRandom(1)
  const hosts = Array.from({ length: 6 }, (_, index) => createAdmissionControl({ store: harness.store.connect(`entry-${index}`), logger: silentLogger, random, margin }))
  const submissions = createSubmissions()
  let calls = 0
  for (let nowMs = 0; nowMs < 150_000 && submissions.some(({ endedAtMs }) => endedAtMs === Infinity); nowMs += stepMs) {
    for (const submission of submissions) if (submission.dueAtMs <= nowMs) await submit(submission, nowMs)
    await run(stepMs)
    for (const submission of submissions) {
      const value = harness.store.peek(getProgressKey(submission.job.jobId))
      if (submission.endedAtMs === Infinity && value !== undefined && isTerminal(decodeState(value))) submission.endedAtMs = nowMs
    }
  }
  const stopped = harness.stop()
  await run(3_000)
  await stopped
  return submissions

  async function submit (submission: Submission, nowMs: number): Promise<void> {
    const { job } = submission
    const queue = configuration.queues.find(({ name }) => name === job.queue) as Configuration['queues'][number]
    const decided = refuses ? hosts[calls++ % hosts.length]?.tryRefuse(job, queue, configuration, performance.now() + 2_000) : undefined
    await jest.advanceTimersByTimeAsync(0)
    const refusal = await decided
    if (refusal !== undefined) {
      submission.refusals++
      submission.dueAtMs = nowMs + refusal.retryAfterS * 1_000
      return
    }
    submission.dueAtMs = Infinity
    submission.acceptedAtMs = nowMs
    void harness.submit({ ...job, acceptedAtMs: Date.now() })
  }
}

/** The jobs that ended, counted from their acceptance, later than admission intends: three times their objective by the margin. */
function getTooLate (submissions: readonly Submission[]): readonly string[] {
  return submissions.filter(({ job, acceptedAtMs, endedAtMs }) => {
    const queue = configuration.queues.find(({ name }) => name === job.queue)
    return endedAtMs - acceptedAtMs > margin * 3 * ((queue?.objectiveFactor ?? 0) * workMs + (queue?.objectiveMs ?? 0))
  }).map(({ job }) => job.jobId)
}

test('in a burst only less urgent jobs are refused, callers that return at Retry-After are accepted, and fewer accepted jobs end too late', async () => {
  const submissions = await play(true)
  const refused = submissions.filter(({ refusals }) => refusals > 0)
  const acceptedAtFirstReturn = refused.filter(({ refusals }) => refusals === 1)
  const lateWith = getTooLate(submissions).length
  const lateWithout = getTooLate(await play(false)).length
  if (process.env.SASSAFRASFORD_REPLAY !== undefined) process.stdout.write(`${JSON.stringify({ jobs: submissions.length, refused: refused.length, acceptedAtFirstReturn: acceptedAtFirstReturn.length, lateWith, lateWithout })}\n`)
  expect(refused.length).toBeGreaterThan(0)
  expect(refused.filter(({ job }) => job.queue !== 'batch')).toEqual([])
  // Some are refused again, because other callers return at the same time; a caller retries at most four times.
  expect(acceptedAtFirstReturn.length).toBeGreaterThanOrEqual(minFirstReturnShare * refused.length)
  expect(Math.max(...refused.map(({ refusals }) => refusals))).toBeLessThanOrEqual(maxRetries)
  expect(submissions.filter(({ endedAtMs }) => endedAtMs === Infinity)).toEqual([])
  expect(lateWith).toBeLessThan(lateWithout)
})
