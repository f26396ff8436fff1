/** The closed set of error kinds, and the response that each kind maps to. */
import ModernError from 'modern-errors'
import type { InstanceOptions } from 'modern-errors'

/** What an error response says about the request's execution. `NotRun` guarantees that the request was not executed. */
export enum Outcome {
  NotRun = 'not-run',
  Unknown = 'unknown'
}

/** What the caller may do after an error response. */
export enum RetryAdvice {
  Never = 'never',
  AfterDelay = 'after-delay',
  WithSameKey = 'with-the-same-idempotency-key',
  CheckEffectFirst = 'check-the-effect-first'
}

/** Every kind of error that the system returns. */
export enum ErrorKind {
  BadRequest = 'bad-request',
  Unauthorized = 'unauthorized',
  Forbidden = 'forbidden',
  NotFound = 'not-found',
  NoRequestKind = 'no-request-kind',
  TooLarge = 'too-large',
  IdempotencyKeyRequired = 'idempotency-key-required',
  DuplicateRequest = 'duplicate-request',
  JobImpossible = 'job-impossible',
  JobCancelled = 'job-cancelled',
  QuotaExceeded = 'quota-exceeded',
  RuleInvalid = 'rule-invalid',
  RuleConflict = 'rule-conflict',
  BaseTooOld = 'base-too-old',
  NoRulesYet = 'no-rules-yet',
  Overloaded = 'overloaded',
  DeadlinePassed = 'deadline-passed',
  NoEndpoint = 'no-endpoint',
  NoScheduler = 'no-scheduler',
  NotLeader = 'not-leader',
  StoreUnavailable = 'store-unavailable',
  StaleEpoch = 'stale-epoch',
  Conflict = 'conflict',
  Stopping = 'stopping',
  EndpointLost = 'endpoint-lost',
  PeerUnreachable = 'peer-unreachable',
  AnswerLost = 'answer-lost',
  HistoryGone = 'history-gone',
  ConfigurationStale = 'configuration-stale',
  ConfigurationUndecoded = 'configuration-undecoded',
  Internal = 'internal'
}

/** The response to one error kind: HTTP status, outcome, retry advice and JSON-RPC error code. */
export interface ErrorResponse {
  readonly status: number
  readonly outcome: Outcome
  readonly retry: RetryAdvice
  readonly rpcCode: number
}

