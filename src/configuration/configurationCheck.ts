/** Checks a configuration before it is sent: entries that never match, and limits that contradict each other. Does no I/O. */
import type { TextPosition } from '../common/jsonPositions.js'
import { createDiagnostic, diagnosticMessages } from '../errors/diagnostics.js'
import type { Diagnostic, DiagnosticTemplate } from '../errors/diagnostics.js'
import { answerMarginMs } from './configuration.js'
import type { Configuration, OrganisationSettings, QueueSettings } from './configuration.js'

/** The decoded text of a configuration. */
export interface ConfigurationDocument {
  /** Undefined if the hosts would reject the text; then there are errors. */
  readonly configuration?: Configuration
  readonly errors: readonly Diagnostic[]
  readonly warnings: readonly Diagnostic[]
  /** The position of an entry or, if the text leaves it out, of what would contain it. */
  locate (entry: ConfigurationEntry): TextPosition
}

/** Names an entry of a configuration. Queues, organisations and keys are named by their index. */
export type ConfigurationEntry =
  | { readonly queue: number, readonly field: 'name' | 'hostName' | 'pathPrefix' | 'attempts' | 'objectiveFactor' | 'timeoutMs' }
  | { readonly organisation: number, readonly field: 'name' | 'keys' | 'guaranteedAccelerators', readonly key?: number }
  | { readonly field: 'version' | 'queues' | 'bodyLimit' }

/** What the configuration is checked against. */
export interface ConfigurationCheckOptions {
  /** The version in force. */
  readonly inForce?: Configuration
  /** Number of accelerators that guarantees may use in total. */
  readonly accelerators?: number
}

/** How serious a finding is. */
export enum Severity {
  /** The hosts would reject the configuration, or callers would be refused, lose jobs or be mistaken for others. */
  Error = 'error',
  /** An entry has no effect, or an unexpected one. */
  Warning = 'warning'
}

/** One finding of the check. */
export interface Finding extends Diagnostic {
  readonly severity: Severity
}

/** Job ids consist of hexadecimal digits, and the path of a job is its queue's prefix and its id. */
const jobIdLength = 16
const hexDigits = '0123456789abcdef'

