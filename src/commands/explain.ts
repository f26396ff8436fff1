/** `sassafrasford explain`: the timeline of a job from the logs of the hosts. */
import { Args, Command, Flags } from '@oclif/core'
import { formatTimeline, readTimeline } from '../operators/jobTimeline.js'
import { readText } from '../settings/settings.js'

/** Prints the decisions of all hosts about a job, ordered by the timestamps of the hosts' clocks. */
export default class Explain extends Command {
  static override description = 'print what the hosts decided about a job, from their logs'
  static override args = { job: Args.string({ required: true, description: 'id of the job' }) }
  static override flags = { logs: Flags.string({ required: true, multiple: true, description: 'log files of the hosts' }) }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(Explain)
    const timeline = readTimeline(flags.logs.map(readText), args.job)
    if (timeline.length === 0) this.error(`no log line mentions job ${args.job}`, { exit: 1 })
    this.log(formatTimeline(timeline))
  }
}
