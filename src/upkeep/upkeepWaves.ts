/**
 * Carries out waves of upkeep: each machine of a wave is emptied, taken down and waited for, never more at once than the
 * wave allows. What has been begun is stored before the platform is told, so that a successor counts it as down.
 */
import { assert } from '../common/debug.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { readAll } from '../store/metadataStore.js'
import type { MetadataStore } from '../store/metadataStore.js'

/** A wave as the operators ask for it. */
export interface Wave {
  readonly wave: number
  readonly machineIds: readonly string[]
  /** All machines are to be done within this, in ms. */
  readonly deadlineMs: number
  /** At most so many are down at once. */
  readonly maxDown: number
}

/** A machine of the platform's list. */
export interface ListedMachine {
  readonly machineId: string
  readonly isUp: boolean
  readonly workerId: string | undefined
}

/** What the platform says to an order for a machine. */
export enum MachineAnswer {
  Done = 'done',
  StaleEpoch = 'stale-epoch',
  Busy = 'busy',
  NotOfWave = 'not-of-wave',
  Invalid = 'invalid'
}

/** Machine operations as a port. Errors mean that the order may have been carried out. */
export interface MachinePort {
  list (): Promise<readonly ListedMachine[]>
  upkeep (machineId: string, wave: number, holder: string, epoch: number): Promise<MachineAnswer>
}

/** What the waves need from outside. */
export interface UpkeepWavesHost {
  readonly store: MetadataStore
  readonly term: Term
  readonly logger: Logger
  readonly hostId: string
  readonly machines: MachinePort
  readonly wavePrefix: string
  readonly statusPrefix: string
  readonly decodeWave: (value: string) => Wave | undefined
  readonly encodeStatus: (isComplete: boolean) => string
  /** Two holders must not take turns within this, in ms. */
  readonly holderPauseMs: number
  /** Takes no new work on the worker, and lets go of what can be moved; false while something must stay. */
  readonly tryEmpty: (workerId: string, isUrgent: boolean) => boolean
  /** The worker may be used again. */
  readonly giveBack: (workerId: string) => void
}

/** Waves and machines are looked at so often, in ms. */
const pollPeriodMs = 1_500
const progressPrefix = 'waves/'
/** From this share of the wave's time on, machines are taken down though work is lost. */
const urgentShare = 0.5

interface WaveProgress {
  readonly startedAtMs: number
  readonly begun: readonly string[]
  readonly done: readonly string[]
  readonly isComplete: boolean
}

interface WaveState {
  progress: WaveProgress
  revision: number
  statusWritten?: boolean
  readonly emptying: Set<string>
}

