/** How long ends stay unread while a share of all requests to the worker is lost: random plays of the end model. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createEndModel } from './endModel.js'
import type { EndModel } from './endModel.js'
import type { ReadingPolicy } from './readingPolicies.js'

/** Random plays, each with one end. */
export interface LossTrials {
  /** Whether the progress of the run has shown its end. */
  readonly isForeseen: boolean
  /** Whether answers of other workers are known to be lost from before the end on. */
  readonly areOthersLosing: boolean
  /** The share of requests that are lost. */
  readonly lostShare: number
  readonly trials: number
  readonly seed: number
}

type State = EndModel['initial']

/** The phase of the polls at the end varies by this many steps. */
const warmUpSteps = 16
/** The losses begin at most this many steps before the end: 2 s. */
const maxLossSteps = 8
const unlimited = 1_000_000

/** Returns, for each number of steps, the share of ends that are listed and not read after so many. */
export function getUnreadShares (policy: ReadingPolicy, { isForeseen, areOthersLosing, lostShare, trials, seed }: LossTrials, steps: readonly number[]): readonly number[] {
  const generator = xoroshiro128plus(seed)
  const none = { lostRequests: 0, lateRequests: 0, slowAnswers: 0, lostWrites: 0, cuts: 0, termEnds: 0, deaths: 0, restarts: 0 }
  const model = createEndModel({ policy, disturbances: { ...none, lostRequests: unlimited }, lateSteps: [0, 0], areEndsUnforeseen: true, isProgressWrong: false, areOthersLosing })
  const maxSteps = Math.max(...steps)
  const unread = steps.map(() => 0)
  for (let trial = 0; trial < trials; trial++) {
    const worst = play()
    for (const [index, limit] of steps.entries()) if (worst > limit) unread[index] = unread[index] as number + 1
  }
  return unread.map(count => count / trials)

  /** Returns the steps for which the end was not read, up to one more than the most of interest. */
  function play (): number {
    const state = model.clone(model.initial)
    const endStep = draw(warmUpSteps) + 1
    const lossStep = endStep - draw(maxLossSteps + 1)
    for (let step = 0; step < endStep; step++) advance(state, step >= lossStep, false)
    for (let step = 0; step <= maxSteps; step++) {
      advance(state, true, step === 0)
      if (model.getUnreadSteps(state) === 0) return step
    }
    return maxSteps + 1
  }

  function advance (state: State, isLosing: boolean, isEnd: boolean): void {
    model.advance(state, options => {
      const end = isEnd ? options.find(([label]) => label === (isForeseen ? 'run 0 ends' : 'run 0 ends before its progress shows it')) : undefined
      const losses = isLosing ? options.filter(([label]) => label.includes(' lost')) : []
      const loss = losses.length > 0 && draw(1_000) < 1_000 * lostShare ? losses[draw(losses.length)] : undefined
      return (end ?? loss ?? options[0] as (typeof options)[number])[1]
    }, () => {})
  }

  function draw (limit: number): number {
    return uniformInt(generator, 0, limit - 1)
  }
}
