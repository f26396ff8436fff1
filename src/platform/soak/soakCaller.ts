/** A client of the soak: submits jobs, retries after lost responses as real callers do, cancels jobs and polls their state. */
import { request as sendRequest } from 'node:http'
import { pickRandom } from '../../common/random.js'
import { delay } from '../../common/time.js'
import type { JobSpec } from '../../jobs/jobModel.js'
import { decodeJob } from '../jobSubmission.js'

/** The result of all attempts of a submission taken together. */
export enum SubmissionOutcome {
  Pending = 'pending',
  Accepted = 'accepted',
  /** Every attempt was answered with a status that guarantees that the job was not accepted. */
  Rejected = 'rejected',
  Unknown = 'unknown'
}

/** A job as its caller knows it. */
export interface SoakJob {
  readonly path: string
  readonly body: string
  readonly spec: JobSpec
  outcome: SubmissionOutcome
  cancelledAtMs?: number
  /** A cancellation was answered with 410. */
  isCancelledUnstored?: boolean
  state?: string
  /** A query for the accepted job was answered with 410. */
  isGone: boolean
}

export interface SoakCallerOptions {
  readonly addresses: readonly string[]
  readonly hostName: string
  readonly key: string
  readonly random: () => number
}

export interface SoakCaller {
  createJob (index: number, seed: number): SoakJob
  /** Creates a job whose runs take several seconds, so that most have no other run when one is lost; a tenth last until they are cancelled. */
  createLongJob (index: number, seed: number): SoakJob
  /** Creates a job that no worker may run. */
  createWaitingJob (index: number, seed: number): SoakJob
  submit (job: SoakJob): Promise<void>
  cancel (job: SoakJob): Promise<void>
  poll (job: SoakJob): Promise<void>
  /** Asks one host how many jobs of a queue wait; undefined if it does not answer with a number. */
  getPending (queue: string, address: string): Promise<number | undefined>
}

const maxAttempts = 6
const timeoutMs = 3_000
const retryPauseMs = 300
const notAcceptedStatuses: readonly number[] = [429, 503, 404]
const accelerators = [1, 2, 4, 8]

export function isAccepted (job: SoakJob): boolean {
  return job.outcome === SubmissionOutcome.Accepted
}

/** Creates a caller that picks a host at random for each call. */
export function createSoakCaller (options: SoakCallerOptions): SoakCaller {
  const { random } = options
  return { createJob, createLongJob, createWaitingJob, submit, cancel, poll, getPending }

  function createJob (index: number, seed: number): SoakJob {
    const queue = random() < 0.4 ? 'urgent' : 'batch'
    const isGang = random() < 0.5
    const step = {
      count: 1 + Math.floor((isGang ? 3 : 8) * random()),
      cpu: 4_000,
      memMb: 8_000,
      gpu: pickRandom(accelerators, random),
      estimateMs: 100 + Math.floor(1_500 * random()),
      gang: isGang,
      sameRack: isGang && random() < 0.5
    }
    return encodeJob(index, seed, queue, random() < 0.3 ? [step, { count: 2, cpu: 4_000, memMb: 8_000, gpu: 1, estimateMs: 300, after: [0] }] : [step])
  }

  function createLongJob (index: number, seed: number): SoakJob {
    const step = { count: 1, cpu: 1_000, memMb: 4_000, gpu: 2, estimateMs: 8_000 }
    const shape = random()
    if (shape < 0.1) return encodeJob(index, seed, 'batch', [{ ...step, cpu: 500, gpu: 0, serviceMode: true }])
    return encodeJob(index, seed, random() < 0.4 ? 'urgent' : 'batch', [shape < 0.25 ? { ...step, count: 2, gang: true } : step])
  }

  function createWaitingJob (index: number, seed: number): SoakJob {
    return encodeJob(index, seed, 'batch', [{ count: 1, cpu: 4_000, memMb: 8_000, gpu: 1, estimateMs: 300, selector: 'none' }])
  }

  function encodeJob (index: number, seed: number, queue: string, phases: readonly object[]): SoakJob {
    const jobId = (seed * 100_000 + index).toString(16).padStart(16, '0')
    const body = JSON.stringify({ spec: `job ${index}`, phases })
    const spec = decodeJob(body, { jobId, queue, service: 'pool', organisation: 'soak', attemptLimit: 4 })
    return { path: `/${queue}/${jobId}`, body, spec, outcome: SubmissionOutcome.Pending, isGone: false }
  }

  async function submit (job: SoakJob): Promise<void> {
    let isUnknown = false
    for (let attempts = 0; attempts < maxAttempts; attempts++) {
      const response = await call('POST', job.path, job.body)
      if (response !== undefined && response.status < 300) {
        job.outcome = SubmissionOutcome.Accepted
        return
      }
      if (response === undefined || !notAcceptedStatuses.includes(response.status)) isUnknown = true
      await delay(retryPauseMs * (1 + random()))
    }
    job.outcome = isUnknown ? SubmissionOutcome.Unknown : SubmissionOutcome.Rejected
  }

  async function cancel (job: SoakJob): Promise<void> {
    for (let attempts = 0; attempts < maxAttempts; attempts++) {
      const response = await call('DELETE', job.path)
      if (response?.status === 200) job.cancelledAtMs = Date.now()
      if (response?.status === 410) job.isCancelledUnstored = true
      if (response?.status === 200 || response?.status === 410) return
      await delay(retryPauseMs)
    }
  }

  async function poll (job: SoakJob): Promise<void> {
    const response = await call('GET', job.path)
    if (response?.status === 410) job.isGone = true
    if (response?.status === 200) job.state = (JSON.parse(response.text) as { readonly state: string }).state
  }

  async function getPending (queue: string, address: string): Promise<number | undefined> {
    const response = await call('GET', `/${queue}/`, '', address)
    return response?.status === 200 ? (JSON.parse(response.text) as { readonly pending: number }).pending : undefined
  }

  function call (method: string, path: string, body = '', hostAddress = pickRandom(options.addresses, random)): Promise<{ readonly status: number, readonly text: string } | undefined> {
    const [address = '', port = ''] = hostAddress.split(':')
    const headers = { Host: options.hostName, 'Api-Key': options.key, 'Deadline-Ms': String(timeoutMs), 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }
    return new Promise(resolve => {
      const request = sendRequest({ host: address, port: Number(port), method, path, headers, timeout: timeoutMs, agent: false }, response => {
        let text = ''
        response.on('data', chunk => { text += String(chunk) })
        response.on('end', () => { resolve({ status: response.statusCode ?? 0, text }) })
        response.on('error', () => { resolve(undefined) })
      })
      request.on('timeout', () => { request.destroy() })
      request.on('error', () => { resolve(undefined) })
      request.end(body)
    })
  }
}
