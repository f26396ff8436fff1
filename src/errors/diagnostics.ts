/** The numbered diagnostics for texts that people write: rules and settings. */

/** A message about a place in a text. Lines and columns start at 1. */
export interface Diagnostic {
  readonly code: number
  readonly message: string
  readonly line?: number
  readonly column?: number
}

interface DiagnosticMessage {
  readonly code: number
  readonly text: string
}

/** All diagnostics. `{0}` and `{1}` stand for the arguments. */
export const diagnosticMessages = {
  unknownRuleKind: message(1001, 'unknown kind of rule "{0}"; the kinds are {1}'),
  missingComment: message(1002, 'the rule has no comment that says who asked for it'),
  missingField: message(1003, 'the rule needs the field "{0}"'),
  unknownField: message(1004, 'unknown field "{0}"; this rule takes {1}'),
  badValue: message(1005, 'bad value for "{0}": {1}'),
  duplicateField: message(1006, 'the field "{0}" stands twice'),
  duplicateRule: message(1007, 'the rule "{0}" stands already in line {1}'),
  lineTooLong: message(1008, 'the line is longer than {0} characters'),
  missingName: message(1009, 'the rule needs a name after "{0}"'),
  unknownOrganisation: message(1010, 'there is no rule for the organisation "{0}"'),
  guaranteeTooLarge: message(1011, 'the guarantee "{0}" does not fit: {1}'),
  badName: message(1012, 'bad name "{0}": letters, digits, ".", "_", "-" and "/" are allowed'),
  tooManyLines: message(1013, 'the file has more than {0} lines'),
  stillInUse: message(1014, 'the organisation "{0}" is still named by "{1}"'),
  badJson: message(2001, 'not valid JSON: {0}'),
  badSetting: message(2002, 'setting "{0}": {1}'),
  unreadableFile: message(2003, 'cannot read the file: {0}')
} as const

/** Makes a diagnostic from a message of the table. */
export function createDiagnostic (
  template: DiagnosticMessage, args: readonly string[], line?: number, column?: number
): Diagnostic {
  const text = template.text.replace(/\{(\d)\}/g, (_, index: string) => args[Number(index)] ?? '')
  return { code: template.code, message: text, line, column }
}

/** Writes a diagnostic the way compilers do: `file:line:column: SF1001: message`. */
export function formatDiagnostic (diagnostic: Diagnostic, fileName: string): string {
  const place = diagnostic.line === undefined
    ? fileName
    : `${fileName}:${diagnostic.line}:${diagnostic.column ?? 1}`
  return `${place}: SF${diagnostic.code}: ${diagnostic.message}`
}

function message (code: number, text: string): DiagnosticMessage {
  return { code, text }
}
