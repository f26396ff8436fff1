/** Routes job calls to the scheduler of the job's domain, on this host or on another. */
import { createHash, randomUUID } from 'node:crypto'
import { z } from 'zod'
import { defineMethod } from '../common/rpcServer.js'
import type { RpcClient } from '../common/rpcClient.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { delay } from '../common/time.js'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { Adjacency, jobRequestSchema } from '../scheduling/jobTypes.js'
import type { JobRequest, JobSpec } from '../scheduling/jobTypes.js'
import type { JobView, SchedulerStatus } from '../scheduling/jobViews.js'
import type { Scheduler } from '../scheduling/scheduler.js'

/** Dependencies of the gateway. */
export interface JobGatewayHost {
  readonly domain: string
  readonly getScheduler: () => Scheduler | undefined
  /** Returns a client of the host that schedules the domain; undefined if no such host is known. */
  readonly tryConnect: (domain: string) => RpcClient | undefined
  readonly getDomains: () => readonly string[]
}

/** The job calls. `organisation` is undefined for an operator, who may see the jobs of all organisations. */
export interface JobGateway {
  readonly methods: readonly RpcMethod[]
  submit (request: JobRequest, organisation: string, idempotencyKey: string | undefined): Promise<JobView>
  get (jobId: string, organisation: string | undefined, waitMs: number): Promise<JobView>
  cancel (jobId: string, organisation: string | undefined): Promise<JobView>
  list (organisation: string | undefined): Promise<readonly JobView[]>
  getStatuses (): Promise<readonly SchedulerStatus[]>
}

const submitMethod = 'jobs.submit'
const getMethod = 'jobs.get'
const cancelMethod = 'jobs.cancel'
const listMethod = 'jobs.list'
const statusMethod = 'jobs.status'
const retryTimeoutMs = 8_000
const retryDelayMs = 100
const callMarginMs = 2_000
const submitTimeoutMs = 6_000
const digestDigits = 24

const specSchema = z.strictObject({
  ...jobRequestSchema.shape,
  adjacency: z.enum(Adjacency),
  jobId: z.string().min(1).max(200),
  organisation: z.string(),
  domain: z.string(),
  submittedAtMs: z.number()
})
const idSchema = z.strictObject({ jobId: z.string(), waitMs: z.number().min(0).max(60_000).default(0) })