/** Maps each error kind to its response. */
export const errorResponses: Readonly<Record<ErrorKind, ErrorResponse>> = {
  [ErrorKind.BadRequest]: createResponse(400, Outcome.NotRun, RetryAdvice.Never, -32001),
  [ErrorKind.Unauthorized]: createResponse(401, Outcome.NotRun, RetryAdvice.Never, -32002),
  [ErrorKind.Forbidden]: createResponse(403, Outcome.NotRun, RetryAdvice.Never, -32003),
  [ErrorKind.NotFound]: createResponse(404, Outcome.NotRun, RetryAdvice.Never, -32004),
  [ErrorKind.NoRequestKind]: createResponse(404, Outcome.NotRun, RetryAdvice.Never, -32005),
  [ErrorKind.TooLarge]: createResponse(413, Outcome.NotRun, RetryAdvice.Never, -32006),
  [ErrorKind.IdempotencyKeyRequired]: createResponse(428, Outcome.NotRun, RetryAdvice.WithSameKey, -32007),
  [ErrorKind.DuplicateRequest]: createResponse(409, Outcome.Unknown, RetryAdvice.Never, -32008),
  [ErrorKind.JobImpossible]: createResponse(422, Outcome.NotRun, RetryAdvice.Never, -32009),
  [ErrorKind.JobCancelled]: createResponse(410, Outcome.NotRun, RetryAdvice.Never, -32029),
  [ErrorKind.QuotaExceeded]: createResponse(422, Outcome.NotRun, RetryAdvice.AfterDelay, -32010),
  [ErrorKind.RuleInvalid]: createResponse(422, Outcome.NotRun, RetryAdvice.Never, -32011),
  [ErrorKind.RuleConflict]: createResponse(409, Outcome.NotRun, RetryAdvice.Never, -32012),
  [ErrorKind.BaseTooOld]: createResponse(409, Outcome.NotRun, RetryAdvice.Never, -32013),
  [ErrorKind.NoRulesYet]: createResponse(503, Outcome.NotRun, RetryAdvice.AfterDelay, -32014),
  [ErrorKind.Overloaded]: createResponse(503, Outcome.NotRun, RetryAdvice.AfterDelay, -32015),
  [ErrorKind.DeadlinePassed]: createResponse(504, Outcome.NotRun, RetryAdvice.AfterDelay, -32016),
  [ErrorKind.NoEndpoint]: createResponse(503, Outcome.NotRun, RetryAdvice.AfterDelay, -32017),
  [ErrorKind.NoScheduler]: createResponse(503, Outcome.NotRun, RetryAdvice.AfterDelay, -32018),
  [ErrorKind.NotLeader]: createResponse(503, Outcome.NotRun, RetryAdvice.AfterDelay, -32019),
  [ErrorKind.StoreUnavailable]: createResponse(503, Outcome.NotRun, RetryAdvice.AfterDelay, -32020),
  [ErrorKind.StaleEpoch]: createResponse(409, Outcome.NotRun, RetryAdvice.Never, -32021),
  [ErrorKind.Conflict]: createResponse(409, Outcome.NotRun, RetryAdvice.AfterDelay, -32022),
  [ErrorKind.Stopping]: createResponse(503, Outcome.NotRun, RetryAdvice.AfterDelay, -32023),
  [ErrorKind.EndpointLost]: createResponse(502, Outcome.Unknown, RetryAdvice.CheckEffectFirst, -32024),
  [ErrorKind.PeerUnreachable]: createResponse(503, Outcome.NotRun, RetryAdvice.AfterDelay, -32025),
  [ErrorKind.AnswerLost]: createResponse(504, Outcome.Unknown, RetryAdvice.WithSameKey, -32026),
  [ErrorKind.HistoryGone]: createResponse(503, Outcome.NotRun, RetryAdvice.AfterDelay, -32027),
  [ErrorKind.ConfigurationStale]: createResponse(504, Outcome.Unknown, RetryAdvice.WithSameKey, -32028),
  [ErrorKind.ConfigurationUndecoded]: createResponse(504, Outcome.Unknown, RetryAdvice.WithSameKey, -32030),
  [ErrorKind.Internal]: createResponse(500, Outcome.Unknown, RetryAdvice.CheckEffectFirst, -32603)
}

/** The base class of all application errors. */
export const BaseError = ModernError.subclass('SassafrasfordError')

/** Additional structured data that is sent with an error. */
export type ErrorDetails = Readonly<Record<string, unknown>>

/** Options of an application error, besides its message. */
export interface AppErrorOptions extends InstanceOptions {
  readonly kind?: ErrorKind
  readonly details?: ErrorDetails
}

/** The only concrete error class of the application; `kind` selects the response. */
export const AppError = BaseError.subclass('AppError', {
  custom: class extends BaseError {
    readonly kind: ErrorKind
    readonly details: ErrorDetails

    constructor (message: string, options: AppErrorOptions = {}) {
      super(message, options)
      this.kind = options.kind ?? ErrorKind.Internal
      this.details = options.details ?? {}
    }
  }
})

/** An instance of the application's error class. */
export type AppError = InstanceType<typeof AppError>

/** Creates an error of one kind. */
export function createError (kind: ErrorKind, message: string, details: ErrorDetails = {}): AppError {
  return new AppError(message, { kind, details })
}

/** Converts any thrown value to an `AppError`; an `AppError` is returned as it is. */
export function toAppError (error: unknown): AppError {
  if (error instanceof AppError) return error
  const message = error instanceof Error ? error.message : String(error)
  return createError(ErrorKind.Internal, message)
}

/** Returns whether the thrown value is an error of one of the given kinds. */
export function isErrorOfKind (error: unknown, ...kinds: readonly ErrorKind[]): error is AppError {
  return error instanceof AppError && kinds.includes(error.kind)
}

/** Returns whether the thrown value guarantees that the request was not executed. */
export function isNotRun (error: unknown): boolean {
  return error instanceof AppError && errorResponses[error.kind].outcome === Outcome.NotRun
}

/** Returns the error kind of a JSON-RPC error code, or `Internal` for an unknown code. */
export function getErrorKindByRpcCode (rpcCode: number): ErrorKind {
  for (const kind of Object.values(ErrorKind)) {
    if (errorResponses[kind].rpcCode === rpcCode) return kind
  }
  return ErrorKind.Internal
}

function createResponse (status: number, outcome: Outcome, retry: RetryAdvice, rpcCode: number): ErrorResponse {
  return { status, outcome, retry, rpcCode }
}
