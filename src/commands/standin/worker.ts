import { Command } from '@oclif/core'
import { runStandin, standinFlags } from '../../cli/runStandin.js'
import { workerSettingsSchema } from '../../settings/settings.js'
import { startWorkerStandin } from '../../standins/worker.js'

/** Runs the stand-in for a worker. */
export default class Worker extends Command {
  static override description = 'run the stand-in for a worker'
  static override flags = standinFlags

  async run (): Promise<void> {
    const { flags } = await this.parse(Worker)
    await runStandin(this, flags.settings, workerSettingsSchema, settings => startWorkerStandin(settings.listen, settings, settings.faults))
  }
}
