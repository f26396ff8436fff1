import { Args, Command } from '@oclif/core'
import { callEntry, callerFlags } from '../../cli/connection.js'
import { fail } from '../../cli/fail.js'
import { formatJob } from '../../cli/formatJob.js'
import type { JobView } from '../../scheduling/jobViews.js'

/** Cancels a job. */
export default class Cancel extends Command {
  static override description = 'cancel a job; cancelling it again has no effect'
  static override args = { job: Args.string({ required: true, description: 'id of the job' }) }
  static override flags = callerFlags

  async run (): Promise<void> {
    const { args, flags } = await this.parse(Cancel)
    try {
      const job = await callEntry<JobView>(flags, 'DELETE', `/v1/jobs/${encodeURIComponent(args.job)}`)
      this.log(flags.json ? JSON.stringify(job) : formatJob(job))
    } catch (error) {
      fail(this, error)
    }
  }
}
