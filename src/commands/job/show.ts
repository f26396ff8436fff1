import { Args, Command } from '@oclif/core'
import { callEntry, callerFlags } from '../../cli/connection.js'
import { fail } from '../../cli/fail.js'
import { formatJob } from '../../cli/formatJob.js'
import type { JobView } from '../../scheduling/jobViews.js'

/** Shows a job. */
export default class Show extends Command {
  static override description = 'show a job and the reason for its state'
  static override args = { job: Args.string({ required: true, description: 'id of the job' }) }
  static override flags = callerFlags

  async run (): Promise<void> {
    const { args, flags } = await this.parse(Show)
    try {
      const job = await callEntry<JobView>(flags, 'GET', `/v1/jobs/${encodeURIComponent(args.job)}`)
      this.log(flags.json ? JSON.stringify(job) : formatJob(job))
    } catch (error) {
      fail(this, error)
    }
  }
}
