import { Command, Flags } from '@oclif/core'
import { createLogger } from '../common/logger.js'
import { fail } from '../cli/fail.js'
import { runUntilSignal } from '../cli/runUntilSignal.js'
import { startEntryHost } from '../entry/entryHost.js'
import { entrySettingsSchema, loadSettings } from '../settings/settings.js'

/** Runs an entry host. */
export default class Entry extends Command {
  static override description = 'run an entry host; SIGTERM shuts it down after the requests in flight have completed'
  static override flags = { settings: Flags.string({ required: true, description: 'JSON file with the settings' }) }

  async run (): Promise<void> {
    const { flags } = await this.parse(Entry)
    try {
      const settings = loadSettings(flags.settings, entrySettingsSchema)
      const logger = createLogger(settings.log, { host: settings.hostId })
      // An unhandled rejection in one task must not abort the requests of all others.
      process.on('unhandledRejection', error => logger.error('entry: unhandled promise rejection', { error: String(error) }))
      const host = await startEntryHost(settings, logger, Math.random)
      await runUntilSignal(() => host.stop())
    } catch (error) {
      fail(this, error)
    }
  }
}
