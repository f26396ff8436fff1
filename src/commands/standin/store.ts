import { Command } from '@oclif/core'
import { runStandin, standinFlags } from '../../cli/runStandin.js'
import { storeSettingsSchema } from '../../settings/settings.js'
import { startStoreStandin } from '../../standins/store.js'

/** Runs the stand-in for the platform's key-value service. */
export default class Store extends Command {
  static override description = 'run the stand-in for the platform\'s key-value service'
  static override flags = standinFlags

  async run (): Promise<void> {
    const { flags } = await this.parse(Store)
    await runStandin(this, flags.settings, storeSettingsSchema, settings => startStoreStandin(settings.listen, settings.faults, settings.file))
  }
}
