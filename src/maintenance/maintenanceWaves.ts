/**
 * Carries out waves of planned maintenance ("upkeep"): drains each machine of a wave, has the platform take it down and waits until
 * it is up again, with at most `maxDown` machines down at once. Each start is stored before the platform is asked, so
 * that the next scheduler counts the machine as down.
 */
import * as z from 'zod/mini'
import { assert } from '../common/assertions.js'
import { tryParseJson } from '../common/boundedJson.js'
import type { Logger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { readAll } from '../store/metadataStore.js'
import type { ExpectedRevision, MetadataStore, TransactionWrite } from '../store/metadataStore.js'
import { createRevisionGuard, transactGuarded } from '../store/revisionGuard.js'
import type { RevisionGuard } from '../store/revisionGuard.js'

/** A maintenance wave as requested by the operators. */
export interface Wave {
  readonly wave: number
  readonly machineIds: readonly string[]
  /** Time within which all machines must be done, in ms. */
  readonly deadlineMs: number
  /** Maximum number of machines that are down at the same time. */
  readonly maxDown: number
}

/** An entry of the platform's list of machines. */
export interface ListedMachine {
  readonly machineId: string
  readonly isUp: boolean
  readonly workerId: string | undefined
}

/** The platform's response to a maintenance request for a machine. */
export enum MaintenanceResult {
  Done = 'done',
  StaleEpoch = 'stale-epoch',
  Busy = 'busy',
  NotInWave = 'not-of-wave',
  Invalid = 'invalid'
}

/** The platform's machine operations. After an error it is unknown whether the request was carried out. */
export interface MachinePort {
  list (): Promise<readonly ListedMachine[]>
  requestMaintenance (machineId: string, wave: number, holder: string, epoch: number): Promise<MaintenanceResult>
}

/** Dependencies of the maintenance waves. */
export interface MaintenanceWavesHost {
  readonly store: MetadataStore
  readonly term: Term
  readonly logger: Logger
  readonly hostId: string
  readonly machines: MachinePort
  readonly wavePrefix: string
  readonly statusPrefix: string
  readonly decodeWave: (value: string) => Wave | undefined
  readonly encodeStatus: (isComplete: boolean) => string
  /** Minimum time between requests for a machine from different schedulers ("holders"), in ms. */
  readonly holderPauseMs: number
  /** Stops placing work on the worker and evicts the work that can move; returns false while some work has to stay. */
  readonly tryDrain: (workerId: string, isUrgent: boolean) => boolean
  /** Allows work to be placed on the worker again. */
  readonly returnToService: (workerId: string) => void
}

/** Interval at which waves and machines are polled, in ms. */
const pollPeriodMs = 1_500
const progressPrefix = 'waves/'
/** After this fraction of the wave's deadline, machines are drained even if running work is lost. */
const urgentTimeFraction = 0.5

interface WaveProgress {
  readonly startedAtMs: number
  readonly begun: readonly string[]
  readonly done: readonly string[]
  readonly isComplete: boolean
}

interface WaveState {
  progress: WaveProgress
  revision: number
  readonly statusGuard: RevisionGuard
  isStatusWritten: boolean
  /** The workers of the machines that are being drained or are down for the wave, by machine; undefined for a machine without a worker. */
  readonly drained: Map<string, string | undefined>
}

const machineIdsSchema = z.array(z.string())
const progressSchema = z.object({ startedAtMs: z.number(), begun: machineIdsSchema, done: machineIdsSchema, isComplete: z.boolean() })

/** Starts to carry out maintenance waves; stops when the leader's term ends. */
export function createMaintenanceWaves (host: MaintenanceWavesHost): void {
  const { store, term, logger } = host
  const states = new Map<number, WaveState>()
  void run()

  async function run (): Promise<void> {
    await delay(host.holderPauseMs, term.signal)
    while (!term.signal.aborted) {
      try {
        await advanceOpenWaves()
      } catch (error) {
        logger.warn('failed to advance the maintenance waves; retrying at the next poll', { error: String(error) })
      }
      await delay(pollPeriodMs, term.signal)
    }
  }

  async function advanceOpenWaves (): Promise<void> {
    const { items } = await readAll(store, host.wavePrefix)
    const waves = items.flatMap(item => host.decodeWave(item.value) ?? [])
    const openWaves: Wave[] = []
    await forEachWave(waves, async wave => { if (!(await loadState(wave)).progress.isComplete) openWaves.push(wave) })
    if (openWaves.length === 0) return
    const machines = new Map((await host.machines.list()).map(machine => [machine.machineId, machine]))
    await forEachWave(openWaves, async wave => { await advanceWave(wave, await loadState(wave), machines) })
  }

  /** A wave that fails, for example because its stored progress is malformed, does not keep the others from being advanced. */
  async function forEachWave (waves: readonly Wave[], action: (wave: Wave) => Promise<void>): Promise<void> {
    for (const wave of waves) {
      try {
        await action(wave)
      } catch (error) {
        logger.warn('failed to advance a maintenance wave; retrying at the next poll', { wave: wave.wave, error: String(error) })
      }
    }
  }

  async function loadState (wave: Wave): Promise<WaveState> {
    let state = states.get(wave.wave)
    if (state !== undefined) return state
    const item = await store.get(progressPrefix + wave.wave)
    const progress = item === undefined ? { startedAtMs: Date.now(), begun: [], done: [], isComplete: false } : decodeProgress(item.value)
    state = { progress, revision: item?.revision ?? 0, statusGuard: createRevisionGuard(host.statusPrefix + wave.wave), isStatusWritten: false, drained: new Map() }
    states.set(wave.wave, state)
    return state
  }

  async function advanceWave (wave: Wave, state: WaveState, machines: ReadonlyMap<string, ListedMachine>): Promise<void> {
    if (!state.isStatusWritten) await writeActiveStatus(wave, state)
    releaseUnavailable(state, machines)
    for (const machineId of state.progress.begun) await tryFinishMachine(wave, state, machineId, machines)
    for (const machineId of wave.machineIds) {
      const { begun, done } = state.progress
      if (begun.length >= wave.maxDown || term.signal.aborted) break
      const machine = machines.get(machineId)
      if (begun.includes(machineId) || done.includes(machineId) || machine === undefined || !machine.isUp) continue
      await tryStartMachine(wave, state, machine)
    }
    // A machine that is no longer listed was removed for good and needs no maintenance.
    const isComplete = wave.machineIds.every(machineId => state.progress.done.includes(machineId) || !machines.has(machineId)) && state.progress.begun.length === 0
    if (isComplete) await complete(wave, state)
  }

  /** A machine that has left the list or is down for another reason no longer counts as drained for the wave. */
  function releaseUnavailable (state: WaveState, machines: ReadonlyMap<string, ListedMachine>): void {
    for (const machineId of state.drained.keys()) {
      if (state.progress.begun.includes(machineId) || machines.get(machineId)?.isUp === true) continue
      logger.info('a machine that was being drained is no longer up', { machineId, isListed: machines.has(machineId) })
      release(state, machineId)
    }
  }

  function release (state: WaveState, machineId: string): void {
    const workerId = state.drained.get(machineId)
    state.drained.delete(machineId)
    if (workerId !== undefined) host.returnToService(workerId)
  }

  async function tryStartMachine (wave: Wave, state: WaveState, machine: ListedMachine): Promise<void> {
    const isUrgent = Date.now() - state.progress.startedAtMs > wave.deadlineMs * urgentTimeFraction
    // Drains at most as many machines as may be down, so that the others keep working.
    const isDrained = state.drained.has(machine.machineId)
    if (!isDrained && new Set([...state.drained.keys(), ...state.progress.begun]).size >= wave.maxDown) return
    if (isDrained && state.drained.get(machine.machineId) !== machine.workerId) release(state, machine.machineId)
    state.drained.set(machine.machineId, machine.workerId)
    if (machine.workerId !== undefined && !host.tryDrain(machine.workerId, isUrgent)) return
    await saveProgress(wave, state, { ...state.progress, begun: [...state.progress.begun, machine.machineId] })
    assert(state.progress.begun.length <= wave.maxDown, 'at most maxDown machines of a wave may be down')
    await requestMaintenance(wave, machine.machineId)
  }

  async function requestMaintenance (wave: Wave, machineId: string): Promise<MaintenanceResult | undefined> {
    if (!term.isValid()) return undefined
    try {
      const answer = await host.machines.requestMaintenance(machineId, wave.wave, host.hostId, term.epoch)
      logger.info('maintenance of a machine was requested', { machineId, wave: wave.wave, answer })
      if (answer === MaintenanceResult.StaleEpoch) term.resign('the platform has seen a higher scheduler epoch for a machine')
      return answer
    } catch (error) {
      logger.warn('a maintenance request got no response', { machineId, wave: wave.wave, error: String(error) })
      return undefined
    }
  }

  /** Repeats the request until the platform responds with `Done`, which it does only after the request was carried out. */
  async function tryFinishMachine (wave: Wave, state: WaveState, machineId: string, machines: ReadonlyMap<string, ListedMachine>): Promise<void> {
    const machine = machines.get(machineId)
    if (machine !== undefined && !machine.isUp) return
    const answer = machine === undefined ? MaintenanceResult.Done : await requestMaintenance(wave, machineId)
    if (answer !== MaintenanceResult.Done) return
    const listedMachine = new Map((await host.machines.list()).map(listed => [listed.machineId, listed])).get(machineId)
    if (listedMachine !== undefined && !listedMachine.isUp) return
    const { begun, done } = state.progress
    await saveProgress(wave, state, { ...state.progress, begun: begun.filter(other => other !== machineId), done: [...done, machineId] })
    release(state, machineId)
    if (machine?.workerId !== undefined) host.returnToService(machine.workerId)
  }

  /** Stores the progress together with the status: a completed wave is not looked at again, so a status that was not written would never be. */
  async function complete (wave: Wave, state: WaveState): Promise<void> {
    await saveProgress(wave, state, { ...state.progress, isComplete: true }, [getStatusWrite(wave, true)])
    logStatus(wave, state, true)
  }

  async function saveProgress (wave: Wave, state: WaveState, progress: WaveProgress, statusWrites: readonly TransactionWrite[] = []): Promise<void> {
    const key = progressPrefix + wave.wave
    const expected = [getLeaderCondition(), { key, revision: state.revision }]
    const transaction = { expected, writes: [{ key, value: JSON.stringify(progress) }, ...statusWrites] }
    const result = await (statusWrites.length === 0 ? store.transact(transaction) : transactGuarded(store, state.statusGuard, transaction))
    if (!result.isCommitted) {
      states.delete(wave.wave)
      throw new Error(`the progress of wave ${wave.wave} was changed by another writer`)
    }
    state.progress = progress
    state.revision = result.revision
  }

  async function writeActiveStatus (wave: Wave, state: WaveState): Promise<void> {
    const result = await transactGuarded(store, state.statusGuard, { expected: [getLeaderCondition()], writes: [getStatusWrite(wave, false)] })
    if (!result.isCommitted) throw new Error(`the status of wave ${wave.wave} could not be written: its conditions failed`)
    state.isStatusWritten = true
    logStatus(wave, state, false)
  }

  function getStatusWrite (wave: Wave, isComplete: boolean): TransactionWrite {
    return { key: host.statusPrefix + wave.wave, value: host.encodeStatus(isComplete) }
  }

  function getLeaderCondition (): ExpectedRevision {
    return { key: term.leaderKey, revision: term.leaderRevision }
  }

  function logStatus (wave: Wave, state: WaveState, isComplete: boolean): void {
    logger.info('the status of a maintenance wave was written', { wave: wave.wave, isComplete, done: state.progress.done.length, machines: wave.machineIds.length })
  }
}

/** Errors: `internal` if the record is malformed; it may name machines that are down. */
function decodeProgress (value: string): WaveProgress {
  const parsed = progressSchema.safeParse(tryParseJson(value))
  if (parsed.success) return parsed.data
  throw createError(ErrorKind.Internal, 'the stored progress of the wave cannot be decoded')
}