/** Creates the gateway of a host. */
export function createJobGateway (host: JobGatewayHost): JobGateway {
  return { methods: createMethods(), submit, get, cancel, list, getStatuses }

  function createMethods (): RpcMethod[] {
    return [
      defineMethod(submitMethod, specSchema, params => getLocalScheduler().submit(params)),
      defineMethod(getMethod, idSchema, async params => (await getLocalScheduler().get(params.jobId, params.waitMs)) ?? null),
      defineMethod(cancelMethod, z.strictObject({ jobId: z.string() }), params => getLocalScheduler().cancel(params.jobId)),
      defineMethod(listMethod, z.strictObject({ organisation: z.string().optional() }), async params => getLocalScheduler().list(params.organisation)),
      defineMethod(statusMethod, z.strictObject({}), async () => getLocalScheduler().getStatus())
    ]
  }

  function getLocalScheduler (): Scheduler {
    const scheduler = host.getScheduler()
    if (scheduler === undefined) throw createError(ErrorKind.NotLeader, 'this host is not the scheduler of its domain')
    return scheduler
  }

  async function submit (request: JobRequest, organisation: string, idempotencyKey: string | undefined): Promise<JobView> {
    const domain = request.domain ?? host.domain
    const jobId = createJobId(domain, organisation, idempotencyKey)
    const spec: JobSpec = { ...request, jobId, organisation, domain, submittedAtMs: Date.now() }
    try {
      return await callScheduler(domain, scheduler => scheduler.submit(spec), submitMethod, spec, submitTimeoutMs)
    } catch (error) {
      if (!isErrorOfKind(error, ErrorKind.AnswerLost)) throw error
      throw createError(ErrorKind.AnswerLost, `it is unknown whether the job was accepted; query the job ${jobId} to find out`, { jobId })
    }
  }

  async function get (jobId: string, organisation: string | undefined, waitMs: number): Promise<JobView> {
    const domain = getDomainOf(jobId)
    if (domain === undefined) throw createError(ErrorKind.NotFound, `job ${jobId} not found`)
    // Waiting would not help: unlike a scheduler that has just died, a domain without any known host does not return within a call.
    if (!host.getDomains().includes(domain)) throw createError(ErrorKind.NoScheduler, `no host of the domain ${domain} is known`)
    const view = await callScheduler(domain, async scheduler => (await scheduler.get(jobId, waitMs)) ?? null, getMethod, { jobId, waitMs }, waitMs + callMarginMs)
    if (view === null || !isVisible(view, organisation)) throw createError(ErrorKind.NotFound, `job ${jobId} not found`)
    return view
  }

  async function cancel (jobId: string, organisation: string | undefined): Promise<JobView> {
    const { domain } = await get(jobId, organisation, 0)
    return await callScheduler(domain, scheduler => scheduler.cancel(jobId), cancelMethod, { jobId }, callMarginMs)
  }

  async function list (organisation: string | undefined): Promise<readonly JobView[]> {
    const lists = await Promise.all(host.getDomains().map(domain =>
      callOnce<readonly JobView[]>(domain, async scheduler => scheduler.list(organisation), listMethod, { organisation }, callMarginMs).catch(() => [])))
    return lists.flat().sort((left, right) => right.submittedAtMs - left.submittedAtMs)
  }

  async function getStatuses (): Promise<readonly SchedulerStatus[]> {
    const statuses = await Promise.all(host.getDomains().map(domain =>
      callOnce<SchedulerStatus>(domain, async scheduler => scheduler.getStatus(), statusMethod, {}, callMarginMs).catch(() => undefined)))
    return statuses.filter(status => status !== undefined)
  }

  /** Retries until a scheduler answers or the deadline passes; safe because every call is idempotent by its job id. */
  async function callScheduler<T> (
    domain: string, callLocal: (scheduler: Scheduler) => Promise<T>, method: string, params: object, timeoutMs: number
  ): Promise<T> {
    const deadlineMs = Date.now() + retryTimeoutMs
    let mayHaveArrived = false
    while (true) {
      try {
        return await callOnce(domain, callLocal, method, params, timeoutMs)
      } catch (error) {
        if (isErrorOfKind(error, ErrorKind.AnswerLost)) mayHaveArrived = true
        const isTransient = isErrorOfKind(error, ErrorKind.AnswerLost, ErrorKind.PeerUnreachable, ErrorKind.NotLeader, ErrorKind.NoScheduler)
        if (!isTransient) throw error
        if (Date.now() < deadlineMs) await delay(retryDelayMs)
        else if (mayHaveArrived) throw createError(ErrorKind.AnswerLost, 'the scheduler of the domain did not answer before the deadline')
        else throw error
      }
    }
  }

  async function callOnce<T> (
    domain: string, callLocal: (scheduler: Scheduler) => Promise<T>, method: string, params: object, timeoutMs: number
  ): Promise<T> {
    const localScheduler = domain === host.domain ? host.getScheduler() : undefined
    if (localScheduler !== undefined) return await callLocal(localScheduler)
    const client = host.tryConnect(domain)
    if (client === undefined) throw createError(ErrorKind.NoScheduler, `no scheduler is known for the domain ${domain}`)
    return await client.call<T>(method, params, timeoutMs)
  }
}

/** With an idempotency key, a repeated request gets the same job id on every host. */
function createJobId (domain: string, organisation: string, idempotencyKey: string | undefined): string {
  if (idempotencyKey === undefined) return `${domain}:${randomUUID()}`
  const digest = createHash('sha256').update(`${organisation} ${idempotencyKey}`).digest('hex')
  return `${domain}:k${digest.slice(0, digestDigits)}`
}

/** The domain that has accepted the job; undefined if no domain gives such ids. */
function getDomainOf (jobId: string): string | undefined {
  const end = jobId.indexOf(':')
  return end > 0 ? jobId.slice(0, end) : undefined
}

function isVisible (view: JobView, organisation: string | undefined): boolean {
  return organisation === undefined || view.organisation === organisation
}
