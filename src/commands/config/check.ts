import { Args, Command, Flags } from '@oclif/core'
import { createConfigurationReport, getCheckExitCode } from '../../cli/configurationReport.js'
import { Severity } from '../../configuration/configurationCheck.js'
import { formatDifference } from '../../configuration/configurationDifferences.js'
import { formatDiagnostic } from '../../errors/diagnostics.js'

/** Checks a file with the platform's configuration. */
export default class Check extends Command {
  static override description = 'check a file with the configuration of the platform before it is sent; exits with 0 if nothing was found, 1 after warnings and 2 after errors. Nothing is written'
  static override args = { file: Args.string({ required: true, description: 'the configuration to check, as JSON' }) }
  static override flags = {
    against: Flags.string({ description: 'file with the version in force; the differences are printed' }),
    accelerators: Flags.integer({ min: 0, description: 'number of accelerators that all guarantees together may use' }),
    json: Flags.boolean({ description: 'print JSON' })
  }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(Check)
    const { findings, differences } = createConfigurationReport({ file: args.file, against: flags.against, accelerators: flags.accelerators })
    const exitCode = getCheckExitCode(findings)
    if (flags.json) this.log(JSON.stringify({ exitCode, findings, differences }))
    else {
      for (const finding of findings) this.log(formatDiagnostic(finding, finding.file, finding.severity))
      for (const difference of differences ?? []) this.log(formatDifference(difference))
      if (differences?.length === 0) this.log('no differences from the version in force')
      const errorCount = findings.filter(({ severity }) => severity === Severity.Error).length
      this.log(`${errorCount} error(s), ${findings.length - errorCount} warning(s)`)
    }
    this.exit(exitCode)
  }
}
