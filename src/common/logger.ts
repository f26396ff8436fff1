/** Logging with pino. Each message starts with the prefix of the component that writes it. */
import { existsSync } from 'node:fs'
import { pino, destination as createDestination } from 'pino'
import type { Logger as PinoLogger } from 'pino'
import pretty from 'pino-pretty'

/** Writes log lines of one component. */
export interface Logger {
  debug (message: string, fields?: object): void
  info (message: string, fields?: object): void
  warn (message: string, fields?: object): void
  error (message: string, fields?: object): void
  /** Returns a logger whose messages start with the given prefix, which replaces the current one. */
  withPrefix (prefix: string): Logger
}

/** Log level and destination: `file`, which is reopened on SIGHUP, or standard error. */
export interface LogSettings {
  readonly level: 'debug' | 'info' | 'warn' | 'error' | 'silent'
  readonly file?: string
}

/** Creates the root logger of a process. */
export function createLogger (settings: LogSettings, bindings: object = {}): Logger {
  const options = { level: settings.level, base: bindings }
  if (settings.file !== undefined) return createFileLogger(settings.file, options)
  if (process.stderr.isTTY) return wrapLogger(pino(options, pretty({ destination: 2, sync: true })), '')
  return wrapLogger(pino(options, createDestination({ dest: 2, sync: true })), '')
}

/** Creates the logger of a daemon on the platform: JSON lines, written asynchronously to standard output. */
export function createDaemonLogger (bindings: object): Logger {
  const target = createDestination({ dest: 1, sync: false, maxLength: maxBufferedBytes })
  return wrapLogger(pino({ level: 'info', base: bindings }, target), '')
}

/** Output buffered while the reader of standard output is stalled. Further lines are dropped. */
const maxBufferedBytes = 4_000_000

/** A logger that discards all output, for tests. */
export const silentLogger: Logger = createLogger({ level: 'silent' })

function createFileLogger (file: string, options: object): Logger {
  const target = createDestination({ dest: file, sync: true, append: existsSync(file) })
  process.on('SIGHUP', () => target.reopen())
  return wrapLogger(pino(options, target), '')
}

function wrapLogger (target: PinoLogger, prefix: string): Logger {
  const messagePrefix = prefix === '' ? '' : `${prefix}: `
  return {
    debug: (message, fields) => target.debug(fields ?? {}, messagePrefix + message),
    info: (message, fields) => target.info(fields ?? {}, messagePrefix + message),
    warn: (message, fields) => target.warn(fields ?? {}, messagePrefix + message),
    error: (message, fields) => target.error(fields ?? {}, messagePrefix + message),
    withPrefix: childPrefix => wrapLogger(target, childPrefix)
  }
}
