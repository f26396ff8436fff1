/** Loses the answers to requests for reports of a worker. */
import { delay } from '../common/time.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { LeaseRenewal, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'

/** The time allowed for an answer if the request does not say another, in ms. */
const answerTimeoutMs = 500

/** Wraps the port of a worker so that the answers to the selected requests for a report are lost: the caller waits until its time-out. */
export function loseAnswers (port: WorkerPort, isLost: (renewal: LeaseRenewal, report: WorkerStatusReport) => boolean): WorkerPort {
  return {
    ...port,
    renewLease: async renewal => {
      const sentAtMs = performance.now()
      const report = await port.renewLease(renewal)
      if (!isLost(renewal, report)) return report
      await delay(renewal.waitMs + (renewal.answerTimeoutMs ?? answerTimeoutMs) - (performance.now() - sentAtMs))
      throw createError(ErrorKind.AnswerLost, 'the poll got no response')
    }
  }
}
