/** Maintenance waves: never take down more machines than allowed, even if responses are lost or another host becomes scheduler. */
import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import fc from 'fast-check'
import { silentLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import type { Term } from '../election/leaderElection.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { createMemoryStore } from '../standins/memoryStore.js'
import type { MemoryStore } from '../standins/memoryStore.js'
import type { MetadataStore } from '../store/metadataStore.js'
import { createMaintenanceWaves, MaintenanceResult } from './maintenanceWaves.js'
import type { MachinePort, MaintenanceWavesHost, Wave } from './maintenanceWaves.js'

const wave: Wave = { wave: 1, machineIds: ['m1', 'm2', 'm3', 'm4', 'm5'], deadlineMs: 60_000, maxDown: 2 }
const maintenanceMs = 2_000

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

async function advanceTime (ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) await jest.advanceTimersByTimeAsync(50)
}

function createMachines (loseEvery: number): { readonly port: MachinePort, readonly done: Set<string>, getMaxSeenDown: () => number } {
  const down = new Set<string>()
  const done = new Set<string>()
  let maxSeenDown = 0
  let calls = 0
  return { port: { list, requestMaintenance }, done, getMaxSeenDown: () => maxSeenDown }

  async function list (): Promise<{ machineId: string, isUp: boolean, workerId: string }[]> {
    await delay(5)
    return wave.machineIds.map(machineId => ({ machineId, isUp: !down.has(machineId), workerId: `worker-of-${machineId}` }))
  }

  async function requestMaintenance (machineId: string): Promise<MaintenanceResult> {
    await delay(5)
    if (!done.has(machineId)) {
      done.add(machineId)
      down.add(machineId)
      maxSeenDown = Math.max(maxSeenDown, down.size)
      setTimeout(() => { down.delete(machineId) }, maintenanceMs)
    }
    if (++calls % loseEvery === 0) throw createError(ErrorKind.AnswerLost, 'the response was lost')
    return MaintenanceResult.Done
  }
}

interface WavesOptions {
  readonly wave: Wave
  readonly machines: MachinePort
  readonly isDrained: (workerId: string) => boolean
}

interface StartedWaves {
  readonly store: MemoryStore
  /** The workers that get no work because of the wave. */
  readonly inMaintenance: ReadonlySet<string>
  stop (): Promise<void>
}

/** Starts the waves of one scheduler, which is never replaced. */
async function startWaves (options: WavesOptions): Promise<StartedWaves> {
  const store = createMemoryStore()
  store.write('op/wave/1', JSON.stringify(options.wave))
  const inMaintenance = new Set<string>()
  const termEnd = await startTerm(store, 'host-0', options.machines, {
    tryDrain: workerId => {
      inMaintenance.add(workerId)
      return options.isDrained(workerId)
    },
    returnToService: workerId => { inMaintenance.delete(workerId) }
  })
  return { store, inMaintenance, stop: () => endTerm(termEnd) }
}

/** Makes the host the scheduler and starts its waves; they stop when the returned controller is aborted. */
async function startTerm (store: MemoryStore, hostId: string, machines: MachinePort, drain: Pick<MaintenanceWavesHost, 'tryDrain' | 'returnToService'>, client: MetadataStore = store.connect(hostId)): Promise<AbortController> {
  store.write('leader/scheduler', hostId)
  const leader = await store.connect(hostId).get('leader/scheduler')
  const termEnd = new AbortController()
  createMaintenanceWaves({
    store: client,
    term: createTerm(leader?.revision ?? 0, termEnd),
    logger: silentLogger,
    hostId,
    machines,
    wavePrefix: 'op/wave/',
    statusPrefix: 'status/wave/',
    decodeWave: value => JSON.parse(value) as Wave,
    encodeStatus: isComplete => isComplete ? 'complete' : 'active',
    holderPauseMs: 1_000,
    ...drain
  })
  return termEnd
}

