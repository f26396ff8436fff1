import { Args, Command, Flags } from '@oclif/core'
import { callEntry, callerFlags } from '../../cli/connection.js'
import { fail } from '../../cli/fail.js'
import { parseJob } from '../../entry/callersInterface.js'
import type { JobView } from '../../scheduling/jobViews.js'
import { parseJson, readText } from '../../settings/settings.js'

/** Submits a job. */
export default class Submit extends Command {
  static override description = 'submit a job; prints its id'
  static override args = { file: Args.string({ required: true, description: 'JSON file with the job, or - for standard input' }) }
  static override flags = { ...callerFlags, key: Flags.string({ description: 'idempotency key: submitting again with the same key creates no second job' }) }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(Submit)
    try {
      const text = readText(args.file === '-' ? '/dev/stdin' : args.file)
      parseJson(args.file, text)
      parseJob(text)
      const job = await callEntry<JobView>(flags, 'POST', '/v1/jobs', text, flags.key)
      this.log(flags.json ? JSON.stringify(job) : job.jobId)
    } catch (error) {
      fail(this, error, args.file)
    }
  }
}
