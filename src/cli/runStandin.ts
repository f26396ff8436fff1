/** Runs a stand-in for a service of the platform in its own process. */
import { Flags } from '@oclif/core'
import type { Command } from '@oclif/core'
import type { z } from 'zod'
import { createLogger } from '../common/logger.js'
import type { LogSettings } from '../common/logger.js'
import { loadSettings } from '../settings/settings.js'
import { fail } from './fail.js'
import { runUntilSignal } from './runUntilSignal.js'

/** Flags shared by the stand-in commands. */
export const standinFlags = { settings: Flags.string({ required: true, description: 'JSON file with the settings' }) }

interface Standin {
  readonly address: string
  close (): Promise<void>
}

/** Loads the settings, starts the stand-in, and runs it until SIGTERM or SIGINT. */
export async function runStandin<S extends z.ZodType<{ readonly log: LogSettings }>> (
  command: Command, file: string, schema: S, start: (settings: z.infer<S>) => Promise<Standin>
): Promise<void> {
  try {
    const settings = loadSettings(file, schema)
    const standin = await start(settings)
    createLogger(settings.log).withPrefix('stand-in').info(`${command.id} listens on ${standin.address}`)
    await runUntilSignal(standin.close)
  } catch (error) {
    fail(command, error)
  }
}