async function endTerm (termEnd: AbortController): Promise<void> {
  termEnd.abort()
  await advanceTime(2_000)
}

test('a machine that leaves or goes down by itself while it is drained gives up its slot, and its worker returns to service', async () => {
  const listed = new Map(['m1', 'm2', 'm3', 'm4'].map(machineId => [machineId, { machineId, isUp: true, workerId: `worker-of-${machineId}` }]))
  const done = new Set<string>()
  const waves = await startWaves({
    wave: { ...wave, machineIds: [...listed.keys()], maxDown: 1 },
    machines: {
      list: async () => [...listed.values()],
      requestMaintenance: async machineId => {
        done.add(machineId)
        return MaintenanceResult.Done
      }
    },
    // Work that cannot move keeps the first two machines from being emptied.
    isDrained: workerId => workerId !== 'worker-of-m1' && workerId !== 'worker-of-m2'
  })
  await advanceTime(4_000)
  expect([...waves.inMaintenance]).toEqual(['worker-of-m1'])
  listed.delete('m1')
  await advanceTime(4_000)
  expect([...waves.inMaintenance]).toEqual(['worker-of-m2'])
  listed.set('m2', { machineId: 'm2', isUp: false, workerId: 'worker-of-m2' })
  await advanceTime(10_000)
  expect([...done]).toEqual(['m3', 'm4'])
  expect([...waves.inMaintenance]).toEqual([])
  await waves.stop()
})

test('a worker whose machine leaves the list during its maintenance returns to service', async () => {
  const listed = new Map([['m1', { machineId: 'm1', isUp: true, workerId: 'worker-of-m1' }]])
  const waves = await startWaves({
    wave: { ...wave, machineIds: ['m1'], maxDown: 1 },
    machines: {
      list: async () => [...listed.values()],
      requestMaintenance: async () => {
        listed.delete('m1')
        return MaintenanceResult.Done
      }
    },
    isDrained: () => true
  })
  await advanceTime(8_000)
  expect(waves.store.peek('status/wave/1')).toBe('complete')
  expect([...waves.inMaintenance]).toEqual([])
  await waves.stop()
})

function createTerm (epoch: number, termEnd: AbortController): Term {
  return { epoch, leaderKey: 'leader/scheduler', leaderRevision: epoch, isValid: () => !termEnd.signal.aborted, resign: () => { termEnd.abort() }, signal: termEnd.signal }
}

test.each([1_000, 3, 2])('a new scheduler completes the wave if every %i-th response is lost', async loseEvery => {
  const store = createMemoryStore()
  const machines = createMachines(loseEvery)
  store.write('op/wave/1', JSON.stringify(wave))
  for (const hostId of ['host-0', 'host-1']) {
    const termEnd = await startTerm(store, hostId, machines.port, { tryDrain: () => true, returnToService: () => {} })
    await advanceTime(hostId === 'host-0' ? 4_000 : 30_000)
    expect(machines.getMaxSeenDown()).toBeLessThanOrEqual(wave.maxDown)
    await endTerm(termEnd)
  }
  expect([...machines.done].sort()).toEqual(wave.machineIds)
  expect(store.peek('status/wave/1')).toBe('complete')
})

/** Machines whose maintenance is done at once. */
const instantMachines: MachinePort = {
  list: async () => [{ machineId: 'm1', isUp: true, workerId: 'worker-of-m1' }],
  requestMaintenance: async () => MaintenanceResult.Done
}
const alwaysDrained = { tryDrain: () => true, returnToService: () => {} }

// Guards against a wave that is done and stays shown as active.
test('a status that is written late does not replace a newer one', async () => {
  const store = createMemoryStore()
  store.write('op/wave/1', JSON.stringify({ ...wave, machineIds: ['m1'] }))
  store.delayWrites('host-0', 1, 8_000)
  const termEnd = await startTerm(store, 'host-0', instantMachines, alwaysDrained)
  await advanceTime(7_000)
  expect(store.peek('status/wave/1')).toBe('complete')
  await advanceTime(8_000)
  expect(store.peek('status/wave/1')).toBe('complete')
  await endTerm(termEnd)
})

