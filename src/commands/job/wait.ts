import { Args, Command, Flags } from '@oclif/core'
import { callEntry, callerFlags } from '../../cli/connection.js'
import { ExitCode, fail } from '../../cli/fail.js'
import { formatJob } from '../../cli/formatJob.js'
import { createError, ErrorKind } from '../../errors/errorKinds.js'
import { JobResult } from '../../scheduling/jobTypes.js'
import type { JobView } from '../../scheduling/jobViews.js'

const maxPollMs = 30_000

/** Waits until a job has ended. */
export default class Wait extends Command {
  static override description = 'wait until a job has ended; exits with 0 if it succeeded and with 5 if it did not'
  static override args = { job: Args.string({ required: true, description: 'id of the job' }) }
  static override flags = { ...callerFlags, 'timeout-ms': Flags.integer({ default: 3_600_000, min: 1, description: 'maximum time to wait, in ms' }) }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(Wait)
    const job = await this.waitForEnd(args.job, flags)
    this.log(flags.json ? JSON.stringify(job) : formatJob(job))
    if (job.result !== JobResult.Succeeded) this.exit(ExitCode.JobFailed)
  }

  private async waitForEnd (jobId: string, flags: { entry: string, token: string, 'timeout-ms': number }): Promise<JobView> {
    const untilMs = Date.now() + flags['timeout-ms']
    try {
      while (true) {
        const waitMs = Math.max(0, Math.min(maxPollMs, untilMs - Date.now()))
        const job = await callEntry<JobView>(flags, 'GET', `/v1/jobs/${encodeURIComponent(jobId)}?waitMs=${waitMs}`)
        if (job.state === 'ended') return job
        if (Date.now() >= untilMs) throw createError(ErrorKind.DeadlinePassed, `timed out: the job is still ${job.state}`)
      }
    } catch (error) {
      fail(this, error)
    }
  }
}
