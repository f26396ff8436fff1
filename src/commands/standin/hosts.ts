import { Command } from '@oclif/core'
import { runStandin, standinFlags } from '../../cli/runStandin.js'
import { hostsSettingsSchema } from '../../settings/settings.js'
import { startHostListStandin } from '../../standins/hosts.js'

/** Runs the stand-in for the platform's host list. */
export default class Hosts extends Command {
  static override description = 'run the stand-in for the platform\'s host list'
  static override flags = standinFlags

  async run (): Promise<void> {
    const { flags } = await this.parse(Hosts)
    await runStandin(this, flags.settings, hostsSettingsSchema, settings => startHostListStandin(settings.listen, settings.hosts, settings.lagMs, settings.faults))
  }
}
