/** Answers that the system itself makes. */
import type { ServerResponse } from 'node:http'
import { sendJson } from '../common/http.js'
import { errorAnswers, RetryAdvice } from '../errors/errorKinds.js'
import type { AppError } from '../errors/errorKinds.js'

const retryAfterSeconds = '1'

/** Answers with an error: the outcome in a header, and kind, message and retry advice as JSON. */
export function sendError (response: ServerResponse, error: AppError): void {
  const answer = errorAnswers[error.kind]
  const headers: Record<string, string> = { 'Sassafrasford-Outcome': answer.outcome }
  if (answer.retry === RetryAdvice.After) headers['Retry-After'] = retryAfterSeconds
  const { kind, message, details } = error
  sendJson(response, answer.status, { kind, message, outcome: answer.outcome, retry: answer.retry, details }, headers)
}
