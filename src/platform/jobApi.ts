/** The HTTP job API: a queue's path prefix followed by a job id addresses a job; GET on the prefix alone returns the number of waiting jobs. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AdmissionControl } from '../admission/admissionControl.js'
import { readBody } from '../common/http.js'
import type { HostMetrics } from '../common/hostMetrics.js'
import type { Logger } from '../common/logger.js'
import { answerMarginMs, findOrganisation, findQueue, mayBeUndecodedKey, mayBeUndecodedQueue } from '../configuration/configuration.js'
import type { Configuration, QueueSettings } from '../configuration/configuration.js'
import type { ConfigurationReplica } from '../configuration/configurationReplica.js'
import { createError, errorResponses, ErrorKind, toAppError } from '../errors/errorKinds.js'
import type { AppError } from '../errors/errorKinds.js'
import type { JobIntake } from '../jobs/jobIntake.js'
import type { JobSpec } from '../jobs/jobModel.js'
import { tryGetOutageRetryS } from '../store/outageTracker.js'
import { decodeJob, jobStateNames } from './jobSubmission.js'

export interface JobApiHost {
  readonly configuration: Pick<ConfigurationReplica, 'get' | 'getAgeMs' | 'waitUntilCurrent'>
  readonly intake: JobIntake
  /** Refuses submissions for load; if absent, none is refused. */
  readonly admission?: AdmissionControl | undefined
  /** The most tasks of a job that is accepted; the default if it is not given. */
  readonly maxTasksPerJob?: number
  /** How long the store is known to be unavailable to this host on every way, in ms; 0 if it is not. */
  readonly getKnownOutageMs?: () => number
  readonly logger: Logger
  readonly metrics: HostMetrics
  readonly isStopping: () => boolean
}

interface Reply {
  readonly status: number
  readonly body?: unknown
  readonly retryAfterS?: number
}

/** `Retry-After` of errors that name no time themselves: since they are not caused by load, the smallest value that the header allows. */
const retryAfterS = 1
/** How long a call waits for the configuration to be confirmed, in ms; then the caller still has time to try another host. */
const maxConfirmationWaitMs = 1_000
const supportedMethods: readonly string[] = ['GET', 'POST', 'DELETE']
/** A path may have up to 16 KB; logs and error messages contain this many characters of it. */
const maxLoggedLength = 200
const jobIdPattern = /^[0-9a-f]{16}$/
/** The authority and the path of a target in absolute form. */
const absoluteTargetPattern = /^https?:\/\/([^/]*)(\/.*)?$/i

