import { Command } from '@oclif/core'
import { ExitCode } from '../cli/fail.js'
import { demoSeconds, runDemo } from '../demo/demo.js'

/** Runs the demonstration. */
export default class Demo extends Command {
  static override description = 'run a whole system in one process, on stand-ins of the platform, and report what happened'

  async run (): Promise<void> {
    this.log(`The demonstration ends in about ${demoSeconds} s.`)
    const broken = await runDemo(line => this.log(line))
    process.exit(broken === 0 ? ExitCode.Ok : ExitCode.Refused)
  }
}
