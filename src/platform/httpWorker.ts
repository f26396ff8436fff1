/** HTTP client of one worker. */
import * as z from 'zod/mini'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { EndKind } from '../jobs/jobModel.js'
import { StartResult } from '../workers/workerPort.js'
import type { TimestampedResponse, EndedRun, LeaseRenewal, ListedWorker, RunningRun, StartRequest, WorkerStatusReport, WorkerPort } from '../workers/workerPort.js'
import { createHttpClient } from './httpClient.js'
import type { HttpResponse } from './httpClient.js'

/** Time-out of a start, stop or pace request: ten round trips between regions. */
const runRequestTimeoutMs = 450
/** Time allowed for the response to a lease renewal ("hold" in the protocol, a long poll) beyond its wait time. */
const renewalGraceMs = 500
const runRequestConnections = 4
/** Requests that wait beside the poll: one while answers are being lost, and two where an end decides whether other work may start. */
const waitingConnections = 3
/** Connections beside those of starts and polls are closed when they have been idle for this long, in ms: with 3,000 workers, there are descriptors for little more than one connection a worker. */
const concurrentIdleMs = 2_000

const clockedSchema = z.object({ clockMs: z.optional(z.number()), reason: z.optional(z.string()) })
const runningSchema = z.tuple([z.string(), z.number(), z.string(), z.number()], z.unknown())
const endedSchema = z.tuple([z.number(), z.string(), z.number(), z.string(), z.string()], z.unknown())
const holdSchema = z.object({ clockMs: z.number(), born: z.optional(z.number()), running: z.optional(z.array(runningSchema)), ended: z.optional(z.array(endedSchema)) })

const resultsByReason: Readonly<Record<string, StartResult>> = {
  fence: StartResult.StaleEpoch,
  old: StartResult.StaleRun,
  late: StartResult.LeaseExpired,
  room: StartResult.InsufficientCapacity,
  ticket: StartResult.BadTicket
}

const endKinds: Readonly<Record<string, EndKind>> = {
  done: EndKind.Done,
  failed: EndKind.Failed,
  stopped: EndKind.Stopped,
  lapsed: EndKind.LeaseExpired,
  broken: EndKind.GangBroken,
  alone: EndKind.GangIncomplete
}

