/** Runs one stand-in as a process of its own. */
import { Flags } from '@oclif/core'
import type { Command } from '@oclif/core'
import type { z } from 'zod'
import { createLogger } from '../common/logger.js'
import type { LogSettings } from '../common/logger.js'
import { loadSettings } from '../settings/settings.js'
import { fail } from './fail.js'
import { runUntilSignal } from './runUntilSignal.js'

/** Flags of every stand-in. */
export const standinFlags = { settings: Flags.string({ required: true, description: 'JSON file with the settings' }) }

interface Standin {
  readonly address: string
  close (): Promise<void>
}

/** Loads the settings, starts the stand-in, and runs it until a signal. */
export async function runStandin<S extends z.ZodType<{ readonly log: LogSettings }>> (
  command: Command, file: string, schema: S, start: (settings: z.infer<S>) => Promise<Standin>
): Promise<void> {
  try {
    const settings = loadSettings(file, schema)
    const standin = await start(settings)
    createLogger(settings.log).part('stand-in').info(`${command.id} listens on ${standin.address}`)
    await runUntilSignal(standin.close)
  } catch (error) {
    fail(command, error)
  }
}
