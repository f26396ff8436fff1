import { randomUUID } from 'node:crypto'
import { Args, Command, Flags } from '@oclif/core'
import { connectOperator, operatorFlags } from '../../cli/connection.js'
import { ExitCode, fail } from '../../cli/fail.js'
import { formatChanges } from '../../cli/formatChanges.js'
import { OperatorMethod } from '../../operators/operatorInterface.js'
import type { Confirmations } from '../../operators/operatorInterface.js'
import type { RuleEditResult } from '../../rules/ruleEditor.js'
import { readText } from '../../settings/settings.js'

const waitMs = 9_000

/** Applies an edited rules file. */
export default class Apply extends Command {
  static override description = 'apply an edited rules file; edits by other operators since its revision are kept'
  static override args = { file: Args.string({ required: true, description: 'the edited rules file, with its line "# revision N"' }) }
  static override flags = {
    ...operatorFlags,
    'asked-by': Flags.string({ required: true, description: 'person who requested the change' }),
    base: Flags.integer({ description: 'revision that the file is based on, if the file does not state it' }),
    'edit-id': Flags.string({ description: 'id of an earlier edit, to retry it when its outcome is unknown' }),
    wait: Flags.boolean({ description: 'wait until every live host has the new revision, and list the hosts that do not have it in time' })
  }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(Apply)
    const editId = flags['edit-id'] ?? randomUUID()
    try {
      const edit = { text: readText(args.file), askedBy: flags['asked-by'], baseRevision: flags.base, editId }
      const client = connectOperator(flags)
      const result = await client.call<RuleEditResult>(OperatorMethod.ApplyRules, edit)
      const confirmations = flags.wait
        ? await client.call<Confirmations>(OperatorMethod.Confirmations, { revision: result.revision, waitMs })
        : undefined
      this.report(flags.json, result, confirmations)
    } catch (error) {
      this.logToStderr(`the id of this edit is ${editId}`)
      fail(this, error, args.file)
    }
  }

  private report (isJson: boolean, result: RuleEditResult, confirmations: Confirmations | undefined): void {
    if (isJson) {
      this.log(JSON.stringify({ ...result, ...confirmations }))
    } else {
      this.log(formatChanges(result.changes))
      this.log(`revision ${result.revision}`)
      if (confirmations !== undefined) this.log(`in effect at ${confirmations.confirmed.length} host(s)`)
    }
    if (confirmations === undefined || confirmations.missing.length === 0) return
    this.logToStderr(`not yet confirmed by ${confirmations.missing.join(', ')}`)
    this.exit(ExitCode.TryAgain)
  }
}
