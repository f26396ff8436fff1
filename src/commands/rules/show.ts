import { Command } from '@oclif/core'
import { connectOperator, operatorFlags } from '../../cli/connection.js'
import { fail } from '../../cli/fail.js'
import { OperatorMethod } from '../../operators/operatorInterface.js'
import type { RuleSnapshot } from '../../rules/ruleReplica.js'

/** Prints the current rules. */
export default class Show extends Command {
  static override description = 'print the current rules, with their revision in the first line; this text can be edited and applied'
  static override flags = operatorFlags

  async run (): Promise<void> {
    const { flags } = await this.parse(Show)
    try {
      const snapshot = await connectOperator(flags).call<RuleSnapshot>(OperatorMethod.ShowRules, {})
      this.log(flags.json ? JSON.stringify(snapshot) : snapshot.text.trimEnd())
    } catch (error) {
      fail(this, error)
    }
  }
}
