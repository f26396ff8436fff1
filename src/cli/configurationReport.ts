/** Checks the files of `config check`. Reads them, and writes nothing. */
import { readFileSync } from 'node:fs'
import { checkConfiguration, Severity } from '../configuration/configurationCheck.js'
import type { Finding } from '../configuration/configurationCheck.js'
import { findDifferences } from '../configuration/configurationDifferences.js'
import type { ConfigurationDifference } from '../configuration/configurationDifferences.js'
import { createDiagnostic, diagnosticMessages } from '../errors/diagnostics.js'
import { decodeConfigurationDocument } from '../platform/configurationDocument.js'

/** The files to check, and the flags of the check. */
export interface ConfigurationReportOptions {
  readonly file: string
  /** A file with the version in force. */
  readonly against?: string
  readonly accelerators?: number
}

/** A finding, and the file that it is about. */
export interface FileFinding extends Finding {
  readonly file: string
}

/** The result of a check. */
export interface ConfigurationReport {
  readonly findings: readonly FileFinding[]
  /** Undefined if there is nothing to compare, or one of the files cannot be decoded. */
  readonly differences?: readonly ConfigurationDifference[]
}

/** Exit codes of `config check`. They differ from those of the other commands, since scripts have to tell warnings from errors. */
export enum CheckExitCode {
  Clean = 0,
  Warnings = 1,
  Errors = 2
}

/** Checks the files. Of the version in force, only the errors are reported that prevent the comparison. */
export function createConfigurationReport ({ file, against, accelerators }: ConfigurationReportOptions): ConfigurationReport {
  const findings: FileFinding[] = []
  const inForceText = against === undefined ? undefined : tryRead(against)
  const inForceDocument = inForceText === undefined ? undefined : decodeConfigurationDocument(inForceText)
  const inForce = inForceDocument?.configuration
  const text = tryRead(file)
  const document = text === undefined ? undefined : decodeConfigurationDocument(text)
  if (document !== undefined) findings.push(...checkConfiguration(document, { inForce, accelerators }).map(finding => ({ ...finding, file })))
  if (against !== undefined) findings.push(...(inForceDocument?.errors ?? []).map(error => ({ ...error, severity: Severity.Error, file: against })))
  const configuration = document?.configuration
  return { findings, ...(inForce === undefined || configuration === undefined ? {} : { differences: findDifferences(inForce, configuration) }) }

  function tryRead (name: string): string | undefined {
    try {
      return readFileSync(name, 'utf8')
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error)
      findings.push({ ...createDiagnostic(diagnosticMessages.unreadableFile, [reason]), severity: Severity.Error, file: name })
      return undefined
    }
  }
}

/** The exit code of a check with these findings. */
export function getCheckExitCode (findings: readonly Finding[]): CheckExitCode {
  if (findings.length === 0) return CheckExitCode.Clean
  return findings.some(({ severity }) => severity === Severity.Error) ? CheckExitCode.Errors : CheckExitCode.Warnings
}