/** Creates the request handler of the job API. */
export function createJobApi (host: JobApiHost): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  const { logger } = host

  return async (request, response) => {
    const startedAtMs = performance.now()
    const isCurrent = await host.configuration.waitUntilCurrent(getConfirmationWaitMs(request))
    // The configuration that decides the call; a newer one may arrive before the call is answered.
    const configuration = host.configuration.get()
    const decidedBy = { version: configuration?.version, configurationAgeMs: Math.round(host.configuration.getAgeMs()) }
    let reply: Reply
    try {
      if (configuration === undefined) throw createError(ErrorKind.NoRulesYet, 'this host has no configuration yet')
      // Also a refusal would be decided by the old version: the key or the queue may have been added, and the job may have been accepted elsewhere.
      if (!isCurrent) throw createError(ErrorKind.ConfigurationStale, 'this host cannot confirm that its configuration is the newest; retry at another host', { retryAfterS: tryGetOutageRetryS(host.getKnownOutageMs?.() ?? 0) })
      reply = await handle(request, configuration, startedAtMs)
    } catch (error) {
      reply = toReply(toAppError(error))
    }
    const tookMs = performance.now() - startedAtMs
    const method = getMethodLabel(request)
    host.metrics.count('calls', `${method} ${reply.status}`)
    host.metrics.record('call', tookMs, method)
    log(request, reply, tookMs, decidedBy)
    send(response, reply)
  }

  async function handle (request: IncomingMessage, configuration: Configuration, startedAtMs: number): Promise<Reply> {
    const { hostName, path } = getTarget(request)
    const queue = findQueue(configuration, hostName, path)
    if (mayBeUndecodedQueue(configuration, hostName, path, queue)) throw createError(ErrorKind.ConfigurationUndecoded, `this host cannot decode all queues of the configuration, and cannot tell which one the path ${shorten(path)} selects; retry at another host`)
    if (queue === undefined) throw createError(ErrorKind.NoRequestKind, `no queue matches the path ${shorten(path)} under the requested host name`)
    const organisation = authenticate(configuration, queue, request)
    const deadlineMs = startedAtMs + (tryGetCallerTimeoutMs(request) ?? queue.timeoutMs) - answerMarginMs
    const jobId = path.slice(queue.pathPrefix.length)
    if (jobId === '' && request.method === 'GET') return { status: 200, body: { pending: await host.intake.countPending(queue.name, deadlineMs) } }
    if (!jobIdPattern.test(jobId)) throw createError(ErrorKind.NotFound, `"${shorten(jobId)}" is not a valid job id`)
    switch (request.method) {
      case 'POST':
        return await submit(request, configuration, queue, organisation, jobId, deadlineMs)
      case 'GET':
        return await getState(jobId, deadlineMs)
      case 'DELETE':
        return { status: await host.intake.cancel(jobId, deadlineMs) ? 200 : 410 }
      default:
        throw createError(ErrorKind.BadRequest, `method ${request.method} is not supported`)
    }
  }

  async function submit (request: IncomingMessage, configuration: Configuration, queue: QueueSettings, organisation: string, jobId: string, deadlineMs: number): Promise<Reply> {
    const text = (await readBody(request, configuration.limits.maxBodyBytes)).toString()
    const job = decodeJob(text, { jobId, queue: queue.name, service: queue.service, configurationVersion: configuration.version, organisation, attemptLimit: queue.attempts }, host.maxTasksPerJob)
    await refuseForLoad(job, queue, configuration, deadlineMs)
    await host.intake.submit(job, deadlineMs)
    return { status: 200, body: {} }
  }

  /** Rejects if the job is refused. A refusal promises that the job will not run, so an id that may have been accepted before is not refused. */
  async function refuseForLoad (job: JobSpec, queue: QueueSettings, configuration: Configuration, deadlineMs: number): Promise<void> {
    const refusal = await host.admission?.tryRefuse(job, queue, configuration, deadlineMs)
    if (refusal === undefined || !await host.intake.isCertainlyNew(job.jobId, deadlineMs)) return
    host.metrics.count('refused_for_load')
    logger.info('a job is refused for load', { jobId: job.jobId, queue: queue.name, priority: queue.priority, organisation: job.organisation, ...refusal })
    const { retryAfterS } = refusal
    throw createError(ErrorKind.Overloaded, `the job would complete too late at the present load; retry after ${retryAfterS} s`, { retryAfterS })
  }

  async function getState (jobId: string, deadlineMs: number): Promise<Reply> {
    const state = await host.intake.getState(jobId, deadlineMs)
    return state === undefined ? { status: 410 } : { status: 200, body: { state: jobStateNames[state] } }
  }

  function log (request: IncomingMessage, reply: Reply, tookMs: number, decidedBy: object): void {
    const fields = { method: request.method, hostName: shorten(request.headers.host ?? ''), path: shorten(request.url ?? ''), status: reply.status, reply: reply.status === 200 ? undefined : reply.body, ...decidedBy, tookMs: Math.round(tookMs) }
    if (request.method === 'GET' && reply.status < 300) logger.debug('a query is answered', fields)
    else logger.info('a call is answered', fields)
  }

  function send (response: ServerResponse, reply: Reply): void {
    if (response.destroyed) return
    const text = reply.body === undefined ? '' : JSON.stringify(reply.body)
    response.writeHead(reply.status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
      ...(reply.retryAfterS === undefined ? {} : { 'Retry-After': String(reply.retryAfterS) }),
      ...(host.isStopping() ? { Connection: 'close' } : {})
    })
    response.end(text)
  }
}

/** Each label costs a histogram, and Node's parser knows 35 methods. */
function getMethodLabel ({ method }: IncomingMessage): string {
  return method !== undefined && supportedMethods.includes(method) ? method : 'other'
}

function shorten (text: string): string {
  return text.length <= maxLoggedLength ? text : `${text.slice(0, maxLoggedLength)}...`
}

/** A target in absolute form takes the place of the Host header (RFC 9112, 3.2.2). Host names are compared without regard to case and without the port. */
function getTarget (request: IncomingMessage): { readonly hostName: string, readonly path: string } {
  const target = (request.url ?? '/').split('?')[0] as string
  const absolute = absoluteTargetPattern.exec(target)
  const [authority, path] = absolute === null ? [request.headers.host ?? '', target] : [absolute[1] ?? '', absolute[2] ?? '/']
  return { hostName: authority.replace(/:\d*$/, '').toLowerCase(), path }
}

function authenticate (configuration: Configuration, queue: QueueSettings, request: IncomingMessage): string {
  const key = request.headers['api-key']
  const organisation = typeof key === 'string' ? findOrganisation(configuration, key) : undefined
  if (organisation === undefined && typeof key === 'string' && mayBeUndecodedKey(configuration, key)) throw createError(ErrorKind.ConfigurationUndecoded, 'this host cannot decode all organisations of the configuration, and cannot tell whether the API key is valid; retry at another host')
  if (organisation === undefined && !queue.isPublic) throw createError(ErrorKind.Unauthorized, 'the API key is missing or unknown')
  return organisation?.name ?? ''
}

function tryGetCallerTimeoutMs (request: IncomingMessage): number | undefined {
  const timeoutMs = Number(request.headers['deadline-ms'])
  return Number.isFinite(timeoutMs) && timeoutMs > 0 ? timeoutMs : undefined
}

function getConfirmationWaitMs (request: IncomingMessage): number {
  return Math.min(maxConfirmationWaitMs, Math.max(0, (tryGetCallerTimeoutMs(request) ?? Infinity) - answerMarginMs))
}

function toReply (error: AppError): Reply {
  const { status } = errorResponses[error.kind]
  const isTemporary = status === 429 || status === 503 || status === 504
  const { retryAfterS: requested } = error.details
  return { status, body: { error: error.kind, message: error.message }, ...(isTemporary ? { retryAfterS: typeof requested === 'number' ? requested : retryAfterS } : {}) }
}
