import { Command } from '@oclif/core'
import { ExitCode } from '../cli/fail.js'
import { demoSeconds, runDemo } from '../demo/demo.js'

/** Runs the demo. */
export default class Demo extends Command {
  static override description = 'run a complete system in one process, with stand-ins for the platform, and report the results'

  async run (): Promise<void> {
    this.log(`The demo takes about ${demoSeconds} s.`)
    const failedChecks = await runDemo(line => this.log(line))
    process.exit(failedChecks === 0 ? ExitCode.Ok : ExitCode.Rejected)
  }
}
