import { Args, Command, Flags } from '@oclif/core'
import { connectOperator, operatorFlags } from '../../cli/connection.js'
import { fail } from '../../cli/fail.js'
import { formatEntry } from '../../cli/formatChanges.js'
import { OperatorMethod } from '../../operators/operatorInterface.js'
import type { RuleEntry } from '../../rules/ruleEdit.js'

/** Prints the audit trail. */
export default class History extends Command {
  static override description = 'print the audit trail: who changed which line and when, who requested the change, and the text of the line before it'
  static override args = { rule: Args.string({ description: 'kind and name of one rule, as in "quota mill"' }) }
  static override flags = { ...operatorFlags, limit: Flags.integer({ default: 100, min: 1, max: 10_000, description: 'number of newest entries to print' }) }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(History)
    try {
      const entries = await connectOperator(flags).call<RuleEntry[]>(OperatorMethod.RulesHistory, { identity: args.rule, limit: flags.limit })
      this.log(flags.json ? JSON.stringify(entries) : entries.map(formatEntry).join('\n\n'))
    } catch (error) {
      fail(this, error)
    }
  }
}