/** Creates the client of one incarnation of a worker. */
export function createHttpWorker (info: Pick<ListedWorker, 'workerId' | 'address'>): WorkerPort {
  const runClient = createHttpClient(info.address, runRequestConnections)
  const leaseClient = createHttpClient(info.address, 1)
  /** Starts without an answer hold their connections until they time out, and a request beside the poll is to settle them. */
  const concurrentClient = createHttpClient(info.address, 1, concurrentIdleMs)
  /** Requests that wait beside the poll hold up neither starts nor other requests. */
  const waitingClient = createHttpClient(info.address, waitingConnections, concurrentIdleMs)
  const headers = { 'Expect-Instance': info.workerId }
  /** The connection over which the latest report came. */
  let reportedOver: object | undefined
  /** The incarnation that sent the latest report. */
  let reportedBornAtMs: number | undefined

  return {
    start,
    stop,
    renewLease,
    pace,
    close: () => {
      runClient.close()
      leaseClient.close()
      concurrentClient.close()
      waitingClient.close()
    }
  }

  async function sendRunRequest (path: string, body: object): Promise<HttpResponse> {
    return await runClient.call({ method: 'POST', path: `/sassafrasford/${path}`, body, headers, timeoutMs: runRequestTimeoutMs })
  }

  async function start (startRequest: StartRequest): Promise<TimestampedResponse<StartResult>> {
    const { task, run, payload, checkpoint, leaseUntilMs, epoch, ticket } = startRequest
    const answer = await sendRunRequest('run-start', {
      task,
      run,
      spec: payload,
      // In the protocol "deadlineMs" is the end of the lease, which covers everything on the worker.
      deadlineMs: leaseUntilMs,
      fence: epoch,
      ...(checkpoint === '' ? {} : { checkpointed: checkpoint }),
      ...(ticket === undefined ? {} : { ticket })
    })
    const body = clockedSchema.safeParse(answer.body)
    return { answer: toStartResult(answer, body.data?.reason), clockMs: body.data?.clockMs }
  }

  async function stop ({ task, run, epoch }: { readonly task: string, readonly run: number, readonly epoch: number }): Promise<void> {
    checkResponse(await sendRunRequest('run-stop', { task, run, fence: epoch }))
  }

  async function pace ({ task, run, percent, epoch }: { readonly task: string, readonly run: number, readonly percent: number, readonly epoch: number }): Promise<void> {
    checkResponse(await sendRunRequest('pace', { task, run, percent, fence: epoch }))
  }

  async function renewLease ({ epoch, acknowledgedSequence: seenUpTo, leaseUntilMs, leaseIncarnationMs, waitMs, answerTimeoutMs = renewalGraceMs, isConcurrent = false, signal }: LeaseRenewal): Promise<WorkerStatusReport> {
    let usedConnection: object | undefined
    const getBody = (connection: object): object => {
      usedConnection = connection
      const isLeaseSent = leaseUntilMs !== undefined && (leaseIncarnationMs === undefined || (connection === reportedOver && leaseIncarnationMs === reportedBornAtMs))
      return {
        fence: epoch,
        seenUpto: connection === reportedOver ? seenUpTo : 0,
        ...(isLeaseSent ? { deadlineMs: leaseUntilMs } : {}),
        ...(waitMs > 0 ? { waitMs } : {})
      }
    }
    const client = !isConcurrent ? leaseClient : waitMs > 0 ? waitingClient : runClient.hasIdleConnection() ? runClient : concurrentClient
    const answer = await client.call({ method: 'POST', path: '/sassafrasford/hold', getBody, headers, timeoutMs: waitMs + answerTimeoutMs, ...(signal === undefined ? {} : { signal }) })
    checkResponse(answer)
    const parsed = holdSchema.safeParse(answer.body)
    if (!parsed.success) throw createError(ErrorKind.AnswerLost, `the response of worker ${info.workerId} to a lease renewal is malformed: ${parsed.error.message}`)
    if (!isConcurrent) {
      reportedOver = usedConnection
      reportedBornAtMs = parsed.data.born
    }
    return {
      clockMs: parsed.data.clockMs,
      bornAtMs: parsed.data.born,
      running: (parsed.data.running ?? []).map(toRunningRow),
      ended: (parsed.data.ended ?? []).map(toEndedRow)
    }
  }
}

function toStartResult (answer: HttpResponse, reason: string | undefined): StartResult {
  const { status } = answer
  if (status >= 200 && status < 300) return StartResult.Started
  if (status === 409) return resultsByReason[reason ?? ''] ?? StartResult.Invalid
  if (status === 421) return StartResult.OtherIncarnation
  if (status === 429 || status === 503) return StartResult.Unhealthy
  if (status === 400) return StartResult.Invalid
  throw createError(ErrorKind.AnswerLost, `the worker answered with status ${status}`)
}

function checkResponse ({ status, body }: HttpResponse): void {
  if (status >= 200 && status < 300) return
  if (status === 421) throw createError(ErrorKind.Conflict, 'another incarnation of the worker uses this address')
  if (status === 409 && clockedSchema.safeParse(body).data?.reason === 'fence') throw createError(ErrorKind.StaleEpoch, 'the worker has seen a higher epoch')
  throw createError(ErrorKind.AnswerLost, `the worker answered with status ${status}`)
}

function toRunningRow ([task, run, checkpoint, progressPercent, usage]: readonly [string, number, string, number, ...unknown[]]): RunningRun {
  return { task, run, checkpoint, progressPercent, usage: typeof usage === 'number' ? usage : undefined }
}

function toEndedRow ([sequence, task, run, how, checkpoint]: readonly [number, string, number, string, string, ...unknown[]]): EndedRun {
  return { sequence, task, run, how: endKinds[how] ?? EndKind.LeaseExpired, checkpoint }
}