// Guards against a wave whose completion is stored, so that no scheduler advances it again, but never published.
test.each(['the same scheduler', 'its successor'])('if the store fails when a wave completes, %s publishes the completion', async publisher => {
  const store = createMemoryStore()
  store.write('op/wave/1', JSON.stringify({ ...wave, machineIds: ['m1'] }))
  const client = store.connect('host-0')
  let isFailing = false
  const failing: MetadataStore = {
    ...client,
    transact: async transaction => {
      if (isFailing) throw createError(ErrorKind.StoreUnavailable, 'the store is unavailable')
      const result = await client.transact(transaction)
      isFailing = transaction.writes.some(({ key, value }) => key === 'waves/1' && (JSON.parse(value) as { readonly isComplete: boolean }).isComplete)
      return result
    }
  }
  const termEnd = await startTerm(store, 'host-0', instantMachines, alwaysDrained, failing)
  await advanceTime(7_000)
  expect(isFailing).toBe(true)
  isFailing = false
  const isSucceeded = publisher === 'its successor'
  if (isSucceeded) await endTerm(termEnd)
  const lastTermEnd = isSucceeded ? await startTerm(store, 'host-1', instantMachines, alwaysDrained) : termEnd
  await advanceTime(7_000)
  expect(store.peek('status/wave/1')).toBe('complete')
  await endTerm(lastTermEnd)
})

// Guards against a status or a progress that an older value replaces, whichever writes of a wave are late.
test('whichever writes are late, a wave completes, stays complete and never has too many machines down', async () => {
  const lateWrite = fc.record({ afterMs: fc.integer({ min: 0, max: 3_000 }), count: fc.integer({ min: 1, max: 3 }), lateMs: fc.integer({ min: 1, max: 6_000 }), prefix: fc.constantFrom('', 'waves/', 'status/') })
  await fc.assert(fc.asyncProperty(fc.array(lateWrite, { maxLength: 6 }), async lateWrites => {
    const store = createMemoryStore()
    store.write('op/wave/1', JSON.stringify(wave))
    const machines = createMachines(Infinity)
    const termEnd = await startTerm(store, 'host-0', machines.port, alwaysDrained)
    for (const { afterMs, count, lateMs, prefix } of lateWrites) {
      await advanceTime(afterMs)
      store.delayWrites('host-0', count, lateMs, prefix)
    }
    store.delayWrites('host-0', 0, 0)
    await advanceTime(40_000)
    expect(store.peek('status/wave/1')).toBe('complete')
    expect([...machines.done].sort()).toEqual(wave.machineIds)
    expect(machines.getMaxSeenDown()).toBeLessThanOrEqual(wave.maxDown)
    expect(store.getUnguardedKeys()).toEqual([])
    await endTerm(termEnd)
  }), { numRuns: 25, seed: 42 })
})

// Guards against one wave with a malformed record that keeps all others from being advanced.
test.each(['{', 'null', '{"startedAtMs":1,"begun":[1],"done":[],"isComplete":false}'])('beside a wave whose stored progress is %s the other waves complete', async value => {
  const store = createMemoryStore()
  store.write('op/wave/1', JSON.stringify({ ...wave, machineIds: ['m1'] }))
  store.write('op/wave/2', JSON.stringify({ ...wave, wave: 2, machineIds: ['m1'] }))
  store.write('waves/1', value)
  const termEnd = await startTerm(store, 'host-0', instantMachines, alwaysDrained)
  await advanceTime(7_000)
  expect(store.peek('status/wave/2')).toBe('complete')
  expect(store.peek('waves/1')).toBe(value)
  await endTerm(termEnd)
})
