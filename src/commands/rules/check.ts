import { Args, Command, Flags } from '@oclif/core'
import { connectOperator } from '../../cli/connection.js'
import { fail } from '../../cli/fail.js'
import { createError, ErrorKind } from '../../errors/errorKinds.js'
import { OperatorMethod } from '../../operators/operatorInterface.js'
import type { RulePreview } from '../../operators/operatorInterface.js'
import { checkReferences } from '../../rules/ruleSet.js'
import { parseRules } from '../../rules/ruleSyntax.js'
import { readText } from '../../settings/settings.js'

/** Checks a rules file. */
export default class Check extends Command {
  static override description = 'check a rules file; with --host, also check it against the current rules and workers of the system, and print the effect of each line'
  static override args = { file: Args.string({ required: true, description: 'the edited rules file' }) }
  static override flags = {
    host: Flags.string({ env: 'SASSAFRASFORD_HOST', description: 'address on which an entry host listens for peers, HOST:PORT' }),
    token: Flags.string({ env: 'SASSAFRASFORD_OPERATOR_TOKEN', default: '', description: 'token of an operator' }),
    json: Flags.boolean({ description: 'print JSON' })
  }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(Check)
    try {
      const text = readText(args.file)
      const parsed = parseRules(text)
      const diagnostics = [...parsed.diagnostics, ...checkReferences(parsed.rules, parsed.lineNumbers)]
      if (diagnostics.length > 0) throw createError(ErrorKind.RuleInvalid, `${diagnostics.length} error(s)`, { diagnostics })
      if (flags.host === undefined) {
        this.log(flags.json ? JSON.stringify({ rules: parsed.rules.size }) : `${parsed.rules.size} rules are well-formed`)
        return
      }
      const edit = { text, askedBy: 'nobody' }
      const preview = await connectOperator({ host: flags.host, token: flags.token }).call<RulePreview>(OperatorMethod.CheckRules, edit)
      this.log(flags.json ? JSON.stringify(preview) : preview.effects.join('\n') || 'no changes')
    } catch (error) {
      fail(this, error, args.file)
    }
  }
}
