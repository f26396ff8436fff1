/** Numbered diagnostics for text that operators write: rules files and settings files. */

/** A message about a position in a source text. Line and column numbers start at 1. */
export interface Diagnostic {
  readonly code: number
  readonly message: string
  readonly line?: number
  readonly column?: number
}

interface DiagnosticTemplate {
  readonly code: number
  readonly text: string
}

/** The templates of all diagnostic messages. `{0}` and `{1}` are placeholders for the arguments. */
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
  unreadableFile: createTemplate(2003, 'cannot read the file: {0}')
} as const

/** Creates a diagnostic from a message template and its arguments. */
export function createDiagnostic (
  template: DiagnosticTemplate, args: readonly string[], line?: number, column?: number
): Diagnostic {
  const text = template.text.replace(/\{(\d)\}/g, (_, index: string) => args[Number(index)] ?? '')
  return { code: template.code, message: text, line, column }
}

/** Formats a diagnostic as compilers do: `file:line:column: SF1001: message`. */
export function formatDiagnostic (diagnostic: Diagnostic, fileName: string): string {
  const location = diagnostic.line === undefined
    ? fileName
    : `${fileName}:${diagnostic.line}:${diagnostic.column ?? 1}`
  return `${location}: SF${diagnostic.code}: ${diagnostic.message}`
}

function createTemplate (code: number, text: string): DiagnosticTemplate {
  return { code, text }
}
