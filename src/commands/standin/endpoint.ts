import { Command } from '@oclif/core'
import { runStandin, standinFlags } from '../../cli/runStandin.js'
import { endpointSettingsSchema } from '../../settings/settings.js'
import { startEndpointStandin } from '../../standins/endpoint.js'

/** Runs the stand-in for an endpoint. */
export default class Endpoint extends Command {
  static override description = 'run the stand-in for an endpoint'
  static override flags = standinFlags

  async run (): Promise<void> {
    const { flags } = await this.parse(Endpoint)
    await runStandin(this, flags.settings, endpointSettingsSchema, settings => startEndpointStandin(settings.listen, settings, settings.faults))
  }
}
