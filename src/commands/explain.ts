/** `sassafrasford explain`: the story of one job from the hosts' logs. */
import { Args, Command, Flags } from '@oclif/core'
import { formatTimeline, readTimeline } from '../operators/jobStory.js'
import { readText } from '../settings/settings.js'

/** Prints what every host decided about a job, in the order of their clocks. */
export default class Explain extends Command {
  static override description = 'tell what the hosts decided about a job, from their logs'
  static override args = { job: Args.string({ required: true, description: 'the id of the job' }) }
  static override flags = { logs: Flags.string({ required: true, multiple: true, description: 'log files of the hosts' }) }

  async run (): Promise<void> {
    const { args, flags } = await this.parse(Explain)
    const story = readTimeline(flags.logs.map(readText), args.job)
    if (story.length === 0) this.error(`no line of the logs names ${args.job}`, { exit: 1 })
    this.log(formatTimeline(story))
  }
}