/** Starts to carry out waves; everything ends with the term. */
export function createUpkeepWaves (host: UpkeepWavesHost): void {
  const { store, term, logger } = host
  const states = new Map<number, WaveState>()
  void run()

  async function run (): Promise<void> {
    await delay(host.holderPauseMs, term.signal)
    while (!term.signal.aborted) {
      try {
        await lookOnce()
      } catch (error) {
        logger.warn('the waves of upkeep cannot go on', { error: String(error) })
      }
      await delay(pollPeriodMs, term.signal)
    }
  }

  async function lookOnce (): Promise<void> {
    const { items } = await readAll(store, host.wavePrefix)
    const waves = items.flatMap(item => host.decodeWave(item.value) ?? [])
    const open: Wave[] = []
    for (const wave of waves) if (!(await getState(wave)).progress.isComplete) open.push(wave)
    if (open.length === 0) return
    const machines = new Map((await host.machines.list()).map(machine => [machine.machineId, machine]))
    for (const wave of open) await advance(wave, await getState(wave), machines)
  }

  async function getState (wave: Wave): Promise<WaveState> {
    let state = states.get(wave.wave)
    if (state !== undefined) return state
    const item = await store.get(progressPrefix + wave.wave)
    const progress = item === undefined ? { startedAtMs: Date.now(), begun: [], done: [], isComplete: false } : JSON.parse(item.value) as WaveProgress
    state = { progress, revision: item?.revision ?? 0, emptying: new Set() }
    states.set(wave.wave, state)
    return state
  }

  async function advance (wave: Wave, state: WaveState, machines: ReadonlyMap<string, ListedMachine>): Promise<void> {
    if (state.statusWritten !== true) await writeStatus(wave, state, false)
    for (const machineId of state.progress.begun) await finish(wave, state, machineId, machines)
    for (const machineId of wave.machineIds) {
      const { begun, done } = state.progress
      if (begun.length >= wave.maxDown || term.signal.aborted) break
      const machine = machines.get(machineId)
      if (begun.includes(machineId) || done.includes(machineId) || machine === undefined || !machine.isUp) continue
      await tryBegin(wave, state, machine)
    }
    // A machine that is not listed any more has left for good and needs no upkeep.
    const isComplete = wave.machineIds.every(machineId => state.progress.done.includes(machineId) || !machines.has(machineId)) && state.progress.begun.length === 0
    if (!isComplete) return
    await save(wave, state, { ...state.progress, isComplete: true })
    await writeStatus(wave, state, true)
  }

  async function tryBegin (wave: Wave, state: WaveState, machine: ListedMachine): Promise<void> {
    const isUrgent = Date.now() - state.progress.startedAtMs > wave.deadlineMs * urgentShare
    // Only as many are emptied as may be down, so that the others keep working.
    if (!state.emptying.has(machine.machineId) && state.emptying.size + state.progress.begun.length >= wave.maxDown) return
    state.emptying.add(machine.machineId)
    if (machine.workerId !== undefined && !host.tryEmpty(machine.workerId, isUrgent)) return
    await save(wave, state, { ...state.progress, begun: [...state.progress.begun, machine.machineId] })
    assert(state.progress.begun.length <= wave.maxDown, 'no more machines of a wave are down than it allows')
    state.emptying.delete(machine.machineId)
    await order(wave, machine.machineId)
  }

  async function order (wave: Wave, machineId: string): Promise<MachineAnswer | undefined> {
    if (!term.isValid()) return undefined
    try {
      const answer = await host.machines.upkeep(machineId, wave.wave, host.hostId, term.epoch)
      logger.info('a machine is told to go down for its upkeep', { machineId, wave: wave.wave, answer })
      if (answer === MachineAnswer.StaleEpoch) term.resign('the platform has seen a higher epoch for a machine')
      return answer
    } catch (error) {
      logger.warn('an upkeep has no answer', { machineId, wave: wave.wave, error: String(error) })
      return undefined
    }
  }

  /** The order is repeated until it is answered: the platform answers "done" only once it has been carried out. */
  async function finish (wave: Wave, state: WaveState, machineId: string, machines: ReadonlyMap<string, ListedMachine>): Promise<void> {
    const machine = machines.get(machineId)
    if (machine !== undefined && !machine.isUp) return
    const answer = machine === undefined ? MachineAnswer.Done : await order(wave, machineId)
    if (answer !== MachineAnswer.Done) return
    const now = new Map((await host.machines.list()).map(listed => [listed.machineId, listed])).get(machineId)
    if (now !== undefined && !now.isUp) return
    const { begun, done } = state.progress
    await save(wave, state, { ...state.progress, begun: begun.filter(other => other !== machineId), done: [...done, machineId] })
    if (machine?.workerId !== undefined) host.giveBack(machine.workerId)
  }

  async function save (wave: Wave, state: WaveState, progress: WaveProgress): Promise<void> {
    const key = progressPrefix + wave.wave
    const expected = [{ key: term.leaderKey, revision: term.leaderRevision }, { key, revision: state.revision }]
    const result = await store.transact({ expected, writes: [{ key, value: JSON.stringify(progress) }] })
    if (!result.isCommitted) {
      states.delete(wave.wave)
      throw new Error(`the progress of wave ${wave.wave} has been changed by another`)
    }
    state.progress = progress
    state.revision = result.revision
  }

  async function writeStatus (wave: Wave, state: WaveState, isComplete: boolean): Promise<void> {
    const expected = [{ key: term.leaderKey, revision: term.leaderRevision }]
    await store.transact({ expected, writes: [{ key: host.statusPrefix + wave.wave, value: host.encodeStatus(isComplete) }] })
    state.statusWritten = true
    logger.info('the state of a wave is told', { wave: wave.wave, isComplete, done: state.progress.done.length, machines: wave.machineIds.length })
  }
}