/** Returns the findings in the order of their positions. */
export function checkConfiguration (document: ConfigurationDocument, options: ConfigurationCheckOptions = {}): readonly Finding[] {
  const { configuration } = document
  const findings: Finding[] = [
    ...document.errors.map(diagnostic => ({ ...diagnostic, severity: Severity.Error })),
    ...document.warnings.map(diagnostic => ({ ...diagnostic, severity: Severity.Warning }))
  ]
  if (configuration !== undefined) {
    checkVersion()
    checkQueues(configuration.queues)
    checkOrganisations(configuration.organisations)
    if (configuration.limits.maxBodyBytes <= 0) report(Severity.Error, { field: 'bodyLimit' }, diagnosticMessages.badBodyLimit, configuration.limits.maxBodyBytes)
  }
  return findings.sort((left, right) => (left.line ?? 0) - (right.line ?? 0) || (left.column ?? 0) - (right.column ?? 0))

  function report (severity: Severity, entry: ConfigurationEntry, template: DiagnosticTemplate, ...args: readonly (string | number)[]): void {
    const { line, column } = document.locate(entry)
    findings.push({ ...createDiagnostic(template, args.map(String), line, column), severity })
  }

  function getLine (entry: ConfigurationEntry): number {
    return document.locate(entry).line
  }

  /** A host that has the version in force applies only a higher one. */
  function checkVersion (): void {
    const { inForce } = options
    if (configuration === undefined || inForce === undefined || configuration.version > inForce.version) return
    report(Severity.Error, { field: 'version' }, diagnosticMessages.versionNotNewer, configuration.version, inForce.version)
  }

  function checkQueues (queues: readonly QueueSettings[]): void {
    if (queues.length === 0) report(Severity.Warning, { field: 'queues' }, diagnosticMessages.noQueues)
    checkQueueNames(queues)
    checkQueuePaths(queues)
    queues.forEach((queue, index) => { checkQueueLimits(queue, index) })
  }

  function checkQueueNames (queues: readonly QueueSettings[]): void {
    const indexes = new Map<string, number>()
    queues.forEach(({ name }, index) => {
      const first = indexes.get(name)
      if (first === undefined) indexes.set(name, index)
      else report(Severity.Error, { queue: index, field: 'name' }, diagnosticMessages.duplicateQueue, name, getLine({ queue: first, field: 'name' }))
    })
  }

  function checkQueuePaths (queues: readonly QueueSettings[]): void {
    const indexes = new Map<string, number>()
    queues.forEach((queue, index) => {
      const { name, hostName, pathPrefix } = queue
      // The hosts compare the host name of a request without its port, and the path without its query.
      if (hostName === '' || /:\d+$/.test(hostName)) report(Severity.Error, { queue: index, field: 'hostName' }, diagnosticMessages.badHostName, name, hostName)
      if (!pathPrefix.startsWith('/') || pathPrefix.includes('?')) report(Severity.Error, { queue: index, field: 'pathPrefix' }, diagnosticMessages.badPathPrefix, name, pathPrefix)
      const first = indexes.get(getAddress(hostName, pathPrefix))
      if (first === undefined) indexes.set(getAddress(hostName, pathPrefix), index)
      else report(Severity.Error, { queue: index, field: 'pathPrefix' }, diagnosticMessages.duplicateQueuePath, name, queues[first]?.name ?? '', getLine({ queue: first, field: 'pathPrefix' }))
    })
    for (const [index, { name, hostName, pathPrefix }] of queues.entries()) {
      for (let length = 1; length <= jobIdLength && hexDigits.includes(pathPrefix.at(-length) ?? ' '); length++) {
        const shadowed = indexes.get(getAddress(hostName, pathPrefix.slice(0, -length)))
        if (shadowed === undefined) continue
        const line = getLine({ queue: shadowed, field: 'pathPrefix' })
        report(Severity.Warning, { queue: index, field: 'pathPrefix' }, diagnosticMessages.shadowedJobIds, name, queues[shadowed]?.name ?? '', line, pathPrefix.slice(-length))
      }
    }
  }

  function checkQueueLimits ({ name, attempts, objectiveFactor, objectiveMs, timeoutMs }: QueueSettings, index: number): void {
    if (isBelowAnyRun(objectiveFactor, objectiveMs)) report(Severity.Error, { queue: index, field: 'objectiveFactor' }, diagnosticMessages.impossibleObjective, name, objectiveFactor, objectiveMs)
    if (!Number.isInteger(attempts) || attempts < 1) report(Severity.Error, { queue: index, field: 'attempts' }, diagnosticMessages.badAttempts, name, attempts)
    if (timeoutMs <= answerMarginMs) report(Severity.Error, { queue: index, field: 'timeoutMs' }, diagnosticMessages.badTimeout, name, timeoutMs, answerMarginMs)
  }

  function checkOrganisations (organisations: readonly OrganisationSettings[]): void {
    const indexes = new Map<string, number>()
    organisations.forEach(({ name, keys, guaranteedAccelerators }, index) => {
      const first = indexes.get(name)
      if (first === undefined) indexes.set(name, index)
      else report(Severity.Error, { organisation: index, field: 'name' }, diagnosticMessages.duplicateOrganisation, name, getLine({ organisation: first, field: 'name' }))
      if (guaranteedAccelerators < 0) report(Severity.Error, { organisation: index, field: 'guaranteedAccelerators' }, diagnosticMessages.badGuarantee, name, guaranteedAccelerators)
      if (guaranteedAccelerators > 0 && keys.length === 0) report(Severity.Warning, { organisation: index, field: 'keys' }, diagnosticMessages.unusedGuarantee, name)
    })
    checkKeys(organisations)
    checkGuarantees(organisations)
  }

  /** Messages do not contain the keys, since they are credentials. */
  function checkKeys (organisations: readonly OrganisationSettings[]): void {
    const holders = new Map<string, { readonly organisation: number, readonly key: number }>()
    organisations.forEach(({ name, keys }, organisation) => {
      keys.forEach((value, key) => {
        const entry = { organisation, field: 'keys', key } as const
        if (value === '') report(Severity.Error, entry, diagnosticMessages.emptyKey, name)
        const first = holders.get(value)
        if (first === undefined) holders.set(value, { organisation, key })
        else if (first.organisation === organisation) report(Severity.Warning, entry, diagnosticMessages.repeatedKey, name)
        else report(Severity.Error, entry, diagnosticMessages.sharedKey, name, organisations[first.organisation]?.name ?? '', getLine({ ...first, field: 'keys' }))
      })
    })
  }

  /** Reported once, at the guarantee that exceeds the limit. A negative guarantee does not offset others. */
  function checkGuarantees (organisations: readonly OrganisationSettings[]): void {
    const { accelerators } = options
    if (accelerators === undefined) return
    let total = 0
    for (const [organisation, { name, guaranteedAccelerators }] of organisations.entries()) {
      total += Math.max(0, guaranteedAccelerators)
      if (total <= accelerators) continue
      report(Severity.Error, { organisation, field: 'guaranteedAccelerators' }, diagnosticMessages.guaranteesTooLarge, name, total, accelerators)
      return
    }
  }
}

/** A space cannot occur in the host name of a request, so that the address is unambiguous. */
function getAddress (hostName: string, pathPrefix: string): string {
  return `${hostName} ${pathPrefix}`
}

/** With a factor of 1 or more, an added time that is negative is too short for some runs only; every other negative value is too short for all or makes longer runs due earlier. */
function isBelowAnyRun (objectiveFactor: number, objectiveMs: number): boolean {
  if (objectiveFactor < 0) return true
  return objectiveFactor < 1 ? objectiveMs <= 0 : objectiveFactor === 1 && objectiveMs < 0
}
