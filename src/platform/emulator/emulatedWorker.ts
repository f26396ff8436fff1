/** Serves the worker protocol over HTTP, backed by the stand-in of a pool worker. */
import { createError, ErrorKind } from '../../errors/errorKinds.js'
import type { PoolWorker } from '../../standins/poolWorker.js'
import { StartResult } from '../../workers/workerPort.js'
import type { EmulatedResponse, EmulatedHandler } from './emulatedHttp.js'

const reasonsByResult: Readonly<Partial<Record<StartResult, string>>> = {
  [StartResult.StaleEpoch]: 'fence',
  [StartResult.StaleRun]: 'old',
  [StartResult.LeaseExpired]: 'late',
  [StartResult.InsufficientCapacity]: 'room',
  [StartResult.BadTicket]: 'ticket'
}

interface RequestBody {
  readonly task: string
  readonly run: number
  readonly spec?: string
  readonly fence?: number
  readonly deadlineMs?: number
  readonly checkpointed?: string
  readonly seenUpto?: number
  readonly waitMs?: number
  readonly percent?: number
}

/** Creates the handler of one worker's requests. */
export function createEmulatedWorker (worker: PoolWorker): EmulatedHandler {
  return async (_method, url, body, headers) => {
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== worker.info.workerId) throw createError(ErrorKind.Conflict, 'the request is for another worker')
    const request = body as unknown as RequestBody
    const port = worker.connect()
    const epoch = request.fence ?? 0
    switch (url.pathname.replace('/sassafrasford/', '')) {
      case 'run-start': {
        const { answer, clockMs } = await port.start({ task: request.task, run: request.run, payload: request.spec ?? '', checkpoint: request.checkpointed ?? '', leaseUntilMs: request.deadlineMs ?? 0, epoch })
        return toStartResponse(answer, clockMs)
      }
      case 'run-stop':
        await port.stop({ task: request.task, run: request.run, epoch })
        return { status: 200, body: { clockMs: worker.getClockMs() } }
      case 'pace':
        await port.pace({ task: request.task, run: request.run, percent: request.percent ?? 100, epoch })
        return { status: 200, body: { clockMs: worker.getClockMs() } }
      case 'hold': {
        const report = await port.renewLease({ epoch, acknowledgedSequence: request.seenUpto ?? 0, leaseUntilMs: request.deadlineMs, waitMs: request.waitMs ?? 0 })
        return {
          status: 200,
          body: {
            clockMs: report.clockMs,
            born: report.bornAtMs,
            running: report.running.map(run => [run.task, run.run, run.checkpoint, run.progressPercent]),
            ended: report.ended.map(run => [run.sequence, run.task, run.run, run.how, run.checkpoint])
          }
        }
      }
      default:
        return { status: 404 }
    }
  }
}

function toStartResponse (answer: StartResult, clockMs: number | undefined): EmulatedResponse {
  if (answer === StartResult.Started) return { status: 200, body: { clockMs } }
  return { status: 409, body: { clockMs, reason: reasonsByResult[answer] } }
}
