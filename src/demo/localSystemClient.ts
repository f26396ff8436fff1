/** A client of a local system that sends each call to a random host, as a load balancer would. */
import { request as sendRequest } from 'undici'
import { tryPickRandom } from '../common/random.js'
import type { Random } from '../common/random.js'
import { delay } from '../common/time.js'
import type { JobView } from '../scheduling/jobViews.js'
import type { LocalSystem } from '../standins/localSystem.js'

/** The response to a request, or the outcome where no response arrived. */
export interface RequestResult {
  readonly status: number
  readonly outcome: string
  readonly body: string
  readonly durationMs: number
}

/** A client of a local system. */
export interface LocalSystemClient {
  submit (organisation: string, job: object, key?: string): Promise<JobView>
  waitForState (organisation: string, jobId: string, states: readonly string[], timeoutMs: number): Promise<JobView>
  cancel (organisation: string, jobId: string): Promise<JobView>
  send (path: string, options?: { readonly id?: string, readonly key?: string, readonly body?: string, readonly headers?: Record<string, string> }): Promise<RequestResult>
}

/** The outcome of a request to which an endpoint responded. */
export const answeredOutcome = 'answered'

const pollMs = 25

/** Creates a client. */
export function createLocalSystemClient (system: LocalSystem, random: Random): LocalSystemClient {
  return { submit, waitForState, cancel, send }

  async function submit (organisation: string, job: object, key?: string): Promise<JobView> {
    const headers: Record<string, string> = { authorization: `Bearer ${system.getToken(organisation)}` }
    if (key !== undefined) headers['idempotency-key'] = key
    const response = await sendRequest(`http://${pickAddress()}/v1/jobs`, { method: 'POST', headers, body: JSON.stringify(job) })
    return await readJob(response.statusCode, await response.body.text())
  }

  async function waitForState (organisation: string, jobId: string, states: readonly string[], timeoutMs: number): Promise<JobView> {
    const untilMs = Date.now() + timeoutMs
    while (true) {
      const job = await tryGet(organisation, jobId)
      if (job !== undefined && states.includes(job.state)) return job
      if (Date.now() > untilMs) throw new Error(`job ${jobId} is ${job?.state ?? 'unknown'} (${job?.reason ?? ''}), not ${states.join(' or ')}`)
      await delay(pollMs)
    }
  }

  async function tryGet (organisation: string, jobId: string): Promise<JobView | undefined> {
    try {
      const headers = { authorization: `Bearer ${system.getToken(organisation)}` }
      const response = await sendRequest(`http://${pickAddress()}/v1/jobs/${encodeURIComponent(jobId)}`, { headers })
      const text = await response.body.text()
      return response.statusCode === 200 ? JSON.parse(text) as JobView : undefined
    } catch {
      return undefined
    }
  }

  async function cancel (organisation: string, jobId: string): Promise<JobView> {
    const headers = { authorization: `Bearer ${system.getToken(organisation)}` }
    const response = await sendRequest(`http://${pickAddress()}/v1/jobs/${encodeURIComponent(jobId)}`, { method: 'DELETE', headers })
    return await readJob(response.statusCode, await response.body.text())
  }

  async function send (
    path: string, options: { readonly id?: string, readonly key?: string, readonly body?: string, readonly headers?: Record<string, string> } = {}
  ): Promise<RequestResult> {
    const startedAtMs = performance.now()
    const headers: Record<string, string> = { ...options.headers }
    if (options.id !== undefined) headers['x-request-id'] = options.id
    if (options.key !== undefined) headers['idempotency-key'] = options.key
    try {
      const response = await sendRequest(`http://${pickAddress()}${path}`, { method: 'POST', headers, body: options.body ?? '' })
      const body = await response.body.text()
      const outcome = String(response.headers['sassafrasford-outcome'] ?? answeredOutcome)
      return { status: response.statusCode, outcome, body, durationMs: performance.now() - startedAtMs }
    } catch (error) {
      const isUnsent = error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED'
      return { status: 0, outcome: isUnsent ? 'not-run' : 'unknown', body: String(error), durationMs: performance.now() - startedAtMs }
    }
  }

  function pickAddress (): string {
    return tryPickRandom(system.getAddresses(), random) ?? ''
  }
}

async function readJob (status: number, text: string): Promise<JobView> {
  if (status >= 400) throw new Error(`status ${status}: ${text}`)
  return JSON.parse(text) as JobView
}
