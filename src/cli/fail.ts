/** Ends a command with a readable error message and an exit code for scripts. */
import type { Command } from '@oclif/core'
import type { Diagnostic } from '../errors/diagnostics.js'
import { formatDiagnostic } from '../errors/diagnostics.js'
import type { ErrorKind } from '../errors/errorKinds.js'
import { errorResponses, Outcome, toAppError } from '../errors/errorKinds.js'

/** Exit codes of all commands. */
export enum ExitCode {
  Ok = 0,
  /** The input is invalid or the request was rejected; nothing was changed. */
  Rejected = 1,
  /** A flag or argument is invalid; the code is set by oclif. */
  Usage = 2,
  /** Nothing was changed; a later retry may succeed. */
  TryAgain = 3,
  /** The outcome is unknown: the request may have been executed. */
  Unknown = 4,
  /** The awaited job ended without success. */
  JobFailed = 5
}

/** Prints the error and exits. Diagnostics of a rules file are prefixed with `fileName`. */
export function fail (command: Command, error: unknown, fileName = 'rules'): never {
  const appError = toAppError(error)
  const diagnostics = Array.isArray(appError.details.diagnostics) ? appError.details.diagnostics as Diagnostic[] : []
  for (const diagnostic of diagnostics) command.logToStderr(formatDiagnostic(diagnostic, fileName))
  command.logToStderr(`${appError.kind}: ${appError.message}`)
  command.exit(getExitCode(appError.kind))
}

function getExitCode (kind: ErrorKind): ExitCode {
  const errorResponse = errorResponses[kind]
  if (errorResponse.outcome === Outcome.Unknown) return ExitCode.Unknown
  return errorResponse.status >= 500 ? ExitCode.TryAgain : ExitCode.Rejected
}
