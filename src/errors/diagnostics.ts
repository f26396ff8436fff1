/** Numbered diagnostics for text that operators write: rules files, settings files and configurations. */

/** A message about a position in a source text. Line and column numbers start at 1. */
export interface Diagnostic {
  readonly code: number
  readonly message: string
  readonly line?: number
  readonly column?: number
}

/** The number and text of a message. */
export interface DiagnosticTemplate {
  readonly code: number
  readonly text: string
}

/** The templates of all diagnostic messages. `{0}`, `{1}` and so on are placeholders for the arguments. */
export const diagnosticMessages = {
  unknownRuleKind: createTemplate(1001, 'unknown rule kind "{0}"; expected one of {1}'),
  missingComment: createTemplate(1002, 'the rule must end with a comment that says who requested it'),
  missingField: createTemplate(1003, 'missing required field "{0}"'),
  unknownField: createTemplate(1004, 'unknown field "{0}"; allowed fields: {1}'),
  badValue: createTemplate(1005, 'invalid value for "{0}": {1}'),
  duplicateField: createTemplate(1006, 'duplicate field "{0}"'),
  duplicateRule: createTemplate(1007, 'duplicate rule "{0}"; it is already defined in line {1}'),
  lineTooLong: createTemplate(1008, 'the line is longer than {0} characters'),
  missingName: createTemplate(1009, 'expected a rule name after "{0}"'),
  unknownOrganisation: createTemplate(1010, 'organisation "{0}" is not defined; add an organisation rule for it'),
  guaranteeTooLarge: createTemplate(1011, 'guarantee "{0}" exceeds the available capacity: {1}'),
  badName: createTemplate(1012, 'invalid name "{0}": only letters, digits, ".", "_", "-" and "/" are allowed'),
  tooManyLines: createTemplate(1013, 'the file has more than {0} lines'),
  stillInUse: createTemplate(1014, 'organisation "{0}" is still referenced by "{1}"'),
  badJson: createTemplate(2001, 'invalid JSON: {0}'),
  badSetting: createTemplate(2002, 'setting "{0}": {1}'),
  unreadableFile: createTemplate(2003, 'cannot read the file: {0}'),
  badEntry: createTemplate(3001, '"{0}" must be of type {1}; the hosts ignore the whole file'),
  duplicateQueue: createTemplate(3002, 'queue "{0}" is already defined in line {1}; the scheduler uses only one of the two'),
  duplicateQueuePath: createTemplate(3003, 'queue "{0}" receives no jobs: queue "{1}" in line {2} has the same host name and path prefix'),
  shadowedJobIds: createTemplate(3004, 'queue "{0}" takes the requests of queue "{1}" in line {2} for jobs whose id begins with "{3}"'),
  badPathPrefix: createTemplate(3005, 'queue "{0}" receives no jobs: the path prefix "{1}" must begin with "/" and contain no "?"'),
  badHostName: createTemplate(3006, 'queue "{0}" receives no jobs: the host name "{1}" must not be empty and must contain no port'),
  sharedKey: createTemplate(3007, 'an API key of organisation "{0}" belongs to organisation "{1}" in line {2}, to which its jobs are counted'),
  repeatedKey: createTemplate(3008, 'organisation "{0}" lists the same API key twice'),
  emptyKey: createTemplate(3009, 'organisation "{0}" has an empty API key; any caller can act for it'),
  duplicateOrganisation: createTemplate(3010, 'organisation "{0}" is already defined in line {1}; the two guarantees are not added'),
  unusedGuarantee: createTemplate(3011, 'organisation "{0}" has a guarantee, but no API key to submit jobs with'),
  badGuarantee: createTemplate(3012, 'organisation "{0}": the guarantee of {1} accelerators is negative'),
  guaranteesTooLarge: createTemplate(3013, 'the guarantees up to organisation "{0}" are {1} accelerators in total; {2} are available'),
  impossibleObjective: createTemplate(3014, 'queue "{0}": the objective ({1} times the run time plus {2} ms) is shorter than any run, or shrinks with the run time'),
  badAttempts: createTemplate(3015, 'queue "{0}": {1} attempts; a job needs a whole number of at least 1'),
  badTimeout: createTemplate(3016, 'queue "{0}": a time-out of {1} ms leaves no time for a response; it must be over {2} ms'),
  badBodyLimit: createTemplate(3017, 'a limit of {0} bytes for the body of a request refuses every job'),
  versionNotNewer: createTemplate(3018, 'version {0} is not above version {1} that is in force; the hosts ignore the file'),
  duplicateMember: createTemplate(3019, 'duplicate member "{0}"; the hosts use only the last one'),
  noQueues: createTemplate(3020, 'the file defines no queue; every request is refused')
} as const

/** Creates a diagnostic from a message template and its arguments. */
export function createDiagnostic (
  template: DiagnosticTemplate, args: readonly string[], line?: number, column?: number
): Diagnostic {
  const text = template.text.replace(/\{(\d)\}/g, (_, index: string) => args[Number(index)] ?? '')
  return { code: template.code, message: text, line, column }
}

/** Formats a diagnostic as compilers do: `file:line:column: SF1001: message`, with the severity, if given, before the code. */
export function formatDiagnostic (diagnostic: Diagnostic, fileName: string, severity?: string): string {
  const location = diagnostic.line === undefined
    ? fileName
    : `${fileName}:${diagnostic.line}:${diagnostic.column ?? 1}`
  return `${location}: ${severity === undefined ? '' : `${severity}: `}SF${diagnostic.code}: ${diagnostic.message}`
}

function createTemplate (code: number, text: string): DiagnosticTemplate {
  return { code, text }
}
