/** The closed list of error kinds, and the table from kind to answer. */
import ModernError from 'modern-errors'
import type { InstanceOptions } from 'modern-errors'

/** What an answer says about a request. `NotRun` is a promise. */
export enum Outcome {
  NotRun = 'not-run',
  Unknown = 'unknown'
}

/** What the caller may do after an error answer. */
export enum RetryAdvice {
  Never = 'never',
  After = 'after-delay',
  SameKey = 'with-the-same-idempotency-key',
  AskOwner = 'check-the-effect-first'
}

/** Every kind of error that the system answers with. */
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
  Internal = 'internal'
}

/** The answer for one error kind. `rpcCode` is the JSON-RPC error code. */
export interface ErrorAnswer {
  readonly status: number
  readonly outcome: Outcome
  readonly retry: RetryAdvice
  readonly rpcCode: number
}

/** The table from error kind to answer. */
export const errorAnswers: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  [ErrorKind.BadRequest]: answer(400, Outcome.NotRun, RetryAdvice.Never, -32001),
  [ErrorKind.Unauthorized]: answer(401, Outcome.NotRun, RetryAdvice.Never, -32002),
  [ErrorKind.Forbidden]: answer(403, Outcome.NotRun, RetryAdvice.Never, -32003),
  [ErrorKind.NotFound]: answer(404, Outcome.NotRun, RetryAdvice.Never, -32004),
  [ErrorKind.NoRequestKind]: answer(404, Outcome.NotRun, RetryAdvice.Never, -32005),
  [ErrorKind.TooLarge]: answer(413, Outcome.NotRun, RetryAdvice.Never, -32006),
  [ErrorKind.IdempotencyKeyRequired]: answer(428, Outcome.NotRun, RetryAdvice.SameKey, -32007),
  [ErrorKind.DuplicateRequest]: answer(409, Outcome.Unknown, RetryAdvice.Never, -32008),
  [ErrorKind.JobImpossible]: answer(422, Outcome.NotRun, RetryAdvice.Never, -32009),
  [ErrorKind.QuotaExceeded]: answer(422, Outcome.NotRun, RetryAdvice.After, -32010),
  [ErrorKind.RuleInvalid]: answer(422, Outcome.NotRun, RetryAdvice.Never, -32011),
  [ErrorKind.RuleConflict]: answer(409, Outcome.NotRun, RetryAdvice.Never, -32012),
  [ErrorKind.BaseTooOld]: answer(409, Outcome.NotRun, RetryAdvice.Never, -32013),
  [ErrorKind.NoRulesYet]: answer(503, Outcome.NotRun, RetryAdvice.After, -32014),
  [ErrorKind.Overloaded]: answer(503, Outcome.NotRun, RetryAdvice.After, -32015),
  [ErrorKind.DeadlinePassed]: answer(504, Outcome.NotRun, RetryAdvice.After, -32016),
  [ErrorKind.NoEndpoint]: answer(503, Outcome.NotRun, RetryAdvice.After, -32017),
  [ErrorKind.NoScheduler]: answer(503, Outcome.NotRun, RetryAdvice.After, -32018),
  [ErrorKind.NotLeader]: answer(503, Outcome.NotRun, RetryAdvice.After, -32019),
  [ErrorKind.StoreUnavailable]: answer(503, Outcome.NotRun, RetryAdvice.After, -32020),
  [ErrorKind.StaleEpoch]: answer(409, Outcome.NotRun, RetryAdvice.Never, -32021),
  [ErrorKind.Conflict]: answer(409, Outcome.NotRun, RetryAdvice.After, -32022),
  [ErrorKind.Stopping]: answer(503, Outcome.NotRun, RetryAdvice.After, -32023),
  [ErrorKind.EndpointLost]: answer(502, Outcome.Unknown, RetryAdvice.AskOwner, -32024),
  [ErrorKind.PeerUnreachable]: answer(503, Outcome.NotRun, RetryAdvice.After, -32025),
  [ErrorKind.AnswerLost]: answer(504, Outcome.Unknown, RetryAdvice.SameKey, -32026),
  [ErrorKind.HistoryGone]: answer(503, Outcome.NotRun, RetryAdvice.After, -32027),
  [ErrorKind.Internal]: answer(500, Outcome.Unknown, RetryAdvice.AskOwner, -32603)
}

/** The base class of all errors of the product. */
export const BaseError = ModernError.subclass('SassafrasfordError')

/** Extra facts that travel with an error, for its reader. */
export type ErrorDetails = Readonly<Record<string, unknown>>

/** What an error of the product carries besides its message. */
export interface AppErrorOptions extends InstanceOptions {
  readonly kind?: ErrorKind
  readonly details?: ErrorDetails
}

/** The one error class of the product; `kind` selects the answer. */
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

/** An instance of the product's error class. */
export type AppError = InstanceType<typeof AppError>

/** Creates an error of one kind. */
export function createError (kind: ErrorKind, message: string, details: ErrorDetails = {}): AppError {
  return new AppError(message, { kind, details })
}

/** Turns anything thrown into an `AppError`, keeping those that already are. */
export function toAppError (error: unknown): AppError {
  if (error instanceof AppError) return error
  const message = error instanceof Error ? error.message : String(error)
  return createError(ErrorKind.Internal, message)
}

/** Tells whether the thrown value is an error of one of the given kinds. */
export function isErrorOfKind (error: unknown, ...kinds: readonly ErrorKind[]): error is AppError {
  return error instanceof AppError && kinds.includes(error.kind)
}

/** Tells whether the thrown value promises that nothing was run. */
export function isNotRun (error: unknown): boolean {
  return error instanceof AppError && errorAnswers[error.kind].outcome === Outcome.NotRun
}

/** Returns the error kind of a JSON-RPC error code. */
export function getKindOfRpcCode (rpcCode: number): ErrorKind {
  for (const kind of Object.values(ErrorKind)) {
    if (errorAnswers[kind].rpcCode === rpcCode) return kind
  }
  return ErrorKind.Internal
}

function answer (status: number, outcome: Outcome, retry: RetryAdvice, rpcCode: number): ErrorAnswer {
  return { status, outcome, retry, rpcCode }
}
