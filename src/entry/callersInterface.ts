/** The HTTP interface for callers: jobs, health, status and metrics; any other path is routed as a service request. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { getBearerToken } from '../common/rpcServer.js'
import { readBody, sendJson } from '../common/http.js'
import { createError, ErrorKind, toAppError } from '../errors/errorKinds.js'
import type { JobGateway } from '../jobs/jobGateway.js'
import type { RequestMetrics } from '../routing/requestMetrics.js'
import type { RequestRouter } from '../routing/requestRouter.js'
import { sendError } from '../routing/sendError.js'
import { jobRequestSchema } from '../scheduling/jobTypes.js'
import type { JobRequest } from '../scheduling/jobTypes.js'
import { Role } from './identity.js'
import type { Authenticate, Identity } from './identity.js'

/** Dependencies of the interface. */
export interface CallersInterfaceHost {
  readonly authenticate: Authenticate
  readonly jobs: JobGateway
  readonly router: RequestRouter
  readonly metrics: RequestMetrics
  readonly isReady: () => boolean
  readonly getStatus: () => Promise<unknown>
}

const maxJobBytes = 64 * 1024
const maxWaitMs = 60_000
const jobsPath = '/v1/jobs'
const baseUrl = 'http://callers'

/** Creates the request handler of the listener for callers. */
export function createCallersInterface (host: CallersInterfaceHost): (request: IncomingMessage, response: ServerResponse) => Promise<void> {
  return async (request, response) => {
    const url = tryParseUrl(request.url ?? '/')
    if (url === undefined) {
      sendError(response, createError(ErrorKind.BadRequest, 'the path of the request is malformed'))
      return
    }
    const isApiPath = url.pathname.startsWith('/v1/') || ['/healthz', '/readyz', '/metrics'].includes(url.pathname)
    if (!isApiPath) {
      await host.router.handle(request, response)
      return
    }
    try {
      await handleApiRequest(request, response, url)
    } catch (error) {
      sendError(response, toAppError(error))
    }
  }

  async function handleApiRequest (request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    if (url.pathname === '/healthz') sendJson(response, 200, { isHealthy: true })
    else if (url.pathname === '/readyz') sendJson(response, host.isReady() ? 200 : 503, { isReady: host.isReady() })
    else if (url.pathname === '/metrics') await sendMetrics(response)
    else if (url.pathname === '/v1/status') sendJson(response, 200, await host.getStatus())
    else if (url.pathname === jobsPath || url.pathname.startsWith(jobsPath + '/')) await handleJobs(request, response, url)
    else throw createError(ErrorKind.NotFound, `no resource exists at ${url.pathname}`)
  }

  async function sendMetrics (response: ServerResponse): Promise<void> {
    const text = await host.metrics.registry.metrics()
    response.writeHead(200, { 'Content-Type': host.metrics.registry.contentType })
    response.end(text)
  }

  async function handleJobs (request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
    const identity = host.authenticate(getBearerToken(request))
    const viewer = getViewer(identity)
    const jobId = decodeJobId(url.pathname.slice(jobsPath.length + 1))
    const operation = `${request.method} ${jobId === '' ? 'jobs' : 'job'}`
    switch (operation) {
      case 'POST jobs':
        await submit(request, response, identity)
        return
      case 'GET jobs':
        sendJson(response, 200, { jobs: await host.jobs.list(viewer) })
        return
      case 'GET job':
        sendJson(response, 200, await host.jobs.get(jobId, viewer, getWaitMs(url)))
        return
      case 'DELETE job':
        sendJson(response, 202, await host.jobs.cancel(jobId, viewer))
        return
      default:
        throw createError(ErrorKind.BadRequest, `the method ${request.method} is not supported at ${url.pathname}`)
    }
  }

  async function submit (request: IncomingMessage, response: ServerResponse, identity: Identity): Promise<void> {
    const job = parseJob((await readBody(request, maxJobBytes)).toString())
    const organisation = getSubmitter(identity, job)
    const key = request.headers['idempotency-key']
    const view = await host.jobs.submit(job, organisation, typeof key === 'string' ? key : undefined)
    sendJson(response, 202, view, { Location: `${jobsPath}/${encodeURIComponent(view.jobId)}` })
  }
}

function tryParseUrl (path: string): URL | undefined {
  return URL.canParse(path, baseUrl) ? new URL(path, baseUrl) : undefined
}

function decodeJobId (segment: string): string {
  try {
    return decodeURIComponent(segment)
  } catch {
    throw createError(ErrorKind.BadRequest, `the job id "${segment}" contains a malformed escape`)
  }
}

/** Parses the body of a job submission. Errors name the invalid field. */
export function parseJob (text: string): JobRequest {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    throw createError(ErrorKind.BadRequest, `the job is not valid JSON: ${error instanceof Error ? error.message : String(error)}`)
  }
  const parsed = jobRequestSchema.safeParse(value)
  if (parsed.success) return parsed.data
  const issue = parsed.error.issues[0]
  throw createError(ErrorKind.BadRequest, `invalid field "${issue?.path.join('.') ?? ''}" of the job: ${issue?.message}`)
}

/** Returns the organisation whose jobs the identity may see; undefined for an operator, who may see all jobs. */
function getViewer (identity: Identity): string | undefined {
  if (identity.role === Role.Operator) return undefined
  if (identity.role === Role.Organisation) return identity.name
  throw createError(ErrorKind.Forbidden, 'this token does not belong to an organisation or an operator')
}

function getSubmitter (identity: Identity, job: JobRequest): string {
  const viewer = getViewer(identity)
  if (viewer === undefined) {
    if (job.organisation === undefined) throw createError(ErrorKind.BadRequest, 'a job submitted by an operator must name an organisation')
    return job.organisation
  }
  if (job.organisation !== undefined && job.organisation !== viewer) {
    throw createError(ErrorKind.Forbidden, `this token belongs to the organisation "${viewer}", not to "${job.organisation}"`)
  }
  return viewer
}

function getWaitMs (url: URL): number {
  const waitMs = Number(url.searchParams.get('waitMs') ?? 0)
  if (!Number.isFinite(waitMs) || waitMs < 0) throw createError(ErrorKind.BadRequest, 'waitMs must be a non-negative number of milliseconds')
  return Math.min(maxWaitMs, waitMs)
}
