/** Settings files of all commands: JSON, validated with a schema. */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { createDiagnostic, diagnosticMessages, formatDiagnostic } from '../errors/diagnostics.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { faultSchema } from '../standins/faults.js'
import { listedHostSchema } from '../standins/hosts.js'

const listenSchema = z.strictObject({ host: z.ipv4().or(z.ipv6()), port: z.number().int().min(0).max(65_535) })
const addressSchema = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'must be HOST:PORT')
const tokenSchema = z.string().min(8, 'must have at least 8 characters')
const nameSchema = z.string().min(1).max(120)
const logSchema = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
  file: z.string().optional()
}).default({ level: 'info' })

/** Settings of `entry`. */
export const entrySettingsSchema = z.strictObject({
  hostId: nameSchema,
  domain: nameSchema,
  region: nameSchema,
  callersListen: listenSchema,
  peersListen: listenSchema,
  store: addressSchema,
  hostList: addressSchema,
  /** Addresses of entry hosts to contact, in addition to those in the host list. */
  peers: z.array(addressSchema).default([]),
  peerToken: tokenSchema,
  operators: z.array(z.strictObject({ name: nameSchema, token: tokenSchema })).default([]),
  organisations: z.array(z.strictObject({ organisation: nameSchema, token: tokenSchema })).default([]),
  /** How long the host keeps serving after it has announced that it is leaving, in ms. */
  leaveNoticeMs: z.number().int().min(0).default(3_000),
  log: logSchema
})

/** Settings of `entry`. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>

const commonStandinFields = { listen: listenSchema, log: logSchema, faults: faultSchema.partial().default({}) }

/** Settings of `standin store`. */
export const storeSettingsSchema = z.strictObject({
  ...commonStandinFields,
  /** File that persists the entries across restarts of the stand-in. */
  file: z.string().optional()
})

/** Settings of `standin worker`. */
export const workerSettingsSchema = z.strictObject({
  ...commonStandinFields,
  accelerators: z.number().int().min(0).max(8),
  checkpointMs: z.number().min(0).default(200),
  /** Delay until incremental reports show a change of a task, in ms. */
  reportLagMs: z.number().min(0).default(0)
})

/** Settings of `standin endpoint`. */
export const endpointSettingsSchema = z.strictObject({
  ...commonStandinFields,
  name: nameSchema,
  slots: z.number().int().min(1).default(8),
  serviceMs: z.number().min(0).default(10)
})

/** Settings of `standin hosts`. */
export const hostsSettingsSchema = z.strictObject({
  ...commonStandinFields,
  /** Delay until readers see a change of the list, in ms. */
  lagMs: z.number().min(0).default(1_000),
  hosts: z.array(listedHostSchema)
})

/** Reads and validates a settings file. Errors contain the file name and the line and column, or the path of the setting. */
export function loadSettings<S extends z.ZodType> (file: string, schema: S): z.infer<S> {
  const parsed = schema.safeParse(parseJson(file, readText(file)))
  if (parsed.success) return parsed.data
  const messages = parsed.error.issues.map(issue => {
    const path = issue.path.join('.') || '(top level)'
    return formatDiagnostic(createDiagnostic(diagnosticMessages.badSetting, [path, issue.message]), file)
  })
  throw createError(ErrorKind.BadRequest, messages.join('\n'))
}

/** Reads a text file. Errors contain the file name. */
export function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error)
    throw createError(ErrorKind.BadRequest, formatDiagnostic(createDiagnostic(diagnosticMessages.unreadableFile, [reason]), file))
  }
}

/** Parses JSON. Errors contain the file name, line and column. */
export function parseJson (file: string, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error)
    const { line, column } = findErrorPosition(text, reason)
    throw createError(ErrorKind.BadRequest, formatDiagnostic(createDiagnostic(diagnosticMessages.badJson, [reason], line, column), file))
  }
}

/** Derives the position from the offset in the JavaScript engine's message. Without an offset, the error is at the end of the text. */
function findErrorPosition (text: string, reason: string): { readonly line: number, readonly column: number } {
  const offset = Number(/position (\d+)/.exec(reason)?.[1] ?? text.length)
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 }
}
