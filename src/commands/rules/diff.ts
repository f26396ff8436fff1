import { Args, Command } from '@oclif/core'
import { connectOperator, operatorFlags } from '../../cli/connection.js'
import { fail } from '../../cli/fail.js'
import { formatChanges } from '../../cli/formatChanges.js'
import { OperatorMethod } from '../../operators/operatorInterface.js'
import type { RulePreview } from '../../operators/operatorInterface.js'
import { readText } from '../../settings/settings.js'

/** Prints the changes that an edited rules file would make. */
export default class Diff extends Command {
  static override description = 'print the changes that an edited rules file would make, without applying them'
  static override args = { file: Args.string({ required: true, description: 'the edited rules file' }) }
  static override flags = operatorFlags

  async run (): Promise<void> {
    const { args, flags } = await this.parse(Diff)
    try {
      const edit = { text: readText(args.file), askedBy: 'nobody' }
      const preview = await connectOperator(flags).call<RulePreview>(OperatorMethod.CheckRules, edit)
      this.log(flags.json ? JSON.stringify(preview.changes) : formatChanges(preview.changes))
    } catch (error) {
      fail(this, error, args.file)
    }
  }
}
