import { Command } from '@oclif/core'
import { connectOperator, operatorFlags } from '../cli/connection.js'
import { fail } from '../cli/fail.js'
import { formatStatus } from '../cli/formatStatus.js'
import type { HostStatus } from '../entry/hostStatus.js'
import { OperatorMethod } from '../operators/operatorInterface.js'

/** Prints the state of the system. */
export default class Status extends Command {
  static override description = 'print the state of the system on one screen'
  static override flags = operatorFlags

  async run (): Promise<void> {
    const { flags } = await this.parse(Status)
    try {
      const status = await connectOperator(flags).call<HostStatus>(OperatorMethod.Status, {})
      this.log(flags.json ? JSON.stringify(status) : formatStatus(status))
    } catch (error) {
      fail(this, error)
    }
  }
}
