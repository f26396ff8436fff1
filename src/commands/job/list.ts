import { Command } from '@oclif/core'
import { callEntry, callerFlags } from '../../cli/connection.js'
import { fail } from '../../cli/fail.js'
import { formatJobs } from '../../cli/formatJob.js'
import type { JobView } from '../../scheduling/jobViews.js'

/** Lists jobs. */
export default class List extends Command {
  static override description = 'list jobs, newest first'
  static override flags = callerFlags

  async run (): Promise<void> {
    const { flags } = await this.parse(List)
    try {
      const { jobs } = await callEntry<{ jobs: JobView[] }>(flags, 'GET', '/v1/jobs')
      this.log(flags.json ? JSON.stringify(jobs) : formatJobs(jobs))
    } catch (error) {
      fail(this, error)
    }
  }
}
