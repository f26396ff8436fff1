/** Serves the worker protocol over HTTP, backed by the stand-in of a pool worker. */
import { createError, ErrorKind } from '../../errors/errorKinds.js'
import type { PoolWorker } from '../../standins/poolWorker.js'
import { StartResult } from '../../workers/workerPort.js'
import type { EmulatedResponse, EmulatedHandler } from './emulatedHttp.js'

const reasonsByAnswer: Readonly<Partial<Record<StartResult, string>>> = {
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
    const order = body as unknown as RequestBody
    const port = worker.connect()
    const epoch = order.fence ?? 0
    switch (url.pathname.replace('/sassafrasford/', '')) {
      case 'run-start': {
        const { answer, clockMs } = await port.start({ task: order.task, run: order.run, payload: order.spec ?? '', checkpoint: order.checkpointed ?? '', leaseUntilMs: order.deadlineMs ?? 0, epoch })
        return toStartAnswer(answer, clockMs)
      }
      case 'run-stop':
        await port.stop({ task: order.task, run: order.run, epoch })
        return { status: 200, body: { clockMs: Math.floor(performance.now()) } }
      case 'pace':
        await port.pace({ task: order.task, run: order.run, percent: order.percent ?? 100, epoch })
        return { status: 200, body: { clockMs: Math.floor(performance.now()) } }
      case 'hold': {
        const state = await port.renewLease({ epoch, acknowledgedSequence: order.seenUpto ?? 0, leaseUntilMs: order.deadlineMs, waitMs: order.waitMs ?? 0 })
        return {
          status: 200,
          body: {
            clockMs: state.clockMs,
            born: state.bornAtMs,
            running: state.running.map(row => [row.task, row.run, row.checkpoint, row.progressPercent]),
            ended: state.ended.map(row => [row.sequence, row.task, row.run, row.how, row.checkpoint])
          }
        }
      }
      default:
        return { status: 404 }
    }
  }
}

function toStartAnswer (answer: StartResult, clockMs: number | undefined): EmulatedResponse {
  if (answer === StartResult.Started) return { status: 200, body: { clockMs } }
  return { status: 409, body: { clockMs, reason: reasonsByAnswer[answer] } }
}
