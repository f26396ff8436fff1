/** The settings of every program: JSON files, checked by a schema. */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { createDiagnostic, diagnosticMessages, formatDiagnostic } from '../errors/diagnostics.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { faultSchema } from '../standins/faults.js'
import { listedHostSchema } from '../standins/hosts.js'

const listenSchema = z.strictObject({ host: z.ipv4().or(z.ipv6()), port: z.number().int().min(0).max(65_535) })
const addressSchema = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'must be HOST:PORT')
const tokenSchema = z.string().min(8, 'a token has at least 8 characters')
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
  /** Entry hosts to try before the list is known. */
  peers: z.array(addressSchema).default([]),
  peerToken: tokenSchema,
  operators: z.array(z.strictObject({ name: nameSchema, token: tokenSchema })).default([]),
  organisations: z.array(z.strictObject({ organisation: nameSchema, token: tokenSchema })).default([]),
  /** How long the host keeps serving after it has said that it leaves, in ms. */
  leaveNoticeMs: z.number().int().min(0).default(3_000),
  log: logSchema
})

/** Settings of `entry`. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>

const standinBase = { listen: listenSchema, log: logSchema, faults: faultSchema.partial().default({}) }

/** Settings of `standin store`. */
export const storeSettingsSchema = z.strictObject({
  ...standinBase,
  /** Keeps the entries when the stand-in is restarted. */
  file: z.string().optional()
})

/** Settings of `standin worker`. */
export const workerSettingsSchema = z.strictObject({
  ...standinBase,
  accelerators: z.number().int().min(0).max(8),
  checkpointMs: z.number().min(0).default(200),
  reportLagMs: z.number().min(0).default(0)
})

/** Settings of `standin endpoint`. */
export const endpointSettingsSchema = z.strictObject({
  ...standinBase,
  name: nameSchema,
  slots: z.number().int().min(1).default(8),
  serviceMs: z.number().min(0).default(10)
})

/** Settings of `standin hosts`. */
export const hostsSettingsSchema = z.strictObject({
  ...standinBase,
  lagMs: z.number().min(0).default(1_000),
  hosts: z.array(listedHostSchema)
})

/** Reads and checks a settings file. Errors name the file with line and column, or the setting's path. */
export function loadSettings<S extends z.ZodType> (file: string, schema: S): z.infer<S> {
  const parsed = schema.safeParse(parseJson(file, readText(file)))
  if (parsed.success) return parsed.data
  const messages = parsed.error.issues.map(issue => {
    const path = issue.path.join('.') || '(the whole file)'
    return formatDiagnostic(createDiagnostic(diagnosticMessages.badSetting, [path, issue.message]), file)
  })
  throw createError(ErrorKind.BadRequest, messages.join('\n'))
}

/** Reads a text file. Errors name the file. */
export function readText (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error)
    throw createError(ErrorKind.BadRequest, formatDiagnostic(createDiagnostic(diagnosticMessages.unreadableFile, [reason]), file))
  }
}

/** Parses JSON; errors give line and column. */
export function parseJson (file: string, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error)
    const { line, column } = findPlace(text, reason)
    throw createError(ErrorKind.BadRequest, formatDiagnostic(createDiagnostic(diagnosticMessages.badJson, [reason], line, column), file))
  }
}

/** The engine's message gives the offset of the fault, except at the end of the text. */
function findPlace (text: string, reason: string): { readonly line: number, readonly column: number } {
  const offset = Number(/position (\d+)/.exec(reason)?.[1] ?? text.length)
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: (before.at(-1)?.length ?? 0) + 1 }
}
