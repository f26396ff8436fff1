/** Rounds of workers that are disturbed and then gone for good at about the same moment, each round followed by enough calm to see that their work is replaced. */
import { delay } from '../../common/time.js'
import type { PlatformEmulator } from '../emulator/platformEmulator.js'
import type { PoolWorker } from '../../standins/poolWorker.js'
import type { Disturbances } from './disturbances.js'

/** What befalls a worker before it is gone for good. */
export enum DepartureKind {
  Plain = 'plain',
  /** Its process starts again at the same address under the id that it had. */
  Restart = 'restart',
  /** Starts are carried out there, and their answers are lost. */
  LoseStarts = 'lose-starts',
  /** Its entry is missing in the store for a moment although it lives. */
  HideEntry = 'hide-entry',
  /** Its answers are late and out of order until it leaves, and some requests arrive twice. */
  DisorderAnswers = 'disorder-answers'
}

/** What the rounds act on. */
export interface DeparturesHost {
  /** Those that are played. */
  readonly kinds: readonly DepartureKind[]
  readonly emulator: PlatformEmulator
  readonly disturbances: Disturbances
  readonly random: () => number
}

/** The rounds of one run. */
export interface Departures {
  /** Plays rounds until no whole one is left before the given Unix time, in ms. */
  play (untilMs: number): Promise<void>
  /** What was done to workers, by kind. */
  readonly done: readonly string[]
  /** How many workers are gone for good. */
  countLeft (): number
  /** Says of a run whether the answer to its start was lost. */
  describeRun (task: string, run: number): string
}

/** Workers that leave in a round, after different kinds of disturbances if there are enough; those in use go first. */
const minLeavers = 3
const maxLeavers = 4
/** Work is handed in for this long before the first round, in ms. */
const firstRoundMs = 4_000
/** The disturbances before the departures begin within this, in ms. */
const prepareMs = 5_000
/** The workers leave this long after the beginning of a round, in ms, and up to `departureSpreadMs` later. */
const departureAtMs = 8_000
const departureSpreadMs = 400
/** The calm after a round, in ms: longer than the longest lease, and time to place the work again. */
const calmMs = 12_500
const maxRestartMs = 300
const maxHiddenMs = 3_000
const maxLateAnswerMs = 400
const twiceShare = 0.3
const maxLostStarts = 3
/** A worker leaves with the early return of a poll if there is one within this, in ms. */
const earlyReturnMs = 1_500

/** Creates the rounds. */
export function createDepartures ({ kinds, emulator, disturbances, random }: DeparturesHost): Departures {
  const done: string[] = []
  const withoutAnswer = new Set<string>()
  let left = 0
  const preparations: Readonly<Record<DepartureKind, (worker: PoolWorker) => (() => void) | undefined>> = {
    [DepartureKind.Plain]: () => undefined,
    [DepartureKind.Restart]: restart,
    [DepartureKind.LoseStarts]: loseStarts,
    [DepartureKind.HideEntry]: hideEntry,
    [DepartureKind.DisorderAnswers]: disorderAnswers
  }
  return { play, done, countLeft: () => left, describeRun: (task, run) => withoutAnswer.has(`${task} ${run}`) ? '; the answer to its start was lost' : '' }

  async function play (untilMs: number): Promise<void> {
    await delay(firstRoundMs)
    while (Date.now() + departureAtMs + departureSpreadMs + calmMs <= untilMs) await playRound()
  }

  function shuffle<T> (items: readonly T[]): T[] {
    return items.map(item => ({ item, order: random() })).sort((one, other) => one.order - other.order).map(({ item }) => item)
  }

  async function playRound (): Promise<void> {
    const inUse = new Set([...emulator.poolState.running.values()].flatMap(places => places.map(({ workerId }) => workerId)))
    const workers = shuffle(emulator.workers.filter(emulator.isUp)).sort((one, other) => Number(inUse.has(other.info.workerId)) - Number(inUse.has(one.info.workerId)))
    const leavers = workers.slice(0, minLeavers + Math.floor((maxLeavers + 1 - minLeavers) * random()))
    const roundKinds = shuffle(kinds)
    await Promise.all(leavers.map(async (worker, index) => {
      const kind = roundKinds[index % roundKinds.length] ?? DepartureKind.Plain
      const waitMs = prepareMs * random()
      const leavesWithEnd = random() < 0.4
      const spreadMs = departureSpreadMs * random()
      done.push(`${worker.info.workerId} ${kind}${leavesWithEnd ? ', leaves with an end' : ''}`)
      await delay(waitMs)
      const end = preparations[kind](worker)
      await delay(departureAtMs - waitMs + spreadMs)
      if (leavesWithEnd) await waitForEarlyReturn(worker)
      end?.()
      leave(worker)
    }))
    await delay(calmMs)
  }

  function leave (worker: PoolWorker): void {
    emulator.leave(worker)
    disturbances.note('gone', worker.info.workerId)
    left++
    void emulator.addWorker()
  }

  async function waitForEarlyReturn (worker: PoolWorker): Promise<void> {
    await Promise.race([delay(earlyReturnMs), new Promise<void>(resolve => { emulator.getAnswerFaults(worker).afterEarlyReturn(resolve) })])
  }

  function restart (worker: PoolWorker): undefined {
    const awayMs = maxRestartMs * random()
    const end = disturbances.begin('restarted', worker.info.workerId)
    emulator.crash(worker, awayMs)
    setTimeout(end, awayMs)
  }

  function loseStarts (worker: PoolWorker): () => void {
    const faults = emulator.getAnswerFaults(worker)
    faults.loseStarts(1 + Math.floor(maxLostStarts * random()), (task, run) => {
      withoutAnswer.add(`${task} ${run}`)
      disturbances.note(`start of ${task} run ${run} without answer`, worker.info.workerId)
    })
    return () => { faults.loseStarts(0) }
  }

  function hideEntry (worker: PoolWorker): undefined {
    const forMs = maxHiddenMs * random()
    const end = disturbances.begin('entry removed', worker.info.workerId)
    emulator.hideEntry(worker, forMs)
    setTimeout(end, forMs)
  }

  function disorderAnswers (worker: PoolWorker): () => void {
    const faults = emulator.getAnswerFaults(worker)
    const end = disturbances.begin('answers out of order', worker.info.workerId)
    faults.setDisorder(() => ({ lateMs: maxLateAnswerMs * random(), isTwice: random() < twiceShare }))
    return () => {
      faults.setDisorder()
      end()
    }
  }
}
