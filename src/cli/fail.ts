/** Ends a command with an error that a person can read and an exit code that a script can use. */
import type { Command } from '@oclif/core'
import type { Diagnostic } from '../errors/diagnostics.js'
import { formatDiagnostic } from '../errors/diagnostics.js'
import type { ErrorKind } from '../errors/errorKinds.js'
import { errorAnswers, Outcome, toAppError } from '../errors/errorKinds.js'

/** Exit codes of all commands. */
export enum ExitCode {
  Ok = 0,
  /** The input is wrong, or what was asked for is refused; nothing was done. */
  Refused = 1,
  /** A wrong flag or argument; oclif's own code. */
  Usage = 2,
  /** Nothing was done, and trying again later may help. */
  TryAgain = 3,
  /** It is unknown whether it was done. */
  Unknown = 4,
  /** The job that was waited for did not succeed. */
  JobFailed = 5
}

/** Prints the error and exits. `fileName` stands in front of the diagnostics of a text. */
export function fail (command: Command, error: unknown, fileName = 'rules'): never {
  const appError = toAppError(error)
  const diagnostics = Array.isArray(appError.details.diagnostics) ? appError.details.diagnostics as Diagnostic[] : []
  for (const diagnostic of diagnostics) command.logToStderr(formatDiagnostic(diagnostic, fileName))
  command.logToStderr(`${appError.kind}: ${appError.message}`)
  command.exit(getExitCode(appError.kind))
}

function getExitCode (kind: ErrorKind): ExitCode {
  const answer = errorAnswers[kind]
  if (answer.outcome === Outcome.Unknown) return ExitCode.Unknown
  return answer.status >= 500 ? ExitCode.TryAgain : ExitCode.Refused
}
